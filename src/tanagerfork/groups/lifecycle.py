"""Lifecycle of a group as one daemon sees it."""

import dataclasses
from typing import Any

import transitions

from tanagerfork import lifecycle
from tanagerfork.groups import presence

FORMING = presence.GroupState.FORMING.value
WHOLE = presence.GroupState.WHOLE.value
BROKEN = presence.GroupState.BROKEN.value
DRAINING = presence.GroupState.DRAINING.value
DISSOLVED = presence.GroupState.DISSOLVED.value

STATES = [FORMING, WHOLE, BROKEN, DRAINING, DISSOLVED]
TRANSITIONS: Any = [
    ["complete", [FORMING, BROKEN, DRAINING], WHOLE],
    ["drain", [FORMING, WHOLE, BROKEN], DRAINING],
    ["break_up", [WHOLE, DRAINING], BROKEN],
    ["re_form", [WHOLE, BROKEN, DRAINING], FORMING],
    ["dissolve", [FORMING, WHOLE, BROKEN, DRAINING], DISSOLVED],
]


class GroupLifecycle:
    """State of one group, and what its reports must show to count.

    Once a group was seen whole, the incarnations of its members are pinned for that generation.
    Once it was seen broken, only reports made since then count.
    """

    state: str

    def __init__(self, group: str) -> None:
        self.group = group
        self.criteria = presence.NO_CRITERIA
        self._generation = 0

    def needs_pinning(self, view: presence.GroupView) -> bool:
        """Return whether a group is whole in a generation whose incarnations are not pinned yet.

        :param view: group as judged.
        """
        is_present = view.state != presence.GroupState.BROKEN
        return is_present and view.record.generation != self.criteria.generation

    def apply_view(
        self, view: presence.GroupView, incarnations: dict[str, str], now_ms: int
    ) -> bool:
        """Take in how the group was judged.

        :param view: group as judged.
        :param incarnations: incarnation of each member as last heard, where these are needed.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether the state changed.
        """
        before = self.state
        if view.state == before and view.record.generation == self._generation:
            return False
        if view.state == presence.GroupState.BROKEN:
            self._handle_broken(view.record.generation, now_ms)
        else:
            self._handle_present(view, incarnations)
        self._generation = view.record.generation
        return self.state != before

    def apply(self, trigger: str) -> bool:
        """Take a transition if the state allows it.

        :param trigger: name of the transition.
        :return: whether it was taken.
        """
        return lifecycle.take_transition(self, trigger)

    def _handle_broken(self, generation: int, now_ms: int) -> None:
        if self.state in (WHOLE, DRAINING):
            self.criteria = dataclasses.replace(self.criteria, not_before_ms=now_ms)
        if generation != self._generation and self.state != FORMING:
            self.apply("re_form")
        else:
            self.apply("break_up")

    def _handle_present(self, view: presence.GroupView, incarnations: dict[str, str]) -> None:
        generation = view.record.generation
        if generation != self.criteria.generation:
            self.criteria = presence.ReportCriteria(
                self.criteria.not_before_ms, generation, incarnations
            )
        self.apply("drain" if view.state == presence.GroupState.DRAINING else "complete")


def build_machine() -> transitions.Machine:
    """Build the machine that all groups of a daemon share."""
    return transitions.Machine(
        model=None,
        states=STATES,
        transitions=TRANSITIONS,
        initial=FORMING,
        auto_transitions=False,
    )
