"""The callers' listener."""

import asyncio
import re
import urllib.parse
import uuid

import aiohttp.web
import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.bundles import register
from tanagerfork.front import attempts, chat, error_bodies, journal, services, sink, teams
from tanagerfork.generated import bundle, callers
from tanagerfork.generated import settings as settings_records
from tanagerfork.routing import admission
from tanagerfork.upstream import engine as engines
from tanagerfork.upstream import prefix

REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"
REQUEST_ID_FORM = re.compile(r"[A-Za-z0-9._-]{1,64}")
MAX_KEY_CHARS = 256
SERVICE_PATH_PARTS = 3  # Slashes before the path in /services/NAME/PATH.
MAX_ENCODINGS = 3  # Percent encodings that are looked through.
NO_BUNDLE_RETRY_MS = 2000


class CallersFront:
    """Checks callers' requests and has them answered.

    :param bundles: bundle in force.
    :param chats: runner of requests for models.
    :param plain_services: runner of requests for plain services.
    :param limits: bounds of the daemon.
    :param clock: clock of the deadlines.
    :param metrics: counters.
    """

    __slots__ = (
        "_bundles",
        "_chats",
        "_services",
        "_limits",
        "_clock",
        "_metrics",
        "open_requests",
        "is_accepting",
    )

    def __init__(
        self,
        bundles: register.BundleRegister,
        chats: chat.ChatRunner,
        plain_services: services.ServiceRunner,
        limits: settings_records.LimitSettings,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._bundles = bundles
        self._chats = chats
        self._services = plain_services
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
            request_id = _take_request_id(request, request_id)
            team = self._find_team(request)
        except errors.CallerError as error:
            request[journal.ERROR] = error
            return self._refuse(error, request_id)
        entries = [callers.ModelEntry(id=name) for name in team.models]
        body = msgspec.json.encode(callers.ModelList(data=entries))
        headers = {REQUEST_ID_HEADER: request_id}
        return aiohttp.web.Response(body=body, content_type="application/json", headers=headers)

    async def _serve_chat(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        request_id = uuid.uuid4().hex
        answer: sink.ResponseSink | None = None
        self.open_requests += 1
        try:
            request_id = _take_request_id(request, request_id)
            team = self._find_team(request)
            deadline_at_ms = self._clock.monotonic_ms() + self._take_deadline(request)
            body = await self._read_body(request)
            asked, forwarded = _read_chat(body)
            call = self._make_call(request, request_id, team, asked, forwarded, deadline_at_ms)
            answer = self._open_sink(request, request_id, asked)
            ran = await self._chats.run(call, answer)
            if isinstance(ran, result.Err):
                raise ran.err_value
            self._metrics.count("requests_answered_total", team=team.name)
            return ran.ok_value
        except errors.CallerError as error:
            request[journal.ERROR] = error
            if answer is not None and answer.has_begun:
                return await self._cut(error, request_id, answer)
            return self._refuse(error, request_id)
        finally:
            if answer is not None:
                answer.close()
            self.open_requests -= 1

    def _make_call(
        self,
        request: aiohttp.web.Request,
        request_id: str,
        team: bundle.Team,
        asked: callers.ChatRequest,
        body: bytes,
        deadline_at_ms: int,
    ) -> chat.ChatCall:
        name, _, adapter = asked.model.partition(":")
        in_force = self._bundles.current
        rules = in_force.bundle.priorities if in_force else []
        rank = admission.find_rank(rules, asked.tag)
        is_hop = attempts.SPILL_HOP_HEADER in request.headers
        return chat.ChatCall(
            request_id=request_id,
            team=team,
            model=self._find_model(team, name, adapter),
            body=body,
            priority=max(min(asked.priority, team.max_priority), rank),
            deadline_at_ms=deadline_at_ms,
            adapter=adapter,
            rank=rank,
            prefixes=prefix.hash_prefixes(asked.messages),
            authorization=request.headers.get("Authorization", ""),
            offset=_take_offset(request) if is_hop else 0,
            may_spill=not is_hop,
        )

    def _open_sink(
        self, request: aiohttp.web.Request, request_id: str, asked: callers.ChatRequest
    ) -> sink.ResponseSink:
        headers = {REQUEST_ID_HEADER: request_id}
        if asked.stream:
            if attempts.SPILL_HOP_HEADER in request.headers:
                headers[engines.ATTEMPT_HEADER] = request_id
            return sink.StreamSink(request, headers, self._limits.write_stall_ms)
        return sink.WholeSink(request_id, asked.model, headers, self._limits.answer_body_bytes)

    async def _serve_service(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        request_id = uuid.uuid4().hex
        self.open_requests += 1
        try:
            request_id = _take_request_id(request, request_id)
            team = self._find_team(request)
            service = self._find_service(team, request.match_info["service"])
            body = await self._read_body(request)
            asked = services.ServiceRequest(
                request_id=request_id,
                team=team,
                service=service,
                method=request.method,
                path=_take_path(request),
                query=request.rel_url.raw_query_string,
                content_type=request.headers.get("Content-Type", ""),
                body=body,
                idempotency_key=_take_key(request),
                timeout_ms=self._take_deadline(request),
            )
            ran = await self._services.run(asked)
            if isinstance(ran, result.Err):
                raise ran.err_value
            self._metrics.count("requests_answered_total", team=team.name)
            return aiohttp.web.Response(
                status=ran.ok_value.status,
                body=ran.ok_value.body,
                headers={
                    REQUEST_ID_HEADER: request_id,
                    "Content-Type": ran.ok_value.content_type,
                },
            )
        except errors.CallerError as error:
            request[journal.ERROR] = error
            return self._refuse(error, request_id)
        finally:
            self.open_requests -= 1

    def _find_team(self, request: aiohttp.web.Request) -> bundle.Team:
        if not self.is_accepting:
            raise errors.NotRun("this daemon is stopping; send the request again", 1)
        if self.open_requests > self._limits.open_requests:
            raise errors.NotRun("this daemon is full; come back later", NO_BUNDLE_RETRY_MS)
        if self._bundles.current is None:
            raise errors.NotRun("no bundle is in force yet; come back later", NO_BUNDLE_RETRY_MS)
        authorization = request.headers.get("Authorization", "")
        found = teams.find_team(self._bundles.current.bundle, authorization)
        if isinstance(found, result.Err):
            raise found.err_value
        request[journal.TEAM] = found.ok_value.name
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
            raise errors.RequestTooSlow("the request came too slowly; send it whole") from error
        except aiohttp.web.HTTPRequestEntityTooLarge as error:
            limit = self._limits.request_body_bytes
            raise errors.BodyTooLarge(f"the body exceeds {limit} bytes; shorten it") from error

    def _take_deadline(self, request: aiohttp.web.Request) -> int:
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

    async def _cut(
        self, error: errors.CallerError, request_id: str, answer: sink.ResponseSink
    ) -> aiohttp.web.StreamResponse:
        self._metrics.count("answers_cut_total", kind=error.kind)
        event = b"event: error\ndata: " + error_bodies.encode_error(error, request_id) + b"\n\n"
        return await answer.cut(event)


def _take_request_id(request: aiohttp.web.Request, made: str) -> str:
    taken = request.headers.get(REQUEST_ID_HEADER)
    if taken is None:
        return made
    if not REQUEST_ID_FORM.fullmatch(taken):
        raise errors.BadRequest(f"{REQUEST_ID_HEADER} must be 1 to 64 of A-Z a-z 0-9 . _ -")
    return taken


def _take_offset(request: aiohttp.web.Request) -> int:
    text = request.headers.get(engines.OFFSET_HEADER, "0")
    if not text.isdigit():
        raise errors.BadRequest(f"{engines.OFFSET_HEADER} must be a number of tokens")
    return int(text)


def _take_path(request: aiohttp.web.Request) -> str:
    """Return a service's path as it was sent; the bundle's rules are held against these bytes.

    A segment of dots would be resolved on the way, so that a call could pass for a repeatable one
    and reach another path.
    """
    path = request.rel_url.raw_path.split("/", SERVICE_PATH_PARTS)[SERVICE_PATH_PARTS]
    plain = path
    for _ in range(MAX_ENCODINGS):
        plain = urllib.parse.unquote(plain)
    if any(segment in (".", "..") for segment in re.split(r"[/\\]", plain)):
        raise errors.BadRequest("the path has a segment of dots; send the path that it leads to")
    return path


def _take_key(request: aiohttp.web.Request) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS:
        raise errors.BadRequest(f"{KEY_HEADER} exceeds {MAX_KEY_CHARS} characters; shorten it")
    return key


def _read_chat(body: bytes) -> tuple[callers.ChatRequest, bytes]:
    try:
        asked = msgspec.json.decode(body, type=callers.ChatRequest)
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.MsgspecError as error:
        raise errors.BadRequest(f"the body is no chat request: {error}; mend it") from error
    fields["stream"] = msgspec.Raw(b"true")
    return asked, msgspec.json.encode(fields)
