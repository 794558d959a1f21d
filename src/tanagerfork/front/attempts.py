"""One attempt of a request at one group: sends it, relays its answer, tells what came of it."""

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

MIN_SILENCE_MS = 1000
MIN_FIRST_SILENCE_MS = 2000
FIRST_SILENCE_FACTOR = 10
MAX_CANCELS = 200
HOP_HEADER = "X-Spill-Hop"


class Call(Protocol):
    """What an attempt needs to know of its request."""

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
class AttemptEnd:
    """How an attempt ended: the tokens it gave, why it is not whole, whether its group crashed."""

    tokens: int
    error: errors.UpstreamError | None
    has_crashed: bool = False
    is_final: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class _Running:
    """An attempt under way, and whether its group stopped being whole meanwhile."""

    exchange: engines.Exchange | None = None
    is_ended: bool = False

    def end(self) -> None:
        """Break the attempt off, now or as soon as it is open."""
        self.is_ended = True
        if self.exchange is not None:
            self.exchange.interrupt()


class AttemptRunner:
    """Sends attempts and relays their answers.

    :param groups: groups as this daemon knows them.
    :param choice: balancer, which is told of load and health.
    :param suspects: poison requests.
    :param client: engine client.
    :param clock: clock of the deadlines.
    :param metrics: counters.
    """

    __slots__ = (
        "_groups",
        "_balancer",
        "_poison",
        "_client",
        "_clock",
        "_metrics",
        "_cancels",
        "_running",
    )

    def __init__(
        self,
        groups: directory.GroupDirectory,
        choice: balancer.Balancer,
        suspects: poison.PoisonRegister,
        client: engines.EngineClient,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._balancer = choice
        self._poison = suspects
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._cancels: set[asyncio.Task[None]] = set()
        self._running: dict[str, set[_Running]] = collections.defaultdict(set)

    async def run(
        self,
        call: Call,
        view: presence.GroupView,
        answer: sink.AnswerSink,
        offset: int,
        fingerprint: str,
    ) -> AttemptEnd:
        """Send one attempt.

        :param call: request.
        :param view: whole group.
        :param answer: where the answer goes.
        :param offset: tokens that the caller has already.
        :param fingerprint: fingerprint of the request.
        :return: what came of it.
        """
        entry = self._groups.find_vm(view.leader)
        if entry is None:
            message = f"{view.leader} left the VM list; go elsewhere"
            return AttemptEnd(0, errors.UpstreamUnreachable(message))
        group = view.record.group
        now_ms = self._clock.monotonic_ms()
        attempt = self._make_attempt(call, view, offset)
        is_trial = self._poison.is_suspect(fingerprint, now_ms)
        if is_trial:
            self._poison.begin_trial(attempt.attempt_id, group)
        self._balancer.begin(group, now_ms, call.prefixes)
        ended = AttemptEnd(0, errors.UpstreamLost("the request was given up"))
        is_judged = False
        try:
            ended = await self._exchange(call, entry, attempt, answer, group)
            is_judged = True
        finally:
            self._poison.end_trial(attempt.attempt_id)
            self._balancer.end(group, self._clock.monotonic_ms())
            if ended.error is not None and ended.error.ran != errors.NOT_RUN:
                self._cancel_later(entry, attempt.attempt_id)
            if not is_judged:
                self._balancer.health.record_cancelled(group)
        return await self._judge(view, entry, ended)

    async def spill(
        self, call: Call, target: fleets.SpillTarget, answer: sink.AnswerSink
    ) -> AttemptEnd:
        """Have a daemon of another failure domain answer, which sends the request no further.

        :param call: request.
        :param target: daemon that is known to have room.
        :param answer: where the answer goes.
        :return: what came of it.
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
            silence_timeout_ms=max(MIN_FIRST_SILENCE_MS, self._allow_silence_ms(call, 0)),
            headers={
                HOP_HEADER: "1",
                "Authorization": call.authorization,
                "X-Deadline-Ms": str(left_ms),
            },
        )
        return await self._exchange(call, entry, attempt, answer, "")

    def _make_attempt(self, call: Call, view: presence.GroupView, offset: int) -> engines.Attempt:
        left_ms = max(1, call.deadline_at_ms - self._clock.monotonic_ms())
        first_ms = max(MIN_FIRST_SILENCE_MS, FIRST_SILENCE_FACTOR * call.model.first_token_ms)
        step_ms = view.report.step_ms if view.report else 0
        return engines.Attempt(
            attempt_id=uuid.uuid4().hex,
            request_id=call.request_id,
            body=call.body,
            priority=call.priority,
            resume_offset=offset,
            first_token_timeout_ms=min(left_ms, first_ms),
            silence_timeout_ms=self._allow_silence_ms(call, step_ms),
            headers={
                engines.GROUP_HEADER: view.record.group,
                engines.GENERATION_HEADER: str(view.record.generation),
            },
        )

    def _allow_silence_ms(self, call: Call, step_ms: float) -> int:
        gap_ms = max(call.model.token_gap_ms, step_ms)
        return max(MIN_SILENCE_MS, round(stream.SILENCE_GAP_FACTOR * gap_ms))

    def end_group(self, view: presence.GroupView, before: presence.GroupState | None) -> None:
        """End the attempts at a group that is no longer whole, so that they go on elsewhere.

        :param view: group whose state changed.
        :param before: state that it had.
        """
        if view.state in (presence.GroupState.WHOLE, presence.GroupState.DRAINING):
            return
        for running in self._running.get(view.record.group, ()):
            self._metrics.count("attempts_ended_with_group_total")
            running.end()

    async def _exchange(
        self,
        call: Call,
        entry: engine.VmEntry,
        attempt: engines.Attempt,
        answer: sink.AnswerSink,
        group: str,
    ) -> AttemptEnd:
        running = _Running()
        self._running[group].add(running)
        try:
            return await self._relay(call, entry, attempt, answer, group, running)
        finally:
            self._running[group].discard(running)
            if not self._running[group]:
                del self._running[group]

    async def _relay(
        self,
        call: Call,
        entry: engine.VmEntry,
        attempt: engines.Attempt,
        answer: sink.AnswerSink,
        group: str,
        running: "_Running",
    ) -> AttemptEnd:
        sent_ms = self._clock.monotonic_ms()
        opened = await self._client.open(entry, attempt)
        if isinstance(opened, result.Err):
            return AttemptEnd(0, opened.err_value)
        exchange = running.exchange = opened.ok_value
        if running.is_ended:
            await exchange.close()
            return AttemptEnd(0, errors.UpstreamLost("the group broke meanwhile; go elsewhere"))
        tokens = 0
        try:
            while True:
                read = await exchange.next_batch()
                if isinstance(read, result.Err):
                    return AttemptEnd(tokens, read.err_value)
                batch = read.ok_value
                if not tokens and batch.tokens:
                    self._note_first_token(call, attempt, sent_ms)
                tokens += batch.tokens
                if batch.data and not await answer.write(batch.data):
                    lost = errors.UpstreamLost("the answer is too large; it was given up")
                    return AttemptEnd(tokens, lost, is_final=True)
                if batch.is_end:
                    self._note_whole(call, group, exchange.mean_gap_ms)
                    return AttemptEnd(tokens, None)
        finally:
            await exchange.close()

    def _note_first_token(self, call: Call, attempt: engines.Attempt, sent_ms: int) -> None:
        self._poison.end_trial(attempt.attempt_id)
        if not attempt.resume_offset:
            waited_ms = self._clock.monotonic_ms() - sent_ms
            self._metrics.observe_ms(
                "request_first_token_seconds",
                waited_ms,
                team=call.team.name,
                model=call.model.name,
            )

    def _note_whole(self, call: Call, group: str, gap_ms: float) -> None:
        if group:
            self._balancer.health.record_success(group, self._clock.monotonic_ms(), gap_ms)
        if gap_ms:
            self._metrics.observe_ms(
                "request_token_gap_seconds", gap_ms, team=call.team.name, model=call.model.name
            )

    async def _judge(
        self, view: presence.GroupView, entry: engine.VmEntry, ended: AttemptEnd
    ) -> AttemptEnd:
        error = ended.error
        if error is None or ended.is_final or isinstance(error, errors.UpstreamRefused):
            return ended
        self._balancer.health.record_failure(view.record.group, self._clock.monotonic_ms())
        if isinstance(error, errors.UpstreamConfused):
            self._metrics.count("answers_dropped_total", group=view.record.group)
        if type(error) is not errors.UpstreamLost:
            return ended
        return dataclasses.replace(ended, has_crashed=await self._has_crashed(view, entry))

    async def _has_crashed(self, view: presence.GroupView, entry: engine.VmEntry) -> bool:
        """Ask the group's first member whether it lost its process or a member."""
        asked = await self._client.report(entry)
        if isinstance(asked, result.Err):
            return True
        known = view.report.incarnation if view.report else asked.ok_value.incarnation
        return asked.ok_value.incarnation != known or asked.ok_value.members != view.record.members

    def _cancel_later(self, entry: engine.VmEntry, attempt_id: str) -> None:
        if len(self._cancels) >= MAX_CANCELS:
            self._metrics.count("cancels_skipped_total")
            return
        task = asyncio.create_task(self._client.cancel(entry, attempt_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)
