"""A request that crashes each runner that runs it, where a crashed runner goes dark.

It comes again as its caller repeats it. The rule allows three retries later than `stableMs` after
it has crashed the third runner.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))

import bed  # noqa: E402
import dark  # noqa: E402
from tanagerfork_standins.platform import site as sites  # noqa: E402

STABLE_S = 3.0
ALLOWED_RETRIES = 3
DOWN_S = 3.0  # "The runner is back after some seconds."
PLAY_S = 40.0
REPEAT_S = 1.0
PATH = "/safe/report"


class PoisonedRunner:
    """Runner that crashes when it begins to run the request, if there is trouble."""

    def __init__(self, runner, case: "Case") -> None:  # type: ignore[no-untyped-def]
        self.runner, self._case = runner, case
        self._serve = runner._serve_request
        dark.replace_handler(runner, self.serve)
        self.path: dark.DarkPath | None = None

    async def serve(self, request):  # type: ignore[no-untyped-def]
        """Serve a request as the project's stand-in does, but for the one that crashes it."""
        expected = request.headers.get("Tanagerfork-Expect-Instance", self.runner.id)
        if request.raw_path != PATH or expected != self.runner.id:
            return await self._serve(request)
        request_id = request.headers["Tanagerfork-Request-Id"]
        self._case.note_arrival(self.runner.id, request_id)
        if not self._case.bed.has_trouble:
            return await self._serve(request)
        self._case.note_crash(self.runner.id, request_id)
        assert self.path is not None
        self.path.go_dark()
        self._case.tasks.append(asyncio.create_task(self._come_back()))
        return await dark.hang(request)

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        assert self.path is not None
        self.runner.started_ms += 1
        await self.path.come_back()
        self.runner.publish_entry()
        self._case.bed.record.note(f"runner {self.runner.id} is back, a new start")


class Case:
    """The case: its bed, and what the runners saw."""

    def __init__(self) -> None:
        self.bed = bed.Bed(FOLDER, sites.Site(("a", "b"), engine_count=2, plain_count=12))
        self.runners = [PoisonedRunner(one, self) for one in self.bed.site.plain_runners]
        self.arrivals_s: list[float] = []
        self.crashes_s: list[float] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.others: dict[int, int] = {}

    def note_arrival(self, runner: str, request_id: str) -> None:
        """Record that the request reached a runner."""
        self.arrivals_s.append(self.bed.record.now_s)
        self.bed.record.note(f"runner {runner} begins to run {request_id}")

    def note_crash(self, runner: str, request_id: str) -> None:
        """Record that a runner crashed."""
        self.crashes_s.append(self.bed.record.now_s)
        self.bed.record.note(f"runner {runner} crashes with {request_id}")

    async def send_others(self, daemon: bed.Daemon, name: str) -> None:
        """Send other requests, one after the other, as long as the case lasts."""
        caller, number = self.bed.caller(daemon), 0
        while True:
            number += 1
            answer = await caller.call("GET", f"/safe/{name}/{number}", f"{name}-{number}")
            self.others[answer.status] = self.others.get(answer.status, 0) + 1
            await asyncio.sleep(0.1)

    async def play(self) -> int:
        """Play the case; return its status."""
        await self.bed.start({"a": 2, "b": 2})
        for one in self.runners:
            one.path = await dark.put_behind_path(one.runner)
        await asyncio.sleep(STABLE_S)
        self.tasks += [
            asyncio.create_task(self.send_others(daemon, f"other{index}"))
            for index, daemon in enumerate(self.bed.daemons)
        ]
        chooser = random.Random(11)
        began_s, number = self.bed.record.now_s, 0
        while self.bed.record.now_s - began_s < PLAY_S:
            number += 1
            daemon = chooser.choice(self.bed.daemons)
            caller = self.bed.caller(daemon)
            answer = await caller.call("GET", PATH, f"same-{number}", deadline_ms=3000)
            caller.close()
            self.bed.record.note(f"{daemon.name} answers same-{number} with {answer.status}")
            await asyncio.sleep(REPEAT_S)
        for task in self.tasks:
            task.cancel()
        return self.judge(number)

    def judge(self, sent: int) -> int:
        """Apply the rule."""
        crashes = sorted(self.crashes_s)
        counted_from_s = crashes[2] + STABLE_S if len(crashes) > 2 else float("inf")
        late = sum(at_s > counted_from_s for at_s in self.arrivals_s)
        text = (
            f"sent {sent} times, reached runners {len(self.arrivals_s)} times, "
            f"{len(crashes)} crashes, {late} retries later than stableMs after the third crash "
            f"({ALLOWED_RETRIES} are allowed); other requests by status: {self.others}"
        )
        self.bed.record.note(text)
        print(text)
        return bed.BROKEN if late > ALLOWED_RETRIES else bed.KEPT


async def main() -> int:
    """Play the case and end all that it started."""
    case = Case()
    try:
        return await case.play()
    finally:
        await case.bed.stop()
        for one in case.runners:
            if one.path is not None:
                await one.path.stop()


bed.run(main)
