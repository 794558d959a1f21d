"""The platform's key-value service, as decisions see it."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

import result

from tanagerfork import errors

ABSENT = 0  # Revision of a key that does not exist.


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """A key with its value at one revision."""

    key: str
    value: bytes
    revision: int


class KeyValue(Protocol):
    """What the system needs of the key-value service."""

    async def read(self, key: str) -> result.Result[Entry | None, errors.PlatformError]:
        """Read one key.

        :param key: key without the fleet's prefix.
        :return: the entry, None where the key is absent, or why it could not be read.
        """

    async def read_prefix(self, prefix: str) -> result.Result[list[Entry], errors.PlatformError]:
        """Read all keys with a prefix.

        :param prefix: start of the keys, without the fleet's prefix.
        :return: the entries in key order, or why they could not be read.
        """

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if its revision is still the expected one.

        :param key: key without the fleet's prefix.
        :param value: new value, at most 1 MB.
        :param revision: expected revision, `ABSENT` where the key must not exist.
        :return: the new revision; `Conflict` if another write came first, `PlatformUnavailable`
            if the write certainly took no effect, `AnswerLost` if it may have.
        """

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys of a range.

        :param first: first key, without the fleet's prefix.
        :param after_last: key after the last one, without the fleet's prefix.
        :return: how many were deleted, or why that is not known.
        """

    def watch(self, key: str, revision: int) -> AsyncIterator[Entry]:
        """Follow one key.

        :param key: key without the fleet's prefix.
        :param revision: first revision of interest.
        :return: entries as they change; ends when the service goes away.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """All keys with a prefix, and a revision that the read shows at least."""

    entries: list[Entry]
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Changes:
    """What changed below a prefix up to a revision, as it stands there: each key once."""

    written: list[Entry]
    removed: list[str]
    revision: int = ABSENT


class LeasingKeyValue(KeyValue, Protocol):
    """A key-value service whose keys can live as long as a lease."""

    async def read_snapshot(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[Snapshot, errors.PlatformError]:
        """Read all keys with a prefix and the revision from which to follow them.

        :param prefix: start of the keys.
        :param may_be_stale: whether an answer that is seconds old, and cheaper, will do.
        :return: keys and revision, or why they could not be read.
        """

    async def await_changes(
        self, prefix: str, revision: int, wait_ms: int
    ) -> result.Result[Changes, errors.PlatformError]:
        """Wait for changes of the keys with a prefix.

        :param prefix: start of the keys.
        :param revision: last revision that is known.
        :param wait_ms: longest time to wait for a change, in milliseconds.
        :return: all changes since the revision, empty ones as a sign of life, or why some may be
            missed.
        """

    async def grant_lease(self, ttl_ms: int) -> result.Result[int, errors.PlatformError]:
        """Ask for a lease.

        :param ttl_ms: time without renewal after which its keys go, in milliseconds.
        :return: id of the lease.
        """

    async def renew_lease(self, lease: int) -> result.Result[bool, errors.PlatformError]:
        """Renew a lease.

        :param lease: id of the lease.
        :return: whether it still stood.
        """

    async def end_lease(self, lease: int) -> result.Result[bool, errors.PlatformError]:
        """End a lease; its keys go at once.

        :param lease: id of the lease.
        :return: whether it still stood.
        """

    async def put_leased(
        self, key: str, value: bytes, lease: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key that lives as long as a lease.

        :param key: key.
        :param value: value.
        :param lease: id of the lease.
        :return: the new revision.
        """
