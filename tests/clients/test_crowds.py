"""Crowds of clients that stay outside the limits, against a daemon process with lowered limits.

Each test guards against a process that ends, hangs or takes more than the memory of its machine,
and against ordinary callers that get no answer.
"""

import pathlib
import signal

import pytest

from tests.clients import crowd, crowded

CLIENTS = 24
FLOOD_S = 2.0
PAUSE_S = 1.0  # The process stands still, as on a slow core, while the clients go on sending.
CROWD_S = 4.0
SPARE_DESCRIPTORS = 8  # Connections to upstreams that are kept for the next request.
HOLDERS = 200  # More than all connections that the daemon may have open.
HOLD_S = 12.0
HELD_S = 2.0  # Until all of them have tried.
ANSWER_BYTES = 1_000_000
LISTENERS = ["forwarding", "readiness", "metrics"]
LISTENER_KINDS = ["field value", "target", "empty lines", "small chunks", "requests ahead"]


async def play_crowd(running: crowded.CrowdedDaemon, port: int, kind: str) -> None:
    """Play a crowd that sends without end, and check the daemon during and after it."""
    before = running.count_descriptors()
    async with crowded.run_crowd(port, kind, CLIENTS, CROWD_S):
        await running.sample_for(FLOOD_S)
        running.daemon.send(signal.SIGSTOP)
        await running.sample_for(PAUSE_S)
        running.daemon.send(signal.SIGCONT)
        await running.sample_for(CROWD_S - FLOOD_S - PAUSE_S)
    after = await running.wait_for_descriptors(before + SPARE_DESCRIPTORS)
    assert await running.wait_until_served(), "an ordinary caller is not served afterwards"
    running.sample()
    assert not running.daemon.has_ended, running.daemon.describe_end()
    assert running.most_bytes < crowded.MEMORY_MB * crowded.MIB
    assert running.most_descriptors <= crowded.MAX_DESCRIPTORS
    assert after <= before + SPARE_DESCRIPTORS


class TestEndlessClients:
    @pytest.mark.parametrize("kind", list(crowd.list_kinds()))
    async def test_memory_stays_below_its_limit_and_callers_are_served(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        async with crowded.run_daemon(tmp_path) as running:
            await play_crowd(running, running.daemon.callers_port, kind)

    @pytest.mark.parametrize("kind", LISTENER_KINDS)
    @pytest.mark.parametrize("listener", LISTENERS)
    async def test_other_listeners_are_bounded_alike(
        self, listener: str, kind: str, tmp_path: pathlib.Path
    ) -> None:
        async with crowded.run_daemon(tmp_path) as running:
            await play_crowd(running, running.ports[listener], kind)


class TestHoldingClients:
    @pytest.mark.parametrize("kind", crowd.HOLDING)
    async def test_callers_are_served_while_a_crowd_holds_connections(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        async with crowded.run_daemon(tmp_path) as running:
            await self.check_served(running, running.daemon.callers_port, kind)

    @pytest.mark.parametrize("kind", ["silent", "slow heads"])
    @pytest.mark.parametrize("listener", LISTENERS)
    async def test_callers_are_served_while_a_crowd_holds_another_listener(
        self, listener: str, kind: str, tmp_path: pathlib.Path
    ) -> None:
        """Guards against listeners that may have more connections together than descriptors."""
        async with crowded.run_daemon(tmp_path) as running:
            await self.check_served(running, running.ports[listener], kind)

    async def test_callers_are_served_while_a_crowd_holds_the_listener_for_notices(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against connections between daemons that take all descriptors."""
        async with crowded.run_daemon(tmp_path) as running:
            await self.check_served(running, running.ports["peers"], "silent")

    async def test_callers_are_served_while_a_crowd_leaves_answers_unread(
        self, tmp_path: pathlib.Path
    ) -> None:
        async with crowded.run_daemon(tmp_path, answer_bytes=ANSWER_BYTES) as running:
            await self.check_served(running, running.daemon.callers_port, "unread answers")

    async def test_open_connections_beyond_the_descriptors_are_not_accepted(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a limit of connections that the machine cannot hold."""
        async with crowded.run_daemon(tmp_path, open_connections=1000) as running:
            await self.check_served(running, running.daemon.callers_port, "slow heads")

    async def check_served(self, running: crowded.CrowdedDaemon, port: int, kind: str) -> None:
        async with crowded.run_crowd(port, kind, HOLDERS, HOLD_S + HELD_S):
            await running.sample_for(HELD_S)
            is_served = await running.wait_until_served()
        assert await running.wait_until_served(), "an ordinary caller is not served afterwards"
        assert not running.daemon.has_ended, running.daemon.describe_end()
        assert running.most_bytes < crowded.MEMORY_MB * crowded.MIB
        assert running.most_descriptors <= crowded.MAX_DESCRIPTORS
        assert is_served, "an ordinary caller is not served beside the crowd"
