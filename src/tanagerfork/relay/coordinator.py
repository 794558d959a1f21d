"""Coordinator: probes the members of one failure domain, writes the plan and sends the orders."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.generated import assignments
from tanagerfork.generated import relay as settings_records
from tanagerfork.groups import lease
from tanagerfork.relay import (
    assignment_record,
    fleet,
    load_limiter,
    member_client,
    members,
    observations,
    order_sender,
    planner,
    plans,
    reach,
    reach_checks,
    rebalancing,
    repairs,
    rules,
    silence,
)
from tanagerfork.relay import coverage as coverages
from tanagerfork.relay import demand as demands
from tanagerfork.storage import key_value

LOGGER = "relay.coordinator"
PLAN_INTERVAL_MS = 100  # A tenth of the time that a repair takes.
STANDBY_INTERVAL_MS = 250  # A fraction of the lease time, which has to pass before any takeover.
STALL_MS = 1000  # After a pause this long, earlier failed probes are no evidence of silence.
ISOLATION_PAUSE_MS = 5000  # Another daemon has taken the lease by then.
SETTLED_MS = 1500  # Upstreams that start together appear within three seconds of each other.


class Coordinator:
    """Coordinates the groups of one failure domain while it holds the lease.

    :param failure_domain: failure domain.
    :param settings: settings of the daemon.
    :param keeper: the coordinator's lease.
    :param store: store of the record of assignments.
    :param client: probes upstreams and sends them orders.
    :param register: rules in force.
    :param view: fleet.
    :param clock: clock of all decisions.
    :param log: decision log.
    :param metrics: counters.
    :param demand: share of the upstreams that each model needs for its requests.
    :param has_served: returns whether this daemon has seen a request.
    :param announce_closed: announces to all daemons the head and epoch of a group to be closed.
    :param announce_leaving: records and announces an upstream that said that it leaves.
    :param own_reach: which services this daemon reaches.
    :param checks: checks the reach when a member does not answer.
    """

    __slots__ = (
        "_failure_domain",
        "_settings",
        "_keeper",
        "_client",
        "_register",
        "_view",
        "_clock",
        "_log",
        "_metrics",
        "_observations",
        "_assignments",
        "_order_sender",
        "_isolated_until_ms",
        "_load_limiter",
        "_tasks",
        "_last_step_ms",
        "is_holder",
        "_has_served",
        "_announce_leaving",
        "_reach",
        "_reach_checks",
        "_demand",
        "_coverage",
        "_last_new_at_ms",
        "_rebalancers",
        "_repair_logs",
    )

    def __init__(
        self,
        failure_domain: str,
        settings: settings_records.RelaySettings,
        keeper: lease.LeaseKeeper,
        store: key_value.KeyValue,
        client: member_client.MemberClient,
        register: rules.RulesRegister,
        view: fleet.Fleet,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        demand: demands.Demand,
        has_served: Callable[[], bool],
        announce_closed: Callable[[str, int], None],
        announce_leaving: Callable[[members.Upstream], None],
        own_reach: reach.Reach,
        checks: reach_checks.ReachChecks,
    ) -> None:
        self._reach = own_reach
        self._reach_checks = checks
        self._announce_leaving = announce_leaving
        self._demand = demand
        self._has_served = has_served
        self._coverage: dict[str, int] = {}
        self._rebalancers: dict[str, rebalancing.Rebalancer] = {}
        self._repair_logs: dict[str, repairs.RepairLog] = {}
        self._last_new_at_ms = clock.monotonic_ms()
        self._failure_domain = failure_domain
        self._settings = settings
        self._keeper = keeper
        self._client = client
        self._register = register
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._observations: dict[str, observations.Observation] = {}
        self._assignments = assignment_record.AssignmentRecord(failure_domain, store, log)
        self._isolated_until_ms = -ISOLATION_PAUSE_MS
        self._load_limiter = load_limiter.LoadLimiter(len(settings.failure_domains))
        self._order_sender = order_sender.OrderSender(
            keeper,
            client,
            clock,
            log,
            metrics,
            self._load_limiter,
            announce_closed,
            self._start_probe,
            self._start_task,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_step_ms = clock.monotonic_ms()
        self.is_holder = False

    @property
    def is_repairing(self) -> bool:
        """Whether this daemon coordinates, and groups are closing or go on forming."""
        is_evacuated = self._failure_domain in self._view.evacuated
        return self.is_holder and coverages.is_repair_pending(self._coverage, is_evacuated)

    async def run(self) -> None:
        """Coordinate until cancelled."""
        while True:
            await self.take_step()
            await self._clock.sleep_ms(PLAN_INTERVAL_MS if self.is_holder else STANDBY_INTERVAL_MS)

    async def stop(self) -> None:
        """Release the lease at a planned stop, so that the next coordinator need not wait."""
        await self._keeper.release()

    async def take_step(self) -> None:
        """Renew the lease, update the observations, plan, and send orders, once each."""
        if await self._check_isolation():
            return
        await self._keeper.take_step(self._assignments.fencing)
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_step_ms > STALL_MS:
            for seen in self._observations.values():
                seen.forget_failed_probes()
        self._last_step_ms = now_ms
        is_holder = self._may_act()
        if is_holder != self.is_holder:
            self._change_holder(is_holder, now_ms)
        if not is_holder or self._register.current is None:
            self._follow_demand(now_ms)
            return
        fencing = self._keeper.state.fencing
        if self._assignments.current is None and not await self._assignments.read(fencing):
            if self._assignments.is_unreadable:
                await self._resign()
            return
        self._update_observations(now_ms)
        for service in self._register.current.list_engine_services():
            await self._plan_service(service)

    def _change_holder(self, is_holder: bool, now_ms: int) -> None:
        """Begin or end to coordinate, without what is only known from an earlier lease."""
        self.is_holder = is_holder
        self._log.note(
            LOGGER,
            "became coordinator" if is_holder else "no longer coordinator",
            failure_domain=self._failure_domain,
            fencing=self._keeper.state.fencing,
            holder=self._keeper.state.holder,
        )
        self._assignments.forget()
        self._repair_logs.clear()
        for seen in self._observations.values():
            seen.taken_over_at_ms = now_ms

    def _follow_demand(self, now_ms: int) -> None:
        """Measure demand without deciding, so that a standby knows the peaks when it takes over."""
        for service in self._list_engine_services():
            self._demand.measure_slots(service, self._view, now_ms)

    async def _check_isolation(self) -> bool:
        """Resign if this daemon itself seems cut off; return whether it may not coordinate."""
        probed = observations.list_assigned(self._observations, self._list_groups())
        services = self._list_engine_services()
        is_cut_off = any(self._reach.is_cut_off(service.name) for service in services)
        now_ms = self._clock.monotonic_ms()
        if self.is_holder and (is_cut_off or silence.is_majority_silent(probed)):
            self._log.note(
                LOGGER,
                "no longer coordinator, most members do not answer",
                failure_domain=self._failure_domain,
                silent=sum(seen.is_silent for seen in probed),
                asked=len(probed),
            )
            await self._resign()
        return is_cut_off or now_ms < self._isolated_until_ms

    async def _resign(self) -> None:
        """Release the lease, and leave it to other daemons for some time."""
        self._isolated_until_ms = self._clock.monotonic_ms() + ISOLATION_PAUSE_MS
        self.is_holder = False
        self._assignments.forget()
        self._observations.clear()
        for task in self._tasks:
            task.cancel()
        await self._keeper.release()

    def _may_act(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        return self._keeper.state.may_act(now_ms, self._settings.members.order_timeout_ms)

    def _update_observations(self, now_ms: int) -> None:
        """Update the observations from the list, and probe the members that are due."""
        names = {service.name for service in self._list_engine_services()}
        for upstream in self._view.upstreams:
            if upstream.service not in names or upstream.failure_domain != self._failure_domain:
                continue
            seen = self._observations.get(upstream.id)
            if seen is None or seen.upstream.born_at_ms != upstream.born_at_ms:
                self._last_new_at_ms = now_ms
                self._observations[upstream.id] = observations.Observation(upstream, now_ms)
            else:
                seen.upstream, seen.listed_at_ms = upstream, now_ms
        self._probe_assigned(now_ms)

    def _probe_assigned(self, now_ms: int) -> None:
        """Probe the assigned members that are due, and forget upstreams that are gone."""
        for group in self._list_groups():
            for rank, member in enumerate(group.members):
                if member not in self._observations:
                    unlisted = observations.describe_member(group, rank, self._failure_domain)
                    self._observations[member] = observations.Observation(
                        unlisted, -1, taken_over_at_ms=now_ms
                    )
        assigned = {member for group in self._list_groups() for member in group.members}
        for gone in [
            upstream_id
            for upstream_id, seen in self._observations.items()
            if now_ms - seen.listed_at_ms > fleet.UNLISTED_RETENTION_MS
            and upstream_id not in assigned
        ]:
            del self._observations[gone]
        due_ms = now_ms - self._settings.members.probe_interval_ms
        for seen in observations.list_assigned(self._observations, self._list_groups()):
            if seen.probed_at_ms <= due_ms:
                self._start_probe(seen)

    def _list_engine_services(self) -> Sequence[rules.Service]:
        in_force = self._register.current
        return in_force.list_engine_services() if in_force else []

    def _list_groups(self) -> Sequence[assignments.Assignment]:
        return self._assignments.current.groups if self._assignments.current else []

    async def _probe(self, seen: observations.Observation) -> None:
        reported = await self._client.probe(seen.upstream)
        seen.is_probing = False
        self._metrics.count("relay_probes_total", is_answered=str(isinstance(reported, result.Ok)))
        if isinstance(reported, result.Err):
            self._note_failed_probe(seen, reported.err_value)
            return
        seen.note_report(reported.ok_value, self._clock.monotonic_ms())
        if reported.ok_value.is_leaving:
            self._announce_leaving(seen.upstream)

    def _note_failed_probe(
        self, seen: observations.Observation, error: errors.UpstreamError
    ) -> None:
        was_silent = seen.is_silent
        is_refused = not isinstance(error, (errors.UpstreamSilent, errors.ConnectTimedOut))
        seen.note_failed_probe(is_refused, self._clock.monotonic_ms())
        self._reach_checks.doubt(seen.upstream.service)
        if seen.is_silent and not was_silent:
            self._log.note(
                LOGGER,
                "member does not answer",
                upstream=seen.upstream.id,
                probes=seen.failed_probes,
                reason=error.message,
            )
            self._start_task(self._confirm_reach(seen))

    async def _confirm_reach(self, seen: observations.Observation) -> None:
        """Check at once whether the service of a silent member is reached."""
        await self._reach_checks.confirm(seen.upstream.service)

    def _get_statuses(self, service: rules.Service, now_ms: int) -> dict[str, plans.UpstreamStatus]:
        list_time_ms = now_ms - self._view.measure_age(now_ms)
        lag_ms = service.engine.report_lag_ms if service.engine else 0.0
        lost = silence.find_lost(
            self._observations,
            observations.list_assigned(self._observations, self._list_groups()),
            self._reach.was_reached_since,
        )
        return {
            upstream_id: plans.UpstreamStatus(
                upstream=seen.upstream,
                is_listed=seen.listed_at_ms == now_ms,
                is_silent=upstream_id in lost,
                membership=(
                    seen.find_newest_membership(list_time_ms, lag_ms)
                    if seen.listed_at_ms == now_ms
                    else seen.membership
                ),
                is_known=(seen.listed_at_ms == now_ms or seen.has_reported or upstream_id in lost),
                unlisted_ms=seen.measure_unlisted(now_ms),
            )
            for upstream_id, seen in self._observations.items()
            if seen.upstream.service == service.name
        }

    async def _plan_service(self, service: rules.Service) -> None:
        record = self._assignments.current
        if record is None:
            return
        statuses = self._get_statuses(service, self._last_step_ms)
        if self._has_served() and not record.has_served:
            record = msgspec.structs.replace(record, has_served=True)
        self._load_limiter.forget_ended(service, statuses, self._last_step_ms)
        situation = plans.Situation(
            service,
            statuses,
            record,
            (
                self._load_limiter.count_allowed(service.engine, self._last_step_ms)
                if record.has_served
                else len(statuses)
            ),  # Loads are not limited before the first request.
            is_settled=record.has_served or self._last_step_ms - self._last_new_at_ms > SETTLED_MS,
            loading=self._load_limiter.loading,
            demand=self._demand.measure(service, self._view, self._last_step_ms),
            open_groups=self._view.list_groups(service.name, ""),
            wanted_slots=self._demand.measure_slots(service, self._view, self._last_step_ms),
            moves_groups=demands.moves_groups(service.engine),
            evacuated=self._view.evacuated,
            listed=self._view.ids,
        )
        rebalancer = self._rebalancers.setdefault(service.name, rebalancing.Rebalancer())
        move = rebalancer.choose_move(situation, self._last_step_ms)
        plan = planner.make_plan(dataclasses.replace(situation, move=move))
        for note in plan.notes:
            self._log.note(
                LOGGER,
                "plan",
                change=note,
                failure_domain=self._failure_domain,
                list_age_ms=self._view.measure_age(self._clock.monotonic_ms()),
                fencing=self._keeper.state.fencing,
            )
        self._log_coverage(service, statuses, plan.record)
        if plan.record != self._assignments.current and not await self._assignments.write(
            plan.record, self._keeper.state.fencing
        ):
            return
        self._record_changes(service, plan, statuses)
        if self._may_act():
            self._send_orders(plan.orders, statuses)

    def _record_changes(
        self, service: rules.Service, plan: plans.Plan, statuses: dict[str, plans.UpstreamStatus]
    ) -> None:
        """Time the repairs, and count a move, by a plan that was written."""
        repair_log = self._repair_logs.setdefault(
            service.name, repairs.RepairLog(self._failure_domain, self._log, self._metrics)
        )
        repair_log.follow(service.name, plan, statuses, self._last_step_ms)
        if plan.moved:
            self._metrics.count(
                "relay_moves_total", giving=plan.moved.giving, gaining=plan.moved.gaining
            )

    def _log_coverage(
        self,
        service: rules.Service,
        statuses: dict[str, plans.UpstreamStatus],
        record: assignments.Assignments,
    ) -> None:
        """Log the numbers of groups and of free upstreams if they have changed."""
        coverage = coverages.measure_coverage(service, statuses, record)
        if coverage != self._coverage:
            self._coverage = coverage
            self._log.note(LOGGER, "coverage", failure_domain=self._failure_domain, **coverage)

    def _send_orders(
        self, orders: Sequence[plans.Order], statuses: dict[str, plans.UpstreamStatus]
    ) -> None:
        self._order_sender.send(orders, statuses, self._observations)

    def _start_probe(self, seen: observations.Observation) -> None:
        if not seen.is_probing:
            seen.is_probing, seen.probed_at_ms = True, self._clock.monotonic_ms()
            self._start_task(self._probe(seen))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
