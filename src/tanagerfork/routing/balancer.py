"""Choice of a group by load, prefix affinity and health."""

import collections
import dataclasses
import random
from collections.abc import Collection, Sequence

from tanagerfork.groups import presence
from tanagerfork.routing import affinity, health, load

DEFAULT_SLOTS = 16  # For groups that report no slots.
WARM_EXTRA_LOAD = 0.25  # Load, as a share of the slots, accepted in excess for a warm group.
WARM_MAX_LOAD = 0.9
REPORT_HALF_WEIGHT_MS = 500  # Age at which a report counts as much as the mean of all groups.
MAX_CANDIDATES = 3
REFRESH_INTERVAL_MS = 200
TRIAL_TIMEOUT_MS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Requirements:
    """What a request requires of a group; empty fields accept any group.

    `version` is set for a partial answer, which only the version that began it may continue.
    """

    adapter: str = ""
    version: str = ""
    prefixes: Sequence[str] = ()


NO_REQUIREMENTS = Requirements()


class Balancer:
    """Chooses groups by corrected load, cached prefixes and health.

    The candidates are the groups that this daemon has sent nothing to for longest, in an order that
    is random at first: where reports say little, this spreads requests as evenly as round robin.
    With its age, a report counts less and the mean load of all groups counts more, as the requests
    in the report have ended by then. A warm group, which holds the prompt's prefix, is preferred
    unless its load exceeds that of the best candidate by `WARM_EXTRA_LOAD`, so that affinity never
    overloads a group. A group that reports slow steps is ejected as a straggler.

    :param rng: random numbers.
    :param group_health: health of the groups.
    :param prefix_map: prefixes that the groups hold.
    """

    __slots__ = (
        "_rng",
        "health",
        "prefix_map",
        "sent_load",
        "_mean_load",
        "_refreshed_at_ms",
        "_order",
    )

    def __init__(
        self, rng: random.Random, group_health: health.Health, prefix_map: affinity.PrefixMap
    ) -> None:
        self._rng = rng
        self.health = group_health
        self.prefix_map = prefix_map
        self.sent_load = load.SentLoad()
        self._mean_load = 0.0
        self._order: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._refreshed_at_ms = -REFRESH_INTERVAL_MS

    def choose(
        self,
        views: Sequence[presence.GroupView],
        now_ms: int,
        wanted: Requirements = NO_REQUIREMENTS,
        avoided: Collection[str] = (),
    ) -> presence.GroupView | None:
        """Choose a group.

        :param views: whole groups without a leaving member.
        :param now_ms: monotonic clock, in milliseconds.
        :param wanted: requirements of the request.
        :param avoided: groups that failed this request before; chosen only if no other is left.
        :return: the group, None if no group meets the requirements.
        """
        if now_ms - self._refreshed_at_ms >= REFRESH_INTERVAL_MS:
            self._refresh_from_reports(views, now_ms)
        candidates = list(views)
        if wanted.version or wanted.adapter:
            candidates = [view for view in views if _meets_requirements(view, wanted)]
        if avoided:
            others = [view for view in candidates if view.record.group not in avoided]
            candidates = others or candidates
        if not candidates:
            return None
        names = [view.record.group for view in candidates]
        usable = self.health.find_usable(names, now_ms)
        best = self._find_least_loaded(self._next_candidates(candidates, names, usable), now_ms)
        if len(usable) == 1 or not wanted.prefixes:
            return best
        return self._prefer_warm(candidates, names, usable, best, wanted, now_ms)

    def begin(self, group: str, now_ms: int, prefixes: Sequence[str] = ()) -> None:
        """Record that a request was sent to a group.

        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        :param prefixes: hashes of its prompt's prefixes.
        """
        self.sent_load.begin_request(group, now_ms)
        self.move_to_back(group)
        self.health.begin_trial(group, now_ms, TRIAL_TIMEOUT_MS)
        self.prefix_map.record_sent(group, prefixes, now_ms)

    def move_to_back(self, group: str) -> None:
        """Move a group to the back of the order in which groups become candidates.

        :param group: group.
        """
        if group in self._order:
            self._order.move_to_end(group)

    def end(self, group: str, now_ms: int) -> None:
        """Record that a request at a group ended.

        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.sent_load.end_request(group, now_ms)

    def keep_only(self, groups: Collection[str]) -> None:
        """Drop the state of groups that no longer exist.

        :param groups: groups of the layout.
        """
        self.health.keep_only(groups)
        for group in [name for name in self._order if name not in groups]:
            del self._order[group]
        self.sent_load.keep_only(groups)
        self.prefix_map.keep_only(groups)

    def projected_load(self, view: presence.GroupView, now_ms: int) -> float:
        """Return the load of a group with one more request, as a share of its slots.

        :param view: group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        report = view.report
        slots = (report.slots if report else 0) or DEFAULT_SLOTS
        group = view.record.group
        if report is None:
            return (self.sent_load.count_open(group) + 1) / slots
        weight = REPORT_HALF_WEIGHT_MS / (REPORT_HALF_WEIGHT_MS + view.report_age_ms)
        reported = (report.running + report.waiting) / slots
        estimated = self._mean_load + (reported - self._mean_load) * weight
        sent_since = self.sent_load.net_change_since(group, now_ms - view.report_age_ms)
        return (
            max(estimated + sent_since / slots, self.sent_load.count_open(group) / slots)
            + 1 / slots
        )

    def _next_candidates(
        self,
        candidates: Sequence[presence.GroupView],
        names: Sequence[str],
        usable: Sequence[int],
    ) -> list[presence.GroupView]:
        if len(usable) <= 2:
            return [candidates[index] for index in usable]
        indexes = {names[index]: index for index in usable}
        chosen: list[presence.GroupView] = []
        for group in self._order:
            if group in indexes:
                chosen.append(candidates[indexes[group]])
                if len(chosen) == MAX_CANDIDATES:
                    break
        return chosen or [candidates[self._rng.choice(usable)]]

    def _find_least_loaded(
        self, views: Sequence[presence.GroupView], now_ms: int
    ) -> presence.GroupView:
        return min(views, key=lambda view: self.projected_load(view, now_ms))

    def _prefer_warm(
        self,
        candidates: Sequence[presence.GroupView],
        names: Sequence[str],
        usable: Sequence[int],
        best: presence.GroupView,
        wanted: Requirements,
        now_ms: int,
    ) -> presence.GroupView:
        holders = set(self.prefix_map.find_holders(wanted.prefixes, now_ms))
        holding = [index for index in usable if names[index] in holders] if holders else []
        if not holding:
            return best
        sampled = holding if len(holding) <= 2 else self._rng.sample(holding, 2)
        warm = self._find_least_loaded([candidates[index] for index in sampled], now_ms)
        warm_load = self.projected_load(warm, now_ms)
        limit = min(WARM_MAX_LOAD, self.projected_load(best, now_ms) + WARM_EXTRA_LOAD)
        return warm if warm_load <= limit else best

    def _refresh_from_reports(self, views: Sequence[presence.GroupView], now_ms: int) -> None:
        self._refreshed_at_ms = now_ms
        reports = [view.report for view in views if view.report]
        requests = sum(report.running + report.waiting for report in reports)
        self._mean_load = requests / max(
            1, sum(report.slots or DEFAULT_SLOTS for report in reports)
        )
        added = [view.record.group for view in views if view.record.group not in self._order]
        self._rng.shuffle(added)
        self._order.update(dict.fromkeys(added))
        steps = {view.record.group: view.report.step_ms for view in views if view.report}
        self.health.record_steps(steps, now_ms)


def _meets_requirements(view: presence.GroupView, wanted: Requirements) -> bool:
    if wanted.version and view.record.version != wanted.version:
        return False
    return not wanted.adapter or wanted.adapter in view.record.adapters
