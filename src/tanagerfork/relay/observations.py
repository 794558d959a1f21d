"""Observations: state of one upstream as known from its probes and orders."""

import dataclasses
from collections.abc import Iterable, Mapping

from tanagerfork.generated import assignments
from tanagerfork.relay import members

SILENT_AFTER_FAILURES = 2  # A single probe may be lost by the network.
MAX_REPORT_LAG_MS = 2000  # Reports are some hundred milliseconds old.
MIN_SILENCE_MS = 1500  # A sound upstream may be silent for a second or so.


@dataclasses.dataclass(slots=True)
class Observation:
    """What the coordinator knows of one upstream from the list, probes and orders.

    `order_count` is the number of orders that the upstream has accepted since its start, None
    while an order is in flight or its outcome is unknown. Reports lag behind the orders by some
    hundred milliseconds, so that a report never lowers `min_order_count`. `reported_at_ms` is when
    the last report arrived, `reported_order_count` the number of orders that it counts.
    `left_order_count` is the number of orders of which the last one, of this coordinator, had it
    leave its group; -1 where that is not known. `accepted_at_ms` is when the last order was
    accepted.
    `taken_over_at_ms` is when this coordinator began to observe the upstream or took over again.
    `silent_since_ms` is when the first of the last `failed_probes` was sent, `is_silent` whether
    they say that it is gone, `found_silent_at_ms` since when they do.
    """

    upstream: members.Upstream
    listed_at_ms: int
    probed_at_ms: int = -1_000_000
    failed_probes: int = 0
    is_silent: bool = False
    silent_since_ms: float = 1e12
    found_silent_at_ms: float = 1e12
    order_count: int | None = None
    min_order_count: int = 0
    membership: members.GroupMembership | None = None
    is_probing: bool = False
    has_reported: bool = False
    reported_at_ms: float = -1e12
    reported_order_count: int = -1
    reported_born_at_ms: int = -1
    left_order_count: int = -1
    accepted_at_ms: float = -1e12
    taken_over_at_ms: int = 0

    def measure_unlisted(self, now_ms: int) -> int:
        """Return for how long the upstream has had no directory entry, in milliseconds.

        The time before this coordinator took over does not count, as it is not known.

        :param now_ms: clock of the coordinator, in milliseconds.
        """
        return now_ms - max(self.listed_at_ms, self.taken_over_at_ms)

    def note_failed_probe(self, is_refused: bool, now_ms: float) -> None:
        """Record that the last probe was not answered.

        :param is_refused: whether the connection was refused or broke, so that nothing runs there.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        if not self.failed_probes:
            self.silent_since_ms = self.probed_at_ms
        self.failed_probes += 1
        is_long = is_refused or now_ms - self.silent_since_ms >= MIN_SILENCE_MS
        was_silent = self.is_silent
        self.is_silent = self.failed_probes >= SILENT_AFTER_FAILURES and is_long
        if self.is_silent and not was_silent:
            self.found_silent_at_ms = now_ms

    def forget_failed_probes(self) -> None:
        """Forget the failed probes, as the upstream answered or they are no evidence."""
        self.failed_probes = 0
        self.is_silent = False

    def may_join(self, group: str, epoch: int) -> bool:
        """Return whether an order to join a group is safe by what the upstream itself has reported.

        The list may be older than the upstream's present group. Its last report has to count all
        orders, and to name no other group, or the order count guards nothing. No report is needed
        where the last order had it leave its group.

        :param group: name of the group.
        :param epoch: epoch of the group.
        """
        if self.order_count is None:
            return False
        if self.left_order_count == self.order_count:
            return True
        if self.reported_order_count != self.order_count:
            return False
        if self.membership is None:
            return True
        return (self.membership.group, self.membership.epoch) == (group, epoch)

    def find_newest_membership(
        self, list_time_ms: float, report_lag_ms: float
    ) -> members.GroupMembership | None:
        """Return the group of the list, or of the last report where that is surely newer.

        :param list_time_ms: time at which the list was known to be current.
        :param report_lag_ms: age of a report when it arrives.
        """
        is_same_start = self.reported_born_at_ms == self.upstream.born_at_ms
        if is_same_start and self.reported_at_ms - 2 * report_lag_ms > list_time_ms:
            return self.membership
        return self.upstream.membership

    def note_report(self, report: members.Report, now_ms: float = 0.0) -> None:
        """Record the report of an answered probe.

        :param report: report of the upstream.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        self.forget_failed_probes()
        self.reported_at_ms = now_ms
        self.reported_born_at_ms = report.born_at_ms
        self.reported_order_count = report.order_count
        self.has_reported = True
        if report.born_at_ms and report.born_at_ms != self.upstream.born_at_ms:
            self.upstream = dataclasses.replace(self.upstream, born_at_ms=report.born_at_ms)
            self.min_order_count = 0
            self.left_order_count = -1
        if report.is_leaving:
            self.upstream = dataclasses.replace(self.upstream, is_leaving=True)
        if now_ms - self.accepted_at_ms > MAX_REPORT_LAG_MS:
            self.min_order_count = 0  # The report counts all accepted orders.
        self.min_order_count = max(self.min_order_count, report.order_count)
        self.order_count = self.min_order_count
        self.membership = report.membership

    def note_order_sent(self) -> int | None:
        """Record that an order is in flight, so that the number of accepted ones is unknown.

        :return: order count to send with it.
        """
        expected, self.order_count = self.order_count, None
        return expected

    def note_order_accepted(self, expected: int | None, now_ms: float = 0.0) -> None:
        """Record that the upstream has accepted an order and carries it out.

        :param expected: order count that was sent with it, None for none; a report may already
            count the order.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        if expected is None:
            return  # The next report tells the count.
        self.accepted_at_ms = now_ms
        self.min_order_count = max(self.min_order_count, expected + 1)
        self.order_count = self.min_order_count

    def note_group_left(self, expected: int | None) -> None:
        """Record that the upstream has accepted an order to leave its group.

        :param expected: order count that was sent with it, None for none.
        """
        self.left_order_count = -1 if expected is None else expected + 1

    def note_order_refused(self) -> None:
        """Record that an order was refused, so that the count of the next report is taken."""
        self.min_order_count = 0
        self.order_count = None
        self.left_order_count = -1


def describe_member(
    group: assignments.Assignment, rank: int, failure_domain: str
) -> members.Upstream:
    """Return a member as its assignment describes it, without a directory entry.

    :param group: assignment.
    :param rank: rank of the member.
    :param failure_domain: failure domain of the assignment.
    """
    return members.Upstream(
        id=group.members[rank],
        service=group.service,
        address=group.addresses[rank],
        failure_domain=failure_domain,
        is_leaving=False,
        slots=0,
        born_at_ms=group.born_at_ms[rank],
        fabric_domain=group.fabric_domain,
    )


def list_assigned(
    seen_by_id: Mapping[str, Observation], groups: Iterable[assignments.Assignment]
) -> list[Observation]:
    """Return the observations of all assigned members.

    :param seen_by_id: observations by upstream.
    :param groups: groups of the record of assignments.
    """
    assigned = {member for group in groups for member in group.members}
    return [seen_by_id[member] for member in assigned & seen_by_id.keys()]
