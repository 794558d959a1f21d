"""Lateness: by how much the event loop is late, while the answer of somebody else is awaited.

A time limit that passes while this process itself stands still, as on a VM without a free core,
says nothing about the other side.
"""

import asyncio
import collections
from types import TracebackType

STEP_S = 0.02  # Below the shortest time limit that it is used with.
MAX_SHARE = 0.5  # Of a time limit; the rest is enough for a sound upstream.
MAX_DELAYS = 256


class LatenessRecord:
    """Remembers by how much wake-ups at regular intervals were late, by an explicit clock.

    :param interval_ms: time between two wake-ups, in milliseconds.
    """

    __slots__ = ("_interval_ms", "_woken_at_ms", "_delays")

    def __init__(self, interval_ms: float) -> None:
        self._interval_ms = interval_ms
        self._woken_at_ms: float | None = None
        self._delays: collections.deque[tuple[float, float]] = collections.deque(maxlen=MAX_DELAYS)

    def note_wakeup(self, now_ms: float) -> None:
        """Record a wake-up; the next one is due after the interval.

        :param now_ms: monotonic clock, in milliseconds.
        """
        delay_ms = self._measure_delay(now_ms)
        if delay_ms > 0:
            self._delays.append((now_ms, delay_ms))
        self._woken_at_ms = now_ms

    def has_used_up(self, since_ms: float, limit_ms: float, now_ms: float) -> bool:
        """Return whether so much of a time limit was lost to late wake-ups that it says nothing.

        :param since_ms: when the time limit began.
        :param limit_ms: time limit, in milliseconds.
        :param now_ms: monotonic clock, in milliseconds.
        """
        late_ms = min(self._measure_delay(now_ms), now_ms - since_ms)
        for ended_at_ms, delay_ms in reversed(self._delays):
            if ended_at_ms <= since_ms:
                break
            late_ms += min(delay_ms, ended_at_ms - since_ms)
        return late_ms >= MAX_SHARE * limit_ms

    def _measure_delay(self, now_ms: float) -> float:
        if self._woken_at_ms is None:
            return 0.0
        return max(0.0, now_ms - self._woken_at_ms - self._interval_ms)


class LoopLateness:
    """Sums up, while it is entered, by how much the running event loop is late."""

    __slots__ = ("_loop", "_due_s", "_late_s", "_handle")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._late_s = 0.0
        self._due_s = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def __enter__(self) -> "LoopLateness":
        self._wait()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()

    def has_used_up(self, limit_s: float) -> bool:
        """Return whether the loop was late for so much of a time limit that it says nothing.

        :param limit_s: time limit, in seconds.
        """
        late_s = self._late_s + max(0.0, self._loop.time() - self._due_s)
        return late_s >= MAX_SHARE * limit_s

    def _wait(self) -> None:
        self._due_s = self._loop.time() + STEP_S
        self._handle = self._loop.call_at(self._due_s, self._tick)

    def _tick(self) -> None:
        self._late_s += max(0.0, self._loop.time() - self._due_s)
        self._wait()
