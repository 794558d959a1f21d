"""A daemon whose configuration is older than that of an answer that it has passed on."""

import asyncio
import dataclasses

import pytest

from tanagerfork.relay import calls, forwarding, rules
from tanagerfork_standins import proxy
from tests.relay import deployments, test_forwarding

SENDS = ('"daemon":"daemon-1"', "relay.attempts", '"decision":"send"')


async def fall_behind(deployed: deployments.Deployment) -> None:
    """Have the first daemon pass on an answer of the second one, whose rules are newer."""
    await test_forwarding.cut_off(deployed)
    first, second = deployed.daemons
    second.register.current.version = 2
    assert (await deployed.ask("/unsafe/passed-on", "POST")).status == 200
    await deployed.networks[0].heal()
    await deployed.wait_until(lambda: not first._reach.cut_off_services, "its own reach")


class TestOwnCallers:
    async def test_daemon_that_reaches_upstreams_again_does_not_go_back_to_older_rules(
        self,
    ) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            sends = len(deployed.log.find(*SENDS))
            for path, method in (("/unsafe/x", "POST"), ("/safe/x", "GET"), ("/stream/x", "POST")):
                assert (await deployed.ask(path, method)).status == 200
            assert len(deployed.log.find(*SENDS)) == sends

    async def test_it_serves_again_once_it_has_the_newer_rules(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            sends = len(deployed.log.find(*SENDS))
            deployed.daemons[0].register.current.version = 2
            assert (await deployed.ask("/unsafe/x", "POST")).status == 200
            assert len(deployed.log.find(*SENDS)) == sends + 1

    async def test_route_and_key_that_older_rules_lack_are_not_refused_for_good(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            for response in (
                await deployed.ask("/newer/x"),
                await deployed.ask("/safe/x", key="newer"),
            ):
                assert response.status == 503 and b"not_run" in response.body
                assert 0 < float(response.headers["Retry-After"]) <= 1

    async def test_key_that_newer_rules_revoke_is_refused(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            deployed.daemons[1].register.current._teams_by_key = {}
            assert (await deployed.ask("/safe/x")).status == 401

    async def test_request_is_refused_as_not_run_while_no_daemon_has_the_newer_rules(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            deployed.daemons[1].register.current.version = 1
            response = await deployed.ask("/unsafe/x", "POST")
            assert response.status == 503 and b"not_run" in response.body
            assert 0 < float(response.headers["Retry-After"]) <= 1
            assert not test_forwarding.count_runs(deployed, "/unsafe/x")

    async def test_safe_request_that_newer_rules_may_call_unsafe_runs_once(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            for member in deployed.site.plain_runners:
                member.faults = [test_forwarding.FAULT.RESETS]
            route = deployed.daemons[1].register.current.match(test_forwarding.site.HOST, "/safe/")
            newer_routes = deployed.daemons[1].register.current._routes_by_prefix
            newer_routes[route.host, route.prefix] = dataclasses.replace(
                route, repetition=rules.Repetition.UNSAFE
            )
            assert (await deployed.ask("/safe/x")).status == 502
            assert test_forwarding.count_runs(deployed, "/safe/x") == 1


class TestOpenHandover:
    async def test_newer_rules_count_before_their_answer_is_there(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            first, second = deployed.daemons
            second.register.current.version = 2
            known = first._forwarder._states["daemon-2"]
            await deployed.wait_until(lambda: known.rules_version == 2, "a notice")
            for member in deployed.site.engine_runners:
                member.stream_gate.clear()
            asked = asyncio.create_task(deployed.ask("/stream/x", "POST"))
            await deployed.wait_until(
                lambda: test_forwarding.count_runs(deployed, "/stream/x"), "a run"
            )
            assert first._forwarder.is_outdated
            deployed.networks[1].cut(proxy.Cut.RESETS)
            asked.cancel()


class TestTakingOver:
    async def test_outdated_daemon_takes_nothing_over(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await fall_behind(deployed)
            second = deployed.daemons[1]
            second.register.current.version = 1
            deployed.networks[1].cut(proxy.Cut.REFUSES)
            await deployed.ask("/unsafe/x", "POST", daemon=1)
            await deployed.wait_until(
                lambda: not second._forwarder.is_cut_off("daemon-1"), "a daemon to hand over to"
            )
            response = await deployed.ask("/unsafe/y", "POST", daemon=1)
            assert response.status == 503
            assert not test_forwarding.count_runs(deployed, "/unsafe/y")


class TestChoice:
    async def test_daemon_with_older_rules_by_its_notices_is_not_chosen_beside_others(self) -> None:
        async with deployments.deploy(daemon_count=3, has_networks=True) as deployed:
            first, second, _ = deployed.daemons
            await deployed.wait_until(
                lambda: all(one.register.current for one in (first, second)), "rules of both"
            )
            await deployed.wait_for_rules()
            first.register.current.version = second.register.current.version = 2
            states = first._forwarder._states
            await deployed.wait_until(
                lambda: (states["daemon-2"].rules_version, states["daemon-3"].rules_version)
                == (2, 1),
                "notices of both",
            )
            chosen = {first._forwarder.choose_daemon("svc", ()) for _ in range(50)}
            assert chosen == {"daemon-2"}

    async def test_daemon_that_refused_for_older_rules_is_tried_once_it_tells_the_newer_version(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        avoided_ms = {**forwarding.AVOIDED_MS, calls.Outcome.REFUSED: 60_000}
        monkeypatch.setattr(forwarding, "AVOIDED_MS", avoided_ms)
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            first, second = deployed.daemons
            first.register.current.version = 2
            assert (await deployed.ask("/unsafe/x", "POST")).status == 503
            second.register.current.version = 2
            await deployed.wait_until(
                lambda: first._forwarder._states["daemon-2"].rules_version == 2, "a notice"
            )
            assert (await deployed.ask("/unsafe/x", "POST")).status == 200
