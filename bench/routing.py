"""Compares the balancer with random, round-robin and least-reported-load routing."""

import collections
import dataclasses
import random
import sys
import time
from collections.abc import Sequence
from typing import Protocol

from bench import events
from tanagerfork.generated import engine
from tanagerfork.groups import presence
from tanagerfork.routing import affinity, balancer, health

DURATION_MS = 40_000
WARM_UP_MS = 8_000
MEAN_TOKENS = 60
REPORT_INTERVAL_MS = 500
EVENTS_LOST_SHARE = 0.1
EVENT_READS = 2
PRESENCE_TTL_MS = 2_000
MAX_ATTEMPTS = 16
VIEW_CACHE_MS = 20.0
DECISIONS = 20_000
DECISION_INTERVAL_MS = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """Size of a failure domain, and the seeds of its runs."""

    name: str
    daemons: int
    groups: int
    families: int
    seeds: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Trial:
    """Load and faults of one run."""

    load: float
    lag_ms: int = 1000
    straggler: bool = False
    removed: int = 0
    dark_groups: int = 0


TODAY = Size("today", daemons=6, groups=12, families=300, seeds=(11, 12, 13, 14, 15, 16))
TARGET = Size("target", daemons=70, groups=68, families=1500, seeds=(21,))


class Choice(Protocol):
    """Routing policy of one daemon."""

    def choose(self, views: Sequence[presence.GroupView], now_ms: int, prefix: str) -> str:
        """Return the group for the next request."""

    def begin(self, group: str, now_ms: int, prefix: str) -> None:
        """Record that a request was sent to a group."""

    def end(self, group: str, now_ms: int, gap_ms: float) -> None:
        """Record that a request ended; a negative gap means that it failed."""

    def hear(self, group: str, received: engine.CacheEvents, now_ms: int) -> None:
        """Record the cache events of a group."""


class RandomChoice:
    """Chooses a random group."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(self, views: Sequence[presence.GroupView], now_ms: int, prefix: str) -> str:
        """Return a random group."""
        return self.rng.choice(views).record.group

    def begin(self, group: str, now_ms: int, prefix: str) -> None:
        """Do nothing."""

    def end(self, group: str, now_ms: int, gap_ms: float) -> None:
        """Do nothing."""

    def hear(self, group: str, received: engine.CacheEvents, now_ms: int) -> None:
        """Do nothing."""


class RoundRobin(RandomChoice):
    """Chooses the groups in turn."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.next = rng.randrange(1000)

    def choose(self, views: Sequence[presence.GroupView], now_ms: int, prefix: str) -> str:
        """Return the next group."""
        self.next += 1
        return views[self.next % len(views)].record.group


class LeastReported(RandomChoice):
    """Chooses the group that reports the least load."""

    def choose(self, views: Sequence[presence.GroupView], now_ms: int, prefix: str) -> str:
        """Return the group with the least reported load; ties are broken at random."""
        loads = [(v.report.running + v.report.waiting if v.report else 0) for v in views]
        least = min(loads)
        return views[self.rng.choice([i for i, x in enumerate(loads) if x == least])].record.group


class Tanagerfork(RandomChoice):
    """Chooses with the daemon's balancer."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        judge = health.Health(rng, lambda *change: None)
        self.balancer = balancer.Balancer(rng, judge, affinity.PrefixMap())

    def choose(self, views: Sequence[presence.GroupView], now_ms: int, prefix: str) -> str:
        """Return the balancer's choice."""
        view = self.balancer.choose(views, now_ms, balancer.Requirements(prefixes=(prefix,)))
        assert view is not None
        return view.record.group

    def begin(self, group: str, now_ms: int, prefix: str) -> None:
        """Record the start of a request in the balancer."""
        self.balancer.begin(group, now_ms, (prefix,))

    def end(self, group: str, now_ms: int, gap_ms: float) -> None:
        """Record the end of a request in the balancer and the health of its group."""
        self.balancer.end(group, now_ms)
        if gap_ms < 0:
            self.balancer.health.record_failure(group, now_ms)
        else:
            self.balancer.health.record_success(group, now_ms, gap_ms)

    def hear(self, group: str, received: engine.CacheEvents, now_ms: int) -> None:
        """Record cache events in the balancer's prefix map."""
        self.balancer.prefix_map.apply_events(group, received, now_ms)


CHOICES = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "tanagerfork": Tanagerfork,
}


@dataclasses.dataclass(slots=True)
class Outcome:
    """Measurements of one run."""

    waits_ms: list[float] = dataclasses.field(default_factory=list)
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    hits: int = 0
    served: int = 0
    failed: int = 0
    outer: int = 0


class Run:
    """One run of a trial under one routing policy."""

    def __init__(self, size: Size, trial: Trial, choice_type: type, seed: int) -> None:
        self.loop = events.EventLoop()
        self.size, self.trial = size, trial
        self.rng = random.Random(seed)
        self.groups = [events.Group(f"g{n}", self.loop) for n in range(size.groups - trial.removed)]
        self.by_name = {group.name: group for group in self.groups}
        self.choices: list[Choice] = [
            choice_type(random.Random(self.rng.random())) for _ in range(size.daemons)
        ]
        self.seen: dict[str, tuple[presence.GroupView, float]] = {}
        self.outcome = Outcome()
        self.cached_views: list[presence.GroupView] = []
        self.cached_at_ms = -VIEW_CACHE_MS
        hold_ms = events.FIRST_TOKEN_MS + MEAN_TOKENS * events.TOKEN_GAP_MS
        self.rate_per_ms = trial.load * size.groups * events.SLOTS / hold_ms
        if trial.straggler:
            self.groups[0].slowdown = 10.0

    def run(self) -> Outcome:
        """Run the trial to its end."""
        self._publish()
        self._read_events()
        self._arrive()
        if self.trial.dark_groups:
            self.loop.call_at(DURATION_MS / 2, self._darken_groups)
        self.loop.run(DURATION_MS)
        return self.outcome

    def _darken_groups(self) -> None:
        for group in self.groups[: self.trial.dark_groups]:
            group.go_dark()

    def _publish(self) -> None:
        for group in self.groups:
            if not group.is_dark:
                group.publish()
                view, made_ms = group.view(), self.loop.now_ms
                self.loop.call_later(
                    self.trial.lag_ms, lambda v=view, m=made_ms: self._record_view(v, m)
                )
        self.loop.call_later(REPORT_INTERVAL_MS, self._publish)

    def _record_view(self, view: presence.GroupView, made_ms: float) -> None:
        self.seen[view.record.group] = view, made_ms

    def _views(self) -> list[presence.GroupView]:
        now = self.loop.now_ms
        if now - self.cached_at_ms < VIEW_CACHE_MS:
            return self.cached_views
        self.cached_at_ms = now
        ttl_ms = PRESENCE_TTL_MS + self.trial.lag_ms
        self.cached_views = [
            presence.GroupView(v.record, v.state, (), v.report, int(now - made))
            for v, made in self.seen.values()
            if now - made <= ttl_ms
        ]
        return self.cached_views

    def _read_events(self) -> None:
        for choice in self.choices:
            for group in self.rng.sample(self.groups, EVENT_READS):
                kept = [e for e in group.events[-100:] if self.rng.random() > EVENTS_LOST_SHARE]
                received = engine.CacheEvents(incarnation="i", events=kept)
                choice.hear(group.name, received, int(self.loop.now_ms))
        self.loop.call_later(REPORT_INTERVAL_MS, self._read_events)

    def _arrive(self) -> None:
        if self.seen:
            tokens = max(1, round(self.rng.expovariate(1 / MEAN_TOKENS)))
            prefix = events.draw_prefix(self.rng, self.size.families)
            self._send(self.rng.choice(self.choices), tokens, prefix, self.loop.now_ms, 0)
        self.loop.call_later(self.rng.expovariate(self.rate_per_ms), self._arrive)

    def _send(
        self, choice: Choice, tokens: int, prefix: str, arrived_ms: float, attempts: int
    ) -> None:
        now_ms = int(self.loop.now_ms)
        name = choice.choose(self._views(), now_ms, prefix)
        choice.begin(name, now_ms, prefix)

        def on_end(job: events.Job, is_whole: bool) -> None:
            ended_ms = int(self.loop.now_ms)
            choice.end(name, ended_ms, job.gap_ms if is_whole else -1.0)
            if is_whole:
                self._record_completion(job, arrived_ms)
            else:
                self._retry(choice, job.tokens, prefix, arrived_ms, attempts)

        job = events.Job(tokens, prefix, self.loop.now_ms, on_end)
        if not self.by_name[name].send(job):
            choice.end(name, now_ms, -1.0)
            self._retry(choice, tokens, prefix, arrived_ms, attempts)

    def _retry(
        self, choice: Choice, tokens: int, prefix: str, arrived_ms: float, attempts: int
    ) -> None:
        if attempts + 1 >= MAX_ATTEMPTS:
            self.outcome.failed += 1
            return
        self.loop.call_later(
            20, lambda: self._send(choice, tokens, prefix, arrived_ms, attempts + 1)
        )

    def _record_completion(self, job: events.Job, arrived_ms: float) -> None:
        if arrived_ms < WARM_UP_MS:
            return
        self.outcome.waits_ms.append(job.first_ms - arrived_ms)
        self.outcome.gaps_ms.append(job.gap_ms)
        self.outcome.hits += job.is_cached
        self.outcome.served += 1


def measure(size: Size, trial: Trial, choice_type: type) -> Outcome:
    """Run all seeds; return their merged measurements."""
    total = Outcome()
    for seed in size.seeds:
        ran = Run(size, trial, choice_type, seed).run()
        total.waits_ms += ran.waits_ms
        total.gaps_ms += ran.gaps_ms
        total.hits += ran.hits
        total.served += ran.served
        total.failed += ran.failed
    return total


def describe(outcome: Outcome) -> str:
    """Format the figures of a run."""
    wait = events.find_quantile(outcome.waits_ms, 0.95)
    gap = events.find_quantile(outcome.gaps_ms, 0.95)
    hits = outcome.hits / max(1, outcome.served)
    return f"p95 wait {wait:7.0f} ms, gap {gap:5.1f} ms, hits {hits:4.0%}, failed {outcome.failed}"


def measure_decision(size: Size) -> float:
    """Return the CPU time of one routing decision, in microseconds."""
    run = Run(size, Trial(0.8), Tanagerfork, size.seeds[0])
    run._publish()
    run.loop.run(1500)
    views = run._views()
    choice = Tanagerfork(random.Random(size.seeds[0]))
    prefixes = [events.draw_prefix(run.rng, size.families) for _ in range(DECISIONS)]
    started = time.process_time()
    for number, prefix in enumerate(prefixes):
        now_ms = number * DECISION_INTERVAL_MS
        name = choice.choose(views, now_ms, prefix)
        choice.begin(name, now_ms, prefix)
        choice.end(name, now_ms, 30.0)
    return (time.process_time() - started) / DECISIONS * 1e6


def main() -> None:
    """Run all trials and print the figures."""
    print(f"{DURATION_MS} ms for each seed, report lag 1,000 ms unless said otherwise")
    sizes = [TODAY] if "--today" in sys.argv else [TODAY, TARGET]
    for size in sizes:
        trials: dict[str, Trial] = collections.OrderedDict()
        for load in (0.5, 0.8, 0.95, 1.2):
            trials[f"load {load:.0%}"] = Trial(load)
        trials["load 80%, lag 100 ms"] = Trial(0.8, lag_ms=100)
        trials["load 80%, lag 5,000 ms"] = Trial(0.8, lag_ms=5000)
        trials["load 80%, one group fewer"] = Trial(0.8, removed=1)
        trials["load 80%, one straggler"] = Trial(0.8, straggler=True)
        trials["load 80%, fabric domain dark"] = Trial(0.8, dark_groups=max(1, size.groups // 8))
        print(f"\n{size.name}: {size.daemons} daemons, {size.groups} groups, seeds {size.seeds}")
        for name, trial in trials.items():
            for label, choice_type in CHOICES.items():
                print(f"  {name:30} {label:15} {describe(measure(size, trial, choice_type))}")
        print(f"  one decision {measure_decision(size):.1f} us")


if __name__ == "__main__":
    main()
