"""Patches: large values of the store as differences from the values that they replaced."""

import base64
import collections
from collections.abc import Sequence

import xxhash

from tanagerfork.generated import notices
from tanagerfork.storage import key_value

MIN_LARGE_BYTES = 8 * 1024  # Below, a patch saves less than what it says in addition.
EARLIER_VALUES = 4  # Two sources read a value at different times, and patch different ones.
SEPARATOR = b"{"  # Large values are JSON, of which objects in lists are added and replaced.


class LargeValues:
    """The large values that this daemon knows; makes patches from them and applies patches.

    Of each key a few earlier values are kept, each as a patch of the one that replaced it.
    """

    __slots__ = ("_values", "_ways_back")

    def __init__(self) -> None:
        self._values: dict[str, bytes] = {}
        self._ways_back: dict[str, collections.deque[notices.ValuePatch]] = {}

    def record(self, entries: Sequence[key_value.Entry], removed: Sequence[str]) -> None:
        """Record what the store holds now.

        :param entries: entries that were written.
        :param removed: keys that were removed.
        """
        for key in removed:
            self._forget(key)
        for entry in entries:
            if len(entry.value) >= MIN_LARGE_BYTES:
                self._record_value(entry)
            else:
                self._forget(entry.key)

    def make_patch(self, entry: key_value.Entry) -> notices.ValuePatch | None:
        """Return an entry as a patch of the known value; None if it is better sent whole.

        :param entry: entry that was written.
        """
        base = self._values.get(entry.key)
        if base is None or len(entry.value) < MIN_LARGE_BYTES:
            return None
        return _make_patch(entry, base)

    def apply_patch(self, patch: notices.ValuePatch) -> key_value.Entry | None:
        """Return the entry that a patch tells; None if its base is not known.

        :param patch: patch of a source.
        """
        known = self._values.get(patch.key)
        if known is None:
            return None
        if _hash(known) == patch.result:
            return key_value.Entry(patch.key, known, patch.revision)
        base = self._find_value(patch.key, patch.base)
        value = _apply(patch, base) if base is not None else None
        return key_value.Entry(patch.key, value, patch.revision) if value is not None else None

    def _record_value(self, entry: key_value.Entry) -> None:
        known = self._values.get(entry.key)
        if known is not None and known != entry.value:
            before = key_value.Entry(entry.key, known, entry.revision)
            ways_back = self._ways_back.setdefault(
                entry.key, collections.deque(maxlen=EARLIER_VALUES)
            )
            ways_back.append(_make_patch(before, entry.value))
        self._values[entry.key] = entry.value

    def _forget(self, key: str) -> None:
        self._values.pop(key, None)
        self._ways_back.pop(key, None)

    def _find_value(self, key: str, wanted_hash: str) -> bytes | None:
        """Return the present or an earlier value of a key by its hash; None if it is not known."""
        value: bytes | None = self._values[key]
        for way_back in reversed(self._ways_back.get(key, ())):
            if value is None or _hash(value) == wanted_hash:
                break
            value = _apply(way_back, value)
        return value if value is not None and _hash(value) == wanted_hash else None


def _hash(value: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(value)


def _make_patch(entry: key_value.Entry, base: bytes) -> notices.ValuePatch:
    return notices.ValuePatch(
        key=entry.key,
        revision=entry.revision,
        base=_hash(base),
        result=_hash(entry.value),
        size_bytes=len(entry.value),
        steps=_list_steps(base.split(SEPARATOR), entry.value.split(SEPARATOR)),
    )


def _apply(patch: notices.ValuePatch, base: bytes) -> bytes | None:
    """Return the value that a patch of a base leads to; None if it does not fit."""
    value = _follow_steps(base.split(SEPARATOR), patch.steps, patch.size_bytes)
    return value if value is not None and _hash(value) == patch.result else None


def _list_steps(base: Sequence[bytes], pieces: Sequence[bytes]) -> list[notices.PatchStep]:
    """Return the steps from one value to another, each as a run of pieces and added bytes."""
    places = {piece: place for place, piece in reversed(list(enumerate(base)))}
    steps: list[notices.PatchStep] = []
    index = 0
    while index < len(pieces):
        start = places.get(pieces[index], 0)
        count = _count_alike(base, start, pieces, index)
        first_added = index + count
        index = first_added
        while index < len(pieces) and pieces[index] not in places:
            index += 1
        added = b"".join(SEPARATOR + piece for piece in pieces[first_added:index])
        steps.append(
            notices.PatchStep(start=start, count=count, added=base64.b64encode(added).decode())
        )
    return steps


def _count_alike(base: Sequence[bytes], start: int, pieces: Sequence[bytes], index: int) -> int:
    """Return how many pieces from an index on are those of the base from a start on."""
    count = 0
    while (
        start + count < len(base)
        and index + count < len(pieces)
        and base[start + count] == pieces[index + count]
    ):
        count += 1
    return count


def _follow_steps(
    base: Sequence[bytes], steps: Sequence[notices.PatchStep], size_bytes: int
) -> bytes | None:
    """Return the value that steps lead to; None if they do not fit the base, or are too many."""
    value = bytearray()
    for step in steps:
        if step.start + step.count > len(base) or len(value) > size_bytes + len(SEPARATOR):
            return None
        value += b"".join(SEPARATOR + piece for piece in base[step.start : step.start + step.count])
        try:
            value += base64.b64decode(step.added, validate=True)
        except ValueError:
            return None
    return bytes(value).removeprefix(SEPARATOR)
