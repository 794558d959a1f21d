"""Listeners of a relay daemon: opens its ports, waits for taken ones, and closes them together."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import decisions, ports
from tanagerfork import metrics as metric
from tanagerfork.front import bounds, listener
from tanagerfork.peers import link
from tanagerfork.relay import memory, peers

LOGGER = "relay.listeners"

T = TypeVar("T")


class Listeners:
    """Opens listeners, and stops all HTTP listeners at the end.

    :param is_memory_bounded: whether the buffers of connections are kept small.
    :param table: connections of all HTTP listeners.
    :param clock: clock to wait on for taken ports.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_is_memory_bounded", "_table", "_clock", "_log", "_metrics", "_http_listeners")

    def __init__(
        self,
        is_memory_bounded: bool,
        table: listener.Table,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._is_memory_bounded = is_memory_bounded
        self._table = table
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._http_listeners: list[listener.Listener] = []

    async def listen(
        self,
        app: aiohttp.web.Application,
        address: str,
        max_connections: int,
        source: bounds.BoundsSource,
    ) -> int:
        """Serve an application.

        :param app: application.
        :param address: IP address and port, where 0 lets the system choose.
        :param max_connections: connections open at once.
        :param source: tells the bounds on requests.
        :return: port.
        :raises SettingsError: the address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        http_listener = listener.Listener(
            app,
            host,
            int(port),
            max_connections,
            self._metrics,
            keeps_encoding=True,
            source=source,
            table=self._table,
            send_buffer_bytes=memory.SOCKET_BUFFER_BYTES if self._is_memory_bounded else 0,
            read_ahead_bytes=memory.READ_AHEAD_BYTES if self._is_memory_bounded else 0,
        )
        self._http_listeners.append(http_listener)
        return await self._open_port(address, http_listener.start)

    async def open_inbox(self, address: str) -> link.Inbox:
        """Open the inbox for notices of other daemons.

        :param address: IP address and port, where 0 lets the system choose.
        :return: inbox, closed by its owner.
        :raises SettingsError: the address cannot be bound.
        """
        host, _, port = address.rpartition(":")

        async def open_once() -> link.Inbox:
            return link.Inbox(host, int(port), peers.MAX_FRAME_BYTES)

        return await self._open_port(address, open_once)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes that were written to a connection would be lost with the process."""
        return any(http_listener.has_unsent_bytes for http_listener in self._http_listeners)

    async def stop(self) -> None:
        """Stop all HTTP listeners."""
        await asyncio.gather(*(http_listener.stop() for http_listener in self._http_listeners))

    async def _open_port(self, address: str, listen: Callable[[], Awaitable[T]]) -> T:
        return await ports.open_port(
            address,
            listen,
            self._clock,
            lambda reason: self._log.note(
                LOGGER, "port is taken, trying again", address=address, reason=reason
            ),
        )
