"""Usage of each team in the failure domain, summed over a tree of daemons."""

import dataclasses
from collections.abc import Callable, Iterable

from tanagerfork.generated import peers
from tanagerfork.peers import ring as rings
from tanagerfork.peers import topic as topic_interfaces

MAX_TEAMS_PER_MESSAGE = 40
TEAM_BYTES = 6  # Estimated overhead of the usage of a team.
MIN_SEND_INTERVAL_MS = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Usage of a team."""

    running: int = 0
    requests_per_s: int = 0

    def add(self, other: "Usage") -> "Usage":
        """Return the sum of two usages.

        :param other: usage to add.
        """
        return Usage(self.running + other.running, self.requests_per_s + other.requests_per_s)

    def subtract(self, other: "Usage") -> "Usage":
        """Return the difference of two usages, with negative values as 0.

        :param other: usage to subtract.
        """
        return Usage(
            max(0, self.running - other.running),
            max(0, self.requests_per_s - other.requests_per_s),
        )


NO_USAGE = Usage()


@dataclasses.dataclass(slots=True, frozen=True)
class _ReceivedUsage:
    teams: dict[str, Usage]
    made_at_ms: int


class UsageTopic:
    """Sums usage towards the root of the ring's tree, and sends the totals back down.

    :param read_ring: returns the ring of live daemons.
    :param ttl_ms: age past which a sum is ignored.
    """

    __slots__ = ("_read_ring", "_ttl_ms", "_own", "_children", "_totals", "_sent_at_ms")

    def __init__(self, read_ring: Callable[[], rings.Ring], ttl_ms: int) -> None:
        self._read_ring = read_ring
        self._ttl_ms = ttl_ms
        self._own: dict[str, Usage] = {}
        self._children: dict[str, _ReceivedUsage] = {}
        self._totals: _ReceivedUsage | None = None
        self._sent_at_ms: dict[str, int] = {}

    def set_own_usage(self, team: str, usage: Usage) -> None:
        """Set the usage of a team at this daemon.

        :param team: team.
        :param usage: its current usage.
        """
        if usage == NO_USAGE:
            self._own.pop(team, None)
        else:
            self._own[team] = usage

    def usage_of_peers(self, team: str, now_ms: int) -> Usage:
        """Return the usage of a team at the other daemons of the failure domain.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        :return: its usage; zero if no total is recent enough.
        """
        if not self._read_ring().parent():
            return (
                self._sum_subtree(now_ms)
                .get(team, NO_USAGE)
                .subtract(self._own.get(team, NO_USAGE))
            )
        if self._totals is None or now_ms - self._totals.made_at_ms > self._ttl_ms:
            return NO_USAGE
        return self._totals.teams.get(team, NO_USAGE).subtract(self._own.get(team, NO_USAGE))

    def fill(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        budget_bytes: int,
        now_ms: int,
    ) -> int:
        """Add sums to a message to the parent, or totals to one to a child; see `Topic.fill`."""
        sent_at_ms = self._sent_at_ms.get(receiver.name)
        if budget_bytes <= 0 or receiver.is_foreign:
            return 0
        if sent_at_ms is not None and now_ms - sent_at_ms < MIN_SEND_INTERVAL_MS:
            return 0
        ring = self._read_ring()
        if receiver.name == ring.parent():
            message.usage = _encode(self._sum_subtree(now_ms))
        elif receiver.name in ring.children():
            self._fill_totals(message, ring, now_ms)
        else:
            return 0
        self._sent_at_ms[receiver.name] = now_ms
        return sum(TEAM_BYTES + len(item.team) for item in message.usage + message.totals)

    def apply(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Apply sums from a child and totals from the parent; see `Topic.apply`."""
        ring = self._read_ring()
        if message.usage and message.sender in ring.children():
            received = _ReceivedUsage(_decode(message.usage), now_ms - delay_ms)
            self._children[message.sender] = received
        if message.totals and message.sender == ring.parent():
            made_at_ms = now_ms - delay_ms - message.totals_age_ms
            self._totals = _ReceivedUsage(_decode(message.totals), made_at_ms)

    def _fill_totals(self, message: peers.PeerMessage, ring: rings.Ring, now_ms: int) -> None:
        if not ring.parent():
            message.totals = _encode(self._sum_subtree(now_ms))
        elif self._totals is not None and now_ms - self._totals.made_at_ms <= self._ttl_ms:
            message.totals = _encode(self._totals.teams)
            message.totals_age_ms = now_ms - self._totals.made_at_ms

    def _sum_subtree(self, now_ms: int) -> dict[str, Usage]:
        """Return the usage of this daemon and of all below it in the tree."""
        summed = dict(self._own)
        for child in self._read_ring().children():
            received = self._children.get(child)
            if received is None or now_ms - received.made_at_ms > self._ttl_ms:
                continue
            for team, usage in received.teams.items():
                summed[team] = summed.get(team, NO_USAGE).add(usage)
        return summed


def _encode(teams: dict[str, Usage]) -> list[peers.TeamUsage]:
    largest = sorted(teams, key=lambda team: (-teams[team].running, team))[:MAX_TEAMS_PER_MESSAGE]
    return [
        peers.TeamUsage(
            team=team, running=teams[team].running, requests_per_s=teams[team].requests_per_s
        )
        for team in largest
    ]


def _decode(teams: Iterable[peers.TeamUsage]) -> dict[str, Usage]:
    return {item.team: Usage(item.running, item.requests_per_s) for item in teams}
