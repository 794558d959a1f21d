"""In-memory fakes of external services."""

import asyncio
from collections.abc import AsyncIterator

import result

from tanagerfork import errors
from tanagerfork.storage import key_value


class MemoryKeyValue:
    """In-memory key-value service that can be unavailable and lose writes or their answers.

    While `is_away` is set, every call fails and watches end. The next `lost_calls` swaps are
    dropped before they take effect; the next `lost_answers` swaps take effect, but their answer is
    lost.
    """

    def __init__(self) -> None:
        self.entries: dict[str, key_value.Entry] = {}
        self.revision = 1
        self.is_away = False
        self.lost_answers = 0
        self.lost_calls = 0
        self.reads = 0
        self.writes = 0
        self.write_log: list[key_value.Entry] = []
        self._changed = asyncio.Event()

    @property
    def era(self) -> int:
        """Era of the last revision."""
        return key_value.read_era(self.revision)

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("store unavailable; retry later"))
        return result.Ok(self.entries.get(key))

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("store unavailable; retry later"))
        entries = [entry for key, entry in sorted(self.entries.items()) if key.startswith(prefix)]
        return result.Ok(entries)

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if it still has the given revision."""
        self.writes += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("store unavailable; retry later"))
        if self.lost_calls > 0:
            self.lost_calls -= 1
            return result.Err(errors.AnswerLost("answer lost; read the key back"))
        current = self.entries.get(key)
        absent = (key_value.ABSENT, key_value.make_revision(self.era, key_value.ABSENT))
        if revision not in ((current.revision,) if current else absent):
            return result.Err(errors.Conflict(f"{key} was written by another; read it again"))
        self.revision += 1
        self.entries[key] = key_value.Entry(key, value, self.revision)
        self.write_log.append(self.entries[key])
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return result.Err(errors.AnswerLost("answer lost; read the key back"))
        return result.Ok(self.revision)

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete the keys from `first` up to, but without, `after_last`."""
        self.writes += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("store unavailable; retry later"))
        keys = [key for key in self.entries if first <= key < after_last]
        for key in keys:
            del self.entries[key]
        self.revision += bool(keys)
        return result.Ok(len(keys))

    async def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Yield the entry of a key, from a revision on, whenever it changes."""
        seen_revision = revision - 1
        while not self.is_away:
            entry = self.entries.get(key)
            if entry is not None and entry.revision > seen_revision:
                seen_revision = entry.revision
                yield entry
            else:
                await self._changed.wait()
