"""Checks of the reach: asks a sample of a service's upstreams over new connections."""

import asyncio
import contextlib
from collections.abc import Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.relay import fleet, member_client, members, reach

POLL_INTERVAL_MS = 100
CHECK_TIMEOUT_MS = 300  # A sound upstream answers in a few milliseconds.


class ReachChecks:
    """Runs the checks that are due, one at a time for each service.

    :param own_reach: decides on checks and their meaning.
    :param view: known upstreams.
    :param client: asks upstreams, on a new connection each time.
    :param clock: clock to wait on.
    """

    __slots__ = ("_reach", "_view", "_client", "_clock", "_running", "_calls")

    def __init__(
        self,
        own_reach: reach.Reach,
        view: fleet.Fleet,
        client: member_client.MemberClient,
        clock: clocks.Clock,
    ) -> None:
        self._reach = own_reach
        self._view = view
        self._client = client
        self._clock = clock
        self._running: dict[str, asyncio.Task[None]] = {}
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Check the services that are cut off again and again, until cancelled."""
        while True:
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

    async def settle(self, service: str) -> None:
        """Wait until it is known whether a service is reached, where that is in doubt.

        :param service: name of the service.
        """
        self._start_if_due(service)
        running = self._running.get(service)
        if running is not None and not self._reach.is_cut_off(service):
            await asyncio.wait({running})

    async def confirm(self, service: str) -> bool:
        """Return whether a service is reached, by a check that begins now or later.

        :param service: name of the service.
        """
        since_ms = self._clock.monotonic_ms()
        while service in self._running or not self._reach.was_checked_since(service, since_ms):
            await asyncio.wait({self._running.get(service) or self._start(service)})
        return not self._reach.is_cut_off(service)

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
        sample = self._reach.draw_sample(service, self._view.upstreams)
        is_any_answered = False
        pending = {asyncio.create_task(self._is_answered(upstream)) for upstream in sample}
        try:
            while pending and not is_any_answered:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                is_any_answered = any(task.result() for task in done)
        finally:
            for task in pending:
                task.cancel()
        self._reach.end_check(service, len(sample), is_any_answered)

    async def _is_answered(self, upstream: members.Upstream) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
                reported = await self._client.probe(upstream)
                # Any answer will do, also one that is no report.
                return isinstance(reported, result.Ok) or isinstance(
                    reported.err_value, errors.UpstreamConfused
                )
        return False
