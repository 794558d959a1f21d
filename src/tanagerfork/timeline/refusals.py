"""Counts of refused requests, recorded as one event per interval."""

import collections

from tanagerfork.timeline import kinds, ring

FLUSH_INTERVAL_MS = 10_000


class RefusalCounter:
    """Counts refused requests and records the counts on the timeline at intervals.

    :param timeline: timeline that records the events.
    """

    __slots__ = ("_timeline", "_counts", "_flushed_at_ms")

    def __init__(self, timeline: ring.Timeline) -> None:
        self._timeline = timeline
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._flushed_at_ms = 0

    def note(self, team: str, kind: str) -> None:
        """Count a refused request.

        :param team: team, empty if it is not known.
        :param kind: kind of the error.
        """
        self._counts[team, kind] += 1

    def flush(self, now_ms: int) -> None:
        """Record the counts and reset them, at most once per `FLUSH_INTERVAL_MS`.

        :param now_ms: monotonic clock in milliseconds.
        """
        if not self._counts or now_ms - self._flushed_at_ms < FLUSH_INTERVAL_MS:
            return
        self._flushed_at_ms = now_ms
        summaries = (
            f"{count} of {team or 'no team'} as {kind}"
            for (team, kind), count in self._counts.most_common()
        )
        self._timeline.record(kinds.EventKind.REQUEST_REFUSED, ", ".join(summaries))
        self._counts.clear()
