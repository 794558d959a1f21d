"""Tests of the bundle follower under faults, on a manual clock."""

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


class FaultyWatchKeyValue(fakes.MemoryKeyValue):
    """A key-value service whose watches can end at once or stall without an error."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0
        self.fault = ""

    async def watch(self, key, revision):
        """Watch one key, or apply the fault."""
        self.watches += 1
        if self.fault == "ends":
            return
        if self.fault == "silent":
            await asyncio.Event().wait()
        async for entry in super().watch(key, revision):
            yield entry


class FollowerSetup:
    """A follower with its key-value service, on a manual clock."""

    def __init__(self, is_watcher: bool = True) -> None:
        self.clock = clocks.ManualClock()
        self.store = FaultyWatchKeyValue()
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
            await self.advance_clock(0)
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def advance_clock(self, duration_ms: int) -> None:
        """Advance the clock in steps, and let the follower run after each."""
        for _ in range(max(duration_ms // 50, 1)):
            self.clock.advance(min(50, duration_ms))
            for _ in range(40):
                await asyncio.sleep(0)

    async def roll(self, teams: int) -> None:
        """Roll a bundle with a number of teams on the last one."""
        bundle = bundle_drafts.make_bundle(teams)
        self.head = (await bundle_drafts.roll(self.store, bundle, self.head)).unwrap()


class TestWatcher:
    async def test_new_head_comes_in_force_at_once(self):
        setup = FollowerSetup()
        async with setup.run():
            for version in (1, 2, 3):
                await setup.roll(version)
                await setup.advance_clock(50)
                assert setup.bundles.version == version or version == 1
            assert setup.store.reads < 20

    async def test_watch_that_ends_at_once_does_not_spin(self):
        setup = FollowerSetup()
        setup.store.fault = "ends"
        async with setup.run():
            await setup.advance_clock(60_000)
            assert 4 < setup.store.watches < 20
            assert setup.metrics.counter_value("bundle_watches_ended_total") > 4
            await setup.roll(1)
            await setup.advance_clock(15_000)
            assert setup.bundles.version == 1

    async def test_stalled_watch_is_replaced_by_a_read(self):
        setup = FollowerSetup()
        await setup.roll(1)
        setup.store.fault = "silent"
        async with setup.run():
            await setup.roll(2)
            await setup.advance_clock(40_000)
            assert setup.bundles.version == 2
            assert setup.metrics.counter_value("bundle_watches_renewed_total") == 1

    async def test_unavailable_service_is_retried_until_it_is_back(self):
        setup = FollowerSetup()
        await setup.roll(1)
        setup.store.is_away = True
        async with setup.run():
            await setup.advance_clock(60_000)
            assert setup.bundles.version == 0 and setup.store.reads < 30
            setup.store.is_away = False
            await setup.advance_clock(13_000)
            assert setup.bundles.version == 1

    @pytest.mark.parametrize("content", [None, b"altered"])
    async def test_lost_or_altered_part_is_fetched_again_without_a_new_head(self, content):
        setup = FollowerSetup()
        await setup.roll(1)
        key = next(key for key in setup.store.entries if key.startswith(heads.PART_PREFIX))
        intact = setup.store.entries.pop(key)
        if content:
            setup.store.entries[key] = fakes.key_value.Entry(key, content, intact.revision)
        async with setup.run():
            await setup.advance_clock(5_000)
            assert setup.bundles.version == 0
            setup.store.entries[key] = intact
            await setup.advance_clock(13_000)
            assert setup.bundles.version == 1

    async def test_follower_recovers_from_an_invalid_head(self):
        setup = FollowerSetup()
        await setup.store.swap(heads.HEAD_KEY, b"garbage", 0)
        async with setup.run():
            await setup.advance_clock(5_000)
            setup.store.entries.pop(heads.HEAD_KEY)
            await setup.roll(1)
            await setup.advance_clock(13_000)
            assert setup.bundles.version == 1


class TestPoller:
    async def test_daemon_that_polls_reads_rarely_and_follows(self):
        setup = FollowerSetup(is_watcher=False)
        await setup.roll(1)
        async with setup.run():
            reads = setup.store.reads
            await setup.roll(2)
            await setup.advance_clock(75_000)
            assert setup.bundles.version == 2
            await setup.advance_clock(300_000)
            assert setup.store.watches == 0 and setup.store.reads - reads < 20

    def test_all_daemons_together_stay_under_100_reads_a_second(self):
        assert 2_600 / follower.POLL_INTERVAL_MS * 1000 < 100


class TestRestoredService:
    @pytest.mark.parametrize("lost", ["head", "everything"])
    async def test_newer_head_is_written_back_and_a_new_daemon_reads_it(self, lost):
        setup = FollowerSetup()
        await setup.roll(1)
        backup = dict(setup.store.entries) if lost == "head" else {}
        await setup.roll(2)
        async with setup.run():
            await setup.advance_clock(50)
            assert setup.bundles.version == 2
            setup.store.entries = backup
            await setup.advance_clock(40_000)
            assert setup.bundles.version == 2
            new = FollowerSetup()
            new.store = setup.store
            new.follower._store = setup.store
            async with new.run():
                await new.advance_clock(1_000)
                assert new.bundles.version == 2
