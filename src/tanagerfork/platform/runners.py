"""Client of the platform's runners: fetches reports of upstreams and sends orders to them."""

import asyncio
import dataclasses

import aiohttp
import msgspec
import result

from tanagerfork import addresses, errors
from tanagerfork.platform import entries, headers
from tanagerfork.relay import members, plans
from tanagerfork.upstream import bodies, connections

OP_BY_KIND = {plans.STAGE: "phase"}  # Other kinds are sent under their own names.
MAX_BODY_BYTES = 256 * 1024  # A report has a few KB at most, an answer to an order has less.
ACCEPTANCE_BY_STATUS = {200: plans.Acceptance.DONE, 202: plans.Acceptance.BEGUN}


class _Order(msgspec.Struct, rename="camel", omit_defaults=True):
    """`expected` is the number of orders that the runner is expected to have accepted so far."""

    op: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: list[str] = []
    mode: str = ""
    fencing_token: int = 0
    expected: int | None = None


class RunnerClient:
    """Probes upstreams and sends orders to them; see `member_client.MemberClient`.

    An order gets a connection of its own, as its answer names no order: a late copy of the answer
    to an earlier one would be taken for it.

    :param session: HTTP session for probes, closed by its owner.
    :param order_session: HTTP session that does not reuse connections, closed by its owner.
    :param probe_timeout_ms: timeout of one probe, in milliseconds.
    :param order_timeout_ms: timeout of one order, in milliseconds.
    """

    __slots__ = ("_session", "_order_session", "_probe_timeout_s", "_order_timeout_s")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        order_session: aiohttp.ClientSession,
        probe_timeout_ms: int,
        order_timeout_ms: int,
    ) -> None:
        self._session = session
        self._order_session = order_session
        self._probe_timeout_s = probe_timeout_ms / 1000
        self._order_timeout_s = order_timeout_ms / 1000

    async def probe(
        self, upstream: members.Upstream
    ) -> result.Result[members.Report, errors.UpstreamError]:
        """Fetch the report of an upstream.

        :param upstream: upstream.
        :return: its report, or why it could not be fetched.
        """
        if not addresses.is_valid(upstream.address):
            return result.Err(connections.describe_bad_address(upstream.id, upstream.address))
        if self._session.closed:  # No evidence of a crash or a cut.
            return result.Err(errors.UpstreamSilent("the daemon is stopping; probe no more"))
        probe_headers = {headers.EXPECTED_ID: upstream.id}
        try:
            async with asyncio.timeout(self._probe_timeout_s):
                async with self._session.get(
                    f"http://{upstream.address}/report", headers=probe_headers
                ) as response:
                    body = await bodies.read_bounded(response, MAX_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return result.Err(connections.describe_failure(upstream.id, error))
        report = entries.decode_report(body) if response.status == 200 else None
        if report is None:
            message = f"{upstream.id} sent no valid report (status {response.status}); probe again"
            return result.Err(errors.UpstreamConfused(message))
        if headers.says_leaving(response.headers):
            report = dataclasses.replace(report, is_leaving=True)
        return result.Ok(report)

    async def send_order(
        self, order: plans.Order, fencing: int, order_count: int | None
    ) -> result.Result[plans.Acceptance, errors.UpstreamError]:
        """Send an order to its upstream.

        :param order: order.
        :param fencing: fencing token of the coordinator.
        :param order_count: number of orders that the upstream has accepted; None if unknown.
        :return: how the upstream accepted it, or why it was refused or its outcome is unknown.
        """
        if not addresses.is_valid(order.address):
            return result.Err(connections.describe_bad_address(order.upstream_id, order.address))
        mode = ("cut" if order.cancels_requests else "wait") if order.kind == plans.CLOSE else ""
        body = _Order(
            op=OP_BY_KIND.get(order.kind, order.kind),
            group=order.group,
            epoch=order.epoch,
            model=order.model,
            members=list(order.members),
            mode=mode,
            fencing_token=fencing,
            expected=order_count,
        )
        order_headers = {
            headers.EXPECTED_ID: order.upstream_id,
            "Content-Type": "application/json",
        }
        try:
            async with asyncio.timeout(self._order_timeout_s):
                async with self._order_session.post(
                    f"http://{order.address}/order",
                    data=msgspec.json.encode(body),
                    headers=order_headers,
                ) as response:
                    await bodies.read_bounded(response, MAX_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return result.Err(connections.describe_failure(order.upstream_id, error))
        if response.status == 200 and order.kind == plans.LEAVE:
            return result.Ok(plans.Acceptance.BEGUN)  # Takes effect at once, but is counted.
        acceptance = ACCEPTANCE_BY_STATUS.get(response.status)
        if acceptance is not None:
            return result.Ok(acceptance)
        message = (
            f"{order.upstream_id} refused the order {order.kind} (status {response.status}); "
            "read its report before the next order"
        )
        return result.Err(errors.UpstreamRefused(message))
