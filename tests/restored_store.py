"""Model of a store of one key that goes back to earlier states; the real client decides on it."""

import base64
import dataclasses
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec
import result

from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.platform import store as platform_store
from tanagerfork.relay import assignment_record

ANSWERED = "answered"
LOST = "lost"  # The call takes effect, its answer is lost.
LATE = "late"  # The write may take effect later; it has no answer.
AWAY = "away"
RESTORED = "restored"  # The store goes back to its earliest state; the call follows.
# Fates of the calls of a write whose first answer is lost; a late one may take effect at once.
LOSSES = {"late": (LATE, AWAY), "late, retried": (LATE, AWAY, ANSWERED)}
RESTORED_BETWEEN = (LOST, AWAY, RESTORED, ANSWERED)

ResultT = TypeVar("ResultT")


@dataclasses.dataclass(slots=True, frozen=True)
class StoreState:
    """State of the store; `revision` is that of the key, 0 if it does not exist.

    `counter` is the last revision that was given out. `history` holds the earlier states to which
    the store may go back, without their own history. `fences` are the eras in which the key was
    written, as further keys tell.
    """

    era: int = 1
    counter: int = 0
    value: bytes | None = None
    revision: int = 0
    history: tuple["StoreState", ...] = ()
    fences: frozenset[int] = frozenset()

    def write(self, value: bytes, expected: int) -> "StoreState":
        """Return the state after a write; the same state if the key has another revision."""
        if expected != self.revision:
            return self
        counter = self.counter + 1
        past = dataclasses.replace(self, history=())
        return StoreState(self.era, counter, value, counter, (*self.history, past), self.fences)

    def carry_out(self, write: "LateWrite") -> "StoreState":
        """Return the state after a write with its fences; the same state if it is refused."""
        if write.refused_by in self.fences:
            return self
        changed = self.write(write.value, write.expected)
        if changed is self:
            return self
        return dataclasses.replace(changed, fences=changed.fences | write.fences)

    def list_restored(self, is_present_included: bool = False) -> list["StoreState"]:
        """Return the states after the store was restored from a copy of an earlier state.

        :param is_present_included: whether the copy may be of the present state, so that only the
            era changes.
        """
        present = dataclasses.replace(self, history=())
        copies = (*self.history, present) if is_present_included else self.history
        return [
            dataclasses.replace(copy, era=self.era + 1, history=self.history[:position])
            for position, copy in enumerate(copies)
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class LateWrite:
    """Write that may still take effect, unless the key was written in the era `refused_by`."""

    value: bytes
    expected: int
    refused_by: int = 0
    fences: frozenset[int] = frozenset()


class ModelStore(platform_store.PlatformStore):
    """The platform's client on a `StoreState`, each call with the fate that a script names.

    `state`, `late_writes` and `known_era` are set before and read after each use. Calls beyond the
    end of the script share its last fate.
    """

    def __init__(self) -> None:
        super().__init__(  # type: ignore[arg-type]
            None, "", 1000, metric.Metrics(), (assignment_record.PREFIX,)
        )
        self.state = StoreState()
        self.late_writes: frozenset[LateWrite] = frozenset()
        self.script: tuple[str, ...] = (ANSWERED,)

    @property
    def known_era(self) -> int:
        """Era that the client of one daemon has learned from answers."""
        return self._era

    @known_era.setter
    def known_era(self, era: int) -> None:
        self._era = era

    async def _call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None,
        expected: tuple[int, ...],
        timeout_s: float | None = None,
    ) -> result.Result[tuple[int, bytes], errors.PlatformError]:
        fate = self.script[0]
        self.script = self.script[1:] or self.script
        if fate == AWAY:
            return result.Err(errors.PlatformUnavailable("away"))
        if fate == RESTORED and self.state.history:
            self.state = self.state.list_restored()[0]
        if fate == LATE and isinstance(body, platform_store._Change):
            self.late_writes |= {self._to_late_write(body)}
        else:
            answer = self._read() if body is None else self._write(body)
        if fate in (LOST, LATE):
            return result.Err(errors.AnswerLost("lost"))
        self._is_of_present_era(str(self.state.era))
        return result.Ok(answer)

    def _read(self) -> tuple[int, bytes]:
        if self.state.value is None:
            return 404, b""
        value = base64.b64encode(self.state.value).decode()
        return 200, msgspec.json.encode(platform_store._Item("key", value, self.state.revision))

    def _write(self, change: msgspec.Struct) -> tuple[int, bytes]:
        assert isinstance(change, platform_store._Change)
        write = self._to_late_write(change)
        before, self.state = self.state, self.state.carry_out(write)
        if self.state is before:
            return 412, b""
        return 200, msgspec.json.encode(platform_store._Changed(self.state.revision))

    @staticmethod
    def _to_late_write(change: platform_store._Change) -> LateWrite:
        fences = [read_fence(row.key) for row in change.expected[1:]]
        assert all(row.revision == 0 for row in change.expected[1:])
        return LateWrite(
            base64.b64decode(change.writes[0].value),
            change.expected[0].revision,
            fences[0] if fences else 0,
            frozenset(read_fence(write.key) for write in change.writes[1:]),
        )


def read_fence(key: str) -> int:
    """Return the era of a fence."""
    assert key.startswith(platform_store.FENCE_PREFIX)
    return int(key.removeprefix(platform_store.FENCE_PREFIX).partition("/")[0])


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine that never waits, as all calls of the model return at once."""
    try:
        work.send(None)
    except StopIteration as stopped:
        found: ResultT = stopped.value
        return found
    raise AssertionError("a call of the model waits")
