"""Tests of coordination: each fault, its point in time, and what must be seen."""

import pytest

from tests.groups import scenes

SETTLED_MS = 8000


async def settle(**options) -> scenes.Scene:
    """Return a scene whose groups are whole."""
    options = {"domains": {"f1": 9, "f2": 9}, "groups": 4, "daemons": 2, **options}
    scene = scenes.Scene(**options)
    await scene.run(SETTLED_MS + 10_000)
    assert len(scene.whole()) == options["groups"]
    return scene


def find_in_domain(scene: scenes.Scene, domain: str) -> list:
    """Return the groups of a fabric domain."""
    return [record for record in scene.layout.groups if record.fabric_domain == domain]


class TestForming:
    async def test_groups_form_within_fabric_domains_and_reserves_belong_to_one_group(self):
        scene = await settle()
        seen = []
        for record in scene.layout.groups:
            vms = [*record.members, *record.reserves]
            assert {vm.split("-")[0] for vm in vms} == {record.fabric_domain}
            seen += vms
        assert len(seen) == len(set(seen)) == 18

    async def test_group_across_fabric_domains_only_if_the_bundle_allows_it(self):
        for is_allowed in (False, True):
            scene = scenes.Scene({"f1": 2, "f2": 2}, groups=1)
            scene.bundles.current.bundle.placement.across_fabric_domains = is_allowed
            await scene.run(10_000)
            assert len(scene.whole()) == is_allowed

    async def test_loads_stay_within_the_budget_and_reserves_load_ahead(self):
        scene = scenes.Scene({"f1": 9}, groups=2, load_ms=4000, loads_at_once=2)
        most = 0
        for _ in range(80):
            await scene.run(500)
            states = [model.report.state for model in scene.fleet.engines.values()]
            most = max(most, states.count("loading"))
        assert most == 2 and len(scene.whole()) == 2
        record = next(record for record in scene.layout.groups if record.reserves)
        assert scene.fleet.engines[record.reserves[0]].report.model == record.model

    async def test_nothing_is_written_or_ordered_at_rest(self):
        scene = await settle()
        writes, sent = len(scene.store.write_log), scene.kinds().count("order.sent")
        await scene.run(10_000)
        layouts = [item for item in scene.store.write_log[writes:] if "layout" in item.key]
        assert layouts == [] and scene.kinds().count("order.sent") == sent


class TestRepair:
    async def test_dead_member_is_replaced_by_the_own_reserve(self):
        scene = await settle()
        record = scene.layout.groups[0]
        scene.fleet.die(record.members[1])
        await scene.run(6000)
        repaired = next(item for item in scene.layout.groups if item.group == record.group)
        assert repaired.members[1] in record.reserves and len(scene.whole()) == 4

    @pytest.mark.parametrize("returns", ["empty", "as if nothing happened", "never"])
    async def test_dead_member_without_a_reserve(self, returns):
        scene = await settle(domains={"f1": 4, "f2": 4}, groups=2)
        victim = scene.layout.groups[0].members[2]
        scene.fleet.die(victim)
        await scene.run(20_000)
        assert len(scene.whole()) == 1
        if returns != "never":
            scene.fleet.come_back(victim, returns != "empty")
            await scene.run(8000)
        assert len(scene.whole()) == (1 if returns == "never" else 2)

    async def test_two_broken_groups_of_a_fabric_domain_become_one_whole_one(self):
        scene = await settle(domains={"f1": 8, "f2": 4}, groups=3)
        first, second = find_in_domain(scene, "f1")
        scene.fleet.die(first.members[0])
        scene.fleet.die(second.members[3])
        await scene.run(8000)
        assert len(scene.whole()) == 2
        assert len(find_in_domain(scene, "f1")) == 1
        assert "group.dissolved" in scene.kinds()

    async def test_dark_fabric_domain_gives_its_place_to_another_one(self):
        scene = await settle(domains={"f1": 4, "f2": 8}, groups=2)
        dark = [vm for vm in scene.fleet.engines if vm.startswith("f1")]
        for vm in dark:
            scene.fleet.die(vm)
        await scene.run(15_000)
        assert len(scene.whole()) == 2 and len(find_in_domain(scene, "f2")) == 2
        for vm in dark:
            scene.fleet.come_back(vm)
        await scene.run(5000)
        assert len(scene.whole()) == 2

    async def test_member_that_only_paused_for_a_moment_is_kept(self):
        scene = await settle()
        record = scene.layout.groups[0]
        scene.fleet.engines[record.members[1]].is_paused = True
        await scene.run(1000)
        scene.fleet.engines[record.members[1]].is_paused = False
        await scene.run(3000)
        assert scene.layout.groups[0].members == record.members and len(scene.whole()) == 4

    async def test_same_fault_twice(self):
        scene = await settle(domains={"f1": 10}, groups=2)
        for _ in range(2):
            scene.fleet.die(scene.layout.groups[0].members[0])
            await scene.run(8000)
            assert len(scene.whole()) == 2

    async def test_straggler_is_replaced_after_evidence(self):
        scene = await settle()
        record = scene.layout.groups[0]
        slow = record.members[3]
        scene.fleet.engines[slow].slowdown = 4.0
        await scene.run(1500)
        assert scene.layout.groups[0].members == record.members
        await scene.run(15_000)
        assert slow not in scene.layout.groups[0].members and len(scene.whole()) == 4
        assert "group.draining" in scene.kinds()

    async def test_straggler_stays_where_nothing_can_replace_it(self):
        scene = await settle(domains={"f1": 4, "f2": 4}, groups=2)
        scene.fleet.engines["f1-vm0"].slowdown = 4.0
        await scene.run(15_000)
        assert len(scene.whole()) == 2


class TestLeaving:
    async def test_leaving_member_is_replaced_after_what_runs_has_ended(self):
        scene = await settle()
        record = scene.layout.groups[0]
        leader = scene.fleet.engines[record.members[0]]
        leaving = scene.fleet.engines[record.members[2]]
        leader.report.running = 1
        leaving.entry.leaving = True
        await scene.run(1000)
        assert len(scene.whole()) == 3
        await scene.run(30_000)
        assert scene.layout.groups[0].draining
        assert scene.layout.groups[0].members == record.members  # Nothing in flight is cut off.
        leader.report.running = 0
        await scene.run(6000)
        assert leaving.entry.vm not in scene.layout.groups[0].members and len(scene.whole()) == 4

    async def test_drain_ends_at_its_limit(self):
        scene = await settle()
        record = scene.layout.groups[0]
        scene.fleet.engines[record.members[0]].report.running = 1
        scene.fleet.engines[record.members[2]].entry.leaving = True
        await scene.run(130_000)
        assert len(scene.whole()) == 4

    async def test_vm_that_left_the_list_but_reports_is_replaced_gracefully(self):
        scene = await settle()
        gone = scene.layout.groups[0].members[2]
        scene.fleet.unlisted.add(gone)
        await scene.run(5000)
        assert len(scene.whole()) == 4  # The list lags; the VM reports itself.
        await scene.run(20_000)
        assert len(scene.whole()) == 4 and gone not in scene.layout.groups[0].members
        assert "group.broken" not in scene.kinds()


class TestHolderFaults:
    """Two daemons; the first one holds the lease at the start."""

    @pytest.mark.parametrize("checks_fencing", [True, False])
    @pytest.mark.parametrize("late_ms", [500, 7000, 20_000])
    async def test_paused_holder_sends_its_order_late(self, checks_fencing, late_ms):
        scene = await settle(domains={"f1": 10, "f2": 9}, checks_fencing=checks_fencing)
        record = scene.layout.groups[0]
        scene.fleet.die(record.members[1])
        await scene.run(1500)
        scene.fleet.holds_orders = True
        await scene.run(1500)  # Its orders stay on their way, and the holder pauses.
        scene.fleet.holds_orders = False
        assert scene.fleet.held
        scene.paused.add(0)
        await scene.run(6000)
        for vm in scene.layout.groups[0].members[:1]:
            scene.fleet.die(vm)  # The second daemon has to change the group again.
        await scene.run(late_ms)
        scene.fleet.deliver_held()
        await scene.run(10_000)
        assert len(scene.whole(1)) == 4
        scene.paused.clear()
        await scene.run(10_000)
        assert len(scene.whole(0)) == len(scene.whole(1)) == 4
        assert scene.daemons[1].keeper.state.fencing > scene.daemons[0].keeper.state.fencing

    @pytest.mark.parametrize(
        "fault", ["stop", "pause", "lost answers", "lease deleted", "layout deleted", "restored"]
    )
    @pytest.mark.parametrize("with_dead_member", [False, True])
    async def test_groups_stay_or_become_whole(self, fault, with_dead_member):
        scene = await settle()
        entries = dict(scene.store.entries)
        before = {record.group: record.generation for record in scene.layout.groups}
        if with_dead_member:
            scene.fleet.die(scene.layout.groups[1].members[1])
        if fault == "stop":
            await scene.daemons[0].coordinator.stop()
            scene.paused.add(0)
        elif fault == "pause":
            scene.paused.add(0)
        elif fault == "lost answers":
            scene.store.lost_answers = 5
        elif fault == "lease deleted":
            del scene.store.entries["lease/ipoh-a"]
        elif fault == "layout deleted":
            del scene.store.entries["layout/ipoh-a"]
        await scene.run(4000)
        if fault == "restored":
            scene.store.entries = entries
        await scene.run(15_000)
        assert len(scene.whole(1)) == 4
        layout = scene.daemons[1].groups.layout
        assert all(record.generation >= before[record.group] for record in layout.groups)
        holders = [
            daemon
            for daemon in scene.daemons[len(scene.paused) :]
            if daemon.keeper.state.may_act(scene.clock.monotonic_ms(), 0)
        ]
        assert len(holders) == 1

    async def test_new_holder_changes_nothing_that_is_whole(self):
        scene = await settle()
        before = scene.layout.groups
        scene.paused.add(0)
        await scene.run(15_000)
        assert scene.daemons[1].groups.layout.groups == before
        assert scene.daemons[1].groups.layout.fencing == 2

    async def test_holder_that_was_paused_takes_nobody_for_lost(self):
        scene = await settle(daemons=1)
        before = scene.layout.groups
        scene.paused.add(0)
        await scene.run(3600_000)
        scene.paused.clear()
        await scene.run(10_000)
        assert scene.layout.groups == before and len(scene.whole()) == 4

    async def test_holder_that_reaches_no_vm_leaves_the_lease_to_another(self):
        scene = await settle()
        blind = scene.daemons[0]
        blind.observe = lambda: blind.groups.take_vms(scene.fleet.list_vms(), 0)
        scene.fleet.die(scene.layout.groups[0].members[1])
        await scene.run(20_000)
        assert len(scene.whole(1)) == 4 and scene.daemons[1].keeper.state.fencing == 2


class TestIsolation:
    async def test_member_that_the_others_cannot_reach_is_replaced(self):
        scene = await settle()
        record = scene.layout.groups[0]
        isolated = record.members[1]
        is_connected = scene.fleet._is_connected

        def cut(vm, report):
            return vm == report.vm or (is_connected(vm, report) and isolated not in (vm, report.vm))

        scene.fleet._is_connected = cut
        await scene.run(3000)
        assert len(scene.whole()) == 3
        await scene.run(20_000)
        assert len(scene.whole()) == 4 and isolated not in scene.layout.groups[0].members


class TestStuckLoad:
    async def test_member_whose_load_never_ends_is_replaced(self):
        scene = await settle()
        record = scene.layout.groups[0]
        stuck = record.members[1]
        scene.fleet.die(stuck)
        scene.fleet.die(record.reserves[0])
        await scene.run(6000)
        scene.fleet.load_ms = 10**12
        scene.fleet.come_back(stuck)
        await scene.run(2000)
        assert scene.fleet.engines[stuck].report.state == "loading"
        scene.fleet.load_ms = 1000
        scene.fleet.come_back(record.reserves[0])
        await scene.run(580_000)
        assert len(scene.whole()) == 3
        await scene.run(40_000)
        assert len(scene.whole()) == 4 and stuck not in scene.layout.groups[0].members


def bring_about(scene: scenes.Scene, record, fault: str) -> None:
    """Bring one fault about in a group or at its coordinator."""
    engines = scene.fleet.engines
    actions = {
        "death": lambda: scene.fleet.die(record.members[1]),
        "pause as if nothing happened": lambda: scene.fleet.die(record.members[1]),
        "death in the same group": lambda: scene.fleet.die(record.members[3]),
        "death of the substitute": lambda: scene.fleet.die(record.reserves[0]),
        "leaving": lambda: setattr(engines[record.members[2]].entry, "leaving", True),
        "straggler": lambda: setattr(engines[record.members[2]], "slowdown", 4.0),
        "holder lost": lambda: scene.paused.add(0),
        "lost answers": lambda: setattr(scene.store, "lost_answers", 3),
    }
    actions[fault]()


class TestTwoFaultsAtOnce:
    @pytest.mark.parametrize(
        "faults",
        [
            ("death", "death in the same group"),
            ("death", "holder lost"),
            ("death", "lost answers"),
            ("leaving", "death in the same group"),
            ("leaving", "holder lost"),
            ("straggler", "death in the same group"),
            ("holder lost", "lost answers"),
            ("death", "death of the substitute"),
            ("pause as if nothing happened", "death in the same group"),
        ],
    )
    async def test_all_groups_are_whole_again(self, faults):
        scene = await settle(domains={"f1": 11, "f2": 11})
        record = scene.layout.groups[0]
        for fault in faults:
            bring_about(scene, record, fault)
        await scene.run(3000)
        if "pause as if nothing happened" in faults:
            scene.fleet.come_back(record.members[1], as_if_nothing_happened=True)
        await scene.run(30_000)
        assert len(scene.whole(1)) == 4
