"""Evacuation: which failure domains the operator has taken out of service, by keys of the store."""

from collections.abc import Callable, Iterable, Sequence

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import fleet
from tanagerfork.storage import key_value

LOGGER = "relay.evacuation"
RESTORE_HOLD_MS = 2000  # The operator has this long to write a key that a restore has lost.


def ignore_ends(domains: frozenset[str]) -> None:
    """Do nothing at the end of an evacuation.

    :param domains: failure domains whose evacuation has ended.
    """


class EvacuationFollower:
    """Follows the keys of the evacuated failure domains; see `followers.KeyFollower`.

    While the store cannot be read, evacuations neither begin nor end. Where it was restored from a
    copy without a key that was known, the evacuation lasts for `RESTORE_HOLD_MS` more, unless the
    key is written again; a key that the copy brings back takes effect at once.

    :param prefix: prefix of the keys, which end in the name of a failure domain.
    :param view: fleet, which leaves the evacuated failure domains out.
    :param clock: clock that counts suspended time.
    :param log: decision log.
    :param metrics: counters.
    :param note_ended: called with the failure domains whose evacuation has ended, also with those
        whose evacuation was over before this daemon read of it.
    """

    __slots__ = (
        "prefix",
        "_view",
        "_clock",
        "_log",
        "_metrics",
        "_note_ended",
        "_begun",
        "_missing",
        "_hold_until_ms",
    )

    def __init__(
        self,
        prefix: str,
        view: fleet.Fleet,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        note_ended: Callable[[frozenset[str]], None] = ignore_ends,
    ) -> None:
        self.prefix = prefix
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._note_ended = note_ended
        # Revision of each key in effect, and when this daemon read it.
        self._begun: dict[str, tuple[int, int]] = {}
        self._missing: set[str] = set()
        self._hold_until_ms = 0
        metrics.set_gauge("relay_evacuated_domains", 0)

    def note_unreachable(self) -> None:
        """Keep the evacuations as they are; see `KeyFollower.note_unreachable`."""

    def note_restored(self) -> None:
        """Keep evacuations that the copy lacks for a while; see `KeyFollower.note_restored`."""
        self._hold_until_ms = self._clock.monotonic_ms() + RESTORE_HOLD_MS

    def apply_snapshot(self, entries: Sequence[key_value.Entry]) -> None:
        """Replace the evacuations; see `KeyFollower.apply_snapshot`."""
        self._begin(entries)
        self._missing = self._begun.keys() - {self._read_domain(entry.key) for entry in entries}
        self.drop_missing()

    def apply_changes(self, changes: key_value.Changes) -> None:
        """Begin and end evacuations; see `KeyFollower.apply_changes`."""
        self._begin(changes.written)
        self._end(self._read_domain(key) for key in changes.removed)

    def drop_missing(self) -> None:
        """End the evacuations whose keys a restored store still lacks once the hold is over."""
        if self._missing and self._clock.monotonic_ms() >= self._hold_until_ms:
            self._end(self._missing)

    def _read_domain(self, key: str) -> str:
        return key.removeprefix(self.prefix)

    def _begin(self, entries: Iterable[key_value.Entry]) -> None:
        now_ms = self._clock.monotonic_ms()
        begun = {self._read_domain(entry.key): entry.revision for entry in entries}
        self._missing -= begun.keys()
        new = begun.keys() - self._begun.keys()
        if not new:
            return
        for domain in new:
            self._begun[domain] = begun[domain], now_ms
        self._update_view()
        for domain in sorted(new):
            self._metrics.count("relay_evacuations_total", change="begun")
            self._log.note(
                LOGGER,
                "evacuation begun",
                failure_domain=domain,
                revision=begun[domain],
                list_age_ms=self._view.measure_age(now_ms),
                upstreams=sum(
                    upstream.failure_domain == domain for upstream in self._view.upstreams
                ),
            )

    def _end(self, domains: Iterable[str]) -> None:
        ended = frozenset(domains)
        if not ended:
            return
        now_ms = self._clock.monotonic_ms()
        self._missing -= ended
        known = {domain: self._begun.pop(domain) for domain in ended & self._begun.keys()}
        # Upstreams there may be cold from now on, which must be known before they get requests.
        self._note_ended(ended)
        self._update_view()
        for domain, (revision, begun_at_ms) in sorted(known.items()):
            self._metrics.count("relay_evacuations_total", change="ended")
            self._log.note(
                LOGGER,
                "evacuation ended",
                failure_domain=domain,
                revision=revision,
                list_age_ms=self._view.measure_age(now_ms),
                lasted_ms=now_ms - begun_at_ms,
            )

    def _update_view(self) -> None:
        self._metrics.set_gauge("relay_evacuated_domains", len(self._begun))
        self._view.update_evacuated(frozenset(self._begun))
