"""A planned stop finishes open requests and fails readiness probes at once."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest

from tanagerfork.peers import link
from tanagerfork.relay import exchange, stopping, tasks
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments


class FakeInbox:
    """An inbox with a given receive function."""

    def __init__(self, receive: Callable[[], Awaitable[bytes]], inbox: link.Inbox) -> None:
        self.receive = receive
        self.address = inbox.address
        self.close = inbox.close


class TestStop:
    async def test_open_stream_completes(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            daemon = deployed.daemons[0]
            for member in deployed.site.engine_runners:
                member.stream_gate.clear()
            request_task = asyncio.create_task(deployed.ask("/stream/x", "POST", b"hello"))
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            stop_task = asyncio.create_task(daemon.stop())
            await asyncio.sleep(0.05)
            assert not daemon.is_ready
            for member in deployed.site.engine_runners:
                member.stream_gate.set()
            response = await request_task
            assert response.is_whole and response.body.count(b"id:") == 5
            await stop_task
            deployed.daemons.clear()

    async def test_new_request_during_the_stop_is_served_and_closes_the_connection(self) -> None:
        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            stop_task = asyncio.create_task(deployed.daemons[0].stop())
            await asyncio.sleep(0.05)
            response = await deployed.ask("/safe/x")
            assert response.status == 200 and response.headers["Connection"] == "close"
            await stop_task
            deployed.daemons.clear()

    async def test_stop_ends_within_the_grace_period_despite_hanging_requests(self) -> None:
        """The platform kills the process at the end of the grace period."""
        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            daemon = deployed.daemons[0]
            deployed.site.plain_runners[0].faults = [runner.Fault.HANGS]
            request_task = asyncio.create_task(
                deployed.ask("/unsafe/x", "POST", deadline_ms=60_000)
            )
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            deployed.site.store.faults.is_silent = True
            async with asyncio.timeout(daemon.settings.bounds.grace_ms / 1000):
                await daemon.stop()
            deployed.daemons.clear()
            request_task.cancel()

    async def test_task_that_loses_its_cancellation_ends_with_its_closed_inbox(self) -> None:
        """A message that arrives at the moment of the cancellation makes it have no effect."""
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            daemon = deployed.daemons.pop()
            inbox = daemon.peers._inbox

            async def lose_cancellation() -> bytes:
                with contextlib.suppress(asyncio.CancelledError):
                    return await type(inbox).receive(inbox)
                return b""

            daemon.peers._inbox = FakeInbox(lose_cancellation, inbox)
            await asyncio.sleep(0.7)  # The one that is being received is not replaced.
            daemon.peers._links.send(inbox.address, b"")
            await asyncio.sleep(0.2)
            await daemon.stop()
            await asyncio.sleep(2 * tasks.RESTART_DELAY_MS / 1000)
            assert all(task.done() for task in daemon._tasks._tasks)

    async def test_stop_ends_within_the_grace_period_with_an_upstream_that_went_dark(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The close of a connection waits for bytes that a dark upstream never takes."""

        async def hang(client: exchange.UpstreamClient) -> None:
            await asyncio.Event().wait()

        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            daemon = deployed.daemons.pop()
            daemon.settings.bounds.grace_ms = stopping.BALANCER_REMOVAL_MS + 2000
            with monkeypatch.context() as patched:
                patched.setattr(exchange.UpstreamClient, "close", hang)
                async with asyncio.timeout(daemon.settings.bounds.grace_ms / 1000):
                    await daemon.stop()
            await daemon._upstream_client.close()

    async def test_late_request_is_refused_and_not_run(self) -> None:
        """A request on a kept connection 4.7 s after the signal used to be cut off at the end."""
        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            daemon = deployed.daemons[0]
            daemon.settings.bounds.grace_ms = stopping.BALANCER_REMOVAL_MS + 3000
            deployed.site.plain_runners[0].faults = [runner.Fault.HANGS]
            request_task = asyncio.create_task(
                deployed.ask("/unsafe/x", "POST", deadline_ms=60_000)
            )
            await deployed.wait_until(lambda: daemon.front.open_requests, "a request is open")
            stop_task = asyncio.create_task(daemon.stop())
            await asyncio.sleep((stopping.BALANCER_REMOVAL_MS + 200) / 1000)
            response = await deployed.ask("/safe/late")
            assert response.status == 503 and float(response.headers["Retry-After"]) > 0
            assert [run.target for run in deployed.site.plain_runners[0].requests] == ["/unsafe/x"]
            await stop_task
            deployed.daemons.clear()
            request_task.cancel()

    async def test_request_that_outlasts_the_grace_period_is_not_run_if_it_was_not_sent(
        self,
    ) -> None:
        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            await deployed.daemons[0]._upstream_client.close()  # As at the end of the stop.
            response = await deployed.ask("/unsafe/x", "POST")
            assert response.status == 503 and float(response.headers["Retry-After"]) > 0


class TestNotices:
    async def test_stopping_daemon_still_knows_that_others_receive_from_an_upstream(self) -> None:
        """It got no notices, and took requests that were queued at the upstream for lost."""
        async with deployments.deploy(engines=2, daemon_count=2) as deployed:
            stopping, other = deployed.daemons
            stopping.settings.bounds.grace_ms = 8000
            config = deployed.site.make_config()
            for route in config["routes"]:
                route["timeoutMs"] = 6000
            deployed.site.write_config(routes=config["routes"])
            await deployed.wait_for_group()
            await deployed.wait_until(
                lambda: all(len(daemon.directory.daemons) == 2 for daemon in deployed.daemons),
                "the daemons know each other",
            )
            for member in deployed.site.engine_runners:
                member.delayed_prefix, member.answer_delay_s = "/stream/queued", 4.0
            is_loaded = True

            async def load() -> None:
                while is_loaded:
                    await deployed.ask("/stream/x", "POST", daemon=1)

            loads = [asyncio.create_task(load()) for _ in range(3)]
            queued = asyncio.create_task(deployed.ask("/stream/queued", "POST", deadline_ms=6000))
            await deployed.wait_until(lambda: stopping.front.open_requests, "a request is open")
            calls = deployed.site.store.calls
            renewals = calls.get("kv-keep", 0)
            await deployed.wait_until(
                lambda: calls.get("kv-keep", 0) >= renewals + 2, "entries are renewed"
            )
            head = stopping.view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)[0].head
            stop_task = asyncio.create_task(stopping.stop())
            response = await queued
            is_heard = stopping.book.find(head.id).is_heard_elsewhere(stopping.clock.monotonic_ms())
            removals = deployed.log.find("list of daemons changed", '"went":["daemon-1"]')
            is_loaded = False
            await asyncio.gather(*loads, stop_task)
            deployed.daemons.remove(stopping)
            assert response.status == 200 and is_heard and not removals
            assert not deployed.log.find('"decision":"send"', "sent nothing")
            await deployed.wait_until(
                lambda: len(other.directory.daemons) == 1, "the stopped daemon is not listed"
            )

    async def test_stopping_daemon_is_handed_no_requests_and_coordinates_nothing(self) -> None:
        async with deployments.deploy(engines=0, daemon_count=2) as deployed:
            stopping, other = deployed.daemons
            stopping.settings.bounds.grace_ms = 6000
            await deployed.wait_until(
                lambda: len(other.directory.daemons) == 2, "the daemons know each other"
            )
            assert other._forwarder.choose_daemon(site.PLAIN_SERVICE, ()) == "daemon-1"
            stop_task = asyncio.create_task(stopping.stop())
            await deployed.wait_until(
                lambda: other.directory.daemons["daemon-1"].is_leaving, "it is told"
            )
            assert other._forwarder.choose_daemon(site.PLAIN_SERVICE, ()) is None
            assert other._forwarder.list_reaching("a") == ["daemon-2"]
            await stop_task
            deployed.daemons.remove(stopping)

    async def test_probe_after_the_end_of_a_stop_fails_without_an_exception(self) -> None:
        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            daemon = deployed.daemons.pop()
            await daemon.stop()
            (upstream,) = daemon.view.upstreams
            for client in (daemon._client, daemon._reach_checks._client):
                assert (await client.probe(upstream)).is_err()
