"""The callers' HTTP application, and the applications for readiness probes and metrics."""

import asyncio
import contextlib

import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.front import error_bodies
from tanagerfork.relay import attempts, calls, forwarding

LOGGER = "relay.front"
STOPPING_RETRY_AFTER_MS = 10  # Another daemon can take the request at once.
JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class WebSink:
    """Sends a response to a caller; see `progress.Sink`.

    :param request: request of the HTTP library.
    :param closes_connection: whether to close the connection after the response.

    `extra_headers` are added to the headers of the response.
    """

    __slots__ = (
        "_request",
        "_response",
        "_closes_connection",
        "extra_headers",
        "has_started",
        "was_cut",
        "status",
    )

    def __init__(self, request: aiohttp.web.Request, closes_connection: bool) -> None:
        self._request = request
        self._closes_connection = closes_connection
        self.extra_headers: calls.Headers = []
        self._response: aiohttp.web.StreamResponse | None = None
        self.has_started = False
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
        await self.response.write(data)

    async def finish_stream(self) -> None:
        """End a complete stream; see `progress.Sink.finish_stream`."""
        await self.response.write_eof()

    async def send_response(self, status: int, headers: calls.Headers, body: bytes) -> None:
        """Send a complete response; see `progress.Sink.send_response`."""
        self.has_started = True
        await self._prepare(aiohttp.web.Response(status=status, body=body), headers)
        await self.response.write_eof()

    def abort(self) -> None:
        """Abort the connection; see `progress.Sink.abort`."""
        self.was_cut = True
        if self._request.transport is not None:
            self._request.transport.abort()

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
    """

    __slots__ = (
        "_relay",
        "_dialect",
        "_clock",
        "_log",
        "_metrics",
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
    ) -> None:
        self._relay = relay
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.open_requests = 0
        self.is_draining = False
        self.is_rejecting = False
        self.has_served = False

    def build_app(self, body_limit_bytes: int) -> aiohttp.web.Application:
        """Return the application of the callers' listener.

        :param body_limit_bytes: largest accepted body.
        """
        app = aiohttp.web.Application(client_max_size=body_limit_bytes)
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app

    def build_forwarding_app(self, body_limit_bytes: int) -> aiohttp.web.Application:
        """Return the application for requests that other daemons hand over.

        :param body_limit_bytes: largest accepted body.
        """
        app = aiohttp.web.Application(client_max_size=body_limit_bytes)
        app.router.add_route("*", "/{path:.*}", self.handle_forwarded)
        return app

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
        sink = WebSink(request, self.is_draining)
        arrived_at_ms = self._clock.monotonic_ms()
        facts: calls.CallerFacts | None = None
        outcome = "caller left"
        try:
            facts = self._dialect.read_request(request.headers)
            handover = forwarding.read_handover(request.headers) if is_forwarded else None
            if self.is_rejecting:
                kind = errors.NotTakenOver if is_forwarded else errors.NotRun
                raise kind(
                    "the daemon is stopping; send the request again", STOPPING_RETRY_AFTER_MS
                )
            caller_request = await self._read_request(request, facts, arrived_at_ms)
            if handover is not None:
                caller_request.handover = handover
                caller_request.headers = forwarding.drop_headers(caller_request.headers)
                version = str(self._relay.rules_version)
                sink.extra_headers.append((forwarding.RULES_VERSION, version))
            await self._relay.serve(caller_request, sink)
            outcome = "cut" if sink.was_cut else "answered"
        except errors.CallerError as error:
            outcome = error.kind
            with contextlib.suppress(ConnectionError):  # The caller has disconnected.
                await self._send_error(sink, facts, error)
        except (ConnectionError, asyncio.CancelledError):
            raise  # The caller has disconnected, so no response is sent.
        finally:
            self.open_requests -= 1
            self._record_end(request, facts, outcome, sink.status, arrived_at_ms)
        return sink.response

    async def _read_request(
        self, request: aiohttp.web.Request, facts: calls.CallerFacts, arrived_at_ms: int
    ) -> calls.CallerRequest:
        target = request.raw_path
        if not target.startswith("/"):
            raise errors.BadRequest(
                "the request target is not a path; send a path that starts with /"
            )
        try:
            body = await request.read()
        except aiohttp.web.HTTPRequestEntityTooLarge as error:
            raise errors.BodyTooLarge(
                "the request body exceeds the limit; send a shorter one"
            ) from error
        return calls.CallerRequest(
            facts=facts,
            method=request.method,
            target=target,
            host=request.host.partition(":")[0],
            headers=list(request.headers.items()),
            body=body,
            arrived_at_ms=arrived_at_ms,
        )

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
        )


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
