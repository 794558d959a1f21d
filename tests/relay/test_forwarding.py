"""Requests that a daemon hands over to another one while it reaches no upstream itself."""

import asyncio

import aiohttp
import pytest

from tanagerfork.relay import forwarding
from tanagerfork_standins import proxy
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments

FAULT = runner.Fault


async def cut_off(deployed: deployments.Deployment, how: proxy.Cut = proxy.Cut.REFUSES) -> None:
    """Cut the first daemon off from all runners, and wait until it knows."""
    await deployed.wait_for_group()
    deployed.networks[0].cut(how)
    reach = deployed.daemons[0]._reach
    for path, method in (("/stream/cut", "POST"), ("/unsafe/cut", "POST")):
        await deployed.ask(path, method)
    await deployed.wait_until(lambda: len(reach.cut_off_services) == 2, "cut off")


def count_runs(deployed: deployments.Deployment, path: str) -> int:
    runners = [*deployed.site.engine_runners, *deployed.site.plain_runners]
    return sum(run.has_run for member in runners for run in member.requests if run.target == path)


class TestHandover:
    async def test_daemon_that_lost_the_store_still_takes_requests(self) -> None:
        """Its entry lapsed after 6 s, and the others handed nothing over to it any more."""
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            first, second = deployed.daemons
            second_path = deployed.networks[1].store_path
            second_path.cut(proxy.Cut.REFUSES)
            second_path.reset()
            await deployed.wait_until(
                lambda: second.settings.name not in first.directory.daemons, "the entry lapses", 20
            )
            response = await deployed.ask("/unsafe/x", "POST", b"body")
            assert response.status == 200

    async def test_request_arrives_as_the_caller_sent_it(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            response = await deployed.ask("/unsafe/a%2Fb?c=%41", "POST", b"body", X_Own="kept")
            assert response.status == 200 and response.body.endswith(b"/unsafe/a%2Fb?c=%41")
            (received,) = [
                run
                for member in deployed.site.plain_runners
                for run in member.requests
                if run.target == "/unsafe/a%2Fb?c=%41"
            ]
            sent = {name.lower(): value for name, value in received.headers.items()}
            assert received.body == b"body" and sent["x-own"] == "kept"
            assert sent["tanagerfork-tenant"] == site.TEAM and "authorization" not in sent
            assert 0 < float(sent["tanagerfork-deadline-ms"]) <= 3000
            assert not any(name.startswith("relay-") for name in sent)

    @pytest.mark.parametrize(
        "fault, path, method, status, runs",
        [
            (FAULT.FAILS, "/safe/x", "GET", 200, 2),
            (FAULT.FAILS, "/unsafe/x", "POST", 500, 1),
            (FAULT.RESETS, "/unsafe/x", "POST", 502, 1),
            (FAULT.FULL, "/unsafe/x", "POST", 200, 1),
        ],
    )
    async def test_faults_of_upstreams_have_the_same_outcome(
        self, fault: runner.Fault, path: str, method: str, status: int, runs: int
    ) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            shared_faults = [fault]
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            response = await deployed.ask(path, method)
            assert (response.status, count_runs(deployed, path)) == (status, runs)

    async def test_refusal_by_all_upstreams_reaches_the_caller_with_its_time(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            for member in deployed.site.plain_runners:
                member.faults = [FAULT.FULL]
            response = await deployed.ask("/unsafe/x", "POST")
            assert response.status == 503 and float(response.headers["Retry-After"]) > 0
            assert count_runs(deployed, "/unsafe/x") == 0

    async def test_stream_that_a_cut_interrupts_goes_on_through_another_daemon(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            for member in deployed.site.engine_runners:
                member.stream_gate.clear()
            asked = asyncio.create_task(deployed.ask("/stream/x", "POST"))
            await deployed.wait_until(lambda: count_runs(deployed, "/stream/x"), "a run")
            await asyncio.sleep(0.1)
            deployed.networks[0].cut(proxy.Cut.HANGS)
            for member in deployed.site.engine_runners:
                member.stream_gate.set()
            response = await asked
            assert response.status == 200 and response.is_whole
            ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == [b"id: %d" % number for number in range(1, 6)]
            assert deployed.log.find('"decision":"forward"', '"outcome":"answered"')

    async def test_caller_that_leaves_ends_the_run_behind_the_other_daemon(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            for member in deployed.site.engine_runners:
                member.stream_gate.clear()
            asked = asyncio.create_task(deployed.ask("/stream/x", "POST"))
            await deployed.wait_until(lambda: count_runs(deployed, "/stream/x"), "a run")
            asked.cancel()
            streams = [member._open_streams for member in deployed.site.engine_runners]
            await deployed.wait_until(lambda: not any(streams), "the end of the run")

    async def test_daemon_whose_upstreams_broke_off_is_handed_the_next_request(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            for member in deployed.site.engine_runners:
                member.faults = [FAULT.RESETS_MIDWAY] * 2
            assert not (await deployed.ask("/stream/x", "POST")).is_whole
            for member in deployed.site.engine_runners:
                member.faults.clear()
            assert (await deployed.ask("/stream/y", "POST")).status == 200

    async def test_daemon_with_rules_older_than_those_of_an_earlier_answer_takes_nothing_over(
        self,
    ) -> None:
        async with deployments.deploy(daemon_count=3, has_networks=True) as deployed:
            await cut_off(deployed)
            first, second, _ = deployed.daemons
            second.register.current.version = 2
            forwarder = first._forwarder
            while forwarder._relayed_version < 2:
                assert (await deployed.ask("/unsafe/x", "POST")).status == 200
            served = len(deployed.log.find('"daemon":"daemon-3"', "relay.attempts", "send"))
            for number in range(20):
                response = await deployed.ask(f"/unsafe/{number}", "POST")
                assert response.status == 200
                assert forwarding.RULES_VERSION not in response.headers
            assert len(deployed.log.find('"daemon":"daemon-3"', "relay.attempts", "send")) == served

    async def test_request_is_refused_if_every_daemon_is_cut_off(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await cut_off(deployed)
            deployed.networks[1].cut(proxy.Cut.REFUSES)
            await deployed.ask("/unsafe/x", "POST", daemon=1)
            response = await deployed.ask("/unsafe/y", "POST")
            assert response.status == 503 and float(response.headers["Retry-After"]) > 0
            assert count_runs(deployed, "/unsafe/y") == 0

    async def test_other_service_is_still_used_directly(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            spared = tuple(member.address for member in deployed.site.engine_runners)
            deployed.networks[0].cut(proxy.Cut.REFUSES, spared)
            assert (await deployed.ask("/unsafe/x", "POST")).status == 200
            assert (await deployed.ask("/stream/x", "POST")).status == 200
            (forwarded,) = deployed.log.find('"decision":"forward"')
            assert b'"route":"unsafe"' in forwarded


class TestListener:
    """What a daemon answers on the port where it takes over requests."""

    HEADERS = {
        "Host": site.HOST,
        "Tanagerfork-Request-Id": "r",
        "Tanagerfork-Deadline-Ms": "3000",
        "Authorization": f"Bearer {site.API_KEY}",
    }

    @pytest.mark.parametrize(
        "headers, status, is_unavailable",
        [
            ({}, 503, True),
            ({forwarding.ATTEMPTS: "1"}, 503, True),
            ({forwarding.ATTEMPTS: "0", forwarding.RULES_VERSION: "1"}, 503, True),
            ({forwarding.ATTEMPTS: "many", forwarding.RULES_VERSION: "1"}, 503, True),
            ({"Relay-Sends": "2", forwarding.RULES_VERSION: "1"}, 503, True),
            ({forwarding.ATTEMPTS: "2", forwarding.RULES_VERSION: "1"}, 200, False),
            (
                {forwarding.ATTEMPTS: "2", forwarding.RULES_VERSION: "1", "Relay-Later": "1"},
                200,
                False,
            ),
            ({forwarding.ATTEMPTS: "2", forwarding.RULES_VERSION: "99"}, 503, True),
        ],
    )
    async def test_each_handover(
        self, headers: dict[str, str], status: int, is_unavailable: bool
    ) -> None:
        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            address = deployed.daemons[0].directory.daemons["daemon-1"].forwarding
            async with (
                aiohttp.ClientSession(headers=self.HEADERS) as session,
                session.get(f"http://{address}/safe/x", headers=headers) as response,
            ):
                assert response.status == status
                assert (forwarding.UNAVAILABLE in response.headers) == is_unavailable

    async def test_daemon_without_configuration_takes_nothing_over(self) -> None:
        async with deployments.deploy(with_config=False) as deployed:
            address = deployed.daemons[0].directory.daemons["daemon-1"].forwarding
            headers = {forwarding.ATTEMPTS: "2", forwarding.RULES_VERSION: "0"}
            async with (
                aiohttp.ClientSession(headers=self.HEADERS) as session,
                session.get(f"http://{address}/safe/x", headers=headers) as response,
            ):
                assert response.status == 503 and forwarding.UNAVAILABLE in response.headers

    async def test_sends_are_limited_to_those_that_are_left(self) -> None:
        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            for member in deployed.site.plain_runners:
                member.faults = [FAULT.FAILS]
            address = deployed.daemons[0].directory.daemons["daemon-1"].forwarding
            headers = {forwarding.ATTEMPTS: "1", forwarding.RULES_VERSION: "1"}
            async with (
                aiohttp.ClientSession(headers=self.HEADERS) as session,
                session.get(f"http://{address}/safe/x", headers=headers) as response,
            ):
                assert response.status == 500
            assert count_runs(deployed, "/safe/x") == 1
