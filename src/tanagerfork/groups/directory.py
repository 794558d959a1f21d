"""The groups and VMs of a failure domain as one daemon knows them."""

from collections.abc import Callable

from tanagerfork.generated import engine, layout
from tanagerfork.groups import presence

ChangeListener = Callable[[presence.GroupView, presence.GroupState | None], None]


class GroupDirectory:
    """Holds the layout and judges its groups.

    :param known: reports of the members.
    """

    __slots__ = ("presence", "layout", "vms", "_vms_by_name", "_states", "_listeners")

    def __init__(self, known: presence.Presence) -> None:
        self.presence = known
        self.layout: layout.Layout | None = None
        self.vms: list[engine.VmEntry] = []
        self._vms_by_name: dict[str, engine.VmEntry] = {}
        self._states: dict[str, presence.GroupState] = {}
        self._listeners: list[ChangeListener] = []

    def subscribe(self, listener: ChangeListener) -> None:
        """Have every change of a group's state told.

        :param listener: called with the group and the state it had before.
        """
        self._listeners.append(listener)

    def take_layout(self, newer: layout.Layout) -> None:
        """Take a layout in, unless a newer one is known.

        :param newer: layout of this failure domain.
        """
        if self.layout is None or newer.serial >= self.layout.serial:
            self.layout = newer

    def take_vms(self, vms: list[engine.VmEntry]) -> None:
        """Take the platform's list in.

        :param vms: VMs of this failure domain.
        """
        self.vms = vms
        self._vms_by_name = {vm.vm: vm for vm in vms}

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

    def views(self, now_ms: int) -> list[presence.GroupView]:
        """Judge all groups, and tell which changed their state.

        :param now_ms: monotonic clock, in milliseconds.
        :return: the groups with their states.
        """
        records = self.layout.groups if self.layout else []
        judged = self.presence.judge_all(records, now_ms)
        for view in judged:
            before = self._states.get(view.record.group)
            if before != view.state:
                self._states[view.record.group] = view.state
                for listener in self._listeners:
                    listener(view, before)
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
