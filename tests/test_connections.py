"""Tests of how connections to upstreams are opened and retired."""

import socket

from tanagerfork.upstream import connections
from tests import upstreams


class TestSocket:
    def test_kernel_notices_a_silent_death(self):
        opened = connections.open_socket((socket.AF_INET, socket.SOCK_STREAM, 6, "", ("", 0)))
        with opened:
            assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            timeout_ms = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert timeout_ms == connections.USER_TIMEOUT_MS


class TestPool:
    async def test_connections_are_retired_with_age(self):
        now = [0.0]
        pool = connections.Pool(lambda: now[0])
        first = await pool.session()
        now[0] = connections.SESSION_ROTATION_S - 1
        assert await pool.session() is first
        now[0] += 1
        second = await pool.session()
        assert second is not first and not first.closed
        now[0] += connections.SESSION_ROTATION_S
        await pool.session()
        assert first.closed and not second.closed
        await pool.close()
        assert second.closed

    async def test_pooled_call_is_not_sent_again_by_the_library(self):
        async with upstreams.run_upstream([]) as upstream:
            pool = connections.Pool(lambda: 0.0)
            session = await pool.session()
            try:
                await session.put(upstream.entry.url, data=b"x")
                raise AssertionError("the upstream gave no answer")
            except connections.ExchangeBroken:
                assert len(upstream.requests) == 1
            await pool.close()
