"""Facts: the observed state of VMs and groups that the coordinator plans with."""

import dataclasses
from collections.abc import Collection

from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import engine, layout
from tanagerfork.groups import directory, presence
from tanagerfork.timeline import kinds

LOST_AFTER_TTLS = 2  # Silence, in presence TTLs, after which a VM is considered lost.
LOST_IF_MISSED_AFTER_TTLS = 1  # The same, if all other members of its group miss it too.


@dataclasses.dataclass(slots=True, frozen=True)
class VmFact:
    """Observed state of a VM.

    :param entry: the VM as listed by the platform.
    :param report: its last valid report, None if there is none.
    :param is_lost: whether it has been silent for so long that it has to be replaced.
    :param is_leaving: whether it is about to be stopped or removed.
    :param is_straggling: whether it is much slower than its peers, or isolated from them.
    :param reported_at_ms: time at which the report was requested, on this daemon's clock.
    """

    entry: engine.VmEntry
    report: engine.EngineReport | None
    is_lost: bool = False
    is_leaving: bool = False
    is_straggling: bool = False
    reported_at_ms: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the VM reports and is not leaving."""
        return self.report is not None and not self.is_leaving

    @property
    def is_usable(self) -> bool:
        """Whether the VM is suitable as a member of a group."""
        return self.is_running and not self.is_straggling

    def is_warm(self, record: layout.GroupRecord) -> bool:
        """Return whether the VM has loaded, or is loading, the model that a group runs.

        :param record: group.
        """
        return self.report is not None and matches_model(self.report, record)


@dataclasses.dataclass(slots=True)
class Situation:
    """State of a failure domain that one plan of the coordinator is based on."""

    now_ms: int
    layout: layout.Layout
    bundle: bundle_records.Bundle
    bundle_version: int
    fencing: int
    vms: dict[str, VmFact]
    views: dict[str, presence.GroupView]

    def is_up(self, group: str) -> bool:
        """Return whether a group runs requests, draining or not.

        :param group: name of the group.
        """
        view = self.views.get(group)
        states = (presence.GroupState.WHOLE, presence.GroupState.DRAINING)
        return view is not None and view.state in states

    def find_model(self, name: str) -> bundle_records.Model | None:
        """Return a model of the bundle, None if the bundle does not contain it.

        :param name: name of the model.
        """
        return next((model for model in self.bundle.models if model.name == name), None)

    def count_wanted_groups(self, model: bundle_records.Model) -> tuple[int, int]:
        """Return how many groups the bundle asks for here, and how many surplus groups it allows.

        :param model: model of the bundle.
        """
        placed = [
            item for item in model.placement if item.failure_domain == self.layout.failure_domain
        ]
        return sum(item.groups for item in placed), sum(item.surplus_groups for item in placed)


@dataclasses.dataclass(slots=True, frozen=True)
class LayoutEvent:
    """Timeline event that describes a change of the layout."""

    kind: kinds.EventKind
    group: str
    detail: str


def matches_model(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    """Return whether a VM has loaded, or is loading, the model that a group runs.

    :param report: report of the VM.
    :param record: group.
    """
    return (report.model, report.version, report.adapters) == (
        record.model,
        record.version,
        record.adapters,
    )


def observe_vms(
    known: directory.GroupDirectory, now_ms: int, since_ms: int, straggling: Collection[str]
) -> dict[str, VmFact]:
    """Return the facts about all VMs of a failure domain.

    :param known: directory of the groups and VMs.
    :param now_ms: monotonic clock, in milliseconds.
    :param since_ms: time at which this daemon began to listen for reports.
    :param straggling: names of the VMs that are stragglers.
    :return: facts by VM.
    """
    missed = _find_missed_by_peers(known, now_ms)
    found = {}
    for entry in known.vms:
        received = known.presence.find_report(entry.vm, now_ms)
        silence_ms = known.presence.measure_silence(entry.vm, now_ms, since_ms)
        lost_after_ttls = LOST_IF_MISSED_AFTER_TTLS if entry.vm in missed else LOST_AFTER_TTLS
        found[entry.vm] = VmFact(
            entry=entry,
            report=received.report if received else None,
            is_lost=received is None and silence_ms >= lost_after_ttls * known.presence.ttl_ms,
            is_leaving=known.is_leaving(entry.vm, now_ms),
            is_straggling=entry.vm in straggling,
            reported_at_ms=received.made_at_ms if received else 0,
        )
    return found


def _find_missed_by_peers(known: directory.GroupDirectory, now_ms: int) -> set[str]:
    """Return the members that none of their group's reports lists, if there are at least two."""
    missed = set()
    for record in known.layout.groups if known.layout else []:
        reports = [
            report
            for report in known.presence.find_group_reports(record, now_ms)
            if (report.group, report.generation) == (record.group, record.generation)
        ]
        if len(reports) > 1:
            seen = {vm for report in reports for vm in report.members}
            missed |= set(record.members) - seen
    return missed
