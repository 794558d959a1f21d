"""Upstreams that send bytes which are no complete answer, without end."""

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncIterator, Iterator

import msgspec
import pytest

from tanagerfork_standins.platform import site
from tests.relay import deployments

DEADLINE_MS = 1500
MAX_MEMORY_BYTES = 48 * 1024 * 1024  # Three times the largest response that is buffered.
MAX_TEXT_BYTES = 2000
PIECE = b"x" * 16_384
OK = b"HTTP/1.1 200 OK\r\n"
STAMPED = OK + b"Tanagerfork-Server-Stamp: s\r\nTanagerfork-Request-Id: %s\r\n"
CHUNKED = STAMPED + b"Transfer-Encoding: chunked\r\n\r\n"


def repeat(begin: bytes, piece: bytes) -> Iterator[bytes]:
    yield begin
    while True:
        yield piece


ENDLESS = {
    "no answer": (b"", PIECE),
    "zeros": (b"", b"\0" * 16_384),
    "reason of the status": (b"HTTP/1.1 200 ", PIECE),
    "one header": (OK + b"X-Long: ", PIECE),
    "many headers": (OK, b"X-Many: y\r\n" * 1000),
    "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "body without a length": (STAMPED + b"\r\n", PIECE),
    "chunks": (CHUNKED, b"4000\r\n" + PIECE + b"\r\n"),
    "size of a chunk": (CHUNKED, b"0" * 16_384),
    "extension of a chunk": (CHUNKED + b"5;", PIECE),
    "trailers": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-Trailer: y\r\n" * 1000),
}


class EndlessUpstream:
    """A plain upstream on a port of its own that answers each request without end."""

    def __init__(self, begin: bytes, piece: bytes) -> None:
        self._begin, self._piece = begin, piece
        self.open_connections = 0
        self.requests = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            request_id = head.lower().partition(b"tanagerfork-request-id: ")[2].partition(b"\r")[0]
            begin = self._begin % request_id if b"%s" in self._begin else self._begin
            for piece in repeat(begin, self._piece):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The daemon has closed the connection.
        finally:
            self.open_connections -= 1
            writer.close()


@contextlib.asynccontextmanager
async def run_upstream(
    deployed: deployments.Deployment, kind: str
) -> AsyncIterator[EndlessUpstream]:
    upstream = EndlessUpstream(*ENDLESS[kind])
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    entry = {
        "service": site.PLAIN_SERVICE,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1,
    }
    deployed.site.store.put("servers/i-endless", msgspec.json.encode(entry))
    yield upstream
    server.close()


class TestEndless:
    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_caller_gets_an_error_in_time_and_memory_stays_bounded(self, kind: str) -> None:
        async with (
            deployments.deploy(engines=0, plain=0) as deployed,
            run_upstream(deployed, kind) as upstream,
        ):
            await deployed.wait_for_rules()
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                    response = await deployed.ask("/unsafe/x", "POST", deadline_ms=DEADLINE_MS)
                grown = tracemalloc.get_traced_memory()[1] - before
            finally:
                tracemalloc.stop()
            # It may have run: never a promise that it has not.
            assert response.status in (502, 504) and upstream.requests == 1
            assert grown < MAX_MEMORY_BYTES
            await deployed.wait_until(
                lambda: not upstream.open_connections, "the connection is closed"
            )

    @pytest.mark.parametrize("kind", ["no answer", "zeros", "many headers"])
    async def test_caller_and_log_get_few_of_the_bytes(self, kind: str) -> None:
        async with (
            deployments.deploy(engines=0, plain=0) as deployed,
            run_upstream(deployed, kind),
        ):
            await deployed.wait_for_rules()
            response = await deployed.ask("/unsafe/x", "POST", deadline_ms=DEADLINE_MS)
            assert response.status == 502 and len(response.body) < MAX_TEXT_BYTES
            lines = deployed.log.find('"decision":"request not answered"')
            assert lines and all(len(line) < MAX_TEXT_BYTES for line in deployed.log.lines)
