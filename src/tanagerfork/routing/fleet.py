"""What decisions need to know of the other daemons; nothing heard is the default."""

import dataclasses
from collections.abc import Collection, Sequence
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """What a team uses at the other daemons of the failure domain."""

    running: int = 0
    requests_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class SpillTarget:
    """A daemon of another failure domain that is known to have room."""

    daemon: str
    callers_url: str
    free_slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class PoisonNotice:
    """A fingerprint that was in flight at crashes."""

    fingerprint: str
    crashes: int
    is_quarantined: bool
    expires_in_ms: int


class Fleet(Protocol):
    """The other daemons, as far as something was heard of them within its TTL."""

    def live_daemons(self) -> int:
        """Return the live daemons of this failure domain, this one included."""

    def usage_elsewhere(self, team: str) -> Usage:
        """Return what a team uses at the other daemons of this failure domain.

        :param team: team.
        """

    def leaving_vms(self) -> Collection[str]:
        """Return the VMs that peers say are leaving."""

    def spill_targets(self, model: str) -> Sequence[SpillTarget]:
        """Return daemons of other failure domains with free slots.

        :param model: model asked for.
        """

    async def tell_poison(self, notice: PoisonNotice) -> None:
        """Tell every live daemon of this failure domain; return once it was sent.

        :param notice: suspect or quarantined fingerprint.
        """


class LoneDaemon:
    """A fleet of which nothing was heard."""

    __slots__ = ()

    def live_daemons(self) -> int:
        """Return this daemon alone."""
        return 1

    def usage_elsewhere(self, team: str) -> Usage:
        """Return nothing; see `Fleet.usage_elsewhere`."""
        return Usage()

    def leaving_vms(self) -> Collection[str]:
        """Return nothing; see `Fleet.leaving_vms`."""
        return ()

    def spill_targets(self, model: str) -> Sequence[SpillTarget]:
        """Return nothing; see `Fleet.spill_targets`."""
        return ()

    async def tell_poison(self, notice: PoisonNotice) -> None:
        """Tell nobody; see `Fleet.tell_poison`."""
