"""Tests of one key sent to six daemons in three failure domains, under faults."""

import asyncio
import contextlib

from tests import sites


async def record_pressing(
    running: sites.RunningSite, key: str, deadline_ms: int = 20_000
) -> tuple[int, dict]:
    """Send a request that records a pressing; return its status and body."""
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
    async def test_concurrent_requests_to_all_daemons_get_one_answer(self):
        async with sites.run_fleet() as fleet:
            set_fault(fleet, "delay_ms", 200)
            answers = await asyncio.gather(
                *(record_pressing(running, "lot-7") for running in fleet.sites.values())
            )
            assert answers == [answers[0]] * 6 and answers[0][0] == 201
            assert count_records(fleet) == 1

    async def test_daemon_crash_after_the_first_byte(self):
        async with sites.run_fleet() as fleet:
            first, *others = fleet.sites.values()
            set_fault(fleet, "delay_ms", 300)
            call = asyncio.create_task(record_pressing(first, "lot-7"))
            await sites.wait_until(lambda: count_calls(fleet) == 1)
            first.daemon._services.close()
            with contextlib.suppress(Exception, asyncio.CancelledError):
                await call
            for running in others:
                status, body = await record_pressing(running, "lot-7", deadline_ms=300)
                assert (status, body["error"]["kind"]) == (502, "outcome_unknown")
            assert count_calls(fleet) == 1

    async def test_key_value_service_unavailable_to_all_daemons_and_back(self):
        async with sites.run_fleet() as fleet:
            fleet.stand_ins.key_value.faults.is_unavailable = True
            for running in fleet.sites.values():
                status, body = await record_pressing(running, "lot-7")
                assert (status, body["error"]["ran"]) == (502, "unknown")  # No record was read.
            assert count_calls(fleet) == 0
            fleet.stand_ins.key_value.faults.is_unavailable = False
            answers = [await record_pressing(running, "lot-7") for running in fleet.sites.values()]
            assert {status for status, _ in answers} == {201}
            assert count_records(fleet) == 1

    async def test_two_lost_answers_while_two_daemons_claim_concurrently(self):
        async with sites.run_fleet() as fleet:
            running = list(fleet.sites.values())
            for number in range(6):
                fleet.stand_ins.key_value.faults.lost_responses = 2
                key = f"lot-{number}"
                answers = await asyncio.gather(
                    *(record_pressing(item, key) for item in running[:2])
                )
                assert {status for status, _ in answers} == {201}
            assert count_records(fleet) == 6
