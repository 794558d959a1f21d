"""Runners that go dark when they crash: nothing comes from them, and connections to them hang."""

import asyncio
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "src"))
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp.web  # noqa: E402

from tanagerfork_standins import proxy  # noqa: E402
from tanagerfork_standins.platform import runner as runners  # noqa: E402


class DarkPath(proxy.Proxy):
    """Path to a runner whose machine may lose power.

    Open connections carry nothing any more, also once the machine is back, and are not reset, as
    neither side has anything to send. New ones hang while it is away.
    """

    def go_dark(self) -> None:
        """Lose power."""
        self.silence()
        self._close_server()
        self._fill_backlog()

    async def come_back(self) -> None:
        """Take new connections again."""
        for unaccepted in self._unaccepted:
            unaccepted.close()
        self._unaccepted.clear()
        await self.start()


async def put_behind_path(runner: runners.Runner) -> DarkPath:
    """Put a runner that has started behind a path, and write the path's address to its entry."""
    path = DarkPath(runner.address)
    await path.start()
    runner.address = path.address
    runner.publish_entry()
    return path


def replace_handler(runner: runners.Runner, handler: object) -> None:
    """Have another function serve the requests of a runner; call it before the runner starts."""
    for route in runner._listener.app.router.routes():
        if route.method == "*":
            route._handler = handler  # type: ignore[assignment]


async def hang(request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
    """Answer nothing until the connection is closed."""
    await asyncio.Event().wait()
    raise AssertionError
