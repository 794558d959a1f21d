"""Order sender: sends the orders of a plan, and notes what their answers say."""

from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.groups import lease
from tanagerfork.relay import load_limiter, member_client, observations, plans

LOGGER = "relay.coordinator"
ORDER_RETRY_MS = 1500  # An order without visible effect is sent again after this time.
REFUSED_ORDER_RETRY_MS = 300  # Reports are some hundred ms old; a newer one has arrived by then.


class OrderSender:
    """Sends orders to the upstreams of one failure domain.

    :param keeper: the coordinator's lease.
    :param client: sends the orders.
    :param clock: clock of all decisions.
    :param log: decision log.
    :param metrics: counters.
    :param limiter: records the loads that are ordered.
    :param announce_closed: announces to all daemons the head and epoch of a group to be closed.
    :param start_probe: probes an upstream whose report does not allow an order yet.
    :param start_task: runs a task until the coordinator resigns.
    """

    __slots__ = (
        "_keeper",
        "_client",
        "_clock",
        "_log",
        "_metrics",
        "_load_limiter",
        "_announce_closed",
        "_start_probe",
        "_start_task",
        "_ordered_at_ms",
    )

    def __init__(
        self,
        keeper: lease.LeaseKeeper,
        client: member_client.MemberClient,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        limiter: load_limiter.LoadLimiter,
        announce_closed: Callable[[str, int], None],
        start_probe: Callable[[observations.Observation], None],
        start_task: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._keeper = keeper
        self._client = client
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._load_limiter = limiter
        self._announce_closed = announce_closed
        self._start_probe = start_probe
        self._start_task = start_task
        self._ordered_at_ms: dict[tuple[str, str, int, bool], int] = {}

    def send(
        self,
        orders: Sequence[plans.Order],
        statuses: Mapping[str, plans.UpstreamStatus],
        observed: Mapping[str, observations.Observation],
    ) -> None:
        """Start to send the orders that are due; one that was just sent waits for its effect.

        :param orders: orders of a plan that was written.
        :param statuses: status of the upstreams, by id.
        :param observed: observations of the upstreams, by id.
        """
        now_ms = self._clock.monotonic_ms()
        for order in orders:
            key = order.key
            if now_ms - self._ordered_at_ms.get(key, -ORDER_RETRY_MS) < ORDER_RETRY_MS:
                continue
            status = statuses.get(order.upstream_id)
            if status is not None and status.is_silent and order.kind != plans.CLOSE:
                continue
            if order.kind == plans.JOIN and not self._may_join(order, observed):
                continue
            self._ordered_at_ms[key] = now_ms
            if order.model and status is not None and not status.holds(order.model):
                self._load_limiter.note_ordered(
                    status.upstream.service, order.upstream_id, order.model, now_ms
                )
            seen = observed.get(order.upstream_id)
            # The answer to another order may change the count before this one is sent.
            order_count = seen.note_order_sent() if seen else None
            self._start_task(self._send_order(order, seen, order_count))

    def _may_join(
        self, order: plans.Order, observed: Mapping[str, observations.Observation]
    ) -> bool:
        """Return whether a report allows an order to join; probe the upstream where it does not."""
        seen = observed.get(order.upstream_id)
        if seen is None or seen.may_join(order.group, order.epoch):
            return seen is not None
        self._start_probe(seen)
        return False

    async def _send_order(
        self, order: plans.Order, seen: observations.Observation | None, order_count: int | None
    ) -> None:
        if order.kind == plans.CLOSE:
            self._announce_closed(order.upstream_id, order.epoch)
        fencing = self._keeper.state.fencing
        reply = await self._client.send_order(order, fencing, order_count)
        outcome = reply.ok_value.value if isinstance(reply, result.Ok) else reply.err_value.message
        self._log.note(
            LOGGER,
            "order",
            kind=order.kind,
            upstream=order.upstream_id,
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            fencing=fencing,
            outcome=outcome,
        )
        self._metrics.count("relay_orders_total", kind=order.kind)
        if order.kind == plans.STAGE:
            self._record_staging(order, reply)
        is_refused = isinstance(reply.err(), errors.UpstreamRefused)
        if is_refused:
            self._schedule_retry(order)
        if seen is not None:
            if is_refused:
                seen.note_order_refused()
            elif reply.ok() is plans.Acceptance.BEGUN:
                seen.note_order_accepted(order_count, self._clock.monotonic_ms())
                if order.kind == plans.LEAVE:
                    seen.note_group_left(order_count)
            seen.probed_at_ms = -1_000_000

    def _record_staging(
        self, order: plans.Order, reply: result.Result[plans.Acceptance, errors.UpstreamError]
    ) -> None:
        """Record what the answer to an order says about the load."""
        error = reply.err()
        if reply.ok() is plans.Acceptance.DONE:
            self._load_limiter.note_not_started(order.upstream_id)
        elif isinstance(error, errors.UpstreamRefused | errors.UpstreamUnreachable):
            self._load_limiter.record_failed(order.upstream_id)
        elif error is not None:
            self._load_limiter.record_unanswered(order.upstream_id)

    def _schedule_retry(self, order: plans.Order) -> None:
        """Allow a refused order again once a newer report can have corrected the order count."""
        saved_ms = ORDER_RETRY_MS - REFUSED_ORDER_RETRY_MS
        self._ordered_at_ms[order.key] = self._clock.monotonic_ms() - saved_ms
