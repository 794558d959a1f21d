"""The platform's store as a key-value service, tested against its stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import pytest
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.platform import store as stores
from tanagerfork_standins import listener
from tanagerfork_standins.platform import store as standins


@contextlib.asynccontextmanager
async def open_store(
    fenced_prefixes: tuple[str, ...] = (),
    timeout_ms: int = 10_000,
) -> AsyncIterator[tuple[standins.Store, stores.PlatformStore]]:
    standin = standins.Store(clocks.SystemClock())
    opened = listener.Listener()
    standin.serve(opened.app)
    await opened.start()
    async with aiohttp.ClientSession() as session:
        address = f"{listener.LOOPBACK}:{opened.port}"
        yield standin, stores.PlatformStore(
            session, address, timeout_ms, metric.Metrics(), fenced_prefixes
        )
    await opened.stop()


class TestKeys:
    async def test_read_and_swap(self) -> None:
        async with open_store() as (_, store):
            assert (await store.read("a/x")).unwrap() is None
            revision = (await store.swap("a/x", b"\x00one", 0)).unwrap()
            entry = (await store.read("a/x")).unwrap()
            assert entry is not None and (entry.value, entry.revision) == (b"\x00one", revision)
            assert isinstance((await store.swap("a/x", b"two", 0)).unwrap_err(), errors.Conflict)
            assert (await store.swap("a/x", b"two", revision)).is_ok()

    async def test_pages_are_read_to_the_end(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(standins, "ENTRIES_PER_PAGE", 3)
        async with open_store() as (standin, store):
            for index in range(8):
                standin.put(f"a/{index}", b"x")
            standin.put("b/0", b"x")
            found = (await store.read_prefix("a/")).unwrap()
            assert [entry.key for entry in found] == [f"a/{index}" for index in range(8)]

    async def test_delete_range(self) -> None:
        async with open_store() as (standin, store):
            for key in ("a/1", "a/2", "a/3"):
                standin.put(key, b"x")
            assert (await store.delete_range("a/1", "a/3")).unwrap() == 2
            assert list(standin.items) == ["a/3"]

    async def test_end_of_a_lease_removes_its_keys(self) -> None:
        async with open_store() as (standin, store):
            lease = (await store.grant_lease(60_000)).unwrap()
            assert (await store.put_leased("d/x", b"1", lease)).is_ok()
            assert (await store.renew_lease(lease)).unwrap()
            assert (await store.end_lease(lease)).unwrap()
            assert not standin.items
            assert not (await store.renew_lease(lease)).unwrap()
            gone = (await store.put_leased("d/x", b"1", lease)).unwrap_err()
            assert isinstance(gone, errors.Conflict)


class TestSilence:
    async def test_response_that_stalls_midway_is_given_up(self) -> None:
        is_closed = asyncio.Event()

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
            await reader.read()
            writer.close()
            await writer.wait_closed()
            is_closed.set()

        server = await asyncio.start_server(respond, listener.LOOPBACK, 0)
        async with server, aiohttp.ClientSession() as session:
            address = f"{listener.LOOPBACK}:{server.sockets[0].getsockname()[1]}"
            store = stores.PlatformStore(session, address, 50, metric.Metrics())
            assert isinstance((await store.read_snapshot("")).unwrap_err(), errors.AnswerLost)
            await is_closed.wait()


class TestFaults:
    @pytest.mark.parametrize("status", [429, 503, 500])
    async def test_refusal_has_no_effect(self, status: int) -> None:
        async with open_store() as (standin, store):
            standin.faults.error_status = status
            error = (await store.swap("a/x", b"1", 0)).unwrap_err()
            assert isinstance(error, errors.PlatformUnavailable)

    async def test_lost_response_is_distinguished_from_a_refusal(self) -> None:
        async with open_store() as (standin, store):
            standin.faults.lost_responses = 1
            error = (await store.swap("a/x", b"1", 0)).unwrap_err()
            assert isinstance(error, errors.AnswerLost)
            assert standin.items["a/x"].value == b"1"

    async def test_silent_store_times_out(self) -> None:
        async with open_store(timeout_ms=50) as (standin, store):
            standin.faults.is_silent = True
            assert isinstance((await store.read("a/x")).unwrap_err(), errors.AnswerLost)


class TestWatches:
    async def test_changes_follow_the_snapshot(self) -> None:
        async with open_store() as (standin, store):
            standin.put("a/x", b"1")
            snapshot = (await store.read_snapshot("a/")).unwrap()
            standin.put("a/y", b"2")
            standin.remove("a/x")
            changes = (await store.await_changes("a/", snapshot.revision, 500)).unwrap()
            assert [entry.key for entry in changes.written] == ["a/y"]
            assert changes.removed == ["a/x"]
            assert changes.revision == standin.revision

    async def test_key_that_is_written_again_is_not_removed(self) -> None:
        async with open_store() as (standin, store):
            before = standin.put("a/x", b"1")
            standin.remove("a/x")
            standin.put("a/x", b"2")
            standin.put("a/y", b"3")
            standin.remove("a/y")
            changes = (await store.await_changes("a/", before, 500)).unwrap()
            assert [entry.value for entry in changes.written] == [b"2"]
            assert changes.removed == ["a/y"]

    async def test_dropped_history_ends_the_watch(self) -> None:
        async with open_store() as (standin, store):
            standin.put("a/x", b"1")
            standin.drop_history()
            assert isinstance(await store.await_changes("a/", 1, 500), result.Err)

    async def test_watch_of_one_key_ignores_longer_keys(self) -> None:
        async with open_store() as (standin, store):
            standin.put("op/config", b"1")
            standin.put("op/config-other", b"no")
            async for entry in store.watch("op/config", 1):
                assert (entry.key, entry.value) == ("op/config", b"1")
                break

    async def test_changes_that_exceed_the_limit_are_not_read(self) -> None:
        async with open_store() as (standin, store):
            before = standin.put("a/x", b"1")
            for _ in range(3):
                standin.put("a/x", b"x" * 10_000)
            found = await store.await_changes("a/", before, 500, limit_bytes=30_000)
            assert isinstance(found.unwrap_err(), errors.ChangesTooLarge)
            changes = await store.await_changes("a/", before, 500, limit_bytes=60_000)
            assert [entry.key for entry in changes.unwrap().written] == ["a/x"]

    async def test_refusal_ends_the_watch(self) -> None:
        async with open_store() as (standin, store):
            standin.faults.error_status = 503
            assert isinstance(await store.await_changes("a/", 1, 500), result.Err)
            assert isinstance(await store.read_snapshot("a/"), result.Err)
