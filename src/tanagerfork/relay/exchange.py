"""Exchanges: one request sent to one upstream over HTTP, and its answer as it comes."""

import asyncio
import dataclasses

import aiohttp
import multidict
import yarl
from aiohttp import client_proto

from tanagerfork import errors
from tanagerfork.relay import calls, members
from tanagerfork.upstream import connections

CONNECT_TIMEOUT_S = 0.4  # Over a hundred round trips between failure domains.
POOL_IDLE_S = 4.0  # Below the shortest idle timeout that an upstream may state, five seconds.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


def open_session(is_pooled: bool) -> aiohttp.ClientSession:
    """Open a session that adds no headers, keeps no cookies and never sends anything twice.

    :param is_pooled: whether a connection may carry several exchanges.
    :return: session, to be closed by its owner.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not is_pooled,
        keepalive_timeout=POOL_IDLE_S if is_pooled else None,
        socket_factory=connections.open_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=SKIPPED_HEADERS,
        middlewares=(connections.send_once,),
        auto_decompress=False,
    )


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer whose head has come."""

    status: int
    headers: calls.Headers
    facts: calls.AnswerFacts
    response: aiohttp.ClientResponse
    protocol: asyncio.BaseProtocol | None

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection marks its end."""
        headers = self.response.headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers

    async def read_next(self) -> bytes:
        """Return the bytes that have come; empty at the end of the answer.

        :raises UpstreamLost: the answer broke off.
        """
        try:
            chunk = await self.response.content.readany()
            if not chunk and self.ends_with_connection:
                self._check_end()
        except (aiohttp.ClientError, OSError) as error:
            raise errors.UpstreamLost(f"the answer broke off ({error!r}); go elsewhere") from error
        return chunk

    async def read_whole(self) -> bytes:
        """Return the whole body.

        :raises UpstreamLost: the answer broke off.
        """
        parts: list[bytes] = []
        size = 0
        while chunk := await self.read_next():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise errors.UpstreamLost(f"the answer exceeds {MAX_ANSWER_BYTES} bytes; drop it")
        return b"".join(parts)

    def _check_end(self) -> None:
        # The HTTP library takes a reset for the end of an answer that has no length.
        protocol = self.protocol
        ended_by = (
            protocol.exception() if isinstance(protocol, client_proto.ResponseHandler) else None
        )
        if not isinstance(ended_by, aiohttp.ServerDisconnectedError):
            raise errors.UpstreamLost(f"the connection was reset ({ended_by!r}); go elsewhere")


class Exchanger:
    """Sends requests to upstreams.

    :param dialect: headers of the platform.
    """

    __slots__ = ("_dialect", "_pooled", "_single_use")

    def __init__(self, dialect: calls.Dialect) -> None:
        self._dialect = dialect
        self._pooled = open_session(is_pooled=True)
        self._single_use = open_session(is_pooled=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._single_use.close()

    async def send(
        self,
        request: calls.CallerRequest,
        upstream: members.Upstream,
        outgoing: calls.Outgoing,
        is_repeatable: bool,
    ) -> Answer:
        """Send a request and wait for the head of its answer.

        A request that may not be repeated gets a connection of its own: a kept one may be closed by
        the upstream at the moment of the send, and whether the request ran would not be known.

        :param request: caller's request.
        :param upstream: where to send it.
        :param outgoing: what this send adds.
        :param is_repeatable: whether the request may run more than once.
        :return: the answer; the caller of this method closes its response.
        :raises UpstreamUnreachable: no byte was sent.
        :raises UpstreamLost: the request may have run.
        """
        session = self._pooled if is_repeatable else self._single_use
        headers = multidict.CIMultiDict(self._dialect.make_headers(request, outgoing))
        try:
            response = await session.request(
                request.method,
                yarl.URL(f"http://{upstream.address}{request.target}", encoded=True),
                data=request.body or None,
                headers=headers,
                allow_redirects=False,
            )
        except (aiohttp.ClientError, OSError) as error:
            raise connections.describe_failure(upstream.id, error) from error
        connection = response.connection
        return Answer(
            response.status,
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.raw_headers
            ],
            self._dialect.read_answer(response.status, response.headers),
            response,
            connection.protocol if connection else None,
        )
