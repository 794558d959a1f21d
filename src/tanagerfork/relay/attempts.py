"""Sends a caller's request to upstreams until one answers or no further send may be made."""

import asyncio
import functools

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.relay import (
    budget,
    calls,
    capacities,
    choosing,
    crashes,
    forwarding,
    loads,
    open_sends,
    placing,
    reach,
    reach_checks,
    regions,
    rules,
    send_records,
    sending,
)
from tanagerfork.relay import progress as progresses

OUTDATED = "the configuration here is older than that of an earlier answer; retry later"
DEADLINE_PASSED = "the deadline of the request has passed"
STOPPING = "the daemon is stopping"
HEDGE_INTERVAL_MS = 300  # Between two looks for another upstream while the present one is silent.
MAX_NOT_RUN_SENDS = 8  # A failure domain that is cut off takes a third of the groups with it.


class Relay:
    """Relays requests to upstreams, with retries that the route and the retry budget allow.

    :param register: rules in force.
    :param book: loads of the upstreams.
    :param chooser: chooses upstreams.
    :param own_reach: which services this daemon reaches.
    :param checks: settles doubts about the reach.
    :param forwarder: hands requests over to other daemons.
    :param retry_budget: limits retries.
    :param sender: sends a request to one upstream.
    :param clock: clock of the deadlines.
    :param records: records sends and unanswered requests.
    :param metrics: counters.
    :param crash_watch: detects requests that crash upstreams.
    :param own_capacities: learns from answers what upstreams handle well.
    """

    __slots__ = (
        "_register",
        "_book",
        "_chooser",
        "_reach",
        "_reach_checks",
        "_forwarder",
        "_retry_budget",
        "_sender",
        "_clock",
        "_records",
        "_metrics",
        "_crash_watch",
        "_capacities",
    )

    def __init__(
        self,
        register: rules.RulesRegister,
        book: loads.LoadBook,
        chooser: choosing.Chooser,
        own_reach: reach.Reach,
        checks: reach_checks.ReachChecks,
        forwarder: forwarding.Forwarder,
        retry_budget: budget.RetryBudget,
        sender: sending.Sender,
        clock: clocks.Clock,
        records: send_records.SendRecords,
        metrics: metric.Metrics,
        crash_watch: crashes.CrashWatch,
        own_capacities: capacities.Capacities,
    ) -> None:
        self._capacities = own_capacities
        self._crash_watch = crash_watch
        self._register = register
        self._book = book
        self._chooser = chooser
        self._reach = own_reach
        self._reach_checks = checks
        self._forwarder = forwarder
        self._retry_budget = retry_budget
        self._sender = sender
        self._clock = clock
        self._records = records
        self._metrics = metrics

    @property
    def rules_version(self) -> int:
        """Version of the rules in force; 0 where there are none."""
        return self._register.current.version if self._register.current else 0

    async def serve(self, request: calls.CallerRequest, sink: progresses.Sink) -> None:
        """Relay a request and send the response to the caller.

        :param request: caller's request.
        :param sink: receives the response.
        :raises CallerError: the request was not answered; nothing was written to the sink.
        """
        progress = self._start_progress(request)
        if request.handover is None:  # Else the other daemon has recorded it.
            self._retry_budget.record_request(progress.service.name, self._clock.monotonic_ms())
        try:
            async with request.time_limit.limit(progress.remaining_ms(self._clock.monotonic_ms())):
                await self._send_until_answered(request, progress, sink)
        except TimeoutError:
            is_stopping = request.time_limit.has_ended_early
            reason = STOPPING if is_stopping else DEADLINE_PASSED
            await self._finish_unanswered(request, progress, sink, reason)

    def _start_progress(self, request: calls.CallerRequest) -> progresses.Progress:
        in_force = self._register.current
        is_outdated = self._forwarder.check_outdated(request.handover)
        if request.handover is not None and (in_force is None or is_outdated):
            raise errors.NotTakenOver("the configuration here is older; use another daemon")
        if in_force is None:
            raise errors.NotRun(
                "no configuration has been read from the store yet; retry later",
                round(2 * progresses.DEFAULT_RETRY_AFTER_MS),
            )
        self._chooser.follow_rules(in_force)
        try:
            route = in_force.match(request.host, request.path)
            team = in_force.identify(route, request.facts.key)
        except errors.CallerError as error:
            if is_outdated:
                raise errors.NotRun(OUTDATED, round(progresses.DEFAULT_RETRY_AFTER_MS)) from error
            raise
        if is_outdated:
            route = route.make_unrepeatable()
        service = in_force.services.get(route.choose_service(request.facts.request_id))
        if service is None:
            raise errors.NotRun(
                f"the service of route {route.name} is not configured; retry later",
                round(progresses.DEFAULT_RETRY_AFTER_MS),
            )
        fingerprint = crashes.make_fingerprint(request, team.name if team else "")
        limit_ms = min(request.facts.deadline_ms, route.timeout_ms)
        return progresses.Progress(
            route=route,
            service=service,
            team=team.name if team else "",
            deadline_at_ms=request.arrived_at_ms + limit_ms,
            last_event_id=request.facts.last_event_id,
            fingerprint=fingerprint,
            holding=request.holding,
            priority=rules.find_priority(route, team),
            attempts=(
                min(route.attempts, request.handover.attempts)
                if request.handover
                else route.attempts
            ),
            regions=regions.intersect(route.regions, team.regions if team else None),
            must_hand_over=is_outdated,
        )

    async def _send_until_answered(
        self, request: calls.CallerRequest, progress: progresses.Progress, sink: progresses.Sink
    ) -> None:
        sends = open_sends.OpenSends(progress, sink)
        try:
            while True:
                obstacle = ""
                if sends.are_silent:
                    obstacle = await self._start_send(request, progress, sends)
                if not sends.is_any_open:
                    await self._finish_unanswered(request, progress, sink, obstacle)
                    return
                outcome = await sends.wait(HEDGE_INTERVAL_MS)
                if outcome is calls.Outcome.ANSWERED:
                    return
                progress.not_run_sends += outcome in calls.NOT_RUN
        finally:
            await sends.close()

    async def _start_send(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        sends: open_sends.OpenSends,
    ) -> str:
        """Start the next send, if there may be one while the open ones are silent.

        :return: why none was started; empty if one was, or if an open one is silent no more.
        """
        if not self._may_send(progress):
            return progress.last_failure
        path = await self._choose_path(request, progress)
        if not sends.are_silent:
            return ""
        obstacle = self._find_obstacle(progress, path)
        if path is None or obstacle:
            return obstacle
        if sends.is_any_open:
            self._metrics.count("relay_hedged_sends_total", service=progress.service.name)
        if isinstance(path, placing.Choice):
            run = functools.partial(self._send_once, request, progress, path)
        else:
            run = functools.partial(self._forward, request, progress, path)
        sends.start(run)
        return ""

    async def _forward(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        daemon: str,
        send: open_sends.Send,
        sink: progresses.Sink,
    ) -> calls.Outcome:
        return await self._forwarder.forward(request, progress, daemon, sink)

    async def _choose_path(
        self, request: calls.CallerRequest, progress: progresses.Progress
    ) -> placing.Choice | str | None:
        """Return the upstream for a send, or the daemon that the request is handed over to."""
        quarantine_ms = self._crash_watch.quarantine_left_ms(
            progress.fingerprint, request.facts.prompt_parts
        )
        if quarantine_ms:
            progress.retry_after_ms = quarantine_ms
            progress.is_quarantined = True
            progress.last_failure = (
                "it or a part of its prompt crashed upstreams, so it is quarantined"
            )
            return None
        if progress.must_hand_over:
            return self._choose_daemon(request, progress)
        await self._reach_checks.settle(progress.service.name)
        if self._reach.is_cut_off(progress.service.name):
            return self._choose_daemon(request, progress)
        return self._chooser.choose(request, progress, self._clock.monotonic_ms())

    def _find_obstacle(
        self, progress: progresses.Progress, path: placing.Choice | str | None
    ) -> str:
        """Return why a request cannot be sent on a path; empty if it can."""
        now_ms = self._clock.monotonic_ms()
        if path is None:
            return progress.last_failure or "no upstream can take the request"
        if progress.remaining_ms(now_ms) < progresses.MIN_REMAINING_MS:
            return "the time left before the deadline is too short"
        if progress.open_sends and self._is_silent(path, now_ms):
            return "all upstreams are silent"
        has_sent = progress.has_reached_upstream or progress.open_sends
        if has_sent and not self._retry_budget.try_acquire(progress.service.name, now_ms):
            return "the retry budget of the service is used up"
        return ""

    def _is_silent(self, path: placing.Choice | str | None, now_ms: float) -> bool:
        """Return whether a path leads to an upstream that is silent itself."""
        if not isinstance(path, placing.Choice):
            return False
        return self._book.find(path.upstream.id).is_silent(now_ms)

    def _choose_daemon(
        self, request: calls.CallerRequest, progress: progresses.Progress
    ) -> str | None:
        """Return the daemon that takes over a request; None where there is none.

        :raises NotTakenOver: the request was handed over already, so another one has to choose.
        """
        has_sent = progress.has_reached_upstream or progress.open_sends
        if request.handover is not None and not has_sent:
            raise errors.NotTakenOver("no upstream is reached from here; use another daemon")
        daemon = None
        if request.handover is None:
            daemon = self._forwarder.choose_daemon(
                progress.service.name, progress.tried_ids, progress.regions
            )
        if daemon is None:
            progress.last_failure = "no upstream is reached, nor a daemon that reaches one"
            progress.retry_after_ms = reach.RECHECK_INTERVAL_MS
        return daemon

    def _may_send(self, progress: progresses.Progress) -> bool:
        """Return whether another send may be made, beside or after the earlier ones."""
        if progress.not_run_sends >= MAX_NOT_RUN_SENDS:
            return False
        return not (progress.sends or progress.open_sends) or progress.can_retry

    async def _send_once(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        choice: placing.Choice,
        send: open_sends.Send,
        sink: progresses.Sink,
    ) -> calls.Outcome:
        upstream = choice.upstream
        tokens = request.facts.prompt_tokens
        progress.tried_ids.add(upstream.id)
        began_ms = self._clock.monotonic_ms()
        self._book.begin(upstream.id, tokens)
        held_tokens = tokens + request.facts.answer_tokens
        self._book.find(upstream.id).held_tokens += held_tokens
        send.is_prompt_unread = True
        send.timing = self._capacities.begin(
            progress.service,
            request.facts.model,
            upstream,
            self._book.find(upstream.id),
            choice.slowness,
            began_ms,
        )
        outcome = calls.Outcome.LOST
        is_unread = False
        reason = ""
        try:
            sent = await self._sender.send(request, progress, send, choice, sink)
            outcome = sent.unwrap_or(calls.Outcome.ANSWERED)
            if isinstance(sent, result.Err):
                outcome, reason = calls.classify(sent.err_value), sent.err_value.message
                is_unread = isinstance(sent.err_value, errors.UpstreamUnread)
                self._record_failure(request, progress, choice, sent.err_value, began_ms)
            else:
                self._chooser.note_answer(request, progress)
                if progress.has_succeeded:
                    self._crash_watch.record_success(
                        progress.fingerprint, request.facts.prompt_parts
                    )
        except (asyncio.CancelledError, ConnectionError):
            # Another send answered, the deadline passed, or the connection to the caller broke.
            progress.may_have_run = True
            progress.sends += 1
            # A send without silence is neither a success nor a failure of the upstream.
            outcome = calls.Outcome.LOST if send.silence else calls.Outcome.REFUSED
            reason = _describe_cancellation(send)
            raise
        finally:
            now_ms = self._clock.monotonic_ms()
            self._sender.note_prompt_read(send, upstream.id, tokens)
            # An upstream that gave up a response which was left unread has not failed.
            counted = calls.Outcome.REFUSED if is_unread else outcome
            has_succeeded = progress.has_succeeded and not send.is_superseded
            self._capacities.end(send.timing, upstream, counted, has_succeeded, now_ms)
            self._book.find(upstream.id).held_tokens -= held_tokens
            self._book.end(upstream.id, counted, now_ms - began_ms, now_ms)
            self._records.record_send(request, progress, choice, outcome, reason, now_ms - began_ms)
        if outcome is calls.Outcome.UNREACHED:
            self._book.suspect(upstream.id, self._clock.monotonic_ms())
        else:
            progress.has_reached_upstream = True
            if outcome is not calls.Outcome.REFUSED:
                progress.sends += 1
        if outcome is calls.Outcome.LOST:
            progress.may_have_run = True
        progress.last_failure = reason
        return outcome

    def _record_failure(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        choice: placing.Choice,
        error: errors.UpstreamError,
        began_ms: float,
    ) -> None:
        """Record what the failure of a send says of the upstream and of the request."""
        upstream = choice.upstream
        if isinstance(error, errors.GroupClosed):
            self._book.note_closed(upstream.id, choice.epoch, self._clock.monotonic_ms())
        if isinstance(error, errors.UpstreamUnread):
            self._metrics.count("relay_unread_losses_total")
        if type(error) is errors.UpstreamLost:
            lost = crashes.LostRequest(
                request.facts.request_id,
                progress.fingerprint,
                began_ms,
                request.facts.prompt_parts,
            )
            self._crash_watch.check_for_crash(lost, upstream)

    async def _finish_unanswered(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        sink: progresses.Sink,
        reason: str,
    ) -> None:
        self._records.record_unanswered(request, progress, sink.has_started, reason)
        if sink.has_started:
            sink.abort()
            return
        if progress.kept_failure is not None:
            kept = progress.kept_failure
            await sink.send_response(kept.status, kept.headers, kept.body)
            return
        if progress.may_have_run:
            if progress.remaining_ms(self._clock.monotonic_ms()) <= progresses.MIN_REMAINING_MS:
                raise errors.DeadlineExceeded(f"{reason}; the request may have run")
            raise errors.OutcomeUnknown(f"{reason}; the request may have run")
        raise errors.NotRun(f"{reason}; retry later", self._compute_retry_after_ms(progress))

    def _compute_retry_after_ms(self, progress: progresses.Progress) -> int:
        if progress.is_quarantined:
            return round(progress.retry_after_ms)  # Coming back before that is in vain.
        left_ms = progress.remaining_ms(self._clock.monotonic_ms())
        return round(max(1, min(progress.retry_after_ms, left_ms * choosing.MAX_RETRY_AFTER_SHARE)))


def _describe_cancellation(send: open_sends.Send) -> str:
    reason = (
        "another upstream has answered"
        if send.is_superseded
        else "cancelled at the deadline or because the caller left"
    )
    return f"{send.silence}; {reason}" if send.silence else reason
