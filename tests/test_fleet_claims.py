"""One key through six daemons in three failure domains, whatever fails."""

import asyncio
import contextlib

from tests import sites


async def record(
    running: sites.RunningSite, key: str, deadline_ms: int = 20_000
) -> tuple[int, dict]:
    """Record a pressing under a key."""
    headers = {
        **running.headers,
        "Idempotency-Key": key,
        "X-Deadline-Ms": str(deadline_ms),
    }
    url = f"{running.url}/services/{sites.SERVICE}/pressings"
    async with running.session.post(url, json={"lot": key}, headers=headers) as response:
        return response.status, await response.json()


def set_fault(fleet: sites.RunningFleet, field: str, amount: int) -> None:
    for upstream in fleet.stand_ins.services.values():
        setattr(upstream.faults, field, amount)


def count_calls(fleet: sites.RunningFleet) -> int:
    return sum(upstream.calls for upstream in fleet.stand_ins.services.values())


def count_records(fleet: sites.RunningFleet) -> int:
    return len(fleet.stand_ins.records[sites.SERVICE].records)


class TestOneKey:
    async def test_all_daemons_at_once_give_one_answer(self):
        async with sites.run_fleet() as fleet:
            set_fault(fleet, "delay_ms", 200)
            told = await asyncio.gather(
                *(record(running, "lot-7") for running in fleet.sites.values())
            )
            assert told == [told[0]] * 6 and told[0][0] == 201
            assert count_records(fleet) == 1

    async def test_daemon_that_dies_after_the_first_byte(self):
        async with sites.run_fleet() as fleet:
            first, *others = fleet.sites.values()
            set_fault(fleet, "delay_ms", 300)
            call = asyncio.create_task(record(first, "lot-7"))
            await sites.wait_until(lambda: count_calls(fleet) == 1)
            first.daemon._services.close()
            with contextlib.suppress(Exception, asyncio.CancelledError):
                await call
            for running in others:
                status, body = await record(running, "lot-7", deadline_ms=300)
                assert (status, body["error"]["kind"]) == (502, "outcome_unknown")
            assert count_calls(fleet) == 1

    async def test_service_away_at_every_daemon_and_back(self):
        async with sites.run_fleet() as fleet:
            fleet.stand_ins.key_value.faults.away = True
            for running in fleet.sites.values():
                status, body = await record(running, "lot-7")
                assert (status, body["error"]["ran"]) == (503, "no")
            assert count_calls(fleet) == 0
            fleet.stand_ins.key_value.faults.away = False
            answers = [await record(running, "lot-7") for running in fleet.sites.values()]
            assert {status for status, _ in answers} == {201}
            assert count_records(fleet) == 1

    async def test_answers_lost_twice_while_two_daemons_claim_at_once(self):
        async with sites.run_fleet() as fleet:
            running = list(fleet.sites.values())
            for number in range(6):
                fleet.stand_ins.key_value.faults.lost_answers = 2
                key = f"lot-{number}"
                told = await asyncio.gather(*(record(item, key) for item in running[:2]))
                assert {status for status, _ in told} == {201}
            assert count_records(fleet) == 6
