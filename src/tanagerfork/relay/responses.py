"""Relays upstreams' responses to callers: complete bodies, and streams event by event."""

from collections.abc import Awaitable, Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.relay import calls, events, exchange
from tanagerfork.relay import progress as progresses

# Returns the next bytes of a stream, given the events so far and the time of the last one.
ReadChunk = Callable[[int, float], Awaitable[bytes]]


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
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        """Relay a response once its body is complete; a failure only where nothing may follow it.

        :param progress: state of the request.
        :param response: response of an upstream.
        :param sink: receives the response.
        :return: that the request was answered, or why not.
        :raises UpstreamError: the body broke off.
        """
        body = await response.read_body()
        headers = self._dialect.filter_response_headers(response.headers)
        if response.status >= 500 and progress.can_retry:
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
        splitter = events.EventSplitter(progress.last_event_id)
        event_at_ms = float(self._clock.monotonic_ms())
        while chunk := await read_chunk(splitter.event_count, event_at_ms):
            complete = splitter.feed(chunk)
            if isinstance(complete, result.Err):
                return complete
            if not complete.ok_value:
                continue  # Bytes of an event that is never complete are no sign of work.
            note_events()
            await self._start_stream(response, sink)
            await sink.send(complete.ok_value)
            event_at_ms = self._clock.monotonic_ms()  # A slow caller is no silence of the upstream.
            progress.last_event_id = splitter.last_id
        if splitter.has_partial_event:
            return result.Err(
                errors.UpstreamLost("the stream ended within an event; resume on another upstream")
            )
        await self._start_stream(response, sink)
        progress.answer_events += splitter.event_count
        progress.has_succeeded = True
        await sink.finish_stream()
        return result.Ok(calls.Outcome.ANSWERED)

    async def _start_stream(
        self, response: exchange.UpstreamResponse, sink: progresses.Sink
    ) -> None:
        if not sink.has_started:
            await sink.start_stream(
                response.status, self._dialect.filter_response_headers(response.headers)
            )
