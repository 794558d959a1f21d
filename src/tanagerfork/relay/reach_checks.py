"""Checks of the reach: asks upstreams of a service over new connections until one answers.

They are asked in batches, so that a check costs few probes where most upstreams are sound.
"""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
from collections.abc import Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import errors, lateness
from tanagerfork.relay import fleet, member_client, members, reach

POLL_INTERVAL_MS = 100
FIRST_BATCH = 2  # Each further batch is twice as large.
BATCH_INTERVAL_MS = 50  # A sound upstream has answered by then, and the next batch is not needed.
CHECK_TIMEOUT_MS = 300  # A sound upstream answers in a few milliseconds.
MAX_ROUNDS = 3  # Of a check, while the event loop itself uses up its time.


class Answer(enum.Enum):
    """What an upstream did that was asked in a check."""

    ANSWERED = "answered"
    REFUSED = "refused the connection or broke it off"
    SILENT = "did nothing in time"


@dataclasses.dataclass(slots=True)
class Check:
    """One check; `answered_id` is the upstream that answered, empty as long as none has."""

    began_ms: float
    asked: int = 0
    is_any_silent: bool = False
    answered_id: str = ""


class ReachChecks:
    """Runs the checks that are due, one at a time for each service.

    :param own_reach: decides on checks and their meaning.
    :param view: known upstreams.
    :param client: asks upstreams, on a new connection each time.
    :param find_heard_ms: returns when this daemon last received something from an upstream.
    :param clock: clock to wait on.
    """

    __slots__ = (
        "_reach",
        "_view",
        "_client",
        "_find_heard_ms",
        "_clock",
        "_lateness",
        "_running",
        "_calls",
    )

    def __init__(
        self,
        own_reach: reach.Reach,
        view: fleet.Fleet,
        client: member_client.MemberClient,
        find_heard_ms: Callable[[str], float],
        clock: clocks.Clock,
    ) -> None:
        self._reach = own_reach
        self._view = view
        self._client = client
        self._find_heard_ms = find_heard_ms
        self._clock = clock
        self._lateness = lateness.LatenessRecord(POLL_INTERVAL_MS)
        self._running: dict[str, asyncio.Task[None]] = {}
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Check the services that are cut off again and again, until cancelled."""
        while True:
            self._lateness.note_wakeup(self._clock.monotonic_ms())
            for service in self._reach.cut_off_services:
                self._start_if_due(service)
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def close(self) -> None:
        """Cancel the checks that run and what waits for them."""
        for task in [*self._running.values(), *self._calls]:
            task.cancel()

    def doubt(self, service: str) -> None:
        """Check soon whether a service is reached, as an upstream did not answer.

        :param service: name of the service.
        """
        self._reach.note_unreached(service)
        self._start_if_due(service)

    def was_late(self, since_ms: float, limit_ms: float) -> bool:
        """Return whether this daemon itself used up a time limit, as it got no processor.

        :param since_ms: when the time limit began, by the monotonic clock, in milliseconds.
        :param limit_ms: time limit, in milliseconds.
        """
        return self._lateness.has_used_up(since_ms, limit_ms, self._clock.monotonic_ms())

    def is_cut_off(self, service: str) -> bool:
        """Return whether no upstream of a service is reached; it is checked again and again then.

        :param service: name of the service.
        """
        return self._reach.is_cut_off(service)

    async def settle(self, service: str) -> None:
        """Wait until it is known whether a service is reached, where that is in doubt.

        :param service: name of the service.
        """
        self._start_if_due(service)
        running = self._running.get(service)
        if running is not None and not self._reach.is_cut_off(service):
            await asyncio.wait({running})

    async def confirm(self, service: str) -> bool:
        """Return whether an upstream of a service answers a check that begins now or later.

        :param service: name of the service.
        """
        since_ms = self._clock.monotonic_ms()
        while service in self._running or not self._reach.was_checked_since(service, since_ms):
            await asyncio.wait({self._running.get(service) or self._start(service)})
        return self._reach.was_reached_since(service, since_ms)

    def call_if_reached(self, service: str, action: Callable[[], None]) -> None:
        """Call a function once it is confirmed that a service is reached; else never.

        :param service: name of the service.
        :param action: function to call.
        """
        task = asyncio.create_task(self._call_if_reached(service, action))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call_if_reached(self, service: str, action: Callable[[], None]) -> None:
        if await self.confirm(service):
            action()

    def _start_if_due(self, service: str) -> None:
        if service not in self._running and self._reach.needs_check(service):
            self._start(service)

    def _start(self, service: str) -> asyncio.Task[None]:
        self._reach.begin_check(service)
        task = asyncio.create_task(self._check(service))
        self._running[service] = task
        task.add_done_callback(lambda _: self._running.pop(service))
        return task

    async def _check(self, service: str) -> None:
        ranked = self._reach.rank_upstreams(service, self._view.upstreams, self._find_heard_ms)
        for _ in range(MAX_ROUNDS):
            with lateness.LoopLateness() as late:
                check = await self._ask_until_answered(ranked)
                if check.answered_id or not check.is_any_silent:
                    break
                if not late.has_used_up(CHECK_TIMEOUT_MS / 1000):
                    break
        self._reach.end_check(service, check.asked, bool(check.answered_id), check.answered_id)

    async def _ask_until_answered(self, ranked: list[members.Upstream]) -> Check:
        """Ask upstreams in batches; the next one begins if one fails or none answers in time."""
        check = Check(self._clock.monotonic_ms())
        waiting = iter(ranked)
        pending: set[asyncio.Task[None]] = set()
        size = FIRST_BATCH
        try:
            while not check.answered_id:
                batch = list(itertools.islice(waiting, size))
                size *= 2
                check.asked += len(batch)
                pending |= {asyncio.create_task(self._ask(one, check)) for one in batch}
                if not pending:
                    break
                _, pending = await asyncio.wait(
                    pending,
                    timeout=BATCH_INTERVAL_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            for task in pending:
                task.cancel()
        return check

    async def _ask(self, upstream: members.Upstream, check: Check) -> None:
        self._reach.note_asked(upstream)
        answer = await self._probe(upstream)
        if answer is Answer.ANSWERED or (
            answer is Answer.SILENT and self._find_heard_ms(upstream.id) >= check.began_ms
        ):  # What an open request receives meanwhile is an answer, unless connections are refused.
            check.answered_id = upstream.id
        check.is_any_silent |= answer is Answer.SILENT

    async def _probe(self, upstream: members.Upstream) -> Answer:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
                reported = await self._client.probe(upstream)
                if isinstance(reported, result.Ok):
                    return Answer.ANSWERED
                error = reported.err_value
                if isinstance(error, errors.UpstreamConfused):
                    return Answer.ANSWERED  # Any answer will do, also one that is no report.
                if not isinstance(error, (errors.UpstreamSilent, errors.ConnectTimedOut)):
                    return Answer.REFUSED
        return Answer.SILENT
