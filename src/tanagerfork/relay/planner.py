"""Planner: decides which groups to form and dissolve, and which orders that takes.

Decides from its input alone, without I/O. Safety rests on four rules:

* An upstream is in at most one assignment, and the record of assignments changes by
  compare-and-swap only.
* An assignment is dropped only once its head is known to have left it (it closed and left,
  restarted, or is in another group) or does not answer; only then may its members be ordered
  into another group.
* A member leaves its former group before it joins another one, as an unreachable head may still be
  open.
* A head is ordered to open only once every member reports the group, its epoch and readiness.

While the failure domain is evacuated, groups are dissolved and closed as always, but none is formed
or replaced, and no upstream is ordered to join, open or stage. Groups that are forming wait.
"""

from collections.abc import Mapping

import msgspec

from tanagerfork.generated import assignments
from tanagerfork.relay import fleet, forming, members, plans, rebalancing, staging

# Daemons stop using a group some seconds later. They may have missed the entry 2.4 s sooner than
# the coordinator, and an order takes up to a second.
MAX_UNLISTED_MS = fleet.UNLISTED_RETENTION_MS - 4000

# Beyond all epochs that groups reach. A higher one is from another writer; the next ones must still
# fit into the numbers that are read.
MAX_FOLLOWED_EPOCH = 2**52


def make_plan(situation: plans.Situation) -> plans.Plan:
    """Decide how the record of assignments changes and which orders to send.

    :param situation: input of the decision.
    :return: plan.
    """
    kept: list[assignments.Assignment] = []
    plan = plans.Plan(situation.record, [], [])
    for assignment in situation.record.groups:
        if assignment.service != situation.service.name:
            kept.append(assignment)
            continue
        updated = _update_assignment(assignment, situation, plan)
        if updated is not None:
            kept.append(updated)
    epoch = max(situation.record.next_epoch, 1 + _find_highest_epoch(situation.statuses))
    formed: list[assignments.Assignment] = []
    if not situation.is_evacuated:
        _replace_group(situation, kept, plan)
        kept = rebalancing.begin_move(situation, kept, plan)
        formed = forming.form_groups(situation, kept, epoch, plan)
    plan.record = msgspec.structs.replace(
        situation.record, groups=kept + formed, next_epoch=epoch + len(formed)
    )
    if plan.record.groups == situation.record.groups:
        plan.record = situation.record
    for assignment in _filter_by_service(plan.record.groups, situation):
        if assignment.closing or not situation.is_evacuated:
            _add_group_orders(assignment, situation.statuses, plan)
    _close_unrecorded_groups(situation, plan)
    if not situation.is_evacuated:
        staging.stage_spares(situation, plan)
        staging.stage_alternatives(situation, plan)
        rebalancing.stage_for_move(situation, plan)
    return plan


def _replace_group(
    situation: plans.Situation, kept: list[assignments.Assignment], plan: plans.Plan
) -> None:
    """Mark as closing a group whose members complete one within a fabric domain."""
    replaced = forming.find_replaceable(situation, _filter_by_service(kept, situation))
    if replaced is not None:
        plan.notes.append(f"dissolve {replaced.group}: its members are needed within a domain")
        kept[kept.index(replaced)] = msgspec.structs.replace(
            replaced, closing=True, reason=forming.REPLACED
        )


def _filter_by_service(
    groups: list[assignments.Assignment], situation: plans.Situation
) -> list[assignments.Assignment]:
    return [group for group in groups if group.service == situation.service.name]


def _update_assignment(
    assignment: assignments.Assignment, situation: plans.Situation, plan: plans.Plan
) -> assignments.Assignment | None:
    """Return an assignment with its new state; None once it can be dropped."""
    if not assignment.closing:
        reason = _find_dissolve_reason(assignment, situation.statuses)
        if not reason:
            return assignment
        plan.notes.append(f"dissolve {assignment.group}: {reason}")
        plan.dissolved[assignment.group] = reason
        assignment = msgspec.structs.replace(assignment, closing=True, reason=reason)
    if not _can_drop(assignment, situation.statuses):
        return assignment
    plan.notes.append(f"drop {assignment.group}: its head left it or does not answer")
    return None


def _find_dissolve_reason(
    assignment: assignments.Assignment, statuses: Mapping[str, plans.UpstreamStatus]
) -> str:
    """Return why a group has to be dissolved; empty where it need not be."""
    for rank, upstream_id in enumerate(assignment.members):
        status = statuses.get(upstream_id)
        if status is None:
            return f"{upstream_id} is no longer listed"
        if not status.is_listed and (rank == 0 or not _still_works(status, assignment)):
            return f"{upstream_id} is no longer listed"
        if status.upstream.born_at_ms != assignment.born_at_ms[rank]:
            return f"{upstream_id} has started anew"
        if status.upstream.is_leaving:
            return f"{upstream_id} is leaving"
        if status.is_silent:
            return f"{upstream_id} does not answer"
        membership = status.membership
        if membership is not None and membership.epoch > assignment.epoch:
            return f"{upstream_id} is in {membership.group}"
        is_head = rank == 0 and plans.matches_assignment(membership, assignment)
        if is_head and membership is not None and membership.state is members.MemberState.BROKEN:
            return f"{upstream_id} says that the group is broken"
    return ""


def _still_works(status: plans.UpstreamStatus, assignment: assignments.Assignment) -> bool:
    """Return whether a member without a directory entry still does its part in a group.

    An upstream that is partitioned from the directory loses its entry and goes on working, and its
    probes tell it from one that is gone. This does not hold for a head, as requests that reach an
    upstream without an entry may reach one that leaves. The group is dissolved before daemons stop
    using it, as it would otherwise neither serve nor be formed anew.
    """
    if status.unlisted_ms > MAX_UNLISTED_MS:
        return False
    if not status.is_known:
        return True  # Its probes have had no result yet.
    membership = status.membership
    return (
        not status.is_silent
        and plans.matches_assignment(membership, assignment)
        and membership is not None
        and membership.state is members.MemberState.READY
    )


def _can_drop(
    assignment: assignments.Assignment, statuses: Mapping[str, plans.UpstreamStatus]
) -> bool:
    """Return whether a closing group needs no further order to its head.

    A silent head may still be open. That is safe, since its members leave the group before they
    join another one, so that it stalls and starts no further request.
    """
    status = statuses.get(assignment.members[0])
    if status is None or not status.is_known:
        return False
    if status.upstream.born_at_ms != assignment.born_at_ms[0]:
        return True
    return status.is_silent or not plans.matches_assignment(status.membership, assignment)


def _is_stalled(
    assignment: assignments.Assignment, statuses: Mapping[str, plans.UpstreamStatus]
) -> bool:
    """Return whether a group cannot finish its open requests.

    A member that shuts down as planned keeps serving as long as its head has open requests,
    whether or not it announced that before its directory entry went away.
    """
    for rank, upstream_id in enumerate(assignment.members):
        status = statuses.get(upstream_id)
        if status is None or status.is_silent:
            return True
        if not status.is_known:
            continue
        if status.upstream.born_at_ms != assignment.born_at_ms[rank]:
            return True
        if not plans.matches_assignment(status.membership, assignment):
            return True
        if status.membership is not None and status.membership.state is members.MemberState.BROKEN:
            return True
    return False


def _find_highest_epoch(statuses: Mapping[str, plans.UpstreamStatus]) -> int:
    """Return the highest epoch that an upstream reports; higher ones than groups reach are none."""
    epochs = (status.membership.epoch for status in statuses.values() if status.membership)
    return max((epoch for epoch in epochs if epoch <= MAX_FOLLOWED_EPOCH), default=0)


def _add_group_orders(
    assignment: assignments.Assignment,
    statuses: Mapping[str, plans.UpstreamStatus],
    plan: plans.Plan,
) -> None:
    """Add the orders that are still missing for a group to form, or for a closing one to end."""
    head_id, head_address = assignment.members[0], assignment.addresses[0]
    head = statuses.get(head_id)
    if assignment.closing:
        if (
            head is None
            or not plans.matches_assignment(head.membership, assignment)
            or head.membership is None
        ):
            return
        is_idle = head.membership.state in plans.IDLE_HEAD_STATES
        kind = plans.LEAVE if is_idle else plans.CLOSE
        plan.orders.append(
            plans.Order(
                kind,
                head_id,
                head_address,
                assignment.group,
                assignment.epoch,
                cancels_requests=_is_stalled(assignment, statuses),
            )
        )
        return
    missing = [
        rank
        for rank, member in enumerate(assignment.members)
        if member not in statuses
        or not plans.matches_assignment(statuses[member].membership, assignment)
    ]
    plan.orders.extend(_make_member_order(assignment, rank, statuses) for rank in missing)
    if _may_open(assignment, statuses):
        plan.orders.append(
            plans.Order(plans.OPEN, head_id, head_address, assignment.group, assignment.epoch)
        )


def _may_open(
    assignment: assignments.Assignment, statuses: Mapping[str, plans.UpstreamStatus]
) -> bool:
    """Return whether every member reports to be ready in the group."""
    memberships = [
        statuses[member].membership if member in statuses else None for member in assignment.members
    ]
    return all(
        membership is not None
        and plans.matches_assignment(membership, assignment)
        and membership.state is members.MemberState.READY
        for membership in memberships
    )


def _make_member_order(
    assignment: assignments.Assignment, rank: int, statuses: Mapping[str, plans.UpstreamStatus]
) -> plans.Order:
    """Return the next order that a member needs to get into its group.

    A member leaves its former group first, as an unreachable head may still be open.
    """
    member, address = assignment.members[rank], assignment.addresses[rank]
    status = statuses.get(member)
    former = status.membership if status else None
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


def _close_unrecorded_groups(situation: plans.Situation, plan: plans.Plan) -> None:
    """Close groups that are missing from the record, so that their members become free."""
    recorded = {(group.group, group.epoch) for group in plan.record.groups}
    for status in situation.statuses.values():
        membership = status.membership
        if (
            membership is None
            or membership.rank != 0
            or membership.state in plans.IDLE_HEAD_STATES
            or not status.is_listed
        ):
            continue
        if (membership.group, membership.epoch) not in recorded:
            upstream = status.upstream
            plan.orders.append(
                plans.Order(
                    plans.CLOSE,
                    upstream.id,
                    upstream.address,
                    membership.group,
                    membership.epoch,
                    cancels_requests=True,
                )
            )
