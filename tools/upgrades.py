"""Upgrades: the order in which daemons are replaced by those of another build."""

import dataclasses
import enum
import random
from collections.abc import Sequence

from tools import builds


class Direction(enum.Enum):
    """Which build replaces which."""

    UP = "up"  # All daemons of the other build are replaced by the present one.
    DOWN = "down"  # All daemons of the present build are replaced by the other one.
    BACK = "back"  # Half of the other build's daemons are replaced, and then replaced back.


@dataclasses.dataclass(slots=True, frozen=True)
class Upgrade:
    """Replacement of one build by another, one daemon after the other.

    :param other: build that is not the present one.
    :param direction: which build replaces which.
    :param present: build that runs on the other side.
    """

    other: builds.Build
    direction: Direction
    present: builds.Build = builds.PRESENT

    @property
    def first(self) -> builds.Build:
        """Build that all daemons run at the start."""
        return self.present if self.direction is Direction.DOWN else self.other

    def plan(self, names: Sequence[str], rng: random.Random) -> list[tuple[str, builds.Build]]:
        """Return the replacements in their order: the daemon, and the build that it gets.

        :param names: daemons.
        :param rng: draws the order.
        """
        order = rng.sample(names, len(names))
        if self.direction is Direction.DOWN:
            return [(name, self.other) for name in order]
        if self.direction is Direction.UP:
            return [(name, self.present) for name in order]
        half = order[: (len(order) + 1) // 2]
        there = [(name, self.present) for name in half]
        return there + [(name, self.other) for name in reversed(half)]


def keeps_regions(upgrade: Upgrade | None) -> bool:
    """Return whether all builds of a run know regions and evacuations.

    :param upgrade: replacement that is played; None for the present build only.
    """
    played = (upgrade.other, upgrade.present) if upgrade else ()
    return all(build.keeps_regions for build in played)
