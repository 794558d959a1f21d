"""Connections to upstreams: socket options, lifetime, and protection against resending."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp

from tanagerfork import errors
from tanagerfork.upstream import guarded, heads

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 20_000
POOL_IDLE_TIMEOUT_S = 10.0
SESSION_ROTATION_S = 30.0
MAX_DESCRIPTION_CHARACTERS = 300


class ExchangeBroken(aiohttp.ClientConnectionError):
    """The connection broke after a request was sent on it."""


def open_socket(address_info: Sequence[Any]) -> socket.socket:
    """Open a socket on which the kernel detects a dead peer.

    :param address_info: family, type, protocol, canonical name and address from the resolver.
    :return: socket with TCP keepalive and a user timeout.
    """
    tcp_socket = socket.socket(family=address_info[0], type=address_info[1], proto=address_info[2])
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return tcp_socket


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Have the peer see a reset, not the regular end, when a connection is closed.

    :param transport: transport of the connection.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        with contextlib.suppress(OSError):  # The connection is closed already.
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a request on its own.

    aiohttp resends GET, PUT, DELETE and other requests if the connection breaks before a response
    arrives, even on a new connection; a call that must not be repeated would then run twice.

    :param request: request to send.
    :param handler: next handler of the middleware chain.
    :return: response, whose headers have been received.
    :raises ExchangeBroken: the connection broke; aiohttp does not retry on this error.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ExchangeBroken(describe_error(error)) from error


def open_session(single_use: bool) -> aiohttp.ClientSession:
    """Open an HTTP session that never resends a request.

    :param single_use: whether each connection carries a single exchange.
    :return: session, to be closed by its owner.
    """
    connector = guarded.GuardedConnector(
        limit=0,
        force_close=single_use,
        keepalive_timeout=None if single_use else POOL_IDLE_TIMEOUT_S,
        socket_factory=open_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        headers={"Accept-Encoding": "identity"},  # Responses are forwarded as received.
        middlewares=(send_once,),
        auto_decompress=False,
    )


class Pool:
    """Pool of connections with a bounded lifetime, for short calls.

    A new session replaces the current one every `SESSION_ROTATION_S`, and the replaced session is
    closed one period later. No connection lives longer than two periods, and none is closed while
    a short call uses it.

    :param clock: returns the time of a monotonic clock, in seconds.
    """

    __slots__ = ("_clock", "_current", "_retired", "_opened_at_s")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._current: aiohttp.ClientSession | None = None
        self._retired: aiohttp.ClientSession | None = None
        self._opened_at_s = 0.0

    async def session(self) -> aiohttp.ClientSession:
        """Return the session to use for the next call."""
        now_s = self._clock()
        if self._current is not None and now_s - self._opened_at_s < SESSION_ROTATION_S:
            return self._current
        expired, self._retired = self._retired, self._current
        self._current = open_session(single_use=False)
        self._opened_at_s = now_s
        if expired is not None:
            await expired.close()
        return self._current

    async def close(self) -> None:
        """Close all sessions."""
        for session in (self._current, self._retired):
            if session is not None:
                await session.close()
        self._current = self._retired = None


def describe_error(error: Exception) -> str:
    """Return what an error of the HTTP library says, without most of the bytes that it quotes.

    :param error: error raised by the HTTP library.
    """
    return repr(error)[:MAX_DESCRIPTION_CHARACTERS]


def describe_failure(upstream: str, error: Exception) -> errors.UpstreamError:
    """Translate an error of the HTTP library into an upstream error.

    :param upstream: name of the upstream.
    :param error: error raised by the HTTP library.
    :return: error whose class tells whether the request may have run.
    """
    described = describe_error(error)
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return errors.ConnectTimedOut(f"{upstream} takes no connection ({error}); go elsewhere")
    if isinstance(error, aiohttp.ClientConnectorError):
        return errors.UpstreamUnreachable(f"{upstream} takes no connection ({error}); go elsewhere")
    if isinstance(error, (TimeoutError, asyncio.TimeoutError)):
        return errors.UpstreamSilent(f"{upstream} gave no answer in time; go elsewhere")
    if isinstance(error, heads.ImproperAnswer):
        return errors.UpstreamLost(f"{upstream} sent no proper answer ({error}); go elsewhere")
    return errors.UpstreamLost(f"{upstream} broke off ({described}); go elsewhere")


def describe_bad_address(upstream: str, address: str) -> errors.UpstreamUnreachable:
    """Return the error of an upstream whose address cannot be connected to.

    :param upstream: name of the upstream.
    :param address: its address.
    """
    return errors.UpstreamUnreachable(
        f"{upstream} has the invalid address {address[:100]!r}; use another upstream"
    )
