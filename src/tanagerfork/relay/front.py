"""The callers' HTTP application, and the applications for readiness probes and metrics."""

import asyncio
import contextlib

import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.front import error_bodies
from tanagerfork.relay import (
    attempts,
    calls,
    choosing,
    disconnects,
    exchange,
    forwarding,
    memory,
    time_limits,
)
from tanagerfork.upstream import connections

LOGGER = "relay.front"
STOPPING_RETRY_AFTER_MS = 10  # Another daemon can take the request at once.
LAST_ANSWERS_MS = 100  # To write the answers of requests that are ended early.
LAST_ANSWERS_CHECK_MS = 5
JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class WebSink:
    """Sends a response to a caller; see `progress.Sink`.

    :param request: request of the HTTP library.
    :param closes_connection: whether to close the connection after the response.
    :param account: memory that exchanges hold.

    `extra_headers` are added to the headers of the response.
    """

    __slots__ = (
        "_request",
        "_response",
        "_closes_connection",
        "_account",
        "_buffer_bytes",
        "written_bytes",
        "extra_headers",
        "has_started",
        "is_complete",
        "was_cut",
        "status",
    )

    def __init__(
        self,
        request: aiohttp.web.Request,
        closes_connection: bool,
        account: memory.MemoryAccount,
    ) -> None:
        self._request = request
        self._closes_connection = closes_connection
        self._account = account
        self._buffer_bytes = -1  # Not set on the connection yet.
        self.written_bytes = 0
        self.extra_headers: calls.Headers = []
        self._response: aiohttp.web.StreamResponse | None = None
        self.has_started = False
        self.is_complete = False
        self.was_cut = False
        self.status = 0

    @property
    def response(self) -> aiohttp.web.StreamResponse:
        """The response that was started.

        :raises InternalFailure: no response was started.
        """
        if self._response is None:
            raise errors.InternalFailure(
                "no response was produced; report the request id to your operator"
            )
        return self._response

    async def start_stream(self, status: int, headers: calls.Headers) -> None:
        """Send the status and headers of a stream; see `progress.Sink.start_stream`."""
        self.has_started = True
        await self._prepare(aiohttp.web.StreamResponse(status=status), headers)

    async def send(self, data: bytes) -> None:
        """Send part of a stream; see `progress.Sink.send`."""
        await self._write(data)

    async def finish_stream(self) -> None:
        """End a complete stream; see `progress.Sink.finish_stream`."""
        self.is_complete = True
        await self.response.write_eof()

    async def send_response(self, status: int, headers: calls.Headers, body: bytes) -> None:
        """Send a complete response; see `progress.Sink.send_response`."""
        self.has_started = self.is_complete = True
        if len(body) <= memory.BUFFER_BYTES:
            await self._prepare(aiohttp.web.Response(status=status, body=body), headers)
        else:  # The library would copy a long body into the write buffer at once.
            response = aiohttp.web.StreamResponse(status=status)
            response.content_length = len(body)
            await self._prepare(response, headers)
            for part in exchange.slice_body(body):
                await self._write(part)
        await self.response.write_eof()

    def measure_unread_bytes(self) -> int:
        """Return how many bytes the caller has not taken yet; see `memory.Reader`."""
        transport = self._request.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    async def _write(self, data: bytes | memoryview) -> None:
        """Write a part, and wait while the caller is behind by more than the account allows."""
        transport = self._request.transport
        if self._account.is_bounded and transport is not None:
            buffer_bytes = self._account.write_buffer_bytes
            if buffer_bytes != self._buffer_bytes:
                transport.set_write_buffer_limits(high=buffer_bytes)
                self._buffer_bytes = buffer_bytes
        size = len(data)
        self.written_bytes += size
        await self.response.write(data)
        if self._account.is_bounded:
            await self._request.writer.drain()  # The library waits only after some more.

    def abort(self) -> None:
        """Abort the connection; see `progress.Sink.abort`."""
        self.was_cut = True
        transport = self._request.transport
        if transport is None:
            return
        if self._response is not None and _ends_with_connection(self._response):
            connections.reset_on_close(transport)  # A close would look like the end of the stream.
        transport.abort()

    async def _prepare(self, response: aiohttp.web.StreamResponse, headers: calls.Headers) -> None:
        self.status = response.status
        response.headers.pop("Content-Type", None)
        for name, value in (*headers, *self.extra_headers):
            response.headers.add(name, value)
        if self._closes_connection:
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class Front:
    """Serves callers' requests.

    :param relay: relays requests to upstreams.
    :param dialect: reads and writes the platform's headers.
    :param clock: clock of arrival times.
    :param log: decision log.
    :param metrics: counters.
    :param account: memory that exchanges hold.
    """

    __slots__ = (
        "_account",
        "_relay",
        "_dialect",
        "_clock",
        "_log",
        "_metrics",
        "_time_limits",
        "open_requests",
        "is_draining",
        "is_rejecting",
        "has_served",
    )

    def __init__(
        self,
        relay: attempts.Relay,
        dialect: calls.Dialect,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        account: memory.MemoryAccount,
    ) -> None:
        self._account = account
        self._relay = relay
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._time_limits = time_limits.TimeLimits()
        self.open_requests = 0
        self.is_draining = False
        self.is_rejecting = False
        self.has_served = False

    def build_app(self) -> aiohttp.web.Application:
        """Return the application of the callers' listener, which bounds the bodies."""
        app = aiohttp.web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app

    def build_forwarding_app(self) -> aiohttp.web.Application:
        """Return the application for requests that other daemons hand over."""
        app = aiohttp.web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self.handle_forwarded)
        return app

    async def end_waiting(self) -> None:
        """Answer all open requests and cut the streams that have begun, as at their deadlines."""
        self.is_rejecting = True
        self._time_limits.end_early()
        began_ms = self._clock.monotonic_ms()
        while self._time_limits.has_waiting and (
            self._clock.monotonic_ms() - began_ms < LAST_ANSWERS_MS
        ):
            await self._clock.sleep_ms(LAST_ANSWERS_CHECK_MS)

    async def handle(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Serve one request of a caller.

        :param request: request of the HTTP library.
        :return: the response, which has been sent.
        """
        return await self._serve(request, is_forwarded=False)

    async def handle_forwarded(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Serve one request that another daemon hands over.

        :param request: request of the HTTP library.
        :return: the response, which has been sent.
        """
        return await self._serve(request, is_forwarded=True)

    async def _serve(
        self, request: aiohttp.web.Request, is_forwarded: bool
    ) -> aiohttp.web.StreamResponse:
        self.open_requests += 1
        self.has_served = True
        sink = WebSink(request, self.is_draining, self._account)
        holding = self._account.open(sink)
        time_limit = self._time_limits.open(lambda: sink.is_complete)
        arrived_at_ms = self._clock.monotonic_ms()
        facts: calls.CallerFacts | None = None
        outcome = "caller left"
        try:
            facts = self._dialect.read_request(request.headers)
            handover = forwarding.read_handover(request.headers) if is_forwarded else None
            self._check_stopping(is_forwarded)
            holding.request_id = facts.request_id
            holding.grow_head(memory.estimate_head_bytes(list(request.headers.items())))
            self._check_memory(request, facts, is_forwarded)
            caller_request = await self._read_request(
                request, facts, arrived_at_ms, holding, time_limit, is_forwarded
            )
            self._check_stopping(is_forwarded)  # The body may have taken long.
            disconnects.check_caller(request)
            if handover is not None:
                caller_request.handover = handover
                caller_request.headers = forwarding.drop_headers(caller_request.headers)
                version = str(self._relay.rules_version)
                sink.extra_headers.append((forwarding.RULES_VERSION, version))
            await self._relay.serve(caller_request, sink)
            outcome = "cut" if sink.was_cut else "answered"
        except errors.CallerError as error:
            outcome = error.kind
            if sink.has_started:  # An error response would stand in the middle of the other one.
                outcome = "cut"
                sink.abort()
                return sink.response
            with contextlib.suppress(ConnectionError):  # The caller has disconnected.
                await self._send_error(sink, facts, error)
        except (ConnectionError, asyncio.CancelledError):
            outcome = "cut" if sink.was_cut else outcome
            raise  # The caller has disconnected, so no response is sent.
        finally:
            self.open_requests -= 1
            self._account.close(holding)
            self._time_limits.close(time_limit)
            self._record_end(request, facts, outcome, sink.status, arrived_at_ms)
        return sink.response

    def _check_stopping(self, is_forwarded: bool) -> None:
        """Check that a request may be sent on.

        :raises NotRun: it might outlast the grace period.
        """
        if self.is_rejecting:
            kind = errors.NotTakenOver if is_forwarded else errors.NotRun
            raise kind("the daemon is stopping; send the request again", STOPPING_RETRY_AFTER_MS)

    def _check_memory(
        self, request: aiohttp.web.Request, facts: calls.CallerFacts, is_forwarded: bool
    ) -> None:
        """Check that the body of a request may be read.

        :raises NotRun: slow readers hold too much memory.
        """
        if self._account.is_refusing(request.content_length or 0):
            raise self._make_memory_refusal(facts, is_forwarded)

    def _make_memory_refusal(self, facts: calls.CallerFacts, is_forwarded: bool) -> errors.NotRun:
        self._metrics.count("relay_memory_refusals_total")
        kind = errors.NotTakenOver if is_forwarded else errors.NotRun
        longest_ms = facts.deadline_ms * choosing.MAX_RETRY_AFTER_SHARE
        return kind(
            "slow readers hold the memory of this daemon; retry later or at another daemon",
            round(max(1.0, min(memory.RETRY_AFTER_MS, longest_ms))),
        )

    async def _read_request(
        self,
        request: aiohttp.web.Request,
        facts: calls.CallerFacts,
        arrived_at_ms: int,
        holding: memory.Holding,
        time_limit: time_limits.TimeLimit,
        is_forwarded: bool,
    ) -> calls.CallerRequest:
        target = request.raw_path
        if not target.startswith("/"):
            raise errors.BadRequest(
                "the request target is not a path; send a path that starts with /"
            )
        try:
            async with time_limit.limit(facts.deadline_ms):
                body = await self._read_body(request, facts, holding, is_forwarded)
        except TimeoutError as error:
            self._check_stopping(is_forwarded)
            raise errors.RequestTooSlow(
                "the body was not complete by the deadline; send it faster"
            ) from error
        return calls.CallerRequest(
            facts=facts,
            method=request.method,
            target=target,
            host=request.host.partition(":")[0],
            headers=list(request.headers.items()),
            body=body,
            arrived_at_ms=arrived_at_ms,
            holding=holding,
            time_limit=time_limit,
        )

    async def _read_body(
        self,
        request: aiohttp.web.Request,
        facts: calls.CallerFacts,
        holding: memory.Holding,
        is_forwarded: bool,
    ) -> bytes:
        """Return the body of a request; where memory is bounded, count it as it is read.

        :raises NotRun: slow readers hold too much memory.
        """
        if not self._account.is_bounded:
            return await request.read()
        parts = []
        async for part in request.content.iter_any():
            parts.append(part)
            holding.grow_request(len(part))
            if holding.is_refused:
                raise self._make_memory_refusal(facts, is_forwarded)
        return b"".join(parts)

    async def _send_error(
        self, sink: WebSink, facts: calls.CallerFacts | None, error: errors.CallerError
    ) -> None:
        request_id = facts.request_id if facts else ""
        headers = self._dialect.make_error_headers(request_id, error.retry_after_ms)
        headers.append(JSON_CONTENT_TYPE)
        if isinstance(error, errors.NotTakenOver):
            headers.append((forwarding.UNAVAILABLE, "1"))
        await sink.send_response(
            error.status, headers, error_bodies.encode_error(error, request_id)
        )

    def _record_end(
        self,
        request: aiohttp.web.Request,
        facts: calls.CallerFacts | None,
        outcome: str,
        status: int,
        arrived_at_ms: int,
    ) -> None:
        took_ms = self._clock.monotonic_ms() - arrived_at_ms
        self._metrics.count("relay_requests_total", outcome=outcome.replace(" ", "_"))
        self._metrics.observe_ms("relay_request_seconds", took_ms)
        self._log.note(
            LOGGER,
            "end",
            request_id=facts.request_id if facts else "",
            method=request.method,
            target=request.raw_path[:200],
            outcome=outcome,
            status=status,
            took_ms=took_ms,
            is_stopping=self.is_draining,
        )


def _ends_with_connection(response: aiohttp.web.StreamResponse) -> bool:
    """Return whether only the close of the connection marks the end of a response."""
    return not response.chunked and response.content_length is None


def build_readiness_app(is_ready: "asyncio.Event") -> aiohttp.web.Application:
    """Return the application for the balancer's readiness probes.

    :param is_ready: set while the daemon is ready.
    """

    async def respond(request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(status=200 if is_ready.is_set() else 503)

    app = aiohttp.web.Application()
    app.router.add_get("/{path:.*}", respond)
    return app


def build_metrics_app(metrics: metric.Metrics) -> aiohttp.web.Application:
    """Return the application that serves the metrics as text.

    :param metrics: counters and histograms.
    """

    async def respond(request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(text=metrics.render())

    app = aiohttp.web.Application()
    app.router.add_get("/metrics", respond)
    return app
