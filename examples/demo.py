"""Runs the main job on the embedded default and shows what became of it."""

import asyncio
import pathlib
import sys

import aiohttp

from tanagerfork import clock as clocks
from tanagerfork import daemon as daemons
from tanagerfork import logs
from tanagerfork import settings as settings_files
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import presence
from tanagerfork_standins import embedding, faults

FOLDER = pathlib.Path(__file__).parent / "press"
MODEL = "rota-writer"
TOKEN = embedding.EXAMPLE_TOKEN
WAIT_S = 30
OTHER_REQUESTS = 20


class DemoFailed(AssertionError):
    """The main job did not do what it must."""


def expect(condition: bool, what: str) -> None:
    """Check one thing that must hold.

    :param condition: whether it holds.
    :param what: what must hold.
    :raises DemoFailed: it does not hold.
    """
    if not condition:
        raise DemoFailed(what)
    print(f"  ok: {what}")


async def wait_until(condition, what: str) -> None:
    """Wait for something that must come about.

    :param condition: callable that tells whether it has.
    :param what: what must come about.
    :raises DemoFailed: it did not come about in time.
    """
    for _ in range(WAIT_S * 20):
        if condition():
            print(f"  ok: {what}")
            return
        await asyncio.sleep(0.05)
    raise DemoFailed(f"not in time: {what}")


class Demo:
    """The steps of the demonstration.

    :param daemon: running daemon.
    :param site: running stand-ins.
    :param session: HTTP session of the callers.
    """

    def __init__(
        self,
        daemon: daemons.Daemon,
        site: embedding.EmbeddedSite,
        session: aiohttp.ClientSession,
    ) -> None:
        self.daemon = daemon
        self.site = site
        self.session = session
        self.url = f"http://127.0.0.1:{daemon.callers_port}"
        self.headers = {"Authorization": f"Bearer {TOKEN}"}

    def whole_groups(self) -> list[presence.GroupView]:
        """Return the whole groups of the demonstration's model."""
        return self.daemon.groups.whole_groups(MODEL, self.daemon.clock.monotonic_ms())

    async def ask_for_draft(self, text: str, request_id: str) -> str:
        """Stream one draft.

        :param text: what is asked.
        :param request_id: id of the request.
        :return: the whole streamed answer.
        """
        message = {"role": "user", "content": text}
        body = {"model": MODEL, "stream": True, "messages": [message]}
        headers = {**self.headers, "X-Request-Id": request_id}
        url = self.url + "/v1/chat/completions"
        async with self.session.post(url, json=body, headers=headers) as response:
            return await response.text()

    async def record_pressing(self, key: str) -> str:
        """Record one pressing under a key.

        :param key: Idempotency-Key.
        :return: status and body.
        """
        headers = {**self.headers, "Idempotency-Key": key}
        url = self.url + "/services/batch-ledger/pressings"
        body = {"lot": "P-118", "litres": 240}
        async with self.session.post(url, json=body, headers=headers) as response:
            return f"{response.status} {await response.text()}"

    async def show_draft(self) -> None:
        """Stream a rota draft."""
        print("a shift lead streams a rota draft")
        answer = await self.ask_for_draft("draft the night rota for Ipoh", "rota-1")
        expect("[rota-1]" in answer, "the draft ends with its own request's id")
        expect(answer.endswith("data: [DONE]\n\n"), "the draft is whole")

    async def show_pressing(self) -> None:
        """Record a pressing twice under one key."""
        print("the press floor records a pressing, and sends it again under its key")
        first = await self.record_pressing("pressing-118")
        second = await self.record_pressing("pressing-118")
        print(f"  {first}")
        expect(first.startswith("201"), "the pressing is recorded")
        expect(first == second, "the second answer is the first one")
        records = self.site.stand_ins.records["batch-ledger"].records
        expect(len(records) == 1, "the ledger holds one record")

    async def show_repair(self) -> None:
        """Kill a member and see its group repaired while other requests go on."""
        print("a member VM dies while requests go on")
        victim = next(view for view in self.whole_groups() if view.record.reserves)
        name, member = victim.record.group, victim.record.members[1]
        asked = asyncio.create_task(self.ask_many())
        await self.site.stand_ins.faults.inject(faults.Fault(kind="vm_dies", vm=member))
        await wait_until(
            lambda: name not in [view.record.group for view in self.whole_groups()],
            f"{name} lost {member} and serves nothing",
        )
        await wait_until(
            lambda: name in [view.record.group for view in self.whole_groups()],
            f"{name} is whole again out of its reserve",
        )
        repaired = next(view for view in self.whole_groups() if view.record.group == name)
        expect(member not in repaired.record.members, f"{member} is no member any more")
        expect(await asked == OTHER_REQUESTS, f"{OTHER_REQUESTS} other drafts came whole")

    async def ask_many(self) -> int:
        """Ask for drafts one after the other.

        :return: how many came whole and with their own id.
        """
        whole = 0
        for number in range(OTHER_REQUESTS):
            name = f"other-{number}"
            answer = await self.ask_for_draft("summarise the batch of lot P-118", name)
            whole += f"[{name}]" in answer and answer.endswith("data: [DONE]\n\n")
            await asyncio.sleep(0.05)
        return whole

    def show_timeline(self) -> None:
        """Print the time line."""
        print("the time line")
        for event in self.daemon.timeline.read().events:
            subject = event.group or event.vm or event.request
            print(f"  {event.wall_ms} {event.kind:18} {subject:24} {event.detail}")


async def run() -> None:
    """Run all steps."""
    settings = settings_files.load_settings(
        FOLDER / "embedded.json5", ("callers.port=0", "operators.port=0", "peers.port=0")
    )
    logs.configure_logs(settings_records.LogSettings(level="error"))
    site = await embedding.start_site(FOLDER, settings)
    daemon = daemons.Daemon(settings, clocks.SystemClock())
    await daemon.start()
    async with aiohttp.ClientSession() as session:
        demo = Demo(daemon, site, session)
        print("an operator rolls the signed-off bundle")
        await site.roll_bundle(daemon.store)
        await wait_until(lambda: daemon.bundles.version == 1, "the bundle is in force")
        wanted = next(
            count.groups
            for count in site.bundle.models[0].placement
            if count.failure_domain == settings.failure_domain
        )
        await wait_until(lambda: len(demo.whole_groups()) == wanted, f"{wanted} groups are whole")
        await demo.show_draft()
        await demo.show_pressing()
        await demo.show_repair()
        demo.show_timeline()
    await daemon.stop()
    await site.stop()


def main() -> None:
    """Run the demonstration; the exit status tells whether all held."""
    try:
        asyncio.run(run())
    except DemoFailed as error:
        sys.exit(f"FAILED: {error}")
    print("done")


if __name__ == "__main__":
    main()
