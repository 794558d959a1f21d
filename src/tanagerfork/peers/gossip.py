"""Gossip protocol: composes the messages of each round and processes received messages."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from tanagerfork.generated import peers
from tanagerfork.peers import composer, freshness, membership, rendezvous
from tanagerfork.peers import contact as contacts
from tanagerfork.peers import topic as topic_interfaces

MAX_RELAYS_PER_PROBE = 3  # Peers asked to probe a daemon that did not answer directly.
SETTLE_TIME_MS = 2000  # A membership change this recent may not have reached every daemon yet.
SYNC_INTERVAL_MS = 3000  # Minimum time between full synchronizations.
RETRY_INTERVAL_MS = 5000
BRIDGE_INTERVAL_MS = 1000
PAUSE_THRESHOLD_ROUNDS = 4  # A longer gap between rounds means that this process was paused.

UNPROVEN = "unproven"
STALE = "stale"
REPLAYED = "replayed"
OLD_INCARNATION = "old_incarnation"
OWN_NAME = "own_name"

# Messages of these kinds are answered with a hello if their age is not proven.
HELLO_REPLY_KINDS = ("gossip", "relay", "ask")


@dataclasses.dataclass(slots=True)
class ReceiveResult:
    """Result of a received message: why it was dropped, or the upper bound of its delay."""

    drop_reason: str = ""
    delay_ms: int = 0
    replies: list[composer.Outgoing] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RoundResult:
    """Messages that a round sends, and the addresses of peers that did not answer a probe."""

    outgoing: list[composer.Outgoing] = dataclasses.field(default_factory=list)
    silent_addresses: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class GossipSettings:
    """Rates and limits of the gossip protocol."""

    failure_domain: str
    seeds: tuple[str, ...] = ()
    round_interval_ms: int = 250
    fanout: int = 1
    message_bytes: int = 240
    probe_timeout_ms: int = 400
    suspicion_ms: int = 1000
    heard_ttl_ms: int = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class _RelayRequest:
    requester: str
    requested_at_ms: int


class Gossip:
    """Protocol state machine without I/O: callers pass the time and carry the messages.

    :param settings: rates and limits.
    :param own: entry of this daemon.
    :param rng: source of the random choices.
    :param topics: further content of the messages, the most urgent first.
    :param read_versions: returns the versions and the hybrid time of this daemon.
    :param now_ms: monotonic clock, in milliseconds.
    """

    def __init__(
        self,
        settings: GossipSettings,
        own: peers.PeerEntry,
        rng: random.Random,
        topics: Sequence[topic_interfaces.Topic],
        read_versions: Callable[[], composer.Versions],
        now_ms: int,
    ) -> None:
        self.members = membership.Membership(own, settings.suspicion_ms, now_ms)
        self.foreign_bridges: Callable[[int], Sequence[str]] = lambda now_ms: ()
        self.own_bridges: Callable[[int], Sequence[str]] = lambda now_ms: ()
        self._settings = settings
        self._rng = rng
        self._topics = topics
        self._stamps = freshness.SentStamps(rng, now_ms)
        self._contact_book = contacts.ContactBook(settings.probe_timeout_ms)
        self.composer = composer.Composer(
            settings.failure_domain,
            settings.message_bytes,
            self.members,
            self._contact_book,
            self._stamps,
            topics,
            read_versions,
        )
        self._relay_requests: dict[str, list[_RelayRequest]] = {}
        self._foreign_addresses: set[str] = set()
        self._partner_queue: list[str] = []
        self._started_at_ms = now_ms
        self._last_round_at_ms = now_ms
        self._settled_at_ms = now_ms
        self._digest = self.members.digest()
        self._next_sync_at_ms = now_ms
        self._next_retry_at_ms = now_ms
        self._next_bridge_at_ms = now_ms
        self._last_heard_at_ms: int | None = None

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self.members.own.name

    def is_alone(self, now_ms: int) -> bool:
        """Return whether no message of a peer in the failure domain arrived within the TTL.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self._last_heard_at_ms is None:
            return True
        return now_ms - self._last_heard_at_ms > self._settings.heard_ttl_ms

    def live(self, now_ms: int) -> list[str]:
        """Return the daemons to share work with; only this one while no peer is heard.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return [self.name] if self.is_alone(now_ms) else self.members.up()

    def is_bridge(self, now_ms: int) -> bool:
        """Return whether this daemon exchanges messages with other failure domains.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.name in rendezvous.choose_bridges(self.live(now_ms))

    def find_address(self, name: str) -> str:
        """Return the peer address of a daemon; empty if unknown.

        :param name: daemon.
        """
        member = self.members.find(name)
        if member is not None:
            return member.entry.address
        known = self._contact_book.find(name)
        return known.address if known else ""

    def run_round(self, now_ms: int) -> RoundResult:
        """Run one gossip round.

        :param now_ms: monotonic clock, in milliseconds.
        :return: messages to send and addresses of peers that did not answer.
        """
        self._adjust_for_pause(now_ms)
        round_result = self._check_probes(now_ms)
        for name in self.members.expire(now_ms):
            self.composer.queue_change(name)
        self._update_digest(now_ms)
        round_result.outgoing += self.push_changes(now_ms)
        round_result.outgoing += self._contact_lost_peers(now_ms)
        round_result.outgoing += self._contact_foreign_domain(now_ms)
        return round_result

    def push_changes(self, now_ms: int) -> list[composer.Outgoing]:
        """Gossip to the next partners; called between rounds only for urgent changes.

        :param now_ms: monotonic clock, in milliseconds.
        :return: messages to send.
        """
        outgoing: list[composer.Outgoing] = []
        for name in self._choose_partners():
            outgoing += self._probe(name, now_ms)
        return outgoing

    def leave(self, now_ms: int) -> list[composer.Outgoing]:
        """Mark this daemon as left and announce that to all partners.

        :param now_ms: monotonic clock, in milliseconds.
        :return: messages to send.
        """
        partners = self.members.ring().partners()
        self.members.leave(now_ms)
        outgoing = []
        for name in partners:
            message = self.composer.compose("ack", name, now_ms)
            message.entries = [self.members.own]
            outgoing.append(composer.Outgoing(self.find_address(name), message))
        return outgoing

    def receive(self, message: peers.PeerMessage, now_ms: int) -> ReceiveResult:
        """Process a received message.

        :param message: authenticated message.
        :param now_ms: monotonic clock, in milliseconds.
        :return: drop reason or delay, and the replies to send.
        """
        if message.sender == self.name:
            return ReceiveResult(OWN_NAME)
        contact = self._contact_book.add(
            message.sender, message.failure_domain, message.incarnation, now_ms
        )
        if message.incarnation < contact.clock.incarnation:
            return ReceiveResult(
                OLD_INCARNATION, replies=self._compose_correction(message, contact, now_ms)
            )
        if message.incarnation > contact.clock.incarnation:
            contact.clock = freshness.PeerClock(message.incarnation)
            contact.knows_this_daemon = False
        echo_issued_at_ms = self._stamps.find(message.echo_ms)
        delay_ms = contact.clock.measure_delay(
            message.sent_ms, echo_issued_at_ms, message.echo_held_ms, now_ms
        )
        if delay_ms is None or delay_ms > self._max_delay_ms(now_ms):
            drop_reason = UNPROVEN if delay_ms is None else STALE
            return ReceiveResult(drop_reason, replies=self._compose_hello(message, contact, now_ms))
        if contact.clock.check_replay(message.sequence):
            return ReceiveResult(REPLAYED)
        self._accept(message, contact, delay_ms, now_ms)
        replies = self._reply(message, contact, now_ms)
        replies += self._acknowledge_relays(message.sender, now_ms - delay_ms, now_ms)
        return ReceiveResult(delay_ms=delay_ms, replies=replies)

    def _is_up(self, name: str) -> bool:
        member = self.members.find(name)
        return member is not None and member.is_up

    def _max_delay_ms(self, now_ms: int) -> int:
        """Return the delay past which a message is stale or was sent to a previous run."""
        return min(self._settings.heard_ttl_ms, now_ms - self._started_at_ms)

    def _adjust_for_pause(self, now_ms: int) -> None:
        """Extend suspicions and cancel probes after a pause of this process."""
        gap_ms = now_ms - self._last_round_at_ms
        self._last_round_at_ms = now_ms
        if gap_ms > PAUSE_THRESHOLD_ROUNDS * self._settings.round_interval_ms:
            self.members.extend_suspicions(gap_ms)
            self._contact_book.end_probes()

    def _update_digest(self, now_ms: int) -> None:
        digest = self.members.digest()
        if digest != self._digest:
            self._digest, self._settled_at_ms = digest, now_ms + SETTLE_TIME_MS

    def _choose_partners(self) -> list[str]:
        partners = self.members.ring().partners()
        self._partner_queue = [name for name in self._partner_queue if name in partners]
        if len(self._partner_queue) < self._settings.fanout:
            rest = [name for name in partners if name not in self._partner_queue]
            self._partner_queue += self._rng.sample(rest, len(rest))
        chosen = self._partner_queue[: self._settings.fanout]
        del self._partner_queue[: self._settings.fanout]
        return chosen

    def _probe(self, name: str, now_ms: int) -> list[composer.Outgoing]:
        member = self.members.find(name)
        incarnation = member.entry.incarnation if member else 0
        contact = self._contact_book.add(name, self._settings.failure_domain, incarnation, now_ms)
        contact.start_probe(now_ms)
        message = self.composer.compose(
            "gossip", name, now_ms, self.composer.message_budget(contact)
        )
        return [composer.Outgoing(self.find_address(name), message)]

    def _check_probes(self, now_ms: int) -> RoundResult:
        round_result = RoundResult()
        overdue = self._contact_book.take_overdue(now_ms)
        for contact in overdue.to_relay:
            if self._is_up(contact.name):
                round_result.silent_addresses.append(self.find_address(contact.name))
                round_result.outgoing += self._request_relays(contact.name, now_ms)
        for contact in overdue.to_suspect:
            if self.members.suspect(contact.name, now_ms):
                self.composer.queue_change(contact.name)
        return round_result

    def _request_relays(self, name: str, now_ms: int) -> list[composer.Outgoing]:
        relays = [
            contact.name for contact in self._contact_book.responsive() if self._is_up(contact.name)
        ]
        outgoing = []
        for relay in self._rng.sample(relays, min(MAX_RELAYS_PER_PROBE, len(relays))):
            message = self.composer.compose("relay", relay, now_ms)
            message.subject = name
            outgoing.append(composer.Outgoing(self.find_address(relay), message))
        return outgoing

    def _contact_lost_peers(self, now_ms: int) -> list[composer.Outgoing]:
        """Contact a seed or dead daemon periodically, so that a healed partition is detected."""
        if self.members.others() and now_ms < self._next_retry_at_ms:
            return []
        jitter_ms = self._rng.randrange(RETRY_INTERVAL_MS)
        self._next_retry_at_ms = now_ms + RETRY_INTERVAL_MS // 2 + jitter_ms
        up = {self.find_address(name) for name in self.members.up()}
        lost = [member.entry.address for member in self.members.dead()]
        lost += self.own_bridges(now_ms)
        lost += [seed for seed in self._settings.seeds if seed not in self._foreign_addresses]
        return self._contact_random_address(
            [address for address in lost if address not in up], now_ms
        )

    def _contact_foreign_domain(self, now_ms: int) -> list[composer.Outgoing]:
        """Gossip with a bridge of another failure domain if this daemon is a bridge."""
        if now_ms < self._next_bridge_at_ms or not self.is_bridge(now_ms):
            return []
        self._next_bridge_at_ms = now_ms + BRIDGE_INTERVAL_MS
        known = list(self.foreign_bridges(now_ms)) or sorted(self._foreign_addresses)
        return self._contact_random_address(known, now_ms)

    def _contact_random_address(
        self, addresses: Sequence[str], now_ms: int
    ) -> list[composer.Outgoing]:
        own_address = self.members.own.address
        usable = [address for address in addresses if address not in ("", own_address)]
        if not usable:
            return []
        address = self._rng.choice(usable)
        contact = self._contact_book.find_by_address(address)
        name = contact.name if contact else ""
        budget_bytes = (
            self.composer.message_budget(contact) if self.composer.is_foreign(contact) else 0
        )
        return [
            composer.Outgoing(address, self.composer.compose("gossip", name, now_ms, budget_bytes))
        ]

    def _compose_hello(
        self, message: peers.PeerMessage, contact: contacts.Contact, now_ms: int
    ) -> list[composer.Outgoing]:
        """Answer a message whose age is not proven with a stamp that its sender can echo."""
        contact.address = message.address or contact.address
        address = message.address or self.find_address(message.sender)
        if (
            message.kind not in HELLO_REPLY_KINDS
            or not address
            or not contact.reserve_hello(now_ms)
        ):
            return []
        is_own_domain = message.failure_domain == self._settings.failure_domain
        is_full_sync = is_own_domain and message.digest != self.members.digest()
        return [
            composer.Outgoing(
                address,
                self.composer.compose("hello", message.sender, now_ms, is_full_sync=is_full_sync),
            )
        ]

    def _compose_correction(
        self, message: peers.PeerMessage, contact: contacts.Contact, now_ms: int
    ) -> list[composer.Outgoing]:
        """Send a daemon that restarted with a lower incarnation the one that it has to exceed."""
        address = message.address or self.find_address(message.sender)
        if (
            message.kind not in HELLO_REPLY_KINDS
            or not address
            or not contact.reserve_hello(now_ms)
        ):
            return []
        hello = self.composer.compose("hello", message.sender, now_ms)
        hello.echo_ms, hello.echo_held_ms = message.sent_ms, 0
        hello.entries = [
            peers.PeerEntry(
                name=message.sender, incarnation=contact.clock.incarnation, state=membership.DEAD
            )
        ]
        return [composer.Outgoing(address, hello)]

    def _accept(
        self, message: peers.PeerMessage, contact: contacts.Contact, delay_ms: int, now_ms: int
    ) -> None:
        contact.failure_domain = message.failure_domain
        contact.address = message.address or contact.address
        contact.record_message(now_ms - delay_ms, now_ms)
        if message.kind == "ack" and message.subject:
            probed = self._contact_book.find(message.subject)
            if probed is not None:
                probed.end_probe()
        if self.composer.is_foreign(contact):
            self._foreign_addresses.update({contact.address} - {""})
        else:
            self._last_heard_at_ms = now_ms
            self._merge_entries(message, delay_ms, now_ms)
        for topic in self._topics:
            topic.apply(message, delay_ms, now_ms)

    def _merge_entries(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        was_joined = bool(self.members.others())
        for entry in message.entries:
            entry.age_ms += delay_ms
            is_changed = self.members.merge(entry, now_ms)
            if is_changed and (was_joined or entry.name in (self.name, message.sender)):
                self.composer.queue_change(entry.name, bool(entry.address))
        self.members.record_heard(message.sender, now_ms - delay_ms, message.bundle_version)
        self._update_digest(now_ms)

    def _reply(
        self, message: peers.PeerMessage, contact: contacts.Contact, now_ms: int
    ) -> list[composer.Outgoing]:
        address = contact.address or self.find_address(message.sender)
        budget_bytes = self.composer.message_budget(contact)
        differs = not self.composer.is_foreign(contact) and message.digest != self.members.digest()
        if message.kind == "gossip":
            is_full_sync = differs and self._start_sync(now_ms)
            ack = self.composer.compose("ack", message.sender, now_ms, budget_bytes, is_full_sync)
            return [composer.Outgoing(address, ack)]
        if message.kind == "hello":
            gossip = self.composer.compose("gossip", message.sender, now_ms, budget_bytes, differs)
            return [composer.Outgoing(address, gossip)]
        if message.kind == "ack" and message.wanted:
            return [
                composer.Outgoing(address, self.composer.compose("ack", message.sender, now_ms))
            ]
        if message.kind == "relay" and self._is_up(message.subject):
            relay = _RelayRequest(message.sender, now_ms)
            self._relay_requests.setdefault(message.subject, []).append(relay)
            return self._probe(message.subject, now_ms)
        return []

    def _start_sync(self, now_ms: int) -> bool:
        if now_ms < max(self._settled_at_ms, self._next_sync_at_ms):
            return False
        self._next_sync_at_ms = now_ms + SYNC_INTERVAL_MS
        return True

    def _acknowledge_relays(
        self, name: str, sent_at_ms: int, now_ms: int
    ) -> list[composer.Outgoing]:
        """Acknowledge relayed probes of a daemon that sent a message after they were requested."""
        outgoing = []
        for relay in self._relay_requests.pop(name, ()):
            if sent_at_ms >= relay.requested_at_ms:
                message = self.composer.compose("ack", relay.requester, now_ms)
                message.subject = name
                outgoing.append(composer.Outgoing(self.find_address(relay.requester), message))
            elif now_ms - relay.requested_at_ms < 2 * self._settings.probe_timeout_ms:
                self._relay_requests.setdefault(name, []).append(relay)
        return outgoing
