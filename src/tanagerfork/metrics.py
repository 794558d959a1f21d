"""Counters, gauges and latency histograms of a daemon."""

import collections
from collections.abc import Iterable

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
PREFIX = "tanagerfork_"

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counts and measures; printed in the Prometheus text format."""

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = collections.defaultdict(float)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: name without the prefix, ending in _total.
        :param amount: what to add.
        :param labels: labels of the counter.
        """
        self._counters[name, _to_labels(labels)] += amount

    def counted(self, name: str, **labels: str) -> float:
        """Return a counter's value.

        :param name: name without the prefix.
        :param labels: labels of the counter.
        :return: the sum so far.
        """
        return self._counters[name, _to_labels(labels)]

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge.

        :param name: name without the prefix.
        :param value: value.
        :param labels: labels of the gauge.
        """
        self._gauges[name, _to_labels(labels)] = value

    def observe_ms(self, name: str, duration_ms: float, **labels: str) -> None:
        """Add a duration to a histogram.

        :param name: name without the prefix, ending in _seconds.
        :param duration_ms: duration, in milliseconds.
        :param labels: labels of the histogram.
        """
        key = name, _to_labels(labels)
        if key not in self._histograms:
            self._histograms[key] = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._histograms[key].record_value(max(LOWEST_US, int(duration_ms * 1000)))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"{PREFIX}{name}{_render_labels(labels)} {value:g}")
        for (name, labels), value in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}{name}{_render_labels(labels)} {value:g}")
        for (name, labels), measured in sorted(self._histograms.items(), key=lambda item: item[0]):
            lines.extend(_render_histogram(name, labels, measured))
        return "\n".join(lines) + "\n"


def _to_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _render_labels(labels: Iterable[tuple[str, str]]) -> str:
    inner = ",".join(f'{key}="{value}"' for key, value in labels)
    return f"{{{inner}}}" if inner else ""


def _render_histogram(name: str, labels: Labels, measured: histogram.HdrHistogram) -> Iterable[str]:
    for quantile in QUANTILES:
        value_s = measured.get_value_at_percentile(quantile) / 1_000_000
        with_quantile = (*labels, ("quantile", f"{quantile / 100:g}"))
        yield f"{PREFIX}{name}{_render_labels(with_quantile)} {value_s:g}"
    yield f"{PREFIX}{name}_count{_render_labels(labels)} {measured.get_total_count()}"
