"""Quarantine of requests that crash the upstreams that run them."""

import asyncio

from tanagerfork_standins.platform import runner
from tests.relay import deployments

CRASHES, RESETS = runner.Fault.CRASHES, runner.Fault.RESETS


class TestPoison:
    async def test_second_crash_quarantines_the_request_at_every_daemon(self) -> None:
        async with deployments.deploy(engines=0, plain=3, daemon_count=2) as deployed:
            await deployed.wait_for_rules()
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].directory.daemons) == 2, "daemons know each other"
            )
            shared_faults = [CRASHES] * 2
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            assert (await deployed.ask("/safe/poison")).status == 502
            await deployed.wait_until(
                lambda: len(deployed.log.find("request suspected", '"crashes":2')) >= 2,
                "both daemons know",
            )
            runs = sum(len(member.requests) for member in deployed.site.plain_runners)
            for _ in range(2):
                response = await deployed.ask("/safe/poison")
                assert response.status == 503 and float(response.headers["Retry-After"]) > 0
                deployed.daemons.reverse()
            assert sum(len(member.requests) for member in deployed.site.plain_runners) == runs
            assert (await deployed.ask("/safe/other")).status == 200

    async def test_lost_responses_do_not_quarantine_the_request(self) -> None:
        async with deployments.deploy(engines=0, plain=3) as deployed:
            await deployed.wait_for_rules()
            shared_faults = [RESETS] * 4
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            for _ in range(2):
                assert (await deployed.ask("/safe/x")).status == 502
            await asyncio.sleep(0.3)
            assert (await deployed.ask("/safe/x")).status == 200
