"""Attempts: has a caller's request answered by one upstream after another, within its rules."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.relay import (
    budget,
    calls,
    crashes,
    events,
    exchange,
    fleet,
    loads,
    placing,
    rules,
)
from tanagerfork.relay import progress as progresses

LOGGER = "relay.attempts"
WAY_BACK_MS = 10  # The answer's way to the caller, taken off the time that an upstream gets.
LEAST_LEFT_MS = 20  # Below this no upstream can answer.
MAX_UNREACHED = 3  # Upstreams that take no connection, before the caller is told.
FIRST_SILENCE_MS = 400  # A group that serves sends events of some stream five times as often.
SILENCE_PER_EXPECTED = 2.5  # An estimate that is off by more is no estimate of that upstream.
GAP_SILENCE_MS = 400  # Five times the gap between two events of a busy group.
PLAIN_TRY_SHARE = 0.45  # Part of the time left that a repeatable request waits before it moves.
RETRY_SOON_MS = 200  # About the time in which the list shows a group that was formed anew.
MAX_RETRY_MS = 2000
PASSED_FAILURES = frozenset((429, 503, 408, 421))  # Statuses that promise "not run".


class Relay:
    """Has requests answered.

    :param register: rules in force.
    :param view: upstreams and groups.
    :param book: loads of the upstreams.
    :param placer: chooses upstreams.
    :param repeats: budget of second sends.
    :param exchanger: sends to upstreams.
    :param dialect: headers of the platform.
    :param clock: clock of the deadlines.
    :param log: decision log.
    :param metrics: counters.
    :param tell_silent: tells the other daemons of an upstream that went silent.
    :param crash_watch: finds requests that crash their upstreams.
    """

    __slots__ = (
        "_register",
        "_view",
        "_book",
        "_placer",
        "_repeats",
        "_exchanger",
        "_dialect",
        "_clock",
        "_log",
        "_metrics",
        "_tell_silent",
        "_crash_watch",
    )

    def __init__(
        self,
        register: rules.RulesRegister,
        view: fleet.Fleet,
        book: loads.LoadBook,
        placer: placing.Placer,
        repeats: budget.RepeatBudget,
        exchanger: exchange.Exchanger,
        dialect: calls.Dialect,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        tell_silent: Callable[[str], None],
        crash_watch: crashes.CrashWatch,
    ) -> None:
        self._crash_watch = crash_watch
        self._tell_silent = tell_silent
        self._register = register
        self._view = view
        self._book = book
        self._placer = placer
        self._repeats = repeats
        self._exchanger = exchanger
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def serve(self, request: calls.CallerRequest, sink: progresses.Sink) -> None:
        """Have a request answered.

        :param request: caller's request.
        :param sink: where the answer goes.
        :raises CallerError: why there is no answer; the sink has not begun.
        """
        progress = self._begin(request)
        self._repeats.note_fresh(progress.service.name, self._clock.monotonic_ms())
        try:
            async with asyncio.timeout(self._left_ms(progress) / 1000):
                await self._run(request, progress, sink)
        except TimeoutError:
            await self._fail(request, progress, sink, "the time for the request is over")

    def _begin(self, request: calls.CallerRequest) -> progresses.Progress:
        in_force = self._register.current
        if in_force is None:
            raise errors.NotRun("no configuration is known yet; come back", RETRY_SOON_MS * 2)
        route = in_force.match(request.host, request.path)
        team = in_force.identify(route, request.facts.key)
        service = in_force.services.get(route.choose_service(request.facts.request_id))
        if service is None:
            raise errors.NotRun(f"the service of route {route.name} is not known", RETRY_SOON_MS)
        fingerprint = crashes.make_fingerprint(request, team.name if team else "")
        quarantine_ms = self._crash_watch.quarantine_left_ms(fingerprint)
        if quarantine_ms:
            raise errors.NotRun("the request crashed upstreams that ran it; wait", quarantine_ms)
        limit_ms = min(request.facts.deadline_ms, route.timeout_ms)
        return progresses.Progress(
            route=route,
            service=service,
            team=team.name if team else "",
            ends_at_ms=request.arrived_at_ms + limit_ms,
            last_event_id=request.facts.last_event_id,
            fingerprint=fingerprint,
        )

    async def _run(
        self, request: calls.CallerRequest, progress: progresses.Progress, sink: progresses.Sink
    ) -> None:
        while True:
            choice = self._choose(request, progress)
            if choice is None:
                await self._fail(
                    request, progress, sink, progress.reason or "no upstream can serve it"
                )
                return
            if self._left_ms(progress) < LEAST_LEFT_MS:
                await self._fail(request, progress, sink, "the time left is too short")
                return
            now_ms = self._clock.monotonic_ms()
            if progress.sends and not self._repeats.take(progress.service.name, now_ms):
                await self._fail(request, progress, sink, "the budget of second sends is used up")
                return
            outcome = await self._send(request, progress, choice, sink)
            if outcome is calls.Outcome.ANSWERED:
                return
            if not self._may_send_again(progress, outcome):
                await self._fail(request, progress, sink, progress.reason)
                return

    def _choose(
        self, request: calls.CallerRequest, progress: progresses.Progress
    ) -> placing.Choice | None:
        now_ms = self._clock.monotonic_ms()
        service = progress.service
        if service.engine is None:
            upstreams = self._view.list_plain(service.name)
            return self._placer.choose_plain(upstreams, progress.avoided, now_ms)
        groups = self._view.list_groups(service.name, request.facts.model)
        choice = self._placer.choose_group(
            groups, service.engine, request.facts.prompt_tokens, progress.avoided, now_ms
        )
        if choice is not None and choice.expected_ms > self._left_ms(progress):
            progress.reason = "every group is too busy to answer in time"
            return None
        return choice

    def _may_send_again(self, progress: progresses.Progress, outcome: calls.Outcome) -> bool:
        if outcome is calls.Outcome.UNREACHED:
            progress.unreached += 1
            return progress.unreached < MAX_UNREACHED
        if progress.sends >= progress.route.attempts:
            return False
        return outcome is calls.Outcome.REFUSED or progress.route.is_repeatable

    async def _send(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        choice: placing.Choice,
        sink: progresses.Sink,
    ) -> calls.Outcome:
        upstream = choice.upstream
        tokens = request.facts.prompt_tokens
        progress.avoided.add(upstream.id)
        began_ms = self._clock.monotonic_ms()
        self._book.begin(upstream.id, tokens)
        progress.is_reading = True
        outcome = calls.Outcome.LOST
        reason = "the caller left"
        try:
            sent = await self._exchange(request, progress, choice, sink)
            outcome = sent.unwrap_or(calls.Outcome.ANSWERED)
            if isinstance(sent, result.Err):
                outcome, reason = _judge(sent.err_value), sent.err_value.message
                if type(sent.err_value) is errors.UpstreamLost:
                    self._crash_watch.note_break(
                        progress.fingerprint, upstream, request.facts.request_id
                    )
            else:
                reason = ""
                self._crash_watch.note_whole(progress.fingerprint)
        except asyncio.CancelledError:
            progress.may_have_run = True  # Its time is over, or its caller left.
            outcome = calls.Outcome.REFUSED  # Neither a success nor the upstream's failure.
            raise
        finally:
            now_ms = self._clock.monotonic_ms()
            self._end_reading(progress, upstream.id, tokens)
            self._book.end(upstream.id, outcome, now_ms - began_ms, now_ms)
            self._note_send(request, progress, choice, outcome, reason, now_ms - began_ms)
        if outcome is not calls.Outcome.UNREACHED:
            progress.sends += 1
        if outcome is calls.Outcome.LOST:
            progress.may_have_run = True
        progress.reason = reason
        return outcome

    async def _exchange(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        choice: placing.Choice,
        sink: progresses.Sink,
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        upstream = choice.upstream
        left_ms = self._left_ms(progress)
        outgoing = calls.Outgoing(
            upstream_id=upstream.id,
            team=progress.team,
            left_ms=max(1, int(left_ms - WAY_BACK_MS)),
            last_event_id=progress.last_event_id,
        )
        head_ms = self._limit_head(progress, choice, left_ms)
        sending = self._exchanger.send(request, upstream, outgoing, progress.route.is_repeatable)
        try:
            answer = await self._wait_alive(sending, upstream.id, head_ms)
        except TimeoutError:
            self._suspect(upstream.id)
            message = f"{upstream.id} sent nothing for {head_ms:.0f} ms; go elsewhere"
            return result.Err(errors.UpstreamSilent(message))
        except errors.UpstreamError as error:
            return result.Err(error)
        self._end_reading(progress, upstream.id, request.facts.prompt_tokens)
        try:
            self._book.note_load(upstream.id, answer.facts.load, self._clock.monotonic_ms())
            refusal = self._check_head(request, progress, answer)
            if refusal is not None:
                return result.Err(refusal)
            if progress.route.repetition is rules.Repetition.STREAM and answer.status == 200:
                return await self._pass_stream(progress, choice, answer, sink)
            return await self._pass_whole(progress, answer, sink)
        except errors.UpstreamError as error:
            return result.Err(error)
        finally:
            answer.response.close()

    def _end_reading(self, progress: progresses.Progress, upstream_id: str, tokens: int) -> None:
        if progress.is_reading:
            progress.is_reading = False
            self._book.end_reading(upstream_id, tokens)

    def _limit_head(
        self, progress: progresses.Progress, choice: placing.Choice, left_ms: float
    ) -> float:
        """Return how long to wait for the head of an answer, in milliseconds."""
        if not progress.can_move:
            return left_ms + LEAST_LEFT_MS  # The request's own time ends first.
        if progress.service.engine is None:
            return left_ms * PLAIN_TRY_SHARE
        return max(FIRST_SILENCE_MS, SILENCE_PER_EXPECTED * choice.expected_ms)

    def _check_head(
        self, request: calls.CallerRequest, progress: progresses.Progress, answer: exchange.Answer
    ) -> errors.UpstreamError | None:
        facts = answer.facts
        if facts.says_not_run:
            at_fault = f" (at fault: {facts.fault_at})" if facts.fault_at else ""
            return errors.UpstreamRefused(f"refused with {answer.status}{at_fault}; go elsewhere")
        if facts.request_id != request.facts.request_id:
            return errors.UpstreamConfused("answered another request; go elsewhere")
        if "Content-Encoding" in answer.response.headers:
            return errors.UpstreamConfused("the body is not the upstream's own; go elsewhere")
        if 200 <= answer.status < 300 and not facts.has_receipt:
            return errors.UpstreamConfused("a success without a receipt; go elsewhere")
        if answer.status in PASSED_FAILURES:
            return errors.UpstreamFailed(
                f"failed with {answer.status}; whether it ran is not known"
            )
        return None

    async def _pass_whole(
        self, progress: progresses.Progress, answer: exchange.Answer, sink: progresses.Sink
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        body = await answer.read_whole()
        headers = self._dialect.pass_headers(answer.headers)
        if answer.status >= 500 and progress.can_move:
            progress.kept_failure = progresses.KeptFailure(answer.status, headers, body)
            return result.Err(errors.UpstreamFailed(f"failed with {answer.status}; go elsewhere"))
        if sink.has_begun:  # A stream that went on elsewhere and failed there.
            return result.Err(errors.UpstreamFailed(f"failed with {answer.status}; go elsewhere"))
        await sink.answer(answer.status, headers, body)
        return result.Ok(calls.Outcome.ANSWERED)

    async def _pass_stream(
        self,
        progress: progresses.Progress,
        choice: placing.Choice,
        answer: exchange.Answer,
        sink: progresses.Sink,
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        upstream_id = choice.upstream.id
        load = self._book.find(upstream_id)
        cutter = events.EventCutter(progress.last_event_id)
        while True:
            chunk = await self._read_chunk(answer, progress, choice, cutter.count)
            load.heard_at_ms = self._clock.monotonic_ms()
            if not chunk:
                break
            cut = cutter.feed(chunk)
            if isinstance(cut, result.Err):
                return cut
            if not cut.ok_value:
                continue
            if not sink.has_begun:
                await sink.begin(answer.status, self._dialect.pass_headers(answer.headers))
            await sink.send(cut.ok_value)
            progress.last_event_id = cutter.last_id
        if cutter.has_rest:
            return result.Err(errors.UpstreamLost("the stream ends within an event; go on"))
        if not sink.has_begun:
            await sink.begin(answer.status, self._dialect.pass_headers(answer.headers))
        await sink.finish()
        return result.Ok(calls.Outcome.ANSWERED)

    async def _read_chunk(
        self,
        answer: exchange.Answer,
        progress: progresses.Progress,
        choice: placing.Choice,
        event_count: int,
    ) -> bytes:
        if not progress.can_move:
            return await answer.read_next()
        limit_ms = max(GAP_SILENCE_MS, 2 * progress.route.gap_goal_ms)
        if not event_count:
            limit_ms = self._limit_head(progress, choice, self._left_ms(progress))
        load = self._book.find(choice.upstream.id)
        silent_since_ms = float(self._clock.monotonic_ms())
        while True:
            left_ms = silent_since_ms + limit_ms - self._clock.monotonic_ms()
            try:
                async with asyncio.timeout(max(0.0, left_ms / 1000)):
                    return await answer.read_next()
            except TimeoutError as error:
                if event_count == 0 and load.heard_at_ms > silent_since_ms:
                    silent_since_ms = load.heard_at_ms  # The group serves; this request waits.
                    continue
                self._suspect(choice.upstream.id)
                message = f"the stream was silent for {limit_ms:.0f} ms; go on elsewhere"
                raise errors.UpstreamSilent(message) from error

    async def _wait_alive(
        self, sending: Coroutine[Any, Any, exchange.Answer], upstream_id: str, limit_ms: float
    ) -> exchange.Answer:
        """Wait for the head of an answer as long as its upstream gives signs of life.

        :raises TimeoutError: nothing was heard of the upstream for the limit.
        """
        load = self._book.find(upstream_id)
        silent_since_ms = float(self._clock.monotonic_ms())
        task = asyncio.create_task(sending)
        try:
            while True:
                left_ms = silent_since_ms + limit_ms - self._clock.monotonic_ms()
                done, _ = await asyncio.wait({task}, timeout=max(0.0, left_ms / 1000))
                if done:
                    return task.result()
                if load.heard_at_ms <= silent_since_ms:
                    raise TimeoutError
                silent_since_ms = load.heard_at_ms
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})

    def _suspect(self, upstream_id: str) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._book.find(upstream_id).suspect_until_ms:
            self._tell_silent(upstream_id)
        self._book.suspect(upstream_id, now_ms)

    async def _fail(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        sink: progresses.Sink,
        reason: str,
    ) -> None:
        self._log.note(
            LOGGER,
            "give up",
            request_id=request.facts.request_id,
            route=progress.route.name,
            reason=reason,
            sends=progress.sends,
            may_have_run=progress.may_have_run,
            left_ms=round(self._left_ms(progress)),
            list_age_ms=self._view.measure_age(self._clock.monotonic_ms()),
        )
        if sink.has_begun:
            sink.cut()
            return
        if progress.kept_failure is not None:
            kept = progress.kept_failure
            await sink.answer(kept.status, kept.headers, kept.body)
            return
        if progress.may_have_run:
            if self._left_ms(progress) <= LEAST_LEFT_MS:
                raise errors.DeadlineExceeded(f"{reason}; the request may have run")
            raise errors.OutcomeUnknown(f"{reason}; the request may have run")
        raise errors.NotRun(f"{reason}; come back", self._find_retry_ms(progress))

    def _find_retry_ms(self, progress: progresses.Progress) -> int:
        left_ms = self._left_ms(progress)
        return round(max(1, min(MAX_RETRY_MS, RETRY_SOON_MS, left_ms / 3)))

    def _left_ms(self, progress: progresses.Progress) -> float:
        return progress.ends_at_ms - self._clock.monotonic_ms()

    def _note_send(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        choice: placing.Choice,
        outcome: calls.Outcome,
        reason: str,
        took_ms: float,
    ) -> None:
        self._metrics.count("relay_sends_total", outcome=outcome.value)
        self._metrics.observe_ms("relay_send_seconds", took_ms, service=progress.service.name)
        self._log.note(
            LOGGER,
            "send",
            request_id=request.facts.request_id,
            route=progress.route.name,
            upstream=choice.upstream.id,
            candidates=choice.candidates,
            expected_ms=round(choice.expected_ms),
            requests_there=round(choice.requests_there, 1),
            told_age_ms=round(choice.told_age_ms),
            list_age_ms=self._view.measure_age(self._clock.monotonic_ms()),
            outcome=outcome.value,
            reason=reason,
            took_ms=round(took_ms),
            last_event_id=progress.last_event_id,
        )


def _judge(error: errors.UpstreamError) -> calls.Outcome:
    if isinstance(error, errors.UpstreamUnreachable):
        return calls.Outcome.UNREACHED
    if isinstance(error, errors.UpstreamRefused):
        return calls.Outcome.REFUSED
    return calls.Outcome.LOST
