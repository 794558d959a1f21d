"""Choice of a group: of two usable ones the less loaded, or a warm one that is little busier."""

import collections
import dataclasses
import random
from collections.abc import Collection, Sequence

from tanagerfork.groups import presence
from tanagerfork.routing import affinity, health, load

DEFAULT_SLOTS = 16
WARM_SLACK = 0.25
WARM_MAX_LOAD = 0.9
HOLD_MS = 500
CANDIDATES = 3
REFRESH_MS = 200
TRIAL_MS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Wanted:
    """What a request asks of a group.

    An answer is only ever continued by the version that began it; empty takes any.
    """

    adapter: str = ""
    version: str = ""
    prefixes: Sequence[str] = ()


ANY = Wanted()


class Balancer:
    """Chooses groups by corrected load, cached prefixes and health.

    The two are those that this daemon has not sent to for longest, in an order of its own: that
    spreads requests as evenly as round robin where reports say little. A report's word fades to
    the mean of all groups with its age, as the requests it counted end. A warm group is taken
    unless its load exceeds the better of the two by `WARM_SLACK` of its slots, so that affinity
    never overloads a group. A group whose reported steps are slow is ejected as a straggler.

    :param rng: random numbers.
    :param judge: health of the groups.
    :param warm: prefixes that the groups hold.
    """

    __slots__ = ("_rng", "health", "warm", "sent", "_mean_load", "_refreshed_at_ms", "_order")

    def __init__(self, rng: random.Random, judge: health.Health, warm: affinity.PrefixMap) -> None:
        self._rng = rng
        self.health = judge
        self.warm = warm
        self.sent = load.SentLoad()
        self._mean_load = 0.0
        self._order: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._refreshed_at_ms = -REFRESH_MS

    def choose(
        self,
        views: Sequence[presence.GroupView],
        now_ms: int,
        wanted: Wanted = ANY,
        avoided: Collection[str] = (),
    ) -> presence.GroupView | None:
        """Choose a group.

        :param views: whole groups of which no member leaves.
        :param now_ms: monotonic clock, in milliseconds.
        :param wanted: what the request asks for.
        :param avoided: groups that failed this request before; taken only if no other is left.
        :return: the group, None where there is none.
        """
        if now_ms - self._refreshed_at_ms >= REFRESH_MS:
            self._refresh(views, now_ms)
        candidates = list(views)
        if wanted.version or wanted.adapter:
            candidates = [view for view in views if _fits(view, wanted)]
        if avoided:
            others = [view for view in candidates if view.record.group not in avoided]
            candidates = others or candidates
        if not candidates:
            return None
        names = [view.record.group for view in candidates]
        usable = self.health.find_usable(names, now_ms)
        best = self._least_busy(self._next_two(candidates, names, usable), now_ms)
        if len(usable) == 1 or not wanted.prefixes:
            return best
        return self._prefer_warm(candidates, names, usable, best, wanted, now_ms)

    def begin(self, group: str, now_ms: int, prefixes: Sequence[str] = ()) -> None:
        """Note that a request was sent to a group.

        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        :param prefixes: hashes of its prompt's prefixes.
        """
        self.sent.begin(group, now_ms)
        self.note_turn(group)
        self.health.begin_trial(group, now_ms, TRIAL_MS)
        self.warm.note_sent(group, prefixes, now_ms)

    def note_turn(self, group: str) -> None:
        """Put a group behind all others.

        :param group: group.
        """
        if group in self._order:
            self._order.move_to_end(group)

    def end(self, group: str, now_ms: int) -> None:
        """Note that a request at a group ended.

        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.sent.end(group, now_ms)

    def keep_only(self, groups: Collection[str]) -> None:
        """Drop what is known of groups that no longer exist.

        :param groups: groups of the layout.
        """
        self.health.keep_only(groups)
        for group in [name for name in self._order if name not in groups]:
            del self._order[group]
        self.sent.keep_only(groups)
        self.warm.keep_only(groups)

    def score(self, view: presence.GroupView, now_ms: int) -> float:
        """Return how busy a group would be with one request more; 1 is all slots.

        :param view: group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        report = view.report
        slots = (report.slots if report else 0) or DEFAULT_SLOTS
        group = view.record.group
        if report is None:
            return (self.sent.count_open(group) + 1) / slots
        weight = HOLD_MS / (HOLD_MS + view.report_age_ms)
        reported = (report.running + report.waiting) / slots
        faded = self._mean_load + (reported - self._mean_load) * weight
        since = self.sent.count_since(group, now_ms - view.report_age_ms)
        return max(faded + since / slots, self.sent.count_open(group) / slots) + 1 / slots

    def _next_two(
        self,
        candidates: Sequence[presence.GroupView],
        names: Sequence[str],
        usable: Sequence[int],
    ) -> list[presence.GroupView]:
        if len(usable) <= 2:
            return [candidates[index] for index in usable]
        places = {names[index]: index for index in usable}
        pair: list[presence.GroupView] = []
        for group in self._order:
            if group in places:
                pair.append(candidates[places[group]])
                if len(pair) == CANDIDATES:
                    break
        return pair or [candidates[self._rng.choice(usable)]]

    def _least_busy(self, views: Sequence[presence.GroupView], now_ms: int) -> presence.GroupView:
        return min(views, key=lambda view: self.score(view, now_ms))

    def _prefer_warm(
        self,
        candidates: Sequence[presence.GroupView],
        names: Sequence[str],
        usable: Sequence[int],
        best: presence.GroupView,
        wanted: Wanted,
        now_ms: int,
    ) -> presence.GroupView:
        holders = set(self.warm.find_holders(wanted.prefixes, now_ms))
        holding = [index for index in usable if names[index] in holders] if holders else []
        if not holding:
            return best
        pair = holding if len(holding) <= 2 else self._rng.sample(holding, 2)
        warm = self._least_busy([candidates[index] for index in pair], now_ms)
        warm_score = self.score(warm, now_ms)
        limit = min(WARM_MAX_LOAD, self.score(best, now_ms) + WARM_SLACK)
        return warm if warm_score <= limit else best

    def _refresh(self, views: Sequence[presence.GroupView], now_ms: int) -> None:
        self._refreshed_at_ms = now_ms
        reports = [view.report for view in views if view.report]
        busy = sum(report.running + report.waiting for report in reports)
        self._mean_load = busy / max(1, sum(report.slots or DEFAULT_SLOTS for report in reports))
        fresh = [view.record.group for view in views if view.record.group not in self._order]
        self._rng.shuffle(fresh)
        self._order.update(dict.fromkeys(fresh))
        steps = {view.record.group: view.report.step_ms for view in views if view.report}
        self.health.note_steps(steps, now_ms)


def _fits(view: presence.GroupView, wanted: Wanted) -> bool:
    if wanted.version and view.record.version != wanted.version:
        return False
    return not wanted.adapter or wanted.adapter in view.record.adapters
