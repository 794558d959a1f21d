"""Interface through which routing learns of the other daemons, and its default without peers."""

import dataclasses
from collections.abc import Collection, Sequence
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Requests of a team at the other daemons of the failure domain."""

    running: int = 0
    requests_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class SpillTarget:
    """A daemon of another failure domain that has free slots."""

    daemon: str
    callers_url: str
    free_slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class ToldRun:
    """A run of a request that ended with a crash; `crash` is empty if it is not known which."""

    crash: str
    sent_age_ms: int
    lost_age_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class PoisonNotice:
    """A request fingerprint that was in flight when groups crashed.

    `age_ms` is the time since the last crash that counted; -1 if it is not known. `runs` are those
    that were lost in the crashes; peers of earlier builds tell none. A notice with an
    `answered_age_ms` of 0 or more tells only that the request was answered completely, and when.
    """

    fingerprint: str
    crashes: int
    is_quarantined: bool
    expires_in_ms: int
    age_ms: int = -1
    runs: tuple[ToldRun, ...] = ()
    answered_age_ms: int = -1


class Fleet(Protocol):
    """The other daemons, by the reports received from them within their TTL."""

    def live_daemons(self) -> int:
        """Return the number of live daemons of this failure domain, including this one."""

    def usage_elsewhere(self, team: str) -> Usage:
        """Return the usage of a team at the other daemons of this failure domain.

        :param team: team.
        """

    def leaving_vms(self) -> Collection[str]:
        """Return the VMs that peers report as leaving."""

    def spill_targets(self, model: str) -> Sequence[SpillTarget]:
        """Return daemons of other failure domains with free slots.

        :param model: requested model.
        """

    async def broadcast_poison(self, notice: PoisonNotice) -> None:
        """Send a notice to every live daemon of this failure domain; return once it was sent.

        :param notice: suspect or quarantined fingerprint.
        """


class SingleDaemonFleet:
    """A fleet without other daemons."""

    __slots__ = ()

    def live_daemons(self) -> int:
        """Return 1, as this daemon is the only one."""
        return 1

    def usage_elsewhere(self, team: str) -> Usage:
        """Return no usage; see `Fleet.usage_elsewhere`."""
        return Usage()

    def leaving_vms(self) -> Collection[str]:
        """Return no VMs; see `Fleet.leaving_vms`."""
        return ()

    def spill_targets(self, model: str) -> Sequence[SpillTarget]:
        """Return no daemons; see `Fleet.spill_targets`."""
        return ()

    async def broadcast_poison(self, notice: PoisonNotice) -> None:
        """Do nothing; see `Fleet.broadcast_poison`."""
