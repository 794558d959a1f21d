"""Coordinator: keeps the layout of a failure domain consistent with the bundle and the reports."""

import dataclasses
import uuid
from collections.abc import Callable

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.bundles import register
from tanagerfork.generated import bundle, layout
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import (
    directory,
    facts,
    layout_follower,
    lease,
    orders,
    outage,
    placement,
    sender,
    stragglers,
)
from tanagerfork.storage import key_value, swap
from tanagerfork.timeline import kinds, ring

ABSTENTION_MS = 30_000  # Pause in which a daemon that reaches no VM does not compete for the lease.
OUTAGE_AFTER_TTLS = 2  # Lease TTLs without an answer of the store before substitution begins.


@dataclasses.dataclass(slots=True)
class _BaseLayout:
    """Layout that the next write replaces, and its revision in the store."""

    layout: layout.Layout
    revision: int


class Coordinator:
    """Plans the layout while it holds the lease, and substitutions while no daemon can hold it.

    A step makes few calls to the store: the holder renews its lease, writes the layout only if it
    changes, and reads it only after it took the lease or lost a write to another daemon. Of the
    other daemons, only the candidates read the lease.

    :param failure_domain: failure domain.
    :param store: key-value service.
    :param bundles: register of the bundle in force.
    :param groups: groups and VMs known to this daemon.
    :param lease_keeper: lease of the failure domain.
    :param order_sender: sender of engine orders.
    :param clock: clock of this daemon.
    :param timeline: timeline of this daemon.
    :param metrics: metrics of this daemon.
    :param settings: intervals and timeouts of observation and coordination.
    :param make_policy: creates the placement policy each time the lease is taken or lost.
    """

    __slots__ = (
        "_failure_domain",
        "_store",
        "_bundles",
        "_groups",
        "_lease_keeper",
        "_sender",
        "_clock",
        "_timeline",
        "_metrics",
        "_settings",
        "_policy",
        "_substituter",
        "_straggler_detector",
        "_isolation_detector",
        "_abstains_until_ms",
        "_base",
        "_last_fencing",
        "_listening_since_ms",
        "_last_step_at_ms",
        "_is_store_unavailable",
        "_frozen_layout",
        "_make_policy",
    )

    def __init__(
        self,
        failure_domain: str,
        store: key_value.KeyValue,
        bundles: register.BundleRegister,
        groups: directory.GroupDirectory,
        lease_keeper: lease.LeaseKeeper,
        order_sender: sender.OrderSender,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
        settings: settings_records.GroupSettings,
        make_policy: Callable[[], placement.LayoutPolicy],
    ) -> None:
        self._failure_domain = failure_domain
        self._store = store
        self._bundles = bundles
        self._groups = groups
        self._lease_keeper = lease_keeper
        self._sender = order_sender
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._settings = settings
        self._make_policy = make_policy
        self._policy = make_policy()
        self._substituter = outage.Substituter()
        self._straggler_detector = stragglers.StragglerDetector()
        self._isolation_detector = stragglers.IsolationDetector(settings.wave_limit_ms)
        self._abstains_until_ms = clock.monotonic_ms()
        self._base: _BaseLayout | None = None
        self._last_fencing = 0
        self._listening_since_ms = clock.monotonic_ms()
        self._last_step_at_ms = clock.monotonic_ms()
        self._is_store_unavailable = False
        self._frozen_layout: layout.Layout | None = None

    async def run(self) -> None:
        """Run coordination steps until cancelled."""
        while True:
            await self.take_step()
            await self._clock.sleep_ms(self._settings.plan_interval_ms)

    async def stop(self) -> None:
        """Release the lease, so that another daemon can take over without a wait."""
        await self._lease_keeper.release()
        self._handle_lease_change()

    async def take_step(self) -> None:
        """Renew or take the lease, then coordinate or substitute if that is allowed."""
        self._detect_pause()
        in_force = self._bundles.current
        if in_force is None:
            return
        if self._clock.monotonic_ms() < self._abstains_until_ms:
            return
        await self._lease_keeper.take_step(self._find_highest_fencing())
        self._handle_lease_change()
        self._update_store_outage()
        now_ms = self._clock.monotonic_ms()
        if self._lease_keeper.state.may_act(now_ms, 0):
            await self._coordinate(in_force.bundle, self._observe_vms(now_ms))
        elif self._is_store_unavailable:
            await self._substitute(in_force.bundle, self._observe_vms(now_ms))

    async def _coordinate(self, wanted: bundle.Bundle, vms: dict[str, facts.VmFact]) -> None:
        if vms and all(fact.is_lost for fact in vms.values()):
            await self._abstain()
            return
        base = self._base or await self._read_base()
        if base is None:
            return
        now_ms = self._clock.monotonic_ms()
        views = {view.record.group: view for view in self._groups.views(now_ms)}
        situation = facts.Situation(
            now_ms=now_ms,
            layout=base.layout,
            bundle=wanted,
            bundle_version=self._bundles.version,
            fencing=self._lease_keeper.state.fencing,
            vms=vms,
            views=views,
        )
        plan = self._policy.plan(situation, uuid.uuid4().hex)
        if plan is not None and not await self._write_plan(plan, base, situation):
            return
        current = plan.layout if plan else base.layout
        if current.fencing == self._lease_keeper.state.fencing:
            chosen = orders.choose_orders(current, vms, wanted.placement)
            await self._sender.send_orders(chosen, vms, self._may_order)

    async def _abstain(self) -> None:
        """Release the lease for a while, as this daemon reaches no VM and another one may."""
        self._abstains_until_ms = self._clock.monotonic_ms() + ABSTENTION_MS
        await self._lease_keeper.release()
        self._handle_lease_change()

    async def _write_plan(
        self, plan: placement.Plan, base: _BaseLayout, situation: facts.Situation
    ) -> bool:
        if not self._lease_keeper.state.may_act(self._clock.monotonic_ms(), 0):
            return False
        key = layout_follower.LAYOUT_PREFIX + self._failure_domain
        at = self._timeline.stamp()
        plan.layout.written_at_ms = at.ceiling_ms
        written = await swap.swap_record(self._store, key, plan.layout, base.revision)
        if isinstance(written, result.Err):
            self._base = None
            self._metrics.count("layout_writes_failed_total", kind=written.err_value.kind)
            return False
        self._base = _BaseLayout(plan.layout, written.ok_value)
        self._groups.apply_layout(plan.layout)
        self._policy.on_layout_written(plan.layout, situation)
        self._metrics.count("layout_writes_total")
        for event in plan.events:
            self._timeline.record(event.kind, event.detail, group=event.group, at=at)
        return True

    async def _read_base(self) -> _BaseLayout | None:
        """Read the layout that the next write replaces.

        :return: newest known layout, which may be newer than the stored one (such as after a
            restore), and the stored revision; None if the store does not answer.
        """
        found = await self._store.read(layout_follower.LAYOUT_PREFIX + self._failure_domain)
        if isinstance(found, result.Err):
            return None
        entry = found.ok_value
        if entry is not None:
            self._apply_entry(entry)
        known = self._groups.layout or layout.Layout(
            failure_domain=self._failure_domain, serial=0, fencing=0, groups=[]
        )
        self._base = _BaseLayout(known, entry.revision if entry else key_value.ABSENT)
        return self._base

    def _apply_entry(self, entry: key_value.Entry) -> None:
        try:
            self._groups.apply_layout(swap.decode_record(entry, layout.Layout))
        except msgspec.MsgspecError:
            self._metrics.count("layouts_unreadable_total")

    async def _substitute(self, wanted: bundle.Bundle, vms: dict[str, facts.VmFact]) -> None:
        if self._groups.layout is None:
            return
        now_ms = self._clock.monotonic_ms()
        situation = outage.OutageSituation(
            now_ms=now_ms,
            layout=self._groups.layout,
            policy=wanted.placement,
            vms=vms,
            views={view.record.group: view for view in self._groups.views(now_ms)},
        )
        chosen = self._substituter.choose_orders(situation)
        await self._sender.send_orders(chosen, vms, self._may_substitute)

    def _may_order(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        return self._lease_keeper.state.may_act(now_ms, self._settings.order_timeout_ms)

    def _may_substitute(self) -> bool:
        return self._is_store_unavailable

    def _find_highest_fencing(self) -> int:
        """Return the highest fencing number in the layout and in the reports of the engines."""
        now_ms = self._clock.monotonic_ms()
        found = [self._groups.presence.find_report(vm.vm, now_ms) for vm in self._groups.vms]
        reported = max(
            (received.report.fencing for received in found if received is not None), default=0
        )
        known = self._groups.layout.fencing if self._groups.layout else 0
        return max(reported, known)

    def _observe_vms(self, now_ms: int) -> dict[str, facts.VmFact]:
        received = [self._groups.presence.find_report(vm.vm, now_ms) for vm in self._groups.vms]
        reports = [item.report for item in received if item is not None]
        slow = self._straggler_detector.find_stragglers(reports, now_ms)
        records = self._groups.layout.groups if self._groups.layout else []
        by_vm = {report.vm: report for report in reports}
        slow |= self._isolation_detector.find_isolated(records, by_vm, now_ms)
        return facts.observe_vms(self._groups, now_ms, self._listening_since_ms, slow)

    def _detect_pause(self) -> None:
        """Restart the measurement of silence after a pause of this process.

        All reports are stale after a pause, which says nothing about the VMs.
        """
        now_ms = self._clock.monotonic_ms()
        usual_ms = self._settings.plan_interval_ms + self._settings.presence_ttl_ms
        if now_ms - self._last_step_at_ms > usual_ms:
            self._listening_since_ms = now_ms
        self._last_step_at_ms = now_ms

    def _handle_lease_change(self) -> None:
        fencing = self._lease_keeper.state.fencing
        if fencing == self._last_fencing:
            return
        self._last_fencing = fencing
        self._base = None
        self._policy = self._make_policy()
        kind = kinds.EventKind.LEASE_TAKEN if fencing else kinds.EventKind.LEASE_LOST
        self._timeline.record(kind, f"fencing number {fencing}" if fencing else "")

    def _update_store_outage(self) -> None:
        """Detect whether the store is unavailable to all daemons, so that none can hold the lease.

        If a peer relayed a newer layout in the meantime, the store still answers some daemon.
        """
        outage_ms = self._lease_keeper.measure_outage_ms()
        if outage_ms == 0:
            self._frozen_layout = self._groups.layout
        limit_ms = OUTAGE_AFTER_TTLS * self._settings.lease_ttl_ms
        limit_ms += self._lease_keeper.find_rank() * self._settings.lease_ttl_ms // 2
        is_frozen = self._groups.layout == self._frozen_layout
        is_unavailable = outage_ms > limit_ms and is_frozen
        if is_unavailable == self._is_store_unavailable:
            return
        self._is_store_unavailable = is_unavailable
        self._substituter.reset()
        kind = kinds.EventKind.PLATFORM_AWAY if is_unavailable else kinds.EventKind.PLATFORM_BACK
        self._timeline.record(
            kind, "the layout is frozen" if is_unavailable else "the layout may change"
        )
