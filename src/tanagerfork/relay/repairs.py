"""Repairs: times how long a dissolved group's members take to serve again, and why it ended."""

import dataclasses
from collections.abc import Mapping

from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import assignments
from tanagerfork.relay import members, plans

LOGGER = "relay.repairs"
# A load takes 16 s, and up to three times as long with many others. A group that is not replaced by
# then lacks upstreams.
UNREPAIRED_MS = 60_000


@dataclasses.dataclass(slots=True)
class _Repair:
    """Group that ended, and the one that took over its members; times are -1 until known."""

    group: assignments.Assignment
    cause: str
    detected_at_ms: int
    closed_at_ms: int = -1
    formed_at_ms: int = -1
    successor: str = ""


class RepairLog:
    """Follows the groups of one service from their dissolution to the next group's opening.

    The next group is the first one to form with one of the members, whatever its model.

    :param failure_domain: failure domain.
    :param log: decision log; a line is written for each repair.
    :param metrics: histograms of the phases.
    """

    __slots__ = ("_failure_domain", "_log", "_metrics", "_known", "_repairs")

    def __init__(
        self, failure_domain: str, log: decisions.DecisionLog, metrics: metric.Metrics
    ) -> None:
        self._failure_domain = failure_domain
        self._log = log
        self._metrics = metrics
        self._known: dict[str, assignments.Assignment] = {}
        self._repairs: dict[str, _Repair] = {}

    def follow(
        self,
        service: str,
        plan: plans.Plan,
        statuses: Mapping[str, plans.UpstreamStatus],
        now_ms: int,
    ) -> None:
        """Update the repairs by a plan that was written.

        :param service: name of the service.
        :param plan: plan.
        :param statuses: status of the upstreams, by id.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        groups = {group.group: group for group in plan.record.groups if group.service == service}
        for name, group in {**self._known, **groups}.items():
            if name in self._repairs or not (name not in groups or group.closing):
                continue
            cause = group.reason or plan.dissolved.get(name, "")
            self._repairs[name] = _Repair(group, cause, now_ms)
        self._known = {name: group for name, group in groups.items() if not group.closing}
        for name, repair in list(self._repairs.items()):
            if name not in groups and repair.closed_at_ms < 0:
                repair.closed_at_ms = now_ms
            if repair.closed_at_ms >= 0:
                self._follow_successor(repair, statuses, now_ms)

    def _follow_successor(
        self, repair: _Repair, statuses: Mapping[str, plans.UpstreamStatus], now_ms: int
    ) -> None:
        successor = self._known.get(repair.successor)
        if successor is None:
            former = set(repair.group.members)
            successor = next(
                (group for group in self._known.values() if not former.isdisjoint(group.members)),
                None,
            )
            repair.formed_at_ms = now_ms if successor else -1
            repair.successor = successor.group if successor else ""
        if successor is None:
            if now_ms - repair.detected_at_ms > UNREPAIRED_MS:
                del self._repairs[repair.group.group]
                self._log.note(
                    LOGGER,
                    "group not replaced",
                    failure_domain=self._failure_domain,
                    group=repair.group.group,
                    model=repair.group.model,
                    cause=repair.cause,
                )
            return
        head = statuses.get(successor.members[0])
        membership = head.membership if head else None
        if membership is None or not plans.matches_assignment(membership, successor):
            return
        if membership.state is members.MemberState.OPEN:
            del self._repairs[repair.group.group]
            self._record_end(repair, successor, now_ms)

    def _record_end(self, repair: _Repair, successor: assignments.Assignment, now_ms: int) -> None:
        phases_ms = {
            "close": repair.closed_at_ms - repair.detected_at_ms,
            "form": repair.formed_at_ms - repair.closed_at_ms,
            "open": now_ms - repair.formed_at_ms,
        }
        self._log.note(
            LOGGER,
            "repair",
            failure_domain=self._failure_domain,
            group=repair.group.group,
            model=repair.group.model,
            cause=repair.cause,
            successor=successor.group,
            successor_model=successor.model,
            detected_to_closed_ms=phases_ms["close"],
            closed_to_formed_ms=phases_ms["form"],
            formed_to_open_ms=phases_ms["open"],
        )
        for phase, took_ms in phases_ms.items():
            self._metrics.observe_ms("relay_repair_seconds", took_ms, phase=phase)
