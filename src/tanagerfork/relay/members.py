"""Members: what an upstream says of itself, and the group it is part of."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """State of a member in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclasses.dataclass(slots=True, frozen=True)
class GroupMark:
    """The group that an upstream reports to be in; rank 0 takes the requests."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """One upstream as its directory entry or its own report describes it.

    `born_at_ms` tells two starts under one id apart. `beat` changes with every refresh of the
    entry. `order_count` is the number of orders it has accepted, known from its report alone.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool
    slots: int
    born_at_ms: int = 0
    beat: int = 0
    fabric_domain: str = ""
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    mark: GroupMark | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Identity of this start of the upstream."""
        return self.id, self.born_at_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """What an upstream answered when it was asked for its state."""

    born_at_ms: int
    order_count: int
    is_busy: bool
    staged: tuple[str, ...]
    mark: GroupMark | None
    pace: float
    running: int
    waiting: int
