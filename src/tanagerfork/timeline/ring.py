"""The events that one daemon keeps in memory."""

import collections
from collections.abc import Callable

from tanagerfork import clock as clocks
from tanagerfork.generated import events
from tanagerfork.timeline import hybrid, kinds

EVENT_BYTES = 400  # Record and container, without the texts.
MAX_DETAIL_CHARS = 500
MAX_BYTES = 2 * 1024 * 1024

Listener = Callable[[events.Event], None]


class Timeline:
    """Records events in a ring that drops the oldest ones.

    :param daemon: name of the daemon.
    :param clock: clock that stamps the events.
    :param size: events kept.
    :param max_bytes: memory of the events kept, as estimated by their texts.
    :param on_event: called with each event, such as to log it; None for nothing.
    """

    __slots__ = (
        "time",
        "_daemon",
        "_events",
        "_size",
        "_max_bytes",
        "_held_bytes",
        "_next_sequence",
        "_started_ms",
        "_on_event",
    )

    def __init__(
        self,
        daemon: str,
        clock: clocks.Clock,
        size: int,
        max_bytes: int = MAX_BYTES,
        on_event: Listener | None = None,
    ) -> None:
        self.time = hybrid.HybridClock(clock)
        self._daemon = daemon
        self._events: collections.deque[events.Event] = collections.deque()
        self._size = size
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._next_sequence = 0
        self._started_ms = clock.wall_ms()
        self._on_event = on_event

    def record(
        self,
        kind: kinds.EventKind,
        detail: str = "",
        *,
        group: str = "",
        vm: str = "",
        request: str = "",
        bundle_version: int = 0,
        at: hybrid.HybridTime | None = None,
    ) -> events.Event:
        """Add an event.

        :param kind: kind of the event.
        :param detail: what was decided and why.
        :param group: group concerned.
        :param vm: VM concerned.
        :param request: request concerned.
        :param bundle_version: bundle concerned.
        :param at: stamp taken before what the event tells of could be seen elsewhere; None for now.
        :return: the event as recorded.
        """
        stamp = at or self.time.tick()
        event = events.Event(
            daemon=self._daemon,
            sequence=self._next_sequence,
            wall_ms=stamp.wall_ms,
            counter=stamp.counter,
            kind=kind.value,
            group=group,
            vm=vm,
            request=request,
            bundle_version=bundle_version,
            detail=detail[:MAX_DETAIL_CHARS],
        )
        self._next_sequence += 1
        self._events.append(event)
        self._held_bytes += estimate_bytes(event)
        while len(self._events) > self._size or self._held_bytes > self._max_bytes:
            self._held_bytes -= estimate_bytes(self._events.popleft())
        if self._on_event is not None:
            self._on_event(event)
        return event

    def observe(self, wall_ms: int, counter: int) -> bool:
        """Have all later events sort after a stamp that was heard.

        :param wall_ms: wall clock part of the stamp.
        :param counter: counter part of the stamp.
        :return: whether it counts; False where it is too far ahead of the own clock.
        """
        return self.time.observe(hybrid.HybridTime(wall_ms, counter))

    def stamp(self) -> hybrid.HybridTime:
        """Return the stamp of a message that is sent."""
        return self.time.tick()

    def read(self, after_sequence: int = -1) -> events.EventPage:
        """Return the events that are still kept.

        :param after_sequence: last sequence that is known already.
        :return: the events after it.
        """
        kept = [event for event in self._events if event.sequence > after_sequence]
        dropped = self._next_sequence - len(self._events)
        return events.EventPage(
            daemon=self._daemon,
            started_ms=self._started_ms,
            dropped=dropped,
            next_sequence=self._next_sequence,
            events=kept,
        )


def estimate_bytes(event: events.Event) -> int:
    """Return the memory that an event takes, about.

    :param event: event.
    """
    return EVENT_BYTES + len(event.detail) + len(event.group) + len(event.vm) + len(event.request)
