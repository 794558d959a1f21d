"""Sinks for a model's answer: streamed to the caller, or buffered into one response."""

import asyncio
import math
from typing import Protocol

import aiohttp.web
import msgspec

from tanagerfork import decoding

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
END_MARKER = b"data: [DONE]\n\n"


class Delta(msgspec.Struct):
    """The text added by one event."""

    content: str = ""


class ChunkChoice(msgspec.Struct):
    """The choice of one event."""

    delta: Delta = msgspec.field(default_factory=Delta)
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One event of a streamed answer."""

    choices: list[ChunkChoice] = []


class CompletionMessage(msgspec.Struct):
    """The message of a completion."""

    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct):
    """The choice of a completion."""

    message: CompletionMessage
    index: int = 0
    finish_reason: str = "stop"


class Completion(msgspec.Struct):
    """A complete answer as one JSON object."""

    id: str
    model: str
    choices: list[CompletionChoice]
    object: str = "chat.completion"


class ResponseSink(Protocol):
    """Receives an answer event by event."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has been sent anything."""

    async def write(self, events: bytes) -> bool:
        """Write events.

        :param events: complete server-sent events.
        :return: False if they exceed the size limit and were not accepted.
        """

    def close(self) -> None:
        """Release the resources of the answer, whether or not it is complete."""

    async def finish(self) -> aiohttp.web.StreamResponse:
        """Complete the answer.

        :return: the response to the caller.
        """

    async def end_with_error(self, event: bytes) -> aiohttp.web.StreamResponse:
        """End an answer that has begun but cannot be completed; no end marker is sent.

        :param event: last event, which contains the error.
        :return: the response to the caller.
        """


class StreamSink:
    """Streams events to the caller and aborts the connection if the caller stops reading.

    One timer per stream checks for a stalled write, so a slow caller delays its own stream only.

    :param request: caller's request.
    :param headers: response headers.
    :param stall_ms: time after which a blocked write is aborted, in milliseconds.
    """

    __slots__ = (
        "_request",
        "_response",
        "_write_timeout_s",
        "_loop",
        "_write_began_s",
        "_timer",
        "has_begun",
    )

    def __init__(
        self, request: aiohttp.web.Request, headers: dict[str, str], stall_ms: int
    ) -> None:
        self._request = request
        self._write_timeout_s = stall_ms / 1000
        self._loop = asyncio.get_running_loop()
        self._write_began_s = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._response = aiohttp.web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store", **headers}
        )
        self.has_begun = False

    async def write(self, events: bytes) -> bool:
        """Send events to the caller; see `ResponseSink.write`."""
        if not self.has_begun:
            self.has_begun = True
            self._timer = self._loop.call_later(self._write_timeout_s, self._abort_if_stalled)
            await self._response.prepare(self._request)
        self._write_began_s = self._loop.time()
        await self._response.write(events)
        self._write_began_s = math.inf
        return True

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _abort_if_stalled(self) -> None:
        now_s = self._loop.time()
        due_s = min(self._write_began_s, now_s) + self._write_timeout_s
        if now_s < due_s:
            self._timer = self._loop.call_at(due_s, self._abort_if_stalled)
        elif self._request.transport is not None:
            self._request.transport.abort()

    async def finish(self) -> aiohttp.web.StreamResponse:
        """Send the end marker; see `ResponseSink.finish`."""
        await self.write(END_MARKER)
        await self._response.write_eof()
        return self._response

    async def end_with_error(self, event: bytes) -> aiohttp.web.StreamResponse:
        """Send the error event and end the stream; see `ResponseSink.end_with_error`."""
        await self._response.write(event)
        await self._response.write_eof()
        return self._response


class BufferedSink:
    """Buffers events and combines them into one response.

    :param request_id: id of the request.
    :param model: requested model.
    :param headers: response headers.
    :param limit_bytes: maximum size of the buffered events.
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
        """Buffer events; see `ResponseSink.write`."""
        if len(self._events) + len(events) > self._limit_bytes:
            return False
        self._events += events
        return True

    def close(self) -> None:
        """Discard the buffered events."""
        self._events.clear()

    async def finish(self) -> aiohttp.web.StreamResponse:
        """Combine the events into one response; see `ResponseSink.finish`."""
        content = []
        reason = "stop"
        for event in bytes(self._events).split(EVENT_END):
            if not event:
                continue
            choice = decoding.decode_json(event.removeprefix(DATA_PREFIX), Chunk).choices[0]
            content.append(choice.delta.content)
            reason = choice.finish_reason or reason
        combined = CompletionChoice(CompletionMessage("".join(content)), finish_reason=reason)
        completion = Completion(self._request_id, self._model, [combined])
        return aiohttp.web.Response(
            body=msgspec.json.encode(completion),
            content_type="application/json",
            headers=self._headers,
        )

    async def end_with_error(self, event: bytes) -> aiohttp.web.StreamResponse:
        """Respond with the error event only; see `ResponseSink.end_with_error`."""
        return aiohttp.web.Response(status=502, body=event, headers=self._headers)
