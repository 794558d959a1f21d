"""The operators' command-line tool."""

import typer

from tanagerfork import __version__

app = typer.Typer(no_args_is_help=True, help="Operate a fleet of tanagerfork daemons.")


@app.callback()
def describe() -> None:
    """Operate a fleet of tanagerfork daemons."""


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    """Run the program."""
    app()
