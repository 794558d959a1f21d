"""Tests of six daemons in three failure domains with one set of stand-ins."""

import asyncio

from tests import sites, test_daemon


class TestSixDaemons:
    async def test_each_daemon_serves_its_failure_domain(self):
        async with sites.run_fleet() as fleet:
            answers = await asyncio.gather(
                *(
                    test_daemon.send_request(item, number)
                    for item in fleet.sites.values()
                    for number in (0, 1)
                )
            )
            assert answers == [True] * 12

    async def test_key_sent_to_several_daemons_runs_once(self):
        async with sites.run_fleet() as fleet:
            answers = [await test_daemon.send_request(item, 2) for item in fleet.sites.values()]
            assert answers == [True] * 6
            assert len(fleet.stand_ins.records[sites.SERVICE].records) == 1
