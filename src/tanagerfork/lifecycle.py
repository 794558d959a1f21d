"""Lifecycle of a daemon."""

from collections.abc import Callable
from typing import Any

import transitions

STARTING = "starting"
NOT_READY = "not_ready"
SERVING = "serving"
DRAINING = "draining"
STOPPED = "stopped"

STATES = [STARTING, NOT_READY, SERVING, DRAINING, STOPPED]
TRANSITIONS: Any = [
    ["listen", STARTING, NOT_READY],
    ["become_ready", NOT_READY, SERVING],
    ["lose_readiness", SERVING, NOT_READY],
    ["drain", [STARTING, NOT_READY, SERVING], DRAINING],
    ["stop", DRAINING, STOPPED],
]


class Lifecycle:
    """State machine of a daemon.

    :param on_change: called with each new state.
    """

    state: str

    def __init__(self, on_change: Callable[[str], None]) -> None:
        self._on_change = on_change
        self._machine = transitions.Machine(
            model=self,
            states=STATES,
            transitions=TRANSITIONS,
            initial=STARTING,
            auto_transitions=False,
            after_state_change=self._notify,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self.state == SERVING

    def apply(self, trigger: str) -> bool:
        """Make a transition if the current state allows it.

        :param trigger: name of the transition.
        :return: whether the transition was made.
        """
        return take_transition(self, trigger)

    def _notify(self) -> None:
        self._on_change(self.state)


def take_transition(model: object, trigger: str) -> bool:
    """Make a transition of a state machine's model if its state allows it.

    :param model: model to which a `transitions.Machine` has added its triggers.
    :param trigger: name of the transition.
    :return: whether the transition was made.
    """
    if not getattr(model, f"may_{trigger}")():
        return False
    return bool(getattr(model, trigger)())
