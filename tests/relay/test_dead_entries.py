"""Listed upstreams that nobody answers, beside live ones of the same service.

They say nothing of the daemon's own reach as long as one upstream answers.
"""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

import msgspec
import pytest

from tanagerfork_standins import proxy
from tanagerfork_standins.platform import site
from tests.relay import deployments

DEAD = 3  # In each failure domain.
ROUNDS = 8  # A check of the reach in most of them.
ROUND_S = 0.5


class Kind(enum.Enum):
    """How an address without an upstream behaves."""

    REFUSES = "refuses connections"
    HANGS = "neither accepts nor refuses connections"
    STAYS_SILENT = "accepts connections and sends nothing"


@contextlib.asynccontextmanager
async def hold_dead_addresses(kind: Kind, count: int = DEAD) -> AsyncIterator[list[str]]:
    """Hold addresses at which nobody answers."""
    async with contextlib.AsyncExitStack() as held:
        addresses = []
        for _ in range(count):
            if kind is Kind.STAYS_SILENT:
                server = await asyncio.start_server(
                    lambda _, writer: held.callback(writer.close), "127.0.0.1", 0
                )
                held.callback(server.close)
                port = server.sockets[0].getsockname()[1]
            else:
                path = proxy.Proxy("127.0.0.1:1")
                await path.start()
                held.push_async_callback(path.stop)
                path.cut(proxy.Cut.REFUSES if kind is Kind.REFUSES else proxy.Cut.HANGS)
                port = path.port
            addresses.append(f"127.0.0.1:{port}")
        yield addresses


def list_dead(
    deployed: deployments.Deployment,
    addresses: list[str],
    service: str,
    failure_domains: tuple[str, ...] = ("a",),
) -> None:
    """Write entries for the addresses, spread over the failure domains of the live upstreams."""
    for number, address in enumerate(addresses):
        entry = {
            "service": service,
            "address": address,
            "zone": failure_domains[number % len(failure_domains)],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": 1,
        }
        deployed.site.store.put(f"servers/i-dead{number}", msgspec.json.encode(entry))


class TestDeadEntries:
    @pytest.mark.parametrize("kind", Kind, ids=lambda kind: kind.name)
    @pytest.mark.parametrize("failure_domains", [("a",), ("a", "b")], ids=["one", "two"])
    async def test_live_upstreams_of_a_plain_service_are_reached(
        self, kind: Kind, failure_domains: tuple[str, ...]
    ) -> None:
        dead = DEAD * len(failure_domains)
        async with (
            deployments.deploy(engines=0, failure_domains=failure_domains) as deployed,
            hold_dead_addresses(kind, dead) as addresses,
        ):
            list_dead(deployed, addresses, site.PLAIN_SERVICE, failure_domains)
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_plain(site.PLAIN_SERVICE)) == 2 + dead,
                "all entries",
            )
            for number in range(ROUNDS):
                path = f"/safe/{number}"
                asked = [deployed.ask(path) for _ in range(6)]
                statuses = [response.status for response in await asyncio.gather(*asked)]
                assert 503 not in statuses
                await asyncio.sleep(ROUND_S)
            assert not deployed.log.find("no upstream reached")

    @pytest.mark.parametrize("kind", Kind, ids=lambda kind: kind.name)
    async def test_live_upstreams_of_an_engine_service_are_reached(self, kind: Kind) -> None:
        async with deployments.deploy() as deployed, hold_dead_addresses(kind) as addresses:
            await deployed.wait_for_group()
            list_dead(deployed, addresses, site.ENGINE_SERVICE)
            await deployed.wait_until(
                lambda: len(list(deployed.daemons[0].view.upstreams)) == 6 + DEAD, "all entries"
            )
            checks = deployed.daemons[0]._reach_checks
            for number in range(ROUNDS):
                checks.doubt(site.ENGINE_SERVICE)
                response = await deployed.ask(f"/stream/{number}", "POST", b"hello")
                assert response.status == 200
                await asyncio.sleep(ROUND_S)
            assert not deployed.log.find("no upstream reached")
