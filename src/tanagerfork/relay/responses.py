"""Relays upstreams' responses to callers: complete bodies, and streams event by event."""

from collections.abc import Awaitable, Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.relay import calls, events, exchange
from tanagerfork.relay import progress as progresses

# An upstream gives up a response that stays unread for some seconds. A response that broke off this
# soon after it stood unread for a second was given up so, and the upstream is not at fault.
UNREAD_MS = 1000
UNREAD_TTL_MS = 5000
PAUSE_CHECK_MS = 20
# Returns the next bytes of a stream, given the events so far and the time of the last one.
ReadChunk = Callable[[int, float], Awaitable[bytes]]


class UnreadTimes:
    """How long a response stood unread, for a slow caller or for want of memory."""

    __slots__ = ("_until_ms",)

    def __init__(self) -> None:
        self._until_ms = -1e12

    def record_pause(self, began_ms: float, now_ms: float) -> None:
        """Record that nothing was read for a time.

        :param began_ms: when reading stopped.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if now_ms - began_ms >= UNREAD_MS:
            self._until_ms = now_ms

    def explain(self, error: errors.UpstreamError, now_ms: float) -> errors.UpstreamError:
        """Return an error, or the one that blames the pause for it.

        :param error: why the response broke off.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if type(error) is errors.UpstreamLost and now_ms - self._until_ms <= UNREAD_TTL_MS:
            return errors.UpstreamUnread(f"{error.message} (it stood unread for a slow caller)")
        return error


class ResponseRelay:
    """Relays responses whose headers have been checked.

    :param dialect: reads and writes the platform's headers.
    :param clock: clock of the events.
    """

    __slots__ = ("_dialect", "_clock")

    def __init__(self, dialect: calls.Dialect, clock: clocks.Clock) -> None:
        self._dialect = dialect
        self._clock = clock

    async def relay_body(
        self,
        progress: progresses.Progress,
        response: exchange.UpstreamResponse,
        sink: progresses.Sink,
        note_answer: Callable[[bool], None],
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        """Relay a response once its body is complete; a failure only where nothing may follow it.

        :param progress: state of the request.
        :param response: response of an upstream.
        :param sink: receives the response.
        :param note_answer: called with whether the response is a failure, once it is complete.
        :return: that the request was answered, or why not.
        :raises UpstreamError: the body broke off.
        """
        body = await self._gather(progress, response)
        note_answer(response.status >= 500)
        headers = self._dialect.filter_response_headers(response.headers)
        if response.status >= 500 and progress.may_be_answered_otherwise:
            progress.kept_failure = progresses.KeptFailure(response.status, headers, body)
            return result.Err(
                errors.UpstreamFailed(f"failed with status {response.status}; use another upstream")
            )
        if sink.has_started:  # A resumed stream failed on this upstream.
            return result.Err(
                errors.UpstreamFailed(f"failed with status {response.status}; use another upstream")
            )
        await sink.send_response(response.status, headers, body)
        progress.has_succeeded = 200 <= response.status < 300
        return result.Ok(calls.Outcome.ANSWERED)

    async def relay_stream(
        self,
        progress: progresses.Progress,
        response: exchange.UpstreamResponse,
        sink: progresses.Sink,
        read_chunk: ReadChunk,
        note_events: Callable[[], None],
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        """Relay a stream as its events become complete; it continues one that was begun.

        :param progress: state of the request.
        :param response: response of an upstream.
        :param sink: receives the events.
        :param read_chunk: reads the next bytes; empty at the end.
        :param note_events: called whenever events became complete.
        :return: that the request was answered, or why not.
        :raises UpstreamError: the stream broke off.
        """
        media_type = _read_media_type(response)
        begun_type = progress.stream_type if sink.has_started else ""
        if media_type and begun_type and media_type != begun_type:
            message = f"the stream goes on as {media_type}; resume on another upstream"
            return result.Err(errors.UpstreamConfused(message))
        unread = UnreadTimes()
        try:
            relayed = await self._relay_events(
                progress, response, sink, read_chunk, note_events, unread
            )
        except errors.UpstreamError as error:
            explained = unread.explain(error, self._clock.monotonic_ms())
            if explained is error:
                raise
            raise explained from error
        return relayed.map_err(lambda error: unread.explain(error, self._clock.monotonic_ms()))

    async def _relay_events(
        self,
        progress: progresses.Progress,
        response: exchange.UpstreamResponse,
        sink: progresses.Sink,
        read_chunk: ReadChunk,
        note_events: Callable[[], None],
        unread: UnreadTimes,
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        splitter = events.EventSplitter(progress.last_event_id)
        event_at_ms = float(self._clock.monotonic_ms())
        while chunk := await read_chunk(splitter.event_count, event_at_ms):
            complete = splitter.feed(chunk)
            if isinstance(complete, result.Err):
                return complete
            if not complete.ok_value:
                continue  # Bytes of an event that is never complete are no sign of work.
            note_events()
            progress.holding.source = response
            began_ms = self._clock.monotonic_ms()
            await self._start_stream(progress, response, sink)
            await sink.send(complete.ok_value)
            event_at_ms = self._clock.monotonic_ms()  # A slow caller is no silence of the upstream.
            unread.record_pause(began_ms, event_at_ms)
            progress.last_event_id = splitter.last_id
        if splitter.has_partial_event:
            return result.Err(
                errors.UpstreamLost("the stream ended within an event; resume on another upstream")
            )
        await self._start_stream(progress, response, sink)
        progress.answer_events += splitter.event_count
        progress.has_succeeded = True
        await sink.finish_stream()
        return result.Ok(calls.Outcome.ANSWERED)

    async def _gather(
        self, progress: progresses.Progress, response: exchange.UpstreamResponse
    ) -> bytes:
        """Return the whole body of a response, read as fast as the memory allows."""
        holding, unread = progress.holding, UnreadTimes()
        kept = progress.kept_failure

        async def record_part(size: int) -> None:
            holding.grow_response(size)
            began_ms = self._clock.monotonic_ms()
            while holding.must_pause:
                await self._clock.sleep_ms(PAUSE_CHECK_MS)
            unread.record_pause(began_ms, self._clock.monotonic_ms())

        holding.source = response
        holding.start_gathering(len(kept.body) if kept else 0)
        try:
            return await response.read_body(record_part)
        except errors.UpstreamError as error:
            explained = unread.explain(error, self._clock.monotonic_ms())
            if explained is error:
                raise
            raise explained from error
        finally:
            holding.end_gathering()

    async def _start_stream(
        self,
        progress: progresses.Progress,
        response: exchange.UpstreamResponse,
        sink: progresses.Sink,
    ) -> None:
        if not sink.has_started:
            progress.stream_type = _read_media_type(response)
            await sink.start_stream(
                response.status, self._dialect.filter_response_headers(response.headers)
            )


def _read_media_type(response: exchange.UpstreamResponse) -> str:
    """Return the media type of a response, in lower case; empty if it names none."""
    named = response.http_response.headers.get("Content-Type", "")
    return named.partition(";")[0].strip().lower()
