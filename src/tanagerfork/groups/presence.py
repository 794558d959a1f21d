"""Presence: which groups are whole, by what their members report themselves."""

import dataclasses
import enum
from collections.abc import Iterable

from tanagerfork.generated import engine, layout


class GroupState(enum.StrEnum):
    """What a daemon knows of a group."""

    FORMING = "forming"
    WHOLE = "whole"
    BROKEN = "broken"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True, frozen=True)
class HeardReport:
    """A member's report and when it was made, by this daemon's clock."""

    report: engine.EngineReport
    made_at_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class GroupView:
    """A group as one daemon sees it at one time."""

    record: layout.GroupRecord
    state: GroupState
    missing: tuple[str, ...]
    report: engine.EngineReport | None
    report_age_ms: int

    @property
    def leader(self) -> str:
        """VM that takes the group's requests."""
        return self.record.members[0]


class Presence:
    """Keeps the last report of every VM and judges groups by them.

    :param ttl_ms: age past which a report no longer counts, in milliseconds.
    """

    __slots__ = ("_ttl_ms", "_heard")

    def __init__(self, ttl_ms: int) -> None:
        self._ttl_ms = ttl_ms
        self._heard: dict[str, HeardReport] = {}

    def hear(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Take a report in, unless a newer one of the same incarnation is known.

        :param report: what the member's engine says.
        :param made_at_ms: when it was asked, by this daemon's monotonic clock.
        """
        known = self._heard.get(report.vm)
        if known is not None and _is_older(report, made_at_ms, known):
            return
        self._heard[report.vm] = HeardReport(report, made_at_ms)

    def confirm(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Take in that a member said the same again later, its load aside.

        :param report: report as heard before, with the load of the later one.
        :param made_at_ms: when the later one was made, by this daemon's clock.
        """
        known = self._heard.get(report.vm)
        if known is None or made_at_ms <= known.made_at_ms:
            return
        told = (report.incarnation, report.sequence)
        if told == (known.report.incarnation, known.report.sequence):
            self._heard[report.vm] = HeardReport(report, made_at_ms)

    def forget(self, vm: str) -> None:
        """Drop what is known of a VM.

        :param vm: VM.
        """
        self._heard.pop(vm, None)

    def find_report(self, vm: str, now_ms: int) -> HeardReport | None:
        """Return a VM's last report.

        :param vm: VM.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the report, None where none counts any more.
        """
        heard = self._heard.get(vm)
        if heard is None or now_ms - heard.made_at_ms > self._ttl_ms:
            return None
        return heard

    def judge(self, record: layout.GroupRecord, now_ms: int) -> GroupView:
        """Judge one group.

        :param record: group as the layout names it.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the group with its state.
        """
        missing = tuple(vm for vm in record.members if not self._is_present(vm, record, now_ms))
        heard = self.find_report(record.members[0], now_ms)
        age_ms = now_ms - heard.made_at_ms if heard else 0
        state = GroupState.BROKEN if missing else GroupState.WHOLE
        if not missing and record.draining:
            state = GroupState.DRAINING
        return GroupView(record, state, missing, heard.report if heard else None, age_ms)

    def judge_all(self, records: Iterable[layout.GroupRecord], now_ms: int) -> list[GroupView]:
        """Judge groups.

        :param records: groups as the layout names them.
        :param now_ms: monotonic clock, in milliseconds.
        :return: the groups with their states.
        """
        return [self.judge(record, now_ms) for record in records]

    def _is_present(self, vm: str, record: layout.GroupRecord, now_ms: int) -> bool:
        heard = self.find_report(vm, now_ms)
        if heard is None:
            return False
        report = heard.report
        return (
            report.state == "ready"
            and report.group == record.group
            and report.generation == record.generation
            and report.members == record.members
        )


def _is_older(report: engine.EngineReport, made_at_ms: int, known: HeardReport) -> bool:
    if report.incarnation == known.report.incarnation:
        return report.sequence < known.report.sequence
    return made_at_ms <= known.made_at_ms
