"""Reads the engines' cache events, a few engines at a time."""

from collections.abc import Sequence

import result

from tanagerfork import clock as clocks
from tanagerfork.groups import directory, presence
from tanagerfork.routing import balancer
from tanagerfork.upstream import engine as engines

INTERVAL_MS = 500
READS_AT_ONCE = 2


class CacheFollower:
    """Follows the groups whose caches changed most since they were read.

    :param groups: groups as this daemon knows them.
    :param choice: balancer whose prefixes are kept up.
    :param client: engine client.
    :param clock: clock to wait on.
    """

    __slots__ = ("_groups", "_balancer", "_client", "_clock")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        choice: balancer.Balancer,
        client: engines.EngineClient,
        clock: clocks.Clock,
    ) -> None:
        self._groups = groups
        self._balancer = choice
        self._client = client
        self._clock = clock

    async def run(self) -> None:
        """Read cache events until cancelled."""
        while True:
            now_ms = self._clock.monotonic_ms()
            views = self._groups.views(now_ms)
            self._balancer.keep_only({view.record.group for view in views})
            for view in self._find_changed(views)[:READS_AT_ONCE]:
                await self._read(view)
            await self._clock.sleep_ms(INTERVAL_MS)

    def _find_changed(self, views: Sequence[presence.GroupView]) -> list[presence.GroupView]:
        behind = [(self._count_unread(view), view) for view in views]
        behind.sort(key=lambda item: -item[0])
        return [view for unread, view in behind if unread > 0]

    def _count_unread(self, view: presence.GroupView) -> int:
        if view.report is None or view.state != presence.GroupState.WHOLE:
            return 0
        known = self._balancer.warm.last_sequence(view.record.group)
        return abs(view.report.cache_sequence - known)

    async def _read(self, view: presence.GroupView) -> None:
        entry = self._groups.find_vm(view.leader)
        if entry is None:
            return
        after = self._balancer.warm.last_sequence(view.record.group)
        came = await self._client.cache_events(entry, after)
        if isinstance(came, result.Ok):
            now_ms = self._clock.monotonic_ms()
            self._balancer.warm.hear(view.record.group, came.ok_value, now_ms)
