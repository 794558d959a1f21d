"""What a daemon says of itself to operators."""

from tanagerfork.bundles import register
from tanagerfork.generated import operators
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import directory, presence


def describe_daemon(
    settings: settings_records.Settings,
    state: str,
    bundles: register.BundleRegister,
    groups: directory.GroupDirectory,
    open_requests: int,
    now_ms: int,
) -> operators.DaemonStatus:
    """Describe a daemon.

    :param settings: settings of the daemon.
    :param state: lifecycle state.
    :param bundles: bundle in force.
    :param groups: groups as the daemon knows them.
    :param open_requests: requests held.
    :param now_ms: monotonic clock, in milliseconds.
    :return: the status.
    """
    views = groups.views(now_ms)
    in_force = bundles.current
    whole = {vm for view in views if is_serving(view) for vm in view.record.members}
    accelerators = sum(vm.accelerators for vm in groups.vms)
    return operators.DaemonStatus(
        name=settings.name,
        failure_domain=settings.failure_domain,
        state=state,
        reason="" if in_force else "no bundle is in force",
        bundle_version=bundles.version,
        bundle_sha256=in_force.head.manifest_sha256 if in_force else "",
        bundle_name=in_force.bundle.name if in_force else "",
        open_requests=open_requests,
        accelerators=accelerators,
        stranded_accelerators=sum(vm.accelerators for vm in groups.vms if vm.vm not in whole),
        groups=[describe_group(view, settings.failure_domain) for view in views],
    )


def describe_group(view: presence.GroupView, failure_domain: str) -> operators.GroupStatus:
    """Describe a group.

    :param view: group as the daemon sees it.
    :param failure_domain: its failure domain.
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
    )


def is_serving(view: presence.GroupView) -> bool:
    """Return whether a group is whole, draining or not.

    :param view: group as the daemon sees it.
    """
    return view.state in (presence.GroupState.WHOLE, presence.GroupState.DRAINING)
