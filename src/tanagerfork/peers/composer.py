"""Composer: builds the messages of a daemon."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Literal

from tanagerfork.generated import peers
from tanagerfork.peers import contact as contacts
from tanagerfork.peers import dissemination, freshness, membership
from tanagerfork.peers import topic as topic_interfaces

HEADER_BYTES = 88
ENTRY_BYTES = 110
CHANGE_BYTES = 30
FOREIGN_ROOM = 4  # Messages to another failure domain are rarer and may be larger by this factor.

Kind = Literal["gossip", "ack", "hello", "relay", "ask", "answer"]


@dataclasses.dataclass(slots=True, frozen=True)
class Outgoing:
    """A message to send."""

    address: str
    message: peers.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Marks:
    """Marks and hybrid time that ride on every message."""

    bundle_version: int = 0
    layout_serial: int = 0
    wall_ms: int = 0
    wall_counter: int = 0


class Composer:
    """Builds messages out of what is to be told.

    :param failure_domain: failure domain of this daemon.
    :param message_bytes: size that a message of a round should keep to.
    :param members: membership, this daemon's own entry included.
    :param known: contacts.
    :param stamps: stamps of this daemon.
    :param topics: contents besides membership, the most urgent first.
    :param read_marks: returns the versions and the hybrid time of this daemon.
    """

    __slots__ = (
        "_failure_domain",
        "_message_bytes",
        "_members",
        "_contacts",
        "_stamps",
        "_topics",
        "_read_marks",
        "_deltas",
        "_sequence",
    )

    def __init__(
        self,
        failure_domain: str,
        message_bytes: int,
        members: membership.Membership,
        known: contacts.ContactBook,
        stamps: freshness.Stamps,
        topics: Sequence[topic_interfaces.Topic],
        read_marks: Callable[[], Marks],
    ) -> None:
        self._failure_domain = failure_domain
        self._message_bytes = message_bytes
        self._members = members
        self._contacts = known
        self._stamps = stamps
        self._topics = topics
        self._read_marks = read_marks
        self._deltas = dissemination.DeltaQueue()
        self._sequence = 0

    def offer(self, name: str, has_addresses: bool = False) -> None:
        """Have a change of a daemon told.

        :param name: daemon.
        :param has_addresses: whether its addresses are told, too.
        """
        self._deltas.offer(name, ENTRY_BYTES if has_addresses else CHANGE_BYTES)

    def is_foreign(self, contact: contacts.Contact | None) -> bool:
        """Return whether a contact is known to be of another failure domain.

        :param contact: contact, None where it is not known.
        """
        return contact is not None and contact.failure_domain != self._failure_domain

    def room(self, contact: contacts.Contact | None) -> int:
        """Return the room for changes in a message.

        :param contact: receiver, None where it is not known.
        """
        room_bytes = self._message_bytes - HEADER_BYTES
        return room_bytes * FOREIGN_ROOM if self.is_foreign(contact) else room_bytes

    def compose(
        self, kind: Kind, name: str, now_ms: int, room_bytes: int = 0, wants_all: bool = False
    ) -> peers.PeerMessage:
        """Return a message to a daemon, with what should be told.

        :param kind: kind of the message.
        :param name: receiver; empty where it is not known yet.
        :param now_ms: monotonic clock, in milliseconds.
        :param room_bytes: room for changes; 0 tells none.
        :param wants_all: whether the receiver gets everything instead of changes.
        """
        contact = self._contacts.find(name)
        message = self._start_message(kind, contact, now_ms)
        receiver = topic_interfaces.Receiver(name, self.is_foreign(contact), wants_all)
        if not receiver.is_foreign:
            room_bytes -= self._fill_entries(message, receiver, room_bytes, now_ms)
        for topic in self._topics:
            room_bytes -= topic.fill(message, receiver, room_bytes, now_ms)
        return message

    def _start_message(
        self, kind: Kind, contact: contacts.Contact | None, now_ms: int
    ) -> peers.PeerMessage:
        echo_ms, held_ms = contact.clock.echo(now_ms) if contact else (-1, 0)
        marks = self._read_marks()
        own = self._members.own
        self._sequence += 1
        message = peers.PeerMessage(
            kind=kind,
            sender=own.name,
            failure_domain=self._failure_domain,
            incarnation=own.incarnation,
            sequence=self._sequence,
            sent_ms=self._stamps.take(now_ms),
            echo_ms=echo_ms,
            echo_held_ms=held_ms,
            bundle_version=marks.bundle_version,
            layout_serial=marks.layout_serial,
            wall_ms=marks.wall_ms,
            wall_counter=marks.wall_counter,
            digest=self._members.digest(),
            body=b"",
        )
        if contact is None or not contact.knows_us:
            message.address = own.address
            message.entries.append(own)
        return message

    def _fill_entries(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        room_bytes: int,
        now_ms: int,
    ) -> int:
        names: list[str] = []
        told = self._members.find(receiver.name)
        if told is not None and told.entry.state != membership.ALIVE:
            names.append(receiver.name)
        if receiver.wants_all:
            names += self._members.up()
        elif room_bytes > 0:
            names += self._deltas.take(room_bytes, len(self._members.up()))
        for name in dict.fromkeys(names):
            entry = self._members.describe(name, now_ms)
            if entry is not None and entry not in message.entries:
                message.entries.append(entry)
        return sum(ENTRY_BYTES if entry.address else CHANGE_BYTES for entry in message.entries)
