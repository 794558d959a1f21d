"""Hybrid logical clocks: wall-clock timestamps that order causes before their effects."""

import dataclasses

from tanagerfork import clock as clocks

MAX_AHEAD_MS = 5_000


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class HybridTime:
    """A timestamp: the wall clock, and a counter that orders stamps with equal wall clocks."""

    wall_ms: int
    counter: int

    @property
    def ceiling_ms(self) -> int:
        """Wall clock that sorts after this timestamp, for records without a counter."""
        return self.wall_ms + 1


class HybridClock:
    """Issues timestamps later than all that were issued or received before.

    Stamps follow the local wall clock. A received stamp that is further ahead advances them, up to
    a limit, so that one wrong clock cannot advance the clocks of all other daemons.

    :param clock: clock of this VM.
    :param max_ahead_ms: a received stamp further ahead of the local wall clock is refused.
    """

    __slots__ = ("refused_jumps", "_clock", "_max_ahead_ms", "_latest")

    def __init__(self, clock: clocks.Clock, max_ahead_ms: int = MAX_AHEAD_MS) -> None:
        self.refused_jumps = 0
        self._clock = clock
        self._max_ahead_ms = max_ahead_ms
        self._latest = HybridTime(0, 0)

    @property
    def ahead_ms(self) -> int:
        """How far the last stamp is ahead of the local wall clock; 0 if it is not ahead."""
        return max(0, self._latest.wall_ms - self._clock.wall_ms())

    def tick(self) -> HybridTime:
        """Return a stamp later than all before.

        :return: stamp for an event or a message to send.
        """
        now_ms = self._clock.wall_ms()
        if now_ms > self._latest.wall_ms:
            self._latest = HybridTime(now_ms, 0)
        else:
            self._latest = HybridTime(self._latest.wall_ms, self._latest.counter + 1)
        return self._latest

    def observe(self, received: HybridTime) -> bool:
        """Make all later stamps sort after a received stamp.

        :param received: stamp of a received message or record.
        :return: False if the stamp is too far ahead and was refused.
        """
        if received.wall_ms - self._clock.wall_ms() > self._max_ahead_ms:
            self.refused_jumps += 1
            return False
        self._latest = max(self._latest, received)
        return True
