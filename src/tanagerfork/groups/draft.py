"""Draft: a working copy of a layout, which also tracks the group that each VM belongs to."""

from collections.abc import Collection, Iterable

import msgspec

from tanagerfork.generated import bundle, engine, layout
from tanagerfork.groups import facts, substitution
from tanagerfork.timeline import kinds


class Draft:
    """Working copy of a layout in which each VM belongs to at most one group.

    :param situation: state that the plan is based on.
    """

    __slots__ = ("situation", "groups", "events", "stopped_rollouts", "_serial", "_group_by_vm")

    def __init__(self, situation: facts.Situation) -> None:
        self.situation = situation
        self.groups = {
            record.group: msgspec.structs.replace(
                record, members=list(record.members), reserves=list(record.reserves)
            )
            for record in situation.layout.groups
        }
        self.events: list[facts.LayoutEvent] = []
        self.stopped_rollouts = list(situation.layout.rollouts_stopped)
        self._serial = _choose_serial(situation)
        self._group_by_vm = {
            vm: record.group
            for record in self.groups.values()
            for vm in (*record.members, *record.reserves)
        }

    @property
    def generation(self) -> int:
        """Generation that every group changed by this draft gets."""
        return self._serial * substitution.GENERATION_STEP

    def add_event(self, kind: kinds.EventKind, group: str, detail: str) -> None:
        """Add an event for the timeline.

        :param kind: kind of the event.
        :param group: name of the group.
        :param detail: change and its reason.
        """
        self.events.append(facts.LayoutEvent(kind, group, detail))

    def find_unusable_members(self, record: layout.GroupRecord) -> list[str]:
        """Return the members that should be replaced: unlisted, silent, leaving or straggling.

        :param record: group.
        """
        found = [(vm, self.situation.vms.get(vm)) for vm in record.members]
        return [vm for vm, fact in found if fact is None or not fact.is_usable]

    def find_lost_members(self, record: layout.GroupRecord) -> list[str]:
        """Return the members that have to be replaced: unlisted, silent or leaving.

        :param record: group.
        """
        vms = self.situation.vms
        return [vm for vm in record.members if vm not in vms or not vms[vm].is_running]

    def has_silent_member(self, record: layout.GroupRecord) -> bool:
        """Return whether a member stopped reporting, but is not yet considered lost.

        :param record: group.
        """
        found = [self.situation.vms.get(vm) for vm in record.members]
        return any(fact is not None and fact.report is None and not fact.is_lost for fact in found)

    def find_spares(
        self, record: layout.GroupRecord, model: bundle.Model, include_stragglers: bool = False
    ) -> list[str]:
        """Return the VMs that can become members of a group, best first.

        :param record: group that needs members.
        :param model: its model.
        :param include_stragglers: whether to add stragglers at the end.
        :return: VMs ordered by: no straggler, same fabric domain, model already loaded, own reserve
            or reserved to no group, then reserves of the groups that have the most of them.
        """
        spares = [
            vm
            for vm, fact in self.situation.vms.items()
            if (fact.is_usable or (include_stragglers and fact.is_running))
            and self._is_spare(vm)
            and self._is_eligible(fact.entry, record, model)
        ]
        return sorted(spares, key=lambda vm: self._rank_spare(vm, record))

    def replace_members(
        self, record: layout.GroupRecord, substitutes: dict[str, str], reason: str
    ) -> layout.GroupRecord:
        """Replace members of a group and give it a new generation.

        :param record: group, with the version and adapters that it should run.
        :param substitutes: new member by replaced member; may be empty.
        :param reason: reason that the event gives.
        :return: the group in its new generation.
        """
        self.release_vms(vm for vm in substitutes)
        self._assign(substitutes.values(), record.group)
        changed = msgspec.structs.replace(
            self.groups[record.group],
            generation=self.generation,
            members=[substitutes.get(vm, vm) for vm in record.members],
            version=record.version,
            adapters=record.adapters,
            draining=False,
        )
        self.groups[record.group] = changed
        self.add_event(kinds.EventKind.GROUP_REPAIRED, record.group, reason)
        return changed

    def form_group(
        self, model: bundle.Model, fabric_domain: str, members: Iterable[str]
    ) -> layout.GroupRecord:
        """Add a group to the layout.

        :param model: model that the group runs.
        :param fabric_domain: fabric domain of its members.
        :param members: VMs in rank order.
        :return: the group.
        """
        chosen = list(members)
        name = self._name_group(model)
        self._assign(chosen, name)
        record = layout.GroupRecord(
            group=name,
            model=model.name,
            version=model.version,
            adapters=list(model.adapters),
            fabric_domain=fabric_domain,
            generation=self.generation,
            members=chosen,
        )
        self.groups[name] = record
        self.add_event(
            kinds.EventKind.GROUP_FORMED, name, f"in {fabric_domain or 'any fabric domain'}"
        )
        return record

    def dissolve_group(self, record: layout.GroupRecord, reason: str) -> None:
        """Remove a group from the layout and release its VMs.

        :param record: group.
        :param reason: reason that the event gives.
        """
        del self.groups[record.group]
        self.release_vms((*record.members, *record.reserves))
        self.add_event(kinds.EventKind.GROUP_DISSOLVED, record.group, reason)

    def release_vms(self, vms: Iterable[str]) -> None:
        """Mark VMs as belonging to no group, and remove them from the reserves.

        :param vms: names of the VMs.
        """
        for vm in vms:
            owner = self.groups.get(self._group_by_vm.pop(vm, ""))
            if owner is not None and vm in owner.reserves:
                owner.reserves.remove(vm)

    def reserve_vm(self, vm: str, record: layout.GroupRecord) -> None:
        """Reserve a VM to a group, releasing it from another group's reserves if needed.

        :param vm: name of the VM.
        :param record: group.
        """
        self.release_vms([vm])
        self._group_by_vm[vm] = record.group
        self.groups[record.group].reserves.append(vm)

    def find_free_vms(self) -> list[str]:
        """Return the usable VMs that are neither members nor reserves of a group."""
        found = self.situation.vms.items()
        return [vm for vm, fact in found if fact.is_usable and vm not in self._group_by_vm]

    def may_serve(self, entry: engine.VmEntry, record: layout.GroupRecord) -> bool:
        """Return whether a VM may be a reserve of a group.

        :param entry: VM as the platform lists it.
        :param record: group.
        """
        model = self.situation.find_model(record.model)
        return model is not None and self._is_eligible(entry, record, model)

    def build(self, token: str) -> layout.Layout:
        """Build the layout record from the draft.

        :param token: unique token of the write.
        """
        situation = self.situation
        return layout.Layout(
            failure_domain=situation.layout.failure_domain,
            serial=self._serial,
            fencing=situation.fencing,
            bundle_version=situation.bundle_version,
            token=token,
            rollouts_stopped=self.stopped_rollouts,
            groups=list(self.groups.values()),
        )

    def has_changed(self) -> bool:
        """Return whether the draft differs from the layout in force."""
        before = self.situation.layout
        return (
            before.groups != list(self.groups.values())
            or before.rollouts_stopped != self.stopped_rollouts
            or before.bundle_version != self.situation.bundle_version
            or before.fencing != self.situation.fencing
        )

    def _is_spare(self, vm: str) -> bool:
        owner = self.groups.get(self._group_by_vm.get(vm, ""))
        return owner is None or vm in owner.reserves

    def _is_eligible(
        self, entry: engine.VmEntry, record: layout.GroupRecord, model: bundle.Model
    ) -> bool:
        is_near = self.situation.bundle.placement.across_fabric_domains or (
            entry.fabric_domain == record.fabric_domain
        )
        return is_near and model.vm_pool in ("", entry.pool)

    def _rank_spare(self, vm: str, record: layout.GroupRecord) -> tuple[bool, bool, bool, int, str]:
        owner = self.groups.get(self._group_by_vm.get(vm, ""))
        is_own = owner is not None and owner.group == record.group
        reserve_count = len(owner.reserves) if owner is not None and not is_own else 0
        is_warm = self.situation.vms[vm].is_warm(record)
        is_far = self.situation.vms[vm].entry.fabric_domain != record.fabric_domain
        is_slow = self.situation.vms[vm].is_straggling
        return (
            is_slow,
            is_far,
            not is_warm,
            0 if is_own or owner is None else 1000 - reserve_count,
            vm,
        )

    def _assign(self, vms: Collection[str], group: str) -> None:
        self.release_vms(vms)
        for vm in vms:
            self._group_by_vm[vm] = group

    def _name_group(self, model: bundle.Model) -> str:
        prefix = f"{self.situation.layout.failure_domain}/{model.name}/"
        number = 0
        while f"{prefix}{number}" in self.groups:
            number += 1
        return f"{prefix}{number}"


def _choose_serial(situation: facts.Situation) -> int:
    reports = [fact.report for fact in situation.vms.values() if fact.report is not None]
    reported = max((report.generation for report in reports), default=0)
    return max(situation.layout.serial, reported // substitution.GENERATION_STEP) + 1
