"""Clocks that decisions and tasks take instead of the system's own."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Where a task gets its time from."""

    def monotonic_ms(self) -> int:
        """Return milliseconds that only grow; the start is arbitrary."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch, as far as this VM knows."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait.

        :param duration_ms: time to wait, in milliseconds.
        """


# A lease and a report grow old while the VM is suspended, which the monotonic clock leaves out.
AGING_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The clock of the system and of the running event loop."""

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Return the system's monotonic clock with the time it was suspended, in milliseconds."""
        return time.clock_gettime_ns(AGING_CLOCK) // 1_000_000

    def wall_ms(self) -> int:
        """Return the system's wall clock, in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait on the event loop.

        :param duration_ms: time to wait, in milliseconds.
        """
        await asyncio.sleep(duration_ms / 1000)


class ManualClock:
    """A clock that moves only when told to.

    :param start_ms: first reading of the monotonic clock.
    :param wall_start_ms: first reading of the wall clock, since the epoch.
    """

    __slots__ = ("_now_ms", "_wall_offset_ms", "_sleepers")

    def __init__(self, start_ms: int = 0, wall_start_ms: int = 1_800_000_000_000) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic_ms(self) -> int:
        """Return the reading that `advance` left."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the wall clock that goes with the reading."""
        return self._now_ms + self._wall_offset_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait until the clock was advanced far enough.

        :param duration_ms: time to wait, in milliseconds.
        """
        wakes_up = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now_ms + duration_ms, wakes_up))
        await wakes_up

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward and wake the sleepers whose time has come.

        :param duration_ms: time to add, in milliseconds.
        """
        self._now_ms += duration_ms
        due = [sleeper for sleeper in self._sleepers if sleeper[0] <= self._now_ms]
        self._sleepers = [sleeper for sleeper in self._sleepers if sleeper[0] > self._now_ms]
        for _, wakes_up in sorted(due, key=lambda sleeper: sleeper[0]):
            if not wakes_up.done():
                wakes_up.set_result(None)
