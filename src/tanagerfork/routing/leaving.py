"""Leaving VMs: a VM counts as leaving from the earliest report by any source."""

from collections.abc import Callable, Iterable, Sequence

from tanagerfork.generated import engine
from tanagerfork.groups import presence
from tanagerfork.routing import fleet as fleets

LEAVING_TTL_MS = 30_000
SCAN_INTERVAL_MS = 200


class LeavingVms:
    """Tracks leaving VMs, as reported by the platform's list, the VMs themselves and peers.

    A VM stays leaving until `LEAVING_TTL_MS` after the last report, so that a source that lags
    behind does not revoke it.

    :param find_vm: returns the entry of a VM in the platform's list.
    :param fleet: the other daemons.
    """

    __slots__ = ("_find_vm", "_fleet", "_last_reported_at_ms", "_sightings", "_scanned_at_ms")

    def __init__(
        self, find_vm: Callable[[str], engine.VmEntry | None], fleet: fleets.Fleet
    ) -> None:
        self._find_vm = find_vm
        self._fleet = fleet
        self._last_reported_at_ms: dict[str, int] = {}
        # By VM: when this daemon itself saw it leaving, or -1 minus the time of its announcement.
        self._sightings: dict[str, int] = {}
        self._scanned_at_ms = -SCAN_INTERVAL_MS

    def record_leaving(self, vms: Iterable[str], now_ms: int) -> None:
        """Record that VMs are leaving.

        :param vms: VMs.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for vm in vms:
            self._last_reported_at_ms[vm] = now_ms

    def take_unannounced(self, now_ms: int) -> list[str]:
        """Return the VMs that this daemon itself saw leaving and has to announce to the peers.

        :param now_ms: monotonic clock, in milliseconds.
        :return: VMs, each at most once in `LEAVING_TTL_MS`; reports of peers are not repeated.
        """
        unannounced = [vm for vm, at in self._sightings.items() if at >= 0]
        self._sightings = {vm: -now_ms - 1 for vm in unannounced} | {
            vm: at for vm, at in self._sightings.items() if at < 0 and now_ms + at < LEAVING_TTL_MS
        }
        return unannounced

    def exclude_leaving(
        self, views: Sequence[presence.GroupView], now_ms: int
    ) -> list[presence.GroupView]:
        """Return the groups without a leaving member.

        :param views: whole groups.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if now_ms - self._scanned_at_ms >= SCAN_INTERVAL_MS:
            self._scanned_at_ms = now_ms
            self.record_leaving(self._fleet.leaving_vms(), now_ms)
            for view in views:
                self._scan_group(view, now_ms)
        if not self._last_reported_at_ms:
            return list(views)
        self._last_reported_at_ms = {
            vm: at for vm, at in self._last_reported_at_ms.items() if now_ms - at <= LEAVING_TTL_MS
        }
        leaving = set(self._last_reported_at_ms)
        return [view for view in views if leaving.isdisjoint(view.record.members)]

    def _scan_group(self, view: presence.GroupView, now_ms: int) -> None:
        if view.report is not None and view.report.state == "leaving":
            self._record_sighting(view.leader, now_ms)
        for vm in view.record.members:
            entry = self._find_vm(vm)
            if entry is not None and entry.leaving:
                self._record_sighting(vm, now_ms)

    def _record_sighting(self, vm: str, now_ms: int) -> None:
        self._last_reported_at_ms[vm] = now_ms
        self._sightings.setdefault(vm, now_ms)
