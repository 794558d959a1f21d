"""Claims of running daemons under faults: fault, point in time, what must be seen."""

import asyncio
import dataclasses

import pytest
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import book, decision, keys, mark, owner, sweeper, writer
from tanagerfork.generated import claims
from tests import fakes

ANSWER = book.Outcome("answered", 201, "application/json", b'{"number":1}')
HOUR_MS = 3_600_000


class FakePeers:
    """Daemons in one process whose links can lose a call or its reply."""

    def __init__(self) -> None:
        self.books: dict[str, book.ClaimBook] = {}
        self.lost_calls = 0
        self.lost_replies = 0

    def list_live(self) -> list[str]:
        """Return the names of all daemons."""
        return list(self.books)

    async def send(
        self, name: str, call: claims.ClaimCall
    ) -> result.Result[claims.ClaimReply, errors.PlatformError]:
        """Have another daemon write."""
        if self.lost_calls > 0:
            self.lost_calls -= 1
            return result.Err(errors.AnswerLost("lost; write directly"))
        reply = await self.books[name].serve(call)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return result.Err(errors.AnswerLost("lost; write directly"))
        return reply


class Fleet:
    """Daemons over one key-value service, on explicit time."""

    def __init__(self, names: tuple[str, ...] = ("a", "b"), is_forwarding: bool = False) -> None:
        self.clock = clocks.ManualClock()
        self.store = fakes.MemoryKeyValue()
        self.metrics = metric.Metrics()
        self.peers = FakePeers()
        self.marks = {name: mark.MarkKeeper(self.store, self.clock, self.metrics) for name in names}
        self.books: dict[str, book.ClaimBook] = {}
        for name in names:
            shards = writer.ShardWriter(self.store, self.clock, self.metrics, self.marks[name])
            way = self.peers if is_forwarding else owner.NoPeers()
            made = book.ClaimBook(name, self.clock, self.metrics, shards, self.marks[name], way)
            self.books[name] = made
        if is_forwarding:
            self.peers.books = self.books

    async def drive(self, task: asyncio.Task, limit_ms: int = 10 * HOUR_MS, step_ms: int = 5):
        """Let time pass until a task is done."""
        for _ in range(limit_ms // step_ms):
            for _ in range(30):
                await asyncio.sleep(0)
            if task.done():
                return task.result()
            self.clock.advance(step_ms)
        raise AssertionError("did not end in time")

    async def claim(self, daemon: str = "a", **changed):
        """Claim and let time pass until the answer is there."""
        wish = self.make_wish(**changed)
        return await self.drive(asyncio.ensure_future(self.books[daemon].claim(wish)))

    def make_wish(self, **changed) -> book.ClaimWish:
        """Return a wish that differs where told."""
        self.metrics.count("wishes")
        attempt = f"attempt-{self.metrics.counted('wishes')}"
        wish = book.ClaimWish("press-floor", "lot-7", "request", attempt, 500, 200)
        return dataclasses.replace(wish, **changed)

    async def settle(self, granted: book.Granted, outcome: book.Outcome, daemon: str = "a"):
        """Record an outcome and wait until it is recorded."""
        self.books[daemon].settle(granted, outcome)
        await self.drive(asyncio.ensure_future(self.wait_until_settled(daemon)))

    async def wait_until_settled(self, daemon: str) -> None:
        """Wait until all outcomes of a daemon are recorded."""
        while self.books[daemon].unsettled:
            await self.clock.sleep_ms(5)

    def make_key(self, age_ms: int = 0) -> str:
        """Return a time-ordered key."""
        return keys.make_timed_key(self.clock.wall_ms() - age_ms, 12345)


def describe(claimed) -> str:
    """Return granted, answered or the kind of the refusal."""
    if isinstance(claimed, result.Err):
        return claimed.err_value.kind
    return "granted" if isinstance(claimed.ok_value, book.Granted) else claimed.ok_value.state


async def answer(fleet: Fleet, granted: book.Granted) -> None:
    await fleet.settle(granted, ANSWER)


async def leave(fleet: Fleet, granted: book.Granted) -> None:
    fleet.clock.advance(60_000)


async def refuse(fleet: Fleet, granted: book.Granted) -> None:
    await fleet.settle(granted, book.Outcome("not_run"))


async def doubt(fleet: Fleet, granted: book.Granted) -> None:
    await fleet.settle(granted, book.Outcome("unknown"))


async def answer_at_large(fleet: Fleet, granted: book.Granted) -> None:
    large = dataclasses.replace(ANSWER, body=b"x" * (decision.ANSWER_LIMIT_BYTES + 1))
    await fleet.settle(granted, large)


async def answer_while_away(fleet: Fleet, granted: book.Granted) -> None:
    fleet.store.is_away = True
    fleet.books["a"].settle(granted, ANSWER)
    task = asyncio.ensure_future(fleet.clock.sleep_ms(60_000))
    await fleet.drive(task, step_ms=50)
    assert fleet.books["a"].unsettled == 1
    fleet.store.is_away = False
    await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))


async def answer_lost_twice(fleet: Fleet, granted: book.Granted) -> None:
    fleet.store.lost_answers = 2
    await fleet.settle(granted, ANSWER)


AFTER_A_GRANT = [
    ("the answer was recorded", answer, "answered"),
    ("the daemon died after the claim", leave, "outcome_unknown"),
    ("the upstream refused before running", refuse, "granted"),
    ("the upstream broke off", doubt, "outcome_unknown"),
    ("the answer was too large to keep", answer_at_large, "answer_not_kept"),
    ("the service was away when it was answered", answer_while_away, "answered"),
    ("answers to the outcome's write were lost, twice", answer_lost_twice, "answered"),
]


AT_THE_CLAIM = [("lost_answers", 0), ("lost_answers", 2), ("lost_calls", 1), ("lost_calls", 2)]


class TestResend:
    @pytest.mark.parametrize(("fault", "bring_about", "seen"), AFTER_A_GRANT)
    @pytest.mark.parametrize(("at_the_claim", "times"), AT_THE_CLAIM)
    @pytest.mark.parametrize("daemon", ["a", "b"])
    @pytest.mark.parametrize("is_timed", [False, True])
    async def test_outcome_of_the_first_send_is_told(
        self, fault, bring_about, seen, at_the_claim, times, daemon, is_timed
    ):
        fleet = Fleet()
        await fleet.claim(key="warm")
        key = fleet.make_key() if is_timed else "lot-7"
        setattr(fleet.store, at_the_claim, times)
        first = await fleet.claim(key=key)
        await bring_about(fleet, first.ok_value)
        again = await fleet.claim(daemon, key=key)
        assert describe(again) == seen, fault
        if seen == "answered":
            assert again.ok_value == ANSWER

    async def test_other_request_under_the_key_is_refused(self):
        fleet = Fleet()
        await answer(fleet, (await fleet.claim()).ok_value)
        again = await fleet.claim("b", request_hash="another")
        assert (describe(again), again.err_value.ran) == ("key_reused", "no")

    async def test_two_teams_do_not_meet_under_one_key(self):
        fleet = Fleet()
        await fleet.claim()
        assert describe(await fleet.claim("b", team="dispatch-desk")) == "granted"

    async def test_second_send_waits_for_an_attempt_under_way(self):
        fleet = Fleet()
        first = await fleet.claim()
        wish = fleet.make_wish(deadline_ms=2_000)
        second = asyncio.ensure_future(fleet.books["b"].claim(wish))
        await fleet.drive(asyncio.ensure_future(fleet.clock.sleep_ms(50)))
        assert not second.done()
        await answer(fleet, first.ok_value)
        assert (await fleet.drive(second)).ok_value == ANSWER

    async def test_second_send_is_told_when_to_come_back_at_its_deadline(self):
        fleet = Fleet()
        await fleet.claim(runs_for_ms=30_000)
        again = await fleet.claim("b")
        assert describe(again) == "outcome_unknown"
        assert 29_000 < again.err_value.retry_after_ms < 32_000

    async def test_waiting_second_send_reads_at_a_bounded_rate(self):
        fleet = Fleet()
        await fleet.claim(runs_for_ms=60_000)
        reads = fleet.store.reads
        await fleet.claim("b", deadline_ms=30_000)
        assert fleet.store.reads - reads < 45

    async def test_dead_attempt_is_not_waited_for(self):
        fleet = Fleet()
        await fleet.claim()
        await leave(fleet, None)
        before_ms = fleet.clock.monotonic_ms()
        again = await fleet.claim("b", deadline_ms=60_000)
        assert again.err_value.retry_after_ms == 0
        assert fleet.clock.monotonic_ms() - before_ms < 100


class TestClaimWrite:
    @pytest.mark.parametrize(
        ("field", "amount", "seen"),
        [
            ("lost_answers", 1, "granted"),
            ("lost_calls", 1, "granted"),
            ("lost_answers", 3, "granted"),
            ("lost_calls", 4, "not_run"),
            ("is_away", True, "not_run"),
        ],
    )
    async def test_fault_of_the_service_at_the_claim(self, field, amount, seen):
        fleet = Fleet()
        await fleet.claim(key="warm")
        setattr(fleet.store, field, amount)
        assert describe(await fleet.claim()) == seen
        fleet.store.is_away = False
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        again = await fleet.claim("b")
        assert describe(again) == ("outcome_unknown" if seen == "granted" else "granted")

    async def test_late_claim_write_cannot_take_effect_after_it_was_given_up(self):
        fleet = Fleet()
        await fleet.claim(key="warm")
        place = keys.place_key("press-floor", "lot-7")
        before = fleet.store.entries.get(place.shard)
        fleet.store.lost_calls = 4
        assert describe(await fleet.claim()) == "not_run"
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        revision = before.revision if before else 0
        assert (await fleet.store.swap(place.shard, b"late", revision)).is_err()

    async def test_claim_in_force_only_after_the_deadline_does_not_run(self):
        fleet = Fleet()
        assert describe(await fleet.claim(deadline_ms=0)) == "not_run"
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        assert describe(await fleet.claim("b")) == "granted"

    async def test_two_daemons_at_once_get_one_grant(self):
        fleet = Fleet()
        wishes = [fleet.books[name].claim(fleet.make_wish()) for name in ("a", "b")]
        both = await fleet.drive(asyncio.ensure_future(asyncio.gather(*wishes)))
        assert sorted(map(describe, both)) == ["granted", "outcome_unknown"]

    async def test_full_shard_refuses_and_loses_nothing(self, monkeypatch):
        monkeypatch.setattr(decision, "CLAIM_LIMIT_BYTES", 0)
        fleet = Fleet()
        key = fleet.make_key()
        first = await fleet.claim(key=key)
        assert describe(first) == "granted"
        other = next(
            name
            for name in (keys.make_timed_key(fleet.clock.wall_ms(), bits) for bits in range(99))
            if keys.place_key("press-floor", name).shard == first.ok_value.shard and name != key
        )
        refused = await fleet.claim(key=other)
        assert describe(refused) == "not_run" and refused.err_value.retry_after_ms
        await answer(fleet, first.ok_value)
        assert describe(await fleet.claim("b", key=key)) == "answered"

    async def test_largest_shard_stays_under_a_megabyte(self):
        fleet = Fleet()
        shard = decision.Shard([])
        body = b"x" * decision.ANSWER_LIMIT_BYTES
        for number in range(5_000):
            record = claims.ClaimRecord(
                key_hash=f"{number:022}",
                request_hash="r" * 22,
                attempt="a" * 32,
                claimed_at_ms=fleet.clock.wall_ms(),
                until_ms=fleet.clock.wall_ms(),
                state="claimed",
            )
            if decision.apply_claim(shard, record).verdict == "full":
                break
            outcome = decision.make_outcome(record, "answered", 201, "t" * 80, body)
            decision.apply_outcome(shard, outcome)
        fleet.books["a"]._writer._known["x"] = writer._Known(0, shard)
        await fleet.books["a"]._writer._swap("x", shard, 0)
        assert 500_000 < len(fleet.store.entries["x"].value) < 1_000_000


class TestForwarding:
    @pytest.mark.parametrize("field", ["lost_calls", "lost_replies"])
    @pytest.mark.parametrize("amount", [0, 1, 2])
    async def test_lost_forward_is_written_directly_and_granted_once(self, field, amount):
        fleet = Fleet(("a", "b", "c"), is_forwarding=True)
        setattr(fleet.peers, field, amount)
        first = [await fleet.claim(name, key="lot-8") for name in ("a", "b", "c")]
        assert list(map(describe, first)) == ["granted", "outcome_unknown", "outcome_unknown"]

    async def test_dead_writer_is_asked_once_in_a_while(self):
        fleet = Fleet(("a", "b"), is_forwarding=True)
        fleet.peers.lost_calls = 1_000
        made = [keys.make_timed_key(fleet.clock.wall_ms(), number) for number in range(30)]
        for key in made:
            assert describe(await fleet.claim(key=key)) == "granted"
        assert 1_000 - fleet.peers.lost_calls <= 2

    async def test_late_duplicate_of_a_forward_does_not_claim_again(self):
        fleet = Fleet()
        granted = (await fleet.claim()).ok_value
        await refuse(fleet, granted)
        call = claims.ClaimCall(shard=granted.shard, record=granted.record)
        late = await fleet.drive(asyncio.ensure_future(fleet.books["b"].serve(call)))
        assert late.ok_value.verdict == "taken"
        assert describe(await fleet.claim("b")) == "granted"

    async def test_waiting_claims_share_a_write(self):
        fleet = Fleet()
        await fleet.claim(key=fleet.make_key())
        writes = fleet.store.writes
        made = [keys.make_timed_key(fleet.clock.wall_ms(), number) for number in range(40)]
        wishes = [fleet.books["a"].claim(fleet.make_wish(key=key)) for key in made]
        taken = await fleet.drive(asyncio.ensure_future(asyncio.gather(*wishes)))
        assert list(map(describe, taken)) == ["granted"] * 40
        assert fleet.store.writes - writes <= 2 * keys.LANES


class TestRetention:
    async def sweep(self, fleet: Fleet) -> None:
        swept = sweeper.ClaimSweeper(
            fleet.store, fleet.clock, fleet.metrics, fleet.marks["a"], lambda: True
        )
        await fleet.drive(asyncio.ensure_future(swept.sweep()), step_ms=60_000)

    async def test_time_ordered_key_is_refused_after_its_retention(self):
        fleet = Fleet()
        key = fleet.make_key()
        granted = (await fleet.claim(key=key)).ok_value
        await answer(fleet, granted)
        fleet.clock.advance(mark.RETENTION_MS + HOUR_MS)
        assert describe(await fleet.claim("b", key=key)) == "answered"
        await self.sweep(fleet)
        assert granted.shard not in fleet.store.entries
        for daemon in ("a", "b"):
            again = await fleet.claim(daemon, key=key)
            assert (describe(again), again.err_value.ran) == ("key_expired", "unknown")

    async def test_second_sweeper_of_the_same_time_does_not_raise_the_mark_again(self):
        fleet = Fleet()
        fleet.clock.advance(mark.RETENTION_MS)
        await self.sweep(fleet)
        stored = fleet.store.entries[mark.MARK_KEY].revision
        assert (await fleet.marks["b"].raise_to(0)).unwrap() == (
            await fleet.marks["a"].raise_to(0)
        ).unwrap()
        assert fleet.store.entries[mark.MARK_KEY].revision == stored

    async def test_other_key_is_never_forgotten_but_its_answer_is(self):
        fleet = Fleet()
        await answer(fleet, (await fleet.claim()).ok_value)
        fleet.clock.advance(40 * 24 * HOUR_MS)
        await self.sweep(fleet)
        shard = keys.place_key("press-floor", "lot-7").shard
        stored = fleet.store.entries[shard]
        shards = fleet.books["a"]._writer
        await shards._swap(shard, (await shards._load(shard)).ok_value.shard, stored.revision)
        assert describe(await fleet.claim("b")) == "answer_not_kept"

    async def test_daemon_whose_copy_of_the_mark_is_old_reads_it_before_it_runs(self):
        fleet = Fleet()
        key = fleet.make_key()
        await answer(fleet, (await fleet.claim("a", key=key)).ok_value)
        await fleet.claim("b", key="warm")
        fleet.clock.advance(mark.RETENTION_MS + HOUR_MS)
        await self.sweep(fleet)
        assert describe(await fleet.claim("b", key=key)) == "key_expired"

    @pytest.mark.parametrize("difference_ms", [-HOUR_MS, -250, 250, HOUR_MS])
    async def test_wall_clock_of_a_daemon_does_not_decide(self, difference_ms, monkeypatch):
        fleet = Fleet()
        key = fleet.make_key()
        await answer(fleet, (await fleet.claim("a", key=key)).ok_value)
        fleet.clock.advance(mark.RETENTION_MS + 2 * HOUR_MS)
        await self.sweep(fleet)
        wall_ms = fleet.clock.wall_ms
        monkeypatch.setattr(fleet.books["b"], "_clock", ShiftedClock(fleet.clock, difference_ms))
        assert wall_ms() == fleet.clock.wall_ms()
        assert describe(await fleet.claim("b", key=key)) == "key_expired"

    async def test_key_from_the_future_is_refused(self):
        fleet = Fleet()
        key = fleet.make_key(age_ms=-2 * HOUR_MS)
        assert describe(await fleet.claim(key=key)) == "bad_request"


class ShiftedClock:
    """A clock whose wall time differs."""

    def __init__(self, clock: clocks.ManualClock, difference_ms: int) -> None:
        self.monotonic_ms = clock.monotonic_ms
        self.sleep_ms = clock.sleep_ms
        self.wall_ms = lambda: clock.wall_ms() + difference_ms


class TestRestoredService:
    @pytest.mark.parametrize("is_timed", [False, True])
    @pytest.mark.parametrize("daemon", ["a", "b"])
    async def test_key_claimed_after_the_backup_is_refused_once_noticed(self, is_timed, daemon):
        fleet = Fleet()
        for name in ("a", "b"):
            await fleet.claim(name, key=f"warm-{name}")
        backup, revision = dict(fleet.store.entries), fleet.store.revision
        key = fleet.make_key() if is_timed else "lot-7"
        await answer(fleet, (await fleet.claim(key=key)).ok_value)
        fleet.store.entries, fleet.store.revision = backup, revision
        fleet.books["a"]._writer._known.clear()
        noticed = await fleet.claim("a", key="other")
        assert noticed.err_value.kind == "key_expired"
        fleet.clock.advance(mark.COPY_MAX_AGE_MS)
        again = await fleet.claim(daemon, key=key)
        assert (describe(again), again.err_value.ran) == ("key_expired", "unknown")
        assert describe(await fleet.claim(daemon, key=fleet.make_key())) == "granted"

    async def test_wiped_service_refuses_earlier_keys(self):
        fleet = Fleet()
        key = fleet.make_key()
        await answer(fleet, (await fleet.claim(key=key)).ok_value)
        fleet.store.entries.clear()
        fleet.clock.advance(mark.COPY_MAX_AGE_MS)
        assert describe(await fleet.claim(key=key)) == "key_expired"
