"""Attempts: has a caller's request answered by one upstream after another, within its rules."""

import asyncio

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.relay import (
    budget,
    calls,
    crashes,
    fleet,
    loads,
    placing,
    rules,
    sending,
)
from tanagerfork.relay import progress as progresses

LOGGER = "relay.attempts"
MAX_NOT_RUN = 8  # A failure domain that is cut off takes away a third of the groups at once.
REPAIR_MS = 2500.0  # A group is found broken in 1 s, closed in 0.5 s, and open 1 s later.
MOST_COME_BACK_SHARE = 1 / 3  # Callers wait for a third of the time that they have left.
NOT_RUN = frozenset((calls.Outcome.UNREACHED, calls.Outcome.REFUSED))


class Relay:
    """Has requests answered.

    :param register: rules in force.
    :param view: upstreams and groups.
    :param book: loads of the upstreams.
    :param placer: chooses upstreams.
    :param repeats: budget of second sends.
    :param sender: sends to one upstream.
    :param clock: clock of the deadlines.
    :param log: decision log.
    :param metrics: counters.
    :param crash_watch: finds requests that crash their upstreams.
    """

    __slots__ = (
        "_register",
        "_view",
        "_book",
        "_placer",
        "_repeats",
        "_sender",
        "_clock",
        "_log",
        "_metrics",
        "_crash_watch",
    )

    def __init__(
        self,
        register: rules.RulesRegister,
        view: fleet.Fleet,
        book: loads.LoadBook,
        placer: placing.Placer,
        repeats: budget.RepeatBudget,
        sender: sending.Sender,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        crash_watch: crashes.CrashWatch,
    ) -> None:
        self._crash_watch = crash_watch
        self._register = register
        self._view = view
        self._book = book
        self._placer = placer
        self._repeats = repeats
        self._sender = sender
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
            async with asyncio.timeout(progress.left_ms(self._clock.monotonic_ms()) / 1000):
                await self._run(request, progress, sink)
        except TimeoutError:
            await self._fail(request, progress, sink, "the time for the request is over")

    def _begin(self, request: calls.CallerRequest) -> progresses.Progress:
        in_force = self._register.current
        if in_force is None:
            raise errors.NotRun(
                "no configuration is known yet; come back", round(2 * progresses.COME_BACK_SOON_MS)
            )
        route = in_force.match(request.host, request.path)
        team = in_force.identify(route, request.facts.key)
        service = in_force.services.get(route.choose_service(request.facts.request_id))
        if service is None:
            raise errors.NotRun(
                f"the service of route {route.name} is not known",
                round(progresses.COME_BACK_SOON_MS),
            )
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
            if progress.left_ms(self._clock.monotonic_ms()) < progresses.LEAST_LEFT_MS:
                await self._fail(request, progress, sink, "the time left is too short")
                return
            now_ms = self._clock.monotonic_ms()
            if progress.has_arrived and not self._repeats.take(progress.service.name, now_ms):
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
        if choice is None:
            progress.come_back_ms = REPAIR_MS
        elif choice.expected_ms > progress.left_ms(now_ms):
            progress.reason = "every group is too busy to answer in time"
            progress.come_back_ms = choice.expected_ms
            return None
        return choice

    def _may_send_again(self, progress: progresses.Progress, outcome: calls.Outcome) -> bool:
        if outcome in NOT_RUN:
            progress.not_run += 1
            return progress.not_run < MAX_NOT_RUN
        return progress.sends < progress.route.attempts and progress.route.is_repeatable

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
            sent = await self._sender.send(request, progress, choice, sink)
            outcome = sent.unwrap_or(calls.Outcome.ANSWERED)
            if isinstance(sent, result.Err):
                outcome, reason = _judge(sent.err_value), sent.err_value.message
                if isinstance(sent.err_value, errors.GroupClosed):
                    self._book.note_closed(upstream.id, choice.epoch, self._clock.monotonic_ms())
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
            self._sender.end_reading(progress, upstream.id, tokens)
            self._book.end(upstream.id, outcome, now_ms - began_ms, now_ms)
            self._note_send(request, progress, choice, outcome, reason, now_ms - began_ms)
        if outcome is calls.Outcome.UNREACHED:
            self._book.suspect(upstream.id, self._clock.monotonic_ms())
        else:
            progress.has_arrived = True
            if outcome is not calls.Outcome.REFUSED:
                progress.sends += 1
        if outcome is calls.Outcome.LOST:
            progress.may_have_run = True
        progress.reason = reason
        return outcome

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
            left_ms=round(progress.left_ms(self._clock.monotonic_ms())),
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
            if progress.left_ms(self._clock.monotonic_ms()) <= progresses.LEAST_LEFT_MS:
                raise errors.DeadlineExceeded(f"{reason}; the request may have run")
            raise errors.OutcomeUnknown(f"{reason}; the request may have run")
        raise errors.NotRun(f"{reason}; come back", self._find_retry_ms(progress))

    def _find_retry_ms(self, progress: progresses.Progress) -> int:
        left_ms = progress.left_ms(self._clock.monotonic_ms())
        return round(max(1, min(progress.come_back_ms, left_ms * MOST_COME_BACK_SHARE)))

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
            requests_there=round(choice.estimated_requests, 1),
            told_age_ms=round(choice.load_age_ms),
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
