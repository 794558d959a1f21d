"""Tests of compare-and-swap with lost responses: what is written, and what is reported."""

import dataclasses

import msgspec
import pytest
import result

from tanagerfork import errors
from tanagerfork.storage import key_value, swap
from tests import fakes


class Record(msgspec.Struct):
    """A record with a token."""

    token: str


class DelayedWriteStore(fakes.MemoryKeyValue):
    """A service whose first write loses its response and takes effect only some calls later."""

    def __init__(self, calls: int) -> None:
        super().__init__()
        self.calls_left = calls
        self.delayed: tuple | None = None

    async def read(self, key):
        """Read, after applying the delayed write if it is due."""
        await self.apply_when_due()
        return await super().read(key)

    async def swap(self, key, value, revision):
        """Write, delaying the first write."""
        if self.delayed is None:
            self.delayed = key, value, revision
            return result.Err(errors.AnswerLost("lost; read back"))
        await self.apply_when_due()
        return await super().swap(key, value, revision)

    async def apply_when_due(self) -> None:
        """Apply the delayed write if it is due after this call."""
        self.calls_left -= 1
        if self.calls_left == 0:
            await super().swap(*self.delayed)


@dataclasses.dataclass
class Faults:
    """Faults of one case."""

    lost_answers: int = 0
    lost_calls: int = 0
    is_away: bool = False


class TestSwapRecord:
    @pytest.mark.parametrize(
        ("faults", "kind"),
        [
            (Faults(), None),
            (Faults(lost_answers=1), None),
            (Faults(lost_calls=1), None),
            (Faults(lost_calls=1, lost_answers=1), None),
            (Faults(lost_calls=3), None),
            (Faults(lost_calls=9), "answer_lost"),
            (Faults(is_away=True), "platform_unavailable"),
        ],
    )
    async def test_outcome_by_fault(self, faults, kind):
        store = fakes.MemoryKeyValue()
        for field in dataclasses.fields(faults):
            setattr(store, field.name, getattr(faults, field.name))
        written = await swap.swap_record(store, "k", Record("mine"), 0)
        assert (written.unwrap_err().kind if written.is_err() else None) == kind
        assert len(store.write_log) == (1 if kind is None else 0)

    @pytest.mark.parametrize("calls", [1, 2, 3, 4])
    async def test_late_write_takes_effect_at_most_once(self, calls):
        store = DelayedWriteStore(calls)
        assert (await swap.swap_record(store, "k", Record("mine"), 0)).is_ok()
        assert len(store.write_log) == 1

    async def test_write_by_another_is_reported_as_a_conflict(self):
        store = fakes.MemoryKeyValue()
        await swap.swap_record(store, "k", Record("theirs"), 0)
        store.lost_calls = 1
        written = await swap.swap_record(store, "k", Record("mine"), 0)
        assert written.unwrap_err().kind == "conflict"

    async def test_write_that_took_effect_after_a_restore_does_not_count(self):
        """The copy may lack what was written after the expected revision."""
        store = fakes.MemoryKeyValue()
        store.lost_calls = 1
        store.revision = key_value.make_revision(2, 3)
        store.entries["k"] = key_value.Entry("k", b'{"token":"mine"}', store.revision)
        expected = key_value.make_revision(1, key_value.ABSENT)
        written = await swap.swap_record(store, "k", Record("mine"), expected)
        assert written.unwrap_err().kind == "conflict"
