"""The requests that one daemon ended last, kept in memory for operators' questions."""

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
GONE = "caller_gone"

TEAM = aiohttp.web.RequestKey("team", str)
ERROR = aiohttp.web.RequestKey("error", errors.CallerError)

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]


class Journal:
    """Notes how each request ended; the oldest notes are dropped.

    :param daemon: name of the daemon.
    :param clock: clock of the durations.
    :param timeline: gives the stamps.
    :param metrics: counters.
    :param size: requests kept.
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
        """Return the notes on a request id, oldest first.

        :param request_id: id of the request.
        """
        return [trace for trace in self._traces if trace.request == request_id]

    @aiohttp.web.middleware
    async def note(
        self, request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        """Have a request served and note how it ended.

        :param request: caller's request.
        :param handler: what serves it.
        :return: the answer.
        """
        began_ms = self._clock.monotonic_ms()
        response: aiohttp.web.StreamResponse | None = None
        broken = errors.TanagerforkError.kind
        try:
            response = await handler(request)
            return response
        except (asyncio.CancelledError, ConnectionError):
            broken = GONE
            raise
        finally:
            self._keep(request, response, broken, self._clock.monotonic_ms() - began_ms)

    def _keep(
        self,
        request: aiohttp.web.Request,
        response: aiohttp.web.StreamResponse | None,
        broken: str,
        duration_ms: int,
    ) -> None:
        error = request.get(ERROR)
        team = request.get(TEAM, "")
        outcome = error.kind if error else ANSWERED
        if response is None:
            outcome = broken
        stamp = self._timeline.stamp()
        self._traces.append(
            events.RequestTrace(
                daemon=self._daemon,
                request=_find_id(request, response),
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
        ended = ANSWERED if outcome == ANSWERED else REFUSED
        if ended == REFUSED:
            self.refusals.note(team, outcome)
        self._metrics.count("requests_ended_total", team=team, outcome=ended)


def _find_id(request: aiohttp.web.Request, response: aiohttp.web.StreamResponse | None) -> str:
    if response is not None:
        return response.headers.get(REQUEST_ID_HEADER, "")
    return request.headers.get(REQUEST_ID_HEADER, "")
