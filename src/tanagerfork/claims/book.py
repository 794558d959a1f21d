"""Claims a key before its request runs, and records the outcome of the attempt."""

import asyncio
import base64
import dataclasses
from typing import Protocol

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import decision, keys, owner, retention, writer
from tanagerfork.generated import claims

RETRY_AFTER_MS = 1_000
MIN_POLL_INTERVAL_MS = 25
MAX_POLL_INTERVAL_MS = 1_000
CLOCK_MARGIN_MS = 1_000  # If wall clocks differ by more, waiting callers give up early or late.
MIN_SETTLE_RETRY_MS = 200
MAX_SETTLE_RETRY_MS = 5_000
SETTLE_TIMEOUT_MS = 3_600_000
MAX_UNSETTLED = 10_000
OWNER_AVOIDANCE_MS = 2_000


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRequest:
    """A key to be claimed for an attempt.

    The attempt ends within `runs_for_ms`; the caller waits at most `deadline_ms` for the claim.
    """

    team: str
    key: str
    request_hash: str
    attempt: str
    runs_for_ms: int
    deadline_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """A claim that is in force: only its attempt may run."""

    shard: str
    record: claims.ClaimRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The outcome of an attempt, with its answer if there is one."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Claims(Protocol):
    """Interface of claims for the requests of callers."""

    @property
    def unsettled(self) -> int:
        """Number of outcomes that are not recorded yet; a planned stop waits for them."""

    async def claim(
        self, request: ClaimRequest
    ) -> result.Result[Grant | Outcome, errors.CallerError]:
        """Claim a key before the first byte of its request is sent.

        :param request: key and attempt.
        :return: the grant, or the recorded answer, or the reason why the request was not run now.
        """

    def settle(self, granted: Grant, outcome: Outcome) -> None:
        """Record the outcome of a granted attempt; retries in the background until it is recorded.

        :param granted: grant.
        :param outcome: outcome of the attempt.
        """

    def close(self) -> None:
        """Discard the outcomes that are not recorded yet; their claims stay `claimed`."""


class ClaimBook:
    """Writes claims and outcomes through the preferred writers of their shards.

    :param name: name of this daemon.
    :param clock: clock for waits, and wall clock for the timestamps of claims.
    :param metrics: counters.
    :param shards: shard writer of this daemon.
    :param watermark: watermark of deleted claims.
    :param peers: connection to the shard writers of the other daemons.
    """

    __slots__ = (
        "_name",
        "_clock",
        "_metrics",
        "_writer",
        "_watermark",
        "_peers",
        "_settling",
        "_avoided_until_ms",
        "_late_submissions",
    )

    def __init__(
        self,
        name: str,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        shards: writer.ShardWriter,
        watermark: retention.ClaimWatermark,
        peers: owner.ClaimPeers,
    ) -> None:
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._writer = shards
        self._watermark = watermark
        self._peers = peers
        self._settling: set[asyncio.Task[None]] = set()
        self._avoided_until_ms: dict[str, int] = {}
        self._late_submissions: set[asyncio.Future[writer.Reply]] = set()

    @property
    def unsettled(self) -> int:
        """Number of outcomes that are not recorded yet; see `Claims.unsettled`."""
        return len(self._settling)

    async def claim(
        self, request: ClaimRequest
    ) -> result.Result[Grant | Outcome, errors.CallerError]:
        """Claim a key; see `Claims.claim`."""
        location = keys.locate_key(request.team, request.key)
        deadline_at_ms = self._clock.monotonic_ms() + request.deadline_ms
        while True:
            checked = await self._watermark.check(location)
            if isinstance(checked, result.Err):
                is_unread = isinstance(checked.err_value, errors.NotRun)
                return result.Err(_make_unread_error() if is_unread else checked.err_value)
            requested = self._make_record(location, request)
            call = claims.ClaimCall(shard=location.shard, record=requested)
            replied = await self._submit_until(call, deadline_at_ms)
            if isinstance(replied, result.Err):
                return self._handle_unconfirmed(Grant(location.shard, requested), replied.err_value)
            reply = replied.ok_value
            if reply.verdict == "granted":
                granted = Grant(location.shard, reply.record)
                return await self._confirm(location, granted, deadline_at_ms)
            if reply.verdict != "taken":
                return result.Err(_describe_refusal(reply))
            record = await self._wait_for_outcome(location.shard, reply.record, deadline_at_ms)
            if record.state != "not_run":
                return self._resolve(record)
            if self._clock.monotonic_ms() >= deadline_at_ms:
                message = "the attempt under this key did not run; send the same key again"
                return result.Err(errors.NotRun(message, RETRY_AFTER_MS))

    def settle(self, granted: Grant, outcome: Outcome) -> None:
        """Record an outcome; see `Claims.settle`."""
        if len(self._settling) >= MAX_UNSETTLED:
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
        """Discard the outcomes that are not recorded yet; see `Claims.close`."""
        for task in self._settling:
            task.cancel()

    async def serve(self, call: claims.ClaimCall) -> writer.Reply:
        """Write a record on behalf of another daemon.

        :param call: shard and record.
        :return: the reply.
        """
        return await self._writer.submit(call)

    def _make_record(self, location: keys.KeyLocation, request: ClaimRequest) -> claims.ClaimRecord:
        now_ms = self._clock.wall_ms()
        return claims.ClaimRecord(
            key_hash=location.key_hash,
            request_hash=request.request_hash,
            attempt=request.attempt,
            claimed_at_ms=now_ms,
            until_ms=now_ms + request.runs_for_ms,
            state="claimed",
        )

    async def _submit_until(self, call: claims.ClaimCall, deadline_at_ms: int) -> writer.Reply:
        remaining_ms = max(0, deadline_at_ms - self._clock.monotonic_ms())
        submitted = asyncio.ensure_future(self._submit(call))
        deadline = asyncio.ensure_future(self._clock.sleep_ms(remaining_ms))
        try:
            await asyncio.wait((submitted, deadline), return_when=asyncio.FIRST_COMPLETED)
        finally:
            deadline.cancel()
        if submitted.done():
            return submitted.result()
        self._late_submissions.add(submitted)
        submitted.add_done_callback(self._late_submissions.discard)
        return result.Err(errors.AnswerLost("the claim was not confirmed before the deadline"))

    async def _submit(self, call: claims.ClaimCall) -> writer.Reply:
        chosen = owner.choose_owner(call.shard, self._peers.list_live())
        if chosen is None or chosen == self._name or self._is_avoided(chosen):
            return await self._writer.submit(call)
        sent = await self._peers.send(chosen, call)
        if sent.is_ok():
            return sent
        # The peer may still have written the record; a second write is safe, as the record names
        # its attempt.
        self._metrics.count("claims_forwarded_in_vain_total")
        self._avoided_until_ms[chosen] = self._clock.monotonic_ms() + OWNER_AVOIDANCE_MS
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
        self, location: keys.KeyLocation, granted: Grant, deadline_at_ms: int
    ) -> result.Result[Grant | Outcome, errors.CallerError]:
        checked = await self._watermark.check(location)
        if isinstance(checked, result.Ok) and self._clock.monotonic_ms() >= deadline_at_ms:
            message = "the deadline passed before the claim was in force; send the same key again"
            checked = result.Err(errors.NotRun(message, RETRY_AFTER_MS))
        if isinstance(checked, result.Ok):
            return result.Ok(granted)
        is_expired = checked.err_value.ran != errors.NOT_RUN
        self.settle(granted, Outcome("unknown" if is_expired else "not_run"))
        return checked

    def _handle_unconfirmed(
        self, granted: Grant, error: errors.PlatformError
    ) -> result.Result[Grant | Outcome, errors.CallerError]:
        self._metrics.count("claims_given_up_total", kind=error.kind)
        if not isinstance(error, errors.PlatformUnavailable):
            # The write of the claim may still take effect, so record that the attempt never ran.
            self.settle(granted, Outcome("not_run"))
        return result.Err(_make_unread_error())

    async def _wait_for_outcome(
        self, shard: str, record: claims.ClaimRecord, deadline_at_ms: int
    ) -> claims.ClaimRecord:
        interval_ms = MIN_POLL_INTERVAL_MS
        while record.state == "claimed" and self._is_under_way(record):
            remaining_ms = deadline_at_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                break
            await self._clock.sleep_ms(min(interval_ms, remaining_ms))
            interval_ms = min(2 * interval_ms, MAX_POLL_INTERVAL_MS)
            found = await self._writer.read(shard, record.key_hash)
            if isinstance(found, result.Ok) and found.ok_value is not None:
                record = found.ok_value
        return record

    def _is_under_way(self, record: claims.ClaimRecord) -> bool:
        return self._clock.wall_ms() < record.until_ms + CLOCK_MARGIN_MS

    def _resolve(
        self, record: claims.ClaimRecord
    ) -> result.Result[Grant | Outcome, errors.CallerError]:
        if record.state == "answered":
            if not decision.is_answer_kept(record):
                message = (
                    f"the request ran and was answered with status {record.status}, but its body "
                    f"of {record.answer_bytes} bytes was not kept; look up its result"
                )
                return result.Err(errors.AnswerNotKept(message))
            body = base64.b64decode(record.answer)
            return result.Ok(Outcome(record.state, record.status, record.content_type, body))
        if record.state == "claimed" and self._is_under_way(record):
            remaining_ms = record.until_ms + CLOCK_MARGIN_MS - self._clock.wall_ms()
            message = "an attempt under this key is under way; send the same key again later"
            return result.Err(errors.OutcomeUnknown(message, remaining_ms))
        message = (
            "an attempt under this key may have run; look up its result before using a new key"
        )
        return result.Err(errors.OutcomeUnknown(message))

    async def _settle_until_recorded(self, call: claims.ClaimCall) -> None:
        delay_ms = MIN_SETTLE_RETRY_MS
        give_up_at_ms = self._clock.monotonic_ms() + SETTLE_TIMEOUT_MS
        while self._clock.monotonic_ms() < give_up_at_ms:
            replied = await self._submit(call)
            if isinstance(replied, result.Ok):
                self._metrics.count("claims_settled_total", state=call.record.state)
                return
            self._metrics.count("claims_settled_late_total")
            await self._clock.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, MAX_SETTLE_RETRY_MS)
        self._metrics.count("claims_left_unsettled_total")


def _make_unread_error() -> errors.OutcomeUnknown:
    """Return the error for a key whose record could not be read.

    This attempt never runs, but only the record tells whether an earlier one under the key has.
    """
    message = (
        "the record of the key could not be read; this attempt does not run, an earlier one under "
        "the key may have: send the same key again later"
    )
    return errors.OutcomeUnknown(message, RETRY_AFTER_MS)


def _describe_refusal(reply: claims.ClaimReply) -> errors.CallerError:
    if reply.verdict == "full":
        message = (
            "too many claims on keys of this kind; nothing ran: send again with a new key, "
            + "made as a time-ordered UUID (version 7)"
        )
        return errors.NotRun(message, RETRY_AFTER_MS)
    message = "the Idempotency-Key was used with a different request; use a new key"
    return errors.KeyReused(message)
