"""Contacts: the daemons that this one exchanges messages with, and their pending probes."""

import dataclasses

from tanagerfork.peers import freshness

MAX_CONTACTS = 1024
MIN_HELLO_INTERVAL_MS = 100  # Between two hellos to the same contact.


@dataclasses.dataclass(slots=True)
class Contact:
    """State of the message exchange with one daemon."""

    name: str
    failure_domain: str
    clock: freshness.PeerClock
    address: str = ""
    knows_this_daemon: bool = False
    heard_at_ms: int = 0
    probed_at_ms: int | None = None
    is_probe_relayed: bool = False
    hello_sent_at_ms: int = -MIN_HELLO_INTERVAL_MS

    def start_probe(self, now_ms: int) -> None:
        """Start waiting for an answer, unless a probe is pending already.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self.probed_at_ms is None:
            self.probed_at_ms, self.is_probe_relayed = now_ms, False

    def end_probe(self) -> None:
        """Stop waiting for an answer."""
        self.probed_at_ms = None

    def record_message(self, sent_at_ms: int, now_ms: int) -> None:
        """Record a fresh message; it ends the probe if it was sent after its start.

        :param sent_at_ms: earliest time that the message can have been sent.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.knows_this_daemon = True
        self.heard_at_ms = now_ms
        if self.probed_at_ms is not None and sent_at_ms >= self.probed_at_ms:
            self.end_probe()

    def reserve_hello(self, now_ms: int) -> bool:
        """Return whether a hello may be sent now, and record it as sent if so.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if now_ms - self.hello_sent_at_ms < MIN_HELLO_INTERVAL_MS:
            return False
        self.hello_sent_at_ms = now_ms
        return True


@dataclasses.dataclass(slots=True)
class Overdue:
    """Contacts that did not answer: those to probe through relays, and those to suspect."""

    to_relay: list[Contact] = dataclasses.field(default_factory=list)
    to_suspect: list[Contact] = dataclasses.field(default_factory=list)


class ContactBook:
    """A bounded number of contacts by name.

    :param probe_timeout_ms: time to answer a direct probe, and again a relayed one.
    """

    __slots__ = ("_by_name", "_probe_timeout_ms")

    def __init__(self, probe_timeout_ms: int) -> None:
        self._by_name: dict[str, Contact] = {}
        self._probe_timeout_ms = probe_timeout_ms

    def find(self, name: str) -> Contact | None:
        """Return a contact, None if there is none.

        :param name: daemon.
        """
        return self._by_name.get(name)

    def find_by_address(self, address: str) -> Contact | None:
        """Return the contact at an address, None if there is none.

        :param address: IP:port.
        """
        found = (contact for contact in self._by_name.values() if contact.address == address)
        return next(found, None)

    def add(self, name: str, failure_domain: str, incarnation: int, now_ms: int) -> Contact:
        """Return the contact of a daemon; a new one evicts the one heard longest ago when full.

        :param name: daemon.
        :param failure_domain: its failure domain.
        :param incarnation: its last known incarnation.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._by_name.get(name)
        if known is not None:
            return known
        if len(self._by_name) >= MAX_CONTACTS:
            oldest = min(self._by_name.values(), key=lambda contact: contact.heard_at_ms)
            del self._by_name[oldest.name]
        clock = freshness.PeerClock(incarnation)
        contact = Contact(name, failure_domain, clock, heard_at_ms=now_ms)
        self._by_name[name] = contact
        return contact

    def responsive(self) -> list[Contact]:
        """Return the contacts that know this daemon and have no pending probe."""
        return [
            contact
            for contact in self._by_name.values()
            if contact.knows_this_daemon and contact.probed_at_ms is None
        ]

    def take_overdue(self, now_ms: int) -> Overdue:
        """Return the contacts past the probe timeout, once per stage (direct, relayed).

        :param now_ms: monotonic clock, in milliseconds.
        """
        overdue = Overdue()
        for contact in self._by_name.values():
            if contact.probed_at_ms is None:
                continue
            waited_ms = now_ms - contact.probed_at_ms
            if contact.is_probe_relayed and waited_ms >= 2 * self._probe_timeout_ms:
                contact.end_probe()
                overdue.to_suspect.append(contact)
            elif not contact.is_probe_relayed and waited_ms >= self._probe_timeout_ms:
                contact.is_probe_relayed = True
                overdue.to_relay.append(contact)
        return overdue

    def end_probes(self) -> None:
        """Stop waiting for all answers."""
        for contact in self._by_name.values():
            contact.end_probe()
