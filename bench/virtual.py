"""An event loop on simulated time: instead of waiting, its clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")
EPOCH_MS = 1_800_000_000_000


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the simulated time instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by the timeout and return the ready events without blocking."""
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled and no task can run")
        self.now_s += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while all of its tasks wait."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the simulated time, in seconds."""
        return self._jumping.now_s


class VirtualClock:
    """A clock that reads the time of the running `VirtualLoop`."""

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Return the loop's time, in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000)

    def wall_ms(self) -> int:
        """Return the simulated wall clock, in milliseconds since the Unix epoch."""
        return EPOCH_MS + self.monotonic_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep on simulated time.

        :param duration_ms: time to wait, in milliseconds.
        """
        await asyncio.sleep(duration_ms / 1000)


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on simulated time.

    :param work: coroutine.
    :return: result of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
