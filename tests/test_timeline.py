"""Tests of the timeline: timestamps, ring buffer, merge, refusal counts."""

import random

import pytest

from tanagerfork import clock as clocks
from tanagerfork.generated import layout
from tanagerfork.groups import directory
from tanagerfork.timeline import hybrid, kinds, merge, refusals, ring
from tests.groups import clusters

START_MS = 1_800_000_000_000
KIND = kinds.EventKind.DAEMON_STATE


class SkewedClock(clocks.ManualClock):
    """A clock whose wall clock has a fixed offset."""

    def __init__(self, skew_ms: int) -> None:
        super().__init__(0, START_MS + skew_ms)


def exchange(skew_ms: int, sends_stamps: bool, steps: int = 400) -> list[ring.Timeline]:
    """Record alternating causes and effects on two daemons whose wall clocks differ.

    The detail of each event is its position in the chain of causes, to check the order.
    """
    rng = random.Random(skew_ms)
    skewed_clocks = [SkewedClock(0), SkewedClock(-skew_ms)]
    timelines = [ring.Timeline(f"d{number}", skewed_clocks[number], 10_000) for number in range(2)]
    active = 0
    for step in range(steps):
        timelines[active].record(KIND, str(step))
        sent = timelines[active].stamp()
        for clock in skewed_clocks:
            clock.advance(rng.randrange(3))
        active = 1 - active
        if sends_stamps:
            timelines[active].observe(sent.wall_ms, sent.counter)
    return timelines


def count_inversions(order: list[str]) -> int:
    """Count events that sort before their direct cause."""
    positions = {step: position for position, step in enumerate(order)}
    return sum(positions[str(step)] > positions[str(step + 1)] for step in range(len(order) - 1))


class TestCauses:
    @pytest.mark.parametrize("skew_ms", [0, 1, 10, 100, 250, 4000])
    def test_no_cause_sorts_after_its_effect(self, skew_ms):
        pages = [timeline.read() for timeline in exchange(skew_ms, sends_stamps=True)]
        order = [event.detail for event in merge.merge_pages(pages)]
        assert order == [str(step) for step in range(400)]

    @pytest.mark.parametrize("skew_ms", [100, 250])
    def test_plain_wall_clocks_misorder_events(self, skew_ms):
        pages = [timeline.read() for timeline in exchange(skew_ms, sends_stamps=False)]
        order = [event.detail for event in merge.merge_pages(pages)]
        assert count_inversions(order) > 100

    def test_ceiling_orders_without_the_counter(self):
        first = ring.Timeline("a", SkewedClock(0), 10)
        second = ring.Timeline("b", SkewedClock(-250), 10)
        for _ in range(5):
            cause = first.record(KIND)
        second.observe(first.stamp().ceiling_ms, 0)
        assert merge.sort_key(second.record(KIND)) > merge.sort_key(cause)


class LaggingClock(clocks.ManualClock):
    """A clock whose wall clock is behind that of another clock."""

    def __init__(self, other: clocks.ManualClock, lag_ms: int) -> None:
        super().__init__()
        self._other = other
        self._lag_ms = lag_ms

    def wall_ms(self) -> int:
        return self._other.wall_ms() - self._lag_ms


class TestLayouts:
    @pytest.mark.parametrize(("observes", "is_ordered"), [(True, True), (False, False)])
    async def test_repair_sorts_before_layouts_that_others_saw(self, observes, is_ordered):
        cluster = clusters.Cluster({"f1": 5}, groups=1, daemons=2)
        observers = [
            ring.Timeline(f"d{n}", LaggingClock(cluster.clock, 250), 1000) for n in range(2)
        ]
        for number, daemon in enumerate(cluster.daemons):
            record_layouts(daemon.groups, observers[number], observes)
        await cluster.run(10_000)
        victim = cluster.layout.groups[0].members[1]
        cluster.fleet.die(victim)
        await cluster.run(10_000)
        pages = [daemon.timeline.read() for daemon in cluster.daemons]
        repairs = merge.merge_pages(pages, merge.EventFilter(kind="group.repaired"))
        assert len(repairs) == 1
        other = next(
            timeline for timeline in observers if timeline.read().daemon != repairs[0].daemon
        )
        layouts = other.read().events
        last = max(position for position, item in enumerate(layouts) if victim in item.detail)
        seen = layouts[last + 1]
        assert (merge.sort_key(seen) > merge.sort_key(repairs[0])) == is_ordered


def record_layouts(
    groups: directory.GroupDirectory, timeline: ring.Timeline, observes: bool
) -> None:
    """Record every layout that a daemon sees on a timeline with its own clock."""

    def record_layout(newer: layout.Layout) -> None:
        if observes:
            timeline.observe(newer.written_at_ms, 0)
        members = [vm for record in newer.groups for vm in record.members]
        timeline.record(kinds.EventKind.GROUP_FORMED, " ".join(members))

    groups.subscribe_layouts(record_layout)


class TestBounds:
    def test_clock_hours_ahead_does_not_advance_others(self):
        daemon = ring.Timeline("a", SkewedClock(0), 10)
        assert not daemon.observe(START_MS + 3_600_000, 0)
        assert daemon.record(KIND).wall_ms == START_MS
        assert daemon.time.refused_jumps == 1

    def test_advance_is_bounded_by_the_local_clock_however_often_stamps_arrive(self):
        daemon = ring.Timeline("a", SkewedClock(0), 10)
        for ahead_ms in range(0, 100_000, 1000):
            daemon.observe(START_MS + ahead_ms, 0)
        assert daemon.time.ahead_ms == hybrid.MAX_AHEAD_MS

    @pytest.mark.parametrize(
        ("size", "max_bytes", "kept"), [(10, 10**6, 10), (1000, 5 * 1000, 5), (1000, 10**6, 100)]
    )
    def test_ring_is_bounded_in_events_and_bytes(self, size, max_bytes, kept):
        daemon = ring.Timeline("a", SkewedClock(0), size, max_bytes)
        for _ in range(100):
            daemon.record(KIND, "x" * 10_000)
        page = daemon.read()
        assert len(page.events) == kept and page.dropped == 100 - kept
        assert [event.sequence for event in page.events] == list(range(100 - kept, 100))
        held = sum(ring.estimate_bytes(event) for event in page.events)
        assert held <= max_bytes


class TestRefusals:
    def test_many_refusals_are_one_event(self):
        timeline = ring.Timeline("a", SkewedClock(0), 10)
        counter = refusals.RefusalCounter(timeline)
        for number in range(1000):
            counter.note(
                "growers" if number % 4 else "", "not_run" if number % 4 else "unauthorized"
            )
            counter.flush(number)
        counter.flush(refusals.FLUSH_INTERVAL_MS)
        counter.flush(3 * refusals.FLUSH_INTERVAL_MS)
        details = [event.detail for event in timeline.read().events]
        assert details == ["750 of growers as not_run, 250 of no team as unauthorized"]


class TestFilter:
    @pytest.mark.parametrize(
        ("wanted", "found"),
        [
            (merge.EventFilter(), "abcd"),
            (merge.EventFilter(kind="group"), "bc"),
            (merge.EventFilter(kind="group.broken"), "c"),
            (merge.EventFilter(group="g1"), "bc"),
            (merge.EventFilter(vm="vm-1"), "c"),
            (merge.EventFilter(request="r1"), "d"),
            (merge.EventFilter(bundle_version=3), "a"),
            (merge.EventFilter(since_ms=START_MS + 20), "cd"),
            (merge.EventFilter(until_ms=START_MS + 10), "ab"),
        ],
    )
    def test_keeps_matching_events(self, wanted, found):
        clock = SkewedClock(0)
        daemon = ring.Timeline("a", clock, 10)
        daemon.record(kinds.EventKind.BUNDLE_ACCEPTED, "a", bundle_version=3)
        clock.advance(10)
        daemon.record(kinds.EventKind.GROUP_WHOLE, "b", group="g1")
        clock.advance(10)
        daemon.record(kinds.EventKind.GROUP_BROKEN, "c", group="g1", vm="vm-1")
        clock.advance(10)
        daemon.record(kinds.EventKind.REQUEST_REFUSED, "d", request="r1")
        kept = merge.merge_pages([daemon.read()], wanted)
        assert "".join(event.detail for event in kept) == found
