"""Exit statuses of the commands, and how their errors are reported."""

from typing import Any, TypeVar

import result
import typer
import typer.core

from tanagerfork import errors
from tanagerfork.cli import output

SUCCESS = 0
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
    """Group of commands that prints an error as one line and maps it to an exit status."""

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


def unwrap(outcome: result.Result[ValueT, ErrorT]) -> ValueT:
    """Return the value of a result; raise its error, which ends the command.

    :param outcome: result of an operation.
    :raises TanagerforkError: the error of the result.
    """
    if isinstance(outcome, result.Err):
        raise outcome.err_value
    return outcome.ok_value


def exit_if_unreachable(unreachable_count: int) -> None:
    """Exit with `PARTLY_UNREACHABLE` if any daemon did not answer.

    :param unreachable_count: number of daemons that did not answer.
    :raises Exit: at least one daemon did not answer.
    """
    if unreachable_count:
        raise typer.Exit(PARTLY_UNREACHABLE)
