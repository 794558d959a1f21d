"""Reach: whether this daemon reaches any upstream, as told by all of its exchanges with them."""

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric

LOGGER = "relay.reach"
MIN_UNREACHED = 3  # Fewer upstreams may have failed by themselves at the same time.


class Reach:
    """Tracks the upstreams that did not answer since any of them was last heard from.

    :param clock: clock of all times.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_clock", "_log", "_metrics", "_heard_at_ms", "_unreached", "_lost_since_ms")

    def __init__(
        self, clock: clocks.Clock, log: decisions.DecisionLog, metrics: metric.Metrics
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._heard_at_ms = clock.monotonic_ms()
        self._unreached: set[str] = set()
        self._lost_since_ms: int | None = None

    def note_heard(self) -> None:
        """Record that bytes arrived from an upstream."""
        now_ms = self._clock.monotonic_ms()
        self._heard_at_ms = now_ms
        self._unreached.clear()
        if self._lost_since_ms is not None:
            away_ms = now_ms - self._lost_since_ms
            self._lost_since_ms = None
            self._log.note(LOGGER, "upstreams reached again", away_ms=away_ms)

    def note_unreached(self, upstream_id: str) -> None:
        """Record that an upstream took no connection or sent nothing in time.

        :param upstream_id: id of the upstream.
        """
        self._unreached.add(upstream_id)
        if self._lost_since_ms is None and len(self._unreached) >= MIN_UNREACHED:
            self._lost_since_ms = self._clock.monotonic_ms()
            self._metrics.count("relay_reach_losses_total")
            self._log.note(
                LOGGER,
                "no upstream reached",
                unreached=len(self._unreached),
                silent_ms=self._lost_since_ms - self._heard_at_ms,
            )
