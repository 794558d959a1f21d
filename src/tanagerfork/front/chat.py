"""Runs requests for models: admission, choice of a group, retries, and spill to other daemons."""

import asyncio
import dataclasses
from collections.abc import Sequence

import aiohttp.web
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.front import attempts, gate, sink
from tanagerfork.generated import bundle
from tanagerfork.groups import directory, presence
from tanagerfork.routing import admission, balancer, leaving, poison, retry
from tanagerfork.routing import fleet as fleets
from tanagerfork.timeline import kinds, ring

MAX_ATTEMPTS = 16
MAX_ATTEMPTS_WITHOUT_TOKENS = 4  # In a row; an attempt that yields a token resets the count.
RETRY_AFTER_MS = 1000  # Sent to callers whose request failed or found no group.
TRIAL_POLL_INTERVAL_MS = 20
MAX_TRIAL_WAIT_MS = 3000  # After that, a suspect shares a group with another suspect.
PEER_TRIAL_MS = 2000
REFUSAL_EVENT_INTERVAL_MS = 200  # Bounds the timeline events of an overloaded daemon.


@dataclasses.dataclass(slots=True)
class ChatCall:
    """A validated request for a model.

    `offset` is the number of tokens that the caller already has; `may_spill` tells whether the
    request may be forwarded to a daemon of another failure domain.
    """

    request_id: str
    team: bundle.Team
    model: bundle.Model
    body: bytes
    priority: int
    deadline_at_ms: int
    adapter: str = ""
    rank: int = 0
    prefixes: Sequence[str] = ()
    authorization: str = ""
    offset: int = 0
    may_spill: bool = True


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request over all its attempts.

    `tokens` counts the tokens that the caller has, `version` is the model version that has to
    continue the answer, and `has_run` tells whether any attempt may have run.
    """

    tokens: int
    version: str = ""
    has_run: bool = False
    attempts: int = 0
    attempts_without_tokens: int = 0
    failed_groups: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class ChatPolicy:
    """The routing and retry policies applied to requests for models."""

    balancer: balancer.Balancer
    leaving: leaving.LeavingVms
    budget: retry.RetryBudget
    pacer: retry.DialPacer
    poison: poison.PoisonRegister
    fleet: fleets.Fleet


class ChatRunner:
    """Runs requests for models on whole groups.

    :param groups: this daemon's view of the groups.
    :param policy: routing and retry policies.
    :param admission_gate: grants the slots.
    :param attempt_runner: runs single attempts.
    :param clock: clock for deadlines.
    :param timeline: timeline that events are recorded on.
    :param metrics: metrics registry.
    """

    __slots__ = (
        "_groups",
        "_policy",
        "_admission_gate",
        "_attempt_runner",
        "_clock",
        "_timeline",
        "_metrics",
        "_last_refusal_event_ms",
    )

    def __init__(
        self,
        groups: directory.GroupDirectory,
        policy: ChatPolicy,
        admission_gate: gate.Gate,
        attempt_runner: attempts.AttemptRunner,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._policy = policy
        self._admission_gate = admission_gate
        self._attempt_runner = attempt_runner
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._last_refusal_event_ms = -REFUSAL_EVENT_INTERVAL_MS

    async def run(
        self, call: ChatCall, response_sink: sink.ResponseSink
    ) -> result.Result[aiohttp.web.StreamResponse, errors.CallerError]:
        """Run a request until its answer is complete or cannot be completed.

        :param call: request.
        :param response_sink: receives the answer.
        :return: the complete response, or the error to report to the caller.
        """
        arrived_at_ms = self._clock.monotonic_ms()
        self._policy.budget.record_first_attempt(call.team.name)
        fingerprint = poison.make_fingerprint(call.model.name, call.body)
        rejection = self._check_poison(fingerprint, arrived_at_ms)
        if rejection is not None:
            return self._refuse(call, rejection)
        admission_request = admission.AdmissionRequest(
            call.team, call.rank, call.priority, call.deadline_at_ms
        )
        admitted = await self._admission_gate.acquire_slot(call.model, admission_request)
        if isinstance(admitted, result.Err):
            return await self._spill_or_refuse(call, response_sink, admitted.err_value)
        try:
            failure = await self._run_until_deadline(call, response_sink, fingerprint)
        finally:
            self._admission_gate.release_slot(admitted.ok_value)
        if isinstance(failure, errors.NotRun):
            return await self._spill_or_refuse(call, response_sink, failure)
        if failure is not None:
            return self._refuse(call, failure)
        self._metrics.observe_ms(
            "request_total_seconds",
            self._clock.monotonic_ms() - arrived_at_ms,
            team=call.team.name,
            model=call.model.name,
        )
        return result.Ok(await response_sink.finish())

    async def _run_until_deadline(
        self, call: ChatCall, response_sink: sink.ResponseSink, fingerprint: str
    ) -> errors.CallerError | None:
        left_ms = max(0, call.deadline_at_ms - self._clock.monotonic_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await self._run_admitted(call, response_sink, fingerprint)
        except TimeoutError:
            if response_sink.has_begun:
                return errors.AnswerCut(
                    "the deadline passed before the answer was complete; allow more time"
                )
            return errors.DeadlineExceeded(
                "no complete answer before the deadline; allow more time"
            )

    async def _run_admitted(
        self, call: ChatCall, response_sink: sink.ResponseSink, fingerprint: str
    ) -> errors.CallerError | None:
        progress = Progress(call.offset)
        while (
            progress.attempts < MAX_ATTEMPTS
            and progress.attempts_without_tokens < MAX_ATTEMPTS_WITHOUT_TOKENS
        ):
            view = await self._choose_group(call, progress, fingerprint)
            if view is None:
                break
            progress.attempts += 1
            began_ms = self._clock.monotonic_ms()
            outcome = await self._attempt_runner.run(
                call, view, response_sink, progress.tokens, fingerprint
            )
            if outcome.error is None:
                self._record_success(call, progress, view, fingerprint)
                return None
            self._record_failed_attempt(call, progress, view, outcome)
            final = await self._handle_failed_attempt(
                call, progress, view, outcome, fingerprint, began_ms
            )
            if final is not None:
                return final
        return self._make_final_error(call, response_sink, progress)

    async def _choose_group(
        self, call: ChatCall, progress: Progress, fingerprint: str
    ) -> presence.GroupView | None:
        wait_until_ms = min(call.deadline_at_ms, self._clock.monotonic_ms() + MAX_TRIAL_WAIT_MS)
        while True:
            now_ms = self._clock.monotonic_ms()
            if now_ms >= call.deadline_at_ms:
                return None
            views = self._groups.whole_groups(call.model.name, now_ms)
            views = self._policy.leaving.exclude_leaving(views, now_ms)
            if not self._policy.poison.is_suspect(fingerprint, now_ms):
                return self._choose_among(call, views, progress, now_ms)
            groups_on_trial = self._policy.poison.groups_with_suspects()
            free = [view for view in views if view.record.group not in groups_on_trial]
            if free or not views or now_ms >= wait_until_ms:
                return self._choose_among(call, free or views, progress, now_ms)
            await self._clock.sleep_ms(TRIAL_POLL_INTERVAL_MS)

    def _choose_among(
        self,
        call: ChatCall,
        views: Sequence[presence.GroupView],
        progress: Progress,
        now_ms: int,
    ) -> presence.GroupView | None:
        wanted = balancer.Requirements(call.adapter, progress.version, call.prefixes)
        return self._policy.balancer.choose(views, now_ms, wanted, progress.failed_groups)

    async def _handle_failed_attempt(
        self,
        call: ChatCall,
        progress: Progress,
        view: presence.GroupView,
        outcome: attempts.AttemptOutcome,
        fingerprint: str,
        began_ms: int,
    ) -> errors.CallerError | None:
        now_ms = self._clock.monotonic_ms()
        if outcome.has_crashed:
            notice = self._policy.poison.record_crash(
                fingerprint, view.record.group, now_ms, poison.LostRun(began_ms, now_ms)
            )
            if notice is not None:
                await self._policy.fleet.broadcast_poison(notice)
            if notice is not None and notice.is_quarantined:
                self._timeline.record(
                    kinds.EventKind.FINGERPRINT_QUARANTINED,
                    f"{fingerprint} was in flight at {notice.crashes} crashes",
                    group=view.record.group,
                    request=call.request_id,
                )
                message = "the request crashed the upstreams that ran it; change the request"
                return errors.CrashedUpstreams(message, notice.expires_in_ms)
        if outcome.is_final:
            return errors.AnswerTooLarge("the answer exceeds the size limit; request a stream")
        is_free_retry = progress.tokens > call.offset or not progress.has_run
        if not is_free_retry and not self._policy.budget.take_retry(call.team.name):
            self._metrics.count("retries_over_budget_total", team=call.team.name)
            message = (
                "the upstream failed and the team's retry budget is used up; send it again later"
            )
            return errors.OutcomeUnknown(message, RETRY_AFTER_MS)
        wait_ms = self._policy.pacer.reserve(now_ms)
        if wait_ms:
            await self._clock.sleep_ms(min(wait_ms, max(0, call.deadline_at_ms - now_ms)))
        return None

    def _check_poison(self, fingerprint: str, now_ms: int) -> errors.CallerError | None:
        remaining_ms = self._policy.poison.quarantine_left_ms(fingerprint, now_ms)
        if remaining_ms:
            message = "the request crashed the upstreams that ran it earlier; change the request"
            return errors.Quarantined(message, remaining_ms)
        trial_ms = self._policy.poison.peer_trial_left_ms(fingerprint, now_ms)
        if trial_ms:
            message = (
                "the request was in flight at a crash and a peer is running it again; retry later"
            )
            return errors.NotRun(message, trial_ms)
        return None

    def _record_failed_attempt(
        self,
        call: ChatCall,
        progress: Progress,
        view: presence.GroupView,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        error = outcome.error
        assert error is not None
        progress.tokens += outcome.tokens
        progress.attempts_without_tokens = (
            0 if outcome.tokens else progress.attempts_without_tokens + 1
        )
        progress.has_run = progress.has_run or error.ran != errors.NOT_RUN
        if progress.tokens:
            progress.version = view.record.version
        progress.failed_groups.append(view.record.group)
        self._metrics.count("attempts_failed_total", kind=error.kind)
        self._timeline.record(
            kinds.EventKind.REQUEST_RETRIED,
            f"{error.message}; {progress.tokens} tokens are kept",
            group=view.record.group,
            request=call.request_id,
        )

    def _record_success(
        self, call: ChatCall, progress: Progress, view: presence.GroupView, fingerprint: str
    ) -> None:
        self._policy.poison.record_completed(fingerprint, self._clock.monotonic_ms())
        if progress.attempts > 1:
            self._metrics.count("requests_resumed_total", team=call.team.name)
            self._timeline.record(
                kinds.EventKind.REQUEST_DECIDED,
                f"whole after {progress.attempts} attempts",
                group=view.record.group,
                request=call.request_id,
            )

    async def _spill_or_refuse(
        self, call: ChatCall, response_sink: sink.ResponseSink, refusal: errors.NotRun
    ) -> result.Result[aiohttp.web.StreamResponse, errors.CallerError]:
        if not call.may_spill or response_sink.has_begun or isinstance(refusal, errors.RateLimited):
            return self._refuse(call, refusal)
        targets = self._policy.fleet.spill_targets(call.model.name)
        target = max(targets, key=lambda candidate: candidate.free_slots, default=None)
        if target is None or target.free_slots <= 0:
            return self._refuse(call, refusal)
        self._metrics.count("requests_spilled_total", team=call.team.name)
        self._timeline.record(
            kinds.EventKind.REQUEST_DECIDED,
            f"sent on to {target.daemon}, which has room: {refusal.message}",
            request=call.request_id,
        )
        outcome = await self._attempt_runner.spill(call, target, response_sink)
        if outcome.error is None:
            return result.Ok(await response_sink.finish())
        if outcome.error.ran == errors.NOT_RUN:
            return self._refuse(call, refusal)
        progress = Progress(call.offset + outcome.tokens, has_run=True)
        return self._refuse(call, self._make_final_error(call, response_sink, progress))

    def _refuse(self, call: ChatCall, error: errors.CallerError) -> result.Err[errors.CallerError]:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_refusal_event_ms >= REFUSAL_EVENT_INTERVAL_MS:
            self._last_refusal_event_ms = now_ms
            self._timeline.record(
                kinds.EventKind.REQUEST_REFUSED,
                f"{error.kind}: {error.message}",
                request=call.request_id,
            )
        return result.Err(error)

    def _make_final_error(
        self, call: ChatCall, response_sink: sink.ResponseSink, progress: Progress
    ) -> errors.CallerError:
        if response_sink.has_begun:
            message = "the answer cannot be completed; send the request again"
            return errors.AnswerCut(message, RETRY_AFTER_MS)
        if progress.has_run:
            if self._clock.monotonic_ms() >= call.deadline_at_ms:
                message = "no complete answer before the deadline; allow more time"
                return errors.DeadlineExceeded(message)
            message = "the upstreams failed and the request may have run; repeat it if that is safe"
            return errors.OutcomeUnknown(message, RETRY_AFTER_MS)
        message = f"no whole group of {call.model.name} can accept the request; retry later"
        return errors.NotRun(message, RETRY_AFTER_MS)
