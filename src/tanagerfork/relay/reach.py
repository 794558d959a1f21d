"""Reach: whether this daemon reaches any upstream of a service over new connections.

Answers a network partition between this daemon and the upstreams. An upstream that takes no
connection or sends nothing may be at fault itself; if none of many others answers either, this
daemon is cut off, and what it observes says nothing about the upstreams.

Listed upstreams may all be gone but a few. So the upstreams that answered last are asked first,
then ever more of those that were not asked for the longest time, in all failure domains.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import members

LOGGER = "relay.reach"
MIN_ASKED_PER_DOMAIN = 2  # A failure domain may be lost as a whole, and one upstream by itself.
MIN_ASKED = 62  # With batches of 2, 4, 8, 16 and 32; bounds the probes of a check.
MIN_RECHECKED = 4  # While cut off; the next check asks others.
MAX_REMEMBERED = 20_000  # Upstreams that were asked; twice as many as the largest service has.
CHECK_INTERVAL_MS = 500  # Bounds the probes while upstreams fail that are at fault themselves.
RECHECK_INTERVAL_MS = 300  # While cut off, until the first upstream answers.
NEVER_MS = -1e12


@dataclasses.dataclass(slots=True)
class ServiceReach:
    """What is known of one service; `cut_off_at_ms` is None while it is reached.

    `reached_at_ms` is when the last check began that was answered. `asked` and `answered` are when
    upstreams were last asked, and when they answered a check.
    """

    failed_at_ms: float = NEVER_MS
    checked_at_ms: float = NEVER_MS
    reached_at_ms: float = NEVER_MS
    cut_off_at_ms: int | None = None
    asked: dict[str, float] = dataclasses.field(default_factory=dict)
    answered: dict[str, float] = dataclasses.field(default_factory=dict)


class Reach:
    """Decides when to check which services are reached, and what a check means.

    :param clock: clock of all decisions.
    :param rng: draws the samples.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_clock", "_rng", "_log", "_metrics", "_services")

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._services: dict[str, ServiceReach] = {}

    @property
    def cut_off_services(self) -> list[str]:
        """Services of which no upstream is reached."""
        return [name for name, found in self._services.items() if found.cut_off_at_ms is not None]

    def is_cut_off(self, service: str) -> bool:
        """Return whether no upstream of a service is reached.

        :param service: name of the service.
        """
        found = self._services.get(service)
        return found is not None and found.cut_off_at_ms is not None

    def was_reached_since(self, service: str, time_ms: float) -> bool:
        """Return whether a check of a service that began since a time was answered.

        :param service: name of the service.
        :param time_ms: monotonic clock, in milliseconds.
        """
        return self._find(service).reached_at_ms >= time_ms

    def was_checked_since(self, service: str, time_ms: float) -> bool:
        """Return whether the last check of a service began since a time.

        :param service: name of the service.
        :param time_ms: monotonic clock, in milliseconds.
        """
        return self._find(service).checked_at_ms >= time_ms

    def note_unreached(self, service: str) -> None:
        """Record that an upstream took no connection or sent nothing in time.

        :param service: service of the upstream.
        """
        self._find(service).failed_at_ms = self._clock.monotonic_ms()

    def needs_check(self, service: str) -> bool:
        """Return whether a service should be checked now.

        :param service: name of the service.
        """
        found = self._find(service)
        age_ms = self._clock.monotonic_ms() - found.checked_at_ms
        if found.cut_off_at_ms is not None:
            return age_ms >= RECHECK_INTERVAL_MS
        return found.failed_at_ms > found.checked_at_ms and age_ms >= CHECK_INTERVAL_MS

    def rank_upstreams(
        self,
        service: str,
        upstreams: Iterable[members.Upstream],
        find_heard_ms: Callable[[str], float],
    ) -> list[members.Upstream]:
        """Return the upstreams to ask in a check of a service until one answers, the best first.

        :param service: name of the service.
        :param upstreams: all upstreams.
        :param find_heard_ms: returns when this daemon last received something from an upstream.
        """
        found = self._find(service)
        by_domain: dict[str, list[members.Upstream]] = {}
        for upstream in upstreams:
            if upstream.service == service and not upstream.is_leaving:
                by_domain.setdefault(upstream.failure_domain, []).append(upstream)
        if len(found.asked) > MAX_REMEMBERED:
            found.asked.clear()
            found.answered.clear()

        def find_answered_ms(upstream: members.Upstream) -> float:
            return max(find_heard_ms(upstream.id), found.answered.get(upstream.id, NEVER_MS))

        size = (
            max(MIN_ASKED, MIN_ASKED_PER_DOMAIN * len(by_domain))
            if found.cut_off_at_ms is None
            else max(MIN_RECHECKED, len(by_domain))
        )
        ranked = [
            self._rank_domain(listed, size, find_answered_ms, found.asked)
            for listed in by_domain.values()
        ]
        self._rng.shuffle(ranked)
        ranked.sort(key=lambda listed: find_answered_ms(listed[0]), reverse=True)
        rounds = itertools.zip_longest(*ranked)
        spread = [upstream for one_each in rounds for upstream in one_each if upstream is not None]
        return spread[:size]

    def _rank_domain(
        self,
        upstreams: list[members.Upstream],
        size: int,
        find_answered_ms: Callable[[members.Upstream], float],
        asked: dict[str, float],
    ) -> list[members.Upstream]:
        """Return the upstreams of a domain: by turns the last that answered and the first asked."""
        heard = [one for one in upstreams if find_answered_ms(one) != NEVER_MS]
        last_answered = heapq.nlargest(size, heard, key=find_answered_ms)
        new = [one for one in upstreams if one.id not in asked]
        first_asked = self._rng.sample(new, min(size, len(new)))
        if len(first_asked) < size:
            old = [one for one in upstreams if one.id in asked]
            first_asked += heapq.nsmallest(size, old, key=lambda one: asked[one.id])
        turns = itertools.zip_longest(last_answered, first_asked)
        by_turns = [one for pair in turns for one in pair if one is not None]
        return list({one.id: one for one in by_turns}.values())

    def begin_check(self, service: str) -> None:
        """Record that a check begins.

        :param service: name of the service.
        """
        self._find(service).checked_at_ms = self._clock.monotonic_ms()

    def note_asked(self, upstream: members.Upstream) -> None:
        """Record that an upstream is asked in a check.

        :param upstream: upstream.
        """
        self._find(upstream.service).asked[upstream.id] = self._clock.monotonic_ms()

    def end_check(
        self, service: str, asked: int, is_any_answered: bool, answered_id: str = ""
    ) -> None:
        """Record the outcome of a check.

        :param service: name of the service.
        :param asked: number of upstreams that were asked.
        :param is_any_answered: whether one of them answered.
        :param answered_id: the one that answered; empty where it is not known.
        """
        found = self._find(service)
        now_ms = self._clock.monotonic_ms()
        if is_any_answered:
            found.reached_at_ms = found.checked_at_ms
            if answered_id:
                found.answered[answered_id] = now_ms
        if asked and not is_any_answered and found.cut_off_at_ms is None:
            found.cut_off_at_ms = now_ms
            self._metrics.count("relay_reach_losses_total")
            self._log.note(LOGGER, "no upstream reached", service=service, asked=asked)
        elif is_any_answered and found.cut_off_at_ms is not None:
            away_ms = now_ms - found.cut_off_at_ms
            found.cut_off_at_ms = None
            self._log.note(LOGGER, "upstreams reached again", service=service, away_ms=away_ms)

    def _find(self, service: str) -> ServiceReach:
        return self._services.setdefault(service, ServiceReach())
