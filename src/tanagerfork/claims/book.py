"""Claims of one daemon: takes them before a request runs, and records what became of it."""

import asyncio
import base64
import dataclasses
from typing import Protocol

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import decision, keys, mark, owner, writer
from tanagerfork.generated import claims

RETRY_MS = 1_000
POLL_FIRST_MS = 25
POLL_LAST_MS = 1_000
CLOCK_MARGIN_MS = 1_000  # Daemons' wall clocks differ by less, or a waiter gives up early or late.
SETTLE_FIRST_MS = 200
SETTLE_LAST_MS = 5_000
SETTLE_LIMIT_MS = 3_600_000
UNSETTLED_LIMIT = 10_000
AVOID_OWNER_MS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimWish:
    """What is to be claimed."""

    team: str
    key: str
    request_hash: str
    attempt: str
    runs_for_ms: int
    deadline_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """A claim that is known to be in force; its attempt, and no other, may run."""

    shard: str
    record: claims.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What became of an attempt."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Claims(Protocol):
    """What callers' requests need of the claims."""

    @property
    def unsettled(self) -> int:
        """Outcomes that are not recorded yet; a planned stop waits for them."""

    async def claim(self, wish: ClaimWish) -> result.Result[Granted | Outcome, errors.CallerError]:
        """Claim a key before the first byte of its request goes out.

        :param wish: what is to be claimed.
        :return: the grant, or the recorded answer, or why the request was not run now.
        """

    def settle(self, granted: Granted, outcome: Outcome) -> None:
        """Record what became of a granted attempt, in the background until it is recorded.

        :param granted: grant.
        :param outcome: what became of it.
        """

    def close(self) -> None:
        """Give up the outcomes that are not recorded yet; their claims stay `claimed`."""


class ClaimBook:
    """Claims through the preferred writers of their shards.

    :param name: name of this daemon.
    :param clock: clock to wait on, whose wall time stamps the claims.
    :param metrics: counters.
    :param shards: writer of this daemon.
    :param watermark: keeper of the mark.
    :param peers: way to the other daemons' writers.
    """

    __slots__ = (
        "_name",
        "_clock",
        "_metrics",
        "_writer",
        "_mark",
        "_peers",
        "_settling",
        "_avoided_until_ms",
        "_late",
    )

    def __init__(
        self,
        name: str,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        shards: writer.ShardWriter,
        watermark: mark.MarkKeeper,
        peers: owner.ClaimPeers,
    ) -> None:
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._writer = shards
        self._mark = watermark
        self._peers = peers
        self._settling: set[asyncio.Task[None]] = set()
        self._avoided_until_ms: dict[str, int] = {}
        self._late: set[asyncio.Future[writer.Reply]] = set()

    @property
    def unsettled(self) -> int:
        """Outcomes that are not recorded yet; see `Claims.unsettled`."""
        return len(self._settling)

    async def claim(self, wish: ClaimWish) -> result.Result[Granted | Outcome, errors.CallerError]:
        """Claim a key; see `Claims.claim`."""
        place = keys.place_key(wish.team, wish.key)
        deadline_at_ms = self._clock.monotonic_ms() + wish.deadline_ms
        while True:
            checked = await self._mark.check(place)
            if isinstance(checked, result.Err):
                return checked
            asked = self._make_record(place, wish)
            call = claims.ClaimCall(shard=place.shard, record=asked)
            replied = await self._submit_until(call, deadline_at_ms)
            if isinstance(replied, result.Err):
                return self._give_up(Granted(place.shard, asked), replied.err_value)
            reply = replied.ok_value
            if reply.verdict == "granted":
                granted = Granted(place.shard, reply.record)
                return await self._confirm(place, granted, deadline_at_ms)
            if reply.verdict != "taken":
                return result.Err(_describe_refusal(reply))
            record = await self._wait_for_outcome(place.shard, reply.record, deadline_at_ms)
            if record.state != "not_run":
                return self._conclude(record)
            if self._clock.monotonic_ms() >= deadline_at_ms:
                message = "the attempt under this key did not run; send the same key again"
                return result.Err(errors.NotRun(message, RETRY_MS))

    def settle(self, granted: Granted, outcome: Outcome) -> None:
        """Record an outcome; see `Claims.settle`."""
        if len(self._settling) >= UNSETTLED_LIMIT:
            self._metrics.count("claims_left_unsettled_total")
            return
        record = decision.make_outcome(
            granted.record, outcome.state, outcome.status, outcome.content_type, outcome.body
        )
        call = claims.ClaimCall(shard=granted.shard, record=record)
        task = asyncio.create_task(self._settle_until_recorded(call))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    def close(self) -> None:
        """Give up the outcomes that are not recorded yet; their claims stay `claimed`."""
        for task in self._settling:
            task.cancel()

    async def serve(self, call: claims.ClaimCall) -> writer.Reply:
        """Write a record for another daemon.

        :param call: what is to be written.
        :return: the reply.
        """
        return await self._writer.submit(call)

    def _make_record(self, place: keys.KeyPlace, wish: ClaimWish) -> claims.ClaimRecord:
        now_ms = self._clock.wall_ms()
        return claims.ClaimRecord(
            key_hash=place.key_hash,
            request_hash=wish.request_hash,
            attempt=wish.attempt,
            claimed_at_ms=now_ms,
            until_ms=now_ms + wish.runs_for_ms,
            state="claimed",
        )

    async def _submit_until(self, call: claims.ClaimCall, deadline_at_ms: int) -> writer.Reply:
        left_ms = max(0, deadline_at_ms - self._clock.monotonic_ms())
        submitted = asyncio.ensure_future(self._submit(call))
        deadline = asyncio.ensure_future(self._clock.sleep_ms(left_ms))
        try:
            await asyncio.wait((submitted, deadline), return_when=asyncio.FIRST_COMPLETED)
        finally:
            deadline.cancel()
        if submitted.done():
            return submitted.result()
        self._late.add(submitted)
        submitted.add_done_callback(self._late.discard)
        return result.Err(errors.AnswerLost("the claim was not confirmed before the deadline"))

    async def _submit(self, call: claims.ClaimCall) -> writer.Reply:
        chosen = owner.choose_owner(call.shard, self._peers.list_live())
        if chosen is None or chosen == self._name or self._is_avoided(chosen):
            return await self._writer.submit(call)
        sent = await self._peers.send(chosen, call)
        if sent.is_ok():
            return sent
        # The call may have been written all the same; the attempt in the record tells.
        self._metrics.count("claims_forwarded_in_vain_total")
        self._avoided_until_ms[chosen] = self._clock.monotonic_ms() + AVOID_OWNER_MS
        written = await self._writer.submit(call)
        if isinstance(written, result.Err):
            return result.Err(errors.AnswerLost(f"{chosen} may have written it; read it back"))
        return written

    def _is_avoided(self, name: str) -> bool:
        if self._clock.monotonic_ms() < self._avoided_until_ms.get(name, 0):
            return True
        self._avoided_until_ms.pop(name, None)
        return False

    async def _confirm(
        self, place: keys.KeyPlace, granted: Granted, deadline_at_ms: int
    ) -> result.Result[Granted | Outcome, errors.CallerError]:
        checked = await self._mark.check(place)
        if isinstance(checked, result.Ok) and self._clock.monotonic_ms() >= deadline_at_ms:
            message = "the deadline passed before the claim was in force; send the same key again"
            checked = result.Err(errors.NotRun(message, RETRY_MS))
        if isinstance(checked, result.Ok):
            return result.Ok(granted)
        is_expired = checked.err_value.ran != errors.NOT_RUN
        self.settle(granted, Outcome("unknown" if is_expired else "not_run"))
        return checked

    def _give_up(
        self, granted: Granted, error: errors.PlatformError
    ) -> result.Result[Granted | Outcome, errors.CallerError]:
        self._metrics.count("claims_given_up_total", kind=error.kind)
        if not isinstance(error, errors.PlatformUnavailable):
            # Its write may take effect yet; the outcome says that the attempt never ran.
            self.settle(granted, Outcome("not_run"))
        message = "the key-value service did not confirm the claim; send the same key again later"
        return result.Err(errors.NotRun(message, RETRY_MS))

    async def _wait_for_outcome(
        self, shard: str, record: claims.ClaimRecord, deadline_at_ms: int
    ) -> claims.ClaimRecord:
        pause_ms = POLL_FIRST_MS
        while record.state == "claimed" and self._is_under_way(record):
            left_ms = deadline_at_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                break
            await self._clock.sleep_ms(min(pause_ms, left_ms))
            pause_ms = min(2 * pause_ms, POLL_LAST_MS)
            found = await self._writer.read(shard, record.key_hash)
            if isinstance(found, result.Ok) and found.ok_value is not None:
                record = found.ok_value
        return record

    def _is_under_way(self, record: claims.ClaimRecord) -> bool:
        return self._clock.wall_ms() < record.until_ms + CLOCK_MARGIN_MS

    def _conclude(
        self, record: claims.ClaimRecord
    ) -> result.Result[Granted | Outcome, errors.CallerError]:
        if record.state == "answered":
            if not decision.is_answer_kept(record):
                message = (
                    f"the request ran and was answered with status {record.status}; its body of "
                    f"{record.answer_bytes} bytes is not kept: look up what it recorded"
                )
                return result.Err(errors.AnswerNotKept(message))
            body = base64.b64decode(record.answer)
            return result.Ok(Outcome(record.state, record.status, record.content_type, body))
        if record.state == "claimed" and self._is_under_way(record):
            left_ms = record.until_ms + CLOCK_MARGIN_MS - self._clock.wall_ms()
            message = "an attempt under this key is under way; send the same key again later"
            return result.Err(errors.OutcomeUnknown(message, left_ms))
        message = "an attempt under this key may have run; look for its record before a new key"
        return result.Err(errors.OutcomeUnknown(message))

    async def _settle_until_recorded(self, call: claims.ClaimCall) -> None:
        pause_ms = SETTLE_FIRST_MS
        give_up_at_ms = self._clock.monotonic_ms() + SETTLE_LIMIT_MS
        while self._clock.monotonic_ms() < give_up_at_ms:
            replied = await self._submit(call)
            if isinstance(replied, result.Ok):
                self._metrics.count("claims_settled_total", state=call.record.state)
                return
            self._metrics.count("claims_settled_late_total")
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, SETTLE_LAST_MS)
        self._metrics.count("claims_left_unsettled_total")


def _describe_refusal(reply: claims.ClaimReply) -> errors.CallerError:
    if reply.verdict == "full":
        message = "too many claims with keys of this kind; nothing ran: send with a new key, " + (
            "made as a time-ordered UUID (version 7)"
        )
        return errors.NotRun(message, RETRY_MS)
    message = "the Idempotency-Key was used with another request; take a new key"
    return errors.KeyReused(message)
