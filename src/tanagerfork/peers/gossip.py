"""Gossip: what a daemon sends each round, and what it makes of what it receives."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from tanagerfork.generated import peers
from tanagerfork.peers import composer, freshness, membership, rendezvous
from tanagerfork.peers import contact as contacts
from tanagerfork.peers import topic as topic_interfaces

RELAYS = 3
SETTLED_MS = 2000  # Membership that changed within this time may still differ between daemons.
SYNC_INTERVAL_MS = 3000
RETRY_INTERVAL_MS = 5000
BRIDGE_INTERVAL_MS = 1000
PAUSE_ROUNDS = 4

UNPROVEN = "unproven"
STALE = "stale"
REPLAYED = "replayed"
OLD_INCARNATION = "old_incarnation"
OWN_NAME = "own_name"

ANSWERED_KINDS = ("gossip", "relay", "ask")


@dataclasses.dataclass(slots=True)
class Received:
    """What came of a message: why it was dropped, or the longest time it can have travelled."""

    dropped: str = ""
    delay_ms: int = 0
    replies: list[composer.Outgoing] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Round:
    """What a round sends, and the addresses whose links were silent."""

    outgoing: list[composer.Outgoing] = dataclasses.field(default_factory=list)
    silent: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class GossipSettings:
    """Rates and bounds of the gossip."""

    failure_domain: str
    seeds: tuple[str, ...] = ()
    round_interval_ms: int = 250
    fanout: int = 1
    message_bytes: int = 240
    probe_timeout_ms: int = 400
    suspicion_ms: int = 1000
    heard_ttl_ms: int = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class _Relay:
    asker: str
    asked_at_ms: int


class Gossip:
    """Decides over explicit time; sending and receiving is left to others.

    :param settings: rates and bounds.
    :param own: entry of this daemon.
    :param rng: source of the random choices.
    :param topics: contents besides membership, the most urgent first.
    :param read_marks: returns the versions and the hybrid time of this daemon.
    :param now_ms: monotonic clock, in milliseconds.
    """

    def __init__(
        self,
        settings: GossipSettings,
        own: peers.PeerEntry,
        rng: random.Random,
        topics: Sequence[topic_interfaces.Topic],
        read_marks: Callable[[], composer.Marks],
        now_ms: int,
    ) -> None:
        self.members = membership.Membership(own, settings.suspicion_ms, now_ms)
        self.bridges_elsewhere: Callable[[int], Sequence[str]] = lambda now_ms: ()
        self.bridges_here: Callable[[int], Sequence[str]] = lambda now_ms: ()
        self._settings = settings
        self._rng = rng
        self._topics = topics
        self._stamps = freshness.Stamps(rng, now_ms)
        self._contacts = contacts.ContactBook(settings.probe_timeout_ms)
        self.composer = composer.Composer(
            settings.failure_domain,
            settings.message_bytes,
            self.members,
            self._contacts,
            self._stamps,
            topics,
            read_marks,
        )
        self._relays: dict[str, list[_Relay]] = {}
        self._foreign_addresses: set[str] = set()
        self._queue: list[str] = []
        self._started_at_ms = now_ms
        self._round_at_ms = now_ms
        self._settled_at_ms = now_ms
        self._digest = self.members.digest()
        self._sync_at_ms = now_ms
        self._retry_at_ms = now_ms
        self._bridge_at_ms = now_ms
        self._heard_at_ms: int | None = None

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self.members.own.name

    def is_alone(self, now_ms: int) -> bool:
        """Return whether no peer of the failure domain was heard within the TTL.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self._heard_at_ms is None:
            return True
        return now_ms - self._heard_at_ms > self._settings.heard_ttl_ms

    def live(self, now_ms: int) -> list[str]:
        """Return the daemons to share work with; this one only while it hears nobody.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return [self.name] if self.is_alone(now_ms) else self.members.up()

    def is_bridge(self, now_ms: int) -> bool:
        """Return whether this daemon talks to other failure domains.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.name in rendezvous.choose_bridges(self.live(now_ms))

    def find_address(self, name: str) -> str:
        """Return where a daemon listens for peers; empty where that is not known.

        :param name: daemon.
        """
        member = self.members.find(name)
        if member is not None:
            return member.entry.address
        known = self._contacts.find(name)
        return known.address if known else ""

    def run_round(self, now_ms: int) -> Round:
        """Take one round.

        :param now_ms: monotonic clock, in milliseconds.
        :return: messages to send and links that were silent.
        """
        self._check_pause(now_ms)
        taken = self._judge_probes(now_ms)
        for name in self.members.expire(now_ms):
            self.composer.offer(name)
        self._note_membership(now_ms)
        taken.outgoing += self.spread(now_ms)
        taken.outgoing += self._retry_lost(now_ms)
        taken.outgoing += self._contact_elsewhere(now_ms)
        return taken

    def spread(self, now_ms: int) -> list[composer.Outgoing]:
        """Tell the next partners; between rounds only for news that cannot wait.

        :param now_ms: monotonic clock, in milliseconds.
        :return: messages to send.
        """
        outgoing: list[composer.Outgoing] = []
        for name in self._choose_partners():
            outgoing += self._probe(name, now_ms)
        return outgoing

    def leave(self, now_ms: int) -> list[composer.Outgoing]:
        """Tell all partners that this daemon stops.

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

    def receive(self, message: peers.PeerMessage, now_ms: int) -> Received:
        """Take a message in.

        :param message: authentic message.
        :param now_ms: monotonic clock, in milliseconds.
        :return: what came of it.
        """
        if message.sender == self.name:
            return Received(OWN_NAME)
        contact = self._contacts.add(
            message.sender, message.failure_domain, message.incarnation, now_ms
        )
        if message.incarnation < contact.clock.incarnation:
            return Received(OLD_INCARNATION, replies=self._correct(message, contact, now_ms))
        if message.incarnation > contact.clock.incarnation:
            contact.clock = freshness.PeerClock(message.incarnation)
            contact.knows_us = False
        echoed_at_ms = self._stamps.find(message.echo_ms)
        delay_ms = contact.clock.hear(message.sent_ms, echoed_at_ms, message.echo_held_ms, now_ms)
        if delay_ms is None or delay_ms > self._longest_delay_ms(now_ms):
            dropped = UNPROVEN if delay_ms is None else STALE
            return Received(dropped, replies=self._greet(message, contact, now_ms))
        if contact.clock.is_repeated(message.sequence):
            return Received(REPLAYED)
        self._take_proven(message, contact, delay_ms, now_ms)
        replies = self._reply(message, contact, now_ms)
        replies += self._vouch(message.sender, now_ms - delay_ms, now_ms)
        return Received(delay_ms=delay_ms, replies=replies)

    def _is_up(self, name: str) -> bool:
        member = self.members.find(name)
        return member is not None and member.is_up

    def _longest_delay_ms(self, now_ms: int) -> int:
        """Return the delay past which a message is too old, or was meant for a former run."""
        return min(self._settings.heard_ttl_ms, now_ms - self._started_at_ms)

    def _check_pause(self, now_ms: int) -> None:
        """Blame no peer for the time that this daemon itself was paused."""
        gap_ms = now_ms - self._round_at_ms
        self._round_at_ms = now_ms
        if gap_ms > PAUSE_ROUNDS * self._settings.round_interval_ms:
            self.members.postpone(gap_ms)
            self._contacts.end_probes()

    def _note_membership(self, now_ms: int) -> None:
        digest = self.members.digest()
        if digest != self._digest:
            self._digest, self._settled_at_ms = digest, now_ms + SETTLED_MS

    def _choose_partners(self) -> list[str]:
        partners = self.members.ring().partners()
        self._queue = [name for name in self._queue if name in partners]
        if len(self._queue) < self._settings.fanout:
            rest = [name for name in partners if name not in self._queue]
            self._queue += self._rng.sample(rest, len(rest))
        chosen = self._queue[: self._settings.fanout]
        del self._queue[: self._settings.fanout]
        return chosen

    def _probe(self, name: str, now_ms: int) -> list[composer.Outgoing]:
        member = self.members.find(name)
        incarnation = member.entry.incarnation if member else 0
        contact = self._contacts.add(name, self._settings.failure_domain, incarnation, now_ms)
        contact.start_probe(now_ms)
        message = self.composer.compose("gossip", name, now_ms, self.composer.room(contact))
        return [composer.Outgoing(self.find_address(name), message)]

    def _judge_probes(self, now_ms: int) -> Round:
        judged = Round()
        overdue = self._contacts.take_overdue(now_ms)
        for contact in overdue.to_relay:
            if self._is_up(contact.name):
                judged.silent.append(self.find_address(contact.name))
                judged.outgoing += self._ask_relays(contact.name, now_ms)
        for contact in overdue.to_suspect:
            if self.members.suspect(contact.name, now_ms):
                self.composer.offer(contact.name)
        return judged

    def _ask_relays(self, name: str, now_ms: int) -> list[composer.Outgoing]:
        relays = [
            contact.name for contact in self._contacts.answering() if self._is_up(contact.name)
        ]
        outgoing = []
        for relay in self._rng.sample(relays, min(RELAYS, len(relays))):
            message = self.composer.compose("relay", relay, now_ms)
            message.subject = name
            outgoing.append(composer.Outgoing(self.find_address(relay), message))
        return outgoing

    def _retry_lost(self, now_ms: int) -> list[composer.Outgoing]:
        """Try seeds and dead daemons now and then, so that a healed partition is noticed."""
        if self.members.others() and now_ms < self._retry_at_ms:
            return []
        jitter_ms = self._rng.randrange(RETRY_INTERVAL_MS)
        self._retry_at_ms = now_ms + RETRY_INTERVAL_MS // 2 + jitter_ms
        up = {self.find_address(name) for name in self.members.up()}
        lost = [member.entry.address for member in self.members.gone()]
        lost += self.bridges_here(now_ms)
        lost += [seed for seed in self._settings.seeds if seed not in self._foreign_addresses]
        return self._contact_one([address for address in lost if address not in up], now_ms)

    def _contact_elsewhere(self, now_ms: int) -> list[composer.Outgoing]:
        """Talk to a bridge of another failure domain, as a bridge."""
        if now_ms < self._bridge_at_ms or not self.is_bridge(now_ms):
            return []
        self._bridge_at_ms = now_ms + BRIDGE_INTERVAL_MS
        known = list(self.bridges_elsewhere(now_ms)) or sorted(self._foreign_addresses)
        return self._contact_one(known, now_ms)

    def _contact_one(self, addresses: Sequence[str], now_ms: int) -> list[composer.Outgoing]:
        own_address = self.members.own.address
        usable = [address for address in addresses if address not in ("", own_address)]
        if not usable:
            return []
        address = self._rng.choice(usable)
        contact = self._contacts.find_by_address(address)
        name = contact.name if contact else ""
        room_bytes = self.composer.room(contact) if self.composer.is_foreign(contact) else 0
        return [
            composer.Outgoing(address, self.composer.compose("gossip", name, now_ms, room_bytes))
        ]

    def _greet(
        self, message: peers.PeerMessage, contact: contacts.Contact, now_ms: int
    ) -> list[composer.Outgoing]:
        """Answer a message that proves nothing, so that the next one can."""
        contact.address = message.address or contact.address
        address = message.address or self.find_address(message.sender)
        if message.kind not in ANSWERED_KINDS or not address or not contact.may_greet(now_ms):
            return []
        is_own_domain = message.failure_domain == self._settings.failure_domain
        wants_all = is_own_domain and message.digest != self.members.digest()
        return [
            composer.Outgoing(
                address, self.composer.compose("hello", message.sender, now_ms, wants_all=wants_all)
            )
        ]

    def _correct(
        self, message: peers.PeerMessage, contact: contacts.Contact, now_ms: int
    ) -> list[composer.Outgoing]:
        """Tell a daemon that restarted with a lower incarnation which one it has to exceed."""
        address = message.address or self.find_address(message.sender)
        if message.kind not in ANSWERED_KINDS or not address or not contact.may_greet(now_ms):
            return []
        hello = self.composer.compose("hello", message.sender, now_ms)
        hello.echo_ms, hello.echo_held_ms = message.sent_ms, 0
        hello.entries = [
            peers.PeerEntry(
                name=message.sender, incarnation=contact.clock.incarnation, state=membership.DEAD
            )
        ]
        return [composer.Outgoing(address, hello)]

    def _take_proven(
        self, message: peers.PeerMessage, contact: contacts.Contact, delay_ms: int, now_ms: int
    ) -> None:
        contact.failure_domain = message.failure_domain
        contact.address = message.address or contact.address
        contact.note_heard(now_ms - delay_ms, now_ms)
        if message.kind == "ack" and message.subject:
            vouched = self._contacts.find(message.subject)
            if vouched is not None:
                vouched.end_probe()
        if self.composer.is_foreign(contact):
            self._foreign_addresses.update({contact.address} - {""})
        else:
            self._heard_at_ms = now_ms
            self._take_entries(message, delay_ms, now_ms)
        for topic in self._topics:
            topic.take(message, delay_ms, now_ms)

    def _take_entries(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        was_joined = bool(self.members.others())
        for entry in message.entries:
            entry.age_ms += delay_ms
            is_news = self.members.merge(entry, now_ms)
            if is_news and (was_joined or entry.name in (self.name, message.sender)):
                self.composer.offer(entry.name, bool(entry.address))
        self.members.note_heard(message.sender, now_ms - delay_ms, message.bundle_version)
        self._note_membership(now_ms)

    def _reply(
        self, message: peers.PeerMessage, contact: contacts.Contact, now_ms: int
    ) -> list[composer.Outgoing]:
        address = contact.address or self.find_address(message.sender)
        room_bytes = self.composer.room(contact)
        differs = not self.composer.is_foreign(contact) and message.digest != self.members.digest()
        if message.kind == "gossip":
            wants_all = differs and self._may_sync(now_ms)
            ack = self.composer.compose("ack", message.sender, now_ms, room_bytes, wants_all)
            return [composer.Outgoing(address, ack)]
        if message.kind == "hello":
            gossip = self.composer.compose("gossip", message.sender, now_ms, room_bytes, differs)
            return [composer.Outgoing(address, gossip)]
        if message.kind == "ack" and message.wanted:
            return [
                composer.Outgoing(address, self.composer.compose("ack", message.sender, now_ms))
            ]
        if message.kind == "relay" and self._is_up(message.subject):
            relay = _Relay(message.sender, now_ms)
            self._relays.setdefault(message.subject, []).append(relay)
            return self._probe(message.subject, now_ms)
        return []

    def _may_sync(self, now_ms: int) -> bool:
        if now_ms < max(self._settled_at_ms, self._sync_at_ms):
            return False
        self._sync_at_ms = now_ms + SYNC_INTERVAL_MS
        return True

    def _vouch(self, name: str, sent_at_ms: int, now_ms: int) -> list[composer.Outgoing]:
        """Tell those who asked that a daemon was heard after they asked."""
        outgoing = []
        for relay in self._relays.pop(name, ()):
            if sent_at_ms >= relay.asked_at_ms:
                message = self.composer.compose("ack", relay.asker, now_ms)
                message.subject = name
                outgoing.append(composer.Outgoing(self.find_address(relay.asker), message))
            elif now_ms - relay.asked_at_ms < 2 * self._settings.probe_timeout_ms:
                self._relays.setdefault(name, []).append(relay)
        return outgoing
