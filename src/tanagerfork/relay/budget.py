"""Retry budget: a share of the recent requests plus this daemon's part of a common reserve."""

import collections
import dataclasses

from tanagerfork.generated import relay as settings_records

USED_SHARE = 0.8  # The rest is a margin, as the windows of the daemons are not aligned.


@dataclasses.dataclass(slots=True, frozen=True)
class Allowance:
    """Limit on the retries of all daemons together to one service within a window.

    `share` is a part of the requests in the window, `reserve` a number of retries added to it.
    """

    share: float
    reserve: float
    window_ms: float


def make_budget(bounds: settings_records.BoundSettings) -> "RetryBudget":
    """Return the retry budget of a deployment.

    :param bounds: limits of the deployment.
    """
    return RetryBudget(
        Allowance(bounds.repeat_share, bounds.repeat_reserve, bounds.repeat_window_ms)
    )


class RetryBudget:
    """Limits the retries of one daemon to each service in a sliding window.

    The daemons keep to the common limit without communicating: each one uses the share of the
    requests that it received itself, and an equal part of the reserve.

    :param allowance: limit on the retries of all daemons together.
    """

    __slots__ = ("_allowance", "_request_times", "_retry_times", "daemon_count")

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._request_times: dict[str, collections.deque[float]] = {}
        self._retry_times: dict[str, collections.deque[float]] = {}
        self.daemon_count = 1

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a new request, which adds to the budget.

        :param service: service that the request goes to.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._drop_expired(self._request_times, service, now_ms).append(now_ms)

    def count_remaining(self, service: str, now_ms: float) -> float:
        """Return how many retries are left.

        :param service: service.
        :param now_ms: monotonic clock, in milliseconds.
        """
        requests = len(self._drop_expired(self._request_times, service, now_ms))
        retries = len(self._drop_expired(self._retry_times, service, now_ms))
        reserve = self._allowance.reserve / max(1, self.daemon_count)
        return (self._allowance.share * requests + reserve) * USED_SHARE - retries

    def try_acquire(self, service: str, now_ms: float) -> bool:
        """Use up one retry, if one is left.

        :param service: service.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether the retry is allowed.
        """
        if self.count_remaining(service, now_ms) < 1:
            return False
        self._drop_expired(self._retry_times, service, now_ms).append(now_ms)
        return True

    def _drop_expired(
        self, times_by_service: dict[str, collections.deque[float]], service: str, now_ms: float
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now_ms - self._allowance.window_ms:
            times.popleft()
        return times
