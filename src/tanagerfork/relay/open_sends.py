"""Open sends: sends of one request that wait for an answer at the same time (request hedging).

The silence of an upstream does not show that it is lost, nor that another one is better off. A
silent send therefore stays open while another upstream is asked, until one of them answers.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tanagerfork.relay import calls, capacities
from tanagerfork.relay import progress as progresses


class Send:
    """State of one send.

    `silence` says for how long nothing was received from the upstream, and is empty while that is
    not too long. `is_superseded` is set once another send of the request has answered.
    """

    __slots__ = ("timing", "is_prompt_unread", "silence", "is_superseded", "_wake")

    def __init__(self, wake: Callable[[], None] = lambda: None) -> None:
        self.timing: capacities.SendTiming | None = None
        self.is_prompt_unread = False
        self.silence = ""
        self.is_superseded = False
        self._wake = wake

    def note_silence(self, silence: str) -> None:
        """Record that the upstream is silent, so that another one may be asked.

        :param silence: for how long, in words.
        """
        self.silence = silence
        self._wake()

    def note_answer(self, now_ms: float, has_failed: bool = False) -> None:
        """Record that the first event, or all of a plain answer, is there.

        :param now_ms: monotonic clock, in milliseconds.
        :param has_failed: whether it is a failure of the upstream.
        """
        if self.timing is not None:
            self.timing.note_answer(now_ms)
            self.timing.has_failed = has_failed


MakeSend = Callable[[Send, progresses.Sink], Coroutine[Any, Any, calls.Outcome]]


class OpenSends:
    """Runs the sends of one request; the first one that writes to the caller ends the others.

    :param progress: state of the request.
    :param sink: receives the response.
    """

    __slots__ = ("_progress", "_sink", "_tasks", "_superseded", "_changed")

    def __init__(self, progress: progresses.Progress, sink: progresses.Sink) -> None:
        self._progress = progress
        self._sink = sink
        self._tasks: dict[asyncio.Task[calls.Outcome], Send] = {}
        self._superseded: list[asyncio.Task[calls.Outcome]] = []
        self._changed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def is_any_open(self) -> bool:
        """Whether a send has not ended, or its end was not returned by `wait` yet."""
        return bool(self._tasks)

    @property
    def are_silent(self) -> bool:
        """Whether all open sends wait for silent upstreams, so that another one may help."""
        return all(send.silence and not task.done() for task, send in self._tasks.items())

    def start(self, run: MakeSend) -> None:
        """Start a send.

        :param run: makes the send, and writes the response to the sink that it is given.
        """
        send = Send(self._wake)
        sink = _ClaimingSink(self._sink, lambda: self._supersede_others(send))
        task = asyncio.create_task(self._run(run, send, sink))
        task.add_done_callback(lambda _: self._wake())
        self._tasks[task] = send

    async def wait(self, limit_ms: float) -> calls.Outcome | None:
        """Wait until a send has ended, or until all open ones are silent.

        :param limit_ms: longest wait while all are silent.
        :return: how a send ended; None while all are silent.
        :raises ConnectionError: the connection to the caller broke.
        """
        were_silent = self.are_silent
        while (ended := self._pop_ended()) is None:
            if self.are_silent and not were_silent:
                return None
            self._changed = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(limit_ms / 1000 if were_silent else None):
                    await self._changed
            except TimeoutError:
                return None
        return ended.result()

    async def close(self) -> None:
        """Cancel all sends and wait for their ends."""
        tasks = [*self._tasks, *self._superseded]
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, run: MakeSend, send: Send, sink: progresses.Sink) -> calls.Outcome:
        self._progress.open_sends += 1
        try:
            return await run(send, sink)
        finally:
            self._progress.open_sends -= 1

    def _pop_ended(self) -> asyncio.Task[calls.Outcome] | None:
        ended = next((task for task in self._tasks if task.done()), None)
        if ended is not None:
            del self._tasks[ended]
        return ended

    def _wake(self) -> None:
        if not self._changed.done():
            self._changed.set_result(None)

    def _supersede_others(self, answering: Send) -> None:
        answering.silence = ""
        for task, send in list(self._tasks.items()):
            if send is not answering:
                send.is_superseded = True
                del self._tasks[task]
                self._superseded.append(task)
                task.cancel()


class _ClaimingSink:
    """Sink of one send, which ends the other sends before anything is written."""

    __slots__ = ("_sink", "_claim")

    def __init__(self, sink: progresses.Sink, claim: Callable[[], None]) -> None:
        self._sink = sink
        self._claim = claim

    @property
    def has_started(self) -> bool:
        return self._sink.has_started

    async def start_stream(self, status: int, headers: calls.Headers) -> None:
        self._claim()
        await self._sink.start_stream(status, headers)

    async def send(self, data: bytes) -> None:
        self._claim()
        await self._sink.send(data)

    async def finish_stream(self) -> None:
        self._claim()
        await self._sink.finish_stream()

    async def send_response(self, status: int, headers: calls.Headers, body: bytes) -> None:
        self._claim()
        await self._sink.send_response(status, headers, body)

    def abort(self) -> None:
        self._sink.abort()
