"""The planner keeps two invariants in every interleaving of a small case; mutants break them.

PARTIAL: a head never opens while a member was never ready in its group. TWO: a member never joins
a group while the head of its former one still serves.

Two upstreams form one group, a third one is a spare. One daemon plans with the reports that it
has. Orders may arrive late or never, a member may crash, restart under its id, or be cut off from
the directory alone or from everyone, and a daemon without any report may take over as coordinator.
The states are explored breadth first, with the planner itself taking the steps.
"""

import dataclasses

import msgspec
import pytest

from tanagerfork.generated import assignments
from tanagerfork.relay import members, planner, plans
from tests.relay import test_planner

STATE = members.MemberState
NAMES = ("a", "b", "c")
MAX_STATES = 200_000
MAX_FAULTS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Runner:
    """State of one upstream."""

    born: int = 1
    is_up: bool = True
    is_listed: bool = True
    is_cut_off: bool = False
    group: str = ""
    epoch: int = 0
    rank: int = -1
    state: str = ""
    member_names: tuple[str, ...] = ()
    seen_epoch: int = 0
    ready_in: frozenset[tuple[str, int]] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class World:
    """State of the model: runners, the record, the coordinator's reports, orders in flight."""

    runners: tuple[Runner, ...]
    record: bytes
    reports: tuple[tuple[int, str, int, int, str] | None, ...]
    in_flight: frozenset[plans.Order]
    faults: int = 0
    open_groups: frozenset[tuple[str, int]] = frozenset()


def make_initial_world() -> World:
    record = assignments.Assignments(failure_domain="x", next_epoch=1, groups=[], has_served=True)
    return World(
        (Runner(),) * len(NAMES), msgspec.json.encode(record), (None,) * len(NAMES), frozenset()
    )


def make_statuses(world: World) -> dict[str, plans.UpstreamStatus]:
    """Return what the coordinator knows: entries of listed runners, reports of the others."""
    statuses = {}
    for name, runner, report in zip(NAMES, world.runners, world.reports, strict=True):
        is_known = runner.is_listed or report is not None
        membership = None
        born = runner.born
        if runner.is_listed and runner.group:
            membership = members.GroupMembership(
                runner.group, runner.epoch, runner.rank, STATE(runner.state)
            )
        elif not runner.is_listed and report is not None:
            born, group, epoch, rank, state = report
            membership = (
                members.GroupMembership(group, epoch, rank, STATE(state)) if group else None
            )
        status = test_planner.make_status(name, staged=("small",))
        statuses[name] = dataclasses.replace(
            status,
            upstream=dataclasses.replace(status.upstream, born_at_ms=born),
            is_listed=runner.is_listed,
            is_silent=not runner.is_up or runner.is_cut_off,
            membership=membership,
            is_known=is_known or not runner.is_up or runner.is_cut_off,
        )
    return statuses


def take_plan(world: World) -> World:
    record = msgspec.json.decode(world.record, type=assignments.Assignments)
    made = planner.make_plan(
        plans.Situation(test_planner.SERVICE, make_statuses(world), record, 0, True)
    )
    orders = {order for order in made.orders if order.kind != plans.STAGE}
    return dataclasses.replace(
        world,
        record=msgspec.json.encode(made.record),
        in_flight=frozenset(world.in_flight | orders),
    )


def carry_out(world: World, order: plans.Order) -> tuple[World, str]:
    """Carry an order out as the platform's runners do; return the violated invariant, if any."""
    index = NAMES.index(order.upstream_id)
    runner = world.runners[index]
    violation = ""
    if not runner.is_up or runner.is_cut_off:
        return world, violation
    changed = runner
    is_in_group = (runner.group, runner.epoch) == (order.group, order.epoch)
    if order.kind == plans.JOIN and order.epoch >= runner.seen_epoch and not is_in_group:
        violation = find_double_membership(world, order)
        changed = dataclasses.replace(
            runner,
            group=order.group,
            epoch=order.epoch,
            rank=order.members.index(order.upstream_id),
            state="ready",
            member_names=order.members,
            seen_epoch=order.epoch,
            ready_in=runner.ready_in | {(order.group, order.epoch)},
        )
    elif order.kind == plans.OPEN and is_in_group and runner.state == "ready":
        violation = find_partial_group(world, runner)
        changed = dataclasses.replace(runner, state="open")
    elif order.kind == plans.CLOSE and is_in_group and runner.state == "open":
        changed = dataclasses.replace(runner, state="ready")
    elif order.kind == plans.LEAVE and is_in_group:
        changed = dataclasses.replace(runner, group="", epoch=0, rank=-1, state="", member_names=())
    runners = (*world.runners[:index], changed, *world.runners[index + 1 :])
    return dataclasses.replace(world, runners=runners), violation


def find_double_membership(world: World, order: plans.Order) -> str:
    """Return a violation if a member joins while the head of its former group serves."""
    member = world.runners[NAMES.index(order.upstream_id)]
    for runner in world.runners:
        is_head = runner.group == member.group and runner.epoch == member.epoch and runner.rank == 0
        if member.group and is_head and runner.is_up and runner.state == "open":
            return f"TWO: {order.upstream_id} leaves {member.group} while it serves"
    return ""


def find_partial_group(world: World, head: Runner) -> str:
    """Return a violation if a head opens while a member was never ready in its group.

    A member that was ready and has been lost or has left since is none: nothing runs without it.
    """
    for name in head.member_names:
        runner = world.runners[NAMES.index(name)]
        if (head.group, head.epoch) not in runner.ready_in:
            return f"PARTIAL: {head.group} opens without {name}"
    return ""


def list_successors(world: World) -> list[tuple[World, str]]:
    """Return the states that may follow, each with the invariant that its step violates."""
    found = [(take_plan(world), "")]
    for order in world.in_flight:
        delivered = dataclasses.replace(world, in_flight=world.in_flight - {order})
        found.append(carry_out(delivered, order))
    for index, runner in enumerate(world.runners):
        if runner.is_up and not runner.is_listed and not runner.is_cut_off:
            report = (runner.born, runner.group, runner.epoch, runner.rank, runner.state)
            reports = (*world.reports[:index], report, *world.reports[index + 1 :])
            found.append((dataclasses.replace(world, reports=reports), ""))
    if world.faults < MAX_FAULTS:
        found.extend((fault, "") for fault in list_faults(world))
    return found


def list_faults(world: World) -> list[World]:
    found = []
    for index, runner in enumerate(world.runners):
        if not runner.is_up:
            changes = [Runner(born=runner.born + 1, ready_in=runner.ready_in)]
        else:
            changes = [dataclasses.replace(runner, is_up=False, is_listed=False)]
            if runner.is_listed:
                changes.append(dataclasses.replace(runner, is_listed=False))
                changes.append(dataclasses.replace(runner, is_listed=False, is_cut_off=True))
                changes.append(dataclasses.replace(runner, is_cut_off=True))
            if runner.is_cut_off:
                changes.append(dataclasses.replace(runner, is_listed=True, is_cut_off=False))
        for changed in changes:
            runners = (*world.runners[:index], changed, *world.runners[index + 1 :])
            found.append(dataclasses.replace(world, runners=runners, faults=world.faults + 1))
    # Another daemon becomes coordinator, without any report.
    found.append(dataclasses.replace(world, reports=(None,) * len(NAMES), faults=world.faults + 1))
    return found


def explore() -> tuple[int, str]:
    """Return the number of explored states, and the first violation."""
    initial = make_initial_world()
    known = {initial}
    waiting = [initial]
    for world in waiting:
        for successor, violation in list_successors(world):
            if violation:
                return len(known), violation
            if successor not in known and len(known) < MAX_STATES:
                known.add(successor)
                waiting.append(successor)
    return len(known), ""


def join_at_once(
    assignment: assignments.Assignment, rank: int, statuses: dict[str, plans.UpstreamStatus]
) -> plans.Order:
    """Mutant of `_make_member_order`: a member joins without leaving its former group."""
    return plans.Order(
        plans.JOIN,
        assignment.members[rank],
        assignment.addresses[rank],
        assignment.group,
        assignment.epoch,
        assignment.model,
        tuple(assignment.members),
    )


def open_without_members(
    assignment: assignments.Assignment, statuses: dict[str, plans.UpstreamStatus]
) -> bool:
    """Mutant of `_may_open`: a head opens as soon as it is in its group itself."""
    head = statuses.get(assignment.members[0])
    return head is not None and plans.matches_assignment(head.membership, assignment)


class TestInterleavings:
    def test_invariants_hold_in_each(self) -> None:
        count, violation = explore()
        assert not violation
        assert 1000 < count < MAX_STATES

    @pytest.mark.parametrize(
        "name, mutant, violation",
        [
            ("_make_member_order", join_at_once, "TWO"),
            ("_may_open", open_without_members, "PARTIAL"),
        ],
    )
    def test_mutant_is_found(
        self, monkeypatch: pytest.MonkeyPatch, name: str, mutant: object, violation: str
    ) -> None:
        monkeypatch.setattr(planner, name, mutant)
        assert explore()[1].startswith(violation)
