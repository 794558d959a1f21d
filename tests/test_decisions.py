"""Tests of the decision log."""

import logging
import os

import msgspec

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tests.relay import deployments


class TestDecisionLog:
    def test_line_names_its_logger_and_its_fields_once(self):
        lines = deployments.LineList()
        log = decisions.DecisionLog("d1", clocks.ManualClock(), lines)
        log.note("relay.placing", "send", request_id="r1", age_ms=3)
        told = msgspec.json.decode(lines.lines[0])
        assert told["logger"] == "relay.placing" and told["request_id"] == "r1"
        assert lines.lines[0].count(b"request_id") == 1 and lines.lines[0].endswith(b"\n")

    def test_volume_is_bounded_and_what_is_dropped_is_counted(self):
        clock = clocks.ManualClock()
        lines = deployments.LineList()
        log = decisions.DecisionLog("d1", clock, lines)
        for _ in range(decisions.BURST_LINES + 50):
            log.note("x", "y")
        assert len(lines.lines) == decisions.BURST_LINES and log.dropped == 50
        clock.advance(1000)
        log.note("x", "y")
        assert msgspec.json.decode(lines.lines[-1])["lines_dropped_before"] == 50

    def test_libraries_write_lines_of_the_same_form(self):
        lines = deployments.LineList()
        handler = decisions.LibraryLines(decisions.DecisionLog("d1", clocks.ManualClock(), lines))
        try:
            raise ConnectionError("gone")
        except ConnectionError as error:
            failure = (type(error), error, None)
        record = logging.LogRecord("aiohttp.server", 40, "", 1, "failed", (), failure)
        handler.handle(record)
        told = msgspec.json.decode(lines.lines[0])
        assert told["logger"] == "aiohttp.server" and told["error"] == "ConnectionError"

    def test_full_pipe_drops_lines_and_never_blocks(self):
        reading, writing = os.pipe()
        try:
            writer = decisions.DescriptorWriter(writing)
            taken = 0
            while writer.write(b"x" * 4000):
                taken += 1
            assert taken > 0 and not writer.write(b"x" * 4000)
            os.read(reading, 65_536)
            assert writer.write(b"x" * 4000)
        finally:
            os.close(reading)
            os.close(writing)
