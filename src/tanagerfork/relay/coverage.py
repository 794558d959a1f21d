"""Coverage: counts the groups that serve, by model, and the upstreams that are in no group."""

from collections.abc import Mapping

from tanagerfork.generated import assignments
from tanagerfork.relay import members, plans, rules


def is_repair_pending(coverage: Mapping[str, int], is_evacuated: bool) -> bool:
    """Return whether groups are closing or go on forming, which they do not while evacuated.

    :param coverage: last coverage; empty where none was measured.
    :param is_evacuated: whether the failure domain is evacuated.
    """
    forming = 0 if is_evacuated else coverage.get("forming", 0)
    return coverage.get("closing", 0) + forming > 0


def measure_coverage(
    service: rules.Service,
    statuses: Mapping[str, plans.UpstreamStatus],
    record: assignments.Assignments,
) -> dict[str, int]:
    """Return the numbers of groups and of free upstreams, named as in the decision log.

    :param service: model service.
    :param statuses: status of its upstreams, by id.
    :param record: record of assignments.
    """
    coverage = (
        {f"open_{model.name}": 0 for model in service.engine.models} if service.engine else {}
    )
    groups = [group for group in record.groups if group.service == service.name]
    assigned = {member for group in groups for member in group.members}
    usable = [status for status in statuses.values() if status.is_usable]
    free = [status for status in usable if status.upstream.id not in assigned]
    coverage["usable"] = len(usable)
    coverage["free_staged"] = sum(bool(status.upstream.staged) for status in free)
    coverage["free_empty"] = sum(not status.upstream.staged for status in free)
    coverage["forming"] = coverage["closing"] = 0
    for group in groups:
        head = statuses.get(group.members[0])
        membership = head.membership if head else None
        is_open = membership is not None and membership.state is members.MemberState.OPEN
        if group.closing:
            coverage["closing"] += 1
        elif is_open and plans.matches_assignment(membership, group):
            coverage[f"open_{group.model}"] += 1
        else:
            coverage["forming"] += 1
    return coverage
