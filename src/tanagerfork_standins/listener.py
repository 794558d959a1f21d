"""Loopback HTTP listener of a stand-in."""

import aiohttp.web

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEAD_BYTES = 32 * 1024  # Of one field or target; callers may send 16 KiB.
MAX_HEAD_FIELDS = 8192


class Listener:
    """HTTP listener that can be stopped and started again on the same port.

    :param port: TCP port; 0 lets the system choose.
    """

    __slots__ = ("port", "app", "_runner")

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.app = aiohttp.web.Application(client_max_size=MAX_BODY_BYTES)
        self._runner: aiohttp.web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL of the listener."""
        return f"http://{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Bind the port and serve."""
        self._runner = aiohttp.web.AppRunner(
            self.app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handler_cancellation=True,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_FIELDS,
        )
        await self._runner.setup()
        site = aiohttp.web.TCPSite(self._runner, LOOPBACK, self.port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
