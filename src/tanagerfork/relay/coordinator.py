"""Coordinator: observes the members of one failure domain, writes the plan, gives the orders."""

import asyncio
import uuid
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.generated import assignments
from tanagerfork.generated import relay as settings_records
from tanagerfork.groups import lease
from tanagerfork.relay import coverage as coverages
from tanagerfork.relay import demand as demands
from tanagerfork.relay import fleet, loading, members, observations, planner, plans, rules
from tanagerfork.storage import key_value, swap

LOGGER = "relay.coordinator"
ASSIGNMENTS_PREFIX = "tanagerfork/assignments/"
PLAN_INTERVAL_MS = 100  # A tenth of what a repair takes.
STANDBY_INTERVAL_MS = 250  # A fraction of the lease's time, which passes before any takeover.
STALLED_MS = 1000  # A coordinator that stood still so long knows nothing of who was silent.
BLIND_LEAST = 4  # Fewer silent members are no sign that this daemon is cut off.
BLIND_MS = 5000  # Another daemon has taken the lease by then.
REPEAT_ORDER_MS = 1500  # An order that showed no effect is given again.
REPEAT_REFUSED_MS = 300  # Reports are some hundred milliseconds old; another one is in by then.
SETTLED_MS = 1500  # Upstreams of one start come within three seconds of each other.
FORGET_MS = 20_000  # An upstream that has left the list serves at most so much longer.


class MemberClient(Protocol):
    """Asks upstreams and gives them orders."""

    async def ask(
        self, upstream: members.Upstream
    ) -> result.Result[members.Report, errors.UpstreamError]:
        """Ask an upstream for its state."""

    async def give(
        self, order: plans.Order, fencing: int, order_count: int | None
    ) -> result.Result[plans.Acceptance, errors.UpstreamError]:
        """Give an order; return whether the upstream begins it."""


class Coordinator:
    """Coordinates the groups of one failure domain while it holds the lease.

    :param failure_domain: failure domain.
    :param settings: settings of the daemon.
    :param keeper: the coordinator's lease.
    :param store: store of the record of assignments.
    :param client: asks and orders upstreams.
    :param register: rules in force.
    :param view: fleet.
    :param clock: clock of all decisions.
    :param log: decision log.
    :param metrics: counters.
    :param demand: what each model needs by its requests.
    :param has_served: whether this daemon has seen a request.
    :param tell_closed: tells all daemons of a head that is told to close.
    """

    __slots__ = (
        "_failure_domain",
        "_settings",
        "_keeper",
        "_store",
        "_client",
        "_register",
        "_view",
        "_clock",
        "_log",
        "_metrics",
        "_seen",
        "_record",
        "_revision",
        "_ordered_at_ms",
        "_blind_until_ms",
        "_pacer",
        "_tasks",
        "_stepped_at_ms",
        "is_holder",
        "_has_served",
        "_tell_closed",
        "_demand",
        "_coverage",
        "_last_new_at_ms",
    )

    def __init__(
        self,
        failure_domain: str,
        settings: settings_records.RelaySettings,
        keeper: lease.LeaseKeeper,
        store: key_value.KeyValue,
        client: MemberClient,
        register: rules.RulesRegister,
        view: fleet.Fleet,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        demand: demands.Demand,
        has_served: Callable[[], bool],
        tell_closed: Callable[[str, int], None],
    ) -> None:
        self._tell_closed = tell_closed
        self._demand = demand
        self._has_served = has_served
        self._coverage: dict[str, int] = {}
        self._last_new_at_ms = clock.monotonic_ms()
        self._failure_domain = failure_domain
        self._settings = settings
        self._keeper = keeper
        self._store = store
        self._client = client
        self._register = register
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._seen: dict[str, observations.Observation] = {}
        self._record: assignments.Assignments | None = None
        self._revision = key_value.ABSENT
        self._blind_until_ms = -BLIND_MS
        self._ordered_at_ms: dict[tuple[str, str, int, bool], int] = {}
        self._pacer = loading.LoadPacer(len(settings.failure_domains))
        self._tasks: set[asyncio.Task[None]] = set()
        self._stepped_at_ms = clock.monotonic_ms()
        self.is_holder = False

    @property
    def is_repairing(self) -> bool:
        """Whether this daemon waits for groups to form or to close."""
        waiting = self._coverage.get("forming", 0) + self._coverage.get("closing", 0)
        return self.is_holder and waiting > 0

    async def run(self) -> None:
        """Coordinate until cancelled."""
        while True:
            await self.take_step()
            await self._clock.sleep_ms(PLAN_INTERVAL_MS if self.is_holder else STANDBY_INTERVAL_MS)

    async def stop(self) -> None:
        """Give the lease back at a planned stop, so that the next coordinator need not wait."""
        await self._keeper.give_back()

    async def take_step(self) -> None:
        """Renew the lease, observe, plan and order once."""
        if self._is_blind():
            return
        await self._keeper.take_step(self._record.fencing if self._record else 0)
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._stepped_at_ms > STALLED_MS:
            for observation in self._seen.values():
                observation.failures = 0
        self._stepped_at_ms = now_ms
        is_holder = self._may_act()
        if is_holder != self.is_holder:
            self.is_holder = is_holder
            self._log.note(
                LOGGER,
                "coordinates" if is_holder else "coordinates no more",
                failure_domain=self._failure_domain,
                fencing=self._keeper.state.fencing,
                holder=self._keeper.state.holder,
            )
            self._record = None
        if not is_holder or self._register.current is None:
            return
        if self._record is None and not await self._read_record():
            return
        self._observe(now_ms)
        for service in self._register.current.list_engines():
            await self._plan(service)

    def _is_blind(self) -> bool:
        """Return whether this daemon, and not the upstreams, seems to be cut off.

        It stops renewing the lease then, so that another daemon takes over.
        """
        assigned = {member for group in self._groups() for member in group.members}
        asked = [self._seen[member] for member in assigned if member in self._seen]
        silent = sum(seen.is_silent for seen in asked)
        is_blind = self.is_holder and len(asked) >= BLIND_LEAST and silent > len(asked) / 2
        now_ms = self._clock.monotonic_ms()
        if is_blind:
            self._log.note(
                LOGGER,
                "coordinates no more, as most members do not answer",
                failure_domain=self._failure_domain,
                silent=silent,
                asked=len(asked),
            )
            self._blind_until_ms = now_ms + BLIND_MS
            self.is_holder = False
            self._record = None
            self._seen.clear()
        return now_ms < self._blind_until_ms

    def _may_act(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        return self._keeper.state.may_act(now_ms, self._settings.members.order_timeout_ms)

    async def _read_record(self) -> bool:
        found = await self._store.read(ASSIGNMENTS_PREFIX + self._failure_domain)
        if isinstance(found, result.Err):
            return False
        entry = found.ok_value
        self._revision = entry.revision if entry else key_value.ABSENT
        self._record = assignments.Assignments(
            failure_domain=self._failure_domain, next_epoch=1, groups=[]
        )
        if entry is not None:
            try:
                self._record = swap.decode_record(entry, assignments.Assignments)
            except msgspec.MsgspecError as error:
                self._log.note(
                    LOGGER, "assignments unreadable, begun anew", key=entry.key, reason=str(error)
                )
        return True

    def _observe(self, now_ms: int) -> None:
        """Take in the list, and ask the upstreams whose turn it is."""
        names = {service.name for service in self._list_services()}
        for upstream in self._view.upstreams:
            if upstream.service not in names or upstream.failure_domain != self._failure_domain:
                continue
            seen = self._seen.get(upstream.id)
            if seen is None or seen.upstream.born_at_ms != upstream.born_at_ms:
                self._last_new_at_ms = now_ms
                self._seen[upstream.id] = observations.Observation(upstream, now_ms)
            else:
                seen.upstream, seen.listed_at_ms = upstream, now_ms
        self._observe_assigned(now_ms)

    def _observe_assigned(self, now_ms: int) -> None:
        for group in self._groups():
            for rank, member in enumerate(group.members):
                if member not in self._seen:
                    recalled = _recall(group, rank, self._failure_domain)
                    self._seen[member] = observations.Observation(recalled, -1)
        assigned = {member for group in self._groups() for member in group.members}
        for gone in [
            upstream_id
            for upstream_id, seen in self._seen.items()
            if now_ms - seen.listed_at_ms > FORGET_MS and upstream_id not in assigned
        ]:
            del self._seen[gone]
        interval_ms = self._settings.members.probe_interval_ms
        for upstream_id in assigned & self._seen.keys():
            seen = self._seen[upstream_id]
            if not seen.is_asking and now_ms - seen.asked_at_ms >= interval_ms:
                seen.is_asking, seen.asked_at_ms = True, now_ms
                self._start(self._ask(seen))

    def _list_services(self) -> Sequence[rules.Service]:
        in_force = self._register.current
        return in_force.list_engines() if in_force else []

    def _groups(self) -> Sequence[assignments.Assignment]:
        return self._record.groups if self._record else []

    async def _ask(self, seen: observations.Observation) -> None:
        told = await self._client.ask(seen.upstream)
        seen.is_asking = False
        self._metrics.count("relay_probes_total", is_answered=str(isinstance(told, result.Ok)))
        if isinstance(told, result.Err):
            seen.failures += 1
            if seen.failures == observations.SILENT_PROBES:
                self._log.note(
                    LOGGER,
                    "member does not answer",
                    upstream=seen.upstream.id,
                    probes=seen.failures,
                    reason=told.err_value.message,
                )
            return
        seen.note_report(told.ok_value)

    def _make_facts(self, service: rules.Service, now_ms: int) -> dict[str, plans.Fact]:
        return {
            upstream_id: plans.Fact(
                upstream=seen.upstream,
                is_listed=seen.listed_at_ms == now_ms,
                is_silent=seen.is_silent,
                mark=seen.upstream.mark if seen.listed_at_ms == now_ms else seen.mark,
                is_known=seen.listed_at_ms == now_ms or seen.was_answered or seen.is_silent,
            )
            for upstream_id, seen in self._seen.items()
            if seen.upstream.service == service.name
        }

    async def _plan(self, service: rules.Service) -> None:
        record = self._record
        if record is None:
            return
        facts = self._make_facts(service, self._stepped_at_ms)
        if self._has_served() and not record.has_served:
            record = msgspec.structs.replace(record, has_served=True)
        self._pacer.forget_ended(service, facts, self._stepped_at_ms)
        situation = plans.Situation(
            service,
            facts,
            record,
            (
                self._pacer.count_left(service.engine, self._stepped_at_ms)
                if record.has_served
                else len(facts)
            ),  # Before the first request, loads are not counted.
            is_settled=record.has_served or self._stepped_at_ms - self._last_new_at_ms > SETTLED_MS,
            loading=self._pacer.loading,
            demand=self._demand.measure(service, self._view, self._stepped_at_ms),
            open_groups=self._view.list_groups(service.name, ""),
        )
        plan = planner.make_plan(situation)
        for note in plan.notes:
            self._log.note(
                LOGGER,
                "plan",
                change=note,
                failure_domain=self._failure_domain,
                list_age_ms=self._view.measure_age(self._clock.monotonic_ms()),
                fencing=self._keeper.state.fencing,
            )
        self._note_coverage(service, facts, plan.record)
        if plan.record != self._record and not await self._write(plan.record):
            return
        if self._may_act():
            self._give_orders(plan.orders, facts)

    def _note_coverage(
        self,
        service: rules.Service,
        facts: dict[str, plans.Fact],
        record: assignments.Assignments,
    ) -> None:
        """Log how many upstreams serve, join and wait, where that has changed."""
        coverage = coverages.measure_coverage(service, facts, record)
        if coverage != self._coverage:
            self._coverage = coverage
            self._log.note(LOGGER, "coverage", failure_domain=self._failure_domain, **coverage)

    async def _write(self, record: assignments.Assignments) -> bool:
        changed = msgspec.structs.replace(
            record, fencing=self._keeper.state.fencing, token=uuid.uuid4().hex
        )
        key = ASSIGNMENTS_PREFIX + self._failure_domain
        written = await swap.swap_record(self._store, key, changed, self._revision)
        if isinstance(written, result.Err):
            self._log.note(LOGGER, "assignments not written", reason=written.err_value.message)
            self._record = None  # Another coordinator may have written; it is read again.
            return False
        self._record, self._revision = changed, written.ok_value
        return True

    def _give_orders(self, orders: Sequence[plans.Order], facts: dict[str, plans.Fact]) -> None:
        now_ms = self._clock.monotonic_ms()
        for order in orders:
            key = order.key
            if now_ms - self._ordered_at_ms.get(key, -REPEAT_ORDER_MS) < REPEAT_ORDER_MS:
                continue
            fact = facts.get(order.upstream_id)
            if fact is not None and fact.is_silent and order.kind != plans.CLOSE:
                continue
            self._ordered_at_ms[key] = now_ms
            if order.model and fact is not None and not fact.holds(order.model):
                self._pacer.note(order.upstream_id, order.model, now_ms)
            self._start(self._give(order))

    async def _give(self, order: plans.Order) -> None:
        if order.kind == plans.CLOSE:
            self._tell_closed(order.upstream_id, order.epoch)
        seen = self._seen.get(order.upstream_id)
        fencing = self._keeper.state.fencing
        order_count = seen.order_count if seen else None
        if seen is not None:
            seen.note_order_sent()
        given = await self._client.give(order, fencing, order_count)
        outcome = given.ok_value.value if isinstance(given, result.Ok) else given.err_value.message
        self._log.note(
            LOGGER,
            "order",
            kind=order.kind,
            upstream=order.upstream_id,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            fencing=fencing,
            outcome=outcome,
        )
        self._metrics.count("relay_orders_total", kind=order.kind)
        if order.kind == plans.STAGE and given.ok() is plans.Acceptance.DONE:
            self._pacer.note_needless(order.upstream_id)
        is_refused = isinstance(given.err(), errors.UpstreamRefused)
        if is_refused:
            self._repeat_soon(order)
        if seen is not None:
            if is_refused:
                seen.note_order_refused()
            elif given.ok() is plans.Acceptance.BEGUN:
                seen.note_order_begun()
            seen.asked_at_ms = -1_000_000

    def _repeat_soon(self, order: plans.Order) -> None:
        """Let a refused order be given again once a report can show what it rested on."""
        sent_at_ms = self._clock.monotonic_ms() - REPEAT_ORDER_MS
        self._ordered_at_ms[order.key] = sent_at_ms + REPEAT_REFUSED_MS

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _recall(group: assignments.Assignment, rank: int, failure_domain: str) -> members.Upstream:
    """Return a member whose directory entry this coordinator has not seen."""
    return members.Upstream(
        id=group.members[rank],
        service=group.service,
        address=group.addresses[rank],
        failure_domain=failure_domain,
        is_leaving=False,
        slots=0,
        born_at_ms=group.born_at_ms[rank],
        fabric_domain=group.fabric_domain,
    )
