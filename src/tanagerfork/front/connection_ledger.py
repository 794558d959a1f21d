"""Connections of clients: which are open, and which one is closed to make room for another.

A crowd may hold all connections that a listener can have. Then the one is closed that would be
missed least: a client that has waited for long without a complete request before one that is idle
after an answer, and neither before a request that is being served.
"""

import enum
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from tanagerfork.front import bounds

C = TypeVar("C")


class Phase(enum.Enum):
    """What a connection waits for."""

    NEW = "its first request"
    HEAD = "the rest of a head"
    IDLE = "a further request"
    BODY = "the rest of a body"
    ANSWER = "an answer"
    UNREAD = "the client to take its answer"
    REFUSED = "the client to read a refusal"


# In which order connections are closed for room, and how long they must have been in the phase.
CLOSING_ORDER = (
    (Phase.REFUSED, 0.0),
    (Phase.NEW, bounds.SETTLE_MS),
    (Phase.HEAD, bounds.SETTLE_MS),
    (Phase.IDLE, bounds.SETTLE_MS),
    (Phase.UNREAD, bounds.BODY_SETTLE_MS),
    (Phase.BODY, bounds.BODY_SETTLE_MS),
    (Phase.NEW, 0.0),
    (Phase.HEAD, 0.0),
    (Phase.IDLE, 0.0),
)


class ConnectionLedger(Generic[C]):
    """The connections of one listener, by phase, in the order in which they entered it.

    :param limit: connections open at once.
    """

    __slots__ = ("limit", "body_bytes", "_since_ms", "_phases")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.body_bytes = 0  # Of requests that are being read or served.
        self._since_ms: dict[Phase, dict[C, float]] = {phase: {} for phase in Phase}
        self._phases: dict[C, Phase] = {}

    def __len__(self) -> int:
        return len(self._phases)

    def enter(self, connection: C, phase: Phase, now_ms: float) -> None:
        """Record that a connection enters a phase; one that is in it already stays as it is.

        :param connection: connection.
        :param phase: phase.
        :param now_ms: monotonic clock, in milliseconds.
        """
        before = self._phases.get(connection)
        if before is phase:
            return
        if before is not None:
            del self._since_ms[before][connection]
        self._phases[connection] = phase
        self._since_ms[phase][connection] = now_ms

    def remove(self, connection: C) -> None:
        """Forget a connection; one that is not known is ignored.

        :param connection: connection.
        """
        phase = self._phases.pop(connection, None)
        if phase is not None:
            del self._since_ms[phase][connection]

    def find_phase(self, connection: C) -> Phase | None:
        """Return the phase of a connection; None if it is not known.

        :param connection: connection.
        """
        return self._phases.get(connection)

    def list_older(self, phase: Phase, before_ms: float) -> list[C]:
        """Return the connections that entered a phase before a time, the oldest first.

        :param phase: phase.
        :param before_ms: monotonic clock, in milliseconds.
        """
        found = []
        for connection, since_ms in self._since_ms[phase].items():
            if since_ms >= before_ms:
                break
            found.append(connection)
        return found

    def list_in(self, *phases: Phase) -> list[C]:
        """Return the connections that are in one of some phases.

        :param phases: phases.
        """
        return [connection for phase in phases for connection in self._since_ms[phase]]

    def choose_to_close(self, now_ms: float) -> C | None:
        """Return the connection to close for room; None if each has a request that is served.

        :param now_ms: monotonic clock, in milliseconds.
        """
        for phase, settle_ms in CLOSING_ORDER:
            oldest = next(iter(self._since_ms[phase].items()), None)
            if oldest is not None and now_ms - oldest[1] >= settle_ms:
                return oldest[0]
        return None


class ConnectionTable(Generic[C]):
    """The connections of all listeners of a process.

    :param limit: connections open at once.
    :param all_bodies_bytes: bytes of requests that are read or served at once.
    """

    __slots__ = ("limit", "all_bodies_bytes", "_ledgers", "_costly_at_ms")

    def __init__(self, limit: int, all_bodies_bytes: float = bounds.ALL_BODIES_BYTES) -> None:
        self.limit = limit
        self.all_bodies_bytes = all_bodies_bytes
        self._ledgers: list[ConnectionLedger[C]] = []
        self._costly_at_ms: dict[C, float] = {}  # In the order of the last costly read.

    def pace(self, connection: C, parts: int, now_ms: float) -> float:
        """Return for how long a connection is not read, so that the others are, in milliseconds.

        A crowd whose bytes take long to check gets a share of the processor, however large it is.

        :param connection: connection.
        :param parts: chunks and fields that were checked of the bytes just read.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if parts <= bounds.COSTLY_READ_PARTS:
            return 0.0
        self._costly_at_ms.pop(connection, None)
        self._costly_at_ms[connection] = now_ms
        while True:
            oldest = next(iter(self._costly_at_ms))
            if now_ms - self._costly_at_ms[oldest] <= bounds.PACE_WINDOW_MS:
                break
            del self._costly_at_ms[oldest]
        others = len(self._costly_at_ms) - 1
        return min(bounds.MAX_PACE_MS, bounds.PACE_FACTOR * parts * bounds.PART_MS * others)

    def forget(self, connection: C) -> None:
        """Forget the reads of a connection that has ended.

        :param connection: connection.
        """
        self._costly_at_ms.pop(connection, None)

    def open_ledger(self, limit: int) -> ConnectionLedger[C]:
        """Return the ledger of a new listener.

        :param limit: connections of it that are open at once.
        """
        ledger: ConnectionLedger[C] = ConnectionLedger(min(limit, self.limit))
        self._ledgers.append(ledger)
        return ledger

    @property
    def body_bytes(self) -> int:
        """Bytes of the requests that are read or served."""
        return sum(ledger.body_bytes for ledger in self._ledgers)

    def make_room(
        self, ledger: ConnectionLedger[C], pending: int, now_ms: float, close: Callable[[C], None]
    ) -> bool:
        """Return whether a connection may be accepted, after one was closed where it is needed.

        :param ledger: ledger of its listener.
        :param pending: connections of that listener that were accepted and are not in the ledger.
        :param now_ms: monotonic clock, in milliseconds.
        :param close: closes a connection, and removes it from its ledger.
        """
        if len(ledger) + pending >= ledger.limit:
            return _close_one([ledger], now_ms, close)
        if sum(map(len, self._ledgers)) + pending < self.limit:
            return True
        # A listener keeps its share, so that a crowd at one does not take those of the others.
        share = self.limit // (2 * len(self._ledgers))
        above = [one for one in self._ledgers if len(one) > share]
        return _close_one(sorted(above, key=len, reverse=True), now_ms, close)


def _close_one(
    ledgers: Iterable[ConnectionLedger[C]], now_ms: float, close: Callable[[C], None]
) -> bool:
    for ledger in ledgers:
        found = ledger.choose_to_close(now_ms)
        if found is not None:
            close(found)
            return True
    return False
