"""Lifecycle of a group as seen by one daemon."""

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
    """State machine of one group, and the criteria for its reports.

    When a group is found whole, the incarnations of its members are pinned for that generation.
    When it is found broken, reports made before that are no longer valid.
    """

    state: str

    def __init__(self, group: str) -> None:
        self.group = group
        self.criteria = presence.NO_CRITERIA
        self._generation = 0

    def needs_pinning(self, view: presence.GroupView) -> bool:
        """Return whether a group is whole or draining in a generation that is not pinned yet.

        :param view: group as evaluated.
        """
        is_present = view.state != presence.GroupState.BROKEN
        return is_present and view.record.generation != self.criteria.generation

    def apply_view(
        self, view: presence.GroupView, incarnations: dict[str, str], now_ms: int
    ) -> bool:
        """Update the state and the criteria from an evaluation.

        :param view: group as evaluated.
        :param incarnations: incarnation by member, empty unless `needs_pinning` is true.
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
        """Make a transition if the current state allows it.

        :param trigger: name of the transition.
        :return: whether the transition was made.
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
    """Build the state machine that all groups of a daemon share."""
    return transitions.Machine(
        model=None,
        states=STATES,
        transitions=TRANSITIONS,
        initial=FORMING,
        auto_transitions=False,
    )
