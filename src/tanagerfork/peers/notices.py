"""Notices: words that all daemons of a failure domain should hear, until they expire."""

import dataclasses
from collections.abc import Callable

from tanagerfork.generated import peers
from tanagerfork.peers import dissemination
from tanagerfork.peers import topic as topic_interfaces

MAX_LIFETIME_MS = 24 * 3600 * 1000
MAX_NOTICES = 2000
NOTICE_BYTES = 16
MIN_EXPIRY_CHANGE_MS = 1000  # An expiry that differs by less is no news.


@dataclasses.dataclass(slots=True, frozen=True)
class HeardNotice:
    """A notice with its expiry by this daemon's clock."""

    kind: str
    subject: str
    detail: str
    expires_at_ms: int


Listener = Callable[[HeardNotice], None]


class NoticeTopic:
    """Keeps notices and has them told; the last expiry of a subject counts."""

    __slots__ = ("_notices", "_deltas", "_listeners", "peer_count")

    def __init__(self) -> None:
        self.peer_count = 1
        self._notices: dict[str, HeardNotice] = {}
        self._deltas = dissemination.DeltaQueue()
        self._listeners: list[tuple[str, Listener]] = []

    def subscribe(self, kind: str, listener: Listener) -> None:
        """Have notices of a kind told that come from peers.

        :param kind: kind.
        :param listener: called once for each, and again if its expiry was put off.
        """
        self._listeners.append((kind, listener))

    def announce(
        self, kind: str, subject: str, expires_in_ms: int, detail: str, now_ms: int
    ) -> None:
        """Tell the peers something.

        :param kind: kind.
        :param subject: who or what it is about.
        :param expires_in_ms: time for which it counts.
        :param detail: more about it.
        :param now_ms: monotonic clock, in milliseconds.
        """
        expires_at_ms = now_ms + min(expires_in_ms, MAX_LIFETIME_MS)
        self._store(HeardNotice(kind, subject, detail, expires_at_ms), now_ms)

    def read(self, kind: str, now_ms: int) -> list[HeardNotice]:
        """Return the notices of a kind that count.

        :param kind: kind.
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
        """Put notices on a message; see `Topic.fill`."""
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
        """Take notices in; see `Topic.take`."""
        for notice in message.notices:
            expires_in_ms = min(notice.expires_in_ms, MAX_LIFETIME_MS) - delay_ms
            received = HeardNotice(
                notice.kind, notice.subject, notice.detail, now_ms + expires_in_ms
            )
            if expires_in_ms > 0 and self._is_new(received):
                self._store(received, now_ms)
                for kind, listener in self._listeners:
                    if kind == received.kind:
                        listener(received)

    def _is_new(self, received: HeardNotice) -> bool:
        known = self._notices.get(_notice_key(received))
        return known is None or received.expires_at_ms > known.expires_at_ms + MIN_EXPIRY_CHANGE_MS

    def _store(self, notice: HeardNotice, now_ms: int) -> None:
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


def _notice_key(notice: HeardNotice) -> str:
    return f"{notice.kind}/{notice.subject}"


def _estimate_bytes(notice: HeardNotice) -> int:
    return NOTICE_BYTES + len(notice.kind) + len(notice.subject) + len(notice.detail)
