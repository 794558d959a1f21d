"""Lease of the coordinator: only its holder writes the layout of a failure domain and gives orders.

The record in the key-value service is changed by compare-and-swap only, and its fencing number only
grows:

* The holder's lease starts on its own monotonic clock, before the write that renews it is sent.
* Another daemon takes the lease after it has observed the record unchanged, on its own clock, for
  the full TTL of the holder, starting at the answer that first showed it. The holder's lease
  started earlier, so it has expired by then.
* A record that was deleted, or restored from an old state of the service, names no valid holder,
  but a holder may still be active. The same wait applies, and the next fencing number exceeds all
  numbers seen in records, in the layout and in the reports of the engines.
* If no fencing number is known at all, there was no coordinator, and there is no wait.
* A record released at a planned stop names no holder, and there is no wait, unless the service was
  restored from a copy since it was written, or a greater fencing number is known: another holder
  may have followed whose record was lost. The same holds where there is no record and the service
  has ever been restored.
"""

import dataclasses
import uuid

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.generated import layout
from tanagerfork.groups import candidates
from tanagerfork.peers import rendezvous
from tanagerfork.storage import key_value, swap

LEASE_PREFIX = "lease/"
CLOCK_DRIFT_DIVISOR = 20  # 1/20 of the TTL is a margin for clocks that run at different rates.
RENEWALS_PER_TTL = 3
READS_PER_TTL = 2
RANK_STAGGER_DIVISOR = 4  # Each rank of candidates waits 1/4 of the TTL longer than the one before.


@dataclasses.dataclass(slots=True)
class _SentWrite:
    """A write of the lease record and the time at which it was sent."""

    record: layout.LeaseRecord
    sent_at_ms: int


class LeaseState:
    """State of the lease as known to one daemon; plans its writes without sending them.

    :param daemon: name of this daemon.
    :param ttl_ms: TTL of a lease that this daemon takes, in milliseconds.
    """

    __slots__ = (
        "_daemon",
        "_ttl_ms",
        "_record",
        "_revision",
        "_unchanged_since_ms",
        "_last_read_at_ms",
        "_pending_write",
        "_held",
        "_highest_fencing",
    )

    def __init__(self, daemon: str, ttl_ms: int) -> None:
        self._daemon = daemon
        self._ttl_ms = ttl_ms
        self._record: layout.LeaseRecord | None = None
        self._revision = key_value.ABSENT
        self._unchanged_since_ms: int | None = None
        self._last_read_at_ms: int | None = None
        self._pending_write: _SentWrite | None = None
        self._held: _SentWrite | None = None
        self._highest_fencing = 0

    @property
    def revision(self) -> int:
        """Revision of the record as last read or written."""
        return self._revision

    @property
    def fencing(self) -> int:
        """Fencing number of this daemon's lease; 0 if it holds none."""
        return self._held.record.fencing if self._held else 0

    @property
    def holder(self) -> str:
        """Holder named by the last known record; empty if there is none."""
        return self._record.holder if self._record else ""

    @property
    def is_held(self) -> bool:
        """Whether the last known record is this daemon's, expired or not."""
        return self._held is not None

    def may_act(self, now_ms: int, duration_ms: int) -> bool:
        """Return whether the lease stays valid until the deadline of an action that starts now.

        :param now_ms: own monotonic clock, in milliseconds.
        :param duration_ms: time from now to the deadline, in milliseconds.
        """
        if self._held is None:
            return False
        margin_ms = self._ttl_ms // CLOCK_DRIFT_DIVISOR
        ends_at_ms = self._held.sent_at_ms + self._held.record.ttl_ms - margin_ms
        return now_ms + duration_ms < ends_at_ms

    def needs_read(self, now_ms: int) -> bool:
        """Return whether the record should be read again.

        :param now_ms: own monotonic clock, in milliseconds.
        """
        if self._last_read_at_ms is None:
            return True
        if self._held is not None and self._pending_write is None:
            return False
        return now_ms - self._last_read_at_ms >= self._ttl_ms // READS_PER_TTL

    def on_read(self, record: layout.LeaseRecord | None, revision: int, now_ms: int) -> None:
        """Update the state from a read of the record.

        :param record: record, None if there is none.
        :param revision: revision of the record.
        :param now_ms: arrival of the answer, on the own monotonic clock.
        """
        is_first = self._last_read_at_ms is None
        if is_first or revision != self._revision or record != self._record:
            self._unchanged_since_ms = now_ms
        self._last_read_at_ms = now_ms
        self._record, self._revision = record, revision
        if record is not None:
            self._highest_fencing = max(self._highest_fencing, record.fencing)
        # A record of an earlier era says nothing: its successor's may be lost.
        is_of_present_era = record is not None and record.era == key_value.read_era(revision)
        token = record.token if record is not None and is_of_present_era else ""
        if self._held is not None and token != self._held.record.token:
            self._held = None
        if self._pending_write is not None and token == self._pending_write.record.token:
            self._held = self._pending_write
        self._pending_write = None

    def plan_write(
        self, now_ms: int, known_fencing: int = 0, extra_wait_ms: int = 0
    ) -> layout.LeaseRecord | None:
        """Return the record to write to renew or take the lease, None if no write is due.

        :param now_ms: own monotonic clock, in milliseconds.
        :param known_fencing: highest fencing number in the layout and the engines' reports.
        :param extra_wait_ms: additional wait in favor of the candidates that rank first, in
            milliseconds.
        """
        self._highest_fencing = max(self._highest_fencing, known_fencing)
        if self._held is not None and self._highest_fencing > self._held.record.fencing:
            self._held = None
        if self._held is not None:
            return self._plan_renewal(self._held, now_ms)
        if self._unchanged_since_ms is None or self._pending_write is not None:
            return None
        unchanged_ms = now_ms - self._unchanged_since_ms
        if unchanged_ms < self._find_takeover_wait_ms() + extra_wait_ms:
            return None
        return layout.LeaseRecord(
            holder=self._daemon,
            fencing=self._highest_fencing + 1,
            ttl_ms=self._ttl_ms,
            token=uuid.uuid4().hex,
            era=key_value.read_era(self._revision),
        )

    def plan_release(self) -> layout.LeaseRecord | None:
        """Return the record to write to release the lease, and stop holding it.

        :return: record without a holder, None if the lease is not held.
        """
        held, self._held = self._held, None
        if held is None:
            return None
        era = key_value.read_era(self._revision)
        return msgspec.structs.replace(held.record, holder="", token=uuid.uuid4().hex, era=era)

    def on_write_sent(self, record: layout.LeaseRecord, now_ms: int) -> None:
        """Record a write immediately before it is sent.

        :param record: record to be written.
        :param now_ms: own monotonic clock, in milliseconds.
        """
        self._pending_write = _SentWrite(record, now_ms)

    def on_write_confirmed(self, revision: int) -> None:
        """Record that the pending write succeeded.

        :param revision: revision that the write created.
        """
        if self._pending_write is None:
            return
        self._held, self._pending_write = self._pending_write, None
        self._record, self._revision = self._held.record, revision
        self._unchanged_since_ms = self._held.sent_at_ms
        self._highest_fencing = max(self._highest_fencing, self._held.record.fencing)

    def on_write_rejected(self) -> None:
        """Record that the pending write failed because of a concurrent write."""
        self._pending_write = self._held = None
        self._last_read_at_ms = None

    def on_write_unconfirmed(self) -> None:
        """Record that the outcome of the pending write is unknown, so that the record is read."""
        self._last_read_at_ms = None

    def _plan_renewal(self, held: _SentWrite, now_ms: int) -> layout.LeaseRecord | None:
        if (
            self._pending_write is not None
            or now_ms - held.sent_at_ms < self._ttl_ms // RENEWALS_PER_TTL
        ):
            return None
        return msgspec.structs.replace(
            held.record,
            ttl_ms=self._ttl_ms,
            renewals=held.record.renewals + 1,
            token=uuid.uuid4().hex,
            era=key_value.read_era(self._revision),
        )

    def _find_takeover_wait_ms(self) -> int:
        era = key_value.read_era(self._revision)
        if self._record is None:
            return self._ttl_ms if self._highest_fencing or era > key_value.FIRST_ERA else 0
        may_have_followed = self._record.era < era or self._record.fencing < self._highest_fencing
        return self._record.ttl_ms if self._record.holder or may_have_followed else 0


class LeaseKeeper:
    """Keeps the lease of a failure domain in the key-value service.

    :param failure_domain: failure domain.
    :param daemon: name of this daemon.
    :param store: key-value service.
    :param clock: clock of this daemon.
    :param ttl_ms: TTL of the lease, in milliseconds.
    :param live_daemons: returns the names of the live daemons of the failure domain.
    """

    __slots__ = (
        "_key",
        "_daemon",
        "_store",
        "_clock",
        "_ttl_ms",
        "_live_daemons",
        "_unavailable_since_ms",
        "state",
    )

    def __init__(
        self,
        failure_domain: str,
        daemon: str,
        store: key_value.KeyValue,
        clock: clocks.Clock,
        ttl_ms: int,
        live_daemons: candidates.LiveDaemons,
    ) -> None:
        self._key = LEASE_PREFIX + failure_domain
        self._daemon = daemon
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._live_daemons = live_daemons
        self._unavailable_since_ms: int | None = None
        self.state = LeaseState(daemon, ttl_ms)

    def measure_outage_ms(self) -> int:
        """Return for how long the service has not answered this daemon, in milliseconds."""
        if self._unavailable_since_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._unavailable_since_ms

    def find_rank(self) -> int:
        """Return how many live daemons rank before this one as candidates for coordinator."""
        return candidates.find_rank(self._daemon, self._live_daemons())

    async def take_step(self, known_fencing: int) -> None:
        """Read, renew or take the lease if that is due; release it if not a candidate.

        :param known_fencing: highest fencing number in the layout and the engines' reports.
        """
        rank = self.find_rank()
        if rank >= rendezvous.COORDINATOR_CANDIDATES:
            self._unavailable_since_ms = None
            await self.release()
            return
        if self.state.needs_read(self._clock.monotonic_ms()):
            self._track_availability(await self._read())
        now_ms = self._clock.monotonic_ms()
        extra_wait_ms = rank * self._ttl_ms // RANK_STAGGER_DIVISOR
        record = self.state.plan_write(now_ms, known_fencing, extra_wait_ms)
        if record is not None:
            self._track_availability(await self._write(record, now_ms))

    async def release(self) -> None:
        """Release the lease if it is held, so that the next holder does not have to wait."""
        record = self.state.plan_release()
        if record is not None:
            await swap.swap_record(self._store, self._key, record, self.state.revision)

    def _track_availability(self, is_answered: bool) -> None:
        if is_answered:
            self._unavailable_since_ms = None
        elif self._unavailable_since_ms is None:
            self._unavailable_since_ms = self._clock.monotonic_ms()

    async def _read(self) -> bool:
        found = await self._store.read(self._key)
        if isinstance(found, result.Err):
            return False
        entry = found.ok_value
        record = self._decode(entry) if entry else None
        revision = entry.revision if entry else key_value.make_revision(self._store.era, 0)
        self.state.on_read(record, revision, self._clock.monotonic_ms())
        return True

    def _decode(self, entry: key_value.Entry) -> layout.LeaseRecord:
        """Decode the record; an unreadable one is treated as held by another daemon."""
        try:
            return swap.decode_record(entry, layout.LeaseRecord)
        except msgspec.MsgspecError:
            return layout.LeaseRecord(holder="unreadable", fencing=1, ttl_ms=self._ttl_ms)

    async def _write(self, record: layout.LeaseRecord, now_ms: int) -> bool:
        self.state.on_write_sent(record, now_ms)
        written = await swap.swap_record(self._store, self._key, record, self.state.revision)
        if isinstance(written, result.Ok):
            self.state.on_write_confirmed(written.ok_value)
            return True
        error = written.err_value
        if isinstance(error, errors.Conflict):
            self.state.on_write_rejected()
            return True
        self.state.on_write_unconfirmed()
        return False
