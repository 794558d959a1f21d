"""Overload with and without admission, retries with and without a budget, poison requests."""

import collections
import dataclasses
import random

from bench import events, routing
from tanagerfork.generated import bundle
from tanagerfork.groups import presence
from tanagerfork.routing import admission, fair_queue, fleet, limits, poison, retry

SEEDS = (31, 32, 33)
DAEMONS = 6
GROUPS = 12
DURATION_MS = 60_000
WARM_UP_MS = 15_000
LAG_MS = 1000
DEADLINE_MS = 10_000
PUMP_INTERVAL_MS = 50
HOLD_MS = 0.85 * events.FIRST_TOKEN_MS + routing.MEAN_TOKENS * events.TOKEN_GAP_MS
LARGE_TEAMS = 2
SMALL_TEAMS = 8
LARGE_SHARE = 0.8
HANDOVER_SHARE = 0.05
FAILING_SHARE = 0.5
POISON_SENT = 20


class Domain(fleet.SingleDaemonFleet):
    """Fleet interface that reports the number of daemons."""

    def live_daemons(self) -> int:
        """Return the number of daemons."""
        return DAEMONS


@dataclasses.dataclass(slots=True)
class Request:
    """One request."""

    team: bundle.Team
    rank: int
    tokens: int
    prefix: str
    arrived_ms: float


@dataclasses.dataclass(slots=True)
class Tally:
    """Measurements of one run after its warm-up."""

    offered: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    served: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    offered_ms: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    received_ms: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    late: int = 0
    refused: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    handover_waits_ms: list[float] = dataclasses.field(default_factory=list)


class Daemon:
    """Admission and routing of one daemon."""

    def __init__(self, run: "Run", rng: random.Random) -> None:
        self.run = run
        self.choice = routing.Tanagerfork(rng)
        self.admission = admission.Admission(limits.TeamLimits(Domain()), HOLD_MS)
        self.waiting: dict[int, tuple[fair_queue.Ticket, Request]] = {}

    def submit(self, request: Request) -> None:
        """Send, queue or refuse a new request."""
        now_ms = int(self.run.loop.now_ms)
        if not self.run.has_admission:
            self._send(request, None)
            return
        deadline_at_ms = int(request.arrived_ms) + DEADLINE_MS
        asked = admission.AdmissionRequest(request.team, request.rank, 0, deadline_at_ms)
        offered = self.admission.offer(asked, self._read_room(), now_ms)
        if isinstance(offered, admission.Refusal):
            self.run.note_refused(request)
        elif offered.started_at_ms >= 0:
            self._send(request, offered)
        else:
            self.waiting[id(offered)] = offered, request
            self.pump()

    def pump(self) -> None:
        """Send queued requests that have room; refuse those past their latest start."""
        now_ms = int(self.run.loop.now_ms)
        for ticket in self.admission.start_queued(self._read_room(), now_ms):
            _, request = self.waiting.pop(id(ticket))
            self._send(request, ticket)
        for ticket, request in list(self.waiting.values()):
            if ticket.latest_start_ms < now_ms:
                del self.waiting[id(ticket)]
                self.admission.withdraw(ticket, now_ms)
                self.run.note_refused(request)

    def _read_room(self) -> admission.SlotAllowance:
        now_ms = int(self.run.loop.now_ms)
        sent = self.choice.balancer.sent_load
        views = self.run.views()
        used = sum(sent.estimate_requests(view, now_ms) for view in views)
        slots = events.SLOTS * len(views)
        return admission.compute_allowance(slots, used, self.admission.running, DAEMONS)

    def _send(self, request: Request, ticket: fair_queue.Ticket | None) -> None:
        now_ms = int(self.run.loop.now_ms)
        name = self.choice.choose(self.run.views(), now_ms, request.prefix)
        self.choice.begin(name, now_ms, request.prefix)

        def on_end(job: events.Job, is_whole: bool) -> None:
            ended_ms = int(self.run.loop.now_ms)
            self.choice.end(name, ended_ms, job.gap_ms)
            self.run.note_served(request, job)
            if ticket is not None:
                self.admission.release(ticket, ended_ms)
                self.pump()

        job = events.Job(request.tokens, request.prefix, self.run.loop.now_ms, on_end)
        self.run.by_name[name].send(job)


class Run:
    """One run of a failure domain under a load."""

    def __init__(self, load: float, has_admission: bool, seed: int) -> None:
        self.loop = events.EventLoop()
        self.has_admission = has_admission
        self.rng = random.Random(seed)
        self.groups = [events.Group(f"g{n}", self.loop) for n in range(GROUPS)]
        self.by_name = {group.name: group for group in self.groups}
        self.daemons = [Daemon(self, random.Random(self.rng.random())) for _ in range(DAEMONS)]
        self.teams = [
            bundle.Team(name=f"team{n}", token_sha256=[], requests_per_s=10_000, concurrency=10_000)
            for n in range(LARGE_TEAMS + SMALL_TEAMS)
        ]
        self.capacity_per_ms = GROUPS * events.SLOTS / HOLD_MS
        self.rate_per_ms = load * self.capacity_per_ms
        self.tally = Tally()
        self._seen: dict[str, tuple[presence.GroupView, float]] = {}

    def run(self) -> Tally:
        """Run the load to its end."""
        self._publish()
        self._pump()
        self._arrive()
        self.loop.run(DURATION_MS)
        return self.tally

    def views(self) -> list[presence.GroupView]:
        """Return views of the groups from their last reports."""
        now = self.loop.now_ms
        return [
            presence.GroupView(v.record, v.state, (), v.report, int(now - made))
            for v, made in self._seen.values()
        ]

    def note_refused(self, request: Request) -> None:
        """Count a refused request."""
        self.tally.refused += self._counts(request)

    def note_served(self, request: Request, job: events.Job) -> None:
        """Count an answer; one after the deadline does not add to the goodput."""
        if not self._counts(request):
            return
        self.tally.received_ms[request.team.name] += round(estimate_hold_ms(request.tokens))
        if self.loop.now_ms - request.arrived_ms > DEADLINE_MS:
            self.tally.late += 1
            return
        self.tally.served[request.team.name] += 1
        wait_ms = job.first_ms - request.arrived_ms
        (self.tally.handover_waits_ms if request.rank else self.tally.waits_ms).append(wait_ms)

    def _counts(self, request: Request) -> bool:
        return WARM_UP_MS <= request.arrived_ms <= DURATION_MS - DEADLINE_MS

    def _publish(self) -> None:
        for group in self.groups:
            group.publish()
            view, made = group.view(), self.loop.now_ms
            self.loop.call_later(LAG_MS, lambda v=view, m=made: self._record_view(v, m))
        self.loop.call_later(routing.REPORT_INTERVAL_MS, self._publish)

    def _record_view(self, view: presence.GroupView, made: float) -> None:
        self._seen[view.record.group] = view, made

    def _pump(self) -> None:
        for daemon in self.daemons:
            if daemon.waiting:
                daemon.pump()
        self.loop.call_later(PUMP_INTERVAL_MS, self._pump)

    def _arrive(self) -> None:
        if self._seen:
            is_large = self.rng.random() < LARGE_SHARE
            first, last = (0, LARGE_TEAMS) if is_large else (LARGE_TEAMS, len(self.teams))
            request = Request(
                team=self.teams[self.rng.randrange(first, last)],
                rank=9 if self.rng.random() < HANDOVER_SHARE else 0,
                tokens=max(1, round(self.rng.expovariate(1 / routing.MEAN_TOKENS))),
                prefix=events.draw_prefix(self.rng, 300),
                arrived_ms=self.loop.now_ms,
            )
            if self._counts(request):
                self.tally.offered[request.team.name] += 1
                hold_ms = round(estimate_hold_ms(request.tokens))
                self.tally.offered_ms[request.team.name] += hold_ms
            self.rng.choice(self.daemons).submit(request)
        self.loop.call_later(self.rng.expovariate(self.rate_per_ms), self._arrive)


def estimate_hold_ms(tokens: int) -> float:
    """Return the expected time for which a request holds its slot."""
    return 0.85 * events.FIRST_TOKEN_MS + tokens * events.TOKEN_GAP_MS


def describe(load: float, has_admission: bool) -> str:
    """Run all seeds and format their merged figures."""
    goodputs, small_shares, waits, handovers, late, refused = [], [], [], [], 0, 0
    counted_ms = DURATION_MS - DEADLINE_MS - WARM_UP_MS
    for seed in SEEDS:
        run = Run(load, has_admission, seed)
        tally = run.run()
        capacity = run.capacity_per_ms * counted_ms
        goodputs.append(sum(tally.served.values()) / min(capacity, sum(tally.offered.values())))
        share_ms = GROUPS * events.SLOTS * counted_ms / len(run.teams)
        small_shares += [
            tally.received_ms[team.name] / max(1, min(share_ms, tally.offered_ms[team.name]))
            for team in run.teams[LARGE_TEAMS:]
        ]
        waits += tally.waits_ms
        handovers += tally.handover_waits_ms
        late += tally.late
        refused += tally.refused
    return (
        f"goodput {sum(goodputs) / len(goodputs):5.1%}, least small team {min(small_shares):4.0%}"
        f" of its slot time, p95 wait {events.find_quantile(waits, 0.95):6.0f} ms"
        f" (handover {events.find_quantile(handovers, 0.95):6.0f}), late {late}, refused {refused}"
    )


def count_attempts(has_budget: bool) -> float:
    """Return the attempts per request while half of all attempts fail."""
    rng = random.Random(SEEDS[0])
    budget = retry.RetryBudget()
    attempts = 0
    for _ in range(10_000):
        budget.record_first_attempt("team")
        for _ in range(4):
            attempts += 1
            if rng.random() >= FAILING_SHARE or (has_budget and not budget.take_retry("team")):
                break
    return attempts / 10_000


def count_crashes(notice_ms: int, resend_ms: int) -> int:
    """Return the crashes by a poison request that is sent to one daemon after the other."""
    registers = [poison.PoisonRegister() for _ in range(POISON_SENT)]
    heard: list[tuple[int, fleet.PoisonNotice]] = []
    crashes, now_ms = 0, 0
    for register in registers:
        for at_ms, notice in heard:
            if at_ms <= now_ms:
                register.hear(notice, 2000, at_ms)
        while not register.quarantine_left_ms("f", now_ms):
            if register.peer_trial_left_ms("f", now_ms):
                break
            crashes += 1
            told = register.record_crash("f", f"g{crashes}", now_ms)
            if told is not None:
                heard.append((now_ms + notice_ms, told))
            now_ms += 100
        now_ms += resend_ms
    return crashes


def main() -> None:
    """Run all measurements and print the figures."""
    print(f"seeds {SEEDS}, {DAEMONS} daemons, {GROUPS} groups, deadline {DEADLINE_MS} ms")
    for load in (0.8, 1.2, 2.0, 5.0):
        for has_admission in (False, True):
            label = "admission" if has_admission else "none"
            print(f"  load {load:4.0%} {label:10} {describe(load, has_admission)}")
    print("attempts per request, half of all attempts lost:", end=" ")
    print(f"no budget {count_attempts(False):.2f}, budget {count_attempts(True):.2f}")
    for notice_ms, resend_ms in ((10, 100), (1000, 100)):
        crashes = count_crashes(notice_ms, resend_ms)
        print(f"poison sent {POISON_SENT} times, told after {notice_ms} ms: {crashes} crashes")


if __name__ == "__main__":
    main()
