"""Tests of the handover of coordination between running daemons."""

from tests import sites


def find_holder(fleet) -> str:
    """Return the name of the daemon that holds the lease; empty if there is none."""
    for name, daemon in fleet.daemons.items():
        if daemon._lease.state.may_act(daemon.clock.monotonic_ms(), 0):
            return name
    return ""


def count_whole(daemon) -> int:
    """Return the number of groups that a daemon sees as whole."""
    return len(daemon.groups.whole_groups(sites.MODEL, daemon.clock.monotonic_ms()))


def list_members(daemon) -> list[str]:
    """Return the VMs of all groups in the layout."""
    return [vm for group in daemon.groups.layout.groups for vm in group.members]


class TestHandover:
    async def test_next_daemon_repairs_without_a_wait_after_the_holder_stopped(self):
        async with sites.run_fleet(5, (sites.FAILURE_DOMAIN,), groups=2, vms=9) as fleet:
            await sites.wait_until(lambda: find_holder(fleet) != "")
            holder = find_holder(fleet)
            await fleet.daemons.pop(holder).stop()
            daemon = next(iter(fleet.daemons.values()))
            record = next(item for item in daemon.groups.layout.groups if item.reserves)
            fencing = daemon.groups.layout.fencing
            await fleet.stand_ins.engines[record.members[1]].crash()
            await sites.wait_until(lambda: find_holder(fleet) not in ("", holder))
            for item in fleet.daemons.values():
                await sites.wait_until(lambda item=item: item.groups.layout.fencing > fencing)
                await sites.wait_until(
                    lambda item=item: record.members[1] not in list_members(item)
                )  # Its last reports count for the presence TTL.
                await sites.wait_until(lambda item=item: count_whole(item) == 2)
                assert record.members[1] not in list_members(item)
