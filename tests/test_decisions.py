"""Tests of the decision log."""

import logging
import os

import msgspec

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tests.relay import deployments


class TestDecisionLog:
    def test_line_contains_its_logger_and_each_field_once(self):
        lines = deployments.LineList()
        log = decisions.DecisionLog("d1", clocks.ManualClock(), lines)
        log.note("relay.placing", "send", request_id="r1", age_ms=3)
        line = msgspec.json.decode(lines.lines[0])
        assert line["logger"] == "relay.placing" and line["request_id"] == "r1"
        assert lines.lines[0].count(b"request_id") == 1 and lines.lines[0].endswith(b"\n")

    def test_rate_is_limited_and_dropped_lines_are_counted(self):
        clock = clocks.ManualClock()
        lines = deployments.LineList()
        log = decisions.DecisionLog("d1", clock, lines)
        for _ in range(decisions.BURST_LINES + 50):
            log.note("x", "y")
        assert len(lines.lines) == decisions.BURST_LINES and log.dropped == 50
        clock.advance(1000)
        log.note("x", "y")
        assert msgspec.json.decode(lines.lines[-1])["lines_dropped_before"] == 50

    def test_libraries_log_in_the_same_format(self):
        lines = deployments.LineList()
        handler = decisions.LibraryLines(decisions.DecisionLog("d1", clocks.ManualClock(), lines))
        try:
            raise ConnectionError("gone")
        except ConnectionError as error:
            exc_info = (type(error), error, None)
        record = logging.LogRecord("aiohttp.server", 40, "", 1, "failed", (), exc_info)
        handler.handle(record)
        line = msgspec.json.decode(lines.lines[0])
        assert line["logger"] == "aiohttp.server" and line["error"] == "ConnectionError"

    def test_full_pipe_drops_lines_and_never_blocks(self):
        read_end, write_end = os.pipe()
        try:
            writer = decisions.DescriptorWriter(write_end)
            written = 0
            while writer.write(b"x" * 4000):
                written += 1
            assert written > 0 and not writer.write(b"x" * 4000)
            os.read(read_end, 65_536)
            assert writer.write(b"x" * 4000)
        finally:
            os.close(read_end)
            os.close(write_end)
