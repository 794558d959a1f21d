"""Test bed: daemons as processes of their own, the stand-ins of the project, and plain callers.

Each daemon has a loopback address of its own and the settings that the deploy file's template makes
for a small deployment. Everything that is sent, run and answered is written to a record.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "src"))
sys.path.insert(0, str(ROOT / "target" / "deps"))

from tanagerfork_standins.platform import site as sites  # noqa: E402

BROKEN, KEPT, NOT_RUN = 1, 0, 2
FIRST_PORT = 21_000 + os.getpid() % 500 * 20
METRICS_PORT = 9464  # Fixed by the template.
START_S = 20.0
TEMPLATE_VALUE = re.compile(r"\{\{([a-zA-Z.0-9]+)(\|json)?\}\}")


class Record:
    """Lines with the time since the start, as they are written to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    @property
    def now_s(self) -> float:
        """Time since the start."""
        return time.monotonic() - self._began_s


def render_settings(fields: dict[str, str], zones: list[str]) -> str:
    """Fill in the settings template of the deploy file."""
    text = (ROOT / "deploy" / "settings.json5").read_text()
    joined = ",".join(f'"{zone}"' for zone in zones)
    text = text.replace('{{#zones}}"{{@}}"{{,}}{{/zones}}', joined)
    mapped = ",".join(f'"{zone}":"r"' for zone in zones)
    text = text.replace("{{zones|json}}", "{" + mapped + "}")
    text = re.sub(r"\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{\.\}\}(.*?)\{\{/\1\}\}", r"\2{{\1}}\3", text)

    def fill(match: re.Match[str]) -> str:
        value = fields[match[1]]
        return f'"{value}"' if match[2] else value

    return TEMPLATE_VALUE.sub(fill, text)


class Daemon:
    """One daemon process, started with the command of the deploy file."""

    def __init__(
        self, name: str, address: str, zone: str, zones: list[str], store: str, folder: pathlib.Path
    ) -> None:
        self.name, self.ip, self.zone = name, address, zone
        self.callers_port = FIRST_PORT
        self.settings = folder / f"{name}.conf"
        self.settings.write_text(
            render_settings(
                {
                    "node": name,
                    "zone": zone,
                    "listen.frontend": f"{address}:{FIRST_PORT}",
                    "listen.readiness": f"{address}:{FIRST_PORT + 1}",
                    "ip": address,
                    "portRange.0": str(FIRST_PORT + 2),
                    "portRange.1": str(FIRST_PORT + 3),
                    "limits.linkMbps": "350.0",
                    "limits.memoryMb": "222",
                    "limits.maxFds": "1535",
                    "platform.address": store,
                    "bounds.graceS": "8",
                    "bounds.retryRatio": "0.2",
                    "bounds.retrySlack": "302",
                    "bounds.retryWindowS": "10",
                },
                zones,
            )
        )
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["relay"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["TANAGERFORK_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            reply = await asyncio.wait_for(self._probe(), 1.0)
        except (OSError, TimeoutError, EOFError):
            return False
        return reply.startswith(b"HTTP/1.1 200")

    async def _probe(self) -> bytes:
        reader, writer = await asyncio.open_connection(self.ip, FIRST_PORT + 1)
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return await reader.readline()
        finally:
            writer.close()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got; `status` is 0 where the connection ended first."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Caller:
    """A caller with one connection, which is kept between requests."""

    def __init__(self, address: str, port: int) -> None:
        self._address, self._port = address, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        deadline_ms: int = 8000,
    ) -> Answer:
        """Send a request and read its answer."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {sites.HOST}",
            f"Tanagerfork-Request-Id: {request_id}",
            f"Tanagerfork-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {sites.API_KEY}",
        ]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer = Answer(0, {}, b"", False)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._address, self._port
                    )
                self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await self._read(answer)
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        if not answer.is_complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        first = (await self._reader.readuntil(b"\r\n")).split(b" ", 2)
        answer.status = int(first[1])
        while (line := await self._reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            answer.headers[name.lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
        answer.is_complete = True

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Bed:
    """Daemons and stand-ins of one small deployment.

    :param folder: folder of the case, for its record.
    :param platform: store and runners.
    """

    def __init__(self, folder: pathlib.Path, platform: sites.Site) -> None:
        self.record = Record(folder)
        self.site = platform
        self.daemons: list[Daemon] = []
        self._folder = tempfile.TemporaryDirectory()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def start(self, counts: dict[str, int]) -> None:
        """Start the store and the runners, then the daemons, and wait until all are ready."""
        await self.site.start()
        zones = list(counts)
        number = 0
        for zone, count in counts.items():
            for index in range(count):
                number += 1
                address = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number}"
                self.daemons.append(
                    Daemon(
                        f"edge-{zone}-{index + 1}",
                        address,
                        zone,
                        zones,
                        self.site.address,
                        pathlib.Path(self._folder.name),
                    )
                )
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        async with asyncio.timeout(START_S):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)
        self.record.note("all daemons are ready")

    def caller(self, daemon: Daemon) -> Caller:
        """Return a new caller of a daemon."""
        return Caller(daemon.ip, daemon.callers_port)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        with contextlib.suppress(Exception):
            await self.site.stop()
        self._folder.cleanup()


async def _play_until_stopped(play: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Play a case; a SIGTERM ends it with all the processes that it started."""
    playing = asyncio.ensure_future(play())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    return await playing


def run(play: Callable[[], Coroutine[Any, Any, int]]) -> None:
    """Run a case and exit with its status; 2 if it cannot run."""
    try:
        status = asyncio.run(_play_until_stopped(play))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        status = NOT_RUN
    sys.exit(status)
