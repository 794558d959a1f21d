"""Hybrid logical clocks: wall time that keeps causes before their effects."""

import dataclasses

from tanagerfork import clock as clocks

MAX_AHEAD_MS = 5_000


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class HybridTime:
    """A point in time: wall clock first, then a counter among equal wall clocks."""

    wall_ms: int
    counter: int

    @property
    def ceiling_ms(self) -> int:
        """Wall clock that sorts after this time, for records that hold no counter."""
        return self.wall_ms + 1


class HybridClock:
    """Stamps events later than all that was stamped or heard before.

    A stamp follows the own wall clock. What is heard from a clock further ahead moves it on, up to
    a limit, so that one wrong clock cannot drag those of all others along.

    :param clock: clock of this VM.
    :param max_ahead_ms: distance from the own wall clock past which nothing heard counts.
    """

    __slots__ = ("refused_jumps", "_clock", "_max_ahead_ms", "_latest")

    def __init__(self, clock: clocks.Clock, max_ahead_ms: int = MAX_AHEAD_MS) -> None:
        self.refused_jumps = 0
        self._clock = clock
        self._max_ahead_ms = max_ahead_ms
        self._latest = HybridTime(0, 0)

    @property
    def ahead_ms(self) -> int:
        """Distance of the last stamp from the own wall clock; 0 where it is not ahead."""
        return max(0, self._latest.wall_ms - self._clock.wall_ms())

    def tick(self) -> HybridTime:
        """Return a stamp later than all before.

        :return: stamp of an event or of a message that is sent.
        """
        now_ms = self._clock.wall_ms()
        if now_ms > self._latest.wall_ms:
            self._latest = HybridTime(now_ms, 0)
        else:
            self._latest = HybridTime(self._latest.wall_ms, self._latest.counter + 1)
        return self._latest

    def observe(self, heard: HybridTime) -> bool:
        """Have all later stamps sort after a stamp that was heard.

        :param heard: stamp of a message or record that arrived.
        :return: whether it counts; False where it is too far ahead.
        """
        if heard.wall_ms - self._clock.wall_ms() > self._max_ahead_ms:
            self.refused_jumps += 1
            return False
        self._latest = max(self._latest, heard)
        return True
