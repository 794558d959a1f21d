"""Test bed of the review cases: store, plain runners, daemon processes and callers on loopback.

The store is the project's stand-in, with writes that may be carried out late without an answer.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time

import aiohttp
import aiohttp.web
import msgspec

from tanagerfork import clock as clocks
from tanagerfork_standins import listener
from tanagerfork_standins.platform import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "app.example"
KEY = "key-of-team-a"
SERVICE = "ledger"
HEARTBEAT_S = 1.2
ENTRY_TTL_S = 3 * HEARTBEAT_S
FIRST_PORT = 21_000
HELD = 0
BROKEN = 1
UNABLE = 2
BROKEN_STATUS = 10  # Python itself ends with 1 after an error.


class Record:
    """Lines of record.txt, with the time since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began_s

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s:8.3f}  {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Window:
    """Loss of answers: the first write of each key with a prefix gets none and is done late.

    `writes` and `lost` count the writes of all keys until `until_s`, and those without an answer.
    """

    until_s: float
    prefix: str
    late_s: float
    writes: int = 0
    lost: set[str] = dataclasses.field(default_factory=set)


class LateStore:
    """The stand-in store; loses answers of writes and carries these writes out late."""

    def __init__(self, record: Record) -> None:
        self.store = stores.Store(clocks.SystemClock())
        self._record = record
        self._listener = listener.Listener()
        self._listener.app.middlewares.append(self._lose_answers)
        self.store.serve(self._listener.app)
        self.window: Window | None = None
        self._late: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.port}"

    async def start(self) -> None:
        await self._listener.start()

    async def stop(self) -> None:
        for task in self._late:
            task.cancel()
        await self._listener.stop()

    @aiohttp.web.middleware
    async def _lose_answers(self, request, handler):
        window = self.window
        is_write = request.method in ("POST", "DELETE") and "kv-keep" not in request.path
        if window is None or not is_write or self._record.now_s > window.until_s:
            return await handler(request)
        window.writes += 1
        body = await request.read()
        change = json.loads(body) if request.path == "/kv-txn" else {}
        keys = {row["key"] for row in change.get("writes", [])}
        new = {key for key in keys if key.startswith(window.prefix)} - window.lost
        if not new:
            return await handler(request)
        window.lost |= new
        self._record.note(f"store: the write of {sorted(new)} gets no answer")
        task = asyncio.create_task(self._write_late(change, window.late_s))
        self._late.add(task)
        request.transport.abort()
        return aiohttp.web.Response(status=503)

    async def _write_late(self, change: dict, late_s: float) -> None:
        await asyncio.sleep(late_s)
        async with aiohttp.ClientSession() as session:
            async with session.post(f"http://{self.address}/kv-txn", json=change) as response:
                keys = sorted(row["key"] for row in change["writes"])
                self._record.note(f"store: the late write of {keys} is done, {response.status}")


@dataclasses.dataclass
class Arrival:
    """A request that reached a runner."""

    at_s: float
    runner: str
    born_ms: int
    request_id: str
    path: str
    status: int


class Runner:
    """Plain runner that follows the pages: entry with heartbeats, lifetimes, coldness, crashes."""

    def __init__(
        self, name, store, record, arrivals, cold_s=0.0, work_s=0.01, service=SERVICE
    ) -> None:
        self.id = name
        self.service = service
        self.born_ms = int(time.time() * 1000)
        self._store = store
        self._record = record
        self._arrivals = arrivals
        self._cold_s = cold_s
        self._work_s = work_s
        self.cold_until_s = 0.0
        self.seq = 0
        self.is_cut = False
        self.is_leaving = False
        self.crashing_paths: set[str] = set()
        self.back_after_s = 2.0
        self.crashes = 0
        self._port = 0
        self._server = None
        self._beats = None
        self._renewed_s = 0.0
        self._restart = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Open the port and begin to write heartbeats."""
        app = aiohttp.web.Application(client_max_size=2**24)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/report", self._serve_report)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._server = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01, handler_cancellation=True
        )
        await self._server.setup()
        site = aiohttp.web.TCPSite(self._server, "127.0.0.1", self._port, reuse_address=True)
        await site.start()
        self._port = self._server.addresses[0][1]
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End the process of the runner; its entry stays until it lapses."""
        if self._beats is not None:
            self._beats.cancel()
        if self._restart is not None:
            self._restart.cancel()
        await self.close()

    async def close(self) -> None:
        if self._server is not None:
            for handler in list(self._server.server.connections):
                if handler.transport is not None:
                    handler.transport.abort()
            await self._server.cleanup()
            self._server = None

    async def crash(self, back_after_s: float) -> None:
        """End, and start again under the same id at the same address as a new lifetime."""
        self._record.note(f"{self.id} crashes")
        self.crashes += 1
        self._beats.cancel()
        lapse = asyncio.create_task(self._lapse())
        await self.close()
        await asyncio.sleep(back_after_s)
        lapse.cancel()
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        if self._cold_s:
            self.cold_until_s = self._record.now_s + self._cold_s
        await self.start()
        self._record.note(f"{self.id} is back, born {self.born_ms}")

    async def _lapse(self) -> None:
        await asyncio.sleep(max(0.0, self._renewed_s + ENTRY_TTL_S - self._record.now_s))
        self._store.remove(f"servers/{self.id}")

    async def _beat(self) -> None:
        lapse = asyncio.create_task(self._lapse())
        try:
            while True:
                if not self.is_cut:
                    lapse.cancel()
                    self.write_entry()
                    lapse = asyncio.create_task(self._lapse())
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            lapse.cancel()

    def measure_cold_ms(self) -> int:
        return max(0, round((self.cold_until_s - self._record.now_s) * 1000))

    def make_entry(self) -> dict:
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "draining" if self.is_leaving else "ready",
            "coldLeftMs": self.measure_cold_ms(),
            "seq": self.seq,
            "born": self.born_ms,
        }

    def write_entry(self) -> None:
        self._renewed_s = self._record.now_s
        self._store.put(f"servers/{self.id}", json.dumps(self.make_entry()).encode())

    def _is_other(self, request) -> bool:
        return request.headers.get("Tanagerfork-Expect-Instance", self.id) != self.id

    def _make_headers(self, request) -> dict:
        return {
            "Tanagerfork-Request-Id": request.headers.get("Tanagerfork-Request-Id", ""),
            "Tanagerfork-Load": "1,0,6",
            "Tanagerfork-Instance": self.id,
        }

    async def _serve_health(self, request):
        headers = {**self._make_headers(request), "Tanagerfork-Cold-Ms": str(self.measure_cold_ms())}
        return aiohttp.web.Response(status=503 if self.is_leaving else 200, headers=headers)

    async def _serve_report(self, request):
        if self._is_other(request):
            return aiohttp.web.Response(status=421, headers=self._make_headers(request))
        report = {"phase": "both", "models": [], "busy": False, "seq": 0, "queued": 0, "active": 0}
        report |= {"born": self.born_ms, "coldLeftMs": self.measure_cold_ms()}
        return aiohttp.web.json_response(report, headers=self._make_headers(request))

    async def _serve(self, request):
        request_id = request.headers.get("Tanagerfork-Request-Id", "")
        await request.read()
        headers = self._make_headers(request)
        status = 421 if self._is_other(request) else 200
        now_s = self._record.now_s
        arrival = Arrival(now_s, self.id, self.born_ms, request_id, request.raw_path, status)
        self._arrivals.append(arrival)
        if status == 421:
            return aiohttp.web.Response(status=421, headers={**headers, "Tanagerfork-Not-Run": "1"})
        if request.raw_path in self.crashing_paths:
            self._record.note(f"{self.id} begins to run {request_id} {request.raw_path} and crashes")
            if self._restart is None or self._restart.done():
                self._restart = asyncio.create_task(self.crash(self.back_after_s))
            await asyncio.sleep(10)
        await asyncio.sleep(self._work_s)
        headers["Tanagerfork-Server-Stamp"] = f"stamp-{self.id}-{self.born_ms}"
        return aiohttp.web.Response(status=200, headers=headers, body=f"{request_id}".encode())


def write_config(store, version=1, cold_s=0.0, cold_per_s=0.0, other_routes=None) -> None:
    """Write a configuration, as the operator does.

    `other_routes` are the prefixes of safe routes to other services, by the service.
    """
    kinds = {"/safe/": "safe", "/unsafe/": "unsafe"}
    services = dict.fromkeys(kinds, SERVICE)
    for service, prefix in (other_routes or {}).items():
        kinds[prefix], services[prefix] = "safe", service
    config = {
        "version": version,
        "routes": [
            {
                "name": "r-" + prefix.strip("/"),
                "host": HOST,
                "prefix": prefix,
                "type": kind,
                "timeoutMs": 1500,
                "goalMs": 200,
                "priority": 1,
                "service": services[prefix],
                "attempts": 1 if kind == "unsafe" else 2,
                "public": False,
                "sticky": False,
                "resumable": False,
                "gapGoalMs": 0,
            }
            for prefix, kind in kinds.items()
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": 698,
                "coldStartS": cold_s,
                "coldPerS": cold_per_s,
            }
            for service in dict.fromkeys(services.values())
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "team-a", "apiKeys": [KEY]}],
    }
    store.put("op/config", json.dumps(config).encode())


_ports = itertools.count(FIRST_PORT + os.getpid() * 37 % 8000)


def find_port(host: str = "127.0.0.1") -> int:
    """Return a free port below those of outgoing connections."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


class Daemon:
    """One process of the program of the deploy file."""

    def __init__(self, name, folder, store_address, record, grace_s="8", zone="a") -> None:
        self.name = name
        self._record = record
        self._log = (folder / f"{name}.log").open("ab")
        self.log_path = folder / f"{name}.log"
        self._path = folder / f"{name}.json5"
        ports = [find_port() for _ in range(5)]
        self.callers, self.readiness, self._peers, self._forwarding, self._metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self._zone = zone
        self._store_address = store_address
        self.grace_s = grace_s
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> None:
        """Write what the template of the deploy file gives for a small deployment."""
        self._path.write_text(
            f"""{{
  name: "{self.name}",
  failure_domain: "{self._zone}",
  failure_domains: ["a"],
  regions: {{"a": "region"}},
  callers: "{self.callers}",
  readiness: "{self.readiness}",
  peers: "{self._peers}",
  forwarding: "{self._forwarding}",
  link_mbps: 350.0,
  memory_mb: 222,
  metrics: "{self._metrics}",
  store: {{address: "{self._store_address}"}},
  bounds: {{grace_ms: {self.grace_s}000, repeat_share: 0.2, repeat_reserve: 302,
    repeat_window_ms: 10000}},
}}"""
        )

    async def start(self) -> None:
        self.write_settings()
        words = read_run_command()
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "TANAGERFORK_SETTINGS": str(self._path),
            },
            stdout=self._log,
            stderr=self._log,
        )
        self._record.note(f"{self.name} starts, process {self.process.pid}")

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        await self.process.wait()
        self._record.note(f"{self.name} killed")

    async def is_ready(self, session) -> bool:
        try:
            async with session.get(
                f"http://{self.readiness}/readyz", timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


def read_run_command() -> list[str]:
    """Return the words of `run` in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    found = re.search(r'^run = "([^"]+)"$', text, re.MULTILINE)
    words = found.group(1).split(" ")
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


class Bed:
    """Store, runners and daemons of one case."""

    def __init__(self, folder: pathlib.Path, seed: int = 0) -> None:
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.temporary = tempfile.TemporaryDirectory()
        self.late_store = LateStore(self.record)
        self.store = self.late_store.store
        self.arrivals: list[Arrival] = []
        self.runners: list[Runner] = []
        self.daemons: list[Daemon] = []
        self.answers: list[tuple[float, str, str, str, int, str]] = []
        self._ids = itertools.count(1)
        self.stream_count = 0
        self.session: aiohttp.ClientSession | None = None

    async def start_platform(self, runner_count: int, **options) -> None:
        """Start the store, callers' connections, and runners of the ledger."""
        await self.late_store.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), auto_decompress=False
        )
        for number in range(runner_count):
            await self.add_runner(f"i-{number:04x}", **options)

    async def add_runner(self, name: str, **options) -> Runner:
        """Start a runner."""
        runner = Runner(name, self.store, self.record, self.arrivals, **options)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def start_daemons(self, count: int, **options) -> None:
        folder = pathlib.Path(self.temporary.name)
        for number in range(count):
            daemon = Daemon(
                f"edge-a-{number + 1}", folder, self.late_store.address, self.record, **options
            )
            self.daemons.append(daemon)
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def wait_until_ready(self, limit_s: float = 15.0) -> bool:
        deadline_s = self.record.now_s + limit_s
        while self.record.now_s < deadline_s:
            ready = [await daemon.is_ready(self.session) for daemon in self.daemons]
            if all(ready):
                self.record.note("all daemons are ready")
                return True
            await asyncio.sleep(0.1)
        self.record.note("the daemons are not all ready")
        return False

    async def call(self, daemon, path, method="GET", body=None, deadline_ms=1501, timeout_s=3.0):
        """Send one attempt on a new connection; return its id, status and whether it has a stamp."""
        request_id = f"{next(self._ids):016x}"
        headers = {
            "Host": HOST,
            "Tanagerfork-Request-Id": request_id,
            "Tanagerfork-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        }
        sent_s = self.record.now_s
        try:
            async with self.session.request(
                method,
                f"http://{daemon.callers}{path}",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                await response.read()
                status, note = response.status, response.headers.get("Tanagerfork-Server-Stamp", "")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status, note = 0, type(error).__name__
        self.answers.append((sent_s, request_id, daemon.name, path, status, note))
        return request_id, status, note

    async def send_load(self, per_s: float, until_s: float, path: str = "/safe/x") -> None:
        """Send requests to the daemons in turn at a steady rate."""
        tasks: set[asyncio.Task] = set()
        turn = itertools.cycle(self.daemons)
        next_s = self.record.now_s
        while self.record.now_s < until_s:
            task = asyncio.create_task(self.call(next(turn), path))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            next_s += 1 / per_s
            await asyncio.sleep(max(0.0, next_s - self.record.now_s))
        await asyncio.gather(*tasks)

    def write_record(self) -> None:
        for sent_s, request_id, daemon, path, status, note in self.answers:
            self.record.note(f"sent at {sent_s:.3f} {request_id} {path} to {daemon}: {status} {note}")
        for item in self.arrivals:
            self.record.note(
                f"arrived at {item.at_s:.3f} {item.request_id} {item.path} at {item.runner}, "
                f"born {item.born_ms}: {item.status}"
            )

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        for runner in self.runners:
            await runner.stop()
        if self.session is not None:
            await self.session.close()
        await self.late_store.stop()
        self.temporary.cleanup()


def run(folder: pathlib.Path, case) -> None:
    """Run a case and exit with its result; see `run-case.sh`."""

    async def play() -> int:
        bed = Bed(folder)
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                result = await case(bed, os.environ.get("TROUBLE", "1") != "0")
            bed.write_record()
            return result
        except (TimeoutError, asyncio.CancelledError):
            bed.record.note("the case took too long, or was ended")
            return UNABLE
        finally:
            await bed.stop()

    result = asyncio.run(play())
    sys.exit(BROKEN_STATUS if result == BROKEN else result)
