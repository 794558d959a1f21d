"""Coverage: how many groups of each model serve, and how many upstreams do not."""

from collections.abc import Mapping

from tanagerfork.generated import assignments
from tanagerfork.relay import members, plans, rules


def measure_coverage(
    service: rules.Service, facts: Mapping[str, plans.Fact], record: assignments.Assignments
) -> dict[str, int]:
    """Return how many groups serve, by model, and how many upstreams do not.

    :param service: model service.
    :param facts: what is known of its upstreams.
    :param record: record of assignments.
    """
    coverage = (
        {f"open_{model.name}": 0 for model in service.engine.models} if service.engine else {}
    )
    groups = [group for group in record.groups if group.service == service.name]
    assigned = {member for group in groups for member in group.members}
    usable = [fact for fact in facts.values() if fact.is_usable]
    free = [fact for fact in usable if fact.upstream.id not in assigned]
    coverage["usable"] = len(usable)
    coverage["free_staged"] = sum(bool(fact.upstream.staged) for fact in free)
    coverage["free_empty"] = sum(not fact.upstream.staged for fact in free)
    coverage["forming"] = coverage["closing"] = 0
    for group in groups:
        head = facts.get(group.members[0])
        mark = head.mark if head else None
        is_open = mark is not None and mark.state is members.MemberState.OPEN
        if group.closing:
            coverage["closing"] += 1
        elif is_open and plans.is_in(mark, group):
            coverage[f"open_{group.model}"] += 1
        else:
            coverage["forming"] += 1
    return coverage
