"""Members that answer probes and orders with bytes without end."""

import asyncio
import tracemalloc

import pytest

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
