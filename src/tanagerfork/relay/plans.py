"""Plans: facts that a decision on groups rests on, and the orders that follow from it."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import fleet, members, rules

JOIN = "join"
OPEN = "open"
CLOSE = "close"
LEAVE = "leave"
STAGE = "stage"
MIN_SHARE = 0.05  # A model that nobody asks for at the moment is still covered.
IDLE_HEAD_STATES = frozenset(
    (members.MemberState.JOINING, members.MemberState.READY, members.MemberState.BROKEN)
)


class Acceptance(enum.Enum):
    """What an upstream said to an order that it did not refuse."""

    BEGUN = "begun"  # It counts the order among those that it has accepted.
    DONE = "done"  # Its state is already as ordered.


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamStatus:
    """What the coordinator knows of one upstream.

    `is_listed` says whether the directory has an entry, `is_silent` that it answers no question;
    `is_known` is False as long as it is neither listed nor was asked.
    """

    upstream: members.Upstream
    is_listed: bool
    is_silent: bool
    membership: members.GroupMark | None
    is_known: bool = True

    @property
    def is_usable(self) -> bool:
        """Whether it may be assigned to a group."""
        return self.is_listed and not self.is_silent and not self.upstream.is_leaving

    def holds(self, model: str) -> bool:
        """Return whether it can join a group of a model without a load from the weight store.

        :param model: name of the model.
        """
        return model in self.upstream.staged or model in self.upstream.models


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """One order to an upstream."""

    kind: str
    upstream_id: str
    address: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    cuts: bool = False

    @property
    def key(self) -> tuple[str, str, int, bool]:
        """What makes two orders the same one, given again."""
        return self.kind, self.upstream_id, self.epoch, self.cuts


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """What a decision rests on.

    `may_load` is how many loads from the weight store may be started now. `is_settled` says that no
    upstream has come for a while; until then more are expected, and the model that lacks most waits
    for enough of them. `loading` names the model that an upstream loads the weights of. `demand` is
    the part of the upstreams that each model needs by its requests, where that is known.
    `open_groups` are the whole groups of all failure domains.
    """

    service: rules.Service
    statuses: Mapping[str, UpstreamStatus]
    record: assignments.Assignments
    max_loads: int
    is_settled: bool = True
    loading: Mapping[str, str] = dataclasses.field(default_factory=dict)
    demand: Mapping[str, float] = dataclasses.field(default_factory=dict)
    open_groups: Sequence[fleet.Group] = ()

    def find_share(self, model: rules.ModelSpec) -> float:
        """Return the part of the upstreams that a model needs.

        :param model: model.
        """
        return max(self.demand.get(model.name, model.share), MIN_SHARE)


@dataclasses.dataclass(slots=True)
class Plan:
    """A changed record, to be written before the orders are sent, and why it changed."""

    record: assignments.Assignments
    orders: list[Order]
    notes: list[str]


def matches_assignment(
    membership: members.GroupMark | None, assignment: assignments.Assignment
) -> bool:
    """Return whether a mark is that of an assignment.

    :param membership: mark of an upstream, None for no group.
    :param assignment: assignment.
    """
    return (
        membership is not None
        and membership.group == assignment.group
        and membership.epoch == assignment.epoch
    )
