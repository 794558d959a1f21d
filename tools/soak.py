"""Soak: real daemons as processes under faults from outside, and the promises checked meanwhile.

The driver starts the daemons, the platform's stand-ins and a proxy before the store; it stops,
pauses, kills and restarts daemons by signals, lets the store refuse, stay silent and lose answers,
crashes runners, and changes the configuration, all by a seed and overlapping. Callers keep their
connections open. What callers and runners saw is checked: see `Verdict`.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile

import aiohttp
import yarl

from tanagerfork_standins.platform import runner, site

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALL_S = 3.0
CALLERS = 8
STEP_S = 0.4  # Time between two faults, so that they overlap with the repairs of earlier ones.
START_S = 15.0
WAITED_PATHS = ("/safe/", "/stream/")
SETTLE_S = 6.0  # All faults are over by then; a request must be served again.


@dataclasses.dataclass(slots=True)
class Verdict:
    """Promises that were broken, and what was played."""

    broken: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[int] = dataclasses.field(default_factory=collections.Counter)
    faults: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def check(self, holds: bool, what: str) -> None:
        """Note a promise that does not hold.

        :param holds: whether it holds.
        :param what: what was seen.
        """
        if not holds:
            self.broken.append(what)


class Proxy:
    """A loopback proxy before the store that delays, resets or silences its connections."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.delay_s = 0.0
        self.is_silent = False
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Open the port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the port and all connections."""
        self._server.close()
        self.reset()
        await asyncio.sleep(0.1)  # The tasks of the connections end.

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer), return_exceptions=True
        )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                await asyncio.sleep(self.delay_s)
                if not self.is_silent:
                    writer.write(data)
        finally:
            writer.close()


class Daemon:
    """One daemon as a process of its own."""

    def __init__(self, name: str, folder: pathlib.Path, store_port: int) -> None:
        self.name = name
        self.callers_port, *rest = find_ports(4)
        self._path = folder / f"{name}.json5"
        addresses = [f"127.0.0.1:{port}" for port in (self.callers_port, *rest)]
        settings = {
            "name": name,
            "failure_domain": "a",
            "failure_domains": ["a"],
            **dict(zip(("callers", "readiness", "metrics", "peers"), addresses, strict=True)),
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
        """Send a signal to the process, if it runs.

        :param number: signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """Close the log."""
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


class Soak:
    """One run.

    :param seed: seed of faults and callers.
    :param daemon_count: daemons.
    :param folder: where settings and logs go.
    """

    def __init__(self, seed: int, daemon_count: int, folder: pathlib.Path) -> None:
        self.rng = random.Random(seed)
        self.verdict = Verdict()
        self.site = site.Site(engine_count=8, plain_count=3)
        self._count = daemon_count
        self._folder = folder
        self.daemons: list[Daemon] = []
        self._number = 0
        self._faults = {
            "kill": self._kill,
            "stop": self._stop,
            "pause": self._pause,
            "reload": self._reload,
            "runner crashes": self._crash_runner,
            "runner's answers": self._spoil_answers,
            "store silent": self._silence_store,
            "store slow": self._slow_store,
            "store refuses": self._refuse,
            "store loses": self._lose,
            "store forgets": self._forget,
            "store resets": self._reset,
            "new configuration": self._configure,
        }

    async def run(self, length_s: float) -> Verdict:
        """Play faults for a time, then wait for all to be served again.

        :param length_s: time of the faults, in seconds.
        :return: what was broken.
        """
        await self.site.start()
        for member in self.site.engine_runners:
            member.observer = self._observe
        self.proxy = Proxy(self.site.address)
        await self.proxy.start()
        for number in range(self._count):
            self.daemons.append(Daemon(f"d{number}", self._folder, self.proxy.port))
            await self.daemons[-1].start()
        try:
            await self._wait_until_served()
            stop = asyncio.Event()
            callers = [asyncio.create_task(self._call_on(stop)) for _ in range(CALLERS)]
            await self._play_faults(length_s)
            stop.set()
            await asyncio.gather(*callers)
            await asyncio.sleep(SETTLE_S)
            await self._wait_until_served()
        finally:
            for daemon in self.daemons:
                daemon.send(signal.SIGCONT)
                daemon.send(signal.SIGKILL)
                daemon.close()
            await self.proxy.stop()
            await self.site.stop()
        return self.verdict

    async def _wait_until_served(self) -> None:
        missing = {(daemon.name, path) for daemon in self.daemons for path in WAITED_PATHS}
        try:
            async with asyncio.timeout(START_S), aiohttp.ClientSession() as session:
                while missing:
                    for daemon in self.daemons:
                        for path in WAITED_PATHS:
                            if await self._call(session, daemon, path) == 200:
                                missing.discard((daemon.name, path))
                    await asyncio.sleep(0.1)
        except TimeoutError:
            ends = {one.name: one.process.returncode for one in self.daemons if one.process}
            self.verdict.check(False, f"RECOVER: {sorted(missing)} not served, exits {ends}")

    async def _call_on(self, stop: asyncio.Event) -> None:
        async with aiohttp.ClientSession() as session:
            while not stop.is_set():
                daemon = self.rng.choice(self.daemons)
                path = self.rng.choice(("/safe/", "/unsafe/", "/stream/"))
                status = await self._call(session, daemon, path)
                self.verdict.statuses[status] += 1

    async def _call(self, session: aiohttp.ClientSession, daemon: Daemon, prefix: str) -> int:
        self._number += 1
        request_id, path = f"r{self._number}", f"{prefix}{self._number}"
        headers = {
            "Host": site.HOST,
            "Tanagerfork-Request-Id": request_id,
            "Tanagerfork-Deadline-Ms": str(int(CALL_S * 1000)),
            "Authorization": f"Bearer {site.API_KEY}",
        }
        if prefix == "/stream/":
            headers.update({"Tanagerfork-Model": site.SMALL_MODEL, "Tanagerfork-Tokens": "100,20"})
        url = yarl.URL(f"http://127.0.0.1:{daemon.callers_port}{path}")
        method = "GET" if prefix == "/safe/" else "POST"
        try:
            async with (
                asyncio.timeout(CALL_S + 1),
                session.request(method, url, headers=headers) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        self._check(request_id, path, response, body)
        return response.status

    def _check(
        self, request_id: str, path: str, response: aiohttp.ClientResponse, body: bytes
    ) -> None:
        runs = [
            run
            for member in [*self.site.engine_runners, *self.site.plain_runners]
            for run in member.requests
            if run.request_id == request_id and run.has_run
        ]
        name = f"{request_id} {path}"
        check = self.verdict.check
        if path.startswith("/unsafe/"):
            check(len(runs) <= 1, f"TWICE: {name} ran {len(runs)} times")
            check(response.status not in (429, 503) or not runs, f"REFUSED: {name} has run")
        if response.status == 200:
            receipt = "Tanagerfork-Server-Stamp" in response.headers
            check(receipt, f"MIXED: {name} is a success without a receipt")
            if path.startswith("/stream/"):
                ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
                check(ids == [b"id: %d" % n for n in range(1, 6)], f"ORDER: {name} got {ids}")
            else:
                check(body.endswith(path.encode()), f"MIXED: {name} got {body[:60]!r}")
        check(response.status not in (401, 404), f"DENIED: {name} got {response.status}")

    def _observe(self, member: runner.Runner, what: str) -> None:
        mark = member.membership
        if mark is None:
            return
        peers = {other.id: other for other in self.site.engine_runners}
        if what == "join":
            head = peers[mark.members[0]].membership
            serves = head is not None and head.name == mark.name and head.state == "open"
            self.verdict.check(not serves, f"TWO: {member.id} leaves {mark.name} while it serves")
            return
        for other in (peers[name] for name in mark.members):
            is_in = other.membership is not None and other.membership.name == mark.name
            lost = other.started_ms > 1 or other.highest_epoch > mark.epoch
            has_left = any(order.get("op") == "leave" for order in other.orders)
            whole = is_in or lost or has_left
            self.verdict.check(whole, f"PARTIAL: {mark.name} runs without {other.id}")

    async def _play_faults(self, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + length_s
        playing: set[asyncio.Task[None]] = set()
        while loop.time() < ends:
            name = self.rng.choice(sorted(self._faults))
            self.verdict.faults[name] += 1
            playing.add(asyncio.create_task(self._faults[name]()))
            await asyncio.sleep(self.rng.uniform(0, 2 * STEP_S))
        await asyncio.gather(*playing)

    async def _kill(self) -> None:
        await self.rng.choice(self.daemons).restart(signal.SIGKILL)

    async def _stop(self) -> None:
        await self.rng.choice(self.daemons).restart(signal.SIGTERM)

    async def _pause(self) -> None:
        process = self.rng.choice(self.daemons).process
        assert process is not None
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 2.5))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _reload(self) -> None:
        self.rng.choice(self.daemons).send(signal.SIGHUP)

    async def _crash_runner(self) -> None:
        await self.rng.choice([*self.site.engine_runners, *self.site.plain_runners]).crash()

    async def _spoil_answers(self) -> None:
        member = self.rng.choice([*self.site.engine_runners, *self.site.plain_runners])
        member.faults.extend(self.rng.choices(list(runner.Fault), k=3))

    async def _silence_store(self) -> None:
        self.proxy.is_silent = True
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        self.proxy.is_silent = False
        self.proxy.reset()

    async def _slow_store(self) -> None:
        self.proxy.delay_s = 0.2
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        self.proxy.delay_s = 0.0

    async def _refuse(self) -> None:
        self.site.store.faults.error_status = self.rng.choice((429, 503))
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        self.site.store.faults.error_status = 0

    async def _lose(self) -> None:
        self.site.store.faults.lost_responses += 2

    async def _forget(self) -> None:
        self.site.store.drop_history()

    async def _reset(self) -> None:
        self.proxy.reset()

    async def _configure(self) -> None:
        self.site.write_config()


def find_ports(count: int) -> list[int]:
    """Return ports that are free at the moment.

    :param count: how many.
    """
    opened = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in opened]
    for one in opened:
        one.close()
    return ports


def main() -> None:
    """Run the soak with the seeds that were given; the status is 1 where a promise was broken."""
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument("seeds", type=int, nargs="+")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--daemons", type=int, default=4)
    arguments = parser.parse_args()
    is_broken = False
    for seed in arguments.seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        verdict = asyncio.run(Soak(seed, arguments.daemons, folder).run(arguments.seconds))
        is_broken |= bool(verdict.broken)
        word = "broken" if verdict.broken else "kept"
        statuses = dict(sorted(verdict.statuses.items()))
        print(f"seed {seed}: {word}, statuses {statuses}, faults {sum(verdict.faults.values())}")
        for line in verdict.broken[:10]:
            print(f"  {line} (logs in {folder.name} of the temporary folder)")
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
