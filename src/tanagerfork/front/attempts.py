"""Runs one attempt of a request at one group, relays the answer and reports the outcome."""

import asyncio
import collections
import dataclasses
import uuid
from collections.abc import Sequence
from typing import Protocol

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.front import sink
from tanagerfork.generated import bundle, engine
from tanagerfork.groups import directory, presence
from tanagerfork.routing import balancer, poison
from tanagerfork.routing import fleet as fleets
from tanagerfork.upstream import engine as engines
from tanagerfork.upstream import stream

MIN_SILENCE_TIMEOUT_MS = 1000
MIN_FIRST_TOKEN_TIMEOUT_MS = 2000
FIRST_TOKEN_TIMEOUT_FACTOR = 10  # Times the model's usual time to the first token.
MAX_PENDING_CANCELS = 200
SPILL_HOP_HEADER = "X-Spill-Hop"


class Call(Protocol):
    """The fields of a request that an attempt needs."""

    request_id: str
    team: bundle.Team
    model: bundle.Model
    body: bytes
    priority: int
    deadline_at_ms: int
    prefixes: Sequence[str]
    authorization: str
    offset: int


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How an attempt ended.

    `tokens` counts the tokens relayed, `error` is None for a complete answer, `has_crashed` tells
    whether the group crashed, and `is_final` rules out a retry.
    """

    tokens: int
    error: errors.UpstreamError | None
    has_crashed: bool = False
    is_final: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class _RunningAttempt:
    """An attempt in flight, and whether it was stopped because its group is no longer whole."""

    exchange: engines.Exchange | None = None
    is_stopped: bool = False

    def stop(self) -> None:
        """Stop the attempt, at once or as soon as its exchange is open."""
        self.is_stopped = True
        if self.exchange is not None:
            self.exchange.interrupt()


class AttemptRunner:
    """Sends attempts to groups and relays their answers.

    :param groups: this daemon's view of the groups.
    :param group_balancer: balancer that load and health are reported to.
    :param poison_register: register of requests suspected of crashing groups.
    :param client: engine client.
    :param clock: clock for deadlines.
    :param metrics: metrics registry.
    """

    __slots__ = (
        "_groups",
        "_balancer",
        "_poison",
        "_client",
        "_clock",
        "_metrics",
        "_cancel_tasks",
        "_running_attempts",
    )

    def __init__(
        self,
        groups: directory.GroupDirectory,
        group_balancer: balancer.Balancer,
        poison_register: poison.PoisonRegister,
        client: engines.EngineClient,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._balancer = group_balancer
        self._poison = poison_register
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._running_attempts: dict[str, set[_RunningAttempt]] = collections.defaultdict(set)

    async def run(
        self,
        call: Call,
        view: presence.GroupView,
        response_sink: sink.ResponseSink,
        offset: int,
        fingerprint: str,
    ) -> AttemptOutcome:
        """Run one attempt at a group.

        :param call: request.
        :param view: whole group to send it to.
        :param response_sink: receives the answer.
        :param offset: number of tokens that the caller already has.
        :param fingerprint: fingerprint of the request.
        :return: how the attempt ended.
        """
        entry = self._groups.find_vm(view.leader)
        if entry is None:
            message = f"{view.leader} is no longer in the VM list; retry on another group"
            return AttemptOutcome(0, errors.UpstreamUnreachable(message))
        group = view.record.group
        now_ms = self._clock.monotonic_ms()
        attempt = self._make_attempt(call, view, offset)
        is_trial = self._poison.is_suspect(fingerprint, now_ms)
        if is_trial:
            self._poison.begin_trial(attempt.attempt_id, group)
        self._balancer.begin(group, now_ms, call.prefixes)
        outcome = AttemptOutcome(0, errors.UpstreamLost("the attempt was cancelled"))
        has_outcome = False
        try:
            outcome = await self._run_exchange(call, entry, attempt, response_sink, group)
            has_outcome = True
        finally:
            self._poison.end_trial(attempt.attempt_id)
            self._balancer.end(group, self._clock.monotonic_ms())
            if outcome.error is not None and outcome.error.ran != errors.NOT_RUN:
                self._cancel_in_background(entry, attempt.attempt_id)
            if not has_outcome:
                self._balancer.health.record_cancelled(group)
        return await self._assess_outcome(view, entry, outcome)

    async def spill(
        self, call: Call, target: fleets.SpillTarget, response_sink: sink.ResponseSink
    ) -> AttemptOutcome:
        """Forward a request to a daemon of another failure domain, which does not forward it again.

        :param call: request.
        :param target: daemon that reported free slots.
        :param response_sink: receives the answer.
        :return: how the attempt ended.
        """
        entry = engine.VmEntry(
            vm=target.daemon, url=target.callers_url, failure_domain="", fabric_domain=""
        )
        left_ms = max(1, call.deadline_at_ms - self._clock.monotonic_ms())
        attempt = engines.Attempt(
            attempt_id=call.request_id,
            request_id=call.request_id,
            body=call.body,
            priority=call.priority,
            resume_offset=call.offset,
            first_token_timeout_ms=left_ms,
            silence_timeout_ms=max(
                MIN_FIRST_TOKEN_TIMEOUT_MS, self._compute_silence_timeout_ms(call, 0)
            ),
            headers={
                SPILL_HOP_HEADER: "1",
                "Authorization": call.authorization,
                "X-Deadline-Ms": str(left_ms),
            },
        )
        return await self._run_exchange(call, entry, attempt, response_sink, "")

    def _make_attempt(self, call: Call, view: presence.GroupView, offset: int) -> engines.Attempt:
        left_ms = max(1, call.deadline_at_ms - self._clock.monotonic_ms())
        first_timeout_ms = max(
            MIN_FIRST_TOKEN_TIMEOUT_MS, FIRST_TOKEN_TIMEOUT_FACTOR * call.model.first_token_ms
        )
        step_ms = view.report.step_ms if view.report else 0
        return engines.Attempt(
            attempt_id=uuid.uuid4().hex,
            request_id=call.request_id,
            body=call.body,
            priority=call.priority,
            resume_offset=offset,
            first_token_timeout_ms=min(left_ms, first_timeout_ms),
            silence_timeout_ms=self._compute_silence_timeout_ms(call, step_ms),
            headers={
                engines.GROUP_HEADER: view.record.group,
                engines.GENERATION_HEADER: str(view.record.generation),
            },
        )

    def _compute_silence_timeout_ms(self, call: Call, step_ms: float) -> int:
        gap_ms = max(call.model.token_gap_ms, step_ms)
        return max(MIN_SILENCE_TIMEOUT_MS, round(stream.SILENCE_GAP_FACTOR * gap_ms))

    def stop_group_attempts(
        self, view: presence.GroupView, before: presence.GroupState | None
    ) -> None:
        """Stop the attempts at a group that is no longer whole; they resume on another one.

        :param view: group whose state changed.
        :param before: previous state.
        """
        if view.state in (presence.GroupState.WHOLE, presence.GroupState.DRAINING):
            return
        for running in self._running_attempts.get(view.record.group, ()):
            self._metrics.count("attempts_ended_with_group_total")
            running.stop()

    async def _run_exchange(
        self,
        call: Call,
        entry: engine.VmEntry,
        attempt: engines.Attempt,
        response_sink: sink.ResponseSink,
        group: str,
    ) -> AttemptOutcome:
        running = _RunningAttempt()
        self._running_attempts[group].add(running)
        try:
            return await self._relay(call, entry, attempt, response_sink, group, running)
        finally:
            self._running_attempts[group].discard(running)
            if not self._running_attempts[group]:
                del self._running_attempts[group]

    async def _relay(
        self,
        call: Call,
        entry: engine.VmEntry,
        attempt: engines.Attempt,
        response_sink: sink.ResponseSink,
        group: str,
        running: "_RunningAttempt",
    ) -> AttemptOutcome:
        sent_ms = self._clock.monotonic_ms()
        opening = await self._client.open(entry, attempt)
        if isinstance(opening, result.Err):
            return AttemptOutcome(0, opening.err_value)
        exchange = running.exchange = opening.ok_value
        if running.is_stopped:
            await exchange.close()
            return AttemptOutcome(
                0,
                errors.UpstreamLost(
                    "the group broke while the attempt was being opened; retry on another group"
                ),
            )
        tokens = 0
        try:
            while True:
                read = await exchange.next_batch()
                if isinstance(read, result.Err):
                    return AttemptOutcome(tokens, read.err_value)
                batch = read.ok_value
                if not tokens and batch.tokens:
                    self._record_first_token(call, attempt, sent_ms)
                tokens += batch.tokens
                if batch.data and not await response_sink.write(batch.data):
                    too_large = errors.UpstreamLost(
                        "the answer exceeds the size limit; the attempt was cancelled"
                    )
                    return AttemptOutcome(tokens, too_large, is_final=True)
                if batch.is_end:
                    self._record_success(call, group, exchange.mean_gap_ms)
                    return AttemptOutcome(tokens, None)
        finally:
            await exchange.close()

    def _record_first_token(self, call: Call, attempt: engines.Attempt, sent_ms: int) -> None:
        self._poison.end_trial(attempt.attempt_id)
        if not attempt.resume_offset:
            waited_ms = self._clock.monotonic_ms() - sent_ms
            self._metrics.observe_ms(
                "request_first_token_seconds",
                waited_ms,
                team=call.team.name,
                model=call.model.name,
            )

    def _record_success(self, call: Call, group: str, gap_ms: float) -> None:
        if group:
            self._balancer.health.record_success(group, self._clock.monotonic_ms(), gap_ms)
        if gap_ms:
            self._metrics.observe_ms(
                "request_token_gap_seconds", gap_ms, team=call.team.name, model=call.model.name
            )

    async def _assess_outcome(
        self, view: presence.GroupView, entry: engine.VmEntry, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        error = outcome.error
        if error is None or outcome.is_final or isinstance(error, errors.UpstreamRefused):
            return outcome
        self._balancer.health.record_failure(view.record.group, self._clock.monotonic_ms())
        if isinstance(error, errors.UpstreamConfused):
            self._metrics.count("answers_dropped_total", group=view.record.group)
        if type(error) is not errors.UpstreamLost:
            return outcome
        return dataclasses.replace(outcome, has_crashed=await self._has_crashed(view, entry))

    async def _has_crashed(self, view: presence.GroupView, entry: engine.VmEntry) -> bool:
        """Return whether the group's leader restarted, lost a member or does not respond."""
        reported = await self._client.report(entry)
        if isinstance(reported, result.Err):
            return True
        known = view.report.incarnation if view.report else reported.ok_value.incarnation
        return (
            reported.ok_value.incarnation != known
            or reported.ok_value.members != view.record.members
        )

    def _cancel_in_background(self, entry: engine.VmEntry, attempt_id: str) -> None:
        if len(self._cancel_tasks) >= MAX_PENDING_CANCELS:
            self._metrics.count("cancels_skipped_total")
            return
        task = asyncio.create_task(self._client.cancel(entry, attempt_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)
