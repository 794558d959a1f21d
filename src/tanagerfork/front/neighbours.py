"""The other daemons as decisions on requests see them, by what the peers tell."""

import asyncio
from collections.abc import Collection, Sequence

from tanagerfork import clock as clocks
from tanagerfork.generated import peers as peer_records
from tanagerfork.peers import notices
from tanagerfork.peers import service as peer_services
from tanagerfork.routing import fleet as fleets
from tanagerfork.routing import leaving, limits, poison

POISON = "poison"
LEAVING = "vm_leaving"
TELL_INTERVAL_MS = 500
TELL_TIMEOUT_MS = 200
LIVE_KEPT_MS = 200
PEER_TRIAL_MS = 2000


class PeerFleet:
    """A `Fleet` over the peers' service.

    :param name: name of this daemon.
    :param peers: peers' service.
    :param clock: clock of the ages.
    """

    __slots__ = ("_name", "_peers", "_clock", "_live", "_counted_ms")

    def __init__(self, name: str, peers: peer_services.PeerService, clock: clocks.Clock) -> None:
        self._name = name
        self._peers = peers
        self._clock = clock
        self._live = 1
        self._counted_ms = -LIVE_KEPT_MS

    def live_daemons(self) -> int:
        """Return the live daemons of this failure domain; see `Fleet.live_daemons`."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._counted_ms >= LIVE_KEPT_MS:
            self._counted_ms = now_ms
            self._live = max(1, len(self._peers.live()))
        return self._live

    def usage_elsewhere(self, team: str) -> fleets.Usage:
        """Return what a team uses elsewhere; see `Fleet.usage_elsewhere`."""
        heard = self._peers.usage_of_peers(team, self._clock.monotonic_ms())
        return fleets.Usage(heard.running, heard.requests_per_s)

    def leaving_vms(self) -> Collection[str]:
        """Return the VMs that leave; see `Fleet.leaving_vms`."""
        return [notice.subject for notice in self._peers.read_notices(LEAVING)]

    def spill_targets(self, model: str) -> Sequence[fleets.SpillTarget]:
        """Return daemons with room; see `Fleet.spill_targets`."""
        found = self._peers.foreign_capacity(model, self._clock.monotonic_ms())
        return [
            fleets.SpillTarget(item.failure_domain, url, item.free_slots)
            for item in found
            for url in item.callers_urls[:1]
        ]

    async def broadcast_poison(self, notice: fleets.PoisonNotice) -> None:
        """Ask every live daemon to take the word in; see `Fleet.tell_poison`.

        The caller may send the request again at once through any of them, sooner than changes
        spread by themselves; that way is for those that do not answer in time.
        """
        self._peers.announce(POISON, notice.fingerprint, notice.expires_in_ms, str(notice.crashes))
        body = f"{notice.crashes} {notice.fingerprint}".encode()
        others = [peer for peer in self._peers.live() if peer != self._name]
        await asyncio.gather(*(self._tell(peer, body) for peer in others))

    async def _tell(self, peer: str, body: bytes) -> None:
        await self._peers.ask(peer, POISON, body, TELL_TIMEOUT_MS)


class PoisonListener:
    """Takes the peers' words on poison requests in.

    :param register: poison requests.
    :param clock: clock of the terms.
    """

    __slots__ = ("_register", "_clock")

    def __init__(self, register: poison.PoisonRegister, clock: clocks.Clock) -> None:
        self._register = register
        self._clock = clock

    async def take(self, peer: str, body: bytes) -> bytes:
        """Take a word in that a peer sent to this daemon alone.

        :param peer: who sent it.
        :param body: crashes and fingerprint.
        :return: nothing.
        """
        crashes, _, fingerprint = body.decode("ascii", "replace").partition(" ")
        now_ms = self._clock.monotonic_ms()
        self.hear(
            notices.StoredNotice(POISON, fingerprint, crashes, now_ms + poison.SUSPECT_TTL_MS)
        )
        return b""

    def hear(self, heard: notices.StoredNotice) -> None:
        """Take a notice in; one whose detail is no number of crashes is dropped.

        :param heard: notice of a peer.
        """
        if not heard.detail.isdigit():
            return
        now_ms = self._clock.monotonic_ms()
        crashes = int(heard.detail)
        is_quarantined = crashes >= poison.CRASHES_TO_QUARANTINE
        notice = fleets.PoisonNotice(
            heard.subject, crashes, is_quarantined, heard.expires_at_ms - now_ms
        )
        self._register.hear(notice, PEER_TRIAL_MS, now_ms)


class UsageTeller:
    """Tells the peers what this daemon's teams use and which VMs it sees leaving.

    :param peers: peers' service.
    :param team_limits: limits of the teams.
    :param leaving_vms: VMs that leave.
    :param clock: clock to wait on.
    """

    __slots__ = ("_peers", "_limits", "_leaving", "_clock", "_told")

    def __init__(
        self,
        peers: peer_services.PeerService,
        team_limits: limits.TeamLimits,
        leaving_vms: leaving.LeavingVms,
        clock: clocks.Clock,
    ) -> None:
        self._peers = peers
        self._limits = team_limits
        self._leaving = leaving_vms
        self._clock = clock
        self._told: set[str] = set()

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            now_ms = self._clock.monotonic_ms()
            usage = self._limits.read_usage(now_ms)
            for team in self._told - usage.keys():
                self._peers.note_usage(team, 0, 0)
            for team, used in usage.items():
                self._peers.note_usage(team, used.running, round(used.requests_per_s))
            self._told = set(usage)
            for vm in self._leaving.take_unannounced(now_ms):
                self._peers.announce(LEAVING, vm, leaving.LEAVING_TTL_MS)
            await self._clock.sleep_ms(TELL_INTERVAL_MS)


def describe_capacity(free_slots: dict[str, int]) -> list[peer_records.ModelCapacity]:
    """Return free slots as the peers' messages carry them.

    :param free_slots: free slots by model.
    """
    return [
        peer_records.ModelCapacity(model=model, free_slots=max(0, free))
        for model, free in free_slots.items()
    ]
