"""Polls the engines' cache events, a few groups per poll."""

from collections.abc import Sequence

import result

from tanagerfork import clock as clocks
from tanagerfork.groups import directory, presence
from tanagerfork.routing import balancer
from tanagerfork.upstream import engine as engines

POLL_INTERVAL_MS = 500
READS_PER_POLL = 2


class CacheFollower:
    """Polls the cache events of the groups with the most unread events.

    :param groups: groups known to this daemon.
    :param group_balancer: balancer whose prefix map is kept up to date.
    :param client: engine client.
    :param clock: clock that times the polls.
    """

    __slots__ = ("_groups", "_balancer", "_client", "_clock")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        group_balancer: balancer.Balancer,
        client: engines.EngineClient,
        clock: clocks.Clock,
    ) -> None:
        self._groups = groups
        self._balancer = group_balancer
        self._client = client
        self._clock = clock

    async def run(self) -> None:
        """Poll cache events until cancelled."""
        while True:
            now_ms = self._clock.monotonic_ms()
            views = self._groups.views(now_ms)
            self._balancer.keep_only({view.record.group for view in views})
            for view in self._rank_unread(views)[:READS_PER_POLL]:
                await self._read_events(view)
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _rank_unread(self, views: Sequence[presence.GroupView]) -> list[presence.GroupView]:
        counted = [(self._count_unread(view), view) for view in views]
        counted.sort(key=lambda item: -item[0])
        return [view for unread, view in counted if unread > 0]

    def _count_unread(self, view: presence.GroupView) -> int:
        if view.report is None or view.state != presence.GroupState.WHOLE:
            return 0
        last_read = self._balancer.prefix_map.last_sequence(view.record.group)
        return abs(view.report.cache_sequence - last_read)

    async def _read_events(self, view: presence.GroupView) -> None:
        entry = self._groups.find_vm(view.leader)
        if entry is None:
            return
        after_sequence = self._balancer.prefix_map.last_sequence(view.record.group)
        events = await self._client.read_cache_events(entry, after_sequence)
        if isinstance(events, result.Ok):
            now_ms = self._clock.monotonic_ms()
            self._balancer.prefix_map.apply_events(view.record.group, events.ok_value, now_ms)
