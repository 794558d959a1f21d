"""Network of one daemon: its own paths to the store and to each runner, which can be cut."""

import asyncio

from tanagerfork_standins import listener, proxy
from tanagerfork_standins.platform import store


class DaemonNetwork:
    """Paths of one daemon, which reads and writes the proxies' addresses; see `store.Translator`.

    `store_path` is the path to the store.

    :param registry: store with the entries of the runners.
    :param runner_addresses: addresses of the runners.
    """

    def __init__(self, registry: store.Store, runner_addresses: list[str]) -> None:
        self._proxies = {address: proxy.Proxy(address) for address in runner_addresses}
        self._listener = listener.Listener()
        registry.serve(self._listener.app, self)

    async def start(self) -> None:
        """Open all paths."""
        await self._listener.start()
        self.store_path = proxy.Proxy(f"{listener.LOOPBACK}:{self._listener.port}")
        await asyncio.gather(*(path.start() for path in self._list_paths()))

    async def stop(self) -> None:
        """Close all paths."""
        await asyncio.gather(*(path.stop() for path in self._list_paths()))
        await self._listener.stop()

    def _list_paths(self) -> list[proxy.Proxy]:
        return [self.store_path, *self._proxies.values()]

    def cut(self, how: proxy.Cut, spared: tuple[str, ...] = ()) -> None:
        """Partition the daemon from all runners but some.

        :param how: what becomes of the connections.
        :param spared: addresses of the runners that it still reaches.
        """
        for address, path in self._proxies.items():
            if address not in spared:
                path.cut(how)

    def reset(self, address: str) -> None:
        """Reset the open connections to a runner.

        :param address: address of the runner.
        """
        self._proxies[address].reset()

    async def heal(self) -> None:
        """End the partition."""
        await asyncio.gather(*(path.heal() for path in self._proxies.values()))

    def show(self, value: bytes) -> bytes:
        """Return a value of the store with the addresses of the proxies."""
        for address, path in self._proxies.items():
            value = value.replace(f'"{address}"'.encode(), f'"{path.address}"'.encode())
        return value

    def accept(self, value: bytes) -> bytes:
        """Return a value with the addresses of the runners."""
        for address, path in self._proxies.items():
            value = value.replace(f'"{path.address}"'.encode(), f'"{address}"'.encode())
        return value
