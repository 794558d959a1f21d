"""Placement policy: plans the layout from the bundle, the reports and the platform's VM list."""

import dataclasses
from typing import Protocol

import msgspec

from tanagerfork.generated import layout
from tanagerfork.groups import draft as drafts
from tanagerfork.groups import facts, repair, reserves, rollout
from tanagerfork.timeline import kinds


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """A layout to write, and the events that describe its changes."""

    layout: layout.Layout
    events: list[facts.LayoutEvent]


class LayoutPolicy(Protocol):
    """Interface of a placement policy."""

    def plan(self, situation: facts.Situation, token: str) -> Plan | None:
        """Plan the next layout.

        :param situation: state that the plan is based on.
        :param token: unique token of the write.
        :return: the layout to write, None if the current one needs no change.
        """

    def on_layout_written(self, written: layout.Layout, situation: facts.Situation) -> None:
        """Update the state of the policy after a planned layout was written.

        :param written: layout that was written.
        :param situation: state that it is based on.
        """


class Planner:
    """Default placement policy of one failure domain.

    :param limits: time limits of drains and waves.
    """

    __slots__ = ("_rollout", "_incarnations", "_repairer")

    def __init__(self, limits: rollout.RolloutLimits) -> None:
        self._rollout = rollout.RolloutTracker(limits)
        self._incarnations = repair.IncarnationTracker()
        self._repairer = repair.Repairer(self._incarnations, self._rollout)

    def plan(self, situation: facts.Situation, token: str) -> Plan | None:
        """Plan the next layout; see `LayoutPolicy.plan`."""
        if situation.bundle_version < situation.layout.bundle_version:
            return None
        draft = drafts.Draft(situation)
        adopt_substitutions(draft)
        reserves.release_unusable(draft)
        self._rollout.update_drains(draft)
        drained = self._rollout.find_drained_groups(draft)
        _dissolve_drained(draft, drained)
        incomplete = self._repairer.repair_groups(draft, drained)
        reserves.form_groups(draft, incomplete)
        reserves.distribute_reserves(draft)
        if not draft.has_changed():
            return None
        return Plan(draft.build(token), draft.events)

    def on_layout_written(self, written: layout.Layout, situation: facts.Situation) -> None:
        """Record the incarnations of new generations; see `LayoutPolicy.on_layout_written`."""
        self._incarnations.on_layout_written(written, situation.vms)


def adopt_substitutions(draft: drafts.Draft) -> None:
    """Adopt the substituted rosters that became whole while the key-value service was unavailable.

    :param draft: layout to change.
    """
    for record in list(draft.groups.values()):
        view = draft.situation.views.get(record.group)
        if view is None or not draft.situation.is_up(record.group):
            continue
        if view.record.generation == record.generation:
            continue
        replaced = [vm for vm in record.members if vm not in view.record.members]
        draft.release_vms(replaced)
        draft.groups[record.group] = msgspec.structs.replace(
            record,
            generation=view.record.generation,
            members=list(view.record.members),
            reserves=[vm for vm in record.reserves if vm not in view.record.members],
        )
        detail = f"its substitution of {', '.join(replaced) or 'no member'} is adopted"
        draft.add_event(kinds.EventKind.GROUP_REPAIRED, record.group, detail)


def _dissolve_drained(draft: drafts.Draft, drained: set[str]) -> None:
    excess = rollout.find_excess_groups(draft)
    for record in list(draft.groups.values()):
        if record.group not in drained:
            continue
        model = draft.situation.find_model(record.model)
        if model is None or record.group in excess:
            draft.dissolve_group(record, rollout.DrainReason.EXCESS.value)
        elif len(record.members) != model.members_per_group:
            draft.dissolve_group(record, rollout.DrainReason.OUTDATED.value)
        else:
            continue
        drained.discard(record.group)
