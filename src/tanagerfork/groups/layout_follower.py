"""Layout follower: the candidates watch the layout, all other daemons poll it."""

import asyncio
import random

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork.generated import layout
from tanagerfork.groups import candidates, directory
from tanagerfork.storage import key_value, swap

LAYOUT_PREFIX = "layout/"
READ_INTERVAL_MS = 1000  # Mean time between reads, summed over the polling daemons.
RETRY_MS = 500
MAX_WATCH_AGE_MS = 30_000  # A watch is reopened, as its connection may have gone silent.


class LayoutFollower:
    """Keeps the layout in the directory of a daemon up to date.

    :param failure_domain: failure domain.
    :param daemon: name of this daemon.
    :param store: key-value service.
    :param groups: directory that the layout is stored in.
    :param clock: clock of this daemon.
    :param live_daemons: returns the names of the live daemons of the failure domain.
    :param rng: source of the jitter of polling.
    """

    __slots__ = (
        "_key",
        "_daemon",
        "_store",
        "_groups",
        "_clock",
        "_live_daemons",
        "_rng",
    )

    def __init__(
        self,
        failure_domain: str,
        daemon: str,
        store: key_value.KeyValue,
        groups: directory.GroupDirectory,
        clock: clocks.Clock,
        live_daemons: candidates.LiveDaemons,
        rng: random.Random,
    ) -> None:
        self._key = LAYOUT_PREFIX + failure_domain
        self._daemon = daemon
        self._store = store
        self._groups = groups
        self._clock = clock
        self._live_daemons = live_daemons
        self._rng = rng

    def is_watching(self) -> bool:
        """Return whether this daemon watches the layout instead of polling it."""
        return candidates.is_candidate(self._daemon, self._live_daemons())

    async def run(self) -> None:
        """Follow the layout until cancelled."""
        while True:
            entry = await self.read()
            if entry is not None and self.is_watching():
                await self._watch_until_stale(entry.revision + 1)
            await self._clock.sleep_ms(self._choose_wait_ms())

    async def read(self) -> key_value.Entry | None:
        """Read the layout once.

        :return: the entry, None if there is none or the service did not answer.
        """
        found = await self._store.read(self._key)
        if isinstance(found, result.Err):
            return None
        if found.ok_value is not None:
            self._apply_entry(found.ok_value)
        return found.ok_value

    async def _watch_until_stale(self, revision: int) -> None:
        """Watch until the watch ends or is older than `MAX_WATCH_AGE_MS`."""
        watching = asyncio.create_task(self._watch(revision))
        ageing = asyncio.create_task(self._clock.sleep_ms(MAX_WATCH_AGE_MS))
        try:
            await asyncio.wait({watching, ageing}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            watching.cancel()
            ageing.cancel()

    async def _watch(self, revision: int) -> None:
        async for entry in self._store.watch(self._key, revision):
            self._apply_entry(entry)
            if not self.is_watching():
                return

    def _choose_wait_ms(self) -> float:
        if self.is_watching():
            return RETRY_MS
        wait_ms = READ_INTERVAL_MS * max(1, len(self._live_daemons()))
        return wait_ms * self._rng.uniform(0.5, 1.5)

    def _apply_entry(self, entry: key_value.Entry) -> None:
        try:
            self._groups.apply_layout(swap.decode_record(entry, layout.Layout))
        except msgspec.MsgspecError:
            return
