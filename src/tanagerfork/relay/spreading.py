"""Spreading: chooses among nearly full groups, so that daemons with the same old figures differ.

All daemons see a free slot at the same time, and the one that uses it is known by the others only
some hundred milliseconds later. The slot that a daemon's own request has just left is known to this
daemon alone: it takes that one first. Otherwise it draws a group by the slots that seem free.
"""

import dataclasses
import random
from collections.abc import Sequence

FREED_TTL_MS = 600.0  # By then the other daemons have been reported that the slot is free.
# Requests beyond the slots that a group may seem to have: its estimate is off by as many.
ROOM = 3
MIN_WEIGHT = 0.02  # So that a group is found again whose estimate is too high.


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A group to choose from.

    `requests` is the estimated number of its requests. `freed_at_ms` is when a request of this
    daemon left it that no other one has followed; negative for none.
    """

    requests: float
    slots: float
    freed_at_ms: float = -1e12


def choose(candidates: Sequence[Candidate], rng: random.Random, now_ms: float) -> int:
    """Return the index of the group that a request is sent to.

    :param candidates: groups, at least one.
    :param rng: draws among them.
    :param now_ms: monotonic clock, in milliseconds.
    """
    freed = [
        (item.freed_at_ms, index)
        for index, item in enumerate(candidates)
        if now_ms - item.freed_at_ms <= FREED_TTL_MS and item.requests < item.slots + ROOM
    ]
    if freed:
        return min(freed)[1]
    weights = [max(MIN_WEIGHT, item.slots + ROOM - item.requests) for item in candidates]
    return rng.choices(range(len(candidates)), weights)[0]
