"""Daemon processes that the soak test starts and signals."""

import asyncio
import contextlib
import itertools
import json
import math
import os
import pathlib
import signal
import socket
import sys

from tanagerfork import errors
from tools import builds, regions

FIRST_PORT, END_PORT = 20_000, 32_000  # Below the ports of outgoing connections.
PORT_STRIDE = 613  # Between processes that were started one after the other, as by pytest.
RELOAD_WAIT_S, RELOAD_POLL_S = 5.0, 0.005
LISTENING_POLL_S = 0.05
_NEXT_PORTS = iter(range(FIRST_PORT + os.getpid() * PORT_STRIDE % 10_000, END_PORT))


class Daemon:
    """One daemon in its own process.

    :param name: name of the daemon.
    :param folder: folder for settings and logs.
    :param store_port: port of the store.
    :param build: build that it is started from.
    :param failure_domain: failure domain.
    :param memory_mb: memory of its VM, in MiB; 0 if it is unknown.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_port: int,
        build: builds.Build = builds.PRESENT,
        failure_domain: str = "a",
        memory_mb: float = 0,
    ) -> None:
        self.name = name
        self.build = build
        self.build_since_s = -math.inf  # In the time of the event loop.
        self.callers_port, *rest = find_ports(5)
        self._path = folder / f"{name}.json5"
        addresses = [f"127.0.0.1:{port}" for port in (self.callers_port, *rest)]
        self._settings = {
            "name": name,
            "failure_domain": failure_domain,
            "failure_domains": list(regions.REGIONS),
            **dict(
                zip(
                    ("callers", "readiness", "metrics", "peers", "forwarding"),
                    addresses,
                    strict=True,
                )
            ),
            "store": {"address": f"127.0.0.1:{store_port}"},
            "bounds": {"grace_ms": 4000},
            "members": {"lease_ttl_ms": 1500, "probe_interval_ms": 200},
            "regions": regions.REGIONS,
            "memory_mb": memory_mb,
        }
        self._log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self._restarting = asyncio.Lock()

    async def start(self) -> None:
        """Start the process with the settings that it is to know."""
        known = self.list_settings()
        settings = {name: value for name, value in self._settings.items() if name in known}
        self._path.write_text(json.dumps(settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self.build.program),
            env={**os.environ, "TANAGERFORK_SETTINGS": str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    def list_settings(self) -> frozenset[str]:
        """Return the names of the settings to write: those that the build knows."""
        return self.build.list_settings()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        :param number: signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def reload(self) -> None:
        """Have the process read its settings again.

        The signal ends an interpreter that has not begun with the program, whatever it does. So it
        waits until the process ignores or handles the signal, but not for ever.
        """
        process = self.process
        assert process is not None
        for _ in range(round(RELOAD_WAIT_S / RELOAD_POLL_S)):
            if takes_signal(process.pid, signal.SIGHUP):
                break
            await asyncio.sleep(RELOAD_POLL_S)
        if process is self.process:
            self.send(signal.SIGHUP)

    async def wait_until_listening(self) -> None:
        """Wait until the process takes connections; until it ends or is replaced otherwise."""
        process = self.process
        while process is self.process and not self.has_ended:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.callers_port)
                writer.close()
                return
            await asyncio.sleep(LISTENING_POLL_S)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended and was not started again."""
        return self.process is not None and self.process.returncode is not None

    def measure_resident_bytes(self) -> int:
        """Return the resident memory of the process; 0 if it has ended."""
        if self.process is None or self.has_ended:
            return 0
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:  # The process has just ended.
            return 0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") if fields else 0

    def describe_end(self) -> str:
        """Return the name, exit status and last line of the log."""
        lines = pathlib.Path(self._log.name).read_text().splitlines()
        status = self.process.returncode if self.process else None
        return f"{self.name} with {status}: {lines[-1][:500] if lines else 'no log'}"

    def describe(self) -> str:
        """Return the name and the build."""
        return f"{self.name} ({self.build.name})"

    def find_lines(self, *texts: str) -> list[str]:
        """Return the lines of the log that contain one of some texts.

        :param texts: texts.
        """
        lines = pathlib.Path(self._log.name).read_text(errors="replace").splitlines()
        return [line for line in lines if any(text in line for text in texts)]

    def close(self) -> None:
        """Close the log file."""
        self._log.close()

    async def restart(self, number: signal.Signals, build: builds.Build | None = None) -> None:
        """End the process by a signal and start it again.

        :param number: signal.
        :param build: build to start; None for the same one.
        """
        async with self._restarting:
            self.send(number)
            assert self.process is not None
            await self.process.wait()
            if build not in (None, self.build):
                self.build = build
                self.build_since_s = asyncio.get_running_loop().time()
            await self.start()


def takes_signal(process_id: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or handles a signal; True if it has ended.

    :param process_id: process.
    :param number: signal.
    """
    try:
        text = pathlib.Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return True
    fields = dict(line.split(":", 1) for line in text.splitlines())
    mask = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(mask >> (number - 1) & 1)


def find_ports(count: int) -> list[int]:
    """Return free ports outside the range that the system assigns to outgoing connections.

    :param count: number of ports.
    """
    ports: list[int] = []
    for port in itertools.chain(_NEXT_PORTS, range(FIRST_PORT, END_PORT)):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise errors.InternalFailure(f"no {count} free ports below {END_PORT}; end other processes")
