"""Tests of the operators' tool over six daemons in three failure domains."""

import asyncio
import json

import pytest

from tests import commands, sites


class FleetInThread:
    """Six daemons and their stand-ins, run on an event loop in another thread."""

    def __init__(self, loop: commands.LoopThread) -> None:
        self.loop = loop
        self.context = sites.run_fleet()
        self.fleet = loop.run(self.context.__aenter__())

    @property
    def daemon_option(self) -> list[str]:
        """Option that names one daemon, through which the tool discovers the others."""
        first = next(iter(self.fleet.sites.values()))
        return ["--daemon", first.operators_url]

    def has_discovered_all(self) -> bool:
        """Return whether every daemon has discovered peers in all failure domains."""
        peers_by_name = {
            name: daemon.peers.describe_peers() for name, daemon in self.fleet.daemons.items()
        }
        domains = [{peer.failure_domain for peer in peers} for peers in peers_by_name.values()]
        return all(set(sites.FAILURE_DOMAINS) <= found for found in domains)

    def close(self) -> None:
        self.loop.run(self.context.__aexit__(None, None, None))


@pytest.fixture(scope="module")
def six_daemons():
    with commands.run_loop() as loop:
        running = FleetInThread(loop)
        loop.run(sites.wait_until(running.has_discovered_all))
        yield running
        running.close()


async def send_request(running: sites.RunningSite, request_id: str) -> int:
    """Send a chat request; return the status of its response."""
    message = {"role": "user", "content": "draft the rota"}
    body = {"model": sites.MODEL, "messages": [message]}
    headers = {**running.headers, "X-Request-Id": request_id}
    url = f"{running.url}/v1/chat/completions"
    async with running.session.post(url, json=body, headers=headers) as response:
        return response.status


class TestSixDaemons:
    def test_status_shows_every_failure_domain(self, six_daemons):
        completed = commands.call("status", "--json", *six_daemons.daemon_option)
        status = json.loads(completed.stdout)
        assert [domain["failure_domain"] for domain in status["domains"]] == sorted(
            sites.FAILURE_DOMAINS
        )
        assert all(domain["daemons"] == 2 for domain in status["domains"])
        assert all(domain["whole_groups"] == 1 for domain in status["domains"])
        assert status["bundle_version"] == 1 and not status["unreachable"]

    def test_explain_finds_the_request_whichever_daemon_received_it(self, six_daemons):
        names = list(six_daemons.fleet.sites)
        for name in names:
            running = six_daemons.fleet.sites[name]
            assert six_daemons.loop.run(send_request(running, f"rota-{name}")) == 200
        for name in names:
            completed = commands.call("explain", f"rota-{name}", *six_daemons.daemon_option)
            assert completed.stdout.startswith(f"{name} took POST /v1/chat/completions")
            assert "answered, status 200" in completed.stdout

    def test_explain_shows_the_retry_after_a_broken_group(self, six_daemons):
        name = sorted(six_daemons.fleet.sites)[0]
        running = six_daemons.fleet.sites[name]
        six_daemons.loop.run(break_group_during_request(running))
        explained = json.loads(
            commands.call("explain", "cut-1", "--json", *six_daemons.daemon_option).stdout
        )
        assert [trace["daemon"] for trace in explained["traces"]] == [name]
        assert "request.retried" in [event["kind"] for event in explained["events"]]

    def test_timeline_merges_the_events_of_all_daemons_in_order(self, six_daemons):
        completed = commands.call("timeline", "--jsonl", *six_daemons.daemon_option)
        events = [json.loads(line) for line in completed.stdout.splitlines()]
        stamps = [(event["wall_ms"], event["counter"]) for event in events]
        assert stamps == sorted(stamps)
        assert {event["daemon"] for event in events} == set(six_daemons.fleet.daemons)
        accepted = [event for event in events if event["kind"] == "bundle.accepted"]
        assert len(accepted) == 6


async def break_group_during_request(running: sites.RunningSite) -> None:
    """Stop the leader of a group while a request of the group is in flight."""
    now_ms = running.daemon.clock.monotonic_ms()
    members = running.daemon.groups.whole_groups(sites.MODEL, now_ms)[0].record.members
    leader = running.stand_ins.engines[members[0]]
    leader.faults.late_ms = 5_000
    runs = leader.runs.total()
    request = asyncio.create_task(send_request(running, "cut-1"))
    await sites.wait_until(lambda: leader.runs.total() > runs)
    await leader.crash()
    await request
