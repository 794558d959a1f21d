"""Observations: what a coordinator learned of one upstream by asking and ordering it."""

import dataclasses

from tanagerfork.relay import members

SILENT_AFTER_FAILURES = 2  # One probe lost by the network is no sign of death.


@dataclasses.dataclass(slots=True)
class Observation:
    """What asking and ordering one upstream showed.

    `order_count` is the number of orders that the upstream has accepted since its start, None
    while an order is on its way or its fate is not known. Reports lag behind the orders by some
    hundred milliseconds, so that a report never lowers `least_order_count`.
    """

    upstream: members.Upstream
    listed_at_ms: int
    probed_at_ms: int = -1_000_000
    failed_probes: int = 0
    order_count: int | None = None
    min_order_count: int = 0
    membership: members.GroupMark | None = None
    is_probing: bool = False
    has_reported: bool = False

    @property
    def is_silent(self) -> bool:
        """Whether it does not answer."""
        return self.failed_probes >= SILENT_AFTER_FAILURES

    def note_report(self, report: members.Report) -> None:
        """Take in what the upstream said of itself.

        :param report: its report.
        """
        self.failed_probes = 0
        self.has_reported = True
        if report.born_at_ms and report.born_at_ms != self.upstream.born_at_ms:
            self.upstream = dataclasses.replace(self.upstream, born_at_ms=report.born_at_ms)
            self.min_order_count = 0
        self.min_order_count = max(self.min_order_count, report.order_count)
        self.order_count = self.min_order_count
        self.membership = report.mark

    def note_order_sent(self) -> None:
        """Note that an order is on its way, whose fate is not known yet."""
        self.order_count = None

    def note_order_accepted(self) -> None:
        """Note that the upstream has accepted an order and begins to carry it out."""
        self.min_order_count += 1
        self.order_count = self.min_order_count

    def note_order_refused(self) -> None:
        """Note that the upstream refused an order, so that its own count is to be believed."""
        self.min_order_count = 0
        self.order_count = None
