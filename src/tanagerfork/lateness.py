"""Lateness: by how much the event loop is late, while the answer of somebody else is awaited.

A time limit that passes while this process itself stands still, as on a VM without a free core,
says nothing about the other side.
"""

import asyncio
from types import TracebackType

STEP_S = 0.02  # Below the shortest time limit that it is used with.
MAX_SHARE = 0.5  # Of a time limit; the rest is enough for a sound upstream.


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
