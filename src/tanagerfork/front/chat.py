"""Requests for models: one task a request, from its slot to the last event of its answer."""

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
MAX_FRUITLESS = 4
NO_GROUP_RETRY_MS = 1000
TRIAL_CHECK_MS = 20
TRIAL_WAIT_MS = 3000
PEER_TRIAL_MS = 2000
REFUSAL_EVENT_INTERVAL_MS = 200


@dataclasses.dataclass(slots=True)
class ChatCall:
    """A checked request for a model."""

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
    """How far a request has come over all its attempts."""

    tokens: int
    version: str = ""
    has_run: bool = False
    attempts: int = 0
    fruitless: int = 0
    failed: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class ChatPolicy:
    """The decisions that requests for models go by."""

    balancer: balancer.Balancer
    leaving: leaving.LeavingVms
    budget: retry.RetryBudget
    pacer: retry.DialPacer
    poison: poison.PoisonRegister
    fleet: fleets.Fleet


class ChatRunner:
    """Has requests answered by whole groups.

    :param groups: groups as this daemon knows them.
    :param policy: decisions.
    :param entrance: wait for a slot.
    :param tries: sends one attempt.
    :param clock: clock of the deadlines.
    :param timeline: time line.
    :param metrics: counters.
    """

    __slots__ = (
        "_groups",
        "_policy",
        "_gate",
        "_attempts",
        "_clock",
        "_timeline",
        "_metrics",
        "_refusal_told_ms",
    )

    def __init__(
        self,
        groups: directory.GroupDirectory,
        policy: ChatPolicy,
        entrance: gate.Gate,
        tries: attempts.AttemptRunner,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._policy = policy
        self._gate = entrance
        self._attempts = tries
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._refusal_told_ms = -REFUSAL_EVENT_INTERVAL_MS

    async def run(
        self, call: ChatCall, answer: sink.AnswerSink
    ) -> result.Result[aiohttp.web.StreamResponse, errors.CallerError]:
        """Have a request answered.

        :param call: request.
        :param answer: where the answer goes.
        :return: the response once it is whole, or why it cannot be.
        """
        came_ms = self._clock.monotonic_ms()
        self._policy.budget.record_first_attempt(call.team.name)
        fingerprint = poison.make_fingerprint(call.model.name, call.body)
        held_back = self._check_poison(fingerprint, came_ms)
        if held_back is not None:
            return self._refuse(call, held_back)
        asked = admission.AdmissionRequest(call.team, call.rank, call.priority, call.deadline_at_ms)
        entered = await self._gate.enter(call.model, asked)
        if isinstance(entered, result.Err):
            return await self._spill_or(call, answer, entered.err_value)
        try:
            ended = await self._run_until_deadline(call, answer, fingerprint)
        finally:
            self._gate.leave(entered.ok_value)
        if isinstance(ended, errors.NotRun):
            return await self._spill_or(call, answer, ended)
        if ended is not None:
            return self._refuse(call, ended)
        self._metrics.observe_ms(
            "request_total_seconds",
            self._clock.monotonic_ms() - came_ms,
            team=call.team.name,
            model=call.model.name,
        )
        return result.Ok(await answer.finish())

    async def _run_until_deadline(
        self, call: ChatCall, answer: sink.AnswerSink, fingerprint: str
    ) -> errors.CallerError | None:
        left_ms = max(0, call.deadline_at_ms - self._clock.monotonic_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await self._run_admitted(call, answer, fingerprint)
        except TimeoutError:
            if answer.has_begun:
                return errors.AnswerCut("the deadline came before the end; allow more time")
            return errors.DeadlineExceeded("no whole answer before the deadline; allow more time")

    async def _run_admitted(
        self, call: ChatCall, answer: sink.AnswerSink, fingerprint: str
    ) -> errors.CallerError | None:
        progress = Progress(call.offset)
        while progress.attempts < MAX_ATTEMPTS and progress.fruitless < MAX_FRUITLESS:
            view = await self._choose(call, progress, fingerprint)
            if view is None:
                break
            progress.attempts += 1
            ended = await self._attempts.run(call, view, answer, progress.tokens, fingerprint)
            if ended.error is None:
                self._note_whole(call, progress, view, fingerprint)
                return None
            self._note_failed(call, progress, view, ended)
            final = await self._judge(call, progress, view, ended, fingerprint)
            if final is not None:
                return final
        return self._describe_failure(call, answer, progress)

    async def _choose(
        self, call: ChatCall, progress: Progress, fingerprint: str
    ) -> presence.GroupView | None:
        give_up_ms = min(call.deadline_at_ms, self._clock.monotonic_ms() + TRIAL_WAIT_MS)
        while True:
            now_ms = self._clock.monotonic_ms()
            if now_ms >= call.deadline_at_ms:
                return None
            views = self._groups.whole_groups(call.model.name, now_ms)
            views = self._policy.leaving.exclude_leaving(views, now_ms)
            if not self._policy.poison.is_suspect(fingerprint, now_ms):
                return self._balance(call, views, progress, now_ms)
            taken = self._policy.poison.groups_with_suspects()
            free = [view for view in views if view.record.group not in taken]
            if free or not views or now_ms >= give_up_ms:
                return self._balance(call, free or views, progress, now_ms)
            await self._clock.sleep_ms(TRIAL_CHECK_MS)

    def _balance(
        self,
        call: ChatCall,
        views: Sequence[presence.GroupView],
        progress: Progress,
        now_ms: int,
    ) -> presence.GroupView | None:
        wanted = balancer.Requirements(call.adapter, progress.version, call.prefixes)
        return self._policy.balancer.choose(views, now_ms, wanted, progress.failed)

    async def _judge(
        self,
        call: ChatCall,
        progress: Progress,
        view: presence.GroupView,
        ended: attempts.AttemptEnd,
        fingerprint: str,
    ) -> errors.CallerError | None:
        now_ms = self._clock.monotonic_ms()
        if ended.has_crashed:
            notice = self._policy.poison.record_crash(fingerprint, view.record.group, now_ms)
            if notice is not None:
                await self._policy.fleet.broadcast_poison(notice)
            if notice is not None and notice.is_quarantined:
                self._timeline.record(
                    kinds.EventKind.FINGERPRINT_QUARANTINED,
                    f"{fingerprint} was in flight at {notice.crashes} crashes",
                    group=view.record.group,
                    request=call.request_id,
                )
                message = "the request crashed the upstreams that ran it; change it"
                return errors.CrashedUpstreams(message, notice.expires_in_ms)
        if ended.is_final:
            return errors.AnswerTooLarge("the answer exceeds the limit; ask for a stream")
        is_free = progress.tokens > call.offset or not progress.has_run
        if not is_free and not self._policy.budget.take_retry(call.team.name):
            self._metrics.count("retries_over_budget_total", team=call.team.name)
            message = "the upstream broke off and the retry budget is used up; ask again later"
            return errors.OutcomeUnknown(message, NO_GROUP_RETRY_MS)
        wait_ms = self._policy.pacer.reserve(now_ms)
        if wait_ms:
            await self._clock.sleep_ms(min(wait_ms, max(0, call.deadline_at_ms - now_ms)))
        return None

    def _check_poison(self, fingerprint: str, now_ms: int) -> errors.CallerError | None:
        left_ms = self._policy.poison.quarantine_left_ms(fingerprint, now_ms)
        if left_ms:
            message = "the request crashed the upstreams that ran it before; change it"
            return errors.Quarantined(message, left_ms)
        trial_ms = self._policy.poison.peer_trial_left_ms(fingerprint, now_ms)
        if trial_ms:
            message = "the request was in flight at a crash and is being run again; come back later"
            return errors.NotRun(message, trial_ms)
        return None

    def _note_failed(
        self,
        call: ChatCall,
        progress: Progress,
        view: presence.GroupView,
        ended: attempts.AttemptEnd,
    ) -> None:
        error = ended.error
        assert error is not None
        progress.tokens += ended.tokens
        progress.fruitless = 0 if ended.tokens else progress.fruitless + 1
        progress.has_run = progress.has_run or error.ran != errors.NOT_RUN
        if progress.tokens:
            progress.version = view.record.version
        progress.failed.append(view.record.group)
        self._metrics.count("attempts_failed_total", kind=error.kind)
        self._timeline.record(
            kinds.EventKind.REQUEST_RETRIED,
            f"{error.message}; {progress.tokens} tokens are kept",
            group=view.record.group,
            request=call.request_id,
        )

    def _note_whole(
        self, call: ChatCall, progress: Progress, view: presence.GroupView, fingerprint: str
    ) -> None:
        self._policy.poison.record_completed(fingerprint)
        if progress.attempts > 1:
            self._metrics.count("requests_resumed_total", team=call.team.name)
            self._timeline.record(
                kinds.EventKind.REQUEST_DECIDED,
                f"whole after {progress.attempts} attempts",
                group=view.record.group,
                request=call.request_id,
            )

    async def _spill_or(
        self, call: ChatCall, answer: sink.AnswerSink, refusal: errors.NotRun
    ) -> result.Result[aiohttp.web.StreamResponse, errors.CallerError]:
        if not call.may_spill or answer.has_begun or isinstance(refusal, errors.RateLimited):
            return self._refuse(call, refusal)
        targets = self._policy.fleet.spill_targets(call.model.name)
        target = max(targets, key=lambda found: found.free_slots, default=None)
        if target is None or target.free_slots <= 0:
            return self._refuse(call, refusal)
        self._metrics.count("requests_spilled_total", team=call.team.name)
        self._timeline.record(
            kinds.EventKind.REQUEST_DECIDED,
            f"sent on to {target.daemon}, which has room: {refusal.message}",
            request=call.request_id,
        )
        ended = await self._attempts.spill(call, target, answer)
        if ended.error is None:
            return result.Ok(await answer.finish())
        if ended.error.ran == errors.NOT_RUN:
            return self._refuse(call, refusal)
        progress = Progress(call.offset + ended.tokens, has_run=True)
        return self._refuse(call, self._describe_failure(call, answer, progress))

    def _refuse(self, call: ChatCall, error: errors.CallerError) -> result.Err[errors.CallerError]:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._refusal_told_ms >= REFUSAL_EVENT_INTERVAL_MS:
            self._refusal_told_ms = now_ms
            self._timeline.record(
                kinds.EventKind.REQUEST_REFUSED,
                f"{error.kind}: {error.message}",
                request=call.request_id,
            )
        return result.Err(error)

    def _describe_failure(
        self, call: ChatCall, answer: sink.AnswerSink, progress: Progress
    ) -> errors.CallerError:
        if answer.has_begun:
            message = "the answer cannot be completed; send the request again"
            return errors.AnswerCut(message, NO_GROUP_RETRY_MS)
        if progress.has_run:
            if self._clock.monotonic_ms() >= call.deadline_at_ms:
                message = "no whole answer before the deadline; allow more time"
                return errors.DeadlineExceeded(message)
            message = "the upstreams broke off; a draft may be asked for again"
            return errors.OutcomeUnknown(message, NO_GROUP_RETRY_MS)
        message = f"no whole group of {call.model.name} can take the request; come back later"
        return errors.NotRun(message, NO_GROUP_RETRY_MS)
