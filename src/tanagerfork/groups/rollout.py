"""Rollout: chooses the groups to drain, in waves, and detects the end of each drain.

Every step compares each group with the bundle in force at that time, so a new bundle in the middle
of a rollout only changes the target of the next step: a group that is draining continues to the
newest version, one whose change was reverted accepts requests again, and one that is still loading
gets new orders.
"""

import dataclasses
import enum

import msgspec

from tanagerfork.generated import bundle, layout
from tanagerfork.groups import draft as drafts
from tanagerfork.timeline import kinds

DRAIN_GRACE_MS = 3000  # Time by which every daemon knows that a group is draining.


class DrainReason(enum.StrEnum):
    """Reason for a group to be drained."""

    EXCESS = "the bundle asks for fewer groups"
    LEAVING = "a member is leaving"
    STRAGGLER = "a member straggles"
    OUTDATED = "the bundle changes what it runs"


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutLimits:
    """Time limits of drains and waves, in milliseconds."""

    drain_ms: int = 120_000
    wave_ms: int = 600_000


class RolloutTracker:
    """Tracks the drains and waves of one failure domain, and their start times.

    :param limits: time limits of drains and waves.
    """

    __slots__ = ("_limits", "_draining_since_ms", "_wave_generations", "_down_since_ms")

    def __init__(self, limits: RolloutLimits) -> None:
        self._limits = limits
        self._draining_since_ms: dict[str, int] = {}
        self._wave_generations: dict[str, int] = {}
        self._down_since_ms: dict[tuple[str, int], int] = {}

    def update_drains(self, draft: drafts.Draft) -> None:
        """Start and cancel drains, and start waves within each model's `max_unavailable`.

        :param draft: layout to change.
        """
        if draft.situation.bundle_version > draft.situation.layout.bundle_version:
            draft.stopped_rollouts = []
        self._drop_stale_entries(draft)
        excess = find_excess_groups(draft)
        for record in list(draft.groups.values()):
            reason = find_drain_reason(draft, record, excess)
            if reason is None and record.draining:
                _set_draining(draft, record, False)
            if reason in (DrainReason.EXCESS, DrainReason.LEAVING):
                self._start_drain(draft, record, reason)
        for model in draft.situation.bundle.models:
            self._stop_failed_rollout(draft, model)
            self._start_wave(draft, model, excess)

    def find_drained_groups(self, draft: drafts.Draft) -> set[str]:
        """Return the draining groups that are down, run no requests or reached the time limit.

        :param draft: layout with updated drains.
        """
        situation = draft.situation
        marked = {record.group for record in situation.layout.groups if record.draining}
        for group in self._draining_since_ms.keys() - marked:
            del self._draining_since_ms[group]
        for group in marked:
            self._draining_since_ms.setdefault(group, situation.now_ms)
        return {
            record.group
            for record in draft.groups.values()
            if record.draining and self._is_drained(draft, record)
        }

    def record_wave(self, record: layout.GroupRecord) -> None:
        """Record that a group was changed to another version.

        :param record: group in its new generation.
        """
        self._wave_generations[record.group] = record.generation

    def _drop_stale_entries(self, draft: drafts.Draft) -> None:
        current = {record.group: record.generation for record in draft.groups.values()}
        waves = self._wave_generations.items()
        self._wave_generations = {
            group: wave for group, wave in waves if current.get(group) == wave
        }
        downs = self._down_since_ms.items()
        self._down_since_ms = {key: since_ms for key, since_ms in downs if key in current.items()}

    def _start_drain(
        self, draft: drafts.Draft, record: layout.GroupRecord, reason: DrainReason
    ) -> None:
        if not record.draining:
            _set_draining(draft, record, True)
            draft.add_event(kinds.EventKind.GROUP_DRAINING, record.group, reason.value)

    def _start_wave(self, draft: drafts.Draft, model: bundle.Model, excess: set[str]) -> None:
        records = [record for record in draft.groups.values() if record.model == model.name]
        unavailable = sum(1 for record in records if _is_unavailable(draft, record))
        for record in records:
            reason = find_drain_reason(draft, record, excess)
            is_up = draft.situation.is_up(record.group)
            if record.draining or not is_up or unavailable >= model.max_unavailable:
                continue
            if reason in (DrainReason.OUTDATED, DrainReason.STRAGGLER):
                unavailable += 1
                self._start_drain(draft, record, reason)
                if reason == DrainReason.OUTDATED:
                    detail = f"{record.version} to {model.version}"
                    draft.add_event(kinds.EventKind.ROLLOUT_WAVE, record.group, detail)

    def _stop_failed_rollout(self, draft: drafts.Draft, model: bundle.Model) -> None:
        records = [record for record in draft.groups.values() if record.model == model.name]
        is_under_way = any(is_outdated(record, model) for record in records)
        for record in records:
            is_loading = (
                (is_under_way or self._wave_generations.get(record.group) == record.generation)
                and not draft.situation.is_up(record.group)
                and not draft.find_lost_members(record)
            )
            key = (record.group, record.generation)
            if not is_loading or is_outdated(record, model):
                self._down_since_ms.pop(key, None)
                continue
            since_ms = self._down_since_ms.setdefault(key, draft.situation.now_ms)
            is_late = draft.situation.now_ms - since_ms >= self._limits.wave_ms
            if is_late and model.name not in draft.stopped_rollouts:
                draft.stopped_rollouts.append(model.name)
                detail = f"{model.name} {model.version} did not become whole; roll another bundle"
                draft.add_event(kinds.EventKind.ROLLOUT_STOPPED, record.group, detail)

    def _is_drained(self, draft: drafts.Draft, record: layout.GroupRecord) -> bool:
        situation = draft.situation
        if not situation.is_up(record.group):
            return True
        since_ms = self._draining_since_ms.get(record.group)
        if since_ms is None:
            return False
        if situation.now_ms - since_ms >= self._limits.drain_ms:
            return True
        view = situation.views[record.group]
        if view.report is None or view.report.running + view.report.waiting > 0:
            return False
        return situation.now_ms - view.report_age_ms >= since_ms + DRAIN_GRACE_MS


def find_drain_reason(
    draft: drafts.Draft, record: layout.GroupRecord, excess: set[str]
) -> DrainReason | None:
    """Return the reason to drain a group, None if there is none.

    :param draft: layout to change.
    :param record: group.
    :param excess: names of the groups that the bundle does not ask for.
    """
    model = draft.situation.find_model(record.model)
    if model is None or record.group in excess:
        return DrainReason.EXCESS
    found = [draft.situation.vms.get(vm) for vm in record.members]
    if any(fact is not None and fact.is_leaving for fact in found):
        return DrainReason.LEAVING
    if is_outdated(record, model) and model.name not in draft.stopped_rollouts:
        return DrainReason.OUTDATED
    is_slow = any(fact is not None and fact.is_straggling for fact in found)
    if is_slow and len(draft.find_unusable_members(record)) <= len(
        draft.find_spares(record, model)
    ):
        return DrainReason.STRAGGLER
    return None


def is_outdated(record: layout.GroupRecord, model: bundle.Model) -> bool:
    """Return whether a group differs from the bundle in version, adapters or size.

    :param record: group.
    :param model: its model in the bundle in force.
    """
    return (record.version, record.adapters, len(record.members)) != (
        model.version,
        model.adapters,
        model.members_per_group,
    )


def find_excess_groups(draft: drafts.Draft) -> set[str]:
    """Return the groups in excess of those that the bundle asks for or allows.

    :param draft: layout to change.
    """
    excess = set()
    for model in draft.situation.bundle.models:
        records = [record for record in draft.groups.values() if record.model == model.name]
        records.sort(key=lambda record: (not draft.situation.is_up(record.group), record.group))
        excess |= {
            record.group for record in records[sum(draft.situation.count_wanted_groups(model)) :]
        }
    return excess


def _is_unavailable(draft: drafts.Draft, record: layout.GroupRecord) -> bool:
    is_down = not draft.situation.is_up(record.group)
    return record.draining or (is_down and not draft.find_lost_members(record))


def _set_draining(draft: drafts.Draft, record: layout.GroupRecord, draining: bool) -> None:
    changed = msgspec.structs.replace(record, draining=draining)
    draft.groups[record.group] = changed
