"""Feeds: a few daemons watch the store and pass its changes on to the others of their cohort.

This limits the load on the store, as hundreds of daemons would otherwise watch the same keys. The
store stays authoritative: a daemon that received no current batch for `FRESHNESS_LIMIT_MS`, or that
missed one, reads the store itself. Large values are sent as patches of those that they replaced.
"""

import asyncio
import base64
import collections
from collections.abc import Callable

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.relay import cohorts, value_patches
from tanagerfork.storage import key_value

FRESHNESS_LIMIT_MS = 1200  # With one store call, well within the time to apply a configuration.
MAX_PENDING_BATCHES = 16  # More than arrive within `FRESHNESS_LIMIT_MS`.


class ChangeFeed:
    """Publishes the changes that this daemon read, and receives those that other daemons read.

    :param own_cohorts: finds this daemon's cohort and the sources of the cohort.
    :param send: sends a batch to daemons.
    :param is_coordinator: whether this daemon coordinates, so that it watches the store anyway.
    :param clock: clock to wait on.
    :param metrics: counters.
    """

    __slots__ = (
        "_cohorts",
        "_is_coordinator",
        "_clock",
        "_metrics",
        "_batches",
        "_batch_arrived",
        "_large_values",
        "_known_at_ms",
        "send",
    )

    def __init__(
        self,
        own_cohorts: cohorts.Cohorts,
        send: Callable[[notices.ChangeBatch, list[str]], None],
        is_coordinator: Callable[[], bool],
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._cohorts = own_cohorts
        self._is_coordinator = is_coordinator
        self._clock = clock
        self._metrics = metrics
        self._batches: collections.deque[notices.ChangeBatch] = collections.deque(
            maxlen=MAX_PENDING_BATCHES
        )
        self._batch_arrived = asyncio.Event()
        self._large_values = value_patches.LargeValues()
        self._known_at_ms = clock.monotonic_ms()
        self.send = send

    def is_source(self) -> bool:
        """Return whether this daemon watches the store for its cohort."""
        return self._is_coordinator() or self._cohorts.is_source()

    def publish(self, after: int, changes: key_value.Changes) -> None:
        """Send changes to the cohort; empty changes confirm that nothing has changed.

        :param after: revision that the changes follow.
        :param changes: all changes since that revision.
        """
        if not self.is_source():
            return
        patches = [self._large_values.make_patch(entry) for entry in changes.written]
        batch = notices.ChangeBatch(
            after=changes.revision if any(patches) else after,
            revision=changes.revision,
            written=[
                notices.WrittenKey(
                    key=entry.key,
                    value=base64.b64encode(entry.value).decode(),
                    revision=entry.revision,
                )
                for entry, patch in zip(changes.written, patches, strict=True)
                if patch is None
            ],
            removed=changes.removed,
            patches=[patch for patch in patches if patch is not None],
            patches_after=after,
        )
        self.send(batch, self._cohorts.list_own_cohort())

    def record_values(self, changes: key_value.Changes) -> None:
        """Record what this daemon knows now: it is current, and the base of patches.

        :param changes: changes that were applied.
        """
        self._known_at_ms = self._clock.monotonic_ms()
        self._large_values.record(changes.written, changes.removed)

    def receive(self, batch: notices.ChangeBatch) -> None:
        """Queue a batch that a source sent.

        :param batch: changes that the source read.
        """
        self._batches.append(batch)
        self._batch_arrived.set()

    async def wait_for_changes(self, revision: int) -> key_value.Changes | None:
        """Wait for the changes that follow a revision.

        :param revision: last revision that is known.
        :return: the changes, empty if nothing changed; None if the store must be read instead.
        """
        deadline_ms = self._known_at_ms + FRESHNESS_LIMIT_MS
        while True:
            while self._batches:
                batch = self._batches.popleft()
                after = batch.patches_after if batch.patches else batch.after
                if after > revision:
                    self._metrics.count("relay_feed_gaps_total")
                    return None
                if batch.revision >= revision:
                    return self._decode(batch)
            self._batch_arrived.clear()
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                self._metrics.count("relay_feed_silences_total")
                return None
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await self._batch_arrived.wait()
            except TimeoutError:
                continue

    def _decode(self, batch: notices.ChangeBatch) -> key_value.Changes | None:
        try:
            written = [
                key_value.Entry(entry.key, base64.b64decode(entry.value), entry.revision)
                for entry in batch.written
            ]
        except ValueError:
            self._metrics.count("relay_feed_batches_failed_total")
            return None
        for patch in batch.patches:
            entry = self._large_values.apply_patch(patch)
            if entry is None:
                self._metrics.count("relay_feed_batches_failed_total")
                return None
            written.append(entry)
        self._metrics.count("relay_feed_batches_total")
        return key_value.Changes(written, batch.removed, batch.revision)
