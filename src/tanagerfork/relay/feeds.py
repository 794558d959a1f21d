"""Feeds: a few daemons watch the store and pass its changes on to the others of their cohort.

Answers the load on the store of hundreds of daemons that all watch the same keys. The store stays
the guarantee: a daemon that has not heard for `FRESH_MS` that its view is complete, or that missed
a batch, asks the store itself.
"""

import asyncio
import base64
import collections
from collections.abc import Callable

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.relay import cohorts
from tanagerfork.storage import key_value

FRESH_MS = 1200  # With the way of one call, well within the time to put a configuration in force.
KEPT_BATCHES = 16  # More than sources send within `FRESH_MS`.


class ChangeFeed:
    """Publishes the changes that this daemon read, and takes in those that others did.

    :param own_cohorts: which daemons this one feeds, or is fed with.
    :param send: sends a batch to daemons.
    :param is_coordinator: whether this daemon coordinates, and so watches the store anyway.
    :param clock: clock to wait on.
    :param metrics: counters.
    """

    __slots__ = (
        "_cohorts",
        "_is_coordinator",
        "_clock",
        "_metrics",
        "_batches",
        "_has_come",
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
            maxlen=KEPT_BATCHES
        )
        self._has_come = asyncio.Event()
        self.send = send

    def is_source(self) -> bool:
        """Return whether this daemon watches the store for its cohort."""
        return self._is_coordinator() or self._cohorts.is_source()

    def publish(self, after: int, changes: key_value.Changes) -> None:
        """Pass on what the store told just now; empty changes say that nothing has changed.

        :param after: revision that the changes follow.
        :param changes: all changes since then.
        """
        if not self.is_source():
            return
        batch = notices.ChangeBatch(
            after=after,
            revision=changes.revision,
            written=[
                notices.WrittenKey(
                    key=entry.key,
                    value=base64.b64encode(entry.value).decode(),
                    revision=entry.revision,
                )
                for entry in changes.written
            ],
            removed=changes.removed,
        )
        self.send(batch, self._cohorts.list_own_cohort())

    def take(self, batch: notices.ChangeBatch) -> None:
        """Take in a batch of a source.

        :param batch: batch.
        """
        self._batches.append(batch)
        self._has_come.set()

    async def wait(self, revision: int) -> key_value.Changes | None:
        """Wait for the changes that follow a revision.

        :param revision: last revision that is known.
        :return: the changes, empty where nothing changed; None where the store is to be asked.
        """
        ends_ms = self._clock.monotonic_ms() + FRESH_MS
        while True:
            while self._batches:
                batch = self._batches.popleft()
                if batch.after > revision:
                    self._metrics.count("relay_feed_gaps_total")
                    return None
                if batch.revision >= revision:
                    self._metrics.count("relay_feed_batches_total")
                    return _decode(batch)
            self._has_come.clear()
            left_ms = ends_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                self._metrics.count("relay_feed_silences_total")
                return None
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await self._has_come.wait()
            except TimeoutError:
                continue


def _decode(batch: notices.ChangeBatch) -> key_value.Changes:
    written = [
        key_value.Entry(entry.key, base64.b64decode(entry.value), entry.revision)
        for entry in batch.written
    ]
    return key_value.Changes(written, batch.removed, batch.revision)
