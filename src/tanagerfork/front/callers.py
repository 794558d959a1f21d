"""HTTP API for callers: chat completions, the model list and plain services."""

import asyncio
import re
import urllib.parse
import uuid

import aiohttp.web
import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import decoding, errors
from tanagerfork import metrics as metric
from tanagerfork.bundles import register
from tanagerfork.front import attempts, chat, error_bodies, journal, services, sink, teams
from tanagerfork.generated import bundle, callers
from tanagerfork.generated import settings as settings_records
from tanagerfork.routing import admission
from tanagerfork.upstream import engine as engines
from tanagerfork.upstream import prefix

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
MAX_IDEMPOTENCY_KEY_CHARS = 256
SERVICE_PATH_INDEX = 3  # Index of PATH among the parts of /services/NAME/PATH.
MAX_PERCENT_DECODINGS = 3  # Nested percent-encodings undone to find dot segments.
RETRY_AFTER_MS = 2000  # Sent to callers while the daemon is full or has no bundle.


class CallersFront:
    """Validates callers' requests and passes them to the chat and service runners.

    :param bundles: holds the bundle in force.
    :param chat_runner: runner of requests for models.
    :param service_runner: runner of requests for plain services.
    :param limits: request and answer limits of the daemon.
    :param clock: clock for deadlines.
    :param metrics: metrics registry.
    """

    __slots__ = (
        "_bundles",
        "_chat_runner",
        "_service_runner",
        "_limits",
        "_clock",
        "_metrics",
        "open_requests",
        "is_accepting",
    )

    def __init__(
        self,
        bundles: register.BundleRegister,
        chat_runner: chat.ChatRunner,
        service_runner: services.ServiceRunner,
        limits: settings_records.LimitSettings,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._bundles = bundles
        self._chat_runner = chat_runner
        self._service_runner = service_runner
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self.open_requests = 0
        self.is_accepting = True

    def build_app(self) -> aiohttp.web.Application:
        """Return the application of the callers' listener."""
        app = aiohttp.web.Application(client_max_size=self._limits.request_body_bytes)
        app.router.add_post("/v1/chat/completions", self._serve_chat)
        app.router.add_get("/v1/models", self._serve_models)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._serve_service)
        return app

    async def _serve_models(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        request_id = uuid.uuid4().hex
        try:
            request_id = _parse_request_id(request, request_id)
            team = self._admit_team(request)
        except errors.CallerError as error:
            request[journal.ERROR_KEY] = error
            return self._refuse(error, request_id)
        entries = [callers.ModelEntry(id=name) for name in team.models]
        body = msgspec.json.encode(callers.ModelList(data=entries))
        headers = {REQUEST_ID_HEADER: request_id}
        return aiohttp.web.Response(body=body, content_type="application/json", headers=headers)

    async def _serve_chat(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        request_id = uuid.uuid4().hex
        response_sink: sink.ResponseSink | None = None
        self.open_requests += 1
        try:
            request_id = _parse_request_id(request, request_id)
            team = self._admit_team(request)
            deadline_at_ms = self._clock.monotonic_ms() + self._parse_timeout_ms(request)
            body = await self._read_body(request)
            chat_request, upstream_body = _parse_chat_body(body)
            call = self._make_chat_call(
                request, request_id, team, chat_request, upstream_body, deadline_at_ms
            )
            response_sink = self._open_sink(request, request_id, chat_request)
            outcome = await self._chat_runner.run(call, response_sink)
            if isinstance(outcome, result.Err):
                raise outcome.err_value
            self._metrics.count("requests_answered_total", team=team.name)
            return outcome.ok_value
        except errors.CallerError as error:
            request[journal.ERROR_KEY] = error
            if response_sink is not None and response_sink.has_begun:
                return await self._end_with_error(error, request_id, response_sink)
            return self._refuse(error, request_id)
        finally:
            if response_sink is not None:
                response_sink.close()
            self.open_requests -= 1

    def _make_chat_call(
        self,
        request: aiohttp.web.Request,
        request_id: str,
        team: bundle.Team,
        chat_request: callers.ChatRequest,
        body: bytes,
        deadline_at_ms: int,
    ) -> chat.ChatCall:
        name, _, adapter = chat_request.model.partition(":")
        in_force = self._bundles.current
        rules = in_force.bundle.priorities if in_force else []
        rank = admission.find_rank(rules, chat_request.tag)
        is_spilled = attempts.SPILL_HOP_HEADER in request.headers
        return chat.ChatCall(
            request_id=request_id,
            team=team,
            model=self._find_model(team, name, adapter),
            body=body,
            priority=max(min(chat_request.priority, team.max_priority), rank),
            deadline_at_ms=deadline_at_ms,
            adapter=adapter,
            rank=rank,
            prefixes=prefix.hash_prefixes(chat_request.messages),
            authorization=request.headers.get("Authorization", ""),
            offset=_parse_offset(request) if is_spilled else 0,
            may_spill=not is_spilled,
        )

    def _open_sink(
        self, request: aiohttp.web.Request, request_id: str, chat_request: callers.ChatRequest
    ) -> sink.ResponseSink:
        headers = {REQUEST_ID_HEADER: request_id}
        if chat_request.stream:
            if attempts.SPILL_HOP_HEADER in request.headers:
                headers[engines.ATTEMPT_HEADER] = request_id
            return sink.StreamSink(request, headers, self._limits.write_stall_ms)
        return sink.BufferedSink(
            request_id, chat_request.model, headers, self._limits.answer_body_bytes
        )

    async def _serve_service(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        request_id = uuid.uuid4().hex
        self.open_requests += 1
        try:
            request_id = _parse_request_id(request, request_id)
            team = self._admit_team(request)
            service = self._find_service(team, request.match_info["service"])
            body = await self._read_body(request)
            service_request = services.ServiceRequest(
                request_id=request_id,
                team=team,
                service=service,
                method=request.method,
                path=_parse_service_path(request),
                query=request.rel_url.raw_query_string,
                content_type=request.headers.get("Content-Type", ""),
                body=body,
                idempotency_key=_parse_idempotency_key(request),
                timeout_ms=self._parse_timeout_ms(request),
            )
            outcome = await self._service_runner.run(service_request)
            if isinstance(outcome, result.Err):
                raise outcome.err_value
            self._metrics.count("requests_answered_total", team=team.name)
            return aiohttp.web.Response(
                status=outcome.ok_value.status,
                body=outcome.ok_value.body,
                headers={
                    REQUEST_ID_HEADER: request_id,
                    "Content-Type": outcome.ok_value.content_type,
                },
            )
        except errors.CallerError as error:
            request[journal.ERROR_KEY] = error
            return self._refuse(error, request_id)
        finally:
            self.open_requests -= 1

    def _admit_team(self, request: aiohttp.web.Request) -> bundle.Team:
        if not self.is_accepting:
            raise errors.NotRun("this daemon is stopping; send the request again", 1)
        if self.open_requests > self._limits.open_requests:
            raise errors.NotRun(
                "this daemon is at its limit of open requests; retry later",
                RETRY_AFTER_MS,
            )
        if self._bundles.current is None:
            raise errors.NotRun("no bundle is in force yet; retry later", RETRY_AFTER_MS)
        authorization = request.headers.get("Authorization", "")
        found = teams.find_team(self._bundles.current.bundle, authorization)
        if isinstance(found, result.Err):
            raise found.err_value
        request[journal.TEAM_KEY] = found.ok_value.name
        return found.ok_value

    def _find_model(self, team: bundle.Team, name: str, adapter: str) -> bundle.Model:
        in_force = self._bundles.current
        models = in_force.bundle.models if in_force else []
        found = next((model for model in models if model.name == name), None)
        if found is None:
            raise errors.NotFound(f"no model {name!r}; see GET /v1/models")
        if name not in team.models:
            raise errors.Forbidden(f"team {team.name} may not use {name!r}; ask your operator")
        if adapter and adapter not in found.adapters:
            raise errors.NotFound(f"model {name!r} has no adapter {adapter!r}; leave it out")
        return found

    def _find_service(self, team: bundle.Team, name: str) -> bundle.Service:
        in_force = self._bundles.current
        known = in_force.bundle.services if in_force else []
        found = next((service for service in known if service.name == name), None)
        if found is None:
            raise errors.NotFound(f"no service {name!r}; ask your operator for its name")
        if name not in team.services:
            raise errors.Forbidden(f"team {team.name} may not use {name!r}; ask your operator")
        return found

    async def _read_body(self, request: aiohttp.web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._limits.request_read_ms / 1000):
                return await request.read()
        except TimeoutError as error:
            raise errors.RequestTooSlow(
                "the body did not arrive in time; send the request faster"
            ) from error
        except aiohttp.web.HTTPRequestEntityTooLarge as error:
            limit = self._limits.request_body_bytes
            raise errors.BodyTooLarge(f"the body exceeds {limit} bytes; shorten it") from error

    def _parse_timeout_ms(self, request: aiohttp.web.Request) -> int:
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return self._limits.default_deadline_ms
        if (
            not (text.isascii() and text.isdigit())
            or not 0 < int(text) <= self._limits.max_deadline_ms
        ):
            limit = self._limits.max_deadline_ms
            raise errors.BadRequest(f"{DEADLINE_HEADER} must be 1 to {limit} milliseconds")
        return int(text)

    def _refuse(self, error: errors.CallerError, request_id: str) -> aiohttp.web.Response:
        self._metrics.count("requests_refused_total", kind=error.kind)
        headers = {REQUEST_ID_HEADER: request_id, engines.ATTEMPT_HEADER: request_id}
        if error.ran == errors.NOT_RUN:
            headers[engines.NOT_RUN_HEADER] = "1"
        if error.retry_after_ms:
            headers["Retry-After"] = str(-(-error.retry_after_ms // 1000))
        return aiohttp.web.Response(
            status=error.status,
            body=error_bodies.encode_error(error, request_id),
            content_type="application/json",
            headers=headers,
        )

    async def _end_with_error(
        self, error: errors.CallerError, request_id: str, response_sink: sink.ResponseSink
    ) -> aiohttp.web.StreamResponse:
        self._metrics.count("answers_cut_total", kind=error.kind)
        event = b"event: error\ndata: " + error_bodies.encode_error(error, request_id) + b"\n\n"
        return await response_sink.end_with_error(event)


def _parse_request_id(request: aiohttp.web.Request, generated_id: str) -> str:
    given_id = request.headers.get(REQUEST_ID_HEADER)
    if given_id is None:
        return generated_id
    if not REQUEST_ID_PATTERN.fullmatch(given_id):
        raise errors.BadRequest(f"{REQUEST_ID_HEADER} must be 1 to 64 of A-Z a-z 0-9 . _ -")
    return given_id


def _parse_offset(request: aiohttp.web.Request) -> int:
    text = request.headers.get(engines.OFFSET_HEADER, "0")
    if not text.isdigit():
        raise errors.BadRequest(f"{engines.OFFSET_HEADER} must be a number of tokens")
    return int(text)


def _parse_service_path(request: aiohttp.web.Request) -> str:
    """Return the service path as it was sent; the bundle's rules are matched against these bytes.

    Dot segments are rejected: an upstream or proxy would resolve them, so that a call could match
    the rule of a repeatable path and reach another one.
    """
    path = request.rel_url.raw_path.split("/", SERVICE_PATH_INDEX)[SERVICE_PATH_INDEX]
    decoded = path
    for _ in range(MAX_PERCENT_DECODINGS):
        decoded = urllib.parse.unquote(decoded)
    if any(segment in (".", "..") for segment in re.split(r"[/\\]", decoded)):
        raise errors.BadRequest("the path has a '.' or '..' segment; send the resolved path")
    return path


def _parse_idempotency_key(request: aiohttp.web.Request) -> str:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise errors.BadRequest(
            f"{IDEMPOTENCY_KEY_HEADER} exceeds {MAX_IDEMPOTENCY_KEY_CHARS} characters; shorten it"
        )
    return key


def _parse_chat_body(body: bytes) -> tuple[callers.ChatRequest, bytes]:
    try:
        chat_request = decoding.decode_json(body, callers.ChatRequest)
        fields = decoding.decode_json(body, dict[str, msgspec.Raw])
    except msgspec.MsgspecError as error:
        raise errors.BadRequest(f"invalid chat request: {error}; correct the body") from error
    fields["stream"] = msgspec.Raw(b"true")
    return chat_request, msgspec.json.encode(fields)
