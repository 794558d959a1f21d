"""Status records that a daemon returns to operators."""

import msgspec

from tanagerfork import measures as measure
from tanagerfork import metrics as metric
from tanagerfork.bundles import register
from tanagerfork.generated import bundle, operators
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import directory, presence


def describe_daemon(
    settings: settings_records.Settings,
    state: str,
    bundles: register.BundleRegister,
    groups: directory.GroupDirectory,
    measures: measure.Measures,
    open_requests: int,
    now_ms: int,
) -> operators.DaemonStatus:
    """Return the status of a daemon.

    :param settings: settings of the daemon.
    :param state: lifecycle state.
    :param bundles: register with the bundle in force.
    :param groups: groups as the daemon knows them.
    :param measures: the two measures of the daemon's failure domain.
    :param open_requests: number of open requests.
    :param now_ms: monotonic clock, in milliseconds.
    :return: the status.
    """
    views = groups.views(now_ms)
    in_force = bundles.current
    downtimes_ms = measures.downtime_by_group_ms
    return operators.DaemonStatus(
        name=settings.name,
        failure_domain=settings.failure_domain,
        state=state,
        reason="" if in_force else "no bundle is in force",
        bundle_version=bundles.version,
        bundle_sha256=in_force.head.manifest_sha256 if in_force else "",
        bundle_name=in_force.bundle.name if in_force else "",
        open_requests=open_requests,
        accelerators=measures.latest.live_accelerators,
        stranded_accelerators=measures.latest.stranded_accelerators,
        stranded_accelerator_ms=measures.stranded_accelerator_ms,
        group_downtime_ms=measures.group_downtime_ms,
        groups=[
            describe_group(view, settings.failure_domain, downtimes_ms.get(view.record.group, 0))
            for view in views
        ],
    )


def describe_group(
    view: presence.GroupView, failure_domain: str, downtime_ms: int
) -> operators.GroupStatus:
    """Return the status of a group.

    :param view: group as the daemon sees it.
    :param failure_domain: its failure domain.
    :param downtime_ms: time that the group was not serving, in milliseconds.
    :return: the status.
    """
    return operators.GroupStatus(
        group=view.record.group,
        failure_domain=failure_domain,
        model=view.record.model,
        version=view.record.version,
        generation=view.record.generation,
        state=view.state.value,
        members=view.record.members,
        reserves=view.record.reserves,
        missing=list(view.missing),
        downtime_ms=downtime_ms,
    )


def describe_team(team: bundle.Team, metrics: metric.Metrics) -> operators.TeamStatus:
    """Return the status of a team.

    :param team: team of the bundle in force.
    :param metrics: metrics of the daemon.
    :return: the status.
    """
    answered = metrics.counter_value("requests_ended_total", team=team.name, outcome="answered")
    refused = metrics.counter_value("requests_ended_total", team=team.name, outcome="refused")
    return operators.TeamStatus(
        team=team.name,
        weight=team.weight,
        max_priority=team.max_priority,
        models=team.models,
        services=team.services,
        answered=int(answered),
        refused=int(refused),
    )


def describe_bundle(in_force: register.BundleInForce | None) -> operators.BundleSnapshot:
    """Return the bundle in force as one document.

    :param in_force: bundle in force, or None.
    :return: the document, with version 0 if no bundle is in force.
    """
    if in_force is None:
        return operators.BundleSnapshot(version=0, manifest_sha256="", bundle_json="")
    return operators.BundleSnapshot(
        version=in_force.head.version,
        manifest_sha256=in_force.head.manifest_sha256,
        rolled_by=in_force.head.rolled_by,
        rolled_at_ms=in_force.head.rolled_at_ms,
        bundle_json=msgspec.json.encode(in_force.bundle).decode(),
    )
