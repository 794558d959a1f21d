"""Where a model's answer goes: streamed on, or gathered into one."""

import asyncio
import math
from typing import Protocol

import aiohttp.web
import msgspec

EVENT_END = b"\n\n"
DATA = b"data: "
END_MARKER = b"data: [DONE]\n\n"


class Delta(msgspec.Struct):
    """What one event adds."""

    content: str = ""


class ChunkChoice(msgspec.Struct):
    """The choice of one event."""

    delta: Delta = msgspec.field(default_factory=Delta)
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One event of a streamed answer."""

    choices: list[ChunkChoice] = []


class WholeMessage(msgspec.Struct):
    """The message of a whole answer."""

    content: str
    role: str = "assistant"


class WholeChoice(msgspec.Struct):
    """The choice of a whole answer."""

    message: WholeMessage
    index: int = 0
    finish_reason: str = "stop"


class WholeAnswer(msgspec.Struct):
    """A whole answer."""

    id: str
    model: str
    choices: list[WholeChoice]
    object: str = "chat.completion"


class ResponseSink(Protocol):
    """Takes an answer in, event by event."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has been sent anything."""

    async def write(self, events: bytes) -> bool:
        """Take events in.

        :param events: whole server-sent events.
        :return: whether there was room for them.
        """

    def close(self) -> None:
        """Give up what the answer holds, whether it is whole or not."""

    async def finish(self) -> aiohttp.web.StreamResponse:
        """End the answer.

        :return: the response that the caller gets.
        """

    async def cut(self, event: bytes) -> aiohttp.web.StreamResponse:
        """End an answer that has begun and cannot be completed; no end marker is sent.

        :param event: last event, which says why.
        :return: the response that the caller got.
        """


class StreamSink:
    """Passes events on to the caller, and ends a caller that leaves them unread.

    One timer a stream looks whether a write is held up; each stream waits for its own caller only.

    :param request: caller's request.
    :param headers: headers of the answer.
    :param stall_ms: time a caller may leave its answer unread, in milliseconds.
    """

    __slots__ = (
        "_request",
        "_response",
        "_stall_s",
        "_loop",
        "_writing_since",
        "_timer",
        "has_begun",
    )

    def __init__(
        self, request: aiohttp.web.Request, headers: dict[str, str], stall_ms: int
    ) -> None:
        self._request = request
        self._stall_s = stall_ms / 1000
        self._loop = asyncio.get_running_loop()
        self._writing_since = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._response = aiohttp.web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store", **headers}
        )
        self.has_begun = False

    async def write(self, events: bytes) -> bool:
        """Pass events on; see `AnswerSink.write`."""
        if not self.has_begun:
            self.has_begun = True
            self._timer = self._loop.call_later(self._stall_s, self._check_stall)
            await self._response.prepare(self._request)
        self._writing_since = self._loop.time()
        await self._response.write(events)
        self._writing_since = math.inf
        return True

    def close(self) -> None:
        """End the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_stall(self) -> None:
        now = self._loop.time()
        due = min(self._writing_since, now) + self._stall_s
        if now < due:
            self._timer = self._loop.call_at(due, self._check_stall)
        elif self._request.transport is not None:
            self._request.transport.abort()

    async def finish(self) -> aiohttp.web.StreamResponse:
        """Send the end marker; see `AnswerSink.finish`."""
        await self.write(END_MARKER)
        await self._response.write_eof()
        return self._response

    async def cut(self, event: bytes) -> aiohttp.web.StreamResponse:
        """Send the reason and end; see `AnswerSink.cut`."""
        await self._response.write(event)
        await self._response.write_eof()
        return self._response


class WholeSink:
    """Gathers events into one answer.

    :param request_id: id of the request.
    :param model: model that was asked.
    :param headers: headers of the answer.
    :param limit_bytes: most bytes of events that are kept.
    """

    __slots__ = ("_request_id", "_model", "_headers", "_events", "_limit_bytes", "has_begun")

    def __init__(
        self, request_id: str, model: str, headers: dict[str, str], limit_bytes: int
    ) -> None:
        self._limit_bytes = limit_bytes
        self._request_id = request_id
        self._model = model
        self._headers = headers
        self._events = bytearray()
        self.has_begun = False

    async def write(self, events: bytes) -> bool:
        """Keep events; see `AnswerSink.write`."""
        if len(self._events) + len(events) > self._limit_bytes:
            return False
        self._events += events
        return True

    def close(self) -> None:
        """Drop what was kept."""
        self._events.clear()

    async def finish(self) -> aiohttp.web.StreamResponse:
        """Make one answer of the events; see `AnswerSink.finish`."""
        content = []
        reason = "stop"
        for event in bytes(self._events).split(EVENT_END):
            if not event:
                continue
            choice = msgspec.json.decode(event.removeprefix(DATA), type=Chunk).choices[0]
            content.append(choice.delta.content)
            reason = choice.finish_reason or reason
        whole = WholeChoice(WholeMessage("".join(content)), finish_reason=reason)
        answer = WholeAnswer(self._request_id, self._model, [whole])
        return aiohttp.web.Response(
            body=msgspec.json.encode(answer),
            content_type="application/json",
            headers=self._headers,
        )

    async def cut(self, event: bytes) -> aiohttp.web.StreamResponse:
        """Answer with the reason alone; see `AnswerSink.cut`."""
        return aiohttp.web.Response(status=502, body=event, headers=self._headers)
