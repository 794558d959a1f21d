"""Exhaustive test: of all pairs of valid rosters of a group, at most one can be whole.

Two daemons may order different rosters during an outage, and each VM ends up in either of them.
"""

import itertools

import msgspec
import pytest

from tanagerfork.generated import engine, layout
from tanagerfork.groups import presence, substitution

RECORD = layout.GroupRecord(
    group="g", model="m", version="1", generation=5000, members=["a", "b"], reserves=["r", "s", "t"]
)
LARGEST = msgspec.structs.replace(RECORD, members=["a", "b", "c", "d"], reserves=["r", "s", "t"])
LARGER = msgspec.structs.replace(RECORD, members=["a", "b", "c"], reserves=["r", "s", "t"])


class InvariantViolation(AssertionError):
    """A group is whole in two rosters at once."""


def list_rosters(record: layout.GroupRecord) -> list[layout.GroupRecord]:
    """Return the layout's roster and all valid substitutions of it."""
    generation = record.generation + 1
    options = [[vm, *record.reserves] for vm in record.members]
    rosters = [
        substitution.with_roster(record, generation, roster)
        for roster in itertools.product(*options)
        if substitution.is_valid_substitution(record, generation, roster)
    ]
    return [record, *rosters]


def evaluate(
    record: layout.GroupRecord, places: dict[str, layout.GroupRecord]
) -> set[tuple[str, ...]]:
    """Return the rosters that are whole if each VM reports the given roster."""
    known = presence.Presence(2000)
    for vm, place in places.items():
        report = engine.EngineReport(
            vm=vm,
            incarnation=vm,
            sequence=1,
            group=place.group,
            generation=place.generation,
            members=list(place.members),
            model="m",
            version="1",
            state="ready",
        )
        known.add_report(report, 0)
    reports = known.find_group_reports(record, 0)
    found = [record, *substitution.find_reported_rosters(record, reports)]
    views = [
        known.evaluate(msgspec.structs.replace(item, reserves=[]), 0)
        for item in found
        if item is record
        or substitution.is_valid_substitution(record, item.generation, item.members)
    ]
    return {tuple(view.record.members) for view in views if view.state == presence.GroupState.WHOLE}


def explore(record: layout.GroupRecord) -> int:
    """Check every pair of rosters with each VM in either of them; return the number of cases."""
    cases = 0
    for first, second in itertools.combinations(list_rosters(record), 2):
        vms = sorted({*first.members, *second.members})
        options = [[item for item in (first, second) if vm in item.members] for vm in vms]
        for places in itertools.product(*options):
            cases += 1
            if len(evaluate(record, dict(zip(vms, places, strict=True)))) > 1:
                raise InvariantViolation(f"{first.members} and {second.members}")
    return cases


class TestTwoSubstitutions:
    @pytest.mark.parametrize(("record", "cases"), [(RECORD, 22), (LARGER, 188), (LARGEST, 2824)])
    def test_no_group_is_whole_in_two_rosters(self, record, cases):
        assert explore(record) == cases

    def test_violation_is_found_without_the_quorum_rule(self, monkeypatch):
        monkeypatch.setattr(substitution, "keeps_quorum", lambda record, roster: True)
        with pytest.raises(InvariantViolation):
            explore(RECORD)

    def test_group_of_one_vm_is_never_substituted(self):
        record = msgspec.structs.replace(RECORD, members=["a"])
        assert {tuple(item.members) for item in list_rosters(record)} == {("a",)}
