"""Contacts: the daemons that this one exchanges messages with, and who owes it an answer."""

import dataclasses

from tanagerfork.peers import freshness

CONTACTS_KEPT = 1024
HELLO_INTERVAL_MS = 100


@dataclasses.dataclass(slots=True)
class Contact:
    """State of the exchange with one daemon."""

    name: str
    failure_domain: str
    clock: freshness.PeerClock
    address: str = ""
    knows_us: bool = False
    heard_at_ms: int = 0
    probed_at_ms: int | None = None
    is_relayed: bool = False
    hello_at_ms: int = -HELLO_INTERVAL_MS

    def start_probe(self, now_ms: int) -> None:
        """Expect an answer from now on, unless one is expected already.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self.probed_at_ms is None:
            self.probed_at_ms, self.is_relayed = now_ms, False

    def end_probe(self) -> None:
        """Expect no answer any more."""
        self.probed_at_ms = None

    def note_heard(self, sent_at_ms: int, now_ms: int) -> None:
        """Remember a proven message; it answers a probe if it was sent after that.

        :param sent_at_ms: when the message was sent at the earliest.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.knows_us = True
        self.heard_at_ms = now_ms
        if self.probed_at_ms is not None and sent_at_ms >= self.probed_at_ms:
            self.end_probe()

    def may_greet(self, now_ms: int) -> bool:
        """Return whether a hello may go out; remember that it does.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if now_ms - self.hello_at_ms < HELLO_INTERVAL_MS:
            return False
        self.hello_at_ms = now_ms
        return True


@dataclasses.dataclass(slots=True)
class Overdue:
    """Contacts that did not answer: those to ask others about, and those to suspect."""

    to_relay: list[Contact] = dataclasses.field(default_factory=list)
    to_suspect: list[Contact] = dataclasses.field(default_factory=list)


class ContactBook:
    """Holds a bounded number of contacts.

    :param probe_timeout_ms: time a contact has to answer, directly and then through others.
    """

    __slots__ = ("_by_name", "_probe_timeout_ms")

    def __init__(self, probe_timeout_ms: int) -> None:
        self._by_name: dict[str, Contact] = {}
        self._probe_timeout_ms = probe_timeout_ms

    def find(self, name: str) -> Contact | None:
        """Return a contact, None where there is none.

        :param name: daemon.
        """
        return self._by_name.get(name)

    def find_by_address(self, address: str) -> Contact | None:
        """Return the contact at an address, None where none is known.

        :param address: IP:port.
        """
        found = (contact for contact in self._by_name.values() if contact.address == address)
        return next(found, None)

    def add(self, name: str, failure_domain: str, incarnation: int, now_ms: int) -> Contact:
        """Return the contact of a daemon; a new one displaces the one that was silent longest.

        :param name: daemon.
        :param failure_domain: its failure domain.
        :param incarnation: its incarnation, as far as is known.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._by_name.get(name)
        if known is not None:
            return known
        if len(self._by_name) >= CONTACTS_KEPT:
            oldest = min(self._by_name.values(), key=lambda contact: contact.heard_at_ms)
            del self._by_name[oldest.name]
        clock = freshness.PeerClock(incarnation)
        contact = Contact(name, failure_domain, clock, heard_at_ms=now_ms)
        self._by_name[name] = contact
        return contact

    def answering(self) -> list[Contact]:
        """Return the contacts that were heard and owe no answer."""
        return [
            contact
            for contact in self._by_name.values()
            if contact.knows_us and contact.probed_at_ms is None
        ]

    def take_overdue(self, now_ms: int) -> Overdue:
        """Return who did not answer in time; each is returned once a stage.

        :param now_ms: monotonic clock, in milliseconds.
        """
        overdue = Overdue()
        for contact in self._by_name.values():
            if contact.probed_at_ms is None:
                continue
            waited_ms = now_ms - contact.probed_at_ms
            if contact.is_relayed and waited_ms >= 2 * self._probe_timeout_ms:
                contact.end_probe()
                overdue.to_suspect.append(contact)
            elif not contact.is_relayed and waited_ms >= self._probe_timeout_ms:
                contact.is_relayed = True
                overdue.to_relay.append(contact)
        return overdue

    def end_probes(self) -> None:
        """Expect no answers any more."""
        for contact in self._by_name.values():
            contact.end_probe()
