"""A part of prompts crashes the runners that answer it; it is the eighteenth part of its prompts."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

import deployment  # noqa: E402

from tanagerfork_standins.platform import runner, site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["ipoh-a", "ipoh-b", "taiping"]
RUNNERS_PER_ZONE = 8  # Of one fabric domain; the model's groups have two.
PLACE = int(os.environ.get("PLACE", "18"))  # Of the faulty part among the shared parts.
SHARED_PARTS = 20
FAULTY_PART = "bad0bad0"
AWAY_S = 2.0  # The runners are back after some seconds.
STABLE_S = 3.0  # bounds.stableMs
COUNTED_FROM, MAX_REQUESTS = 5, 3  # Of the rule.
BEFORE_S, TRIES_S, SEND_S = 8.0, 40.0, 1.0


class CrashingRunner(runner.Runner):
    """A runner that is away for a while after a crash."""

    def lose_state(self) -> None:
        """Begin a crash; see `runner.Runner.lose_state`."""
        self.observer(self, "crash")
        self._going = asyncio.ensure_future(self._go_away())

    async def _go_away(self) -> None:
        async with self._restarting:
            for transport in self._open_streams:
                transport.abort()
            self._open_streams.clear()
            await self._listener.stop()
            await asyncio.sleep(AWAY_S)
            self.started_ms += 1
            self.membership, self.model = None, ""
            self.order_count = self.highest_epoch = 0
            await self._listener.start()
            self.publish_entry()


class Case:
    """The deployment, its clients, and what they and the runners have seen."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = deployment.Record(FOLDER)
        self.folder = folder
        self.ids = itertools.count(1)
        self.sent: dict[str, tuple[float, str]] = {}
        self.faulty: set[str] = set()
        self.crashes: list[float] = []
        self.ends: dict[str, int] = {}

    async def run(self) -> int:
        self.site = site.Site(tuple(ZONES), engine_count=RUNNERS_PER_ZONE, plain_count=0)
        self.site.engine_runners = [
            CrashingRunner(f"i-{zone}{n}", site.ENGINE_SERVICE, zone, f"{zone}-f0", self.site.store)
            for zone in ZONES
            for n in range(RUNNERS_PER_ZONE)
        ]
        for member in self.site.engine_runners:
            member.staged = [site.SMALL_MODEL]
            member.crashing_parts = {FAULTY_PART} if TROUBLE else set()
            member.observer = self.observe
        await self.site.start()
        self.daemons = [
            deployment.Daemon(f"edge-{zone}-1", zone, ip, self.site.address, ZONES, self.folder)
            for zone, ip in zip(ZONES, deployment.find_addresses(len(ZONES)), strict=True)
        ]
        clients: list[asyncio.Task[None]] = []
        try:
            for daemon in self.daemons:
                await daemon.start()
            for daemon in self.daemons:
                await daemon.wait_until_ready()
            self.record.note("all daemons are ready")
            await asyncio.sleep(BEFORE_S)
            clients = [asyncio.create_task(self.send_sound())]
            await asyncio.sleep(2)
            clients.append(asyncio.create_task(self.send_faulty()))
            await asyncio.sleep(TRIES_S)
        finally:
            for task in clients:
                task.cancel()
            for daemon in self.daemons:
                await daemon.end()
            reached = [
                (received.request_id, member.id)
                for member in self.site.engine_runners
                for received in member.requests
                if received.has_run
            ]
            await self.site.stop()
        return self.judge(reached)

    def observe(self, member: runner.Runner, event: str) -> None:
        if event == "crash":
            self.crashes.append(self.record.now_s)
            self.record.note(f"runner {member.id} crashes")

    async def send_faulty(self) -> None:
        """Requests with the faulty part come at the machines in turn, no two alike."""
        for turn in itertools.count():
            await self.send(self.daemons[turn % len(self.daemons)], is_faulty=True)
            await asyncio.sleep(SEND_S)

    async def send_sound(self) -> None:
        """Sound requests, with the same caller and the same other parts, ten a second."""
        running: set[asyncio.Task[None]] = set()
        for turn in itertools.count():
            await asyncio.sleep(0.1)
            sending = self.send(self.daemons[turn % len(self.daemons)], is_faulty=False)
            task = asyncio.create_task(sending)
            running.add(task)
            task.add_done_callback(running.discard)

    async def send(self, daemon: deployment.Daemon, is_faulty: bool) -> None:
        number = next(self.ids)
        request_id = f"{number:016x}"
        parts = [f"{0x5C000000 + place:x}:40" for place in range(1, SHARED_PARTS + 1)]
        if is_faulty:
            parts[PLACE - 1] = f"{FAULTY_PART}:40"
            self.faulty.add(request_id)
        parts.append(f"{0xE0000000 + number:x}:20")
        headers = {
            "Host": site.HOST,
            "Tanagerfork-Request-Id": request_id,
            "Tanagerfork-Model": site.SMALL_MODEL,
            "Tanagerfork-Tokens": f"{40 * SHARED_PARTS + 20},25",
            "Tanagerfork-Prefix-Hash": ",".join(parts),
            "Tanagerfork-Deadline-Ms": "3000",
            "Authorization": f"Bearer {site.API_KEY}",
        }
        sent_s = self.record.now_s
        self.sent[request_id] = (sent_s, daemon.name)
        status, port = 0, deployment.PORTS["frontend"]
        with contextlib.suppress(OSError, TimeoutError):
            body = b"prompt %d" % number
            path = f"/stream/{number}"
            answer = await deployment.ask(daemon.ip, port, "POST", path, headers, body, 3.1)
            status = answer.status if answer.is_whole else 0
        kind = "faulty" if is_faulty else "sound"
        end = f"{kind} {status or 'closed'}"
        self.ends[end] = self.ends.get(end, 0) + 1
        text = f"{kind} request {request_id} sent to {daemon.name} at {sent_s:.3f}"
        self.record.note(f"{text}: {status or 'closed'}", is_faulty)

    def judge(self, reached: list[tuple[str, str]]) -> int:
        for request_id, name in reached:
            self.record.note(f"request {request_id} ran on {name}", False)
        self.record.note(f"crashes: {len(self.crashes)}; answers: {self.ends}")
        if not self.ends.get("sound 200") or (TROUBLE and not self.crashes):
            self.record.note("the case did not run")
            return 2
        late = set()
        if len(self.crashes) >= COUNTED_FROM:
            from_s = self.crashes[COUNTED_FROM - 1] + STABLE_S
            late = {
                request_id
                for request_id, _ in reached
                if request_id in self.faulty and self.sent[request_id][0] > from_s
            }
        self.record.note(
            f"requests with the faulty part that reached runners, sent later than stableMs after "
            f"the fifth crash: {len(late)} (the rule allows {MAX_REQUESTS})"
        )
        return 1 if len(late) > MAX_REQUESTS and TROUBLE else 0


def main() -> int:
    deployment.end_on_sigterm()
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(Case(pathlib.Path(folder)).run())
        except (OSError, TimeoutError) as error:
            print(f"could not run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
