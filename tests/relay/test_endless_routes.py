"""Answers without end on routes that may be repeated, on streams and from other daemons."""

import asyncio
import collections
import tracemalloc

import pytest

from tanagerfork.relay import budget
from tanagerfork_standins.platform import site
from tests.relay import deployments, raw_answers, test_endless, test_forwarding

DEADLINE_MS = 900
EVENT = b"data: x\n\n"
EVENTS = b"%x\r\n%s\r\n" % (1800 * len(EVENT), EVENT * 1800)
STREAMS = {
    "event": (test_endless.CHUNKED, b"4000\r\n" + test_endless.PIECE + b"\r\n"),
    "unframed event": (test_endless.STAMPED + b"\r\n", test_endless.PIECE),
    "events without ids": (test_endless.CHUNKED, EVENTS),
    "comments": (test_endless.STAMPED + b"\r\n", b": x\n\n" * 3000),
    "slow head": (test_endless.OK + b"X-Slow: ", b"x"),
    "slow event": (test_endless.CHUNKED, b"1\r\nx\r\n"),
}
KINDS = {**test_endless.ENDLESS, **STREAMS}
SLOW_GAP_S = 0.02
ENDLESS_EVENTS = ("events without ids", "comments")  # Proper streams, but for their length.


class EndlessAnswers:
    """Writes answers without end, as fast as they are read, or a byte now and then."""

    def __init__(self, kind: str) -> None:
        self._begin, self._piece = KINDS[kind]
        self._gap_s = SLOW_GAP_S if kind.startswith("slow") else 0.0
        self.open_connections = 0
        self.runs: collections.Counter[str] = collections.Counter()

    async def write(self, transport: asyncio.Transport, request_id: str, target: str) -> None:
        self.runs[target] += 1
        self.open_connections += 1
        try:
            begin = self._begin
            transport.write(begin % request_id.encode() if b"%s" in begin else begin)
            while not transport.is_closing():
                if transport.get_write_buffer_size() < len(self._piece):
                    transport.write(self._piece)
                await asyncio.sleep(self._gap_s)
        finally:
            self.open_connections -= 1


@pytest.fixture(autouse=True)
def unlimited_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(budget.RetryBudget, "try_acquire", lambda *_: True)


async def check_answer(
    deployed: deployments.Deployment, answers: EndlessAnswers, kind: str, route: str
) -> None:
    method = "POST" if route == "stream" else "GET"
    tracemalloc.start()
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            response = await deployed.ask(f"/{route}/x", method, deadline_ms=DEADLINE_MS)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    if route == "stream" and kind in ENDLESS_EVENTS:
        assert response.status == 200 and not response.is_whole
    else:
        assert response.status in (502, 504)
    assert peak_bytes < test_endless.MAX_MEMORY_BYTES
    assert 1 <= answers.runs[f"/{route}/x"] <= 2
    await deployed.wait_until(lambda: not answers.open_connections, "the connection is closed")


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("route", ["safe", "stream"])
class TestEndlessRoutes:
    async def test_caller_gets_an_error_in_time_and_memory_stays_bounded(
        self, kind: str, route: str
    ) -> None:
        answers = EndlessAnswers(kind)
        async with deployments.deploy(engines=8, daemon_count=0) as deployed:
            daemon = await deployed.add_daemon(memory_mb=222.0)
            await deployed.wait_until(
                lambda: len(daemon.view.list_groups(site.ENGINE_SERVICE, "")) == 3, "three groups"
            )
            members = [*deployed.site.engine_runners, *deployed.site.plain_runners]
            raw_answers.replace_answers(members, answers.write)
            await check_answer(deployed, answers, kind, route)

    async def test_the_same_holds_for_the_answer_of_another_daemon(
        self, kind: str, route: str
    ) -> None:
        answers = EndlessAnswers(kind)
        async with deployments.deploy(has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            async with raw_answers.run_daemon(deployed, answers.write):
                await check_answer(deployed, answers, kind, route)
