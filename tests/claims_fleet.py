"""Test fixture: daemons that claim keys over one key-value service, on a manual clock."""

import asyncio
import dataclasses

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import book, keys, owner, retention, writer
from tanagerfork.generated import claims
from tests import fakes

ANSWER = book.Outcome("answered", 201, "application/json", b'{"number":1}')
HOUR_MS = 3_600_000


class FakePeers:
    """Connections between daemons in one process, which can lose calls and replies."""

    def __init__(self) -> None:
        self.books: dict[str, book.ClaimBook] = {}
        self.lost_calls = 0
        self.lost_replies = 0
        self.on_lost_reply = lambda: None

    def list_live(self) -> list[str]:
        """Return the names of all daemons."""
        return list(self.books)

    async def send(
        self, name: str, call: claims.ClaimCall
    ) -> result.Result[claims.ClaimReply, errors.PlatformError]:
        """Pass the call to another daemon, unless the call or its reply is to be lost."""
        if self.lost_calls > 0:
            self.lost_calls -= 1
            return result.Err(errors.AnswerLost("lost; write directly"))
        reply = await self.books[name].serve(call)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            self.on_lost_reply()
            return result.Err(errors.AnswerLost("lost; write directly"))
        return reply


class SlowKeyValue(fakes.MemoryKeyValue):
    """A key-value service whose writes can be delayed."""

    def __init__(self, clock: clocks.ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self.slow_ms = 0

    async def swap(self, key, value, revision):
        """Write after `slow_ms`."""
        if self.slow_ms:
            await self.clock.sleep_ms(self.slow_ms)
        return await super().swap(key, value, revision)


class Fleet:
    """Daemons over one key-value service, on a manual clock."""

    def __init__(self, names: tuple[str, ...] = ("a", "b"), is_forwarding: bool = False) -> None:
        self.clock = clocks.ManualClock()
        self.store = SlowKeyValue(self.clock)
        self.metrics = metric.Metrics()
        self.peers = FakePeers()
        self.watermarks = {
            name: retention.ClaimWatermark(self.store, self.clock, self.metrics) for name in names
        }
        self.books: dict[str, book.ClaimBook] = {}
        for name in names:
            shards = writer.ShardWriter(self.store, self.clock, self.metrics, self.watermarks[name])
            peers = self.peers if is_forwarding else owner.NoPeers()
            claim_book = book.ClaimBook(
                name, self.clock, self.metrics, shards, self.watermarks[name], peers
            )
            self.books[name] = claim_book
        if is_forwarding:
            self.peers.books = self.books

    async def drive(self, task: asyncio.Task, limit_ms: int = 10 * HOUR_MS, step_ms: int = 5):
        """Advance the clock until a task is done."""
        for _ in range(limit_ms // step_ms):
            for _ in range(30):
                await asyncio.sleep(0)
            if task.done():
                return task.result()
            self.clock.advance(step_ms)
        raise AssertionError("did not end in time")

    async def claim(self, daemon: str = "a", **changed):
        """Claim a key and advance the clock until the result is there."""
        request = self.make_request(**changed)
        return await self.drive(asyncio.ensure_future(self.books[daemon].claim(request)))

    def make_request(self, **changed) -> book.ClaimRequest:
        """Return a claim request with the given fields changed."""
        self.metrics.count("requests")
        attempt = f"attempt-{self.metrics.counter_value('requests')}"
        request = book.ClaimRequest("press-floor", "lot-7", "request", attempt, 500, 200)
        return dataclasses.replace(request, **changed)

    async def settle(self, granted: book.Grant, outcome: book.Outcome, daemon: str = "a"):
        """Settle a claim and advance the clock until its outcome is recorded."""
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
    """Return `granted`, the state of the recorded outcome, or the kind of the error."""
    if isinstance(claimed, result.Err):
        return claimed.err_value.kind
    return "granted" if isinstance(claimed.ok_value, book.Grant) else claimed.ok_value.state


async def record_answer(fleet: Fleet, granted: book.Grant) -> None:
    await fleet.settle(granted, ANSWER)
