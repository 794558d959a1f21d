"""In-memory traces of the requests that a daemon finished last, for lookups by operators."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.generated import events
from tanagerfork.timeline import refusals, ring

KEPT_REQUESTS = 2048
MAX_PATH_CHARS = 200
REQUEST_ID_HEADER = "X-Request-Id"
ANSWERED = "answered"
REFUSED = "refused"
CALLER_GONE = "caller_gone"

TEAM_KEY = aiohttp.web.RequestKey("team", str)
ERROR_KEY = aiohttp.web.RequestKey("error", errors.CallerError)

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]


class Journal:
    """Keeps a trace of how each request ended; drops the oldest traces beyond a fixed number.

    :param daemon: name of the daemon.
    :param clock: clock for durations.
    :param timeline: supplies the timestamps.
    :param metrics: metrics registry.
    :param size: number of traces kept.
    """

    __slots__ = ("refusals", "_daemon", "_clock", "_timeline", "_metrics", "_traces")

    def __init__(
        self,
        daemon: str,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
        size: int = KEPT_REQUESTS,
    ) -> None:
        self.refusals = refusals.RefusalCounter(timeline)
        self._daemon = daemon
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._traces: collections.deque[events.RequestTrace] = collections.deque(maxlen=size)

    def find(self, request_id: str) -> list[events.RequestTrace]:
        """Return the traces of a request id, oldest first.

        :param request_id: id of the request.
        """
        return [trace for trace in self._traces if trace.request == request_id]

    @aiohttp.web.middleware
    async def note(
        self, request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        """Pass a request to its handler and record how it ended.

        :param request: caller's request.
        :param handler: next handler.
        :return: the handler's response.
        """
        began_ms = self._clock.monotonic_ms()
        response: aiohttp.web.StreamResponse | None = None
        outcome_without_response = errors.TanagerforkError.kind
        try:
            response = await handler(request)
            return response
        except (asyncio.CancelledError, ConnectionError):
            outcome_without_response = CALLER_GONE
            raise
        finally:
            self._add_trace(
                request, response, outcome_without_response, self._clock.monotonic_ms() - began_ms
            )

    def _add_trace(
        self,
        request: aiohttp.web.Request,
        response: aiohttp.web.StreamResponse | None,
        outcome_without_response: str,
        duration_ms: int,
    ) -> None:
        error = request.get(ERROR_KEY)
        team = request.get(TEAM_KEY, "")
        outcome = error.kind if error else ANSWERED
        if response is None:
            outcome = outcome_without_response
        stamp = self._timeline.stamp()
        self._traces.append(
            events.RequestTrace(
                daemon=self._daemon,
                request=_find_request_id(request, response),
                wall_ms=stamp.wall_ms,
                counter=stamp.counter,
                duration_ms=duration_ms,
                method=request.method,
                path=request.path[:MAX_PATH_CHARS],
                team=team,
                status=response.status if response is not None else 0,
                outcome=outcome,
                detail=error.message if error else "",
            )
        )
        outcome_label = ANSWERED if outcome == ANSWERED else REFUSED
        if outcome_label == REFUSED:
            self.refusals.note(team, outcome)
        self._metrics.count("requests_ended_total", team=team, outcome=outcome_label)


def _find_request_id(
    request: aiohttp.web.Request, response: aiohttp.web.StreamResponse | None
) -> str:
    if response is not None:
        return response.headers.get(REQUEST_ID_HEADER, "")
    return request.headers.get(REQUEST_ID_HEADER, "")
