"""Overload control: admits as many requests of a model, over all daemons, as can be in time.

The total of a model's open requests is known far better than those of one group, whose estimate
is off by several requests, as many as the latency goal lets wait. Each daemon therefore computes
from the same reported figures at what rate all daemons together may send, divides it by priority
and team, and admits its own requests in that proportion. All daemons thus shed alike.
"""

import dataclasses
import math
import random
from collections.abc import Mapping, Sequence

from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import admission, demands, fleet, loads, rules
from tanagerfork.routing import limits

LOGGER = "relay.overload"
# Of the slots, that open requests may use in an overload. Groups are filled unevenly, as their
# loads are known late. On the design load 0.85 does as well; with 0.95 or 0.8 fewer are in time.
TARGET_FILL = 0.9
# Time in which the total is corrected to its target; longer than the age of reported loads, or it
# would oscillate.
CORRECTION_MS = 800.0
# Loads are reported to a source, and by it to all, each up to 300 ms later.
PEER_REPORT_AGE_MS = 600.0
# Of the slots. Above it, the better of two groups is often a full one; with 0.6 the first second of
# a burst fills groups unevenly.
SPREAD_FILL = 0.4
ADMITTED_SMOOTHING_MS = 300.0  # The sends of about the last `PEER_REPORT_AGE_MS` count.
MIN_SLOTS = 60  # With fewer, the rates of arrivals are too noisy and each group is known well.
# Told totals are wrong while daemons come and go. The loads that groups report with answers are
# not; their mean has to agree before anything is shed.
MIN_REPORTED_FILL = 0.6
PRIORITY_FLOOR = 0.05  # Of the capacity, for each priority however many more urgent requests come.
# Of the capacity of full groups, kept for more urgent requests also while groups have too many
# requests: upstreams serve them before the less urgent ones that wait there.
URGENT_SHARE = 0.5
PLAN_MS = 50.0  # Loads change with each notice, some hundred milliseconds apart.
QUIET_MS = 1000.0  # Without a request that was shed, an overload is over.


@dataclasses.dataclass(slots=True, frozen=True)
class Occupancy:
    """How full the groups of a model are.

    `open` and `slots` are over all groups; `peer_open` is the part of `open` that other daemons
    reported. `hold_ms` is how long a request holds a slot of a full group, `reported_fill` the mean
    share of used slots in the groups' recent reports, -1 without any, and `age_ms` the age of the
    last report of a group.
    """

    open: float
    peer_open: float
    slots: float
    hold_ms: float
    reported_fill: float
    age_ms: float

    @property
    def fill(self) -> float:
        """Share of the slots that are used; above 1 if requests wait."""
        return self.open / max(1.0, self.slots)

    def extrapolate(self, admitted_per_s: float) -> float:
        """Return the open requests as of now, by what came and went since the others reported.

        :param admitted_per_s: requests a second that were sent meanwhile.
        """
        passed_s = PEER_REPORT_AGE_MS / 1000 * self.peer_open / max(1.0, self.open)
        return max(0.0, self.open + (admitted_per_s - self.ended_per_s) * passed_s)

    def compute_capacity_per_s(self, admitted_per_s: float) -> float:
        """Return the rate of sends that leads the open requests to their target.

        :param admitted_per_s: requests a second that were sent until now.
        """
        missing = TARGET_FILL * self.slots - self.extrapolate(admitted_per_s)
        return max(0.0, self.full_per_s + missing / CORRECTION_MS * 1000)

    @property
    def ended_per_s(self) -> float:
        """Requests a second that end at present."""
        return min(self.open, self.slots) / self.hold_ms * 1000

    @property
    def full_per_s(self) -> float:
        """Requests a second that end while the slots are used up to their target."""
        return TARGET_FILL * self.slots / self.hold_ms * 1000

    def is_confirmed(self, is_shedding: bool) -> bool:
        """Return whether reported totals may be acted on, by the groups' own reports.

        A daemon that gets few answers has no recent report. It begins to shed only if all slots
        are used by the totals alone, and goes on shedding until a report speaks against it.

        :param is_shedding: whether requests of the model are shed now.
        """
        if self.slots < MIN_SLOTS:
            return False
        if self.reported_fill < 0:
            return is_shedding or self.fill >= 1
        return self.reported_fill >= MIN_REPORTED_FILL


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """Whether a request is sent, of which part of its kind the same is true, and why.

    `should_spread` says that groups are nearly full; see `spreading`.
    """

    is_admitted: bool
    admitted_share: float = 1.0
    should_spread: bool = False
    reason: str = ""


@dataclasses.dataclass(slots=True)
class ModelState:
    """Shedding of one model: the share of each demand that is admitted, and when it changed."""

    shares: dict[demands.DemandKey, float] = dataclasses.field(default_factory=dict)
    planned_at_ms: float = -1e12
    shed_at_ms: float = -1e12
    began_at_ms: float = 0.0
    is_shedding: bool = False
    admitted_per_s: float = 0.0
    capacity_per_s: float = 0.0
    shed_count: int = 0
    credits: dict[demands.DemandKey, float] = dataclasses.field(default_factory=dict)

    def skip_plan(self, occupancy: Occupancy, now_ms: float) -> None:
        """Admit everything, as the groups are far from full.

        :param occupancy: how full the groups are.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.shares = {}
        self.admitted_per_s = occupancy.ended_per_s
        self.planned_at_ms = now_ms

    def update_admitted(
        self, wanted: Mapping[demands.DemandKey, float], occupancy: Occupancy, now_ms: float
    ) -> None:
        """Update the rate at which all daemons together sent requests until now.

        :param wanted: requests a second that arrive for the model.
        :param occupancy: how full its groups are.
        :param now_ms: monotonic clock, in milliseconds.
        """
        per_s = sum(rate * self.shares.get(key, 1.0) for key, rate in wanted.items())
        if self.planned_at_ms < 0:
            self.admitted_per_s = min(per_s, occupancy.ended_per_s)
        else:
            weight = min(1.0, (now_ms - self.planned_at_ms) / ADMITTED_SMOOTHING_MS)
            self.admitted_per_s += weight * (per_s - self.admitted_per_s)
        self.planned_at_ms = now_ms


class OverloadControl:
    """Decides which requests are sent while more arrive than can be in time.

    :param book: demands of all daemons.
    :param rng: spreads the daemons' first refusals.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_book", "_rng", "_log", "_metrics", "_states")

    def __init__(
        self,
        book: demands.DemandBook,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._book = book
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._states: dict[tuple[str, str], ModelState] = {}

    def decide(
        self, key: demands.DemandKey, occupancy: Occupancy, must_continue: bool, now_ms: float
    ) -> Verdict:
        """Decide whether a request is sent.

        :param key: model, team and rank of the request.
        :param occupancy: how full the groups of the model are.
        :param must_continue: whether it was sent before or resumes a stream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        should_spread = occupancy.slots >= MIN_SLOTS and occupancy.fill >= SPREAD_FILL
        if must_continue:
            return Verdict(True, should_spread=should_spread)
        self._book.note_arrival(key, now_ms)
        state = self._states.setdefault((key.service, key.model), ModelState())
        if now_ms - state.planned_at_ms >= PLAN_MS:
            self._plan(key, state, occupancy, now_ms)
        share = self._find_share(key, state)
        if share >= 1:
            state.credits.pop(key, None)
            return Verdict(True, should_spread=should_spread)
        credit = state.credits.get(key, self._rng.random()) + share
        is_admitted = credit >= 1
        state.credits[key] = credit - is_admitted
        if not is_admitted:
            self._record_shed(key, state, occupancy, now_ms)
        reason = "" if is_admitted else _describe(key)
        return Verdict(is_admitted, share, should_spread, reason)

    def record_unplanned(self, key: demands.DemandKey, must_continue: bool, now_ms: float) -> None:
        """Record a request that is not shed, so that the demand for its model is known.

        :param key: model, team and rank of the request.
        :param must_continue: whether it was sent before or resumes a stream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if not must_continue:
            self._book.note_arrival(key, now_ms)

    def is_shedding(self, service: str, model: str) -> bool:
        """Return whether requests of a model are shed now.

        :param service: service of the model.
        :param model: model.
        """
        state = self._states.get((service, model))
        return state is not None and state.is_shedding

    def count_shed(self, reason: str, priority: int) -> None:
        """Count a request that was not sent because of an overload.

        :param reason: "share", "late" or "queue".
        :param priority: rank of the request.
        """
        self._metrics.count("relay_shed_total", reason=reason, priority=str(priority))

    def _find_share(self, key: demands.DemandKey, state: ModelState) -> float:
        return state.shares.get(key, state.shares.get(demands.find_rest(key), 1.0))

    def _plan(
        self, key: demands.DemandKey, state: ModelState, occupancy: Occupancy, now_ms: float
    ) -> None:
        if not state.is_shedding and occupancy.fill < SPREAD_FILL:
            state.skip_plan(occupancy, now_ms)
            return
        wanted = demands.merge_unnamed(
            {
                item: rate
                for item, rate in self._book.sum_all(now_ms).items()
                if (item.service, item.model) == (key.service, key.model)
            },
            self._book.list_reported(now_ms),
        )
        state.update_admitted(wanted, occupancy, now_ms)
        state.capacity_per_s = occupancy.compute_capacity_per_s(state.admitted_per_s)
        state.shares = {}
        if occupancy.is_confirmed(state.is_shedding):
            state.shares = divide_capacity(state.capacity_per_s, wanted, occupancy.full_per_s)
        if state.is_shedding and now_ms - state.shed_at_ms > QUIET_MS:
            state.is_shedding = False
            self._log.note(
                LOGGER,
                "shedding ends",
                service=key.service,
                model=key.model,
                shed=state.shed_count,
                took_ms=round(state.shed_at_ms - state.began_at_ms),
                **self._describe_inputs(key, occupancy, now_ms),
            )

    def _record_shed(
        self, key: demands.DemandKey, state: ModelState, occupancy: Occupancy, now_ms: float
    ) -> None:
        reason = "late" if key.rank == demands.LATE_RANK else "share"
        self.count_shed(reason, key.rank)
        state.shed_at_ms = now_ms
        if not state.is_shedding:
            state.is_shedding, state.began_at_ms, state.shed_count = True, now_ms, 0
            self._log.note(
                LOGGER,
                "shedding begins",
                service=key.service,
                model=key.model,
                **self._describe_inputs(key, occupancy, now_ms),
            )
        state.shed_count += 1

    def _describe_inputs(
        self, key: demands.DemandKey, occupancy: Occupancy, now_ms: float
    ) -> dict[str, decisions.Field]:
        wanted = self._book.sum_all(now_ms)
        model = key.service, key.model
        state = self._states[model]
        return {
            "open": round(occupancy.open),
            "slots": round(occupancy.slots),
            "reported_fill": round(occupancy.reported_fill, 2),
            "report_age_ms": round(occupancy.age_ms),
            "arrivals_per_s": round(
                sum(rate for item, rate in wanted.items() if (item.service, item.model) == model)
            ),
            "capacity_per_s": round(state.capacity_per_s),
        }


def measure_occupancy(
    book: loads.LoadBook,
    groups: Sequence[fleet.Group],
    engine: rules.EngineSpec,
    prompt_tokens: float,
    now_ms: float,
) -> Occupancy:
    """Return how full the fastest groups of a model are, which get its requests in an overload.

    :param book: loads of the upstreams.
    :param groups: whole groups of the model, at least one.
    :param engine: performance of the engines.
    :param prompt_tokens: mean length of a prompt.
    :param now_ms: monotonic clock, in milliseconds.
    """
    pace = min(group.slowness for group in groups)
    groups = [group for group in groups if group.slowness <= pace]
    found = [book.find(group.head.id) for group in groups]
    reports = [
        (load.reported, now_ms - load.reported_at_ms)
        for load in found
        if load.reported is not None and now_ms - load.reported_at_ms <= admission.QUEUE_REPORT_MS
    ]
    fills = [(report.running + report.waiting) / max(1, report.slots) for report, _ in reports]
    step_ms = engine.step_ms + engine.sequence_step_ms * engine.slots
    # In the time that one request holds its slot, each of the others has its prompt read.
    reading_ms = engine.slots * prompt_tokens / engine.read_tokens_per_s * 1000
    return Occupancy(
        open=float(sum(load.open + load.peer_open for load in found)),
        peer_open=float(sum(load.peer_open for load in found)),
        slots=float(engine.slots * len(groups)),
        hold_ms=max(1.0, pace * (engine.usual_answer_tokens * step_ms + reading_ms)),
        reported_fill=sum(fills) / len(fills) if fills else -1.0,
        age_ms=min((age_ms for _, age_ms in reports), default=-1.0),
    )


def divide_capacity(
    capacity_per_s: float, wanted: Mapping[demands.DemandKey, float], full_per_s: float = 0.0
) -> dict[demands.DemandKey, float]:
    """Divide a rate by priority, and within a priority by the teams' needs.

    :param capacity_per_s: requests a second that can be in time.
    :param wanted: requests a second that arrive for one model.
    :param full_per_s: requests a second that full groups serve.
    :return: share of each demand that is admitted; empty if there is capacity for all.
    """
    if sum(wanted.values()) <= capacity_per_s:
        return {}
    by_rank: dict[int, dict[demands.DemandKey, float]] = {}
    for key, rate in wanted.items():
        by_rank.setdefault(key.rank, {})[key] = rate
    floors = {
        rank: min(sum(items.values()), PRIORITY_FLOOR * capacity_per_s)
        for rank, items in by_rank.items()
        if rank != demands.LATE_RANK
    }
    left = capacity_per_s
    shares: dict[demands.DemandKey, float] = {}
    for rank in sorted(by_rank):
        reserved = sum(floor for other, floor in floors.items() if other > rank)
        urgent = URGENT_SHARE * full_per_s - (capacity_per_s - left) if reserved else 0.0
        given = max(0.0, min(sum(by_rank[rank].values()), max(left - reserved, urgent)))
        left -= given
        shares.update(_divide_among_teams(given, by_rank[rank]))
    return shares


def _divide_among_teams(
    rate_per_s: float, wanted: Mapping[demands.DemandKey, float]
) -> dict[demands.DemandKey, float]:
    """Divide a rate by need.

    The teams that are summed up are each smaller than any that is named. They are taken for as many
    teams of the size of the smallest named one as their sum makes, so that the sum of many small
    teams is not cut like one large team.
    """
    named = {key.team: rate for key, rate in wanted.items() if not key.is_rest}
    smallest = min((rate for rate in named.values() if rate > 0), default=0.0)
    needs = dict(named)
    counts: dict[demands.DemandKey, int] = {}
    for key, rate in wanted.items():
        if key.is_rest:
            counts[key] = max(1, math.ceil(rate / smallest)) if smallest else 1
            needs.update({_name_part(n): rate / counts[key] for n in range(counts[key])})
    given = limits.divide_by_need(rate_per_s, needs)
    shares: dict[demands.DemandKey, float] = {}
    for key, rate in wanted.items():
        got = (
            sum(given[_name_part(n)] for n in range(counts[key]))
            if key.is_rest
            else given[key.team]
        )
        shares[key] = min(1.0, got / rate) if rate else 1.0
    return shares


def _name_part(number: int) -> str:
    return f"\0{number}"  # No team has such a name.


def _describe(key: demands.DemandKey) -> str:
    if key.rank == demands.LATE_RANK:
        return "the request is late, and requests that can be in time use all of the capacity"
    return "more requests arrive than can be in time, beyond the share of its team and priority"
