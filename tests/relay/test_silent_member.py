"""A member of a group that is silent for a while and then goes on is not lost."""

import asyncio

import pytest

from tanagerfork.generated import relay as settings_records
from tests.relay import deployments

SILENCE_S = 1.3  # A sound upstream may be silent for a second or so.


class TestShortSilence:
    @pytest.mark.parametrize("rank", [0, 1])
    async def test_group_of_a_member_that_was_silent_for_a_second_is_kept(self, rank: int) -> None:
        members = settings_records.MemberSettings(lease_ttl_ms=1000)
        async with deployments.deploy(engines=8, daemon_count=0) as deployed:
            await deployed.add_daemon(members=members)
            await deployed.wait_for_group()
            member = next(
                one
                for one in deployed.site.engine_runners
                if one.membership and one.membership.rank == rank
            )
            group = member.membership.name, member.membership.epoch
            member.answer_gate.clear()
            await asyncio.sleep(SILENCE_S)
            member.answer_gate.set()
            await asyncio.sleep(1)
            assert (member.membership.name, member.membership.epoch) == group
            assert not deployed.log.find('"decision":"plan"', "dissolve")
            assert (await deployed.ask("/stream/x", "POST")).status == 200

    async def test_group_of_a_member_that_stays_silent_is_replaced(self) -> None:
        members = settings_records.MemberSettings(lease_ttl_ms=1000)
        async with deployments.deploy(engines=8, daemon_count=0) as deployed:
            await deployed.add_daemon(members=members)
            await deployed.wait_for_group()
            member = next(
                one
                for one in deployed.site.engine_runners
                if one.membership and one.membership.rank == 1
            )
            member.answer_gate.clear()
            await deployed.wait_until(
                lambda: deployed.log.find(
                    '"decision":"plan"', f"dissolve {member.membership.name}"
                ),
                "the end of its group",
            )
            member.answer_gate.set()
