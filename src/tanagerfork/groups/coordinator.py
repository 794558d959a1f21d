"""Coordination: forms and repairs the groups of a failure domain and gives engine orders."""

import uuid

import result

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.bundles import register
from tanagerfork.generated import engine, layout
from tanagerfork.groups import directory, formation, presence
from tanagerfork.platform import key_value, swap
from tanagerfork.timeline import kinds, ring
from tanagerfork.upstream import engine as engines

LAYOUT_PREFIX = "layout/"


class Coordinator:
    """Keeps the layout of one failure domain in line with bundle and reports.

    :param failure_domain: failure domain.
    :param store: key-value service.
    :param bundles: bundle in force.
    :param groups: groups and VMs as this daemon knows them.
    :param client: engine client.
    :param clock: clock to wait on.
    :param timeline: time line.
    :param metrics: counters.
    :param interval_ms: time between two decisions, in milliseconds.
    """

    __slots__ = (
        "_failure_domain",
        "_store",
        "_bundles",
        "_groups",
        "_client",
        "_clock",
        "_timeline",
        "_metrics",
        "_interval_ms",
    )

    def __init__(
        self,
        failure_domain: str,
        store: key_value.KeyValue,
        bundles: register.BundleRegister,
        groups: directory.GroupDirectory,
        client: engines.EngineClient,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
        interval_ms: int,
    ) -> None:
        self._failure_domain = failure_domain
        self._store = store
        self._bundles = bundles
        self._groups = groups
        self._client = client
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._interval_ms = interval_ms

    async def run(self) -> None:
        """Decide and act until cancelled."""
        while True:
            await self.take_step()
            await self._clock.sleep_ms(self._interval_ms)

    async def take_step(self) -> None:
        """Read the layout, change it where needed, and give the orders that follow from it."""
        key = LAYOUT_PREFIX + self._failure_domain
        found = await self._store.read(key)
        if isinstance(found, result.Err) or self._bundles.current is None:
            return
        entry = found.ok_value
        current = layout.Layout(failure_domain=self._failure_domain, serial=0, fencing=0, groups=[])
        if entry is not None:
            current = swap.decode_record(entry, layout.Layout)
        self._groups.take_layout(current)
        planned = self._plan(current)
        if planned.groups != current.groups:
            planned.token = uuid.uuid4().hex
            revision = entry.revision if entry else key_value.ABSENT
            written = await swap.swap_record(self._store, key, planned, revision)
            if written.is_err():
                return
            self._groups.take_layout(planned)
        await self._give_orders()

    def _plan(self, current: layout.Layout) -> layout.Layout:
        now_ms = self._clock.monotonic_ms()
        groups = []
        for record in current.groups:
            view = self._groups.presence.judge(record, now_ms)
            lost = [vm for vm in view.missing if not self._groups.is_reporting(vm, now_ms)]
            present = [vm for vm in record.reserves if self._groups.is_reporting(vm, now_ms)]
            repaired = formation.replace_members(record, lost, present)
            if repaired is not None:
                self._timeline.record(
                    kinds.EventKind.GROUP_REPAIRED,
                    f"{', '.join(lost)} replaced out of the reserves",
                    group=record.group,
                )
            groups.append(repaired or record)
        repaired_layout = layout.Layout(
            failure_domain=current.failure_domain,
            serial=current.serial,
            fencing=current.fencing,
            groups=groups,
        )
        bundle = self._bundles.current
        models = bundle.bundle.models if bundle else []
        reporting = [vm for vm in self._groups.vms if self._groups.is_reporting(vm.vm, now_ms)]
        return formation.plan_layout(repaired_layout, models, reporting)

    async def _give_orders(self) -> None:
        now_ms = self._clock.monotonic_ms()
        for view in self._groups.views(now_ms):
            if view.state != presence.GroupState.BROKEN:
                continue
            for vm in view.missing:
                heard = self._groups.presence.find_report(vm, now_ms)
                entry = self._groups.find_vm(vm)
                if heard is None or entry is None or _has_joined(heard.report, view.record):
                    continue
                order = engine.Order(
                    kind="join",
                    fencing=0,
                    group=view.record.group,
                    generation=view.record.generation,
                    members=view.record.members,
                    model=view.record.model,
                    version=view.record.version,
                    adapters=view.record.adapters,
                )
                await self._client.order(entry, order)
                self._metrics.count("orders_sent_total", kind="join")


def _has_joined(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    return (report.group, report.generation) == (record.group, record.generation)
