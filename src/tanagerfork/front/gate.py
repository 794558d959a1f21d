"""Admission gate: queues requests until the admission policy grants them a slot."""

import asyncio
import dataclasses

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.generated import bundle
from tanagerfork.groups import directory, presence
from tanagerfork.routing import admission, fair_queue, limits, load
from tanagerfork.routing import fleet as fleets

POLL_INTERVAL_MS = 50
ASSUMED_ANSWER_TOKENS = 100  # For the initial estimate of how long a request holds its slot.


@dataclasses.dataclass(slots=True)
class ModelQueue:
    """The queue of one model: its admission policy and the requests that wait for a slot."""

    admission: admission.Admission
    waiters: dict[int, tuple[fair_queue.Ticket, asyncio.Future[None]]]
    poll_task: asyncio.Task[None] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Slot:
    """A slot held by a request."""

    queue: ModelQueue
    model: bundle.Model
    ticket: fair_queue.Ticket


class Gate:
    """Makes requests wait for a slot of their model, in the order that admission decides.

    :param groups: this daemon's view of the groups.
    :param sent_load: load that this daemon put on the groups.
    :param team_limits: rate and concurrency limits of the teams.
    :param fleet: the other daemons.
    :param clock: clock for waits and deadlines.
    :param metrics: metrics registry.
    """

    __slots__ = ("_groups", "_sent_load", "_limits", "_fleet", "_clock", "_metrics", "_queues")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        sent_load: load.SentLoad,
        team_limits: limits.TeamLimits,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._sent_load = sent_load
        self._limits = team_limits
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._queues: dict[str, ModelQueue] = {}

    async def acquire_slot(
        self, model: bundle.Model, request: admission.AdmissionRequest
    ) -> result.Result[Slot, errors.NotRun]:
        """Wait for a slot.

        :param model: requested model.
        :param request: request.
        :return: the slot, to be given back by `release_slot`, or why the request was refused.
        """
        now_ms = self._clock.monotonic_ms()
        queue = self._get_queue(model)
        offered = queue.admission.offer(
            request, self._compute_allowance(model, queue, now_ms), now_ms
        )
        if isinstance(offered, admission.Refusal):
            return result.Err(self._make_error(offered, model))
        if offered.started_at_ms < 0:
            refusal = await self._wait(model, queue, offered)
            if refusal is not None:
                return result.Err(self._make_error(refusal, model))
        waited_ms = offered.started_at_ms - offered.arrived_at_ms
        self._metrics.observe_ms(
            "request_queue_seconds", waited_ms, team=request.team.name, model=model.name
        )
        return result.Ok(Slot(queue, model, offered))

    def release_slot(self, slot: Slot) -> None:
        """Release a slot and start the next queued request.

        :param slot: slot from `acquire_slot`.
        """
        slot.queue.admission.release(slot.ticket, self._clock.monotonic_ms())
        self._start_queued(slot.model, slot.queue)

    def count_free_slots(self, now_ms: int) -> dict[str, int]:
        """Return the free slots of all whole groups by model, for other failure domains.

        :param now_ms: monotonic clock, in milliseconds.
        """
        free: dict[str, int] = {}
        for view in self._groups.views(now_ms):
            if view.state == presence.GroupState.WHOLE and view.report is not None:
                group_free = view.report.slots - self._sent_load.estimate_requests(view, now_ms)
                free[view.record.model] = free.get(view.record.model, 0) + group_free
        return free

    def stop(self) -> None:
        """Cancel the polling tasks."""
        for queue in self._queues.values():
            if queue.poll_task is not None:
                queue.poll_task.cancel()

    async def _wait(
        self, model: bundle.Model, queue: ModelQueue, ticket: fair_queue.Ticket
    ) -> admission.Refusal | None:
        decided: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.waiters[id(ticket)] = ticket, decided
        self._start_queued(model, queue)
        if queue.poll_task is None or queue.poll_task.done():
            queue.poll_task = asyncio.create_task(self._poll_queue(model, queue))
        try:
            await decided
        except asyncio.CancelledError:
            self._abandon(model, queue, ticket)
            raise
        finally:
            queue.waiters.pop(id(ticket), None)
        if ticket.started_at_ms >= 0:
            return None
        return queue.admission.withdraw(ticket, self._clock.monotonic_ms())

    def _abandon(self, model: bundle.Model, queue: ModelQueue, ticket: fair_queue.Ticket) -> None:
        if ticket.started_at_ms >= 0:
            self.release_slot(Slot(queue, model, ticket))
        else:
            queue.admission.withdraw(ticket, self._clock.monotonic_ms())

    async def _poll_queue(self, model: bundle.Model, queue: ModelQueue) -> None:
        while queue.waiters:
            self._start_queued(model, queue)
            self._expire_waiters(queue)
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _start_queued(self, model: bundle.Model, queue: ModelQueue) -> None:
        if not queue.admission.waiting:
            return
        now_ms = self._clock.monotonic_ms()
        for ticket in queue.admission.start_queued(
            self._compute_allowance(model, queue, now_ms), now_ms
        ):
            found = queue.waiters.pop(id(ticket), None)
            if found is not None and not found[1].done():
                found[1].set_result(None)

    def _expire_waiters(self, queue: ModelQueue) -> None:
        now_ms = self._clock.monotonic_ms()
        for ticket, decided in list(queue.waiters.values()):
            if ticket.latest_start_ms < now_ms and not decided.done():
                decided.set_result(None)

    def _compute_allowance(
        self, model: bundle.Model, queue: ModelQueue, now_ms: int
    ) -> admission.SlotAllowance:
        running = queue.admission.running
        slots, used, open_here = 0, 0, 0
        for view in self._groups.whole_groups(model.name, now_ms):
            group_slots = (view.report.slots if view.report else 0) or model.slots_per_group
            slots += group_slots
            used += self._sent_load.estimate_requests(view, now_ms)
            open_here += self._sent_load.count_open(view.record.group)
        used += max(0, running - open_here)
        return admission.compute_allowance(slots, used, running, self._fleet.live_daemons())

    def _get_queue(self, model: bundle.Model) -> ModelQueue:
        queue = self._queues.get(model.name)
        if queue is None:
            initial_cost_ms = model.first_token_ms + ASSUMED_ANSWER_TOKENS * model.token_gap_ms
            model_admission = admission.Admission(self._limits, initial_cost_ms)
            queue = self._queues[model.name] = ModelQueue(model_admission, {})
        return queue

    def _make_error(self, refusal: admission.Refusal, model: bundle.Model) -> errors.NotRun:
        error_type = errors.RateLimited if refusal.is_rate_limited else errors.NotRun
        message = f"{model.name} refused the request: {refusal.reason}; retry later"
        return error_type(message, refusal.retry_after_ms)
