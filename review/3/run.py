"""A request that crashes its runners comes again while the daemons are restarted one by one."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

import deployment  # noqa: E402
import plain_runner  # noqa: E402

from tanagerfork import clock as clocks  # noqa: E402
from tanagerfork_standins import listener  # noqa: E402
from tanagerfork_standins.platform import store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["ipoh-a", "ipoh-b", "taiping"]
STABLE_S = 3.0  # bounds.stableMs
MAX_RETRIES = 3  # Of the rule.
FAULTY_BODY = b"lot 4711: crash"
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
FIRST_S = 9.0  # Until the first restart; by then all daemons know the faulty request.
GAP_S = 6.5  # Between two restarts: stableMs, and one round of the faulty request.
SEND_S = 0.5  # Between two tries of the faulty request.
OTHERS_PER_S = 25.0
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": f"r-{kind}",
            "host": HOST,
            "prefix": prefix,
            "type": kind,
            "timeoutMs": 1500,
            "goalMs": 200,
            "priority": 2,
            "service": "batch-ledger",
            "attempts": 2 if kind == "safe" else 1,
            "public": False,
            "sticky": False,
            "resumable": False,
        }
        for prefix, kind in (("/lots/", "safe"), ("/records/", "unsafe"))
    ],
    "services": [{"name": "batch-ledger", "healthPath": "/healthz", "maxConns": 244}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 2}],
}


class Case:
    """The deployment, its clients, and what they and the runners have seen."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = deployment.Record(FOLDER)
        self.folder = folder
        self.store = store.Store(clocks.SystemClock())
        self.listener = listener.Listener()
        self.store.serve(self.listener.app)
        self.ids = itertools.count(1)
        self.started_s: dict[str, float] = {}  # By daemon, while it is to take requests.
        self.sent: dict[str, tuple[float, str]] = {}
        self.arrivals: list[tuple[float, str]] = []  # Of the faulty request.
        self.other_ends: dict[str, int] = {}

    def note_run(
        self, runner: plain_runner.PlainRunner, headers: dict[str, str], body: bytes, path: str
    ) -> None:
        request_id = headers.get("tanagerfork-request-id", "")
        if body == FAULTY_BODY:
            self.arrivals.append((self.record.now_s, request_id))
            self.record.note(f"runner {runner.id} runs faulty request {request_id}, and crashes")
        else:
            self.record.note(f"runner {runner.id} runs other request {request_id}", False)

    async def run(self) -> int:
        await self.listener.start()
        self.store.put("op/config", json.dumps(CONFIG).encode())
        runners = [
            plain_runner.PlainRunner(
                f"{zone}{n}",
                "batch-ledger",
                zone,
                self.store,
                self.note_run,
                work_s=0.12,
                crash_body=FAULTY_BODY,
            )
            for n in range(2)
            for zone in ZONES
        ]
        for runner in runners:
            await runner.start()
        address = f"127.0.0.1:{self.listener.port}"
        self.daemons = [
            deployment.Daemon(f"edge-{zone}-{n}", zone, ip, address, ZONES, self.folder)
            for (n, zone), ip in zip(
                itertools.product((1, 2), ZONES), deployment.find_addresses(6), strict=True
            )
        ]
        clients: list[asyncio.Task[None]] = []
        try:
            for daemon in self.daemons:
                await daemon.start()
            for daemon in self.daemons:
                await daemon.wait_until_ready()
                self.started_s[daemon.name] = self.record.now_s
            self.record.note("all daemons are ready")
            clients = [
                asyncio.create_task(self.send_faulty()),
                asyncio.create_task(self.send_others()),
            ]
            await asyncio.sleep(FIRST_S)
            for daemon in self.daemons:
                if TROUBLE:
                    await self.restart(daemon)
                await asyncio.sleep(GAP_S)
        finally:
            for task in clients:
                task.cancel()
            for daemon in self.daemons:
                await daemon.end()
            for runner in runners:
                await runner.end()
            await self.listener.stop()
        return self.judge()

    async def restart(self, daemon: deployment.Daemon) -> None:
        self.record.note(f"SIGTERM to {daemon.name}")
        del self.started_s[daemon.name]
        await daemon.restart(signal.SIGTERM)
        began_s = self.record.now_s
        await daemon.wait_until_ready()
        self.started_s[daemon.name] = began_s
        self.record.note(f"{daemon.name} runs again and is ready")

    async def send_faulty(self) -> None:
        """The faulty request comes again and again, at the machines in turn."""
        for turn in itertools.count():
            await asyncio.sleep(SEND_S)
            in_touch = [
                each
                for each in self.daemons
                if self.record.now_s - self.started_s.get(each.name, 1e9) > STABLE_S
            ]
            if in_touch:
                await self.send(in_touch[turn % len(in_touch)], FAULTY_BODY, "/lots/4711")

    async def send_others(self) -> None:
        """Other requests, each of which is to be recorded once."""
        running: set[asyncio.Task[None]] = set()
        for turn in itertools.count():
            await asyncio.sleep(1 / OTHERS_PER_S)
            ready = [each for each in self.daemons if each.name in self.started_s]
            if ready:
                sending = self.send(ready[turn % len(ready)], b"lot %d" % turn, f"/records/{turn}")
                task = asyncio.create_task(sending)
                running.add(task)
                task.add_done_callback(running.discard)

    async def send(self, daemon: deployment.Daemon, body: bytes, path: str) -> None:
        request_id = f"{next(self.ids):016x}"
        headers = {
            "Host": HOST,
            "Tanagerfork-Request-Id": request_id,
            "Tanagerfork-Deadline-Ms": "1501",
            "Authorization": f"Bearer {KEY}",
        }
        sent_s = self.record.now_s
        self.sent[request_id] = (sent_s, daemon.name)
        status, port = 0, deployment.PORTS["frontend"]
        with contextlib.suppress(OSError, TimeoutError):
            answer = await deployment.ask(daemon.ip, port, "POST", path, headers, body, 1.6)
            status = answer.status
        if body == FAULTY_BODY:
            sent = f"faulty request {request_id} sent to {daemon.name} at {sent_s:.3f}"
            self.record.note(f"{sent}: {status or 'closed'}")
        else:
            end = str(status or "closed")
            self.other_ends[end] = self.other_ends.get(end, 0) + 1
            sent = f"other request {request_id} sent to {daemon.name} at {sent_s:.3f}"
            self.record.note(f"{sent}: {end}", status != 200)

    def judge(self) -> int:
        if len(self.arrivals) < 2 and TROUBLE:
            self.record.note("the case did not run: the faulty request reached too few runners")
            return 2
        late: list[str] = []
        if len(self.arrivals) > 2:
            third_s = self.arrivals[2][0]
            late = [
                request_id
                for at_s, request_id in self.arrivals
                if self.sent[request_id][0] > third_s + STABLE_S
            ]
        retries = sorted(set(late))
        self.record.note(
            f"crashes: {len(self.arrivals)}; retries that reached runners later than stableMs after "
            f"the third crash: {len(retries)} (the rule allows {MAX_RETRIES}); "
            f"other requests ended {self.other_ends}"
        )
        return 1 if len(retries) > MAX_RETRIES else 0


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
