"""Summarises the statuses of the daemons for the fleet."""

import collections

from tanagerfork.cli import fleet
from tanagerfork.generated import operators

SERVING = "serving"
WHOLE_STATES = ("whole", "draining")


def summarise_fleet(survey: fleet.Survey) -> operators.FleetStatus:
    """Sum up the daemons' statuses by failure domain.

    :param survey: daemons that answered, and those that did not.
    :return: the fleet's status.
    """
    daemons = sorted(survey.answered.values(), key=lambda item: (item.failure_domain, item.name))
    newest = max(daemons, key=lambda item: item.bundle_version, default=None)
    by_domain: dict[str, list[operators.DaemonStatus]] = collections.defaultdict(list)
    for status in daemons:
        by_domain[status.failure_domain].append(status)
    version = newest.bundle_version if newest else 0
    return operators.FleetStatus(
        bundle_version=version,
        bundle_name=newest.bundle_name if newest else "",
        domains=[_summarise_domain(name, by_domain[name], version) for name in sorted(by_domain)],
        daemons=daemons,
        unreachable=sorted(survey.unreachable, key=lambda item: (item.failure_domain, item.name)),
    )


def _summarise_domain(
    failure_domain: str, daemons: list[operators.DaemonStatus], version: int
) -> operators.DomainSummary:
    seen_by = max(daemons, key=lambda item: (len(item.groups), item.group_downtime_ms))
    return operators.DomainSummary(
        failure_domain=failure_domain,
        seen_by=seen_by.name,
        daemons=len(daemons),
        serving=sum(status.state == SERVING for status in daemons),
        lagging=[status.name for status in daemons if status.bundle_version < version],
        whole_groups=sum(group.state in WHOLE_STATES for group in seen_by.groups),
        broken_groups=[group.group for group in seen_by.groups if group.state not in WHOLE_STATES],
        reserves=sum(len(group.reserves) for group in seen_by.groups),
        accelerators=seen_by.accelerators,
        stranded_accelerators=seen_by.stranded_accelerators,
        stranded_accelerator_ms=seen_by.stranded_accelerator_ms,
        group_downtime_ms=seen_by.group_downtime_ms,
        coordinator=seen_by.coordinator,
        key_value_reachable=any(status.key_value_reachable for status in daemons),
    )
