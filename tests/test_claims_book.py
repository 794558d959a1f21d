"""Tests of claims under faults: each fault at each point in time, with the expected result."""

import asyncio
import dataclasses

import pytest

from tanagerfork.claims import book, decision, keys, owner, writer
from tanagerfork.generated import claims
from tests import claims_fleet


async def abandon(fleet: claims_fleet.Fleet, granted: book.Grant) -> None:
    fleet.clock.advance(60_000)


async def record_refusal(fleet: claims_fleet.Fleet, granted: book.Grant) -> None:
    await fleet.settle(granted, book.Outcome("not_run"))


async def record_unknown(fleet: claims_fleet.Fleet, granted: book.Grant) -> None:
    await fleet.settle(granted, book.Outcome("unknown"))


async def record_large_answer(fleet: claims_fleet.Fleet, granted: book.Grant) -> None:
    large = dataclasses.replace(
        claims_fleet.ANSWER, body=b"x" * (decision.MAX_KEPT_ANSWER_BYTES + 1)
    )
    await fleet.settle(granted, large)


async def record_answer_while_unavailable(fleet: claims_fleet.Fleet, granted: book.Grant) -> None:
    fleet.store.is_away = True
    fleet.books["a"].settle(granted, claims_fleet.ANSWER)
    task = asyncio.ensure_future(fleet.clock.sleep_ms(60_000))
    await fleet.drive(task, step_ms=50)
    assert fleet.books["a"].unsettled == 1
    fleet.store.is_away = False
    await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))


async def record_answer_with_lost_replies(fleet: claims_fleet.Fleet, granted: book.Grant) -> None:
    fleet.store.lost_answers = 2
    await fleet.settle(granted, claims_fleet.ANSWER)


FAULTS_AFTER_GRANT = [
    ("the answer was recorded", claims_fleet.record_answer, "answered"),
    ("the daemon died after the claim", abandon, "outcome_unknown"),
    ("the upstream refused before running", record_refusal, "granted"),
    ("the upstream lost the connection", record_unknown, "outcome_unknown"),
    ("the answer was too large to keep", record_large_answer, "answer_not_kept"),
    ("the key-value service was unavailable", record_answer_while_unavailable, "answered"),
    ("two replies to the outcome's write were lost", record_answer_with_lost_replies, "answered"),
]


FAULTS_AT_CLAIM = [("lost_answers", 0), ("lost_answers", 2), ("lost_calls", 1), ("lost_calls", 2)]


class TestResend:
    @pytest.mark.parametrize(("fault", "apply_fault", "expected"), FAULTS_AFTER_GRANT)
    @pytest.mark.parametrize(("claim_fault", "times"), FAULTS_AT_CLAIM)
    @pytest.mark.parametrize("daemon", ["a", "b"])
    @pytest.mark.parametrize("is_timed", [False, True])
    async def test_second_send_gets_the_outcome_of_the_first(
        self, fault, apply_fault, expected, claim_fault, times, daemon, is_timed
    ):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        key = fleet.make_key() if is_timed else "lot-7"
        setattr(fleet.store, claim_fault, times)
        first = await fleet.claim(key=key)
        await apply_fault(fleet, first.ok_value)
        again = await fleet.claim(daemon, key=key)
        assert claims_fleet.describe(again) == expected, fault
        if expected == "answered":
            assert again.ok_value == claims_fleet.ANSWER

    async def test_different_request_under_the_same_key_is_refused(self):
        fleet = claims_fleet.Fleet()
        await claims_fleet.record_answer(fleet, (await fleet.claim()).ok_value)
        again = await fleet.claim("b", request_hash="another")
        assert (claims_fleet.describe(again), again.err_value.ran) == ("key_reused", "no")

    async def test_same_key_of_two_teams_makes_two_claims(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim()
        assert claims_fleet.describe(await fleet.claim("b", team="dispatch-desk")) == "granted"

    async def test_second_send_waits_for_an_attempt_under_way(self):
        fleet = claims_fleet.Fleet()
        first = await fleet.claim()
        request = fleet.make_request(deadline_ms=2_000)
        second = asyncio.ensure_future(fleet.books["b"].claim(request))
        await fleet.drive(asyncio.ensure_future(fleet.clock.sleep_ms(50)))
        assert not second.done()
        await claims_fleet.record_answer(fleet, first.ok_value)
        assert (await fleet.drive(second)).ok_value == claims_fleet.ANSWER

    async def test_second_send_gets_a_retry_time_at_its_deadline(self):
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

    async def test_expired_attempt_is_not_awaited(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim()
        await abandon(fleet, None)
        before_ms = fleet.clock.monotonic_ms()
        again = await fleet.claim("b", deadline_ms=60_000)
        assert again.err_value.retry_after_ms == 0
        assert fleet.clock.monotonic_ms() - before_ms < 100


class TestClaimWrite:
    @pytest.mark.parametrize(
        ("field", "amount", "expected"),
        [
            ("lost_answers", 1, "granted"),
            ("lost_calls", 1, "granted"),
            ("lost_answers", 3, "granted"),
            ("lost_calls", 4, "outcome_unknown"),
            ("is_away", True, "outcome_unknown"),
        ],
    )
    async def test_fault_of_the_key_value_service_at_the_claim(self, field, amount, expected):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        setattr(fleet.store, field, amount)
        assert claims_fleet.describe(await fleet.claim()) == expected
        fleet.store.is_away = False
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        again = await fleet.claim("b")
        assert claims_fleet.describe(again) == (
            "outcome_unknown" if expected == "granted" else "granted"
        )

    @pytest.mark.parametrize("sender", ["a", "c"], ids=["watermark known", "no read yet"])
    @pytest.mark.parametrize(("field", "amount"), [("is_away", True), ("slow_ms", 700)])
    async def test_resend_of_a_key_that_ran_is_never_told_that_it_did_not(
        self, field, amount, sender
    ):
        fleet = claims_fleet.Fleet(("a", "b", "c"))
        await fleet.claim(key="warm")
        first = await fleet.claim("b")
        await claims_fleet.record_answer(fleet, first.ok_value)
        setattr(fleet.store, field, amount)
        again = await fleet.claim(sender, deadline_ms=300)
        assert claims_fleet.describe(again) in ("outcome_unknown", "answered")

    async def test_late_write_of_an_abandoned_claim_cannot_take_effect(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        location = keys.locate_key("press-floor", "lot-7")
        before = fleet.store.entries.get(location.shard)
        fleet.store.lost_calls = 4
        assert claims_fleet.describe(await fleet.claim()) == "outcome_unknown"
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        revision = before.revision if before else 0
        assert (await fleet.store.swap(location.shard, b"late", revision)).is_err()

    async def test_claim_confirmed_after_the_deadline_does_not_run(self):
        fleet = claims_fleet.Fleet()
        assert claims_fleet.describe(await fleet.claim(deadline_ms=0)) == "not_run"
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        assert claims_fleet.describe(await fleet.claim("b")) == "granted"

    @pytest.mark.parametrize("is_timed", [False, True])
    async def test_slow_service_delays_no_caller_past_its_deadline(self, is_timed):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key="warm")
        fleet.store.slow_ms = 700
        key = fleet.make_key() if is_timed else "lot-7"
        before_ms = fleet.clock.monotonic_ms()
        refused = await fleet.claim(key=key, deadline_ms=300)
        assert claims_fleet.describe(refused) == "outcome_unknown"
        assert fleet.clock.monotonic_ms() - before_ms < 400
        fleet.store.slow_ms = 0
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled("a")))
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "granted"

    async def test_concurrent_claims_share_the_read_of_the_watermark(self):
        fleet = claims_fleet.Fleet()
        fleet.store.is_away = True
        requests = [fleet.books["a"].claim(fleet.make_request(key=f"lot-{n}")) for n in range(30)]
        replies = await fleet.drive(asyncio.ensure_future(asyncio.gather(*requests)))
        assert list(map(claims_fleet.describe, replies)) == ["outcome_unknown"] * 30
        assert fleet.store.reads <= 2

    async def test_concurrent_claims_of_two_daemons_get_one_grant(self):
        fleet = claims_fleet.Fleet()
        requests = [fleet.books[name].claim(fleet.make_request()) for name in ("a", "b")]
        both = await fleet.drive(asyncio.ensure_future(asyncio.gather(*requests)))
        assert sorted(map(claims_fleet.describe, both)) == ["granted", "outcome_unknown"]

    async def test_full_shard_refuses_new_claims_and_keeps_earlier_ones(self, monkeypatch):
        monkeypatch.setattr(decision, "SHARD_LIMIT_FOR_CLAIMS_BYTES", 0)
        fleet = claims_fleet.Fleet()
        key = fleet.make_key()
        first = await fleet.claim(key=key)
        assert claims_fleet.describe(first) == "granted"
        other = next(
            name
            for name in (keys.make_timed_key(fleet.clock.wall_ms(), bits) for bits in range(99))
            if keys.locate_key("press-floor", name).shard == first.ok_value.shard and name != key
        )
        refused = await fleet.claim(key=other)
        assert claims_fleet.describe(refused) == "not_run" and refused.err_value.retry_after_ms
        await claims_fleet.record_answer(fleet, first.ok_value)
        assert claims_fleet.describe(await fleet.claim("b", key=key)) == "answered"

    async def test_largest_shard_stays_under_a_megabyte(self):
        fleet = claims_fleet.Fleet()
        shard = decision.Shard([])
        body = b"x" * decision.MAX_KEPT_ANSWER_BYTES
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
        fleet.books["a"]._writer._cache["x"] = writer._ShardVersion(0, shard)
        await fleet.books["a"]._writer._swap("x", shard, 0)
        assert 500_000 < len(fleet.store.entries["x"].value) < 1_000_000


def find_preferred_writer(key: str) -> str | None:
    return owner.choose_owner(keys.locate_key("press-floor", key).shard, "ab")


class TestForwarding:
    @pytest.mark.parametrize("field", ["lost_calls", "lost_replies"])
    @pytest.mark.parametrize("amount", [0, 1, 2])
    async def test_claim_whose_forwarding_fails_is_written_directly_and_granted_once(
        self, field, amount
    ):
        fleet = claims_fleet.Fleet(("a", "b", "c"), is_forwarding=True)
        setattr(fleet.peers, field, amount)
        first = [await fleet.claim(name, key="lot-8") for name in ("a", "b", "c")]
        assert list(map(claims_fleet.describe, first)) == [
            "granted",
            "outcome_unknown",
            "outcome_unknown",
        ]

    async def test_unavailable_service_after_a_lost_reply_leaves_no_claim(self):
        fleet = claims_fleet.Fleet(("a", "b"), is_forwarding=True)
        sender = next(name for name in "ab" if name != find_preferred_writer("lot-8"))
        fleet.peers.lost_replies = 1
        fleet.peers.on_lost_reply = lambda: setattr(fleet.store, "is_away", True)
        assert claims_fleet.describe(await fleet.claim(sender, key="lot-8")) == "outcome_unknown"
        assert fleet.books[sender].unsettled == 1
        fleet.store.is_away = False
        await fleet.drive(asyncio.ensure_future(fleet.wait_until_settled(sender)))
        assert claims_fleet.describe(await fleet.claim(sender, key="lot-8")) == "granted"

    async def test_unreachable_writer_is_tried_at_intervals(self):
        fleet = claims_fleet.Fleet(("a", "b"), is_forwarding=True)
        fleet.peers.lost_calls = 1_000
        generated_keys = [
            keys.make_timed_key(fleet.clock.wall_ms(), number) for number in range(30)
        ]
        for key in generated_keys:
            assert claims_fleet.describe(await fleet.claim(key=key)) == "granted"
        assert 1_000 - fleet.peers.lost_calls <= 2

    async def test_late_duplicate_of_a_forwarded_claim_does_not_claim_again(self):
        fleet = claims_fleet.Fleet()
        granted = (await fleet.claim()).ok_value
        await record_refusal(fleet, granted)
        call = claims.ClaimCall(shard=granted.shard, record=granted.record)
        late = await fleet.drive(asyncio.ensure_future(fleet.books["b"].serve(call)))
        assert late.ok_value.verdict == "taken"
        assert claims_fleet.describe(await fleet.claim("b")) == "granted"

    async def test_concurrent_claims_share_a_write(self):
        fleet = claims_fleet.Fleet()
        await fleet.claim(key=fleet.make_key())
        writes = fleet.store.writes
        generated_keys = [
            keys.make_timed_key(fleet.clock.wall_ms(), number) for number in range(40)
        ]
        requests = [fleet.books["a"].claim(fleet.make_request(key=key)) for key in generated_keys]
        taken = await fleet.drive(asyncio.ensure_future(asyncio.gather(*requests)))
        assert list(map(claims_fleet.describe, taken)) == ["granted"] * 40
        assert fleet.store.writes - writes <= 2 * keys.SHARDS_PER_BUCKET
