"""Simulation of the engines of a failure domain, driven by the real decision code."""

import dataclasses
import random
from collections.abc import Callable

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors, metrics
from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import engine, settings
from tanagerfork.groups import (
    coordinator,
    directory,
    lease,
    placement,
    presence,
    rollout,
    sender,
)
from tanagerfork.timeline import ring

FAILURE_DOMAIN = "ipoh-a"
MODEL = "rota-writer"
STEP_MS = 500
USUAL_STEP_MS = 33.0


@dataclasses.dataclass(slots=True)
class EngineModel:
    """Simulated state of one VM and its engine."""

    entry: engine.VmEntry
    report: engine.EngineReport
    is_alive: bool = True
    is_paused: bool = False
    slowdown: float = 1.0
    loaded_at_ms: int = 0
    restarts: int = 0

    @property
    def is_reachable(self) -> bool:
        """Whether the engine responds to calls."""
        return self.is_alive and not self.is_paused


class Fleet:
    """Engines of one failure domain and the weight store that they load from.

    :param domains: VMs by fabric domain.
    :param load_ms: time to load the weights of one VM, in milliseconds.
    :param loads_at_once: number of VMs that the weight store serves at once.
    :param checks_fencing: whether engines reject stale fencing numbers.
    """

    def __init__(
        self,
        domains: dict[str, int],
        load_ms: int = 1000,
        loads_at_once: int = 4,
        checks_fencing: bool = True,
    ) -> None:
        self.load_ms = load_ms
        self.loads_at_once = loads_at_once
        self.now_ms = 0
        self.engines: dict[str, EngineModel] = {}
        self.unlisted: set[str] = set()
        self.holds_orders = False
        self.held_orders: list[tuple[str, engine.Order]] = []
        self.broken_versions: set[str] = set()
        self._queue: list[str] = []
        for domain, count in domains.items():
            for number in range(count):
                name = f"{domain}-vm{number}"
                entry = engine.VmEntry(
                    vm=name,
                    url="",
                    failure_domain=FAILURE_DOMAIN,
                    fabric_domain=domain,
                    checks_fencing=checks_fencing,
                )
                self.engines[name] = EngineModel(entry, _make_empty_report(name, 0))

    def list_vms(self) -> list[engine.VmEntry]:
        """Return the platform's list of VMs."""
        return [item.entry for name, item in self.engines.items() if name not in self.unlisted]

    def advance(self, now_ms: int) -> None:
        """Advance the time; start and finish the loads that are due."""
        self.now_ms = now_ms
        for name in list(self._queue[: self.loads_at_once]):
            model = self.engines[name]
            if model.loaded_at_ms == 0:
                model.loaded_at_ms = now_ms + self.load_ms
            elif now_ms >= model.loaded_at_ms and model.is_reachable:
                self._finish_load(model)
        for name in self._queue[: self.loads_at_once]:
            if self.engines[name].loaded_at_ms == 0:
                self.engines[name].loaded_at_ms = now_ms + self.load_ms

    def is_loading(self) -> bool:
        """Return whether any VM is loading weights."""
        return bool(self._queue)

    def die(self, name: str) -> None:
        """Stop a VM abruptly."""
        self.engines[name].is_alive = False
        self._leave_queue(name)

    def come_back(self, name: str, as_if_nothing_happened: bool = False) -> None:
        """Restart a VM without its state, or make it reachable again with its state intact."""
        model = self.engines[name]
        model.is_alive = True
        if as_if_nothing_happened and model.report.state == "loading":
            self._queue.append(name)
        if not as_if_nothing_happened:
            model.restarts += 1
            model.report = _make_empty_report(name, model.restarts)

    def read_report(self, name: str) -> engine.EngineReport | None:
        """Return the report of a VM, None if the VM is unreachable."""
        model = self.engines[name]
        if not model.is_reachable:
            return None
        model.report.sequence += 1
        return msgspec.structs.replace(
            model.report,
            members=[vm for vm in model.report.members if self._is_connected(vm, model.report)],
            step_ms=USUAL_STEP_MS * model.slowdown,
        )

    def take_order(self, name: str, order: engine.Order) -> engine.OrderAnswer:
        """Execute an order at an engine; reject a stale fencing number."""
        model = self.engines[name]
        if model.entry.checks_fencing and order.fencing < model.report.fencing:
            return engine.OrderAnswer(accepted=False, reason="old fencing number")
        model.report.fencing = max(model.report.fencing, order.fencing)
        self._apply_order(model, order)
        return engine.OrderAnswer(accepted=True, fencing=model.report.fencing)

    def deliver_held(self) -> None:
        """Deliver the orders that were held back in transit."""
        held_orders, self.held_orders = self.held_orders, []
        for name, order in held_orders:
            if self.engines[name].is_reachable:
                self.take_order(name, order)

    async def send_order(
        self, vm: engine.VmEntry, order: engine.Order
    ) -> result.Result[engine.OrderAnswer, errors.UpstreamError]:
        """Send an order to an engine; see `EngineClient.send_order`."""
        if self.holds_orders:
            self.held_orders.append((vm.vm, order))
            return result.Err(errors.UpstreamLost("no answer in time"))
        if not self.engines[vm.vm].is_reachable:
            return result.Err(errors.UpstreamUnreachable("takes no connection"))
        return result.Ok(self.take_order(vm.vm, order))

    def is_truly_whole(self, members: list[str]) -> bool:
        """Return whether VMs are reachable, ready and in the same group and generation."""
        reports = [self.engines[vm].report for vm in members]
        rosters = {(item.group, item.generation, tuple(item.members)) for item in reports}
        return (
            len(rosters) == 1
            and all(self.engines[vm].is_reachable for vm in members)
            and all(item.state in ("ready", "leaving") for item in reports)
        )

    def _is_connected(self, vm: str, report: engine.EngineReport) -> bool:
        other = self.engines[vm]
        return vm == report.vm or (
            other.is_reachable
            and (other.report.group, other.report.generation) == (report.group, report.generation)
        )

    def _apply_order(self, model: EngineModel, order: engine.Order) -> None:
        report = model.report
        if order.kind == "leave":
            report.group, report.generation, report.members = "", 0, []
            report.state = "idle" if report.state != "loading" else "loading"
            return
        if order.kind == "join":
            report.group, report.generation = order.group, order.generation
            report.members = list(order.members)
        loaded = (report.model, report.version, report.adapters)
        if loaded == (order.model, order.version, order.adapters):
            if report.state == "idle" and order.kind == "join":
                report.state = "ready"
            return
        report.model, report.version = order.model, order.version
        report.adapters = list(order.adapters)
        report.state = "loading"
        self._leave_queue(report.vm)
        self._queue.append(report.vm)

    def _finish_load(self, model: EngineModel) -> None:
        if model.report.version in self.broken_versions:
            return
        model.report.state = "ready" if model.report.group else "idle"
        self._leave_queue(model.report.vm)

    def _leave_queue(self, name: str) -> None:
        self.engines[name].loaded_at_ms = 0
        if name in self._queue:
            self._queue.remove(name)


@dataclasses.dataclass(slots=True)
class InForce:
    """Wrapper of a bundle with the attribute that the coordinator reads."""

    bundle: bundle_records.Bundle


@dataclasses.dataclass(slots=True)
class BundleSource:
    """Source of the bundle in force and its version for the coordinator."""

    current: InForce
    version: int = 1


class FleetDaemon:
    """Group management of one daemon: observation, lease and coordination.

    :param name: name of the daemon.
    :param fleet: simulated engines.
    :param store: key-value service.
    :param clock: clock of the daemon.
    :param bundles: bundle in force.
    :param group_settings: intervals and timeouts of observation and coordination.
    :param names: names of the live daemons; empty for this daemon alone.
    :param make_policy: factory of the placement policy; None for the default planner.
    """

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        store,
        clock: clocks.ManualClock,
        bundles: BundleSource,
        group_settings: settings.GroupSettings | None = None,
        names: tuple[str, ...] = (),
        make_policy: Callable[[], placement.LayoutPolicy] | None = None,
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.settings = group_settings or settings.GroupSettings()
        self.groups = directory.GroupDirectory(presence.Presence(self.settings.presence_ttl_ms))
        self.timeline = ring.Timeline(name, clock, 10_000)
        self.metrics = metrics.Metrics()
        self.keeper = lease.LeaseKeeper(
            FAILURE_DOMAIN,
            name,
            store,
            clock,
            self.settings.lease_ttl_ms,
            lambda: names or (name,),
        )
        self.coordinator = coordinator.Coordinator(
            FAILURE_DOMAIN,
            store,
            bundles,
            self.groups,
            self.keeper,
            sender.OrderSender(fleet, clock, self.timeline, self.metrics),
            clock,
            self.timeline,
            self.metrics,
            self.settings,
            make_policy or make_planner,
        )

    def observe(self) -> None:
        """Read the VM list and the report of every reachable VM."""
        now_ms = self.clock.monotonic_ms()
        self.groups.update_vms(self.fleet.list_vms(), now_ms)
        for name in self.fleet.engines:
            report = self.fleet.read_report(name)
            if report is not None:
                self.groups.presence.add_report(report, now_ms)

    async def step(self) -> None:
        """Observe once and run one coordinator step."""
        self.observe()
        await self.coordinator.take_step()

    def views(self) -> list[presence.GroupView]:
        """Return the daemon's current view of the groups."""
        return self.groups.views(self.clock.monotonic_ms())

    def whole(self) -> list[presence.GroupView]:
        """Return the whole groups, to which the daemon sends requests."""
        return self.groups.whole_groups(MODEL, self.clock.monotonic_ms())


def make_planner() -> placement.Planner:
    """Return the default placement policy."""
    return placement.Planner(rollout.RolloutLimits())


def make_bundle(
    groups: int,
    surplus: int = 0,
    downtime_weight: float = 1.0,
    stranded_weight: float = 1.0,
    version: str = "1",
    loads_at_once: int = 4,
    max_unavailable: int = 1,
) -> bundle_records.Bundle:
    """Return a bundle of one model in the failure domain."""
    placed = bundle_records.GroupCount(
        failure_domain=FAILURE_DOMAIN, groups=groups, surplus_groups=surplus
    )
    model = bundle_records.Model(
        name=MODEL,
        version=version,
        members_per_group=4,
        placement=[placed],
        max_unavailable=max_unavailable,
    )
    policy = bundle_records.PlacementPolicy(
        group_downtime_weight=downtime_weight,
        stranded_accelerator_weight=stranded_weight,
        loads_at_once=loads_at_once,
    )
    return bundle_records.Bundle(
        name="bench", models=[model], services=[], teams=[], placement=policy
    )


def _make_empty_report(name: str, restarts: int) -> engine.EngineReport:
    return engine.EngineReport(vm=name, incarnation=f"{name}#{restarts}", sequence=0, slots=16)


def make_random(seed: int) -> random.Random:
    """Return a random number generator with a seed."""
    return random.Random(seed)
