"""Checks streamed responses (server-sent events) as bytes, without parsing each token."""

import asyncio
import dataclasses
from collections.abc import Callable

import result

from tanagerfork import errors

EVENT_END = b"\n\n"
END_MARKER = b"data: [DONE]\n\n"
UNFINISHED_MARKER = b'"finish_reason":null'
MAX_EVENT_BYTES = 1024 * 1024
SILENCE_GAP_FACTOR = 30  # Silence allowed in a stream, in multiples of its mean gap.


@dataclasses.dataclass(slots=True, frozen=True)
class Batch:
    """Events of one attempt, with its id replaced by the id of the request."""

    data: bytes
    tokens: int
    is_end: bool


EMPTY_BATCH = Batch(b"", 0, False)


class EventParser:
    """Splits a stream into events and checks that they belong to the attempt.

    The event that finishes the response is held back until the end marker arrives, so that a
    response that breaks between the two can still be resumed. The engine is assumed to send
    events of the form `data: {"id":"ATTEMPT",...}`, each followed by an empty line, with one token
    per event and a `finish_reason` in the last one, then `data: [DONE]`, and no comments.

    :param attempt_id: id that the engine must echo.
    :param request_id: id that replaces it for the caller.
    """

    __slots__ = ("_attempt_prefix", "_request_prefix", "_buffer", "_held_events", "_has_ended")

    def __init__(self, attempt_id: str, request_id: str) -> None:
        self._attempt_prefix = f'data: {{"id":"{attempt_id}"'.encode()
        self._request_prefix = f'data: {{"id":"{request_id}"'.encode()
        self._buffer = b""
        self._held_events = b""
        self._has_ended = False

    def feed(self, chunk: bytes) -> result.Result[Batch, errors.UpstreamError]:
        """Add bytes to the stream.

        :param chunk: bytes as received from the connection.
        :return: the events that are now complete, or why the stream cannot be trusted.
        """
        data = self._buffer + chunk if self._buffer else chunk
        events_end = data.rfind(EVENT_END)
        if events_end < 0:
            self._buffer = data
            if len(data) > MAX_EVENT_BYTES:
                return result.Err(errors.UpstreamConfused("an event has no end; ask elsewhere"))
            return result.Ok(EMPTY_BATCH)
        events_end += len(EVENT_END)
        self._buffer = data[events_end:]
        return self._check_events(data[:events_end])

    def _check_events(self, events: bytes) -> result.Result[Batch, errors.UpstreamError]:
        if self._has_ended:
            return result.Err(errors.UpstreamConfused("events follow the end marker; drop them"))
        is_end = events.endswith(END_MARKER)
        if is_end:
            self._has_ended = True
            events = events[: -len(END_MARKER)]
        count = events.count(EVENT_END)
        if events.count(self._attempt_prefix) != count or not events.startswith(
            self._attempt_prefix if count else b""
        ):
            message = "the answer belongs to another attempt or is no answer; ask elsewhere"
            return result.Err(errors.UpstreamConfused(message))
        tokens = events.count(UNFINISHED_MARKER)
        if is_end and not self._held_events and tokens == count:
            return result.Err(errors.UpstreamConfused("the end marker came before the finish"))
        return result.Ok(self._make_batch(events, count, tokens, is_end))

    def _make_batch(self, events: bytes, count: int, tokens: int, is_end: bool) -> Batch:
        if self._held_events or tokens < count:
            events = self._held_events + events
            self._held_events = b""
            if not is_end:
                events, self._held_events = _split_finish(events)
        return Batch(events.replace(self._attempt_prefix, self._request_prefix), tokens, is_end)


class SilenceTimer:
    """Detects a silent stream with one timer per stream.

    After the first bytes the allowed silence grows with the stream's own mean gap, so that a slow
    upstream is not mistaken for a silent one. Time during which no task waits for bytes does not
    count.

    :param on_silence: called once, when the stream has been silent for too long.
    :param first_timeout_ms: silence allowed before the first bytes, in milliseconds.
    :param min_timeout_ms: least silence allowed after the first bytes, in milliseconds.
    """

    __slots__ = (
        "is_silent",
        "_on_silence",
        "_first_timeout_s",
        "_min_timeout_s",
        "_loop",
        "_last_activity_at",
        "_first_chunk_at",
        "_chunk_count",
        "_is_waiting",
        "_handle",
    )

    def __init__(
        self, on_silence: Callable[[], None], first_timeout_ms: int, min_timeout_ms: int
    ) -> None:
        self.is_silent = False
        self._on_silence = on_silence
        self._first_timeout_s = first_timeout_ms / 1000
        self._min_timeout_s = min_timeout_ms / 1000
        self._loop = asyncio.get_running_loop()
        self._last_activity_at = self._first_chunk_at = self._loop.time()
        self._chunk_count = 0
        self._is_waiting = False
        self._handle = self._loop.call_later(
            min(self._first_timeout_s, self._min_timeout_s), self._check_silence
        )

    @property
    def mean_gap_ms(self) -> float:
        """Mean time between two chunks so far; 0 before the second chunk."""
        if self._chunk_count < 2:
            return 0.0
        return (self._last_activity_at - self._first_chunk_at) * 1000 / (self._chunk_count - 1)

    def start_waiting(self) -> None:
        """Start counting silence, as a task now waits for bytes."""
        self._is_waiting = True
        if self._chunk_count:
            self._last_activity_at = max(self._last_activity_at, self._loop.time())

    def record_chunk(self) -> None:
        """Record that a chunk arrived, and stop counting silence."""
        self._last_activity_at = self._loop.time()
        self._is_waiting = False
        if not self._chunk_count:
            self._first_chunk_at = self._last_activity_at
        self._chunk_count += 1

    def stop(self) -> None:
        """Cancel the timer."""
        self._handle.cancel()

    def _timeout_s(self) -> float:
        if not self._chunk_count:
            return self._first_timeout_s
        return max(self._min_timeout_s, SILENCE_GAP_FACTOR * self.mean_gap_ms / 1000)

    def _check_silence(self) -> None:
        now = self._loop.time()
        due = self._last_activity_at + self._timeout_s()
        if not self._is_waiting:
            due = now + self._min_timeout_s
        if now < due:
            self._handle = self._loop.call_at(due, self._check_silence)
            return
        self.is_silent = True
        self._on_silence()


def _split_finish(events: bytes) -> tuple[bytes, bytes]:
    start = 0
    while start < len(events):
        end = events.index(EVENT_END, start) + len(EVENT_END)
        if UNFINISHED_MARKER not in events[start:end]:
            return events[:start], events[start:]
        start = end
    return events, b""
