"""Counters, gauges and latency histograms of a daemon."""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from hdrh import histogram

from tanagerfork.generated import operators

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
US_PER_S = 1_000_000
QUANTILES = (50.0, 95.0, 99.0)
PREFIX = "tanagerfork_"
MAX_SERIES = 1000  # Label sets of one name; further ones are counted under `OVERFLOW`.
MAX_HISTOGRAMS = 200  # A histogram takes about 20 KB.
OVERFLOW = "other"
STAGES = {
    "request_queue_seconds": "queue",
    "request_first_token_seconds": "first_token",
    "request_token_gap_seconds": "gap",
    "request_total_seconds": "total",
}
HELP = {
    "group_downtime_seconds_total": "Group-seconds that the bundle asks for and no group served.",
    "stranded_accelerator_seconds_total": "Accelerator-seconds of live VMs in no whole group.",
    "request_queue_seconds": "Time a request waited for a slot.",
    "request_first_token_seconds": "Time from the sending of a request to its first token.",
    "request_token_gap_seconds": "Mean time between two tokens of one answer.",
    "request_total_seconds": "Time from the arrival of a request to the end of its answer.",
    "requests_ended_total": "Requests that ended, by outcome.",
}
HELP_ELSEWHERE = "See the table of metrics in docs/OPERATING.md."

Labels = tuple[tuple[str, str], ...]
Series = dict[tuple[str, Labels], float]
Collector = Callable[["Metrics"], None]


@dataclasses.dataclass(slots=True)
class Latency:
    """Durations of one label set."""

    durations_us: histogram.HdrHistogram
    sum_us: int = 0


class Metrics:
    """Counters, gauges and histograms, rendered in the Prometheus text format."""

    __slots__ = ("_counters", "_gauges", "_latencies", "_series_counts", "_collectors")

    def __init__(self) -> None:
        self._counters: Series = {}
        self._gauges: Series = {}
        self._latencies: dict[tuple[str, Labels], Latency] = {}
        self._series_counts: collections.Counter[str] = collections.Counter()
        self._collectors: list[Collector] = []

    def collect_from(self, collector: Collector) -> None:
        """Register a function that sets metrics before each rendering.

        :param collector: called with these metrics.
        """
        self._collectors.append(collector)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: name without the prefix, ending in _total.
        :param amount: amount to add.
        :param labels: labels of the counter.
        """
        key = self._bound_key(self._counters, name, labels)
        self._counters[key] = self._counters.get(key, 0) + amount

    def counter_value(self, name: str, **labels: str) -> float:
        """Return a counter's value.

        :param name: name without the prefix.
        :param labels: labels of the counter.
        :return: the value; 0 if it has not been counted.
        """
        return self._counters.get((name, _to_labels(labels)), 0)

    def set_counter(self, name: str, value: float, **labels: str) -> None:
        """Set a counter whose value is kept elsewhere.

        :param name: name without the prefix, ending in _total.
        :param value: current value, which must not decrease.
        :param labels: labels of the counter.
        """
        self._counters[self._bound_key(self._counters, name, labels)] = value

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge.

        :param name: name without the prefix.
        :param value: value.
        :param labels: labels of the gauge.
        """
        self._gauges[self._bound_key(self._gauges, name, labels)] = value

    def drop_gauge(self, name: str) -> None:
        """Drop all series of a gauge, of which others are set next.

        :param name: name without the prefix.
        """
        for key in [key for key in self._gauges if key[0] == name]:
            del self._gauges[key]
            self._series_counts[name] -= 1

    def observe_ms(self, name: str, duration_ms: float, **labels: str) -> None:
        """Add a duration to a histogram.

        :param name: name without the prefix, ending in _seconds.
        :param duration_ms: duration, in milliseconds.
        :param labels: labels of the histogram.
        """
        key = name, _to_labels(labels)
        latency = self._latencies.get(key)
        if latency is None:
            if len(self._latencies) >= MAX_HISTOGRAMS:
                key = name, tuple((label, OVERFLOW) for label, _ in key[1])
                self.count("metric_series_capped_total")
            latency = self._latencies.setdefault(key, Latency(make_histogram()))
        duration_us = max(MIN_DURATION_US, int(duration_ms * US_PER_MS))
        latency.durations_us.record_value(min(duration_us, MAX_DURATION_US))
        latency.sum_us += duration_us

    def encode_latencies(self) -> list[operators.EncodedLatency]:
        """Return all histograms, encoded so that they can be merged without loss."""
        return [
            operators.EncodedLatency(
                name=name,
                labels=[operators.Label(name=label, value=value) for label, value in labels],
                histogram=latency.durations_us.encode().decode(),
            )
            for (name, labels), latency in sorted(self._latencies.items(), key=_key_of)
        ]

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        for collector in self._collectors:
            collector(self)
        lines = [*_render_series(self._counters, "counter"), *_render_series(self._gauges, "gauge")]
        described = ""
        for (name, labels), latency in sorted(self._latencies.items(), key=_key_of):
            if name != described:
                lines.extend(_describe(name, "summary"))
                described = name
            lines.extend(_render_latency(name, labels, latency))
        return "\n".join(lines) + "\n"

    def _bound_key(self, series: Series, name: str, labels: dict[str, str]) -> tuple[str, Labels]:
        key = name, _to_labels(labels)
        if key in series:
            return key
        if self._series_counts[name] >= MAX_SERIES:
            self.count("metric_series_capped_total")
            return name, tuple((label, OVERFLOW) for label, _ in key[1])
        self._series_counts[name] += 1
        return key


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of durations, in microseconds."""
    return histogram.HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)


def _to_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _key_of(item: tuple[tuple[str, Labels], Latency]) -> tuple[str, Labels]:
    return item[0]


def _render_series(series: Series, kind: str) -> Iterable[str]:
    described = ""
    for (name, labels), value in sorted(series.items()):
        if name != described:
            yield from _describe(name, kind)
            described = name
        yield f"{PREFIX}{name}{_render_labels(labels)} {_render_value(value)}"


def _describe(name: str, kind: str) -> Iterable[str]:
    yield f"# HELP {PREFIX}{name} {HELP.get(name, HELP_ELSEWHERE)}"
    yield f"# TYPE {PREFIX}{name} {kind}"


def _render_labels(labels: Iterable[tuple[str, str]]) -> str:
    inner = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return f"{{{inner}}}" if inner else ""


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _render_value(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(value)


def _render_latency(name: str, labels: Labels, latency: Latency) -> Iterable[str]:
    for quantile in QUANTILES:
        value_s = latency.durations_us.get_value_at_percentile(quantile) / US_PER_S
        with_quantile = (*labels, ("quantile", f"{quantile / 100:g}"))
        yield f"{PREFIX}{name}{_render_labels(with_quantile)} {_render_value(value_s)}"
    yield f"{PREFIX}{name}_sum{_render_labels(labels)} {_render_value(latency.sum_us / US_PER_S)}"
    yield f"{PREFIX}{name}_count{_render_labels(labels)} {latency.durations_us.get_total_count()}"
