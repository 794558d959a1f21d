"""Tests of several complete daemons that are peers."""

import contextlib
import copy
from collections.abc import AsyncIterator

from tanagerfork import clock as clocks
from tanagerfork import daemon as daemons
from tanagerfork.generated import peers
from tests import sites


@contextlib.asynccontextmanager
async def run_late_daemon(
    fleet: sites.RunningFleet, has_seeds: bool = True
) -> AsyncIterator[daemons.Daemon]:
    """Run another daemon, which joins through the first one or has no seeds."""
    first = next(iter(fleet.daemons.values()))
    settings = copy.deepcopy(first.settings)
    settings.name = "ipoh-a-9"
    settings.peers.seeds = [first.peers.address] if has_seeds else []
    late = daemons.Daemon(settings, clocks.SystemClock())
    await late.start()
    try:
        yield late
    finally:
        await late.stop()


class TestPlatformUnreachable:
    async def test_daemon_that_starts_meanwhile_fetches_bundle_and_layout_from_peers(self):
        async with sites.run_fleet(2, ["ipoh-a"]) as fleet:
            fleet.stand_ins.key_value.faults.is_unavailable = True
            async with run_late_daemon(fleet) as late:
                await sites.wait_until(lambda: late.lifecycle.is_ready)
                now_ms = late.clock.monotonic_ms
                await sites.wait_until(
                    lambda: len(late.groups.whole_groups(sites.MODEL, now_ms())) == 1
                )

    async def test_daemon_without_platform_and_peers_is_not_ready(self):
        async with sites.run_fleet(1, ["ipoh-a"]) as fleet:
            fleet.stand_ins.key_value.faults.is_unavailable = True
            async with run_late_daemon(fleet, has_seeds=False) as alone:
                assert alone.lifecycle.state == "not_ready"
                fleet.stand_ins.key_value.faults.is_unavailable = False
                await sites.wait_until(lambda: alone.lifecycle.is_ready)


class TestObservation:
    async def test_each_vm_is_read_by_two_daemons_of_three(self):
        async with sites.run_fleet(3, ["ipoh-a"], groups=2, vms=8) as fleet:
            running = list(fleet.daemons.values())
            members = [vm.vm for vm in running[0].groups.vms]
            await sites.wait_until(lambda: all(len(daemon.peers.live()) == 3 for daemon in running))

            def readers() -> set[int]:
                return {
                    sum(daemon.peers.is_observed_here(vm) for daemon in running) for vm in members
                }

            await sites.wait_until(lambda: readers() == {2})

    async def test_groups_are_whole_without_a_daemon_that_observed_them(self):
        async with sites.run_fleet(3, ["ipoh-a"]) as fleet:
            rest = list(fleet.daemons.values())[1:]
            await fleet.daemons["ipoh-a-1"].peers.stop()
            await sites.wait_until(lambda: all(len(daemon.peers.live()) == 2 for daemon in rest))
            for name in ("ipoh-a-2", "ipoh-a-3"):
                await sites.wait_until(
                    lambda name=name: fleet.sites[name].count_whole_groups() == 1
                )


class TestDomains:
    async def test_bridges_share_the_capacity_of_their_domains(self):
        async with sites.run_fleet(2) as fleet:
            running = list(fleet.daemons.values())
            for daemon in running:
                daemon.peers.offer_capacity(
                    lambda now_ms: [peers.ModelCapacity(model=sites.MODEL, free_slots=64)]
                )
            await sites.wait_until(
                lambda: all(
                    len(daemon.peers.foreign_capacity(sites.MODEL, daemon.clock.monotonic_ms()))
                    == 2
                    for daemon in running
                )
            )
