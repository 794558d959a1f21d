"""Admission: which request starts next, which waits, and which is refused early."""

import dataclasses
from collections.abc import Sequence

from tanagerfork.generated import bundle
from tanagerfork.routing import fair_queue, limits

MAX_WAIT_MS = 10_000
MIN_RETRY_MS = 100
MAX_RETRY_MS = 60_000
MAX_WAITING = 10_000
COST_SMOOTHING = 0.1
SLACK_DEVIATIONS = 3
MIN_WAIT_SHARE = 0.1
OVERCOMMIT_SHARE = 0.125


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
    """What admission needs to know of a request."""

    team: bundle.Team
    rank: int
    priority: int
    deadline_at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A request that does not run."""

    reason: str
    retry_after_ms: int
    is_limit: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """Slots of one model that this daemon may use, and those of them that are free."""

    slots: int
    free: int


@dataclasses.dataclass(slots=True)
class Cost:
    """Time for which a team's requests hold a slot: its mean and mean deviation."""

    mean_ms: float
    deviation_ms: float = 0.0

    def add(self, held_ms: float) -> None:
        """Take one request in.

        :param held_ms: time for which it held its slot, in milliseconds.
        """
        error_ms = held_ms - self.mean_ms
        self.mean_ms += COST_SMOOTHING * error_ms
        self.deviation_ms += COST_SMOOTHING * (abs(error_ms) - self.deviation_ms)


class Admission:
    """Decides for one model over explicit time; it never waits and does no I/O.

    A request must start early enough that one of its team which holds its slot for unusually long
    still ends before the deadline: an answer that comes too late has used a slot for nothing.

    :param team_limits: limits of the teams, shared by all models.
    :param first_cost_ms: slot time expected of a request before any was measured.
    """

    __slots__ = ("_limits", "_queue", "_teams", "_costs", "_first_cost_ms", "running", "_slots")

    def __init__(self, team_limits: limits.TeamLimits, first_cost_ms: float) -> None:
        self._limits = team_limits
        self._queue = fair_queue.FairQueue()
        self._teams: dict[str, bundle.Team] = {}
        self._costs: dict[str, Cost] = {}
        self._first_cost_ms = first_cost_ms
        self.running = 0
        self._slots = 1

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._queue.count

    def offer(self, ask: Ask, room: Room, now_ms: int) -> fair_queue.Ticket | Refusal:
        """Take a request in, to start at once or to wait.

        :param ask: request.
        :param room: slots at the moment.
        :param now_ms: monotonic clock, in milliseconds.
        :return: its ticket, started if `started_at_ms` is set, or why it is refused; call `pump`
            after a ticket that waits.
        """
        limited_ms = self._limits.take(ask.team, now_ms)
        if limited_ms:
            return Refusal(f"team {ask.team.name} is over its rate", limited_ms, is_limit=True)
        self._teams[ask.team.name] = ask.team
        self._slots = max(1, room.slots)
        ticket = self._make_ticket(ask, now_ms)
        if room.free > 0 and self._limits.may_start(ask.team):
            self._take_free_slot(ticket, now_ms)
            return ticket
        late_ms = now_ms + self.estimate_wait_ms(ticket) - ticket.latest_start_ms
        if late_ms > 0 or self._queue.count >= MAX_WAITING:
            return Refusal("the wait would exceed the deadline", _to_retry_ms(late_ms))
        self._queue.push(ticket)
        return ticket

    def pump(self, room: Room, now_ms: int) -> Sequence[fair_queue.Ticket]:
        """Start the requests whose turn has come.

        :param room: slots at the moment.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the tickets that start now.
        """
        started: list[fair_queue.Ticket] = []
        while self._queue.count and len(started) < room.free:
            ticket = self._queue.pop(self._find_blocked())
            if ticket is None:
                break
            self._start(ticket, now_ms)
            started.append(ticket)
        return started

    def give_up(self, ticket: fair_queue.Ticket, now_ms: int) -> Refusal:
        """Take a waiting request out, as its latest start has passed or its caller is gone.

        :param ticket: ticket that has not started.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the refusal that the caller gets.
        """
        self._queue.remove(ticket)
        retry_ms = _to_retry_ms(self.estimate_wait_ms(ticket))
        return Refusal("no slot came free in time", retry_ms)

    def end(self, ticket: fair_queue.Ticket, now_ms: int) -> None:
        """Give a slot back.

        :param ticket: ticket that has started.
        :param now_ms: monotonic clock, in milliseconds.
        """
        held_ms = now_ms - ticket.started_at_ms
        self.running -= 1
        self._limits.end(ticket.team)
        self._queue.charge(ticket, held_ms - ticket.cost_ms)
        self._find_cost(ticket.team).add(held_ms)

    def estimate_wait_ms(self, ticket: fair_queue.Ticket) -> float:
        """Return how long a request would wait for its slot.

        :param ticket: ticket that does not wait.
        """
        ahead_ms = self._queue.cost_ahead_ms(ticket)
        return (ahead_ms + ticket.cost_ms) / self._slots

    def _make_ticket(self, ask: Ask, now_ms: int) -> fair_queue.Ticket:
        cost = self._find_cost(ask.team.name)
        left_ms = ask.deadline_at_ms - now_ms
        wait_ms = left_ms - cost.mean_ms - SLACK_DEVIATIONS * cost.deviation_ms
        wait_ms = min(MAX_WAIT_MS, max(wait_ms, MIN_WAIT_SHARE * left_ms))
        return fair_queue.Ticket(
            team=ask.team.name,
            weight=ask.team.weight,
            rank=ask.rank,
            priority=ask.priority,
            cost_ms=cost.mean_ms,
            arrived_at_ms=now_ms,
            latest_start_ms=now_ms + round(wait_ms),
        )

    def _find_cost(self, team: str) -> Cost:
        return self._costs.setdefault(team, Cost(self._first_cost_ms))

    def _take_free_slot(self, ticket: fair_queue.Ticket, now_ms: int) -> None:
        if self._queue.count:
            self._queue.push(ticket)
            return
        self._queue.start_now(ticket)
        self._start(ticket, now_ms)

    def _start(self, ticket: fair_queue.Ticket, now_ms: int) -> None:
        ticket.started_at_ms = now_ms
        self.running += 1
        self._limits.begin(ticket.team, now_ms)

    def _find_blocked(self) -> frozenset[str]:
        return frozenset(
            name
            for name in self._queue.waiting_teams()
            if not self._limits.may_start(self._teams[name])
        )


def share_room(slots: int, reported: float, running: int, live_daemons: int) -> Room:
    """Return the part of a model's slots that this daemon may use.

    Each daemon may always use an equal share. Of the slots that are free by the reports it may take
    more, one part at a time, so that daemons that hear of the same free slots do not all take them.
    A few requests more than there are slots keep a slot from idling between two reports.

    :param slots: slots of all whole groups.
    :param reported: requests at them by their reports, corrected by own dispatches since.
    :param running: requests that this daemon runs.
    :param live_daemons: live daemons of the failure domain.
    :return: slots of this daemon and how many are free.
    """
    filled = slots + int(slots * OVERCOMMIT_SHARE)
    own = -(-filled // max(1, live_daemons))
    spare = max(0, filled - round(reported))
    lent = spare if live_daemons <= 1 else -(-spare * 2 // (live_daemons + 1))
    free = max(own - running, min(lent, spare), 0)
    return Room(max(own, running + free), free)


def find_rank(rules: Sequence[bundle.PriorityRule], tag: str) -> int:
    """Return the priority that the bundle gives to a tag; 0 for none.

    :param rules: rules of the bundle.
    :param tag: tag of the request.
    """
    return max((rule.priority for rule in rules if tag and rule.tag == tag), default=0)


def _to_retry_ms(late_ms: float) -> int:
    return round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, late_ms)))
