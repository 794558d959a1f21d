"""Ring of daemons: the gossip partners of each, and the tree for sums."""

from collections.abc import Sequence

import xxhash

RING_KEY_PREFIX = "ring/"


class Ring:
    """The live daemons of a failure domain, in an order that each of them computes alike.

    The partners of a daemon are 1, 2, 4, ... positions after it. So each daemon has as many
    partners as it is a partner of, and a change reaches all N daemons in log2(N) steps.

    :param names: live daemons.
    :param own: this daemon, one of them.
    """

    __slots__ = ("_order", "_position", "_size")

    def __init__(self, names: Sequence[str], own: str) -> None:
        self._order = sorted(
            names,
            key=lambda name: (xxhash.xxh64_intdigest((RING_KEY_PREFIX + name).encode()), name),
        )
        self._size = len(self._order)
        self._position = self._order.index(own) if own in self._order else 0

    def partners(self) -> list[str]:
        """Return the daemons that this one sends gossip to, nearest first."""
        found: list[str] = []
        step = 1
        while step < self._size:
            found.append(self._order[(self._position + step) % self._size])
            step *= 2
        return found

    def parent(self) -> str:
        """Return the daemon to report sums to; empty at the root.

        It has this daemon among its partners.
        """
        lowest_bit = self._position & -self._position
        return self._order[self._position - lowest_bit] if self._position else ""

    def children(self) -> list[str]:
        """Return the daemons that report sums here, all of them partners."""
        lowest_bit = self._position & -self._position if self._position else self._size
        found: list[str] = []
        step = 1
        while step < lowest_bit and self._position + step < self._size:
            found.append(self._order[self._position + step])
            step *= 2
        return found
