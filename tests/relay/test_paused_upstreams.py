"""Upstreams that pause and then go on, with and without a planned stop of the daemon."""

import asyncio

import pytest

from tanagerfork_standins.platform import runner, site
from tests.relay import deployments, test_broken_streams

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
    for member in [*deployed.site.engine_runners, *deployed.site.plain_runners]:
        member.answer_gate.clear()


def go_on(deployed: deployments.Deployment) -> None:
    for member in [*deployed.site.engine_runners, *deployed.site.plain_runners]:
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


async def start_and_pause(
    deployed: deployments.Deployment, path: str, is_begun: bool
) -> tuple[asyncio.Task[deployments.CallerResponse], runner.Runner]:
    """Send a request and pause the runner that has it, before or after its first events."""
    runners = [*deployed.site.engine_runners, *deployed.site.plain_runners]
    if not is_begun:
        pause(deployed)
    method = "GET" if path.startswith("/safe/") else "POST"
    asked = asyncio.create_task(deployed.ask(path, method, deadline_ms=DEADLINE_MS))
    book = deployed.daemons[0].book
    await deployed.wait_until(
        lambda: any(book.find(member.id).open for member in runners), "the request is sent"
    )
    await asyncio.sleep(0.1)
    first = next(member for member in runners if book.find(member.id).open)
    for member in runners:
        if member is first:
            member.answer_gate.clear()
        else:
            member.answer_gate.set()
    return asked, first


class TestOtherUpstream:
    """One upstream pauses; the one that is asked instead refuses, fails, or is no better."""

    FAULTS = (
        FAULT.FULL,
        FAULT.FULL_SILENTLY,
        FAULT.FAILS,
        FAULT.RESETS,
        FAULT.NO_BYTES,
        FAULT.CROSSED,
        FAULT.NO_RECEIPT,
        FAULT.HANGS,
    )

    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("is_begun", [False, True])
    async def test_stream_goes_on_at_the_upstream_that_paused(
        self, fault: runner.Fault, is_begun: bool
    ) -> None:
        async with deployments.deploy(engines=6) as deployed:
            await deploy_groups(deployed, 3)
            asked, first = await start_and_pause(deployed, "/stream/x", is_begun)
            others = [member for member in deployed.site.engine_runners if member is not first]
            for member in others:
                member.faults = [fault] * 8
            await deployed.wait_until(
                lambda: any(member.requests for member in others), "another upstream is asked"
            )
            await asyncio.sleep(0.3)
            first.answer_gate.set()
            response = await asked
            assert response.status == 200 and response.is_whole
            assert list_ids(response) == IDS

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_plain_answer_comes_from_the_upstream_that_paused(
        self, fault: runner.Fault
    ) -> None:
        async with deployments.deploy(engines=0, plain=2) as deployed:
            await deployed.wait_for_rules()
            asked, first = await start_and_pause(deployed, "/safe/x", is_begun=False)
            other = next(one for one in deployed.site.plain_runners if one is not first)
            other.faults = [fault] * 8
            await deployed.wait_until(lambda: other.requests, "another upstream is asked")
            await asyncio.sleep(0.3)
            first.answer_gate.set()
            response = await asked
            assert response.status == 200 and response.is_whole
            assert response.body == f"answer of {first.id} to /safe/x".encode()

    async def test_first_answer_ends_the_other_send(self) -> None:
        async with deployments.deploy(engines=4) as deployed:
            await deploy_groups(deployed, 2)
            asked, first = await start_and_pause(deployed, "/stream/x", is_begun=True)
            response = await asked
            assert response.is_whole and list_ids(response) == IDS
            book = deployed.daemons[0].book
            assert not any(book.find(member.id).open for member in deployed.site.engine_runners)
            assert deployed.log.find('"decision":"send"', first.id, "another upstream has answered")

    async def test_no_more_upstreams_than_attempts_are_asked(self) -> None:
        async with deployments.deploy(engines=6) as deployed:
            await deploy_groups(deployed, 3)
            pause(deployed)
            response = await deployed.ask("/stream/x", "POST", deadline_ms=2500)
            assert response.status == 504
            await asyncio.sleep(0.1)
            go_on(deployed)
            assert len(deployed.log.find('"decision":"send"')) <= 2

    async def test_request_that_must_run_once_is_sent_once(self) -> None:
        async with deployments.deploy(engines=0, plain=2) as deployed:
            await deployed.wait_for_rules()
            asked, first = await start_and_pause(deployed, "/unsafe/x", is_begun=False)
            await asyncio.sleep(1)
            first.answer_gate.set()
            assert (await asked).status == 200
            assert sum(len(one.requests) for one in deployed.site.plain_runners) == 1

    async def test_upstream_that_answers_again_is_asked_at_once(self) -> None:
        async with deployments.deploy(engines=4) as deployed:
            await deploy_groups(deployed, 2)
            asked, first = await start_and_pause(deployed, "/stream/x", is_begun=True)
            daemon = deployed.daemons[0]
            groups = daemon.view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)
            other = next(group.head.id for group in groups if group.head.id != first.id)
            now_ms = daemon.clock.monotonic_ms()
            daemon.book.suspect(other, now_ms + 60_000)
            daemon.book.find(other).heard_at_ms = now_ms + 61_000
            assert (await asked).is_whole
            assert deployed.log.find('"decision":"send"', other, '"outcome":"answered"')


class TestEndOfStop:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_stream_of_a_silent_upstream_is_cut_visibly(self, version: str) -> None:
        async with deployments.deploy(engines=4) as deployed:
            await deploy_groups(deployed, 2)
            daemon = deployed.daemons[0]
            asked = asyncio.create_task(test_broken_streams.read_raw(deployed, version))
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            await asyncio.sleep(0.1)
            pause(deployed)
            await asyncio.sleep(0.7)
            await daemon.stop()
            deployed.daemons.clear()
            received, was_reset = await asked
            assert b"id: 1" in received and not received.endswith(b"0\r\n\r\n")
            assert was_reset or version == "1.1"
            assert deployed.log.find('"decision":"end"', '"outcome":"cut"')
            assert deployed.log.find("request not answered", "the daemon is stopping")
            go_on(deployed)
