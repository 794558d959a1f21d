"""Membership of a failure domain, tracked by incarnations and suspicion timeouts."""

import dataclasses
from collections.abc import Iterable
from typing import Literal

import msgspec
import xxhash

from tanagerfork.generated import peers
from tanagerfork.peers import ring as rings

State = Literal["alive", "suspect", "dead", "left"]

ALIVE: State = "alive"
SUSPECT: State = "suspect"
DEAD: State = "dead"
LEFT: State = "left"
STATE_RANK: dict[State, int] = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
GONE_RETENTION_MS = 600_000  # Longer than failure domains are partitioned from each other.


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon and its state as known to this one."""

    entry: peers.PeerEntry
    state_since_ms: int
    heard_at_ms: int
    bundle_version: int = 0

    @property
    def is_up(self) -> bool:
        """Whether the daemon is considered running."""
        return self.entry.state in (ALIVE, SUSPECT)


class Membership:
    """The daemons of one failure domain, this one included.

    :param own: entry of this daemon.
    :param suspicion_ms: time that a suspected daemon has to refute the suspicion.
    :param now_ms: monotonic clock, in milliseconds.
    """

    __slots__ = ("own", "members", "_suspicion_ms", "_digest", "_up", "_ring")

    def __init__(self, own: peers.PeerEntry, suspicion_ms: int, now_ms: int) -> None:
        self.own = own
        self.members: dict[str, Member] = {own.name: Member(own, now_ms, now_ms)}
        self._suspicion_ms = suspicion_ms
        self._digest: int | None = None
        self._up: list[str] | None = None
        self._ring: rings.Ring | None = None

    def up(self) -> list[str]:
        """Return the sorted names of all running daemons, this one included."""
        if self._up is None:
            self._up = sorted(name for name, member in self.members.items() if member.is_up)
        return self._up

    def others(self) -> list[str]:
        """Return the names of the other running daemons."""
        return [name for name in self.up() if name != self.own.name]

    def ring(self) -> rings.Ring:
        """Return the ring of the running daemons."""
        if self._ring is None:
            self._ring = rings.Ring(self.up(), self.own.name)
        return self._ring

    def dead(self) -> list[Member]:
        """Return the daemons declared dead, which may return after a partition."""
        return [member for member in self.members.values() if member.entry.state == DEAD]

    def find(self, name: str) -> Member | None:
        """Return a daemon, None if unknown.

        :param name: daemon.
        """
        return self.members.get(name)

    def digest(self) -> int:
        """Return a hash of the running daemons and their incarnations."""
        if self._digest is None:
            known = (f"{name}:{self.members[name].entry.incarnation}" for name in self.up())
            self._digest = xxhash.xxh32_intdigest("\n".join(known).encode())
        return self._digest

    def describe(self, name: str, now_ms: int) -> peers.PeerEntry | None:
        """Return the entry to send for a daemon, with the age of its state.

        :param name: daemon.
        :param now_ms: monotonic clock, in milliseconds.
        """
        member = self.members.get(name)
        if member is None:
            return None
        age_ms = max(0, now_ms - member.state_since_ms)
        if member.entry.state == ALIVE:
            return msgspec.structs.replace(member.entry, age_ms=0)
        return peers.PeerEntry(
            name=name,
            incarnation=member.entry.incarnation,
            state=member.entry.state,
            age_ms=age_ms,
        )

    def merge(self, entry: peers.PeerEntry, now_ms: int) -> bool:
        """Merge an entry that a peer sent.

        :param entry: entry; its age includes the delay of the message.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether it changed anything, so that it should be passed on.
        """
        if entry.name == self.own.name:
            return self._refute(entry, now_ms)
        known = self.members.get(entry.name)
        if known is None and (entry.state in (DEAD, LEFT) or not entry.address):
            return False
        if known is not None and not _is_newer(entry, known.entry):
            return False
        if known is None:
            self.members[entry.name] = Member(entry, now_ms, now_ms)
        else:
            known.entry = _merge_entries(known.entry, entry)
            known.state_since_ms = now_ms - entry.age_ms
        self._invalidate_caches()
        return True

    def suspect(self, name: str, now_ms: int) -> bool:
        """Mark a daemon as suspect that answered neither a direct nor a relayed probe.

        :param name: daemon.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether its state changed.
        """
        member = self.members.get(name)
        if member is None or member.entry.state != ALIVE or name == self.own.name:
            return False
        return self._set_state(member, SUSPECT, now_ms)

    def record_heard(self, name: str, sent_at_ms: int, bundle_version: int) -> None:
        """Record a message received from a daemon itself.

        :param name: daemon.
        :param sent_at_ms: earliest time that it can have been sent, by this daemon's clock.
        :param bundle_version: bundle in force there.
        """
        member = self.members.get(name)
        if member is not None:
            member.heard_at_ms = max(member.heard_at_ms, sent_at_ms)
            member.bundle_version = max(member.bundle_version, bundle_version)

    def expire(self, now_ms: int) -> list[str]:
        """Declare expired suspects dead, and remove daemons gone past the retention time.

        :param now_ms: monotonic clock, in milliseconds.
        :return: daemons that were declared dead.
        """
        died = []
        for name, member in list(self.members.items()):
            waited_ms = now_ms - member.state_since_ms
            if member.entry.state == SUSPECT and waited_ms >= self._suspicion_ms:
                self._set_state(member, DEAD, now_ms)
                died.append(name)
            elif not member.is_up and waited_ms >= GONE_RETENTION_MS:
                del self.members[name]
        return died

    def extend_suspicions(self, gap_ms: int) -> None:
        """Extend all suspicions by the time that this daemon was paused.

        :param gap_ms: length of the pause.
        """
        for member in self.members.values():
            if member.entry.state == SUSPECT:
                member.state_since_ms += gap_ms

    def leave(self, now_ms: int) -> None:
        """Mark this daemon as left.

        :param now_ms: monotonic clock, in milliseconds.
        """
        member = self.members[self.own.name]
        member.entry = self.own = msgspec.structs.replace(self.own, state=LEFT)
        member.state_since_ms = now_ms
        self._invalidate_caches()

    def _refute(self, entry: peers.PeerEntry, now_ms: int) -> bool:
        if self.own.state == LEFT or not _is_newer(entry, self.own):
            return False
        self.own = msgspec.structs.replace(self.own, incarnation=entry.incarnation + 1)
        self.members[self.own.name] = Member(self.own, now_ms, now_ms)
        self._invalidate_caches()
        return True

    def _set_state(self, member: Member, state: State, now_ms: int) -> bool:
        member.entry = msgspec.structs.replace(member.entry, state=state)
        member.state_since_ms = now_ms
        self._invalidate_caches()
        return True

    def _invalidate_caches(self) -> None:
        self._digest = None
        self._up = None
        self._ring = None


def _is_newer(entry: peers.PeerEntry, known: peers.PeerEntry) -> bool:
    if entry.incarnation != known.incarnation:
        return entry.incarnation > known.incarnation
    return STATE_RANK[entry.state] > STATE_RANK[known.state]


def _merge_entries(known: peers.PeerEntry, entry: peers.PeerEntry) -> peers.PeerEntry:
    """Return the new entry, with the known addresses if it carries none."""
    if entry.address:
        return entry
    return msgspec.structs.replace(
        entry,
        address=known.address,
        callers_url=known.callers_url,
        operators_url=known.operators_url,
    )


def count_states(members: Iterable[Member]) -> dict[State, int]:
    """Count daemons by state.

    :param members: daemons.
    """
    counted = dict.fromkeys(STATE_RANK, 0)
    for member in members:
        counted[member.entry.state] += 1
    return counted
