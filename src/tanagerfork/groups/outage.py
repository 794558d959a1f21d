"""Repair while the key-value service is unavailable, by the rules that `substitution` explains."""

import dataclasses
from collections.abc import Iterator, Mapping

from tanagerfork.generated import bundle, engine, layout
from tanagerfork.groups import facts, orders, presence, substitution

TAKEOVER_AFTER_MS = 30_000  # Time for another daemon to complete a substitution that it started.


@dataclasses.dataclass(slots=True)
class OutageSituation:
    """State of a failure domain that substitutions are based on."""

    now_ms: int
    layout: layout.Layout
    policy: bundle.PlacementPolicy
    vms: Mapping[str, facts.VmFact]
    views: Mapping[str, presence.GroupView]


class Substituter:
    """Chooses substitutions, and keeps each one until it is whole or no longer possible."""

    __slots__ = ("_chosen", "_first_seen_ms")

    def __init__(self) -> None:
        self._chosen: dict[str, layout.GroupRecord] = {}
        self._first_seen_ms: dict[tuple[str, int], int] = {}

    def reset(self) -> None:
        """Discard all state at the start or end of an outage."""
        self._chosen.clear()
        self._first_seen_ms.clear()

    def choose_orders(self, situation: OutageSituation) -> list[orders.VmOrder]:
        """Return the join orders of all substitutions to make.

        :param situation: state that the substitutions are based on.
        :return: orders, within the load budget of the weight store.
        """
        chosen = []
        for record in situation.layout.groups:
            roster = self._choose(situation, record)
            if roster is not None:
                chosen.append(roster)
        frozen = situation.layout
        rosters = layout.Layout(
            failure_domain=frozen.failure_domain,
            serial=frozen.serial,
            fencing=frozen.fencing,
            groups=chosen,
        )
        found = orders.choose_orders(rosters, situation.vms, situation.policy)
        return [item for item in found if item.order.kind == "join"]

    def _choose(
        self, situation: OutageSituation, record: layout.GroupRecord
    ) -> layout.GroupRecord | None:
        own = [situation.vms[vm] for vm in _list_vms(record) if vm in situation.vms]
        if not _may_substitute(situation, record, own):
            self._chosen.pop(record.group, None)
            return None
        present = {fact.entry.vm for fact in own if fact.is_usable}
        latest = _find_latest_generation(record, own)
        kept = self._chosen.get(record.group)
        if kept is not None and kept.generation >= latest and present.issuperset(kept.members):
            return kept
        if latest > record.generation and not self._is_stuck(record, latest, situation.now_ms):
            return None
        roster = substitution.choose_roster(record, present)
        if roster is None or latest + 1 >= substitution.find_next_generation(record):
            return None
        self._chosen[record.group] = substitution.with_roster(record, latest + 1, roster)
        return self._chosen[record.group]

    def _is_stuck(self, record: layout.GroupRecord, generation: int, now_ms: int) -> bool:
        since_ms = self._first_seen_ms.setdefault((record.group, generation), now_ms)
        return now_ms - since_ms >= TAKEOVER_AFTER_MS


def _list_vms(record: layout.GroupRecord) -> Iterator[str]:
    yield from record.members
    yield from record.reserves


def _may_substitute(
    situation: OutageSituation, record: layout.GroupRecord, own: list[facts.VmFact]
) -> bool:
    """Return whether a group is down and can be substituted.

    That is not so if it drains, if a member may still report again, if all members already accepted
    their orders, or if a report carries a higher fencing number than the frozen layout.
    """
    view = situation.views.get(record.group)
    if view is None or record.draining:
        return False
    if view.state in (presence.GroupState.WHOLE, presence.GroupState.DRAINING):
        return False
    reports = [fact.report for fact in own if fact.report is not None]
    if any(report.fencing > situation.layout.fencing for report in reports):
        return False
    members = [situation.vms.get(vm) for vm in record.members]
    if any(fact is not None and fact.report is None and not fact.is_lost for fact in members):
        return False
    return not all(fact is not None and _has_accepted_join(fact, record) for fact in members)


def _has_accepted_join(fact: facts.VmFact, record: layout.GroupRecord) -> bool:
    return fact.report is not None and orders.has_accepted_join(fact.report, record)


def _find_latest_generation(record: layout.GroupRecord, own: list[facts.VmFact]) -> int:
    reports: list[engine.EngineReport] = [fact.report for fact in own if fact.report is not None]
    generations = [report.generation for report in reports if report.group == record.group]
    in_reach = [
        generation
        for generation in generations
        if record.generation < generation < substitution.find_next_generation(record)
    ]
    return max(in_reach, default=record.generation)
