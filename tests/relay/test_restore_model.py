"""Two coordinators and a restored store: epochs stay unique and groups apart in each interleaving.

The coordinators change the record of assignments with the real `AssignmentRecord` over the real
client of the platform's store, and plan with the real planner; only one at a time holds the lease,
which `tests/groups/test_lease_model.py` shows. The store may go back to any of its earlier states,
a write may come late or lose its answer, an order may come late or be lost, another coordinator may
take over, and an upstream may be cut off and return. Upstreams reject joins of a lower epoch than
they have seen. The states are explored breadth first.
"""

import dataclasses

import msgspec
import pytest

from tanagerfork.generated import assignments
from tanagerfork.relay import assignment_record, planner, plans
from tanagerfork.storage import key_value, swap
from tests import restored_store
from tests.groups import lease_mutants
from tests.relay import test_interleavings, test_planner

NAMES = test_interleavings.NAMES
HOLDERS = ("d1", "d2")
MAX_WRITES = 3
CUT_AND_TAKEOVER = frozenset(("restore", "takeover", "cut"))  # Each once.
EARLIER_ERA = "EARLIER ERA"  # A late write from before a restore replaces a record of after it.
WRITE = restored_store.StoreState.write


@dataclasses.dataclass(slots=True, frozen=True)
class Memory:
    """What a coordinator knows of the record, and the era that its client of the store knows."""

    current: bytes = b""
    revision: int = 0
    next_epoch: int = 1
    era: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class LateOrder:
    """Order that may still arrive; a join names how many its upstream had begun."""

    order: plans.Order
    order_count: int

    def is_refused(self, order_count: int) -> bool:
        """Return whether an upstream refuses it as another order came first."""
        return self.order.kind == plans.JOIN and self.order_count != order_count


@dataclasses.dataclass(slots=True, frozen=True)
class World:
    """State of the model; `joins` are the groups, by epoch, of which joins were ordered."""

    runners: tuple[test_interleavings.Runner, ...] = (test_interleavings.Runner(),) * len(NAMES)
    store: restored_store.StoreState = restored_store.StoreState()
    late_writes: frozenset[restored_store.LateWrite] = frozenset()
    memories: tuple[Memory, ...] = (Memory(), Memory())
    holder: int = 0
    fencing: int = 1
    is_lease_restored: bool = False
    late_orders: frozenset[LateOrder] = frozenset()
    order_counts: tuple[int, ...] = (0,) * len(NAMES)
    joins: frozenset[tuple[int, tuple[str, ...]]] = frozenset()
    writes: int = 0
    faults_left: frozenset[str] = frozenset()
    reports: tuple[None, ...] = (None,) * len(NAMES)
    open_groups: frozenset[tuple[str, int]] = frozenset()

    def change(self, *faults: str, **changes: object) -> "World":
        """Return a changed state that has used faults up."""
        changed = dataclasses.replace(self, **changes, faults_left=self.faults_left - set(faults))
        return changed.forget_past()

    def find_left(self, fault: str) -> str:
        """Return a fault that may come once or twice, empty if it may not come any more."""
        return next((name for name in (fault, f"{fault} again") if name in self.faults_left), "")

    def forget_past(self) -> "World":
        """Forget what can't matter any more, so that more states are alike."""
        if self.find_left("restore") or not (self.store.history or self.late_writes):
            return self
        late_writes = frozenset(
            write for write in self.late_writes if write.expected >= self.store.revision
        )
        store = dataclasses.replace(self.store, history=())
        return dataclasses.replace(self, store=store, late_writes=late_writes)


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """A state that may follow, and the invariant that the step to it violates."""

    name: str
    world: World
    violation: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """State after a plan was written, its orders, and the invariant that the write violates."""

    world: World
    orders: list[plans.Order]
    violation: str = ""


class UnfencedStore(restored_store.ModelStore):
    """Mutant: writes under a revision alone."""

    def __init__(self) -> None:
        super().__init__()
        self._fenced_prefixes = ()


class _NoLog:
    def note(self, *_: object, **__: object) -> None:
        """Log nothing."""


@dataclasses.dataclass(slots=True)
class _Token:
    """Stands in for the module `uuid`: the same write has the same token in all states."""

    hex: str = ""

    def uuid4(self) -> "_Token":
        return self


class Model:
    """Explores the states; the coordinators share its client of the store."""

    def __init__(self, store_type: type[restored_store.ModelStore]) -> None:
        self.store = store_type()
        self.token = _Token()
        self.plans: dict[tuple[object, bytes], plans.Plan] = {}

    def explore(self, faults: frozenset[str]) -> tuple[int, str]:
        """Return the number of explored states, and the steps to the first violation.

        :param faults: faults that may come.
        """
        initial = World(faults_left=faults)
        known = {initial}
        waiting: list[tuple[World, tuple[str, ...]]] = [(initial, ())]
        for world, path in waiting:
            for step in self.list_steps(world):
                if step.violation:
                    return len(known), f"{step.violation} after {', '.join([*path, step.name])}"
                if step.world not in known:
                    known.add(step.world)
                    waiting.append((step.world, (*path, step.name)))
        return len(known), ""

    def list_steps(self, world: World) -> list[Step]:
        found = self._list_plans(world)
        found += [deliver(world, order) for order in world.late_orders]
        found += [carry_out_write(world, write) for write in world.late_writes]
        if restore := world.find_left("restore"):
            for position, restored in enumerate(world.store.list_restored(True)):
                changed = world.change(restore, store=restored, is_lease_restored=True)
                found.append(Step(f"restore {position}", changed))
        if takeover := world.find_left("takeover"):
            found.append(Step("takeover", take_over(world, takeover)))
        memory = world.memories[world.holder]
        if memory.era and memory.era < world.store.era:  # By an answer about another key.
            memory = dataclasses.replace(memory, era=world.store.era)
            memories = replace(world.memories, world.holder, memory)
            name = f"{HOLDERS[world.holder]} learns the era"
            found.append(Step(name, world.change(memories=memories)))
        for index, runner in enumerate(world.runners):
            if runner.is_cut_off:
                changed = dataclasses.replace(runner, is_listed=True, is_cut_off=False)
                changes = replace(world.runners, index, changed)
                found.append(Step(f"{NAMES[index]} returns", world.change(runners=changes)))
            elif "cut" in world.faults_left:
                changed = dataclasses.replace(runner, is_listed=False, is_cut_off=True)
                changes = replace(world.runners, index, changed)
                found.append(
                    Step(f"{NAMES[index]} is cut off", world.change("cut", runners=changes))
                )
        return found

    def _list_plans(self, world: World) -> list[Step]:
        """Return the steps in which the holder plans, with each fate of its write and orders."""
        name = f"{HOLDERS[world.holder]} plans"
        planned = self._plan(world, (restored_store.ANSWERED,))
        if planned.world.writes > MAX_WRITES:
            return []
        found = list_deliveries(name, planned)
        if planned.world.writes == world.writes or "late write" not in world.faults_left:
            return found
        for fate, script in restored_store.LOSSES.items():
            found += list_deliveries(
                f"{name}, write {fate}", self._plan(world, script, "late write")
            )
        if restore := world.find_left("restore"):
            planned = self._plan(world, restored_store.RESTORED_BETWEEN, "late write", restore)
            found += list_deliveries(f"{name}, write lost, restored, retried", planned)
        return found

    def _plan(self, world: World, script: tuple[str, ...], *faults: str) -> Planned:
        """Have the holder read the record if it has to, plan and write, as the coordinator does."""
        record = self._load(world)
        if record.current is None:
            restored_store.run(record.read(world.fencing))
        assert record.current is not None
        revision, replaced = record._revision, self.store.state
        before = msgspec.structs.replace(record.current, has_served=True)
        made = self._make_plan(world, before)
        orders = [order for order in made.orders if order.kind != plans.STAGE]
        if made.record == record.current:
            return Planned(self._save(world, record), orders)
        self.store.script = script
        is_written = restored_store.run(record.write(made.record, world.fencing))
        changed = self._save(world, record).change(*faults, writes=world.writes + 1)
        if not is_written:
            return Planned(changed, [])
        is_same = revision == key_value.make_revision(replaced.era, replaced.revision)
        is_same = is_same and key_value.read_era(record._revision) == replaced.era
        return Planned(changed, orders, "" if is_same else "BASE: another record was replaced")

    def _make_plan(self, world: World, record: assignments.Assignments) -> plans.Plan:
        key = world.runners, msgspec.json.encode(record)
        if key not in self.plans:
            statuses = test_interleavings.make_statuses(world)
            situation = plans.Situation(test_planner.SERVICE, statuses, record, 0, True)
            self.plans[key] = planner.make_plan(situation)
        return self.plans[key]

    def _load(self, world: World) -> assignment_record.AssignmentRecord:
        memory = world.memories[world.holder]
        self.store.state, self.store.late_writes = world.store, world.late_writes
        self.store.known_era, self.store.script = memory.era, (restored_store.ANSWERED,)
        self.token.hex = HOLDERS[world.holder]
        record = assignment_record.AssignmentRecord("x", self.store, _NoLog())
        record._revision, record._next_epoch = memory.revision, memory.next_epoch
        if memory.current:
            record.current = decode(memory.current)
        return record

    def _save(self, world: World, record: assignment_record.AssignmentRecord) -> World:
        memory = Memory(
            msgspec.json.encode(record.current) if record.current else b"",
            record._revision,
            record._next_epoch,
            self.store.known_era,
        )
        return dataclasses.replace(
            world,
            memories=replace(world.memories, world.holder, memory),
            store=self.store.state,
            late_writes=self.store.late_writes,
        )


def decode(value: bytes) -> assignments.Assignments:
    return msgspec.json.decode(value, type=assignments.Assignments)


def replace(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def take_over(world: World, fault: str) -> World:
    """Return the state in which the other coordinator holds the lease.

    After a restore it may have a fencing number that was given out before.
    """
    holder = 1 - world.holder
    memory = dataclasses.replace(world.memories[holder], current=b"")
    return world.change(
        fault,
        holder=holder,
        fencing=world.fencing + (not world.is_lease_restored),
        is_lease_restored=False,
        memories=replace(world.memories, holder, memory),
    )


def list_deliveries(name: str, planned: Planned) -> list[Step]:
    """Return the steps in which all orders arrive, none does, or one of them is late."""
    world, orders = planned.world, planned.orders
    joins = {(order.epoch, order.members) for order in orders if order.kind == plans.JOIN}
    if not joins <= world.joins:
        world = world.change(joins=world.joins | joins)
    if violation := planned.violation or find_repeated_epoch(world):
        return [Step(name, world, violation)]
    found = [deliver_all(name, world, orders)]
    if "late order" in world.faults_left:
        found.append(Step(f"{name}, orders lost", world.change("late order")))
        for order in orders:
            count = world.order_counts[NAMES.index(order.upstream_id)]
            late_orders = world.late_orders | {LateOrder(order, count)}
            changed = world.change("late order", late_orders=late_orders)
            others = [other for other in orders if other is not order]
            found.append(deliver_all(f"{name}, late {order.kind}", changed, others))
    return found


def find_repeated_epoch(world: World) -> str:
    """Return a violation if joins of two groups were ordered in one epoch."""
    epochs = [epoch for epoch, _ in world.joins]
    return f"EPOCH: {sorted(world.joins)}" if len(set(epochs)) < len(epochs) else ""


def deliver_all(name: str, world: World, orders: list[plans.Order]) -> Step:
    for order in orders:
        changed, violation = test_interleavings.carry_out(world, order)
        if changed.runners != world.runners:
            index = NAMES.index(order.upstream_id)
            counts = replace(world.order_counts, index, world.order_counts[index] + 1)
            changed = dataclasses.replace(changed, order_counts=counts)
        world = changed
        if violation := violation or find_shared_upstream(world):
            return Step(name, world, violation)
    return Step(name, world)


def deliver(world: World, late: LateOrder) -> Step:
    """Let a late order arrive; a join is refused if another order came first."""
    changed = world.change(late_orders=world.late_orders - {late})
    order = late.order
    count = world.order_counts[NAMES.index(order.upstream_id)]
    name = f"late {order.kind} {order.upstream_id} {order.epoch}"
    return deliver_all(name, changed, [] if late.is_refused(count) else [order])


def carry_out_write(world: World, write: restored_store.LateWrite) -> Step:
    """Let a late write take effect if its revision is the present one."""
    store = world.store.carry_out(write)
    changed = world.change(store=store, late_writes=world.late_writes - {write})
    violation = ""
    if store is not world.store and world.store.value is not None:
        before, after = decode(world.store.value), decode(write.value)
        if (before.era, before.fencing) > (after.era, after.fencing):
            kind = "LATE" if before.era == after.era else EARLIER_ERA
            violation = f"{kind}: a write of {after.fencing} replaces one of {before.fencing}"
    return Step("late write", changed, violation)


def find_shared_upstream(world: World) -> str:
    """Return a violation if an upstream is in two groups that count as whole."""
    whole = [head for head in world.runners if head.state == "open" and is_whole(world, head)]
    taken = [member for head in whole for member in head.member_names]
    return f"SHARED: {taken}" if len(set(taken)) < len(taken) else ""


def is_whole(world: World, head: test_interleavings.Runner) -> bool:
    """Return whether all members report the head's group, which daemons take as whole."""
    found = [world.runners[NAMES.index(name)] for name in head.member_names]
    return all((member.group, member.epoch) == (head.group, head.epoch) for member in found)


def explore(
    monkeypatch: pytest.MonkeyPatch,
    faults: frozenset[str],
    store_type: type[restored_store.ModelStore] = restored_store.ModelStore,
) -> tuple[int, str]:
    model = Model(store_type)
    monkeypatch.setattr(assignment_record, "uuid", model.token)
    return model.explore(faults)


SKIP = assignment_record.AssignmentRecord._skip_lost_epochs
Record = assignment_record.AssignmentRecord


def skip_once(
    self: Record, record: assignments.Assignments, fencing: int
) -> assignments.Assignments:
    """Mutant: epochs are left out for one restore only."""
    era = max(record.era, key_value.read_era(self._revision) - 1)
    return SKIP(self, msgspec.structs.replace(record, era=era), fencing)


def skip_none_where_absent(
    self: Record, record: assignments.Assignments, fencing: int
) -> assignments.Assignments:
    """Mutant: no epochs are left out where there is no record."""
    era = record.era if record.groups else key_value.read_era(self._revision)
    return SKIP(self, msgspec.structs.replace(record, era=era), fencing)


def forget_own(
    self: Record, record: assignments.Assignments, fencing: int
) -> assignments.Assignments:
    """Mutant: epochs of own writes that failed are given out again."""
    self._next_epoch = 1
    return SKIP(self, record, fencing)


class TestInterleavings:
    @pytest.mark.parametrize("late", ["late write", "late order"])
    def test_invariants_hold_in_each(self, monkeypatch: pytest.MonkeyPatch, late: str) -> None:
        count, violation = explore(monkeypatch, CUT_AND_TAKEOVER | {late})
        assert not violation
        assert count > 10_000

    @pytest.mark.parametrize(
        ("mutant", "faults"),
        [
            (skip_once, CUT_AND_TAKEOVER | {"restore again", "takeover again"}),
            (skip_none_where_absent, CUT_AND_TAKEOVER),
            (forget_own, CUT_AND_TAKEOVER | {"late write"}),
        ],
    )
    def test_epoch_given_out_twice_is_found(
        self, monkeypatch: pytest.MonkeyPatch, mutant: object, faults: frozenset[str]
    ) -> None:
        monkeypatch.setattr(Record, "_skip_lost_epochs", mutant)
        assert explore(monkeypatch, faults)[1].startswith("EPOCH")

    @pytest.mark.parametrize(
        ("name", "faults"),
        [
            ("EPOCHS_PER_RESTORE", CUT_AND_TAKEOVER),
            ("EPOCHS_PER_HOLDER", CUT_AND_TAKEOVER | {"takeover again", "late write"}),
        ],
    )
    def test_epochs_that_are_not_left_out_are_found(
        self, monkeypatch: pytest.MonkeyPatch, name: str, faults: frozenset[str]
    ) -> None:
        monkeypatch.setattr(assignment_record, name, 0)
        assert explore(monkeypatch, faults)[1].startswith("EPOCH")

    def test_shared_upstream_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An epoch that is given out twice makes two groups of one name count as whole."""
        monkeypatch.setattr(assignment_record, "EPOCHS_PER_RESTORE", 0)
        monkeypatch.setitem(globals(), "find_repeated_epoch", lambda world: "")
        found = explore(monkeypatch, CUT_AND_TAKEOVER | {"late order"})[1]
        assert found.startswith("SHARED")

    @pytest.mark.parametrize(
        "store_type", [lease_mutants.WritesUnderAnyRevision, lease_mutants.AnswersOfAnyEra]
    )
    def test_write_under_a_revision_of_an_earlier_era_is_found(
        self, monkeypatch: pytest.MonkeyPatch, store_type: type[restored_store.ModelStore]
    ) -> None:
        assert explore(monkeypatch, CUT_AND_TAKEOVER, store_type)[1].startswith("BASE")

    def test_own_write_read_back_after_a_restore_is_found(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(swap, "key_value", lease_mutants.FindsOwnWrite)
        found = explore(monkeypatch, CUT_AND_TAKEOVER | {"late write"})[1]
        assert found.startswith("BASE")

    def test_write_whatever_the_revision_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        def write(
            self: restored_store.StoreState, value: bytes, expected: int
        ) -> restored_store.StoreState:
            return WRITE(self, value, self.revision)

        monkeypatch.setattr(restored_store.StoreState, "write", write)
        found = explore(monkeypatch, CUT_AND_TAKEOVER | {"late write"})[1]
        assert found.startswith("LATE")

    def test_join_without_an_order_count_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(LateOrder, "is_refused", lambda late, order_count: False)
        found = explore(monkeypatch, CUT_AND_TAKEOVER | {"late order"})[1]
        assert found.startswith("TWO")

    @pytest.mark.parametrize("restores", [("restore",), ("restore", "restore again")])
    def test_late_write_from_before_a_restore_replaces_no_later_record(
        self, monkeypatch: pytest.MonkeyPatch, restores: tuple[str, ...]
    ) -> None:
        faults = frozenset((*restores, "cut", "late write"))
        assert not explore(monkeypatch, faults)[1]

    def test_late_write_without_fences_is_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        faults = frozenset(("restore", "cut", "late write"))
        assert explore(monkeypatch, faults, UnfencedStore)[1].startswith(EARLIER_ERA)
