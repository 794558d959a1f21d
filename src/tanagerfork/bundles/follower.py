"""Follows the head in the key-value service.

A few daemons of each failure domain watch the head; the others hear of it from peers and read it
every `POLL_MS` in case they do not: 2,600 daemons then read it some 43 times a second in all.
A watch that says nothing for `LIVENESS_MS` is checked by a read, because a connection can go
silent for good.
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

RETRY_FIRST_MS = 250
RETRY_LAST_MS = 10_000
POLL_MS = 60_000
LIVENESS_MS = 30_000
JITTER = 0.2


class BundleFollower:
    """Watches or reads the head and puts new bundles in force.

    :param store: key-value service.
    :param bundles: register that accepts the bundles.
    :param clock: clock to wait on.
    :param timeline: time line.
    :param metrics: counters.
    :param is_watcher: whether this daemon is one of the few that watch.
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
        "_refused_sha256",
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
        self._retry_ms = RETRY_FIRST_MS
        self._refused_sha256 = ""

    async def run(self) -> None:
        """Follow the head until cancelled."""
        while True:
            found = await heads.read_head(self._store)
            is_settled = isinstance(found, result.Ok) and await self._take_read(found.ok_value)
            if isinstance(found, result.Err) or not is_settled:
                await self._back_off()
            elif self._is_watcher():
                await self._watch(found.ok_value.revision)
            else:
                self._retry_ms = RETRY_FIRST_MS
                await self._clock.sleep_ms(self._add_jitter(POLL_MS))

    async def take_head(self, head: records.Head) -> bool:
        """Fetch what a new head needs, and put its bundle in force.

        :param head: head from the key-value service or a peer.
        :return: whether nothing is left to fetch.
        """
        checked = self._bundles.check_head(head)
        if isinstance(checked, result.Err):
            self._note_refusal(head, checked.err_value.kind, checked.err_value.message)
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
            self._note_refusal(head, accepted.err_value.kind, accepted.err_value.message)
            return True
        self._timeline.record(
            kinds.EventKind.BUNDLE_ACCEPTED,
            f"rolled by {head.rolled_by}",
            bundle_version=head.version,
        )
        return True

    async def _take_read(self, found: heads.HeadAt) -> bool:
        in_force = self._bundles.current
        version = found.head.version if found.head else 0
        if in_force is not None and version < in_force.head.version:
            return await self._restore(in_force, found)
        return found.head is None or await self.take_head(found.head)

    async def _restore(self, in_force: register.BundleInForce, found: heads.HeadAt) -> bool:
        self._metrics.count("bundle_heads_restored_total")
        draft = manifests.Draft(in_force.manifest, self._bundles.contents)
        written = await heads.restore_head(self._store, in_force.head, draft, found.revision)
        # The next turn reads what is there now, whoever wrote it.
        return written.is_ok() and found.head is None

    async def _watch(self, revision: int) -> None:
        events = self._store.watch(heads.HEAD_KEY, revision + 1)
        try:
            while True:
                entry = await self._next_event(events)
                if entry is None:
                    return
                self._retry_ms = RETRY_FIRST_MS
                head = heads.decode_head(entry.value)
                is_older = head is not None and head.version < self._bundles.version
                if head is None or is_older or not await self.take_head(head):
                    return
        finally:
            await _close(events)

    async def _next_event(self, events: AsyncIterator[key_value.Entry]) -> key_value.Entry | None:
        event = asyncio.ensure_future(anext(events))
        silence = asyncio.ensure_future(self._clock.sleep_ms(self._add_jitter(LIVENESS_MS)))
        try:
            await asyncio.wait((event, silence), return_when=asyncio.FIRST_COMPLETED)
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
            for task in (event, silence):
                task.cancel()
            await asyncio.gather(event, silence, return_exceptions=True)

    async def _back_off(self) -> None:
        await self._clock.sleep_ms(self._add_jitter(self._retry_ms))
        self._retry_ms = min(2 * self._retry_ms, RETRY_LAST_MS)

    def _add_jitter(self, duration_ms: float) -> float:
        return duration_ms * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _note_refusal(self, head: records.Head, kind: str, message: str) -> None:
        self._metrics.count("bundle_heads_refused_total", kind=kind)
        if kind != "version_not_newer" and head.manifest_sha256 != self._refused_sha256:
            self._refused_sha256 = head.manifest_sha256
            self._timeline.record(
                kinds.EventKind.BUNDLE_REFUSED, message, bundle_version=head.version
            )


async def _close(events: AsyncIterator[key_value.Entry]) -> None:
    close = getattr(events, "aclose", None)
    if close is not None:
        await close()
