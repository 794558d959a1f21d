"""A daemon that is cut off from all upstreams, while callers, store and other daemons reach it.

The bound is the users': from `STABLE_S` after the cut began, first tries at the daemons cut off are
served at least two thirds as often as those at the others, or at most 10 and 1 in 50 of them fail.
"""

import asyncio

import pytest

from tanagerfork_standins import proxy
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments

STABLE_S = 3.0
TRIES = 20  # At each daemon and for each kind of request.
KINDS = (("/stream/", "POST"), ("/safe/", "GET"), ("/unsafe/", "POST"))
EVENT_IDS = [b"id: %d" % number for number in range(1, 6)]


def is_broken(served_cut: int, served_others: int, tries: int) -> bool:
    """Return whether the users' bound is broken; `tries` were sent to either."""
    allowed_failures = 10 + tries / 50
    return served_cut < served_others * 2 / 3 and tries - served_cut > allowed_failures


async def count_served(deployed: deployments.Deployment, daemon: int, name: str) -> int:
    """Send the tries of each kind to a daemon, a few at a time, and return how many are served."""
    served = 0
    for index in range(TRIES):
        paths = [(f"{prefix}{name}-{index}", method) for prefix, method in KINDS]
        asked = (deployed.ask(path, method, b"hello", daemon=daemon) for path, method in paths)
        for (path, _), response in zip(paths, await asyncio.gather(*asked), strict=True):
            if response.status != 200:
                continue
            assert response.is_whole and response.headers["Tanagerfork-Server-Stamp"]
            if path.startswith("/stream/"):
                lines = response.body.split(b"\n")
                assert [line for line in lines if line.startswith(b"id:")] == EVENT_IDS
            else:
                assert response.body.endswith(path.encode())
            served += 1
    return served


class TestCutOffDaemon:
    """Three daemons, the first of which loses its paths to all upstreams."""

    @pytest.mark.parametrize("how", proxy.Cut)
    async def test_callers_of_a_daemon_cut_off_from_all_upstreams_are_served(
        self, how: proxy.Cut
    ) -> None:
        async with deployments.deploy(daemon_count=3, has_networks=True) as deployed:
            await deployed.wait_for_group()
            await count_served(deployed, 0, "before")  # Opens connections to the upstreams.
            deployed.networks[0].cut(how)
            early = asyncio.create_task(count_served(deployed, 0, "early"))
            await asyncio.sleep(STABLE_S)
            served = await asyncio.gather(
                count_served(deployed, 0, "cut"), count_served(deployed, 1, "other")
            )
            early.cancel()
            assert not is_broken(*served, TRIES * len(KINDS))
            for member in deployed.site.plain_runners:
                runs = [run.target for run in member.requests if run.target.startswith("/unsafe/")]
                assert len(runs) == len(set(runs))

    async def test_callers_are_served_directly_again_after_the_cut(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            deployed.networks[0].cut(proxy.Cut.HANGS)
            await count_served(deployed, 0, "cut")
            await deployed.networks[0].heal()
            await asyncio.sleep(STABLE_S)
            deployed.networks[1].cut(proxy.Cut.REFUSES)  # No answer can come through this daemon.
            assert await count_served(deployed, 0, "healed") == TRIES * len(KINDS)


class TestBlame:
    """What a daemon that is cut off says of upstreams and requests."""

    async def test_requests_that_a_cut_interrupts_are_not_suspected(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            for member in deployed.site.engine_runners:
                member.stream_gate.clear()
            asked = [
                asyncio.create_task(deployed.ask(f"/stream/{number}", "POST"))
                for number in range(3)
            ]
            await asyncio.sleep(0.3)
            deployed.networks[0].cut(proxy.Cut.RESETS)
            await asyncio.sleep(1)
            assert not deployed.log.find("request lost in a crash")
            assert not deployed.log.find("request suspected")
            for member in deployed.site.engine_runners:
                member.stream_gate.set()
            assert [response.status for response in await asyncio.gather(*asked)] == [200] * 3

    async def test_other_daemons_do_not_avoid_upstreams_that_only_one_cannot_reach(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            await count_served(deployed, 0, "before")
            deployed.networks[0].cut(proxy.Cut.HANGS)
            await count_served(deployed, 0, "cut")
            assert deployed.log.find("no upstream reached")
            assert not deployed.log.find("upstream suspected", "told_by")

    async def test_other_daemons_learn_of_an_upstream_that_is_silent(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            shared_faults = [runner.Fault.HANGS]  # Only of the first runner that is asked.
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            assert (await deployed.ask("/safe/x", deadline_ms=1000)).status == 200
            await deployed.wait_until(
                lambda: deployed.log.find("upstream suspected", "told_by"), "a suspicion"
            )


class TestCutOffCoordinator:
    """The daemon that coordinates loses its paths to all upstreams."""

    @pytest.mark.parametrize("engines", [4, 8])
    @pytest.mark.parametrize(
        "how, breaks_one", [*((how, False) for how in proxy.Cut), (proxy.Cut.REFUSES, True)]
    )
    async def test_sound_groups_are_not_given_up(
        self, how: proxy.Cut, breaks_one: bool, engines: int
    ) -> None:
        async with deployments.deploy(engines, daemon_count=3, has_networks=True) as deployed:
            await deployed.wait_for_group()
            (holder,) = [one for one in deployed.daemons if one._coordinator.is_holder]
            epochs = {
                member.id: member.membership.epoch
                for member in deployed.site.engine_runners
                if member.membership
            }
            index = deployed.daemons.index(holder)
            assert await holder._reach_checks.confirm(site.ENGINE_SERVICE)
            deployed.networks[index].cut(how)
            if breaks_one:  # The others go on to answer probes over open connections.
                (member,) = [one for one in deployed.site.engine_runners if one.id in epochs][:1]
                deployed.networks[index].reset(member.address)
            await deployed.ask("/stream/x", "POST", daemon=index)  # Open connections may live on.
            await deployed.wait_until(
                lambda: any(
                    one._coordinator.is_holder for one in deployed.daemons if one is not holder
                ),
                "another coordinator",
            )
            await asyncio.sleep(1)
            others = [one for one in deployed.daemons if one is not holder]
            assert all(holder.settings.name not in one._list_candidates() for one in others)
            assert not deployed.log.find('"decision":"plan"', "dissolve")
            assert not deployed.log.find('"decision":"plan"', "drop")
            for member in deployed.site.engine_runners:
                assert not [order for order in member.orders if order["op"] == "close"]
                if member.id in epochs:
                    assert member.membership.epoch == epochs[member.id]


class TestBound:
    def test_bound_is_the_users(self) -> None:
        assert is_broken(8, 106, 106) and is_broken(0, 129, 129)
        assert not is_broken(71, 106, 106) and not is_broken(50, 60, 60)
        assert not is_broken(0, 10, 10)
