"""Decision log: one JSON line on standard output for each decision, bounded and never blocking."""

import datetime
import logging
import os
from typing import Protocol

import msgspec

from tanagerfork import clock as clocks

MAX_LINES_PER_S = 150  # Three lines for each of the at most 50 requests per second of a daemon.
BURST_LINES = 600  # Four seconds at the maximum load, so that a short fault is logged completely.
MAX_LINE_BYTES = 4096  # Writes of up to this size to a pipe are atomic.

Field = str | int | float | bool | None | list[str]


class Writer(Protocol):
    """Output of the decision log."""

    def write(self, line: bytes) -> bool:
        """Write a line without blocking.

        :param line: line with its newline.
        :return: whether it was written.
        """


class DescriptorWriter:
    """Writes to a file descriptor, which it makes non-blocking.

    :param descriptor: file descriptor, such as that of standard output.
    """

    __slots__ = ("_descriptor",)

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> bool:
        """Write a line; see `Writer.write`."""
        try:
            os.write(self._descriptor, line)
        except OSError:  # The pipe is full or closed; the log counts dropped lines.
            return False
        return True


class DecisionLog:
    """Writes decisions at a limited rate and reports how many lines it dropped.

    :param daemon: name of the daemon.
    :param clock: clock of the timestamps and of the rate limit.
    :param writer: output of the lines.
    """

    __slots__ = ("_daemon", "_clock", "_writer", "_line_budget", "_refilled_at_ms", "dropped")

    def __init__(self, daemon: str, clock: clocks.Clock, writer: Writer) -> None:
        self._daemon = daemon
        self._clock = clock
        self._writer = writer
        self._line_budget = float(BURST_LINES)
        self._refilled_at_ms = clock.monotonic_ms()
        self.dropped = 0

    def note(self, logger: str, decision: str, **fields: Field) -> None:
        """Write one decision.

        :param logger: module that made the decision, such as relay.placing.
        :param decision: the decision, in a few words.
        :param fields: inputs of the decision with their age or version, and its outcome.
        """
        if not self._take_from_budget():
            self.dropped += 1
            return
        timestamp = datetime.datetime.fromtimestamp(self._clock.wall_ms() / 1000, datetime.UTC)
        line: dict[str, Field] = {
            "timestamp": timestamp.isoformat(timespec="milliseconds"),
            "logger": logger,
            "daemon": self._daemon,
            "decision": decision,
            **fields,
        }
        if self.dropped:
            line["lines_dropped_before"] = self.dropped
        encoded = msgspec.json.encode(line)[: MAX_LINE_BYTES - 1] + b"\n"
        if self._writer.write(encoded):
            self.dropped = 0
        else:
            self.dropped += 1

    def _take_from_budget(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        refill = (now_ms - self._refilled_at_ms) * MAX_LINES_PER_S / 1000
        self._line_budget = min(BURST_LINES, self._line_budget + refill)
        self._refilled_at_ms = now_ms
        if self._line_budget < 1:
            return False
        self._line_budget -= 1
        return True


class LibraryLines(logging.Handler):
    """Logging handler that writes the log records of libraries to the decision log.

    :param log: decision log.
    """

    def __init__(self, log: DecisionLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; see `logging.Handler.emit`."""
        reason = str(record.exc_info[1]) if record.exc_info else ""
        error_class = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        self._log.note(
            record.name,
            record.getMessage(),
            level=record.levelname.lower(),
            error=error_class,
            reason=reason,
        )
