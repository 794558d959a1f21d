"""Every interleaving of a small case keeps PARTIAL and TWO; a mutated rule breaks them.

Two upstreams form one group, a third one is a spare. One daemon plans over what it has heard; the
world may deliver orders late or never, crash a member, let it come back under its id, cut it off
from the directory alone or from everyone, and hand the coordination over to a daemon that has
heard nothing. The states are explored breadth first, each one stepped by the planner itself.
"""

import dataclasses

import msgspec
import pytest

from tanagerfork.generated import assignments
from tanagerfork.relay import members, planner, plans
from tests.relay import test_planner

STATE = members.MemberState
NAMES = ("a", "b", "c")
MOST_STATES = 200_000
MOST_FAULTS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Runner:
    """One upstream of the world."""

    born: int = 1
    is_up: bool = True
    is_listed: bool = True
    is_cut: bool = False
    group: str = ""
    epoch: int = 0
    rank: int = -1
    state: str = ""
    names: tuple[str, ...] = ()
    seen_epoch: int = 0
    ready_in: frozenset[tuple[str, int]] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class World:
    """State of the world: runners, the record, what the coordinator heard, orders under way."""

    runners: tuple[Runner, ...]
    record: bytes
    heard: tuple[tuple[int, str, int, int, str] | None, ...]
    under_way: frozenset[plans.Order]
    faults: int = 0
    open_groups: frozenset[tuple[str, int]] = frozenset()


def start() -> World:
    record = assignments.Assignments(failure_domain="x", next_epoch=1, groups=[], has_served=True)
    return World(
        (Runner(),) * len(NAMES), msgspec.json.encode(record), (None,) * len(NAMES), frozenset()
    )


def make_statuses(world: World) -> dict[str, plans.UpstreamStatus]:
    """Return what the coordinator knows: entries of listed runners, answers of the others."""
    statuses = {}
    for name, runner, heard in zip(NAMES, world.runners, world.heard, strict=True):
        is_known = runner.is_listed or heard is not None
        membership = None
        born = runner.born
        if runner.is_listed and runner.group:
            membership = members.GroupMark(
                runner.group, runner.epoch, runner.rank, STATE(runner.state)
            )
        elif not runner.is_listed and heard is not None:
            born, group, epoch, rank, state = heard
            membership = members.GroupMark(group, epoch, rank, STATE(state)) if group else None
        status = test_planner.make_status(name, staged=("small",))
        statuses[name] = dataclasses.replace(
            status,
            upstream=dataclasses.replace(status.upstream, born_at_ms=born),
            is_listed=runner.is_listed,
            is_silent=not runner.is_up or runner.is_cut,
            membership=membership,
            is_known=is_known or not runner.is_up or runner.is_cut,
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
        under_way=frozenset(world.under_way | orders),
    )


def carry_out(world: World, order: plans.Order) -> tuple[World, str]:
    """Carry an order out as the platform's runners do; return what promise it breaks."""
    place = NAMES.index(order.upstream_id)
    runner = world.runners[place]
    broken = ""
    if not runner.is_up or runner.is_cut:
        return world, broken
    changed = runner
    in_it = (runner.group, runner.epoch) == (order.group, order.epoch)
    if order.kind == plans.JOIN and order.epoch >= runner.seen_epoch and not in_it:
        broken = find_two(world, order)
        changed = dataclasses.replace(
            runner,
            group=order.group,
            epoch=order.epoch,
            rank=order.members.index(order.upstream_id),
            state="ready",
            names=order.members,
            seen_epoch=order.epoch,
            ready_in=runner.ready_in | {(order.group, order.epoch)},
        )
    elif order.kind == plans.OPEN and in_it and runner.state == "ready":
        broken = find_partial(world, runner)
        changed = dataclasses.replace(runner, state="open")
    elif order.kind == plans.CLOSE and in_it and runner.state == "open":
        changed = dataclasses.replace(runner, state="ready")
    elif order.kind == plans.LEAVE and in_it:
        changed = dataclasses.replace(runner, group="", epoch=0, rank=-1, state="", names=())
    runners = (*world.runners[:place], changed, *world.runners[place + 1 :])
    return dataclasses.replace(world, runners=runners), broken


def find_two(world: World, order: plans.Order) -> str:
    """Return whether a member joins while the head of its group serves."""
    mine = world.runners[NAMES.index(order.upstream_id)]
    for runner in world.runners:
        is_head = runner.group == mine.group and runner.epoch == mine.epoch and runner.rank == 0
        if mine.group and is_head and runner.is_up and runner.state == "open":
            return f"TWO: {order.upstream_id} leaves {mine.group} while it serves"
    return ""


def find_partial(world: World, head: Runner) -> str:
    """Return whether a head opens though a member was never ready in its group.

    One that was ready and is lost, or has left since, excuses: nothing runs without it.
    """
    for name in head.names:
        runner = world.runners[NAMES.index(name)]
        if (head.group, head.epoch) not in runner.ready_in:
            return f"PARTIAL: {head.group} opens without {name}"
    return ""


def list_next(world: World) -> list[tuple[World, str]]:
    """Return the worlds that may follow, with the promise that each step breaks."""
    found = [(take_plan(world), "")]
    for order in world.under_way:
        left = dataclasses.replace(world, under_way=world.under_way - {order})
        found.append(carry_out(left, order))
    for place, runner in enumerate(world.runners):
        if runner.is_up and not runner.is_listed and not runner.is_cut:
            told = (runner.born, runner.group, runner.epoch, runner.rank, runner.state)
            heard = (*world.heard[:place], told, *world.heard[place + 1 :])
            found.append((dataclasses.replace(world, heard=heard), ""))
    if world.faults < MOST_FAULTS:
        found.extend((fault, "") for fault in list_faults(world))
    return found


def list_faults(world: World) -> list[World]:
    found = []
    for place, runner in enumerate(world.runners):
        if not runner.is_up:
            changes = [Runner(born=runner.born + 1, ready_in=runner.ready_in)]
        else:
            changes = [dataclasses.replace(runner, is_up=False, is_listed=False)]
            if runner.is_listed:
                changes.append(dataclasses.replace(runner, is_listed=False))
                changes.append(dataclasses.replace(runner, is_listed=False, is_cut=True))
                changes.append(dataclasses.replace(runner, is_cut=True))
            if runner.is_cut:
                changes.append(dataclasses.replace(runner, is_listed=True, is_cut=False))
        for changed in changes:
            runners = (*world.runners[:place], changed, *world.runners[place + 1 :])
            found.append(dataclasses.replace(world, runners=runners, faults=world.faults + 1))
    # Another daemon coordinates, which has heard nothing.
    found.append(dataclasses.replace(world, heard=(None,) * len(NAMES), faults=world.faults + 1))
    return found


def explore() -> tuple[int, str]:
    """Return how many states were explored, and the first promise that was broken."""
    begun = start()
    known = {begun}
    waiting = [begun]
    for world in waiting:
        for following, broken in list_next(world):
            if broken:
                return len(known), broken
            if following not in known and len(known) < MOST_STATES:
                known.add(following)
                waiting.append(following)
    return len(known), ""


def join_at_once(
    assignment: assignments.Assignment, rank: int, statuses: dict[str, plans.UpstreamStatus]
) -> plans.Order:
    """Mutant: a member joins without leaving its former group."""
    return plans.Order(
        plans.JOIN,
        assignment.members[rank],
        assignment.addresses[rank],
        assignment.group,
        assignment.epoch,
        assignment.model,
        tuple(assignment.members),
    )


def open_with_the_head(
    assignment: assignments.Assignment, statuses: dict[str, plans.UpstreamStatus]
) -> bool:
    """Mutant: a head opens as soon as it is ready itself."""
    head = statuses.get(assignment.members[0])
    return head is not None and plans.matches_assignment(head.membership, assignment)


class TestInterleavings:
    def test_promises_hold_in_each(self) -> None:
        count, broken = explore()
        assert not broken
        assert 1000 < count < MOST_STATES

    @pytest.mark.parametrize(
        "name, mutant, broken",
        [
            ("_make_member_order", join_at_once, "TWO"),
            ("_may_open", open_with_the_head, "PARTIAL"),
        ],
    )
    def test_mutated_rule_is_found(
        self, monkeypatch: pytest.MonkeyPatch, name: str, mutant: object, broken: str
    ) -> None:
        monkeypatch.setattr(planner, name, mutant)
        assert explore()[1].startswith(broken)
