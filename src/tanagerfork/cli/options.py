"""Options that the commands share."""

import pathlib
from typing import Annotated

import typer

DEFAULT_DAEMONS = ["http://127.0.0.1:8601"]

Daemons = Annotated[
    list[str],
    typer.Option(
        "--daemon",
        envvar="TANAGERFORK_DAEMON",
        metavar="URL",
        help="Operators' listener of a daemon; may be repeated. Its peers are found through it.",
    ),
]
TokenFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file", envvar="TANAGERFORK_TOKEN_FILE", help="File with the operators' token."
    ),
]
CaFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--ca-file",
        envvar="TANAGERFORK_CA_FILE",
        help="PEM certificates that daemons' certificates are checked against.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
