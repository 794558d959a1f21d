"""Upstreams that all pause at once and then go on, with and without a planned stop of the daemon."""

import asyncio
import contextlib

import pytest

from tanagerfork_standins.platform import runner, site
from tests.relay import deployments

DEADLINE_MS = 6000
GRACE_MS = 8000
EVENTS = 40
STREAMS = 2
IDS = [b"id: %d" % number for number in range(1, EVENTS + 1)]
FAULT = runner.Fault


async def deploy_groups(deployed: deployments.Deployment, groups: int) -> None:
    """Wait for groups of two runners, with streams and routes that outlast a pause."""
    config = deployed.site.make_config()
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    deployed.site.write_config(routes=config["routes"])
    for member in deployed.site.engine_runners:
        member.events = EVENTS
    view = deployed.daemons[0].view
    await deployed.wait_until(
        lambda: len(view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)) >= groups, "groups"
    )


def pause(deployed: deployments.Deployment) -> None:
    for member in deployed.site.engine_runners:
        member.answer_gate.clear()


def go_on(deployed: deployments.Deployment) -> None:
    for member in deployed.site.engine_runners:
        member.answer_gate.set()


def list_ids(response: deployments.CallerResponse) -> list[bytes]:
    return [line for line in response.body.split(b"\n") if line.startswith(b"id: ")]


class TestPause:
    """Silence alone ends no stream: the upstreams of all groups are alive."""

    @pytest.mark.parametrize("is_stopped", [False, True])
    @pytest.mark.parametrize("pause_s", [0.5, 1.0, 2.0])
    @pytest.mark.parametrize("groups", [1, 2, 3])
    async def test_streams_are_whole_after_all_upstreams_paused(
        self, groups: int, pause_s: float, is_stopped: bool
    ) -> None:
        async with deployments.deploy(engines=2 * groups) as deployed:
            await deploy_groups(deployed, groups)
            daemon = deployed.daemons[0]
            daemon.settings.bounds.grace_ms = GRACE_MS
            asked = [
                asyncio.create_task(
                    deployed.ask(f"/stream/{number}", "POST", deadline_ms=DEADLINE_MS)
                )
                for number in range(STREAMS)
            ]
            await deployed.wait_until(
                lambda: daemon.front.open_requests == STREAMS, "all streams are open"
            )
            await asyncio.sleep(0.1)
            pause(deployed)
            stopping = asyncio.create_task(daemon.stop()) if is_stopped else None
            await asyncio.sleep(pause_s)
            go_on(deployed)
            responses = await asyncio.gather(*asked)
            if stopping is not None:
                await stopping
                deployed.daemons.clear()
            assert [response.is_whole for response in responses] == [True] * STREAMS
            assert [list_ids(response) for response in responses] == [IDS] * STREAMS
