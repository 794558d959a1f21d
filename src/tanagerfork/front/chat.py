"""Requests for models: one task a request, from the choice of a group to the last event."""

import dataclasses
import uuid

import aiohttp.web
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.front import sink
from tanagerfork.generated import bundle
from tanagerfork.groups import directory, presence
from tanagerfork.routing import balancer
from tanagerfork.timeline import kinds, ring
from tanagerfork.upstream import engine as engines

MAX_ATTEMPTS = 4
SILENT_GAPS = 30
MIN_SILENCE_MS = 500
NO_GROUP_RETRY_MS = 1000


@dataclasses.dataclass(slots=True)
class ChatCall:
    """A checked request for a model."""

    request_id: str
    team: bundle.Team
    model: bundle.Model
    body: bytes
    priority: int
    deadline_at_ms: int


class ChatRunner:
    """Has requests answered by whole groups.

    :param groups: groups as this daemon knows them.
    :param choice: balancer.
    :param client: engine client.
    :param clock: clock of the deadlines.
    :param timeline: time line.
    :param metrics: counters.
    """

    __slots__ = ("_groups", "_balancer", "_client", "_clock", "_timeline", "_metrics")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        choice: balancer.Balancer,
        client: engines.EngineClient,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._balancer = choice
        self._client = client
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics

    async def run(
        self, call: ChatCall, answer: sink.AnswerSink
    ) -> result.Result[aiohttp.web.StreamResponse, errors.CallerError]:
        """Have a request answered.

        :param call: request.
        :param answer: where the answer goes.
        :return: the response once it is whole, or why it cannot be.
        """
        failed: list[str] = []
        tokens = 0
        has_run = False
        for _ in range(MAX_ATTEMPTS):
            now_ms = self._clock.monotonic_ms()
            if now_ms >= call.deadline_at_ms:
                break
            view = self._balancer.choose(self._groups.whole_groups(call.model.name, now_ms), failed)
            if view is None:
                break
            attempted = await self._attempt(call, view, answer, tokens)
            tokens += attempted.tokens
            if attempted.error is None:
                return result.Ok(await answer.finish())
            has_run = has_run or attempted.error.ran != errors.NOT_RUN
            failed.append(view.record.group)
            self._metrics.count("attempts_failed_total", kind=attempted.error.kind)
            self._timeline.record(
                kinds.EventKind.REQUEST_RETRIED,
                attempted.error.message,
                group=view.record.group,
                request=call.request_id,
            )
        return result.Err(self._describe_failure(call, answer, has_run))

    async def _attempt(
        self, call: ChatCall, view: presence.GroupView, answer: sink.AnswerSink, offset: int
    ) -> "AttemptEnd":
        entry = self._groups.find_vm(view.leader)
        if entry is None:
            message = f"{view.leader} left the VM list; go elsewhere"
            return AttemptEnd(0, errors.UpstreamUnreachable(message))
        attempt = engines.Attempt(
            attempt_id=uuid.uuid4().hex,
            request_id=call.request_id,
            body=call.body,
            priority=call.priority,
            resume_offset=offset,
            first_token_timeout_ms=max(1, call.deadline_at_ms - self._clock.monotonic_ms()),
            silence_timeout_ms=max(MIN_SILENCE_MS, SILENT_GAPS * call.model.token_gap_ms),
        )
        self._balancer.begin(view.record.group)
        try:
            opened = await self._client.open(entry, attempt)
            if isinstance(opened, result.Err):
                return AttemptEnd(0, opened.err_value)
            return await self._relay(opened.ok_value, answer)
        finally:
            self._balancer.end(view.record.group)

    async def _relay(self, exchange: engines.Exchange, answer: sink.AnswerSink) -> "AttemptEnd":
        tokens = 0
        try:
            while True:
                read = await exchange.next_batch()
                if isinstance(read, result.Err):
                    return AttemptEnd(tokens, read.err_value)
                batch = read.ok_value
                tokens += batch.tokens
                if batch.data:
                    await answer.write(batch.data)
                if batch.is_end:
                    return AttemptEnd(tokens, None)
        finally:
            await exchange.close()

    def _describe_failure(
        self, call: ChatCall, answer: sink.AnswerSink, has_run: bool
    ) -> errors.CallerError:
        if answer.has_begun:
            return errors.AnswerCut("the answer cannot be completed; send the request again", 1)
        if self._clock.monotonic_ms() >= call.deadline_at_ms:
            return errors.DeadlineExceeded("no whole answer before the deadline; allow more time")
        if has_run:
            message = "the upstreams broke off; a draft may be asked for again"
            return errors.OutcomeUnknown(message, NO_GROUP_RETRY_MS)
        message = f"no whole group of {call.model.name} can take the request; come back later"
        return errors.NotRun(message, NO_GROUP_RETRY_MS)


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnd:
    """How an attempt ended: the tokens it gave, and why it is not whole."""

    tokens: int
    error: errors.UpstreamError | None
