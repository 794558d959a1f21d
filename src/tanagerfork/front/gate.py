"""The wait for a slot: carries out what admission decides."""

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

PUMP_INTERVAL_MS = 50
EXPECTED_TOKENS = 100


@dataclasses.dataclass(slots=True)
class Line:
    """The requests of one model that wait."""

    admission: admission.Admission
    waiting: dict[int, tuple[fair_queue.Ticket, asyncio.Future[None]]]
    pumping: asyncio.Task[None] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """A slot that a request holds."""

    line: Line
    model: bundle.Model
    ticket: fair_queue.Ticket


class Gate:
    """Has requests wait for a slot of their model, in admission's order.

    :param groups: groups as this daemon knows them.
    :param sent: load that this daemon sent.
    :param team_limits: limits of the teams.
    :param fleet: the other daemons.
    :param clock: clock of waits and deadlines.
    :param metrics: counters.
    """

    __slots__ = ("_groups", "_sent", "_limits", "_fleet", "_clock", "_metrics", "_lines")

    def __init__(
        self,
        groups: directory.GroupDirectory,
        sent: load.SentLoad,
        team_limits: limits.TeamLimits,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self._groups = groups
        self._sent = sent
        self._limits = team_limits
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._lines: dict[str, Line] = {}

    async def enter(
        self, model: bundle.Model, ask: admission.AdmissionRequest
    ) -> result.Result[Place, errors.NotRun]:
        """Wait for a slot.

        :param model: model asked for.
        :param ask: request.
        :return: the slot, to be left again, or why the request does not run.
        """
        now_ms = self._clock.monotonic_ms()
        line = self._find_line(model)
        offered = line.admission.offer(ask, self._read_room(model, line, now_ms), now_ms)
        if isinstance(offered, admission.Refusal):
            return result.Err(self._describe(offered, model))
        if offered.started_at_ms < 0:
            refusal = await self._wait(model, line, offered)
            if refusal is not None:
                return result.Err(self._describe(refusal, model))
        waited_ms = offered.started_at_ms - offered.arrived_at_ms
        self._metrics.observe_ms(
            "request_queue_seconds", waited_ms, team=ask.team.name, model=model.name
        )
        return result.Ok(Place(line, model, offered))

    def leave(self, place: Place) -> None:
        """Give a slot back and let the next request in.

        :param place: slot from `enter`.
        """
        place.line.admission.release(place.ticket, self._clock.monotonic_ms())
        self._pump(place.model, place.line)

    def count_free_slots(self, now_ms: int) -> dict[str, int]:
        """Return the free slots of all whole groups by model, for other failure domains.

        :param now_ms: monotonic clock, in milliseconds.
        """
        free: dict[str, int] = {}
        for view in self._groups.views(now_ms):
            if view.state == presence.GroupState.WHOLE and view.report is not None:
                room = view.report.slots - self._sent.estimate_requests(view, now_ms)
                free[view.record.model] = free.get(view.record.model, 0) + room
        return free

    def stop(self) -> None:
        """End all tasks."""
        for line in self._lines.values():
            if line.pumping is not None:
                line.pumping.cancel()

    async def _wait(
        self, model: bundle.Model, line: Line, ticket: fair_queue.Ticket
    ) -> admission.Refusal | None:
        place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        line.waiting[id(ticket)] = ticket, place
        self._pump(model, line)
        if line.pumping is None or line.pumping.done():
            line.pumping = asyncio.create_task(self._keep_pumping(model, line))
        try:
            await place
        except asyncio.CancelledError:
            self._abandon(model, line, ticket)
            raise
        finally:
            line.waiting.pop(id(ticket), None)
        if ticket.started_at_ms >= 0:
            return None
        return line.admission.withdraw(ticket, self._clock.monotonic_ms())

    def _abandon(self, model: bundle.Model, line: Line, ticket: fair_queue.Ticket) -> None:
        if ticket.started_at_ms >= 0:
            self.leave(Place(line, model, ticket))
        else:
            line.admission.withdraw(ticket, self._clock.monotonic_ms())

    async def _keep_pumping(self, model: bundle.Model, line: Line) -> None:
        while line.waiting:
            self._pump(model, line)
            self._expire(line)
            await self._clock.sleep_ms(PUMP_INTERVAL_MS)

    def _pump(self, model: bundle.Model, line: Line) -> None:
        if not line.admission.waiting:
            return
        now_ms = self._clock.monotonic_ms()
        for ticket in line.admission.start_queued(self._read_room(model, line, now_ms), now_ms):
            found = line.waiting.pop(id(ticket), None)
            if found is not None and not found[1].done():
                found[1].set_result(None)

    def _expire(self, line: Line) -> None:
        now_ms = self._clock.monotonic_ms()
        for ticket, place in list(line.waiting.values()):
            if ticket.latest_start_ms < now_ms and not place.done():
                place.set_result(None)

    def _read_room(self, model: bundle.Model, line: Line, now_ms: int) -> admission.SlotAllowance:
        running = line.admission.running
        slots, used, sent = 0, 0, 0
        for view in self._groups.whole_groups(model.name, now_ms):
            size = (view.report.slots if view.report else 0) or model.slots_per_group
            slots += size
            used += self._sent.estimate_requests(view, now_ms)
            sent += self._sent.count_open(view.record.group)
        used += max(0, running - sent)
        return admission.compute_allowance(slots, used, running, self._fleet.live_daemons())

    def _find_line(self, model: bundle.Model) -> Line:
        line = self._lines.get(model.name)
        if line is None:
            first_cost_ms = model.first_token_ms + EXPECTED_TOKENS * model.token_gap_ms
            decisions = admission.Admission(self._limits, first_cost_ms)
            line = self._lines[model.name] = Line(decisions, {})
        return line

    def _describe(self, refusal: admission.Refusal, model: bundle.Model) -> errors.NotRun:
        kind = errors.RateLimited if refusal.is_rate_limited else errors.NotRun
        message = f"{model.name} did not run the request: {refusal.reason}; come back later"
        return kind(message, refusal.retry_after_ms)
