"""Upstreams that say in their answers that they leave, while their entries do not."""

import asyncio

import pytest

from tanagerfork.platform import headers
from tanagerfork.relay import cohorts, peers
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments

DRAIN_S = 2.0  # Time that a daemon has after it has passed on such an answer.


class TestLeavingByHeader:
    async def test_plain_upstream_gets_no_new_request_from_any_daemon(self) -> None:
        async with deployments.deploy(engines=0, plain=2, daemon_count=2) as deployed:
            await deployed.wait_for_rules()
            await deployed.wait_until(
                lambda: all(len(daemon.directory.daemons) == 2 for daemon in deployed.daemons),
                "daemons know each other",
            )
            leaving = deployed.site.plain_runners[0]
            leaving.leaving_text = "1"
            clock = asyncio.get_running_loop().time
            began_s = clock()
            while clock() < began_s + DRAIN_S + 1.5:
                answers = await asyncio.gather(*(deployed.ask("/safe/x") for _ in range(6)))
                assert {answer.status for answer in answers} == {200}
                deployed.daemons.reverse()
                await asyncio.sleep(0.05)
            assert leaving.requests
            assert leaving.requests[-1].received_at_s < began_s + DRAIN_S
            assert deployed.log.find("upstream says that it leaves", "told_by")

    async def test_daemon_that_starts_later_sends_a_leaving_upstream_nothing(self) -> None:
        """A daemon that was not running at the announcement sent requests until the exit."""
        async with deployments.deploy(engines=0, plain=2) as deployed:
            await deployed.wait_for_rules()
            leaving = deployed.site.plain_runners[0]
            leaving.leaving_text = "1"
            while not leaving.requests:
                assert (await deployed.ask("/safe/x")).status == 200
            later = await deployed.add_daemon()
            await deployed.wait_until(
                lambda: (found := later.view.find(leaving.id)) and found.is_leaving,
                "the repeated announcement",
            )
            sent = len(leaving.requests)
            for _ in range(10):
                assert (await deployed.ask("/safe/x", daemon=1)).status == 200
            assert len(leaving.requests) == sent

    async def test_leaving_upstream_is_known_to_all_daemons_of_a_large_fleet(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The announcement goes to the cohort and to as many others as the fan-out allows."""
        monkeypatch.setattr(peers, "FANOUT", 1)
        monkeypatch.setattr(cohorts, "COHORT_SIZE", 2)
        async with deployments.deploy(engines=0, plain=2, daemon_count=6) as deployed:
            await deployed.wait_until(
                lambda: all(len(daemon.directory.daemons) == 6 for daemon in deployed.daemons),
                "six daemons",
            )
            await deployed.wait_for_rules()
            leaving = deployed.site.plain_runners[0]
            leaving.leaving_text = "1"
            while not leaving.requests:
                assert (await deployed.ask("/safe/x")).status == 200
            await deployed.wait_until(
                lambda: all(
                    (found := daemon.view.find(leaving.id)) and found.is_leaving
                    for daemon in deployed.daemons
                ),
                "the announcement at all daemons",
            )

    async def test_group_of_a_leaving_head_is_replaced(self) -> None:
        async with deployments.deploy(engines=4, plain=0) as deployed:
            await deployed.wait_for_group()
            view = deployed.daemons[0].view
            head_id = view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)[0].head.id
            leaving = next(item for item in deployed.site.engine_runners if item.id == head_id)
            leaving.leaving_text = "1"
            while not leaving.requests:
                assert (await deployed.ask("/stream/x", "POST")).status == 200
            sent = len(leaving.requests)
            await deployed.wait_until(
                lambda: any(
                    head_id not in {member.id for member in group.members}
                    for group in view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)
                ),
                "a group without the leaving one",
            )
            for _ in range(5):
                assert (await deployed.ask("/stream/x", "POST")).status == 200
            assert len(leaving.requests) == sent

    @pytest.mark.parametrize(
        "text, is_leaving",
        [("1", True), (" 1 ", True), ("0", False), ("", False), ("true", False), ("2", False)],
    )
    def test_header(self, text: str, is_leaving: bool) -> None:
        facts = headers.PlatformDialect().read_response(200, {headers.LEAVING: text})
        assert facts.is_leaving == is_leaving


class TestMembersWithoutAnEntry:
    """Members whose entries the store lost: by a partition, or as they leave without saying so."""

    async def _lose_an_entry(self, deployed: deployments.Deployment) -> runner.Runner:
        await deployed.wait_for_group()
        group = deployed.daemons[0].view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)[0]
        member_id = group.members[1].id
        member = next(item for item in deployed.site.engine_runners if item.id == member_id)
        member.is_listed = False
        member.publish_entry()
        await deployed.wait_until(
            lambda: deployed.daemons[0].view.find(member_id) is None, "an entry less"
        )
        return member

    async def test_group_serves_on_while_a_member_is_partitioned_from_the_store(self) -> None:
        async with deployments.deploy(engines=2, plain=0) as deployed:
            member = await self._lose_an_entry(deployed)
            for _ in range(20):
                assert (await deployed.ask("/stream/x", "POST")).status == 200
                await asyncio.sleep(0.1)
            assert not deployed.log.find('"order"', '"close"')
            member.is_listed = True
            member.publish_entry()
            await deployed.wait_for_group()
            assert (await deployed.ask("/stream/x", "POST")).status == 200

    async def test_group_of_a_member_that_leaves_without_an_entry_is_replaced(self) -> None:
        async with deployments.deploy(engines=4, plain=0) as deployed:
            member = await self._lose_an_entry(deployed)
            member.leaving_text = "1"
            await deployed.wait_until(
                lambda: all(
                    member.id not in {found.id for found in group.members}
                    for group in deployed.daemons[0].view.list_groups(
                        site.ENGINE_SERVICE, site.SMALL_MODEL
                    )
                ),
                "no group with the leaving one",
            )
            await deployed.wait_for_group()
            assert (await deployed.ask("/stream/x", "POST")).status == 200
