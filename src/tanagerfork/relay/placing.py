"""Placing: chooses the upstream that is expected to begin its answer to a request first."""

import dataclasses
import random
from collections.abc import Callable, Collection, Sequence

from tanagerfork.relay import admission, capacity, fleet, loads, members, rules, spreading

DEFAULT_PLAIN_ANSWER_MS = 50.0  # Expected time of a plain request before any was measured.
FAILURE_COST_MS = 2000.0  # Time that a failed send costs its caller: a retry within its deadline.
SAMPLED_GROUPS = 2  # Daemons that see the same loads would all take the same one of all groups.
JITTER = 0.15  # Spreads daemons that see the same loads; the error of an estimate is larger.


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Chosen upstream, with the estimates that decided for it.

    `load_age_ms` is -1 where the upstream has reported no load yet. `candidates` is the number of
    upstreams or groups to choose from. `is_admitted` says whether the request may be sent there.
    `slowness` is the configured factor on the upstream's times.
    """

    upstream: members.Upstream
    expected_ms: float
    estimated_requests: float
    load_age_ms: float
    candidates: int
    epoch: int = 0
    is_admitted: bool = True
    slowness: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Learned:
    """What is known of a group: requests that it handles well, and the factor on its times.

    `limit` is the number of requests from which it slows down. Unlike `slots` it is not divided by
    the slowness, which counts once in an expected time.
    """

    slots: float
    limit: float
    slowness: float = 1.0


def estimate_first_event_ms(
    engine: rules.EngineSpec,
    slowness: float,
    requests: float,
    unread_tokens: float,
    slots: float,
) -> float:
    """Return how long a group is expected to take to the first event of one more request, in ms.

    With long prompts over few groups the number of requests alone says little: the time depends on
    the prompts that are read before, and on how soon a slot becomes free.

    :param engine: performance of the engines.
    :param slowness: factor on all times of the group.
    :param requests: requests that the group has already.
    :param unread_tokens: tokens of prompts that are read before its first event, its own included.
    :param slots: requests that the group runs at once without slowing down.
    """
    running = min(requests + 1, slots)
    step_ms = engine.step_ms + engine.sequence_step_ms * running
    reading_ms = unread_tokens / engine.read_tokens_per_s * 1000
    waiting = max(0.0, requests + 1 - slots)
    answer_ms = engine.usual_answer_tokens * step_ms
    slot_ms = waiting * answer_ms / slots
    return slowness * (reading_ms + slot_ms + engine.event_tokens * step_ms)


class Placer:
    """Chooses upstreams by expected time, load and health.

    :param rng: source of samples and jitter.
    :param book: loads of the upstreams.
    :param compute_share: returns the share of the requests that may choose an upstream at a time;
        see `cold_limits.ColdLimits.compute_ramp_share`.
    :param find_capacity: returns what is learned of the upstreams of a service and model, None if
        nothing; see `capacities.Capacities.find_book`.
    """

    __slots__ = ("_rng", "_book", "_compute_share", "_find_capacity")

    def __init__(
        self,
        rng: random.Random,
        book: loads.LoadBook,
        compute_share: Callable[[members.Upstream, float], float] = lambda upstream, now_ms: 1.0,
        find_capacity: Callable[[str, str], capacity.CapacityBook | None] = (
            lambda service, model: None
        ),
    ) -> None:
        self._rng = rng
        self._book = book
        self._compute_share = compute_share
        self._find_capacity = find_capacity

    def choose_group(
        self,
        groups: Sequence[fleet.Group],
        engine: rules.EngineSpec,
        prompt_tokens: int,
        avoided: Collection[str],
        now_ms: float,
        wait_limit_ms: float = float("inf"),
        should_spread: bool = False,
    ) -> Choice | None:
        """Choose a group for a model's request: the better of two that are drawn at random.

        Each daemon sees its own part of the load immediately, and the rest with a delay. Daemons
        that all took the best group by the same stale loads would all take the same one. A slower
        group, such as one across fabric domains, is a third candidate. Where none of these admits
        the request, one is drawn of all the groups that do.

        :param groups: whole groups of the model.
        :param engine: performance of the engines.
        :param prompt_tokens: tokens of the request's prompt.
        :param avoided: ids of heads that failed the request before.
        :param now_ms: monotonic clock, in milliseconds.
        :param wait_limit_ms: longest wait at a full group; see `admission`.
        :param should_spread: whether the groups are nearly full; see `spreading`.
        :return: the choice, None where no group can take the request.
        """
        usable = [
            group
            for group in groups
            if group.head.id not in avoided
            and not self._book.find(group.head.id).is_closed(group.epoch, now_ms)
        ]
        unsuspected = [
            group for group in usable if now_ms >= self._book.find(group.head.id).suspect_until_ms
        ]
        usable = unsuspected or usable
        usable = [group for group in usable if self._may_choose(group.head, now_ms)] or usable
        if not usable:
            return None
        fastest = min(group.slowness for group in usable)
        fast = [group for group in usable if group.slowness <= fastest]
        slow = [group for group in usable if group.slowness > fastest]
        if should_spread:
            fast, slow = [self._choose_spread(fast, engine, now_ms)], []
        drawn = [
            self._estimate(group, engine, prompt_tokens, now_ms, wait_limit_ms)
            for group in (
                *self._rng.sample(fast, min(SAMPLED_GROUPS, len(fast))),
                *self._rng.sample(slow, min(1, len(slow))),
            )
        ]
        best = min(drawn, key=lambda choice: choice.expected_ms)
        if not best.is_admitted and not self._is_any_queue_reported(usable, now_ms):
            best = dataclasses.replace(best, is_admitted=True)
        elif not best.is_admitted:
            estimates = (
                self._estimate(group, engine, prompt_tokens, now_ms, wait_limit_ms)
                for group in usable
            )
            admitting = [choice for choice in estimates if choice.is_admitted]
            best = self._rng.choice(admitting) if admitting else best
        return dataclasses.replace(best, candidates=len(groups))

    def _choose_spread(
        self, groups: Sequence[fleet.Group], engine: rules.EngineSpec, now_ms: float
    ) -> fleet.Group:
        candidates = [
            spreading.Candidate(
                requests=load.open + load.estimate_other_requests(now_ms),
                slots=self._find_learned(group, engine, now_ms).slots,
                freed_at_ms=load.find_freed_ms(now_ms - spreading.FREED_TTL_MS),
            )
            for group in groups
            for load in (self._book.find(group.head.id),)
        ]
        return groups[spreading.choose(candidates, self._rng, now_ms)]

    def _find_learned(self, group: fleet.Group, engine: rules.EngineSpec, now_ms: float) -> Learned:
        learned = self._find_capacity(group.service, group.model.name)
        if learned is None:
            return Learned(engine.slots, engine.slots)
        slots = learned.find_slots(group.head.id, engine.slots, now_ms)
        limit = learned.find_limit(group.head.id, engine.slots)
        return Learned(slots, limit, learned.find_slowness(group.head.id))

    def _is_any_queue_reported(self, groups: Sequence[fleet.Group], now_ms: float) -> bool:
        found = (self._book.find(group.head.id) for group in groups)
        return any(
            load.reported is not None
            and admission.has_reported_queue(load.reported.waiting, now_ms - load.reported_at_ms)
            for load in found
        )

    def _estimate(
        self,
        group: fleet.Group,
        engine: rules.EngineSpec,
        prompt_tokens: int,
        now_ms: float,
        wait_limit_ms: float,
    ) -> Choice:
        load = self._book.find(group.head.id)
        requests = load.open + load.estimate_other_requests(now_ms)
        unread = prompt_tokens + load.open_prompt_tokens + load.peer_unread_tokens
        learned = self._find_learned(group, engine, now_ms)
        slowness = group.slowness * learned.slowness
        expected_ms = estimate_first_event_ms(engine, slowness, requests, unread, learned.limit)
        expected_ms += load.estimate_failure_share(now_ms) * FAILURE_COST_MS
        reading_ms = slowness * prompt_tokens / engine.read_tokens_per_s * 1000
        wait_ms = expected_ms - reading_ms
        return Choice(
            upstream=group.head,
            expected_ms=expected_ms,
            estimated_requests=requests,
            load_age_ms=now_ms - load.reported_at_ms if load.reported else -1,
            candidates=0,
            epoch=group.epoch,
            is_admitted=admission.is_admitted(wait_ms, requests, learned.limit, wait_limit_ms),
            slowness=group.slowness,
        )

    def choose_plain(
        self,
        upstreams: Sequence[members.Upstream],
        avoided: Collection[str],
        now_ms: float,
    ) -> Choice | None:
        """Choose an upstream of a plain service.

        :param upstreams: upstreams that take new requests.
        :param avoided: ids of upstreams that failed the request before.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the choice, None where there is no other upstream.
        """
        usable = [upstream for upstream in upstreams if upstream.id not in avoided]
        usable = [one for one in usable if self._may_choose(one, now_ms)] or usable
        if not usable:
            return None
        learned = self._find_capacity(usable[0].service, "")
        if learned is not None:
            slots = [learned.find_slots(one.id, one.slots, now_ms) for one in usable]
            if learned.has_estimates:
                choice = self._choose_of_two(usable, slots, learned, now_ms)
                return dataclasses.replace(choice, candidates=len(upstreams))
        return self._choose_by_answer_times(usable, len(upstreams), now_ms)

    def _choose_of_two(
        self,
        upstreams: Sequence[members.Upstream],
        slots: Sequence[float],
        learned: capacity.CapacityBook,
        now_ms: float,
    ) -> Choice:
        """Choose the faster of two upstreams that are drawn by the requests they handle well.

        Daemons that see the same loads late would all take the fastest of all. A slow upstream is
        chosen only if the other one is as many times fuller.
        """
        found = [self._book.find(upstream.id) for upstream in upstreams]
        indexes = [n for n, load in enumerate(found) if now_ms >= load.suspect_until_ms]
        drawn = self._sample_two(indexes or list(range(len(found))), slots)
        slowness = {n: learned.find_slowness(upstreams[n].id) for n in drawn}
        # Each upstream's own answers are few and show its slowness less well than the estimate.
        usual_ms = min(
            (found[n].mean_answer_ms or DEFAULT_PLAIN_ANSWER_MS) / slowness[n] for n in drawn
        )
        best: Choice | None = None
        best_key = 0.0, 0.0
        for n in drawn:
            load = found[n]
            requests = load.open + load.estimate_other_requests(now_ms)
            fill = (requests + 1) / slots[n]
            expected_ms = usual_ms * slowness[n] * max(1.0, fill)
            expected_ms += load.estimate_failure_share(now_ms) * FAILURE_COST_MS
            if best is None or (expected_ms, fill) < best_key:
                age_ms = now_ms - load.reported_at_ms if load.reported else -1
                best = Choice(upstreams[n], expected_ms, requests, age_ms, len(upstreams))
                best_key = expected_ms, fill
        assert best is not None
        return best

    def _sample_two(self, indexes: list[int], slots: Sequence[float]) -> list[int]:
        """Sample two different upstreams, or the only one, weighted by slots."""
        first = self._rng.choices(indexes, [slots[n] for n in indexes])[0]
        others = [n for n in indexes if n != first]
        if not others:
            return [first]
        return [first, self._rng.choices(others, [slots[n] for n in others])[0]]

    def _choose_by_answer_times(
        self, upstreams: Sequence[members.Upstream], candidates: int, now_ms: float
    ) -> Choice | None:
        """Choose by the answer times that this daemon saw, where nothing is learned."""
        best: Choice | None = None
        best_key = (True, 0.0)
        for upstream in upstreams:
            load = self._book.find(upstream.id)
            requests = load.open + load.estimate_other_requests(now_ms)
            answer_ms = load.mean_answer_ms or DEFAULT_PLAIN_ANSWER_MS
            expected_ms = answer_ms * (1 + requests / max(1, upstream.slots))
            expected_ms += load.estimate_failure_share(now_ms) * FAILURE_COST_MS
            key = now_ms < load.suspect_until_ms, expected_ms * self._draw_jitter()
            if best is None or key < best_key:
                age_ms = now_ms - load.reported_at_ms if load.reported else -1
                best = Choice(upstream, expected_ms, requests, age_ms, candidates)
                best_key = key
        return best

    def _may_choose(self, upstream: members.Upstream, now_ms: float) -> bool:
        """Draw whether a request may choose an upstream, which may have just started.

        A new upstream is the emptiest one for all daemons at the same moment.
        """
        share = self._compute_share(upstream, now_ms)
        return share >= 1 or self._rng.random() < share

    def _draw_jitter(self) -> float:
        return self._rng.uniform(1 - JITTER, 1 + JITTER)
