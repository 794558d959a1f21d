"""Load of groups: their reports, corrected by what this daemon sent since."""

import collections
import collections.abc

from tanagerfork.groups import presence

HISTORY_MS = 10_000


class SentLoad:
    """History of when this daemon's requests at each group began and ended."""

    __slots__ = ("_open_requests", "_changes")

    def __init__(self) -> None:
        self._open_requests: collections.Counter[str] = collections.Counter()
        self._changes: dict[str, collections.deque[tuple[int, int]]] = {}

    def begin_request(self, group: str, now_ms: int) -> None:
        """Record that a request was sent to a group.

        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._record_change(group, now_ms, 1)

    def end_request(self, group: str, now_ms: int) -> None:
        """Record that a request at a group ended.

        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._record_change(group, now_ms, -1)

    def count_open(self, group: str) -> int:
        """Return the number of this daemon's open requests at a group.

        :param group: group.
        """
        return self._open_requests.get(group, 0)

    def estimate_requests(self, view: presence.GroupView, now_ms: int) -> int:
        """Return the estimated number of requests that run or wait at a group.

        :param view: group with its last report and the report's age.
        :param now_ms: monotonic clock, in milliseconds.
        :return: reported requests, corrected by this daemon's since; at least its open requests.
        """
        group = view.record.group
        own = self.count_open(group)
        if view.report is None:
            return own
        reported = view.report.running + view.report.waiting
        return max(reported + self.net_change_since(group, now_ms - view.report_age_ms), own)

    def net_change_since(self, group: str, since_ms: int) -> int:
        """Return how many more of this daemon's requests began at a group than ended since a time.

        :param group: group.
        :param since_ms: start of the interval on the monotonic clock, in milliseconds.
        """
        total = 0
        for changed_at_ms, change in reversed(self._changes.get(group, ())):
            if changed_at_ms < since_ms:
                break
            total += change
        return total

    def _record_change(self, group: str, now_ms: int, change: int) -> None:
        self._open_requests[group] += change
        changes = self._changes.setdefault(group, collections.deque())
        changes.append((now_ms, change))
        while changes and changes[0][0] < now_ms - HISTORY_MS:
            changes.popleft()
        if not self._open_requests[group]:
            del self._open_requests[group]

    def keep_only(self, groups: collections.abc.Collection[str]) -> None:
        """Drop the history of all other groups.

        :param groups: groups that still exist.
        """
        for group in [name for name in self._changes if name not in groups]:
            if group not in self._open_requests:
                del self._changes[group]
