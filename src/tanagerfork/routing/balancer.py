"""Choice of a group: two random whole groups, the less loaded one wins."""

import collections
import random
from collections.abc import Collection, Sequence

from tanagerfork.groups import presence


class Balancer:
    """Chooses groups by their reported load and by what was sent since.

    :param rng: random numbers.
    """

    __slots__ = ("_rng", "_open")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._open: collections.Counter[str] = collections.Counter()

    def choose(
        self, views: Sequence[presence.GroupView], avoided: Collection[str] = ()
    ) -> presence.GroupView | None:
        """Choose a group.

        :param views: whole groups.
        :param avoided: groups that failed this request before; taken only if no other is left.
        :return: the group, None where there is none.
        """
        fresh = [view for view in views if view.record.group not in avoided] or list(views)
        if not fresh:
            return None
        pair = self._rng.sample(fresh, min(2, len(fresh)))
        return min(pair, key=self._load_of)

    def begin(self, group: str) -> None:
        """Note that an attempt was sent to a group.

        :param group: group.
        """
        self._open[group] += 1

    def end(self, group: str) -> None:
        """Note that an attempt at a group ended.

        :param group: group.
        """
        self._open[group] -= 1

    def _load_of(self, view: presence.GroupView) -> float:
        reported = view.report.running + view.report.waiting if view.report else 0
        return max(reported, self._open[view.record.group])
