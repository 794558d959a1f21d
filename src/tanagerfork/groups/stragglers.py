"""Stragglers: detects VMs that are much slower than their peers or cannot be reached by them."""

import collections
import statistics
from collections.abc import Iterable, Mapping

from tanagerfork.generated import engine, layout

MIN_CONSECUTIVE_REPORTS = 5  # Slow reports in a row that make a straggler; fast ones end it.
SLOW_RATIO = 2.0  # A step time of this multiple of the median is slow.
MIN_PEERS = 3  # Other VMs needed for a comparison.
EXCLUSION_MS = 600_000  # Time for which a detected VM is considered a straggler.
ISOLATED_AFTER_MS = 10_000  # Time for which other members must miss a VM that reports.


class StragglerDetector:
    """Detects stragglers by comparing the step times of VMs that run the same model.

    Members of a group wait for each other, so a slow member can increase the step times that the
    others report. If several members of a group are slow, only one that is also slow compared with
    the other slow members is a straggler.
    """

    __slots__ = ("_sequences", "_streaks", "_excluded_until_ms")

    def __init__(self) -> None:
        self._sequences: dict[str, tuple[str, int]] = {}
        self._streaks: collections.Counter[str] = collections.Counter()
        self._excluded_until_ms: dict[str, int] = {}

    def find_stragglers(self, reports: Iterable[engine.EngineReport], now_ms: int) -> set[str]:
        """Evaluate the reports and return the stragglers.

        :param reports: last valid report of each VM.
        :param now_ms: monotonic clock, in milliseconds.
        :return: names of the stragglers, for `EXCLUSION_MS` or until they are fast again.
        """
        running = [report for report in reports if report.state == "ready" and report.step_ms > 0]
        by_model: dict[str, list[engine.EngineReport]] = collections.defaultdict(list)
        for report in running:
            by_model[report.model].append(report)
        for peers in by_model.values():
            self._compare(peers, now_ms)
        seen = {report.vm for report in running}
        for vm in self._streaks.keys() - seen:
            del self._streaks[vm]
        excluded = self._excluded_until_ms.items()
        self._excluded_until_ms = {vm: until_ms for vm, until_ms in excluded if until_ms > now_ms}
        return set(self._excluded_until_ms)

    def _compare(self, peers: list[engine.EngineReport], now_ms: int) -> None:
        if len(peers) <= MIN_PEERS:
            return
        median_ms = statistics.median(report.step_ms for report in peers)
        slow = [report for report in peers if report.step_ms >= SLOW_RATIO * median_ms]
        singled_out = {report.vm for report in slow if _is_slowest(report, slow)}
        for report in peers:
            if self._sequences.get(report.vm) == (report.incarnation, report.sequence):
                continue
            self._sequences[report.vm] = (report.incarnation, report.sequence)
            self._count_report(report.vm, report.vm in singled_out, now_ms)

    def _count_report(self, vm: str, is_slow: bool, now_ms: int) -> None:
        """Count consecutive reports that contradict the state: fast for a straggler, else slow."""
        is_excluded = vm in self._excluded_until_ms
        if is_slow == is_excluded:
            self._streaks.pop(vm, None)
            return
        self._streaks[vm] += 1
        if self._streaks[vm] < MIN_CONSECUTIVE_REPORTS:
            return
        del self._streaks[vm]
        if is_excluded:
            del self._excluded_until_ms[vm]
        else:
            self._excluded_until_ms[vm] = now_ms + EXCLUSION_MS


def _is_slowest(report: engine.EngineReport, slow: list[engine.EngineReport]) -> bool:
    others = [other for other in slow if other.group == report.group and other.vm != report.vm]
    return all(report.step_ms >= SLOW_RATIO * other.step_ms for other in others)


class IsolationDetector:
    """Detects members that report, but prevent their group from becoming whole.

    These are members that the other members do not see, and members that are still loading long
    after another member of their group became ready.

    :param load_limit_ms: time limit for loading after the first member was ready, in milliseconds.
    """

    __slots__ = ("_load_limit_ms", "_missed_since_ms", "_loading_since_ms", "_excluded_until_ms")

    def __init__(self, load_limit_ms: int) -> None:
        self._load_limit_ms = load_limit_ms
        self._missed_since_ms: dict[str, int] = {}
        self._loading_since_ms: dict[str, int] = {}
        self._excluded_until_ms: dict[str, int] = {}

    def find_isolated(
        self,
        records: Iterable[layout.GroupRecord],
        reports: Mapping[str, engine.EngineReport],
        now_ms: int,
    ) -> set[str]:
        """Evaluate the reports and return the isolated VMs.

        :param records: groups as recorded in the layout.
        :param reports: last valid report by VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        missed = set()
        loading: set[str] = set()
        for record in records:
            joined = _find_joined(record, reports)
            missed.add(_find_most_missed(record, joined))
            loading |= _find_loading(joined)
        missed.discard("")
        self._missed_since_ms = _update_since(self._missed_since_ms, missed, now_ms)
        self._loading_since_ms = _update_since(self._loading_since_ms, loading, now_ms)
        self._exclude(self._missed_since_ms, ISOLATED_AFTER_MS, now_ms)
        self._exclude(self._loading_since_ms, self._load_limit_ms, now_ms)
        excluded = self._excluded_until_ms.items()
        self._excluded_until_ms = {vm: until_ms for vm, until_ms in excluded if until_ms > now_ms}
        return set(self._excluded_until_ms)

    def _exclude(self, since_ms: Mapping[str, int], limit_ms: int, now_ms: int) -> None:
        for vm, first_ms in since_ms.items():
            if now_ms - first_ms >= limit_ms:
                self._excluded_until_ms[vm] = now_ms + EXCLUSION_MS


def _update_since(known: Mapping[str, int], vms: Iterable[str], now_ms: int) -> dict[str, int]:
    return {vm: known.get(vm, now_ms) for vm in vms}


def _find_joined(
    record: layout.GroupRecord, reports: Mapping[str, engine.EngineReport]
) -> list[engine.EngineReport]:
    """Return the reports of a group's members, or none unless all report its generation."""
    found = [reports[vm] for vm in record.members if vm in reports]
    place = (record.group, record.generation)
    is_complete = len(found) == len(record.members)
    is_joined = all((report.group, report.generation) == place for report in found)
    return found if is_complete and is_joined else []


def _find_loading(joined: Iterable[engine.EngineReport]) -> set[str]:
    """Return the members that are loading while another one is ready."""
    by_state = collections.defaultdict(set)
    for report in joined:
        by_state[report.state].add(report.vm)
    return by_state["loading"] if by_state["ready"] else set()


def _find_most_missed(record: layout.GroupRecord, joined: Iterable[engine.EngineReport]) -> str:
    """Return the member that most others miss, at least half of them; empty if there is none."""
    missed = collections.Counter(
        vm for report in joined for vm in record.members if vm not in report.members
    )
    if not missed:
        return ""
    vm, count = max(missed.items(), key=lambda item: (item[1], item[0]))
    return vm if 2 * count >= len(record.members) - 1 else ""
