"""Commands for operators' signing keys."""

import pathlib
from typing import Annotated

import pyjson5
import typer
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork.bundles import signature
from tanagerfork.cli import key_files, outcome, output
from tanagerfork.generated import settings as settings_records

app = typer.Typer(no_args_is_help=True, help="Signing keys of operators.")


@app.callback()
def describe() -> None:
    """Signing keys of operators."""


@app.command()
def new(
    path: Annotated[pathlib.Path, typer.Argument(help="File to write; must not exist.")],
    operator: Annotated[str, typer.Option(help="Name of the operator or office.")],
    passphrase: Annotated[
        bool, typer.Option("--passphrase", help="Ask for a passphrase that encrypts the file.")
    ] = False,
) -> None:
    """Make a signing key, and print its entry for the daemons' settings."""
    secret = ""
    if passphrase:
        secret = typer.prompt("Passphrase", hide_input=True, confirmation_prompt=True, err=True)
    key = ed25519.Ed25519PrivateKey.generate()
    outcome.unwrap(key_files.write_private_key(path, key, secret))
    public_key = signature.encode_public_key(key)
    entry = settings_records.OperatorKey(operator=operator, public_key=public_key)
    output.print_line(f"public key {public_key}")
    output.print_line("add to operator_keys in the settings of every daemon:")
    fields = {"operator": entry.operator, "public_key": entry.public_key}
    output.print_line(f"  {pyjson5.encode(fields)},")


def ask_passphrase() -> str:
    """Prompt for the passphrase of a key file."""
    return str(typer.prompt("Passphrase", hide_input=True, err=True))
