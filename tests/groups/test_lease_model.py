"""Two daemons and one lease: never do both act, in any interleaving of a small case; mutants do.

The daemons decide with the real `LeaseKeeper`, over the real client of the platform's store. The
store may go back to any of its earlier states and gives revisions out again. The answer of a write
may be lost, or a copy of it take effect late. A daemon may start anew, release the lease, or not
run for any time. Time passes in steps of a half of the TTL. The states are explored breadth
first; times are relative to the present, and those that are over count alike.
"""

import copy
import dataclasses
import operator
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest

from tanagerfork import clock as clocks
from tanagerfork.generated import layout
from tanagerfork.groups import lease
from tanagerfork.storage import key_value, swap
from tests import restored_store
from tests.groups import lease_mutants

TTL_MS = 400
STEP_MS = 200
NAMES = ("a", "b")
MAX_WRITES = 4
FAULTS = frozenset(("restore", "restart", "release", "lost"))  # Each once.
MAX_OTHER_FAULTS = 1  # Beside a restore.
READ_FIELDS = operator.attrgetter("holder", "fencing", "renewals", "token", "era")
ItemT = TypeVar("ItemT")
Work = Callable[[lease.LeaseKeeper], Coroutine[Any, Any, object]]


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """What is explored: the faults, the daemons' decisions, and their client.

    `excused` is a daemon whose own steps may end in a violation, after which nothing is explored.
    """

    faults: frozenset[str] = FAULTS
    state_types: tuple[type[lease.LeaseState], ...] = (lease.LeaseState, lease.LeaseState)
    store_type: type[restored_store.ModelStore] = restored_store.ModelStore
    excused: str = ""


@dataclasses.dataclass(slots=True)
class World:
    """The store, the daemons with the eras that they know, and the faults that may still come."""

    states: tuple[lease.LeaseState, ...]
    eras: tuple[int, ...] = (0, 0)
    store: restored_store.StoreState = restored_store.StoreState()
    late_writes: frozenset[restored_store.LateWrite] = frozenset()
    now_ms: int = 0
    writes: int = 0
    faults_left: frozenset[str] = FAULTS
    others: int = 0
    seen_fencing: tuple[int, ...] = (0, 0)
    is_fencing_repeated: bool = False
    path: tuple[str, ...] = ()

    def branch(self, action: str, *faults: str) -> "World":
        """Return a copy in which an action is to be taken that uses faults up."""
        changed = copy.copy(self)
        changed.path = (*self.path, action)
        changed.faults_left -= set(faults)
        changed.others += len(set(faults) - {"restore"})
        return changed

    def may_come(self, *faults: str) -> bool:
        """Return whether faults may come."""
        others = set(faults) - {"restore"}
        return self.faults_left >= set(faults) and self.others + len(others) <= MAX_OTHER_FAULTS

    def forget_past(self) -> None:
        """Forget what can't matter any more, so that more states are alike."""
        if self.may_come("restore"):
            return
        if self.store.history:
            self.store = dataclasses.replace(self.store, history=())
        self.late_writes = frozenset(
            write for write in self.late_writes if write.expected >= self.store.revision
        )

    @property
    def is_over(self) -> bool:
        """Whether nobody can come to act any more."""
        is_pending = any(state._pending_write for state in self.states)
        return self.writes >= MAX_WRITES and not is_pending

    def find_violation(self) -> str:
        """Return the violated invariant, empty if none is."""
        if all(state.may_act(self.now_ms, 0) for state in self.states):
            return f"both act after {', '.join(self.path)}"
        if self.is_fencing_repeated:
            return f"a fencing number is not greater after {', '.join(self.path)}"
        return ""

    def freeze(self) -> tuple[object, ...]:
        """Return what decides what may follow."""
        return (
            self.store,
            self.late_writes,
            tuple(freeze_state(state, self.now_ms) for state in self.states),
            self.eras,
            self.writes,
            frozenset(fault for fault in FAULTS if self.may_come(fault)),
            self.seen_fencing,
        )


def freeze_state(state: lease.LeaseState, now_ms: int) -> tuple[object, ...]:
    return (
        freeze_record(state._record),
        state._revision,
        measure_age(state._unchanged_since_ms, now_ms),
        measure_age(state._last_read_at_ms, now_ms, TTL_MS // lease.READS_PER_TTL),
        freeze_write(state._pending_write, now_ms),
        freeze_write(state._held, now_ms),
        state._highest_fencing,
    )


def freeze_write(write: lease._SentWrite | None, now_ms: int) -> tuple[object, ...] | None:
    return write and (freeze_record(write.record), measure_age(write.sent_at_ms, now_ms))


def freeze_record(record: layout.LeaseRecord | None) -> tuple[object, ...] | None:
    return record and READ_FIELDS(record)


def measure_age(time_ms: int | None, now_ms: int, max_ms: int = TTL_MS) -> int | None:
    """Return an age; those that are over the time that counts are alike."""
    return None if time_ms is None else min(now_ms - time_ms, max_ms)


@dataclasses.dataclass(slots=True, frozen=True)
class _Token:
    hex: str


class Model:
    """Explores the states; the daemons share its clock and its client of the store."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.clock = clocks.ManualClock()
        self.store = case.store_type()
        self.token = ""
        self.keepers = [
            lease.LeaseKeeper("x", name, self.store, self.clock, TTL_MS, lambda: NAMES)
            for name in NAMES
        ]
        for keeper, state_type in zip(self.keepers, case.state_types, strict=True):
            keeper.state = state_type(keeper.state._daemon, TTL_MS)

    def uuid4(self) -> _Token:
        """Return the token of the next write; stands in for the module `uuid`."""
        return _Token(self.token)

    def explore(self) -> tuple[int, str]:
        """Return the number of explored states, and the steps to the first violation."""
        states = tuple(keeper.state for keeper in self.keepers)
        initial = World(states, faults_left=self.case.faults)
        known = {initial.freeze()}
        waiting = [initial]
        for world in waiting:
            for successor in self.list_successors(world):
                successor.forget_past()
                frozen = successor.freeze()
                if frozen in known:
                    continue
                known.add(frozen)
                if violation := successor.find_violation():
                    if successor.path[-1].split()[0] == self.case.excused:
                        continue
                    return len(known), violation
                if not successor.is_over:
                    waiting.append(successor)
        return len(known), ""

    def list_successors(self, world: World) -> list[World]:
        found = [world.branch("time passes")]
        found[0].now_ms += STEP_MS
        for index in range(len(NAMES)):
            found += self._take_step(world, index)
        for write in world.late_writes:
            changed = world.branch("late write")
            changed.store = world.store.write(write.value, write.expected)
            changed.late_writes -= {write}
            found.append(changed)
        if world.may_come("restore"):
            for position, restored in enumerate(world.store.list_restored()):
                changed = world.branch(f"restore {position}", "restore")
                changed.store = restored
                found.append(changed)
        return found

    def _take_step(self, world: World, index: int) -> list[World]:
        """Return the worlds after one read, write, release or restart of a daemon."""
        name, found = NAMES[index], []
        state = world.states[index]
        if state.needs_read(world.now_ms):
            changed = world.branch(f"{name} reads")
            self._run(changed, index, (restored_store.ANSWERED,), lease.LeaseKeeper._read)
            found.append(changed)
        elif world.writes < MAX_WRITES and (world.writes or index == 0):  # Both are alike at first.
            found += self._list_writes(world, index)
        if world.eras[index] and world.eras[index] < world.store.era:
            changed = world.branch(f"{name} learns the era")  # By an answer about another key.
            changed.eras = replace(world.eras, index, world.store.era)
            found.append(changed)
        if state.is_held and world.may_come("release"):
            found += self._list_releases(world, index)
        if world.may_come("restart"):
            changed = world.branch(f"{name} starts anew", "restart")
            changed.states = replace(world.states, index, type(state)(name, TTL_MS))
            changed.eras = replace(world.eras, index, 0)
            changed.seen_fencing = replace(world.seen_fencing, index, 0)
            found.append(changed)
        return found

    def _list_writes(self, world: World, index: int) -> list[World]:
        record = copy.copy(world.states[index]).plan_write(world.now_ms)
        if record is None:
            return []
        fates = [("", (restored_store.ANSWERED,), ())]
        if world.may_come("lost"):
            fates += [(fate, script, ("lost",)) for fate, script in restored_store.LOSSES.items()]
        if world.may_come("lost", "restore"):
            fates.append(
                ("lost, restored, retried", restored_store.RESTORED_BETWEEN, ("lost", "restore"))
            )
        found = []
        for fate, script, faults in fates:
            changed = world.branch(f"{NAMES[index]} writes {fate}".strip(), *faults)
            changed.writes += 1
            is_new = record.renewals == 0
            changed.is_fencing_repeated = is_new and record.fencing <= world.seen_fencing[index]
            self.token = f"{NAMES[index]}{world.writes}"
            self._run(changed, index, script, write_what_is_due)
            found.append(changed)
        return found

    def _list_releases(self, world: World, index: int) -> list[World]:
        fates = [("", (restored_store.ANSWERED,), ("release",))]
        if world.may_come("release", "lost"):
            fates += [
                (fate, script, ("release", "lost"))
                for fate, script in restored_store.LOSSES.items()
            ]
        found = []
        for fate, script, faults in fates:
            changed = world.branch(f"{NAMES[index]} releases {fate}".strip(), *faults)
            self.token = f"{NAMES[index]} released"
            self._run(changed, index, script, lease.LeaseKeeper.release)
            found.append(changed)
        return found

    def _run(self, world: World, index: int, script: tuple[str, ...], work: Work) -> None:
        """Have a daemon do its work on the state that it has in a world."""
        keeper, store = self.keepers[index], self.store
        keeper.state = copy.copy(world.states[index])  # Its records are replaced, never changed.
        self.clock._now_ms = world.now_ms
        store.state, store.late_writes = world.store, world.late_writes
        store.known_era, store.script = world.eras[index], script
        restored_store.run(work(keeper))
        world.states = replace(world.states, index, keeper.state)
        world.eras = replace(world.eras, index, store.known_era)
        record = keeper.state._record
        seen = max(world.seen_fencing[index], record.fencing if record else 0)
        world.seen_fencing = replace(world.seen_fencing, index, seen)
        world.store, world.late_writes = store.state, store.late_writes


async def write_what_is_due(keeper: lease.LeaseKeeper) -> None:
    now_ms = keeper._clock.monotonic_ms()
    record = keeper.state.plan_write(now_ms)
    assert record is not None
    await keeper._write(record, now_ms)


def replace(values: tuple[ItemT, ...], index: int, value: ItemT) -> tuple[ItemT, ...]:
    return (*values[:index], value, *values[index + 1 :])


def explore(monkeypatch: pytest.MonkeyPatch, case: Case | None = None) -> tuple[int, str]:
    model = Model(case or Case())
    monkeypatch.setattr(lease, "uuid", model)
    return model.explore()


def list_mutants() -> list[object]:
    states = [
        lease_mutants.NoWait,
        lease_mutants.NoEraOfRecord,
        lease_mutants.NoEraOfAbsence,
        lease_mutants.NoGreatestFencing,
        lease_mutants.OwnWriteCounts,
        lease_mutants.RestoredRecordHolds,
    ]
    return [
        *(pytest.param(Case(state_types=(state, state)), id=state.__name__) for state in states),
        *(
            pytest.param(Case(store_type=store), id=store.__name__)
            for store in (lease_mutants.WritesUnderAnyRevision, lease_mutants.AnswersOfAnyEra)
        ),
    ]


class TestInterleavings:
    def test_no_two_daemons_act_at_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        count, violation = explore(monkeypatch)
        assert not violation
        assert count > 1000

    @pytest.mark.parametrize("case", list_mutants())
    def test_mutant_is_found(self, monkeypatch: pytest.MonkeyPatch, case: Case) -> None:
        assert explore(monkeypatch, case)[1]

    def test_own_write_found_after_a_restore_is_found(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(swap, "key_value", lease_mutants.FindsOwnWrite)
        assert explore(monkeypatch)[1]

    def test_revisions_that_name_no_era_are_found(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(key_value, "make_revision", lambda era, number: number)
        assert explore(monkeypatch)[1]


class TestMixedBuilds:
    """A build whose records name no era, beside one whose records do."""

    @pytest.mark.parametrize("is_earlier_first", [True, False])
    def test_no_two_daemons_act_at_once_without_a_restore(
        self, monkeypatch: pytest.MonkeyPatch, is_earlier_first: bool
    ) -> None:
        types = (lease_mutants.EarlierBuild, lease.LeaseState)
        case = Case(FAULTS - {"restore"}, types if is_earlier_first else types[::-1])
        count, violation = explore(monkeypatch, case)
        assert not violation
        assert count > 1000

    @pytest.mark.parametrize("is_earlier_first", [True, False])
    def test_later_build_never_takes_the_step_that_makes_both_act(
        self, monkeypatch: pytest.MonkeyPatch, is_earlier_first: bool
    ) -> None:
        """After a restore the earlier one may, as it did beside its like."""
        types = (lease_mutants.EarlierBuild, lease.LeaseState)
        case = Case(
            frozenset(("restore", "restart")),
            types if is_earlier_first else types[::-1],
            excused=NAMES[0] if is_earlier_first else NAMES[1],
        )
        assert not explore(monkeypatch, case)[1]
        assert explore(monkeypatch, dataclasses.replace(case, excused=""))[1]
