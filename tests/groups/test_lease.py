"""Tests of the coordinator's lease."""

import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork import record as records
from tanagerfork.generated import layout
from tanagerfork.groups import lease
from tanagerfork.peers import rendezvous
from tanagerfork.storage import key_value
from tests import fakes

TTL_MS = 5000


def make_record(
    holder: str = "b", fencing: int = 3, ttl_ms: int = TTL_MS, era: int = 0
) -> layout.LeaseRecord:
    return layout.LeaseRecord(
        holder=holder, fencing=fencing, ttl_ms=ttl_ms, token=f"{holder}-token", era=era
    )


def take(state: lease.LeaseState, now_ms: int, revision: int = 2) -> layout.LeaseRecord:
    record = state.plan_write(now_ms)
    assert record is not None
    state.on_write_sent(record, now_ms)
    state.on_write_confirmed(revision)
    return record


class TestWait:
    @pytest.mark.parametrize(
        ("record", "known_fencing", "wait_ms", "fencing"),
        [
            (None, 0, 0, 1),  # There never was a coordinator.
            (None, 7, TTL_MS, 8),  # The record was deleted, the layout was not.
            (make_record(), 0, TTL_MS, 4),
            (make_record(ttl_ms=9000), 0, 9000, 4),  # The TTL of the predecessor applies.
            (make_record(holder=""), 0, 0, 4),  # Released at a planned stop.
            (make_record(fencing=3), 9, TTL_MS, 10),  # An old record was restored.
            (make_record(holder="", fencing=3), 9, TTL_MS, 10),  # The same, released then.
        ],
    )
    def test_successor_waits_and_increases_the_fencing_number(
        self, record, known_fencing, wait_ms, fencing
    ):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(record, 5, 1000)
        if wait_ms:
            assert state.plan_write(1000 + wait_ms - 1, known_fencing) is None
        planned = state.plan_write(1000 + wait_ms, known_fencing)
        assert planned is not None and (planned.holder, planned.fencing) == ("a", fencing)

    def test_released_record_of_a_restored_service_is_waited_out(self):
        """Its successor, whose record was lost, may still be active."""
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(), key_value.make_revision(1, 10), 0)
        state.on_read(make_record(holder="", fencing=3), key_value.make_revision(2, 8), 1000)
        assert state.plan_write(1000 + TTL_MS - 1) is None
        assert state.plan_write(1000 + TTL_MS) is not None

    def test_released_record_after_one_of_the_same_era_is_not(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, key_value.ABSENT, 0)
        state.on_read(make_record(era=2), key_value.make_revision(2, 10), 0)
        state.on_read(make_record(holder="", era=2), key_value.make_revision(2, 12), 1000)
        assert state.plan_write(1000) is not None

    def test_daemon_that_starts_after_a_restore_waits_out_a_released_record(self):
        """The record is of an earlier era, so that a successor's may be lost."""
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(holder="", era=1), key_value.make_revision(2, 8), 1000)
        assert state.plan_write(1000 + TTL_MS - 1) is None
        assert state.plan_write(1000 + TTL_MS) is not None

    def test_daemon_that_starts_after_a_restore_waits_where_there_is_no_record(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, key_value.make_revision(2, 0), 1000)
        assert state.plan_write(1000 + TTL_MS - 1) is None
        assert state.plan_write(1000 + TTL_MS) is not None

    def test_record_that_was_written_after_the_restore_ends_the_doubt(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(), key_value.make_revision(1, 10), 0)
        state.on_read(make_record(fencing=3), key_value.make_revision(2, 8), 1000)
        state.on_read(make_record(fencing=4, era=2), key_value.make_revision(2, 20), 8000)
        released = make_record(holder="", fencing=4, era=2)
        state.on_read(released, key_value.make_revision(2, 21), 9000)
        assert state.plan_write(9000) is not None

    def test_renewal_restarts_the_wait(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(), 5, 0)
        state.on_read(make_record(), 6, 3000)
        assert state.plan_write(TTL_MS) is None
        assert state.plan_write(3000 + TTL_MS) is not None

    def test_restarted_holder_waits_for_its_own_lease_to_expire(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(holder="a"), 5, 0)
        assert not state.may_act(0, 0) and state.plan_write(TTL_MS - 1) is None

    def test_candidates_of_later_rank_wait_longer(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(), 5, 0)
        assert state.plan_write(TTL_MS, extra_wait_ms=1000) is None


class TestHolding:
    def test_lease_starts_before_the_write_is_sent(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, 0, 0)
        record = state.plan_write(0)
        state.on_write_sent(record, 0)
        state.on_write_confirmed(2)  # The answer arrives after 4,000 ms.
        assert state.may_act(4000, 500)
        assert not state.may_act(4000, 1000)
        assert not state.may_act(TTL_MS, 0)

    def test_successor_never_overlaps_with_the_holder(self):
        holder, successor = lease.LeaseState("a", TTL_MS), lease.LeaseState("b", TTL_MS)
        holder.on_read(None, 0, 0)
        record = take(holder, 0)
        successor.on_read(record, 2, 1)  # The earliest possible read of the record.
        for now_ms in range(0, 3 * TTL_MS, 10):
            planned = successor.plan_write(now_ms)
            assert not (planned is not None and holder.may_act(now_ms, 0))

    @pytest.mark.parametrize(
        ("record", "revision"),
        [(None, 0), (make_record(fencing=2), 9), (make_record(holder="", fencing=4), 9)],
    )
    def test_changed_record_ends_the_lease_immediately(self, record, revision):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(holder=""), 1, 0)
        assert take(state, 0).fencing == 4
        state.on_read(record, revision, 100)
        assert not state.may_act(100, 0)

    def test_higher_fencing_number_ends_the_lease_and_is_exceeded(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, 0, 0)
        take(state, 0)
        assert state.plan_write(1, known_fencing=6) is None and not state.may_act(1, 0)
        assert state.plan_write(TTL_MS, known_fencing=6).fencing == 7

    def test_renewal_keeps_the_fencing_number(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, 0, 0)
        first = take(state, 0)
        assert state.plan_write(100) is None
        second = take(state, 2000, revision=3)
        assert second.fencing == first.fencing and second.token != first.token
        assert state.may_act(6000, 0)

    def test_unconfirmed_renewal_extends_the_lease_only_after_a_read(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, 0, 0)
        take(state, 0)
        renewal = state.plan_write(2000)
        state.on_write_sent(renewal, 2000)
        state.on_write_unconfirmed()
        assert state.may_act(4000, 0) and not state.may_act(5500, 0)
        state.on_read(renewal, 3, 5600)
        assert state.may_act(5600, 0) and not state.may_act(7000, 0)

    def test_own_write_that_took_effect_after_a_restore_does_not_count(self):
        """It was answered by nobody, and the record that it replaced may be lost."""
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, key_value.make_revision(1, 0), 0)
        record = state.plan_write(0)
        state.on_write_sent(record, 0)
        state.on_write_unconfirmed()
        state.on_read(record, key_value.make_revision(2, 3), 100)
        assert not state.may_act(100, 0)

    def test_expired_holder_whose_record_was_restored_waits(self):
        """Another holder may have followed before the restore."""
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, key_value.make_revision(1, 0), 0)
        own = take(state, 0, key_value.make_revision(1, 1))
        state.on_write_sent(state.plan_write(TTL_MS), TTL_MS)
        state.on_write_unconfirmed()
        state.on_read(own, key_value.make_revision(2, 1), TTL_MS + 1)
        assert state.plan_write(2 * TTL_MS) is None
        assert state.plan_write(2 * TTL_MS + 1) is not None

    def test_released_lease_does_not_allow_actions(self):
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(None, 0, 0)
        take(state, 0)
        assert state.plan_release().holder == "" and not state.may_act(1, 0)
        assert state.plan_release() is None


class EarlierLeaseRecord(records.Record):
    """Record as builds know it that write no era."""

    holder: str
    fencing: int
    ttl_ms: int
    renewals: int = 0
    token: str = ""


class TestMixedBuilds:
    """A build whose records name no era, beside one whose records do."""

    def test_each_reads_the_records_of_the_other(self):
        later = msgspec.json.encode(make_record(era=2))
        earlier = msgspec.json.decode(later, type=EarlierLeaseRecord)
        assert (earlier.holder, earlier.fencing, earlier.token) == ("b", 3, "b-token")
        read_back = msgspec.json.decode(msgspec.json.encode(earlier), type=layout.LeaseRecord)
        assert read_back == make_record(era=0)

    def test_lease_that_the_earlier_build_released_is_waited_out(self):
        """Nothing says in which era it was."""
        state = lease.LeaseState("a", TTL_MS)
        state.on_read(make_record(holder="", era=0), key_value.make_revision(1, 8), 1000)
        assert state.plan_write(1000 + TTL_MS - 1) is None
        assert state.plan_write(1000 + TTL_MS) is not None


class TestKeeper:
    @staticmethod
    def make_keeper(store, clock, name, names=()):
        return lease.LeaseKeeper("ipoh-a", name, store, clock, TTL_MS, lambda: names or (name,))

    async def test_lost_answers_leave_exactly_one_holder(self):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        first, second = (self.make_keeper(store, clock, name) for name in "ab")
        store.lost_answers = 1
        for _ in range(40):
            await first.take_step(0)
            await second.take_step(0)
            holders = [
                keeper
                for keeper in (first, second)
                if keeper.state.may_act(clock.monotonic_ms(), 0)
            ]
            assert holders == [first]
            store.lost_answers += clock.monotonic_ms() % 2000 == 0
            clock.advance(500)

    async def test_outage_ends_the_lease_without_a_successor(self):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        first, second = (self.make_keeper(store, clock, name) for name in "ab")
        await first.take_step(0)
        await second.take_step(0)
        store.is_away = True
        for _ in range(20):
            clock.advance(500)
            await first.take_step(0)
            await second.take_step(0)
        assert not first.state.may_act(clock.monotonic_ms(), 0)
        assert not second.state.may_act(clock.monotonic_ms(), 0)
        assert first.measure_outage_ms() >= 7000
        store.is_away = False
        await first.take_step(0)
        assert first.measure_outage_ms() == 0

    async def test_paused_holder_resumes_without_the_lease(self):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        first, second = (self.make_keeper(store, clock, name) for name in "ab")
        await first.take_step(0)
        for _ in range(12):
            await second.take_step(0)
            clock.advance(500)
        assert second.state.may_act(clock.monotonic_ms(), 0) and second.state.fencing == 2
        assert not first.state.may_act(clock.monotonic_ms(), 0)
        await first.take_step(0)
        assert not first.state.is_held

    async def test_unreadable_record_is_treated_as_held(self):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        await store.swap("lease/ipoh-a", b"garbage", 0)
        keeper = self.make_keeper(store, clock, "a")
        await keeper.take_step(0)
        assert not keeper.state.is_held
        clock.advance(TTL_MS)
        await keeper.take_step(0)
        assert keeper.state.fencing == 2

    async def test_holder_that_is_no_longer_a_candidate_releases_the_lease(self):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        names = ["a"]
        keeper = lease.LeaseKeeper("ipoh-a", "a", store, clock, TTL_MS, lambda: names)
        await keeper.take_step(0)
        assert keeper.state.may_act(0, 0)
        ranked = rendezvous.rank(rendezvous.COORDINATOR_KEY, [f"d{number}" for number in range(30)])
        names += ranked[:5]
        assert rendezvous.rank(rendezvous.COORDINATOR_KEY, names)[:3].count("a") == 0
        await keeper.take_step(0)
        assert not keeper.state.may_act(0, 0)
        other = self.make_keeper(store, clock, ranked[0], tuple(names))
        await other.take_step(0)
        assert other.state.fencing == 2

    async def test_released_lease_is_taken_without_a_wait(self):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        first, second = (self.make_keeper(store, clock, name) for name in "ab")
        await first.take_step(0)
        await first.release()
        await second.take_step(0)
        assert second.state.may_act(clock.monotonic_ms(), 0) and second.state.fencing == 2

    @pytest.mark.parametrize("daemons", [6, 20, 70])
    async def test_calls_do_not_increase_with_the_number_of_daemons(self, daemons):
        store, clock = fakes.MemoryKeyValue(), clocks.ManualClock()
        names = tuple(f"d{number}" for number in range(daemons))
        keepers = [self.make_keeper(store, clock, name, names) for name in names]
        for _ in range(200):
            for keeper in keepers:
                await keeper.take_step(0)
            clock.advance(500)
        assert (store.reads + store.writes) / 100 < 2  # Calls per second.
