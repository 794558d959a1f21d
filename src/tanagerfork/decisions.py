"""Decision log: one JSON line on standard output for each decision, bounded and never blocking."""

import datetime
import logging
import os
from typing import Protocol

import msgspec

from tanagerfork import clock as clocks

LINES_PER_S = 150  # Three lines for each of the 50 requests a second that a daemon takes at most.
BURST_LINES = 600  # What four seconds of that load write, so that a short fault is seen whole.
MAX_LINE_BYTES = 4096  # A pipe takes a line of up to this size whole or not at all.

Field = str | int | float | bool | None | list[str]


class Writer(Protocol):
    """Where lines go."""

    def write(self, line: bytes) -> bool:
        """Write a line without waiting.

        :param line: line with its end.
        :return: whether it was taken.
        """


class DescriptorWriter:
    """Writes to a file descriptor that it sets to non-blocking.

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
        except OSError:  # A full pipe or a closed one; the log counts what is dropped.
            return False
        return True


class DecisionLog:
    """Writes decisions, and says how many lines it had to drop.

    :param daemon: name of the daemon.
    :param clock: clock of the timestamps and of the bound on lines.
    :param writer: where lines go.
    """

    __slots__ = ("_daemon", "_clock", "_writer", "_allowed", "_refilled_at_ms", "dropped")

    def __init__(self, daemon: str, clock: clocks.Clock, writer: Writer) -> None:
        self._daemon = daemon
        self._clock = clock
        self._writer = writer
        self._allowed = float(BURST_LINES)
        self._refilled_at_ms = clock.monotonic_ms()
        self.dropped = 0

    def note(self, logger: str, decision: str, **fields: Field) -> None:
        """Write one decision.

        :param logger: module that decided, such as relay.placing.
        :param decision: what was decided, in a few words.
        :param fields: inputs that decided with their age or version, and the outcome.
        """
        if not self._take_turn():
            self.dropped += 1
            return
        moment = datetime.datetime.fromtimestamp(self._clock.wall_ms() / 1000, datetime.UTC)
        line: dict[str, Field] = {
            "timestamp": moment.isoformat(timespec="milliseconds"),
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

    def _take_turn(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        earned = (now_ms - self._refilled_at_ms) * LINES_PER_S / 1000
        self._allowed = min(BURST_LINES, self._allowed + earned)
        self._refilled_at_ms = now_ms
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True


class LibraryLines(logging.Handler):
    """Writes what libraries log as lines of the decision log.

    :param log: decision log.
    """

    def __init__(self, log: DecisionLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; see `logging.Handler.emit`."""
        reason = str(record.exc_info[1]) if record.exc_info else ""
        kind = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        self._log.note(
            record.name,
            record.getMessage(),
            level=record.levelname.lower(),
            error=kind,
            reason=reason,
        )
