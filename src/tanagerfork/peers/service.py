"""The peers' service: sends and receives what the decisions give, and is what others call."""

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

SPREAD_INTERVAL_MS = 50
LEAVE_MS = 50  # Time in which the last messages of a planned stop go out.
ROUND_JITTER = 0.1

CapacityReader = Callable[[int], Sequence[peers.ModelCapacity]]


class PeerService:
    """Talks to the other daemons.

    :param settings: settings of the daemon.
    :param keys: the shared key, then those that still count.
    :param clock: clock of all tasks and decisions.
    :param rng: source of all random choices.
    :param timeline: time line.
    :param metrics: counters.
    :param bundles: bundle in force.
    :param groups: groups as this daemon knows them.
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
        self._spread_at_ms = 0
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
        self._bundles = transfer.BundleTransfer(bundles, self, clock, timeline, metrics)
        self._layouts = transfer.LayoutTransfer(groups, self, clock, metrics)
        self._register = bundles
        bundles.subscribe(lambda in_force: self.spread())
        self.serve(transfer.HEAD, self._bundles.give_head)
        self.serve(transfer.PART, self._bundles.give_part)
        self.serve(transfer.LAYOUT, self._layouts.give)

    def start(self, callers_url: str, operators_url: str) -> None:
        """Open the listener and start the tasks.

        :param callers_url: address of this daemon's callers' listener.
        :param operators_url: address of this daemon's operators' listener.
        :raises SettingsError: the address cannot be bound.
        """
        chosen = self._settings.peers
        try:
            self._inbox = link.Inbox(chosen.host, chosen.port, codec.MESSAGE_LIMIT_BYTES)
        except pynng.NNGException as error:
            message = f"peers.port: {chosen.host}:{chosen.port} cannot be bound ({error}); free it"
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
                seeds=tuple(chosen.seeds),
                round_interval_ms=chosen.round_interval_ms,
                fanout=chosen.fanout,
                message_bytes=chosen.message_bytes,
                probe_timeout_ms=chosen.probe_timeout_ms,
                suspicion_ms=chosen.suspicion_ms,
                heard_ttl_ms=chosen.heard_ttl_ms,
            ),
            own,
            self._rng,
            (self.notices, self._usage, self.observations, self._domains),
            self._read_marks,
            self._clock.monotonic_ms(),
        )
        self.gossip.bridges_elsewhere = self._domains.bridges_elsewhere
        self.gossip.bridges_here = self._domains.bridges_here
        self._start_task(self._receive())
        self._start_task(self._run_rounds())

    async def stop(self) -> None:
        """Tell the peers that this daemon leaves, and close everything."""
        self._send(self.gossip.leave(self._clock.monotonic_ms()))
        await self._clock.sleep_ms(LEAVE_MS)
        # A receive that completes as it is cancelled loses the cancellation, so the flag and the
        # closed listener have to end that task.
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
        """Return all daemons of the failure domain that are known, gone ones included."""
        return [member for _, member in sorted(self.gossip.members.members.items())]

    def describe_peers(self) -> list[operators.PeerStatus]:
        """Return what operators are told of the other daemons."""
        now_ms = self._clock.monotonic_ms()
        here = [member for member in self.members() if member.entry.name != self._settings.name]
        elsewhere = self._domains.summaries_elsewhere(now_ms)
        return status.describe_peers(self._settings.failure_domain, here, elsewhere, now_ms)

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the head in the key-value service."""
        return self._settings.name in rendezvous.choose_watchers(self.live())

    def is_observed_here(self, vm: str) -> bool:
        """Return whether this daemon should read a VM's report now.

        :param vm: VM.
        """
        return self._duty.is_due(vm, self._clock.monotonic_ms())

    # What is told and heard.

    def note_report(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Have a report told that this daemon read itself.

        :param report: report.
        :param made_at_ms: when it was asked for, by the monotonic clock.
        """
        if self.observations.note_own(report, made_at_ms):
            self.spread()

    def note_usage(self, team: str, running: int, requests_per_s: int) -> None:
        """Have the peers told what a team uses here.

        :param team: team.
        :param running: requests at once.
        :param requests_per_s: rate of the last seconds.
        """
        self._usage.note_own(team, usage.Usage(running, requests_per_s))

    def usage_of_peers(self, team: str, now_ms: int) -> usage.Usage:
        """Return what a team uses at the other daemons of the failure domain.

        :param team: team.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self._usage.usage_of_peers(team, now_ms)

    def announce(self, kind: str, subject: str, expires_in_ms: int, detail: str = "") -> None:
        """Tell all daemons of the failure domain something, at once.

        :param kind: kind of the notice.
        :param subject: who or what it is about.
        :param expires_in_ms: time for which it counts.
        :param detail: more about it.
        """
        now_ms = self._clock.monotonic_ms()
        self.notices.announce(kind, subject, expires_in_ms, detail, now_ms)
        self.spread()

    def read_notices(self, kind: str) -> list[notices.HeardNotice]:
        """Return the notices of a kind that count, own ones included.

        :param kind: kind of the notices.
        """
        return self.notices.read(kind, self._clock.monotonic_ms())

    def subscribe_notices(self, kind: str, listener: notices.Listener) -> None:
        """Have notices of a kind told that come from peers.

        :param kind: kind of the notices.
        :param listener: called with each.
        """
        self.notices.subscribe(kind, listener)

    def offer_capacity(self, read_capacity: CapacityReader) -> None:
        """Have other failure domains told the free slots of this one.

        :param read_capacity: returns the free slots by model at a monotonic time.
        """
        self._read_capacity = read_capacity

    def capacity_elsewhere(self, model: str, now_ms: int) -> list[domains.CapacityElsewhere]:
        """Return where else a model has free slots, the most first.

        :param model: model.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self._domains.capacity_elsewhere(model, now_ms)

    # Asking one daemon.

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Ask a daemon; see `Exchange.ask`."""
        return await self._exchange.ask(peer, kind, body, timeout_ms)

    def serve(self, kind: str, handler: exchange.Handler) -> None:
        """Have asks of a kind answered; see `Exchange.serve`."""
        self._exchange.serve(kind, handler)

    def compose_direct(self, kind: composer.Kind, peer: str) -> peers.PeerMessage:
        """Return a message without changes; see `exchange.Sender`."""
        return self.gossip.composer.compose(kind, peer, self._clock.monotonic_ms())

    def send_direct(self, peer: str, message: peers.PeerMessage) -> bool:
        """Send a message to a daemon; see `exchange.Sender`."""
        address = self.gossip.find_address(peer)
        if not address:
            return False
        return self._links.send(address, self._codec.encode(message, address))

    def spread(self) -> None:
        """Tell the next partners now, for news that cannot wait for the next round."""
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._spread_at_ms and hasattr(self, "gossip"):
            self._spread_at_ms = now_ms + SPREAD_INTERVAL_MS
            self._send(self.gossip.spread(now_ms))

    def _read_marks(self) -> composer.Marks:
        stamp = self._timeline.stamp()
        return composer.Marks(
            self._register.version, self._layouts.serial, stamp.wall_ms, stamp.counter
        )

    def _describe_domain(self, now_ms: int) -> domains.OwnDomain | None:
        if not self.gossip.is_bridge(now_ms):
            return None
        names = self.live()
        bridges = rendezvous.choose_bridges(names)
        contacts = rendezvous.choose(
            rendezvous.CONTACT + self._settings.failure_domain, names, domains.CONTACTS_TOLD
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
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count("peer_tasks_failed_total")
            logging.error("a task of the peers' service failed: %r", task.exception())

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
            self._take(decoded.ok_value)

    def _take(self, message: peers.PeerMessage) -> None:
        received = self.gossip.receive(message, self._clock.monotonic_ms())
        self._send(received.replies)
        if received.dropped:
            self._metrics.count("peer_messages_dropped_total", reason=received.dropped)
            return
        self._timeline.observe(message.wall_ms, message.wall_counter)
        self._links.note_heard(self.gossip.find_address(message.sender))
        self._exchange.take(message, received.delay_ms)
        self._note_states()
        if self._bundles.is_wanted(message.bundle_version):
            self._start_task(self._fetch_bundle(message.sender, message.bundle_version))
        is_own_domain = message.failure_domain == self._settings.failure_domain
        if is_own_domain and self._layouts.is_wanted(message.layout_serial):
            self._start_task(self._fetch_layout(message.sender, message.layout_serial))

    async def _fetch_bundle(self, peer: str, version: int) -> None:
        await self._bundles.fetch(peer, version)

    async def _fetch_layout(self, peer: str, serial: int) -> None:
        if await self._layouts.fetch(peer, serial):
            self._follow_layout()
            self.spread()

    async def _run_rounds(self) -> None:
        interval_ms = self._settings.peers.round_interval_ms
        while True:
            now_ms = self._clock.monotonic_ms()
            self._follow_layout()
            self._domains.renew(now_ms)
            taken = self.gossip.run_round(now_ms)
            for address in taken.silent:
                self._links.renew(address)
            self._send(taken.outgoing)
            self._note_states()
            jitter = self._rng.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            await self._clock.sleep_ms(interval_ms * jitter)

    def _follow_layout(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self.observations.follow(self._groups.layout)
        self._duty.update(self.gossip, self._groups.layout, now_ms)
        count = len(self.gossip.members.up())
        self.notices.peers = self.observations.peers = self._domains.peers = count

    def _send(self, outgoing: Sequence[composer.Outgoing]) -> None:
        for item in outgoing:
            if item.address:
                self._links.send(item.address, self._codec.encode(item.message, item.address))

    def _note_states(self) -> None:
        """Put changes of the peers' states on the time line."""
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
