"""Refused notices: counts the notices that cannot be read, and logs some of them."""

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import daemon_directory, notice_codec

LOGGER = "relay.refused_notices"
LOG_INTERVAL_MS = 10_000
MAX_SENDER_CHARS = 64


class RefusedNotices:
    """Counts refused notices; logs at most one in `LOG_INTERVAL_MS`.

    :param directory: list of daemons.
    :param clock: clock of the interval.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_directory", "_clock", "_log", "_metrics", "_logged_at_ms", "_unlogged")

    def __init__(
        self,
        directory: daemon_directory.DaemonDirectory,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._logged_at_ms = -LOG_INTERVAL_MS
        self._unlogged = 0

    def note(self, frame: bytes, reason: str) -> None:
        """Count a notice, and log it unless one was logged just before.

        :param frame: frame as received.
        :param reason: why it cannot be read.
        """
        self._metrics.count("relay_notices_refused_total")
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._logged_at_ms < LOG_INTERVAL_MS:
            self._unlogged += 1
            return
        sender = notice_codec.read_sender(frame)[:MAX_SENDER_CHARS]
        record = self._directory.daemons.get(sender)
        self._log.note(
            LOGGER,
            "notice cannot be decoded",
            reason=reason,
            sender=sender,
            build=record.build if record else "",
            unlogged_before=self._unlogged,
        )
        self._logged_at_ms, self._unlogged = now_ms, 0
