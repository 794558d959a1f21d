"""Writes claims and outcomes, grouped by shard into one compare-and-swap.

A shard is written at most every `GROUP_MS`; what arrives in between shares the next write. An
outcome holds up no caller and waits up to `OUTCOME_WAIT_MS` for a claim to ride with.
"""

import asyncio
import collections
import dataclasses
import uuid

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import decision, keys, mark
from tanagerfork.generated import claims
from tanagerfork.storage import key_value, swap

GROUP_MS = 18
OUTCOME_WAIT_MS = 200
CONFLICT_TRIES = 20
CACHED_SHARDS = 16
BODY_RETENTION_MS = 24 * 3_600_000

Reply = result.Result[claims.ClaimReply, errors.PlatformError]


@dataclasses.dataclass(slots=True, frozen=True)
class _Waiting:
    """A record that waits for its write."""

    record: claims.ClaimRecord
    reply: asyncio.Future[Reply]


@dataclasses.dataclass(slots=True, frozen=True)
class _Known:
    """A shard as last read or written."""

    revision: int
    shard: decision.Shard


class ShardWriter:
    """Groups records by shard and writes them.

    :param store: key-value service.
    :param clock: clock to wait on.
    :param metrics: counters.
    :param watermark: told when the service is found restored to an older state.
    """

    __slots__ = ("_store", "_clock", "_metrics", "_mark", "_waiting", "_tasks", "_known", "_seen")

    def __init__(
        self,
        store: key_value.KeyValue,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        watermark: mark.MarkKeeper,
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._mark = watermark
        self._waiting: dict[str, list[_Waiting]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._known: collections.OrderedDict[str, _Known] = collections.OrderedDict()
        self._seen = 0

    async def submit(self, call: claims.ClaimCall) -> Reply:
        """Write a claim or an outcome.

        :param call: shard and record.
        :return: the reply once the write is in force; `PlatformUnavailable` if it certainly took
            no effect, `AnswerLost` if it may take effect yet.
        """
        waiting = _Waiting(call.record, asyncio.get_running_loop().create_future())
        self._waiting.setdefault(call.shard, []).append(waiting)
        if call.shard not in self._tasks:
            self._tasks[call.shard] = asyncio.create_task(self._write_shard(call.shard))
        return await asyncio.shield(waiting.reply)

    async def read(
        self, shard: str, key_hash: str
    ) -> result.Result[claims.ClaimRecord | None, errors.PlatformError]:
        """Read a claim afresh.

        :param shard: key of the shard.
        :param key_hash: hash of the key.
        :return: the claim, None where there is none, or why it could not be read.
        """
        loaded = await self._load(shard)
        return loaded.map(lambda known: known.shard.records.get(key_hash))

    async def _write_shard(self, shard: str) -> None:
        try:
            while self._waiting.get(shard):
                await self._wait_for_claim(shard)
                batch = self._waiting.pop(shard)
                started_ms = self._clock.monotonic_ms()
                await self._write_batch(shard, batch)
                spent_ms = self._clock.monotonic_ms() - started_ms
                if spent_ms < GROUP_MS:
                    await self._clock.sleep_ms(GROUP_MS - spent_ms)
        finally:
            del self._tasks[shard]

    async def _wait_for_claim(self, shard: str) -> None:
        for _ in range(OUTCOME_WAIT_MS // GROUP_MS):
            if any(waiting.record.state == "claimed" for waiting in self._waiting[shard]):
                return
            await self._clock.sleep_ms(GROUP_MS)

    async def _write_batch(self, shard: str, batch: list[_Waiting]) -> None:
        replies: result.Result[list[claims.ClaimReply], errors.PlatformError]
        try:
            replies = await self._apply(shard, [waiting.record for waiting in batch])
        except Exception as error:  # A value that is no shard must not hang its callers.
            self._metrics.count("claim_writes_failed_total")
            replies = result.Err(errors.AnswerLost(f"{shard} cannot be written: {error!r}"))
        for number, waiting in enumerate(batch):
            if isinstance(replies, result.Ok):
                waiting.reply.set_result(result.Ok(replies.ok_value[number]))
            else:
                waiting.reply.set_result(replies)

    async def _apply(
        self, shard: str, records: list[claims.ClaimRecord]
    ) -> result.Result[list[claims.ClaimReply], errors.PlatformError]:
        for _ in range(CONFLICT_TRIES):
            cached = self._known.get(shard)
            loaded = result.Ok(cached) if cached else await self._load(shard)
            if isinstance(loaded, result.Err):
                message = "the key-value service cannot be read; wait"
                return result.Err(errors.PlatformUnavailable(message))
            changed = loaded.ok_value.shard.copy()
            before = dict(changed.records)
            replies = [decision.apply_record(changed, record) for record in records]
            if changed.records == before:
                if cached and any(map(_may_be_outdated, replies)):
                    del self._known[shard]
                    continue
                return result.Ok(replies)
            written = await self._swap(shard, changed, loaded.ok_value.revision)
            if written.is_ok():
                return result.Ok(replies)
            if not isinstance(written.unwrap_err(), errors.Conflict):
                return result.Err(written.unwrap_err())
            self._metrics.count("claim_conflicts_total")
        return result.Err(errors.PlatformUnavailable("the shard is busy; try again"))

    async def _swap(
        self, shard: str, changed: decision.Shard, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        if shard.startswith(keys.PLAIN_PREFIX):
            decision.drop_bodies(changed, self._clock.wall_ms() - BODY_RETENTION_MS)
        record = claims.ClaimShard(token=uuid.uuid4().hex, claims=list(changed.records.values()))
        self._known.pop(shard, None)
        seen = self._seen
        written = await swap.swap_record(self._store, shard, record, revision)
        self._metrics.count("claim_writes_total")
        if isinstance(written, result.Err):
            return written
        if written.ok_value <= seen:
            self._known.clear()
            self._mark.note_restored()
        self._seen = max(self._seen, written.ok_value)
        self._known[shard] = _Known(written.ok_value, changed)
        if len(self._known) > CACHED_SHARDS:
            self._known.popitem(last=False)
        return written

    async def _load(self, shard: str) -> result.Result[_Known, errors.PlatformError]:
        found = await self._store.read(shard)
        if isinstance(found, result.Err):
            return found
        if found.ok_value is None:
            return result.Ok(_Known(key_value.ABSENT, decision.Shard([])))
        stored = swap.decode_record(found.ok_value, claims.ClaimShard)
        return result.Ok(_Known(found.ok_value.revision, decision.Shard(stored.claims)))


def _may_be_outdated(reply: claims.ClaimReply) -> bool:
    return reply.verdict == "taken" and reply.record.state == "claimed"
