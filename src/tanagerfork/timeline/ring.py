"""The events that one daemon keeps in memory."""

import collections

from tanagerfork import clock as clocks
from tanagerfork.generated import events
from tanagerfork.timeline import kinds


class Timeline:
    """Records events in a ring that drops the oldest ones.

    :param daemon: name of the daemon.
    :param clock: clock that stamps the events.
    :param size: events kept.
    """

    __slots__ = ("_daemon", "_clock", "_events", "_next_sequence", "_wall_ms", "_counter")

    def __init__(self, daemon: str, clock: clocks.Clock, size: int) -> None:
        self._daemon = daemon
        self._clock = clock
        self._events: collections.deque[events.Event] = collections.deque(maxlen=size)
        self._next_sequence = 0
        self._wall_ms = 0
        self._counter = 0

    def record(
        self,
        kind: kinds.EventKind,
        detail: str = "",
        *,
        group: str = "",
        vm: str = "",
        request: str = "",
        bundle_version: int = 0,
    ) -> events.Event:
        """Add an event.

        :param kind: kind of the event.
        :param detail: what was decided and why.
        :param group: group concerned.
        :param vm: VM concerned.
        :param request: request concerned.
        :param bundle_version: bundle concerned.
        :return: the event as recorded.
        """
        self._tick()
        event = events.Event(
            daemon=self._daemon,
            sequence=self._next_sequence,
            wall_ms=self._wall_ms,
            counter=self._counter,
            kind=kind.value,
            group=group,
            vm=vm,
            request=request,
            bundle_version=bundle_version,
            detail=detail,
        )
        self._next_sequence += 1
        self._events.append(event)
        return event

    def read(self, after_sequence: int = -1) -> events.EventPage:
        """Return the events that are still kept.

        :param after_sequence: last sequence that is known already.
        :return: the events after it.
        """
        kept = [event for event in self._events if event.sequence > after_sequence]
        dropped = self._next_sequence - len(self._events)
        return events.EventPage(
            daemon=self._daemon, dropped=dropped, next_sequence=self._next_sequence, events=kept
        )

    def _tick(self) -> None:
        now_ms = self._clock.wall_ms()
        if now_ms > self._wall_ms:
            self._wall_ms, self._counter = now_ms, 0
        else:
            self._counter += 1
