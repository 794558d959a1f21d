"""Answers whose heads or trailers are not proper, wherever a daemon reads answers."""

import asyncio
import collections
import contextlib
import json
from collections.abc import AsyncIterator

import pytest

from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.platform import runners
from tanagerfork.platform import store as stores
from tanagerfork.relay import budget, exchange, members, plans
from tanagerfork_standins.platform import site
from tests.relay import deployments, raw_answers, test_forwarding

EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
LENGTH = b"Content-Length: %d\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
# Begin of the head, further lines of the head.
IMPROPER = {
    "status_000": (b"HTTP/1.1 000 \r\n", b""),
    "status_099": (b"HTTP/1.1 099 x\r\n", b""),
    "status_101": (b"HTTP/1.1 101 x\r\n", b""),
    "status_600": (b"HTTP/1.1 600 x\r\n", b""),
    "status_999": (b"HTTP/1.1 999 x\r\n", b""),
    "status_000_after_hints": (HINTS + b"HTTP/1.1 000 x\r\n", b""),
    "status_999_after_hints": (HINTS + b"HTTP/1.1 999 x\r\n", b""),
    "blank_in_name": (raw_answers.OK, b"X Bad: y\r\n"),
    "blank_after_name": (raw_answers.OK, b"X-Bad : y\r\n"),
    "control_in_name": (raw_answers.OK, b"X-\x01Bad: y\r\n"),
    "tab_in_name": (raw_answers.OK, b"X-\tBad: y\r\n"),
    "no_colon": (raw_answers.OK, b"X-Bad\r\n"),
    "folded": (raw_answers.OK, b"X-Good: y\r\n Bad: z\r\n"),
    "control_in_value": (raw_answers.OK, b"X-Bad: a\x01b\r\n"),
    "escape_in_value": (raw_answers.OK, b"X-Bad: a\x1bb\r\n"),
    "return_in_value": (raw_answers.OK, b"X-Bad: a\rb\r\n"),
    "control_in_reason": (b"HTTP/1.1 200 a\x01b\r\n", b""),
    "two_lengths": (raw_answers.OK, b"Content-Length: 7\r\n"),
    "signed_length": (raw_answers.OK, b"Content-Length: +7\r\n"),
}
TRAILERS = {
    "blank_in_trailer": b"X Bad: y\r\n",
    "control_in_trailer": b"X-Bad: \x01\r\n",
}


def make_answer(kind: str, lines: bytes, body: bytes) -> bytes:
    """Return an answer of a kind of IMPROPER or TRAILERS."""
    if kind in TRAILERS:
        chunk = b"%x\r\n%s\r\n0\r\n" % (len(body), body)
        return CHUNKED + lines + b"\r\n" + chunk + TRAILERS[kind] + b"\r\n"
    begin, further = IMPROPER[kind]
    return begin + lines + LENGTH % len(body) + further + b"\r\n" + body


KINDS = [*IMPROPER, *TRAILERS]


class ImproperAnswers:
    """Answers the first run of each request improperly, and later runs well.

    With `begins`, the first run is a stream that breaks off, and the second is answered improperly.
    A request's target ends with the kind of the answer.
    """

    def __init__(self, begins: bool = False) -> None:
        self.begins = begins
        self.runs: collections.Counter[str] = collections.Counter()

    async def write(self, transport: asyncio.Transport, request_id: str, target: str) -> None:
        self.runs[target] += 1
        kind = target.rpartition("/")[2]
        stamps = raw_answers.make_stamps(request_id)
        run = self.runs[target] - self.begins
        if run == 0:
            transport.write(raw_answers.OK + stamps + LENGTH % len(EVENTS) + b"\r\n" + EVENTS[:15])
        elif run == 1:
            transport.write(make_answer(kind, stamps, EVENTS[15:] if self.begins else EVENTS))
        else:
            body = EVENTS[15:] if self.begins else EVENTS
            head = raw_answers.OK + stamps + LENGTH % len(body) + b"Connection: close\r\n\r\n"
            transport.write(head + body)
        await asyncio.sleep(0.001)
        transport.close()


@pytest.fixture(autouse=True)
def unlimited_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(budget.RetryBudget, "try_acquire", lambda *_: True)


class TestCallers:
    """Callers got such answers, parts of them, or the daemon's own 500."""

    @pytest.mark.parametrize("route", ["safe", "unsafe", "stream"])
    async def test_it_is_a_loss_and_is_repeated_only_where_allowed(self, route: str) -> None:
        answers = ImproperAnswers()
        async with deployments.deploy(engines=8) as deployed:
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_groups(site.ENGINE_SERVICE, "")) == 3,
                "three groups",
            )
            both = [*deployed.site.engine_runners, *deployed.site.plain_runners]
            raw_answers.replace_answers(both, answers.write)
            for kind in KINDS:
                path = f"/{route}/{kind}"
                response = await deployed.ask(path, "GET" if route == "safe" else "POST")
                if route == "unsafe":
                    assert (response.status, answers.runs[path]) == (502, 1), path
                elif route == "stream" and kind in TRAILERS:  # Its events are there by then.
                    assert response.status == 200, path
                    assert not response.is_whole or response.body == EVENTS, path
                else:
                    assert (response.status, answers.runs[path]) == (200, 2), path
                    assert response.is_whole and response.body == EVENTS, path
                assert not any("Bad" in name for name in response.headers), path
            assert not deployed.log.find("request lost in a crash")

    async def test_stream_that_it_was_to_resume_goes_on_elsewhere(self) -> None:
        answers = ImproperAnswers(begins=True)
        async with deployments.deploy(engines=8) as deployed:
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_groups(site.ENGINE_SERVICE, "")) == 3,
                "three groups",
            )
            raw_answers.replace_answers(deployed.site.engine_runners, answers.write)
            for kind in IMPROPER:
                path = f"/stream/{kind}"
                response = await deployed.ask(path, "POST")
                assert response.status == 200 and answers.runs[path] >= 2, path
                whole = response.is_whole and response.body == EVENTS
                assert whole or (not response.is_whole and response.body == EVENTS[:15]), path

    @pytest.mark.parametrize("route", ["unsafe", "stream"])
    async def test_it_is_no_success_where_another_daemon_sent_it(self, route: str) -> None:
        answers = ImproperAnswers()
        async with deployments.deploy(has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            async with raw_answers.run_daemon(deployed, answers.write):
                for kind in IMPROPER:
                    path = f"/{route}/{kind}"
                    response = await deployed.ask(path, "POST")
                    assert answers.runs[path] == 1, path
                    assert response.status == 502 or not response.is_whole, path


@contextlib.asynccontextmanager
async def run_server(kind: str, body: bytes) -> AsyncIterator[str]:
    """Answer each request with a body that is valid and a head or trailer that is not."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            lines = b"" if kind in TRAILERS else b"Content-Type: application/json\r\n"
            writer.write(make_answer(kind, lines, body))
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@pytest.mark.parametrize("kind", KINDS)
class TestControl:
    """Calls of the daemon itself took bodies behind such heads for answers."""

    REPORT = {"born": 1, "seq": 0, "busy": False, "staged": [], "active": 0, "queued": 0}

    async def test_probe_and_order(self, kind: str) -> None:
        async with run_server(kind, json.dumps(self.REPORT).encode()) as address:
            upstream = members.Upstream("i", site.ENGINE_SERVICE, address, "a", False, 6, 1)
            order = plans.Order(plans.LEAVE, "i", address, "g", 1, "", ())
            pooled, single = exchange.open_control_session(), exchange.open_session(False)
            try:
                client = runners.RunnerClient(pooled, single, 1000, 1000)
                for outcome in (await client.probe(upstream), await client.send_order(order, 1, 0)):
                    assert isinstance(outcome.err(), errors.UpstreamLost), outcome
            finally:
                await pooled.close()
                await single.close()

    async def test_store(self, kind: str) -> None:
        body = {"entries": [], "truncated": False, "storeRevision": 7, "revision": 7, "events": []}
        async with (
            run_server(kind, json.dumps(body).encode()) as address,
            exchange.open_control_session() as session,
        ):
            store = stores.PlatformStore(session, address, 1000, metric.Metrics(), ())
            assert (await store.read_snapshot("")).is_err()
            assert (await store.await_changes("", 5, 100, 10_000)).is_err()
            assert (await store.swap("tanagerfork/x", b"y", 0)).is_err()
