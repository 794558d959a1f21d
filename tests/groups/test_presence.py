"""Tests of the evaluation of groups by the reports of their members."""

import msgspec
import pytest

from tanagerfork.generated import engine, layout
from tanagerfork.groups import directory, presence

TTL_MS = 2000
MEMBERS = ["a", "b", "c", "d"]
RECORD = layout.GroupRecord(
    group="g", model="m", version="1", generation=5000, members=MEMBERS, reserves=["r", "s"]
)
LAYOUT = layout.Layout(failure_domain="ipoh-a", serial=5, fencing=1, groups=[RECORD])


def make_report(vm: str, sequence: int = 1, **changes) -> engine.EngineReport:
    report = engine.EngineReport(
        vm=vm,
        incarnation=f"{vm}-1",
        sequence=sequence,
        group="g",
        generation=5000,
        members=list(MEMBERS),
        model="m",
        version="1",
        state="ready",
    )
    return msgspec.structs.replace(report, **changes)


def make_directory(now_ms: int = 0) -> directory.GroupDirectory:
    known = directory.GroupDirectory(presence.Presence(TTL_MS))
    known.apply_layout(LAYOUT)
    receive_all(known, now_ms, 1)
    return known


def receive_all(known, now_ms, sequence, vms=MEMBERS, **changes):
    for vm in vms:
        known.presence.add_report(make_report(vm, sequence, **changes), now_ms)


def is_whole(known: directory.GroupDirectory, now_ms: int) -> bool:
    return len(known.whole_groups("m", now_ms)) == 1


class TestWhole:
    def test_group_is_whole_until_its_reports_expire(self):
        known = make_directory()
        assert is_whole(known, TTL_MS) and not is_whole(known, TTL_MS + 1)

    @pytest.mark.parametrize(
        "changes",
        [
            {"group": "h"},
            {"generation": 4000},
            {"generation": 6000},
            {"members": ["a", "b", "c"]},
            {"members": ["b", "a", "c", "d"]},
            {"members": []},
            {"state": "loading"},
            {"state": "idle"},
            {"version": "2"},
            {"adapters": ["x"]},
            {"model": "n"},
        ],
    )
    @pytest.mark.parametrize("vm", ["a", "d"])
    def test_one_differing_report_breaks_the_group(self, vm, changes):
        known = make_directory()
        known.presence.add_report(make_report(vm, 2, **changes), 10)
        assert not is_whole(known, 10)

    def test_group_with_a_member_that_never_reported_is_forming(self):
        known = directory.GroupDirectory(presence.Presence(TTL_MS))
        known.apply_layout(LAYOUT)
        receive_all(known, 0, 1, vms=MEMBERS[:3])
        assert not is_whole(known, 0)
        assert known.views(0)[0].state == presence.GroupState.FORMING
        assert known.views(0)[0].missing == ("d",)


class TestStaleReports:
    @pytest.mark.parametrize(
        ("told", "is_taken"),
        [
            (make_report("d", 1, state="loading"), False),  # Overtaken by a later report.
            (make_report("d", 2, state="loading"), False),  # Repeated.
            (make_report("d", 3, state="loading"), True),
            (make_report("d", 9, incarnation="d-0", state="loading"), False),  # Requested earlier.
        ],
    )
    def test_overtaken_and_repeated_reports_are_dropped(self, told, is_taken):
        known = make_directory()
        receive_all(known, 100, 2)
        known.presence.add_report(told, 50 if told.incarnation == "d-0" else 200)
        assert is_whole(known, 200) != is_taken

    def test_repeated_report_does_not_extend_its_validity(self):
        known = make_directory()
        receive_all(known, TTL_MS, 2, vms=MEMBERS[:3])
        known.presence.add_report(make_report("d", 1), TTL_MS)
        assert not is_whole(known, TTL_MS + 1)

    def test_earlier_incarnation_does_not_replace_a_later_one(self):
        known = make_directory()
        known.presence.add_report(make_report("d", 1, incarnation="d-2", state="idle"), 100)
        known.presence.add_report(make_report("d", 7), 150)  # A peer relays a late, earlier report.
        assert known.presence.find_report("d", 150).report.incarnation == "d-2"

    def test_retired_incarnation_is_accepted_again_after_a_ttl(self):
        known = make_directory()
        known.presence.add_report(make_report("d", 1, incarnation="d-2"), 100)
        known.presence.add_report(make_report("d", 8), 101 + TTL_MS)
        assert known.presence.find_report("d", 101 + TTL_MS).report.incarnation == "d-1"

    def test_other_incarnation_in_the_same_generation_never_counts(self):
        known = make_directory()
        assert is_whole(known, 0)
        for now_ms in range(500, 5000, 500):
            receive_all(known, now_ms, 1 + now_ms, vms=MEMBERS[:3])
            known.presence.add_report(make_report("d", now_ms, incarnation="d-2"), now_ms)
            assert not is_whole(known, now_ms)

    def test_other_incarnation_counts_in_a_new_generation(self):
        known = make_directory()
        assert is_whole(known, 0)
        record = msgspec.structs.replace(RECORD, generation=6000)
        known.apply_layout(msgspec.structs.replace(LAYOUT, serial=6, groups=[record]))
        assert not is_whole(known, 10)
        receive_all(known, 20, 9, vms=MEMBERS[:3], generation=6000)
        known.presence.add_report(make_report("d", 1, incarnation="d-2", generation=6000), 20)
        assert is_whole(known, 20)

    def test_broken_group_needs_new_reports_of_all_members(self):
        known = make_directory()
        assert is_whole(known, 0)
        known.presence.add_report(make_report("a", 2, members=["a", "b", "c"]), 500)  # a lost d.
        assert not is_whole(known, 500)
        receive_all(known, 900, 3, vms=["a", "d"])  # d returned with the same incarnation.
        assert not is_whole(known, 900)  # b and c have not reported since.
        receive_all(known, 950, 4, vms=["b", "c"])
        assert is_whole(known, 950)

    def test_paused_member_breaks_the_group_until_all_report_again(self):
        known = make_directory()
        receive_all(known, 2000, 2, vms=MEMBERS[:3])
        assert is_whole(known, 2000) and not is_whole(known, 2001)
        known.presence.add_report(make_report("d", 2), 2100)
        assert not is_whole(known, 2100)
        receive_all(known, 2200, 3)
        assert is_whole(known, 2200)


class TestLifecycle:
    def test_listener_is_notified_of_each_state(self):
        notified = []
        known = directory.GroupDirectory(presence.Presence(TTL_MS))
        known.subscribe(lambda view, before: notified.append((before, view.state)))
        known.apply_layout(LAYOUT)
        known.views(0)
        receive_all(known, 10, 1)
        known.views(10)
        known.views(3000)
        receive_all(known, 3100, 2)
        known.views(3100)
        draining = msgspec.structs.replace(RECORD, draining=True)
        known.apply_layout(msgspec.structs.replace(LAYOUT, serial=6, groups=[draining]))
        known.views(3200)
        formed = msgspec.structs.replace(RECORD, generation=7000)
        known.apply_layout(msgspec.structs.replace(LAYOUT, serial=7, groups=[formed]))
        known.views(3300)
        known.apply_layout(msgspec.structs.replace(LAYOUT, serial=8, groups=[]))
        known.views(3400)
        states = ["forming", "whole", "broken", "whole", "draining", "forming", "dissolved"]
        assert [state for _, state in notified] == states
        assert [before for before, _ in notified] == [None, *states[:-1]]

    def test_leaving_member_drains_the_group(self):
        for by_list in (True, False):
            known = make_directory()
            if by_list:
                known.update_vms([make_entry("d", leaving=True)])
            else:
                known.presence.add_report(make_report("d", 2, state="leaving"), 10)
            assert known.views(10)[0].state == presence.GroupState.DRAINING
            assert not is_whole(known, 10)


def make_entry(vm: str, leaving: bool = False) -> engine.VmEntry:
    return engine.VmEntry(
        vm=vm, url="", failure_domain="ipoh-a", fabric_domain="f", leaving=leaving
    )


class TestList:
    def test_unlisted_vm_that_reports_is_kept_and_later_leaving(self):
        known = make_directory()
        known.update_vms([make_entry(vm) for vm in MEMBERS], 0)
        for now_ms in range(1000, directory.UNLISTED_GRACE_MS + 1000, 1000):
            receive_all(known, now_ms, now_ms)
            known.update_vms([make_entry(vm) for vm in MEMBERS[:3]], now_ms)
            assert is_whole(known, now_ms)
        receive_all(known, 12_000, 12_000)
        known.update_vms([make_entry(vm) for vm in MEMBERS[:3]], 12_000)
        assert not is_whole(known, 12_000) and known.is_leaving("d", 12_000)

    def test_unlisted_vm_that_is_silent_is_removed(self):
        known = make_directory()
        known.update_vms([make_entry(vm) for vm in MEMBERS], 0)
        known.update_vms([make_entry(vm) for vm in MEMBERS[:3]], TTL_MS + 1)
        assert known.find_vm("d") is None

    def test_list_that_lacks_most_vms_is_not_trusted(self):
        known = make_directory()
        known.update_vms([make_entry(vm) for vm in MEMBERS], 0)
        for now_ms in range(1000, 60_000, 1000):
            receive_all(known, now_ms, now_ms)
            known.update_vms([], now_ms)
            assert is_whole(known, now_ms)


class TestLayouts:
    @pytest.mark.parametrize(
        ("fencing", "serial", "is_taken"),
        [(1, 4, False), (0, 9, False), (2, 1, True), (1, 6, True)],
    )
    def test_older_layout_is_ignored(self, fencing, serial, is_taken):
        known = make_directory()
        other = msgspec.structs.replace(LAYOUT, fencing=fencing, serial=serial, groups=[])
        assert known.apply_layout(other) == is_taken
        assert bool(known.layout.groups) != is_taken


class TestSubstitutedRosters:
    @pytest.mark.parametrize(
        ("roster", "generation", "counts"),
        [
            (["a", "b", "c", "r"], 5001, True),
            (["a", "r", "c", "s"], 5001, True),  # Half of the members, including the first.
            (["r", "b", "c", "s"], 5002, False),  # Half of the members, without the first.
            (["r", "s", "c", "d"], 5001, False),
            (["a", "b", "c", "x"], 5001, False),  # x is not a reserve of the group.
            (["a", "b", "c", "c"], 5001, False),
            (["a", "b", "c"], 5001, False),
            (["a", "b", "c", "r"], 6000, False),  # A generation that only the coordinator assigns.
            (["a", "b", "c", "r"], 4999, False),
            (["a", "b", "c", "d"], 5001, True),  # A member that returned is taken back.
        ],
    )
    def test_only_valid_rosters_are_whole(self, roster, generation, counts):
        known = make_directory()
        known.apply_layout(LAYOUT)
        receive_all(known, 10, 2, vms=set(roster), members=roster, generation=generation)
        found = known.whole_groups("m", 10 + TTL_MS - 1)
        assert bool(found) == counts
        if counts:
            assert found[0].record.members == roster and found[0].leader == roster[0]
