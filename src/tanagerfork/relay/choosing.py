"""Choosing: picks the upstream for a request, or says why there is none."""

import dataclasses
import random
from collections.abc import Sequence

from tanagerfork import metrics as metric
from tanagerfork.relay import (
    admission,
    calls,
    cold_limits,
    demands,
    fleet,
    loads,
    members,
    overload,
    placing,
    regions,
    rules,
    send_limits,
    token_limits,
    usage,
)
from tanagerfork.relay import progress as progresses

GROUP_REPAIR_MS = 2500.0  # Finding a group broken takes 1 s, closing it 0.5 s, reopening it 1 s.
MAX_RETRY_AFTER_SHARE = 1 / 3  # Bounds Retry-After by the time that is left.
RETURN_SPREAD = (0.3, 1.0)  # Of the longest Retry-After, for callers that an overload turns away.


class Chooser:
    """Chooses upstreams by what is known of them, of their limits, and of their queues.

    :param view: known upstreams and groups.
    :param book: loads of the upstreams.
    :param placer: chooses among upstreams.
    :param limits: limits that upstreams named.
    :param cold: limits of upstreams that are cold.
    :param control: sheds requests in an overload.
    :param rng: spreads the callers that come back.
    :param metrics: counters.
    :param region_map: regions of the failure domains.
    """

    __slots__ = (
        "_view",
        "_book",
        "_placer",
        "_send_limits",
        "_cold_limits",
        "_control",
        "_rng",
        "_metrics",
        "_usages",
        "_region_map",
        "_has_priorities",
    )

    def __init__(
        self,
        view: fleet.Fleet,
        book: loads.LoadBook,
        placer: placing.Placer,
        limits: send_limits.SendLimits,
        cold: cold_limits.ColdLimits,
        control: overload.OverloadControl,
        rng: random.Random,
        metrics: metric.Metrics,
        region_map: regions.RegionMap,
    ) -> None:
        self._region_map = region_map
        self._view = view
        self._book = book
        self._control = control
        self._has_priorities = False
        self._placer = placer
        self._send_limits = limits
        self._cold_limits = cold
        self._rng = rng
        self._metrics = metrics
        self._usages = usage.UsageBook()

    def follow_rules(self, in_force: rules.Rules) -> None:
        """Forget what was learned of the requests and answers of rules that are replaced.

        :param in_force: rules in force.
        """
        if self._usages.follow_version(in_force.version):
            self._has_priorities = len(in_force.list_priorities()) > 1

    def choose(
        self, request: calls.CallerRequest, progress: progresses.Progress, now_ms: float
    ) -> placing.Choice | None:
        """Choose an upstream; where there is none, record in the progress why and until when.

        :param request: caller's request.
        :param progress: state of the request.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the choice, None where no upstream takes the request.
        """
        service = progress.service
        if service.engine is None:
            upstreams = self._list_plain(progress)
            free = [item for item in upstreams if self._may_send(item, service, now_ms)]
            choice = self._placer.choose_plain(free, progress.tried_ids, now_ms)
            if choice is None:
                self._note_limits(progress, upstreams, now_ms)
            return choice
        whole = self._list_groups(progress, request.facts.model)
        unlimited = [item for item in whole if self._may_send(item.head, service, now_ms)]
        model_usage = self._usages.find(service.name, request.facts.model, service.engine)
        is_new = not (progress.sends or progress.open_sends or progress.not_run_sends)
        if is_new:
            model_usage.record_request(request.facts, service.engine.kv_tokens)
        groups = self._list_with_room(request.facts, service.engine, model_usage, unlimited, now_ms)
        arrival = admission.Arrival(
            goal_ms=model_usage.note_arrival(progress.route.name, progress.route.goal_ms),
            waited_ms=progress.route.timeout_ms - request.facts.deadline_ms,
            must_continue=(
                progress.has_reached_upstream or not is_new or bool(progress.last_event_id)
            ),
        )
        engine = dataclasses.replace(service.engine, usual_answer_tokens=model_usage.answer_tokens)
        verdict = self._control_overload(request, progress, arrival, engine, now_ms)
        if not verdict.is_admitted:
            progress.last_failure = verdict.reason
            progress.retry_after_ms = self._draw_return_ms(progress.remaining_ms(now_ms))
            return None
        choice = self._placer.choose_group(
            groups,
            engine,
            request.facts.prompt_tokens,
            progress.tried_ids,
            now_ms,
            admission.compute_wait_limit_ms(arrival),
            verdict.should_spread,
        )
        if choice is None:
            progress.retry_after_ms = GROUP_REPAIR_MS
            if unlimited and not groups:
                self._metrics.count("relay_token_limited_choices_total")
                progress.last_failure = "no upstream has room for the tokens of the request"
                progress.retry_after_ms = self._draw_return_ms(progress.remaining_ms(now_ms))
            self._note_limits(progress, [group.head for group in whole], now_ms)
        elif choice.expected_ms > progress.remaining_ms(now_ms):
            progress.last_failure = "no group is expected to answer before the deadline"
            progress.retry_after_ms = choice.expected_ms
            return None
        elif not choice.is_admitted:
            progress.last_failure = "the queue of every group uses up the goal of its requests"
            progress.retry_after_ms = self._draw_return_ms(progress.remaining_ms(now_ms))
            self._control.count_shed("queue", progress.priority)
            return None
        return choice

    def _may_send(self, upstream: members.Upstream, service: rules.Service, now_ms: float) -> bool:
        return self._send_limits.may_send(upstream, now_ms) and self._cold_limits.may_send(
            upstream, service, now_ms
        )

    def _list_plain(self, progress: progresses.Progress) -> Sequence[members.Upstream]:
        """Return the plain upstreams in the regions in which the request may run."""
        found = self._view.list_plain(progress.service.name)
        if progress.regions is None:
            return found
        allowed = [
            upstream
            for upstream in found
            if self._region_map.allows(upstream.failure_domain, progress.regions)
        ]
        self._record_regions(progress, len(found), len(allowed))
        return allowed

    def _list_groups(self, progress: progresses.Progress, model: str) -> Sequence[fleet.Group]:
        """Return the groups of which all members are where the request may run."""
        found = self._view.list_groups(progress.service.name, model)
        if progress.regions is None:
            return found
        allowed = [
            group
            for group in found
            if self._region_map.allows_all(
                {member.failure_domain for member in group.members}, progress.regions
            )
        ]
        self._record_regions(progress, len(found), len(allowed))
        return allowed

    def _record_regions(self, progress: progresses.Progress, found: int, allowed: int) -> None:
        """Record for the caller that its regions leave no upstream, and count that."""
        if found and not allowed:
            self._metrics.count("relay_region_refusals_total")
            progress.last_failure = "no upstream is in the regions in which the request may run"

    def _list_with_room(
        self,
        facts: calls.CallerFacts,
        engine: rules.EngineSpec,
        model_usage: usage.ModelUsage,
        groups: Sequence[fleet.Group],
        now_ms: float,
    ) -> list[fleet.Group]:
        """Return the groups whose memory has room for a request."""
        tokens = facts.prompt_tokens + facts.answer_tokens
        usual = model_usage.request_tokens
        found = [(group, self._book.find(group.head.id)) for group in groups]
        return [
            group
            for group, load in found
            if token_limits.has_room(load, engine.kv_tokens, tokens, usual, now_ms)
        ]

    def _control_overload(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        arrival: admission.Arrival,
        engine: rules.EngineSpec,
        now_ms: float,
    ) -> overload.Verdict:
        """Return whether a model's request is sent, and set its place in the queue.

        All groups of the model count, as the demands of all daemons do, and not those alone that
        may take this request. Requests that are bound to regions see a part of the groups only, of
        which the demand is not known, so that none of them is shed here.
        """
        is_late = arrival.waited_ms >= progress.route.goal_ms and not progress.last_event_id
        progress.queue_priority = admission.choose_queue_priority(
            progress.priority, is_late and self._has_priorities, self._has_priorities
        )
        if engine.find_model(request.facts.model) is None:
            return overload.Verdict(True)
        groups = self._view.list_groups(progress.service.name, request.facts.model)
        key = demands.make_key(
            progress.service.name, request.facts.model, progress.team, progress.priority, is_late
        )
        if progress.regions is not None or not groups:
            self._control.record_unplanned(key, arrival.must_continue, now_ms)
            return overload.Verdict(True)
        usage_now = self._usages.find(progress.service.name, request.facts.model, engine)
        occupancy = overload.measure_occupancy(
            self._book, groups, engine, usage_now.prompt_tokens, now_ms
        )
        verdict = self._control.decide(key, occupancy, arrival.must_continue, now_ms)
        progress.admitted_share = verdict.admitted_share
        if is_late and self._control.is_shedding(key.service, key.model):
            progress.queue_priority = admission.LATE_QUEUE_PRIORITY
        return verdict

    def _note_limits(
        self, progress: progresses.Progress, upstreams: Sequence[members.Upstream], now_ms: float
    ) -> None:
        """Record for the caller when one of the upstreams takes a request again."""
        service = progress.service
        waits_ms = [
            self._send_limits.measure_wait_ms(upstream, now_ms)
            for upstream in upstreams
            if not self._send_limits.may_send(upstream, now_ms)
        ]
        cold_waits_ms = [
            self._cold_limits.measure_wait_ms(upstream, service, now_ms)
            for upstream in upstreams
            if not self._cold_limits.may_send(upstream, service, now_ms)
        ]
        if cold_waits_ms:
            self._metrics.count("relay_cold_choices_total")
        if waits_ms:
            self._metrics.count("relay_limited_choices_total")
        if waits_ms or cold_waits_ms:
            progress.last_failure = "the upstreams take no more requests for the moment"
            progress.retry_after_ms = min(waits_ms + cold_waits_ms)

    def note_answer(self, request: calls.CallerRequest, progress: progresses.Progress) -> None:
        """Learn the length of a model's answers from a complete one.

        :param request: caller's request.
        :param progress: state of the request.
        """
        engine = progress.service.engine
        if engine is not None and progress.answer_events:
            model_usage = self._usages.find(progress.service.name, request.facts.model, engine)
            model_usage.note_answer(progress.answer_events * engine.event_tokens)

    def _draw_return_ms(self, left_ms: float) -> float:
        """Return when a refused caller may come back, drawn so that callers return spread out."""
        return left_ms * MAX_RETRY_AFTER_SHARE * self._rng.uniform(*RETURN_SPREAD)
