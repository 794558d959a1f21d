"""Formation: which groups a layout should hold."""

import collections
from collections.abc import Iterable, Sequence

from tanagerfork.generated import bundle, engine, layout


def plan_layout(
    current: layout.Layout, models: Sequence[bundle.Model], vms: Iterable[engine.VmEntry]
) -> layout.Layout:
    """Add the groups that the bundle asks for and that whole fabric domains allow.

    :param current: layout in force.
    :param models: models of the bundle in force.
    :param vms: live VMs of the failure domain.
    :return: a layout with the same groups and the new ones.
    """
    taken = {vm for group in current.groups for vm in (*group.members, *group.reserves)}
    free: dict[str, list[engine.VmEntry]] = collections.defaultdict(list)
    for vm in vms:
        if vm.vm not in taken and not vm.leaving:
            free[vm.fabric_domain].append(vm)
    groups = list(current.groups)
    for model in models:
        wanted = _count_wanted(model, current.failure_domain)
        existing = sum(1 for group in groups if group.model == model.name)
        for _ in range(wanted - existing):
            formed = _form_group(current.failure_domain, model, free, groups)
            if formed is None:
                break
            groups.append(formed)
    _reserve_rest(groups, free)
    return layout.Layout(
        failure_domain=current.failure_domain,
        serial=current.serial + 1,
        fencing=current.fencing,
        bundle_version=current.bundle_version,
        groups=groups,
    )


def _count_wanted(model: bundle.Model, failure_domain: str) -> int:
    placed = (item.groups for item in model.placement if item.failure_domain == failure_domain)
    return sum(placed)


def _form_group(
    failure_domain: str,
    model: bundle.Model,
    free: dict[str, list[engine.VmEntry]],
    groups: Sequence[layout.GroupRecord],
) -> layout.GroupRecord | None:
    names = {group.group for group in groups}
    for fabric_domain in sorted(free):
        fitting = [vm for vm in free[fabric_domain] if model.vm_pool in ("", vm.pool)]
        if len(fitting) < model.members_per_group:
            continue
        members = [vm.vm for vm in fitting[: model.members_per_group]]
        free[fabric_domain] = [vm for vm in free[fabric_domain] if vm.vm not in members]
        number = next(n for n in range(10**6) if f"{failure_domain}/{model.name}/{n}" not in names)
        return layout.GroupRecord(
            group=f"{failure_domain}/{model.name}/{number}",
            model=model.name,
            version=model.version,
            adapters=list(model.adapters),
            fabric_domain=fabric_domain,
            generation=1,
            members=members,
        )
    return None


def _reserve_rest(
    groups: Sequence[layout.GroupRecord], free: dict[str, list[engine.VmEntry]]
) -> None:
    for fabric_domain, vms in free.items():
        served = [group for group in groups if group.fabric_domain == fabric_domain]
        for vm in vms:
            if served:
                min(served, key=lambda group: len(group.reserves)).reserves.append(vm.vm)


def replace_members(
    record: layout.GroupRecord, missing: Iterable[str], present: Iterable[str]
) -> layout.GroupRecord | None:
    """Substitute missing members by the group's own reserves.

    :param record: group.
    :param missing: members to replace.
    :param present: VMs that report themselves.
    :return: the group in its next generation, None where its reserves do not suffice.
    """
    usable = [vm for vm in record.reserves if vm in set(present)]
    lost = list(missing)
    if not lost or len(usable) < len(lost):
        return None
    substitutes = dict(zip(lost, usable, strict=False))
    return layout.GroupRecord(
        group=record.group,
        model=record.model,
        version=record.version,
        adapters=record.adapters,
        fabric_domain=record.fabric_domain,
        generation=record.generation + 1,
        members=[substitutes.get(vm, vm) for vm in record.members],
        reserves=[vm for vm in record.reserves if vm not in substitutes.values()],
        draining=record.draining,
    )
