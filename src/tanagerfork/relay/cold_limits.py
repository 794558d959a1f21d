"""Cold limits: whether this daemon may send a cold upstream another request now.

An upstream that has just started crashes if all daemons together send it more than its service's
`cold_per_s` allows. Some daemons are chosen for each cold upstream by rendezvous hashing over the
directory of daemons, as many as may send one request a second each, so that no message is needed
when a request is sent. `SPARE_SHARE` of the tolerance is given to further daemons, which draw
whether they send. The senders and the time between two sends of each bound the sum by construction;
docs/design/cold-upstreams.md has the figures.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Collection, Iterable

from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.peers import rendezvous
from tanagerfork.relay import members, rules

LOGGER = "relay.cold_limits"
KEY_PREFIX = "cold/"
OVERRUN = 1.5  # An upstream crashes beyond this many times the limit, plus `SLACK`, in any second.
SLACK = 5
SPARE_SHARE = 2 / 3  # Of the tolerance; the rest covers daemons whose lists differ.
SPARE_CHANCE = 0.5  # With it, the mean of all daemons at full load is 1.15 times the limit.
WINDOW_MS = 1000.0
# Two sends of a daemon may arrive closer together than they were sent, by up to 100 ms on a busy
# link. Intervals of exactly a second would then put two sends of each daemon into one second.
INTERVAL_FACTOR = 1.1
# By then the others have read the entry of a daemon that has just started, and have written their
# own again if the store had lost them: a daemon that knew few others would send for all of them.
START_HOLD_MS = 5000.0
# A daemon that is cut off from the store goes on to send by the list it has. The others keep it in
# the ranking meanwhile, or the next in rank would send as well. A daemon that was replaced leaves
# its share unused for as long.
DEPARTED_KEEP_MS = 60_000.0
RAMP_MS = 3000.0  # An upstream is slow for some seconds after its start.
MIN_RAMP_SHARE = 0.1
MAX_STARTS = 4096  # Upstreams whose last start is remembered, unless they are listed.


@dataclasses.dataclass(slots=True)
class ColdShare:
    """This daemon's share of the requests to one upstream while it is cold.

    `interval_ms` is the time between two sends, infinite if this daemon is neither chosen nor a
    spare. A spare draws in each interval whether it sends; `has_drawn` holds until that send.
    """

    upstream: members.Upstream
    until_ms: float
    names_version: int = -1
    interval_ms: float = math.inf
    is_spare: bool = False
    has_drawn: bool = False
    next_at_ms: float = 0.0
    sends: int = 0


@dataclasses.dataclass(slots=True)
class Start:
    """Last start of an upstream, and when this daemon saw it.

    `cold_until_ms` is by its entries, of which `seen_refresh` tells the last one. `started_at_ms`
    is when the start was seen, `ramp_began_ms` when it was seen during traffic; both are in the
    distant past if there was no such moment.
    """

    born_at_ms: int
    seen_refresh: tuple[int, float] | None = None
    cold_until_ms: float = -math.inf
    started_at_ms: float = -math.inf
    ramp_began_ms: float = -math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class SendPlan:
    """How the daemons share the limit of one cold upstream.

    The ranks below `senders` send each `interval_ms`, the next `spares` with `SPARE_CHANCE`.
    """

    senders: int
    spares: int
    interval_ms: float


def plan_sends(limit_per_s: float, daemon_count: int) -> SendPlan:
    """Return how daemons share a limit so that their sum stays below the tolerated one.

    :param limit_per_s: requests a second that the upstream takes while it is cold, above 0.
    :param daemon_count: number of daemons.
    """
    tolerated = math.floor(limit_per_s * OVERRUN + SLACK)
    wanted = math.ceil(limit_per_s)
    spares = math.floor((tolerated - wanted) * SPARE_SHARE)
    senders = max(1, min(wanted, daemon_count))
    # Sends of one sender that may fall into one second; only few daemons may send several.
    per_window = max(1, (wanted + spares) // senders)
    interval_ms = WINDOW_MS * INTERVAL_FACTOR * max(senders / limit_per_s, 1 / per_window)
    return SendPlan(senders, max(0, min(spares, daemon_count - senders)), interval_ms)


class ColdLimits:
    """What this daemon may send to cold upstreams, and which upstreams have just started.

    :param name: name of this daemon.
    :param rng: draws the first send of each cold time, and whether a spare sends.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = (
        "_name",
        "_rng",
        "_log",
        "_metrics",
        "_names",
        "_names_version",
        "_listed_names",
        "_departed_at_ms",
        "_held_until_ms",
        "_starts",
        "_has_list",
        "_has_traffic",
        "_returned_at_ms",
        "_shares",
    )

    def __init__(
        self,
        name: str,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._name = name
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._names: list[str] = []
        self._names_version = 0
        self._listed_names: set[str] = set()
        self._departed_at_ms: dict[str, float] = {}
        self._held_until_ms = -math.inf
        self._starts: collections.OrderedDict[str, Start] = collections.OrderedDict()
        self._has_list = False
        self._has_traffic = False
        self._returned_at_ms: dict[str, float] = {}
        self._shares: dict[str, ColdShare] = {}

    def follow_daemons(self, names: Collection[str], now_ms: float) -> None:
        """Take over the directory of daemons once it is known, and close cold times that ended.

        :param names: names of all listed daemons.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if not self._listed_names:
            self._held_until_ms = now_ms + START_HOLD_MS
        expired = [
            name
            for name, at_ms in self._departed_at_ms.items()
            if now_ms - at_ms > DEPARTED_KEEP_MS or name in names
        ]
        if expired or self._listed_names != set(names):
            for name in self._listed_names.difference(names):
                self._departed_at_ms[name] = now_ms
            for name in expired:
                del self._departed_at_ms[name]
            self._listed_names = set(names)
            self._names = [*self._listed_names, *self._departed_at_ms]
            self._names_version += 1
        for key in [key for key, share in self._shares.items() if share.until_ms <= now_ms]:
            self._end_share(self._shares.pop(key))
        self._metrics.set_gauge("relay_cold_upstreams", len(self._shares))

    def record_list(self, upstreams: Iterable[members.Upstream], now_ms: float) -> None:
        """Record all known upstreams after the list of them was read.

        :param upstreams: known upstreams.
        :param now_ms: monotonic clock, in milliseconds.
        """
        listed = set()
        for upstream in upstreams:
            listed.add(upstream.id)
            self.record_entry(upstream, now_ms)
        self._has_list = True
        while len(self._starts) > max(MAX_STARTS, len(listed)):
            self._starts.popitem(last=False)

    def record_entry(self, upstream: members.Upstream, now_ms: float) -> None:
        """Record whether an upstream is cold, and its start if it is a new one.

        Upstreams of the first list started before this daemon, so that only their entries count.

        :param upstream: upstream as its entry describes it.
        :param now_ms: monotonic clock, in milliseconds.
        """
        start = self._starts.get(upstream.id)
        if start is None or upstream.born_at_ms > start.born_at_ms:
            start = self._starts[upstream.id] = Start(upstream.born_at_ms)
            if self._has_list:
                start.started_at_ms = now_ms
            if self._has_list and self._has_traffic:
                start.ramp_began_ms = now_ms
        elif upstream.born_at_ms < start.born_at_ms:
            return  # The entry is from a copy that is older.
        self._starts.move_to_end(upstream.id)
        refresh = upstream.refresh_count, upstream.cold_left_ms
        if upstream.cold_left_ms and refresh != start.seen_refresh:
            start.cold_until_ms = max(start.cold_until_ms, now_ms + upstream.cold_left_ms)
        start.seen_refresh = refresh

    def record_evacuation_end(self, domains: Collection[str], now_ms: float) -> None:
        """Record that upstreams of failure domains are cold, as they have got nothing for a while.

        :param domains: failure domains whose evacuation ended.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for domain in domains:
            self._returned_at_ms[domain] = now_ms
            self._log.note(LOGGER, "upstreams are cold after an evacuation", failure_domain=domain)

    def may_send(self, upstream: members.Upstream, service: rules.Service, now_ms: float) -> bool:
        """Return whether an upstream may be sent another request now.

        :param upstream: upstream, or the head of a group.
        :param service: its service.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._has_traffic = True
        share = self._find_share(upstream, service, now_ms)
        if share is None:
            return True
        if math.isinf(share.interval_ms) or now_ms < max(share.next_at_ms, self._held_until_ms):
            return False
        if share.is_spare and not share.has_drawn:
            share.has_drawn = self._rng.random() < SPARE_CHANCE
            if not share.has_drawn:
                share.next_at_ms = now_ms + share.interval_ms
        return not share.is_spare or share.has_drawn

    def note_sent(self, upstream: members.Upstream, now_ms: float) -> None:
        """Record a send.

        :param upstream: upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        share = self._shares.get(upstream.id)
        if share is not None and not math.isinf(share.interval_ms):
            share.next_at_ms = now_ms + share.interval_ms
            share.has_drawn = False
            share.sends += 1

    def measure_wait_ms(
        self, upstream: members.Upstream, service: rules.Service, now_ms: float
    ) -> float:
        """Return after how long a cold upstream may be sent a request, in milliseconds.

        :param upstream: upstream that may be sent none now.
        :param service: its service.
        :param now_ms: monotonic clock, in milliseconds.
        :return: time until this daemon's next share, or until the upstream is no longer cold.
        """
        share = self._find_share(upstream, service, now_ms)
        if share is None:
            return 0.0
        until_ms = share.until_ms
        if not math.isinf(share.interval_ms):
            until_ms = min(until_ms, max(share.next_at_ms, self._held_until_ms))
        return max(0.0, until_ms - now_ms)

    def compute_ramp_share(self, upstream: members.Upstream, now_ms: float) -> float:
        """Return the share of the requests that may choose an upstream which has just started.

        It grows to 1 within `RAMP_MS` of the start. Where the upstream has a cold limit, that holds
        requests back instead. A group that forms anew of upstreams which have run for longer is
        not slow, and an overload needs all of it.

        :param upstream: upstream, or the head of a group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        start = self._starts.get(upstream.id)
        if start is None or upstream.id in self._shares:
            return 1.0
        passed = max(0.0, now_ms - start.ramp_began_ms) / RAMP_MS
        return min(1.0, MIN_RAMP_SHARE + (1 - MIN_RAMP_SHARE) * passed)

    def _find_cold_until(self, upstream: members.Upstream, service: rules.Service) -> float:
        start = self._starts.get(upstream.id)
        if start is None or start.born_at_ms != upstream.born_at_ms:
            return -math.inf
        returned_at_ms = self._returned_at_ms.get(upstream.failure_domain, -math.inf)
        from_start_ms = max(start.started_at_ms, returned_at_ms) + service.cold_start_ms
        return max(start.cold_until_ms, from_start_ms)

    def _find_share(
        self, upstream: members.Upstream, service: rules.Service, now_ms: float
    ) -> ColdShare | None:
        """Return this daemon's share of a cold upstream; None if the upstream has no limit now."""
        if not service.cold_per_s:
            return None
        until_ms = self._find_cold_until(upstream, service)
        if until_ms <= now_ms:
            return None
        share = self._shares.get(upstream.id)
        if share is None or share.upstream.key != upstream.key:
            share = self._shares[upstream.id] = ColdShare(upstream, until_ms)
            self._rank(share, service)
            # The first sends are spread, or all senders would send at the moment of the start.
            if not math.isinf(share.interval_ms):
                share.next_at_ms = now_ms + self._rng.uniform(0, share.interval_ms)
            self._log.note(
                LOGGER,
                "upstream is cold",
                upstream=upstream.id,
                cold_ms=round(until_ms - now_ms),
                is_by_entry=bool(upstream.cold_left_ms),
                interval_ms=None if math.isinf(share.interval_ms) else round(share.interval_ms),
                is_spare=share.is_spare,
                daemons=len(self._names),
            )
        share.until_ms = until_ms
        if share.names_version != self._names_version:
            self._rank(share, service)
        return share

    def _rank(self, share: ColdShare, service: rules.Service) -> None:
        """Decide by this daemon's rank among all daemons how often it may send."""
        share.names_version = self._names_version
        share.interval_ms, share.is_spare = math.inf, False
        if not self._names:
            return  # The directory of daemons is not known yet.
        plan = plan_sends(service.cold_per_s, len(self._names))
        chosen = rendezvous.choose(
            KEY_PREFIX + share.upstream.id, self._names, plan.senders + plan.spares
        )
        if self._name in chosen:
            share.interval_ms = plan.interval_ms
            share.is_spare = chosen.index(self._name) >= plan.senders

    def _end_share(self, share: ColdShare) -> None:
        self._log.note(
            LOGGER, "upstream is no longer cold", upstream=share.upstream.id, sends=share.sends
        )
