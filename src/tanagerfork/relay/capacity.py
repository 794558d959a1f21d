"""Capacity: how many concurrent requests each upstream of one service and model handles well.

Upstreams of one service differ in speed, and some slow down long before their slots are full. The
times of successful answers are summed by concurrency, over all daemons, and forgotten within
seconds. From the sums follow how slow an upstream is compared with the others at the same
concurrency, and the concurrency from which it is slower than it is below. The first divides its
slots; the second lowers a limit by a factor, which rises again by steps while answers near it are
fast. Failures only ever lower it.

Answers that many daemons get from one upstream are few for each of them, so that sums are shared
and not results: sums of several daemons add up, and noise averages out.
"""

import dataclasses
import math
from collections.abc import Collection, Iterable, Sequence

from tanagerfork import decisions
from tanagerfork.relay import capacity_evidence

LOGGER = "relay.capacity"
EVALUATION_INTERVAL_MS = 1000.0
HALF_LIFE_MS = 3000.0  # Of answers; a change outweighs what was before after about as long.
MAX_ANSWERS = 40.0  # Of all daemons; more would only make a change show later.
PEER_TTL_MS = 1200.0  # As of the loads that peers report.
DECREASE = 0.75
INCREASE_SHARE = 0.05  # Of the configured slots, for each interval.
IDLE_INCREASE_SHARE = 0.02  # Without answers near the limit; old evidence is gone in a minute.
USED_SHARE = 0.6  # Of the limit: answers at this concurrency say that there is room.
FAILING_SHARE = 0.3  # Of answers; more than single failures among many.
SLOWNESS_DECAY = 0.9  # For each interval; a slowness that is no longer seen is doubted slowly.
SLOWNESS_GAIN = 0.5  # Of a newly measured slowness, so that one interval's noise is halved.
MIN_CHANGE = 0.1  # Smaller changes are not logged.


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """Estimate of one upstream, with this daemon's own evidence, which other daemons add to theirs.

    `slowness` is the factor on its times compared with the fast upstreams.
    """

    upstream_id: str
    slots: float
    slowness: float
    evidence: capacity_evidence.Evidence


@dataclasses.dataclass(slots=True)
class UpstreamCapacity:
    """Estimate of one upstream and its evidence; `limit` is infinite until it was lowered."""

    own: capacity_evidence.Evidence = dataclasses.field(default_factory=capacity_evidence.Evidence)
    configured_slots: int = 0
    limit: float = math.inf
    slowness: float = 1.0
    logged_slots: float = 0.0

    @property
    def slots(self) -> float:
        """Concurrent requests that it handles well."""
        return max(1.0, min(self.limit, self.configured_slots / self.slowness))


@dataclasses.dataclass(slots=True, frozen=True)
class PeerEstimates:
    """What one other daemon reported last."""

    reported_at_ms: float
    evidence: dict[str, capacity_evidence.Evidence]


class CapacityBook:
    """Estimates of the upstreams of one service and model.

    :param pool: name of the service and model, for the log.
    :param log: decision log.
    """

    __slots__ = ("_pool", "_log", "_upstreams", "_peers", "_evaluated_at_ms", "_has_answers")

    def __init__(self, pool: str, log: decisions.DecisionLog) -> None:
        self._pool = pool
        self._log = log
        self._upstreams: dict[str, UpstreamCapacity] = {}
        self._peers: dict[str, PeerEstimates] = {}
        self._evaluated_at_ms = -math.inf
        self._has_answers = False

    @property
    def has_estimates(self) -> bool:
        """Whether there are enough answers, or estimates that were learned from earlier ones."""
        return self._has_answers or any(
            upstream.slowness > 1 + MIN_CHANGE or upstream.limit < upstream.configured_slots
            for upstream in self._upstreams.values()
        )

    def note_answer(
        self,
        upstream_id: str,
        concurrency: float,
        first_ms: float,
        took_ms: float,
        is_success: bool,
        now_ms: float,
    ) -> None:
        """Record an answer.

        :param upstream_id: id of the upstream.
        :param concurrency: requests that the upstream had meanwhile, with this one; the mean of
            those at the send and at the answer.
        :param first_ms: time to the first event; 0 for a response that has none.
        :param took_ms: time to the end of the answer.
        :param is_success: whether it was a complete success; the time of a failure says nothing.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.update(now_ms)
        own = self._find(upstream_id).own
        if not is_success:
            own.failures += 1
            return
        own.add_success(concurrency, first_ms or took_ms)

    def find_slots(self, upstream_id: str, configured_slots: int, now_ms: float) -> float:
        """Return how many concurrent requests an upstream handles well.

        :param upstream_id: id of the upstream.
        :param configured_slots: slots by its entry or the configuration, which are never exceeded.
        :param now_ms: monotonic clock, in milliseconds.
        """
        upstream = self._find(upstream_id)
        upstream.configured_slots = configured_slots
        self.update(now_ms)
        return upstream.slots

    def find_limit(self, upstream_id: str, configured_slots: int) -> float:
        """Return from how many requests on an upstream slows down, however slow it is below.

        :param upstream_id: id of the upstream.
        :param configured_slots: slots by its entry or the configuration.
        """
        upstream = self._upstreams.get(upstream_id)
        return min(upstream.limit if upstream is not None else math.inf, configured_slots)

    def find_slowness(self, upstream_id: str) -> float:
        """Return the factor on an upstream's times compared with the fast ones; 1 if unknown.

        :param upstream_id: id of the upstream.
        """
        upstream = self._upstreams.get(upstream_id)
        return upstream.slowness if upstream is not None else 1.0

    def list_estimates(self) -> list[Estimate]:
        """Return all estimates with this daemon's own evidence."""
        return [
            Estimate(key, upstream.slots, upstream.slowness, upstream.own.copy())
            for key, upstream in self._upstreams.items()
        ]

    def list_answered(self) -> list[Estimate]:
        """Return the estimates with own evidence, of which a large fleet has few at each daemon."""
        return [
            Estimate(key, upstream.slots, upstream.slowness, upstream.own.copy())
            for key, upstream in self._upstreams.items()
            if upstream.own.answers
        ]

    def list_chosen_from(self) -> list[tuple[Estimate, int]]:
        """Return the estimates and configured slots of upstreams that were there to choose."""
        return [
            (Estimate(key, upstream.slots, upstream.slowness, upstream.own), configured)
            for key, upstream in self._upstreams.items()
            if (configured := upstream.configured_slots)
        ]

    def sum_all(self, now_ms: float, without: Collection[str] = ()) -> list[Estimate]:
        """Return the evidence of all daemons.

        :param now_ms: monotonic clock, in milliseconds.
        :param without: peers that are left out.
        """
        summed = {estimate.upstream_id: estimate.evidence for estimate in self.list_answered()}
        for daemon, peer in self._peers.items():
            age_ms = now_ms - peer.reported_at_ms
            if daemon in without or age_ms > PEER_TTL_MS:
                continue
            for key, reported in peer.evidence.items():
                own = summed.setdefault(key, capacity_evidence.Evidence())
                own.add(reported, 0.5 ** (age_ms / HALF_LIFE_MS))
        return [Estimate(key, 0.0, 1.0, evidence) for key, evidence in summed.items()]

    def record_peer(self, daemon: str, estimates: Iterable[Estimate], now_ms: float) -> None:
        """Replace what another daemon, or several of which one sums up, reported before.

        :param daemon: name of the other daemon.
        :param estimates: its estimates; only their evidence is used.
        :param now_ms: monotonic clock, in milliseconds.
        """
        reported: dict[str, capacity_evidence.Evidence] = {}
        for estimate in estimates:
            reported.setdefault(estimate.upstream_id, capacity_evidence.Evidence()).add(
                estimate.evidence
            )
        self._peers[daemon] = PeerEstimates(now_ms, reported)

    def drop_peer(self, daemon: str) -> None:
        """Drop what a daemon reported, if anything.

        :param daemon: name of the daemon, or of a sum.
        """
        self._peers.pop(daemon, None)

    def drop_peers(self, without: str) -> None:
        """Drop what all other daemons reported but one.

        :param without: name of the one that is kept.
        """
        self._peers = {name: peer for name, peer in self._peers.items() if name == without}

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Drop the estimates of upstreams that are gone.

        :param upstream_ids: ids of the upstreams that are not gone.
        """
        for gone in self._upstreams.keys() - upstream_ids:
            del self._upstreams[gone]

    def _find(self, upstream_id: str) -> UpstreamCapacity:
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            upstream = self._upstreams[upstream_id] = UpstreamCapacity()
        return upstream

    def update(self, now_ms: float) -> None:
        """Forget old answers and estimate anew, if the last time is long enough ago.

        :param now_ms: monotonic clock, in milliseconds.
        """
        passed_ms = now_ms - self._evaluated_at_ms
        if passed_ms < EVALUATION_INTERVAL_MS:
            return
        self._evaluated_at_ms = now_ms
        for upstream in self._upstreams.values():
            upstream.own.scale(0.5 ** (passed_ms / HALF_LIFE_MS))
        for daemon in [
            name for name, peer in self._peers.items() if now_ms - peer.reported_at_ms > PEER_TTL_MS
        ]:
            del self._peers[daemon]
        # Upstreams are compared over all daemons, also where this one sent nothing yet.
        for key in {key for peer in self._peers.values() for key in peer.evidence}:
            self._find(key)
        merged = {key: self._merge(key, now_ms) for key in self._upstreams}
        self._has_answers = any(
            evidence.answers >= capacity_evidence.MIN_WEIGHT for evidence in merged.values()
        )
        variance = capacity_evidence.measure_variance(merged.values())
        curve = capacity_evidence.measure_curve(merged.values())
        slowness = capacity_evidence.measure_slowness(merged, curve, variance)
        saturated = capacity_evidence.find_saturated_class(merged, slowness, variance)
        for key, upstream in self._upstreams.items():
            evidence = merged[key]
            _update_slowness(upstream, slowness.get(key))
            slow_from = capacity_evidence.find_slow_class(evidence, curve, variance)
            if saturated is not None:
                slow_from = saturated if slow_from is None else min(slow_from, saturated)
            _update_limit(upstream, evidence, slow_from)
            # All daemons forget alike, as they know the same sum.
            upstream.own.scale(min(1.0, MAX_ANSWERS / max(1.0, evidence.successes)))
            self._log_change(key, upstream, evidence, slow_from)

    def _merge(self, upstream_id: str, now_ms: float) -> capacity_evidence.Evidence:
        merged = capacity_evidence.Evidence()
        merged.add(self._upstreams[upstream_id].own)
        for peer in self._peers.values():
            reported = peer.evidence.get(upstream_id)
            if reported is not None:
                merged.add(reported, 0.5 ** ((now_ms - peer.reported_at_ms) / HALF_LIFE_MS))
        return merged

    def _log_change(
        self,
        key: str,
        upstream: UpstreamCapacity,
        evidence: capacity_evidence.Evidence,
        slow_from: int | None,
    ) -> None:
        if not upstream.configured_slots:
            return
        slots = upstream.slots
        before = upstream.logged_slots or float(upstream.configured_slots)
        if abs(slots - before) <= MIN_CHANGE * before:
            return
        upstream.logged_slots = slots
        self._log.note(
            LOGGER,
            "capacity of an upstream changed",
            pool=self._pool,
            upstream=key,
            slots=round(slots, 1),
            slots_before=round(before, 1),
            slowness=round(upstream.slowness, 2),
            slow_from=None if slow_from is None else capacity_evidence.CLASS_STARTS[slow_from],
            answers=round(evidence.successes, 1),
            failures=round(evidence.failures, 1),
        )


def _update_slowness(upstream: UpstreamCapacity, measured: tuple[float, float] | None) -> None:
    """Follow a slowness beyond the noise; doubt one that is not seen."""
    known = math.log(upstream.slowness)
    log, error = measured or (0.0, math.inf)
    if abs(log - known) > capacity_evidence.CONFIDENCE * error:
        upstream.slowness = math.exp(max(0.0, known + SLOWNESS_GAIN * (log - known)))
    elif log <= capacity_evidence.CONFIDENCE * error:
        upstream.slowness = math.exp(known * SLOWNESS_DECAY)


def _update_limit(
    upstream: UpstreamCapacity, evidence: capacity_evidence.Evidence, slow_from: int | None
) -> None:
    """Lower the limit by a factor on slow or failing answers, or raise it by a step."""
    configured = upstream.configured_slots
    if not configured:
        return
    answers = evidence.successes + evidence.failures
    is_failing = (
        answers >= capacity_evidence.MIN_WEIGHT and evidence.failures > FAILING_SHARE * answers
    )
    limit = min(upstream.limit, float(configured))
    is_slow = slow_from is not None and limit > capacity_evidence.CLASS_STARTS[slow_from]
    if is_failing or is_slow:
        upstream.limit = max(1.0, limit * DECREASE)
    elif upstream.limit < configured:
        used = sum(
            times.weight
            for number, times in evidence.times.items()
            if capacity_evidence.find_middle(number) >= USED_SHARE * limit
        )
        share = INCREASE_SHARE if used >= capacity_evidence.MIN_WEIGHT else IDLE_INCREASE_SHARE
        upstream.limit = min(float(configured), limit + share * configured)


def sum_up(reported: Sequence[Iterable[Estimate]]) -> list[Estimate]:
    """Return the estimates of several daemons as those of one, for daemons that sum up cohorts.

    :param reported: estimates of each daemon.
    """
    summed: dict[str, capacity_evidence.Evidence] = {}
    for estimates in reported:
        for estimate in estimates:
            summed.setdefault(estimate.upstream_id, capacity_evidence.Evidence()).add(
                estimate.evidence
            )
    return [Estimate(key, 0.0, 1.0, evidence) for key, evidence in summed.items()]
