"""Soak test: daemon processes under injected faults, with their guarantees checked throughout.

The driver starts the daemons, the platform's stand-ins and proxies between them. Faults are drawn
from a seed and overlap: daemons are stopped, paused, killed and restarted by signals or cut off
from the runners, callers stop reading, the store rejects calls, hangs or loses answers, runners
crash, and the configuration changes.
Callers use persistent connections. Responses and runner state are checked: see `verdicts.Verdict`.
With an upgrade, daemons of an earlier commit and of the working tree run side by side, and are
replaced one after the other between the faults.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp
import yarl

from tanagerfork_standins import proxy
from tanagerfork_standins.platform import partition, runner, site
from tools import (
    builds,
    evacuations,
    keys,
    platform_faults,
    processes,
    regions,
    slow_callers,
    upgrades,
    verdicts,
    witness,
)

CALL_TIMEOUT_S = 3.0
CALLER_COUNT = 8
MEAN_FAULT_INTERVAL_S = 0.4  # Short enough that faults overlap the repair of earlier ones.
SERVING_TIMEOUT_S = 15.0
PATHS = ("/safe/", "/unsafe/", "/stream/", regions.PATH)
PROBED_PATHS = ("/safe/", "/stream/")
DRAIN_S = 2.0  # Time in which a daemon stops to send to an upstream that leaves.
MAX_ZERO_COUNTS = 3  # An order may cross with the report of the one before.
UNAUTHORIZED = 401  # The right answer to a key that is not valid; see `keys.KeyRing.check`.
COLD_PER_S, COLD_S = 4.0, 8.0
MAX_PER_COLD_SECOND = 1.5 * COLD_PER_S + 5
COLD_NOTICE_S = 3.0  # Time in which daemons read from a sound store that a runner is cold.
REPLACED_S = 1.2  # The last second holds nothing more that the replaced build sent.
COLD_ENTRY_S = 0.6  # Renews the entry of a cold runner; twice as often as runners do.
STABLE_S = 3.0  # After this time, callers of daemons that are cut off are served as well.
START_TEXT = '"decision":"start"'
UNREAD_TEXTS = ("cannot be decoded", "unreadable")  # Lines of a daemon on what another one wrote.
SETTLE_S = 6.0  # Recovery time after the last fault; requests must be served again after it.


class Soak:
    """One run of the soak test.

    :param seed: seed of the random faults and requests.
    :param daemon_count: number of daemons.
    :param folder: folder for settings and logs.
    :param upgrade: replacement of one build by another; None to run the present one only.
    """

    def __init__(
        self,
        seed: int,
        daemon_count: int,
        folder: pathlib.Path,
        upgrade: upgrades.Upgrade | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.verdict = verdicts.Verdict()
        self.site = site.Site(tuple(regions.REGIONS), engine_count=6, plain_count=4)
        self.site.cold_per_s = COLD_PER_S
        self._regions = regions.RegionRule(self.site, self.verdict)
        self._daemon_count = daemon_count
        self._folder = folder
        self._upgrade = upgrade
        self._keeps_regions = upgrades.keeps_regions(upgrade)
        self._keys = keys.KeyRing(self.site, self.verdict)
        self._networks: dict[str, partition.DaemonNetwork] = {}
        self._evacuations = evacuations.Evacuations(self.site, self.verdict, self.rng)
        self._platform = platform_faults.PlatformFaults(
            self.site, self._networks, self._keys, self._evacuations, self.rng
        )
        self._slow_callers = slow_callers.SlowCallers(self.site, self.verdict, self.rng)
        self._witness = witness.Witness(
            self.site, self.verdict, lambda: self._slow_callers.most_held
        )
        self.daemons: list[processes.Daemon] = []
        self._zero_counts: collections.Counter[str] = collections.Counter()
        self._partitions: list[verdicts.Partition] = []
        self._request_count = 0
        self._faults = {
            "kill": self._kill_daemon,
            "stop": self._stop_daemon,
            "pause": self._pause_daemon,
            "reload": self._reload_daemon,
            "daemons cut off": self._cut_daemons_off,
            "runner becomes cold": self._make_runner_cold,
            "slow callers": self._have_callers_stop_reading,
            **self._platform.list_faults(),
        }
        self._first_build = upgrade.first if upgrade else builds.PRESENT
        self.cold_runners = [*self.site.engine_runners, *self.site.plain_runners]
        # By daemon and start of the runner: when a caller got the first answer that says it leaves.
        self._told_leaving_s: dict[tuple[str, str, int], float] = {}

    def keep_only_fault(self, name: str, build: builds.Build = builds.PRESENT) -> None:
        """Inject no other fault, into daemons of one build.

        :param name: name of the fault.
        :param build: build that all daemons run.
        """
        self._faults = {name: self._faults[name]}
        self._first_build = build

    async def run(self, length_s: float) -> verdicts.Verdict:
        """Inject faults for a time, then wait until every daemon serves requests again.

        :param length_s: duration of the fault injection, in seconds.
        :return: verdict with the violations found.
        """
        await self.site.start()
        for member in self.site.engine_runners:
            member.observer = self._check_orders
        runners = [*self.site.engine_runners, *self.site.plain_runners]
        for number in range(self._daemon_count):
            network = partition.DaemonNetwork(
                self.site.store, [member.address for member in runners]
            )
            await network.start()
            self._networks[f"d{number}"] = network
            domain = list(regions.REGIONS)[number % len(regions.REGIONS)]
            port = network.store_path.port
            self.daemons.append(
                processes.Daemon(
                    f"d{number}",
                    self._folder,
                    port,
                    self._first_build,
                    domain,
                    slow_callers.MEMORY_MB,
                )
            )
            await self.daemons[-1].start()
        if self._upgrade is not None:
            self._witness.start()
        try:
            await self._wait_until_served()
            stop = asyncio.Event()
            callers = [
                asyncio.create_task(self._call_until_stopped(stop)) for _ in range(CALLER_COUNT)
            ]
            await asyncio.gather(self._play_faults(length_s), self._replace_daemons(length_s))
            stop.set()
            await asyncio.gather(*callers)
            await asyncio.sleep(SETTLE_S)
            await self._wait_until_served()
            self._check_logs()
            if self._keeps_regions:
                self._evacuations.check()
        finally:
            await self._witness.stop()
            for daemon in self.daemons:
                daemon.send(signal.SIGCONT)
                daemon.send(signal.SIGKILL)
                daemon.close()
            await asyncio.gather(*(network.stop() for network in self._networks.values()))
            await self.site.stop()
        return self.verdict

    @property
    def told(self) -> set[str]:
        """Daemons whose notices the witness has received."""
        return self._witness.senders

    async def _replace_daemons(self, length_s: float) -> None:
        """Replace the daemons one after the other, as the upgrade plans it."""
        if self._upgrade is None:
            return
        daemons = {daemon.name: daemon for daemon in self.daemons}
        steps = self._upgrade.plan(sorted(daemons), self.rng)
        for name, build in steps:
            await asyncio.sleep(self.rng.uniform(0, length_s / len(steps)))
            await self._restart_one(daemons[name], signal.SIGTERM, build)

    def _check_logs(self) -> None:
        """Check that no daemon has logged that it cannot read what another one wrote."""
        for daemon in self.daemons if self._upgrade else []:
            lines = daemon.find_lines(*UNREAD_TEXTS)
            starts = len(daemon.find_lines(START_TEXT))
            most = daemon.build.most_unread * starts
            text = f"{daemon.describe()}, {len(lines)} lines: {lines[-1][:300] if lines else ''}"
            self.verdict.check(len(lines) <= most, f"UNREAD: {text}")

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
                path = self.rng.choice(PATHS)
                counted = [found for found in self._partitions if found.is_counted]
                status = await self._call(session, daemon, path)
                self.verdict.statuses[status] += 1
                is_served_anywhere = path != regions.PATH
                for found in counted if is_served_anywhere and status != UNAUTHORIZED else ():
                    found.first_tries.append((daemon.name, status == 200))

    async def _call(
        self, session: aiohttp.ClientSession, daemon: processes.Daemon, prefix: str
    ) -> int:
        self._request_count += 1
        request_id, path = f"r{self._request_count}", f"{prefix}{self._request_count}"
        key = self._keys.draw(self.rng) if prefix == "/safe/" else site.API_KEY
        headers = {
            "Host": site.HOST,
            "Tanagerfork-Request-Id": request_id,
            "Tanagerfork-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
            "Authorization": f"Bearer {key}",
        }
        sent_s = asyncio.get_running_loop().time()
        if prefix == "/stream/":
            headers.update({"Tanagerfork-Model": site.SMALL_MODEL, "Tanagerfork-Tokens": "100,20"})
            is_crashing = sent_s < self._platform.crashing_part_until_s and self.rng.random() < 0.1
            middle = "bad" if is_crashing else "900d"
            headers["Tanagerfork-Prefix-Hash"] = f"f1257:40,{middle}:50,{self._request_count:x}:10"
        url = yarl.URL(f"http://127.0.0.1:{daemon.callers_port}{path}")
        method = "GET" if prefix in ("/safe/", regions.PATH) else "POST"
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S + 1),
                session.request(method, url, headers=headers) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        name = f"{request_id} {path} of {daemon.describe()}"
        self._keys.check(key, response.status, sent_s, name)
        self._check_response(request_id, path, daemon, response, body)
        if daemon.build.is_present:  # Not all earlier builds know that upstreams leave.
            self._check_leaving(daemon.name, request_id, sent_s, response)
        return response.status

    def _check_response(
        self,
        request_id: str,
        path: str,
        daemon: processes.Daemon,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        runs = [
            run
            for member in [*self.site.engine_runners, *self.site.plain_runners]
            for run in member.requests
            if run.request_id == request_id and run.has_run
        ]
        check, name = self.verdict.check, f"{request_id} {path} of {daemon.describe()}"
        if path.startswith(regions.PATH) and self._keeps_regions:
            self._regions.check(request_id, name)
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
        if response.status == 500 and not is_upstreams:
            self._check_failure(daemon, name)
        check(response.status != 404, f"DENIED: {name} got {response.status}")

    def _check_failure(self, daemon: processes.Daemon, name: str) -> None:
        """Record a failure of a daemon, apart from those of builds that are known to fail so.

        Builds without handover fail a request that the end of their stop finds unsent.
        """
        is_known = not daemon.build.hands_over
        self.verdict.excused[f"500 of {daemon.build.name}"] += is_known
        self.verdict.check(is_known, f"FAILURE: {name} got 500 of a daemon")

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

    def _check_orders(self, member: runner.Runner, event: str) -> None:
        if event != "miscount":
            self._check_membership(member, event)
        elif member.order_count and not member.orders[-1]["expected"]:
            self._zero_counts[member.id] += 1
            text = f"COUNT: {member.id} is ordered as if it had accepted nothing, again and again"
            self.verdict.check(self._zero_counts[member.id] <= MAX_ZERO_COUNTS, text)

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
        await self._restart_one(self.rng.choice(self.daemons), number)

    async def _restart_one(
        self, daemon: processes.Daemon, number: signal.Signals, build: builds.Build | None = None
    ) -> None:
        """Restart a daemon; partitions that come before it listens again don't count for it."""
        self._excuse(daemon)
        await daemon.restart(number, build)
        await daemon.wait_until_listening()
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
        await self.rng.choice(self.daemons).reload()

    async def _make_runner_cold(self) -> None:
        """Let a runner be cold, and count what it gets once the daemons can know of it."""
        clock = asyncio.get_running_loop().time
        member = self.rng.choice(self.cold_runners)
        began_s = clock()
        member.become_cold(COLD_S)
        while clock() < member.cold_until_s:
            await asyncio.sleep(COLD_ENTRY_S)
            member.publish_entry()
            if clock() >= member.cold_until_s:
                return  # It may have got more in the part of the last second in which it was warm.
            known_s = clock() - max(began_s, self._platform.store_disturbed_s)
            is_known = known_s > COLD_NOTICE_S + 1 and not self._platform.is_store_disturbed
            if is_known and self._have_limited_cold_sends(clock() - REPLACED_S):
                count = member.count_last_second()
                text = f"COLD: {member.id} gets {count} requests in a second"
                self.verdict.check(count <= MAX_PER_COLD_SECOND, text)

    def _have_limited_cold_sends(self, since_s: float) -> bool:
        """Return whether only builds that know the rate of cold runners have run since a time."""
        return all(
            daemon.build.limits_cold_sends and daemon.build_since_s <= since_s
            for daemon in self.daemons
        )

    async def _have_callers_stop_reading(self) -> None:
        daemon = self.rng.choice(self.daemons)
        self._excuse(daemon)  # It may refuse others meanwhile.
        await self._slow_callers.hold_answers(daemon)
        self._excuse(daemon)

    def _excuse_builds_without_handover(self, found: verdicts.Partition) -> None:
        """Excuse daemons whose build hands no request over, and all if none is left to take it."""
        takers = {daemon.name for daemon in self.daemons if daemon.build.hands_over}
        found.excused |= {daemon.name for daemon in self.daemons} - takers
        if not takers - found.daemons:
            found.excused |= found.daemons

    async def _cut_daemons_off(self) -> None:
        """Partition some daemons from all runners, and compare how their callers are served."""
        names = sorted(self._networks)
        drawn = self.rng.sample(names, self.rng.randint(1, max(1, len(names) - 1)))
        how = self.rng.choice(list(proxy.Cut))
        found = verdicts.Partition(frozenset(drawn))
        self._excuse_builds_without_handover(found)
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
        self._excuse_builds_without_handover(found)
        for name in drawn:
            await self._networks[name].heal()
        tries = len(found.first_tries)
        self.verdict.check(not found.is_broken(), f"RECOVER: {drawn} {how.value}, {tries} tries")


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
    parser.add_argument("--build", default="", help="earlier commit, for an upgrade")
    parser.add_argument(
        "--directions", nargs="+", type=upgrades.Direction, default=list(upgrades.Direction)
    )
    arguments = parser.parse_args()
    directions = arguments.directions if arguments.build else [None]
    is_broken = False
    for seed in arguments.seeds:
        for direction in directions:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            upgrade = None
            if direction is not None:
                other = asyncio.run(builds.extract(arguments.build, folder))
                upgrade = upgrades.Upgrade(other, direction)
            run = Soak(seed, arguments.daemons, folder, upgrade)
            verdict = asyncio.run(play(run, arguments.seconds))
            is_broken |= bool(verdict.violations)
            name = f"seed {seed}" + (f" {arguments.build} {direction.value}" if direction else "")
            verdicts.report(name, verdict, folder)
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
