"""Time limits of open requests, which the end of the grace period brings forward."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable


class TimeLimit:
    """Time limit of the steps of one request.

    `has_ended_early` is set once the request was ended before its time.

    :param is_complete: returns whether the response is complete, and only has to be written.
    """

    __slots__ = ("_is_complete", "_timeout", "has_ended_early")

    def __init__(self, is_complete: Callable[[], bool] = lambda: False) -> None:
        self._is_complete = is_complete
        self._timeout: asyncio.Timeout | None = None
        self.has_ended_early = False

    @property
    def is_waiting(self) -> bool:
        """Whether the response is not complete."""
        return not self._is_complete()

    @contextlib.asynccontextmanager
    async def limit(self, left_ms: float) -> AsyncIterator[None]:
        """Limit the time of one step.

        :param left_ms: time for the step, in milliseconds; may be infinite.
        :raises TimeoutError: the time is over, or the request was ended early.
        """
        left_s = 0.0 if self.has_ended_early else left_ms / 1000
        async with asyncio.timeout(left_s if math.isfinite(left_s) else None) as self._timeout:
            try:
                yield
            finally:
                self._timeout = None

    def end_early(self) -> None:
        """End the present step and those to come, unless the response is complete."""
        if not self.is_waiting:
            return
        self.has_ended_early = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())


class TimeLimits:
    """Time limits of all open requests."""

    __slots__ = ("_open",)

    def __init__(self) -> None:
        self._open: set[TimeLimit] = set()

    @property
    def has_waiting(self) -> bool:
        """Whether a request is open whose response is not complete."""
        return any(limit.is_waiting for limit in self._open)

    def open(self, is_complete: Callable[[], bool]) -> TimeLimit:
        """Return the time limit of a new request.

        :param is_complete: returns whether the response is complete, and only has to be written.
        """
        limit = TimeLimit(is_complete)
        self._open.add(limit)
        return limit

    def close(self, limit: TimeLimit) -> None:
        """Forget a request that has ended.

        :param limit: its time limit.
        """
        self._open.discard(limit)

    def end_early(self) -> None:
        """End all requests whose responses are not complete."""
        for limit in list(self._open):
            limit.end_early()
