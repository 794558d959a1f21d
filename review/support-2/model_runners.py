"""Model runners that go down for some seconds when a part of a prompt crashes them."""

import asyncio
import time

import bed as beds

from tanagerfork_standins import transports
from tanagerfork_standins.platform import runner


class CrashingRunner(runner.Runner):
    """The project's model runner, whose process ends in a crash and is back some seconds later.

    `crashed_at_s` are the times of its crashes. Its entry stays for three heartbeat intervals.
    """

    def __init__(self, name: str, bed: beds.Bed, service: str, back_after_s: float) -> None:
        super().__init__(name, service, "a", "a-f0", bed.store, int(time.time() * 1000))
        self._bed = bed
        self._back_after_s = back_after_s
        self._down: asyncio.Task | None = None
        self.crashed_at_s: list[float] = []

    def lose_state(self) -> None:
        """Crash, unless the runner is down already; see `runner.Runner.lose_state`."""
        if self._down is None or self._down.done():
            self.crashed_at_s.append(self._bed.record.now_s)
            self._bed.record.note(f"{self.id} crashes")
            self._down = asyncio.create_task(self._go_down())

    async def end(self) -> None:
        """End for good."""
        if self._down is not None:
            self._down.cancel()
        await self.stop()

    async def _go_down(self) -> None:
        for transport in list(self._open_streams):
            if not transport.is_closing():
                transports.reset(transport)
        self._open_streams.clear()
        await self._listener.stop()
        await asyncio.sleep(self._back_after_s)
        self.started_ms = int(time.time() * 1000)
        self.membership, self.model = None, ""
        self.order_count = self.highest_epoch = 0
        await self._listener.start()
        self.publish_entry()
        self._bed.record.note(f"{self.id} is back")
