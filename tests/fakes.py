"""Small fakes at the interfaces."""

import asyncio
from collections.abc import AsyncIterator

import result

from tanagerfork import errors
from tanagerfork.storage import key_value


class MemoryKeyValue:
    """A key-value service in memory that can be away and lose answers.

    `lost_answers` counts writes whose answer is lost after they took effect, and `lost_calls`
    writes that are lost before.
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

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("away; wait"))
        return result.Ok(self.entries.get(key))

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("away; wait"))
        found = [entry for key, entry in sorted(self.entries.items()) if key.startswith(prefix)]
        return result.Ok(found)

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key under its revision."""
        self.writes += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("away; wait"))
        if self.lost_calls > 0:
            self.lost_calls -= 1
            return result.Err(errors.AnswerLost("lost; read back"))
        known = self.entries.get(key)
        if (known.revision if known else key_value.ABSENT) != revision:
            return result.Err(errors.Conflict(f"{key} was written by another; read it again"))
        self.revision += 1
        self.entries[key] = key_value.Entry(key, value, self.revision)
        self.write_log.append(self.entries[key])
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return result.Err(errors.AnswerLost("lost; read back"))
        return result.Ok(self.revision)

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys of a range."""
        self.writes += 1
        await asyncio.sleep(0)
        if self.is_away:
            return result.Err(errors.PlatformUnavailable("away; wait"))
        found = [key for key in self.entries if first <= key < after_last]
        for key in found:
            del self.entries[key]
        self.revision += bool(found)
        return result.Ok(len(found))

    async def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Follow one key."""
        seen = revision - 1
        while not self.is_away:
            entry = self.entries.get(key)
            if entry is not None and entry.revision > seen:
                seen = entry.revision
                yield entry
            else:
                await self._changed.wait()
