"""Rate and concurrency limits of teams, shared with the other daemons of the failure domain."""

import collections
import dataclasses

from tanagerfork.generated import bundle
from tanagerfork.routing import fleet as fleets

BURST_S = 1.0
RATE_WINDOW_MS = 2000


@dataclasses.dataclass(slots=True)
class TeamState:
    """What one team has used at this daemon."""

    tokens: float
    refilled_at_ms: int
    running: int = 0
    rate_per_s: float = 0.0
    rated_at_ms: int = 0
    came: int = 0


class TeamLimits:
    """Divides a team's limits over the live daemons and lends what the others leave.

    A daemon allows what the other daemons' reported usage leaves of the limit, and never less than
    an equal share. Reports lag, so a burst at two daemons can exceed the limit until each has heard
    of the other.

    :param fleet: the other daemons.
    """

    __slots__ = ("_fleet", "_teams")

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._teams: dict[str, TeamState] = {}

    def take(self, team: bundle.Team, now_ms: int) -> int:
        """Take one request off the team's rate.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        :return: 0 if it may come in, otherwise the time until the next one may, in milliseconds.
        """
        state = self._find(team.name, now_ms)
        rate = self._allowed_rate(team)
        passed_s = (now_ms - state.refilled_at_ms) / 1000
        state.refilled_at_ms = now_ms
        state.tokens = min(max(1.0, rate * BURST_S), state.tokens + passed_s * rate)
        self._note_arrival(state, now_ms)
        if state.tokens < 1:
            return max(1, round((1 - state.tokens) / rate * 1000))
        state.tokens -= 1
        return 0

    def may_start(self, team: bundle.Team) -> bool:
        """Return whether the team may run one request more.

        :param team: team.
        """
        state = self._teams.get(team.name)
        return (state.running if state else 0) < self._allowed_running(team)

    def begin(self, team: str, now_ms: int) -> None:
        """Note that a request of a team runs.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._find(team, now_ms).running += 1

    def end(self, team: str) -> None:
        """Note that a request of a team ended.

        :param team: team.
        """
        self._teams[team].running -= 1

    def read_usage(self, now_ms: int) -> dict[str, fleets.Usage]:
        """Return what each team uses here, for the other daemons.

        :param now_ms: monotonic clock, in milliseconds.
        """
        usage = collections.OrderedDict[str, fleets.Usage]()
        for name, state in self._teams.items():
            self._roll_rate(state, now_ms)
            if state.running or state.rate_per_s:
                usage[name] = fleets.Usage(state.running, state.rate_per_s)
        return usage

    def _allowed_rate(self, team: bundle.Team) -> float:
        left = team.requests_per_s - self._fleet.usage_elsewhere(team.name).requests_per_s
        return max(left, team.requests_per_s / max(1, self._fleet.live_daemons()))

    def _allowed_running(self, team: bundle.Team) -> int:
        left = team.concurrency - self._fleet.usage_elsewhere(team.name).running
        return max(left, -(-team.concurrency // max(1, self._fleet.live_daemons())))

    def _find(self, team: str, now_ms: int) -> TeamState:
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = TeamState(float("inf"), now_ms, rated_at_ms=now_ms)
        return state

    def _note_arrival(self, state: TeamState, now_ms: int) -> None:
        self._roll_rate(state, now_ms)
        state.came += 1

    def _roll_rate(self, state: TeamState, now_ms: int) -> None:
        passed_ms = now_ms - state.rated_at_ms
        if passed_ms >= RATE_WINDOW_MS:
            state.rate_per_s = state.came * 1000 / passed_ms
            state.came, state.rated_at_ms = 0, now_ms
