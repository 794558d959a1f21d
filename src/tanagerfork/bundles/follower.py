"""Follows the head in the key-value service."""

import result

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.bundles import head as heads
from tanagerfork.bundles import register
from tanagerfork.generated import bundle as records
from tanagerfork.platform import key_value
from tanagerfork.timeline import kinds, ring

RETRY_MS = 1000


class BundleFollower:
    """Watches the head and puts new bundles in force.

    :param store: key-value service.
    :param bundles: register that accepts the bundles.
    :param clock: clock to wait on.
    :param timeline: time line.
    :param metrics: counters.
    """

    __slots__ = ("_store", "_bundles", "_clock", "_timeline", "_metrics")

    def __init__(
        self,
        store: key_value.KeyValue,
        bundles: register.BundleRegister,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._store = store
        self._bundles = bundles
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics

    async def run(self) -> None:
        """Follow the head until cancelled."""
        while True:
            found = await heads.read_head(self._store)
            if isinstance(found, result.Ok):
                if found.ok_value.head is not None:
                    await self.take_head(found.ok_value.head)
                async for _ in self._store.watch(heads.HEAD_KEY, found.ok_value.revision + 1):
                    break
            await self._clock.sleep_ms(0 if found.is_ok() else RETRY_MS)

    async def take_head(self, head: records.Head) -> None:
        """Fetch what a new head needs, and put its bundle in force.

        :param head: head from the key-value service or a peer.
        """
        checked = self._bundles.check_head(head)
        if isinstance(checked, result.Err):
            self._metrics.count("bundle_heads_refused_total", kind=checked.err_value.kind)
            return
        contents: dict[str, bytes] = {}
        for sha256 in self._bundles.find_missing(checked.ok_value):
            fetched = await heads.fetch_part(self._store, sha256)
            if isinstance(fetched, result.Err) or fetched.ok_value is None:
                self._metrics.count("bundle_parts_missing_total")
                return
            contents[sha256] = fetched.ok_value
        self._timeline.observe(head.rolled_at_ms, 0)
        accepted = self._bundles.accept(head, contents)
        if isinstance(accepted, result.Err):
            self._timeline.record(kinds.EventKind.BUNDLE_REFUSED, accepted.err_value.message)
            return
        self._timeline.record(
            kinds.EventKind.BUNDLE_ACCEPTED,
            f"rolled by {head.rolled_by}",
            bundle_version=head.version,
        )
