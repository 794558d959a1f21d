"""Tests of rollouts of models, adapters and versions in waves."""

import pytest

from tests.groups import clusters


async def start_cluster(**options) -> clusters.Cluster:
    """Return a cluster after the time that its groups need to become whole."""
    options = {"domains": {"f1": 9, "f2": 9}, "groups": 4, "daemons": 2, **options}
    cluster = clusters.Cluster(**options)
    await cluster.run(18_000)
    return cluster


def count_versions(cluster: clusters.Cluster) -> dict[str, int]:
    """Return how many whole groups run each version."""
    versions = [view.record.version for view in cluster.whole()]
    return {version: versions.count(version) for version in set(versions)}


class TestWaves:
    @pytest.mark.parametrize("max_unavailable", [1, 2])
    async def test_unavailable_groups_stay_within_the_limit(self, max_unavailable):
        cluster = await start_cluster()
        cluster.roll(4, version="2", max_unavailable=max_unavailable)
        fewest = 4
        for _ in range(160):
            await cluster.run(500)
            fewest = min(fewest, len(cluster.whole()))
        assert count_versions(cluster) == {"2": 4} and fewest == 4 - max_unavailable
        assert cluster.kinds().count("rollout.wave") == 4

    async def test_wave_waits_for_running_requests(self):
        cluster = await start_cluster()
        for record in cluster.layout.groups:
            cluster.fleet.engines[record.members[0]].report.running = 1
        cluster.roll(4, version="2")
        await cluster.run(30_000)
        assert count_versions(cluster) == {"1": 3}
        draining = next(record for record in cluster.layout.groups if record.draining)
        cluster.fleet.engines[draining.members[0]].report.running = 0
        await cluster.run(8000)
        assert count_versions(cluster) == {"1": 2, "2": 1}

    async def test_adapters_roll_like_versions(self):
        cluster = await start_cluster()
        cluster.roll(4)
        cluster.bundles.current.bundle.models[0].adapters = ["rota-2"]
        await cluster.run(60_000)
        assert [view.record.adapters for view in cluster.whole()] == [["rota-2"]] * 4

    async def test_fewer_groups_are_drained_and_dissolved(self):
        cluster = await start_cluster()
        cluster.roll(2)
        await cluster.run(10_000)
        assert len(cluster.whole()) == len(cluster.layout.groups) == 2
        idle = [item for item in cluster.fleet.engines.values() if not item.report.group]
        assert len(idle) == 10

    async def test_removed_model_is_dissolved(self):
        cluster = await start_cluster()
        cluster.roll(4)
        cluster.bundles.current.bundle.models.clear()
        await cluster.run(10_000)
        assert cluster.layout.groups == []

    async def test_changed_group_size_replaces_the_groups(self):
        cluster = await start_cluster(domains={"f1": 9}, groups=2)
        cluster.roll(2)
        cluster.bundles.current.bundle.models[0].members_per_group = 3
        await cluster.run(60_000)
        assert [len(view.record.members) for view in cluster.whole()] == [3, 3]


class TestFailedWave:
    async def test_rollout_stops_with_an_event_and_keeps_the_other_groups(self):
        cluster = await start_cluster()
        cluster.fleet.broken_versions.add("2")
        cluster.roll(4, version="2")
        await cluster.run(640_000)
        assert count_versions(cluster) == {"1": 3}
        assert "rollout.stopped" in cluster.kinds() and cluster.layout.rollouts_stopped

    async def test_rollout_stays_stopped_under_another_coordinator(self):
        cluster = await start_cluster()
        cluster.fleet.broken_versions.add("2")
        cluster.roll(4, version="2")
        await cluster.run(640_000)
        cluster.paused.add(0)
        await cluster.run(700_000)
        assert len(cluster.whole(1)) == 3

    @pytest.mark.parametrize("version", ["1", "3"])
    async def test_next_bundle_resumes_the_rollout(self, version):
        cluster = await start_cluster()
        cluster.fleet.broken_versions.add("2")
        cluster.roll(4, version="2")
        await cluster.run(640_000)
        cluster.roll(4, version=version)
        await cluster.run(60_000)
        assert count_versions(cluster) == {version: 4} and not cluster.layout.rollouts_stopped


class TestNextBundleInTheMiddle:
    @pytest.mark.parametrize("after_ms", [500, 3000, 4500, 9000])
    @pytest.mark.parametrize("version", ["1", "3"])
    async def test_groups_end_at_the_newest_version(self, after_ms, version):
        cluster = await start_cluster()
        cluster.roll(4, version="2")
        await cluster.run(after_ms)
        cluster.roll(4, version=version)
        fewest = 4
        for _ in range(160):
            await cluster.run(500)
            fewest = min(fewest, len(cluster.whole()))
        assert count_versions(cluster) == {version: 4} and fewest >= 3

    async def test_reverted_change_ends_a_drain_without_a_new_generation(self):
        cluster = await start_cluster()
        before = {record.group: record.generation for record in cluster.layout.groups}
        cluster.roll(4, version="2")
        await cluster.run(1000)
        assert any(record.draining for record in cluster.layout.groups)
        cluster.roll(4, version="1")
        await cluster.run(1000)
        assert {record.group: record.generation for record in cluster.layout.groups} == before
        assert len(cluster.whole()) == 4

    async def test_daemon_with_an_older_bundle_changes_nothing(self):
        cluster = await start_cluster()
        cluster.roll(4, version="2")
        await cluster.run(60_000)
        cluster.bundles.version = 1
        cluster.bundles.current.bundle.models[0].version = "1"
        await cluster.run(60_000)
        assert count_versions(cluster) == {"2": 4}


class TestTwoFaultsAtOnce:
    async def test_member_dies_during_a_wave(self):
        cluster = await start_cluster(domains={"f1": 10, "f2": 9})
        cluster.roll(4, version="2")
        await cluster.run(2000)
        draining = next(record for record in cluster.layout.groups if record.draining)
        cluster.fleet.die(draining.members[1])
        await cluster.run(90_000)
        assert count_versions(cluster) == {"2": 4}

    async def test_coordinator_is_lost_during_a_wave(self):
        cluster = await start_cluster()
        cluster.roll(4, version="2")
        await cluster.run(2000)
        cluster.paused.add(0)
        await cluster.run(90_000)
        assert [view.record.version for view in cluster.whole(1)] == ["2"] * 4
