"""Tests of admission control: shares, priorities, early refusals and limits, on a manual clock."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from tanagerfork.generated import bundle
from tanagerfork.routing import admission, fair_queue, fleet, limits

SLOTS = 4
COST_MS = 100


def make_team(name: str = "t", **fields) -> bundle.Team:
    """Return a team."""
    return bundle.Team(name=name, token_sha256=[], **fields)


def make_request(team: bundle.Team, deadline_at_ms: int = 60_000, rank: int = 0, priority: int = 0):
    """Return a request."""
    return admission.AdmissionRequest(team, rank, priority, deadline_at_ms)


class SlotSimulation:
    """Slots of one model, with admission control; every request holds its slot until `step`."""

    def __init__(self) -> None:
        self.admission = admission.Admission(limits.TeamLimits(fleet.SingleDaemonFleet()), COST_MS)
        self.running: list[fair_queue.Ticket] = []
        self.now_ms = 0

    @property
    def room(self) -> admission.SlotAllowance:
        """The slots as admission control sees them."""
        return admission.SlotAllowance(SLOTS, SLOTS - len(self.running))

    def offer(self, ask: admission.AdmissionRequest):
        """Offer a request and start the requests that may start."""
        offered = self.admission.offer(ask, self.room, self.now_ms)
        if isinstance(offered, fair_queue.Ticket) and offered.started_at_ms >= 0:
            self.running.append(offered)
        return offered, self.pump()

    def pump(self) -> list[fair_queue.Ticket]:
        """Start the requests that may start."""
        started = list(self.admission.start_queued(self.room, self.now_ms))
        self.running += started
        return started

    def step(self, passed_ms: int = COST_MS) -> list[fair_queue.Ticket]:
        """Advance the time, end all running requests and start the next ones."""
        self.now_ms += passed_ms
        for ticket in self.running:
            self.admission.release(ticket, self.now_ms)
        self.running = []
        return self.pump()


class TestShares:
    def test_team_with_many_requests_leaves_nine_small_teams_their_shares(self):
        simulation = SlotSimulation()
        small = [make_team(f"s{number}") for number in range(9)]
        for _ in range(200):
            simulation.offer(make_request(make_team("large")))
        for _ in range(20):
            for team in small:
                simulation.offer(make_request(team))
        served = collections.Counter(t.team for _ in range(25) for t in simulation.step())
        assert min(served[team.name] for team in small) >= 0.9 * 100 / 10

    def test_teams_are_served_in_proportion_to_their_weights(self):
        simulation = SlotSimulation()
        for _ in range(100):
            simulation.offer(make_request(make_team("a", weight=3)))
            simulation.offer(make_request(make_team("b", weight=1)))
        served = collections.Counter(t.team for _ in range(20) for t in simulation.step())
        assert 2.6 <= served["a"] / served["b"] <= 3.4

    def test_rank_takes_precedence_over_all_teams_and_priority_within_its_team(self):
        simulation = SlotSimulation()
        for _ in range(SLOTS):
            simulation.offer(make_request(make_team("a")))
        for team in ("a", "b"):
            for priority in (0, 5, 0):
                simulation.offer(make_request(make_team(team), priority=priority))
        simulation.offer(make_request(make_team("c"), rank=9))
        first = simulation.step()
        assert first[0].team == "c"
        assert [t.priority for t in first if t.team == "b"][0] == 5

    def test_team_that_ranks_all_requests_does_not_starve_others(self):
        simulation = SlotSimulation()
        greedy, other = make_team("greedy"), make_team("other")
        served = collections.Counter()
        for _ in range(1200):
            for _ in range(SLOTS):
                simulation.offer(make_request(greedy, 10**9, rank=9))
            simulation.offer(make_request(other, 10**9))
            served.update(ticket.team for ticket in simulation.step())
        assert served["other"] > 100


class TestRefusals:
    def test_wait_past_the_deadline_is_refused_at_once_and_a_retry_after_that_time_is_queued(self):
        simulation = SlotSimulation()
        team = make_team()
        while True:
            offered, _ = simulation.offer(make_request(team, simulation.now_ms + 1000))
            if isinstance(offered, admission.Refusal):
                break
        assert simulation.now_ms == 0 and offered.retry_after_ms >= admission.MIN_RETRY_AFTER_MS
        for _ in range(-(-offered.retry_after_ms // COST_MS)):
            simulation.step()
        again, _ = simulation.offer(make_request(team, simulation.now_ms + 1000))
        assert isinstance(again, fair_queue.Ticket)

    def test_queued_requests_start_before_their_latest_start(self):
        simulation = SlotSimulation()
        for _ in range(100):
            simulation.offer(make_request(make_team(), 1000))
        started = [ticket for _ in range(30) for ticket in simulation.step()]
        assert started and all(t.started_at_ms <= t.latest_start_ms for t in started)

    def test_rate_limit_refusal_gives_the_time_of_the_next_request(self):
        simulation = SlotSimulation()
        team = make_team(requests_per_s=2)
        refusals = [simulation.offer(make_request(team))[0] for _ in range(4)]
        limited = [r for r in refusals if isinstance(r, admission.Refusal)]
        assert limited and all(r.is_rate_limited and 0 < r.retry_after_ms <= 500 for r in limited)

    def test_concurrency_limit_delays_only_its_team(self):
        simulation = SlotSimulation()
        narrow = make_team("narrow", concurrency=1)
        for _ in range(3):
            simulation.offer(make_request(narrow))
        simulation.offer(make_request(make_team("other")))
        assert sorted(t.team for t in simulation.running) == ["narrow", "other"]


class TestFleet:
    @pytest.mark.parametrize(("elsewhere", "allowed"), [(0, 10), (4, 6), (9, 5), (50, 5)])
    def test_limit_is_the_part_unused_by_peers_but_at_least_a_share(self, elsewhere, allowed):
        class PeerReports(fleet.SingleDaemonFleet):
            def live_daemons(self) -> int:
                return 2

            def usage_elsewhere(self, team: str) -> fleet.Usage:
                return fleet.Usage(running=elsewhere)

        team_limits = limits.TeamLimits(PeerReports())
        team = make_team(concurrency=10)
        count = 0
        while team_limits.may_start(team):
            team_limits.begin_request(team.name, 0)
            count += 1
        assert count == allowed
        assert team_limits.read_usage(0)["t"].running == allowed

    @pytest.mark.parametrize(
        ("slots", "reported", "running", "live", "free"),
        [
            (16, 0, 0, 1, 18),
            (16, 16, 16, 1, 2),
            (16, 16, 2, 4, 3),
            (64, 0, 16, 4, 29),
            (0, 0, 0, 3, 0),
        ],
    )
    def test_daemon_gets_its_share_and_a_part_of_the_free_slots(
        self, slots, reported, running, live, free
    ):
        assert admission.compute_allowance(slots, reported, running, live).free == free


class TestProperties:
    @hypothesis.given(
        arrivals=strategies.lists(
            strategies.tuples(strategies.integers(0, 4), strategies.integers(0, 2)), max_size=80
        ),
        seed=strategies.integers(0, 2**16),
    )
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_no_slot_idles_while_requests_wait_and_all_requests_start(self, arrivals, seed):
        rng = random.Random(seed)
        simulation = SlotSimulation()
        offered = []
        for number, rank in arrivals:
            team = make_team(f"t{number}", weight=number + 1)
            ticket, _ = simulation.offer(
                make_request(team, 10**9, rank=rank, priority=rng.randrange(3))
            )
            offered.append(ticket)
            assert not simulation.admission.waiting or len(simulation.running) == SLOTS
            if rng.random() < 0.3:
                simulation.step()
        for _ in range(len(arrivals)):
            simulation.step()
        tickets = [item for item in offered if isinstance(item, fair_queue.Ticket)]
        assert all(ticket.started_at_ms >= 0 for ticket in tickets)
        assert simulation.admission.waiting == 0 and simulation.admission.running == 0
