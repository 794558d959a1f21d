"""Tests of the socket options, the rotation and the single send of connections to upstreams."""

import socket

from tanagerfork.upstream import connections
from tests import upstreams


class TestSocket:
    def test_kernel_detects_dead_peer(self):
        tcp_socket = connections.open_socket((socket.AF_INET, socket.SOCK_STREAM, 6, "", ("", 0)))
        with tcp_socket:
            assert tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            timeout_ms = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert timeout_ms == connections.USER_TIMEOUT_MS


class TestPool:
    async def test_sessions_are_replaced_and_closed_with_age(self):
        now_s = [0.0]
        pool = connections.Pool(lambda: now_s[0])
        first = await pool.session()
        now_s[0] = connections.SESSION_ROTATION_S - 1
        assert await pool.session() is first
        now_s[0] += 1
        second = await pool.session()
        assert second is not first and not first.closed
        now_s[0] += connections.SESSION_ROTATION_S
        await pool.session()
        assert first.closed and not second.closed
        await pool.close()
        assert second.closed

    async def test_pooled_call_is_not_resent_by_aiohttp(self):
        async with upstreams.run_upstream([]) as upstream:
            pool = connections.Pool(lambda: 0.0)
            session = await pool.session()
            try:
                await session.put(upstream.entry.url, data=b"x")
                raise AssertionError("the upstream gave no answer")
            except connections.ExchangeBroken:
                assert len(upstream.requests) == 1
            await pool.close()
