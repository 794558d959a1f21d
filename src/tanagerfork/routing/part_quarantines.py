"""Part quarantines: combinations of prompt parts whose requests are refused.

A single part crashes upstreams, but several may have been open at the same crashes in the same
requests. Only requests with all of them are refused then: a request with some of them shows by its
answer, or by another crash, which ones are sound.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence, Set


@dataclasses.dataclass(slots=True, frozen=True)
class PartQuarantine:
    """Parts of which one is at fault, since when, and until when requests with all are refused."""

    parts: frozenset[str]
    crashes: frozenset[str]
    decided_at_ms: float
    until_ms: float


class PartQuarantines:
    """Quarantines in force, none of which refuses only what another one refuses too."""

    __slots__ = ("_items",)

    def __init__(self) -> None:
        self._items: dict[frozenset[str], PartQuarantine] = {}

    def __bool__(self) -> bool:
        return bool(self._items)

    @property
    def items(self) -> list[PartQuarantine]:
        """All quarantines."""
        return list(self._items.values())

    def add(self, quarantine: PartQuarantine) -> bool:
        """Add a quarantine, unless one is known that covers it; drop those that it covers.

        :param quarantine: quarantine.
        :return: whether it was added.
        """
        if any(parts <= quarantine.parts for parts in self._items):
            return False
        for parts in [parts for parts in self._items if quarantine.parts < parts]:
            del self._items[parts]
        self._items[quarantine.parts] = quarantine
        return True

    def remove(self, quarantine: PartQuarantine) -> None:
        """Remove a quarantine.

        :param quarantine: quarantine.
        """
        self._items.pop(quarantine.parts, None)

    def drop_expired(self, now_ms: float) -> bool:
        """Drop the quarantines whose time is over; return whether there were any.

        :param now_ms: monotonic clock, in milliseconds.
        """
        expired = [item for item in self._items.values() if item.until_ms <= now_ms]
        for item in expired:
            self.remove(item)
        return bool(expired)

    def list_with(self, part: str) -> list[PartQuarantine]:
        """Return the quarantines with a part.

        :param part: part.
        """
        return [item for item in self._items.values() if part in item.parts]

    def is_found(self, part: str) -> bool:
        """Return whether a part is at fault by itself.

        :param part: part.
        """
        return frozenset((part,)) in self._items

    def find_left_ms(self, parts: Sequence[str], now_ms: float) -> float:
        """Return how long requests with some parts are still refused, in milliseconds; 0 if not.

        :param parts: shared parts of the prompt.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if not self._items:
            return 0.0
        shared = frozenset(parts)
        found = (item for item in self._items.values() if item.parts <= shared)
        return max((item.until_ms - now_ms for item in found), default=0.0)

    def list_explained(self, part: str) -> set[str]:
        """Return the crashes that a part need not explain, as quarantines of other parts do.

        :param part: part.
        """
        return {
            crash
            for item in self._items.values()
            if part not in item.parts
            for crash in item.crashes
        }


def combine(requests_by_part: Mapping[str, Iterable[str]]) -> list[frozenset[str]]:
    """Return which of some parts were together in requests, the largest combinations only.

    :param requests_by_part: requests in which each part was open at the same crashes.
    """
    parts_by_request: dict[str, set[str]] = {}
    for part, requests in requests_by_part.items():
        for request in requests:
            parts_by_request.setdefault(request, set()).add(part)
    combined: Set[frozenset[str]] = {frozenset(parts) for parts in parts_by_request.values()}
    return sorted(
        (parts for parts in combined if not any(parts < other for other in combined)), key=sorted
    )
