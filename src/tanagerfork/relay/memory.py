"""Memory: what open exchanges hold, and what is done about slow readers past each of three bounds.

The account counts request bodies, response bodies that are gathered before they are passed on, and
buffers of connections on both sides. Past the first bound, a response is read no further while its
caller has not taken what was read before, and responses that are gathered whole grow one at a time.
Past the second one, new requests are refused. Past the third one, gathered responses stand still
while there are slow readers, and the exchanges are ended whose callers would hold their bytes for
longest. One such exchange at a time is also ended where the second bound stays passed.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

MIB = 1024 * 1024
# Resident memory of a daemon without requests. The platform counts 30 MB, as it leaves out pages
# that are shared with the system.
OWN_BYTES = 44 * MIB
MIN_FREE_BYTES = 16 * MIB  # Below this, usual requests would be refused.
# Shares of the memory that the daemon does not need itself. The rest is for the copy that joining
# the largest body makes (16 MiB), for what arrives between two samples, and for fragmentation.
BOUND_SHARES = (0.30, 0.45, 0.60)
LEFT_SHARE = 0.9  # A bound counts as left below this share of it, so that the log does not repeat.
EXCHANGE_BYTES = 32 * 1024  # Tasks, parsers and headers of one exchange; 30 KB were measured.
SMALL_BYTES = 64 * 1024  # Bodies up to this size are read at once; their number is bounded anyway.
# A head up to this size is part of `EXCHANGE_BYTES`. Of a longer one, each byte is held in several
# forms, such as the parts of a prompt that it names, and each field is an object.
USUAL_HEAD_BYTES = 2 * 1024
USUAL_HEAD_FIELDS = 64
HELD_PER_HEAD_BYTE = 10
HELD_PER_FIELD_BYTES = 1200
BUFFER_BYTES = 64 * 1024  # For a connection to write, before the sender waits.
# Sent bytes of a slow reader stay in the kernel's buffer, which would grow to several megabytes.
# The kernel takes twice this size, for its own bookkeeping.
SOCKET_BUFFER_BYTES = 64 * 1024
READ_AHEAD_BYTES = 32 * 1024  # For a response; the HTTP library reads up to twice as much ahead.
BEHIND_MS = 500  # A reader that is behind for less is not slow.
FLOOR_BYTES_PER_S = 1024.0  # Of a reader that takes nothing, so that its bytes still compare.
STUCK_MS = 2000  # Slow readers that keep the daemon refusing for this long are ended as well.
RETRY_AFTER_MS = 500  # By then, usual answers have ended, or slow readers are about to be.


class Level(enum.IntEnum):
    """Highest bound that is passed."""

    FREE = 0
    PAUSING = 1
    REFUSING = 2
    ENDING = 3


class Reader(Protocol):
    """Connection to a caller.

    `written_bytes` is the number of bytes that were written to it, taken by the caller or not.
    """

    written_bytes: int

    def measure_unread_bytes(self) -> int:
        """Return how many bytes wait in the connection's write buffer."""

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that the response is incomplete."""


class Source(Protocol):
    """Response of an upstream."""

    def measure_buffered_bytes(self) -> int:
        """Return how many bytes were received and not passed on yet."""


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds on the bytes held, in rising order."""

    pause_bytes: float
    refuse_bytes: float
    end_bytes: float

    def find_level(self, held_bytes: float, before: Level) -> Level:
        """Return the level for a number of bytes.

        :param held_bytes: bytes held.
        :param before: level before, whose bound is left a little below it.
        """
        level = Level.FREE
        for bound_bytes, passed in zip(dataclasses.astuple(self), list(Level)[1:], strict=True):
            limit_bytes = bound_bytes * (LEFT_SHARE if passed <= before else 1.0)
            if held_bytes >= limit_bytes:
                level = passed
        return level


def measure_free_bytes(memory_mb: float) -> float | None:
    """Return the memory of a VM that an idle daemon does not take; None where it is not known.

    :param memory_mb: memory of the VM, in MiB; 0 if it is unknown.
    """
    return max(MIN_FREE_BYTES, memory_mb * MIB - OWN_BYTES) if memory_mb > 0 else None


def make_bounds(memory_mb: float) -> Bounds | None:
    """Return the bounds of a VM; None where its memory is not known.

    :param memory_mb: memory of the VM, in MiB; 0 if it is unknown.
    """
    free_bytes = measure_free_bytes(memory_mb)
    if free_bytes is None:
        return None
    return Bounds(*(share * free_bytes for share in BOUND_SHARES))


def estimate_head_bytes(headers: Sequence[tuple[str, str]]) -> int:
    """Return what a head takes in memory beyond a usual one.

    :param headers: names and values.
    """
    size = sum(len(name) + len(value) for name, value in headers)
    return (
        max(0, size - USUAL_HEAD_BYTES) * HELD_PER_HEAD_BYTE
        + max(0, len(headers) - USUAL_HEAD_FIELDS) * HELD_PER_FIELD_BYTES
    )


class Holding:
    """What one exchange holds.

    :param account: account that it counts in; None for one that is not counted.
    :param reader: connection to the caller.
    """

    __slots__ = (
        "_account",
        "reader",
        "request_id",
        "source",
        "head_bytes",
        "request_bytes",
        "response_bytes",
        "buffered_bytes",
        "_gathered_count",
        "has_ended",
        "behind_since_ms",
        "_taken_before_bytes",
        "_unread_bytes",
    )

    def __init__(
        self, account: "MemoryAccount | None" = None, reader: Reader | None = None
    ) -> None:
        self._account = account
        self.reader = reader
        self.request_id = ""
        self.source: Source | None = None
        self.head_bytes = 0
        self.request_bytes = 0
        self.response_bytes = 0
        self.buffered_bytes = 0
        self._gathered_count = 0
        self.has_ended = False
        self.behind_since_ms: float | None = None
        self._taken_before_bytes = 0
        self._unread_bytes = 0

    @property
    def is_gathering(self) -> bool:
        """Whether a response is gathered whole."""
        return self._gathered_count > 0 and not self.has_ended

    @property
    def held_bytes(self) -> int:
        """Bytes held for the exchange."""
        if self.has_ended:
            return self.buffered_bytes
        copied_bytes = min(self.request_bytes, BUFFER_BYTES) + min(
            self.response_bytes, BUFFER_BYTES
        )
        own_bytes = EXCHANGE_BYTES + self.head_bytes + self.request_bytes + self.response_bytes
        return own_bytes + copied_bytes + self.buffered_bytes

    @property
    def must_pause(self) -> bool:
        """Whether no more of the response may be gathered for now."""
        return self._account is not None and self._account.must_pause(self)

    @property
    def is_refused(self) -> bool:
        """Whether no more of the request's body may be read."""
        is_large = self.request_bytes > SMALL_BYTES
        return is_large and self._account is not None and self._account.is_refusing(0)

    def grow_head(self, size: int) -> None:
        """Record that a head was read that is longer than usual.

        :param size: bytes that it takes beyond a usual one.
        """
        before_bytes = self.held_bytes
        self.head_bytes += size
        if self._account is not None:
            self._account.record_growth(self.held_bytes - before_bytes)

    def grow_request(self, size: int) -> None:
        """Record that a part of the request's body was read.

        :param size: bytes read.
        """
        self._add(request=size)

    def start_gathering(self, kept_bytes: int) -> None:
        """Record that a response is gathered whole, before it is passed on.

        :param kept_bytes: size of an earlier response that is kept.
        """
        if not self._gathered_count:
            self._add(response=kept_bytes - self.response_bytes)
        self._gathered_count += 1

    def grow_response(self, size: int) -> None:
        """Record that a part of a response was gathered.

        :param size: bytes read.
        """
        self._add(response=size)

    def end_gathering(self) -> None:
        """Record that a response is gathered no more."""
        self._gathered_count -= 1

    def measure(self, now_ms: float) -> None:
        """Measure the buffers of the connections.

        :param now_ms: monotonic clock, in milliseconds.
        """
        unread_bytes = self.reader.measure_unread_bytes() if self.reader else 0
        if self.has_ended:  # More than was unread before is of a later exchange on the connection.
            unread_bytes = self._unread_bytes = min(unread_bytes, self._unread_bytes)
        source_bytes = self.source.measure_buffered_bytes() if self.source else 0
        if unread_bytes and self.behind_since_ms is None and self.reader is not None:
            self.behind_since_ms = now_ms
            self._taken_before_bytes = self.reader.written_bytes - unread_bytes
        elif not unread_bytes:
            self.behind_since_ms = None
        kernel_bytes = 2 * SOCKET_BUFFER_BYTES if unread_bytes else 0
        self.buffered_bytes = unread_bytes + kernel_bytes + source_bytes

    def end(self) -> None:
        """Record that the exchange has ended, and what its caller has not taken by now."""
        self.has_ended, self.source = True, None
        self._unread_bytes = self.reader.measure_unread_bytes() if self.reader else 0

    def estimate_holding_s(self, now_ms: float) -> float:
        """Return for how long the caller would hold the bytes at its pace; 0 if it is not slow.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self.behind_since_ms is None or self.reader is None:
            return 0.0
        if self.has_ended and self.reader.measure_unread_bytes() > self._unread_bytes:
            return 0.0  # The connection carries a later response, which must not be ended.
        behind_ms = now_ms - self.behind_since_ms
        if behind_ms < BEHIND_MS:
            return 0.0
        taken_bytes = self.reader.written_bytes - self.reader.measure_unread_bytes()
        rate = (taken_bytes - self._taken_before_bytes) / behind_ms * 1000
        return self.held_bytes / (FLOOR_BYTES_PER_S + rate)

    def _add(self, request: int = 0, response: int = 0) -> None:
        before_bytes = self.held_bytes
        self.request_bytes += request
        self.response_bytes += response
        if self._account is not None:
            self._account.record_growth(self.held_bytes - before_bytes)


class MemoryAccount:
    """Holdings of all exchanges, and the level that their sum has reached.

    :param bounds: bounds; None where the memory is not known, and nothing is bounded.
    """

    __slots__ = ("bounds", "held_bytes", "level", "refusing_since_ms", "_holdings")

    def __init__(self, bounds: Bounds | None) -> None:
        self.bounds = bounds
        self.held_bytes = 0
        self.level = Level.FREE
        self.refusing_since_ms: float | None = None
        self._holdings: dict[Holding, None] = {}  # In the order of their arrival.

    @property
    def is_bounded(self) -> bool:
        """Whether the memory is known."""
        return self.bounds is not None

    @property
    def write_buffer_bytes(self) -> int:
        """Size of a caller's write buffer above which the daemon waits for the caller."""
        return 0 if self.level >= Level.PAUSING else BUFFER_BYTES

    @property
    def exchange_count(self) -> int:
        """Number of exchanges that hold something."""
        return len(self._holdings)

    def open(self, reader: Reader) -> Holding:
        """Return the holding of a new exchange.

        :param reader: connection to the caller.
        """
        if self.bounds is None:
            return Holding()
        holding = Holding(self, reader)
        self._holdings[holding] = None
        self.record_growth(holding.held_bytes)
        return holding

    def close(self, holding: Holding) -> None:
        """End an exchange; what its caller has not taken yet counts on.

        :param holding: holding of the exchange.
        """
        if holding not in self._holdings:
            return
        before_bytes = holding.held_bytes
        holding.end()
        holding.head_bytes = holding.request_bytes = holding.response_bytes = 0
        self.record_growth(holding.held_bytes - before_bytes)
        if not holding.buffered_bytes and not (
            holding.reader and holding.reader.measure_unread_bytes()
        ):
            del self._holdings[holding]

    def record_growth(self, size: int) -> None:
        """Count bytes that are held from now on.

        :param size: number of bytes; negative for bytes that were released.
        """
        self.held_bytes += size
        if self.bounds is not None:
            self.level = self.bounds.find_level(self.held_bytes, self.level)

    def is_refusing(self, body_bytes: int) -> bool:
        """Return whether a request is refused.

        :param body_bytes: size of its body, as far as it is known.
        """
        if self.bounds is None:
            return False
        is_too_large = self.held_bytes + body_bytes >= self.bounds.refuse_bytes
        return self.level >= Level.REFUSING or is_too_large

    def must_pause(self, holding: Holding) -> bool:
        """Return whether a response that is gathered whole may not grow for now.

        The one that arrived first may, so that one after the other becomes complete; past the last
        bound only if there is no slow reader left to end.

        :param holding: holding of the exchange.
        """
        if self.level < Level.PAUSING or holding.response_bytes <= SMALL_BYTES:
            return False
        if self.level >= Level.ENDING and any(
            one.behind_since_ms is not None for one in self._holdings
        ):
            return True
        first = next((one for one in self._holdings if one.is_gathering), None)
        return first is not None and first is not holding

    def measure(self, now_ms: float) -> list[Holding]:
        """Measure all buffers.

        :param now_ms: monotonic clock, in milliseconds.
        :return: the holdings of the exchanges that are to be ended.
        """
        if self.bounds is None:
            return []
        for holding in list(self._holdings):
            holding.measure(now_ms)
            if holding.has_ended and not holding.buffered_bytes:
                del self._holdings[holding]
        self.held_bytes = sum(holding.held_bytes for holding in self._holdings)
        self.level = self.bounds.find_level(self.held_bytes, self.level)
        return self._choose_to_end(self.bounds.end_bytes, now_ms)

    def sum_by_kind(self) -> dict[str, int]:
        """Return the bytes held, by what they are held for."""
        return {
            "request": sum(
                holding.head_bytes + holding.request_bytes for holding in self._holdings
            ),
            "response": sum(holding.response_bytes for holding in self._holdings),
            "buffer": sum(holding.buffered_bytes for holding in self._holdings),
        }

    def _choose_to_end(self, end_bytes: float, now_ms: float) -> list[Holding]:
        if self.level < Level.REFUSING:
            self.refusing_since_ms = None
            return []
        if self.refusing_since_ms is None:
            self.refusing_since_ms = now_ms
        times_s = {holding: holding.estimate_holding_s(now_ms) for holding in self._holdings}
        slow = sorted((one for one in times_s if times_s[one]), key=times_s.__getitem__)
        if self.level < Level.ENDING:
            is_stuck = now_ms - self.refusing_since_ms >= STUCK_MS
            return slow[-1:] if is_stuck else []
        chosen = []
        left_bytes = self.held_bytes
        while slow and left_bytes >= end_bytes * LEFT_SHARE:
            chosen.append(slow.pop())
            left_bytes -= chosen[-1].held_bytes
        return chosen
