"""The operators' command-line tool; no command acts on a single VM."""

import os
import sys

import typer

from tanagerfork import __version__
from tanagerfork.cli import (
    compare_commands,
    config_commands,
    key_commands,
    outcome,
    rollout_commands,
    settings_commands,
    status_commands,
    timeline_commands,
    upstream_commands,
)

app = typer.Typer(
    cls=outcome.CommandGroup,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode="rich" if sys.stdout.isatty() else None,
    help="Operate a fleet of tanagerfork daemons.",
)
app.add_typer(compare_commands.app, name="bundle")
app.add_typer(config_commands.app, name="config")
app.add_typer(key_commands.app, name="keys")
app.add_typer(settings_commands.app, name="settings")
app.add_typer(rollout_commands.app, name="rollout")
status_commands.register(app)
timeline_commands.register(app)
upstream_commands.register(app)


@app.callback()
def describe() -> None:
    """Operate a fleet of tanagerfork daemons."""


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    """Run the program."""
    os.environ.setdefault("_TYPER_STANDARD_TRACEBACK", "1")
    app()
