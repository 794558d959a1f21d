"""Admission control: starts, queues or refuses requests by the deadlines and limits of teams."""

import dataclasses
from collections.abc import Sequence

from tanagerfork.generated import bundle
from tanagerfork.routing import fair_queue, limits

MAX_QUEUE_WAIT_MS = 10_000
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
MAX_QUEUED_REQUESTS = 10_000
COST_SMOOTHING = 0.1  # Weight of a new sample in the moving averages.
RESERVED_DEVIATIONS = 3  # Mean deviations of the slot time kept free before the deadline.
MIN_QUEUE_WAIT_SHARE = 0.1  # Of the time to the deadline, however long the expected slot time is.
OVERCOMMIT_SHARE = 0.125  # Extra requests that keep slots busy between two load reports.


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """The properties of a request that admission depends on."""

    team: bundle.Team
    rank: int
    priority: int
    deadline_at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """The reason why a request is not run, and when its caller may retry.

    `is_rate_limited` is set if the team exceeded its request rate.
    """

    reason: str
    retry_after_ms: int
    is_rate_limited: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class SlotAllowance:
    """The slots of one model that this daemon may use, and how many of them are free."""

    slots: int
    free: int


@dataclasses.dataclass(slots=True)
class SlotTimeEstimate:
    """Moving mean and mean deviation of the time for which a team's requests hold a slot."""

    mean_ms: float
    deviation_ms: float = 0.0

    def update(self, held_ms: float) -> None:
        """Update the estimate with a finished request.

        :param held_ms: time for which the request held its slot, in milliseconds.
        """
        error_ms = held_ms - self.mean_ms
        self.mean_ms += COST_SMOOTHING * error_ms
        self.deviation_ms += COST_SMOOTHING * (abs(error_ms) - self.deviation_ms)


class Admission:
    """Admission control of one model; does no I/O and takes the time as an argument.

    A request has to start early enough that it meets its deadline even if it holds its slot for
    longer than its team's requests usually do: an answer after the deadline wastes the slot.

    :param team_limits: limits of the teams, shared by all models.
    :param initial_cost_ms: expected slot time of a team without finished requests.
    """

    __slots__ = (
        "_limits",
        "_queue",
        "_teams",
        "_estimates",
        "_initial_cost_ms",
        "running",
        "_last_slots",
    )

    def __init__(self, team_limits: limits.TeamLimits, initial_cost_ms: float) -> None:
        self._limits = team_limits
        self._queue = fair_queue.FairQueue()
        self._teams: dict[str, bundle.Team] = {}
        self._estimates: dict[str, SlotTimeEstimate] = {}
        self._initial_cost_ms = initial_cost_ms
        self.running = 0
        self._last_slots = 1

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._queue.count

    def offer(
        self, ask: AdmissionRequest, room: SlotAllowance, now_ms: int
    ) -> fair_queue.Ticket | Refusal:
        """Start, queue or refuse a request.

        :param ask: request.
        :param room: slots that may be used now.
        :param now_ms: monotonic clock, in milliseconds.
        :return: ticket of the request, or the reason for its refusal; the request has started if
            `started_at_ms` is not negative, otherwise it is queued and `start_queued` has to be
            called.
        """
        limited_ms = self._limits.take_token(ask.team, now_ms)
        if limited_ms:
            return Refusal(
                f"team {ask.team.name} exceeds its request rate", limited_ms, is_rate_limited=True
            )
        self._teams[ask.team.name] = ask.team
        self._last_slots = max(1, room.slots)
        ticket = self._make_ticket(ask, now_ms)
        if room.free > 0 and self._limits.may_start(ask.team):
            self._start_or_enqueue(ticket, now_ms)
            return ticket
        overrun_ms = now_ms + self.estimate_wait_ms(ticket) - ticket.latest_start_ms
        if overrun_ms > 0 or self._queue.count >= MAX_QUEUED_REQUESTS:
            return Refusal("the wait would exceed the deadline", _to_retry_after_ms(overrun_ms))
        self._queue.push(ticket)
        return ticket

    def start_queued(self, room: SlotAllowance, now_ms: int) -> Sequence[fair_queue.Ticket]:
        """Start as many queued requests as there are free slots.

        :param room: slots that may be used now.
        :param now_ms: monotonic clock, in milliseconds.
        :return: tickets of the started requests.
        """
        started: list[fair_queue.Ticket] = []
        while self._queue.count and len(started) < room.free:
            ticket = self._queue.pop(self._find_teams_at_limit())
            if ticket is None:
                break
            self._start(ticket, now_ms)
            started.append(ticket)
        return started

    def withdraw(self, ticket: fair_queue.Ticket, now_ms: int) -> Refusal:
        """Remove a queued request whose latest start has passed or whose caller disconnected.

        :param ticket: ticket of a request that has not started.
        :param now_ms: monotonic clock, in milliseconds.
        :return: refusal for the caller.
        """
        self._queue.remove(ticket)
        retry_ms = _to_retry_after_ms(self.estimate_wait_ms(ticket))
        return Refusal("no slot became free in time", retry_ms)

    def release(self, ticket: fair_queue.Ticket, now_ms: int) -> None:
        """Release the slot of a finished request.

        :param ticket: ticket of a request that has started.
        :param now_ms: monotonic clock, in milliseconds.
        """
        held_ms = now_ms - ticket.started_at_ms
        self.running -= 1
        self._limits.end_request(ticket.team)
        self._queue.correct_charge(ticket, held_ms - ticket.cost_ms)
        self._find_estimate(ticket.team).update(held_ms)

    def estimate_wait_ms(self, ticket: fair_queue.Ticket) -> float:
        """Return the expected queueing time of a request, in milliseconds.

        :param ticket: ticket that is not queued.
        """
        ahead_ms = self._queue.cost_ahead_ms(ticket)
        return (ahead_ms + ticket.cost_ms) / self._last_slots

    def _make_ticket(self, ask: AdmissionRequest, now_ms: int) -> fair_queue.Ticket:
        estimate = self._find_estimate(ask.team.name)
        remaining_ms = ask.deadline_at_ms - now_ms
        wait_ms = remaining_ms - estimate.mean_ms - RESERVED_DEVIATIONS * estimate.deviation_ms
        wait_ms = min(MAX_QUEUE_WAIT_MS, max(wait_ms, MIN_QUEUE_WAIT_SHARE * remaining_ms))
        return fair_queue.Ticket(
            team=ask.team.name,
            weight=ask.team.weight,
            rank=ask.rank,
            priority=ask.priority,
            cost_ms=estimate.mean_ms,
            arrived_at_ms=now_ms,
            latest_start_ms=now_ms + round(wait_ms),
        )

    def _find_estimate(self, team: str) -> SlotTimeEstimate:
        return self._estimates.setdefault(team, SlotTimeEstimate(self._initial_cost_ms))

    def _start_or_enqueue(self, ticket: fair_queue.Ticket, now_ms: int) -> None:
        if self._queue.count:
            self._queue.push(ticket)
            return
        self._queue.start_unqueued(ticket)
        self._start(ticket, now_ms)

    def _start(self, ticket: fair_queue.Ticket, now_ms: int) -> None:
        ticket.started_at_ms = now_ms
        self.running += 1
        self._limits.begin_request(ticket.team, now_ms)

    def _find_teams_at_limit(self) -> frozenset[str]:
        return frozenset(
            name
            for name in self._queue.waiting_teams()
            if not self._limits.may_start(self._teams[name])
        )


def compute_allowance(
    slots: int, reported: float, running: int, live_daemons: int
) -> SlotAllowance:
    """Return the part of a model's slots that this daemon may use.

    Each daemon may always use an equal share of the slots. Beyond its share it may use only a part
    of the slots that are reported free, so that daemons with the same reports do not all take the
    same slots. The slots are overcommitted by `OVERCOMMIT_SHARE`, so that none idles between two
    reports.

    :param slots: slots of all whole groups.
    :param reported: requests in the groups' load reports, corrected by own dispatches since.
    :param running: requests that this daemon runs.
    :param live_daemons: live daemons of the failure domain.
    :return: slots of this daemon and how many of them are free.
    """
    capacity = slots + int(slots * OVERCOMMIT_SHARE)
    equal_share = -(-capacity // max(1, live_daemons))
    spare = max(0, capacity - round(reported))
    borrowable = spare if live_daemons <= 1 else -(-spare * 2 // (live_daemons + 1))
    free = max(equal_share - running, min(borrowable, spare), 0)
    return SlotAllowance(max(equal_share, running + free), free)


def find_rank(rules: Sequence[bundle.PriorityRule], tag: str) -> int:
    """Return the highest priority that the bundle assigns to a tag, 0 if it assigns none.

    :param rules: priority rules of the bundle.
    :param tag: tag of the request.
    """
    return max((rule.priority for rule in rules if tag and rule.tag == tag), default=0)


def _to_retry_after_ms(delay_ms: float) -> int:
    return round(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay_ms)))
