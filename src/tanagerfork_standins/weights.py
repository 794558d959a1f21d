"""Stand-in for the rate-limited weight store."""

import asyncio


class WeightStore:
    """Serves weights to a limited number of VMs at a time.

    :param load_ms: time to load the weights of one VM, in milliseconds.
    :param max_concurrent_loads: maximum number of VMs served at a time.
    """

    __slots__ = ("load_ms", "loads", "_semaphore")

    def __init__(self, load_ms: int, max_concurrent_loads: int) -> None:
        self.load_ms = load_ms
        self.loads = 0
        self._semaphore = asyncio.Semaphore(max_concurrent_loads)

    async def load(self) -> None:
        """Load the weights of one VM, once the limit allows it."""
        async with self._semaphore:
            self.loads += 1
            await asyncio.sleep(self.load_ms / 1000)
