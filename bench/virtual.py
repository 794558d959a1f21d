"""An event loop on explicit time: whatever waits is done at once, and the clock jumps."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")
EPOCH_MS = 1_800_000_000_000


class _JumpingSelector(selectors.SelectSelector):
    """A selector that moves the loop's time forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready, without waiting."""
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now_s += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time moves only when all of its tasks wait."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the explicit time, in seconds."""
        return self._jumping.now_s


class VirtualClock:
    """The clock that goes with a `VirtualLoop`."""

    __slots__ = ()

    def monotonic_ms(self) -> int:
        """Return the loop's time, in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000)

    def wall_ms(self) -> int:
        """Return the loop's time since the epoch, in milliseconds."""
        return EPOCH_MS + self.monotonic_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait on the loop.

        :param duration_ms: time to wait, in milliseconds.
        """
        await asyncio.sleep(duration_ms / 1000)


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run work on explicit time.

    :param work: what to run.
    :return: its result.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
