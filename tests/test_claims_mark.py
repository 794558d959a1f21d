"""Tests of claim retention, differing clocks, and a service restored to an older state."""

import asyncio

import pytest

from tanagerfork import clock as clocks
from tanagerfork.claims import keys, retention, sweeper
from tests import claims_fleet


class TestRetention:
    async def run_sweep(self, fleet: claims_fleet.Fleet) -> None:
        claim_sweeper = sweeper.ClaimSweeper(
            fleet.store, fleet.clock, fleet.metrics, fleet.watermarks["a"], lambda: True
        )
        await fleet.drive(asyncio.ensure_future(claim_sweeper.sweep()), step_ms=60_000)

    async def test_time_ordered_key_is_refused_after_its_retention(self):
        fleet = claims_fleet.Fleet()
        key = fleet.make_key()
        granted = (await fleet.claim(key=key)).ok_value
        await claims_fleet.record_answer(fleet, granted)
        fleet.clock.advance(retention.RETENTION_MS + claims_fleet.HOUR_MS)
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "answered"
        await self.run_sweep(fleet)
        assert granted.shard not in fleet.store.entries
        for daemon in ("a", "b"):
            again = await fleet.claim(daemon, key=key)
            assert (claims_fleet.describe(again), again.err_value.ran) == ("key_expired", "unknown")

    async def test_second_sweeper_at_the_same_time_does_not_raise_the_watermark_again(self):
        fleet = claims_fleet.Fleet()
        fleet.clock.advance(retention.RETENTION_MS)
        await self.run_sweep(fleet)
        stored = fleet.store.entries[retention.WATERMARK_KEY].revision
        assert (await fleet.watermarks["b"].raise_to(0)).unwrap() == (
            await fleet.watermarks["a"].raise_to(0)
        ).unwrap()
        assert fleet.store.entries[retention.WATERMARK_KEY].revision == stored

    async def test_claim_on_another_key_is_never_deleted_but_its_answer_is(self):
        fleet = claims_fleet.Fleet()
        await claims_fleet.record_answer(fleet, (await fleet.claim()).ok_value)
        fleet.clock.advance(40 * 24 * claims_fleet.HOUR_MS)
        await self.run_sweep(fleet)
        shard = keys.locate_key("press-floor", "lot-7").shard
        stored = fleet.store.entries[shard]
        shards = fleet.books["a"]._writer
        await shards._swap(shard, (await shards._load(shard)).ok_value.shard, stored.revision)
        assert claims_fleet.describe(await fleet.claim("b")) == "answer_not_kept"

    async def test_daemon_with_an_old_copy_of_the_watermark_reads_it_before_a_request_runs(self):
        fleet = claims_fleet.Fleet()
        key = fleet.make_key()
        await claims_fleet.record_answer(fleet, (await fleet.claim("a", key=key)).ok_value)
        await fleet.claim("b", key="warm")
        fleet.clock.advance(retention.RETENTION_MS + claims_fleet.HOUR_MS)
        await self.run_sweep(fleet)
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "key_expired"

    @pytest.mark.parametrize(
        "difference_ms", [-claims_fleet.HOUR_MS, -250, 250, claims_fleet.HOUR_MS]
    )
    async def test_wall_clock_of_a_daemon_does_not_matter(self, difference_ms, monkeypatch):
        fleet = claims_fleet.Fleet()
        key = fleet.make_key()
        await claims_fleet.record_answer(fleet, (await fleet.claim("a", key=key)).ok_value)
        fleet.clock.advance(retention.RETENTION_MS + 2 * claims_fleet.HOUR_MS)
        await self.run_sweep(fleet)
        shifted = ShiftedClock(fleet.clock, difference_ms)
        for part in (fleet.books["b"], fleet.watermarks["b"], fleet.books["b"]._writer):
            monkeypatch.setattr(part, "_clock", shifted)
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "key_expired"

    async def test_key_from_the_future_is_refused(self):
        fleet = claims_fleet.Fleet()
        key = fleet.make_key(age_ms=-2 * claims_fleet.HOUR_MS)
        assert claims_fleet.describe(await fleet.claim(key=key)) == "bad_request"


class ShiftedClock:
    """A clock whose wall time differs from that of another clock."""

    def __init__(self, clock: clocks.ManualClock, difference_ms: int) -> None:
        self.monotonic_ms = clock.monotonic_ms
        self.sleep_ms = clock.sleep_ms
        self.wall_ms = lambda: clock.wall_ms() + difference_ms


class TestRestoredService:
    @pytest.mark.parametrize("is_timed", [False, True])
    @pytest.mark.parametrize("daemon", ["a", "b"])
    async def test_key_claimed_after_the_backup_is_refused_once_detected(self, is_timed, daemon):
        fleet = claims_fleet.Fleet()
        for name in ("a", "b"):
            await fleet.claim(name, key=f"warm-{name}")
        backup, revision = dict(fleet.store.entries), fleet.store.revision
        key = fleet.make_key() if is_timed else "lot-7"
        await claims_fleet.record_answer(fleet, (await fleet.claim(key=key)).ok_value)
        fleet.store.entries, fleet.store.revision = backup, revision
        fleet.books["a"]._writer._cache.clear()
        detected = await fleet.claim("a", key="other")
        assert detected.err_value.kind == "key_expired"
        fleet.clock.advance(retention.COPY_MAX_AGE_MS)
        again = await fleet.claim(daemon, key=key)
        assert (claims_fleet.describe(again), again.err_value.ran) == ("key_expired", "unknown")
        assert claims_fleet.describe(await fleet.claim(daemon, key=fleet.make_key())) == "granted"

    async def test_wiped_service_refuses_earlier_keys(self):
        fleet = claims_fleet.Fleet()
        key = fleet.make_key()
        await claims_fleet.record_answer(fleet, (await fleet.claim(key=key)).ok_value)
        fleet.store.entries.clear()
        fleet.clock.advance(retention.COPY_MAX_AGE_MS)
        assert claims_fleet.describe(await fleet.claim(key=key)) == "key_expired"
