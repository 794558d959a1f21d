"""Connections to upstreams: how they are opened, how long they live, what is never sent twice."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp

from tanagerfork import errors

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 20_000
POOL_IDLE_S = 10.0
POOL_AGE_S = 30.0


class ExchangeBroken(aiohttp.ClientConnectionError):
    """The connection broke after a request was sent on it."""


def open_socket(address: Sequence[Any]) -> socket.socket:
    """Open a socket whose silent death the kernel notices.

    :param address: family, type, protocol, name and address, as the resolver gives them.
    :return: socket with TCP keepalive and a user timeout.
    """
    opened = socket.socket(family=address[0], type=address[1], proto=address[2])
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the HTTP library from sending a request again by itself.

    aiohttp sends GET, PUT, DELETE and others a second time where the connection broke before an
    answer, also when that connection was new; a call that may not be repeated would run twice.

    :param request: request of the library.
    :param handler: sends it.
    :return: head of the answer.
    :raises ExchangeBroken: the connection broke; the library passes this kind on.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ExchangeBroken(repr(error)) from error


def open_session(single_use: bool) -> aiohttp.ClientSession:
    """Open an HTTP session that never repeats a request.

    :param single_use: whether each connection carries one exchange only.
    :return: session, to be closed by its owner.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=single_use,
        keepalive_timeout=None if single_use else POOL_IDLE_S,
        socket_factory=open_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        headers={"Accept-Encoding": "identity"},  # Answers are passed on as they come.
        middlewares=(send_once,),
        auto_decompress=False,
    )


class Pool:
    """Sessions whose connections are retired with age.

    A new session takes over every `POOL_AGE_S`, and the old one is closed one period later, so
    that no connection lives longer than two periods and none is closed under a short call.

    :param read_time: returns seconds that only grow.
    """

    __slots__ = ("_read_time", "_current", "_retired", "_opened_at")

    def __init__(self, read_time: Callable[[], float]) -> None:
        self._read_time = read_time
        self._current: aiohttp.ClientSession | None = None
        self._retired: aiohttp.ClientSession | None = None
        self._opened_at = 0.0

    async def session(self) -> aiohttp.ClientSession:
        """Return the session to use for the next call."""
        now = self._read_time()
        if self._current is not None and now - self._opened_at < POOL_AGE_S:
            return self._current
        outlived, self._retired = self._retired, self._current
        self._current = open_session(single_use=False)
        self._opened_at = now
        if outlived is not None:
            await outlived.close()
        return self._current

    async def close(self) -> None:
        """Close all sessions."""
        for session in (self._current, self._retired):
            if session is not None:
                await session.close()
        self._current = self._retired = None


def describe_failure(upstream: str, error: Exception) -> errors.UpstreamError:
    """Say what a failed exchange means for its request.

    :param upstream: name of the upstream.
    :param error: what the HTTP library raised.
    :return: whether the request may have run, and what to do.
    """
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return errors.UpstreamUnreachable(f"{upstream} takes no connection ({error}); go elsewhere")
    if isinstance(error, (TimeoutError, asyncio.TimeoutError)):
        return errors.UpstreamSilent(f"{upstream} gave no answer in time; go elsewhere")
    return errors.UpstreamLost(f"{upstream} broke off ({error!r}); go elsewhere")
