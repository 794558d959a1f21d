"""CPU time per streamed token and per request, compared with a bare aiohttp relay, and memory.

The engines and the callers run in their own threads; only the CPU time of the relaying thread is
counted.
"""

import asyncio
import pathlib
import shutil
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import aiohttp.web
import msgspec

from tanagerfork import clock as clocks
from tanagerfork import daemon as daemons
from tanagerfork import logs
from tanagerfork import settings as settings_files
from tanagerfork.generated import settings as settings_records
from tanagerfork_standins import embedding, site

FOLDER = pathlib.Path(__file__).parent.parent / "examples" / "press"
SEED = 41
MODEL = "rota-writer"
TOKENS = 150
TOKEN_GAP_MS = 33
STREAMS = (50, 180)
MEMORY_STREAMS = 500
SHORT_REQUESTS = 300
IDLE_S = 2.0
WAIT_S = 60
WORDS = " ".join(["word"] * TOKENS)


class LoopThread:
    """An event loop in its own thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    async def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the thread and await its result in the current loop."""
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, self.loop))


def read_resident_mb(process: str = "self") -> float:
    """Return the resident memory of a process, in MB."""
    fields = pathlib.Path(f"/proc/{process}/statm").read_text().split()
    return int(fields[1]) * 4096 / 1e6


async def stream_all(url: str, streams: int, headers: dict[str, str], words: str = WORDS) -> int:
    """Stream answers concurrently; return the number of complete ones."""
    body = {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": words}]}

    async def ask(session: aiohttp.ClientSession, number: int) -> bool:
        own = {**headers, "X-Attempt-Id": f"a{number}", "X-Request-Id": f"r{number}"}
        tail = b""
        async with session.post(url, json=body, headers=own) as response:
            async for chunk in response.content.iter_any():
                tail = (tail + chunk)[-200:]
        return tail.endswith(b"data: [DONE]\n\n")

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        return sum(await asyncio.gather(*(ask(session, number) for number in range(streams))))


async def start_relay(upstream: Callable[[], str]) -> tuple[aiohttp.web.AppRunner, str]:
    """Start a bare relay in the current loop; return its runner and URL."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def relay(request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        body = await request.read()
        kept = {name: request.headers[name] for name in ("X-Attempt-Id", "X-Request-Id")}
        response = aiohttp.web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with session.post(upstream(), data=body, headers=kept) as answer:
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
        await response.write_eof()
        return response

    app = aiohttp.web.Application()
    app.router.add_post("/v1/chat/completions", relay)
    app.on_cleanup.append(lambda app: session.close())
    runner = aiohttp.web.AppRunner(app, access_log=None)
    await runner.setup()
    await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, f"http://127.0.0.1:{runner.addresses[0][1]}/v1/chat/completions"


async def measure(work: Callable[[], Coroutine[Any, Any, int]], idle_share: float) -> float:
    """Return this thread's CPU time for some work minus its idle share, in seconds."""
    started, started_cpu = time.perf_counter(), time.thread_time()
    await work()
    wall = time.perf_counter() - started
    return time.thread_time() - started_cpu - idle_share * wall


async def measure_streams(
    callers: LoopThread, url: str, streams: int, headers: dict[str, str], words: str, idle: float
) -> float:
    """Send requests from another thread; return this thread's CPU time, in seconds."""
    whole: list[int] = []

    async def ask() -> int:
        whole.append(await callers.run(stream_all(url, streams, headers, words)))
        return whole[0]

    seconds = await measure(ask, idle)
    if whole != [streams]:
        raise SystemExit(f"{whole[0]} of {streams} answers were complete")
    return seconds


async def start_site(settings: settings_records.Settings) -> embedding.EmbeddedSite:
    """Start the example site with large engines at the target token rate."""
    plan = site.read_plan(FOLDER / embedding.SITE_FILE)
    plan.slots, plan.token_gap_ms, plan.first_token_ms, plan.load_ms = 128, TOKEN_GAP_MS, 20, 20
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        (folder / embedding.SITE_FILE).write_bytes(msgspec.json.encode(plan))
        shutil.copy(FOLDER / embedding.BUNDLE_FILE, folder)
        return await embedding.start_site(folder, settings)


async def measure_all() -> None:
    """Run all measurements and print the figures."""
    path = FOLDER / "embedded.json5"
    settings = settings_files.load_settings(path, ("callers.port=0", "operators.port=0"))
    settings.limits.default_deadline_ms = WAIT_S * 1000
    settings.seed = SEED
    logs.configure_logs(settings_records.LogSettings(level="error"))
    engines, callers = LoopThread(), LoopThread()
    running = await engines.run(start_site(settings))
    daemon = daemons.Daemon(settings, clocks.SystemClock())
    await daemon.start()
    await running.roll_bundle(daemon.store)
    for _ in range(WAIT_S * 10):
        if len(daemon.groups.whole_groups(MODEL, daemon.clock.monotonic_ms())) >= 4:
            break
        await asyncio.sleep(0.1)
    views = daemon.groups.whole_groups(MODEL, daemon.clock.monotonic_ms())
    urls = [f"{daemon.groups.find_vm(v.leader).url}/v1/chat/completions" for v in views]
    turns = iter(range(10**9))
    runner, relay_url = await start_relay(lambda: urls[next(turns) % len(urls)])
    daemon_url = f"http://127.0.0.1:{daemon.callers_port}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {embedding.EXAMPLE_TOKEN}"}
    idle = await measure(lambda: asyncio.sleep(IDLE_S, 0), 0.0) / IDLE_S
    print(f"seed {SEED}, {TOKENS} tokens a stream; daemon idle {idle:.1%} of a core")
    for streams in STREAMS:
        relayed = await measure_streams(callers, relay_url, streams, headers, WORDS, idle)
        served = await measure_streams(callers, daemon_url, streams, headers, WORDS, idle)
        each_us = [seconds / streams / TOKENS * 1e6 for seconds in (relayed, served)]
        print(
            f"  {streams} streams: relay {each_us[0]:.0f}, daemon {each_us[1]:.0f} us a token;",
            end="",
        )
        print(f" {served / relayed:.2f} times the relay")
    relayed = await measure_streams(callers, relay_url, SHORT_REQUESTS, headers, "word", idle)
    served = await measure_streams(callers, daemon_url, SHORT_REQUESTS, headers, "word", idle)
    each_us = [seconds / SHORT_REQUESTS * 1e6 for seconds in (relayed, served)]
    print(f"  a request of two tokens: relay {each_us[0]:.0f}, daemon {each_us[1]:.0f} us;", end="")
    print(f" {served / relayed:.2f} times the relay")
    asked = asyncio.ensure_future(callers.run(stream_all(daemon_url, MEMORY_STREAMS, headers)))
    before = read_resident_mb()
    await asyncio.sleep(TOKENS * TOKEN_GAP_MS / 2000)
    print(f"  memory of daemon, engines and callers: {before:.0f} MB,", end=" ")
    print(f"at {daemon.callers.open_requests} streams {read_resident_mb():.0f} MB;", end=" ")
    print(f"whole {await asked} of {MEMORY_STREAMS}")
    await runner.cleanup()
    await daemon.stop()
    await engines.run(running.stop())


def main() -> None:
    """Print the figures; with --rest, only the memory after importing the daemon's modules."""
    if "--rest" in sys.argv:
        print(f"modules of the daemon loaded: {read_resident_mb():.1f} MB")
        return
    asyncio.run(measure_all())


if __name__ == "__main__":
    main()
