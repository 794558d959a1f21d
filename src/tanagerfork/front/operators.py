"""The operators' listener: health, metrics, status, time line and bundles."""

import hashlib
import hmac
from collections.abc import Callable

import aiohttp.web
import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.bundles import head as heads
from tanagerfork.bundles import manifest as manifests
from tanagerfork.bundles import register
from tanagerfork.front import callers as callers_front
from tanagerfork.generated import bundle, operators
from tanagerfork.platform import key_value
from tanagerfork.timeline import ring

BODY_LIMIT_BYTES = 16 * 1024 * 1024
OPEN_PATHS = ("/healthz", "/readyz")

StatusReader = Callable[[], operators.DaemonStatus]


class OperatorsFront:
    """Answers operators, balancers and metrics collectors.

    :param read_status: returns the daemon's status.
    :param timeline: time line.
    :param metrics: counters.
    :param bundles: bundle in force.
    :param store: key-value service.
    :param clock: wall clock for rolls.
    :param token_sha256: hash of the operators' bearer token; empty asks for none.
    """

    __slots__ = (
        "_read_status",
        "_timeline",
        "_metrics",
        "_bundles",
        "_store",
        "_clock",
        "_token_sha256",
    )

    def __init__(
        self,
        read_status: StatusReader,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
        bundles: register.BundleRegister,
        store: key_value.KeyValue,
        clock: clocks.Clock,
        token_sha256: str,
    ) -> None:
        self._read_status = read_status
        self._timeline = timeline
        self._metrics = metrics
        self._bundles = bundles
        self._store = store
        self._clock = clock
        self._token_sha256 = token_sha256

    def build_app(self) -> aiohttp.web.Application:
        """Return the application of the operators' listener."""
        app = aiohttp.web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_readiness)
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/v1/status", self._serve_status)
        app.router.add_get("/v1/timeline", self._serve_timeline)
        app.router.add_get("/v1/bundle/head", self._serve_head)
        app.router.add_get("/v1/bundle/parts/{sha256}", self._serve_part)
        app.router.add_post("/v1/bundle/roll", self._serve_roll)
        app.middlewares.append(self._check_token)
        return app

    @aiohttp.web.middleware
    async def _check_token(
        self, request: aiohttp.web.Request, handler: Callable
    ) -> aiohttp.web.StreamResponse:
        if self._token_sha256 and request.path not in OPEN_PATHS:
            token = request.headers.get("Authorization", "").removeprefix("Bearer ")
            hashed = hashlib.sha256(token.encode()).hexdigest()
            if not hmac.compare_digest(hashed, self._token_sha256):
                return _refuse(errors.Unauthorized("give the operators' token (--token-file)"))
        return await handler(request)

    async def _serve_health(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(text="ok\n")

    async def _serve_readiness(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        status = self._read_status()
        is_ready = status.state == "serving"
        text = status.state + (f": {status.reason}" if status.reason else "") + "\n"
        return aiohttp.web.Response(status=200 if is_ready else 503, text=text)

    async def _serve_metrics(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(text=self._metrics.render())

    async def _serve_status(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return _answer(self._read_status())

    async def _serve_timeline(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        text = request.query.get("after", "-1")
        if not text.lstrip("-").isdigit():
            return _refuse(errors.BadRequest("after must be a sequence number"))
        return _answer(self._timeline.read(int(text)))

    async def _serve_head(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        if self._bundles.current is None:
            return _refuse(errors.NotFound("no bundle is in force; roll one"))
        return _answer(self._bundles.current.head)

    async def _serve_part(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        content = self._bundles.contents.get(request.match_info["sha256"])
        if content is None:
            return _refuse(errors.NotFound("no such part in the bundle in force"))
        return aiohttp.web.Response(body=content, content_type="application/json")

    async def _serve_roll(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        try:
            call = msgspec.json.decode(await request.read(), type=operators.RollCall)
        except msgspec.MsgspecError as error:
            return _refuse(errors.BadRequest(f"no roll call: {error}"))
        rolled = await self._roll(call)
        if isinstance(rolled, result.Err):
            return _refuse(rolled.err_value)
        return _answer(rolled.ok_value)

    async def _roll(
        self, call: operators.RollCall
    ) -> result.Result[bundle.Head, errors.TanagerforkError]:
        signed = bundle.SignedManifest(
            manifest_json=call.manifest_json, operator=call.operator, signature=call.signature
        )
        verified = self._bundles.verify(signed)
        if isinstance(verified, result.Err):
            return verified
        contents = {manifests.hash_content(part.encode()): part.encode() for part in call.parts}
        assembled = manifests.assemble_bundle(verified.ok_value, contents)
        if isinstance(assembled, result.Err):
            return assembled
        draft = manifests.Draft(verified.ok_value, contents)
        published = await heads.publish_parts(self._store, draft)
        if isinstance(published, result.Err):
            return published
        rolled_by = call.rolled_by or call.operator
        at_ms = self._timeline.stamp().ceiling_ms
        return await heads.roll_head(self._store, signed, rolled_by, at_ms)


def _answer(record: msgspec.Struct) -> aiohttp.web.Response:
    return aiohttp.web.Response(body=msgspec.json.encode(record), content_type="application/json")


def _refuse(error: errors.TanagerforkError) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=error.status,
        body=callers_front.encode_error(error, ""),
        content_type="application/json",
    )
