"""Interface through which upstreams are probed and ordered."""

from typing import Protocol

import result

from tanagerfork import errors
from tanagerfork.relay import members, plans


class MemberClient(Protocol):
    """Probes upstreams and sends them orders."""

    async def probe(
        self, upstream: members.Upstream
    ) -> result.Result[members.Report, errors.UpstreamError]:
        """Probe an upstream; return its report, or why there is none."""

    async def send_order(
        self, order: plans.Order, fencing: int, order_count: int | None
    ) -> result.Result[plans.Acceptance, errors.UpstreamError]:
        """Send an order; return whether the upstream carries it out, or why that is not known."""
