"""Tests of the coordinator: single faults and pairs of faults, and the state that must follow."""

import pytest

from tests.groups import clusters

SETTLED_MS = 8000


async def start_cluster(**options) -> clusters.Cluster:
    """Return a cluster whose groups are whole."""
    options = {"domains": {"f1": 9, "f2": 9}, "groups": 4, "daemons": 2, **options}
    cluster = clusters.Cluster(**options)
    await cluster.run(SETTLED_MS + 10_000)
    assert len(cluster.whole()) == options["groups"]
    return cluster


def find_in_domain(cluster: clusters.Cluster, domain: str) -> list:
    """Return the groups of a fabric domain."""
    return [record for record in cluster.layout.groups if record.fabric_domain == domain]


class TestForming:
    async def test_groups_form_within_fabric_domains_and_reserves_belong_to_one_group(self):
        cluster = await start_cluster()
        seen = []
        for record in cluster.layout.groups:
            vms = [*record.members, *record.reserves]
            assert {vm.split("-")[0] for vm in vms} == {record.fabric_domain}
            seen += vms
        assert len(seen) == len(set(seen)) == 18

    async def test_group_across_fabric_domains_only_if_the_bundle_allows_it(self):
        for is_allowed in (False, True):
            cluster = clusters.Cluster({"f1": 2, "f2": 2}, groups=1)
            cluster.bundles.current.bundle.placement.across_fabric_domains = is_allowed
            await cluster.run(10_000)
            assert len(cluster.whole()) == is_allowed

    async def test_loads_stay_within_the_budget_and_reserves_load_ahead(self):
        cluster = clusters.Cluster({"f1": 9}, groups=2, load_ms=4000, loads_at_once=2)
        most = 0
        for _ in range(80):
            await cluster.run(500)
            states = [model.report.state for model in cluster.fleet.engines.values()]
            most = max(most, states.count("loading"))
        assert most == 2 and len(cluster.whole()) == 2
        record = next(record for record in cluster.layout.groups if record.reserves)
        assert cluster.fleet.engines[record.reserves[0]].report.model == record.model

    async def test_nothing_is_written_or_ordered_without_a_change(self):
        cluster = await start_cluster()
        writes, sent = len(cluster.store.write_log), cluster.kinds().count("order.sent")
        await cluster.run(10_000)
        layouts = [item for item in cluster.store.write_log[writes:] if "layout" in item.key]
        assert layouts == [] and cluster.kinds().count("order.sent") == sent


class TestRepair:
    async def test_dead_member_is_replaced_by_a_reserve_of_its_group(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        cluster.fleet.die(record.members[1])
        await cluster.run(6000)
        repaired = next(item for item in cluster.layout.groups if item.group == record.group)
        assert repaired.members[1] in record.reserves and len(cluster.whole()) == 4

    @pytest.mark.parametrize("returns", ["empty", "as if nothing happened", "never"])
    async def test_dead_member_without_a_reserve(self, returns):
        cluster = await start_cluster(domains={"f1": 4, "f2": 4}, groups=2)
        victim = cluster.layout.groups[0].members[2]
        cluster.fleet.die(victim)
        await cluster.run(20_000)
        assert len(cluster.whole()) == 1
        if returns != "never":
            cluster.fleet.come_back(victim, returns != "empty")
            await cluster.run(8000)
        assert len(cluster.whole()) == (1 if returns == "never" else 2)

    async def test_two_broken_groups_of_a_fabric_domain_are_merged(self):
        cluster = await start_cluster(domains={"f1": 8, "f2": 4}, groups=3)
        first, second = find_in_domain(cluster, "f1")
        cluster.fleet.die(first.members[0])
        cluster.fleet.die(second.members[3])
        await cluster.run(8000)
        assert len(cluster.whole()) == 2
        assert len(find_in_domain(cluster, "f1")) == 1
        assert "group.dissolved" in cluster.kinds()

    async def test_group_of_a_failed_fabric_domain_is_formed_in_another_one(self):
        cluster = await start_cluster(domains={"f1": 4, "f2": 8}, groups=2)
        dark = [vm for vm in cluster.fleet.engines if vm.startswith("f1")]
        for vm in dark:
            cluster.fleet.die(vm)
        await cluster.run(15_000)
        assert len(cluster.whole()) == 2 and len(find_in_domain(cluster, "f2")) == 2
        for vm in dark:
            cluster.fleet.come_back(vm)
        await cluster.run(5000)
        assert len(cluster.whole()) == 2

    async def test_member_that_paused_briefly_is_kept(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        cluster.fleet.engines[record.members[1]].is_paused = True
        await cluster.run(1000)
        cluster.fleet.engines[record.members[1]].is_paused = False
        await cluster.run(3000)
        assert cluster.layout.groups[0].members == record.members and len(cluster.whole()) == 4

    async def test_same_fault_twice_in_a_row(self):
        cluster = await start_cluster(domains={"f1": 10}, groups=2)
        for _ in range(2):
            cluster.fleet.die(cluster.layout.groups[0].members[0])
            await cluster.run(8000)
            assert len(cluster.whole()) == 2

    async def test_straggler_is_replaced_after_several_slow_reports(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        slow = record.members[3]
        cluster.fleet.engines[slow].slowdown = 4.0
        await cluster.run(1500)
        assert cluster.layout.groups[0].members == record.members
        await cluster.run(15_000)
        assert slow not in cluster.layout.groups[0].members and len(cluster.whole()) == 4
        assert "group.draining" in cluster.kinds()

    async def test_straggler_is_kept_without_a_replacement(self):
        cluster = await start_cluster(domains={"f1": 4, "f2": 4}, groups=2)
        cluster.fleet.engines["f1-vm0"].slowdown = 4.0
        await cluster.run(15_000)
        assert len(cluster.whole()) == 2


class TestLeaving:
    async def test_leaving_member_is_replaced_after_its_requests_have_ended(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        leader = cluster.fleet.engines[record.members[0]]
        leaving = cluster.fleet.engines[record.members[2]]
        leader.report.running = 1
        leaving.entry.leaving = True
        await cluster.run(1000)
        assert len(cluster.whole()) == 3
        await cluster.run(30_000)
        assert cluster.layout.groups[0].draining
        # Running requests are not interrupted.
        assert cluster.layout.groups[0].members == record.members
        leader.report.running = 0
        await cluster.run(6000)
        assert (
            leaving.entry.vm not in cluster.layout.groups[0].members and len(cluster.whole()) == 4
        )

    async def test_drain_ends_at_its_time_limit(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        cluster.fleet.engines[record.members[0]].report.running = 1
        cluster.fleet.engines[record.members[2]].entry.leaving = True
        await cluster.run(130_000)
        assert len(cluster.whole()) == 4

    async def test_unlisted_vm_that_reports_is_drained_and_replaced(self):
        cluster = await start_cluster()
        gone = cluster.layout.groups[0].members[2]
        cluster.fleet.unlisted.add(gone)
        await cluster.run(5000)
        assert len(cluster.whole()) == 4  # The list lags behind, and the VM still reports.
        await cluster.run(20_000)
        assert len(cluster.whole()) == 4 and gone not in cluster.layout.groups[0].members
        assert "group.broken" not in cluster.kinds()


class TestHolderFaults:
    """Faults of the first of two daemons, which holds the lease at the start."""

    @pytest.mark.parametrize("checks_fencing", [True, False])
    @pytest.mark.parametrize("late_ms", [500, 7000, 20_000])
    async def test_late_orders_of_a_paused_holder_do_no_harm(self, checks_fencing, late_ms):
        cluster = await start_cluster(domains={"f1": 10, "f2": 9}, checks_fencing=checks_fencing)
        record = cluster.layout.groups[0]
        cluster.fleet.die(record.members[1])
        await cluster.run(1500)
        cluster.fleet.holds_orders = True
        await cluster.run(1500)  # The orders stay in flight while the holder pauses.
        cluster.fleet.holds_orders = False
        assert cluster.fleet.held_orders
        cluster.paused.add(0)
        await cluster.run(6000)
        for vm in cluster.layout.groups[0].members[:1]:
            cluster.fleet.die(vm)  # The second daemon has to change the group again.
        await cluster.run(late_ms)
        cluster.fleet.deliver_held()
        await cluster.run(10_000)
        assert len(cluster.whole(1)) == 4
        cluster.paused.clear()
        await cluster.run(10_000)
        assert len(cluster.whole(0)) == len(cluster.whole(1)) == 4
        assert cluster.daemons[1].keeper.state.fencing > cluster.daemons[0].keeper.state.fencing

    @pytest.mark.parametrize(
        "fault", ["stop", "pause", "lost answers", "lease deleted", "layout deleted", "restored"]
    )
    @pytest.mark.parametrize("with_dead_member", [False, True])
    async def test_groups_stay_or_become_whole_with_one_holder(self, fault, with_dead_member):
        cluster = await start_cluster()
        entries = dict(cluster.store.entries)
        before = {record.group: record.generation for record in cluster.layout.groups}
        if with_dead_member:
            cluster.fleet.die(cluster.layout.groups[1].members[1])
        if fault == "stop":
            await cluster.daemons[0].coordinator.stop()
            cluster.paused.add(0)
        elif fault == "pause":
            cluster.paused.add(0)
        elif fault == "lost answers":
            cluster.store.lost_answers = 5
        elif fault == "lease deleted":
            del cluster.store.entries["lease/ipoh-a"]
        elif fault == "layout deleted":
            del cluster.store.entries["layout/ipoh-a"]
        await cluster.run(4000)
        if fault == "restored":
            cluster.store.entries = entries
        await cluster.run(15_000)
        assert len(cluster.whole(1)) == 4
        layout = cluster.daemons[1].groups.layout
        assert all(record.generation >= before[record.group] for record in layout.groups)
        holders = [
            daemon
            for daemon in cluster.daemons[len(cluster.paused) :]
            if daemon.keeper.state.may_act(cluster.clock.monotonic_ms(), 0)
        ]
        assert len(holders) == 1

    async def test_new_holder_keeps_whole_groups_unchanged(self):
        cluster = await start_cluster()
        before = cluster.layout.groups
        cluster.paused.add(0)
        await cluster.run(15_000)
        assert cluster.daemons[1].groups.layout.groups == before
        assert cluster.daemons[1].groups.layout.fencing == 2

    async def test_resumed_holder_considers_no_vm_lost(self):
        cluster = await start_cluster(daemons=1)
        before = cluster.layout.groups
        cluster.paused.add(0)
        await cluster.run(3600_000)
        cluster.paused.clear()
        await cluster.run(10_000)
        assert cluster.layout.groups == before and len(cluster.whole()) == 4

    async def test_holder_that_reaches_no_vm_releases_the_lease(self):
        cluster = await start_cluster()
        blind = cluster.daemons[0]
        blind.observe = lambda: blind.groups.update_vms(cluster.fleet.list_vms(), 0)
        cluster.fleet.die(cluster.layout.groups[0].members[1])
        await cluster.run(20_000)
        assert len(cluster.whole(1)) == 4 and cluster.daemons[1].keeper.state.fencing == 2


class TestIsolation:
    async def test_member_that_its_peers_cannot_reach_is_replaced(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        isolated = record.members[1]
        is_connected = cluster.fleet._is_connected

        def cut(vm, report):
            return vm == report.vm or (is_connected(vm, report) and isolated not in (vm, report.vm))

        cluster.fleet._is_connected = cut
        await cluster.run(3000)
        assert len(cluster.whole()) == 3
        await cluster.run(20_000)
        assert len(cluster.whole()) == 4 and isolated not in cluster.layout.groups[0].members


class TestStuckLoad:
    async def test_member_that_never_finishes_loading_is_replaced(self):
        cluster = await start_cluster()
        record = cluster.layout.groups[0]
        stuck = record.members[1]
        cluster.fleet.die(stuck)
        cluster.fleet.die(record.reserves[0])
        await cluster.run(6000)
        cluster.fleet.load_ms = 10**12
        cluster.fleet.come_back(stuck)
        await cluster.run(2000)
        assert cluster.fleet.engines[stuck].report.state == "loading"
        cluster.fleet.load_ms = 1000
        cluster.fleet.come_back(record.reserves[0])
        await cluster.run(580_000)
        assert len(cluster.whole()) == 3
        await cluster.run(40_000)
        assert len(cluster.whole()) == 4 and stuck not in cluster.layout.groups[0].members


def inject_fault(cluster: clusters.Cluster, record, fault: str) -> None:
    """Inject a fault into a group, its coordinator or the store."""
    engines = cluster.fleet.engines
    actions = {
        "death": lambda: cluster.fleet.die(record.members[1]),
        "pause as if nothing happened": lambda: cluster.fleet.die(record.members[1]),
        "death in the same group": lambda: cluster.fleet.die(record.members[3]),
        "death of the substitute": lambda: cluster.fleet.die(record.reserves[0]),
        "leaving": lambda: setattr(engines[record.members[2]].entry, "leaving", True),
        "straggler": lambda: setattr(engines[record.members[2]], "slowdown", 4.0),
        "holder lost": lambda: cluster.paused.add(0),
        "lost answers": lambda: setattr(cluster.store, "lost_answers", 3),
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
    async def test_all_groups_become_whole_again(self, faults):
        cluster = await start_cluster(domains={"f1": 11, "f2": 11})
        record = cluster.layout.groups[0]
        for fault in faults:
            inject_fault(cluster, record, fault)
        await cluster.run(3000)
        if "pause as if nothing happened" in faults:
            cluster.fleet.come_back(record.members[1], as_if_nothing_happened=True)
        await cluster.run(30_000)
        assert len(cluster.whole(1)) == 4
