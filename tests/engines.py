"""Whole groups with scripted engines, for tests of retries, resumption and poison detection."""

import asyncio
import collections
import random
from collections.abc import Mapping

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.front import attempts, chat, gate
from tanagerfork.generated import bundle, engine, layout
from tanagerfork.groups import presence
from tanagerfork.routing import affinity, balancer, health, leaving, limits, poison, retry
from tanagerfork.routing import fleet as fleets
from tanagerfork.timeline import ring
from tanagerfork.upstream import stream

MODEL = bundle.Model(name="m", version="1", members_per_group=1, placement=[], adapters=["lora"])
LOST, SILENT, CONFUSED, REFUSED, UNREACHABLE, HANG, CRASH = [
    "lost",
    "silent",
    "confused",
    "refused",
    "gone",
    "hang",
    "crash",
]
FAILURES = {
    LOST: errors.UpstreamLost("lost"),
    CRASH: errors.UpstreamLost("crash"),
    SILENT: errors.UpstreamSilent("silent"),
    CONFUSED: errors.UpstreamConfused("confused"),
    REFUSED: errors.UpstreamRefused("refused"),
    UNREACHABLE: errors.UpstreamUnreachable("gone"),
}


def make_view(group: str, running: int = 0, age_ms: int = 0, **fields) -> presence.GroupView:
    """Return a whole group of one VM with 16 slots."""
    record = layout.GroupRecord(
        group=group,
        model="m",
        version=fields.pop("version", "1"),
        generation=1,
        members=[group],
        adapters=fields.pop("adapters", []),
    )
    report = engine.EngineReport(
        vm=group, incarnation="i", sequence=1, members=[group], running=running, slots=16, **fields
    )
    return presence.GroupView(record, presence.GroupState.WHOLE, (), report, age_ms)


class ScriptedExchange:
    """Sends `tokens` tokens from an offset, then ends as `ending` says."""

    mean_gap_ms = 10.0

    def __init__(self, engines: "ScriptedEngines", offset: int, tokens: int, ending: str) -> None:
        self._engines = engines
        self._next = offset
        self._left = tokens
        self._ending = ending
        self._interrupted = asyncio.Event()

    async def next_batch(self):
        """Return the next token, the end of the response, or the failure."""
        await asyncio.sleep(0)
        if self._left:
            self._left -= 1
            self._next += 1
            return result.Ok(stream.Batch(f"t{self._next};".encode(), 1, False))
        if self._ending == HANG:
            await self._interrupted.wait()
            return result.Err(FAILURES[LOST])
        if self._ending:
            return result.Err(FAILURES[self._ending])
        return result.Ok(stream.Batch(b"finish", 0, True))

    def interrupt(self) -> None:
        """Release a hanging `next_batch`."""
        self._interrupted.set()

    async def close(self) -> None:
        """Count closed exchanges."""
        self._engines.closed += 1


class ScriptedEngines:
    """Stands in for the group directory and for the engine client.

    `script` gives, for each attempt in turn, how many tokens are sent and how the attempt ends;
    once it is used up, responses are complete. A body that contains `crash_on` crashes every group
    that runs it.
    """

    def __init__(self, groups: int = 3, script=(), length: int = 4, crash_on: bytes = b"") -> None:
        self.views = [make_view(f"g{number}") for number in range(groups)]
        self.script = list(script)
        self.length = length
        self.crash_on = crash_on
        self.sent: list[tuple[str, int]] = []
        self.headers: list[Mapping[str, str]] = []
        self.cancelled: list[str] = []
        self.incarnations: collections.Counter[str] = collections.Counter()
        self.closed = 0

    def whole_groups(self, model: str, now_ms: int):
        """Return all groups."""
        return list(self.views)

    def find_vm(self, vm: str):
        """Return an entry for any VM."""
        return engine.VmEntry(vm=vm, url="", failure_domain="d", fabric_domain="f")

    async def open(self, vm, attempt):
        """Start an attempt according to the script."""
        await asyncio.sleep(0)
        self.sent.append((vm.vm, attempt.resume_offset))
        self.headers.append(attempt.headers)
        tokens, ending = self.script.pop(0) if self.script else (self.length, "")
        if self.crash_on and self.crash_on in attempt.body:
            tokens, ending = 0, CRASH
        if ending == CRASH:
            self.incarnations[vm.vm] += 1
        if ending in FAILURES and not tokens:
            return result.Err(FAILURES[ending])
        left = self.length - attempt.resume_offset
        return result.Ok(ScriptedExchange(self, attempt.resume_offset, min(tokens, left), ending))

    async def report(self, vm):
        """Return a report; a crashed engine has another incarnation."""
        count = self.incarnations[vm.vm]
        incarnation = "i" if not count else f"i{count}"
        return result.Ok(
            engine.EngineReport(vm=vm.vm, incarnation=incarnation, sequence=1, members=[vm.vm])
        )

    async def cancel(self, vm, attempt_id: str) -> None:
        """Record a cancelled attempt."""
        self.cancelled.append(vm.vm)


class CollectingSink:
    """Collects the events that are sent to the caller."""

    def __init__(self) -> None:
        self.data = b""
        self.has_begun = False

    async def write(self, events: bytes) -> bool:
        """Collect events."""
        self.has_begun = True
        self.data += events
        return True

    async def finish(self):
        """Return the collected events."""
        return self.data


class BroadcastingFleet(fleets.SingleDaemonFleet):
    """A fleet that forwards poison notices to other registers."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.registers: list[poison.PoisonRegister] = []
        self.targets: list[fleets.SpillTarget] = []
        self._clock = clock

    def spill_targets(self, model: str):
        """Return the configured targets."""
        return self.targets

    async def broadcast_poison(self, notice: fleets.PoisonNotice) -> None:
        """Send a notice to all registers."""
        for register in self.registers:
            register.hear(notice, 2000, self._clock.monotonic_ms())


class Runner:
    """A chat runner and its policy on scripted engines."""

    def __init__(self, engines: ScriptedEngines, fleet: fleets.Fleet | None = None) -> None:
        self.clock = clocks.ManualClock()
        self.metrics = metric.Metrics()
        self.timeline = ring.Timeline("d", self.clock, 100)
        rng = random.Random(1)
        fleet = fleet or fleets.SingleDaemonFleet()
        upstream_health = health.Health(rng, lambda *change: None)
        self.balancer = balancer.Balancer(rng, upstream_health, affinity.PrefixMap())
        self.poison = poison.PoisonRegister()
        policy = chat.ChatPolicy(
            balancer=self.balancer,
            leaving=leaving.LeavingVms(engines.find_vm, fleet),
            budget=retry.RetryBudget(),
            pacer=retry.DialPacer(rng),
            poison=self.poison,
            fleet=fleet,
        )
        self.gate = gate.Gate(
            engines,
            self.balancer.sent_load,
            limits.TeamLimits(fleet),
            fleet,
            self.clock,
            self.metrics,
        )
        runner = self.attempts = attempts.AttemptRunner(
            engines, self.balancer, self.poison, engines, self.clock, self.metrics
        )
        self.chats = chat.ChatRunner(
            engines, policy, self.gate, runner, self.clock, self.timeline, self.metrics
        )

    async def step(self) -> None:
        """Let the tasks run until they wait, then advance the clock."""
        for _ in range(20):
            await asyncio.sleep(0)
        self.clock.advance(100)

    def call(self, request: str = "r1", body: bytes = b"{}", **fields) -> chat.ChatCall:
        """Return a chat call."""
        team = bundle.Team(name="t", token_sha256=[])
        deadline_at_ms = self.clock.monotonic_ms() + 60_000
        return chat.ChatCall(request, team, MODEL, body, 0, deadline_at_ms, **fields)

    async def ask(self, **fields) -> tuple[bytes, errors.CallerError | None]:
        """Run a chat call; return the data sent to the caller and the error."""
        sink = CollectingSink()
        task = asyncio.create_task(self.chats.run(self.call(**fields), sink))
        while not task.done():
            await self.step()
        outcome = task.result()
        return sink.data, outcome.err_value if isinstance(outcome, result.Err) else None
