"""Simple baseline policies for comparison with the placement policy."""

from tanagerfork.generated import layout
from tanagerfork.groups import draft as drafts
from tanagerfork.groups import facts, placement


class _Baseline:
    """Base class of the baselines, with the interface of `placement.Planner`."""

    def plan(self, situation: facts.Situation, token: str) -> placement.Plan | None:
        """Decide on the next layout; see `placement.Planner.plan`."""
        draft = drafts.Draft(situation)
        if not draft.groups:
            form_in_order(draft)
        self.change(draft)
        return placement.Plan(draft.build(token), draft.events) if draft.has_changed() else None

    def change(self, draft: drafts.Draft) -> None:
        """Apply the policy to a draft of the next layout."""
        raise NotImplementedError

    def on_layout_written(self, written: layout.Layout, situation: facts.Situation) -> None:
        """Do nothing when a layout is written."""


class WaitForReturn(_Baseline):
    """Keeps no reserves; repairs a group only when its failed member returns."""

    def __init__(self) -> None:
        self._incarnations: dict[str, tuple[str, ...]] = {}

    def change(self, draft: drafts.Draft) -> None:
        """Start a new generation of each group whose restarted members are back."""
        for record in list(draft.groups.values()):
            found = [draft.situation.vms.get(vm) for vm in record.members]
            if any(fact is None or fact.report is None for fact in found):
                continue
            incarnations = tuple(fact.report.incarnation for fact in found)
            known = self._incarnations.setdefault(record.group, incarnations)
            if incarnations != known:
                self._incarnations[record.group] = incarnations
                draft.replace_members(record, {}, "its members join anew")


class ReformAtEveryFailure(_Baseline):
    """Keeps no reserves; re-forms all groups, in the order of names, on each failure or return."""

    def __init__(self) -> None:
        self._present: set[tuple[str, str]] = set()

    def change(self, draft: drafts.Draft) -> None:
        """Re-form all groups if the set of available VMs changed."""
        vms = draft.situation.vms
        present = {(vm, fact.report.incarnation) for vm, fact in vms.items() if fact.is_usable}
        if any(fact.report is None and not fact.is_lost for fact in vms.values()):
            return
        if self._present and present != self._present:
            for record in list(draft.groups.values()):
                draft.dissolve_group(record, "a failure")
            form_in_order(draft)
        self._present = present


def form_in_order(draft: drafts.Draft) -> None:
    """Form the wanted number of groups, in the order of fabric domains and VM names."""
    for model in draft.situation.bundle.models:
        missing = sum(draft.situation.count_wanted_groups(model))
        free = draft.find_free_vms()
        for domain in sorted({fact.entry.fabric_domain for fact in draft.situation.vms.values()}):
            here = sorted(
                vm for vm in free if draft.situation.vms[vm].entry.fabric_domain == domain
            )
            size = model.members_per_group
            while missing and len(here) >= size:
                draft.form_group(model, domain, here[:size])
                here, missing = here[size:], missing - 1
