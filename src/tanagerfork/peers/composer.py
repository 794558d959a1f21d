"""Composer: builds the messages that a daemon sends."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Literal

from tanagerfork.generated import peers
from tanagerfork.peers import contact as contacts
from tanagerfork.peers import dissemination, freshness, membership
from tanagerfork.peers import topic as topic_interfaces

HEADER_BYTES = 88  # Estimated size of the fixed fields.
ENTRY_BYTES = 110  # Estimated size of an entry with addresses.
CHANGE_BYTES = 30  # Estimated size of an entry without addresses.
FOREIGN_BUDGET_FACTOR = 4  # Messages to other failure domains are rarer and may be larger.

Kind = Literal["gossip", "ack", "hello", "relay", "ask", "answer"]


@dataclasses.dataclass(slots=True, frozen=True)
class Outgoing:
    """A message and the address to send it to."""

    address: str
    message: peers.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Versions:
    """Versions and hybrid time that every message carries."""

    bundle_version: int = 0
    layout_serial: int = 0
    wall_ms: int = 0
    wall_counter: int = 0


class Composer:
    """Builds messages from membership changes and topics.

    :param failure_domain: failure domain of this daemon.
    :param message_bytes: target size of a gossip message.
    :param members: membership, including this daemon's own entry.
    :param contact_book: known contacts.
    :param stamps: issues the timestamps of messages.
    :param topics: further content of the messages, the most urgent first.
    :param read_versions: returns the versions and the hybrid time of this daemon.
    """

    __slots__ = (
        "_failure_domain",
        "_message_bytes",
        "_members",
        "_contact_book",
        "_stamps",
        "_topics",
        "_read_versions",
        "_deltas",
        "_sequence",
    )

    def __init__(
        self,
        failure_domain: str,
        message_bytes: int,
        members: membership.Membership,
        contact_book: contacts.ContactBook,
        stamps: freshness.SentStamps,
        topics: Sequence[topic_interfaces.Topic],
        read_versions: Callable[[], Versions],
    ) -> None:
        self._failure_domain = failure_domain
        self._message_bytes = message_bytes
        self._members = members
        self._contact_book = contact_book
        self._stamps = stamps
        self._topics = topics
        self._read_versions = read_versions
        self._deltas = dissemination.DeltaQueue()
        self._sequence = 0

    def queue_change(self, name: str, has_addresses: bool = False) -> None:
        """Queue a change of a daemon's entry for the next messages.

        :param name: daemon.
        :param has_addresses: whether the entry includes addresses.
        """
        self._deltas.add(name, ENTRY_BYTES if has_addresses else CHANGE_BYTES)

    def is_foreign(self, contact: contacts.Contact | None) -> bool:
        """Return whether a contact is known to belong to another failure domain.

        :param contact: contact, None if unknown.
        """
        return contact is not None and contact.failure_domain != self._failure_domain

    def message_budget(self, contact: contacts.Contact | None) -> int:
        """Return the bytes available for changes in a message.

        :param contact: receiver, None if unknown.
        """
        budget_bytes = self._message_bytes - HEADER_BYTES
        return budget_bytes * FOREIGN_BUDGET_FACTOR if self.is_foreign(contact) else budget_bytes

    def compose(
        self, kind: Kind, name: str, now_ms: int, budget_bytes: int = 0, is_full_sync: bool = False
    ) -> peers.PeerMessage:
        """Return a message to a daemon, filled with pending changes.

        :param kind: kind of the message.
        :param name: receiver; empty if not known yet.
        :param now_ms: monotonic clock, in milliseconds.
        :param budget_bytes: bytes available for changes; 0 for none.
        :param is_full_sync: whether to send the full state instead of changes.
        """
        contact = self._contact_book.find(name)
        message = self._start_message(kind, contact, now_ms)
        receiver = topic_interfaces.Receiver(name, self.is_foreign(contact), is_full_sync)
        if not receiver.is_foreign:
            budget_bytes -= self._fill_entries(message, receiver, budget_bytes, now_ms)
        for topic in self._topics:
            budget_bytes -= topic.fill(message, receiver, budget_bytes, now_ms)
        return message

    def _start_message(
        self, kind: Kind, contact: contacts.Contact | None, now_ms: int
    ) -> peers.PeerMessage:
        echo_ms, held_ms = contact.clock.echo(now_ms) if contact else (-1, 0)
        versions = self._read_versions()
        own = self._members.own
        self._sequence += 1
        message = peers.PeerMessage(
            kind=kind,
            sender=own.name,
            failure_domain=self._failure_domain,
            incarnation=own.incarnation,
            sequence=self._sequence,
            sent_ms=self._stamps.issue(now_ms),
            echo_ms=echo_ms,
            echo_held_ms=held_ms,
            bundle_version=versions.bundle_version,
            layout_serial=versions.layout_serial,
            wall_ms=versions.wall_ms,
            wall_counter=versions.wall_counter,
            digest=self._members.digest(),
            body=b"",
        )
        if contact is None or not contact.knows_this_daemon:
            message.address = own.address
            message.entries.append(own)
        return message

    def _fill_entries(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        budget_bytes: int,
        now_ms: int,
    ) -> int:
        names: list[str] = []
        member = self._members.find(receiver.name)
        if member is not None and member.entry.state != membership.ALIVE:
            names.append(receiver.name)
        if receiver.is_full_sync:
            names += self._members.up()
        elif budget_bytes > 0:
            names += self._deltas.next_batch(budget_bytes, len(self._members.up()))
        for name in dict.fromkeys(names):
            entry = self._members.describe(name, now_ms)
            if entry is not None and entry not in message.entries:
                message.entries.append(entry)
        return sum(ENTRY_BYTES if entry.address else CHANGE_BYTES for entry in message.entries)
