"""Facts: what a coordinator decides on."""

import dataclasses
from collections.abc import Collection

from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import engine, layout
from tanagerfork.groups import directory, presence
from tanagerfork.timeline import kinds

LOST_AFTER_TTLS = 2  # Silence, in presence TTLs, after which a VM counts as lost.
LOST_IF_MISSED_AFTER_TTLS = 1  # The same, where the other members of its group have lost it too.


@dataclasses.dataclass(slots=True, frozen=True)
class VmFact:
    """What is known of one VM.

    :param entry: the VM as the platform lists it.
    :param report: its last report that counts, None where there is none.
    :param is_lost: whether it was silent for so long that it is replaced.
    :param is_leaving: whether it is about to go.
    :param is_straggling: whether it is much slower than its peers.
    """

    entry: engine.VmEntry
    report: engine.EngineReport | None
    is_lost: bool = False
    is_leaving: bool = False
    is_straggling: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the VM reports itself and stays."""
        return self.report is not None and not self.is_leaving

    @property
    def is_usable(self) -> bool:
        """Whether a group should take the VM as a member."""
        return self.is_running and not self.is_straggling

    def is_warm(self, record: layout.GroupRecord) -> bool:
        """Return whether the VM has loaded what a group runs.

        :param record: group.
        """
        return self.report is not None and matches_model(self.report, record)


@dataclasses.dataclass(slots=True)
class Situation:
    """All that one decision of the coordinator rests on."""

    now_ms: int
    layout: layout.Layout
    bundle: bundle_records.Bundle
    bundle_version: int
    fencing: int
    vms: dict[str, VmFact]
    views: dict[str, presence.GroupView]

    def is_up(self, group: str) -> bool:
        """Return whether a group runs requests, draining or not.

        :param group: group.
        """
        view = self.views.get(group)
        states = (presence.GroupState.WHOLE, presence.GroupState.DRAINING)
        return view is not None and view.state in states

    def find_model(self, name: str) -> bundle_records.Model | None:
        """Return a model of the bundle, None where it is not in it.

        :param name: name of the model.
        """
        return next((model for model in self.bundle.models if model.name == name), None)

    def count_wanted_groups(self, model: bundle_records.Model) -> tuple[int, int]:
        """Return how many groups the bundle wants here, and how many it allows beyond these.

        :param model: model of the bundle.
        """
        placed = [
            item for item in model.placement if item.failure_domain == self.layout.failure_domain
        ]
        return sum(item.groups for item in placed), sum(item.surplus_groups for item in placed)


@dataclasses.dataclass(slots=True, frozen=True)
class LayoutEvent:
    """A change of the layout for the time line."""

    kind: kinds.EventKind
    group: str
    detail: str


def matches_model(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    """Return whether a VM has loaded, or is loading, what a group runs.

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
    """Gather what is known of the VMs of a failure domain.

    :param known: groups and VMs.
    :param now_ms: monotonic clock, in milliseconds.
    :param since_ms: when this daemon began to listen for the VMs.
    :param straggling: VMs found to straggle.
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
        )
    return found


def _find_missed_by_peers(known: directory.GroupDirectory, now_ms: int) -> set[str]:
    """Return the members that the reports of all other members of their group leave out."""
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
