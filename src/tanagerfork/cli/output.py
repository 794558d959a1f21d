"""Output of the commands: tables and colours on a terminal, plain lines elsewhere."""

import datetime
import sys
from collections.abc import Sequence

import msgspec
import rich.console
import rich.markup
import rich.table

COLUMN_GAP = "  "
MS_PER_S = 1000


def print_record(record: msgspec.Struct) -> None:
    """Print a record as JSON.

    :param record: record to print.
    """
    print(msgspec.json.format(msgspec.json.encode(record), indent=2).decode())


def print_line(text: str) -> None:
    """Print one line and flush it.

    :param text: line to print.
    """
    print(text, flush=True)


def print_error(message: str) -> None:
    """Print an error as one line to standard error.

    :param message: what went wrong and the remedy.
    """
    print("tanagerfork: " + " ".join(message.split()), file=sys.stderr, flush=True)


def print_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table; plain aligned columns if the output is not a terminal.

    :param columns: headings.
    :param rows: cells.
    """
    console = rich.console.Console()
    if not console.is_terminal:
        print_line("\n".join(_align([columns, *rows])))
        return
    table = rich.table.Table(*columns, box=None, header_style="bold")
    for row in rows:
        table.add_row(*(rich.markup.escape(cell) for cell in row))
    console.print(table)


def format_time(wall_ms: int) -> str:
    """Format a wall clock time in UTC, "-" for 0.

    :param wall_ms: wall clock, in milliseconds since the epoch.
    """
    if not wall_ms:
        return "-"
    moment = datetime.datetime.fromtimestamp(wall_ms // MS_PER_S, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{wall_ms % MS_PER_S:03}Z"


def format_duration(duration_ms: int) -> str:
    """Format a duration in seconds.

    :param duration_ms: duration, in milliseconds.
    """
    return f"{duration_ms / MS_PER_S:,.1f} s"


def _align(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(row[index]) for row in rows) for index in range(len(rows[0]))]
    return [
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
