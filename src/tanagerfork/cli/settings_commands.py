"""Commands for the daemons' settings."""

import pathlib
from typing import Annotated

import typer

from tanagerfork import settings as settings_files
from tanagerfork.cli import fields, options, output
from tanagerfork.generated import operators

app = typer.Typer(no_args_is_help=True, help="Settings of the daemons.")


@app.callback()
def describe_group() -> None:
    """Check and describe the settings of the daemons."""


@app.command()
def check(path: Annotated[pathlib.Path, typer.Argument(help="Settings file.")]) -> None:
    """Check a settings file."""
    settings_files.load_settings(path)
    output.print_line(f"{path}: good")


@app.command()
def describe(as_json: options.AsJson = False) -> None:
    """List every setting with its type, default and meaning."""
    descriptions = fields.describe_fields()
    if as_json:
        output.print_record(operators.FieldList(fields=descriptions))
        return
    rows = [
        (item.path, item.type, item.default or "required", item.description)
        for item in descriptions
    ]
    output.print_table(("field", "type", "default", "meaning"), rows)
