"""Observer: polls the reports of the engines."""

import asyncio
from collections.abc import Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.generated import engine
from tanagerfork.groups import presence
from tanagerfork.upstream import engine as engines


class Observer:
    """Polls the report of each VM, with one task per VM.

    :param client: engine client.
    :param known: store of the reports.
    :param clock: clock of this daemon.
    :param metrics: metrics of this daemon.
    :param interval_ms: time between two polls of a VM, in milliseconds.
    :param is_due: returns whether this daemon polls a VM now, or leaves it to its peers.
    :param on_report: called with each report and the time at which it was requested.
    """

    __slots__ = (
        "_client",
        "_presence",
        "_clock",
        "_metrics",
        "_interval_ms",
        "_is_due",
        "_on_report",
        "_tasks",
    )

    def __init__(
        self,
        client: engines.EngineClient,
        known: presence.Presence,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        interval_ms: int,
        is_due: Callable[[str], bool] = lambda vm: True,
        on_report: Callable[[engine.EngineReport, int], None] = lambda report, made_at_ms: None,
    ) -> None:
        self._client = client
        self._presence = known
        self._clock = clock
        self._metrics = metrics
        self._interval_ms = interval_ms
        self._is_due = is_due
        self._on_report = on_report
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def follow(self, vms: list[engine.VmEntry]) -> None:
        """Start polling new VMs, and stop polling VMs that are not in the list.

        :param vms: VMs to poll.
        """
        wanted = {vm.vm: vm for vm in vms}
        for name in list(self._tasks):
            if name not in wanted:
                self._tasks.pop(name).cancel()
                self._presence.forget(name)
        for name, vm in wanted.items():
            if name not in self._tasks:
                self._tasks[name] = asyncio.create_task(self._observe(vm))

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    async def _observe(self, vm: engine.VmEntry) -> None:
        while True:
            if not self._is_due(vm.vm):
                await self._clock.sleep_ms(self._interval_ms)
                continue
            asked_at_ms = self._clock.monotonic_ms()
            answer = await self._client.report(vm)
            if isinstance(answer, result.Ok) and answer.ok_value.vm == vm.vm:
                self._presence.add_report(answer.ok_value, asked_at_ms)
                self._on_report(answer.ok_value, asked_at_ms)
            else:
                self._metrics.count("reports_missed_total")
            await self._clock.sleep_ms(self._interval_ms)
