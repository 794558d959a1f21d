"""HTTP API for operators: health, metrics, status, timeline and bundles."""

import asyncio
import dataclasses
import re
from collections.abc import Awaitable, Callable, Mapping

import aiohttp.web
import msgspec
import result
from absl import logging

from tanagerfork import decoding, errors
from tanagerfork import metrics as metric
from tanagerfork import status as statuses
from tanagerfork.bundles import document, register
from tanagerfork.bundles import head as heads
from tanagerfork.bundles import manifest as manifests
from tanagerfork.front import error_bodies, teams
from tanagerfork.front import journal as journals
from tanagerfork.generated import bundle, events, operators
from tanagerfork.storage import key_value
from tanagerfork.timeline import kinds, ring

BODY_LIMIT_BYTES = 16 * 1024 * 1024
MAX_OPEN_CALLS = 64
CALL_TIMEOUT_S = 60.0
OVERLOAD_RETRY_AFTER_MS = 1000
UNAUTHENTICATED_PATHS = ("/healthz", "/readyz")
SEQUENCE_PATTERN = re.compile(r"-?[0-9]{1,18}")

StatusReader = Callable[[], operators.DaemonStatus]
Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]


@dataclasses.dataclass(slots=True, frozen=True)
class Sources:
    """The components that the operators' API reads from."""

    read_status: StatusReader
    timeline: ring.Timeline
    journal: journals.Journal
    metrics: metric.Metrics
    bundles: register.BundleRegister
    store: key_value.KeyValue


class OperatorsFront:
    """Serves operators, load balancers and metrics collectors.

    :param sources: components to read from.
    :param token_sha256: SHA-256 of the operators' bearer token; empty disables the check.
    """

    __slots__ = (
        "_read_status",
        "_timeline",
        "_journal",
        "_metrics",
        "_bundles",
        "_store",
        "_token_sha256",
        "_open_calls",
    )

    def __init__(self, sources: Sources, token_sha256: str) -> None:
        self._read_status = sources.read_status
        self._timeline = sources.timeline
        self._journal = sources.journal
        self._metrics = sources.metrics
        self._bundles = sources.bundles
        self._store = sources.store
        self._token_sha256 = token_sha256
        self._open_calls = 0

    def build_app(self) -> aiohttp.web.Application:
        """Return the application of the operators' listener."""
        app = aiohttp.web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_readiness)
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/v1/status", self._serve_status)
        app.router.add_get("/v1/teams", self._serve_teams)
        app.router.add_get("/v1/latencies", self._serve_latencies)
        app.router.add_get("/v1/timeline", self._serve_timeline)
        app.router.add_get("/v1/requests/{request_id}", self._serve_request)
        app.router.add_get("/v1/bundle/head", self._serve_head)
        app.router.add_get("/v1/bundle/in-force", self._serve_in_force)
        app.router.add_get("/v1/bundle/history", self._serve_history)
        app.router.add_get("/v1/bundle/parts/{sha256}", self._serve_part)
        app.router.add_post("/v1/bundle/roll", self._serve_roll)
        app.middlewares.append(self._guard_call)
        return app

    @aiohttp.web.middleware
    async def _guard_call(
        self, request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        if request.path in UNAUTHENTICATED_PATHS:
            return await handler(request)
        if self._token_sha256:
            token = request.headers.get("Authorization", "").removeprefix("Bearer ")
            if not teams.matches_token_hash(token, self._token_sha256):
                self._metrics.count("operator_calls_refused_total", reason="token")
                return _make_error_response(
                    errors.Unauthorized(
                        "missing or wrong operators' token; pass it with --token-file"
                    )
                )
        if self._open_calls >= MAX_OPEN_CALLS:
            self._metrics.count("operator_calls_refused_total", reason="full")
            message = f"{MAX_OPEN_CALLS} operators' calls are already open; retry later"
            return _make_error_response(errors.NotRun(message, OVERLOAD_RETRY_AFTER_MS))
        self._open_calls += 1
        try:
            return await asyncio.wait_for(handler(request), CALL_TIMEOUT_S)
        except TimeoutError:
            return _make_error_response(
                errors.RequestTooSlow("the call exceeded its time limit; send it again")
            )
        except aiohttp.web.HTTPRequestEntityTooLarge:
            message = f"the body exceeds {BODY_LIMIT_BYTES} bytes; split the bundle"
            return _make_error_response(errors.BodyTooLarge(message))
        except aiohttp.web.HTTPException:
            raise
        except Exception as failure:
            logging.exception(
                "unexpected %s while an operator's call was handled", type(failure).__name__
            )
            return _make_error_response(
                errors.InternalFailure("internal failure of the daemon; see its log")
            )
        finally:
            self._open_calls -= 1

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
        status = self._read_status()
        if request.query.get("brief") == "1":
            status.groups, status.peers = [], []
        return _make_response(status)

    async def _serve_teams(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        in_force = self._bundles.current
        listed_teams = in_force.bundle.teams if in_force else []
        return _make_response(
            operators.TeamList(
                teams=[statuses.describe_team(team, self._metrics) for team in listed_teams]
            )
        )

    async def _serve_latencies(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return _make_response(operators.LatencyList(latencies=self._metrics.encode_latencies()))

    async def _serve_request(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        found = self._journal.find(request.match_info["request_id"])
        return _make_response(events.RequestTraceList(traces=found))

    async def _serve_in_force(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return _make_response(statuses.describe_bundle(self._bundles.current))

    async def _serve_timeline(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        text = request.query.get("after", "-1")
        if not SEQUENCE_PATTERN.fullmatch(text):
            return _make_error_response(
                errors.BadRequest("after must be a sequence number, an integer of up to 18 digits")
            )
        return _make_response(self._timeline.read(int(text)))

    async def _serve_head(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        if self._bundles.current is None:
            return _make_error_response(errors.NotFound("no bundle is in force; roll one"))
        return _make_response(self._bundles.current.head)

    async def _serve_history(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        stored_head = await heads.read_head(self._store)
        past = await heads.list_history(self._store)
        if isinstance(stored_head, result.Err):
            return _make_error_response(stored_head.err_value)
        if isinstance(past, result.Err):
            return _make_error_response(past.err_value)
        current = stored_head.ok_value.head
        rolled = ([current] if current else []) + past.ok_value
        entries = [_make_history_item(head) for head in rolled]
        return _make_response(operators.BundleHistory(entries=entries))

    async def _serve_part(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        content = self._bundles.contents.get(request.match_info["sha256"])
        if content is None:
            return _make_error_response(
                errors.NotFound("the bundle in force has no part with this SHA-256; read the head")
            )
        return aiohttp.web.Response(body=content, content_type="application/json")

    async def _serve_roll(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        try:
            call = decoding.decode_json(await request.read(), operators.RollCall)
        except msgspec.MsgspecError as error:
            return _make_error_response(errors.BadRequest(f"invalid roll call: {error}"))
        rolled = await self._roll(call)
        if isinstance(rolled, result.Err):
            return _make_error_response(rolled.err_value)
        return _make_response(rolled.ok_value)

    async def _roll(
        self, call: operators.RollCall
    ) -> result.Result[bundle.Head, errors.TanagerforkError]:
        signed = bundle.SignedManifest(
            manifest_json=call.manifest_json, operator=call.operator, signature=call.signature
        )
        verified = self._bundles.verify(signed)
        if isinstance(verified, result.Err):
            return verified
        sent = {manifests.hash_content(part.encode()): part.encode() for part in call.parts}
        contents = {**self._bundles.contents, **sent}
        checked = _check_draft(signed, verified.ok_value, contents)
        if isinstance(checked, result.Err):
            return checked
        draft = manifests.Draft(verified.ok_value, contents)
        in_force = self._bundles.current
        parent = in_force.manifest if in_force else None
        published = await heads.publish_parts(self._store, draft, parent)
        if isinstance(published, result.Err):
            return published
        rolled_by = call.rolled_by or call.operator
        at = self._timeline.stamp()
        known = in_force.head if in_force else None
        rolled = await heads.roll_head(self._store, signed, rolled_by, at.ceiling_ms, known)
        # A head with another timestamp comes from an earlier call, which recorded the event.
        if isinstance(rolled, result.Ok) and rolled.ok_value.rolled_at_ms == at.ceiling_ms:
            version = rolled.ok_value.version
            self._timeline.record(
                kinds.EventKind.BUNDLE_ROLLED,
                f"signed off by {call.operator}, rolled by {rolled_by}",
                bundle_version=version,
                at=at,
            )
        return rolled


def _check_draft(
    signed: bundle.SignedManifest, manifest: bundle.Manifest, contents: Mapping[str, bytes]
) -> result.Result[None, errors.BundleError]:
    checked_limits = manifests.check_limits(signed, manifest, contents)
    if isinstance(checked_limits, result.Err):
        return checked_limits
    assembled = manifests.assemble_bundle(manifest, contents)
    if isinstance(assembled, result.Err):
        return assembled
    try:
        document.check_bundle(assembled.ok_value)
    except errors.BundleInvalid as error:
        return result.Err(error)
    return result.Ok(None)


def _make_history_item(head: bundle.Head) -> operators.HistoryItem:
    manifest = decoding.decode_json(head.signed.manifest_json, bundle.Manifest)
    return operators.HistoryItem(
        version=head.version,
        name=manifest.name,
        operator=head.signed.operator,
        rolled_by=head.rolled_by,
        rolled_at_ms=head.rolled_at_ms,
        manifest_sha256=head.manifest_sha256,
    )


def _make_response(record: msgspec.Struct) -> aiohttp.web.Response:
    return aiohttp.web.Response(body=msgspec.json.encode(record), content_type="application/json")


def _make_error_response(error: errors.TanagerforkError) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=error.status,
        body=error_bodies.encode_error(error, ""),
        content_type="application/json",
    )
