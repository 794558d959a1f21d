"""Members and stores that answer calls with bytes without end, and upstreams between requests."""

import asyncio
import itertools
import tracemalloc

import pytest

from tanagerfork import metrics as metric
from tanagerfork.platform import store as stores
from tanagerfork.relay import members, plans
from tests.relay import deployments, test_endless

MAX_MEMORY_BYTES = 8 * 1024 * 1024
KINDS = [kind for kind in test_endless.ENDLESS if kind != "no answer"]


class TestEndlessAnswerOfAMember:
    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("is_order", [False, True], ids=["probe", "order"])
    async def test_memory_stays_bounded_and_the_connection_is_closed(
        self, kind: str, is_order: bool
    ) -> None:
        upstream = test_endless.EndlessUpstream(*test_endless.ENDLESS[kind])
        async with deployments.deploy(engines=0, plain=0) as deployed:
            server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            client = deployed.daemons[0]._client
            tracemalloc.start()
            try:
                if is_order:
                    order = plans.Order(plans.OPEN, "i-endless", address, "g", 1)
                    await client.send_order(order, 1, None)
                else:
                    member = members.Upstream("i-endless", "s", address, "a", False, 1)
                    assert (await client.probe(member)).is_err()
                peak = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert upstream.requests == 1 and peak < MAX_MEMORY_BYTES
            await deployed.wait_until(
                lambda: not upstream.open_connections, "the connection is closed"
            )
            server.close()


class TestEndlessAnswerOfTheStore:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_memory_stays_bounded_and_the_connection_is_closed(self, kind: str) -> None:
        upstream = test_endless.EndlessUpstream(*test_endless.ENDLESS[kind])
        async with deployments.deploy(engines=0, plain=0) as deployed:
            server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            store = stores.PlatformStore(
                deployed.daemons[0]._session, address, 500, metric.Metrics()
            )
            tracemalloc.start()
            try:
                assert (await store.read("key")).is_err()
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert upstream.requests == 1 and peak_bytes < test_endless.MAX_MEMORY_BYTES
            await deployed.wait_until(
                lambda: not upstream.open_connections, "the connection is closed"
            )
            server.close()


class BabblingUpstream(test_endless.EndlessUpstream):
    """Answers each request properly, and then goes on to send bytes."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            request_id = head.lower().partition(b"tanagerfork-request-id: ")[2].partition(b"\r")[0]
            writer.write(self._begin % request_id)
            for _ in itertools.count():
                await asyncio.sleep(0.001)
                writer.write(self._piece)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The daemon has closed the connection.
        finally:
            self.open_connections -= 1
            writer.close()


class TestEndlessBytesBehindAnAnswer:
    @pytest.mark.parametrize(
        "piece", [test_endless.PIECE, test_endless.OK + b"Content-Length: 0\r\n\r\n", b"\r\n"]
    )
    async def test_idle_connection_is_closed_and_not_used_again(
        self, piece: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        begin = test_endless.STAMPED + b"Content-Length: 2\r\n\r\nok"
        upstream = BabblingUpstream(begin, piece)
        monkeypatch.setattr(test_endless, "EndlessUpstream", lambda *_: upstream)
        async with (
            deployments.deploy(engines=0, plain=0) as deployed,
            test_endless.run_upstream(deployed, "chunks"),
        ):
            await deployed.wait_for_rules()
            for number in range(3):
                response = await deployed.ask(f"/safe/{number}")
                assert (response.status, response.body) == (200, b"ok")
                await deployed.wait_until(
                    lambda: not upstream.open_connections, "the connection is closed"
                )
