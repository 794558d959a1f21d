"""Soak test: daemon processes under injected faults, with their guarantees checked throughout.

The driver starts the daemons, the platform's stand-ins and proxies between them. Faults are drawn
from a seed and overlap: daemons are stopped, paused, killed and restarted by signals or cut off
from the runners, the store rejects calls, hangs or loses answers, runners crash, and the
configuration changes.
Callers use persistent connections. Responses and runner state are checked: see `verdicts.Verdict`.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp
import yarl

from tanagerfork_standins import proxy
from tanagerfork_standins.platform import partition, runner, site
from tools import processes, verdicts

CALL_TIMEOUT_S = 3.0
CALLER_COUNT = 8
MEAN_FAULT_INTERVAL_S = 0.4  # Short enough that faults overlap the repair of earlier ones.
SERVING_TIMEOUT_S = 15.0
PROBED_PATHS = ("/safe/", "/stream/")
DRAIN_S = 2.0  # Time in which a daemon stops to send to an upstream that leaves.
STABLE_S = 3.0  # After this time, callers of daemons that are cut off are served as well.
SETTLE_S = 6.0  # Recovery time after the last fault; requests must be served again after it.


class Soak:
    """One run of the soak test.

    :param seed: seed of the random faults and requests.
    :param daemon_count: number of daemons.
    :param folder: folder for settings and logs.
    """

    def __init__(self, seed: int, daemon_count: int, folder: pathlib.Path) -> None:
        self.rng = random.Random(seed)
        self.verdict = verdicts.Verdict()
        self.site = site.Site(engine_count=8, plain_count=3)
        self._daemon_count = daemon_count
        self._folder = folder
        self.daemons: list[processes.Daemon] = []
        self._networks: dict[str, partition.DaemonNetwork] = {}
        self._partitions: list[verdicts.Partition] = []
        self._request_count = 0
        self._faults = {
            "kill": self._kill_daemon,
            "stop": self._stop_daemon,
            "pause": self._pause_daemon,
            "reload": self._reload_daemon,
            "runner crashes": self._crash_runner,
            "runner's answers": self._inject_answer_faults,
            "store silent": self._silence_store,
            "store slow": self._slow_store,
            "store refuses": self._refuse_store_calls,
            "store loses": self._lose_store_answers,
            "store forgets": self._forget_store_history,
            "store resets": self._reset_store_connections,
            "new configuration": self._write_configuration,
            "store goes back": self._restore_store,
            "runner leaves": self._have_runner_leave,
            "runner is in need": self._limit_runner,
            "part crashes": self._crash_by_part,
            "daemons cut off": self._cut_daemons_off,
        }
        self._crashing_part_until_s = 0.0
        # By daemon and start of the runner: when a caller got the first answer that says it leaves.
        self._told_leaving_s: dict[tuple[str, str, int], float] = {}

    async def run(self, length_s: float) -> verdicts.Verdict:
        """Inject faults for a time, then wait until every daemon serves requests again.

        :param length_s: duration of the fault injection, in seconds.
        :return: verdict with the violations found.
        """
        await self.site.start()
        for member in self.site.engine_runners:
            member.observer = self._check_membership
        runners = [*self.site.engine_runners, *self.site.plain_runners]
        for number in range(self._daemon_count):
            network = partition.DaemonNetwork(
                self.site.store, [member.address for member in runners]
            )
            await network.start()
            self._networks[f"d{number}"] = network
            self.daemons.append(
                processes.Daemon(f"d{number}", self._folder, network.store_path.port)
            )
            await self.daemons[-1].start()
        try:
            await self._wait_until_served()
            stop = asyncio.Event()
            callers = [
                asyncio.create_task(self._call_until_stopped(stop)) for _ in range(CALLER_COUNT)
            ]
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
            await asyncio.gather(*(network.stop() for network in self._networks.values()))
            await self.site.stop()
        return self.verdict

    async def _wait_until_served(self) -> None:
        missing = {(daemon.name, path) for daemon in self.daemons for path in PROBED_PATHS}
        try:
            async with asyncio.timeout(SERVING_TIMEOUT_S), aiohttp.ClientSession() as session:
                while missing:
                    for daemon in self.daemons:
                        for path in PROBED_PATHS:
                            if await self._call(session, daemon, path) == 200:
                                missing.discard((daemon.name, path))
                    await asyncio.sleep(0.1)
        except TimeoutError:
            ends = [one.describe_end() for one in self.daemons if one.has_ended]
            self.verdict.check(False, f"RECOVER: {sorted(missing)} not served, ended {ends}")

    async def _call_until_stopped(self, stop: asyncio.Event) -> None:
        async with aiohttp.ClientSession() as session:
            while not stop.is_set():
                daemon = self.rng.choice(self.daemons)
                path = self.rng.choice(("/safe/", "/unsafe/", "/stream/"))
                counted = [found for found in self._partitions if found.is_counted]
                status = await self._call(session, daemon, path)
                self.verdict.statuses[status] += 1
                for found in counted:
                    found.first_tries.append((daemon.name, status == 200))

    async def _call(
        self, session: aiohttp.ClientSession, daemon: processes.Daemon, prefix: str
    ) -> int:
        self._request_count += 1
        request_id, path = f"r{self._request_count}", f"{prefix}{self._request_count}"
        headers = {
            "Host": site.HOST,
            "Tanagerfork-Request-Id": request_id,
            "Tanagerfork-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
            "Authorization": f"Bearer {site.API_KEY}",
        }
        sent_s = asyncio.get_running_loop().time()
        if prefix == "/stream/":
            headers.update({"Tanagerfork-Model": site.SMALL_MODEL, "Tanagerfork-Tokens": "100,20"})
            is_crashing = sent_s < self._crashing_part_until_s and self.rng.random() < 0.1
            middle = "bad" if is_crashing else "900d"
            headers["Tanagerfork-Prefix-Hash"] = f"f1257:40,{middle}:50,{self._request_count:x}:10"
        url = yarl.URL(f"http://127.0.0.1:{daemon.callers_port}{path}")
        method = "GET" if prefix == "/safe/" else "POST"
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S + 1),
                session.request(method, url, headers=headers) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        self._check_response(request_id, path, response, body)
        self._check_leaving(daemon.name, request_id, sent_s, response)
        return response.status

    def _check_response(
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
        is_upstreams = "Tanagerfork-Server-Stamp" in response.headers
        check(response.status != 500 or is_upstreams, f"FAILURE: {name} got 500 of a daemon")
        check(response.status not in (401, 404), f"DENIED: {name} got {response.status}")

    def _check_leaving(
        self, daemon: str, request_id: str, sent_s: float, response: aiohttp.ClientResponse
    ) -> None:
        """Check that a daemon sends nothing new to a runner after it passed on that it leaves."""
        for member in [*self.site.engine_runners, *self.site.plain_runners]:
            key = daemon, member.id, member.started_ms
            told_s = self._told_leaving_s.get(key)
            if told_s is not None and sent_s > told_s + DRAIN_S:
                has_come = any(run.request_id == request_id for run in member.requests[-200:])
                self.verdict.check(not has_come, f"DRAIN: {request_id} reaches {member.id}")
            stamp = response.headers.get("Tanagerfork-Server-Stamp", "")
            if stamp == f"stamp-{member.id}" and "Server-Leaving" in response.headers:
                self._told_leaving_s.setdefault(key, asyncio.get_running_loop().time())

    def _excuse(self, daemon: processes.Daemon) -> None:
        """Forget what a daemon was told, which it may forget by a restart or a pause."""
        for found in self._partitions:
            found.excused.add(daemon.name)
        for key in [key for key in self._told_leaving_s if key[0] == daemon.name]:
            del self._told_leaving_s[key]

    def _check_membership(self, member: runner.Runner, event: str) -> None:
        mark = member.membership
        if mark is None:
            return
        peers = {other.id: other for other in self.site.engine_runners}
        if event == "join":
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
            await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_FAULT_INTERVAL_S))
        await asyncio.gather(*playing)

    async def _kill_daemon(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _stop_daemon(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: signal.Signals) -> None:
        daemon = self.rng.choice(self.daemons)
        self._excuse(daemon)
        await daemon.restart(number)
        self._excuse(daemon)

    async def _pause_daemon(self) -> None:
        daemon = self.rng.choice(self.daemons)
        process = daemon.process
        assert process is not None
        self._excuse(daemon)
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 2.5))
        self._excuse(daemon)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _reload_daemon(self) -> None:
        self.rng.choice(self.daemons).send(signal.SIGHUP)

    async def _crash_runner(self) -> None:
        await self.rng.choice([*self.site.engine_runners, *self.site.plain_runners]).crash()

    async def _inject_answer_faults(self) -> None:
        member = self.rng.choice([*self.site.engine_runners, *self.site.plain_runners])
        member.faults.extend(self.rng.choices(list(runner.Fault), k=3))

    @property
    def _store_paths(self) -> list[proxy.Proxy]:
        return [network.store_path for network in self._networks.values()]

    async def _silence_store(self) -> None:
        for path in self._store_paths:
            path.is_silent = True
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        for path in self._store_paths:
            path.is_silent = False
            path.reset()

    async def _slow_store(self) -> None:
        for path in self._store_paths:
            path.delay_s = 0.2
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        for path in self._store_paths:
            path.delay_s = 0.0

    async def _refuse_store_calls(self) -> None:
        self.site.store.faults.error_status = self.rng.choice((429, 503))
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        self.site.store.faults.error_status = 0

    async def _lose_store_answers(self) -> None:
        self.site.store.faults.lost_responses += 2

    async def _forget_store_history(self) -> None:
        self.site.store.drop_history()

    async def _reset_store_connections(self) -> None:
        for path in self._store_paths:
            path.reset()

    async def _restore_store(self) -> None:
        """Go back by up to three seconds; runners and the operator then write theirs again."""
        store = self.site.store
        store.era = store.era or 1
        items, revision = dict(store.items), store.revision
        config = store.items["op/config"].value
        await asyncio.sleep(self.rng.uniform(0.2, 3))
        config = max((config, store.items["op/config"].value), key=site.read_version)
        store.restore(items, revision)
        await asyncio.sleep(self.rng.uniform(0, 1))
        store.put("op/config", config)
        for member in [*self.site.engine_runners, *self.site.plain_runners]:
            member.publish_entry()

    async def _have_runner_leave(self) -> None:
        member = self.rng.choice([*self.site.engine_runners, *self.site.plain_runners])
        member.leaving_text = "1"
        await asyncio.sleep(self.rng.uniform(2, 5))
        member.leaving_text = None
        await member.crash()

    async def _limit_runner(self) -> None:
        member = self.rng.choice([*self.site.engine_runners, *self.site.plain_runners])
        member.limit_per_s = self.rng.choice((0.0, 0.5, 5.0))
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        member.limit_per_s, member.quiet_text = None, "0.5"
        await asyncio.sleep(self.rng.uniform(0.2, 1))
        member.quiet_text = None

    async def _crash_by_part(self) -> None:
        for member in self.site.engine_runners:
            member.crashing_parts = {"bad"}
        self._crashing_part_until_s = asyncio.get_running_loop().time() + self.rng.uniform(1, 4)

    async def _cut_daemons_off(self) -> None:
        """Partition some daemons from all runners, and compare how their callers are served."""
        names = sorted(self._networks)
        drawn = self.rng.sample(names, self.rng.randint(1, max(1, len(names) - 1)))
        how = self.rng.choice(list(proxy.Cut))
        found = verdicts.Partition(frozenset(drawn))
        for other in self._partitions:
            other.excused |= found.daemons - other.daemons
            found.excused |= other.daemons - found.daemons
        for name in drawn:
            self._networks[name].cut(how)
        self._partitions.append(found)
        await asyncio.sleep(STABLE_S)
        found.is_counted = True
        await asyncio.sleep(self.rng.uniform(1, 3))
        self._partitions.remove(found)
        for name in drawn:
            await self._networks[name].heal()
        tries = len(found.first_tries)
        self.verdict.check(not found.is_broken(), f"RECOVER: {drawn} {how.value}, {tries} tries")

    async def _write_configuration(self) -> None:
        self.site.write_config()


async def play(run: Soak, length_s: float) -> verdicts.Verdict:
    """Run the soak; a SIGTERM ends it with all the processes that it started.

    :param run: run of one seed.
    :param length_s: duration of the fault injection, in seconds.
    :return: verdict with the violations found.
    """
    running = asyncio.ensure_future(run.run(length_s))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    return await running


def main() -> None:
    """Run the soak with the given seeds; exit with status 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument("seeds", type=int, nargs="+")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--daemons", type=int, default=4)
    arguments = parser.parse_args()
    is_broken = False
    for seed in arguments.seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        verdict = asyncio.run(play(Soak(seed, arguments.daemons, folder), arguments.seconds))
        is_broken |= bool(verdict.violations)
        word = "broken" if verdict.violations else "kept"
        statuses = dict(sorted(verdict.statuses.items()))
        print(f"seed {seed}: {word}, statuses {statuses}, faults {sum(verdict.faults.values())}")
        for line in verdict.violations[:10]:
            print(f"  {line} (logs in {folder.name} of the temporary folder)")
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
