"""Seeded fault traces of one failure domain, and a lower bound of their cost."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterator, Mapping

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
FAILURES_PER_VM_DAY = 0.024
RESTARTS_PER_VM_DAY = 0.066
PAUSES_PER_VM_DAY = 0.02
STRAGGLERS_PER_VM_DAY = 0.01
ANNOUNCED_SHARE = 0.5
NOTICE_MS = 2 * MINUTE_MS
ACCELERATORS = 8
MEMBERS = 4


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Event:
    """One event of a trace; `vm` is empty for events of the whole failure domain."""

    at_ms: int
    kind: str
    vm: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Trace:
    """Fault events of one failure domain, in the order of their times."""

    domains: Mapping[str, int]
    duration_ms: int
    events: tuple[Event, ...]


def make_trace(seed: int, domains: Mapping[str, int], days: int) -> Trace:
    """Build a random trace.

    :param seed: seed.
    :param domains: VMs by fabric domain.
    :param days: length of the trace, in days.
    :return: trace with failures, restarts, pauses and stragglers at the rates of the fleet, one
        fabric domain outage, and a 30-minute outage of the key-value service during which a VM
        fails.
    """
    rng = random.Random(seed)
    vms = [f"{domain}-vm{number}" for domain, count in domains.items() for number in range(count)]
    events: list[Event] = []
    busy_until_ms = dict.fromkeys(vms, 0)
    for kind, rate in (
        ("die", FAILURES_PER_VM_DAY),
        ("restart", RESTARTS_PER_VM_DAY),
        ("pause", PAUSES_PER_VM_DAY),
        ("straggle", STRAGGLERS_PER_VM_DAY),
    ):
        for _ in range(max(1, round(rate * len(vms) * days))):
            at_ms = rng.randrange(HOUR_MS, days * DAY_MS - HOUR_MS)
            _add_fault(events, busy_until_ms, rng, kind, at_ms, rng.choice(vms))
    dark_at_ms = rng.randrange(HOUR_MS, days * DAY_MS - 2 * HOUR_MS)
    domain = rng.choice(list(domains))
    for vm in vms:
        if vm.startswith(f"{domain}-"):
            events += [Event(dark_at_ms, "die", vm), Event(dark_at_ms + HOUR_MS, "back", vm)]
    away_at_ms = rng.randrange(HOUR_MS, days * DAY_MS - 2 * HOUR_MS)
    events += [Event(away_at_ms, "away"), Event(away_at_ms + 30 * MINUTE_MS, "there")]
    victim = rng.choice(vms)
    events += [
        Event(away_at_ms + 5 * MINUTE_MS, "die", victim),
        Event(away_at_ms + 20 * MINUTE_MS, "back", victim),
    ]
    return Trace(domains, days * DAY_MS, tuple(sorted(events)))


def _add_fault(
    events: list[Event],
    busy_until_ms: dict[str, int],
    rng: random.Random,
    kind: str,
    at_ms: int,
    vm: str,
) -> None:
    fault_duration_ms = {
        "die": rng.randrange(10 * MINUTE_MS, 30 * MINUTE_MS),
        "restart": rng.randrange(MINUTE_MS, 3 * MINUTE_MS),
        "pause": rng.randrange(3000, 20_000),
        "straggle": rng.randrange(20 * MINUTE_MS, HOUR_MS),
    }[kind]
    is_announced = kind == "restart" and rng.random() < ANNOUNCED_SHARE
    events += {
        "die": [Event(at_ms, "die", vm), Event(at_ms + fault_duration_ms, "back", vm)],
        "restart": [Event(at_ms, "die", vm), Event(at_ms + fault_duration_ms, "back", vm)],
        "pause": [Event(at_ms, "pause", vm), Event(at_ms + fault_duration_ms, "resume", vm)],
        "straggle": [Event(at_ms, "slow", vm), Event(at_ms + fault_duration_ms, "normal", vm)],
    }[kind]
    if is_announced:
        events.append(Event(at_ms - NOTICE_MS, "leave", vm))


@dataclasses.dataclass(slots=True)
class VmState:
    """State of one VM at a point of the trace."""

    downs: int = 0
    pauses: int = 0
    slows: int = 0
    is_loaded: bool = True

    @property
    def is_alive(self) -> bool:
        """Whether the VM runs."""
        return self.downs == 0 and self.pauses == 0


def apply_event(states: Mapping[str, VmState], event: Event) -> None:
    """Apply an event to the state of its VM; overlapping faults are counted."""
    state = states.get(event.vm)
    if state is None:
        return
    if event.kind in ("die", "back"):
        state.downs += 1 if event.kind == "die" else -1
        state.is_loaded = False
    elif event.kind in ("pause", "resume"):
        state.pauses += 1 if event.kind == "pause" else -1
    elif event.kind in ("slow", "normal"):
        state.slows += 1 if event.kind == "slow" else -1


@dataclasses.dataclass(slots=True)
class Cost:
    """Cost of a trace, in group-milliseconds and accelerator-milliseconds."""

    downtime_ms: float = 0
    stranded_ms: float = 0


def bound_cost(
    trace: Trace, start_ms: int, wanted: int, allowed: int, load_ms: int, loads_at_once: int
) -> Cost:
    """Compute a lower bound of the cost for any policy.

    The bound assumes that every event is known ahead and that groups change in no time. What
    remains is unavoidable: a VM that lost its weights loads them, the usable VMs of a fabric
    domain limit its groups, and a group with a straggler counts as down.

    :param trace: trace.
    :param start_ms: start of the accounting, in milliseconds.
    :param wanted: number of groups wanted.
    :param allowed: largest number of groups allowed.
    :param load_ms: time to load the weights of one VM, in milliseconds.
    :param loads_at_once: number of VMs that the weight store serves at once.
    :return: least downtime and least stranded time; each is bounded separately.
    """
    states = {
        f"{domain}-vm{number}": VmState()
        for domain, count in trace.domains.items()
        for number in range(count)
    }
    cost = Cost()
    last_ms = start_ms
    for at_ms, event in _merge_loads(trace, load_ms, loads_at_once):
        spent_ms = max(0, min(at_ms, trace.duration_ms) - last_ms)
        fast = _count_groups(trace, states, skip_slow=True)
        running = _count_groups(trace, states, skip_slow=False)
        alive = sum(state.is_alive for state in states.values())
        cost.downtime_ms += spent_ms * max(0, wanted - fast)
        cost.stranded_ms += spent_ms * ACCELERATORS * (alive - MEMBERS * min(allowed, running))
        last_ms = max(last_ms, at_ms)
        if event.kind == "loaded":
            states[event.vm].is_loaded = states[event.vm].downs == 0
        else:
            apply_event(states, event)
    return cost


def _merge_loads(trace: Trace, load_ms: int, loads_at_once: int) -> Iterator[tuple[int, Event]]:
    """Yield the events merged with the ends of loads; a load starts once its VM is back."""
    slot_free_at_ms = [0] * loads_at_once
    downs: dict[str, int] = {}
    waiting: list[tuple[int, int, Event]] = []
    order = itertools.count()
    for event in trace.events:
        heapq.heappush(waiting, (event.at_ms, next(order), event))
        if event.kind == "die":
            downs[event.vm] = downs.get(event.vm, 0) + 1
        elif event.kind == "back":
            downs[event.vm] -= 1
            if downs[event.vm] == 0:
                begins_ms = max(event.at_ms, heapq.heappop(slot_free_at_ms))
                heapq.heappush(slot_free_at_ms, begins_ms + load_ms)
                loaded = Event(begins_ms + load_ms, "loaded", event.vm)
                heapq.heappush(waiting, (loaded.at_ms, next(order), loaded))
    end = Event(trace.duration_ms, "end")
    heapq.heappush(waiting, (trace.duration_ms, next(order), end))
    while waiting:
        at_ms, _, event = heapq.heappop(waiting)
        yield at_ms, event


def _count_groups(trace: Trace, states: Mapping[str, VmState], skip_slow: bool) -> int:
    total = 0
    for domain in trace.domains:
        usable = [
            vm
            for vm, state in states.items()
            if vm.startswith(f"{domain}-")
            and state.is_alive
            and state.is_loaded
            and not (skip_slow and state.slows)
        ]
        total += len(usable) // MEMBERS
    return total
