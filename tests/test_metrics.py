"""Tests of the metrics and their text format."""

import re

import pytest
from hdrh import histogram

from tanagerfork import metrics as metric

SAMPLE = re.compile(
    r'^tanagerfork_[a-z_]+(\{[a-z_]+="([^"\\\n]|\\.)*"(,[a-z_]+="([^"\\\n]|\\.)*")*\})? \S+$'
)
COMMENT = re.compile(
    r"^# (HELP tanagerfork_[a-z_]+ \S.*|TYPE tanagerfork_[a-z_]+ (counter|gauge|summary))$"
)


class TestText:
    def test_every_line_matches_the_format_and_every_name_is_described_once(self):
        metrics = metric.Metrics()
        metrics.count("requests_total", team="growers")
        metrics.count("requests_total", team='a "b" \\ c\nd')
        metrics.set_gauge("groups_down", 2, failure_domain="ipoh-a")
        metrics.observe_ms("request_queue_seconds", 12.5, team="growers")
        metrics.observe_ms("request_queue_seconds", 10, team="office")
        lines = metrics.render().splitlines()
        assert all(SAMPLE.match(line) or COMMENT.match(line) for line in lines)
        types = [line.split()[2] for line in lines if line.startswith("# TYPE")]
        assert len(types) == len(set(types)) == 3
        assert 'tanagerfork_requests_total{team="a \\"b\\" \\\\ c\\nd"} 1' in lines
        assert 'tanagerfork_request_queue_seconds_count{team="growers"} 1' in lines
        assert 'tanagerfork_request_queue_seconds_sum{team="growers"} 0.0125' in lines

    @pytest.mark.parametrize("value", [1, 1234567, 10**12 + 1])
    def test_counter_is_rendered_with_all_digits(self, value):
        metrics = metric.Metrics()
        metrics.count("tokens_total", value)
        assert f"tanagerfork_tokens_total {value}" in metrics.render().splitlines()

    def test_collector_is_called_at_each_rendering(self):
        metrics, called = metric.Metrics(), []
        metrics.collect_from(lambda target: called.append(target.set_gauge("x", len(called))))
        assert "tanagerfork_x 0" in metrics.render() and "tanagerfork_x 1" in metrics.render()


class TestBounds:
    def test_label_sets_over_the_limit_are_counted_as_one(self):
        metrics = metric.Metrics()
        for number in range(metric.MAX_SERIES + 50):
            metrics.count("calls_total", path=str(number))
        assert metrics.counter_value("calls_total", path=metric.OVERFLOW) == 50
        assert metrics.counter_value("metric_series_capped_total") == 50

    def test_histograms_over_the_limit_are_added_to_one(self):
        metrics = metric.Metrics()
        for number in range(metric.MAX_HISTOGRAMS + 30):
            metrics.observe_ms("request_queue_seconds", 5, team=str(number))
        encoded = metrics.encode_latencies()
        assert len(encoded) == metric.MAX_HISTOGRAMS + 1
        other = next(item for item in encoded if item.labels[0].value == metric.OVERFLOW)
        assert histogram.HdrHistogram.decode(other.histogram).get_total_count() == 30
