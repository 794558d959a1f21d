"""Retry budgets of teams, and the rate at which lost connections are dialled again."""

import collections
import math
import random

RETRY_SHARE = 0.2
INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0
DIALS_PER_S = 50.0
DIAL_BURST = 10.0
MAX_JITTER_MS = 50


class RetryBudget:
    """Limits retries to a share of the first attempts, per team and for the whole daemon.

    The limit per team keeps a team with many failures from using up the retries of the others.
    """

    __slots__ = ("_available",)

    def __init__(self) -> None:
        self._available: dict[str, float] = collections.defaultdict(lambda: INITIAL_RETRIES)

    def record_first_attempt(self, team: str) -> None:
        """Add the share of a first attempt to the budget.

        :param team: team of the request.
        """
        for holder in (team, ""):
            self._available[holder] = min(MAX_SAVED_RETRIES, self._available[holder] + RETRY_SHARE)

    def take_retry(self, team: str) -> bool:
        """Take one retry from the budget.

        :param team: team of the request.
        :return: whether the retry is allowed.
        """
        if self._available[team] < 1 or self._available[""] < 1:
            return False
        self._available[team] -= 1
        self._available[""] -= 1
        return True


class DialPacer:
    """Limits the rate of dials after many connections were lost at once.

    A burst of `DIAL_BURST` dials is allowed at once; later ones are delayed, with a random jitter.

    :param rng: random numbers.
    """

    __slots__ = ("_rng", "_next_dial_at_ms")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_dial_at_ms = -math.inf

    def reserve(self, now_ms: int) -> int:
        """Reserve the next dial.

        :param now_ms: monotonic clock, in milliseconds.
        :return: time to wait before dialling, in milliseconds.
        """
        interval_ms = 1000 / DIALS_PER_S
        earliest_ms = now_ms - DIAL_BURST * interval_ms
        self._next_dial_at_ms = max(self._next_dial_at_ms, earliest_ms) + interval_ms
        wait_ms = self._next_dial_at_ms - now_ms
        if wait_ms <= 0:
            return 0
        return round(wait_ms + self._rng.uniform(0, MAX_JITTER_MS))
