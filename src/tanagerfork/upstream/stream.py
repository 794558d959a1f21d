"""Streamed answers: checks server-sent events on bytes, without parsing each token."""

import asyncio
import dataclasses
from collections.abc import Callable

import result

from tanagerfork import errors

EVENT_END = b"\n\n"
END_MARKER = b"data: [DONE]\n\n"
UNFINISHED = b'"finish_reason":null'
MAX_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """Events of one answer that belong to its attempt, renamed to the request."""

    data: bytes
    tokens: int
    is_end: bool


EMPTY_BATCH = Batch(b"", 0, False)


class EventParser:
    """Cuts a stream into events and checks whose they are.

    The event that finishes the answer is held back until the end marker came, so that an answer
    that breaks between the two can still be resumed.

    :param attempt_id: id that the engine must echo.
    :param request_id: id that the caller gets.
    """

    __slots__ = ("_expected", "_shown", "_buffer", "_held", "_has_ended")

    def __init__(self, attempt_id: str, request_id: str) -> None:
        self._expected = f'data: {{"id":"{attempt_id}"'.encode()
        self._shown = f'data: {{"id":"{request_id}"'.encode()
        self._buffer = b""
        self._held = b""
        self._has_ended = False

    def feed(self, chunk: bytes) -> result.Result[Batch, errors.UpstreamError]:
        """Take bytes in.

        :param chunk: bytes as they came from the connection.
        :return: the events that are complete, or why the stream cannot be trusted.
        """
        data = self._buffer + chunk if self._buffer else chunk
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._buffer = data
            if len(data) > MAX_EVENT_BYTES:
                return result.Err(errors.UpstreamConfused("an event has no end; ask elsewhere"))
            return result.Ok(EMPTY_BATCH)
        cut += len(EVENT_END)
        self._buffer = data[cut:]
        return self._check(data[:cut])

    def _check(self, events: bytes) -> result.Result[Batch, errors.UpstreamError]:
        if self._has_ended:
            return result.Err(errors.UpstreamConfused("events follow the end marker; drop them"))
        is_end = events.endswith(END_MARKER)
        if is_end:
            self._has_ended = True
            events = events[: -len(END_MARKER)]
        count = events.count(EVENT_END)
        if events.count(self._expected) != count or not events.startswith(
            self._expected if count else b""
        ):
            message = "the answer belongs to another attempt or is no answer; ask elsewhere"
            return result.Err(errors.UpstreamConfused(message))
        tokens = events.count(UNFINISHED)
        return result.Ok(self._hold_finish(events, count, tokens, is_end))

    def _hold_finish(self, events: bytes, count: int, tokens: int, is_end: bool) -> Batch:
        if self._held or tokens < count:
            events = self._held + events
            self._held = b""
            if not is_end:
                events, self._held = _split_finish(events)
        return Batch(events.replace(self._expected, self._shown), tokens, is_end)


class SilenceTimer:
    """Notices a silent stream with one timer per stream.

    :param on_silence: called once when the stream was silent for too long.
    :param first_ms: silence allowed before the first bytes, in milliseconds.
    :param later_ms: silence allowed after them, in milliseconds.
    """

    __slots__ = ("is_silent", "_on_silence", "_allowed_s", "_later_s", "_heard_at", "_handle")

    def __init__(self, on_silence: Callable[[], None], first_ms: int, later_ms: int) -> None:
        self.is_silent = False
        self._on_silence = on_silence
        self._allowed_s = first_ms / 1000
        self._later_s = later_ms / 1000
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        self._handle = loop.call_later(self._allowed_s, self._check)

    def hear(self) -> None:
        """Note that bytes came."""
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        if self._allowed_s != self._later_s:
            self._allowed_s = self._later_s
            self._handle.cancel()
            self._handle = loop.call_later(self._allowed_s, self._check)

    def stop(self) -> None:
        """End the timer."""
        self._handle.cancel()

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        due = self._heard_at + self._allowed_s
        if loop.time() < due:
            self._handle = loop.call_at(due, self._check)
            return
        self.is_silent = True
        self._on_silence()


def _split_finish(events: bytes) -> tuple[bytes, bytes]:
    start = 0
    while start < len(events):
        end = events.index(EVENT_END, start) + len(EVENT_END)
        if UNFINISHED not in events[start:end]:
            return events[:start], events[start:]
        start = end
    return events, b""
