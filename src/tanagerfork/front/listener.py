"""HTTP listeners with optional TLS, certificate reload without a restart, and connection limits."""

import asyncio
import ipaddress
import pathlib
import socket
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

SHUTDOWN_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 8192
MAX_HEADER_BYTES = 16384
TLS_HANDSHAKE_TIMEOUT_S = 10.0
FIRST_REQUEST_TIMEOUT_S = 30.0  # For the complete headers of a connection's first request.
BACKLOG = 512
CERTIFICATE_CHECK_INTERVAL_MS = 10_000

ListenerSettings = settings_records.Listener | settings_records.OperatorSettings
Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]


class Certificate:
    """A certificate and its private key, which can be reloaded when the files change.

    :param certificate_path: PEM certificate chain.
    :param private_key_path: PEM private key.
    :raises SettingsError: the files cannot be used.
    """

    __slots__ = ("context", "_certificate_path", "_private_key_path", "_loaded_mtimes_ns")

    def __init__(self, certificate_path: str, private_key_path: str) -> None:
        self._certificate_path = pathlib.Path(certificate_path)
        self._private_key_path = pathlib.Path(private_key_path)
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._loaded_mtimes_ns = (0, 0)
        self.reload()

    def has_changed(self) -> bool:
        """Return whether the files changed since they were last loaded."""
        try:
            return self._read_mtimes_ns() != self._loaded_mtimes_ns
        except OSError:
            return False

    def reload(self) -> None:
        """Load the files; if they do not match each other, the previous ones stay in use.

        :raises SettingsError: the files cannot be used.
        """
        try:
            mtimes_ns = self._read_mtimes_ns()
            scratch_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            scratch_context.load_cert_chain(self._certificate_path, self._private_key_path)
            self.context.load_cert_chain(self._certificate_path, self._private_key_path)
        except (OSError, ssl.SSLError) as error:
            message = (
                f"{self._certificate_path}: cannot be used with {self._private_key_path} "
                f"({error}); give a PEM certificate and its private key"
            )
            raise errors.SettingsError(message) from error
        self._loaded_mtimes_ns = mtimes_ns

    def _read_mtimes_ns(self) -> tuple[int, int]:
        return self._certificate_path.stat().st_mtime_ns, self._private_key_path.stat().st_mtime_ns


class Listener:
    """Serves an application on one port.

    :param app: application.
    :param host: IP address to bind.
    :param port: TCP port; 0 lets the system choose.
    :param max_connections: maximum number of open connections; further ones are closed.
    :param metrics: metrics registry.
    :param certificate: certificate; None serves plain HTTP.
    :param keeps_encoding: whether request bodies are passed on without decompression.
    :param idle_s: keep-alive timeout in seconds; None for the library's default.
    :param send_buffer_bytes: size of the kernel's send buffer of each connection; 0 lets the system
        choose.
    :param read_ahead_bytes: bytes of a body that are read ahead; 0 for the library's default.
    """

    __slots__ = (
        "_runner",
        "_host",
        "_port",
        "_max_connections",
        "_metrics",
        "_certificate",
        "_server",
        "_send_buffer_bytes",
        "_used_transports",
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
        send_buffer_bytes: int = 0,
        read_ahead_bytes: int = 0,
    ) -> None:
        options: dict[str, Any] = {} if idle_s is None else {"keepalive_timeout": idle_s}
        if read_ahead_bytes:
            options["read_bufsize"] = read_ahead_bytes
        self._send_buffer_bytes = send_buffer_bytes
        app.middlewares.insert(0, self._mark_transport_used)
        self._used_transports: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._runner = aiohttp.web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handler_cancellation=True,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=not keeps_encoding,
            **options,
        )
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._metrics = metrics
        self._certificate = certificate
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Open the port; may be called again after it was found taken.

        :return: the bound port.
        :raises OSError: the address cannot be bound.
        """
        if self._runner.server is None:
            await self._runner.setup()
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol,
            self._host,
            self._port,
            ssl=self._certificate.context if self._certificate else None,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if self._certificate else None,
            backlog=BACKLOG,
        )
        if self._send_buffer_bytes:  # Connections get the options of the socket that listens.
            for bound in self._server.sockets:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self._send_buffer_bytes)
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a connection has bytes in its write buffer."""
        server = self._runner.server
        connections = server.connections if server is not None else []
        transports = (handler.transport for handler in connections)
        return any(
            isinstance(transport, asyncio.WriteTransport) and transport.get_write_buffer_size()
            for transport in transports
        )

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _make_protocol(self) -> asyncio.Protocol:
        server = self._runner.server
        if server is None or len(server.connections) >= self._max_connections:
            self._metrics.count("connections_refused_total")
            return _RefusingProtocol()
        handler = server()
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_TIMEOUT_S, self._abort_if_unused, handler
        )
        return handler

    def _abort_if_unused(self, handler: aiohttp.web.RequestHandler) -> None:
        transport = handler.transport
        if transport is not None and transport not in self._used_transports:
            self._metrics.count("connections_unused_total")
            transport.abort()

    @aiohttp.web.middleware
    async def _mark_transport_used(
        self, request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        if request.transport is not None:
            self._used_transports.add(request.transport)
        return await handler(request)


class _RefusingProtocol(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


def name_address(bound: ListenerSettings, port: int, peers_host: str) -> str:
    """Return the URL at which peers and operators reach a listener.

    :param bound: settings of the listener.
    :param port: port that it is bound to.
    :param peers_host: advertised address of a listener that is bound to all addresses.
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
    """Reload a certificate whenever its files change, until cancelled.

    :param certificate: certificate of a listener.
    :param clock: clock to wait on.
    :param timeline: timeline that events are recorded on.
    :param metrics: metrics registry.
    """
    was_refused = False
    while True:
        await clock.sleep_ms(CERTIFICATE_CHECK_INTERVAL_MS)
        if not certificate.has_changed():
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
