"""Budget of second sends: a share of the fresh requests and this daemon's part of a reserve."""

import collections
import dataclasses

SHARE_USED = 0.8  # Part of the allowance that is used, as daemons count in windows of their own.


@dataclasses.dataclass(slots=True, frozen=True)
class Allowance:
    """What all daemons together may send again to one service within a window."""

    share: float
    reserve: float
    window_ms: float


class RepeatBudget:
    """Counts the second sends of one daemon to each service in a sliding window.

    Daemons that cannot hear each other still keep to the sum: each one uses the share of the
    requests that it took itself, and an equal part of the reserve.

    :param allowance: what all daemons together may send again.
    """

    __slots__ = ("_allowance", "_fresh", "_repeats", "daemons")

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._fresh: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}
        self.daemons = 1

    def note_fresh(self, service: str, now_ms: float) -> None:
        """Count a fresh request.

        :param service: service that it goes to.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._trim(self._fresh, service, now_ms).append(now_ms)

    def count_left(self, service: str, now_ms: float) -> float:
        """Return how many second sends are left.

        :param service: service.
        :param now_ms: monotonic clock, in milliseconds.
        """
        fresh = len(self._trim(self._fresh, service, now_ms))
        repeats = len(self._trim(self._repeats, service, now_ms))
        reserve = self._allowance.reserve / max(1, self.daemons)
        return (self._allowance.share * fresh + reserve) * SHARE_USED - repeats

    def take(self, service: str, now_ms: float) -> bool:
        """Take one second send.

        :param service: service.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether it is allowed.
        """
        if self.count_left(service, now_ms) < 1:
            return False
        self._trim(self._repeats, service, now_ms).append(now_ms)
        return True

    def _trim(
        self, counted: dict[str, collections.deque[float]], service: str, now_ms: float
    ) -> collections.deque[float]:
        times = counted.setdefault(service, collections.deque())
        while times and times[0] <= now_ms - self._allowance.window_ms:
            times.popleft()
        return times
