"""Repair: replaces members of groups that are down, and dissolves groups to complete others."""

import dataclasses
from collections.abc import Mapping

import msgspec

from tanagerfork.generated import bundle, layout
from tanagerfork.groups import draft as drafts
from tanagerfork.groups import facts, rollout


class IncarnationTracker:
    """Tracks the incarnations that the members of each group had when its generation was written.

    A member that restarted may only join in a new generation; otherwise a daemon could mistake its
    report for one of the earlier incarnation.
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, tuple[int, dict[str, str]]] = {}

    def on_layout_written(self, written: layout.Layout, vms: Mapping[str, facts.VmFact]) -> None:
        """Store the members' incarnations for each group whose generation is new.

        :param written: layout that was written.
        :param vms: facts that it is based on, by VM.
        """
        names = {record.group for record in written.groups}
        for group in self._known.keys() - names:
            del self._known[group]
        for record in written.groups:
            if self._known.get(record.group, (0, {}))[0] != record.generation:
                self._known[record.group] = (record.generation, _read_incarnations(record, vms))

    def needs_new_generation(
        self, record: layout.GroupRecord, vms: Mapping[str, facts.VmFact]
    ) -> bool:
        """Return whether a member restarted since the group's generation was written.

        Also true if the incarnations of that generation are unknown, as after a change of holder.

        :param record: group.
        :param vms: facts by VM.
        """
        generation, known = self._known.get(record.group, (0, {}))
        if generation != record.generation:
            return True
        found = _read_incarnations(record, vms)
        return any(known.get(vm, incarnation) != incarnation for vm, incarnation in found.items())


@dataclasses.dataclass(slots=True)
class _Repair:
    """A group that is down, and its members that need a replacement."""

    record: layout.GroupRecord
    model: bundle.Model
    unusable: list[str]


class Repairer:
    """Repairs the groups of one failure domain.

    :param incarnations: incarnations of the members at the time of each generation.
    :param rollouts: tracker of the waves that changes of version belong to.
    """

    __slots__ = ("_incarnations", "_rollouts")

    def __init__(self, incarnations: IncarnationTracker, rollouts: rollout.RolloutTracker) -> None:
        self._incarnations = incarnations
        self._rollouts = rollouts

    def repair_groups(self, draft: drafts.Draft, drained: set[str]) -> set[str]:
        """Repair the groups that are down or drained, and dissolve groups to complete others.

        :param draft: layout to change.
        :param drained: names of the groups whose drain has ended.
        :return: names of the groups that remain without a replacement for some member.
        """
        down = self._find_repairs(draft, drained)
        down.sort(key=lambda item: _rank_repair(draft, item))
        incomplete = [item for item in down if not self._repair(draft, item)]
        while (donor := _find_donor(draft, incomplete)) is not None:
            incomplete.remove(donor)
            draft.dissolve_group(donor.record, "its members complete other groups")
            incomplete = [item for item in incomplete if not self._repair(draft, item)]
        return {item.record.group for item in incomplete}

    def _find_repairs(self, draft: drafts.Draft, drained: set[str]) -> list[_Repair]:
        found = []
        for record in draft.groups.values():
            model = draft.situation.find_model(record.model)
            is_down = record.group in drained or not draft.situation.is_up(record.group)
            if model is None or not is_down or draft.has_silent_member(record):
                continue
            found.append(_Repair(record, model, draft.find_unusable_members(record)))
        return found

    def _repair(self, draft: drafts.Draft, item: _Repair) -> bool:
        spares = draft.find_spares(item.record, item.model)
        if len(spares) < len(item.unusable):
            item.unusable = draft.find_lost_members(item.record)
            spares = draft.find_spares(item.record, item.model, include_stragglers=True)
        if len(spares) < len(item.unusable):
            return False
        record = _update_version(draft, item)
        substitutes = dict(zip(item.unusable, spares, strict=False))
        is_new_version = record is not item.record
        vms = draft.situation.vms
        is_changed = bool(substitutes) or is_new_version or item.record.draining
        if not is_changed and not self._incarnations.needs_new_generation(item.record, vms):
            return True
        changed = draft.replace_members(record, substitutes, _describe(substitutes, is_new_version))
        if is_new_version:
            self._rollouts.record_wave(changed)
        return True


def _find_donor(draft: drafts.Draft, incomplete: list[_Repair]) -> _Repair | None:
    """Return an incomplete group whose remaining members can complete another one."""
    by_usable = sorted(incomplete, key=lambda item: (-len(item.unusable), item.record.group))
    for donor in by_usable:
        freed = [vm for vm in donor.record.members if vm not in donor.unusable]
        for other in incomplete:
            if other is donor or not _can_donate(draft, donor, other):
                continue
            offered = len(freed) + len(draft.find_spares(other.record, other.model))
            pooled = offered + _count_poolable_vms(draft, incomplete, donor, other)
            if pooled >= len(other.unusable):
                return donor
    return None


def _count_poolable_vms(
    draft: drafts.Draft, incomplete: list[_Repair], donor: _Repair, recipient: _Repair
) -> int:
    """Count the usable members of the other incomplete groups that the recipient could take.

    Groups are dissolved one after another, so a recipient may need the members of several.
    """
    return sum(
        len(item.record.members) - len(item.unusable)
        for item in incomplete
        if item is not donor and item is not recipient and _can_donate(draft, item, recipient)
    )


def _can_donate(draft: drafts.Draft, donor: _Repair, recipient: _Repair) -> bool:
    usable = [vm for vm in donor.record.members if vm not in donor.unusable]
    facts_found = [draft.situation.vms[vm] for vm in usable]
    return bool(usable) and all(
        draft.may_serve(fact.entry, recipient.record) for fact in facts_found
    )


def _rank_repair(draft: drafts.Draft, item: _Repair) -> tuple[float, str]:
    """Rank by the weighted value of a whole group per VM that must load before it is whole."""
    policy = draft.situation.bundle.placement
    vms = draft.situation.vms
    found = [vms[vm] for vm in item.record.members if vm in vms]
    accelerators = sum(fact.entry.accelerators for fact in found)
    value = policy.group_downtime_weight + policy.stranded_accelerator_weight * accelerators
    cold = sum(1 for fact in found if not fact.is_warm(item.record))
    return (-value / (1 + cold + len(item.unusable)), item.record.group)


def _update_version(draft: drafts.Draft, item: _Repair) -> layout.GroupRecord:
    is_current = not rollout.is_outdated(item.record, item.model)
    if is_current or item.model.name in draft.stopped_rollouts:
        return item.record
    return msgspec.structs.replace(
        item.record, version=item.model.version, adapters=list(item.model.adapters)
    )


def _describe(substitutes: Mapping[str, str], is_new_version: bool) -> str:
    if substitutes:
        return ", ".join(f"{lost} replaced by {vm}" for lost, vm in substitutes.items())
    return "changes what it runs" if is_new_version else "its members join anew"


def _read_incarnations(
    record: layout.GroupRecord, vms: Mapping[str, facts.VmFact]
) -> dict[str, str]:
    found = {vm: vms[vm].report for vm in record.members if vm in vms}
    return {vm: report.incarnation for vm, report in found.items() if report is not None}
