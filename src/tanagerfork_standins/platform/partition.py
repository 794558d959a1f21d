"""Network of one daemon: its own paths to the store and to each runner, which can be cut."""

import asyncio

import msgspec

from tanagerfork_standins import listener, proxy
from tanagerfork_standins.platform import store

SERVERS_PREFIX = "servers/"


class DaemonNetwork:
    """Paths of one daemon; it finds the proxies' addresses in the entries that it reads.

    :param registry: store with the entries of the runners.
    :param runner_addresses: addresses of the runners.
    """

    def __init__(self, registry: store.Store, runner_addresses: list[str]) -> None:
        self._proxies = {address: proxy.Proxy(address) for address in runner_addresses}
        self._listener = listener.Listener()
        registry.serve(self._listener.app, self._translate)

    @property
    def store_address(self) -> str:
        """Address of the store as this daemon reaches it."""
        return f"{listener.LOOPBACK}:{self._listener.port}"

    async def start(self) -> None:
        """Open all paths."""
        await self._listener.start()
        await asyncio.gather(*(path.start() for path in self._proxies.values()))

    async def stop(self) -> None:
        """Close all paths."""
        await asyncio.gather(*(path.stop() for path in self._proxies.values()))
        await self._listener.stop()

    def cut(self, how: proxy.Cut, spared: tuple[str, ...] = ()) -> None:
        """Partition the daemon from all runners but some.

        :param how: what becomes of the connections.
        :param spared: addresses of the runners that it still reaches.
        """
        for address, path in self._proxies.items():
            if address not in spared:
                path.cut(how)

    async def heal(self) -> None:
        """End the partition."""
        await asyncio.gather(*(path.heal() for path in self._proxies.values()))

    def _translate(self, key: str, value: bytes) -> bytes:
        if not key.startswith(SERVERS_PREFIX):
            return value
        entry = msgspec.json.decode(value)
        path = self._proxies.get(entry.get("address"))
        if path is None:
            return value
        return msgspec.json.encode({**entry, "address": path.address})
