"""Mutants of the decisions on the lease and of the client of the store, and an earlier build."""

import msgspec
import result

from tanagerfork import errors
from tanagerfork.generated import layout
from tanagerfork.groups import lease
from tanagerfork.storage import key_value
from tests import restored_store


class EarlierBuild(lease.LeaseState):
    """Decisions of a build whose records name no era."""

    __slots__ = ("_is_restored",)

    def __init__(self, daemon: str, ttl_ms: int) -> None:
        super().__init__(daemon, ttl_ms)
        self._is_restored = False

    def on_read(self, record: layout.LeaseRecord | None, revision: int, now_ms: int) -> None:
        """Hold the lease by the token alone; notice a restore only after an earlier read."""
        if record is None:
            revision = key_value.ABSENT
        else:
            record = msgspec.structs.replace(record, era=0)
        if revision != self._revision:
            has_later_era = key_value.read_era(revision) > key_value.read_era(self._revision)
            self._is_restored = has_later_era and self._revision != key_value.ABSENT
        held, pending = self._held, self._pending_write
        super().on_read(record, revision, now_ms)
        for own in (held, pending):
            if own and record and own.record.token == record.token:
                self._held = own

    def plan_write(
        self, now_ms: int, known_fencing: int = 0, extra_wait_ms: int = 0
    ) -> layout.LeaseRecord | None:
        """Plan a record without an era."""
        record = super().plan_write(now_ms, known_fencing, extra_wait_ms)
        return msgspec.structs.replace(record, era=0) if record else None

    def plan_release(self) -> layout.LeaseRecord | None:
        """Plan a record without an era."""
        record = super().plan_release()
        return msgspec.structs.replace(record, era=0) if record else None

    def on_write_confirmed(self, revision: int) -> None:
        """End the doubt."""
        super().on_write_confirmed(revision)
        self._is_restored = False

    def _find_takeover_wait_ms(self) -> int:
        if self._record is None:
            return self._ttl_ms if self._highest_fencing else 0
        may_have_followed = self._is_restored or self._record.fencing < self._highest_fencing
        return self._record.ttl_ms if self._record.holder or may_have_followed else 0


class NoWait(lease.LeaseState):
    """Takes the lease at once."""

    def _find_takeover_wait_ms(self) -> int:
        return 0


class NoEraOfRecord(lease.LeaseState):
    """Takes a lease at once that was released in an earlier era."""

    def _find_takeover_wait_ms(self) -> int:
        if self._record is None or self._record.holder:
            return super()._find_takeover_wait_ms()
        return self._ttl_ms if self._record.fencing < self._highest_fencing else 0


class NoEraOfAbsence(lease.LeaseState):
    """Takes the lease at once where a restored store has no record."""

    def _find_takeover_wait_ms(self) -> int:
        if self._record is None and not self._highest_fencing:
            return 0
        return super()._find_takeover_wait_ms()


class NoGreatestFencing(lease.LeaseState):
    """Exceeds the fencing number of the last record only."""

    def on_read(self, record: layout.LeaseRecord | None, revision: int, now_ms: int) -> None:
        """Forget the numbers of earlier records."""
        self._highest_fencing = 0
        super().on_read(record, revision, now_ms)


class OwnWriteCounts(lease.LeaseState):
    """Holds the lease by its own write, though the store was restored before it took effect."""

    def on_read(self, record: layout.LeaseRecord | None, revision: int, now_ms: int) -> None:
        """Hold the lease by the token of the pending write alone."""
        pending = self._pending_write
        super().on_read(record, revision, now_ms)
        if pending and record and pending.record.token == record.token:
            self._held = pending


class RestoredRecordHolds(lease.LeaseState):
    """Goes on holding the lease by its own record, though the store was restored."""

    def on_read(self, record: layout.LeaseRecord | None, revision: int, now_ms: int) -> None:
        """Hold the lease by the token of the record alone."""
        held = self._held
        super().on_read(record, revision, now_ms)
        if held and record and held.record.token == record.token and not self._held:
            self._held = held


class WritesUnderAnyRevision(restored_store.ModelStore):
    """Writes under a revision that is known to be of an earlier era."""

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write as if the revision were of the era that is known."""
        number = key_value.read_number(revision)
        return await super().swap(key, value, key_value.make_revision(self.era, number))


class AnswersOfAnyEra(restored_store.ModelStore):
    """Takes a write as done that a store of a later era than the revision's has answered."""

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write as if the era had been known before."""
        if key_value.read_era(revision) != self.era:
            return await super().swap(key, value, revision)
        self._era = self.state.era
        return await super().swap(
            key, value, key_value.make_revision(self.era, key_value.read_number(revision))
        )


class FindsOwnWrite:
    """Stands in for `key_value` in `swap`: an own write that is found counts in any era."""

    @staticmethod
    def read_era(revision: int) -> int:
        """Return the same era for all revisions."""
        return 0
