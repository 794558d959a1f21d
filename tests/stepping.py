"""Explicit stepping of daemons over a key-value service: every interleaving, loss and crash.

A run is replayed from its start with a list of choices. At each choice the next effect is picked
among the calls that wait: it is done, done with its answer lost, delayed with its answer lost, or
its daemon crashes. `explore` goes through all lists of choices.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.storage import key_value
from tests import fakes

SETTLING_TURNS = 25
MAX_STEPS = 400
PATIENCE_MS = 50


@dataclasses.dataclass(slots=True)
class WaitingCall:
    """A call that waits to be picked."""

    daemon: str
    name: str
    effect: Callable[[], Awaitable[object]]
    answer: asyncio.Future
    is_write: bool = False
    is_store: bool = True
    refusal: object = None


class SteppedWorld:
    """Picks what happens next by a list of choices.

    :param choices: choices to replay; later ones are the first option.
    :param faults: faults that may happen.
    """

    def __init__(self, choices: list[int], faults: int) -> None:
        self.clock = clocks.ManualClock()
        self.store = fakes.MemoryKeyValue()
        self.taken: list[tuple[int, int]] = []
        self.told: list[str] = []
        self.crashed: set[str] = set()
        self._choices = choices
        self._faults = faults
        self._advances = 2
        self._waiting: list[WaitingCall] = []
        self._late: list[WaitingCall] = []
        self._tasks: dict[str, list[asyncio.Task]] = {}

    def start(self, daemon: str, work: Awaitable) -> asyncio.Task:
        """Run a task of a daemon."""
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
        """Wait to be picked."""
        if daemon in self.crashed:
            await asyncio.Event().wait()
        answer = asyncio.get_running_loop().create_future()
        self._waiting.append(
            WaitingCall(daemon, name, effect, answer, is_write, refusal is None, refusal)
        )
        return await answer

    async def run(self, tasks: list[asyncio.Task]) -> None:
        """Step until the tasks are done, or belong to a crashed daemon."""
        for _ in range(MAX_STEPS):
            for _ in range(SETTLING_TURNS):
                await asyncio.sleep(0)
            options = list(self._list_options())
            if not options and all(task.done() for task in tasks):
                return
            if not options:
                self.clock.advance(5)
                continue
            pick = self._choose(len(options))
            name, act = options[pick]
            self.told.append(name)
            await act()
        raise AssertionError(f"no end after {self.told}")

    def _choose(self, options: int) -> int:
        position = len(self.taken)
        pick = self._choices[position] if position < len(self._choices) else 0
        self.taken.append((pick, options))
        return pick

    def _list_options(self) -> Iterator[tuple[str, Callable[[], Awaitable[None]]]]:
        for call in list(self._waiting):
            yield f"{call.daemon} {call.name}", lambda call=call: self._do(call)
        if self._waiting and not any(call.is_store for call in self._waiting) and self._advances:
            yield "time passes", self._pass_time
        for call in list(self._late):
            yield f"late {call.daemon} {call.name}", lambda call=call: self._do_late(call)
        if self._faults > 0:
            for call in list(self._waiting):
                if call.is_write:
                    yield f"{call.name} loses answer", lambda call=call: self._lose(call, True)
                    yield f"{call.name} delayed", lambda call=call: self._lose(call, False)
                if call.refusal is not None:
                    yield f"{call.name} refused", lambda call=call: self._refuse(call)
                yield f"{call.daemon} crashes", lambda call=call: self._crash(call)

    async def _do(self, call: WaitingCall) -> None:
        self._waiting.remove(call)
        call.answer.set_result(await call.effect())

    async def _do_late(self, call: WaitingCall) -> None:
        self._late.remove(call)
        await call.effect()

    async def _pass_time(self) -> None:
        self._advances -= 1
        self.clock.advance(PATIENCE_MS)

    async def _refuse(self, call: WaitingCall) -> None:
        self._faults -= 1
        self._waiting.remove(call)
        call.answer.set_result(call.refusal)

    async def _lose(self, call: WaitingCall, takes_effect: bool) -> None:
        self._faults -= 1
        self._waiting.remove(call)
        if takes_effect:
            await call.effect()
        else:
            self._late.append(call)
        call.answer.set_result(result.Err(errors.AnswerLost("lost; read back")))

    async def _crash(self, call: WaitingCall) -> None:
        self._faults -= 1
        self.crashed.add(call.daemon)
        for task in self._tasks.get(call.daemon, []):
            task.cancel()
        self._late += [item for item in self._waiting if item.daemon == call.daemon]
        self._waiting = [item for item in self._waiting if item.daemon != call.daemon]


class SteppedStore:
    """The key-value service as one daemon reaches it."""

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
        """Write a key under its revision."""
        store = self._world.store
        effect = lambda: store.swap(key, value, revision)  # noqa: E731
        return await self._world.call(self._daemon, "writes", effect, True)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Not stepped."""
        return await self._world.store.read_prefix(prefix)

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Not stepped."""
        return await self._world.store.delete_range(first, after_last)

    def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Not stepped."""
        return self._world.store.watch(key, revision)


def explore(play: Callable[[list[int]], list[tuple[int, int]]], limit: int) -> int:
    """Play every list of choices.

    :param play: plays one list; returns each choice with the number of options it had.
    :param limit: most plays; more is an error, so that the search stays exhaustive.
    :return: number of plays.
    """
    waiting: list[list[int]] = [[]]
    plays = 0
    while waiting:
        prefix = waiting.pop()
        taken = play(prefix)
        plays += 1
        assert plays <= limit, "too many plays; make the case smaller"
        picks = [pick for pick, _ in taken]
        for position in range(len(prefix), len(taken)):
            for pick in range(1, taken[position][1]):
                waiting.append([*picks[:position], pick])
    return plays
