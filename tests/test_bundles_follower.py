"""The follower under faults, on explicit time."""

import asyncio
import contextlib
import random

import pytest

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.bundles import follower, register
from tanagerfork.bundles import head as heads
from tanagerfork.timeline import ring
from tests import bundle_drafts, fakes


class FaultyWatch(fakes.MemoryKeyValue):
    """A service whose watches can end at once or go silent."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0
        self.fault = ""

    async def watch(self, key, revision):
        """Follow one key, unless the watch is broken."""
        self.watches += 1
        if self.fault == "ends":
            return
        if self.fault == "silent":
            await asyncio.Event().wait()
        async for entry in super().watch(key, revision):
            yield entry


class Following:
    """A follower with its service, on explicit time."""

    def __init__(self, is_watcher: bool = True) -> None:
        self.clock = clocks.ManualClock()
        self.store = FaultyWatch()
        self.bundles: register.BundleRegister = bundle_drafts.make_register()
        self.metrics = metric.Metrics()
        timeline = ring.Timeline("a", self.clock, 100)
        self.follower = follower.BundleFollower(
            self.store,
            self.bundles,
            self.clock,
            timeline,
            self.metrics,
            lambda: is_watcher,
            random.Random(1),
        )
        self.head = None

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the follower."""
        task = asyncio.create_task(self.follower.run())
        try:
            await self.pass_time(0)
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def pass_time(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(max(duration_ms // 50, 1)):
            self.clock.advance(min(50, duration_ms))
            for _ in range(40):
                await asyncio.sleep(0)

    async def roll(self, teams: int) -> None:
        """Roll a bundle."""
        bundle = bundle_drafts.make_bundle(teams)
        self.head = (await bundle_drafts.roll(self.store, bundle, self.head)).unwrap()


class TestWatcher:
    async def test_new_head_comes_in_force_at_once(self):
        following = Following()
        async with following.run():
            for version in (1, 2, 3):
                await following.roll(version)
                await following.pass_time(50)
                assert following.bundles.version == version or version == 1
            assert following.store.reads < 20

    async def test_watch_that_ends_at_once_does_not_spin(self):
        following = Following()
        following.store.fault = "ends"
        async with following.run():
            await following.pass_time(60_000)
            assert 4 < following.store.watches < 20
            assert following.metrics.counter_value("bundle_watches_ended_total") > 4
            await following.roll(1)
            await following.pass_time(15_000)
            assert following.bundles.version == 1

    async def test_silent_watch_is_noticed_by_a_read(self):
        following = Following()
        await following.roll(1)
        following.store.fault = "silent"
        async with following.run():
            await following.roll(2)
            await following.pass_time(40_000)
            assert following.bundles.version == 2
            assert following.metrics.counter_value("bundle_watches_renewed_total") == 1

    async def test_service_away_and_back(self):
        following = Following()
        await following.roll(1)
        following.store.is_away = True
        async with following.run():
            await following.pass_time(60_000)
            assert following.bundles.version == 0 and following.store.reads < 30
            following.store.is_away = False
            await following.pass_time(13_000)
            assert following.bundles.version == 1

    @pytest.mark.parametrize("content", [None, b"altered"])
    async def test_lost_or_altered_part_is_fetched_again_without_a_new_head(self, content):
        following = Following()
        await following.roll(1)
        key = next(key for key in following.store.entries if key.startswith(heads.PART_PREFIX))
        whole = following.store.entries.pop(key)
        if content:
            following.store.entries[key] = fakes.key_value.Entry(key, content, whole.revision)
        async with following.run():
            await following.pass_time(5_000)
            assert following.bundles.version == 0
            following.store.entries[key] = whole
            await following.pass_time(13_000)
            assert following.bundles.version == 1

    async def test_value_that_is_no_head_is_survived(self):
        following = Following()
        await following.store.swap(heads.HEAD_KEY, b"garbage", 0)
        async with following.run():
            await following.pass_time(5_000)
            following.store.entries.pop(heads.HEAD_KEY)
            await following.roll(1)
            await following.pass_time(13_000)
            assert following.bundles.version == 1


class TestPoller:
    async def test_daemon_that_does_not_watch_reads_rarely_and_follows(self):
        following = Following(is_watcher=False)
        await following.roll(1)
        async with following.run():
            reads = following.store.reads
            await following.roll(2)
            await following.pass_time(75_000)
            assert following.bundles.version == 2
            await following.pass_time(300_000)
            assert following.store.watches == 0 and following.store.reads - reads < 20

    def test_all_daemons_together_stay_under_100_reads_a_second(self):
        assert 2_600 / follower.POLL_MS * 1000 < 100


class TestRestoredService:
    @pytest.mark.parametrize("lost", ["head", "everything"])
    async def test_newer_head_is_written_back_and_a_fresh_daemon_learns_it(self, lost):
        following = Following()
        await following.roll(1)
        backup = dict(following.store.entries) if lost == "head" else {}
        await following.roll(2)
        async with following.run():
            await following.pass_time(50)
            assert following.bundles.version == 2
            following.store.entries = backup
            await following.pass_time(40_000)
            assert following.bundles.version == 2
            fresh = Following()
            fresh.store = following.store
            fresh.follower._store = following.store
            async with fresh.run():
                await fresh.pass_time(1_000)
                assert fresh.bundles.version == 2
