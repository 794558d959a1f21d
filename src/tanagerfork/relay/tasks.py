"""Background tasks of a daemon, which are started again if they fail."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric

LOGGER = "relay.tasks"
RESTART_DELAY_MS = 500
TRACE_FRAMES = -4  # The innermost frames; more do not fit into a log line.


class Tasks:
    """Tasks that run until they end or are cancelled together.

    :param clock: clock to wait on.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_clock", "_log", "_metrics", "_tasks", "_is_closing")

    def __init__(
        self, clock: clocks.Clock, log: decisions.DecisionLog, metrics: metric.Metrics
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []
        self._is_closing = False

    def start(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task[None]:
        """Start a task.

        :param name: name of the task, for the log.
        :param run: runs the task until it ends.
        :return: the task.
        """
        task = asyncio.create_task(self._run_with_restarts(name, run))
        self._tasks.append(task)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        self._is_closing = True
        for task in self._tasks:
            task.cancel()

    async def _run_with_restarts(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception as failure:
                if self._is_closing:  # The cancellation was lost to a message that arrived.
                    return
                self._metrics.count("relay_task_failures_total", task=name)
                trace = "".join(traceback.format_exception(failure, limit=TRACE_FRAMES))
                self._log.note(LOGGER, "task failed, restarting it", task=name, reason=trace)
            await self._clock.sleep_ms(RESTART_DELAY_MS)
