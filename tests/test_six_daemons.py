"""Tests of the operators' tool over six daemons in three failure domains."""

import asyncio
import json

import pytest

from tests import commands, sites


class FleetThread:
    """Six daemons and their stand-ins in a loop of their own."""

    def __init__(self, loop: commands.LoopThread) -> None:
        self.loop = loop
        self.context = sites.run_fleet()
        self.fleet = loop.run(self.context.__aenter__())

    @property
    def at(self) -> list[str]:
        """Words that name one daemon, from which the others are found."""
        first = next(iter(self.fleet.sites.values()))
        return ["--daemon", first.operators_url]

    def knows_all(self) -> bool:
        """Return whether all daemons can be found from each other."""
        told = {name: daemon.peers.describe_peers() for name, daemon in self.fleet.daemons.items()}
        domains = [{peer.failure_domain for peer in peers} for peers in told.values()]
        return all(set(sites.FAILURE_DOMAINS) <= known for known in domains)

    def close(self) -> None:
        self.loop.run(self.context.__aexit__(None, None, None))


@pytest.fixture(scope="module")
def six_daemons():
    with commands.run_loop() as loop:
        running = FleetThread(loop)
        loop.run(sites.wait_until(running.knows_all))
        yield running
        running.close()


async def ask(running: sites.RunningSite, name: str) -> int:
    """Send one request for a model."""
    message = {"role": "user", "content": "draft the rota"}
    body = {"model": sites.MODEL, "messages": [message]}
    headers = {**running.headers, "X-Request-Id": name}
    url = f"{running.url}/v1/chat/completions"
    async with running.session.post(url, json=body, headers=headers) as response:
        return response.status


class TestSixDaemons:
    def test_status_shows_every_failure_domain(self, six_daemons):
        ran = commands.call("status", "--json", *six_daemons.at)
        told = json.loads(ran.stdout)
        assert [domain["failure_domain"] for domain in told["domains"]] == sorted(
            sites.FAILURE_DOMAINS
        )
        assert all(domain["daemons"] == 2 for domain in told["domains"])
        assert all(domain["whole_groups"] == 1 for domain in told["domains"])
        assert told["bundle_version"] == 1 and not told["unreachable"]

    def test_explain_finds_the_request_whichever_daemon_took_it(self, six_daemons):
        names = list(six_daemons.fleet.sites)
        for name in names:
            running = six_daemons.fleet.sites[name]
            assert six_daemons.loop.run(ask(running, f"rota-{name}")) == 200
        for name in names:
            ran = commands.call("explain", f"rota-{name}", *six_daemons.at)
            assert ran.stdout.startswith(f"{name} took POST /v1/chat/completions")
            assert "answered, status 200" in ran.stdout

    def test_explain_tells_of_a_broken_group_and_the_retry(self, six_daemons):
        name = sorted(six_daemons.fleet.sites)[0]
        running = six_daemons.fleet.sites[name]
        six_daemons.loop.run(break_during(running))
        told = json.loads(commands.call("explain", "cut-1", "--json", *six_daemons.at).stdout)
        assert [trace["daemon"] for trace in told["traces"]] == [name]
        assert "request.retried" in [event["kind"] for event in told["events"]]

    def test_timeline_has_the_roll_before_it_is_accepted_anywhere(self, six_daemons):
        ran = commands.call("timeline", "--jsonl", *six_daemons.at)
        told = [json.loads(line) for line in ran.stdout.splitlines()]
        stamps = [(event["wall_ms"], event["counter"]) for event in told]
        assert stamps == sorted(stamps)
        assert {event["daemon"] for event in told} == set(six_daemons.fleet.daemons)
        accepted = [event for event in told if event["kind"] == "bundle.accepted"]
        assert len(accepted) == 6


async def break_during(running: sites.RunningSite) -> None:
    """Have a member die while a request of its group is in flight."""
    now_ms = running.daemon.clock.monotonic_ms()
    members = running.daemon.groups.whole_groups(sites.MODEL, now_ms)[0].record.members
    leader = running.stand_ins.engines[members[0]]
    leader.faults.late_ms = 5_000
    runs = leader.runs.total()
    asked = asyncio.create_task(ask(running, "cut-1"))
    await sites.wait_until(lambda: leader.runs.total() > runs)
    await leader.crash()
    await asked
