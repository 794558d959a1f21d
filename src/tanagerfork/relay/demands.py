"""Demands: how many requests a second arrive for each model, by team and rank, over all daemons.

Each daemon measures its own arrivals and reports them with its loads. Rates are smoothed over less
than a second, so that a burst of a few seconds is seen in its first one.
"""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from tanagerfork.generated import notices

SMOOTHING_MS = 400.0  # A burst lasts 3 to 7 s, and rates are reported up to 900 ms late besides.
MIN_RATE_PER_S = 0.05  # Lower rates are forgotten; by then 3 s have passed since one request.
MAX_REPORTED = 8  # Demands of one model in a notice; the smaller ones are summed up.
TTL_MS = 1200.0  # Like that of reported loads.
REPORTED_UNIT = 0.1  # Requests a second that a unit of a reported rate stands for.
LATE_RANK = 10  # Rank of requests that can't be in time any more, behind all priorities.


@dataclasses.dataclass(slots=True, frozen=True)
class DemandKey:
    """Requests that are shed alike.

    `rank` is the effective priority, or `LATE_RANK`. With `is_rest` these are the requests of all
    teams that are not reported one by one.
    """

    service: str
    model: str
    team: str
    rank: int
    is_rest: bool = False


Demands = dict[DemandKey, float]


@dataclasses.dataclass(slots=True)
class Arrivals:
    """Smoothed rate of arrivals, in requests a second, as of `at_ms`."""

    rate_per_s: float
    at_ms: float

    def measure(self, now_ms: float) -> float:
        """Return the rate at a time.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.rate_per_s * math.exp(-(now_ms - self.at_ms) / SMOOTHING_MS)


class DemandBook:
    """Demands of this daemon and of the others, by the names under which they reported them."""

    __slots__ = ("_arrivals", "_reported")

    def __init__(self) -> None:
        self._arrivals: dict[DemandKey, Arrivals] = {}
        self._reported: dict[str, tuple[float, Demands]] = {}

    def note_arrival(self, key: DemandKey, now_ms: float) -> None:
        """Record the arrival of a request.

        :param key: what it counts for.
        :param now_ms: monotonic clock, in milliseconds.
        """
        arrivals = self._arrivals.setdefault(key, Arrivals(0.0, now_ms))
        arrivals.rate_per_s = arrivals.measure(now_ms) + 1000 / SMOOTHING_MS
        arrivals.at_ms = now_ms

    def record_peer(self, daemon: str, demands: Demands, now_ms: float) -> None:
        """Replace the demands that another daemon reported.

        :param daemon: name of the daemon, or of a sum.
        :param demands: demands.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._reported[daemon] = now_ms, demands

    def expire_peers(self, now_ms: float) -> None:
        """Drop what daemons reported that have been silent for too long.

        :param now_ms: monotonic clock, in milliseconds.
        """
        self._reported = {
            name: reported
            for name, reported in self._reported.items()
            if now_ms - reported[0] <= TTL_MS
        }

    def drop_peers(self, without: str) -> None:
        """Drop what all other daemons reported but one.

        :param without: name of the one that is kept.
        """
        self._reported = {
            name: reported for name, reported in self._reported.items() if name == without
        }

    def drop_peer(self, daemon: str) -> None:
        """Drop what one daemon reported, if anything.

        :param daemon: name of the daemon, or of a sum.
        """
        self._reported.pop(daemon, None)

    def list_own(self, now_ms: float) -> Demands:
        """Return the demands of this daemon's callers.

        :param now_ms: monotonic clock, in milliseconds.
        """
        rates = {key: arrivals.measure(now_ms) for key, arrivals in self._arrivals.items()}
        for key in [key for key, rate in rates.items() if rate < MIN_RATE_PER_S]:
            del rates[key], self._arrivals[key]
        return rates

    def list_reported(self, now_ms: float) -> set[DemandKey]:
        """Return the demands that other daemons reported.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return {
            key
            for reported_at_ms, demands in self._reported.values()
            if now_ms - reported_at_ms <= TTL_MS
            for key in demands
        }

    def sum_models(self, now_ms: float) -> dict[tuple[str, str], float]:
        """Return the rate of each service and model over all daemons, without late retries.

        :param now_ms: monotonic clock, in milliseconds.
        """
        rates: dict[tuple[str, str], float] = {}
        for key, rate in self.sum_all(now_ms).items():
            if key.rank != LATE_RANK:
                model = key.service, key.model
                rates[model] = rates.get(model, 0.0) + rate
        return rates

    def sum_all(self, now_ms: float, without: Collection[str] = ()) -> Demands:
        """Return the demands of all daemons.

        :param now_ms: monotonic clock, in milliseconds.
        :param without: names whose demands are left out.
        """
        summed = self.list_own(now_ms)
        for name, (reported_at_ms, demands) in self._reported.items():
            if name not in without and now_ms - reported_at_ms <= TTL_MS:
                for key, rate in demands.items():
                    summed[key] = summed.get(key, 0.0) + rate
        return summed


def make_key(service: str, model: str, team: str, priority: int, is_late: bool) -> DemandKey:
    """Return what a request counts for.

    :param service: service of the request.
    :param model: model of the request.
    :param team: team of the request; empty for none.
    :param priority: effective priority.
    :param is_late: whether it can't be in time any more.
    """
    rank = LATE_RANK if is_late else min(max(0, priority), LATE_RANK - 1)
    return DemandKey(service, model, team, rank)


def find_rest(key: DemandKey) -> DemandKey:
    """Return the key under which demands of a model and rank are summed up.

    :param key: one of these demands.
    """
    return dataclasses.replace(key, team="", is_rest=True)


def merge_unnamed(wanted: Mapping[DemandKey, float], named: Collection[DemandKey]) -> Demands:
    """Return demands with those of small teams in the sum of small teams.

    A daemon knows the rate of all daemons for the teams that are reported by name only. Its own
    requests of another team must not look like all there are of that team.

    :param wanted: demands of all daemons, its own included.
    :param named: demands that other daemons reported.
    """
    merged: Demands = {}
    for key, rate in wanted.items():
        rest = find_rest(key)
        target = rest if key not in named and rest in named else key
        merged[target] = merged.get(target, 0.0) + rate
    return merged


def subtract(demands: Mapping[DemandKey, float], part: Mapping[DemandKey, float]) -> Demands:
    """Return demands without a part of them.

    :param demands: demands.
    :param part: what is taken off, at most down to zero.
    """
    return {key: max(0.0, rate - part.get(key, 0.0)) for key, rate in demands.items()}


def encode(demands: Mapping[DemandKey, float]) -> list[notices.Demand]:
    """Return demands as daemons report them: the largest, and the sum of the rest of each model.

    :param demands: demands.
    """
    reported: Demands = {}
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for key, rate in sorted(demands.items(), key=lambda item: -item[1]):
        model = key.service, key.model
        if key.is_rest or counts[model] >= MAX_REPORTED:
            rest = find_rest(key)
            reported[rest] = reported.get(rest, 0.0) + rate
        else:
            counts[model] += 1
            reported[key] = rate
    return [
        notices.Demand(
            service=key.service,
            model=key.model,
            team=key.team,
            rank=key.rank,
            rate=round(rate / REPORTED_UNIT),
            is_rest=key.is_rest,
        )
        for key, rate in reported.items()
        if round(rate / REPORTED_UNIT)
    ]


def decode(reported: Iterable[notices.Demand]) -> Demands:
    """Return the demands that a daemon reported.

    :param reported: demands of a notice.
    """
    return {
        DemandKey(item.service, item.model, item.team, item.rank, item.is_rest): (
            item.rate * REPORTED_UNIT
        )
        for item in reported
    }
