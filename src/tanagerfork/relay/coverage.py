"""Coverage: how many groups of each model serve, and how many upstreams do not."""

from collections.abc import Mapping

from tanagerfork.generated import assignments
from tanagerfork.relay import members, plans, rules


def measure_coverage(
    service: rules.Service,
    statuses: Mapping[str, plans.UpstreamStatus],
    record: assignments.Assignments,
) -> dict[str, int]:
    """Return how many groups serve, by model, and how many upstreams do not.

    :param service: model service.
    :param statuses: what is known of its upstreams.
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
