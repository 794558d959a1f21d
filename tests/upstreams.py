"""Scripted upstreams for the contract tests of the clients."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from tanagerfork.generated import engine

CUT = b"<cut>"
SILENT = b"<silent>"
ATTEMPT_ID = "a1"
REQUEST_ID = "r1"


def head(attempt: str = ATTEMPT_ID, status: str = "200 OK", extra: str = "") -> bytes:
    """Return the head of a response whose body ends when the connection closes."""
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nConnection: close\r\n{extra}\r\n"
    ).encode()


def event(word: str, attempt: str = ATTEMPT_ID, finish: str = "null") -> bytes:
    """Return one event of a streamed response."""
    return (
        f'data: {{"id":"{attempt}","choices":[{{"index":0,"delta":{{"content":"{word}"}},'
        f'"finish_reason":{finish}}}]}}\n\n'
    ).encode()


FINISH = event("", finish='"stop"')
END = b"data: [DONE]\n\n"


class ScriptedUpstream:
    """Serves every connection from a script and records the request lines.

    :param script: byte strings to send; `CUT` aborts the connection, `SILENT` keeps it open.
    """

    def __init__(self, script: list[bytes]) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.has_received = asyncio.Event()
        self.closed_by_client = 0
        self.entry = engine.VmEntry(vm="vm0", url="", failure_domain="d", fabric_domain="f")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            text = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(text.split(b"\r\n")[0])
            self.has_received.set()
            for piece in self.script:
                if piece == CUT:
                    writer.transport.abort()
                    return
                if piece == SILENT:
                    while await reader.read(65536):
                        pass
                    self.closed_by_client += 1
                    return
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


def advance_loop_time(duration_s: float) -> None:
    """Move the time of the running event loop forward, so that its timers become due."""
    loop = asyncio.get_running_loop()
    read_time = loop.time
    loop.time = lambda: read_time() + duration_s


@contextlib.asynccontextmanager
async def run_upstream(script: list[bytes]) -> AsyncIterator[ScriptedUpstream]:
    """Run a scripted upstream on an ephemeral port."""
    upstream = ScriptedUpstream(script)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    upstream.entry.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield upstream
    finally:
        server.close()
