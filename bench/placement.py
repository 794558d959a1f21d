"""Group downtime and stranded accelerators of the placement policy on seeded fault traces.

Run with `python -m bench.placement`.
"""

import asyncio
import dataclasses
import sys
import time
from collections.abc import Callable

import msgspec
from tests import fakes

from bench import baselines, fleet, traces
from tanagerfork import clock as clocks
from tanagerfork.groups import orders, outage, placement, presence

SEEDS = (11, 12)
DAYS = 7
LOAD_MS = 60_000
LOADS_AT_ONCE = 4
START_MS = 10 * traces.MINUTE_MS
QUIET_MS = 40_000  # Time without a change after which the run skips ahead.
SKIP_MS = 20 * traces.MINUTE_MS
RUNNING_MS = 20_000  # Time that requests in flight take to finish during a drain.
DOMAINS = ({"f1": 9, "f2": 8}, {"f1": 9, "f2": 8}, {"f1": 8, "f2": 8})
PRESS = (4.0, 1.0)
AGENCY = (1.0, 4.0)
GOAL_RATIO = 1.3


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """A policy under test."""

    name: str
    weights: tuple[float, float] = (1.0, 1.0)
    make_baseline: Callable[[], placement.LayoutPolicy] | None = None


PRESS_POLICY = Policy("press's weights", PRESS)
AGENCY_POLICY = Policy("agency's weights", AGENCY)
WAITING = Policy("wait for the return", make_baseline=baselines.WaitForReturn)
REFORMING = Policy("re-form at every failure", make_baseline=baselines.ReformAtEveryFailure)


class NoSubstituter(outage.Substituter):
    """Replaces the substituter for the baselines, which keep no reserves."""

    def choose_orders(self, situation: outage.OutageSituation) -> list[orders.VmOrder]:
        """Return no orders."""
        return []


class Run:
    """Simulates one trace under one policy with the real coordinator.

    :param trace: trace.
    :param policy: policy.
    :param wanted: number of groups wanted.
    :param surplus: number of groups allowed beyond `wanted`.
    """

    def __init__(self, trace: traces.Trace, policy: Policy, wanted: int, surplus: int) -> None:
        self.trace = trace
        self.wanted = wanted
        self.cost = traces.Cost()
        self.fleet = fleet.Fleet(dict(trace.domains), LOAD_MS, LOADS_AT_ONCE)
        self.states = {vm: traces.VmState() for vm in self.fleet.engines}
        self.store = fakes.MemoryKeyValue()
        self.clock = clocks.ManualClock()
        downtime_weight, stranded_weight = policy.weights
        bundle = fleet.make_bundle(
            wanted,
            surplus,
            downtime_weight,
            stranded_weight,
            loads_at_once=LOADS_AT_ONCE,
        )
        source = fleet.BundleSource(fleet.InForce(bundle))
        self.daemon = fleet.FleetDaemon(
            "d0", self.fleet, self.store, self.clock, source, make_policy=policy.make_baseline
        )
        if policy.make_baseline is not None:
            self.daemon.coordinator._substituter = NoSubstituter()
        self._draining_since_ms: dict[str, int] = {}
        self._changed_at_ms = 0
        self._signature: tuple = ()
        self._views: list[presence.GroupView] = []

    async def run(self) -> traces.Cost:
        """Run the trace to its end; return its cost."""
        events = list(reversed(self.trace.events))
        now_ms = 0
        while now_ms < self.trace.duration_ms:
            while events and events[-1].at_ms <= now_ms:
                self._apply(events.pop())
                self._changed_at_ms = now_ms
            await self._step(now_ms)
            until_ms = min(events[-1].at_ms if events else sys.maxsize, self.trace.duration_ms)
            next_ms = now_ms + fleet.STEP_MS
            if now_ms - self._changed_at_ms > QUIET_MS and not self.fleet.is_loading():
                next_ms = max(next_ms, min(until_ms, now_ms + SKIP_MS))
            self._account(now_ms, next_ms)
            self.clock.advance(next_ms - now_ms)
            now_ms = next_ms
        return self.cost

    async def _step(self, now_ms: int) -> None:
        self.fleet.advance(now_ms)
        self._end_requests(now_ms)
        await self.daemon.step()
        views = self._views = self.daemon.views()
        signature = tuple((view.record.group, view.state, view.record.generation) for view in views)
        if signature != self._signature:
            self._signature, self._changed_at_ms = signature, now_ms

    def _apply(self, event: traces.Event) -> None:
        if event.kind in ("away", "there"):
            self.store.is_away = event.kind == "away"
            return
        model = self.fleet.engines[event.vm]
        if event.kind == "leave":
            model.entry = msgspec.structs.replace(model.entry, leaving=True)
            return
        was_up = self.states[event.vm].downs == 0
        traces.apply_event(self.states, event)
        state = self.states[event.vm]
        model.is_paused = state.pauses > 0
        model.slowdown = 4.0 if state.slows else 1.0
        if was_up and state.downs:
            self.fleet.die(event.vm)
        elif not was_up and not state.downs:
            model.entry = msgspec.structs.replace(model.entry, leaving=False)
            self.fleet.come_back(event.vm)

    def _end_requests(self, now_ms: int) -> None:
        """Report a running request at each group until `RUNNING_MS` after its drain began."""
        known = self.daemon.groups.layout
        for record in known.groups if known else []:
            since_ms = now_ms
            if record.draining:
                since_ms = self._draining_since_ms.setdefault(record.group, now_ms)
            else:
                self._draining_since_ms.pop(record.group, None)
            is_running = now_ms - since_ms < RUNNING_MS
            self.fleet.engines[record.members[0]].report.running = int(is_running)

    def _account(self, now_ms: int, next_ms: int) -> None:
        spent_ms = min(next_ms, self.trace.duration_ms) - max(now_ms, START_MS)
        if spent_ms <= 0:
            return
        views = self._views
        running = (presence.GroupState.WHOLE, presence.GroupState.DRAINING)
        whole = [
            view
            for view in views
            if view.state in running and self.fleet.is_truly_whole(view.record.members)
        ]
        serving = [view for view in whole if view.state == presence.GroupState.WHOLE]
        fast = [view for view in serving if not self._is_slow(view)]
        used = {vm for view in whole for vm in view.record.members}
        stranded = sum(state.is_alive and vm not in used for vm, state in self.states.items())
        self.cost.downtime_ms += spent_ms * (max(self.wanted, len(views)) - len(fast))
        self.cost.stranded_ms += spent_ms * stranded * traces.ACCELERATORS

    def _is_slow(self, view: presence.GroupView) -> bool:
        return any(self.states[vm].slows for vm in view.record.members)


async def measure(
    policies: tuple[Policy, ...], wanted: tuple[int, ...], surplus: int
) -> dict[str, traces.Cost]:
    """Sum the costs of all seeds and failure domains by policy, and their lower bound."""
    total: dict[str, traces.Cost] = {}
    for seed in SEEDS:
        for place, (domains, groups) in enumerate(zip(DOMAINS, wanted, strict=True)):
            trace = traces.make_trace(seed * 100 + place, domains, DAYS)
            allowed = groups + surplus
            costs = {
                "bound": traces.bound_cost(trace, START_MS, groups, allowed, LOAD_MS, LOADS_AT_ONCE)
            }
            for policy in policies:
                costs[policy.name] = await Run(trace, policy, groups, surplus).run()
            for name, cost in costs.items():
                sums = total.setdefault(name, traces.Cost())
                sums.downtime_ms += cost.downtime_ms
                sums.stranded_ms += cost.stranded_ms
    return total


def print_table(title: str, total: dict[str, traces.Cost]) -> None:
    """Print the costs of the policies with their ratios to the bound."""
    print(title)
    bound = total["bound"]
    print(f"  {'':26}{'group downtime':>24}{'stranded accelerators':>28}")
    for name, cost in total.items():
        downtime_ratio = cost.downtime_ms / bound.downtime_ms if bound.downtime_ms else 0
        stranded_ratio = cost.stranded_ms / bound.stranded_ms if bound.stranded_ms else 0
        print(
            f"  {name:26}{cost.downtime_ms / traces.MINUTE_MS:14.1f} min {downtime_ratio:5.2f}"
            f"{cost.stranded_ms / traces.HOUR_MS:18.1f} h    {stranded_ratio:5.2f}"
        )


def report_goal(user: str, measure_name: str, total: dict[str, traces.Cost], own: str) -> bool:
    """Print and return whether a user's goal is reached."""
    values = {name: getattr(cost, measure_name) for name, cost in total.items()}
    ratio = values[own] / values["bound"]
    beats = values[own] < min(values[WAITING.name], values[REFORMING.name])
    is_reached = beats and ratio <= GOAL_RATIO
    verdict = "reached" if is_reached else "NOT REACHED"
    print(
        f"  goal of the {user} ({measure_name}): ratio {ratio:.2f}, beats both: {beats}: {verdict}"
    )
    return is_reached


async def run() -> bool:
    """Run all measurements; return whether the goals are reached."""
    print(f"seeds {SEEDS}, {DAYS} days, loads of {LOAD_MS} ms, {LOADS_AT_ONCE} at once")
    press = await measure((PRESS_POLICY, WAITING, REFORMING), (4, 4, 3), 0)
    print_table("the press's bundle: 4, 4 and 3 groups", press)
    agency = await measure((AGENCY_POLICY, WAITING, REFORMING), (4, 4, 4), 0)
    print_table("the agency's bundle: 4 groups each", agency)
    trade = await measure((PRESS_POLICY, AGENCY_POLICY), (3, 3, 3), 1)
    print_table("the trade-off: 3 groups wanted, 1 more allowed", trade)
    reached = [
        report_goal("press", "downtime_ms", press, PRESS_POLICY.name),
        report_goal("agency", "stranded_ms", agency, AGENCY_POLICY.name),
    ]
    return all(reached)


def main() -> None:
    """Run the bench; exit with status 1 if a goal is not reached."""
    started_s = time.perf_counter()
    is_reached = asyncio.run(run())
    print(f"{time.perf_counter() - started_s:.0f} s")
    sys.exit(0 if is_reached else 1)


if __name__ == "__main__":
    main()
