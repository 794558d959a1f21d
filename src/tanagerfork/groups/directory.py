"""The groups and VMs of a failure domain as one daemon knows them."""

import dataclasses
from collections.abc import Callable

import msgspec

from tanagerfork.generated import engine, layout
from tanagerfork.groups import lifecycle, presence

UNLISTED_GRACE_MS = 10_000  # Time after which a VM that left the list counts as leaving.
MAX_UNLISTED_SHARE = 0.5  # A list that lost more than this share at once is not believed.

LayoutListener = Callable[[layout.Layout], None]
ChangeListener = Callable[[presence.GroupView, presence.GroupState | None], None]


class GroupDirectory:
    """Holds the layout and judges its groups.

    The platform's list lags, so a VM that is not listed any more but reports itself is kept. It
    counts as leaving after a while, unless most of the VMs left the list at once.

    :param known: reports of the members.
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
        """Have every change of a group's state told.

        :param listener: called with the group and the state it had before.
        """
        self._listeners.append(listener)

    def subscribe_layouts(self, listener: LayoutListener) -> None:
        """Have every layout told that comes in force here.

        :param listener: called with each layout.
        """
        self._layout_listeners.append(listener)

    def take_layout(self, newer: layout.Layout) -> bool:
        """Take a layout in, unless a newer one is known.

        :param newer: layout of this failure domain.
        :return: whether it is in force now.
        """
        if self.layout is not None and layout_order(newer) < layout_order(self.layout):
            return False
        self.layout = newer
        for listener in self._layout_listeners:
            listener(newer)
        return True

    def take_vms(self, vms: list[engine.VmEntry], now_ms: int = 0) -> None:
        """Take the platform's list in.

        :param vms: VMs of this failure domain.
        :param now_ms: monotonic clock, in milliseconds.
        """
        listed = {vm.vm: vm for vm in vms}
        kept = [
            vm
            for name, vm in self._vms_by_name.items()
            if name not in listed and self.is_reporting(name, now_ms)
        ]
        is_believed = len(kept) <= MAX_UNLISTED_SHARE * len(self._vms_by_name)
        since_ms = {
            vm.vm: self._unlisted_since_ms.get(vm.vm, now_ms) if is_believed else now_ms
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
        """Return a VM of the list, None where it is not in it.

        :param vm: VM.
        """
        return self._vms_by_name.get(vm)

    def is_reporting(self, vm: str, now_ms: int) -> bool:
        """Return whether a VM's report counts.

        :param vm: VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.presence.find_report(vm, now_ms) is not None

    def is_leaving(self, vm: str, now_ms: int) -> bool:
        """Return whether a VM is about to go, by the list or by its own report.

        :param vm: VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        entry = self._vms_by_name.get(vm)
        received = self.presence.find_report(vm, now_ms)
        is_told = received is not None and received.report.state == "leaving"
        return is_told or (entry is not None and entry.leaving)

    def views(self, now_ms: int) -> list[presence.GroupView]:
        """Judge all groups, and tell which changed their state.

        :param now_ms: monotonic clock, in milliseconds.
        :return: the groups with their states.
        """
        records = self.layout.groups if self.layout else []
        judged = [self._evaluate(record, now_ms) for record in records]
        self._last_views, before = {view.record.group: view for view in judged}, self._last_views
        for group in before.keys() - self._last_views.keys():
            self._dissolve(before[group])
        return judged

    def whole_groups(self, model: str, now_ms: int) -> list[presence.GroupView]:
        """Return the groups that may get a request.

        :param model: model asked for.
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
    """Return the place of a layout among all of its failure domain; it only grows.

    :param record: layout.
    """
    return (record.fencing, record.serial)
