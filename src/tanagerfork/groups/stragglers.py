"""Stragglers: VMs whose decoding steps are much slower than those of their peers."""

import collections
import statistics
from collections.abc import Iterable

from tanagerfork.generated import engine

REPORTS_NEEDED = 5  # Reports in a row that must show a VM to be slow.
SLOW_RATIO = 2.0  # Step time, as a multiple of the peers' median, that counts as slow.
PEERS_NEEDED = 3  # Peers without which there is nothing to compare with.
HOLD_MS = 600_000  # Time for which a straggler is used in no group.


class StragglerWatch:
    """Compares the step times of VMs that run the same model.

    The members of a group wait for each other, so an engine may report the slowness of another
    one. Where several members of a group are slow, only one that is slow against these too counts.
    """

    __slots__ = ("_sequences", "_slow_reports", "_held_until_ms")

    def __init__(self) -> None:
        self._sequences: dict[str, tuple[str, int]] = {}
        self._slow_reports: collections.Counter[str] = collections.Counter()
        self._held_until_ms: dict[str, int] = {}

    def find_stragglers(self, reports: Iterable[engine.EngineReport], now_ms: int) -> set[str]:
        """Take in the reports that count, and return the VMs that straggle.

        :param reports: last report of each VM.
        :param now_ms: monotonic clock, in milliseconds.
        :return: VMs that groups should go on without.
        """
        running = [report for report in reports if report.state == "ready" and report.step_ms > 0]
        by_model: dict[str, list[engine.EngineReport]] = collections.defaultdict(list)
        for report in running:
            by_model[report.model].append(report)
        for peers in by_model.values():
            self._compare(peers, now_ms)
        seen = {report.vm for report in running}
        for vm in self._slow_reports.keys() - seen:
            del self._slow_reports[vm]
        held = self._held_until_ms.items()
        self._held_until_ms = {vm: until_ms for vm, until_ms in held if until_ms > now_ms}
        return set(self._held_until_ms)

    def _compare(self, peers: list[engine.EngineReport], now_ms: int) -> None:
        if len(peers) <= PEERS_NEEDED:
            return
        median_ms = statistics.median(report.step_ms for report in peers)
        slow = [report for report in peers if report.step_ms >= SLOW_RATIO * median_ms]
        singled_out = {report.vm for report in slow if _is_slowest(report, slow)}
        for report in peers:
            if self._sequences.get(report.vm) == (report.incarnation, report.sequence):
                continue
            self._sequences[report.vm] = (report.incarnation, report.sequence)
            if report.vm not in singled_out:
                self._slow_reports.pop(report.vm, None)
                continue
            self._slow_reports[report.vm] += 1
            if self._slow_reports[report.vm] >= REPORTS_NEEDED:
                self._held_until_ms[report.vm] = now_ms + HOLD_MS


def _is_slowest(report: engine.EngineReport, slow: list[engine.EngineReport]) -> bool:
    others = [other for other in slow if other.group == report.group and other.vm != report.vm]
    return all(report.step_ms >= SLOW_RATIO * other.step_ms for other in others)
