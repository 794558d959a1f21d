"""Presence: evaluates which groups are whole by the reports of their members."""

import dataclasses
import enum
from collections.abc import Mapping

from tanagerfork.generated import engine, layout
from tanagerfork.groups import substitution

MAX_RETIRED_INCARNATIONS = 4  # Earlier incarnations remembered for each VM.


class GroupState(enum.StrEnum):
    """State of a group as seen by one daemon."""

    FORMING = "forming"
    WHOLE = "whole"
    BROKEN = "broken"
    DRAINING = "draining"
    DISSOLVED = "dissolved"


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedReport:
    """Report of a VM and the time at which it was requested, on this daemon's clock."""

    report: engine.EngineReport
    made_at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class GroupView:
    """Group as seen by one daemon at one time."""

    record: layout.GroupRecord
    state: GroupState
    missing: tuple[str, ...]
    report: engine.EngineReport | None
    report_age_ms: int

    @property
    def leader(self) -> str:
        """VM that receives the group's requests."""
        return self.record.members[0]


@dataclasses.dataclass(slots=True, frozen=True)
class ReportCriteria:
    """Conditions that reports of a group must meet in addition to their maximum age.

    :param not_before_ms: time at which the group was last found broken; older reports do not count.
    :param generation: generation in which the group was found whole.
    :param pinned_incarnations: incarnation of each member at that time; in that generation, reports
        of other incarnations do not count.
    """

    not_before_ms: int = 0
    generation: int = 0
    pinned_incarnations: Mapping[str, str] = dataclasses.field(default_factory=dict)


NO_CRITERIA = ReportCriteria()


class Presence:
    """Stores the last report of every VM and evaluates groups by these reports.

    A report is dropped if a newer one of its incarnation is known, or if its incarnation was
    replaced by another one whose reports have not expired. Receiving the same report again does not
    extend its validity.

    :param ttl_ms: age at which a report expires, in milliseconds.
    """

    __slots__ = ("_ttl_ms", "_received", "_retired")

    def __init__(self, ttl_ms: int) -> None:
        self._ttl_ms = ttl_ms
        self._received: dict[str, ReceivedReport] = {}
        self._retired: dict[str, list[str]] = {}

    @property
    def ttl_ms(self) -> int:
        """Age at which a report expires, in milliseconds."""
        return self._ttl_ms

    def add_report(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Store a report, unless a newer one is known.

        :param report: what the member's engine says.
        :param made_at_ms: time at which it was requested, on this daemon's monotonic clock.
        """
        known = self._received.get(report.vm)
        if known is not None:
            if report.incarnation == known.report.incarnation:
                if report.sequence <= known.report.sequence:
                    return
            elif self._is_outdated(report, made_at_ms, known):
                return
            else:
                self._retire(report.vm, known.report.incarnation)
        self._received[report.vm] = ReceivedReport(report, made_at_ms)

    def refresh_report(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Extend the validity of the stored report, as a later one differs only in its load.

        :param report: stored report with the load of the later one.
        :param made_at_ms: time at which the later one was requested, on this daemon's clock.
        """
        known = self._received.get(report.vm)
        if known is None or made_at_ms <= known.made_at_ms:
            return
        identity = (report.incarnation, report.sequence)
        if identity == (known.report.incarnation, known.report.sequence):
            self._received[report.vm] = ReceivedReport(report, made_at_ms)

    def forget(self, vm: str) -> None:
        """Remove all data about a VM.

        :param vm: name of the VM.
        """
        self._received.pop(vm, None)
        self._retired.pop(vm, None)

    def find_report(self, vm: str, now_ms: int) -> ReceivedReport | None:
        """Return the last report of a VM.

        :param vm: name of the VM.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the report, None if there is none or it expired.
        """
        received = self._received.get(vm)
        if received is None or now_ms - received.made_at_ms > self._ttl_ms:
            return None
        return received

    def measure_silence(self, vm: str, now_ms: int, since_ms: int) -> int:
        """Return for how long a VM has not reported, in milliseconds.

        :param vm: name of the VM.
        :param now_ms: monotonic clock, in milliseconds.
        :param since_ms: time at which this daemon began to listen for reports.
        """
        received = self._received.get(vm)
        return now_ms - max(since_ms, received.made_at_ms if received else since_ms)

    def evaluate(
        self, record: layout.GroupRecord, now_ms: int, criteria: ReportCriteria = NO_CRITERIA
    ) -> GroupView:
        """Evaluate the state of a group, by the layout or by a substitution that its VMs report.

        :param record: group as recorded in the layout.
        :param now_ms: monotonic clock, in milliseconds.
        :param criteria: conditions for reports in addition to their age.
        :return: the group with its state; its record is the substitution if that is whole.
        """
        missing = self._find_missing(record, now_ms, criteria)
        if missing:
            for substituted in self._find_reported_rosters(record, now_ms):
                if not self._find_missing(substituted, now_ms, criteria):
                    record, missing = substituted, ()
                    break
        received = self.find_report(record.members[0], now_ms)
        age_ms = now_ms - received.made_at_ms if received else 0
        state = GroupState.BROKEN if missing else GroupState.WHOLE
        if not missing and (record.draining or self._has_leaving(record, now_ms)):
            state = GroupState.DRAINING
        return GroupView(record, state, missing, received.report if received else None, age_ms)

    def find_group_reports(
        self, record: layout.GroupRecord, now_ms: int
    ) -> list[engine.EngineReport]:
        """Return the valid reports of a group's members and reserves.

        :param record: group as recorded in the layout.
        :param now_ms: monotonic clock, in milliseconds.
        """
        found = [self.find_report(vm, now_ms) for vm in (*record.members, *record.reserves)]
        return [received.report for received in found if received is not None]

    def _find_reported_rosters(
        self, record: layout.GroupRecord, now_ms: int
    ) -> list[layout.GroupRecord]:
        return substitution.find_reported_rosters(record, self.find_group_reports(record, now_ms))

    def _has_leaving(self, record: layout.GroupRecord, now_ms: int) -> bool:
        found = [self.find_report(vm, now_ms) for vm in record.members]
        return any(
            received is not None and received.report.state == "leaving" for received in found
        )

    def _find_missing(
        self, record: layout.GroupRecord, now_ms: int, criteria: ReportCriteria
    ) -> tuple[str, ...]:
        oldest_ms = max(now_ms - self._ttl_ms, criteria.not_before_ms)
        pinned_incarnations = (
            criteria.pinned_incarnations if criteria.generation == record.generation else {}
        )
        missing = []
        for vm in record.members:
            received = self._received.get(vm)
            is_recent = received is not None and received.made_at_ms >= oldest_ms
            if (
                received is None
                or not is_recent
                or not _is_accepted(received.report, record, pinned_incarnations)
            ):
                missing.append(vm)
        return tuple(missing)

    def _is_outdated(
        self, report: engine.EngineReport, made_at_ms: int, known: ReceivedReport
    ) -> bool:
        if made_at_ms <= known.made_at_ms:
            return True
        is_retired = report.incarnation in self._retired.get(report.vm, ())
        return is_retired and made_at_ms - known.made_at_ms <= self._ttl_ms

    def _retire(self, vm: str, incarnation: str) -> None:
        retired = self._retired.setdefault(vm, [])
        retired.append(incarnation)
        del retired[:-MAX_RETIRED_INCARNATIONS]


def _is_accepted(
    report: engine.EngineReport, record: layout.GroupRecord, pinned_incarnations: Mapping[str, str]
) -> bool:
    is_pinned = pinned_incarnations.get(report.vm, report.incarnation) == report.incarnation
    return is_pinned and is_joined(report, record)


def is_joined(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    """Return whether a member reports that it is ready in exactly this group.

    :param report: report of the member.
    :param record: group with generation and members.
    """
    return (
        report.state in ("ready", "leaving")
        and report.group == record.group
        and report.generation == record.generation
        and report.members == record.members
        and report.model == record.model
        and report.version == record.version
        and report.adapters == record.adapters
    )
