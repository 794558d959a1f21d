"""Contract tests of the etcd adapter: faults of the service, and the error that each one gives."""

import asyncio
import contextlib

import aiohttp
import aiohttp.web
import pytest

from tanagerfork.storage import etcd
from tanagerfork_standins import key_value, listener
from tests import sites

NO_EFFECT = "platform_unavailable"
LOST = "answer_lost"


@contextlib.asynccontextmanager
async def run_service(timeout_ms: int = 2_000, watch_silence_timeout_ms: int = 60_000):
    """Run the stand-in service and an adapter connected to it."""
    service = key_value.KeyValueStandIn()
    await service.listener.start()
    async with aiohttp.ClientSession() as session:
        url = service.listener.url
        store = etcd.EtcdKeyValue(session, url, "fleet/", timeout_ms, watch_silence_timeout_ms)
        try:
            yield service, store
        finally:
            service.faults.is_unavailable = True
            await service.listener.stop()


class FixedResponseService:
    """Sends the same response to every call."""

    def __init__(self, status: int, body: bytes) -> None:
        self.listener = listener.Listener(0)
        self._status = status
        self._body = body
        self.listener.app.router.add_post("/{path:.*}", self._answer)

    async def _answer(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await request.read()
        return aiohttp.web.Response(status=self._status, body=self._body)


class TestCalls:
    async def test_key_is_written_read_and_deleted(self):
        async with run_service() as (service, store):
            assert (await store.read("k")).unwrap() is None
            first = (await store.swap("k", b"\x00one", 0)).unwrap()
            assert (await store.swap("k", b"two", 0)).unwrap_err().kind == "conflict"
            entry = (await store.read("k")).unwrap()
            assert (entry.key, entry.value, entry.revision) == ("k", b"\x00one", first)
            assert (await store.swap("k", b"two", first)).unwrap() > first
            await store.swap("l", b"", 0)
            assert [item.key for item in (await store.read_prefix("")).unwrap()] == ["k", "l"]
            assert (await store.delete_range("k", "l")).unwrap() == 1
            assert [item.key for item in (await store.read_prefix("")).unwrap()] == ["l"]
            assert b"fleet/l" in service.keys

    async def test_lost_response_after_the_write(self):
        async with run_service() as (service, store):
            service.faults.lost_responses = 1
            assert (await store.swap("k", b"v", 0)).unwrap_err().kind == LOST
            assert (await store.read("k")).unwrap().value == b"v"

    async def test_slow_service_times_out(self):
        async with run_service(timeout_ms=50) as (service, store):
            service.faults.delay_ms = 5_000
            assert (await store.swap("k", b"v", 0)).unwrap_err().kind == LOST
            assert (await store.read("k")).is_err()

    async def test_value_over_the_limit_is_refused_before_it_is_sent(self):
        async with run_service() as (service, store):
            refused = (await store.swap("k", b"x" * 1_000_001, 0)).unwrap_err()
            assert (refused.kind, refused.ran) == ("value_too_large", "no")
            assert service.faults.writes == 0
            assert (await store.swap("k", b"x" * 1_000_000, 0)).is_ok()

    async def test_service_that_refuses_connections(self):
        async with run_service() as (service, store):
            await service.listener.stop()
            assert (await store.swap("k", b"v", 0)).unwrap_err().kind == NO_EFFECT
            assert (await store.read("k")).unwrap_err().kind == NO_EFFECT

    @pytest.mark.parametrize(
        ("status", "body", "read", "swap"),
        [
            (429, b"", NO_EFFECT, NO_EFFECT),
            (400, b"", NO_EFFECT, NO_EFFECT),
            (413, b"", NO_EFFECT, NO_EFFECT),
            (503, b"", NO_EFFECT, LOST),
            (500, b"", LOST, LOST),
            (504, b"", LOST, LOST),
            (200, b"garbage", LOST, LOST),
            (200, b'{"kvs": [{"key": "!", "value": "a"}], "succeeded": 3}', LOST, LOST),
        ],
    )
    async def test_error_by_response(self, status, body, read, swap):
        service = FixedResponseService(status, body)
        await service.listener.start()
        async with aiohttp.ClientSession() as session:
            store = etcd.EtcdKeyValue(session, service.listener.url, "fleet/", 2_000)
            assert (await store.read("k")).unwrap_err().kind == read
            assert (await store.read_prefix("k")).unwrap_err().kind == read
            assert (await store.swap("k", b"v", 0)).unwrap_err().kind == swap
        await service.listener.stop()


class TestWatch:
    async def test_changes_are_reported_from_the_given_revision(self):
        async with run_service() as (_, store):
            first = (await store.swap("k", b"1", 0)).unwrap()
            events = store.watch("k", first)
            assert (await anext(events)).value == b"1"
            await store.swap("k", b"2", first)
            assert (await anext(events)).value == b"2"
            await events.aclose()

    @pytest.mark.parametrize("fault", ["away", "silent", "cut", "canceled"])
    async def test_watch_ends_on_fault(self, fault):
        silence_ms = 50 if fault == "silent" else 60_000
        async with run_service(watch_silence_timeout_ms=silence_ms) as (service, store):
            if fault == "away":
                service.faults.is_unavailable = True
            watching = asyncio.create_task(collect_values(store))
            if fault == "cut":
                await sites.wait_until(lambda: service.faults.open_watches == 1)
                await service.listener.stop()
            if fault == "canceled":
                watching.cancel()
                watching = asyncio.create_task(collect_values_of_canceled_watch())
            assert await asyncio.wait_for(watching, 20) == []


async def collect_values(store: etcd.EtcdKeyValue) -> list[bytes]:
    """Watch a key until the watch ends."""
    return [entry.value async for entry in store.watch("k", 1)]


async def collect_values_of_canceled_watch() -> list[bytes]:
    """Watch a key whose first revision was compacted."""
    service = FixedResponseService(
        200, b'{"result": {"canceled": true, "compact_revision": "9"}}\n'
    )
    await service.listener.start()
    async with aiohttp.ClientSession() as session:
        found = await collect_values(
            etcd.EtcdKeyValue(session, service.listener.url, "fleet/", 2_000)
        )
    await service.listener.stop()
    return found
