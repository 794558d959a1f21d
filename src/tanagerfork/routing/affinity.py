"""Prefix affinity: which groups probably hold a prompt's prefix in their cache."""

import collections
import dataclasses
from collections.abc import Collection, Sequence

from tanagerfork.generated import engine

MAX_PREFIXES = 16_384
PREFIX_TTL_MS = 120_000


@dataclasses.dataclass(slots=True)
class FollowedEvents:
    """How far a group's cache events are known."""

    incarnation: str = ""
    sequence: int = 0


class PrefixMap:
    """Remembers prefixes by group, from cache events and from own dispatches.

    Events come late and with gaps, so an entry is a hint: it ages, a lost eviction is made good by
    its age, and an engine's new incarnation drops all of its entries.
    """

    __slots__ = ("_holders", "_followed")

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[str, dict[str, int]] = collections.OrderedDict()
        self._followed: dict[str, FollowedEvents] = {}

    def last_sequence(self, group: str) -> int:
        """Return the last sequence known of a group's events.

        :param group: group.
        """
        followed = self._followed.get(group)
        return followed.sequence if followed else 0

    def hear(self, group: str, events: engine.CacheEvents, now_ms: int) -> None:
        """Take cache events in.

        :param group: group whose first member published them.
        :param events: events, late and with gaps.
        :param now_ms: monotonic clock, in milliseconds.
        """
        followed = self._followed.setdefault(group, FollowedEvents(events.incarnation))
        if followed.incarnation != events.incarnation:
            self.forget(group)
            followed = self._followed[group] = FollowedEvents(events.incarnation)
        for event in events.events:
            followed.sequence = max(followed.sequence, event.sequence)
            if event.kind == "stored":
                self._remember(event.prefix, group, now_ms)
            else:
                self._holders.get(event.prefix, {}).pop(group, None)

    def note_sent(self, group: str, prefixes: Sequence[str], now_ms: int) -> None:
        """Note that a prompt was sent, which its group will hold before its events tell.

        :param group: group.
        :param prefixes: hashes of the prompt's prefixes.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for prefix in prefixes:
            self._remember(prefix, group, now_ms)

    def find_holders(self, prefixes: Sequence[str], now_ms: int) -> list[str]:
        """Return the groups that hold the longest known prefix of a prompt.

        :param prefixes: hashes of the prompt's prefixes, the shortest first.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix)
            if holders:
                fresh = [name for name, at in holders.items() if now_ms - at <= PREFIX_TTL_MS]
                if fresh:
                    return fresh
        return []

    def forget(self, group: str) -> None:
        """Drop what is known of a group.

        :param group: group.
        """
        self._followed.pop(group, None)
        for holders in self._holders.values():
            holders.pop(group, None)

    def keep_only(self, groups: Collection[str]) -> None:
        """Drop what is known of groups that no longer exist.

        :param groups: groups of the layout.
        """
        for group in [name for name in self._followed if name not in groups]:
            self.forget(group)

    def _remember(self, prefix: str, group: str, now_ms: int) -> None:
        holders = self._holders.setdefault(prefix, {})
        holders[group] = now_ms
        self._holders.move_to_end(prefix)
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)
