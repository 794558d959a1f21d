"""Prefix affinity: which groups are likely to hold a prompt's prefix in their cache."""

import collections
import dataclasses
from collections.abc import Collection, Sequence

from tanagerfork.generated import engine

MAX_PREFIXES = 16_384
PREFIX_TTL_MS = 120_000  # Bounds the effect of a lost eviction event.


@dataclasses.dataclass(slots=True)
class EventPosition:
    """The last event applied from a group's cache events."""

    incarnation: str = ""
    sequence: int = 0


class PrefixMap:
    """Maps prefixes to the groups that hold them, from cache events and own dispatches.

    Events arrive late and with gaps, so entries are only hints: they expire after `PREFIX_TTL_MS`,
    which also covers lost evictions, and a new incarnation of an engine drops all of its entries.
    """

    __slots__ = ("_holders", "_positions")

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[str, dict[str, int]] = collections.OrderedDict()
        self._positions: dict[str, EventPosition] = {}

    def last_sequence(self, group: str) -> int:
        """Return the sequence number of the last applied event of a group, 0 if there is none.

        :param group: group.
        """
        position = self._positions.get(group)
        return position.sequence if position else 0

    def apply_events(self, group: str, events: engine.CacheEvents, now_ms: int) -> None:
        """Apply cache events of a group.

        :param group: group whose first member published the events.
        :param events: events, which may be late and have gaps.
        :param now_ms: monotonic clock, in milliseconds.
        """
        position = self._positions.setdefault(group, EventPosition(events.incarnation))
        if position.incarnation != events.incarnation:
            self.forget(group)
            position = self._positions[group] = EventPosition(events.incarnation)
        for event in events.events:
            position.sequence = max(position.sequence, event.sequence)
            if event.kind == "stored":
                self._remember(event.prefix, group, now_ms)
            else:
                self._holders.get(event.prefix, {}).pop(group, None)

    def record_sent(self, group: str, prefixes: Sequence[str], now_ms: int) -> None:
        """Record that a group was sent a prompt and will hold its prefixes before an event says so.

        :param group: group.
        :param prefixes: hashes of the prompt's prefixes.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for prefix in prefixes:
            self._remember(prefix, group, now_ms)

    def find_holders(self, prefixes: Sequence[str], now_ms: int) -> list[str]:
        """Return the groups that hold the longest prefix of a prompt that any group holds.

        :param prefixes: hashes of the prompt's prefixes, the shortest first.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix)
            if holders:
                unexpired = [name for name, at in holders.items() if now_ms - at <= PREFIX_TTL_MS]
                if unexpired:
                    return unexpired
        return []

    def forget(self, group: str) -> None:
        """Drop all entries of a group.

        :param group: group.
        """
        self._positions.pop(group, None)
        for holders in self._holders.values():
            holders.pop(group, None)

    def keep_only(self, groups: Collection[str]) -> None:
        """Drop all entries of groups that no longer exist.

        :param groups: groups of the layout.
        """
        for group in [name for name in self._positions if name not in groups]:
            self.forget(group)

    def _remember(self, prefix: str, group: str, now_ms: int) -> None:
        holders = self._holders.setdefault(prefix, {})
        holders[group] = now_ms
        self._holders.move_to_end(prefix)
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)
