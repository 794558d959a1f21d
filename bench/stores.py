"""An in-memory key-value service with a simulated latency and call counters."""

import asyncio
from collections.abc import AsyncIterator

import result

from tanagerfork import errors
from tanagerfork.storage import key_value


class CountedKeyValue:
    """Key-value service with a fixed latency that counts calls and bytes.

    :param service_ms: time from a call to its answer, in milliseconds.
    """

    def __init__(self, service_ms: float) -> None:
        self.entries: dict[str, key_value.Entry] = {}
        self.revision = 1
        self.reads = self.writes = 0
        self.read_bytes = self.written_bytes = self.largest_bytes = 0
        self._half_s = service_ms / 2000
        self._changed = asyncio.Event()

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key."""
        self.reads += 1
        await asyncio.sleep(self._half_s)
        entry = self.entries.get(key)
        self.read_bytes += len(entry.value) if entry else 0
        await asyncio.sleep(self._half_s)
        return result.Ok(entry)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix."""
        self.reads += 1
        return result.Ok([entry for key, entry in self.entries.items() if key.startswith(prefix)])

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if its revision is still the given one."""
        self.writes += 1
        self.written_bytes += len(value)
        self.largest_bytes = max(self.largest_bytes, len(value))
        await asyncio.sleep(self._half_s)
        known = self.entries.get(key)
        if (known.revision if known else key_value.ABSENT) != revision:
            await asyncio.sleep(self._half_s)
            return result.Err(errors.Conflict(f"{key} was written by another; read it again"))
        self.revision += 1
        entry = key_value.Entry(key, value, self.revision)
        self.entries[key] = entry
        self._changed.set()
        self._changed = asyncio.Event()
        await asyncio.sleep(self._half_s)
        return result.Ok(entry.revision)

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Count the call as a write and delete nothing."""
        self.writes += 1
        return result.Ok(0)

    async def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Yield the entries of a key from a revision on."""
        while True:
            entry = self.entries.get(key)
            if entry is not None and entry.revision >= revision:
                revision = entry.revision + 1
                self.read_bytes += len(entry.value)
                yield entry
            else:
                await self._changed.wait()
