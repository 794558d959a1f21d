"""Follows the head in the key-value service.

A few daemons of each failure domain watch the head. The others learn of a new head from their
peers, and also read the key every `POLL_INTERVAL_MS` in case no peer tells them: 2,600 daemons
then make about 43 reads per second in total. A watch without an event for `WATCH_IDLE_TIMEOUT_MS`
is closed and the head is read instead, because a connection can stall permanently without an
error.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.bundles import head as heads
from tanagerfork.bundles import manifest as manifests
from tanagerfork.bundles import register
from tanagerfork.generated import bundle as records
from tanagerfork.storage import key_value
from tanagerfork.timeline import kinds, ring

MIN_RETRY_MS = 250
MAX_RETRY_MS = 10_000
POLL_INTERVAL_MS = 60_000
WATCH_IDLE_TIMEOUT_MS = 30_000
JITTER_FRACTION = 0.2


class BundleFollower:
    """Watches or polls the head and puts new bundles in force.

    :param store: key-value service.
    :param bundles: register that accepts the bundles.
    :param clock: clock for delays and timeouts.
    :param timeline: timeline that records accepted and refused bundles.
    :param metrics: metrics registry.
    :param is_watcher: returns whether this daemon watches the head instead of polling it.
    :param rng: random numbers for jitter.
    """

    __slots__ = (
        "_store",
        "_bundles",
        "_clock",
        "_timeline",
        "_metrics",
        "_is_watcher",
        "_rng",
        "_retry_ms",
        "_last_refused_sha256",
    )

    def __init__(
        self,
        store: key_value.KeyValue,
        bundles: register.BundleRegister,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
        is_watcher: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._bundles = bundles
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._is_watcher = is_watcher
        self._rng = rng or random.Random()
        self._retry_ms = MIN_RETRY_MS
        self._last_refused_sha256 = ""

    async def run(self) -> None:
        """Follow the head until cancelled."""
        while True:
            found = await heads.read_head(self._store)
            is_settled = isinstance(found, result.Ok) and await self._handle_read(found.ok_value)
            if isinstance(found, result.Err) or not is_settled:
                await self._back_off()
            elif self._is_watcher():
                await self._watch(found.ok_value.revision)
            else:
                self._retry_ms = MIN_RETRY_MS
                await self._clock.sleep_ms(self._add_jitter(POLL_INTERVAL_MS))

    async def apply_head(self, head: records.Head) -> bool:
        """Fetch the missing parts of a head's bundle and put the bundle in force.

        :param head: head from the key-value service.
        :return: False if a part could not be fetched; True if the bundle was accepted or refused.
        """
        checked = self._bundles.check_head(head)
        if isinstance(checked, result.Err):
            self._record_refusal(head, checked.err_value.kind, checked.err_value.message)
            return True
        contents: dict[str, bytes] = {}
        for sha256 in self._bundles.find_missing(checked.ok_value):
            fetched = await heads.fetch_part(self._store, sha256)
            if isinstance(fetched, result.Err) or fetched.ok_value is None:
                self._metrics.count("bundle_parts_missing_total")
                return False
            contents[sha256] = fetched.ok_value
        accepted = self._bundles.accept(head, contents)
        if isinstance(accepted, result.Err):
            self._record_refusal(head, accepted.err_value.kind, accepted.err_value.message)
            return True
        self._timeline.record(
            kinds.EventKind.BUNDLE_ACCEPTED,
            f"rolled by {head.rolled_by}",
            bundle_version=head.version,
        )
        return True

    async def _handle_read(self, found: heads.StoredHead) -> bool:
        in_force = self._bundles.current
        version = found.head.version if found.head else 0
        if in_force is not None and version < in_force.head.version:
            return await self._restore_head(in_force, found)
        return found.head is None or await self.apply_head(found.head)

    async def _restore_head(
        self, in_force: register.BundleInForce, found: heads.StoredHead
    ) -> bool:
        self._metrics.count("bundle_heads_restored_total")
        draft = manifests.Draft(in_force.manifest, self._bundles.contents)
        written = await heads.restore_head(self._store, in_force.head, draft, found.revision)
        # False makes run() read the head again: another daemon may have written it.
        return written.is_ok() and found.head is None

    async def _watch(self, revision: int) -> None:
        events = self._store.watch(heads.HEAD_KEY, revision + 1)
        try:
            while True:
                entry = await self._wait_for_event(events)
                if entry is None:
                    return
                self._retry_ms = MIN_RETRY_MS
                head = heads.decode_head(entry.value)
                is_older = head is not None and head.version < self._bundles.version
                if head is None or is_older or not await self.apply_head(head):
                    return
        finally:
            await _close_iterator(events)

    async def _wait_for_event(
        self, events: AsyncIterator[key_value.Entry]
    ) -> key_value.Entry | None:
        event = asyncio.ensure_future(anext(events))
        idle_timer = asyncio.ensure_future(
            self._clock.sleep_ms(self._add_jitter(WATCH_IDLE_TIMEOUT_MS))
        )
        try:
            await asyncio.wait((event, idle_timer), return_when=asyncio.FIRST_COMPLETED)
            if not event.done():
                self._metrics.count("bundle_watches_renewed_total")
                return None
            try:
                return event.result()
            except StopAsyncIteration:
                self._metrics.count("bundle_watches_ended_total")
                await self._back_off()
                return None
        finally:
            for task in (event, idle_timer):
                task.cancel()
            await asyncio.gather(event, idle_timer, return_exceptions=True)

    async def _back_off(self) -> None:
        await self._clock.sleep_ms(self._add_jitter(self._retry_ms))
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)

    def _add_jitter(self, duration_ms: float) -> float:
        return duration_ms * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)

    def _record_refusal(self, head: records.Head, kind: str, message: str) -> None:
        self._metrics.count("bundle_heads_refused_total", kind=kind)
        if kind != "version_not_newer" and head.manifest_sha256 != self._last_refused_sha256:
            self._last_refused_sha256 = head.manifest_sha256
            self._timeline.record(
                kinds.EventKind.BUNDLE_REFUSED, message, bundle_version=head.version
            )


async def _close_iterator(events: AsyncIterator[key_value.Entry]) -> None:
    close = getattr(events, "aclose", None)
    if close is not None:
        await close()
