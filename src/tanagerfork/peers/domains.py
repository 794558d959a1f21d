"""Domains: summaries that failure domains exchange through their bridges."""

import dataclasses
from collections.abc import Callable, Sequence

import msgspec

from tanagerfork.generated import peers
from tanagerfork.peers import dissemination
from tanagerfork.peers import topic as topic_interfaces

RENEW_INTERVAL_MS = 5000  # For a summary that did not change.
MIN_CHANGE_INTERVAL_MS = 1000  # For a summary that changed.
SUMMARY_TTL_MS = 30_000
SUMMARY_BYTES = 20  # Estimated overhead of a summary.
SENDS_PER_DOUBLING = 1
MAX_DOMAINS = 256
CONTACTS_PER_SUMMARY = 2


@dataclasses.dataclass(slots=True, frozen=True)
class ForeignCapacity:
    """Free slots of a model in another failure domain."""

    failure_domain: str
    region: str
    free_slots: int
    callers_urls: tuple[str, ...]
    age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class OwnDomain:
    """State of its own failure domain that a bridge sends to others."""

    bridges: Sequence[str]
    contacts: Sequence[peers.DomainContact]
    capacity: Sequence[peers.ModelCapacity]


@dataclasses.dataclass(slots=True)
class _KnownSummary:
    summary: peers.DomainSummary
    made_at_ms: int
    sent_at_ms: int = 0


class DomainTopic:
    """Keeps and sends the summaries of failure domains.

    Bridges send each other all summaries. Within a failure domain, only those of the same region
    are sent, as only these domains are near enough to send requests to.

    :param failure_domain: failure domain of this daemon.
    :param region: region of this daemon.
    :param read_own: returns the state of this failure domain; None if this daemon is no bridge.
    """

    __slots__ = ("peer_count", "_failure_domain", "_region", "_read_own", "_known", "_deltas")

    def __init__(
        self, failure_domain: str, region: str, read_own: Callable[[int], OwnDomain | None]
    ) -> None:
        self.peer_count = 1
        self._failure_domain = failure_domain
        self._region = region
        self._read_own = read_own
        self._known: dict[str, _KnownSummary] = {}
        self._deltas = dissemination.DeltaQueue(SENDS_PER_DOUBLING)

    def foreign_bridges(self, now_ms: int) -> list[str]:
        """Return the addresses of the bridges of other failure domains.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return [
            address
            for name, known in self._known.items()
            if name != self._failure_domain and now_ms - known.made_at_ms <= SUMMARY_TTL_MS
            for address in known.summary.bridges
        ]

    def own_bridges(self, now_ms: int) -> list[str]:
        """Return the bridge addresses of this failure domain in its last summary.

        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._known.get(self._failure_domain)
        if known is None or now_ms - known.made_at_ms > SUMMARY_TTL_MS:
            return []
        return list(known.summary.bridges)

    def foreign_capacity(self, model: str, now_ms: int) -> list[ForeignCapacity]:
        """Return the other failure domains with free slots of a model, the most slots first.

        :param model: model.
        :param now_ms: monotonic clock, in milliseconds.
        """
        found = [
            ForeignCapacity(
                name,
                known.summary.region,
                item.free_slots,
                tuple(contact.callers_url for contact in known.summary.contacts),
                now_ms - known.made_at_ms,
            )
            for name, known in self._known.items()
            if name != self._failure_domain and now_ms - known.made_at_ms <= SUMMARY_TTL_MS
            for item in known.summary.capacity
            if item.model == model and item.free_slots > 0
        ]
        return sorted(found, key=lambda item: (-item.free_slots, item.failure_domain))

    def foreign_summaries(self, now_ms: int) -> list[peers.DomainSummary]:
        """Return the last summaries of the other failure domains, with their ages.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return [
            msgspec.structs.replace(known.summary, age_ms=now_ms - known.made_at_ms)
            for name, known in sorted(self._known.items())
            if name != self._failure_domain
        ]

    def renew_own_summary(self, now_ms: int) -> None:
        """Renew the summary of this failure domain if it is due.

        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._known.get(self._failure_domain)
        age_ms = RENEW_INTERVAL_MS if known is None else now_ms - known.made_at_ms
        own = self._read_own(now_ms) if age_ms >= MIN_CHANGE_INTERVAL_MS else None
        if own is None:
            return
        summary = peers.DomainSummary(
            failure_domain=self._failure_domain,
            age_ms=0,
            region=self._region,
            bridges=list(own.bridges),
            contacts=list(own.contacts)[:CONTACTS_PER_SUMMARY],
            capacity=list(own.capacity),
        )
        if age_ms >= RENEW_INTERVAL_MS or (known and _differs(summary, known.summary)):
            self._store(summary, now_ms)

    def fill(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        budget_bytes: int,
        now_ms: int,
    ) -> int:
        """Add summaries to a message; see `Topic.fill`."""
        if receiver.is_foreign:
            names = sorted(self._known, key=lambda name: self._known[name].sent_at_ms)
        elif receiver.is_full_sync:
            names = list(self._known)
            budget_bytes = max(
                budget_bytes, sum(_estimate_bytes(self._known[name]) for name in names)
            )
        elif budget_bytes > 0:
            names = self._deltas.next_batch(budget_bytes, self.peer_count)
        else:
            return 0
        used_bytes = 0
        for name in names:
            known = self._known.get(name)
            if known is None or now_ms - known.made_at_ms > SUMMARY_TTL_MS:
                continue
            if used_bytes and used_bytes + _estimate_bytes(known) > budget_bytes:
                break
            if receiver.is_foreign:
                known.sent_at_ms = now_ms
            age_ms = now_ms - known.made_at_ms
            message.domains.append(msgspec.structs.replace(known.summary, age_ms=age_ms))
            used_bytes += _estimate_bytes(known)
        return used_bytes

    def apply(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Apply summaries of a message; see `Topic.apply`."""
        for summary in message.domains:
            made_at_ms = now_ms - delay_ms - summary.age_ms
            known = self._known.get(summary.failure_domain)
            is_newer = known is None or _is_newer(summary, made_at_ms, known)
            has_room = known is not None or len(self._known) < MAX_DOMAINS
            if is_newer and has_room and now_ms - made_at_ms <= SUMMARY_TTL_MS:
                self._store(summary, made_at_ms)

    def _store(self, summary: peers.DomainSummary, made_at_ms: int) -> None:
        name = summary.failure_domain
        known = _KnownSummary(summary, made_at_ms)
        self._known[name] = known
        if name != self._failure_domain and summary.region == self._region:
            self._deltas.add(name, _estimate_bytes(known))


def _is_newer(summary: peers.DomainSummary, made_at_ms: int, known: _KnownSummary) -> bool:
    step_ms = MIN_CHANGE_INTERVAL_MS if _differs(summary, known.summary) else RENEW_INTERVAL_MS // 2
    return made_at_ms >= known.made_at_ms + step_ms


def _differs(summary: peers.DomainSummary, known: peers.DomainSummary) -> bool:
    return msgspec.structs.replace(summary, age_ms=0) != msgspec.structs.replace(known, age_ms=0)


def _estimate_bytes(known: _KnownSummary) -> int:
    summary = known.summary
    texts = [*summary.bridges, summary.region, summary.failure_domain]
    for contact in summary.contacts:
        texts += [contact.name, contact.callers_url, contact.operators_url]
    models = sum(len(item.model) + 4 for item in summary.capacity)
    return SUMMARY_BYTES + sum(len(text) + 1 for text in texts) + models
