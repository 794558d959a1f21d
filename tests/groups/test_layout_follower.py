"""Tests of the layout follower."""

import asyncio
import contextlib
import random

import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork.generated import layout
from tanagerfork.groups import directory, layout_follower, presence
from tanagerfork.peers import rendezvous
from tests import fakes

KEY = "layout/ipoh-a"


def make_layout(serial: int, fencing: int = 1) -> layout.Layout:
    return layout.Layout(failure_domain="ipoh-a", serial=serial, fencing=fencing, groups=[])


class FollowerNode:
    """A running follower with its directory."""

    def __init__(self, store, clock, name: str, names: tuple[str, ...]) -> None:
        self.clock = clock
        self.groups = directory.GroupDirectory(presence.Presence(2000))
        self.follower = layout_follower.LayoutFollower(
            "ipoh-a", name, store, self.groups, clock, lambda: names, random.Random(1)
        )

    @property
    def serial(self) -> int:
        """Serial number of the layout in force; 0 if there is none."""
        return self.groups.layout.serial if self.groups.layout else 0


@contextlib.asynccontextmanager
async def follow(store, daemons: int = 1):
    """Run the followers of one or more daemons."""
    clock = clocks.ManualClock()
    names = tuple(f"d{number}" for number in range(daemons))
    running = [FollowerNode(store, clock, name, names) for name in names]
    tasks = [asyncio.create_task(item.follower.run()) for item in running]
    await pass_time(clock, 0)
    yield running
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def pass_time(clock: clocks.ManualClock, duration_ms: int) -> None:
    """Advance the clock in steps and let the tasks run."""
    for _ in range(max(1, duration_ms // 500)):
        clock.advance(min(500, duration_ms))
        for _ in range(10):
            await asyncio.sleep(0)


async def write(store, record: layout.Layout) -> None:
    """Write a layout over the stored one, if any."""
    entry = store.entries.get(KEY)
    await store.swap(KEY, msgspec.json.encode(record), entry.revision if entry else 0)


class TestWatching:
    async def test_watch_delivers_a_change_without_a_read(self):
        store = fakes.MemoryKeyValue()
        await write(store, make_layout(1))
        async with follow(store) as (node,):
            reads = store.reads
            await write(store, make_layout(2))
            await pass_time(node.clock, 0)
            assert node.serial == 2 and store.reads == reads

    async def test_layout_written_after_the_start_is_found(self):
        store = fakes.MemoryKeyValue()
        async with follow(store) as (node,):
            await write(store, make_layout(1))
            await pass_time(node.clock, 1000)
            assert node.serial == 1

    async def test_silent_watch_is_reopened(self):
        store = fakes.MemoryKeyValue()
        await write(store, make_layout(1))
        async with follow(store) as (node,):
            store._changed = asyncio.Event()  # The watch never delivers again.
            entry = store.entries[KEY]
            value = msgspec.json.encode(make_layout(2))
            store.entries[KEY] = type(entry)(KEY, value, entry.revision + 1)
            await pass_time(node.clock, 1000)
            assert node.serial == 1
            await pass_time(node.clock, layout_follower.MAX_WATCH_AGE_MS)
            assert node.serial == 2

    @pytest.mark.parametrize("value", [b"garbage", b"{}", b"[]"])
    async def test_unreadable_layout_changes_nothing(self, value):
        store = fakes.MemoryKeyValue()
        await write(store, make_layout(1))
        async with follow(store) as (node,):
            await store.swap(KEY, value, store.entries[KEY].revision)
            await pass_time(node.clock, 1000)
            assert node.serial == 1

    async def test_restored_older_layout_is_ignored(self):
        store = fakes.MemoryKeyValue()
        await write(store, make_layout(5))
        async with follow(store) as (node,):
            await write(store, make_layout(3))
            await pass_time(node.clock, 1000)
            assert node.serial == 5


class TestManyDaemons:
    async def test_candidates_watch_and_all_others_poll_slowly(self):
        store = fakes.MemoryKeyValue()
        await write(store, make_layout(1))
        async with follow(store, daemons=20) as nodes:
            assert (
                sum(node.follower.is_watching() for node in nodes)
                == rendezvous.COORDINATOR_CANDIDATES
            )
            await write(store, make_layout(2))
            await pass_time(nodes[0].clock, 0)
            assert sum(node.serial == 2 for node in nodes) == rendezvous.COORDINATOR_CANDIDATES
            store.reads = 0
            await pass_time(nodes[0].clock, 40_000)
            assert all(node.serial == 2 for node in nodes)
            assert store.reads / 40 < 2  # Reads per second.
