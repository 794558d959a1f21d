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
from tanagerfork.front import bounds, client_connection, connection_ledger
from tanagerfork.generated import settings as settings_records
from tanagerfork.timeline import kinds, ring

SHUTDOWN_TIMEOUT_S = 1.0
TLS_HANDSHAKE_TIMEOUT_S = 10.0
MAX_HANDSHAKES_SHARE = 0.5  # Of the connections.
UNBOUNDED = 2**31 - 1
LIBRARY_IDLE_TIMEOUT_S = 86_400.0  # The listener closes idle connections itself.
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


Table = connection_ledger.ConnectionTable[client_connection.ClientConnection]


class Listener:
    """Serves an application on one port.

    :param app: application.
    :param host: IP address to bind.
    :param port: TCP port; 0 lets the system choose.
    :param max_connections: maximum number of open connections; beyond it, idle ones are closed.
    :param metrics: metrics registry.
    :param certificate: certificate; None serves plain HTTP.
    :param keeps_encoding: whether request bodies are passed on without decompression.
    :param source: tells the bounds on requests; None for the defaults.
    :param table: connections of all listeners of the process; None for those of this one.
    :param send_buffer_bytes: size of the kernel's send buffer of each connection; 0 lets the system
        choose.
    :param read_ahead_bytes: bytes of a body that are read ahead; 0 for the library's default.
    """

    __slots__ = (
        "_runner",
        "_host",
        "_port",
        "_metrics",
        "_certificate",
        "_server",
        "_source",
        "_table",
        "_ledger",
        "_options",
        "_handshakes",
        "_send_buffer_bytes",
        "_checking",
        "_checked_at_ms",
        "_has_skipped",
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
        source: bounds.BoundsSource | None = None,
        table: Table | None = None,
        send_buffer_bytes: int = 0,
        read_ahead_bytes: int = 0,
    ) -> None:
        self._options: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": not keeps_encoding,
            "keepalive_timeout": LIBRARY_IDLE_TIMEOUT_S,
            "lingering_time": bounds.LINGER_MS / 1000,
            # The connection bounds the head in total.
            "max_line_size": UNBOUNDED,
            "max_field_size": UNBOUNDED,
            "max_headers": UNBOUNDED,
        }
        if read_ahead_bytes:
            self._options["read_bufsize"] = read_ahead_bytes
        self._runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S, handler_cancellation=True
        )
        self._host = host
        self._port = port
        self._metrics = metrics
        self._certificate = certificate
        self._source = source or bounds.FixedBounds()
        self._table: Table = table or connection_ledger.ConnectionTable(max_connections)
        self._ledger = self._table.open_ledger(max_connections)
        self._handshakes: weakref.WeakSet[_Handshake] = weakref.WeakSet()
        self._server: asyncio.Server | None = None
        self._send_buffer_bytes = send_buffer_bytes
        self._checking: asyncio.TimerHandle | None = None
        self._checked_at_ms = 0.0
        self._has_skipped = False

    async def start(self) -> int:
        """Open the port; may be called again after it was found taken.

        :return: the bound port.
        :raises OSError: the address cannot be bound.
        """
        if self._runner.server is None:
            await self._runner.setup()
        bound = _open_socket(self._host, self._port, self._send_buffer_bytes)
        try:
            self._server = await asyncio.get_running_loop().create_server(
                self._make_protocol,
                sock=bound,
                ssl=self._certificate.context if self._certificate else None,
                ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if self._certificate else None,
                backlog=bounds.ACCEPTS_AT_ONCE,
            )
        except OSError:
            bound.close()
            raise
        bound.listen(BACKLOG)  # asyncio also uses `backlog` as the number of accepts in one step.
        self._checked_at_ms = _read_clock_ms()
        self._check_later()
        return int(bound.getsockname()[1])

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
        if self._checking is not None:
            self._checking.cancel()
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _make_protocol(self) -> asyncio.Protocol:
        handshakes = len(self._handshakes)
        has_room = (
            self._runner.server is not None
            and handshakes <= self._ledger.limit * MAX_HANDSHAKES_SHARE
            and self._table.make_room(self._ledger, handshakes, _read_clock_ms(), _close_for_room)
        )
        if not has_room:
            self._metrics.count("connections_refused_total")
            return _RefusingProtocol()
        if self._certificate is None:
            return self._make_connection()
        handshake = _Handshake(self._make_connection)
        self._handshakes.add(handshake)
        return handshake

    def _make_connection(self) -> client_connection.ClientConnection:
        return client_connection.ClientConnection(
            self._runner.server,
            self._table,
            self._ledger,
            self._source,
            self._metrics,
            loop=asyncio.get_running_loop(),
            **self._options,
        )

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._checking = loop.call_later(bounds.CHECK_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        """Check the times of all connections.

        If the event loop was late, bytes may wait to be read, so that it checks the next time.
        """
        self._check_later()
        now_ms = _read_clock_ms()
        is_late = now_ms - self._checked_at_ms > 2 * bounds.CHECK_INTERVAL_MS
        self._checked_at_ms = now_ms
        self._has_skipped = is_late and not self._has_skipped
        if not self._has_skipped:
            check_times(self._ledger, self._source.current, now_ms)


def check_times(
    ledger: connection_ledger.ConnectionLedger[client_connection.ClientConnection],
    limits: bounds.RequestBounds,
    now_ms: float,
) -> None:
    """Refuse or close the connections that have passed a time.

    :param ledger: connections of a listener.
    :param limits: bounds in force.
    :param now_ms: monotonic clock, in milliseconds.
    """
    phases = connection_ledger.Phase
    idle_since_ms = now_ms - limits.idle_timeout_ms - bounds.TIME_SLACK_MS
    head_since_ms = now_ms - limits.header_timeout_ms - bounds.TIME_SLACK_MS
    for phase in (phases.NEW, phases.IDLE):
        for connection in ledger.list_older(phase, idle_since_ms):
            connection.cut(bounds.Bound.IDLE_TIME)
    for connection in ledger.list_older(phases.HEAD, head_since_ms):
        connection.refuse_late(bounds.Bound.HEAD_TIME)
    for connection in ledger.list_older(phases.REFUSED, now_ms - bounds.LINGER_MS):
        connection.cut(bounds.Bound.LINGER)
    for connection in ledger.list_older(phases.BODY, now_ms - bounds.BODY_TIMEOUT_MS):
        connection.refuse_late(bounds.Bound.BODY_TIME)
    for connection in ledger.list_older(phases.UNREAD, now_ms - bounds.DRAIN_TIMEOUT_MS):
        connection.cut(bounds.Bound.DRAIN_TIME)
    for phase in (phases.BODY, phases.ANSWER, phases.UNREAD):
        for connection in ledger.list_in(phase):
            connection.check_times(phase, now_ms)


def _close_for_room(connection: client_connection.ClientConnection) -> None:
    connection.cut(bounds.Bound.ROOM)


def _read_clock_ms() -> float:
    return asyncio.get_running_loop().time() * 1000


def _open_socket(host: str, port: int, send_buffer_bytes: int) -> socket.socket:
    """Return a bound socket, whose connections get its options.

    :raises OSError: the address cannot be bound.
    """
    family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, bounds.RECEIVE_BUFFER_BYTES)
        if send_buffer_bytes:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
        bound.setblocking(False)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


class _Handshake(asyncio.Protocol):
    """Protocol of a connection until its TLS handshake is complete; freed if it fails.

    :param make_connection: makes the protocol that follows.
    """

    def __init__(self, make_connection: Callable[[], asyncio.Protocol]) -> None:
        self._make_connection = make_connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Go over to the next protocol."""
        connection = self._make_connection()
        transport.set_protocol(connection)
        connection.connection_made(transport)


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
