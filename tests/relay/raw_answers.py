"""Answers that stand-ins write as bytes of their own choice, and a daemon that does so."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp.web
import msgspec

from tanagerfork.relay import daemon_directory
from tanagerfork_standins.platform import runner
from tests.relay import deployments

OK = b"HTTP/1.1 200 OK\r\n"
# Writes an answer, given the id and the target of the request.
WriteAnswer = Callable[[asyncio.Transport, str, str], Awaitable[None]]


def make_stamps(request_id: str) -> bytes:
    """Return the header lines without which an answer is no success of a runner."""
    return f"Tanagerfork-Request-Id: {request_id}\r\nTanagerfork-Server-Stamp: s\r\n".encode()


def replace_answers(members: list[runner.Runner], write_answer: WriteAnswer) -> None:
    """Have runners answer the requests that they run with bytes of the test's choice."""

    async def send(
        request: aiohttp.web.Request, headers: dict[str, str], fault: runner.Fault
    ) -> aiohttp.web.StreamResponse:
        assert isinstance(request.transport, asyncio.Transport)
        request_id = headers[runner.REQUEST_ID_HEADER]
        await write_answer(request.transport, request_id, request.raw_path)
        return aiohttp.web.Response()

    for member in members:
        member._send_answer = member._send_stream = send  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def run_daemon(
    deployed: deployments.Deployment, write_answer: WriteAnswer
) -> AsyncIterator[None]:
    """List a daemon that answers each request that it is handed with bytes of the test's choice."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            values = dict(line.lower().split(": ", 1) for line in lines if line)
            request_id = values[runner.REQUEST_ID_HEADER.lower()]
            await write_answer(writer.transport, request_id, first.split(" ")[1])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    record = daemon_directory.DaemonRecord("a", "", forwarding=address, keeps_regions=True)
    key = f"{daemon_directory.DAEMON_PREFIX}daemon-raw"
    deployed.site.store.put(key, msgspec.json.encode(record))
    await deployed.wait_until(
        lambda: "daemon-raw" in deployed.daemons[0].directory.daemons, "the other daemon"
    )
    yield
    server.close()
