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
SILENT_GAPS = 30


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
    that breaks between the two can still be resumed. Assumed of the engine: events are
    `data: {"id":"ATTEMPT",...}` with an empty line after each, one token an event, a
    `finish_reason` in the last one, then `data: [DONE]`; it sends no comments.

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
        if is_end and not self._held and tokens == count:
            return result.Err(errors.UpstreamConfused("the end marker came before the finish"))
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

    After the first bytes the silence allowed grows with the stream's own mean gap, so that a slow
    upstream is not taken for a silent one. Time in which nobody waits for bytes does not count.

    :param on_silence: called once when the stream was silent for too long.
    :param first_ms: silence allowed before the first bytes, in milliseconds.
    :param later_ms: least silence allowed after them, in milliseconds.
    """

    __slots__ = (
        "is_silent",
        "_on_silence",
        "_first_s",
        "_later_s",
        "_loop",
        "_heard_at",
        "_first_at",
        "_chunks",
        "_is_waiting",
        "_handle",
    )

    def __init__(self, on_silence: Callable[[], None], first_ms: int, later_ms: int) -> None:
        self.is_silent = False
        self._on_silence = on_silence
        self._first_s = first_ms / 1000
        self._later_s = later_ms / 1000
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._first_at = self._loop.time()
        self._chunks = 0
        self._is_waiting = False
        self._handle = self._loop.call_later(min(self._first_s, self._later_s), self._check)

    @property
    def mean_gap_ms(self) -> float:
        """Mean time between two chunks so far; 0 before the second."""
        if self._chunks < 2:
            return 0.0
        return (self._heard_at - self._first_at) * 1000 / (self._chunks - 1)

    def wait(self) -> None:
        """Note that somebody waits for bytes from now on."""
        self._is_waiting = True
        if self._chunks:
            self._heard_at = max(self._heard_at, self._loop.time())

    def hear(self) -> None:
        """Note that bytes came."""
        self._heard_at = self._loop.time()
        self._is_waiting = False
        if not self._chunks:
            self._first_at = self._heard_at
        self._chunks += 1

    def stop(self) -> None:
        """End the timer."""
        self._handle.cancel()

    def _allowed_s(self) -> float:
        if not self._chunks:
            return self._first_s
        return max(self._later_s, SILENT_GAPS * self.mean_gap_ms / 1000)

    def _check(self) -> None:
        now = self._loop.time()
        due = self._heard_at + self._allowed_s()
        if not self._is_waiting:
            due = now + self._later_s
        if now < due:
            self._handle = self._loop.call_at(due, self._check)
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
