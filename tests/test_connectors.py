"""Tests of connections that take long because the event loop of the daemon itself is late."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import aiohttp.web
import pytest

from tanagerfork.platform import headers
from tanagerfork.relay import calls, exchange, memory
from tanagerfork.upstream import connections, connectors
from tanagerfork_standins import proxy

LIMIT_S = 0.05


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError):  # The first connection is given up.
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    writer.close()


def open_session(stalls_s: list[float], limit_s: float = LIMIT_S) -> aiohttp.ClientSession:
    """Open a session; for each connection the event loop stands still for the next time."""

    def open_socket(address_info: Sequence[Any]) -> socket.socket:
        if stalls_s:
            asyncio.get_running_loop().call_soon(time.sleep, stalls_s.pop(0))
        return connections.open_socket(address_info)

    return aiohttp.ClientSession(
        connector=connectors.Connector(socket_factory=open_socket),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=limit_s),
    )


class TestLateLoop:
    async def test_time_that_the_loop_itself_used_up_is_not_the_upstreams(self) -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        limit_s = exchange.CONNECT_TIMEOUT_S  # The last try has to succeed within it.
        for stalls in (1, 2):  # The second one within the second time limit.
            stalls_s = [1.5 * limit_s] * stalls
            async with open_session(stalls_s, limit_s) as session, session.get(url) as response:
                assert response.status == 200 and not stalls_s
        server.close()

    async def test_last_time_limit_counts(self) -> None:
        path = proxy.Proxy("127.0.0.1:1")
        await path.start()
        path.cut(proxy.Cut.HANGS)
        stalls_s = [4 * LIMIT_S] * 4
        async with open_session(stalls_s) as session:
            with pytest.raises(aiohttp.ConnectionTimeoutError):
                await session.get(f"http://{path.address}/")
        assert len(stalls_s) == 1
        await path.stop()

    async def test_connection_that_is_not_taken_in_time_is_tried_once(self) -> None:
        path = proxy.Proxy("127.0.0.1:1")
        await path.start()
        path.cut(proxy.Cut.HANGS)
        tried: list[None] = []

        def open_socket(address_info: Sequence[Any]) -> socket.socket:
            tried.append(None)
            return connections.open_socket(address_info)

        connector = connectors.Connector(socket_factory=open_socket)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            with pytest.raises(aiohttp.ConnectionTimeoutError):
                await session.get(f"http://{path.address}/")
        assert len(tried) == 1
        await path.stop()

    @pytest.mark.parametrize(
        "open_upstream_session",
        [
            lambda: connections.open_session(single_use=True),
            lambda: connections.open_session(single_use=False),
            lambda: exchange.open_session(is_pooled=True),
            lambda: exchange.open_session(is_pooled=False),
        ],
        ids=["single-use", "reused", "relay-pooled", "relay-unpooled"],
    )
    async def test_sessions_to_upstreams_use_it(self, open_upstream_session: Any) -> None:
        async with open_upstream_session() as session:
            assert isinstance(session.connector, connectors.Connector)


async def ignore_part(size_bytes: int) -> None:
    """Account for nothing."""


class TestReuse:
    """Each connection was closed after its first answer, as if bytes had followed it."""

    @pytest.mark.parametrize(
        ("keep_alive", "count"),
        [
            ("", 1),
            ("timeout=5", 1),
            ("5", 1),
            ("max=9", 1),
            ("timeout=4, max=9", 3),
            ("timeout=0", 3),
            ("2", 3),
        ],
    )
    @pytest.mark.parametrize("size", [10, 2 * memory.READ_AHEAD_BYTES])
    async def test_connection_is_used_as_long_as_the_upstream_keeps_it(
        self, keep_alive: str, count: int, size: int
    ) -> None:
        ports = set()

        async def serve(request: aiohttp.web.Request) -> aiohttp.web.Response:
            ports.add(request.transport.get_extra_info("peername")[1])
            added = {"Keep-Alive": keep_alive} if keep_alive else {}
            return aiohttp.web.Response(body=b"x" * size, headers=added)

        app = aiohttp.web.Application()
        app.router.add_get("/", serve)
        runner = aiohttp.web.AppRunner(app)
        await runner.setup()
        site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        address = "127.0.0.1:{}".format(*runner.addresses[0][1:])
        dialect = headers.PlatformDialect()
        client = exchange.UpstreamClient(dialect, is_bounded=True)
        request = calls.CallerRequest(dialect.read_request({}), "GET", "/", "h", [], b"", 0.0)
        for _ in range(3):
            response = await client.send_to("u", address, request, [], is_repeatable=True)
            assert len(await response.read_body(ignore_part)) == size
            response.http_response.close()
        await client.close()
        await runner.cleanup()
        assert len(ports) == count

    async def test_connection_that_still_owes_a_body_is_not_used_again(self) -> None:
        """An upstream that answers early would take the next request for the rest of the body."""

        async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await reader.read()  # To the end of the connection.
            writer.close()

        server = await asyncio.start_server(answer_early, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        dialect = headers.PlatformDialect()
        client = exchange.UpstreamClient(dialect, is_bounded=True)
        for body in (b"x" * 8_000_000, b""):
            facts = dialect.read_request({})
            request = calls.CallerRequest(facts, "POST", "/", "h", [], body, 0.0)
            async with asyncio.timeout(5):  # Without an answer, the request went into the body.
                response = await client.send_to("u", address, request, [], is_repeatable=True)
            assert response.status == 200
            response.http_response.close()
        await client.close()
        server.close()
