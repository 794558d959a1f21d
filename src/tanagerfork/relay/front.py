"""Front: the callers' listener, which takes any request and passes on whatever answer it gets."""

import asyncio
import contextlib

import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.front import error_bodies
from tanagerfork.relay import attempts, calls

LOGGER = "relay.front"
STOPPING_RETRY_MS = 10  # Another daemon takes the request at once.
JSON_TYPE = ("Content-Type", "application/json")


class WebSink:
    """Sends an answer to a caller; see `progress.Sink`.

    :param request: request of the HTTP library.
    :param closes: whether the connection ends after the answer.
    """

    __slots__ = ("_request", "_response", "_closes", "has_begun", "was_cut", "status")

    def __init__(self, request: aiohttp.web.Request, closes: bool) -> None:
        self._request = request
        self._closes = closes
        self._response: aiohttp.web.StreamResponse | None = None
        self.has_begun = False
        self.was_cut = False
        self.status = 0

    @property
    def response(self) -> aiohttp.web.StreamResponse:
        """The answer that was sent.

        :raises InternalFailure: there is none.
        """
        if self._response is None:
            raise errors.InternalFailure("no answer was made; tell your operator the request id")
        return self._response

    async def begin(self, status: int, headers: calls.Headers) -> None:
        """Send the head of a stream; see `progress.Sink.begin`."""
        self.has_begun = True
        await self._prepare(aiohttp.web.StreamResponse(status=status), headers)

    async def send(self, data: bytes) -> None:
        """Send part of a stream; see `progress.Sink.send`."""
        await self.response.write(data)

    async def finish(self) -> None:
        """End a stream as complete; see `progress.Sink.finish`."""
        await self.response.write_eof()

    async def answer(self, status: int, headers: calls.Headers, body: bytes) -> None:
        """Send a whole answer; see `progress.Sink.answer`."""
        self.has_begun = True
        await self._prepare(aiohttp.web.Response(status=status, body=body), headers)
        await self.response.write_eof()

    def cut(self) -> None:
        """End the connection at once; see `progress.Sink.cut`."""
        self.was_cut = True
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _prepare(self, response: aiohttp.web.StreamResponse, headers: calls.Headers) -> None:
        self.status = response.status
        response.headers.pop("Content-Type", None)
        for name, value in headers:
            response.headers.add(name, value)
        if self._closes:
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class Front:
    """Answers callers.

    :param relay: has requests answered.
    :param dialect: headers of the platform.
    :param clock: clock of the arrivals.
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
        "is_closed",
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
        self.is_closed = False
        self.has_served = False

    def build_app(self, body_limit_bytes: int) -> aiohttp.web.Application:
        """Return the application of the callers' listener.

        :param body_limit_bytes: largest body that is read.
        """
        app = aiohttp.web.Application(client_max_size=body_limit_bytes)
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app

    async def handle(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Answer one request.

        :param request: request of the HTTP library.
        :return: the answer, which has been sent.
        """
        self.open_requests += 1
        self.has_served = True
        sink = WebSink(request, self.is_draining)
        arrived_at_ms = self._clock.monotonic_ms()
        facts: calls.CallerFacts | None = None
        outcome = "caller left"
        try:
            facts = self._dialect.read_request(request.headers)
            if self.is_closed:
                raise errors.NotRun("the daemon is stopping; send it again", STOPPING_RETRY_MS)
            asked = await self._read(request, facts, arrived_at_ms)
            await self._relay.serve(asked, sink)
            outcome = "cut" if sink.was_cut else "answered"
        except errors.CallerError as error:
            outcome = error.kind
            with contextlib.suppress(ConnectionError):  # The caller has left meanwhile.
                await self._refuse(sink, facts, error)
        except (ConnectionError, asyncio.CancelledError):
            raise  # The caller is gone; there is no one to answer.
        finally:
            self.open_requests -= 1
            self._note_end(request, facts, outcome, sink.status, arrived_at_ms)
        return sink.response

    async def _read(
        self, request: aiohttp.web.Request, facts: calls.CallerFacts, arrived_at_ms: int
    ) -> calls.CallerRequest:
        target = request.raw_path
        if not target.startswith("/"):
            raise errors.BadRequest("the target of the request is no path; send a path")
        try:
            body = await request.read()
        except aiohttp.web.HTTPRequestEntityTooLarge as error:
            raise errors.BodyTooLarge("the body exceeds the limit; shorten it") from error
        return calls.CallerRequest(
            facts=facts,
            method=request.method,
            target=target,
            host=request.host.partition(":")[0],
            headers=list(request.headers.items()),
            body=body,
            arrived_at_ms=arrived_at_ms,
        )

    async def _refuse(
        self, sink: WebSink, facts: calls.CallerFacts | None, error: errors.CallerError
    ) -> None:
        request_id = facts.request_id if facts else ""
        headers = self._dialect.refuse_headers(request_id, error.retry_after_ms)
        headers.append(JSON_TYPE)
        await sink.answer(error.status, headers, error_bodies.encode_error(error, request_id))

    def _note_end(
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
    """Return the application that the balancer asks whether the daemon is ready.

    :param is_ready: set while it is.
    """

    async def answer(request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(status=200 if is_ready.is_set() else 503)

    app = aiohttp.web.Application()
    app.router.add_get("/{path:.*}", answer)
    return app


def build_metrics_app(metrics: metric.Metrics) -> aiohttp.web.Application:
    """Return the application that serves counters and histograms as text.

    :param metrics: counters and histograms.
    """

    async def answer(request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(text=metrics.render())

    app = aiohttp.web.Application()
    app.router.add_get("/metrics", answer)
    return app
