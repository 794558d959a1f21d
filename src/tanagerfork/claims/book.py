"""Claims kept in the key-value service, by compare-and-swap on hash-sharded values."""

import base64
import dataclasses
import uuid
from collections.abc import Callable
from typing import Protocol

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.claims import decision
from tanagerfork.generated import claims
from tanagerfork.platform import key_value, swap

SHARD_PREFIX = "claims/"
SHARDS = 64
CONFLICT_TRIES = 20
BUSY_RETRY_MS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What became of a claimed attempt."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Claims(Protocol):
    """What callers' requests need of the claims."""

    async def claim(
        self, wish: decision.ClaimWish
    ) -> result.Result[decision.Granted | Outcome, errors.CallerError]:
        """Claim a key before the first byte of its request goes out.

        :param wish: what is to be claimed.
        :return: the grant, or the recorded outcome, or why the request may not run.
        """

    async def settle(
        self, granted: decision.Granted, outcome: Outcome
    ) -> result.Result[None, errors.PlatformError]:
        """Record what became of a granted attempt.

        :param granted: grant.
        :param outcome: what became of it.
        :return: nothing, or why it could not be recorded.
        """


class ClaimBook:
    """Claims with one write each.

    :param store: key-value service.
    :param clock: clock whose wall time stamps the claims.
    """

    __slots__ = ("_store", "_clock")

    def __init__(self, store: key_value.KeyValue, clock: clocks.Clock) -> None:
        self._store = store
        self._clock = clock

    async def claim(
        self, wish: decision.ClaimWish
    ) -> result.Result[decision.Granted | Outcome, errors.CallerError]:
        """Claim a key; see `Claims.claim`."""
        decided: list[decision.Decision] = []

        def change(shard: claims.ClaimShard) -> bool:
            known = decision.find_claim(shard, wish.key_sha256)
            if known is not None and known.attempt == wish.attempt:
                return False
            decided[:] = [decision.decide_claim(shard, wish, self._clock.wall_ms())]
            if isinstance(decided[0], decision.Granted):
                decision.put_claim(shard, decided[0].record)
                return True
            return False

        written = await self._change_shard(wish.key_sha256, change)
        if isinstance(written, result.Err):
            if isinstance(written.err_value, errors.AnswerLost):
                message = "the claim may be taken; send the same key again to learn the outcome"
                return result.Err(errors.OutcomeUnknown(message, BUSY_RETRY_MS))
            message = "the key-value service is away; send the same key again later"
            return result.Err(errors.NotRun(message, BUSY_RETRY_MS))
        return _conclude(decided[0])

    async def settle(
        self, granted: decision.Granted, outcome: Outcome
    ) -> result.Result[None, errors.PlatformError]:
        """Record an outcome; see `Claims.settle`."""
        record = msgspec.structs.replace(
            granted.record,
            state=outcome.state,
            status=outcome.status,
            content_type=outcome.content_type,
            answer=base64.b64encode(outcome.body).decode(),
        )

        def change(shard: claims.ClaimShard) -> bool:
            known = decision.find_claim(shard, record.key_sha256)
            if known is None or known.attempt != record.attempt or known == record:
                return False
            decision.put_claim(shard, record)
            return True

        return await self._change_shard(record.key_sha256, change)

    async def _change_shard(
        self, key_sha256: str, change: Callable[[claims.ClaimShard], bool]
    ) -> result.Result[None, errors.PlatformError]:
        number = decision.find_shard(key_sha256, SHARDS)
        key = f"{SHARD_PREFIX}{number}"
        for _ in range(CONFLICT_TRIES):
            found = await self._store.read(key)
            if isinstance(found, result.Err):
                return found
            entry = found.ok_value
            shard = claims.ClaimShard(shard=number, claims=[])
            if entry is not None:
                shard = swap.decode_record(entry, claims.ClaimShard)
            if not change(shard):
                return result.Ok(None)
            shard.token = uuid.uuid4().hex
            revision = entry.revision if entry else key_value.ABSENT
            written = await swap.swap_record(self._store, key, shard, revision)
            if written.is_ok():
                return result.Ok(None)
            if not isinstance(written.unwrap_err(), errors.Conflict):
                return written.map(lambda _: None)
        return result.Err(errors.PlatformUnavailable("the shard is busy; try again"))


def _conclude(
    decided: decision.Decision,
) -> result.Result[decision.Granted | Outcome, errors.CallerError]:
    if isinstance(decided, decision.Granted):
        return result.Ok(decided)
    if isinstance(decided, decision.Reused):
        message = "the Idempotency-Key was used with another request; take a new key"
        return result.Err(errors.KeyReused(message))
    record = decided.record
    if record.state == "answered":
        body = base64.b64decode(record.answer)
        return result.Ok(Outcome(record.state, record.status, record.content_type, body))
    message = "an earlier attempt under this key may have run; look for its record before a new key"
    return result.Err(errors.OutcomeUnknown(message, BUSY_RETRY_MS))
