"""Quarantine: keeps what crashes upstreams in the store, requests and parts of prompts.

Daemons tell each other of these, but a restart of all of them at once would lose what they know,
and more upstreams would crash before it is found again. A daemon that the others do not know yet
reads it there, too.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence, Set

import msgspec
import result
import xxhash

from tanagerfork import clock as clocks
from tanagerfork import decisions, decoding
from tanagerfork import metrics as metric
from tanagerfork.routing import crash_evidence, part_quarantines, poison
from tanagerfork.routing import fleet as fleets
from tanagerfork.storage import key_value

LOGGER = "relay.quarantine"
PREFIX = "tanagerfork/quarantine"  # Of all keys.
PART_PREFIX = PREFIX + "/"
# Builds up to 05230a5 take each key of PART_PREFIX for a part that explains its crashes.
PARTS_PREFIX = PREFIX + "d/parts/"
REQUEST_PREFIX = PREFIX + "d/requests/"
CHECK_INTERVAL_MS = 200
MAX_LOGGED_PARTS = 32
MAX_REQUESTS = 200  # In the store; bounds its keys if very many requests crash upstreams.
MIN_STORED_MS = 60_000  # A shorter rest is not worth a lease.
MAX_LEASE_MS = 600_000  # The longest that a store grants.
# A key that was written before the part was cleared may be seen by a watch after it.
CLEARED_DOUBT_MS = 30_000


class QuarantineRecord(msgspec.Struct, omit_defaults=True):
    """Value of a key: the starts of the upstreams that crashed, and what crashed them.

    The key of a single part ends in its id, that of several ones in a hash; only then `parts` are
    listed. `request` is a fingerprint, and empty for parts; `expires_unix_ms` is the end of its
    quarantine.
    """

    crashes: list[str]
    parts: list[str] = []
    request: str = ""
    expires_unix_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StoredItem:
    """Value for a key, and how long the key is to live."""

    record: QuarantineRecord
    ttl_ms: int


class QuarantineKeeper:
    """Writes what is quarantined to the store and reads what other daemons wrote.

    :param store: store.
    :param evidence: parts of prompts that this daemon knows to be at fault.
    :param suspects: requests that it knows to be.
    :param is_writer: whether this daemon writes; a few of the daemons are enough.
    :param clock: clock to wait on.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = (
        "prefix",
        "_store",
        "_evidence",
        "_suspects",
        "_is_writer",
        "_clock",
        "_log",
        "_metrics",
        "_known",
        "_stored",
    )

    def __init__(
        self,
        store: key_value.LeasingKeyValue,
        evidence: crash_evidence.CrashEvidence,
        suspects: poison.PoisonRegister,
        is_writer: Callable[[], bool],
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self.prefix = PREFIX
        self._store = store
        self._evidence = evidence
        self._suspects = suspects
        self._is_writer = is_writer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._known: dict[str, part_quarantines.PartQuarantine] = {}
        self._stored: set[str] = set()

    async def run(self) -> None:
        """Keep the store in step with what this daemon knows, until cancelled."""
        while True:
            now_ms = self._clock.monotonic_ms()
            quarantines = self._evidence.list_quarantines(now_ms)
            self._log_changes(quarantines)
            if self._is_writer():
                items = self._list_items(quarantines, now_ms)
                for key, item in items.items():
                    if key not in self._stored:
                        await self._write(key, item)
                await self._remove_cleared(items.keys())
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def _list_items(
        self, quarantines: Iterable[part_quarantines.PartQuarantine], now_ms: int
    ) -> dict[str, StoredItem]:
        items = {
            _make_key(item): StoredItem(
                QuarantineRecord(
                    sorted(item.crashes), sorted(item.parts) if len(item.parts) > 1 else []
                ),
                crash_evidence.QUARANTINE_TTL_MS,
            )
            for item in quarantines
        }
        wall_ms = self._clock.wall_ms()
        for request in self._suspects.list_quarantines(now_ms, MAX_REQUESTS):
            record = QuarantineRecord(
                list(request.crashes),
                request=request.fingerprint,
                expires_unix_ms=wall_ms + request.left_ms,
            )
            ttl_ms = min(MAX_LEASE_MS, request.left_ms)
            if ttl_ms >= MIN_STORED_MS:
                items[REQUEST_PREFIX + request.fingerprint] = StoredItem(record, ttl_ms)
        return items

    def note_unreachable(self) -> None:
        """Keep the known parts; see `followers.KeyFollower.note_unreachable`."""

    def note_restored(self) -> None:
        """Write the parts anew that the copy lacks; see `followers.KeyFollower.note_restored`."""

    def apply_snapshot(self, entries: Sequence[key_value.Entry]) -> None:
        """Take on the stored parts; see `followers.KeyFollower.apply_snapshot`."""
        self._stored.clear()
        self.apply_changes(key_value.Changes(list(entries), []))

    def apply_changes(self, changes: key_value.Changes) -> None:
        """Take on newly stored parts; see `followers.KeyFollower.apply_changes`."""
        self._stored.difference_update(changes.removed)
        for entry in changes.written:
            try:
                record = decoding.decode_json(entry.value, QuarantineRecord)
            except msgspec.MsgspecError as error:
                self._log.note(
                    LOGGER, "quarantine cannot be decoded", key=entry.key, reason=str(error)
                )
                continue
            self._hear(entry.key, record)

    def _hear(self, key: str, record: QuarantineRecord) -> None:
        self._stored.add(key)
        now_ms = self._clock.monotonic_ms()
        if record.request:
            self._apply_request(record, now_ms)
            return
        parts = frozenset(record.parts or [key.removeprefix(PART_PREFIX)])
        if any(self._evidence.find_answer_ms(part) > now_ms - CLEARED_DOUBT_MS for part in parts):
            return
        until_ms = now_ms + crash_evidence.QUARANTINE_TTL_MS
        self._evidence.hear_quarantine(
            part_quarantines.PartQuarantine(parts, frozenset(record.crashes), now_ms, until_ms),
            now_ms,
        )

    def _apply_request(self, record: QuarantineRecord, now_ms: int) -> None:
        left_ms = min(record.expires_unix_ms - self._clock.wall_ms(), poison.QUARANTINE_TTL_MS)
        if left_ms <= 0:
            return
        crashes = max(poison.CRASHES_TO_QUARANTINE, len(record.crashes))
        notice = fleets.PoisonNotice(record.request, crashes, True, left_ms)
        if self._suspects.hear(notice, 0, now_ms):
            self._log.note(
                LOGGER,
                "request suspected",
                fingerprint=record.request,
                crashes=crashes,
                is_quarantined=self._suspects.quarantine_left_ms(record.request, now_ms) > 0,
                told_by="the store",
            )

    def _log_changes(self, quarantines: Sequence[part_quarantines.PartQuarantine]) -> None:
        for item in quarantines:
            if _make_key(item) not in self._known:
                self._metrics.count("relay_part_quarantines_total")
                self._log.note(
                    LOGGER,
                    "prompt part quarantined",
                    parts=sorted(item.parts)[:MAX_LOGGED_PARTS],
                    part_count=len(item.parts),
                    crashes=sorted(item.crashes),
                )
        current = {_make_key(item): item for item in quarantines}
        for key in sorted(self._known.keys() - current.keys()):
            parts = sorted(self._known[key].parts)[:MAX_LOGGED_PARTS]
            self._log.note(LOGGER, "prompt part released", parts=parts)
        self._known = current

    async def _write(self, key: str, item: StoredItem) -> None:
        granted = await self._store.grant_lease(item.ttl_ms)
        if isinstance(granted, result.Err):
            return
        value = msgspec.json.encode(item.record)
        written = await self._store.put_leased(key, value, granted.ok_value)
        if isinstance(written, result.Ok):
            self._stored.add(key)

    async def _remove_cleared(self, quarantined: Set[str]) -> None:
        for key in sorted(self._stored - quarantined):
            removed = await self._store.delete_range(key, key + "\0")
            if isinstance(removed, result.Ok):
                self._stored.discard(key)


def _make_key(item: part_quarantines.PartQuarantine) -> str:
    parts = sorted(item.parts)
    if len(parts) == 1:
        return PART_PREFIX + parts[0]
    return PARTS_PREFIX + xxhash.xxh3_128_hexdigest("\0".join(parts).encode())
