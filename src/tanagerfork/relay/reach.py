"""Reach: whether this daemon reaches any upstream of a service over new connections.

Answers a network partition between this daemon and the upstreams. An upstream that takes no
connection or sends nothing may be at fault itself; if a sample of the others does not answer
either, this daemon is cut off, and what it observes says nothing about the upstreams.
"""

import dataclasses
import random
from collections.abc import Iterable

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import members

LOGGER = "relay.reach"
SAMPLED_PER_DOMAIN = 2  # A failure domain may be lost as a whole, and one upstream by itself.
CHECK_INTERVAL_MS = 500  # Bounds the probes while upstreams fail that are at fault themselves.
RECHECK_INTERVAL_MS = 300  # While cut off, until the first upstream answers.


@dataclasses.dataclass(slots=True)
class ServiceReach:
    """What is known of one service; `cut_off_at_ms` is None while it is reached."""

    failed_at_ms: float = -1e12
    checked_at_ms: float = -1e12
    answered_at_ms: float = -1e12
    cut_off_at_ms: int | None = None


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
        """Return whether an upstream of a service has answered a check since a time.

        :param service: name of the service.
        :param time_ms: monotonic clock, in milliseconds.
        """
        return self._find(service).answered_at_ms >= time_ms

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

    def draw_sample(
        self, service: str, upstreams: Iterable[members.Upstream]
    ) -> list[members.Upstream]:
        """Return the upstreams to ask in a check of a service: a few of each failure domain.

        :param service: name of the service.
        :param upstreams: all upstreams.
        """
        by_domain: dict[str, list[members.Upstream]] = {}
        for upstream in upstreams:
            if upstream.service == service and not upstream.is_leaving:
                by_domain.setdefault(upstream.failure_domain, []).append(upstream)
        size = 1 if self.is_cut_off(service) else SAMPLED_PER_DOMAIN
        return [
            upstream
            for found in by_domain.values()
            for upstream in self._rng.sample(found, min(size, len(found)))
        ]

    def begin_check(self, service: str) -> None:
        """Record that a check begins.

        :param service: name of the service.
        """
        self._find(service).checked_at_ms = self._clock.monotonic_ms()

    def end_check(self, service: str, asked: int, is_any_answered: bool) -> None:
        """Record the outcome of a check.

        :param service: name of the service.
        :param asked: number of upstreams that were asked.
        :param is_any_answered: whether one of them answered.
        """
        found = self._find(service)
        now_ms = self._clock.monotonic_ms()
        if is_any_answered:
            found.answered_at_ms = now_ms
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
