"""Requests for plain services: repeatable ones are retried, all others run at most once."""

import asyncio
import dataclasses
import uuid

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import book, keys
from tanagerfork.generated import bundle
from tanagerfork.routing import service_order
from tanagerfork.timeline import kinds, ring
from tanagerfork.upstream import service as services

RETRY_MS = 1000

ServiceResult = result.Result[services.ServiceAnswer, errors.CallerError]


@dataclasses.dataclass(slots=True)
class ServiceRequest:
    """A checked request for a plain service."""

    request_id: str
    team: bundle.Team
    service: bundle.Service
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    idempotency_key: str
    timeout_ms: int


class ServiceRunner:
    """Has requests answered by plain services.

    :param order: order in which upstreams are tried.
    :param client: service client.
    :param claims: at-most-once claims.
    :param clock: clock of the deadlines.
    :param timeline: time line.
    :param metrics: counters.
    """

    __slots__ = (
        "_order",
        "_client",
        "_claims",
        "_clock",
        "_timeline",
        "_metrics",
        "_claimed_calls",
    )

    def __init__(
        self,
        order: service_order.ServiceOrder,
        client: services.ServiceClient,
        claims: book.Claims,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._order = order
        self._client = client
        self._claims = claims
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._claimed_calls: set[asyncio.Task[ServiceResult]] = set()

    @property
    def unfinished(self) -> int:
        """Claimed calls under way and outcomes not recorded yet; a planned stop waits for them."""
        return len(self._claimed_calls) + self._claims.unsettled

    def close(self) -> None:
        """Give up what is unfinished; the claims keep it from running again."""
        for call in self._claimed_calls:
            call.cancel()
        self._claims.close()

    async def run(
        self, request: ServiceRequest
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        """Have a request answered.

        :param request: request.
        :return: the service's whole answer, or why there is none and whether the request ran.
        """
        if is_repeatable(request):
            return await self._call_until_answered(request)
        if not request.idempotency_key:
            return await self._call_once(request, uuid.uuid4().hex)
        # A caller that goes away must not cut off a call that may have begun to run.
        call = asyncio.create_task(self._call_claimed(request))
        self._claimed_calls.add(call)
        call.add_done_callback(self._claimed_calls.discard)
        return await asyncio.shield(call)

    async def _call_claimed(
        self, request: ServiceRequest
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        wish = _make_wish(request)
        claimed = await self._claims.claim(wish)
        if isinstance(claimed, result.Err):
            if claimed.err_value.ran == errors.MAY_HAVE_RUN:
                self._note_doubt(request, claimed.err_value)
            return claimed
        if isinstance(claimed.ok_value, book.Outcome):
            recorded = claimed.ok_value
            self._metrics.count("claims_answered_from_record_total")
            answer = services.ServiceAnswer(recorded.status, recorded.content_type, recorded.body)
            return result.Ok(answer)
        called = await self._call_once(request, wish.attempt)
        self._claims.settle(claimed.ok_value, _to_outcome(called))
        if isinstance(called, result.Err) and called.err_value.ran == errors.MAY_HAVE_RUN:
            self._note_doubt(request, called.err_value)
        return called

    def _note_doubt(self, request: ServiceRequest, error: errors.CallerError) -> None:
        self._timeline.record(
            kinds.EventKind.CLAIM_IN_DOUBT, error.message, request=request.request_id
        )

    async def _call_until_answered(
        self, request: ServiceRequest
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        error: errors.UpstreamError | None = None
        ends_at_ms = self._clock.monotonic_ms() + request.timeout_ms
        for upstream in self._sort_upstreams(request, is_repeatable=True):
            left_ms = ends_at_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                break
            called = await self._call(upstream, request, uuid.uuid4().hex, left_ms)
            if isinstance(called, result.Ok):
                return called
            error = called.err_value
        return result.Err(_describe_failure(request, error))

    async def _call_once(
        self, request: ServiceRequest, attempt_id: str
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        error: errors.UpstreamError | None = None
        for upstream in self._sort_upstreams(request, is_repeatable=False):
            called = await self._call(upstream, request, attempt_id, request.timeout_ms)
            if isinstance(called, result.Ok):
                return called
            error = called.err_value
            if error.ran != errors.NOT_RUN:
                break
        return result.Err(_describe_failure(request, error))

    def _sort_upstreams(
        self, request: ServiceRequest, is_repeatable: bool
    ) -> list[bundle.ServiceUpstream]:
        now_ms = self._clock.monotonic_ms()
        return self._order.sort(request.service.upstreams, is_repeatable, now_ms)

    async def _call(
        self,
        upstream: bundle.ServiceUpstream,
        request: ServiceRequest,
        attempt_id: str,
        left_ms: int,
    ) -> result.Result[services.ServiceAnswer, errors.UpstreamError]:
        self._order.begin_call(upstream.name, self._clock.monotonic_ms())
        called = await self._client.call(upstream, _to_call(request, attempt_id, left_ms))
        error = called.err_value if isinstance(called, result.Err) else None
        self._order.record_result(upstream.name, error, self._clock.monotonic_ms())
        if error is not None:
            self._metrics.count("attempts_failed_total", kind=error.kind)
        return called


def is_repeatable(request: ServiceRequest) -> bool:
    """Return whether the bundle says that a request may be repeated.

    :param request: request.
    """
    return any(
        rule.method.upper() == request.method and _is_below(request.path, rule.path_prefix)
        for rule in request.service.repeatable
    )


def _is_below(path: str, prefix: str) -> bool:
    whole = prefix.strip("/")
    return not whole or path == whole or path.startswith(whole + "/")


def _make_wish(request: ServiceRequest) -> book.ClaimRequest:
    path = f"{request.service.name}/{request.path}?{request.query}"
    call_ms = min(request.timeout_ms, request.service.timeout_ms)
    return book.ClaimRequest(
        team=request.team.name,
        key=request.idempotency_key,
        request_hash=keys.hash_request(request.method, path, request.body),
        attempt=uuid.uuid4().hex,
        runs_for_ms=call_ms,
        deadline_ms=request.timeout_ms,
    )


def _to_call(request: ServiceRequest, attempt_id: str, left_ms: int) -> services.ServiceCall:
    return services.ServiceCall(
        attempt_id=attempt_id,
        request_id=request.request_id,
        method=request.method,
        path=request.path,
        query=request.query,
        content_type=request.content_type,
        body=request.body,
        timeout_ms=min(left_ms, request.service.timeout_ms),
    )


def _to_outcome(
    called: result.Result[services.ServiceAnswer, errors.CallerError],
) -> book.Outcome:
    if isinstance(called, result.Ok):
        answer = called.ok_value
        return book.Outcome("answered", answer.status, answer.content_type, answer.body)
    return book.Outcome("not_run" if called.err_value.ran == errors.NOT_RUN else "unknown")


def _describe_failure(
    request: ServiceRequest, error: errors.UpstreamError | None
) -> errors.CallerError:
    if error is None or error.ran == errors.NOT_RUN:
        message = f"no upstream of {request.service.name} took the call; send it again later"
        return errors.NotRun(message, RETRY_MS)
    message = "the call may have run; send it again under the same Idempotency-Key, or look it up"
    return errors.OutcomeUnknown(message)
