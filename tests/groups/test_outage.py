"""Tests of substitution during an outage of the key-value service."""

import pytest

from tanagerfork.groups import substitution
from tests import fakes
from tests.groups import clusters

BEGIN_MS = 14_000  # Time from the outage to the first substitution.


async def start_cluster(**options) -> clusters.Cluster:
    """Return a cluster with whole groups at the start of an outage of the service."""
    options = {"domains": {"f1": 9, "f2": 9}, "groups": 4, "daemons": 2, **options}
    cluster = clusters.Cluster(**options)
    await cluster.run(18_000)
    assert len(cluster.whole()) == options["groups"]
    cluster.store.is_away = True
    return cluster


def find_reserved(cluster: clusters.Cluster):
    """Return the first group that has a reserve."""
    return next(record for record in cluster.layout.groups if record.reserves)


class TestFrozenLayout:
    async def test_whole_groups_keep_serving_without_orders(self):
        cluster = await start_cluster()
        sent = cluster.kinds().count("order.sent")
        await cluster.run(1800_000 // 20)
        assert len(cluster.whole(0)) == len(cluster.whole(1)) == 4
        assert cluster.kinds().count("order.sent") == sent
        assert "platform.away" in cluster.kinds()

    @pytest.mark.parametrize("dies_after_ms", [0, 4000, 30_000])
    @pytest.mark.parametrize("checks_fencing", [True, False])
    async def test_dead_member_is_replaced_by_a_reserve_of_its_group_only(
        self, dies_after_ms, checks_fencing
    ):
        cluster = await start_cluster(checks_fencing=checks_fencing)
        record = find_reserved(cluster)
        await cluster.run(dies_after_ms)
        cluster.fleet.die(record.members[2])
        await cluster.run(BEGIN_MS + 6000)
        view = next(view for view in cluster.whole(1) if view.record.group == record.group)
        assert view.record.members[2] == record.reserves[0]
        assert len(cluster.whole(0)) == len(cluster.whole(1)) == 4
        assert cluster.layout.serial == cluster.daemons[1].groups.layout.serial

    async def test_group_without_a_reserve_waits_for_its_member(self):
        cluster = await start_cluster(domains={"f1": 4, "f2": 5}, groups=2)
        alone = next(record for record in cluster.layout.groups if not record.reserves)
        cluster.fleet.die(alone.members[1])
        await cluster.run(BEGIN_MS + 10_000)
        assert len(cluster.whole()) == 1
        cluster.fleet.come_back(alone.members[1])
        await cluster.run(8000)
        assert len(cluster.whole()) == 2

    async def test_group_is_repaired_only_with_a_quorum(self):
        for lost, is_repaired in (([2, 3], True), ([0, 3], False)):
            cluster = await start_cluster(domains={"f1": 6}, groups=1)
            record = cluster.layout.groups[0]
            for rank in lost:
                cluster.fleet.die(record.members[rank])
            await cluster.run(BEGIN_MS + 8000)
            assert bool(cluster.whole()) == is_repaired

    async def test_dead_substitute_is_replaced(self):
        cluster = await start_cluster(domains={"f1": 6}, groups=1)
        record = cluster.layout.groups[0]
        cluster.fleet.die(record.members[2])
        await cluster.run(BEGIN_MS + 6000)
        substitute = cluster.whole()[0].record.members[2]
        cluster.fleet.die(substitute)
        await cluster.run(60_000)
        assert len(cluster.whole()) == 1 and substitute not in cluster.whole()[0].record.members


class TestTwoDaemons:
    async def test_daemons_with_different_views_converge_to_one_roster(self):
        cluster = await start_cluster(domains={"f1": 6}, groups=1)
        record = cluster.layout.groups[0]
        first, second = (daemon.coordinator for daemon in cluster.daemons)
        cluster.fleet.die(record.members[2])
        await cluster.run(9000)
        for keeper in (cluster.daemons[0].keeper, cluster.daemons[1].keeper):
            keeper._unavailable_since_ms = -100_000  # Both start to substitute at the same time.
        hidden = cluster.fleet.engines[record.reserves[0]]
        hidden.is_paused = True  # Only the second daemon sees this reserve.
        await cluster.run(3000)
        cluster.clock.advance(500)
        await cluster.daemons[0].step()
        hidden.is_paused = False
        await cluster.run(60_000)
        assert first is not second and len(cluster.whole(0)) == len(cluster.whole(1)) == 1
        assert cluster.whole(0)[0].record.members == cluster.whole(1)[0].record.members

    async def test_any_two_rosters_of_a_record_share_a_vm(self):
        cluster = await start_cluster(domains={"f1": 9}, groups=1)
        record = cluster.layout.groups[0]
        vms = [*record.members, *record.reserves]
        rosters = []
        for mask in range(2 ** len(vms)):
            present = {vm for number, vm in enumerate(vms) if mask >> number & 1}
            roster = substitution.choose_roster(record, present)
            if roster is not None:
                rosters.append(frozenset(roster))
        assert len(set(rosters)) > 10
        assert all(one & other for one in set(rosters) for other in set(rosters))

    @pytest.mark.parametrize("checks_fencing", [True, False])
    async def test_daemon_that_alone_lost_the_service_puts_no_vm_into_two_groups(
        self, checks_fencing
    ):
        cluster = await start_cluster(domains={"f1": 10}, groups=2, checks_fencing=checks_fencing)
        cluster.store.is_away = False
        cut_off = cluster.daemons[1].keeper
        cut_off._store = fakes.MemoryKeyValue()
        cut_off._store.is_away = True
        cut_off._unavailable_since_ms = -100_000
        cluster.share_layout = lambda daemon: None
        for rank in (1, 2):
            cluster.fleet.die(cluster.layout.groups[0].members[rank])
            # `run` checks after each step that no VM serves in two groups.
            await cluster.run(15_000)
        assert len(cluster.whole(0)) == 2


class TestServiceBack:
    @pytest.mark.parametrize("paused", [set(), {0}])
    async def test_any_coordinator_adopts_a_substitution_without_orders(self, paused):
        cluster = await start_cluster(daemons=3)
        record = find_reserved(cluster)
        cluster.fleet.die(record.members[2])
        await cluster.run(BEGIN_MS + 8000)
        served = {view.record.group: view.record.generation for view in cluster.whole(2)}
        assert len(served) == 4
        cluster.paused = paused
        cluster.store.is_away = False
        await cluster.run(15_000)
        layout = cluster.daemons[2].groups.layout
        assert {item.group: item.generation for item in layout.groups} == served
        assert "group.broken" not in cluster.kinds(2)[-12:]
        assert len(cluster.whole(2)) == 4 and layout.fencing == (2 if paused else 1)

    async def test_member_that_returned_during_the_outage_becomes_a_reserve(self):
        cluster = await start_cluster()
        record = find_reserved(cluster)
        cluster.fleet.die(record.members[2])
        await cluster.run(BEGIN_MS + 8000)
        cluster.fleet.come_back(record.members[2], as_if_nothing_happened=True)
        await cluster.run(5000)
        assert len(cluster.whole()) == 4
        cluster.store.is_away = False
        await cluster.run(15_000)
        reserves = [vm for item in cluster.layout.groups for vm in item.reserves]
        assert record.members[2] in reserves and len(cluster.whole()) == 4
        assert cluster.fleet.engines[record.members[2]].report.group == ""

    async def test_two_outages_in_a_row(self):
        cluster = await start_cluster(domains={"f1": 6, "f2": 6}, groups=2)
        for _ in range(2):
            record = max(cluster.layout.groups, key=lambda item: len(item.reserves))
            cluster.fleet.die(record.members[1])
            await cluster.run(BEGIN_MS + 8000)
            assert len(cluster.whole()) == 2
            cluster.store.is_away = False
            await cluster.run(15_000)
            cluster.store.is_away = True
        assert len(cluster.whole()) == 2
