"""Leaving VMs: the earliest word that a VM leaves is the one that counts."""

from collections.abc import Callable, Iterable, Sequence

from tanagerfork.generated import engine
from tanagerfork.groups import presence
from tanagerfork.routing import fleet as fleets

LEAVING_TTL_MS = 30_000
SCAN_INTERVAL_MS = 200


class LeavingVms:
    """Remembers which VMs leave, by the platform's list, their own reports and peers.

    A word is kept for `LEAVING_TTL_MS` after it was last heard, so that a source that lags behind
    does not take it back.

    :param find_vm: returns a VM of the platform's list.
    :param fleet: the other daemons.
    """

    __slots__ = ("_find_vm", "_fleet", "_heard", "_seen", "_scanned_at_ms")

    def __init__(
        self, find_vm: Callable[[str], engine.VmEntry | None], fleet: fleets.Fleet
    ) -> None:
        self._find_vm = find_vm
        self._fleet = fleet
        self._heard: dict[str, int] = {}
        self._seen: dict[str, int] = {}
        self._scanned_at_ms = -SCAN_INTERVAL_MS

    def note(self, vms: Iterable[str], now_ms: int) -> None:
        """Note that VMs leave.

        :param vms: VMs.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for vm in vms:
            self._heard[vm] = now_ms

    def take_fresh(self, now_ms: int) -> list[str]:
        """Return the VMs that this daemon itself saw leaving and that the peers are to be told of.

        :param now_ms: monotonic clock, in milliseconds.
        :return: each VM once in `LEAVING_TTL_MS`, so that peers do not repeat each other's words.
        """
        fresh = [vm for vm, at in self._seen.items() if at >= 0]
        self._seen = {vm: -now_ms - 1 for vm in fresh} | {
            vm: at for vm, at in self._seen.items() if at < 0 and now_ms + at < LEAVING_TTL_MS
        }
        return fresh

    def keep_staying(
        self, views: Sequence[presence.GroupView], now_ms: int
    ) -> list[presence.GroupView]:
        """Return the groups of which no member leaves.

        :param views: whole groups.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if now_ms - self._scanned_at_ms >= SCAN_INTERVAL_MS:
            self._scanned_at_ms = now_ms
            self.note(self._fleet.leaving_vms(), now_ms)
            for view in views:
                self._note_group(view, now_ms)
        if not self._heard:
            return list(views)
        self._heard = {vm: at for vm, at in self._heard.items() if now_ms - at <= LEAVING_TTL_MS}
        leaving = set(self._heard)
        return [view for view in views if leaving.isdisjoint(view.record.members)]

    def _note_group(self, view: presence.GroupView, now_ms: int) -> None:
        if view.report is not None and view.report.state == "leaving":
            self._see(view.leader, now_ms)
        for vm in view.record.members:
            entry = self._find_vm(vm)
            if entry is not None and entry.leaving:
                self._see(vm, now_ms)

    def _see(self, vm: str, now_ms: int) -> None:
        self._heard[vm] = now_ms
        self._seen.setdefault(vm, now_ms)
