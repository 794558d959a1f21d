"""Directory of daemons: this daemon's entry in the store, and those of the others."""

import collections
from collections.abc import Mapping, Sequence

import msgspec
import result

from tanagerfork import __version__, addresses, decisions, decoding, errors
from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.generated import relay as settings_records
from tanagerfork.storage import key_value

LOGGER = "relay.daemon_directory"
DAEMON_PREFIX = "tanagerfork/daemons/"
UNNAMED_BUILD = "unnamed"  # Label of the builds before 0.8.0.
NOTICE_FORMAT = 1  # Fields of notices are appended only.
DAEMON_LEASE_MS = 6000  # Outlasts a short loss of the connection to the store.
DAEMON_RENEW_INTERVAL_MS = 2000
HEARD_MS = 1500  # Five rounds of notices.
RETURN_GRACE_MS = 2 * DAEMON_RENEW_INTERVAL_MS  # Live daemons have written their entries by then.


class DaemonRecord(msgspec.Struct):
    """Entry of a daemon in the store.

    `address` is where it receives notices, `forwarding` where it takes over requests, empty if it
    takes over none. `build` is the version of its program, `notice_format` that of the notices it
    reads, and `link_mbps` the capacity of its VM's link, 0 if it is unknown; earlier builds name
    none of these. `keeps_regions` says that it sends requests only to the regions in which they may
    run, which builds up to 0.8.0 do not. `is_leaving` says that it is being stopped: it still
    receives notices, but takes over no requests and no coordination.
    """

    failure_domain: str
    address: str
    forwarding: str = ""
    build: str = ""
    notice_format: int = 0
    link_mbps: float = 0.0
    keeps_regions: bool = False
    is_leaving: bool = False


def make_record(settings: settings_records.RelaySettings) -> DaemonRecord:
    """Return the entry of a daemon of this build.

    :param settings: settings of the daemon.
    """
    return DaemonRecord(
        settings.failure_domain,
        settings.peers,
        link_mbps=settings.link_mbps,
        build=__version__,
        notice_format=NOTICE_FORMAT,
        keeps_regions=True,
    )


class DaemonDirectory:
    """Keeps this daemon's entry under a lease and follows the entries of the others.

    Entries that are missing after the store was away or restored from a copy are kept for
    `RETURN_GRACE_MS`, as live daemons write theirs again.

    A daemon that does not reach the store loses its entry, and may still take over requests: it
    stays in `reachable`, though not in `daemons`, as long as notices from it arrive.

    A write without an answer may be carried out seconds later, and then binds this daemon's entry
    to an earlier lease, which nobody renews. So the entry is written again if it changes or goes
    without this daemon's doing.

    :param store: store.
    :param name: name of this daemon.
    :param record: entry of this daemon.
    :param clock: clock to wait on.
    :param log: decision log.
    """

    __slots__ = (
        "prefix",
        "_store",
        "_name",
        "_record",
        "_clock",
        "_log",
        "_lease",
        "_is_written",
        "_is_writing",
        "_revision",
        "_was_unreadable",
        "_missing_until_ms",
        "_seen_builds",
        "_heard_at_ms",
        "_lapsed",
        "daemons",
    )

    def __init__(
        self,
        store: key_value.LeasingKeyValue,
        name: str,
        record: DaemonRecord,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
    ) -> None:
        self.prefix = DAEMON_PREFIX
        self._store = store
        self._name = name
        self._record = record
        self._clock = clock
        self._log = log
        self._lease = 0
        self._is_written = False
        self._is_writing = False
        self._revision = key_value.ABSENT  # Of the last write that was answered.
        self._was_unreadable = False
        self._missing_until_ms: dict[str, int] = {}
        self._seen_builds: set[str] = set()
        self._heard_at_ms: dict[str, int] = {}
        self._lapsed: dict[str, DaemonRecord] = {}
        self.daemons: dict[str, DaemonRecord] = {name: record}

    @property
    def reachable(self) -> dict[str, DaemonRecord]:
        """Listed daemons, and those without an entry from which notices still arrive."""
        heard = {name: record for name, record in self._lapsed.items() if self._is_heard(name)}
        return {**heard, **self.daemons}

    def find_reachable(self, name: str) -> DaemonRecord | None:
        """Return the entry of a daemon, or its last one while notices from it still arrive.

        :param name: name of the daemon.
        """
        record = self.daemons.get(name)
        if record is None and self._is_heard(name):
            record = self._lapsed.get(name)
        return record

    def _is_heard(self, name: str) -> bool:
        heard_at_ms = self._heard_at_ms.get(name)
        return heard_at_ms is not None and self._clock.monotonic_ms() - heard_at_ms < HEARD_MS

    def record_notice(self, name: str) -> None:
        """Record that a notice of a daemon arrived.

        :param name: name of the daemon.
        """
        if self.find_reachable(name) is not None:
            self._heard_at_ms[name] = self._clock.monotonic_ms()

    def list_names(self, failure_domain: str) -> list[str]:
        """Return the daemons of a failure domain.

        :param failure_domain: failure domain.
        """
        return [
            name for name, record in self.daemons.items() if record.failure_domain == failure_domain
        ]

    def write_metrics(self, metrics: metric.Metrics) -> None:
        """Set the number of listed daemons by build.

        :param metrics: gauges.
        """
        counts = collections.Counter(
            record.build or UNNAMED_BUILD for record in self.daemons.values()
        )
        self._seen_builds |= counts.keys()
        for build in self._seen_builds:
            metrics.set_gauge("relay_daemons", counts[build], build=build)

    async def run(self) -> None:
        """Maintain this daemon's entry until cancelled."""
        while True:
            await self._maintain_entry()
            await self._clock.sleep_ms(DAEMON_RENEW_INTERVAL_MS)

    async def announce_leaving(self) -> None:
        """Write to this daemon's entry that it is being stopped."""
        self._record.is_leaving = True
        self._is_written = False
        if self._lease:
            await self._put_entry(self._lease)

    async def leave(self) -> None:
        """Remove this daemon's entry at the end of a planned stop."""
        if self._lease:
            await self._store.end_lease(self._lease)

    def note_unreachable(self) -> None:
        """Record that entries may lapse unseen; see `KeyFollower.note_unreachable`."""
        self._was_unreadable = True

    def note_restored(self) -> None:
        """Write this daemon's entry anew, as its lease is lost; see `KeyFollower.note_restored`."""
        self._lease = 0
        self._was_unreadable = True

    def apply_snapshot(self, entries: Sequence[key_value.Entry]) -> None:
        """Replace the list of daemons; see `KeyFollower.apply_snapshot`."""
        before, self.daemons = self.daemons, {self._name: self._record}
        self._check_own_entry(next((one for one in entries if one.key == self._own_key), None))
        self._read_entries(entries)
        now_ms = self._clock.monotonic_ms()
        for name in before.keys() - self.daemons.keys():
            if self._was_unreadable:
                self._missing_until_ms[name] = now_ms + RETURN_GRACE_MS
            if now_ms < self._missing_until_ms.get(name, now_ms):
                self.daemons[name] = before[name]
        self._was_unreadable = False
        self._log_changes(before)

    def apply_changes(self, changes: key_value.Changes) -> None:
        """Add and remove daemons; see `KeyFollower.apply_changes`."""
        before = dict(self.daemons)
        for entry in changes.written:
            if entry.key == self._own_key:
                self._check_own_entry(entry)
        if self._own_key in changes.removed:
            self._check_own_entry(None)
        self._read_entries(changes.written)
        for key in changes.removed:
            self.daemons.pop(key.removeprefix(self.prefix), None)
            self._missing_until_ms.pop(key.removeprefix(self.prefix), None)
        self.daemons[self._name] = self._record
        self._log_changes(before)

    def drop_missing(self) -> None:
        """Drop the daemons that still have no entry once their time of grace is over."""
        before, now_ms = dict(self.daemons), self._clock.monotonic_ms()
        for name in [name for name, until in self._missing_until_ms.items() if until <= now_ms]:
            del self._missing_until_ms[name]
            self.daemons.pop(name, None)
        self._log_changes(before)

    @property
    def _own_key(self) -> str:
        return DAEMON_PREFIX + self._name

    def _check_own_entry(self, entry: key_value.Entry | None) -> None:
        """Have this daemon's entry written again if it is not as this daemon wrote it last."""
        if not self._is_written or self._is_writing:
            return
        if entry is None or entry.revision > self._revision:
            self._is_written = False
            self._log.note(LOGGER, "entry of this daemon was changed", is_gone=entry is None)

    def _read_entries(self, entries: Sequence[key_value.Entry]) -> None:
        for entry in entries:
            try:
                record = decoding.decode_json(entry.value, DaemonRecord)
            except msgspec.MsgspecError as error:
                self._log.note(
                    LOGGER, "daemon entry cannot be decoded", key=entry.key, reason=str(error)
                )
                continue
            unusable = _find_unusable_address(record)
            if unusable:
                self._log.note(
                    LOGGER,
                    "daemon entry cannot be decoded",
                    key=entry.key,
                    reason=f"{unusable[:100]!r} is not an IPv4 address with a port",
                )
                continue
            name = entry.key.removeprefix(self.prefix)
            self.daemons[name] = record
            self._missing_until_ms.pop(name, None)
        self.daemons[self._name] = self._record

    def _log_changes(self, before: Mapping[str, DaemonRecord]) -> None:
        came, went = self.daemons.keys() - before.keys(), before.keys() - self.daemons.keys()
        self._lapsed |= {name: before[name] for name in went if not before[name].is_leaving}
        self._lapsed = {
            name: record
            for name, record in self._lapsed.items()
            if name not in came and self._is_heard(name)
        }
        for name in self._heard_at_ms.keys() - self.daemons.keys() - self._lapsed.keys():
            del self._heard_at_ms[name]
        if came or went:
            self._log.note(LOGGER, "list of daemons changed", came=sorted(came), went=sorted(went))

    async def _maintain_entry(self) -> None:
        if self._lease:
            kept = await self._store.renew_lease(self._lease)
            if isinstance(kept, result.Err):
                return
            if kept.ok_value:
                if not self._is_written:
                    await self._put_entry(self._lease)
                return
            self._log.note(LOGGER, "lease of this daemon's entry has expired", lease=self._lease)
            self._lease = 0
        granted = await self._store.grant_lease(DAEMON_LEASE_MS)
        if isinstance(granted, result.Err):
            return
        put = await self._put_entry(granted.ok_value)
        if isinstance(put, result.Ok):
            self._lease = granted.ok_value

    async def _put_entry(self, lease: int) -> result.Result[int, errors.PlatformError]:
        value = msgspec.json.encode(self._record)
        self._is_writing = True
        try:
            put = await self._store.put_leased(self._own_key, value, lease)
        finally:
            self._is_writing = False
        self._is_written = isinstance(put, result.Ok)
        if isinstance(put, result.Ok):
            self._revision = put.ok_value
        return put


def _find_unusable_address(record: DaemonRecord) -> str:
    """Return an address of a daemon that cannot be connected to; empty if there is none."""
    named = (address for address in (record.address, record.forwarding) if address)
    return next((address for address in named if not addresses.is_valid(address)), "")
