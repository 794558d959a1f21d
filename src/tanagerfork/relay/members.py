"""Members: upstreams as they describe themselves, and their membership in a group."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """State of a member in its group; only a head is open or closing."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(slots=True, frozen=True)
class GroupMembership:
    """Membership in a group as an upstream reports it; the head, of rank 0, takes the requests."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """One upstream as its directory entry or its own report describes it.

    `born_at_ms` distinguishes two starts under the same id. `refresh_count` changes with every
    refresh of the entry. `staged` are the models whose weights its host holds, `models` those that
    its engine holds. `cold_left_ms` is how long it says to stay cold, 0 if it is not cold.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool
    slots: int
    born_at_ms: int = 0
    refresh_count: int = 0
    fabric_domain: str = ""
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    membership: GroupMembership | None = None
    cold_left_ms: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Identity of this start of the upstream."""
        return self.id, self.born_at_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Answer of an upstream to a probe of its state.

    `order_count` is the number of orders that it has accepted since its start, `cold_left_ms` as in
    `Upstream`. `is_leaving` is set if it says with the report that it leaves.
    """

    born_at_ms: int
    order_count: int
    is_busy: bool
    staged: tuple[str, ...]
    membership: GroupMembership | None
    pace: float
    running: int
    waiting: int
    is_leaving: bool = False
    cold_left_ms: float = 0.0
