"""Stand-in for the rate-limited weight store."""

import asyncio


class WeightStore:
    """Serves weights to a bounded number of VMs at once.

    :param load_ms: time that one VM's weights take, in milliseconds.
    :param loads_at_once: VMs served at once.
    """

    __slots__ = ("load_ms", "loads", "_places")

    def __init__(self, load_ms: int, loads_at_once: int) -> None:
        self.load_ms = load_ms
        self.loads = 0
        self._places = asyncio.Semaphore(loads_at_once)

    async def load(self) -> None:
        """Wait until the weights of one VM have been read."""
        async with self._places:
            self.loads += 1
            await asyncio.sleep(self.load_ms / 1000)
