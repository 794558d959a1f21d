"""Sender of engine orders."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping, Sequence

import result

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.generated import engine
from tanagerfork.groups import facts, orders
from tanagerfork.timeline import hybrid, kinds, ring
from tanagerfork.upstream import engine as engines

MAX_CONCURRENT_ORDERS = 16
MAX_SEND_DURATION_MS = 1000  # Later orders wait for the next step, which renews the lease first.


@dataclasses.dataclass(slots=True, frozen=True)
class _AcceptedOrder:
    """Last order that an engine accepted, when, and the report that it was based on."""

    order: engine.Order
    incarnation: str
    sequence: int
    accepted_at_ms: int


class OrderSender:
    """Sends orders to engines as long as this daemon is allowed to.

    An order that an engine accepted is repeated only if a report that was requested after that
    shows that it had no effect.

    :param client: engine client.
    :param clock: clock of this daemon.
    :param timeline: timeline of this daemon.
    :param metrics: metrics of this daemon.
    """

    __slots__ = ("_client", "_clock", "_timeline", "_metrics", "_accepted", "_refused")

    def __init__(
        self,
        client: engines.EngineClient,
        clock: clocks.Clock,
        timeline: ring.Timeline,
        metrics: metric.Metrics,
    ) -> None:
        self._client = client
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._accepted: dict[str, _AcceptedOrder] = {}
        self._refused: dict[str, engine.Order] = {}

    async def send_orders(
        self,
        chosen: Sequence[orders.VmOrder],
        vms: Mapping[str, facts.VmFact],
        may_order: Callable[[], bool],
    ) -> None:
        """Send orders concurrently in batches, for at most about `MAX_SEND_DURATION_MS`.

        :param chosen: orders in the sequence in which they should be sent.
        :param vms: facts that the orders are based on, by VM.
        :param may_order: called before each order; the order is withheld if it returns false.
        """
        self._accepted = {
            vm: last_accepted for vm, last_accepted in self._accepted.items() if vm in vms
        }
        self._refused = {vm: order for vm, order in self._refused.items() if vm in vms}
        waiting = [item for item in chosen if not self._is_under_way(item, vms)]
        started_at_ms = self._clock.monotonic_ms()
        for start in range(0, len(waiting), MAX_CONCURRENT_ORDERS):
            if self._clock.monotonic_ms() - started_at_ms >= MAX_SEND_DURATION_MS:
                return
            batch = waiting[start : start + MAX_CONCURRENT_ORDERS]
            await asyncio.gather(*(self._send(item, vms, may_order) for item in batch))

    def _is_under_way(self, item: orders.VmOrder, vms: Mapping[str, facts.VmFact]) -> bool:
        last_accepted = self._accepted.get(item.entry.vm)
        fact = vms.get(item.entry.vm)
        if (
            last_accepted is None
            or fact is None
            or fact.report is None
            or last_accepted.order != item.order
        ):
            return False
        report = fact.report
        return report.incarnation == last_accepted.incarnation and (
            report.sequence <= last_accepted.sequence
            or fact.reported_at_ms < last_accepted.accepted_at_ms
        )

    async def _send(
        self,
        item: orders.VmOrder,
        vms: Mapping[str, facts.VmFact],
        may_order: Callable[[], bool],
    ) -> None:
        if not may_order():
            self._metrics.count("orders_withheld_total")
            return
        # Effects of the order may be seen before its answer arrives, so the event is stamped now.
        at = self._timeline.stamp()
        answer = await self._client.send_order(item.entry, item.order)
        self._metrics.count("orders_sent_total", kind=item.order.kind)
        if isinstance(answer, result.Err):
            self._metrics.count("orders_unanswered_total")
            return
        if answer.ok_value.accepted:
            self._handle_accepted(item, vms, at)
        else:
            self._handle_refused(item, answer.ok_value.reason, at)

    def _handle_accepted(
        self, item: orders.VmOrder, vms: Mapping[str, facts.VmFact], at: hybrid.HybridTime
    ) -> None:
        vm = item.entry.vm
        self._refused.pop(vm, None)
        fact = vms.get(vm)
        if fact is not None and fact.report is not None:
            report = fact.report
            self._accepted[vm] = _AcceptedOrder(
                item.order, report.incarnation, report.sequence, self._clock.monotonic_ms()
            )
        self._record(kinds.EventKind.ORDER_SENT, item, item.order.kind, at)

    def _handle_refused(self, item: orders.VmOrder, reason: str, at: hybrid.HybridTime) -> None:
        self._metrics.count("orders_refused_total")
        self._accepted.pop(item.entry.vm, None)
        if self._refused.get(item.entry.vm) != item.order:
            self._refused[item.entry.vm] = item.order
            self._record(kinds.EventKind.ORDER_REFUSED, item, f"{item.order.kind}: {reason}", at)

    def _record(
        self, kind: kinds.EventKind, item: orders.VmOrder, detail: str, at: hybrid.HybridTime
    ) -> None:
        self._timeline.record(kind, detail, vm=item.entry.vm, group=item.order.group, at=at)
