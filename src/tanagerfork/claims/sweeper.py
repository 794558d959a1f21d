"""Deletes claims on time-ordered keys after their retention; `retention` says why this is safe."""

from collections.abc import Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import keys, retention
from tanagerfork.storage import key_value

SWEEP_INTERVAL_MS = 10 * 60_000


class ClaimSweeper:
    """Raises the watermark, waits, and deletes the claims before it.

    :param store: key-value service.
    :param clock: clock for waits, and wall clock.
    :param metrics: counters.
    :param watermark: watermark of deleted claims.
    :param is_sweeper: returns whether this daemon sweeps; if several do, it only costs more calls.
    :param retention_ms: age at which claims are deleted, in milliseconds.
    """

    __slots__ = ("_store", "_clock", "_metrics", "_watermark", "_is_sweeper", "_retention_ms")

    def __init__(
        self,
        store: key_value.KeyValue,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        watermark: retention.ClaimWatermark,
        is_sweeper: Callable[[], bool],
        retention_ms: int = retention.RETENTION_MS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._watermark = watermark
        self._is_sweeper = is_sweeper
        self._retention_ms = retention_ms

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            if self._is_sweeper():
                await self.sweep()

    async def sweep(self) -> result.Result[None, errors.PlatformError]:
        """Sweep once.

        :return: nothing, or the error of the key-value service; the next sweep deletes what this
            one left.
        """
        cutoff_ms = self._clock.wall_ms() - self._retention_ms
        # All daemons round to the same value, so that only the first one has to write it.
        rounded_ms = cutoff_ms - cutoff_ms % SWEEP_INTERVAL_MS
        raised = await self._watermark.raise_to(rounded_ms)
        if isinstance(raised, result.Err):
            return raised
        await self._clock.sleep_ms(retention.DELETION_DELAY_MS)
        deleted = await self._store.delete_range(
            keys.name_bucket(0), keys.name_bucket(raised.ok_value)
        )
        self._metrics.count("claim_sweeps_total", outcome="done" if deleted.is_ok() else "failed")
        return deleted.map(lambda _: None)
