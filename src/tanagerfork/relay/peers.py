"""Peers: daemons tell each other what they have open, what went silent and which rules they have.

The store is the guarantee for rules and upstreams; peers only make them known sooner. What they
tell of loads keeps a daemon that sees a twentieth of the requests from choosing a busy group.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Literal

import msgspec

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.peers import link
from tanagerfork.relay import cohorts, feeds, followers, loads, rules
from tanagerfork.routing import fleet as fleets
from tanagerfork.routing import poison

LOGGER = "relay.peers"
INTERVAL_MS = 300  # Twice within the time that a usual request needs for its first event.
FANOUT = 24  # Daemons that are told one by one; in a larger fleet the sources of cohorts sum up.
COHORT_SUM = "cohort "  # Begins the name under which the sum of another cohort is kept.
TOTAL = "all"  # Name under which the sum of all daemons is kept.
MESSAGE_BYTES = 64 * 1024


class Peers:
    """Sends and takes notices.

    :param name: name of this daemon.
    :param address: IP address and port to listen on.
    :param directory: which daemons there are.
    :param register: rules in force.
    :param book: loads of the upstreams.
    :param suspects: requests that may crash upstreams.
    :param feed: takes in what others read from the store.
    :param own_cohorts: who sums up loads in a large fleet.
    :param clock: clock of all decisions.
    :param rng: chooses the peers of a round.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = (
        "_name",
        "_directory",
        "_register",
        "_book",
        "_suspects",
        "_feed",
        "_cohorts",
        "_told",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_inbox",
        "_links",
    )

    def __init__(
        self,
        name: str,
        address: str,
        directory: followers.DaemonDirectory,
        register: rules.RulesRegister,
        book: loads.LoadBook,
        suspects: poison.PoisonRegister,
        feed: feeds.ChangeFeed,
        own_cohorts: cohorts.Cohorts,
        clock: clocks.Clock,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._name = name
        self._directory = directory
        self._register = register
        self._book = book
        self._suspects = suspects
        self._cohorts = own_cohorts
        self._told: dict[str, tuple[int, int]] = {}
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        host, _, port = address.rpartition(":")
        self._inbox = link.Inbox(host, int(port), MESSAGE_BYTES)
        self._links = link.LinkTable(2 * FANOUT + cohorts.COHORT_SIZE, clock, rng, metrics)

    @property
    def address(self) -> str:
        """IP address and port that other daemons send to."""
        return self._inbox.address

    def close(self) -> None:
        """Close all connections."""
        self._links.close()
        self._inbox.close()

    async def receive(self) -> None:
        """Take notices in until cancelled."""
        while True:
            frame = await self._inbox.receive()
            try:
                self._take(msgspec.msgpack.decode(frame, type=notices.Notice))
            except msgspec.MsgspecError as error:
                self._metrics.count("relay_notices_refused_total")
                self._log.note(LOGGER, "notice refused", reason=str(error))

    async def tell_loads(self) -> None:
        """Tell what is open in rounds until cancelled."""
        while True:
            self._book.expire_peers(self._clock.monotonic_ms())
            self._told = {
                key: (requests, tokens) for key, requests, tokens in self._book.list_open()
            }
            own = self._make_loads(self._told)
            if len(self._directory.daemons) - 1 <= FANOUT:
                self._send(own)
            else:
                self._tell_sums(own)
            await self._clock.sleep_ms(INTERVAL_MS * self._rng.uniform(0.8, 1.2))

    def _tell_sums(self, own: notices.Notice) -> None:
        """Tell the sources of the cohort, or as a source tell the cohort and the other sources.

        Answers fleets in which each daemon would have to hear a hundred others several times a
        second: it hears its two sources instead.
        """
        cohort = self._cohorts.list_own_cohort()
        self._send_to(cohort[: cohorts.SOURCES_PER_COHORT], own)
        if not self._cohorts.is_source():
            return
        self._send_to(
            cohort[cohorts.SOURCES_PER_COHORT :],
            self._make_loads(self._book.sum_open(), covers="all"),
        )
        others = [name for name in self._book.peers if name.startswith(COHORT_SUM)]
        summed = self._book.sum_open(without=others)
        self._send_to(
            self._cohorts.list_other_sources(),
            self._make_loads(summed, covers="cohort", cohort=cohort[0]),
        )

    def _make_loads(
        self,
        told: Mapping[str, tuple[int, int]],
        covers: Literal["daemon", "cohort", "all"] = "daemon",
        cohort: str = "",
    ) -> notices.Notice:
        loads = [
            notices.OpenLoad(upstream=key, requests=requests, unread_tokens=tokens)
            for key, (requests, tokens) in told.items()
        ]
        notice = self._make(loads=loads, has_loads=True)
        notice.covers, notice.cohort = covers, cohort
        return notice

    def tell_silent(self, upstream_id: str) -> None:
        """Tell that an upstream went silent.

        :param upstream_id: id of the upstream.
        """
        self._send(self._make(silent=[upstream_id]))

    def tell_closed(self, head_id: str, epoch: int) -> None:
        """Tell, also this daemon, that a head was told to close its group.

        :param head_id: id of the head.
        :param epoch: epoch of the group.
        """
        self._book.note_closed(head_id, epoch, self._clock.monotonic_ms())
        self._send(self._make(closed=[notices.ClosedGroup(head=head_id, epoch=epoch)]))

    def tell_changes(self, batch: notices.ChangeBatch, names: list[str]) -> None:
        """Tell some daemons what the store told.

        :param batch: changes.
        :param names: daemons.
        """
        frame = msgspec.msgpack.encode(self._make(changes=batch))
        if len(frame) > MESSAGE_BYTES:  # Those who see the gap ask the store.
            gap = notices.ChangeBatch(
                after=batch.revision, revision=batch.revision, written=[], removed=[]
            )
            frame = msgspec.msgpack.encode(self._make(changes=gap))
        self._send_frame(names, frame)

    def tell_suspect(self, word: fleets.PoisonNotice) -> None:
        """Tell of a request that was in flight when an upstream crashed.

        :param word: what is known of it.
        """
        suspect = notices.Suspect(
            fingerprint=word.fingerprint,
            crashes=word.crashes,
            is_quarantined=word.is_quarantined,
            expires_in_ms=word.expires_in_ms,
        )
        self._send(self._make(suspects=[suspect]))

    def _make(
        self,
        loads: list[notices.OpenLoad] | None = None,
        has_loads: bool = False,
        silent: list[str] | None = None,
        suspects: list[notices.Suspect] | None = None,
        closed: list[notices.ClosedGroup] | None = None,
        changes: notices.ChangeBatch | None = None,
    ) -> notices.Notice:
        in_force = self._register.current
        return notices.Notice(
            daemon=self._name,
            rules_version=in_force.version if in_force else 0,
            loads=loads or [],
            silent=silent or [],
            has_loads=has_loads,
            suspects=suspects or [],
            closed=closed or [],
            changes=changes,
        )

    def _send(self, notice: notices.Notice) -> None:
        """Send to all daemons; in a large fleet to the cohort and to some others."""
        names = [name for name in self._directory.daemons if name != self._name]
        if len(names) > FANOUT:
            names = list({*self._cohorts.list_own_cohort(), *self._rng.sample(names, FANOUT)})
        self._send_to(names, notice)

    def _send_to(self, names: Sequence[str], notice: notices.Notice) -> None:
        self._send_frame(names, msgspec.msgpack.encode(notice))

    def _send_frame(self, names: Sequence[str], frame: bytes) -> None:
        for name in names:
            record = self._directory.daemons.get(name)
            if name != self._name and record is not None and record.address:
                self._links.send(record.address, frame)

    def _note_loads(self, notice: notices.Notice, now_ms: float) -> None:
        told = {load.upstream: (load.requests, load.unread_tokens) for load in notice.loads}
        if notice.covers == "daemon":
            self._book.note_peer_loads(notice.daemon, told, now_ms)
        elif notice.covers == "cohort":
            self._book.note_peer_loads(COHORT_SUM + notice.cohort, told, now_ms)
        elif not self._cohorts.is_source():
            others = {}
            for key, (requests, tokens) in told.items():
                own_requests, own_tokens = self._told.get(key, (0, 0))
                if requests > own_requests:
                    others[key] = requests - own_requests, max(0, tokens - own_tokens)
            self._book.note_peer_loads(TOTAL, others, now_ms)

    def _take(self, notice: notices.Notice) -> None:
        now_ms = self._clock.monotonic_ms()
        if notice.has_loads:
            self._note_loads(notice, now_ms)
        if notice.changes is not None:
            self._feed.take(notice.changes)
        for suspect in notice.suspects:
            word = fleets.PoisonNotice(
                suspect.fingerprint, suspect.crashes, suspect.is_quarantined, suspect.expires_in_ms
            )
            self._suspects.hear(word, 0, now_ms)
            self._log.note(
                LOGGER,
                "request suspected",
                fingerprint=suspect.fingerprint,
                crashes=suspect.crashes,
                told_by=notice.daemon,
            )
        for group in notice.closed:
            self._book.note_closed(group.head, group.epoch, now_ms)
            self._log.note(
                LOGGER,
                "group is closed",
                upstream=group.head,
                epoch=group.epoch,
                told_by=notice.daemon,
            )
        for upstream_id in notice.silent:
            if self._book.suspect_by_peer(upstream_id, now_ms):
                self._log.note(
                    LOGGER, "upstream suspected", upstream=upstream_id, told_by=notice.daemon
                )
