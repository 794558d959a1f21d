"""Notices between daemons: loads, silent upstreams, closed groups, suspects and store changes.

The store is authoritative for rules and upstreams; notices only spread them sooner. Notices of
loads keep a daemon that sees a twentieth of the requests from choosing a busy group.
"""

import random
from collections.abc import Sequence
from typing import Literal

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.peers import link
from tanagerfork.relay import (
    cohorts,
    daemon_directory,
    feeds,
    fleet,
    fleet_sums,
    followers,
    forwarding,
    link_checks,
    loads,
    members,
    notice_codec,
    part_notices,
    reach,
    refused_notices,
    rules,
    rules_exchange,
    send_limits,
    suspect_notices,
)
from tanagerfork.routing import crash_evidence, poison
from tanagerfork.routing import fleet as fleets

LOGGER = "relay.peers"
LOAD_INTERVAL_MS = 300  # Half the time to the first event of a usual request.
FANOUT = 24  # Largest number of daemons that are sent loads directly; more get sums from sources.
MAX_NOTICE_BYTES = 64 * 1024
MAX_REPEATED_LEAVING = 128  # Of the leaving upstreams whose entries don't say so.
MAX_FRAME_BYTES = 512 * 1024  # A notice with a packed configuration; no other one is as long.


class Peers:
    """Sends and receives notices.

    :param name: name of this daemon.
    :param inbox: receives notices; closed with this object.
    :param directory: list of daemons.
    :param register: rules in force.
    :param rules_follower: knows the configuration in force.
    :param view: known upstreams.
    :param book: loads of the upstreams.
    :param sums: what daemons report of their sends, demands and answers.
    :param limits: limits that upstreams named.
    :param suspects: requests suspected of crashing upstreams.
    :param evidence: parts of prompts suspected of crashing upstreams.
    :param feed: receives the store changes that other daemons read.
    :param own_reach: which services this daemon reaches.
    :param forwarder: learns which daemons can take over requests.
    :param own_cohorts: finds the sources, which sum up loads in a large fleet.
    :param clock: clock of all decisions.
    :param rng: chooses peers and spreads the rounds.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = (
        "_name",
        "_directory",
        "_register",
        "_view",
        "_book",
        "_sums",
        "_send_limits",
        "_suspects",
        "_evidence",
        "_feed",
        "_reach",
        "_forwarder",
        "_cohorts",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_inbox",
        "_refused",
        "_heard_forms",
        "_repeated_suspects",
        "_links",
        "_link_checks",
        "rules_exchange",
    )

    def __init__(
        self,
        name: str,
        inbox: link.Inbox,
        directory: daemon_directory.DaemonDirectory,
        register: rules.RulesRegister,
        rules_follower: followers.RulesFollower,
        view: fleet.Fleet,
        book: loads.LoadBook,
        sums: fleet_sums.FleetSums,
        limits: send_limits.SendLimits,
        suspects: poison.PoisonRegister,
        evidence: crash_evidence.CrashEvidence,
        feed: feeds.ChangeFeed,
        own_reach: reach.Reach,
        forwarder: forwarding.Forwarder,
        own_cohorts: cohorts.Cohorts,
        clock: clocks.Clock,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._name = name
        self._directory = directory
        self._register = register
        self._view = view
        self._book = book
        self._sums = sums
        self._send_limits = limits
        self._suspects = suspects
        self._evidence = evidence
        self._reach = own_reach
        self._forwarder = forwarder
        self._cohorts = own_cohorts
        self._feed = feed
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._inbox = inbox
        self._heard_forms: dict[str, notice_codec.Form] = {}
        self._repeated_suspects: list[notices.Suspect] = []
        self._refused = refused_notices.RefusedNotices(directory, clock, log, metrics)
        self._links = link.LinkTable(2 * FANOUT + cohorts.COHORT_SIZE, clock, rng, metrics)
        self._link_checks = link_checks.LinkChecks(name, self._links, clock, log)
        self.rules_exchange = rules_exchange.RulesExchange(
            register,
            rules_follower,
            lambda name, version: self._send_to([name], self._make_notice(wanted_rules=version)),
            self._send_rules,
            lambda: self._broadcast(self._make_notice()),
            clock,
            rng,
            log,
            metrics,
        )

    @property
    def address(self) -> str:
        """IP address and port on which notices are received."""
        return self._inbox.address

    def close(self) -> None:
        """Close all connections."""
        self._links.close()
        self._inbox.close()

    async def receive(self) -> None:
        """Receive and apply notices until cancelled."""
        while True:
            frame = await self._inbox.receive()
            try:
                read = notice_codec.decode(frame)
            except notice_codec.UnreadableNotice as error:
                self._refused.note(frame, str(error))
                continue
            self._directory.record_notice(read.notice.daemon)
            if self._directory.find_reachable(read.notice.daemon) is not None:
                self._heard_forms[read.notice.daemon] = read.form
                self._forwarder.note_rules_version(read.notice.daemon, read.notice.rules_version)
                self.rules_exchange.hear(read.notice)
            self._link_checks.note_notice(read.notice)
            self._handle(read.notice)

    async def broadcast_loads(self) -> None:
        """Send the open requests of this daemon in rounds until cancelled."""
        while True:
            now_ms = self._clock.monotonic_ms()
            self._book.note_recent_sends(self._send_limits.count_sends(now_ms))
            repeats = self._suspects.take_repeats(now_ms)
            self._repeated_suspects = [suspect_notices.encode(repeat) for repeat in repeats]
            own_notice = self._make_load_notice(self._sums.measure_own(now_ms))
            if len(self._directory.daemons) - 1 <= FANOUT:
                self._broadcast(own_notice)
            else:
                self._send_sums(own_notice)
            await self._clock.sleep_ms(LOAD_INTERVAL_MS * self._rng.uniform(0.8, 1.2))

    def _send_sums(self, own_notice: notices.Notice) -> None:
        """Send loads to the cohort's sources; a source sends sums to its cohort and other sources.

        In a large fleet each daemon would otherwise receive notices of a hundred others several
        times a second; this way it receives those of its two sources.
        """
        now_ms = self._clock.monotonic_ms()
        cohort = self._cohorts.list_own_cohort()
        self._send_to(cohort[: cohorts.SOURCES_PER_COHORT], own_notice)
        if not self._cohorts.is_source():
            return
        self._send_to(
            cohort[cohorts.SOURCES_PER_COHORT :],
            self._make_load_notice(self._sums.sum_fleet(now_ms), covers="all"),
        )
        self._send_to(
            self._cohorts.list_other_sources(),
            self._make_load_notice(
                self._sums.sum_cohort(now_ms), covers="cohort", cohort=cohort[0]
            ),
        )

    def _make_load_notice(
        self,
        figures: fleet_sums.Figures,
        covers: Literal["daemon", "cohort", "all"] = "daemon",
        cohort: str = "",
    ) -> notices.Notice:
        now_ms = self._clock.monotonic_ms()
        notice = self._make_notice()
        notice.covers, notice.cohort = covers, cohort
        figures.add_to_notice(notice, now_ms)
        notice.cut_off = self._reach.cut_off_services
        notice.suspects = self._repeated_suspects
        # The announcement misses daemons that start later, and most of a large fleet.
        leaving = self._view.list_leaving()[:MAX_REPEATED_LEAVING]
        notice.leaving = [_encode_leaving(upstream) for upstream in leaving]
        notice.heard = self._link_checks.list_heard()
        part_notices.add_to_notice(notice, self._evidence, now_ms, with_heard=covers != "daemon")
        return notice

    def announce_silent(self, upstream_id: str) -> None:
        """Announce that an upstream is silent.

        :param upstream_id: id of the upstream.
        """
        self._broadcast(self._make_notice(silent=[upstream_id]))

    def announce_leaving(self, upstream: members.Upstream) -> None:
        """Record and announce that an upstream said that it leaves.

        :param upstream: upstream.
        """
        if not self._view.mark_leaving(upstream.id, upstream.born_at_ms):
            return
        self._log.note(LOGGER, "upstream says that it leaves", upstream=upstream.id)
        notice = self._make_notice()
        notice.leaving.append(_encode_leaving(upstream))
        self._broadcast(notice)

    def announce_closed(self, head_id: str, epoch: int) -> None:
        """Record and announce that a head was ordered to close its group.

        :param head_id: id of the head.
        :param epoch: epoch of the group.
        """
        self._book.note_closed(head_id, epoch, self._clock.monotonic_ms())
        self._broadcast(self._make_notice(closed=[notices.ClosedGroup(head=head_id, epoch=epoch)]))

    def send_changes(self, batch: notices.ChangeBatch, names: list[str]) -> None:
        """Send changes of the store.

        :param batch: changes.
        :param names: daemons to send them to.
        """
        notice = self._make_notice(changes=batch)
        if len(notice_codec.encode(notice)) > MAX_NOTICE_BYTES:
            # Receivers read the store when they see the gap.
            notice.changes = notices.ChangeBatch(
                after=batch.revision, revision=batch.revision, written=[], removed=[]
            )
        self._send_to(names, notice)

    def tell_version(self, name: str) -> None:
        """Tell a daemon which version of the rules is in force here.

        :param name: name of the daemon.
        """
        self._send_to([name], self._make_notice())

    def _send_rules(self, name: str, packed: str) -> bool:
        """Send the configuration in force to a daemon; return False if it is too large."""
        notice = self._make_notice(packed_rules=packed)
        is_possible = len(notice_codec.encode(notice)) <= MAX_FRAME_BYTES
        if is_possible:
            self._send_to([name], notice)
        return is_possible

    def announce_suspect(self, suspicion: fleets.PoisonNotice) -> None:
        """Announce a request that was open when an upstream crashed.

        :param suspicion: fingerprint, crashes and quarantine of the request.
        """
        self._broadcast(self._make_notice(suspects=[suspect_notices.encode(suspicion)]))

    def _make_notice(
        self,
        silent: list[str] | None = None,
        suspects: list[notices.Suspect] | None = None,
        closed: list[notices.ClosedGroup] | None = None,
        changes: notices.ChangeBatch | None = None,
        wanted_rules: int = 0,
        packed_rules: str = "",
    ) -> notices.Notice:
        in_force = self._register.current
        return notices.Notice(
            daemon=self._name,
            rules_version=in_force.version if in_force else 0,
            loads=[],
            silent=silent or [],
            suspects=suspects or [],
            closed=closed or [],
            changes=changes,
            wanted_rules=wanted_rules,
            rules=packed_rules,
        )

    def _broadcast(self, notice: notices.Notice) -> None:
        """Send to all daemons; in a large fleet to the cohort and a random sample."""
        names = [name for name in self._directory.reachable if name != self._name]
        if len(names) > FANOUT:
            names = list({*self._cohorts.list_own_cohort(), *self._rng.sample(names, FANOUT)})
        self._send_to(names, notice)

    def _send_to(self, names: Sequence[str], notice: notices.Notice) -> None:
        """Send a notice to each daemon in the form that it reads.

        Its own notices show the form; its entry does, which a restored store may give an earlier
        one of, only until they are heard.
        """
        frames: dict[notice_codec.Form, bytes] = {}
        for name in names:
            record = self._directory.find_reachable(name)
            if name == self._name or record is None or not record.address:
                continue
            form = self._heard_forms.get(name) or notice_codec.find_form(record)
            if form not in frames:
                frames[form] = notice_codec.encode(notice, form)
            self._link_checks.check(name, record.address)
            self._links.send(record.address, frames[form])

    def _handle(self, notice: notices.Notice) -> None:
        now_ms = self._clock.monotonic_ms()
        if notice.has_loads:
            self._sums.record(notice, now_ms)
            self._forwarder.note_cut_off(notice.daemon, notice.cut_off)
        if notice.changes is not None:
            self._feed.receive(notice.changes)
        part_notices.hear(notice, self._evidence, now_ms)
        for leaving in notice.leaving:
            if self._view.mark_leaving(leaving.upstream, leaving.born_at_ms):
                self._log.note(
                    LOGGER,
                    "upstream says that it leaves",
                    upstream=leaving.upstream,
                    told_by=notice.daemon,
                )
        self._hear_suspects(notice, now_ms)
        for group in notice.closed:
            self._book.note_closed(group.head, group.epoch, now_ms)
            self._log.note(
                LOGGER,
                "group closed by its coordinator",
                upstream=group.head,
                epoch=group.epoch,
                told_by=notice.daemon,
            )
        for upstream_id in notice.silent:
            if self._book.suspect_by_peer(upstream_id, now_ms):
                self._log.note(
                    LOGGER, "upstream suspected", upstream=upstream_id, told_by=notice.daemon
                )

    def _hear_suspects(self, notice: notices.Notice, now_ms: int) -> None:
        for suspect in notice.suspects:
            if not self._suspects.hear(suspect_notices.decode(suspect), 0, now_ms):
                continue
            self._log.note(
                LOGGER,
                "request suspected",
                fingerprint=suspect.fingerprint,
                crashes=suspect.crashes,
                is_quarantined=self._suspects.quarantine_left_ms(suspect.fingerprint, now_ms) > 0,
                told_by=notice.daemon,
            )


def _encode_leaving(upstream: members.Upstream) -> notices.LeavingUpstream:
    return notices.LeavingUpstream(upstream=upstream.id, born_at_ms=upstream.born_at_ms)
