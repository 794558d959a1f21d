"""Daemon processes that the soak test starts and signals."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys

from tanagerfork import errors

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_PORT, END_PORT = 20_000, 32_000  # Below the ports of outgoing connections.
PORT_STRIDE = 613  # Between processes that were started one after the other, as by pytest.
_NEXT_PORTS = iter(range(FIRST_PORT + os.getpid() * PORT_STRIDE % 10_000, END_PORT))


class Daemon:
    """One daemon in its own process."""

    def __init__(self, name: str, folder: pathlib.Path, store_port: int) -> None:
        self.name = name
        self.callers_port, *rest = find_ports(5)
        self._path = folder / f"{name}.json5"
        addresses = [f"127.0.0.1:{port}" for port in (self.callers_port, *rest)]
        settings = {
            "name": name,
            "failure_domain": "a",
            "failure_domains": ["a"],
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
        }
        self._path.write_text(json.dumps(settings))
        self._log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self._restarting = asyncio.Lock()

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "relayd.py"),
            env={**os.environ, "TANAGERFORK_SETTINGS": str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        :param number: signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended and was not started again."""
        return self.process is not None and self.process.returncode is not None

    def describe_end(self) -> str:
        """Return the name, exit status and last line of the log."""
        lines = pathlib.Path(self._log.name).read_text().splitlines()
        status = self.process.returncode if self.process else None
        return f"{self.name} with {status}: {lines[-1][:500] if lines else 'no log'}"

    def close(self) -> None:
        """Close the log file."""
        self._log.close()

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal and start it again.

        :param number: signal.
        """
        async with self._restarting:
            self.send(number)
            assert self.process is not None
            await self.process.wait()
            await self.start()


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
