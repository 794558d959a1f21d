"""Plans: the planner's input, the orders to upstreams, and the plan that holds them."""

import dataclasses
import enum
from collections.abc import Collection, Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import fleet, members, rules

JOIN = "join"
OPEN = "open"
CLOSE = "close"
LEAVE = "leave"
STAGE = "stage"
CROSS_DOMAIN = ""  # Fabric domain of a group whose members are in several ones.
MOVED = "moved to "  # Begins the reason of a group that is closed for another model.
MIN_SHARE = 0.05  # Keeps groups of a model that gets no requests at the moment.
# States in which a head takes no requests and has none open.
IDLE_HEAD_STATES = frozenset(
    (members.MemberState.JOINING, members.MemberState.READY, members.MemberState.BROKEN)
)


class Acceptance(enum.Enum):
    """Answer of an upstream to an order that it did not refuse."""

    BEGUN = "begun"  # Carries the order out, and counts it as accepted.
    DONE = "done"  # Was already in the ordered state; the order is not counted.


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamStatus:
    """What the coordinator knows of one upstream.

    `is_listed` says whether the directory has an entry for it, `is_silent` whether it leaves probes
    unanswered. `is_known` is False as long as it is not listed and no probe has had a result.
    `unlisted_ms` is for how long it has had no entry.
    """

    upstream: members.Upstream
    is_listed: bool
    is_silent: bool
    membership: members.GroupMembership | None
    is_known: bool = True
    unlisted_ms: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether it may be assigned to a group."""
        return self.is_listed and not self.is_silent and not self.upstream.is_leaving

    def holds(self, model: str) -> bool:
        """Return whether it can join a group of a model without loading from the weight store.

        :param model: name of the model.
        """
        return model in self.upstream.staged or model in self.upstream.models


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Order to an upstream.

    `cancels_requests` has a closing head abort its open requests instead of finishing them.
    """

    kind: str
    upstream_id: str
    address: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    cancels_requests: bool = False

    @property
    def key(self) -> tuple[str, str, int, bool]:
        """Identity by which a repetition of an order is recognized."""
        return self.kind, self.upstream_id, self.epoch, self.cancels_requests


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Groups of one model whose members are to form groups of another one.

    The groups are closed once nobody is left in `to_stage`: the members that have to stage the
    gaining model first. The fullness is the share of a model's slots that its requests take.
    """

    giving: str
    gaining: str
    groups: tuple[str, ...]
    to_stage: tuple[str, ...]
    giving_fullness: float
    gaining_fullness: float


@dataclasses.dataclass(slots=True, frozen=True)
class GroupTotal:
    """Groups of one model: their number, by how fast they are, and their failure domains."""

    count: float
    failure_domains: frozenset[str]


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """Input of a decision of the planner.

    `max_loads` is how many loads from the weight store may be started now. `is_settled` says that
    no upstream has appeared for a while; until then more are expected, and the model furthest below
    its share waits for enough of them. `loading` maps an upstream's id to the model whose weights
    it loads. `demand` is the share of the upstreams that each model needs for its requests, where
    that is known.
    `open_groups` are the whole groups of all failure domains. `wanted_slots` are the slots that
    each model needed at the peak of the last seconds, over all failure domains; empty where that is
    not known. `moves_groups` says whether groups move between models by demand; where they do not,
    hosts stage no alternatives and spares stay free. `move` is the move between models that is due.
    `evacuated` are the failure domains that are evacuated. `listed` are the ids of the upstreams of
    all failure domains that have an entry; None where these are not known. `others` are the groups
    by model that are counted instead of the open groups of other failure domains; None where these
    are to be counted.
    """

    service: rules.Service
    statuses: Mapping[str, UpstreamStatus]
    record: assignments.Assignments
    max_loads: int
    is_settled: bool = True
    loading: Mapping[str, str] = dataclasses.field(default_factory=dict)
    demand: Mapping[str, float] = dataclasses.field(default_factory=dict)
    open_groups: Sequence[fleet.Group] = ()
    wanted_slots: Mapping[str, float] = dataclasses.field(default_factory=dict)
    moves_groups: bool = True
    move: Move | None = None
    evacuated: frozenset[str] = frozenset()
    listed: Collection[str] | None = None
    others: Mapping[str, GroupTotal] | None = None

    @property
    def is_evacuated(self) -> bool:
        """Whether the failure domain of the record is evacuated."""
        return self.record.failure_domain in self.evacuated

    def find_share(self, model: rules.ModelSpec) -> float:
        """Return the share of the upstreams that a model needs, by demand or configuration.

        :param model: model.
        """
        return max(self.demand.get(model.name, model.share), MIN_SHARE)


@dataclasses.dataclass(slots=True)
class Plan:
    """New record, to be written before the orders are sent; the notes say why it changed.

    `moved` is the move that it begins, `dissolved` why groups that serve are dissolved.
    """

    record: assignments.Assignments
    orders: list[Order]
    notes: list[str]
    moved: Move | None = None
    dissolved: dict[str, str] = dataclasses.field(default_factory=dict)


def find_gaining_model(group: assignments.Assignment) -> str:
    """Return the model that a group is being closed for by a move; empty where there is none.

    :param group: assignment.
    """
    is_moving = group.closing and group.reason.startswith(MOVED)
    return group.reason.removeprefix(MOVED) if is_moving else ""


def matches_assignment(
    membership: members.GroupMembership | None, assignment: assignments.Assignment
) -> bool:
    """Return whether an upstream reports to be in the group of an assignment.

    :param membership: group that the upstream reports, None for no group.
    :param assignment: assignment.
    """
    return (
        membership is not None
        and membership.group == assignment.group
        and membership.epoch == assignment.epoch
    )
