"""Observations: reports of members, read by two daemons per group and sent to all others."""

import dataclasses
import functools
from collections.abc import Iterable, Sequence
from typing import Protocol

import msgspec
import xxhash

from tanagerfork import decoding
from tanagerfork.generated import engine, layout, peers
from tanagerfork.peers import dissemination
from tanagerfork.peers import topic as topic_interfaces

REFRESH_BYTES = 14  # Estimated size of a refresh.
MAX_REFRESH_SENDS = 3  # Sends of a refresh with the same age.
REPORT_BYTES = 60  # Estimated overhead of a report.
MAX_GROUPS_PER_REPLY = 4  # Groups whose requested reports fit in one message.
MIN_REQUEST_INTERVAL_MS = 500
MIN_REFRESH_STEP_MS = 500  # Reports have to be newer by this for another refresh.
CHANGE_BUDGET_BYTES = 1200  # Changes are rare and urgent, so they may exceed the usual size.
SENDS_PER_DOUBLING = 2
PRESENT_TTL_DIVISOR = 3  # A report older than the newest by TTL / 3 counts as missing.


class Reports(Protocol):
    """Stores and evaluates reports."""

    def add_report(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Record a report.

        :param report: report of the member's engine.
        :param made_at_ms: earliest time that it can have been made, by this daemon's clock.
        """

    def refresh_report(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Record that a later report of a member differs in its load at most.

        :param report: known report, with the load of the later one.
        :param made_at_ms: when the later one was made, by this daemon's clock.
        """


@dataclasses.dataclass(slots=True)
class _KnownReport:
    report: engine.EngineReport
    digest: int
    made_at_ms: int


@dataclasses.dataclass(slots=True)
class _GroupState:
    """A group with its reserves; messages refer to it by its index in the layout."""

    index: int
    vms: tuple[str, ...]
    sent_made_at_ms: int | None = None
    send_count: int = 0
    requested_at_ms: int | None = None


class ObservationTopic:
    """Sends reports that changed, and short refreshes of those that did not.

    :param reports: stores and evaluates reports.
    :param ttl_ms: age past which a report is ignored, in milliseconds.
    """

    __slots__ = (
        "peer_count",
        "_reports",
        "_ttl_ms",
        "_known",
        "_group_states",
        "_group_index_by_vm",
        "_serial",
        "_deltas",
        "_requested_by_peer",
        "_requests_to_peer",
        "_decoder",
    )

    def __init__(self, reports: Reports, ttl_ms: int) -> None:
        self.peer_count = 1
        self._reports = reports
        self._ttl_ms = ttl_ms
        self._known: dict[str, _KnownReport] = {}
        self._group_states: list[_GroupState] = []
        self._group_index_by_vm: dict[str, int] = {}
        self._serial = -1
        self._deltas = dissemination.DeltaQueue(SENDS_PER_DOUBLING)
        self._requested_by_peer: dict[str, set[int]] = {}
        self._requests_to_peer: dict[str, set[int]] = {}
        self._decoder = msgspec.json.Decoder(engine.EngineReport)

    def set_layout(self, current: layout.Layout | None) -> None:
        """Set the layout whose indexes identify the groups.

        :param current: layout in force, None if unknown.
        """
        if current is None or current.serial == self._serial:
            return
        self._serial = current.serial
        self._group_states = [
            _GroupState(index, (*record.members, *record.reserves))
            for index, record in enumerate(current.groups)
        ]
        self._group_index_by_vm = {
            vm: group.index for group in self._group_states for vm in group.vms
        }
        self._requested_by_peer.clear()
        self._requests_to_peer.clear()

    def retain_vms(self, vms: Sequence[str]) -> None:
        """Remove the reports of all other VMs.

        :param vms: VMs of the failure domain.
        """
        kept = set(vms)
        self._known = {vm: known for vm, known in self._known.items() if vm in kept}

    def find_group_index(self, vm: str) -> int | None:
        """Return the index of a VM's group in the layout, None for a VM without a group.

        :param vm: VM.
        """
        return self._group_index_by_vm.get(vm)

    def measure_age(self, vm: str, now_ms: int) -> int | None:
        """Return the age of a VM's report in milliseconds, None if there is no report.

        :param vm: VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._known.get(vm)
        return None if known is None else now_ms - known.made_at_ms

    def record_own_report(self, report: engine.EngineReport, made_at_ms: int) -> bool:
        """Record a report that this daemon read from a member.

        :param report: report.
        :param made_at_ms: when it was requested, by this daemon's clock.
        :return: whether it differs from a known report in more than load.
        """
        known = self._known.get(report.vm)
        if known is not None and _is_repeated(report, known.report):
            return False  # A repeated report says nothing about the current state.
        return self._store_report(report, made_at_ms)

    def fill(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        budget_bytes: int,
        now_ms: int,
    ) -> int:
        """Add reports and refreshes to a message; see `Topic.fill`."""
        if receiver.is_foreign:
            return 0
        started_bytes = budget_bytes
        message.wanted = sorted(self._requests_to_peer.pop(receiver.name, ()))
        for index in sorted(self._requested_by_peer.pop(receiver.name, ()))[:MAX_GROUPS_PER_REPLY]:
            for vm in self._group_states[index].vms:
                budget_bytes -= self._add_report(message, vm, now_ms)
        if started_bytes > 0 or message.kind in ("gossip", "ack"):
            for vm in self._deltas.next_batch(CHANGE_BUDGET_BYTES, self.peer_count):
                budget_bytes -= self._add_report(message, vm, now_ms)
        if budget_bytes >= REFRESH_BYTES:
            for group in self._choose_groups(budget_bytes // REFRESH_BYTES, now_ms):
                self._add_refresh(message, group, now_ms)
                budget_bytes -= REFRESH_BYTES
        return started_bytes - budget_bytes

    def apply(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Apply reports, refreshes and requests for reports; see `Topic.apply`."""
        for observation in message.observations:
            self._apply_report(observation, now_ms - delay_ms - observation.age_ms)
        if message.layout_serial != self._serial:
            return
        for refresh in message.refreshes:
            if refresh.index < len(self._group_states):
                made_at_ms = now_ms - delay_ms - refresh.age_ms
                self._apply_refresh(message.sender, refresh, made_at_ms, now_ms)
        usable = {index for index in message.wanted if 0 <= index < len(self._group_states)}
        if usable:
            self._requested_by_peer.setdefault(message.sender, set()).update(usable)

    def _store_report(self, report: engine.EngineReport, made_at_ms: int) -> bool:
        digest = digest_report(report)
        known = self._known.get(report.vm)
        self._known[report.vm] = _KnownReport(report, digest, made_at_ms)
        if known is None or known.digest == digest:
            return False  # Peers without a first report request it after a refresh.
        self._deltas.add(report.vm, REPORT_BYTES + len(msgspec.json.encode(report)))
        return True

    def _add_report(self, message: peers.PeerMessage, vm: str, now_ms: int) -> int:
        known = self._known.get(vm)
        if known is None or now_ms - known.made_at_ms > self._ttl_ms:
            return 0
        encoded = msgspec.json.encode(known.report).decode()
        age_ms = max(0, now_ms - known.made_at_ms)
        message.observations.append(peers.Observation(age_ms=age_ms, report_json=encoded))
        return len(encoded)

    def _choose_groups(self, count: int, now_ms: int) -> list[_GroupState]:
        """Return the groups whose refresh was sent least often, the most recent first."""
        changed: list[tuple[int, int, _GroupState]] = []
        for group in self._group_states:
            made_at_ms = self._oldest_made_at_ms(group, now_ms)
            if made_at_ms is None:
                continue
            previous_ms = group.sent_made_at_ms
            if previous_ms is None or made_at_ms >= previous_ms + MIN_REFRESH_STEP_MS:
                group.sent_made_at_ms, group.send_count = made_at_ms, 0
            if group.send_count < MAX_REFRESH_SENDS:
                changed.append((group.send_count, now_ms - made_at_ms, group))
        changed.sort(key=lambda item: item[:2])
        return [group for _, _, group in changed[:count]]

    def _find_reporting(self, group: _GroupState, now_ms: int) -> list[tuple[int, _KnownReport]]:
        """Return the VMs that still report, so that one that stopped does not age the group."""
        found = [(bit, self._known[vm]) for bit, vm in enumerate(group.vms) if vm in self._known]
        newest_ms = max((known.made_at_ms for _, known in found), default=0)
        least_ms = max(now_ms - self._ttl_ms, newest_ms - self._ttl_ms // PRESENT_TTL_DIVISOR)
        return [(bit, known) for bit, known in found if known.made_at_ms >= least_ms]

    def _oldest_made_at_ms(self, group: _GroupState, now_ms: int) -> int | None:
        made_at_ms = [known.made_at_ms for _, known in self._find_reporting(group, now_ms)]
        return min(made_at_ms, default=None)

    def _add_refresh(self, message: peers.PeerMessage, group: _GroupState, now_ms: int) -> None:
        present = self._find_reporting(group, now_ms)
        made_at_ms = min(known.made_at_ms for _, known in present)
        group.send_count += 1
        leader = present[0][1].report
        message.refreshes.append(
            peers.GroupRefresh(
                index=group.index,
                digest=combine_digests(known.digest for _, known in present),
                present=functools.reduce(lambda bits, item: bits | 1 << item[0], present, 0),
                age_ms=max(0, now_ms - made_at_ms),
                running=leader.running,
                waiting=leader.waiting,
            )
        )

    def _apply_report(self, observation: peers.Observation, made_at_ms: int) -> None:
        try:
            report = decoding.decode_with(lambda: self._decoder.decode(observation.report_json))
        except msgspec.MsgspecError:
            return
        known = self._known.get(report.vm)
        if known is not None:
            if _is_repeated(report, known.report):
                return
            is_same_run = known.report.incarnation == report.incarnation
            if not is_same_run and made_at_ms <= known.made_at_ms:
                return
        self._store_report(report, made_at_ms)
        self._reports.add_report(report, made_at_ms)

    def _apply_refresh(
        self, sender: str, refresh: peers.GroupRefresh, made_at_ms: int, now_ms: int
    ) -> None:
        group = self._group_states[refresh.index]
        vms = [vm for bit, vm in enumerate(group.vms) if refresh.present >> bit & 1]
        if not vms or now_ms - made_at_ms > self._ttl_ms:
            return
        known = [self._known[vm] for vm in vms if vm in self._known]
        if (
            len(known) < len(vms)
            or combine_digests(item.digest for item in known) != refresh.digest
        ):
            self._request_reports(sender, group, now_ms)
            return
        for position, item in enumerate(known):
            if made_at_ms > item.made_at_ms:
                if position == 0:
                    item.report = msgspec.structs.replace(
                        item.report, running=refresh.running, waiting=refresh.waiting
                    )
                item.made_at_ms = made_at_ms
                self._reports.refresh_report(item.report, made_at_ms)

    def _request_reports(self, sender: str, group: _GroupState, now_ms: int) -> None:
        if (
            group.requested_at_ms is None
            or now_ms - group.requested_at_ms >= MIN_REQUEST_INTERVAL_MS
        ):
            group.requested_at_ms = now_ms
            self._requests_to_peer.setdefault(sender, set()).add(group.index)


def digest_report(report: engine.EngineReport) -> int:
    """Return a hash of a report without its load, sequence and speed.

    :param report: report.
    """
    content = (
        report.vm,
        report.incarnation,
        report.state,
        report.group,
        report.generation,
        report.members,
        report.model,
        report.version,
        report.adapters,
        report.fencing,
    )
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(content))


def combine_digests(digests: Iterable[int]) -> int:
    """Combine several hashes into one.

    :param digests: hashes, in the order of the group's VMs.
    """
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(list(digests)))


def _is_repeated(report: engine.EngineReport, known: engine.EngineReport) -> bool:
    return report.incarnation == known.incarnation and report.sequence <= known.sequence
