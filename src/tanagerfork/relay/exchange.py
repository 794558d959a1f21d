"""HTTP exchanges: sends one request to one upstream and reads its response."""

import asyncio
import dataclasses

import aiohttp
import multidict
import yarl
from aiohttp import client_proto

from tanagerfork import errors
from tanagerfork.relay import calls, members
from tanagerfork.upstream import connections, guarded

CONNECT_TIMEOUT_S = 0.4  # Over 100 round trips between failure domains.
POOL_IDLE_TIMEOUT_S = 4.0  # Below 5 s, the shortest idle timeout of an upstream.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
SUPPRESSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


def open_session(is_pooled: bool) -> aiohttp.ClientSession:
    """Open a session that adds no headers, keeps no cookies and never retries.

    :param is_pooled: whether a connection may carry several exchanges.
    :return: session; the caller closes it.
    """
    connector = guarded.GuardedConnector(
        limit=0,
        force_close=not is_pooled,
        keepalive_timeout=POOL_IDLE_TIMEOUT_S if is_pooled else None,
        socket_factory=connections.open_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=SUPPRESSED_HEADERS,
        middlewares=(connections.send_once,),
        auto_decompress=False,
    )


@dataclasses.dataclass(slots=True)
class UpstreamResponse:
    """An upstream's response whose headers have been received."""

    status: int
    headers: calls.Headers
    facts: calls.ResponseFacts
    http_response: aiohttp.ClientResponse
    protocol: asyncio.BaseProtocol | None

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
        except (aiohttp.ClientError, OSError) as error:
            raise errors.UpstreamLost(
                f"the response broke off ({error!r}); use another upstream"
            ) from error
        return chunk

    async def read_body(self) -> bytes:
        """Return the whole body.

        :raises UpstreamLost: the response broke off or is too large.
        """
        parts: list[bytes] = []
        size = 0
        while chunk := await self.read_chunk():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise errors.UpstreamLost(
                    f"the response exceeds {MAX_RESPONSE_BYTES} bytes; drop it"
                )
        return b"".join(parts)

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
    """

    __slots__ = ("_dialect", "_pooled", "_unpooled")

    def __init__(self, dialect: calls.Dialect) -> None:
        self._dialect = dialect
        self._pooled = open_session(is_pooled=True)
        self._unpooled = open_session(is_pooled=False)

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
        if session.closed:
            raise errors.UpstreamUnreachable("the daemon is stopping; send the request again")
        try:
            http_response = await session.request(
                request.method,
                yarl.URL(f"http://{address}{request.target}", encoded=True),
                data=request.body or None,
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
