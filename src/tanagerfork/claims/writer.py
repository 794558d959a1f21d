"""Writes claims and outcomes, batched by shard into one compare-and-swap.

A shard is written at most every `WRITE_INTERVAL_MS`; records that arrive in between share the next
write. No caller waits for an outcome, so an outcome is held for up to `MAX_OUTCOME_DELAY_MS` to
share the write of a claim.
"""

import asyncio
import collections
import dataclasses
import uuid

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import decision, keys, retention
from tanagerfork.generated import claims
from tanagerfork.storage import key_value, swap

WRITE_INTERVAL_MS = 18
MAX_OUTCOME_DELAY_MS = 200
MAX_SWAP_ATTEMPTS = 20
MAX_CACHED_SHARDS = 16
BODY_RETENTION_MS = 24 * 3_600_000

Reply = result.Result[claims.ClaimReply, errors.PlatformError]


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingRecord:
    """A record that waits to be written, and the future of its reply."""

    record: claims.ClaimRecord
    reply: asyncio.Future[Reply]


@dataclasses.dataclass(slots=True, frozen=True)
class _ShardVersion:
    """A shard at the revision at which it was read or written."""

    revision: int
    shard: decision.Shard


class ShardWriter:
    """Batches records by shard and writes them.

    :param store: key-value service.
    :param clock: clock for waits, and wall clock.
    :param metrics: counters.
    :param watermark: watermark of deleted claims, notified if the service was restored to an older
        state.
    """

    __slots__ = (
        "_store",
        "_clock",
        "_metrics",
        "_watermark",
        "_pending",
        "_tasks",
        "_cache",
        "_highest_revision",
    )

    def __init__(
        self,
        store: key_value.KeyValue,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        watermark: retention.ClaimWatermark,
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._watermark = watermark
        self._pending: dict[str, list[_PendingRecord]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cache: collections.OrderedDict[str, _ShardVersion] = collections.OrderedDict()
        self._highest_revision = 0

    async def submit(self, call: claims.ClaimCall) -> Reply:
        """Write a claim or an outcome.

        :param call: shard and record.
        :return: the reply once the write is in force; `PlatformUnavailable` if the write certainly
            has no effect, `AnswerLost` if it may still take effect.
        """
        pending = _PendingRecord(call.record, asyncio.get_running_loop().create_future())
        self._pending.setdefault(call.shard, []).append(pending)
        if call.shard not in self._tasks:
            self._tasks[call.shard] = asyncio.create_task(self._write_pending(call.shard))
        return await asyncio.shield(pending.reply)

    async def read(
        self, shard: str, key_hash: str
    ) -> result.Result[claims.ClaimRecord | None, errors.PlatformError]:
        """Read a claim from the key-value service, bypassing the cache.

        :param shard: key of the shard.
        :param key_hash: hash of the key.
        :return: the claim, None if there is none, or the reason why it could not be read.
        """
        loaded = await self._load(shard)
        return loaded.map(lambda version: version.shard.records.get(key_hash))

    async def _write_pending(self, shard: str) -> None:
        try:
            while self._pending.get(shard):
                await self._wait_for_claim(shard)
                batch = self._pending.pop(shard)
                started_ms = self._clock.monotonic_ms()
                await self._write_batch(shard, batch)
                spent_ms = self._clock.monotonic_ms() - started_ms
                if spent_ms < WRITE_INTERVAL_MS:
                    await self._clock.sleep_ms(WRITE_INTERVAL_MS - spent_ms)
        finally:
            del self._tasks[shard]

    async def _wait_for_claim(self, shard: str) -> None:
        for _ in range(MAX_OUTCOME_DELAY_MS // WRITE_INTERVAL_MS):
            if any(pending.record.state == "claimed" for pending in self._pending[shard]):
                return
            await self._clock.sleep_ms(WRITE_INTERVAL_MS)

    async def _write_batch(self, shard: str, batch: list[_PendingRecord]) -> None:
        replies: result.Result[list[claims.ClaimReply], errors.PlatformError]
        try:
            replies = await self._apply_records(shard, [pending.record for pending in batch])
        except Exception as error:  # An undecodable shard must not leave its callers waiting.
            self._metrics.count("claim_writes_failed_total")
            replies = result.Err(errors.AnswerLost(f"{shard} cannot be written: {error!r}"))
        for number, pending in enumerate(batch):
            if isinstance(replies, result.Ok):
                pending.reply.set_result(result.Ok(replies.ok_value[number]))
            else:
                pending.reply.set_result(replies)

    async def _apply_records(
        self, shard: str, records: list[claims.ClaimRecord]
    ) -> result.Result[list[claims.ClaimReply], errors.PlatformError]:
        for _ in range(MAX_SWAP_ATTEMPTS):
            cached = self._cache.get(shard)
            loaded = result.Ok(cached) if cached else await self._load(shard)
            if isinstance(loaded, result.Err):
                message = "the key-value service cannot be read; try again later"
                return result.Err(errors.PlatformUnavailable(message))
            changed = loaded.ok_value.shard.copy()
            before = dict(changed.records)
            replies = [decision.apply_record(changed, record) for record in records]
            if changed.records == before:
                if cached and any(map(_may_be_outdated, replies)):
                    del self._cache[shard]
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
        self._cache.pop(shard, None)
        highest_before = self._highest_revision
        written = await swap.swap_record(self._store, shard, record, revision)
        self._metrics.count("claim_writes_total")
        if isinstance(written, result.Err):
            return written
        if written.ok_value <= highest_before:
            self._cache.clear()
            self._watermark.record_restore()
        self._highest_revision = max(self._highest_revision, written.ok_value)
        self._cache[shard] = _ShardVersion(written.ok_value, changed)
        if len(self._cache) > MAX_CACHED_SHARDS:
            self._cache.popitem(last=False)
        return written

    async def _load(self, shard: str) -> result.Result[_ShardVersion, errors.PlatformError]:
        found = await self._store.read(shard)
        if isinstance(found, result.Err):
            return found
        if found.ok_value is None:
            return result.Ok(_ShardVersion(key_value.ABSENT, decision.Shard([])))
        stored = swap.decode_record(found.ok_value, claims.ClaimShard)
        return result.Ok(_ShardVersion(found.ok_value.revision, decision.Shard(stored.claims)))


def _may_be_outdated(reply: claims.ClaimReply) -> bool:
    return reply.verdict == "taken" and reply.record.state == "claimed"
