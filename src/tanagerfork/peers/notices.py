"""Notices: short messages to all daemons of a failure domain that expire."""

import dataclasses
from collections.abc import Callable

from tanagerfork.generated import peers
from tanagerfork.peers import dissemination
from tanagerfork.peers import topic as topic_interfaces

MAX_LIFETIME_MS = 24 * 3600 * 1000
MAX_NOTICES = 2000
NOTICE_BYTES = 16  # Estimated overhead of a notice.
MIN_EXPIRY_CHANGE_MS = 1000  # A smaller change of the expiry is not passed on.


@dataclasses.dataclass(slots=True, frozen=True)
class StoredNotice:
    """A notice with its expiry by this daemon's monotonic clock."""

    kind: str
    subject: str
    detail: str
    expires_at_ms: int


Listener = Callable[[StoredNotice], None]


class NoticeTopic:
    """Keeps and sends notices; for each subject, the one with the latest expiry counts."""

    __slots__ = ("_notices", "_deltas", "_listeners", "peer_count")

    def __init__(self) -> None:
        self.peer_count = 1
        self._notices: dict[str, StoredNotice] = {}
        self._deltas = dissemination.DeltaQueue()
        self._listeners: list[tuple[str, Listener]] = []

    def subscribe(self, kind: str, listener: Listener) -> None:
        """Call a listener with each notice of a kind that peers send.

        :param kind: kind of the notices.
        :param listener: called once for each notice, and again if its expiry is extended.
        """
        self._listeners.append((kind, listener))

    def announce(
        self, kind: str, subject: str, expires_in_ms: int, detail: str, now_ms: int
    ) -> None:
        """Queue a notice to the peers.

        :param kind: kind of the notice.
        :param subject: subject of the notice.
        :param expires_in_ms: time until it expires.
        :param detail: further information.
        :param now_ms: monotonic clock, in milliseconds.
        """
        expires_at_ms = now_ms + min(expires_in_ms, MAX_LIFETIME_MS)
        self._store(StoredNotice(kind, subject, detail, expires_at_ms), now_ms)

    def read(self, kind: str, now_ms: int) -> list[StoredNotice]:
        """Return the unexpired notices of a kind.

        :param kind: kind of the notices.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return [
            notice
            for notice in self._notices.values()
            if notice.kind == kind and notice.expires_at_ms > now_ms
        ]

    def fill(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        budget_bytes: int,
        now_ms: int,
    ) -> int:
        """Add notices to a message; see `Topic.fill`."""
        keys: list[str] = []
        if receiver.is_full_sync:
            keys = list(self._notices)
        elif budget_bytes > 0 and not receiver.is_foreign:
            keys = self._deltas.next_batch(budget_bytes, self.peer_count)
        used_bytes = 0
        for key in keys:
            notice = self._notices.get(key)
            if notice is None or notice.expires_at_ms <= now_ms:
                self._deltas.remove(key)
                continue
            expires_in_ms = notice.expires_at_ms - now_ms
            message.notices.append(
                peers.Notice(
                    kind=notice.kind,
                    subject=notice.subject,
                    expires_in_ms=expires_in_ms,
                    detail=notice.detail,
                )
            )
            used_bytes += _estimate_bytes(notice)
        return used_bytes

    def apply(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Apply notices of a message; see `Topic.apply`."""
        for notice in message.notices:
            expires_in_ms = min(notice.expires_in_ms, MAX_LIFETIME_MS) - delay_ms
            received = StoredNotice(
                notice.kind, notice.subject, notice.detail, now_ms + expires_in_ms
            )
            if expires_in_ms > 0 and self._is_new(received):
                self._store(received, now_ms)
                for kind, listener in self._listeners:
                    if kind == received.kind:
                        listener(received)

    def _is_new(self, received: StoredNotice) -> bool:
        known = self._notices.get(_notice_key(received))
        return known is None or received.expires_at_ms > known.expires_at_ms + MIN_EXPIRY_CHANGE_MS

    def _store(self, notice: StoredNotice, now_ms: int) -> None:
        if len(self._notices) >= MAX_NOTICES:
            self._remove_expired(now_ms)
        if len(self._notices) >= MAX_NOTICES:
            del self._notices[min(self._notices, key=lambda key: self._notices[key].expires_at_ms)]
        self._notices[_notice_key(notice)] = notice
        self._deltas.add(_notice_key(notice), _estimate_bytes(notice))

    def _remove_expired(self, now_ms: int) -> None:
        self._notices = {
            key: notice for key, notice in self._notices.items() if notice.expires_at_ms > now_ms
        }


def _notice_key(notice: StoredNotice) -> str:
    return f"{notice.kind}/{notice.subject}"


def _estimate_bytes(notice: StoredNotice) -> int:
    return NOTICE_BYTES + len(notice.kind) + len(notice.subject) + len(notice.detail)
