"""Claims of running daemons under faults: fault, point in time, what must be seen."""

import asyncio
import dataclasses

import pytest

from tanagerfork.claims import book, decision, keys, owner, writer
from tanagerfork.generated import claims
from tests import claims_fleet


async def leave(fleet: claims_fleet.Fleet, granted: book.Granted) -> None:
    fleet.clock.advance(60_000)


async def refuse(fleet: claims_fleet.Fleet, granted: book.Granted) -> None:
    await fleet.settle(granted, book.Outcome("not_run"))


async def doubt(fleet: claims_fleet.Fleet, granted: book.Granted) -> None:
    await fleet.settle(granted, book.Outcome("unknown"))


async def answer_at_large(fleet: claims_fleet.Fleet, granted: book.Granted) -> None:
    large = dataclasses.replace(claims_fleet.ANSWER, body=b"x" * (decision.ANSWER_LIMIT_BYTES + 1))
    await fleet.settle(granted, large)


async def answer_while_away(fleet: claims_fleet.Fleet, granted: book.Granted) -> None:
    fleet.store.is_away = True
    fleet.books["a"].settle(granted, claims_fleet.ANSWER)
    task = asyncio.ensure_future(fleet.clock.sleep_ms(60_000))
    await fleet.drive(task, step_ms=50)
    assert fleet.books["a"].unsettled == 1
    fleet.store.is_away = False
    await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))


async def answer_lost_twice(fleet: claims_fleet.Fleet, granted: book.Granted) -> None:
    fleet.store.lost_answers = 2
    await fleet.settle(granted, claims_fleet.ANSWER)


AFTER_A_GRANT = [
    ("the answer was recorded", claims_fleet.answer, "answered"),
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
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        key = fleet.make_key() if is_timed else "lot-7"
        setattr(fleet.store, at_the_claim, times)
        first = await fleet.claim(key=key)
        await bring_about(fleet, first.ok_value)
        again = await fleet.claim(daemon, key=key)
        assert claims_fleet.describe(again) == seen, fault
        if seen == "answered":
            assert again.ok_value == claims_fleet.ANSWER

    async def test_other_request_under_the_key_is_refused(self):
        fleet = claims_fleet.Fleet()
        await claims_fleet.answer(fleet, (await fleet.claim()).ok_value)
        again = await fleet.claim("b", request_hash="another")
        assert (claims_fleet.describe(again), again.err_value.ran) == ("key_reused", "no")

    async def test_two_teams_do_not_meet_under_one_key(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim()
        assert claims_fleet.describe(await fleet.claim("b", team="dispatch-desk")) == "granted"

    async def test_second_send_waits_for_an_attempt_under_way(self):
        fleet = claims_fleet.Fleet()
        first = await fleet.claim()
        wish = fleet.make_wish(deadline_ms=2_000)
        second = asyncio.ensure_future(fleet.books["b"].claim(wish))
        await fleet.drive(asyncio.ensure_future(fleet.clock.sleep_ms(50)))
        assert not second.done()
        await claims_fleet.answer(fleet, first.ok_value)
        assert (await fleet.drive(second)).ok_value == claims_fleet.ANSWER

    async def test_second_send_is_told_when_to_come_back_at_its_deadline(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim(runs_for_ms=30_000)
        again = await fleet.claim("b")
        assert claims_fleet.describe(again) == "outcome_unknown"
        assert 29_000 < again.err_value.retry_after_ms < 32_000

    async def test_waiting_second_send_reads_at_a_bounded_rate(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim(runs_for_ms=60_000)
        reads = fleet.store.reads
        await fleet.claim("b", deadline_ms=30_000)
        assert fleet.store.reads - reads < 45

    async def test_dead_attempt_is_not_waited_for(self):
        fleet = claims_fleet.Fleet()
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
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        setattr(fleet.store, field, amount)
        assert claims_fleet.describe(await fleet.claim()) == seen
        fleet.store.is_away = False
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        again = await fleet.claim("b")
        assert claims_fleet.describe(again) == (
            "outcome_unknown" if seen == "granted" else "granted"
        )

    async def test_late_claim_write_cannot_take_effect_after_it_was_given_up(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        place = keys.place_key("press-floor", "lot-7")
        before = fleet.store.entries.get(place.shard)
        fleet.store.lost_calls = 4
        assert claims_fleet.describe(await fleet.claim()) == "not_run"
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        revision = before.revision if before else 0
        assert (await fleet.store.swap(place.shard, b"late", revision)).is_err()

    async def test_claim_in_force_only_after_the_deadline_does_not_run(self):
        fleet = claims_fleet.Fleet()
        assert claims_fleet.describe(await fleet.claim(deadline_ms=0)) == "not_run"
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        assert claims_fleet.describe(await fleet.claim("b")) == "granted"

    @pytest.mark.parametrize("is_timed", [False, True])
    async def test_slow_service_holds_no_caller_past_its_deadline(self, is_timed):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        fleet.store.slow_ms = 700
        key = fleet.make_key() if is_timed else "lot-7"
        before_ms = fleet.clock.monotonic_ms()
        refused = await fleet.claim(key=key, deadline_ms=300)
        assert claims_fleet.describe(refused) == "not_run"
        assert fleet.clock.monotonic_ms() - before_ms < 400
        fleet.store.slow_ms = 0
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "granted"

    async def test_claims_that_wait_share_the_read_of_the_mark(self):
        fleet = claims_fleet.Fleet()
        fleet.store.is_away = True
        wishes = [fleet.books["a"].claim(fleet.make_wish(key=f"lot-{n}")) for n in range(30)]
        told = await fleet.drive(asyncio.ensure_future(asyncio.gather(*wishes)))
        assert list(map(claims_fleet.describe, told)) == ["not_run"] * 30
        assert fleet.store.reads <= 2

    async def test_two_daemons_at_once_get_one_grant(self):
        fleet = claims_fleet.Fleet()
        wishes = [fleet.books[name].claim(fleet.make_wish()) for name in ("a", "b")]
        both = await fleet.drive(asyncio.ensure_future(asyncio.gather(*wishes)))
        assert sorted(map(claims_fleet.describe, both)) == ["granted", "outcome_unknown"]

    async def test_full_shard_refuses_and_loses_nothing(self, monkeypatch):
        monkeypatch.setattr(decision, "CLAIM_LIMIT_BYTES", 0)
        fleet = claims_fleet.Fleet()
        key = fleet.make_key()
        first = await fleet.claim(key=key)
        assert claims_fleet.describe(first) == "granted"
        other = next(
            name
            for name in (keys.make_timed_key(fleet.clock.wall_ms(), bits) for bits in range(99))
            if keys.place_key("press-floor", name).shard == first.ok_value.shard and name != key
        )
        refused = await fleet.claim(key=other)
        assert claims_fleet.describe(refused) == "not_run" and refused.err_value.retry_after_ms
        await claims_fleet.answer(fleet, first.ok_value)
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "answered"

    async def test_largest_shard_stays_under_a_megabyte(self):
        fleet = claims_fleet.Fleet()
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


def choose_writer(key: str) -> str | None:
    return owner.choose_owner(keys.place_key("press-floor", key).shard, "ab")


class TestForwarding:
    @pytest.mark.parametrize("field", ["lost_calls", "lost_replies"])
    @pytest.mark.parametrize("amount", [0, 1, 2])
    async def test_lost_forward_is_written_directly_and_granted_once(self, field, amount):
        fleet = claims_fleet.Fleet(("a", "b", "c"), is_forwarding=True)
        setattr(fleet.peers, field, amount)
        first = [await fleet.claim(name, key="lot-8") for name in ("a", "b", "c")]
        assert list(map(claims_fleet.describe, first)) == [
            "granted",
            "outcome_unknown",
            "outcome_unknown",
        ]

    async def test_service_gone_after_a_lost_reply_leaves_no_claim_behind(self):
        fleet = claims_fleet.Fleet(("a", "b"), is_forwarding=True)
        sender = next(name for name in "ab" if name != choose_writer("lot-8"))
        fleet.peers.lost_replies = 1
        fleet.peers.on_lost_reply = lambda: setattr(fleet.store, "is_away", True)
        assert claims_fleet.describe(await fleet.claim(sender, key="lot-8")) == "not_run"
        assert fleet.books[sender].unsettled == 1
        fleet.store.is_away = False
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled(sender)))
        assert claims_fleet.describe(await fleet.claim(sender, key="lot-8")) == "granted"

    async def test_dead_writer_is_asked_once_in_a_while(self):
        fleet = claims_fleet.Fleet(("a", "b"), is_forwarding=True)
        fleet.peers.lost_calls = 1_000
        made = [keys.make_timed_key(fleet.clock.wall_ms(), number) for number in range(30)]
        for key in made:
            assert claims_fleet.describe(await fleet.claim(key=key)) == "granted"
        assert 1_000 - fleet.peers.lost_calls <= 2

    async def test_late_duplicate_of_a_forward_does_not_claim_again(self):
        fleet = claims_fleet.Fleet()
        granted = (await fleet.claim()).ok_value
        await refuse(fleet, granted)
        call = claims.ClaimCall(shard=granted.shard, record=granted.record)
        late = await fleet.drive(asyncio.ensure_future(fleet.books["b"].serve(call)))
        assert late.ok_value.verdict == "taken"
        assert claims_fleet.describe(await fleet.claim("b")) == "granted"

    async def test_waiting_claims_share_a_write(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key=fleet.make_key())
        writes = fleet.store.writes
        made = [keys.make_timed_key(fleet.clock.wall_ms(), number) for number in range(40)]
        wishes = [fleet.books["a"].claim(fleet.make_wish(key=key)) for key in made]
        taken = await fleet.drive(asyncio.ensure_future(asyncio.gather(*wishes)))
        assert list(map(claims_fleet.describe, taken)) == ["granted"] * 40
        assert fleet.store.writes - writes <= 2 * keys.LANES
