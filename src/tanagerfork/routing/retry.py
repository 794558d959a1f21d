"""Retries: how many are allowed, and how fast connections are dialled again."""

import collections
import math
import random

SHARE = 0.2
RESERVE = 10.0
MAX_SAVED = 100.0
DIALS_PER_S = 50.0
DIAL_BURST = 10.0
JITTER_MS = 50


class RetryBudget:
    """Allows retries as a share of the fresh requests, per team and for the whole daemon.

    A team's budget keeps one team's failing requests from using up what the others need.
    """

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved: dict[str, float] = collections.defaultdict(lambda: RESERVE)

    def note_fresh(self, team: str) -> None:
        """Add a fresh request's share.

        :param team: team of the request.
        """
        for holder in (team, ""):
            self._saved[holder] = min(MAX_SAVED, self._saved[holder] + SHARE)

    def take(self, team: str) -> bool:
        """Take one retry.

        :param team: team of the request.
        :return: whether it is allowed.
        """
        if self._saved[team] < 1 or self._saved[""] < 1:
            return False
        self._saved[team] -= 1
        self._saved[""] -= 1
        return True


class DialPacer:
    """Spreads the dials after many connections were lost at once.

    A few go at once; the ones after them wait for their turn and a random time more.

    :param rng: random numbers.
    """

    __slots__ = ("_rng", "_next_free_ms")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_free_ms = -math.inf

    def reserve(self, now_ms: int) -> int:
        """Reserve the next dial.

        :param now_ms: monotonic clock, in milliseconds.
        :return: time to wait before it, in milliseconds.
        """
        interval_ms = 1000 / DIALS_PER_S
        earliest_ms = now_ms - DIAL_BURST * interval_ms
        self._next_free_ms = max(self._next_free_ms, earliest_ms) + interval_ms
        wait_ms = self._next_free_ms - now_ms
        if wait_ms <= 0:
            return 0
        return round(wait_ms + self._rng.uniform(0, JITTER_MS))
