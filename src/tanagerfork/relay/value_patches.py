"""Patches: large values of the store as differences from the values that they replaced."""

import base64
from collections.abc import Sequence

import xxhash

from tanagerfork.generated import notices
from tanagerfork.storage import key_value

MIN_LARGE_BYTES = 8 * 1024  # Below, a patch saves less than what it says in addition.
SEPARATOR = b"{"  # Large values are JSON, of which objects in lists are added and replaced.


class LargeValues:
    """The large values that this daemon knows; makes patches from them and applies patches."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: dict[str, bytes] = {}

    def record(self, entries: Sequence[key_value.Entry], removed: Sequence[str]) -> None:
        """Record what the store holds now.

        :param entries: entries that were written.
        :param removed: keys that were removed.
        """
        for key in removed:
            self._values.pop(key, None)
        for entry in entries:
            if len(entry.value) >= MIN_LARGE_BYTES:
                self._values[entry.key] = entry.value
            else:
                self._values.pop(entry.key, None)

    def make_patch(self, entry: key_value.Entry) -> notices.ValuePatch | None:
        """Return an entry as a patch of the known value; None if it is better sent whole.

        :param entry: entry that was written.
        """
        base = self._values.get(entry.key)
        if base is None or len(entry.value) < MIN_LARGE_BYTES:
            return None
        return notices.ValuePatch(
            key=entry.key,
            revision=entry.revision,
            base=_hash(base),
            result=_hash(entry.value),
            steps=_list_steps(base.split(SEPARATOR), entry.value.split(SEPARATOR)),
        )

    def apply_patch(self, patch: notices.ValuePatch) -> key_value.Entry | None:
        """Return the entry that a patch tells; None if another value than its base is known.

        :param patch: patch of a source.
        """
        known = self._values.get(patch.key)
        if known is None:
            return None
        known_hash = _hash(known)
        if known_hash == patch.result:
            return key_value.Entry(patch.key, known, patch.revision)
        if known_hash != patch.base:
            return None
        value = _follow_steps(known.split(SEPARATOR), patch.steps)
        if value is None or _hash(value) != patch.result:
            return None
        return key_value.Entry(patch.key, value, patch.revision)


def _hash(value: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(value)


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


def _follow_steps(base: Sequence[bytes], steps: Sequence[notices.PatchStep]) -> bytes | None:
    """Return the value that steps lead to; None if they do not fit the base."""
    parts: list[bytes] = []
    for step in steps:
        if step.start + step.count > len(base):
            return None
        parts.extend(SEPARATOR + piece for piece in base[step.start : step.start + step.count])
        try:
            parts.append(base64.b64decode(step.added, validate=True))
        except ValueError:
            return None
    return b"".join(parts).removeprefix(SEPARATOR)
