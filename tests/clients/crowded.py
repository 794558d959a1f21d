"""A daemon process with lowered limits, and what is measured of it while a crowd plays."""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator

from tools import processes

from tanagerfork_standins.platform import site
from tests.relay import deployments, test_slow_readers

MEMORY_MB = 112  # Twice and a half of what an idle daemon holds.
MAX_DESCRIPTORS = 160
OPEN_CONNECTIONS = 64
SAMPLE_S = 0.02
ANSWER_S = 5.0
TCP_TABLE = pathlib.Path("/proc/net/tcp")
MIB = 1024 * 1024


class CrowdedDaemon:
    """A daemon process, with the largest amounts that were measured.

    `most_bytes` are resident bytes, and those that its sockets have received or not sent.
    """

    def __init__(self, daemon: processes.Daemon) -> None:
        self.daemon = daemon
        self.most_bytes = 0
        self.most_descriptors = 0

    @property
    def process_id(self) -> int:
        assert self.daemon.process is not None
        return self.daemon.process.pid

    @property
    def ports(self) -> dict[str, int]:
        """The ports of the listeners."""
        return {
            name: int(str(self.daemon._settings[name]).rpartition(":")[2])
            for name in ("callers", "forwarding", "readiness", "metrics", "peers")
        }

    def count_descriptors(self) -> int:
        """Return the number of open descriptors; 0 if the process has ended."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.process_id}/fd"))
        return 0

    def measure_socket_bytes(self) -> int:
        """Return the bytes in the kernel's buffers of the connections to the listeners."""
        ports = {f"{port:04X}" for port in self.ports.values()}
        size = 0
        for line in TCP_TABLE.read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].partition(":")[2] in ports:
                sent, _, received = fields[4].partition(":")
                size += int(sent, 16) + int(received, 16)
        return size

    def sample(self) -> None:
        """Measure once."""
        size = self.daemon.measure_resident_bytes() + self.measure_socket_bytes()
        self.most_bytes = max(self.most_bytes, size)
        self.most_descriptors = max(self.most_descriptors, self.count_descriptors())

    async def sample_for(self, seconds: float) -> None:
        """Measure for a time."""
        for _ in range(round(seconds / SAMPLE_S)):
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    async def ask(self, path: str = "/safe/ordinary", port: int | None = None) -> bytes:
        """Return the status line of the answer to an ordinary caller; empty if there is none."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError), socket.socket() as caller:
            caller.setblocking(False)
            async with asyncio.timeout(ANSWER_S):
                await loop.sock_connect(caller, ("127.0.0.1", port or self.daemon.callers_port))
                await loop.sock_sendall(caller, test_slow_readers.make_request(path))
                return (await loop.sock_recv(caller, 1 << 16)).partition(b"\r\n")[0]
        return b""

    async def wait_until_served(self, path: str = "/safe/ordinary") -> bool:
        """Return whether an ordinary caller is served, at the latest when it comes back."""
        ends_s = asyncio.get_running_loop().time() + deployments.WAIT_S
        while asyncio.get_running_loop().time() < ends_s:
            if (await self.ask(path)).endswith(b"200 OK"):
                return True
            self.sample()
            await asyncio.sleep(SAMPLE_S)
        return False

    async def wait_for_descriptors(self, limit: int) -> int:
        """Wait until the process has at most so many descriptors; return their number."""
        ends_s = asyncio.get_running_loop().time() + deployments.WAIT_S
        while asyncio.get_running_loop().time() < ends_s and self.count_descriptors() > limit:
            self.sample()
            await asyncio.sleep(SAMPLE_S)
        return self.count_descriptors()


@contextlib.asynccontextmanager
async def run_daemon(
    folder: pathlib.Path, answer_bytes: int = 0, open_connections: int = OPEN_CONNECTIONS
) -> AsyncIterator[CrowdedDaemon]:
    """Run a daemon with lowered limits in front of plain stand-ins."""
    deployed_site = site.Site(engine_count=0)
    await deployed_site.start()
    for member in deployed_site.plain_runners:
        member.padding_bytes, member.slots = answer_bytes, 1000
    port = int(deployed_site.address.rpartition(":")[2])
    daemon = processes.Daemon("d0", folder, port, memory_mb=MEMORY_MB)
    daemon._settings["open_connections"] = open_connections
    await daemon.start()
    assert daemon.process is not None
    resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
    crowded = CrowdedDaemon(daemon)
    try:
        assert await crowded.wait_until_served(), "an ordinary caller is not served in calm"
        yield crowded
    finally:
        daemon.send(signal.SIGCONT)
        daemon.send(signal.SIGKILL)
        await daemon.process.wait()
        daemon.close()
        await deployed_site.stop()


@contextlib.asynccontextmanager
async def run_crowd(port: int, kind: str, clients: int, seconds: float) -> AsyncIterator[None]:
    """Run a crowd in a process of its own, and wait for its end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.clients.crowd", str(port), kind, str(clients), str(seconds)
    )
    try:
        yield
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
