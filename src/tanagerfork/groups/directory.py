"""Directory of the groups and VMs of a failure domain, as known to one daemon."""

import dataclasses
from collections.abc import Callable

import msgspec

from tanagerfork.generated import engine, layout
from tanagerfork.groups import lifecycle, presence

UNLISTED_GRACE_MS = 10_000  # Time after which a reporting VM missing in the list is leaving.
MAX_UNLISTED_SHARE = 0.5  # A list that lacks more than this share of the VMs is not trusted.

LayoutListener = Callable[[layout.Layout], None]
ChangeListener = Callable[[presence.GroupView, presence.GroupState | None], None]


class GroupDirectory:
    """Stores the layout and the VM list, and evaluates the groups of the layout.

    The platform's list lags, so a VM that is no longer listed but still reports is kept. It is
    considered leaving after `UNLISTED_GRACE_MS`, unless the list lacks most of the VMs.

    :param known: store of the VMs' reports.
    """

    __slots__ = (
        "presence",
        "layout",
        "vms",
        "_vms_by_name",
        "_unlisted_since_ms",
        "_lifecycles",
        "_machine",
        "_listeners",
        "_layout_listeners",
        "_last_views",
    )

    def __init__(self, known: presence.Presence) -> None:
        self.presence = known
        self.layout: layout.Layout | None = None
        self.vms: list[engine.VmEntry] = []
        self._vms_by_name: dict[str, engine.VmEntry] = {}
        self._unlisted_since_ms: dict[str, int] = {}
        self._lifecycles: dict[str, lifecycle.GroupLifecycle] = {}
        self._machine = lifecycle.build_machine()
        self._listeners: list[ChangeListener] = []
        self._layout_listeners: list[LayoutListener] = []
        self._last_views: dict[str, presence.GroupView] = {}

    def subscribe(self, listener: ChangeListener) -> None:
        """Subscribe to state changes of groups.

        :param listener: called with the group and its previous state, None for a new group.
        """
        self._listeners.append(listener)

    def subscribe_layouts(self, listener: LayoutListener) -> None:
        """Subscribe to layouts.

        :param listener: called with each layout that comes into force at this daemon.
        """
        self._layout_listeners.append(listener)

    def apply_layout(self, newer: layout.Layout) -> bool:
        """Put a layout in force, unless a newer one is known.

        :param newer: layout of this failure domain.
        :return: whether it is now in force.
        """
        if self.layout is not None and layout_order(newer) < layout_order(self.layout):
            return False
        self.layout = newer
        for listener in self._layout_listeners:
            listener(newer)
        return True

    def update_vms(self, vms: list[engine.VmEntry], now_ms: int = 0) -> None:
        """Update the VMs from the platform's list.

        :param vms: listed VMs of this failure domain.
        :param now_ms: monotonic clock, in milliseconds.
        """
        listed = {vm.vm: vm for vm in vms}
        kept = [
            vm
            for name, vm in self._vms_by_name.items()
            if name not in listed and self.is_reporting(name, now_ms)
        ]
        is_plausible = len(kept) <= MAX_UNLISTED_SHARE * len(self._vms_by_name)
        since_ms = {
            vm.vm: self._unlisted_since_ms.get(vm.vm, now_ms) if is_plausible else now_ms
            for vm in kept
        }
        self._unlisted_since_ms = since_ms
        for vm in kept:
            if now_ms - since_ms[vm.vm] >= UNLISTED_GRACE_MS:
                vm = msgspec.structs.replace(vm, leaving=True)
            listed[vm.vm] = vm
        self._vms_by_name = listed
        self.vms = list(listed.values())

    def find_vm(self, vm: str) -> engine.VmEntry | None:
        """Return a known VM, None if there is none of that name.

        :param vm: name of the VM.
        """
        return self._vms_by_name.get(vm)

    def is_reporting(self, vm: str, now_ms: int) -> bool:
        """Return whether there is a valid report of a VM.

        :param vm: name of the VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.presence.find_report(vm, now_ms) is not None

    def is_leaving(self, vm: str, now_ms: int) -> bool:
        """Return whether a VM is leaving according to the list or its own report.

        :param vm: name of the VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        entry = self._vms_by_name.get(vm)
        received = self.presence.find_report(vm, now_ms)
        is_reported_leaving = received is not None and received.report.state == "leaving"
        return is_reported_leaving or (entry is not None and entry.leaving)

    def views(self, now_ms: int) -> list[presence.GroupView]:
        """Evaluate all groups, and notify the listeners of state changes.

        :param now_ms: monotonic clock, in milliseconds.
        :return: the groups with their states.
        """
        records = self.layout.groups if self.layout else []
        evaluated = [self._evaluate(record, now_ms) for record in records]
        self._last_views, before = {view.record.group: view for view in evaluated}, self._last_views
        for group in before.keys() - self._last_views.keys():
            self._dissolve(before[group])
        return evaluated

    def whole_groups(self, model: str, now_ms: int) -> list[presence.GroupView]:
        """Return the groups that requests for a model may be sent to.

        :param model: name of the model.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whole groups of the model.
        """
        return [
            view
            for view in self.views(now_ms)
            if view.state == presence.GroupState.WHOLE and view.record.model == model
        ]

    def _evaluate(self, record: layout.GroupRecord, now_ms: int) -> presence.GroupView:
        group_lifecycle = self._lifecycles.get(record.group)
        is_new = group_lifecycle is None
        if group_lifecycle is None:
            group_lifecycle = self._lifecycles[record.group] = lifecycle.GroupLifecycle(
                record.group
            )
            self._machine.add_model(group_lifecycle)
        view = self.presence.evaluate(record, now_ms, group_lifecycle.criteria)
        if view.state == presence.GroupState.WHOLE and self._has_leaving_member(view.record):
            view = dataclasses.replace(view, state=presence.GroupState.DRAINING)
        before = None if is_new else presence.GroupState(group_lifecycle.state)
        pins = (
            self._read_incarnations(view.record, now_ms)
            if group_lifecycle.needs_pinning(view)
            else {}
        )
        has_changed = group_lifecycle.apply_view(view, pins, now_ms)
        if view.state != group_lifecycle.state:
            view = dataclasses.replace(view, state=presence.GroupState(group_lifecycle.state))
        if is_new or has_changed:
            self._notify(view, before)
        return view

    def _has_leaving_member(self, record: layout.GroupRecord) -> bool:
        found = [self._vms_by_name.get(vm) for vm in record.members]
        return any(entry is not None and entry.leaving for entry in found)

    def _read_incarnations(self, record: layout.GroupRecord, now_ms: int) -> dict[str, str]:
        found = {vm: self.presence.find_report(vm, now_ms) for vm in record.members}
        return {
            vm: received.report.incarnation
            for vm, received in found.items()
            if received is not None
        }

    def _dissolve(self, view: presence.GroupView) -> None:
        group_lifecycle = self._lifecycles.pop(view.record.group)
        before = presence.GroupState(group_lifecycle.state)
        group_lifecycle.apply("dissolve")
        self._machine.remove_model(group_lifecycle)
        self._notify(dataclasses.replace(view, state=presence.GroupState.DISSOLVED), before)

    def _notify(self, view: presence.GroupView, before: presence.GroupState | None) -> None:
        for listener in self._listeners:
            listener(view, before)


def layout_order(record: layout.Layout) -> tuple[int, int]:
    """Return a key that orders the layouts of a failure domain from oldest to newest.

    :param record: layout.
    """
    return (record.fencing, record.serial)
