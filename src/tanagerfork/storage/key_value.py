"""Interface of the platform's key-value service."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

import result

from tanagerfork import errors

ABSENT = 0  # Revision of a key that does not exist.
FIRST_ERA = 1  # Of a service that counts its restores and had none.
ERA_SHIFT = 40  # Revisions of one era stay below 2**40, at 35,000 writes a second for a year.


def make_revision(era: int, number: int) -> int:
    """Return a revision that is greater than all revisions of earlier eras.

    A service that is restored from a copy goes back and gives revisions out again. Each restore
    begins an era, so that revisions of two eras are never equal and the later one is greater.

    :param era: era of the service; 0 if it has none.
    :param number: revision as the service counts it.
    """
    return (era << ERA_SHIFT) | number


def read_era(revision: int) -> int:
    """Return the era of a revision.

    :param revision: revision.
    """
    return revision >> ERA_SHIFT


def read_number(revision: int) -> int:
    """Return a revision as the service counts it.

    :param revision: revision.
    """
    return revision & ((1 << ERA_SHIFT) - 1)


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """A key with its value at one revision."""

    key: str
    value: bytes
    revision: int


class KeyValue(Protocol):
    """Client of the key-value service."""

    @property
    def era(self) -> int:
        """Era of the service by its last answer; 0 if it has none."""

    async def read(self, key: str) -> result.Result[Entry | None, errors.PlatformError]:
        """Read one key.

        :param key: key without the fleet's prefix.
        :return: the entry, None if the key is absent, or why it could not be read.
        """

    async def read_prefix(self, prefix: str) -> result.Result[list[Entry], errors.PlatformError]:
        """Read all keys with a prefix.

        :param prefix: prefix of the keys, without the fleet's prefix.
        :return: the entries in key order, or why they could not be read.
        """

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if its revision is still the expected one.

        :param key: key without the fleet's prefix.
        :param value: new value, at most 1 MB.
        :param revision: expected revision, `ABSENT` if the key must not exist.
        :return: the new revision; `Conflict` if another write came first, `PlatformUnavailable`
            if the write certainly took no effect, `AnswerLost` if it may have.
        """

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys in a range.

        :param first: first key, without the fleet's prefix.
        :param after_last: key after the last one, without the fleet's prefix.
        :return: number of deleted keys, or why it is unknown.
        """

    def watch(self, key: str, revision: int) -> AsyncIterator[Entry]:
        """Watch one key.

        :param key: key without the fleet's prefix.
        :param revision: first revision to report.
        :return: entries as they change; ends when the service becomes unavailable.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """All keys with a prefix, and a revision up to which they include every change.

    `size_bytes` is the size of what was read for it.
    """

    entries: list[Entry]
    revision: int
    size_bytes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Changes:
    """Net changes of the keys with a prefix up to a revision; each key occurs once."""

    written: list[Entry]
    removed: list[str]
    revision: int = ABSENT


class LeasingKeyValue(KeyValue, Protocol):
    """A key-value service whose keys can be bound to a lease."""

    async def read_snapshot(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[Snapshot, errors.PlatformError]:
        """Read all keys with a prefix and the revision from which to watch them.

        :param prefix: prefix of the keys.
        :param may_be_stale: whether a cheaper response that may be seconds old is acceptable.
        :return: keys and revision, or why they could not be read.
        """

    async def await_changes(
        self, prefix: str, revision: int, wait_ms: int, limit_bytes: int | None = None
    ) -> result.Result[Changes, errors.PlatformError]:
        """Wait for changes of the keys with a prefix.

        :param prefix: prefix of the keys.
        :param revision: last known revision.
        :param wait_ms: longest time to wait for a change, in milliseconds.
        :param limit_bytes: size of the changes, each with its value, from which on the result is
            `errors.ChangesTooLarge`; None for no limit.
        :return: all changes since the revision, or why some may have been missed; no changes
            mean that the service is alive and none occurred.
        """

    async def grant_lease(self, ttl_ms: int) -> result.Result[int, errors.PlatformError]:
        """Request a lease.

        :param ttl_ms: time without renewal after which its keys are deleted, in milliseconds.
        :return: id of the lease.
        """

    async def renew_lease(self, lease: int) -> result.Result[bool, errors.PlatformError]:
        """Renew a lease.

        :param lease: id of the lease.
        :return: whether the lease was still valid.
        """

    async def end_lease(self, lease: int) -> result.Result[bool, errors.PlatformError]:
        """End a lease; its keys are deleted at once.

        :param lease: id of the lease.
        :return: whether the lease was still valid.
        """

    async def put_leased(
        self, key: str, value: bytes, lease: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key that is deleted with a lease.

        :param key: key.
        :param value: value.
        :param lease: id of the lease.
        :return: the new revision.
        """
