"""All interleavings of two coordinators with late orders and lost answers, in a small model.

In every state, at most one coordinator may act, and no VM may serve in two groups.
"""

import copy
import dataclasses

import msgspec
import pytest
from bench import fleet as fleets

from tanagerfork.generated import engine, layout
from tanagerfork.groups import facts, lease, orders, placement, presence, rollout

TICK_MS = 1000
TTL_MS = 2 * TICK_MS
ORDER_TIMEOUT_MS = 500
STEPS = 11
SETTLE_EVERY_NTH = 5  # Every fifth final state is continued until the group is whole.
PLAN_WRITE = lease.LeaseState.plan_write
STEP_LIMITS = {"tick": 4, "lose": 1, "die": 1, "return": 1}
VMS = ("a", "b", "c")


class InvariantViolation(AssertionError):
    """An invariant was violated."""


@dataclasses.dataclass
class Member:
    """One engine, which loads in no time."""

    report: engine.EngineReport
    is_alive: bool = True
    restarts: int = 0

    def key(self) -> tuple:
        report = self.report
        members = tuple(report.members)
        place = (report.group, report.generation, members, report.fencing)
        return (self.is_alive, self.restarts, place)


@dataclasses.dataclass
class Node:
    """One coordinator with its lease, a plan that is not written yet, and its orders in flight."""

    name: str
    lease: lease.LeaseState
    planner: placement.Planner
    base: tuple[layout.Layout, int] | None = None
    fencing: int = 0
    plan: tuple[placement.Plan, facts.Situation, int] | None = None
    chosen: tuple[orders.VmOrder, ...] = ()
    network: tuple[orders.VmOrder, ...] = ()

    def clone(self) -> "Node":
        """Return a copy that shares the records, as these are never changed in place."""
        cloned = copy.copy(self)
        cloned.lease, cloned.planner = copy.copy(self.lease), copy.deepcopy(self.planner)
        return cloned

    def key(self, world: "World") -> tuple:
        held = self.lease._held
        sent = self.lease._pending_write
        since_ms = self.lease._unchanged_since_ms
        return (
            held and (world.now_ms - held.sent_at_ms, held.record.fencing),
            sent and world.now_ms - sent.sent_at_ms,
            since_ms is not None and world.now_ms - since_ms,
            self.lease.revision == world.lease_revision,
            self.base and (self.base[0].serial, self.base[1] == world.layout_revision),
            self.plan and (self.plan[0].layout.serial, self.plan[2] == world.layout_revision),
            _describe(self.chosen),
            _describe(self.network),
        )


class World:
    """State of the small case, with the steps that are possible next."""

    def __init__(self, checks_fencing: bool) -> None:
        self.now_ms = 0
        self.checks_fencing = checks_fencing
        self.bundle = fleets.make_bundle(1)
        self.bundle.models[0].members_per_group = 2
        self.members = {vm: Member(_make_report(vm, 0)) for vm in VMS}
        self.lease: layout.LeaseRecord | None = None
        self.lease_revision = 0
        self.layout: layout.Layout | None = None
        self.layout_revision = 0
        self.written: tuple[layout.Layout, ...] = ()
        self.holders: dict[int, str] = {}
        self.spent = dict.fromkeys(STEP_LIMITS, 0)
        self.nodes = [self._make_node(name) for name in "pq"]

    @staticmethod
    def _make_node(name: str) -> Node:
        return Node(
            name, lease.LeaseState(name, TTL_MS), placement.Planner(rollout.RolloutLimits())
        )

    def clone(self) -> "World":
        """Return a copy."""
        cloned = copy.copy(self)
        cloned.members = {vm: copy.copy(member) for vm, member in self.members.items()}
        cloned.holders, cloned.spent = dict(self.holders), dict(self.spent)
        cloned.nodes = [node.clone() for node in self.nodes]
        return cloned

    def key(self) -> tuple:
        lease_key = self.lease and (self.lease.holder, self.lease.fencing)
        layout_key = self.layout and (self.layout.serial, self.layout.fencing)
        members = tuple(member.key() for member in self.members.values())
        nodes = tuple(node.key(self) for node in self.nodes)
        return (lease_key, layout_key, members, nodes, tuple(self.spent.values()))

    def list_steps(self) -> list[tuple[str, int]]:
        """Return the steps that are possible in this state."""
        steps = []
        for number, node in enumerate(self.nodes):
            steps.append(("renew", number))
            if self.spent["lose"] < STEP_LIMITS["lose"]:
                steps.append(("lose", number))
            if node.lease.may_act(self.now_ms, 0):
                steps.append(("plan", number))
            if node.plan is not None:
                steps.append(("write", number))
            if node.chosen and node.lease.may_act(self.now_ms, ORDER_TIMEOUT_MS):
                steps.append(("send", number))
            if node.network:
                steps.append(("deliver", number))
        steps += [(name, 0) for name in ("tick", "die") if self.spent[name] < STEP_LIMITS[name]]
        if not self.members["b"].is_alive and self.spent["return"] < STEP_LIMITS["return"]:
            steps.append(("return", 0))
        return steps

    def take(self, step: tuple[str, int]) -> None:
        """Execute a step, then check the invariants."""
        name, number = step
        if name in self.spent:
            self.spent[name] += 1
        getattr(self, f"_{name}")(self.nodes[number])
        self.check()

    def _tick(self, node: Node) -> None:
        self.now_ms += TICK_MS

    def _die(self, node: Node) -> None:
        self.members["b"].is_alive = False

    def _return(self, node: Node) -> None:
        member = self.members["b"]
        member.is_alive = True
        member.restarts += 1
        member.report = _make_report("b", member.restarts)

    def _renew(self, node: Node) -> None:
        self._write_lease(node, is_answer_lost=False)

    def _lose(self, node: Node) -> None:
        self._write_lease(node, is_answer_lost=True)

    def _write_lease(self, node: Node, is_answer_lost: bool) -> None:
        if node.lease.needs_read(self.now_ms):
            node.lease.on_read(self.lease, self.lease_revision, self.now_ms)
        known = self.layout.fencing if self.layout else 0
        record = node.lease.plan_write(self.now_ms, known)
        if record is not None:
            self._swap_lease(node, record, is_answer_lost)
        if node.lease.fencing != node.fencing:
            node.fencing = node.lease.fencing
            node.base, node.plan, node.chosen = None, None, ()
            node.planner = placement.Planner(rollout.RolloutLimits())

    def _swap_lease(self, node: Node, record: layout.LeaseRecord, is_answer_lost: bool) -> None:
        node.lease.on_write_sent(record, self.now_ms)
        if node.lease.revision != self.lease_revision:
            node.lease.on_write_rejected()
            return
        self.lease, self.lease_revision = record, self.lease_revision + 1
        if self.holders.setdefault(record.fencing, record.holder) != record.holder:
            raise InvariantViolation("two holders have one fencing number")
        if is_answer_lost:
            node.lease.on_write_unconfirmed()
        else:
            node.lease.on_write_confirmed(self.lease_revision)

    def _plan(self, node: Node) -> None:
        if node.base is None:
            known = self.layout or layout.Layout(
                failure_domain=fleets.FAILURE_DOMAIN, serial=0, fencing=0, groups=[]
            )
            node.base = (known, self.layout_revision)
        situation = self._observe(node, node.base[0])
        plan = node.planner.plan(situation, "token")
        if plan is not None:
            node.plan = (plan, situation, node.base[1])
        elif node.base[0].fencing == node.fencing:
            node.chosen = self._choose(node.base[0], situation)

    def _write(self, node: Node) -> None:
        plan, situation, revision = node.plan
        node.plan = None
        if revision != self.layout_revision:
            node.base = None
            return
        self.layout, self.layout_revision = plan.layout, self.layout_revision + 1
        self.written += (plan.layout,)
        node.base = (plan.layout, self.layout_revision)
        node.planner.on_layout_written(plan.layout, situation)
        node.chosen = self._choose(plan.layout, situation)

    def _send(self, node: Node) -> None:
        node.network += node.chosen
        node.chosen = ()

    def _deliver(self, node: Node) -> None:
        item, *rest = node.network
        node.network = tuple(rest)
        member = self.members[item.entry.vm]
        report, order = member.report, item.order
        if not member.is_alive or (self.checks_fencing and order.fencing < report.fencing):
            return
        if order.kind == "load":
            return
        members = list(order.members)
        state = "ready" if order.group else "idle"
        member.report = msgspec.structs.replace(
            report,
            group=order.group,
            generation=order.generation,
            members=members,
            model=order.model,
            version=order.version,
            state=state,
            fencing=max(report.fencing, order.fencing),
        )

    def _choose(
        self, current: layout.Layout, situation: facts.Situation
    ) -> tuple[orders.VmOrder, ...]:
        found = orders.choose_orders(current, situation.vms, self.bundle.placement)
        return tuple(item for item in found if item.order.kind != "load")

    def _observe(self, node: Node, current: layout.Layout) -> facts.Situation:
        vms = {vm: self._find_fact(vm) for vm in VMS}
        views = {record.group: self.evaluate(record) for record in current.groups}
        return facts.Situation(
            now_ms=self.now_ms,
            layout=current,
            bundle=self.bundle,
            bundle_version=1,
            fencing=node.fencing,
            vms=vms,
            views=views,
        )

    def _find_fact(self, vm: str) -> facts.VmFact:
        member = self.members[vm]
        entry = engine.VmEntry(vm=vm, url="", failure_domain="f", fabric_domain="f")
        report = self._read_report(vm) if member.is_alive else None
        return facts.VmFact(entry, report, is_lost=not member.is_alive)

    def _read_report(self, vm: str) -> engine.EngineReport:
        return self.members[vm].report

    def evaluate(self, record: layout.GroupRecord) -> presence.GroupView:
        known = presence.Presence(TTL_MS)
        for vm, member in self.members.items():
            if member.is_alive:
                known.add_report(self._read_report(vm), self.now_ms)
        return known.evaluate(record, self.now_ms)

    def check(self) -> None:
        """Check the invariants for daemons that may know any of the layouts written so far."""
        if sum(node.lease.may_act(self.now_ms, 0) for node in self.nodes) > 1:
            raise InvariantViolation("two coordinators may act at a time")
        homes: dict[str, tuple] = {}
        for written in self.written:
            for record in written.groups:
                view = self.evaluate(record)
                if view.state == presence.GroupState.WHOLE:
                    self._check_whole(view.record, homes)

    def _check_whole(self, record: layout.GroupRecord, homes: dict[str, tuple]) -> None:
        place = (record.group, record.generation, tuple(record.members))
        for vm in record.members:
            report = self.members[vm].report
            truth = (report.group, report.generation, tuple(report.members))
            if truth != place or not self.members[vm].is_alive:
                raise InvariantViolation("a group counts as whole without all its members")
            if homes.setdefault(vm, place) != place:
                raise InvariantViolation("a VM serves in two groups")

    def run_until_whole(self) -> bool:
        """Let the coordinators act in turn; return whether the group became whole."""
        for _ in range(12):
            for node in self.nodes:
                self._renew(node)
                if node.lease.may_act(self.now_ms, ORDER_TIMEOUT_MS):
                    self._plan(node)
                    if node.plan is not None:
                        self._write(node)
                    self._send(node)
                while node.network:
                    self._deliver(node)
            self.check()
            self._tick(self.nodes[0])
        return any(
            self.evaluate(record).state == presence.GroupState.WHOLE
            for record in self.layout.groups
        )


def _make_report(vm: str, restarts: int) -> engine.EngineReport:
    return engine.EngineReport(vm=vm, incarnation=f"{vm}#{restarts}", sequence=1)


def _describe(items: tuple[orders.VmOrder, ...]) -> tuple:
    return tuple(
        (item.entry.vm, item.order.kind, item.order.generation, item.order.fencing)
        for item in items
    )


def make_initial_world(checks_fencing: bool) -> World:
    """Return the state after the first coordinator formed the group."""
    world = World(checks_fencing)
    for step in ("renew", "plan", "write", "send", "deliver", "deliver"):
        world.take((step, 0))
    return world


def explore(checks_fencing: bool, steps: int = STEPS) -> tuple[int, int]:
    """Visit all states that are reachable within a number of steps.

    :return: number of visited states, and of final states continued until the group was whole.
    """
    frontier = [make_initial_world(checks_fencing)]
    seen = {frontier[0].key()}
    for _ in range(steps):
        reached = []
        for world in frontier:
            for step in world.list_steps():
                after = world.clone()
                after.take(step)
                if after.key() not in seen:
                    seen.add(after.key())
                    reached.append(after)
        frontier = reached
    finals = frontier[::SETTLE_EVERY_NTH]
    assert all(world.run_until_whole() for world in finals)
    return len(seen), len(finals)


class TestInterleavings:
    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_invariants_hold_in_every_state(self, checks_fencing):
        visited, settled = explore(checks_fencing)
        assert visited > 7000 and settled > 500


def ignore_expiry(state: lease.LeaseState, now_ms: int, duration_ms: int) -> bool:
    """Mutated rule: a lease never expires."""
    return state.is_held


def reuse_fencing(state: lease.LeaseState, now_ms: int, known: int = 0, extra_wait_ms: int = 0):
    """Mutated rule: a new holder reuses the fencing number of its predecessor."""
    record = PLAN_WRITE(state, now_ms, known, extra_wait_ms)
    if record is not None and not state.is_held and record.fencing > 1:
        record.fencing -= 1
    return record


def ignore_generation(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    """Mutated rule: any generation is accepted."""
    return (report.group, report.members) == (record.group, record.members)


def ignore_members(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    """Mutated rule: any member list is accepted."""
    return report.group == record.group


class TestMutatedRules:
    @pytest.mark.parametrize(
        ("owner", "name", "mutant", "violation"),
        [
            (lease.LeaseState, "_find_takeover_wait_ms", lambda state: 0, "two coordinators"),
            (lease.LeaseState, "may_act", ignore_expiry, "two coordinators"),
            (lease.LeaseState, "plan_write", reuse_fencing, "two holders"),
            (presence, "is_joined", ignore_generation, "without all its members"),
            (presence, "is_joined", ignore_members, "without all its members"),
        ],
    )
    def test_violation_is_found(self, monkeypatch, owner, name, mutant, violation):
        monkeypatch.setattr(owner, name, mutant)
        with pytest.raises(InvariantViolation, match=violation):
            explore(checks_fencing=False)
