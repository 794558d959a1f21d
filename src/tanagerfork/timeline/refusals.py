"""Refusals of requests as counts: one event for many."""

import collections

from tanagerfork.timeline import kinds, ring

INTERVAL_MS = 10_000


class Refusals:
    """Counts refusals and tells them on the time line from time to time.

    :param timeline: time line.
    """

    __slots__ = ("_timeline", "_counts", "_told_at_ms")

    def __init__(self, timeline: ring.Timeline) -> None:
        self._timeline = timeline
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._told_at_ms = 0

    def note(self, team: str, kind: str) -> None:
        """Count a refusal.

        :param team: team, empty where it is not known.
        :param kind: kind of the error.
        """
        self._counts[team, kind] += 1

    def tell(self, now_ms: int) -> None:
        """Record what was counted, unless that was done a short time ago.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if not self._counts or now_ms - self._told_at_ms < INTERVAL_MS:
            return
        self._told_at_ms = now_ms
        counted = (
            f"{count} of {team or 'no team'} as {kind}"
            for (team, kind), count in self._counts.most_common()
        )
        self._timeline.record(kinds.EventKind.REQUEST_REFUSED, ", ".join(counted))
        self._counts.clear()
