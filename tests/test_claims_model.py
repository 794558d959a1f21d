"""Tests that a key runs at most once in all interleavings of daemons, lost answers and crashes."""

import asyncio
import random

import pytest
import result

from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import book, decision, owner, retention, writer
from tanagerfork.front import services
from tanagerfork.generated import bundle
from tanagerfork.routing import health, service_order
from tanagerfork.timeline import ring
from tanagerfork.upstream import service as upstream
from tests import fakes, stepping

LIMIT_MS = 40
MAX_PLAYS = 6_000
TEAM = bundle.Team(name="press-floor", token_sha256=[])
SERVICE = bundle.Service(
    name="batch-ledger",
    upstreams=[bundle.ServiceUpstream(name="ledger", failure_domain="ipoh-a", url="http://x")],
    timeout_ms=LIMIT_MS,
)


class SteppedService:
    """An upstream whose calls are steps of the world; records the attempts that ran."""

    def __init__(self, world: stepping.SteppedWorld, daemon: str, runs: list[str]) -> None:
        self._world = world
        self._daemon = daemon
        self._runs = runs

    async def call(self, chosen: bundle.ServiceUpstream, call: upstream.ServiceCall):
        """Run the call when the world picks its step."""

        async def run() -> result.Result[upstream.ServiceAnswer, errors.UpstreamError]:
            self._runs.append(call.attempt_id)
            return result.Ok(upstream.ServiceAnswer(201, "text/plain", call.attempt_id.encode()))

        refusal = result.Err(errors.UpstreamRefused("refused"))
        return await self._world.call(self._daemon, "runs", run, refusal=refusal)


class SteppedPeers:
    """Calls to other daemons, which can be lost, delayed or interrupted by a crash."""

    def __init__(self, world: stepping.SteppedWorld, daemon: str, books: dict) -> None:
        self._world = world
        self._daemon = daemon
        self._books = books

    def list_live(self) -> list[str]:
        """Return all names, including those of crashed daemons, as a stale view does."""
        return list(self._books)

    async def send(self, name: str, call):
        """Send the call to another daemon."""

        async def start():
            if name in self._world.crashed:
                return result.Err(errors.AnswerLost("lost; write directly"))
            return self._world.start(name, self._books[name].serve(call))

        started = await self._world.call(self._daemon, "forwards", start, is_write=True)
        if isinstance(started, result.Err):
            return started
        await asyncio.wait([started])
        if started.cancelled():
            return result.Err(errors.AnswerLost("lost; write directly"))
        return started.result()


class RunsBeforeClaim(services.ServiceRunner):
    """A faulty runner that claims the key only after the call."""

    async def _call_claimed(self, request):
        called = await self._call_once(request, "early")
        claimed = await self._claims.claim(services._make_claim_request(request))
        if claimed.is_ok() and isinstance(claimed.ok_value, book.Grant):
            self._claims.settle(claimed.ok_value, services._make_claim_outcome(called))
        return called


def make_runner(
    world: stepping.SteppedWorld,
    name: str,
    runs: list[str],
    books: dict[str, book.ClaimBook] | None,
    runner_type: type,
) -> services.ServiceRunner:
    metrics = metric.Metrics()
    watermark = retention.ClaimWatermark(fakes.MemoryKeyValue(), world.clock, metrics)
    store = stepping.SteppedStore(world, name)
    shards = writer.ShardWriter(store, world.clock, metrics, watermark)
    peers = owner.NoPeers() if books is None else SteppedPeers(world, name, books)
    claims = book.ClaimBook(name, world.clock, metrics, shards, watermark, peers)
    if books is not None:
        books[name] = claims
    timeline = ring.Timeline(name, world.clock, 100)
    client = SteppedService(world, name, runs)
    rng = random.Random(1)
    order = service_order.ServiceOrder("ipoh-a", rng, health.Health(rng, lambda *change: None))
    return runner_type(order, client, claims, world.clock, timeline, metrics)


def make_request(name: str) -> services.ServiceRequest:
    return services.ServiceRequest(
        request_id=name,
        team=TEAM,
        service=SERVICE,
        method="POST",
        path="pressings",
        query="",
        content_type="",
        body=b"lot 7",
        idempotency_key="lot-7",
        timeout_ms=LIMIT_MS,
    )


async def play_case(
    choices: list[int], faults: int, at_once: bool, forwards: bool, runner_type: type
) -> stepping.SteppedWorld:
    """Send one key to two daemons concurrently and then to a third, or to two daemons in turn."""
    world = stepping.SteppedWorld(choices, faults)
    runs: list[str] = []
    books: dict[str, book.ClaimBook] | None = {} if forwards else None
    names = ("a", "b", "c")
    runners = {name: make_runner(world, name, runs, books, runner_type) for name in names}
    tasks = []
    for turn in (("a", "b"), ("c",)) if at_once else (("a",), ("b",)):
        live = [name for name in turn if name not in world.crashed] or ["c"]
        sent = [world.start(name, runners[name].run(make_request(name))) for name in live]
        await world.run(sent)
        tasks += sent
    answers = [task.result() for task in tasks if not task.cancelled() and task.exception() is None]
    check_at_most_once(answers, runs, world)
    for runner in runners.values():
        runner.close()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return world


def check_at_most_once(answers: list, runs: list[str], world: stepping.SteppedWorld) -> None:
    """Check that at most one attempt ran and that the answers to callers agree with it."""
    assert len(runs) <= 1, f"ran twice: {world.history}"
    for answer in answers:
        if isinstance(answer, result.Ok):
            assert answer.ok_value.body.decode() == runs[0], f"not the answer: {world.history}"
        else:
            assert answer.err_value.kind in ("not_run", "outcome_unknown"), world.history
    if answers and all(item.is_err() and item.err_value.kind == "not_run" for item in answers):
        assert not runs or world.crashed, f"ran, and all were told that it did not: {world.history}"


def explore_case(
    faults: int, at_once: bool, forwards: bool = False, runner_type: type = services.ServiceRunner
) -> int:
    def play(choices: list[int]) -> list[tuple[int, int]]:
        return asyncio.run(play_case(choices, faults, at_once, forwards, runner_type)).decisions

    return stepping.explore(play, MAX_PLAYS)


def reclaim_claimed(shard: decision.Shard, claim):
    """Grant a claim although another attempt holds one: a faulty rule."""
    existing = shard.records.get(claim.key_hash)
    if existing is not None and existing.state == "claimed" and existing.attempt != claim.attempt:
        return decision._grant(shard, claim)
    return ORIGINAL_APPLY_CLAIM(shard, claim)


ORIGINAL_APPLY_CLAIM = decision.apply_claim


class TestAtMostOnce:
    @pytest.mark.parametrize(
        ("faults", "at_once", "forwards"),
        [
            (0, True, False),
            (1, True, False),
            (2, False, False),
            (0, True, True),
            (1, False, True),
            (2, False, True),
        ],
    )
    def test_no_interleaving_runs_a_key_twice(self, faults, at_once, forwards):
        assert explore_case(faults, at_once, forwards) > 10

    def test_claim_after_the_call_is_detected(self):
        with pytest.raises(AssertionError, match="ran twice"):
            explore_case(0, True, runner_type=RunsBeforeClaim)

    def test_second_grant_on_a_claimed_key_is_detected(self, monkeypatch):
        monkeypatch.setattr(decision, "apply_claim", reclaim_claimed)
        with pytest.raises(AssertionError, match="ran twice"):
            explore_case(0, True)
