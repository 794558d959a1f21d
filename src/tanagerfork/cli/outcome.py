"""How a command ends: its exit status, and one line for each error."""

from typing import Any, TypeVar

import result
import typer
import typer.core

from tanagerfork import errors
from tanagerfork.cli import output

GOOD = 0
FAILED = 1
USAGE = 2
PARTLY_UNREACHABLE = 3
USAGE_ERRORS = (
    errors.SettingsError,
    errors.UsageInvalid,
    errors.KeyFileInvalid,
    errors.DraftInvalid,
    errors.BundleInvalid,
)

ValueT = TypeVar("ValueT")
ErrorT = TypeVar("ErrorT", bound=errors.TanagerforkError)


class CommandGroup(typer.core.TyperGroup):
    """The commands; an error ends one with a line and a fitting status."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command.

        :param ctx: context of the command line.
        """
        try:
            return super().invoke(ctx)
        except errors.TanagerforkError as error:
            output.print_error(error.message)
            status = USAGE if isinstance(error, USAGE_ERRORS) else FAILED
            raise typer.Exit(status) from error


def take(outcome: result.Result[ValueT, ErrorT]) -> ValueT:
    """Return the value of an outcome; an error ends the command.

    :param outcome: outcome.
    :raises TanagerforkError: the error of the outcome.
    """
    if isinstance(outcome, result.Err):
        raise outcome.err_value
    return outcome.ok_value


def end_partly(unreachable: int) -> None:
    """End with the status for daemons that could not be reached, where there are any.

    :param unreachable: number of daemons that did not answer.
    """
    if unreachable:
        raise typer.Exit(PARTLY_UNREACHABLE)
