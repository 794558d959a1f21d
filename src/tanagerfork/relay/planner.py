"""Planner: which groups to form, which to dissolve, and what to order for it.

Decides over explicit facts, without I/O. Safety rests on four rules:

* An upstream is in at most one assignment, and the record of assignments changes by
  compare-and-swap only.
* An assignment is dropped only once its head is seen out of it (closed and left, started anew, in
  another group) or does not answer; only then may its members be ordered elsewhere.
* A member leaves its former group before it joins another one: a head that nobody reaches may
  still be open.
* A head is told to open only once every member reports the group, its epoch and readiness.
"""

from collections.abc import Mapping

import msgspec

from tanagerfork.generated import assignments
from tanagerfork.relay import forming, members, plans, staging


def make_plan(situation: plans.Situation) -> plans.Plan:
    """Decide what to write and what to order.

    :param situation: what the decision rests on.
    :return: plan.
    """
    kept: list[assignments.Assignment] = []
    plan = plans.Plan(situation.record, [], [])
    for assignment in situation.record.groups:
        if assignment.service != situation.service.name:
            kept.append(assignment)
            continue
        updated = _review(assignment, situation, plan)
        if updated is not None:
            kept.append(updated)
    epoch = max(situation.record.next_epoch, 1 + _find_highest_epoch(situation.facts))
    replaced = forming.find_replaceable(situation, _of_service(kept, situation))
    if replaced is not None:
        plan.notes.append(f"dissolve {replaced.group}: its members are needed within a domain")
        kept[kept.index(replaced)] = msgspec.structs.replace(
            replaced, closing=True, reason="for a group within a fabric domain"
        )
    formed = forming.form_groups(situation, kept, epoch, plan)
    plan.record = msgspec.structs.replace(
        situation.record, groups=kept + formed, next_epoch=epoch + len(formed)
    )
    if plan.record.groups == situation.record.groups:
        plan.record = situation.record
    for assignment in plan.record.groups:
        if assignment.service == situation.service.name:
            _order_for(assignment, situation.facts, plan)
    _order_strays(situation, plan)
    staging.stage_spares(situation, plan)
    return plan


def _of_service(
    groups: list[assignments.Assignment], situation: plans.Situation
) -> list[assignments.Assignment]:
    return [group for group in groups if group.service == situation.service.name]


def _review(
    assignment: assignments.Assignment, situation: plans.Situation, plan: plans.Plan
) -> assignments.Assignment | None:
    """Return an assignment as it goes on; None where it is over."""
    if not assignment.closing:
        reason = _find_fault(assignment, situation.facts)
        if not reason:
            return assignment
        plan.notes.append(f"dissolve {assignment.group}: {reason}")
        assignment = msgspec.structs.replace(assignment, closing=True, reason=reason)
    if not _is_released(assignment, situation.facts):
        return assignment
    plan.notes.append(f"drop {assignment.group}: its head is out of it")
    return None


def _find_fault(assignment: assignments.Assignment, facts: Mapping[str, plans.Fact]) -> str:
    """Return why an assignment cannot go on; empty where it can."""
    for rank, upstream_id in enumerate(assignment.members):
        fact = facts.get(upstream_id)
        if fact is None or not fact.is_listed:
            return f"{upstream_id} is no longer listed"
        if fact.upstream.born_at_ms != assignment.born_at_ms[rank]:
            return f"{upstream_id} has started anew"
        if fact.upstream.is_leaving:
            return f"{upstream_id} is leaving"
        if fact.is_silent:
            return f"{upstream_id} does not answer"
        mark = fact.mark
        if mark is not None and mark.epoch > assignment.epoch:
            return f"{upstream_id} is in {mark.group}"
        is_head = rank == 0 and plans.is_in(mark, assignment)
        if is_head and mark is not None and mark.state is members.MemberState.BROKEN:
            return f"{upstream_id} says that the group is broken"
    return ""


def _is_released(assignment: assignments.Assignment, facts: Mapping[str, plans.Fact]) -> bool:
    """Return whether nothing more can be done to a closing group at its head.

    A silent head may still be open: its members leave the group before they join another one, so
    that it stands still and nothing begins to run there.
    """
    fact = facts.get(assignment.members[0])
    if fact is None or not fact.is_known:
        return False
    if fact.upstream.born_at_ms != assignment.born_at_ms[0]:
        return True
    return fact.is_silent or not plans.is_in(fact.mark, assignment)


def _stands_still(assignment: assignments.Assignment, facts: Mapping[str, plans.Fact]) -> bool:
    """Return whether a group cannot finish what it has begun.

    A member that leaves as planned, with or without a word before its entry goes, serves as long
    as its head has work.
    """
    for rank, upstream_id in enumerate(assignment.members):
        fact = facts.get(upstream_id)
        if fact is None or fact.is_silent:
            return True
        if not fact.is_known:
            continue
        if fact.upstream.born_at_ms != assignment.born_at_ms[rank]:
            return True
        if not plans.is_in(fact.mark, assignment):
            return True
        if fact.mark is not None and fact.mark.state is members.MemberState.BROKEN:
            return True
    return False


def _find_highest_epoch(facts: Mapping[str, plans.Fact]) -> int:
    return max((fact.mark.epoch for fact in facts.values() if fact.mark), default=0)


def _order_for(
    assignment: assignments.Assignment, facts: Mapping[str, plans.Fact], plan: plans.Plan
) -> None:
    head_id, head_address = assignment.members[0], assignment.addresses[0]
    head = facts.get(head_id)
    if assignment.closing:
        if head is None or not plans.is_in(head.mark, assignment) or head.mark is None:
            return
        is_out = head.mark.state in plans.OUT_OF_GROUP
        kind = plans.LEAVE if is_out else plans.CLOSE
        plan.orders.append(
            plans.Order(
                kind,
                head_id,
                head_address,
                assignment.group,
                assignment.epoch,
                cuts=_stands_still(assignment, facts),
            )
        )
        return
    missing = [
        rank
        for rank, member in enumerate(assignment.members)
        if member not in facts or not plans.is_in(facts[member].mark, assignment)
    ]
    plan.orders.extend(_order_member(assignment, rank, facts) for rank in missing)
    if _may_open(assignment, facts):
        plan.orders.append(
            plans.Order(plans.OPEN, head_id, head_address, assignment.group, assignment.epoch)
        )


def _may_open(assignment: assignments.Assignment, facts: Mapping[str, plans.Fact]) -> bool:
    """Return whether every member reports the group and readiness."""
    marks = [facts[member].mark if member in facts else None for member in assignment.members]
    return all(
        mark is not None
        and plans.is_in(mark, assignment)
        and mark.state is members.MemberState.READY
        for mark in marks
    )


def _order_member(
    assignment: assignments.Assignment, rank: int, facts: Mapping[str, plans.Fact]
) -> plans.Order:
    """Return the order that brings a member nearer to its group.

    A member leaves its former group first: a head that nobody reaches may still be open.
    """
    member, address = assignment.members[rank], assignment.addresses[rank]
    fact = facts.get(member)
    former = fact.mark if fact else None
    if former is not None:
        return plans.Order(plans.LEAVE, member, address, former.group, former.epoch)
    return plans.Order(
        plans.JOIN,
        member,
        address,
        assignment.group,
        assignment.epoch,
        assignment.model,
        tuple(assignment.members),
    )


def _order_strays(situation: plans.Situation, plan: plans.Plan) -> None:
    """Close groups that no record names, so that their members become free."""
    named = {(group.group, group.epoch) for group in plan.record.groups}
    for fact in situation.facts.values():
        mark = fact.mark
        if mark is None or mark.rank != 0 or mark.state in plans.OUT_OF_GROUP or not fact.is_listed:
            continue
        if (mark.group, mark.epoch) not in named:
            upstream = fact.upstream
            plan.orders.append(
                plans.Order(
                    plans.CLOSE, upstream.id, upstream.address, mark.group, mark.epoch, cuts=True
                )
            )
