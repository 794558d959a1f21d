"""Tests of the bounds on clients at a listener, with lowered bounds and connections of sockets."""

import asyncio
import contextlib
import dataclasses
import gc
import socket
import time
from collections.abc import AsyncIterator

import aiohttp.web
import hypothesis
import pytest
from aiohttp import streams
from hypothesis import strategies

from tanagerfork import metrics as metric
from tanagerfork.front import (
    bounds,
    client_connection,
    connection_ledger,
    listener,
    request_reader,
)
from tests import sites

LIMITS = bounds.RequestBounds(2048, 10_000, 200.0, 400.0)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
WAIT_S = 10.0
POLL_S = 0.01
# The second one is longer than the buffers, so that its handler waits for the client.
SEND_BUFFER_BYTES = 8192
ANSWERS = {"/long": b"x" * 50_000, "/longer": b"x" * 4_000_000}
EXAMPLES = 100


@dataclasses.dataclass
class Running:
    """A listener with lowered bounds."""

    port: int
    metrics: metric.Metrics
    ledger: connection_ledger.ConnectionLedger
    handled: list[bytes] = dataclasses.field(default_factory=list)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(sites.HOST, self.port)

    async def send(self, data: bytes) -> bytes:
        """Return all that comes back for some bytes."""
        reader, writer = await self.connect()
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            return await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()
        return b""

    async def ask(self) -> bytes:
        return await self.send(GET + b"Connection: close\r\n\r\n")

    def count(self, bound: bounds.Bound) -> float:
        return self.metrics.counter_value("client_bounds_total", bound=bound.value)

    async def wait_until(self, condition) -> None:
        for _ in range(round(WAIT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        pytest.fail(f"not within {WAIT_S} s")


@contextlib.asynccontextmanager
async def run_listener(
    limits: bounds.RequestBounds = LIMITS, max_connections: int = 10, **options: int
) -> AsyncIterator[Running]:
    handled: list[bytes] = []

    async def answer(request: aiohttp.web.Request) -> aiohttp.web.Response:
        body = await request.read()
        handled.append(request.path.encode() + b" %d" % len(body))
        if request.path == "/slow":
            await asyncio.sleep(0.3)
        return aiohttp.web.Response(body=ANSWERS.get(request.path, body))

    app = aiohttp.web.Application(client_max_size=0)
    app.router.add_route("*", "/{path:.*}", answer)
    metrics = metric.Metrics()
    table: listener.Table = connection_ledger.ConnectionTable(max_connections, **options)
    opened = listener.Listener(
        app,
        sites.HOST,
        0,
        max_connections,
        metrics,
        keeps_encoding=True,
        source=bounds.FixedBounds(limits),
        table=table,
        send_buffer_bytes=SEND_BUFFER_BYTES,
    )
    running = Running(await opened.start(), metrics, opened._ledger, handled)
    try:
        yield running
    finally:
        await opened.stop()


@pytest.fixture
def without_slack(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check the times often and without allowance."""
    monkeypatch.setattr(bounds, "TIME_SLACK_MS", 0.0)
    monkeypatch.setattr(bounds, "CHECK_INTERVAL_MS", 20.0)


class TestInsideTheLimits:
    """Guards against bounds that a client inside the limits meets."""

    @pytest.mark.parametrize(
        "request_bytes",
        [
            GET + b"X: " + b"x" * (LIMITS.header_bytes - len(GET) - 7) + b"\r\n\r\n",
            GET + b"X: " + b"x" * LIMITS.header_bytes + b"\r\n\r\n",
            GET.replace(b"/a", b"/" + b"a" * (LIMITS.header_bytes - len(GET) - 2)) + b"\r\n",
            GET + b"X-Short: y\r\n" * 160 + b"\r\n",
            GET + b"a:\r\n" * 500 + b"\r\n",
            POST + b"Content-Length: 10000\r\n\r\n" + b"x" * 10_000,
            CHUNKED + b"2710\r\n" + b"x" * 10_000 + b"\r\n0\r\n\r\n",
            CHUNKED + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n",
            GET + b"Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n\r\n",
        ],
    )
    async def test_request_is_served_twice_on_a_connection(self, request_bytes: bytes) -> None:
        async with run_listener() as running:
            answers = await running.send(
                2 * request_bytes + GET + b"Connection: close\r\nX: last\r\n\r\n"
            )
            assert answers.count(b"HTTP/1.1 200 OK") == 3
            assert "client_bounds_total{" not in running.metrics.render().replace(
                'client_bounds_total{bound="requests_ahead"}', ""
            )

    @pytest.mark.parametrize("field", ["one field", "one target"])
    async def test_largest_head_of_the_platform_is_served(self, field: str) -> None:
        head = GET.replace(b"/a", b"/" + b"a" * 16_200) + b"\r\n"
        if field == "one field":
            head = GET + b"X: " + b"x" * 16_384 + b"\r\n\r\n"
        async with run_listener(bounds.RequestBounds()) as running:
            answer = await running.send(head + GET + b"Connection: close\r\n\r\n")
            assert answer.count(b"200 OK") == 2

    async def test_head_body_and_idle_connection_that_use_their_times_are_served(self) -> None:
        limits = bounds.RequestBounds(2048, 10_000, 1000.0, 1000.0)
        async with run_listener(limits) as running:
            reader, writer = await running.connect()
            await asyncio.sleep(0.8)
            for _ in range(2):
                for piece in (POST[:10], POST[10:] + b"Content-Length: 3\r\n\r\n", b"ab", b"c"):
                    writer.write(piece)
                    await asyncio.sleep(0.8)
                assert b"200" in await reader.readuntil(b"\r\n\r\n") and await reader.read(3)
            writer.close()


class TestRefusals:
    @pytest.mark.parametrize(
        "sent, bound, status",
        [
            (GET + b"X: " + b"x" * 9000, bounds.Bound.HEAD_BYTES, b"431"),
            (b"\r\n" * 5000, bounds.Bound.EMPTY_LINES, b"400"),
            (b"\0" * 500, bounds.Bound.HEAD_SYNTAX, b"400"),
            (b"GET / HTTP/1.1\r\n\r\n", bounds.Bound.HEAD_SYNTAX, b"400"),
            (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", bounds.Bound.PROTOCOL, b"400"),
            (GET + b"Expect: x\r\n\r\n", bounds.Bound.EXPECTATION, b"417"),
            (POST + b"Content-Length: 10001\r\n\r\n", bounds.Bound.BODY_BYTES, b"413"),
            (
                CHUNKED + b"1388\r\n" + b"x" * 5000 + b"\r\n1389\r\n",
                bounds.Bound.BODY_BYTES,
                b"413",
            ),
            (CHUNKED + b"0;" + b"x" * 2000, bounds.Bound.CHUNK_FRAMING, b"400"),
            (CHUNKED + b"0\r\n" + b"X: y\r\n" * 5000, bounds.Bound.TRAILER_BYTES, b"400"),
        ],
    )
    async def test_request_outside_the_bounds_gets_one_error_and_is_counted(
        self, sent: bytes, bound: bounds.Bound, status: bytes
    ) -> None:
        async with run_listener() as running:
            answer = await running.send(sent)
            assert answer.startswith((b"HTTP/1.1 " + status, b"HTTP/1.0 " + status))
            assert answer.count(b"HTTP/1.") == 1 and b'"ran":"no"' in answer
            assert running.count(bound) == 1 and not running.handled
            await running.wait_until(lambda: not len(running.ledger))

    async def test_refusal_does_not_overtake_the_answer_before_it(self) -> None:
        async with run_listener() as running:
            answer = await running.send(GET.replace(b"/a", b"/slow") + b"\r\n" + b"\0\0\0")
            assert answer.index(b"200 OK") < answer.index(b"400 Bad Request")

    async def test_client_that_takes_neither_answers_nor_the_refusal_is_cut(self) -> None:
        """Guards against closes that wait for ever for bytes that nobody takes."""
        async with run_listener() as running:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect((sites.HOST, running.port))
                client.sendall(GET.replace(b"/a", b"/long") + b"\r\n" + CHUNKED + b"x\r\n")
                await running.wait_until(lambda: running.count(bounds.Bound.CHUNK_FRAMING))
                await running.wait_until(lambda: not len(running.ledger))

    async def test_client_that_goes_on_after_a_refusal_is_cut(self) -> None:
        async with run_listener() as running:
            _, writer = await running.connect()
            with contextlib.suppress(ConnectionError):
                while not running.count(bounds.Bound.LINGER):
                    writer.write(b"\0" * 65_536)
                    await writer.drain()
            await running.wait_until(lambda: not len(running.ledger))
            assert b"200 OK" in await running.ask()

    async def test_bodies_of_all_clients_together_are_bounded(self) -> None:
        limits = bounds.RequestBounds(2048, 1_000_000, 5000.0, 5000.0)
        async with run_listener(limits, all_bodies_bytes=1_500_000) as running:
            held = [await running.connect() for _ in range(4)]
            for _, writer in held:
                writer.write(POST + b"Content-Length: 1000000\r\n\r\n" + b"x" * 700_000)
            await running.wait_until(lambda: running.count(bounds.Bound.ALL_BODIES))
            assert running.ledger.body_bytes <= 1_500_000 + 2 * bounds.READ_BYTES
            assert b"200 OK" in await running.ask()  # Small requests are read nevertheless.
            for _, writer in held:
                writer.close()
            await running.wait_until(lambda: not running.ledger.body_bytes)


class TestTimes:
    pytestmark = pytest.mark.usefixtures("without_slack")

    @pytest.mark.parametrize(
        "sent, bound, answer",
        [
            (b"", bounds.Bound.IDLE_TIME, b""),
            (b"\r\n", bounds.Bound.IDLE_TIME, b""),
            (GET, bounds.Bound.HEAD_TIME, b"408"),
            (POST + b"Content-Length: 5\r\n\r\nabc", bounds.Bound.BODY_TIME, b"408"),
            (CHUNKED + b"5\r\nabc", bounds.Bound.BODY_TIME, b"408"),
        ],
    )
    async def test_connection_that_stands_still_is_closed(
        self, sent: bytes, bound: bounds.Bound, answer: bytes
    ) -> None:
        async with run_listener() as running:
            assert answer in await running.send(sent)
            assert running.count(bound) == 1
            await running.wait_until(lambda: not len(running.ledger))

    @pytest.mark.parametrize("begin", [b"", GET + b"\r\n"])
    async def test_head_that_comes_byte_by_byte_has_the_time_of_one(self, begin: bytes) -> None:
        async with run_listener() as running:
            reader, writer = await running.connect()
            writer.write(begin)
            with contextlib.suppress(ConnectionError):
                while not running.count(bounds.Bound.HEAD_TIME):
                    writer.write(b"G")
                    await asyncio.sleep(0.01)
            assert b"408" in await asyncio.wait_for(reader.read(), WAIT_S)
            writer.close()

    async def test_body_that_comes_byte_by_byte_has_a_time_in_total(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(bounds, "BODY_TIMEOUT_MS", 300.0)
        async with run_listener() as running:
            _, writer = await running.connect()
            writer.write(POST + b"Content-Length: 9000\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                while not running.count(bounds.Bound.BODY_TIME):
                    writer.write(b"x")
                    await asyncio.sleep(0.01)
            writer.close()

    async def test_idle_connection_is_closed_after_an_answer(self) -> None:
        async with run_listener() as running:
            answer = await running.send(GET + b"\r\n")
            assert answer.startswith(b"HTTP/1.1 200 OK")
            assert running.count(bounds.Bound.IDLE_TIME) == 1

    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    @pytest.mark.parametrize("path", [b"/long", b"/longer"])
    @pytest.mark.parametrize("unread_ms, drain_ms", [(200.0, 1e9), (1e9, 300.0)])
    async def test_answer_that_is_not_taken_is_cut(
        self,
        unread_ms: float,
        drain_ms: float,
        path: bytes,
        version: bytes,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(bounds, "UNREAD_TIMEOUT_MS", unread_ms)
        monkeypatch.setattr(bounds, "DRAIN_TIMEOUT_MS", drain_ms)
        bound = bounds.Bound.UNREAD_TIME if unread_ms < drain_ms else bounds.Bound.DRAIN_TIME
        async with run_listener() as running:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect((sites.HOST, running.port))
                client.sendall(GET.replace(b"/a", path).replace(b"1.1", version) + b"\r\n")
                await running.wait_until(lambda: running.count(bound))
                await running.wait_until(lambda: not len(running.ledger))
                client.settimeout(WAIT_S)
                with pytest.raises(ConnectionResetError):  # Not an end that looks complete.
                    while client.recv(4096):
                        pass


class TestAhead:
    async def test_requests_sent_ahead_are_answered_in_their_order(self) -> None:
        async with run_listener() as running:
            sent = [b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b" for _ in "ab"]
            requests = [sent[0] % (n, n * 50, b"x" * n * 50) for n in range(100)]
            last = GET.replace(b"/a", b"/last") + b"Connection: close\r\n\r\n"
            answers = await running.send(b"".join(requests) + last)
            assert answers.count(b"HTTP/1.1 200 OK") == 101
            expected = [b"/%d %d" % (n, n * 50) for n in range(100)] + [b"/last 0"]
            assert running.handled == expected
            assert running.count(bounds.Bound.AHEAD)

    async def test_only_some_bytes_are_read_ahead(self) -> None:
        async with run_listener() as running:
            _, writer = await running.connect()
            writer.write(GET.replace(b"/a", b"/slow") + b"\r\n" + (GET + b"\r\n") * 100_000)
            await running.wait_until(lambda: running.count(bounds.Bound.AHEAD))
            (connection,) = running.ledger.list_in(connection_ledger.Phase.ANSWER)
            assert connection._reader.ahead_bytes <= bounds.AHEAD_BYTES + bounds.READ_BYTES
            assert len(connection._messages) <= 1
            writer.close()


class TestPace:
    async def test_late_event_loop_does_not_count_as_bytes_that_take_long(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against pauses for ordinary callers of a process that stands still at times."""
        read_head = request_reader.RequestReader._accept_head

        def read_slowly(self: request_reader.RequestReader, head: bytes) -> bytes:
            time.sleep(0.02)
            return read_head(self, head)

        monkeypatch.setattr(request_reader.RequestReader, "_accept_head", read_slowly)
        async with run_listener() as running:
            answers = await asyncio.gather(*(running.ask() for _ in range(5)))
            assert all(b"200 OK" in answer for answer in answers)
            assert not running.count(bounds.Bound.PROCESSOR_TIME)

    async def test_crowd_with_small_chunks_waits_and_is_served(self) -> None:
        async with run_listener() as running:
            sent = CHUNKED + b"1\r\nx\r\n" * 9000 + b"0\r\n\r\n" + GET
            last = b"Connection: close\r\n\r\n"
            answers = await asyncio.gather(*(running.send(sent + last) for _ in range(5)))
            assert [answer.count(b"200 OK") for answer in answers] == [2] * 5
            assert running.count(bounds.Bound.PROCESSOR_TIME)


class TestRoom:
    async def test_idle_connection_makes_room_for_a_caller(self) -> None:
        async with run_listener(bounds.RequestBounds(), max_connections=2) as running:
            held = [await running.connect() for _ in range(2)]
            held[0][1].write(GET + b"\r\n")
            await held[0][0].readuntil(b"\r\n\r\n")
            assert b"200 OK" in await running.ask()
            assert running.count(bounds.Bound.ROOM) == 1 and len(running.ledger) <= 2
            for _, writer in held:
                writer.close()

    async def test_caller_is_refused_while_all_others_are_served(self) -> None:
        async with run_listener(bounds.RequestBounds(), max_connections=2) as running:
            held = [await running.connect() for _ in range(2)]
            for _, writer in held:
                writer.write(GET.replace(b"/a", b"/slow") + b"\r\n")
            await running.wait_until(lambda: len(running.handled) == 2)
            assert await running.ask() == b""
            assert running.metrics.counter_value("connections_refused_total") == 1
            for reader, writer in held:
                assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
                writer.close()


def count_objects() -> int:
    """Return how many connections, requests and bodies there are, also those to be collected."""
    kinds = (client_connection.ClientConnection, aiohttp.web.Request, streams.StreamReader)
    return sum(type(found) in kinds for found in gc.get_objects())


class TestFreed:
    """Guards against ended connections whose memory waits for a timer or the garbage collector."""

    @pytest.mark.parametrize(
        "sent",
        [
            b"",
            GET + b"X: " + b"x" * 1000,
            GET + b"X: " + b"x" * 9000,
            b"\0" * 5000,
            b"GET / HTTP/1.1\r\n\r\n",
            b"NONE / HTTP/1.1\r\nHost: h\r\n\r\n",
            GET + b"\r\n",
            POST + b"Content-Length: 9000\r\n\r\n" + b"x" * 8000,
            CHUNKED + b"1388\r\n" + b"x" * 4000,
            CHUNKED + b"5\r\nhello!",
            GET.replace(b"/a", b"/slow") + b"\r\n" + (GET + b"\r\n") * 500,
            GET.replace(b"/a", b"/long") + b"\r\n",
            POST + b"Expect: 100-continue\r\nContent-Length: 9000\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("ends_by_reset", [True, False])
    async def test_connection_that_has_ended_is_freed_at_once(
        self, sent: bytes, ends_by_reset: bool
    ) -> None:
        async with run_listener(bounds.RequestBounds(2048, 10_000)) as running:
            await running.ask()
            gc.collect()
            gc.disable()
            try:
                before = count_objects()
                for _ in range(5):
                    reader, writer = await running.connect()
                    writer.write(sent)
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    if ends_by_reset:
                        writer.transport.abort()
                    else:
                        writer.close()
                    del reader, writer
                await running.wait_until(lambda: not len(running.ledger))
                await asyncio.sleep(0.05)
                after = count_objects()
            finally:
                gc.enable()
            assert after <= before


DRAWN = strategies.lists(
    strategies.one_of(
        strategies.binary(max_size=200),
        strategies.sampled_from(
            [
                GET + b"\r\n",
                GET,
                POST + b"Content-Length: 5\r\n\r\nhello",
                POST + b"Content-Length: 5\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
                CHUNKED,
                b"5\r\nhello\r\n",
                b"0\r\n\r\n",
                b"\r\n",
                b"\0",
                b"x" * 3000,
                POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
            ]
        ),
    ),
    max_size=8,
)


class TestDrawnClients:
    @hypothesis.seed(55)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(strategies.lists(DRAWN, min_size=1, max_size=4))
    def test_callers_are_served_beside_clients_that_send_anything(
        self, clients: list[list[bytes]]
    ) -> None:
        async def run() -> None:
            async with run_listener() as running:
                writers = []
                for pieces in clients:
                    _, writer = await running.connect()
                    writers.append(writer)
                    for piece in pieces:
                        writer.write(piece)
                        await asyncio.sleep(0)
                assert b"200 OK" in await running.ask()
                for writer in writers:
                    writer.close()
                await running.wait_until(lambda: not len(running.ledger))
                assert not running.ledger.body_bytes

        asyncio.run(run())
