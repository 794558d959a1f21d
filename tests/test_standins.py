"""Tests of the stand-ins: a fault without effect would void the tests that inject it."""

import asyncio
import base64
import contextlib

import aiohttp
import msgspec
import pytest

from tanagerfork.generated import engine as engine_records
from tanagerfork_standins import engine, faults, service, site
from tests import sites

CALL_TIMEOUT_S = 0.3


def encode_base64(text: str) -> str:
    """Encode a key or value as the JSON gateway expects it."""
    return base64.b64encode(text.encode()).decode()


@contextlib.asynccontextmanager
async def run_stand_ins(vms: int = 4):
    """Run a site of stand-ins, with a client session."""
    stand_ins = site.Site(sites.make_plan(vms))
    await stand_ins.start()
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S * 10)
    ) as session:
        try:
            yield stand_ins, session
        finally:
            await stand_ins.stop()


async def form_group(stand_ins: site.Site, session: aiohttp.ClientSession) -> engine.Engine:
    """Order all VMs into one group and return its first member."""
    members = list(stand_ins.engines)
    order = engine_records.Order(
        kind="join", fencing=7, group="g", generation=1, members=members, model="m", version="1"
    )
    for vm in stand_ins.engines.values():
        await session.post(vm.entry.url + "/order", data=msgspec.json.encode(order))
    first = stand_ins.engines[members[0]]
    await sites.wait_until(
        lambda: all(vm.report.state == "ready" for vm in list_engines(stand_ins))
    )
    return first


def list_engines(stand_ins: site.Site) -> list[engine.Engine]:
    """Return the engines of a site."""
    return list(stand_ins.engines.values())


async def generate(
    session: aiohttp.ClientSession, vm: engine.Engine, offset: int = 0, generation: int = 1
) -> str:
    """Request one answer and return the received text, with BROKEN if the connection broke."""
    body = {"model": "m", "messages": [{"role": "user", "content": "one two three"}]}
    headers = {"X-Attempt-Id": "a1", "X-Request-Id": "r1", "X-Resume-Offset": str(offset)}
    headers |= {"X-Group": "g", "X-Group-Generation": str(generation)}
    url = vm.entry.url + "/v1/chat/completions"
    received = b""
    try:
        async with session.post(url, json=body, headers=headers) as response:
            async for chunk in response.content.iter_any():
                received += chunk
    except (aiohttp.ClientError, TimeoutError):
        received += b" BROKEN"
    return received.decode()


class TestEngine:
    async def test_answer_repeats_the_message_and_ends_with_the_request_id(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            text = await generate(session, first)
            assert "one " in text and "[r1]" in text and text.endswith("data: [DONE]\n\n")

    async def test_resume_at_an_offset_returns_the_rest(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            text = await generate(session, first, offset=2)
            assert "two" not in text and "three" in text and "[r1]" in text

    @pytest.mark.parametrize(
        ("kind", "amount", "shows_fault"),
        [
            ("cut_after_tokens", 2, lambda text: "BROKEN" in text and "[DONE]" not in text),
            ("crossed", 1, lambda text: '"id":"a1"' not in text),
            ("no_end", 1, lambda text: "[r1]" in text and "[DONE]" not in text),
            ("refuse", 1, lambda text: text == "told to refuse"),
            ("garbage", 1, lambda text: "data: no answer" in text),
        ],
    )
    async def test_fault_occurs_once(self, kind, amount, shows_fault):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            await stand_ins.faults.inject(faults.Fault(kind=kind, vm=first.entry.vm, amount=amount))
            assert shows_fault(await generate(session, first))
            assert (await generate(session, first)).endswith("data: [DONE]\n\n")

    async def test_silent_connections_stay_open_while_new_ones_work(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            first.profile.token_gap_ms = 100
            open_request = asyncio.create_task(generate(session, first))
            await sites.wait_until(lambda: first.streams == 1)
            first.profile.token_gap_ms = 1
            first.faults.silence_count += 1
            assert (await generate(session, first)).endswith("data: [DONE]\n\n")
            assert not open_request.done()
            assert "BROKEN" in await open_request

    async def test_group_with_a_dead_member_refuses_before_running(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            await list_engines(stand_ins)[2].crash()
            assert await generate(session, first) == "a member of the group is missing"
            assert not first.runs

    async def test_request_for_another_generation_is_refused_before_running(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            assert "another group or generation" in await generate(session, first, generation=2)
            assert not first.runs

    async def test_request_with_the_crash_word_crashes_the_engine(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            first.faults.crash_word = "two"
            assert "BROKEN" in await generate(session, first)
            await sites.wait_until(lambda: first.faults.crashed)

    @pytest.mark.parametrize(("checks", "accepted"), [(True, False), (False, True)])
    async def test_old_fencing_number_is_refused_only_where_it_is_checked(self, checks, accepted):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            first.entry.checks_fencing = checks
            order = msgspec.json.encode(engine_records.Order(kind="leave", fencing=6))
            async with session.post(first.entry.url + "/order", data=order) as response:
                answer = msgspec.json.decode(await response.read(), type=engine_records.OrderAnswer)
            assert answer.accepted is accepted

    async def test_restart_keeps_the_state_only_with_the_same_incarnation(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            before = first.report.incarnation
            await first.crash()
            await first.restart(same_incarnation=True)
            assert (first.report.incarnation, first.report.group) == (before, "g")
            await first.crash()
            await first.restart()
            assert first.report.incarnation != before and not first.report.group

    async def test_cache_events_are_delayed_and_have_gaps(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await form_group(stand_ins, session)
            first.profile.cache_prefixes = 1
            first.faults.lost_events = 1
            for number in range(3):
                body = {"model": "m", "messages": [{"role": "user", "content": f"p{number}"}]}
                url = first.entry.url + "/v1/chat/completions"
                async with session.post(url, json=body, headers={"X-Attempt-Id": "a"}) as response:
                    await response.read()
            async with session.get(first.entry.url + "/cache-events?after=0") as response:
                events = msgspec.json.decode(
                    await response.read(), type=engine_records.CacheEvents
                ).events
            assert [event.sequence for event in events] == [2, 3]


class TestKeyValue:
    async def swap(self, session, stand_ins, key, value, revision):
        call = {
            "compare": [
                {"key": encode_base64(key), "target": "MOD", "mod_revision": str(revision)}
            ],
            "success": [
                {"request_put": {"key": encode_base64(key), "value": encode_base64(value)}}
            ],
        }
        url = stand_ins.key_value.listener.url + "/v3/kv/txn"
        async with session.post(url, json=call) as response:
            return await response.json()

    async def test_swap_fails_if_the_revision_differs(self):
        async with run_stand_ins() as (stand_ins, session):
            first = await self.swap(session, stand_ins, "k", "1", 0)
            second = await self.swap(session, stand_ins, "k", "2", 0)
            assert (first["succeeded"], second["succeeded"]) == (True, False)

    async def test_response_is_lost_after_the_write(self):
        async with run_stand_ins() as (stand_ins, session):
            stand_ins.key_value.faults.lost_responses = 1
            with pytest.raises(aiohttp.ClientError):
                await self.swap(session, stand_ins, "k", "1", 0)
            assert stand_ins.key_value.keys[b"k"].value == b"1"

    async def test_restore_returns_to_the_saved_state(self):
        async with run_stand_ins() as (stand_ins, session):
            await self.swap(session, stand_ins, "k", "1", 0)
            stand_ins.key_value.save()
            await self.swap(session, stand_ins, "k", "2", stand_ins.key_value.revision)
            stand_ins.key_value.restore()
            assert stand_ins.key_value.keys[b"k"].value == b"1"

    async def test_unavailable_service_responds_with_503(self):
        async with run_stand_ins() as (stand_ins, session):
            stand_ins.key_value.faults.is_unavailable = True
            url = stand_ins.key_value.listener.url + "/v3/kv/range"
            async with session.post(url, json={"key": encode_base64("k")}) as response:
                assert response.status == 503


class TestService:
    async def post(self, session, upstream: service.ServiceStandIn) -> int:
        url = upstream.listener.url + "/pressings"
        async with session.post(url, json={"lot": 1}, headers={"X-Attempt-Id": "a"}) as response:
            return response.status

    @pytest.mark.parametrize(
        ("field", "records"), [("refuse", 0), ("crash_before", 0), ("crash_after", 1)]
    )
    async def test_fault_occurs_once_before_or_after_the_record_is_stored(self, field, records):
        async with run_stand_ins() as (stand_ins, session):
            upstream = stand_ins.services["ledger-0"]
            await stand_ins.faults.inject(faults.Fault(kind=f"service_{field}", service="ledger-0"))
            if field == "refuse":
                assert await self.post(session, upstream) == 503
            else:
                with pytest.raises(aiohttp.ClientError):
                    await self.post(session, upstream)
            assert len(upstream.records.records) == records
            assert await self.post(session, upstream) == 201


class TestFaultListener:
    async def test_unknown_fault_names_the_remedy(self):
        async with run_stand_ins() as (stand_ins, session):
            url = stand_ins.control.url + "/faults"
            async with session.post(url, json={"kind": "x", "vm": "f1-vm0"}) as response:
                assert response.status == 400
                assert "see tanagerfork_standins.faults" in await response.text()

    async def test_leaving_vm_is_listed_with_a_delay(self):
        async with run_stand_ins() as (stand_ins, session):
            fault = {"kind": "vm_leaving", "vm": "f1-vm0"}
            async with session.post(stand_ins.control.url + "/faults", json=fault) as response:
                assert response.status == 204

            async def is_listed() -> bool:
                async with session.get(stand_ins.vm_list_url) as response:
                    listed = msgspec.json.decode(await response.read(), type=engine_records.VmList)
                return any(vm.leaving for vm in listed.vms)

            assert not await is_listed()
            for _ in range(100):
                if await is_listed():
                    return
                await asyncio.sleep(0.02)
            raise AssertionError("the leaving VM was never listed")
