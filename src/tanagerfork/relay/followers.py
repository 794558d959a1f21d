"""Followers: keep rules, upstreams and daemons as the store has them."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork.relay import fleet, loads, members, rules
from tanagerfork.storage import key_value

LOGGER = "relay.followers"
RETRY_MS = 250  # A store that refuses is asked four times a second by those who feed others.
FED_RETRY_MS = 1000  # By the others once, so that an outage is no load; well within the catch-up.
DAEMON_PREFIX = "tanagerfork/daemons/"
DAEMON_LEASE_MS = 6000  # A daemon that is cut off for a moment stays listed.
DAEMON_RENEW_MS = 2000
WATCH_WAIT_MS = 1000  # Those who are fed by this daemon hear within it that nothing has changed.
LATE_MS = 300  # An answer that took longer is too old to tell others that nothing has changed.
GATHER_MS = 900  # Changes that come together are read by one call; under half the time to drain.
URGENT_GATHER_MS = 50  # The same for a coordinator whose repairs wait for each change.

RulesDecoder = Callable[[bytes], result.Result[rules.Rules, errors.PlatformError]]
EntryDecoder = Callable[[str, bytes], members.Upstream | None]


class Connection:
    """Tells the log once when a dependency is lost, and once when it is back.

    :param name: what is depended on.
    :param clock: clock of the time away.
    :param log: decision log.
    """

    __slots__ = ("_name", "_clock", "_log", "_lost_at_ms")

    def __init__(self, name: str, clock: clocks.Clock, log: decisions.DecisionLog) -> None:
        self._name = name
        self._clock = clock
        self._log = log
        self._lost_at_ms: int | None = None

    def note(self, error: errors.TanagerforkError | None) -> None:
        """Take in how a call ended.

        :param error: why it failed, None where it did not.
        """
        now_ms = self._clock.monotonic_ms()
        if error is not None and self._lost_at_ms is None:
            self._lost_at_ms = now_ms
            self._log.note(LOGGER, "dependency lost", dependency=self._name, reason=error.message)
        elif error is None and self._lost_at_ms is not None:
            away_ms = now_ms - self._lost_at_ms
            self._lost_at_ms = None
            self._log.note(LOGGER, "dependency regained", dependency=self._name, away_ms=away_ms)


class Part(Protocol):
    """What keeps one part of the store's keys."""

    prefix: str

    def take_all(self, entries: Sequence[key_value.Entry]) -> None:
        """Take in all keys of the part, as a read showed them.

        :param entries: entries whose keys begin with the prefix.
        """

    def take_changes(self, changes: key_value.Changes) -> None:
        """Take in changes of the part; empty ones are a sign of life.

        :param changes: changes of keys that begin with the prefix.
        """

    def note_away(self) -> None:
        """Note that the store did not answer."""


class Feed(Protocol):
    """Changes that other daemons read."""

    def is_source(self) -> bool:
        """Return whether this daemon watches the store itself."""

    def publish(self, after: int, changes: key_value.Changes) -> None:
        """Pass on what the store told just now.

        :param after: revision that the changes follow.
        :param changes: all changes since then.
        """

    async def wait(self, revision: int) -> key_value.Changes | None:
        """Wait for the changes that follow a revision.

        :param revision: last revision that is known.
        :return: the changes; None where the store is to be asked.
        """


class StoreFollower:
    """Keeps all parts by one watch: reads them whole, then follows what changes.

    One watch over all keys costs one call where one for each part would cost several, and most
    daemons take the changes from others. A watch that ends may have missed changes, such as a
    leaving upstream in a history that the store has dropped, so the parts are read whole again.

    :param store: store.
    :param parts: what keeps the parts.
    :param feed: changes that other daemons read.
    :param is_urgent: whether changes are needed at once, at the price of more calls.
    :param clock: clock to wait on.
    :param log: decision log.
    """

    __slots__ = ("_store", "_parts", "_feed", "_is_urgent", "_clock", "_link")

    def __init__(
        self,
        store: key_value.LeasingKeyValue,
        parts: Sequence[Part],
        feed: Feed,
        is_urgent: Callable[[], bool],
        clock: clocks.Clock,
        log: decisions.DecisionLog,
    ) -> None:
        self._store = store
        self._parts = parts
        self._feed = feed
        self._is_urgent = is_urgent
        self._clock = clock
        self._link = Connection("store", clock, log)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            revision = await self._read_parts()
            while revision is not None:
                revision = await self._follow(revision)
            await self._clock.sleep_ms(RETRY_MS if self._feed.is_source() else FED_RETRY_MS)

    async def _follow(self, revision: int) -> int | None:
        """Take in what follows a revision; return the next one, None where some may be missed."""
        if not self._feed.is_source():
            fed = await self._feed.wait(revision)
            if fed is not None:
                self._pass_on(fed)
                return fed.revision
        began_ms = self._clock.monotonic_ms()
        told = await self._store.await_changes("", revision, WATCH_WAIT_MS)
        if isinstance(told, result.Err):
            return None
        changes = told.ok_value
        self._pass_on(changes)
        if self._clock.monotonic_ms() - began_ms <= WATCH_WAIT_MS + LATE_MS:
            self._feed.publish(revision, changes)
        if changes.written or changes.removed:
            await self._clock.sleep_ms(URGENT_GATHER_MS if self._is_urgent() else GATHER_MS)
        return changes.revision

    async def _read_parts(self) -> int | None:
        """Read all parts; return the revision that all of them show at least."""
        revisions = []
        for part in self._parts:
            found = await self._store.read_snapshot(part.prefix)
            self._link.note(found.err_value if isinstance(found, result.Err) else None)
            if isinstance(found, result.Err):
                for other in self._parts:
                    other.note_away()
                return None
            part.take_all(found.ok_value.entries)
            revisions.append(found.ok_value.revision)
        return min(revisions)

    def _pass_on(self, changes: key_value.Changes) -> None:
        for part in self._parts:
            part.take_changes(
                key_value.Changes(
                    [entry for entry in changes.written if entry.key.startswith(part.prefix)],
                    [key for key in changes.removed if key.startswith(part.prefix)],
                )
            )


class RulesPart:
    """Puts each newer configuration in force as soon as the store shows it.

    :param key: key of the configuration.
    :param decode: decodes its value.
    :param register: rules in force.
    :param view: fleet, whose groups depend on the rules.
    :param log: decision log.
    """

    __slots__ = ("prefix", "_decode", "_register", "_view", "_log")

    def __init__(
        self,
        key: str,
        decode: RulesDecoder,
        register: rules.RulesRegister,
        view: fleet.Fleet,
        log: decisions.DecisionLog,
    ) -> None:
        self.prefix = key
        self._decode = decode
        self._register = register
        self._view = view
        self._log = log

    def take_all(self, entries: Sequence[key_value.Entry]) -> None:
        """Take in the configuration; see `Part.take_all`."""
        self.take_changes(key_value.Changes(list(entries), []))

    def take_changes(self, changes: key_value.Changes) -> None:
        """Take in newer configurations; see `Part.take_changes`."""
        for entry in changes.written:
            if entry.key == self.prefix:
                self._take(entry)

    def note_away(self) -> None:
        """Keep the rules in force; see `Part.note_away`."""

    def _take(self, entry: key_value.Entry) -> None:
        decoded = self._decode(entry.value)
        if isinstance(decoded, result.Err):
            self._log.note(
                LOGGER,
                "configuration unreadable",
                revision=entry.revision,
                reason=decoded.err_value.message,
            )
            return
        if self._register.replace_if_newer(decoded.ok_value):
            self._view.update_rules(decoded.ok_value)
            self._log.note(
                LOGGER,
                "configuration in force",
                version=decoded.ok_value.version,
                revision=entry.revision,
                routes=len(decoded.ok_value.routes),
            )


class ListPart:
    """Keeps the list of upstreams.

    :param prefix: prefix of the entries' keys.
    :param decode: decodes an entry.
    :param view: fleet.
    :param book: loads of the upstreams.
    :param clock: clock that counts suspended time.
    :param log: decision log.
    """

    __slots__ = ("prefix", "_decode", "_view", "_book", "_clock", "_log", "_listed")

    def __init__(
        self,
        prefix: str,
        decode: EntryDecoder,
        view: fleet.Fleet,
        book: loads.LoadBook,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
    ) -> None:
        self.prefix = prefix
        self._decode = decode
        self._view = view
        self._book = book
        self._clock = clock
        self._log = log
        self._listed: dict[str, members.Upstream] = {}

    def note_away(self) -> None:
        """Keep what may have lapsed meanwhile; see `Part.note_away`."""
        self._view.note_away()

    def take_all(self, entries: Sequence[key_value.Entry]) -> None:
        """Take in the whole list; see `Part.take_all`."""
        self._listed = {}
        self._apply(key_value.Changes(list(entries), []))

    def take_changes(self, changes: key_value.Changes) -> None:
        """Take in changes of the list; see `Part.take_changes`."""
        if changes.written or changes.removed:
            self._apply(changes)
        else:
            self._view.note_unchanged(self._clock.monotonic_ms())

    def _apply(self, changes: key_value.Changes) -> None:
        for entry in changes.written:
            upstream = self._decode(entry.key, entry.value)
            if upstream is not None:
                self._listed[entry.key] = upstream
                continue
            if self._listed.pop(entry.key, None) is not None:
                self._log.note(LOGGER, "entry unreadable", key=entry.key, revision=entry.revision)
        for key in changes.removed:
            self._listed.pop(key, None)
        change = self._view.update_list(list(self._listed.values()), self._clock.monotonic_ms())
        self._book.keep_only({upstream.id for upstream in self._view.upstreams})
        if change.added or change.removed or change.leaving:
            self._log.note(
                LOGGER,
                "list of upstreams changed",
                added=list(change.added),
                removed=list(change.removed),
                leaving=list(change.leaving),
            )


class DaemonRecord(msgspec.Struct):
    """What a daemon says of itself to the others."""

    failure_domain: str
    address: str


class DaemonDirectory:
    """Lists this daemon under a lease, and knows which others are listed.

    :param store: store.
    :param name: name of this daemon.
    :param record: what it says of itself.
    :param clock: clock to wait on.
    :param log: decision log.
    """

    __slots__ = ("prefix", "_store", "_name", "_record", "_clock", "_log", "_lease", "daemons")

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
        self.daemons: dict[str, DaemonRecord] = {name: record}

    def list_names(self, failure_domain: str) -> list[str]:
        """Return the daemons of a failure domain.

        :param failure_domain: failure domain.
        """
        return [
            name for name, record in self.daemons.items() if record.failure_domain == failure_domain
        ]

    async def run(self) -> None:
        """Stay listed until cancelled."""
        while True:
            await self._stay_listed()
            await self._clock.sleep_ms(DAEMON_RENEW_MS)

    async def leave(self) -> None:
        """Take this daemon off the list at a planned stop."""
        if self._lease:
            await self._store.end_lease(self._lease)

    def note_away(self) -> None:
        """Keep the daemons that are known; see `Part.note_away`."""

    def take_all(self, entries: Sequence[key_value.Entry]) -> None:
        """Take in all daemons; see `Part.take_all`."""
        self.daemons = {self._name: self._record}
        self.take_changes(key_value.Changes(list(entries), []))

    def take_changes(self, changes: key_value.Changes) -> None:
        """Take in daemons that came or went; see `Part.take_changes`."""
        before = set(self.daemons)
        for entry in changes.written:
            try:
                record = msgspec.json.decode(entry.value, type=DaemonRecord)
            except msgspec.MsgspecError as error:
                self._log.note(LOGGER, "daemon entry unreadable", key=entry.key, reason=str(error))
                continue
            self.daemons[entry.key.removeprefix(self.prefix)] = record
        for key in changes.removed:
            self.daemons.pop(key.removeprefix(self.prefix), None)
        self.daemons[self._name] = self._record
        if before != set(self.daemons):
            self._log.note(
                LOGGER,
                "list of daemons changed",
                came=sorted(set(self.daemons) - before),
                went=sorted(before - set(self.daemons)),
            )

    async def _stay_listed(self) -> None:
        if self._lease:
            kept = await self._store.renew_lease(self._lease)
            if isinstance(kept, result.Err) or kept.ok_value:
                return
            self._log.note(LOGGER, "own lease has ended", lease=self._lease)
            self._lease = 0
        granted = await self._store.grant_lease(DAEMON_LEASE_MS)
        if isinstance(granted, result.Err):
            return
        value = msgspec.json.encode(self._record)
        put = await self._store.put_leased(DAEMON_PREFIX + self._name, value, granted.ok_value)
        if isinstance(put, result.Ok):
            self._lease = granted.ok_value
