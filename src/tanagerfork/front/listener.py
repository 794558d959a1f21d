"""HTTP listeners: TLS by the settings, certificates renewed without a restart, bounds."""

import asyncio
import ipaddress
import pathlib
import ssl
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.generated import settings as settings_records
from tanagerfork.timeline import kinds, ring

CLOSE_S = 1.0
MAX_LINE_BYTES = 8192
MAX_HEADER_BYTES = 16384
HANDSHAKE_S = 10.0
FIRST_REQUEST_S = 30.0  # Time in which the first request's headers must be there.
BACKLOG = 512
CERTIFICATE_CHECK_MS = 10_000

Bound = settings_records.Listener | settings_records.OperatorSettings
Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]


class Certificate:
    """A certificate with its private key, read again when the files change.

    :param certificate_path: PEM certificate chain.
    :param private_key_path: PEM private key.
    :raises SettingsError: the files cannot be used.
    """

    __slots__ = ("context", "_certificate_path", "_private_key_path", "_changed_at_ns")

    def __init__(self, certificate_path: str, private_key_path: str) -> None:
        self._certificate_path = pathlib.Path(certificate_path)
        self._private_key_path = pathlib.Path(private_key_path)
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._changed_at_ns = (0, 0)
        self.reload()

    def is_renewed(self) -> bool:
        """Return whether the files changed since they were last taken."""
        try:
            return self._read_times() != self._changed_at_ns
        except OSError:
            return False

    def reload(self) -> None:
        """Take the files; those that do not fit together leave the old ones in use.

        :raises SettingsError: the files cannot be used.
        """
        try:
            changed_at_ns = self._read_times()
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(self._certificate_path, self._private_key_path)
            self.context.load_cert_chain(self._certificate_path, self._private_key_path)
        except (OSError, ssl.SSLError) as error:
            message = (
                f"{self._certificate_path}: cannot be used with {self._private_key_path} "
                f"({error}); give a PEM certificate and its private key"
            )
            raise errors.SettingsError(message) from error
        self._changed_at_ns = changed_at_ns

    def _read_times(self) -> tuple[int, int]:
        return self._certificate_path.stat().st_mtime_ns, self._private_key_path.stat().st_mtime_ns


class Listener:
    """Serves an application on one port.

    :param app: application.
    :param host: IP address to bind.
    :param port: TCP port; 0 lets the system choose.
    :param max_connections: connections held at once; further ones are closed.
    :param metrics: counters.
    :param certificate: certificate; None serves plain text.
    :param keeps_encoding: whether bodies are left as they come, packed or not.
    :param idle_s: time that a connection may be idle, in seconds; None for the library's own.
    """

    __slots__ = (
        "_runner",
        "_host",
        "_port",
        "_limit",
        "_metrics",
        "_certificate",
        "_server",
        "_used",
    )

    def __init__(
        self,
        app: aiohttp.web.Application,
        host: str,
        port: int,
        max_connections: int,
        metrics: metric.Metrics,
        certificate: Certificate | None = None,
        keeps_encoding: bool = False,
        idle_s: float | None = None,
    ) -> None:
        chosen: dict[str, Any] = {} if idle_s is None else {"keepalive_timeout": idle_s}
        app.middlewares.insert(0, self._note_request)
        self._used: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._runner = aiohttp.web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=CLOSE_S,
            handler_cancellation=True,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=not keeps_encoding,
            **chosen,
        )
        self._host = host
        self._port = port
        self._limit = max_connections
        self._metrics = metrics
        self._certificate = certificate
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Open the port.

        :return: the port.
        """
        await self._runner.setup()
        self._server = await asyncio.get_running_loop().create_server(
            self._accept,
            self._host,
            self._port,
            ssl=self._certificate.context if self._certificate else None,
            ssl_handshake_timeout=HANDSHAKE_S if self._certificate else None,
            backlog=BACKLOG,
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _accept(self) -> asyncio.Protocol:
        server = self._runner.server
        if server is None or len(server.connections) >= self._limit:
            self._metrics.count("connections_refused_total")
            return _Refusal()
        handler = server()
        asyncio.get_running_loop().call_later(FIRST_REQUEST_S, self._drop_unused, handler)
        return handler

    def _drop_unused(self, handler: aiohttp.web.RequestHandler) -> None:
        transport = handler.transport
        if transport is not None and transport not in self._used:
            self._metrics.count("connections_unused_total")
            transport.abort()

    @aiohttp.web.middleware
    async def _note_request(
        self, request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        if request.transport is not None:
            self._used.add(request.transport)
        return await handler(request)


class _Refusal(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


def name_address(bound: Bound, port: int, peers_host: str) -> str:
    """Return the address at which peers and operators reach a listener.

    :param bound: settings of the listener.
    :param port: port that it got.
    :param peers_host: address told to peers, for a listener that is bound to all addresses.
    """
    host = ipaddress.ip_address(bound.host)
    if host.is_unspecified:
        host = ipaddress.ip_address(peers_host)
    scheme = "https" if bound.certificate_path else "http"
    return f"{scheme}://[{host}]:{port}" if host.version == 6 else f"{scheme}://{host}:{port}"


async def follow_certificate(
    certificate: Certificate,
    clock: clocks.Clock,
    timeline: ring.Timeline,
    metrics: metric.Metrics,
) -> None:
    """Take renewed certificates until cancelled.

    :param certificate: certificate of a listener.
    :param clock: clock to wait on.
    :param timeline: time line.
    :param metrics: counters.
    """
    was_refused = False
    while True:
        await clock.sleep_ms(CERTIFICATE_CHECK_MS)
        if not certificate.is_renewed():
            continue
        try:
            certificate.reload()
        except errors.SettingsError as error:
            metrics.count("certificate_reloads_failed_total")
            if not was_refused:
                timeline.record(kinds.EventKind.CERTIFICATE_REFUSED, error.message)
            was_refused = True
            continue
        was_refused = False
        metrics.count("certificate_reloads_total")
        timeline.record(kinds.EventKind.CERTIFICATE_RENEWED)
