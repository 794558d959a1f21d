"""CPU time, layout size and key-value calls of coordination in one failure domain.

Run with `python -m bench.coordination`.
"""

import asyncio
import time
import uuid

import msgspec
from tests import fakes

from bench import fleet
from tanagerfork import clock as clocks
from tanagerfork.generated import settings
from tanagerfork.groups import facts, layout_follower, orders

SIZES = ({"f1": 17}, {f"f{number}": 27 for number in range(5)}, {f"f{n}": 54 for n in range(5)})
REPEATS = 30
DAEMONS = (6, 20, 70)
IDLE_MS = 60_000
FAILURE_DOMAINS = 37
GOAL_BYTES = 1_000_000


async def form_groups(domains: dict[str, int]) -> fleet.FleetDaemon:
    """Form groups of all VMs; return the daemon once they are whole and idle."""
    clock = clocks.ManualClock()
    engines = fleet.Fleet(domains, load_ms=500, loads_at_once=1000)
    groups = sum(count // 4 for count in domains.values())
    source = fleet.BundleSource(fleet.InForce(fleet.make_bundle(groups, loads_at_once=1000)))
    daemon = fleet.FleetDaemon("d0", engines, fakes.MemoryKeyValue(), clock, source)
    for _ in range(20):
        clock.advance(fleet.STEP_MS)
        engines.advance(clock.monotonic_ms())
        await daemon.step()
    if len(daemon.whole()) != groups:
        raise SystemExit(f"{len(daemon.whole())} of {groups} groups are whole")
    return daemon


def measure_ms(work) -> float:
    """Return the least CPU time of one call over all repeats, in milliseconds."""
    least = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        least = min(least, time.process_time() - started)
    return least * 1000


def measure_steps(daemon: fleet.FleetDaemon) -> None:
    """Print the CPU time of each part of a decision, and the size of the layout."""
    coordinator = daemon.coordinator
    now_ms = daemon.clock.monotonic_ms()
    vms = coordinator._observe_vms(now_ms)
    views = {view.record.group: view for view in daemon.views()}
    in_force = coordinator._bundles.current.bundle
    known = daemon.groups.layout

    def plan() -> None:
        situation = facts.Situation(
            now_ms=now_ms,
            layout=known,
            bundle=in_force,
            bundle_version=1,
            fencing=known.fencing,
            vms=vms,
            views=views,
        )
        coordinator._policy.plan(situation, uuid.uuid4().hex)

    size_bytes = len(msgspec.json.encode(known))
    parts = {
        "observe": measure_ms(lambda: coordinator._observe_vms(now_ms)),
        "judge": measure_ms(daemon.views),
        "plan": measure_ms(plan),
        "orders": measure_ms(lambda: orders.choose_orders(known, vms, in_force.placement)),
    }
    total_ms = sum(parts.values())
    shown = "  ".join(f"{name} {value:6.2f}" for name, value in parts.items())
    share = total_ms * 2 / 10  # Two steps a second, in percent of a core.
    print(
        f"  {len(vms):4} VMs {len(known.groups):3} groups: {shown}  ms a step, in all"
        f" {total_ms:6.2f}; {share:4.1f}% of a core at the holder; layout {size_bytes} bytes"
        f" ({size_bytes / len(known.groups):.0f} a group, {size_bytes / GOAL_BYTES:.1%} of 1 MB)"
    )


async def measure_calls(daemons: int) -> None:
    """Print the rate of calls to the key-value service in the idle state."""
    clock, store = clocks.ManualClock(), fakes.MemoryKeyValue()
    engines = fleet.Fleet({"f1": 8})
    names = tuple(f"d{number}" for number in range(daemons))
    source = fleet.BundleSource(fleet.InForce(fleet.make_bundle(2)))
    nodes = [fleet.FleetDaemon(name, engines, store, clock, source, names=names) for name in names]
    followers = [
        layout_follower.LayoutFollower(
            fleet.FAILURE_DOMAIN,
            name,
            store,
            node.groups,
            clock,
            lambda: names,
            fleet.make_random(number),
        )
        for number, (name, node) in enumerate(zip(names, nodes, strict=True))
    ]
    tasks = [asyncio.create_task(follower.run()) for follower in followers]
    for step in range(2 * IDLE_MS // fleet.STEP_MS):
        if step == IDLE_MS // fleet.STEP_MS:
            store.reads = store.writes = 0
        clock.advance(fleet.STEP_MS)
        engines.advance(clock.monotonic_ms())
        for node in nodes:
            await node.step()
        await asyncio.sleep(0)
    watches = sum(follower.is_watching() for follower in followers)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    reads, writes = store.reads * 1000 / IDLE_MS, store.writes * 1000 / IDLE_MS
    print(
        f"  {daemons:3} daemons: {reads:.2f} reads and {writes:.2f} writes a second, {watches}"
        f" watches; {FAILURE_DOMAINS} failure domains: {reads * FAILURE_DOMAINS:.0f} reads,"
        f" {writes * FAILURE_DOMAINS:.0f} writes, {watches * FAILURE_DOMAINS} watches"
    )


async def run() -> None:
    """Run all measurements."""
    interval_ms = settings.GroupSettings().plan_interval_ms
    print(f"one decision, each {interval_ms} ms, at the holder of the lease")
    for domains in SIZES:
        measure_steps(await form_groups(domains))
    print("calls of the key-value service by one failure domain at rest")
    for daemons in DAEMONS:
        await measure_calls(daemons)


def main() -> None:
    """Run the bench."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
