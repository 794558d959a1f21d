"""Runs requests for plain services: retries repeatable ones, runs all others at most once."""

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

RETRY_AFTER_MS = 1000

ServiceResult = result.Result[services.ServiceAnswer, errors.CallerError]


@dataclasses.dataclass(slots=True)
class ServiceRequest:
    """A validated request for a plain service."""

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
    """Runs requests on the upstreams of plain services.

    :param order: decides the order in which upstreams are tried.
    :param client: service client.
    :param claims: claims on idempotency keys, which make a call run at most once.
    :param clock: clock for deadlines.
    :param timeline: timeline that events are recorded on.
    :param metrics: metrics registry.
    """

    __slots__ = (
        "_order",
        "_client",
        "_claims",
        "_clock",
        "_timeline",
        "_metrics",
        "_claimed_call_tasks",
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
        self._claimed_call_tasks: set[asyncio.Task[ServiceResult]] = set()

    @property
    def unfinished(self) -> int:
        """Number of claimed calls and unrecorded outcomes; a graceful stop waits for zero."""
        return len(self._claimed_call_tasks) + self._claims.unsettled

    def close(self) -> None:
        """Cancel unfinished calls and close the claims; the claims prevent a second run."""
        for call_task in self._claimed_call_tasks:
            call_task.cancel()
        self._claims.close()

    async def run(
        self, request: ServiceRequest
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        """Run a request.

        :param request: request.
        :return: the service's complete answer, or the error, which tells whether the request ran.
        """
        if is_repeatable(request):
            return await self._call_with_retries(request)
        if not request.idempotency_key:
            return await self._call_once(request, uuid.uuid4().hex)
        # A disconnecting caller must not cancel a call that may already be running.
        call_task = asyncio.create_task(self._call_claimed(request))
        self._claimed_call_tasks.add(call_task)
        call_task.add_done_callback(self._claimed_call_tasks.discard)
        return await asyncio.shield(call_task)

    async def _call_claimed(
        self, request: ServiceRequest
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        claim_request = _make_claim_request(request)
        claimed = await self._claims.claim(claim_request)
        if isinstance(claimed, result.Err):
            if claimed.err_value.ran == errors.MAY_HAVE_RUN:
                self._record_unknown_outcome(request, claimed.err_value)
            return claimed
        if isinstance(claimed.ok_value, book.Outcome):
            recorded = claimed.ok_value
            self._metrics.count("claims_answered_from_record_total")
            answer = services.ServiceAnswer(recorded.status, recorded.content_type, recorded.body)
            return result.Ok(answer)
        called = await self._call_once(request, claim_request.attempt)
        self._claims.settle(claimed.ok_value, _make_claim_outcome(called))
        if isinstance(called, result.Err) and called.err_value.ran == errors.MAY_HAVE_RUN:
            self._record_unknown_outcome(request, called.err_value)
        return called

    def _record_unknown_outcome(self, request: ServiceRequest, error: errors.CallerError) -> None:
        self._timeline.record(
            kinds.EventKind.CLAIM_IN_DOUBT, error.message, request=request.request_id
        )

    async def _call_with_retries(
        self, request: ServiceRequest
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        error: errors.UpstreamError | None = None
        deadline_at_ms = self._clock.monotonic_ms() + request.timeout_ms
        for upstream in self._sort_upstreams(request, is_repeatable=True):
            left_ms = deadline_at_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                break
            called = await self._call_upstream(upstream, request, uuid.uuid4().hex, left_ms)
            if isinstance(called, result.Ok):
                return called
            error = called.err_value
        return result.Err(_make_final_error(request, error))

    async def _call_once(
        self, request: ServiceRequest, attempt_id: str
    ) -> result.Result[services.ServiceAnswer, errors.CallerError]:
        error: errors.UpstreamError | None = None
        for upstream in self._sort_upstreams(request, is_repeatable=False):
            called = await self._call_upstream(upstream, request, attempt_id, request.timeout_ms)
            if isinstance(called, result.Ok):
                return called
            error = called.err_value
            if error.ran != errors.NOT_RUN:
                break
        return result.Err(_make_final_error(request, error))

    def _sort_upstreams(
        self, request: ServiceRequest, is_repeatable: bool
    ) -> list[bundle.ServiceUpstream]:
        now_ms = self._clock.monotonic_ms()
        return self._order.sort(request.service.upstreams, is_repeatable, now_ms)

    async def _call_upstream(
        self,
        upstream: bundle.ServiceUpstream,
        request: ServiceRequest,
        attempt_id: str,
        left_ms: int,
    ) -> result.Result[services.ServiceAnswer, errors.UpstreamError]:
        self._order.begin_call(upstream.name, self._clock.monotonic_ms())
        called = await self._client.call(upstream, _make_service_call(request, attempt_id, left_ms))
        error = called.err_value if isinstance(called, result.Err) else None
        self._order.record_result(upstream.name, error, self._clock.monotonic_ms())
        if error is not None:
            self._metrics.count("attempts_failed_total", kind=error.kind)
        return called


def is_repeatable(request: ServiceRequest) -> bool:
    """Return whether the bundle declares a request repeatable.

    :param request: request.
    """
    return any(
        rule.method.upper() == request.method and _matches_prefix(request.path, rule.path_prefix)
        for rule in request.service.repeatable
    )


def _matches_prefix(path: str, prefix: str) -> bool:
    stripped = prefix.strip("/")
    return not stripped or path == stripped or path.startswith(stripped + "/")


def _make_claim_request(request: ServiceRequest) -> book.ClaimRequest:
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


def _make_service_call(
    request: ServiceRequest, attempt_id: str, left_ms: int
) -> services.ServiceCall:
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


def _make_claim_outcome(
    called: result.Result[services.ServiceAnswer, errors.CallerError],
) -> book.Outcome:
    if isinstance(called, result.Ok):
        answer = called.ok_value
        return book.Outcome("answered", answer.status, answer.content_type, answer.body)
    return book.Outcome("not_run" if called.err_value.ran == errors.NOT_RUN else "unknown")


def _make_final_error(
    request: ServiceRequest, error: errors.UpstreamError | None
) -> errors.CallerError:
    if error is None or error.ran == errors.NOT_RUN:
        message = f"no upstream of {request.service.name} accepted the call; retry later"
        return errors.NotRun(message, RETRY_AFTER_MS)
    message = "the call may have run; resend it with the same Idempotency-Key or check its effect"
    return errors.OutcomeUnknown(message)
