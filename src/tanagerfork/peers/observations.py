"""Observations: members' reports, read by two daemons a group and told to all others."""

import dataclasses
import functools
from collections.abc import Iterable, Sequence
from typing import Protocol

import msgspec
import xxhash

from tanagerfork.generated import engine, layout, peers
from tanagerfork.peers import dissemination
from tanagerfork.peers import topic as topic_interfaces

REFRESH_BYTES = 14
REFRESH_SENDS = 3  # How often the same age of a group is told.
REPORT_BYTES = 60
GROUPS_OWED = 4  # Groups whose reports one message answers with.
WANT_INTERVAL_MS = 500
LEAST_STEP_MS = 500  # A group is told again once its reports are younger by this.
CHANGE_ROOM_BYTES = 1200  # Changes are rare and urgent, so that they may exceed the usual size.
SENDS_PER_DOUBLING = 2
PRESENT_SHARE = 3  # A report older than the group's newest by this part of the TTL is missing.


class Reports(Protocol):
    """Where reports are kept and judged."""

    def hear(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Take a report in.

        :param report: what the member's engine says.
        :param made_at_ms: when it was made at the latest, by this daemon's clock.
        """

    def confirm(self, report: engine.EngineReport, made_at_ms: int) -> None:
        """Take in that a member said the same again later, its load aside.

        :param report: known report, with the load of the later one.
        :param made_at_ms: when the later one was made, by this daemon's clock.
        """


@dataclasses.dataclass(slots=True)
class _Known:
    report: engine.EngineReport
    digest: int
    made_at_ms: int


@dataclasses.dataclass(slots=True)
class _Unit:
    """One group with its reserves, as the messages name it by its place in the layout."""

    index: int
    vms: tuple[str, ...]
    told_made_at_ms: int | None = None
    sends: int = 0
    wanted_at_ms: int | None = None


class ObservationTopic:
    """Tells reports when they change, and briefly that they did not.

    :param reports: where reports are kept and judged.
    :param ttl_ms: age past which a report no longer counts, in milliseconds.
    """

    __slots__ = (
        "peers",
        "_reports",
        "_ttl_ms",
        "_known",
        "_units",
        "_unit_of_vm",
        "_serial",
        "_deltas",
        "_owed",
        "_wants",
        "_decoder",
    )

    def __init__(self, reports: Reports, ttl_ms: int) -> None:
        self.peers = 1
        self._reports = reports
        self._ttl_ms = ttl_ms
        self._known: dict[str, _Known] = {}
        self._units: list[_Unit] = []
        self._unit_of_vm: dict[str, int] = {}
        self._serial = -1
        self._deltas = dissemination.DeltaQueue(SENDS_PER_DOUBLING)
        self._owed: dict[str, set[int]] = {}
        self._wants: dict[str, set[int]] = {}
        self._decoder = msgspec.json.Decoder(engine.EngineReport)

    def follow(self, current: layout.Layout | None) -> None:
        """Name groups by their place in this layout from now on.

        :param current: layout in force, None where none is known.
        """
        if current is None or current.serial == self._serial:
            return
        self._serial = current.serial
        self._units = [
            _Unit(index, (*group.members, *group.reserves))
            for index, group in enumerate(current.groups)
        ]
        self._unit_of_vm = {vm: unit.index for unit in self._units for vm in unit.vms}
        self._owed.clear()
        self._wants.clear()

    def keep(self, vms: Sequence[str]) -> None:
        """Forget all VMs but these.

        :param vms: VMs of the failure domain.
        """
        kept = set(vms)
        self._known = {vm: known for vm, known in self._known.items() if vm in kept}

    def find_group(self, vm: str) -> int | None:
        """Return the place of a VM's group in the layout, None for a VM in no group.

        :param vm: VM.
        """
        return self._unit_of_vm.get(vm)

    def measure_age(self, vm: str, now_ms: int) -> int | None:
        """Return the age of what is known of a VM, in milliseconds; None for nothing.

        :param vm: VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._known.get(vm)
        return None if known is None else now_ms - known.made_at_ms

    def note_own(self, report: engine.EngineReport, made_at_ms: int) -> bool:
        """Take in what this daemon read from a member itself.

        :param report: report.
        :param made_at_ms: when it was asked for, by this daemon's clock.
        :return: whether the member says something else than before.
        """
        known = self._known.get(report.vm)
        if known is not None and _is_repeated(report, known.report):
            return False  # An engine that repeats itself proves nothing of the present.
        return self._keep_report(report, made_at_ms)

    def fill(
        self,
        message: peers.PeerMessage,
        receiver: topic_interfaces.Receiver,
        room_bytes: int,
        now_ms: int,
    ) -> int:
        """Put reports and refreshes on a message; see `Topic.fill`."""
        if receiver.is_foreign:
            return 0
        started_bytes = room_bytes
        message.wanted = sorted(self._wants.pop(receiver.name, ()))
        for index in sorted(self._owed.pop(receiver.name, ()))[:GROUPS_OWED]:
            for vm in self._units[index].vms:
                room_bytes -= self._tell_report(message, vm, now_ms)
        if started_bytes > 0 or message.kind in ("gossip", "ack"):
            for vm in self._deltas.take(CHANGE_ROOM_BYTES, self.peers):
                room_bytes -= self._tell_report(message, vm, now_ms)
        if room_bytes >= REFRESH_BYTES:
            for unit in self._choose_units(room_bytes // REFRESH_BYTES, now_ms):
                self._tell_refresh(message, unit, now_ms)
                room_bytes -= REFRESH_BYTES
        return started_bytes - room_bytes

    def take(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Take reports and refreshes in; see `Topic.take`."""
        for observation in message.observations:
            self._take_report(observation, now_ms - delay_ms - observation.age_ms)
        if message.layout_serial != self._serial:
            return
        for refresh in message.refreshes:
            if refresh.index < len(self._units):
                made_at_ms = now_ms - delay_ms - refresh.age_ms
                self._take_refresh(message.sender, refresh, made_at_ms, now_ms)
        usable = {index for index in message.wanted if 0 <= index < len(self._units)}
        if usable:
            self._owed.setdefault(message.sender, set()).update(usable)

    def _keep_report(self, report: engine.EngineReport, made_at_ms: int) -> bool:
        digest = digest_report(report)
        known = self._known.get(report.vm)
        self._known[report.vm] = _Known(report, digest, made_at_ms)
        if known is None or known.digest == digest:
            return False  # Peers that lack a first report ask for it once a refresh names it.
        self._deltas.offer(report.vm, REPORT_BYTES + len(msgspec.json.encode(report)))
        return True

    def _tell_report(self, message: peers.PeerMessage, vm: str, now_ms: int) -> int:
        known = self._known.get(vm)
        if known is None or now_ms - known.made_at_ms > self._ttl_ms:
            return 0
        encoded = msgspec.json.encode(known.report).decode()
        age_ms = max(0, now_ms - known.made_at_ms)
        message.observations.append(peers.Observation(age_ms=age_ms, report_json=encoded))
        return len(encoded)

    def _choose_units(self, count: int, now_ms: int) -> list[_Unit]:
        """Return the groups whose news was told least often, the youngest first."""
        changed: list[tuple[int, int, _Unit]] = []
        for unit in self._units:
            made_at_ms = self._find_oldest(unit, now_ms)
            if made_at_ms is None:
                continue
            told_ms = unit.told_made_at_ms
            if told_ms is None or made_at_ms >= told_ms + LEAST_STEP_MS:
                unit.told_made_at_ms, unit.sends = made_at_ms, 0
            if unit.sends < REFRESH_SENDS:
                changed.append((unit.sends, now_ms - made_at_ms, unit))
        changed.sort(key=lambda item: item[:2])
        return [unit for _, _, unit in changed[:count]]

    def _find_present(self, unit: _Unit, now_ms: int) -> list[tuple[int, _Known]]:
        """Return the VMs that still report, so that one which ceased does not age the others."""
        found = [(bit, self._known[vm]) for bit, vm in enumerate(unit.vms) if vm in self._known]
        newest_ms = max((known.made_at_ms for _, known in found), default=0)
        least_ms = max(now_ms - self._ttl_ms, newest_ms - self._ttl_ms // PRESENT_SHARE)
        return [(bit, known) for bit, known in found if known.made_at_ms >= least_ms]

    def _find_oldest(self, unit: _Unit, now_ms: int) -> int | None:
        made_at_ms = [known.made_at_ms for _, known in self._find_present(unit, now_ms)]
        return min(made_at_ms, default=None)

    def _tell_refresh(self, message: peers.PeerMessage, unit: _Unit, now_ms: int) -> None:
        present = self._find_present(unit, now_ms)
        made_at_ms = min(known.made_at_ms for _, known in present)
        unit.sends += 1
        leader = present[0][1].report
        message.refreshes.append(
            peers.GroupRefresh(
                index=unit.index,
                digest=join_digests(known.digest for _, known in present),
                present=functools.reduce(lambda bits, item: bits | 1 << item[0], present, 0),
                age_ms=max(0, now_ms - made_at_ms),
                running=leader.running,
                waiting=leader.waiting,
            )
        )

    def _take_report(self, observation: peers.Observation, made_at_ms: int) -> None:
        try:
            report = self._decoder.decode(observation.report_json)
        except msgspec.MsgspecError:
            return
        known = self._known.get(report.vm)
        if known is not None:
            if _is_repeated(report, known.report):
                return
            is_same_run = known.report.incarnation == report.incarnation
            if not is_same_run and made_at_ms <= known.made_at_ms:
                return
        self._keep_report(report, made_at_ms)
        self._reports.hear(report, made_at_ms)

    def _take_refresh(
        self, sender: str, refresh: peers.GroupRefresh, made_at_ms: int, now_ms: int
    ) -> None:
        unit = self._units[refresh.index]
        vms = [vm for bit, vm in enumerate(unit.vms) if refresh.present >> bit & 1]
        if not vms or now_ms - made_at_ms > self._ttl_ms:
            return
        known = [self._known[vm] for vm in vms if vm in self._known]
        if len(known) < len(vms) or join_digests(item.digest for item in known) != refresh.digest:
            self._want(sender, unit, now_ms)
            return
        for place, item in enumerate(known):
            if made_at_ms > item.made_at_ms:
                if place == 0:
                    item.report = msgspec.structs.replace(
                        item.report, running=refresh.running, waiting=refresh.waiting
                    )
                item.made_at_ms = made_at_ms
                self._reports.confirm(item.report, made_at_ms)

    def _want(self, sender: str, unit: _Unit, now_ms: int) -> None:
        if unit.wanted_at_ms is None or now_ms - unit.wanted_at_ms >= WANT_INTERVAL_MS:
            unit.wanted_at_ms = now_ms
            self._wants.setdefault(sender, set()).add(unit.index)


def digest_report(report: engine.EngineReport) -> int:
    """Return a hash of what a member says, its load, sequence and speed aside.

    :param report: report.
    """
    said = (
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
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(said))


def join_digests(digests: Iterable[int]) -> int:
    """Return one hash of several.

    :param digests: hashes, in the order of the group's VMs.
    """
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(list(digests)))


def _is_repeated(report: engine.EngineReport, known: engine.EngineReport) -> bool:
    return report.incarnation == known.incarnation and report.sequence <= known.sequence
