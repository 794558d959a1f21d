"""Exhaustive search of the interleavings, lost answers and crashes of concurrent daemons.

Each call of a daemon to another process blocks until the scheduler picks it. A run is replayed from
its start with a list of choices. At each choice the scheduler picks a step: a blocked call
completes, takes effect but loses its answer, loses its answer and takes effect later, is refused,
or its daemon crashes. `explore` runs every list of choices.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.storage import key_value
from tests import fakes

SETTLING_LOOP_TURNS = 25  # Turns of the event loop for the tasks to reach their next call.
MAX_STEPS = 400
CLOCK_ADVANCE_MS = 50  # Exceeds the timeout of upstream calls in the model, which is 40 ms.


@dataclasses.dataclass(slots=True)
class WaitingCall:
    """A call that blocks until its step is picked."""

    daemon: str
    name: str
    effect: Callable[[], Awaitable[object]]
    answer: asyncio.Future
    is_write: bool = False
    holds_clock: bool = True
    refusal: object = None


class SteppedWorld:
    """Deterministic scheduler of several daemons, driven by a list of choices.

    :param choices: choices to replay; after its end, the first option is picked.
    :param faults: largest number of injected faults.
    """

    def __init__(self, choices: list[int], faults: int) -> None:
        self.clock = clocks.ManualClock()
        self.store = fakes.MemoryKeyValue()
        self.decisions: list[tuple[int, int]] = []
        self.history: list[str] = []
        self.crashed: set[str] = set()
        self._choices = choices
        self._faults_left = faults
        self._advances_left = 2  # Bounds the search.
        self._waiting_calls: list[WaitingCall] = []
        self._delayed_calls: list[WaitingCall] = []
        self._tasks: dict[str, list[asyncio.Task]] = {}

    def start(self, daemon: str, work: Awaitable) -> asyncio.Task:
        """Start a task of a daemon; it is cancelled when the daemon crashes."""
        task = asyncio.ensure_future(work)
        self._tasks.setdefault(daemon, []).append(task)
        return task

    async def call(
        self,
        daemon: str,
        name: str,
        effect: Callable[[], Awaitable[object]],
        is_write: bool = False,
        refusal: object = None,
    ) -> object:
        """Block until the step of a call is picked; return its answer."""
        if daemon in self.crashed:
            await asyncio.Event().wait()
        answer = asyncio.get_running_loop().create_future()
        self._waiting_calls.append(
            WaitingCall(daemon, name, effect, answer, is_write, refusal is None, refusal)
        )
        return await answer

    async def run(self, tasks: list[asyncio.Task]) -> None:
        """Run steps until the tasks are done; those of a crashed daemon are cancelled."""
        for _ in range(MAX_STEPS):
            for _ in range(SETTLING_LOOP_TURNS):
                await asyncio.sleep(0)
            steps = list(self._list_steps())
            if not steps and all(task.done() for task in tasks):
                return
            if not steps:
                self.clock.advance(5)
                continue
            pick = self._choose_step(len(steps))
            name, perform = steps[pick]
            self.history.append(name)
            await perform()
        raise AssertionError(f"tasks did not finish; steps: {self.history}")

    def _choose_step(self, option_count: int) -> int:
        position = len(self.decisions)
        pick = self._choices[position] if position < len(self._choices) else 0
        self.decisions.append((pick, option_count))
        return pick

    def _list_steps(self) -> Iterator[tuple[str, Callable[[], Awaitable[None]]]]:
        for call in list(self._waiting_calls):
            yield f"{call.daemon} {call.name}", lambda call=call: self._complete(call)
        if (
            self._waiting_calls
            and not any(call.holds_clock for call in self._waiting_calls)
            and self._advances_left
        ):
            yield "clock advances", self._advance_clock
        for call in list(self._delayed_calls):
            yield f"late effect: {call.daemon} {call.name}", lambda call=call: self._apply_late(
                call
            )
        if self._faults_left > 0:
            for call in list(self._waiting_calls):
                if call.is_write:
                    yield f"{call.name} loses answer", lambda call=call: self._lose(call, True)
                    yield f"{call.name} delayed", lambda call=call: self._lose(call, False)
                if call.refusal is not None:
                    yield f"{call.name} refused", lambda call=call: self._refuse_call(call)
                yield f"{call.daemon} crashes", lambda call=call: self._crash_daemon(call)

    async def _complete(self, call: WaitingCall) -> None:
        self._waiting_calls.remove(call)
        call.answer.set_result(await call.effect())

    async def _apply_late(self, call: WaitingCall) -> None:
        self._delayed_calls.remove(call)
        await call.effect()

    async def _advance_clock(self) -> None:
        self._advances_left -= 1
        self.clock.advance(CLOCK_ADVANCE_MS)

    async def _refuse_call(self, call: WaitingCall) -> None:
        self._faults_left -= 1
        self._waiting_calls.remove(call)
        call.answer.set_result(call.refusal)

    async def _lose(self, call: WaitingCall, takes_effect: bool) -> None:
        """Lose the answer of a call that takes effect now or, as a delayed call, later."""
        self._faults_left -= 1
        self._waiting_calls.remove(call)
        if takes_effect:
            await call.effect()
        else:
            self._delayed_calls.append(call)
        call.answer.set_result(result.Err(errors.AnswerLost("answer lost; read the key back")))

    async def _crash_daemon(self, call: WaitingCall) -> None:
        """Crash the daemon of a call; its calls under way may still take effect later."""
        self._faults_left -= 1
        self.crashed.add(call.daemon)
        for task in self._tasks.get(call.daemon, []):
            task.cancel()
        self._delayed_calls += [item for item in self._waiting_calls if item.daemon == call.daemon]
        self._waiting_calls = [item for item in self._waiting_calls if item.daemon != call.daemon]


class SteppedStore:
    """Key-value service as seen by one daemon; its reads and writes of one key are steps."""

    era = 0

    def __init__(self, world: SteppedWorld, daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key."""
        store = self._world.store
        return await self._world.call(self._daemon, "reads", lambda: store.read(key))

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if it still has the given revision."""
        store = self._world.store
        effect = lambda: store.swap(key, value, revision)  # noqa: E731
        return await self._world.call(self._daemon, "writes", effect, True)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix at once, outside of the schedule."""
        return await self._world.store.read_prefix(prefix)

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys of a range at once, outside of the schedule."""
        return await self._world.store.delete_range(first, after_last)

    def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Watch a key outside of the schedule."""
        return self._world.store.watch(key, revision)


def explore(run_choices: Callable[[list[int]], list[tuple[int, int]]], max_runs: int) -> int:
    """Run every list of choices.

    :param run_choices: runs one list; returns each choice with the number of options it had.
    :param max_runs: largest number of runs; more is an error, so that the search stays exhaustive.
    :return: number of runs.
    """
    pending: list[list[int]] = [[]]
    runs = 0
    while pending:
        prefix = pending.pop()
        decisions = run_choices(prefix)
        runs += 1
        assert runs <= max_runs, "too many runs for an exhaustive search; make the case smaller"
        picks = [pick for pick, _ in decisions]
        for position in range(len(prefix), len(decisions)):
            for pick in range(1, decisions[position][1]):
                pending.append([*picks[:position], pick])
    return runs
