"""A queue that serves teams by their weights."""

import dataclasses
import heapq

LEAD_LIMIT_MS = 30_000
CREDIT_MS = 15_000


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a slot or holds one.

    `rank` is the priority that the bundle gives to the request's tag and goes before all teams'
    turns; `priority` is the caller's own and orders requests within its team. `cost_ms` is the
    time for which the request is expected to hold a slot.
    """

    team: str
    weight: int
    rank: int
    priority: int
    cost_ms: float
    arrived_at_ms: int
    latest_start_ms: int
    started_at_ms: int = -1
    is_gone: bool = False


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """The waiting requests of one team and its virtual time."""

    weight: int
    virtual_ms: float
    waiting: list[tuple[int, int, int, Ticket]] = dataclasses.field(default_factory=list)
    waiting_cost_ms: float = 0.0
    count: int = 0


class FairQueue:
    """Start-time fair queueing over teams, by slot time and weight.

    Weighed against deficit round robin: requests differ a hundredfold in the time they hold a slot,
    so a round's quantum must be as large as the largest request, and a small team then waits for a
    whole round of large ones. Here the team with the least slot time per weight comes next, the
    choice costs one pass over the waiting teams. An idle team saves up `CREDIT_MS` of slot time per
    weight and no more, so that one whose few requests come in bursts still gets its share.

    Ranked requests (priorities that the bundle gives by tag) go first over all teams as long as
    their team is at most `LEAD_LIMIT_MS` of slot time per weight ahead; past that they take their
    turn, so that a team that tags everything starves nobody.
    """

    __slots__ = ("_teams", "_virtual_ms", "_arrivals", "count")

    def __init__(self) -> None:
        self._teams: dict[str, TeamQueue] = {}
        self._virtual_ms = 0.0
        self._arrivals = 0
        self.count = 0

    def push(self, ticket: Ticket) -> None:
        """Add a request.

        :param ticket: request.
        """
        queue = self._find_team(ticket)
        if not queue.count:
            queue.virtual_ms = max(queue.virtual_ms, self._virtual_ms - CREDIT_MS)
        self._arrivals += 1
        entry = (-ticket.rank, -ticket.priority, self._arrivals, ticket)
        heapq.heappush(queue.waiting, entry)
        queue.waiting_cost_ms += ticket.cost_ms
        queue.count += 1
        self.count += 1

    def remove(self, ticket: Ticket) -> None:
        """Take out a request that no longer waits.

        :param ticket: request that was pushed and not popped.
        """
        if not ticket.is_gone:
            ticket.is_gone = True
            self._uncount(self._teams[ticket.team], ticket)

    def pop(self, blocked: frozenset[str] = frozenset()) -> Ticket | None:
        """Take the next request out.

        :param blocked: teams that may not start anything now.
        :return: the request, None where none may start.
        """
        best: tuple[float, ...] | None = None
        chosen: TeamQueue | None = None
        for name, queue in self._teams.items():
            head = self._find_head(queue)
            if head is None or name in blocked:
                continue
            lead_ms = queue.virtual_ms - self._virtual_ms
            rank = head.rank if lead_ms <= LEAD_LIMIT_MS else 0
            key = (-rank, queue.virtual_ms)
            if best is None or key < best:
                best, chosen = key, queue
        return self._take(chosen) if chosen is not None else None

    def charge(self, ticket: Ticket, extra_ms: float) -> None:
        """Correct what a request was charged, once its real slot time is known.

        :param ticket: request that was popped.
        :param extra_ms: real slot time less the expected one; may be negative.
        """
        self._find_team(ticket).virtual_ms += extra_ms / ticket.weight

    def start_now(self, ticket: Ticket) -> None:
        """Charge a request that need not wait.

        :param ticket: request that was not pushed.
        """
        queue = self._find_team(ticket)
        queue.virtual_ms = max(queue.virtual_ms, self._virtual_ms - CREDIT_MS)
        self._advance(queue, ticket)

    def cost_ahead_ms(self, ticket: Ticket) -> float:
        """Return the slot time that is served before a new request, by all teams.

        :param ticket: request that was not pushed yet.
        """
        own = self._teams.get(ticket.team)
        own_ms = (own.waiting_cost_ms if own else 0.0) if not ticket.rank else 0.0
        lead_ms = own.virtual_ms - self._virtual_ms if own else 0.0
        turns_ms = max(0.0, max(lead_ms, -CREDIT_MS) + own_ms / ticket.weight)
        if ticket.rank:
            turns_ms = 0.0
        return own_ms + sum(
            min(queue.waiting_cost_ms, turns_ms * queue.weight)
            for name, queue in self._teams.items()
            if name != ticket.team and queue.count
        )

    def waiting_teams(self) -> list[str]:
        """Return the teams that wait."""
        return [name for name, queue in self._teams.items() if queue.count]

    def _find_team(self, ticket: Ticket) -> TeamQueue:
        queue = self._teams.get(ticket.team)
        if queue is None:
            queue = self._teams[ticket.team] = TeamQueue(ticket.weight, self._virtual_ms)
        queue.weight = ticket.weight
        return queue

    def _find_head(self, queue: TeamQueue) -> Ticket | None:
        while queue.waiting and queue.waiting[0][3].is_gone:
            heapq.heappop(queue.waiting)
        return queue.waiting[0][3] if queue.waiting else None

    def _take(self, queue: TeamQueue) -> Ticket:
        ticket = heapq.heappop(queue.waiting)[3]
        ticket.is_gone = True
        self._uncount(queue, ticket)
        self._advance(queue, ticket)
        return ticket

    def _advance(self, queue: TeamQueue, ticket: Ticket) -> None:
        self._virtual_ms = max(self._virtual_ms, min(queue.virtual_ms, self._least_virtual_ms()))
        queue.virtual_ms += ticket.cost_ms / ticket.weight

    def _least_virtual_ms(self) -> float:
        waiting = [queue.virtual_ms for queue in self._teams.values() if queue.count]
        return min(waiting, default=float("inf"))

    def _uncount(self, queue: TeamQueue, ticket: Ticket) -> None:
        queue.waiting_cost_ms -= ticket.cost_ms
        queue.count -= 1
        self.count -= 1
        if not queue.count:
            queue.waiting_cost_ms = 0.0
            queue.waiting.clear()
