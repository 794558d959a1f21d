"""Loads: load and health of each upstream, by own sends, its answers and reports of peers."""

import collections
import dataclasses
from collections.abc import Collection, Mapping

from tanagerfork.relay import calls

REPORT_FRESH_MS = 150  # Up to this age an upstream's own report is newer than the peers' reports.
REPORT_DECAY_MS = 1000.0  # About the time of a usual answer, by when half of the requests ended.
FAILURE_SMOOTHING = 0.3  # Three failures in a row outweigh any success before them.
ANSWER_TIME_SMOOTHING = 0.2  # Averages about the last ten answers.
SUSPICION_MS = 1500  # By then the coordinator has probed the upstream and changed its group.
RECENTLY_HEARD_MS = 200  # Three times the gap between two events of a busy group.
CLOSED_TTL_MS = 4000  # By then the watch of the list has sent something.
PEER_TTL_MS = 1200  # Four rounds of reports, each of which reaches every peer.
# Notices that pass two sources are up to 0.9 s old; a working group sends something every 0.1 s.
PEER_HEARD_TTL_MS = 1000
NEVER_MS = -1e12
MAX_FREED = 32  # More slots than one daemon's requests leave at one group within a second.
FAILURE_HALVING_MS = 4000  # A failure counts half by then, so that an upstream is tried again.


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Load and health of one upstream as this daemon knows them.

    `open` and `open_prompt_tokens` are of this daemon's sends, `peer_open` and `peer_unread_tokens`
    of the other daemons'. `held_tokens` is the sum of the prompts and longest answers of this
    daemon's sends. `reported` is the load that the upstream reported last. `recent_sends`
    and `peer_recent_sends` are counted for upstreams that named a limit; see `send_limits`.
    `heard_at_ms` is when this daemon received something from it, `peer_heard_at_ms` when another
    daemon did.
    `freed_at_ms` are the ends of answered own sends that no further one has followed; see
    `spreading`.
    """

    open: int = 0
    open_prompt_tokens: int = 0
    held_tokens: int = 0
    reported: calls.Load | None = None
    reported_at_ms: float = 0.0
    open_when_reported: int = 0
    failure_share: float = 0.0
    failed_at_ms: float = NEVER_MS
    heard_at_ms: float = NEVER_MS
    peer_heard_at_ms: float = NEVER_MS
    suspect_until_ms: float = NEVER_MS
    closed_epoch: int = -1
    closed_until_ms: float = NEVER_MS
    mean_answer_ms: float = 0.0
    peer_open: int = 0
    peer_unread_tokens: int = 0
    recent_sends: int = 0
    peer_recent_sends: int = 0
    freed_at_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_FREED)
    )

    def estimate_other_requests(self, now_ms: float) -> float:
        """Return the estimated number of requests that the upstream has from other daemons.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self.reported is None:
            return float(self.peer_open)
        others = max(0, self.reported.running + self.reported.waiting - self.open_when_reported)
        decayed = others * REPORT_DECAY_MS / (REPORT_DECAY_MS + now_ms - self.reported_at_ms)
        return (
            max(decayed, self.peer_open)
            if now_ms - self.reported_at_ms < REPORT_FRESH_MS
            else self.peer_open
        )

    def find_freed_ms(self, since_ms: float) -> float:
        """Return when an own send ended that no further one has followed; negative for none.

        :param since_ms: earlier ends are forgotten.
        """
        while self.freed_at_ms and self.freed_at_ms[0] < since_ms:
            self.freed_at_ms.popleft()
        return self.freed_at_ms[0] if self.freed_at_ms else -1e12

    def is_closed(self, epoch: int, now_ms: float) -> bool:
        """Return whether the group that it is the head of takes no new requests.

        :param epoch: epoch of the group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return epoch <= self.closed_epoch and now_ms < self.closed_until_ms

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the upstream went silent lately, and nothing was received since.

        :param now_ms: monotonic clock, in milliseconds.
        """
        heard_at_ms = max(self.heard_at_ms, self.peer_heard_at_ms)
        return now_ms < self.suspect_until_ms and heard_at_ms < self.suspect_until_ms - SUSPICION_MS

    def is_heard_elsewhere(self, now_ms: float) -> bool:
        """Return whether other daemons received something lately, and none found it silent.

        :param now_ms: monotonic clock, in milliseconds.
        """
        is_recent = now_ms - self.peer_heard_at_ms <= PEER_HEARD_TTL_MS
        return is_recent and now_ms >= self.suspect_until_ms

    def measure_heard_age_ms(self, now_ms: float) -> int:
        """Return the time since this daemon received anything from the upstream; -1 for never.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return _measure_age_ms(self.heard_at_ms, now_ms)

    def measure_peer_heard_age_ms(self, now_ms: float) -> int:
        """Return the time since another daemon received anything from it; -1 if none is known.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return _measure_age_ms(self.peer_heard_at_ms, now_ms)

    def estimate_failure_share(self, now_ms: float) -> float:
        """Return the share of requests that are expected to fail.

        :param now_ms: monotonic clock, in milliseconds.
        """
        age_ms = now_ms - self.failed_at_ms
        return self.failure_share * FAILURE_HALVING_MS / (FAILURE_HALVING_MS + max(0.0, age_ms))


@dataclasses.dataclass(slots=True, frozen=True)
class SharedLoad:
    """Load of one upstream as daemons tell each other: open requests, unread prompt tokens, sends.

    `recent_sends` counts only for upstreams that named a limit. `heard_at_ms` is when anything was
    received from the upstream, by the clock of this daemon.
    """

    requests: int
    unread_tokens: int
    recent_sends: int = 0
    heard_at_ms: float = NEVER_MS

    def subtract(self, other: "SharedLoad") -> "SharedLoad":
        """Return what is left without another load, at least zero.

        :param other: load that is part of this one.
        """
        return SharedLoad(
            max(0, self.requests - other.requests),
            max(0, self.unread_tokens - other.unread_tokens),
            max(0, self.recent_sends - other.recent_sends),
            self.heard_at_ms,
        )

    def measure_heard_age_ms(self, now_ms: float) -> int:
        """Return the time since anything was received from the upstream; -1 if it is not known.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return _measure_age_ms(self.heard_at_ms, now_ms)

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to tell."""
        return not self.requests and not self.recent_sends


NO_LOAD = SharedLoad(0, 0)


@dataclasses.dataclass(slots=True)
class PeerLoads:
    """Loads that one other daemon reported last, by upstream."""

    reported_at_ms: float
    open: dict[str, SharedLoad]


class LoadBook:
    """Loads of all upstreams, by id."""

    __slots__ = ("_loads", "_peers")

    def __init__(self) -> None:
        self._loads: dict[str, UpstreamLoad] = {}
        self._peers: dict[str, PeerLoads] = {}

    def note_peer_loads(self, daemon: str, reported: dict[str, SharedLoad], now_ms: float) -> None:
        """Replace the loads of another daemon by those that it reported.

        :param daemon: name of the other daemon.
        :param reported: loads by upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        before = self._peers.get(daemon)
        if before is not None:
            self._add_peer_loads(before.open, -1)
        self._peers[daemon] = PeerLoads(now_ms, reported)
        self._add_peer_loads(reported, 1)

    def expire_peers(self, now_ms: float, ttl_ms: float = PEER_TTL_MS) -> None:
        """Drop the reports of daemons that have been silent for too long.

        :param now_ms: monotonic clock, in milliseconds.
        :param ttl_ms: time for which a report counts, in milliseconds.
        """
        for daemon, peer in list(self._peers.items()):
            if now_ms - peer.reported_at_ms > ttl_ms:
                self._add_peer_loads(peer.open, -1)
                del self._peers[daemon]

    def drop_peers(self, without: str) -> None:
        """Drop the reports of all other daemons but one.

        :param without: name under which the report that is kept was recorded.
        """
        for daemon in [name for name in self._peers if name != without]:
            self.drop_peer(daemon)

    def drop_peer(self, daemon: str) -> None:
        """Drop the report of a daemon, if there is one.

        :param daemon: name under which the report was recorded.
        """
        peer = self._peers.pop(daemon, None)
        if peer is not None:
            self._add_peer_loads(peer.open, -1)

    def sum_open(self, without: Collection[str] = ()) -> dict[str, SharedLoad]:
        """Return the loads of all daemons, by upstream.

        :param without: peers that are left out.
        """
        summed = {
            key: SharedLoad(
                load.open + load.peer_open,
                max(0, load.open_prompt_tokens + load.peer_unread_tokens),
                load.recent_sends + load.peer_recent_sends,
                max(load.heard_at_ms, load.peer_heard_at_ms),
            )
            for key, load in self._loads.items()
        }
        for peer in without:
            for key, told in self._peers[peer].open.items():
                summed[key] = summed.get(key, NO_LOAD).subtract(told)
        return {key: load for key, load in summed.items() if not load.is_idle}

    @property
    def peers(self) -> Collection[str]:
        """Names of the peers whose last report has not expired."""
        return self._peers.keys()

    def list_open(self) -> dict[str, SharedLoad]:
        """Return the loads of this daemon's sends, by upstream."""
        own = {
            key: SharedLoad(
                load.open, max(0, load.open_prompt_tokens), load.recent_sends, load.heard_at_ms
            )
            for key, load in self._loads.items()
        }
        return {key: load for key, load in own.items() if not load.is_idle}

    def note_recent_sends(self, sends: Mapping[str, int]) -> None:
        """Replace the counted sends of this daemon.

        :param sends: sends by upstream, for those that named a limit.
        """
        for key, load in self._loads.items():
            load.recent_sends = sends.get(key, 0)

    def suspect_by_peer(self, upstream_id: str, now_ms: float) -> bool:
        """Suspect an upstream that another daemon found silent, unless it answered here just now.

        :param upstream_id: id of the upstream.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether the upstream is suspected now.
        """
        load = self.find(upstream_id)
        if now_ms - load.heard_at_ms < RECENTLY_HEARD_MS:
            return False
        self.suspect(upstream_id, now_ms)
        return True

    def _add_peer_loads(self, reported: Mapping[str, SharedLoad], sign: int) -> None:
        for upstream_id, told in reported.items():
            load = self.find(upstream_id)
            load.peer_open += sign * told.requests
            load.peer_unread_tokens += sign * told.unread_tokens
            load.peer_recent_sends += sign * told.recent_sends
            load.peer_heard_at_ms = max(load.peer_heard_at_ms, told.heard_at_ms)

    def find(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream, which is added where it is not known yet.

        :param upstream_id: id of the upstream.
        """
        load = self._loads.get(upstream_id)
        if load is None:
            load = self._loads[upstream_id] = UpstreamLoad()
        return load

    def find_heard_ms(self, upstream_id: str) -> float:
        """Return when this daemon received something from an upstream; `NEVER_MS` if it has not.

        :param upstream_id: id of the upstream.
        """
        load = self._loads.get(upstream_id)
        return NEVER_MS if load is None else load.heard_at_ms

    def begin(self, upstream_id: str, prompt_tokens: int) -> None:
        """Record the start of a send.

        :param upstream_id: id of the upstream.
        :param prompt_tokens: tokens that the upstream has to read.
        """
        load = self.find(upstream_id)
        load.open += 1
        if load.freed_at_ms:
            load.freed_at_ms.popleft()
        load.open_prompt_tokens += prompt_tokens

    def end_reading(self, upstream_id: str, prompt_tokens: int) -> None:
        """Record that a prompt is no longer unread, as its answer began or its send ended.

        :param upstream_id: id of the upstream.
        :param prompt_tokens: tokens of the prompt.
        """
        self.find(upstream_id).open_prompt_tokens -= prompt_tokens

    def end(self, upstream_id: str, outcome: calls.Outcome, took_ms: float, now_ms: float) -> None:
        """Record the end of a send.

        :param upstream_id: id of the upstream.
        :param outcome: how it ended.
        :param took_ms: duration of the send, in milliseconds.
        :param now_ms: monotonic clock, in milliseconds.
        """
        load = self.find(upstream_id)
        load.open -= 1
        if outcome is calls.Outcome.ANSWERED:  # A group that refuses has not freed a slot.
            load.freed_at_ms.append(now_ms)
        has_failed = outcome in (calls.Outcome.LOST, calls.Outcome.UNREACHED)
        load.failure_share += FAILURE_SMOOTHING * (has_failed - load.failure_share)
        if has_failed:
            load.failed_at_ms = now_ms
        elif outcome is calls.Outcome.ANSWERED:
            load.mean_answer_ms += (
                ANSWER_TIME_SMOOTHING * (took_ms - load.mean_answer_ms)
                if load.mean_answer_ms
                else took_ms
            )

    def note_load(self, upstream_id: str, reported: calls.Load | None, now_ms: float) -> None:
        """Record an answer of an upstream and the load that it reports.

        :param upstream_id: id of the upstream.
        :param reported: load, None where the answer reports none.
        :param now_ms: monotonic clock, in milliseconds.
        """
        load = self.find(upstream_id)
        load.heard_at_ms = now_ms
        if reported is not None:
            load.reported = reported
            load.reported_at_ms = now_ms
            load.open_when_reported = load.open

    def suspect(self, upstream_id: str, now_ms: float) -> None:
        """Avoid an upstream that went silent, for `SUSPICION_MS`.

        :param upstream_id: id of the upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.find(upstream_id).suspect_until_ms = now_ms + SUSPICION_MS

    def note_closed(self, head_id: str, epoch: int, now_ms: float) -> None:
        """Record that a group takes no new requests: it was ordered to close or its head refused.

        :param head_id: id of the head.
        :param epoch: epoch of the group.
        :param now_ms: monotonic clock, in milliseconds.
        """
        load = self.find(head_id)
        load.closed_epoch = max(load.closed_epoch, epoch)
        load.closed_until_ms = now_ms + CLOSED_TTL_MS

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Drop the loads of upstreams that are gone and have no open request.

        :param upstream_ids: ids of the upstreams that are not gone.
        """
        for gone in self._loads.keys() - upstream_ids:
            if not self._loads[gone].open and not self._loads[gone].peer_open:
                del self._loads[gone]


def _measure_age_ms(time_ms: float, now_ms: float) -> int:
    return -1 if time_ms == NEVER_MS else max(0, round(now_ms - time_ms))
