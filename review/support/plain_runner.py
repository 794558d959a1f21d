"""Stand-in for a runner of a plain service: it registers, runs requests, and can crash."""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Callable

from tanagerfork_standins.platform import store

HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
_LIVES = itertools.count(1)


class PlainRunner:
    """One runner; each start is on the same address, and has a new id unless it `keeps_id`.

    `note_run` is called with the runner and the request when a request begins to run. A request
    whose body begins with `crash_body` crashes the runner, which is back after `away_s`. After a
    crash it is cold for `cold_s`.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        registry: store.Store,
        note_run: Callable[["PlainRunner", dict[str, str], bytes, str], None],
        work_s: float = 0.05,
        crash_body: bytes = b"",
        away_s: float = 2.0,
        keeps_id: bool = False,
        cold_s: float = 0.0,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self._registry, self._note_run = registry, note_run
        self._work_s, self._crash_body, self._away_s = work_s, crash_body, away_s
        self._keeps_id, self._cold_s = keeps_id, cold_s
        self.port = 0
        self.crashes = 0
        self.cold_until_s = 0.0  # By the monotonic clock.
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin a new life."""
        self.id = f"i-{self.name}" if self._keeps_id else f"i-{self.name}-{next(_LIVES)}"
        self._born_ms, self._seq, self._load = int(time.time() * 1000), 0, 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = self._spawn(self._beat(self.id))

    def _spawn(self, work: object) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _beat(self, own_id: str) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": self._measure_cold_ms(),
                "seq": self._seq,
                "born": self._born_ms,
            }
            self._registry.put(f"servers/{own_id}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def _measure_cold_ms(self) -> int:
        return max(0, round((self.cold_until_s - time.monotonic()) * 1000))

    async def _lapse(self, own_id: str) -> None:
        await asyncio.sleep(LAPSE_S)
        if self._beats.cancelled() or own_id != self.id:  # Else it is back under its id.
            self._registry.remove(f"servers/{own_id}")

    def crash(self) -> None:
        """Reset all connections, be away for a while, and start anew."""
        self.crashes += 1
        self._beats.cancel()
        assert self._server is not None
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        self._spawn(self._lapse(self.id))
        self._spawn(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(self._away_s)
        self.cold_until_s = time.monotonic() + self._cold_s
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *rest = head.split("\r\n")
                headers = {
                    line.partition(":")[0].strip().lower(): line.partition(":")[2].strip()
                    for line in rest
                    if line
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                born_ms = self._born_ms
                answer = await self._answer(first.split(" ")[1], headers, body)
                if born_ms != self._born_ms or writer.is_closing():
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, path: str, headers: dict[str, str], body: bytes) -> bytes:
        if headers.get("tanagerfork-expect-instance", self.id) != self.id:
            return _make_answer("421 Misdirected Request", {"Tanagerfork-Not-Run": "1"}, b"")
        if path == "/report":
            report = {
                "phase": "both",
                "busy": False,
                "seq": 0,
                "queued": 0,
                "active": self._load,
                "born": self._born_ms,
                "coldLeftMs": self._measure_cold_ms(),
            }
            kind = {"Content-Type": "application/json"}
            return _make_answer("200 OK", kind, json.dumps(report).encode())
        self._note_run(self, headers, body, path)
        self._load += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._load -= 1
        if self._crash_body and body.startswith(self._crash_body):
            self.crash()
            return b""
        stamp = {
            "Tanagerfork-Request-Id": headers.get("tanagerfork-request-id", ""),
            "Tanagerfork-Server-Stamp": f"stamp.{self.id}",
            "Tanagerfork-Load": f"{self._load},0,6",
        }
        return _make_answer("200 OK", stamp, f"{self.service} {self.id} {path}".encode())

    async def end(self) -> None:
        """Close the port and end all tasks."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self._tasks, return_exceptions=True)


def _make_answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
