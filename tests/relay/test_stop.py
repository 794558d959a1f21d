"""A planned stop cuts off nothing, and tells the balancer at once."""

import asyncio

from tanagerfork.relay import daemon as daemons
from tanagerfork_standins.platform import runner
from tests.relay import deployments


class TestStop:
    async def test_stream_in_flight_ends_whole(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            daemon = deployed.daemons[0]
            for member in deployed.site.runners:
                member.holds_stream.clear()
            asking = asyncio.create_task(deployed.ask("/stream/x", "POST", b"hello"))
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            stopping = asyncio.create_task(daemon.stop())
            await asyncio.sleep(0.05)
            assert not daemon.is_ready
            for member in deployed.site.runners:
                member.holds_stream.set()
            got = await asking
            assert got.is_whole and got.body.count(b"id:") == 5
            await stopping
            deployed.daemons.clear()

    async def test_new_request_during_the_stop_is_served_and_closes(self) -> None:
        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            stopping = asyncio.create_task(deployed.daemons[0].stop())
            await asyncio.sleep(0.05)
            got = await deployed.ask("/safe/x")
            assert got.status == 200 and got.headers["Connection"] == "close"
            await stopping
            deployed.daemons.clear()

    async def test_ends_within_the_grace_time_whatever_hangs(self) -> None:
        """The bound is the platform's: it kills what is still there then."""
        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            daemon = deployed.daemons[0]
            deployed.site.plain[0].faults = [runner.Fault.HANGS]
            asking = asyncio.create_task(deployed.ask("/unsafe/x", "POST", deadline_ms=60_000))
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            deployed.site.store.faults.is_silent = True
            async with asyncio.timeout(daemon.settings.bounds.grace_ms / 1000):
                await daemon.stop()
            deployed.daemons.clear()
            asking.cancel()

    async def test_late_request_is_refused_and_not_run(self) -> None:
        """One that came on a kept connection 4.7 s after the signal was cut off at the end."""
        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            daemon = deployed.daemons[0]
            daemon.settings.bounds.grace_ms = daemons.BALANCER_MS + 3000
            deployed.site.plain[0].faults = [runner.Fault.HANGS]
            asking = asyncio.create_task(deployed.ask("/unsafe/x", "POST", deadline_ms=60_000))
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            stopping = asyncio.create_task(daemon.stop())
            await asyncio.sleep((daemons.BALANCER_MS + 200) / 1000)
            got = await deployed.ask("/safe/late")
            assert got.status == 503 and float(got.headers["Retry-After"]) > 0
            assert [run.target for run in deployed.site.plain[0].runs] == ["/unsafe/x"]
            await stopping
            deployed.daemons.clear()
            asking.cancel()
