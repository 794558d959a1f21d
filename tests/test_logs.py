"""Tests of the structured logs."""

import asyncio
import json
import logging
import sys

import aiohttp
import pytest
from absl import logging as absl_logging

from tanagerfork import clock as clocks
from tanagerfork import logs
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import coordinator
from tanagerfork.timeline import kinds, ring
from tests import sites

REQUESTS = 1000
CONCURRENT_REQUESTS = 50


class LineHandler(logging.Handler):
    """Collects records as formatted by the log's JSON formatter."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(logs.JsonFormatter().format(record))


@pytest.fixture
def lines():
    handler = LineHandler()
    root = logging.getLogger()
    original = root.level, root.handlers[:]
    logs.configure_logs(settings_records.LogSettings())
    root.addHandler(handler)
    yield handler.lines
    root.handlers[:] = original[1]
    root.setLevel(original[0])
    absl_logging.get_absl_logger().setLevel(logging.NOTSET)


class TestLines:
    def test_event_is_structured(self, lines):
        timeline = ring.Timeline("ipoh-a-1", clocks.ManualClock(), 10)
        event = timeline.record(kinds.EventKind.GROUP_BROKEN, "missing: vm-1", group="g1")
        logs.log_event(event)
        line = json.loads(lines[0])
        assert line["level"] == "info"
        assert line["timestamp"].endswith("+00:00")
        assert line["message"] == "group.broken g1 missing: vm-1"
        assert line["event"]["group"] == "g1" and line["event"]["daemon"] == "ipoh-a-1"

    def test_exception_is_one_line_with_its_traceback(self, lines):
        try:
            raise ValueError("x")
        except ValueError:
            absl_logging.get_absl_logger().exception("it failed")
        assert "ValueError: x" in json.loads(lines[0])["error"]
        assert "\n" not in lines[0]

    @pytest.mark.parametrize("log_format", ["json", "text"])
    def test_lines_go_to_standard_error_only(self, log_format, capsys):
        logs.configure_logs(settings_records.LogSettings(format=log_format))
        handler = absl_logging.get_absl_handler().python_handler
        original_stream = handler.stream
        handler.stream = sys.stderr
        absl_logging.get_absl_logger().info("told")
        handler.stream = original_stream
        output = capsys.readouterr()
        assert output.out == "" and "told" in output.err


class TestStates:
    @pytest.mark.parametrize("kind", list(kinds.EventKind))
    def test_only_changes_of_state_are_logged(self, lines, kind):
        timeline = ring.Timeline("a", clocks.ManualClock(), 10, on_event=logs.log_event)
        timeline.record(kind)
        is_state = kind.partition(".")[0] not in ("request", "order", "claim")
        assert len(lines) == is_state


class TestGoodRequests:
    async def test_1000_good_requests_add_nothing_to_log_and_timeline(self, lines, monkeypatch):
        steps = count_steps(monkeypatch)
        # A pause of the test's event loop is no outage of the key-value service.
        async with sites.run_site(
            vms=8, presence_ttl_ms=20_000, key_value_timeout_ms=60_000
        ) as running:
            await sites.wait_until(lambda: len(list_ordered_vms(running)) == 8)
            began = len(steps)
            await sites.wait_until(lambda: len(steps) >= began + 2)  # No order is in flight then.
            before = len(running.daemon.timeline.read().events), len(lines)
            semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS)

            async def send_bounded(number: int) -> tuple[int, bytes]:
                async with semaphore:
                    return await send_request(running, number)

            answers = await asyncio.gather(*(send_bounded(number) for number in range(REQUESTS)))
            failed = [answer for answer in answers if answer[0] not in (200, 201)]
            assert not failed, f"{len(failed)} failed, at first {failed[0]}"
            added = running.daemon.timeline.read().events[before[0] :]
            assert [(event.kind, event.detail, event.vm) for event in added] == []
            assert lines[before[1] :] == []
            answered = running.daemon.metrics.counter_value(
                "requests_ended_total", team="shift-leads", outcome="answered"
            )
            assert answered == REQUESTS


def list_ordered_vms(running: sites.RunningSite) -> set[str]:
    """Return the VMs that answered an order; a group can become whole before the last one does."""
    events = running.daemon.timeline.read().events
    return {event.vm for event in events if event.kind == kinds.EventKind.ORDER_SENT}


def count_steps(monkeypatch: pytest.MonkeyPatch) -> list[None]:
    """Return a list that gets an entry for each completed step of a coordinator."""
    steps: list[None] = []
    take_step = coordinator.Coordinator.take_step

    async def take_counted_step(self: coordinator.Coordinator) -> None:
        await take_step(self)
        steps.append(None)

    monkeypatch.setattr(coordinator.Coordinator, "take_step", take_counted_step)
    return steps


async def send_request(running: sites.RunningSite, number: int) -> tuple[int, bytes]:
    """Send a model request, or a plain one for every fourth number; return status and body."""
    url = f"{running.url}/services/{sites.SERVICE}/pressings"
    body: dict = {"lot": str(number)}
    headers = {**running.headers, "Idempotency-Key": f"lot-{number}"}
    if number % 4:
        url = f"{running.url}/v1/chat/completions"
        message = {"role": "user", "content": "draft the rota"}
        body = {"model": sites.MODEL, "stream": bool(number % 2), "messages": [message]}
        headers = running.headers
    timeout = aiohttp.ClientTimeout(total=60)
    async with running.session.post(url, json=body, headers=headers, timeout=timeout) as response:
        return response.status, await response.read()
