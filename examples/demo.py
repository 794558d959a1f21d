"""End-to-end demonstration on the embedded site: stream, idempotent write, group repair."""

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
WAIT_TIMEOUT_S = 30
OTHER_REQUESTS = 20


class DemoFailed(AssertionError):
    """An expectation of the demonstration was not met."""


def expect(condition: bool, description: str) -> None:
    """Check an expectation and print it.

    :param condition: whether the expectation holds.
    :param description: description of the expectation.
    :raises DemoFailed: the expectation does not hold.
    """
    if not condition:
        raise DemoFailed(description)
    print(f"  ok: {description}")


async def wait_until(condition, description: str) -> None:
    """Wait until an expectation holds and print it.

    :param condition: callable that returns whether the expectation holds.
    :param description: description of the expectation.
    :raises DemoFailed: the expectation does not hold within the timeout.
    """
    for _ in range(WAIT_TIMEOUT_S * 20):
        if condition():
            print(f"  ok: {description}")
            return
        await asyncio.sleep(0.05)
    raise DemoFailed(f"timed out: {description}")


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
        """Return the whole groups that serve the demonstration's model."""
        return self.daemon.groups.whole_groups(MODEL, self.daemon.clock.monotonic_ms())

    async def stream_draft(self, text: str, request_id: str) -> str:
        """Stream one draft.

        :param text: prompt.
        :param request_id: id of the request.
        :return: complete event stream as text.
        """
        message = {"role": "user", "content": text}
        body = {"model": MODEL, "stream": True, "messages": [message]}
        headers = {**self.headers, "X-Request-Id": request_id}
        url = self.url + "/v1/chat/completions"
        async with self.session.post(url, json=body, headers=headers) as response:
            return await response.text()

    async def record_pressing(self, key: str) -> str:
        """Record one pressing with an idempotency key.

        :param key: value of the Idempotency-Key header.
        :return: response status and body.
        """
        headers = {**self.headers, "Idempotency-Key": key}
        url = self.url + "/services/batch-ledger/pressings"
        body = {"lot": "P-118", "litres": 240}
        async with self.session.post(url, json=body, headers=headers) as response:
            return f"{response.status} {await response.text()}"

    async def show_draft(self) -> None:
        """Stream a rota draft."""
        print("a shift lead streams a rota draft")
        answer = await self.stream_draft("draft the night rota for Ipoh", "rota-1")
        expect("[rota-1]" in answer, "the draft contains the id of its request")
        expect(answer.endswith("data: [DONE]\n\n"), "the draft is complete")

    async def show_pressing(self) -> None:
        """Record a pressing twice with the same idempotency key."""
        print("the press floor records a pressing and retries it with the same idempotency key")
        first = await self.record_pressing("pressing-118")
        second = await self.record_pressing("pressing-118")
        print(f"  {first}")
        expect(first.startswith("201"), "the pressing is recorded")
        expect(first == second, "the retry gets the first answer")
        records = self.site.stand_ins.records["batch-ledger"].records
        expect(len(records) == 1, "the ledger has one record")

    async def show_repair(self) -> None:
        """Kill a member and wait for the repair of its group while other requests are served."""
        print("a member VM dies while requests are served")
        victim = next(view for view in self.whole_groups() if view.record.reserves)
        name, member = victim.record.group, victim.record.members[1]
        asked = asyncio.create_task(self.stream_other_drafts())
        await self.site.stand_ins.faults.inject(faults.Fault(kind="vm_dies", vm=member))
        await wait_until(
            lambda: name not in [view.record.group for view in self.whole_groups()],
            f"{name} lost {member} and takes no requests",
        )
        await wait_until(
            lambda: name in [view.record.group for view in self.whole_groups()],
            f"{name} is whole again with a VM of its reserve",
        )
        repaired = next(view for view in self.whole_groups() if view.record.group == name)
        expect(member not in repaired.record.members, f"{member} is no longer a member")
        expect(await asked == OTHER_REQUESTS, f"{OTHER_REQUESTS} other drafts were complete")

    async def stream_other_drafts(self) -> int:
        """Stream drafts one after the other.

        :return: number of complete drafts with the id of their request.
        """
        complete = 0
        for number in range(OTHER_REQUESTS):
            name = f"other-{number}"
            answer = await self.stream_draft("summarise the batch of lot P-118", name)
            complete += f"[{name}]" in answer and answer.endswith("data: [DONE]\n\n")
            await asyncio.sleep(0.05)
        return complete

    def show_timeline(self) -> None:
        """Print the timeline."""
        print("the timeline")
        for event in self.daemon.timeline.read().events:
            subject = event.group or event.vm or event.request
            print(f"  {event.wall_ms} {event.kind:18} {subject:24} {event.detail}")


async def run() -> None:
    """Run all steps of the demonstration."""
    settings = settings_files.load_settings(
        FOLDER / "embedded.json5", ("callers.port=0", "operators.port=0", "peers.port=0")
    )
    logs.configure_logs(settings_records.LogSettings(level="error"))
    site = await embedding.start_site(FOLDER, settings)
    daemon = daemons.Daemon(settings, clocks.SystemClock())
    await daemon.start()
    async with aiohttp.ClientSession() as session:
        demo = Demo(daemon, site, session)
        print("an operator rolls out the signed bundle")
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
    """Run the demonstration; exit with a message if an expectation is not met."""
    try:
        asyncio.run(run())
    except DemoFailed as error:
        sys.exit(f"FAILED: {error}")
    print("done")


if __name__ == "__main__":
    main()
