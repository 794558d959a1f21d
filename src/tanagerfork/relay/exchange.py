"""HTTP exchanges: sends one request to one upstream and reads its response."""

import asyncio
import dataclasses
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import aiohttp
import multidict
import yarl
from aiohttp import abc, client_proto, payload

from tanagerfork import addresses, errors
from tanagerfork.relay import calls, members, memory
from tanagerfork.upstream import connections, guarded

CONNECT_TIMEOUT_S = 0.4  # Over 100 round trips between failure domains.
CONTROL_IDLE_TIMEOUT_S = 10.0
POOL_IDLE_TIMEOUT_S = 4.0  # Below 5 s, the shortest idle timeout of an upstream.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
SUPPRESSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class SlicedBody(payload.BytesPayload):
    """Body that is written in slices, as the connection takes them, and so is not copied whole."""

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body; see `aiohttp.payload.BytesPayload.write_with_length`."""
        for part in slice_body(self._value[:content_length]):
            await writer.write(part)
            await writer.drain()


def slice_body(body: bytes) -> list[memoryview]:
    """Return views of a body that are short enough for a write buffer.

    :param body: body.
    """
    view, size = memoryview(body), memory.BUFFER_BYTES
    return [view[start : start + size] for start in range(0, len(body), size)]


def _open_bounded_socket(address_info: Sequence[Any]) -> socket.socket:
    """Open a socket to an upstream whose unread responses take little of the kernel's memory."""
    tcp_socket = connections.open_socket(address_info)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, memory.SOCKET_BUFFER_BYTES)
    return tcp_socket


def open_session(is_pooled: bool, is_bounded: bool = False) -> aiohttp.ClientSession:
    """Open a session that adds no headers, keeps no cookies and never retries.

    :param is_pooled: whether a connection may carry several exchanges.
    :param is_bounded: whether buffers are kept small.
    :return: session; the caller closes it.
    """
    connector = guarded.GuardedConnector(
        limit=0,
        force_close=not is_pooled,
        keepalive_timeout=POOL_IDLE_TIMEOUT_S if is_pooled else None,
        socket_factory=_open_bounded_socket if is_bounded else connections.open_socket,
    )
    options: dict[str, Any] = {"read_bufsize": memory.READ_AHEAD_BYTES} if is_bounded else {}
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=SUPPRESSED_HEADERS,
        middlewares=(connections.send_once,),
        auto_decompress=False,
        **options,
    )


def open_control_session() -> aiohttp.ClientSession:
    """Open a session for calls to the store and for probes.

    :return: session; the caller closes it.
    """
    return aiohttp.ClientSession(
        connector=guarded.GuardedConnector(
            limit=0,
            keepalive_timeout=CONTROL_IDLE_TIMEOUT_S,
            socket_factory=connections.open_socket,
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        middlewares=(connections.send_once,),
    )


@dataclasses.dataclass(slots=True)
class UpstreamResponse:
    """An upstream's response whose headers have been received."""

    status: int
    headers: calls.Headers
    facts: calls.ResponseFacts
    http_response: aiohttp.ClientResponse
    protocol: asyncio.BaseProtocol | None
    read_bytes: int = 0

    @property
    def is_ended_by_close(self) -> bool:
        """Whether only the close of the connection marks the end of the body."""
        headers = self.http_response.headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :raises UpstreamLost: the response broke off.
        """
        try:
            chunk = await self.http_response.content.readany()
            if not chunk and self.is_ended_by_close:
                self._check_clean_close()
            self.read_bytes += len(chunk)
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            # The library raises RuntimeError where this daemon has closed the connection.
            raise errors.UpstreamLost(
                f"the response broke off ({connections.describe_error(error)}); "
                "use another upstream"
            ) from error
        return chunk

    def measure_buffered_bytes(self) -> int:
        """Return how many bytes of the body were received and not read yet."""
        return self.http_response.content.total_bytes - self.read_bytes

    async def read_body(self, record_part: Callable[[int], Awaitable[None]]) -> bytes:
        """Return the whole body.

        :param record_part: called with the size of each part before the next one is read.
        :raises UpstreamLost: the response broke off or is too large.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while chunk := await self.read_chunk():
                parts.append(chunk)
                size += len(chunk)
                if size > MAX_RESPONSE_BYTES:
                    raise errors.UpstreamLost(
                        f"the response exceeds {MAX_RESPONSE_BYTES} bytes; drop it"
                    )
                await record_part(len(chunk))
            return b"".join(parts)
        finally:
            parts.clear()  # The traceback of an error may keep them until the next collection.

    def _check_clean_close(self) -> None:
        # aiohttp reports a reset as the normal end of a response without a length.
        protocol = self.protocol
        ended_by = (
            protocol.exception() if isinstance(protocol, client_proto.ResponseHandler) else None
        )
        if not isinstance(ended_by, aiohttp.ServerDisconnectedError):
            raise errors.UpstreamLost(
                f"the connection was reset ({ended_by!r}); use another upstream"
            )


class UpstreamClient:
    """Sends requests to upstreams.

    :param dialect: reads and writes the platform's headers.
    :param is_bounded: whether buffers of connections are kept small.
    """

    __slots__ = ("_dialect", "_pooled", "_unpooled")

    def __init__(self, dialect: calls.Dialect, is_bounded: bool = False) -> None:
        self._dialect = dialect
        self._pooled = open_session(is_pooled=True, is_bounded=is_bounded)
        self._unpooled = open_session(is_pooled=False, is_bounded=is_bounded)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def send(
        self,
        request: calls.CallerRequest,
        upstream: members.Upstream,
        outgoing: calls.SendFields,
        is_repeatable: bool,
    ) -> UpstreamResponse:
        """Send a request and wait for the headers of its response.

        A request that may not be repeated gets a new connection: the upstream may close a pooled
        one at the moment of the send, and whether the request ran would not be known.

        :param request: caller's request.
        :param upstream: upstream to send it to.
        :param outgoing: values that this send adds.
        :param is_repeatable: whether the request may run more than once.
        :return: the response; the caller of this method closes its `http_response`.
        :raises UpstreamUnreachable: no byte was sent.
        :raises UpstreamLost: the request may have run.
        """
        headers = self._dialect.make_upstream_headers(request, outgoing)
        return await self.send_to(upstream.id, upstream.address, request, headers, is_repeatable)

    async def send_to(
        self,
        name: str,
        address: str,
        request: calls.CallerRequest,
        headers: calls.Headers,
        is_repeatable: bool,
    ) -> UpstreamResponse:
        """Send a request to an address and wait for the headers of its response; see `send`.

        :param name: name of the upstream or daemon there, for errors.
        :param address: IP address and port.
        :param request: request, whose method, target and body are sent.
        :param headers: headers to send.
        :param is_repeatable: whether the request may run more than once.
        :return: response.
        :raises UpstreamUnreachable: no byte was sent.
        :raises UpstreamLost: the request may have run.
        """
        session = self._pooled if is_repeatable else self._unpooled
        if not addresses.is_valid(address):
            raise connections.describe_bad_address(name, address)
        if session.closed:
            raise errors.UpstreamUnreachable("the daemon is stopping; send the request again")
        try:
            http_response = await session.request(
                request.method,
                yarl.URL(f"http://{address}{request.target}", encoded=True),
                data=SlicedBody(request.body) if request.body else None,
                headers=multidict.CIMultiDict(headers),
                allow_redirects=False,
            )
        except (aiohttp.ClientError, OSError) as error:
            raise connections.describe_failure(name, error) from error
        connection = http_response.connection
        return UpstreamResponse(
            http_response.status,
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in http_response.raw_headers
            ],
            self._dialect.read_response(http_response.status, http_response.headers),
            http_response,
            connection.protocol if connection else None,
        )
