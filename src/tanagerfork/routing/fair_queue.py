"""Weighted fair queueing of requests over teams."""

import dataclasses
import heapq

MAX_RANKED_LEAD_MS = 30_000  # Slot time per weight.
MAX_IDLE_CREDIT_MS = 15_000  # Slot time per weight.


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a slot or holds one.

    `rank` is the priority that the bundle assigns to the request's tag and takes precedence over
    the order of the teams; `priority` is set by the caller and orders the requests of its team.
    `cost_ms` is the time for which the request is expected to hold a slot.
    """

    team: str
    weight: int
    rank: int
    priority: int
    cost_ms: float
    arrived_at_ms: int
    latest_start_ms: int
    started_at_ms: int = -1
    is_dequeued: bool = False


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """The queued requests of one team and its virtual time."""

    weight: int
    virtual_time_ms: float
    waiting: list[tuple[int, int, int, Ticket]] = dataclasses.field(default_factory=list)
    waiting_cost_ms: float = 0.0
    count: int = 0


class FairQueue:
    """Start-time fair queueing over teams, by slot time and weight.

    The next request is that of the team with the least slot time per weight, at the cost of one
    pass over the waiting teams. Deficit round robin does not fit: the times for which requests hold
    a slot differ by a factor of 100, so a round's quantum would have to be as large as the largest
    request, and a small team would wait for a whole round of large requests. An idle team
    accumulates at most `MAX_IDLE_CREDIT_MS` of slot time per weight, so that a team with few
    requests in bursts still gets its share.

    Ranked requests (those whose tag has a priority in the bundle) precede all teams' other requests
    while their team is at most `MAX_RANKED_LEAD_MS` of slot time per weight ahead. Beyond that they
    are served in the order of the teams, so that a team that tags all of its requests cannot starve
    the others.
    """

    __slots__ = ("_teams", "_virtual_time_ms", "_arrivals", "count")

    def __init__(self) -> None:
        self._teams: dict[str, TeamQueue] = {}
        self._virtual_time_ms = 0.0
        self._arrivals = 0
        self.count = 0

    def push(self, ticket: Ticket) -> None:
        """Queue a request.

        :param ticket: request.
        """
        queue = self._find_queue(ticket)
        if not queue.count:
            queue.virtual_time_ms = max(
                queue.virtual_time_ms, self._virtual_time_ms - MAX_IDLE_CREDIT_MS
            )
        self._arrivals += 1
        entry = (-ticket.rank, -ticket.priority, self._arrivals, ticket)
        heapq.heappush(queue.waiting, entry)
        queue.waiting_cost_ms += ticket.cost_ms
        queue.count += 1
        self.count += 1

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the queue; does nothing if it was already removed.

        :param ticket: request that was pushed and not popped.
        """
        if not ticket.is_dequeued:
            ticket.is_dequeued = True
            self._subtract(self._teams[ticket.team], ticket)

    def pop(self, blocked: frozenset[str] = frozenset()) -> Ticket | None:
        """Remove the next request from the queue and charge its team.

        :param blocked: teams that may not start a request now.
        :return: the request, None if none may start.
        """
        best: tuple[float, ...] | None = None
        chosen: TeamQueue | None = None
        for name, queue in self._teams.items():
            head = self._peek(queue)
            if head is None or name in blocked:
                continue
            lead_ms = queue.virtual_time_ms - self._virtual_time_ms
            rank = head.rank if lead_ms <= MAX_RANKED_LEAD_MS else 0
            key = (-rank, queue.virtual_time_ms)
            if best is None or key < best:
                best, chosen = key, queue
        return self._dequeue(chosen) if chosen is not None else None

    def correct_charge(self, ticket: Ticket, extra_ms: float) -> None:
        """Correct the slot time charged for a request, once the actual time is known.

        :param ticket: request that was popped.
        :param extra_ms: actual slot time minus the expected one; may be negative.
        """
        self._find_queue(ticket).virtual_time_ms += extra_ms / ticket.weight

    def start_unqueued(self, ticket: Ticket) -> None:
        """Charge a request that starts without being queued.

        :param ticket: request that was not pushed.
        """
        queue = self._find_queue(ticket)
        queue.virtual_time_ms = max(
            queue.virtual_time_ms, self._virtual_time_ms - MAX_IDLE_CREDIT_MS
        )
        self._advance(queue, ticket)

    def cost_ahead_ms(self, ticket: Ticket) -> float:
        """Return the expected slot time, over all teams, that is served before a new request.

        :param ticket: request that was not pushed yet.
        """
        own = self._teams.get(ticket.team)
        own_ms = (own.waiting_cost_ms if own else 0.0) if not ticket.rank else 0.0
        lead_ms = own.virtual_time_ms - self._virtual_time_ms if own else 0.0
        advance_ms = max(0.0, max(lead_ms, -MAX_IDLE_CREDIT_MS) + own_ms / ticket.weight)
        if ticket.rank:
            advance_ms = 0.0
        return own_ms + sum(
            min(queue.waiting_cost_ms, advance_ms * queue.weight)
            for name, queue in self._teams.items()
            if name != ticket.team and queue.count
        )

    def waiting_teams(self) -> list[str]:
        """Return the teams that have queued requests."""
        return [name for name, queue in self._teams.items() if queue.count]

    def _find_queue(self, ticket: Ticket) -> TeamQueue:
        queue = self._teams.get(ticket.team)
        if queue is None:
            queue = self._teams[ticket.team] = TeamQueue(ticket.weight, self._virtual_time_ms)
        queue.weight = ticket.weight
        return queue

    def _peek(self, queue: TeamQueue) -> Ticket | None:
        while queue.waiting and queue.waiting[0][3].is_dequeued:
            heapq.heappop(queue.waiting)
        return queue.waiting[0][3] if queue.waiting else None

    def _dequeue(self, queue: TeamQueue) -> Ticket:
        ticket = heapq.heappop(queue.waiting)[3]
        ticket.is_dequeued = True
        self._subtract(queue, ticket)
        self._advance(queue, ticket)
        return ticket

    def _advance(self, queue: TeamQueue, ticket: Ticket) -> None:
        self._virtual_time_ms = max(
            self._virtual_time_ms, min(queue.virtual_time_ms, self._min_virtual_time_ms())
        )
        queue.virtual_time_ms += ticket.cost_ms / ticket.weight

    def _min_virtual_time_ms(self) -> float:
        waiting = [queue.virtual_time_ms for queue in self._teams.values() if queue.count]
        return min(waiting, default=float("inf"))

    def _subtract(self, queue: TeamQueue, ticket: Ticket) -> None:
        queue.waiting_cost_ms -= ticket.cost_ms
        queue.count -= 1
        self.count -= 1
        if not queue.count:
            queue.waiting_cost_ms = 0.0
            queue.waiting.clear()
