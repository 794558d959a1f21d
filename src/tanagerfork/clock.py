"""Clocks that are passed to decisions and tasks, so that tests can control the time."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for tasks and decisions."""

    def monotonic_ms(self) -> int:
        """Return a monotonic time in milliseconds from an arbitrary start."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch by the wall clock of this VM."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep.

        :param duration_ms: time to wait, in milliseconds.
        """


# Leases and reports also age while the VM is suspended; CLOCK_MONOTONIC does not count that time.
AGING_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The clock of the system and of the running event loop."""

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Return the system's monotonic clock, including suspended time, in milliseconds."""
        return time.clock_gettime_ns(AGING_CLOCK) // 1_000_000

    def wall_ms(self) -> int:
        """Return the system's wall clock, in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep on the event loop.

        :param duration_ms: time to wait, in milliseconds.
        """
        await asyncio.sleep(duration_ms / 1000)


class ManualClock:
    """A clock for tests that moves only when it is advanced.

    :param start_ms: initial reading of the monotonic clock.
    :param wall_start_ms: initial reading of the wall clock, since the epoch.
    """

    __slots__ = ("_now_ms", "_wall_offset_ms", "_sleepers")

    def __init__(self, start_ms: int = 0, wall_start_ms: int = 1_800_000_000_000) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic_ms(self) -> int:
        """Return the current reading of the monotonic clock."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the wall clock at the current reading."""
        return self._now_ms + self._wall_offset_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep until the clock has been advanced by the duration.

        :param duration_ms: time to wait, in milliseconds.
        """
        wakeup = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now_ms + duration_ms, wakeup))
        await wakeup

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward and wake the sleepers that are due.

        :param duration_ms: time to add, in milliseconds.
        """
        self._now_ms += duration_ms
        due = [sleeper for sleeper in self._sleepers if sleeper[0] <= self._now_ms]
        self._sleepers = [sleeper for sleeper in self._sleepers if sleeper[0] > self._now_ms]
        for _, wakeup in sorted(due, key=lambda sleeper: sleeper[0]):
            if not wakeup.done():
                wakeup.set_result(None)
