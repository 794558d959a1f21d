"""Peer service: runs the peer protocol over the network and offers it to the daemon."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import pynng
import result
from absl import logging

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.bundles import register
from tanagerfork.generated import engine, operators, peers
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import directory
from tanagerfork.peers import (
    codec,
    composer,
    domains,
    duty,
    exchange,
    gossip,
    link,
    membership,
    notices,
    observations,
    rendezvous,
    status,
    transfer,
    usage,
)
from tanagerfork.timeline import kinds, ring

MIN_PUSH_INTERVAL_MS = 50  # Between messages sent ahead of the next round.
LEAVE_GRACE_MS = 50  # Time to send the last messages of a planned stop.
ROUND_JITTER = 0.1

CapacityReader = Callable[[int], Sequence[peers.ModelCapacity]]


class PeerService:
    """Exchanges membership, reports, notices and requests with the other daemons.

    :param settings: settings of the daemon.
    :param keys: current shared key, then former ones that are still accepted.
    :param clock: clock of all tasks and of the protocol.
    :param rng: source of all random choices.
    :param timeline: event timeline.
    :param metrics: counters.
    :param bundles: register of the bundle in force.
    :param groups: groups known to this daemon.
    """

    def __init__(
        self,
        settings: settings_records.Settings,
        keys: Sequence[str],
        clock: clocks.Clock,
        rng: random.Random,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
        bundles: register.BundleRegister,
        groups: directory.GroupDirectory,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._metrics = metrics
        self._groups = groups
        self._codec = codec.Codec(keys)
        self._links = link.LinkTable(settings.peers.links, clock, rng, metrics)
        self._tasks: set[asyncio.Task[None]] = set()
        self._states: dict[str, str] = {}
        self._next_push_at_ms = 0
        self._is_stopping = False
        self._read_capacity: CapacityReader = lambda now_ms: ()
        ttl_ms = settings.groups.presence_ttl_ms
        self.notices = notices.NoticeTopic()
        self.observations = observations.ObservationTopic(groups.presence, ttl_ms)
        self._usage = usage.UsageTopic(
            lambda: self.gossip.members.ring(), settings.peers.heard_ttl_ms
        )
        self._domains = domains.DomainTopic(
            settings.failure_domain, settings.region, self._describe_domain
        )
        self._duty = duty.ObserverDuty(settings.name, self.observations, ttl_ms)
        self._exchange = exchange.Exchange(self, clock, metrics)
        self._bundle_transfer = transfer.BundleTransfer(bundles, self, clock, timeline, metrics)
        self._layout_transfer = transfer.LayoutTransfer(groups, self, clock, metrics)
        self._bundle_register = bundles
        bundles.subscribe(lambda in_force: self.push_changes())
        self.serve(transfer.HEAD, self._bundle_transfer.answer_head)
        self.serve(transfer.PART, self._bundle_transfer.answer_part)
        self.serve(transfer.LAYOUT, self._layout_transfer.answer)

    def start(self, callers_url: str, operators_url: str) -> None:
        """Open the listener and start the tasks.

        :param callers_url: URL of this daemon's listener for callers.
        :param operators_url: URL of this daemon's listener for operators.
        :raises SettingsError: the address cannot be bound.
        """
        peer_settings = self._settings.peers
        try:
            self._inbox = link.Inbox(
                peer_settings.host, peer_settings.port, codec.MESSAGE_LIMIT_BYTES
            )
        except pynng.NNGException as error:
            message = (
                f"peers.port: {peer_settings.host}:{peer_settings.port} cannot be bound ({error}); "
                "free the port or choose another"
            )
            raise errors.SettingsError(message) from error
        own = peers.PeerEntry(
            name=self._settings.name,
            incarnation=self._clock.wall_ms(),
            state=membership.ALIVE,
            address=self._inbox.address,
            callers_url=callers_url,
            operators_url=operators_url,
        )
        self.gossip = gossip.Gossip(
            gossip.GossipSettings(
                failure_domain=self._settings.failure_domain,
                seeds=tuple(peer_settings.seeds),
                round_interval_ms=peer_settings.round_interval_ms,
                fanout=peer_settings.fanout,
                message_bytes=peer_settings.message_bytes,
                probe_timeout_ms=peer_settings.probe_timeout_ms,
                suspicion_ms=peer_settings.suspicion_ms,
                heard_ttl_ms=peer_settings.heard_ttl_ms,
            ),
            own,
            self._rng,
            (self.notices, self._usage, self.observations, self._domains),
            self._read_versions,
            self._clock.monotonic_ms(),
        )
        self.gossip.foreign_bridges = self._domains.foreign_bridges
        self.gossip.own_bridges = self._domains.own_bridges
        self._start_task(self._receive())
        self._start_task(self._run_rounds())

    async def stop(self) -> None:
        """Announce that this daemon leaves, end all tasks and close all sockets."""
        self._send(self.gossip.leave(self._clock.monotonic_ms()))
        await self._clock.sleep_ms(LEAVE_GRACE_MS)
        # If a receive completes while it is being cancelled, the cancellation is lost. The flag
        # and the closed listener end that task anyway.
        self._is_stopping = True
        self._inbox.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._exchange.stop()
        self._links.close()

    @property
    def address(self) -> str:
        """IP:port of the peer listener."""
        return self._inbox.address

    # Membership and duties.

    def live(self) -> list[str]:
        """Return the live daemons of the failure domain, this one included."""
        return self.gossip.live(self._clock.monotonic_ms())

    def members(self) -> list[membership.Member]:
        """Return all known daemons of the failure domain, dead and departed ones included."""
        return [member for _, member in sorted(self.gossip.members.members.items())]

    def describe_peers(self) -> list[operators.PeerStatus]:
        """Return the status of the other daemons for operators."""
        now_ms = self._clock.monotonic_ms()
        own_members = [
            member for member in self.members() if member.entry.name != self._settings.name
        ]
        foreign = self._domains.foreign_summaries(now_ms)
        return status.describe_peers(self._settings.failure_domain, own_members, foreign, now_ms)

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the head in the key-value service."""
        return self._settings.name in rendezvous.choose_watchers(self.live())

    def is_observed_here(self, vm: str) -> bool:
        """Return whether this daemon should read a VM's report now.

        :param vm: VM.
        """
        return self._duty.should_observe(vm, self._clock.monotonic_ms())

    # State exchanged with the peers.

    def note_report(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Share a report that this daemon read from a member.

        :param report: report.
        :param made_at_ms: when it was requested, by the monotonic clock.
        """
        if self.observations.record_own_report(report, made_at_ms):
            self.push_changes()

    def note_usage(self, team: str, running: int, requests_per_s: int) -> None:
        """Share the usage of a team at this daemon.

        :param team: team.
        :param running: concurrent requests.
        :param requests_per_s: request rate over the last seconds.
        """
        self._usage.set_own_usage(team, usage.Usage(running, requests_per_s))

    def usage_of_peers(self, team: str, now_ms: int) -> usage.Usage:
        """Return the usage of a team at the other daemons of the failure domain.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self._usage.usage_of_peers(team, now_ms)

    def announce(self, kind: str, subject: str, expires_in_ms: int, detail: str = "") -> None:
        """Send a notice to all daemons of the failure domain without waiting for a round.

        :param kind: kind of the notice.
        :param subject: subject of the notice.
        :param expires_in_ms: time until it expires.
        :param detail: further information.
        """
        now_ms = self._clock.monotonic_ms()
        self.notices.announce(kind, subject, expires_in_ms, detail, now_ms)
        self.push_changes()

    def read_notices(self, kind: str) -> list[notices.StoredNotice]:
        """Return the unexpired notices of a kind, own ones included.

        :param kind: kind of the notices.
        """
        return self.notices.read(kind, self._clock.monotonic_ms())

    def subscribe_notices(self, kind: str, listener: notices.Listener) -> None:
        """Call a listener with each notice of a kind that peers send.

        :param kind: kind of the notices.
        :param listener: called with each notice.
        """
        self.notices.subscribe(kind, listener)

    def offer_capacity(self, read_capacity: CapacityReader) -> None:
        """Share the free slots of this failure domain with the others.

        :param read_capacity: returns the free slots by model; takes the monotonic time.
        """
        self._read_capacity = read_capacity

    def foreign_capacity(self, model: str, now_ms: int) -> list[domains.ForeignCapacity]:
        """Return the other failure domains with free slots of a model, the most slots first.

        :param model: model.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self._domains.foreign_capacity(model, now_ms)

    # Requests to a single daemon.

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Send a request to a daemon; see `Exchange.ask`."""
        return await self._exchange.ask(peer, kind, body, timeout_ms)

    def serve(self, kind: str, handler: exchange.Handler) -> None:
        """Register a handler for requests of a kind; see `Exchange.serve`."""
        self._exchange.serve(kind, handler)

    def compose_direct(self, kind: composer.Kind, peer: str) -> peers.PeerMessage:
        """Return a message without pending changes; see `exchange.Sender`."""
        return self.gossip.composer.compose(kind, peer, self._clock.monotonic_ms())

    def send_direct(self, peer: str, message: peers.PeerMessage) -> bool:
        """Send a message to a daemon; see `exchange.Sender`."""
        address = self.gossip.find_address(peer)
        if not address:
            return False
        return self._links.send(address, self._codec.encode(message, address))

    def push_changes(self) -> None:
        """Gossip to the next partners now, for changes that cannot wait for the next round."""
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._next_push_at_ms and hasattr(self, "gossip"):
            self._next_push_at_ms = now_ms + MIN_PUSH_INTERVAL_MS
            self._send(self.gossip.push_changes(now_ms))

    def _read_versions(self) -> composer.Versions:
        stamp = self._timeline.stamp()
        return composer.Versions(
            self._bundle_register.version,
            self._layout_transfer.serial,
            stamp.wall_ms,
            stamp.counter,
        )

    def _describe_domain(self, now_ms: int) -> domains.OwnDomain | None:
        if not self.gossip.is_bridge(now_ms):
            return None
        names = self.live()
        bridges = rendezvous.choose_bridges(names)
        contacts = rendezvous.choose(
            rendezvous.CONTACT_KEY_PREFIX + self._settings.failure_domain,
            names,
            domains.CONTACTS_PER_SUMMARY,
        )
        known = (self.gossip.members.find(name) for name in contacts)
        return domains.OwnDomain(
            bridges=[self.gossip.find_address(name) for name in bridges],
            contacts=[status.describe_contact(member.entry) for member in known if member],
            capacity=self._read_capacity(now_ms),
        )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count("peer_tasks_failed_total")
            logging.error("task of the peer service failed: %r", task.exception())

    async def _receive(self) -> None:
        while not self._is_stopping:
            try:
                frame = await self._inbox.receive()
            except pynng.Closed:
                return
            self._metrics.count("peer_messages_received_total")
            self._metrics.count("peer_bytes_received_total", len(frame))
            decoded = self._codec.decode(frame, self.address)
            if isinstance(decoded, result.Err):
                self._metrics.count("peer_messages_dropped_total", reason=decoded.err_value.reason)
                continue
            self._handle_message(decoded.ok_value)

    def _handle_message(self, message: peers.PeerMessage) -> None:
        received = self.gossip.receive(message, self._clock.monotonic_ms())
        self._send(received.replies)
        if received.drop_reason:
            self._metrics.count("peer_messages_dropped_total", reason=received.drop_reason)
            return
        self._timeline.observe(message.wall_ms, message.wall_counter)
        self._links.reset_backoff(self.gossip.find_address(message.sender))
        self._exchange.handle(message, received.delay_ms)
        self._record_states()
        if self._bundle_transfer.should_fetch(message.bundle_version):
            self._start_task(self._fetch_bundle(message.sender, message.bundle_version))
        is_own_domain = message.failure_domain == self._settings.failure_domain
        if is_own_domain and self._layout_transfer.should_fetch(message.layout_serial):
            self._start_task(self._fetch_layout(message.sender, message.layout_serial))

    async def _fetch_bundle(self, peer: str, version: int) -> None:
        await self._bundle_transfer.fetch(peer, version)

    async def _fetch_layout(self, peer: str, serial: int) -> None:
        if await self._layout_transfer.fetch(peer, serial):
            self._apply_layout()
            self.push_changes()

    async def _run_rounds(self) -> None:
        interval_ms = self._settings.peers.round_interval_ms
        while True:
            now_ms = self._clock.monotonic_ms()
            self._apply_layout()
            self._domains.renew_own_summary(now_ms)
            round_result = self.gossip.run_round(now_ms)
            for address in round_result.silent_addresses:
                self._links.reconnect(address)
            self._send(round_result.outgoing)
            self._record_states()
            jitter = self._rng.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            await self._clock.sleep_ms(interval_ms * jitter)

    def _apply_layout(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self.observations.set_layout(self._groups.layout)
        self._duty.update(self.gossip, self._groups.layout, now_ms)
        count = len(self.gossip.members.up())
        self.notices.peer_count = self.observations.peer_count = self._domains.peer_count = count

    def _send(self, outgoing: Sequence[composer.Outgoing]) -> None:
        for item in outgoing:
            if item.address:
                self._links.send(item.address, self._codec.encode(item.message, item.address))

    def _record_states(self) -> None:
        """Record changes of peer states in the timeline and in the metrics."""
        current = {name: member.entry.state for name, member in self.gossip.members.members.items()}
        if current == self._states:
            return
        for name, state in current.items():
            before = self._states.get(name, "unknown")
            if state != before and name != self._settings.name:
                detail = f"{name} is {state}, was {before}"
                self._timeline.record(kinds.EventKind.PEER_STATE, detail)
        self._states = dict(current)
        counted = membership.count_states(self.gossip.members.members.values())
        for label, count in counted.items():
            self._metrics.set_gauge("peers", count, state=label)
