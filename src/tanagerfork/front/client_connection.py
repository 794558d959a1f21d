"""Connection of a client: bounds what the client decides, between the socket and the HTTP library.

The library has no public hooks for most of this, so that it is done in the library's protocol.
"""

import asyncio
import contextlib
import http
from typing import Any

import aiohttp.web
from aiohttp import web_protocol

from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.front import bounds, connection_ledger, error_bodies, request_reader
from tanagerfork.upstream import connections

Phase = connection_ledger.Phase
IMPROPER_REQUEST = errors.BadRequest("no proper request; send a request by RFC 9112")


class ClientConnection(web_protocol.RequestHandler):
    """Protocol of one connection.

    :param server: server of the HTTP library.
    :param table: connections of all listeners.
    :param ledger: connections of this listener.
    :param source: tells the bounds in force.
    :param metrics: counters.
    :param options: options of the library's protocol.
    """

    __slots__ = (
        "_table",
        "_ledger",
        "_source",
        "_metrics",
        "_reader",
        "_is_refused",
        "_has_request",
        "_is_answering",
        "_is_answered",
        "_is_holding",
        "_is_paused_by_library",
        "_pacing",
        "_counted_bytes",
        "_discarded_bytes",
        "_unread_bytes",
        "progress_at_ms",
    )

    def __init__(
        self,
        server: Any,
        table: "connection_ledger.ConnectionTable[ClientConnection]",
        ledger: "connection_ledger.ConnectionLedger[ClientConnection]",
        source: bounds.BoundsSource,
        metrics: metric.Metrics,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._table = table
        self._ledger = ledger
        self._source = source
        self._metrics = metrics
        self._reader = request_reader.RequestReader(source.current)
        self._is_refused = False
        self._has_request = False  # That the library has got and not answered yet.
        self._is_answering = False
        self._is_answered = False  # The present request, whose body may not be complete.
        self._is_holding = False
        self._is_paused_by_library = False
        self._pacing: asyncio.TimerHandle | None = None  # Ends a pause for other connections.
        self._counted_bytes = 0  # Of the present request, in the ledger.
        self._discarded_bytes = 0
        self._unread_bytes = 0  # In the write buffer, when it was last looked at.
        self.progress_at_ms = self._now_ms()  # When bytes of a body or an answer last moved.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; see `asyncio.BaseProtocol.connection_made`."""
        super().connection_made(transport)
        if hasattr(transport, "max_size"):  # Of asyncio's transports of plain sockets.
            transport.max_size = bounds.READ_BYTES
        self._ledger.enter(self, Phase.NEW, self._now_ms())

    def connection_lost(self, exc: BaseException | None) -> None:
        """End, and free what is held; see `asyncio.BaseProtocol.connection_lost`."""
        self._leave()
        if self._current_request is not None:
            with contextlib.suppress(Exception):  # The body has ended, or is being read.
                self._current_request.content.read_nowait()
        super().connection_lost(exc)
        self._messages.clear()

    def data_received(self, data: bytes) -> None:
        """Check bytes and pass them on; see `asyncio.Protocol.data_received`."""
        if not data:  # The library resumes reading, also at the end of each body.
            super().data_received(data)
            return
        if self._is_refused:
            self._discard(len(data))
            return
        before = self._reader.parts
        self._feed(data)
        self._go_on()
        pause_ms = self._table.pace(self, self._reader.parts - before, self._now_ms())
        if pause_ms:
            self._pace(pause_ms)

    async def finish_response(
        self, request: aiohttp.web.BaseRequest, resp: Any, start_time: float | None
    ) -> tuple[aiohttp.web.StreamResponse, bool]:
        """Send the rest of an answer, then read the next request; see the library."""
        self._is_answering = True
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._is_answering = self._has_request = False
            self._is_answered = True
            self._go_on()

    def refuse(self, passed: bounds.BoundPassed) -> None:
        """Answer with an error if no answer has begun, and close the connection.

        :param passed: what the client has passed.
        """
        transport = self.transport
        if self._is_refused or transport is None or transport.is_closing():
            return
        self._metrics.count("client_bounds_total", bound=passed.bound.value)
        self._enter(Phase.REFUSED)  # It is cut if the client does not take the refusal.
        self._is_refused = True
        self._reader.clear()
        if self._has_begun_answer():
            connections.reset_on_close(transport)
            transport.abort()
            return
        transport.write(_make_refusal(passed.error))
        if self._has_request:  # Its handler would answer as well.
            transport.close()
            return
        self._release()
        if transport.can_write_eof():  # A close would reset the connection before it is read.
            transport.write_eof()

    def cut(self, bound: bounds.Bound) -> None:
        """Close the connection at once.

        :param bound: what the client has passed.
        """
        self._metrics.count("client_bounds_total", bound=bound.value)
        self._leave()
        self._is_refused = True
        if self.transport is not None:
            if self._has_begun_answer() or self.transport.get_write_buffer_size():
                # An answer that only the close ends must not look complete.
                connections.reset_on_close(self.transport)
            self.transport.abort()

    def watch_unread(self, now_ms: float) -> bool:
        """Return whether the client has bytes of answers to take, and record when it took some.

        :param now_ms: monotonic clock, in milliseconds.
        """
        transport = self.transport
        size = transport.get_write_buffer_size() if transport is not None else 0
        if size != self._unread_bytes:
            self._unread_bytes = size
            self.progress_at_ms = now_ms
        return size > 0

    def check_times(self, phase: connection_ledger.Phase, now_ms: float) -> None:
        """Check the times of a connection whose body is read, or whose answer is sent.

        :param phase: its phase.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if phase is Phase.BODY:
            limit_ms = self._reader.limits.idle_timeout_ms + bounds.TIME_SLACK_MS
            is_paused = self._is_paused_by_library or self._pacing is not None
            if now_ms - self.progress_at_ms > limit_ms and not is_paused:
                self.refuse_late(bounds.Bound.BODY_TIME)
            return
        is_unread = self.watch_unread(now_ms)
        if is_unread and now_ms - self.progress_at_ms > bounds.UNREAD_TIMEOUT_MS:
            self.cut(bounds.Bound.UNREAD_TIME)
        elif is_unread:
            self._enter(Phase.UNREAD)
        else:
            self._enter(Phase.ANSWER if self._has_request else Phase.IDLE)

    def refuse_late(self, bound: bounds.Bound) -> None:
        """Refuse a request that did not arrive in time.

        :param bound: time that the client has passed.
        """
        message = "the request was not complete in time; send it without pauses"
        self.refuse(bounds.BoundPassed(bound, errors.RequestTooSlow(message)))

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.StreamResponse:
        """Return the answer to a request that the library can't parse; see the library."""
        if status != http.HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        self._metrics.count("client_bounds_total", bound=bounds.Bound.HEAD_SYNTAX.value)
        response = aiohttp.web.Response(
            status=status,
            body=error_bodies.encode_error(IMPROPER_REQUEST, ""),
            content_type="application/json",
        )
        response.force_close()
        return response

    async def _handle_request(self, request: Any, start_time: Any, request_handler: Any) -> Any:
        # The task of the connection would keep an exception, and by its frames the request.
        try:
            return await super()._handle_request(request, start_time, request_handler)
        except (asyncio.CancelledError, ConnectionError):
            return None, True

    def _pause_transport_reading(self) -> None:
        self._is_paused_by_library = True
        super()._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        self._is_paused_by_library = False
        self._resume_if_allowed()

    def _feed(self, data: bytes) -> None:
        reader = self._reader
        had_head = reader.head_cost_bytes > 0
        try:
            checked = reader.feed(data)
            if not had_head and reader.head_cost_bytes:
                self._has_request = True
            self._count_body(reader.head_cost_bytes + reader.body_bytes)
            self._check_all_bodies()
        except bounds.BoundPassed as passed:
            self.refuse(passed)
            return
        if checked:
            super().data_received(checked)
            self._drop_parser_error()
        self._record_phase()
        if reader.ahead_bytes > bounds.AHEAD_BYTES and not self._is_holding:
            self._metrics.count("client_bounds_total", bound=bounds.Bound.AHEAD.value)
            self._is_holding = True
            super()._pause_transport_reading()

    def _go_on(self) -> None:
        """Read the next request once the present one is complete and answered."""
        while self._reader.is_complete and not self._has_request and not self._is_refused:
            self._count_body(0)
            self._is_answered = False
            ahead = self._reader.start_next(self._source.current)
            self._enter(Phase.UNREAD if self.watch_unread(self._now_ms()) else Phase.IDLE)
            self._release()
            if not ahead:
                return
            self._feed(ahead)

    def _release(self) -> None:
        """Read on after a pause for requests that were sent ahead."""
        if self._is_holding:
            self._is_holding = False
            self._resume_if_allowed()

    def _pace(self, pause_ms: float) -> None:
        if self._pacing is not None or self._ledger.find_phase(self) is None:
            return
        self._metrics.count("client_bounds_total", bound=bounds.Bound.PROCESSOR_TIME.value)
        self._pacing = self._loop.call_later(pause_ms / 1000, self._end_pace)
        super()._pause_transport_reading()

    def _end_pace(self) -> None:
        self._pacing = None
        self.progress_at_ms = self._now_ms()
        self._resume_if_allowed()

    def _resume_if_allowed(self) -> None:
        if not (self._is_holding or self._is_paused_by_library or self._pacing is not None):
            super()._resume_transport_reading()

    def _leave(self) -> None:
        """Free what is held, and the place of the connection."""
        self._ledger.remove(self)
        self._table.forget(self)
        self._count_body(0)
        self._reader.clear()
        if self._pacing is not None:
            self._pacing.cancel()
            self._pacing = None

    def _record_phase(self) -> None:
        state = self._reader.state
        if state is request_reader.State.COMPLETE:
            self._enter(Phase.ANSWER)
        elif state is request_reader.State.HEAD:
            self._enter(Phase.HEAD)
        elif self._reader.is_in_body:
            self.progress_at_ms = self._now_ms()
            self._enter(Phase.BODY)

    def _enter(self, phase: connection_ledger.Phase) -> None:
        if self._ledger.find_phase(self) is not None:
            self._ledger.enter(self, phase, self._now_ms())

    def _count_body(self, size: int) -> None:
        self._ledger.body_bytes += size - self._counted_bytes
        self._counted_bytes = size

    def _check_all_bodies(self) -> None:
        """Check what all requests together hold; small ones are read nevertheless.

        :raises BoundPassed: they hold too much.
        """
        if self._counted_bytes <= bounds.SMALL_BYTES:
            return
        if self._table.body_bytes > self._table.all_bodies_bytes:
            message = "the requests of other callers hold the memory of this daemon; retry later"
            error = errors.NotRun(message, bounds.ROOM_RETRY_AFTER_MS)
            raise bounds.BoundPassed(bounds.Bound.ALL_BODIES, error)

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > bounds.LINGER_BYTES:
            self.cut(bounds.Bound.LINGER)

    def _drop_parser_error(self) -> None:
        """Free what an error of the library's parser refers to, such as the bytes read."""
        if self._messages and isinstance(self._messages[-1][0], web_protocol._ErrInfo):
            self._messages[-1][0].exc.with_traceback(None)
            self._is_refused = True
            self._reader.clear()

    def _has_begun_answer(self) -> bool:
        request = self._current_request
        has_written = request is not None and request.writer.output_size > 0
        return has_written or self._is_answering or self._is_answered

    def _now_ms(self) -> float:
        return self._loop.time() * 1000


def _make_refusal(error: errors.CallerError) -> bytes:
    body = error_bodies.encode_error(error, "")
    lines = [
        f"HTTP/1.1 {error.status} {http.HTTPStatus(error.status).phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if error.retry_after_ms:
        lines.append(f"Retry-After: {error.retry_after_ms / 1000:g}")
    return "\r\n".join([*lines, "", ""]).encode() + body
