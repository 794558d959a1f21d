"""Ring buffer of the events that one daemon records."""

import collections
from collections.abc import Callable

from tanagerfork import clock as clocks
from tanagerfork.generated import events
from tanagerfork.timeline import hybrid, kinds

EVENT_OVERHEAD_BYTES = 400  # Record and deque entry, without the texts.
MAX_DETAIL_CHARS = 500
MAX_BYTES = 2 * 1024 * 1024

Listener = Callable[[events.Event], None]


class Timeline:
    """Records events in a ring buffer that drops the oldest ones.

    :param daemon: name of the daemon.
    :param clock: clock for the timestamps of events.
    :param max_events: number of events to keep.
    :param max_bytes: memory limit of the kept events, as estimated by `estimate_bytes`.
    :param on_event: called with each event, for example to log it; None for no callback.
    """

    __slots__ = (
        "time",
        "_daemon",
        "_events",
        "_max_events",
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
        max_events: int,
        max_bytes: int = MAX_BYTES,
        on_event: Listener | None = None,
    ) -> None:
        self.time = hybrid.HybridClock(clock)
        self._daemon = daemon
        self._events: collections.deque[events.Event] = collections.deque()
        self._max_events = max_events
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
        :param detail: decision and its reason, cut at `MAX_DETAIL_CHARS`.
        :param group: group that the event concerns.
        :param vm: VM that the event concerns.
        :param request: request that the event concerns.
        :param bundle_version: bundle that the event concerns.
        :param at: stamp taken before the change could be seen by other daemons; None for now.
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
        while len(self._events) > self._max_events or self._held_bytes > self._max_bytes:
            self._held_bytes -= estimate_bytes(self._events.popleft())
        if self._on_event is not None:
            self._on_event(event)
        return event

    def observe(self, wall_ms: int, counter: int) -> bool:
        """Make all later events sort after a received stamp.

        :param wall_ms: wall clock of the stamp.
        :param counter: counter of the stamp.
        :return: False if the stamp is too far ahead of the local clock and was refused.
        """
        return self.time.observe(hybrid.HybridTime(wall_ms, counter))

    def stamp(self) -> hybrid.HybridTime:
        """Return a stamp for a message to send."""
        return self.time.tick()

    def read(self, after_sequence: int = -1) -> events.EventPage:
        """Return the events that are still kept.

        :param after_sequence: sequence number after which events are returned.
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
    """Estimate the memory that an event takes.

    :param event: event to measure.
    """
    return (
        EVENT_OVERHEAD_BYTES
        + len(event.detail)
        + len(event.group)
        + len(event.vm)
        + len(event.request)
    )
