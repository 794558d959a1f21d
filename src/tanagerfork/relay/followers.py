"""Keeps the rules, the upstreams and the list of daemons in step with the store."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork.relay import fleet, loads, members, rules
from tanagerfork.storage import key_value

LOGGER = "relay.followers"
SOURCE_RETRY_MS = 250  # For sources, which pass the changes on to other daemons.
RECEIVER_RETRY_MS = 1000  # For the rest, to spare a store that fails; well within the catch-up.
WATCH_TIMEOUT_MS = 1000  # Bounds the time until receivers learn that nothing has changed.
MIN_WATCH_MS = 50
MAX_WATCH_OVERRUN_MS = 300  # A later result is too old to be published as current.
MIN_WATCH_BYTES = 256 * 1024  # More than the list of upstreams grows while these start.
BATCH_DELAY_MS = 900  # Groups changes into one call; under half the time to drain.
URGENT_BATCH_DELAY_MS = 50  # For a coordinator whose repairs wait for each change.

RulesDecoder = Callable[[bytes], result.Result[rules.Rules, errors.PlatformError]]
EntryDecoder = Callable[[str, bytes], members.Upstream | None]


class DependencyMonitor:
    """Logs once when a dependency becomes unavailable, and once when it is available again.

    :param name: name of the dependency.
    :param clock: clock that measures the outage.
    :param log: decision log.
    """

    __slots__ = ("_name", "_clock", "_log", "_lost_since_ms")

    def __init__(self, name: str, clock: clocks.Clock, log: decisions.DecisionLog) -> None:
        self._name = name
        self._clock = clock
        self._log = log
        self._lost_since_ms: int | None = None

    def record(self, error: errors.TanagerforkError | None, **details: int) -> None:
        """Record the result of a call to the dependency.

        :param error: why the call failed; None if it succeeded.
        :param details: fields of the call that the line of its success after an outage has.
        """
        now_ms = self._clock.monotonic_ms()
        if error is not None and self._lost_since_ms is None:
            self._lost_since_ms = now_ms
            self._log.note(
                LOGGER, "dependency unavailable", dependency=self._name, reason=error.message
            )
        elif error is None and self._lost_since_ms is not None:
            away_ms = now_ms - self._lost_since_ms
            self._lost_since_ms = None
            self._log.note(
                LOGGER,
                "dependency available again",
                dependency=self._name,
                away_ms=away_ms,
                **details,
            )


class KeyFollower(Protocol):
    """Local state that follows the keys of the store with one prefix."""

    prefix: str

    def apply_snapshot(self, entries: Sequence[key_value.Entry]) -> None:
        """Replace the state by a complete read of the keys.

        :param entries: all entries whose keys begin with the prefix.
        """

    def apply_changes(self, changes: key_value.Changes) -> None:
        """Apply changes; empty ones confirm that the state is current.

        :param changes: changes of keys that begin with the prefix.
        """

    def note_unreachable(self) -> None:
        """Record that the store could not be read."""

    def note_restored(self) -> None:
        """Record that the store was restored from a copy, of which a snapshot follows."""


class Feed(Protocol):
    """Exchanges changes of the store with other daemons."""

    def is_source(self) -> bool:
        """Return whether this daemon watches the store itself."""

    def publish(self, after: int, changes: key_value.Changes) -> None:
        """Send changes that this daemon read to other daemons.

        :param after: revision that the changes follow.
        :param changes: all changes since that revision.
        """

    def record_values(self, changes: key_value.Changes) -> None:
        """Record what this daemon knows now, as the base of differences to send and receive.

        :param changes: changes that were applied.
        """

    async def wait_for_changes(self, revision: int) -> key_value.Changes | None:
        """Wait for the changes that follow a revision.

        :param revision: last revision that is known.
        :return: the changes; None if the store must be read instead.
        """


class StoreFollower:
    """Follows all watched keys with one watch: reads snapshots, then applies changes.

    One watch over all keys takes one call instead of one for each prefix, and most daemons get the
    changes from others. A watch that ends may have missed changes, such as a leaving upstream in a
    history that the store has dropped, so the snapshots are read again. So they are where the
    changes are longer: a watch sends each version of a large key that is written in succession.

    :param store: store.
    :param key_followers: state to keep in step with the store.
    :param feed: exchanges changes with other daemons.
    :param is_urgent: whether changes are needed at once, at the cost of more calls.
    :param clock: clock to wait on.
    :param log: decision log.
    """

    __slots__ = (
        "_store",
        "_key_followers",
        "_feed",
        "_is_urgent",
        "_clock",
        "_log",
        "_era",
        "_revision",
        "_keys",
        "_snapshot_bytes",
        "_published_at_ms",
        "_store_monitor",
    )

    def __init__(
        self,
        store: key_value.LeasingKeyValue,
        key_followers: Sequence[KeyFollower],
        feed: Feed,
        is_urgent: Callable[[], bool],
        clock: clocks.Clock,
        log: decisions.DecisionLog,
    ) -> None:
        self._store = store
        self._key_followers = key_followers
        self._feed = feed
        self._is_urgent = is_urgent
        self._clock = clock
        self._log = log
        self._era: int | None = None
        self._revision = key_value.ABSENT
        self._keys: set[str] = set()
        self._snapshot_bytes = MIN_WATCH_BYTES
        self._published_at_ms = clock.monotonic_ms()
        self._store_monitor = DependencyMonitor("store", clock, log)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            is_followed = await self._read_snapshot()
            while is_followed:
                is_followed = await self._follow_once(self._revision)
            await self._clock.sleep_ms(
                SOURCE_RETRY_MS if self._feed.is_source() else RECEIVER_RETRY_MS
            )

    async def _follow_once(self, revision: int) -> bool:
        """Apply the changes after a revision; return False if some may be missing."""
        if not self._feed.is_source():
            received = await self._feed.wait_for_changes(revision)
            if received is not None:
                self._dispatch(received)
                self._record(received)
                return True
        began_ms = self._clock.monotonic_ms()
        outcome = await self._store.await_changes(
            "", revision, self._choose_watch_ms(), self._snapshot_bytes
        )
        if isinstance(outcome, result.Err):
            self._log_failure("watch", outcome.err_value, began_ms)
            if isinstance(outcome.err_value, errors.ChangesTooLarge):
                return await self._read_snapshot(follows_on=True)
            return False
        changes = outcome.ok_value
        self._dispatch(changes)
        self._publish(revision, changes, began_ms)
        self._record(changes)
        if changes.written or changes.removed:
            await self._clock.sleep_ms(
                URGENT_BATCH_DELAY_MS if self._is_urgent() else BATCH_DELAY_MS
            )
        return True

    def _choose_watch_ms(self) -> int:
        """Return how long to watch, so that receivers get a batch each `WATCH_TIMEOUT_MS`."""
        if not self._feed.is_source():
            return WATCH_TIMEOUT_MS
        since_ms = self._clock.monotonic_ms() - self._published_at_ms
        return min(WATCH_TIMEOUT_MS, max(MIN_WATCH_MS, WATCH_TIMEOUT_MS - since_ms))

    def _publish(self, after: int, changes: key_value.Changes, began_ms: float) -> None:
        """Send changes to other daemons, unless their reading took so long that they are old."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - began_ms <= WATCH_TIMEOUT_MS + MAX_WATCH_OVERRUN_MS:
            self._feed.publish(after, changes)
            self._published_at_ms = now_ms

    async def _read_snapshot(self, follows_on: bool = False) -> bool:
        """Read all keys, in one call where they fit into a page; return whether that succeeded.

        With `follows_on`, the store was read without a break since the known revision. Otherwise
        keys may have lapsed while it was away, which other daemons have to judge for themselves.
        """
        began_ms = self._clock.monotonic_ms()
        found = await self._store.read_snapshot("")
        if isinstance(found, result.Err):
            self._store_monitor.record(found.err_value)
            self._log_failure("snapshot", found.err_value, began_ms)
            for follower in self._key_followers:
                follower.note_unreachable()
            return False
        snapshot = found.ok_value
        self._store_monitor.record(
            None,
            took_ms=self._clock.monotonic_ms() - began_ms,
            size_bytes=snapshot.size_bytes,
        )
        self._snapshot_bytes = max(snapshot.size_bytes, MIN_WATCH_BYTES)
        self._note_era(key_value.read_era(snapshot.revision))
        changes = self._list_changes(snapshot)
        for follower in self._key_followers:
            follower.apply_snapshot(
                [entry for entry in snapshot.entries if entry.key.startswith(follower.prefix)]
            )
        if follows_on and key_value.read_era(self._revision) == self._era:
            self._publish(self._revision, changes, began_ms)
        self._record(changes)
        return True

    def _list_changes(self, snapshot: key_value.Snapshot) -> key_value.Changes:
        """Return what a snapshot changes; all of it at the first one and after a restore."""
        keys = {entry.key for entry in snapshot.entries}
        return key_value.Changes(
            [entry for entry in snapshot.entries if entry.revision > self._revision],
            sorted(self._keys - keys),
            snapshot.revision,
        )

    def _record(self, changes: key_value.Changes) -> None:
        """Record the keys, their revision and their values as known."""
        self._keys.difference_update(changes.removed)
        self._keys.update(entry.key for entry in changes.written)
        self._revision = changes.revision
        self._feed.record_values(changes)

    def _log_failure(self, call: str, error: errors.PlatformError, began_ms: int) -> None:
        self._log.note(
            LOGGER,
            "store not read",
            call=call,
            reason=error.message,
            took_ms=self._clock.monotonic_ms() - began_ms,
        )

    def _note_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            self._log.note(LOGGER, "store was restored from a copy", era=era)
            for follower in self._key_followers:
                follower.note_restored()
        self._era = era

    def _dispatch(self, changes: key_value.Changes) -> None:
        for follower in self._key_followers:
            follower.apply_changes(
                key_value.Changes(
                    [entry for entry in changes.written if entry.key.startswith(follower.prefix)],
                    [key for key in changes.removed if key.startswith(follower.prefix)],
                )
            )


class RulesFollower:
    """Puts each newer configuration of the store in force.

    :param key: key of the configuration.
    :param decode: decodes the value of the key.
    :param register: rules in force.
    :param view: fleet, whose groups depend on the rules.
    :param log: decision log.

    `value` is the configuration in force; empty for none.
    """

    __slots__ = ("prefix", "_decode", "_register", "_view", "_log", "value")

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
        self.value = b""

    def apply_copy(self, value: bytes, told_by: str) -> None:
        """Apply the configuration that another daemon has in force, if it is newer.

        :param value: configuration as stored.
        :param told_by: name of the daemon.
        """
        self._apply(value, {"told_by": told_by})

    def apply_snapshot(self, entries: Sequence[key_value.Entry]) -> None:
        """Apply the stored configuration; see `KeyFollower.apply_snapshot`."""
        self.apply_changes(key_value.Changes(list(entries), []))

    def apply_changes(self, changes: key_value.Changes) -> None:
        """Apply newer configurations; see `KeyFollower.apply_changes`."""
        for entry in changes.written:
            if entry.key == self.prefix:
                self._apply(entry.value, {"revision": entry.revision})

    def note_unreachable(self) -> None:
        """Keep the rules in force; see `KeyFollower.note_unreachable`."""

    def note_restored(self) -> None:
        """Keep the rules in force, which never go back; see `KeyFollower.note_restored`."""

    def _apply(self, value: bytes, source: Mapping[str, int | str]) -> None:
        decoded = self._decode(value)
        if isinstance(decoded, result.Err):
            self._log.note(
                LOGGER,
                "configuration cannot be decoded",
                **source,
                reason=decoded.err_value.message,
            )
            return
        if self._register.replace_if_newer(decoded.ok_value):
            self.value = value
            self._view.update_rules(decoded.ok_value)
            self._log.note(
                LOGGER,
                "configuration in force",
                version=decoded.ok_value.version,
                **source,
                routes=len(decoded.ok_value.routes),
                size_bytes=len(value),
            )


class UpstreamListFollower:
    """Keeps the list of upstreams in step with the store.

    :param prefix: prefix of the entries' keys.
    :param decode: decodes an entry.
    :param view: fleet.
    :param book: loads of the upstreams.
    :param record_list: called with all known upstreams and the time after each read.
    :param clock: clock that counts suspended time.
    :param log: decision log.
    """

    __slots__ = ("prefix", "_decode", "_view", "_book", "_record_list", "_clock", "_log", "_listed")

    def __init__(
        self,
        prefix: str,
        decode: EntryDecoder,
        view: fleet.Fleet,
        book: loads.LoadBook,
        record_list: Callable[[Iterable[members.Upstream], float], None],
        clock: clocks.Clock,
        log: decisions.DecisionLog,
    ) -> None:
        self.prefix = prefix
        self._decode = decode
        self._view = view
        self._book = book
        self._record_list = record_list
        self._clock = clock
        self._log = log
        self._listed: dict[str, members.Upstream] = {}

    def note_unreachable(self) -> None:
        """Keep upstreams whose entries may lapse meanwhile; see `KeyFollower.note_unreachable`."""
        self._view.note_away()

    def note_restored(self) -> None:
        """Doubt entries that were seen removed; see `KeyFollower.note_restored`."""
        self._view.note_restored()

    def apply_snapshot(self, entries: Sequence[key_value.Entry]) -> None:
        """Replace the list; see `KeyFollower.apply_snapshot`."""
        self._listed = {}
        self._apply(key_value.Changes(list(entries), []))

    def apply_changes(self, changes: key_value.Changes) -> None:
        """Apply changes of the list; see `KeyFollower.apply_changes`."""
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
                self._log.note(
                    LOGGER,
                    "upstream entry cannot be decoded",
                    key=entry.key,
                    revision=entry.revision,
                )
        for key in changes.removed:
            self._listed.pop(key, None)
        now_ms = self._clock.monotonic_ms()
        change = self._view.update_list(list(self._listed.values()), now_ms)
        self._record_list(self._view.upstreams, now_ms)
        self._book.keep_only({upstream.id for upstream in self._view.upstreams})
        if change.added or change.removed or change.leaving:
            self._log.note(
                LOGGER,
                "list of upstreams changed",
                added=list(change.added),
                removed=list(change.removed),
                leaving=list(change.leaving),
            )
