"""Tests of rollouts of models, adapters and versions in waves."""

import pytest

from tests.groups import scenes


async def settle(**options) -> scenes.Scene:
    """Return a scene whose groups are whole."""
    options = {"domains": {"f1": 9, "f2": 9}, "groups": 4, "daemons": 2, **options}
    scene = scenes.Scene(**options)
    await scene.run(18_000)
    return scene


def count_versions(scene: scenes.Scene) -> dict[str, int]:
    """Return how many whole groups run each version."""
    versions = [view.record.version for view in scene.whole()]
    return {version: versions.count(version) for version in set(versions)}


class TestWaves:
    @pytest.mark.parametrize("max_unavailable", [1, 2])
    async def test_unavailable_groups_stay_within_the_limit(self, max_unavailable):
        scene = await settle()
        scene.roll(4, version="2", max_unavailable=max_unavailable)
        fewest = 4
        for _ in range(160):
            await scene.run(500)
            fewest = min(fewest, len(scene.whole()))
        assert count_versions(scene) == {"2": 4} and fewest == 4 - max_unavailable
        assert scene.kinds().count("rollout.wave") == 4

    async def test_wave_waits_for_what_runs(self):
        scene = await settle()
        for record in scene.layout.groups:
            scene.fleet.engines[record.members[0]].report.running = 1
        scene.roll(4, version="2")
        await scene.run(30_000)
        assert count_versions(scene) == {"1": 3}
        draining = next(record for record in scene.layout.groups if record.draining)
        scene.fleet.engines[draining.members[0]].report.running = 0
        await scene.run(8000)
        assert count_versions(scene) == {"1": 2, "2": 1}

    async def test_adapters_roll_like_versions(self):
        scene = await settle()
        scene.roll(4)
        scene.bundles.current.bundle.models[0].adapters = ["rota-2"]
        await scene.run(60_000)
        assert [view.record.adapters for view in scene.whole()] == [["rota-2"]] * 4

    async def test_fewer_groups_are_drained_and_dissolved(self):
        scene = await settle()
        scene.roll(2)
        await scene.run(10_000)
        assert len(scene.whole()) == len(scene.layout.groups) == 2
        idle = [item for item in scene.fleet.engines.values() if not item.report.group]
        assert len(idle) == 10

    async def test_removed_model_is_dissolved(self):
        scene = await settle()
        scene.roll(4)
        scene.bundles.current.bundle.models.clear()
        await scene.run(10_000)
        assert scene.layout.groups == []

    async def test_other_group_size_forms_other_groups(self):
        scene = await settle(domains={"f1": 9}, groups=2)
        scene.roll(2)
        scene.bundles.current.bundle.models[0].members_per_group = 3
        await scene.run(60_000)
        assert [len(view.record.members) for view in scene.whole()] == [3, 3]


class TestFailedWave:
    async def test_it_stops_says_so_and_keeps_the_other_groups(self):
        scene = await settle()
        scene.fleet.broken_versions.add("2")
        scene.roll(4, version="2")
        await scene.run(640_000)
        assert count_versions(scene) == {"1": 3}
        assert "rollout.stopped" in scene.kinds() and scene.layout.rollouts_stopped

    async def test_stop_holds_under_another_coordinator(self):
        scene = await settle()
        scene.fleet.broken_versions.add("2")
        scene.roll(4, version="2")
        await scene.run(640_000)
        scene.paused.add(0)
        await scene.run(700_000)
        assert len(scene.whole(1)) == 3

    @pytest.mark.parametrize("version", ["1", "3"])
    async def test_next_bundle_goes_on(self, version):
        scene = await settle()
        scene.fleet.broken_versions.add("2")
        scene.roll(4, version="2")
        await scene.run(640_000)
        scene.roll(4, version=version)
        await scene.run(60_000)
        assert count_versions(scene) == {version: 4} and not scene.layout.rollouts_stopped


class TestNextBundleInTheMiddle:
    @pytest.mark.parametrize("after_ms", [500, 3000, 4500, 9000])
    @pytest.mark.parametrize("version", ["1", "3"])
    async def test_groups_end_at_the_newest_version(self, after_ms, version):
        scene = await settle()
        scene.roll(4, version="2")
        await scene.run(after_ms)
        scene.roll(4, version=version)
        fewest = 4
        for _ in range(160):
            await scene.run(500)
            fewest = min(fewest, len(scene.whole()))
        assert count_versions(scene) == {version: 4} and fewest >= 3

    async def test_undone_change_ends_a_drain_without_a_new_generation(self):
        scene = await settle()
        before = {record.group: record.generation for record in scene.layout.groups}
        scene.roll(4, version="2")
        await scene.run(1000)
        assert any(record.draining for record in scene.layout.groups)
        scene.roll(4, version="1")
        await scene.run(1000)
        assert {record.group: record.generation for record in scene.layout.groups} == before
        assert len(scene.whole()) == 4

    async def test_daemon_with_an_older_bundle_changes_nothing(self):
        scene = await settle()
        scene.roll(4, version="2")
        await scene.run(60_000)
        scene.bundles.version = 1
        scene.bundles.current.bundle.models[0].version = "1"
        await scene.run(60_000)
        assert count_versions(scene) == {"2": 4}


class TestTwoFaultsAtOnce:
    async def test_member_dies_during_a_wave(self):
        scene = await settle(domains={"f1": 10, "f2": 9})
        scene.roll(4, version="2")
        await scene.run(2000)
        draining = next(record for record in scene.layout.groups if record.draining)
        scene.fleet.die(draining.members[1])
        await scene.run(90_000)
        assert count_versions(scene) == {"2": 4}

    async def test_coordinator_is_lost_during_a_wave(self):
        scene = await settle()
        scene.roll(4, version="2")
        await scene.run(2000)
        scene.paused.add(0)
        await scene.run(90_000)
        assert [view.record.version for view in scene.whole(1)] == ["2"] * 4
