"""Memory watch: measures the account, ends slow readers, and writes log lines and metrics."""

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import memory

LOGGER = "relay.memory"
MEASURE_INTERVAL_MS = 50  # A link of 1 Gbit/s brings 6 MB in that time.


class MemoryWatch:
    """Follows the account of what exchanges hold.

    :param account: account.
    :param clock: clock of the measurements.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_account", "_clock", "_log", "_metrics", "_level")

    def __init__(
        self,
        account: memory.MemoryAccount,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._account = account
        self._clock = clock
        self._log = log
        self._metrics = metrics
        metrics.collect_from(self.write_metrics)
        self._level = memory.Level.FREE

    async def run(self) -> None:
        """Measure until cancelled; returns at once where the memory is not known."""
        while self._account.is_bounded:
            self.measure()
            await self._clock.sleep_ms(MEASURE_INTERVAL_MS)

    def measure(self) -> None:
        """Measure once, and end the exchanges that are to be ended."""
        now_ms = self._clock.monotonic_ms()
        slow = self._account.measure(now_ms)
        self._log_level()
        for holding in slow:
            if holding.reader is None:
                continue
            self._metrics.count("relay_memory_ended_total")
            self._log.note(
                LOGGER,
                "slow reader ended",
                request_id=holding.request_id,
                held_bytes=holding.held_bytes,
                behind_ms=round(now_ms - (holding.behind_since_ms or now_ms)),
                written_bytes=holding.reader.written_bytes,
                all_held_bytes=self._account.held_bytes,
            )
            holding.reader.abort()

    def write_metrics(self, metrics: metric.Metrics) -> None:
        """Set the gauges.

        :param metrics: metrics registry.
        """
        for kind, size in self._account.sum_by_kind().items():
            metrics.set_gauge("relay_held_bytes", size, kind=kind)

    def _log_level(self) -> None:
        level = self._account.level
        if level == self._level:
            return
        self._log.note(
            LOGGER,
            "memory bound passed" if level > self._level else "memory bound left",
            level=level.name.lower(),
            before=self._level.name.lower(),
            held_bytes=self._account.held_bytes,
            exchanges=self._account.exchange_count,
        )
        self._level = level
