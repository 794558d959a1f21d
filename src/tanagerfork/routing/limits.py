"""Request rate and concurrency limits of teams, shared by all daemons of a failure domain."""

import collections
import dataclasses
from collections.abc import Mapping

from tanagerfork.generated import bundle
from tanagerfork.routing import fleet as fleets

BURST_S = 1.0
RATE_WINDOW_MS = 2000


@dataclasses.dataclass(slots=True)
class TeamState:
    """Token bucket, running requests and measured request rate of a team at this daemon."""

    tokens: float
    refilled_at_ms: int
    running: int = 0
    rate_per_s: float = 0.0
    window_started_at_ms: int = 0
    arrivals: int = 0


class TeamLimits:
    """Divides the limits of teams among the live daemons.

    A daemon allows a team the part of its limit that the other daemons report as unused, but never
    less than an equal share. Reports lag, so bursts at two daemons can exceed the limit until each
    has the other's report.

    :param fleet: the other daemons.
    """

    __slots__ = ("_fleet", "_teams")

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._teams: dict[str, TeamState] = {}

    def take_token(self, team: bundle.Team, now_ms: int) -> int:
        """Take one request from the team's token bucket.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        :return: 0 if the request is allowed, otherwise the time until the next one is, in
            milliseconds.
        """
        state = self._find_state(team.name, now_ms)
        rate = self._allowed_rate(team)
        passed_s = (now_ms - state.refilled_at_ms) / 1000
        state.refilled_at_ms = now_ms
        state.tokens = min(max(1.0, rate * BURST_S), state.tokens + passed_s * rate)
        self._count_arrival(state, now_ms)
        if state.tokens < 1:
            return max(1, round((1 - state.tokens) / rate * 1000))
        state.tokens -= 1
        return 0

    def may_start(self, team: bundle.Team) -> bool:
        """Return whether the team's concurrency limit allows one more request.

        :param team: team.
        """
        state = self._teams.get(team.name)
        return (state.running if state else 0) < self._allowed_running(team)

    def begin_request(self, team: str, now_ms: int) -> None:
        """Record that a request of a team started.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._find_state(team, now_ms).running += 1

    def end_request(self, team: str) -> None:
        """Record that a request of a team ended.

        :param team: team.
        """
        self._teams[team].running -= 1

    def read_usage(self, now_ms: int) -> dict[str, fleets.Usage]:
        """Return the usage of each team at this daemon, to be reported to the other daemons.

        :param now_ms: monotonic clock, in milliseconds.
        """
        usage = collections.OrderedDict[str, fleets.Usage]()
        for name, state in self._teams.items():
            self._update_rate(state, now_ms)
            if state.running or state.rate_per_s:
                usage[name] = fleets.Usage(state.running, state.rate_per_s)
        return usage

    def _allowed_rate(self, team: bundle.Team) -> float:
        unused = team.requests_per_s - self._fleet.usage_elsewhere(team.name).requests_per_s
        return max(unused, team.requests_per_s / max(1, self._fleet.live_daemons()))

    def _allowed_running(self, team: bundle.Team) -> int:
        unused = team.concurrency - self._fleet.usage_elsewhere(team.name).running
        return max(unused, -(-team.concurrency // max(1, self._fleet.live_daemons())))

    def _find_state(self, team: str, now_ms: int) -> TeamState:
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = TeamState(float("inf"), now_ms, window_started_at_ms=now_ms)
        return state

    def _count_arrival(self, state: TeamState, now_ms: int) -> None:
        self._update_rate(state, now_ms)
        state.arrivals += 1

    def _update_rate(self, state: TeamState, now_ms: int) -> None:
        passed_ms = now_ms - state.window_started_at_ms
        if passed_ms >= RATE_WINDOW_MS:
            state.rate_per_s = state.arrivals * 1000 / passed_ms
            state.arrivals, state.window_started_at_ms = 0, now_ms


def divide_by_need(capacity: float, needs: Mapping[str, float]) -> dict[str, float]:
    """Divide a capacity by max-min fairness: who needs less than an equal share gets all of it.

    :param capacity: what there is to divide.
    :param needs: need of each team.
    :return: what each team gets.
    """
    shares: dict[str, float] = {}
    left = max(0.0, capacity)
    for place, team in enumerate(sorted(needs, key=lambda name: needs[name])):
        shares[team] = min(needs[team], left / (len(needs) - place))
        left -= shares[team]
    return shares
