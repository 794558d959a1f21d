"""Tests of calls to plain services: claims on idempotency keys, and repeatable calls."""

import asyncio

import pytest

from tanagerfork.front import services
from tanagerfork.generated import bundle
from tests import sites


async def post_pressing(running: sites.RunningSite, key: str) -> tuple[int, dict]:
    """Post a pressing with an idempotency key; return status and body."""
    headers = {**running.headers, "Idempotency-Key": key}
    url = f"{running.url}/services/{sites.SERVICE}/pressings"
    async with running.session.post(url, json={"lot": key}, headers=headers) as response:
        return response.status, await response.json()


def list_records(running: sites.RunningSite) -> list:
    return running.stand_ins.records[sites.SERVICE].records


def count_calls(running: sites.RunningSite) -> int:
    return sum(upstream.calls for upstream in running.stand_ins.services.values())


class TestClaimedCall:
    async def test_answer_is_kept_for_a_caller_that_disconnected(self):
        async with sites.run_site(groups=1, vms=4) as running:
            for upstream in running.stand_ins.services.values():
                upstream.faults.delay_ms = 200
            call = asyncio.create_task(post_pressing(running, "lot-7"))
            await sites.wait_until(lambda: count_calls(running) == 1)
            call.cancel()
            await sites.wait_until(lambda: not running.daemon.callers.open_requests)
            status, body = await post_pressing(running, "lot-7")
            assert (status, body["entry"]) == (201, {"lot": "lot-7"})
            assert len(list_records(running)) == 1

    async def test_graceful_stop_waits_for_a_call_whose_caller_disconnected(self):
        async with sites.run_site(groups=1, vms=4) as running:
            for upstream in running.stand_ins.services.values():
                upstream.faults.delay_ms = 300
            call = asyncio.create_task(post_pressing(running, "lot-7"))
            await sites.wait_until(lambda: count_calls(running) == 1)
            call.cancel()
            await sites.wait_until(lambda: not running.daemon.callers.open_requests)
            await running.daemon.stop()
            stored = running.stand_ins.key_value.keys
            shards = [item.value for key, item in stored.items() if b"claims/plain" in key]
            assert len(list_records(running)) == 1
            assert len(shards) == 1 and b'"state":"answered"' in shards[0]

    @pytest.mark.parametrize(
        ("fault", "kind", "ran", "records", "again"),
        [
            ("refuse", None, None, 1, 201),
            ("crash_before", "outcome_unknown", "unknown", 0, 502),
            ("crash_after", "outcome_unknown", "unknown", 1, 502),
        ],
    )
    async def test_upstream_fault_is_reported_and_the_call_runs_at_most_once(
        self, fault, kind, ran, records, again
    ):
        async with sites.run_site(groups=1, vms=4) as running:
            for upstream in running.stand_ins.services.values():
                setattr(upstream.faults, fault, 1)
            if fault == "refuse":
                next(iter(running.stand_ins.services.values())).faults.refuse = 0
            status, body = await post_pressing(running, "lot-7")
            if kind:
                assert (body["error"]["kind"], body["error"]["ran"]) == (kind, ran)
            assert len(list_records(running)) == records
            assert (await post_pressing(running, "lot-7"))[0] == again
            assert len(list_records(running)) == records

    async def test_call_does_not_run_while_the_store_is_down_and_runs_afterwards(self):
        async with sites.run_site(groups=1, vms=4) as running:
            running.stand_ins.key_value.faults.is_unavailable = True
            status, body = await post_pressing(running, "lot-7")
            expected = (502, "outcome_unknown", "unknown")  # The key may have been sent before.
            assert (status, body["error"]["kind"], body["error"]["ran"]) == expected
            assert not list_records(running)
            running.stand_ins.key_value.faults.is_unavailable = False
            assert (await post_pressing(running, "lot-7"))[0] == 201

    async def test_call_runs_when_the_answer_of_the_claim_write_is_lost(self):
        async with sites.run_site(groups=1, vms=4) as running:
            await post_pressing(running, "warm")
            running.stand_ins.key_value.faults.lost_responses = 1
            assert (await post_pressing(running, "lot-7"))[0] == 201
            assert len(list_records(running)) == 2


class TestRepeatable:
    @pytest.mark.parametrize(
        ("method", "path", "is_repeatable"),
        [
            ("GET", "lots", True),
            ("GET", "lots/7", True),
            ("GET", "lots-written", False),
            ("GET", "lot", False),
            ("GET", "%6cots", False),
            ("POST", "lots", False),
            ("PUT", "any/path", True),
        ],
    )
    def test_rule_matches_its_method_and_complete_path_segments(self, method, path, is_repeatable):
        service = bundle.Service(
            name="s",
            upstreams=[],
            repeatable=[
                bundle.Repeatable(method="get", path_prefix="/lots/"),
                bundle.Repeatable(method="PUT", path_prefix=""),
            ],
        )
        request = services.ServiceRequest(
            request_id="r",
            team=bundle.Team(name="t", token_sha256=[]),
            service=service,
            method=method,
            path=path,
            query="",
            content_type="",
            body=b"",
            idempotency_key="",
            timeout_ms=1,
        )
        assert services.is_repeatable(request) is is_repeatable
