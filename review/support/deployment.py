"""Starts daemons as the deploy file says, for the scripts of the review, and talks to them.

Each daemon has a loopback address of its own, as each machine of a deployment has. The settings
file is the deploy file's template, filled in with the fields of a small deployment.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"frontend": 8227, "readiness": 8220, "control": 8229}
PORT_RANGE = (7340, 7355)
TAG = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")


def make_fields(name: str, zone: str, ip: str, store: str, zones: list[str]) -> dict[str, object]:
    """Return the settings fields of a machine of a small deployment, as the pages show them."""
    return {
        "node": name,
        "zone": zone,
        "ip": ip,
        "zones": {each: "perak" for each in zones},
        "listen": {key: f"{ip}:{port}" for key, port in PORTS.items()},
        "portRange": list(PORT_RANGE),
        "limits": {"memoryMb": 222, "linkMbps": 350.0, "maxFds": 1535},
        "platform": {"address": store},
        "bounds": {"graceS": 8, "retryRatio": 0.2, "retrySlack": 302, "retryWindowS": 10},
    }


def _look_up(path: str, fields: object, entry: object, key: str) -> object:
    if path == "@":
        return key
    if path == ".":
        return entry if entry is not None else fields
    value: object = fields
    for part in path.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list):
            value = value[int(part)]
        else:
            return None
    return value


def render(
    text: str, fields: object, entry: object = None, key: str = "", last: bool = True
) -> str:
    """Fill in a template with the fields, by the rules of the platform for its placeholders."""
    out, at = [], 0
    while (found := TAG.search(text, at)) is not None:
        out.append(text[at : found.start()])
        sign, path, as_json = found.groups()
        at = found.end()
        if sign in ("#", "^"):
            closing = "{{/" + path + "}}"
            end = text.index(closing, at)
            inner, at = text[at:end], end + len(closing)
            value = _look_up(path, fields, entry, key)
            if sign == "^":
                out.append("" if value else render(inner, fields, entry, key, last))
            elif isinstance(value, dict):
                names = list(value)
                for name in names:
                    out.append(render(inner, fields, value[name], name, name == names[-1]))
            elif isinstance(value, list):
                for index, item in enumerate(value):
                    out.append(render(inner, fields, item, str(index), index == len(value) - 1))
            elif value:
                out.append(render(inner, fields, value, key, last))
        elif path == ",":
            out.append("" if last else ",")
        else:
            value = _look_up(path, fields, entry, key)
            if as_json:
                out.append(json.dumps(value))
            elif value is not None:
                out.append(str(value))
    out.append(text[at:])
    return "".join(out)


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Time since the start, in seconds."""
        return time.monotonic() - self._began_s

    def note(self, text: str, is_shown: bool = True) -> None:
        """Write a line, and print it if it is to be shown."""
        line = f"{self.now_s:8.3f}  {text}"
        self._file.write(line + "\n")
        if is_shown:
            print(line, flush=True)


class Daemon:
    """A daemon in a process of its own, started with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, ip: str, store: str, zones: list[str], folder: pathlib.Path
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["relay"]
        self.name, self.ip = name, ip
        self._command = shlex.split(deploy["run"])
        self._settings = folder / f"{name}.conf"
        template = (ROOT / deploy["template"]).read_text()
        self._settings.write_text(render(template, make_fields(name, zone, ip, store, zones)))
        self._log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["TANAGERFORK_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process = await asyncio.create_subprocess_exec(
            *self._command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal, as the platform does, and start it again."""
        assert self.process is not None
        self.send(number)
        try:
            async with asyncio.timeout(8.0):  # graceS
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self.start()

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the readiness check succeeds."""
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    answer = await ask(self.ip, PORTS["readiness"], "GET", "/readyz", {}, b"", 1.0)
                    if answer.status == 200:
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


@dataclasses.dataclass
class Answer:
    """Answer of a daemon; `status` is 0 where the connection closed without one."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


async def ask(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    limit_s: float,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            lines += [] if "Host" in headers else [f"Host: {ip}"]
            lines += [f"Content-Length: {len(body)}"] if body or method == "POST" else []
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            return await _read_answer(reader)
        finally:
            writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", False)
    first, *rest = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = bytearray()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int((await reader.readline()).split(b";")[0] or b"0", 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, bytes(body), False)
    return Answer(status, headers, bytes(body))


def end_on_sigterm() -> None:
    """Have SIGTERM end the script by its own end, which ends the processes that it started."""

    def end(number: int, frame: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)


def find_addresses(count: int) -> list[str]:
    """Return loopback addresses on which the ports of a daemon are free."""
    ports = [*PORTS.values(), PORT_RANGE[0], PORT_RANGE[1], 9464]
    found = []
    for last in range(2, 250):
        ip = f"127.83.{os.getpid() % 250 + 1}.{last}"
        try:
            for port in ports:
                with socket.create_server((ip, port)):
                    pass
        except OSError:
            continue
        found.append(ip)
        if len(found) == count:
            return found
    raise OSError("no loopback addresses with free ports")
