"""Discrete-event simulation of groups, driven by the real decision code."""

import collections
import dataclasses
import heapq
import random
from collections.abc import Callable

from tanagerfork.generated import engine, layout
from tanagerfork.groups import presence

FIRST_TOKEN_MS = 250.0
TOKEN_GAP_MS = 33.0
CACHED_SHARE = 0.3
CACHE_PREFIXES = 24
SLOTS = 16


class EventLoop:
    """Runs callbacks on simulated time, in the order of their times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at an absolute time."""
        self._count += 1
        heapq.heappush(self._due, (at_ms, self._count, callback))

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run(self, until_ms: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._due)
            callback()


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One attempt at a group; `on_end` receives whether it completed."""

    tokens: int
    prefix: str
    sent_ms: float
    on_end: Callable[["Job", bool], None]
    first_ms: float = -1.0
    gap_ms: float = 0.0
    started_ms: float = -1.0
    is_cached: bool = False
    is_gone: bool = False


class Group:
    """A group with slots, a queue behind them and a prefix cache."""

    def __init__(self, name: str, loop: EventLoop) -> None:
        self.name = name
        self.slowdown = 1.0
        self.is_dark = False
        self.running: set[Job] = set()
        self.waiting: collections.deque[Job] = collections.deque()
        self.events: list[engine.CacheEvent] = []
        self.report = engine.EngineReport(vm=name, incarnation="i", sequence=0, slots=SLOTS)
        self.reported_ms = 0.0
        self.record = layout.GroupRecord(
            group=name, model="m", version="1", generation=1, members=[name]
        )
        self._loop = loop
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0

    def send(self, job: Job) -> bool:
        """Start or queue an attempt; return False if the group is dark."""
        if self.is_dark:
            return False
        if len(self.running) < SLOTS:
            self._start(job)
        else:
            self.waiting.append(job)
        return True

    def publish(self) -> None:
        """Publish a report of the current load."""
        self.report = engine.EngineReport(
            vm=self.name,
            incarnation="i",
            sequence=self.report.sequence + 1,
            running=len(self.running),
            waiting=len(self.waiting),
            slots=SLOTS,
            step_ms=TOKEN_GAP_MS * self.slowdown,
            cache_sequence=self._sequence,
        )
        self.reported_ms = self._loop.now_ms

    def view(self) -> presence.GroupView:
        """Return a view of the group from its last report."""
        age_ms = int(self._loop.now_ms - self.reported_ms)
        whole = presence.GroupState.WHOLE
        return presence.GroupView(self.record, whole, (), self.report, age_ms)

    def go_dark(self) -> None:
        """Fail all attempts and accept no more."""
        self.is_dark = True
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in lost:
            job.is_gone = True
            job.on_end(job, False)

    def _start(self, job: Job) -> None:
        self.running.add(job)
        job.started_ms = self._loop.now_ms
        job.is_cached = job.prefix in self._cache
        self._cache_prefix(job.prefix)
        share = CACHED_SHARE if job.is_cached else 1.0
        busy = 0.7 + 0.3 * len(self.running) / SLOTS
        job.gap_ms = TOKEN_GAP_MS * busy * self.slowdown
        job.first_ms = self._loop.now_ms + FIRST_TOKEN_MS * share * self.slowdown
        self._loop.call_at(job.first_ms + job.tokens * job.gap_ms, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        if job.is_gone:
            return
        self.running.discard(job)
        if self.waiting:
            self._start(self.waiting.popleft())
        job.on_end(job, True)

    def _cache_prefix(self, prefix: str) -> None:
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            return
        self._cache[prefix] = None
        self._publish_event("stored", prefix)
        if len(self._cache) > CACHE_PREFIXES:
            self._publish_event("evicted", self._cache.popitem(last=False)[0])

    def _publish_event(self, kind: str, prefix: str) -> None:
        self._sequence += 1
        event = engine.CacheEvent(
            sequence=self._sequence,
            kind="stored" if kind == "stored" else "evicted",
            prefix=prefix,
        )
        self.events.append(event)
        del self.events[:-500]


def find_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile; infinite if there are no values."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def draw_prefix(rng: random.Random, families: int) -> str:
    """Draw a prompt prefix from a skewed distribution: a few are frequent."""
    return f"p{int(families * rng.random() ** 3)}"
