"""Exchanges usage, capacity, leaving VMs and poison notices with the other daemons."""

import asyncio
from collections.abc import Collection, Sequence

from tanagerfork import clock as clocks
from tanagerfork.generated import peers as peer_records
from tanagerfork.peers import notices
from tanagerfork.peers import service as peer_services
from tanagerfork.routing import fleet as fleets
from tanagerfork.routing import leaving, limits, poison

POISON_NOTICE = "poison"
LEAVING_NOTICE = "vm_leaving"
ANNOUNCE_INTERVAL_MS = 500
POISON_NOTICE_TIMEOUT_MS = 200
LIVE_COUNT_TTL_MS = 200
PEER_TRIAL_MS = 2000  # How long a suspect is refused here while the notifying peer reruns it.


class PeerFleet:
    """Implements `Fleet` on top of the peer service.

    :param name: name of this daemon.
    :param peers: peer service.
    :param clock: clock for the age of what peers reported.
    """

    __slots__ = ("_name", "_peers", "_clock", "_live_count", "_counted_at_ms")

    def __init__(self, name: str, peers: peer_services.PeerService, clock: clocks.Clock) -> None:
        self._name = name
        self._peers = peers
        self._clock = clock
        self._live_count = 1
        self._counted_at_ms = -LIVE_COUNT_TTL_MS

    def live_daemons(self) -> int:
        """Return the number of live daemons of this failure domain; see `Fleet.live_daemons`."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._counted_at_ms >= LIVE_COUNT_TTL_MS:
            self._counted_at_ms = now_ms
            self._live_count = max(1, len(self._peers.live()))
        return self._live_count

    def usage_elsewhere(self, team: str) -> fleets.Usage:
        """Return a team's usage at the other daemons; see `Fleet.usage_elsewhere`."""
        team_usage = self._peers.usage_of_peers(team, self._clock.monotonic_ms())
        return fleets.Usage(team_usage.running, team_usage.requests_per_s)

    def leaving_vms(self) -> Collection[str]:
        """Return the VMs that peers report as leaving; see `Fleet.leaving_vms`."""
        return [notice.subject for notice in self._peers.read_notices(LEAVING_NOTICE)]

    def spill_targets(self, model: str) -> Sequence[fleets.SpillTarget]:
        """Return daemons of other failure domains with free slots; see `Fleet.spill_targets`."""
        capacities = self._peers.foreign_capacity(model, self._clock.monotonic_ms())
        return [
            fleets.SpillTarget(capacity.failure_domain, url, capacity.free_slots)
            for capacity in capacities
            for url in capacity.callers_urls[:1]
        ]

    async def broadcast_poison(self, notice: fleets.PoisonNotice) -> None:
        """Send a notice to all live daemons and wait for the answers; see `Fleet.broadcast_poison`.

        The caller may resend the request through any daemon at once, before an announcement has
        spread. The announcement is for the daemons that do not answer in time.
        """
        self._peers.announce(
            POISON_NOTICE, notice.fingerprint, notice.expires_in_ms, str(notice.crashes)
        )
        body = f"{notice.crashes} {notice.fingerprint}".encode()
        others = [peer for peer in self._peers.live() if peer != self._name]
        await asyncio.gather(*(self._send_poison_notice(peer, body) for peer in others))

    async def _send_poison_notice(self, peer: str, body: bytes) -> None:
        await self._peers.ask(peer, POISON_NOTICE, body, POISON_NOTICE_TIMEOUT_MS)


class PoisonListener:
    """Applies the peers' notices on poison requests.

    :param register: register of poison requests.
    :param clock: clock for the expiry of notices.
    """

    __slots__ = ("_register", "_clock")

    def __init__(self, register: poison.PoisonRegister, clock: clocks.Clock) -> None:
        self._register = register
        self._clock = clock

    async def handle_message(self, peer: str, body: bytes) -> bytes:
        """Apply a notice that a peer sent directly to this daemon.

        :param peer: sender.
        :param body: number of crashes and fingerprint, separated by a space.
        :return: empty answer.
        """
        crashes, _, fingerprint = body.decode("ascii", "replace").partition(" ")
        now_ms = self._clock.monotonic_ms()
        self.apply_notice(
            notices.StoredNotice(
                POISON_NOTICE, fingerprint, crashes, now_ms + poison.SUSPECT_TTL_MS
            )
        )
        return b""

    def apply_notice(self, peer_notice: notices.StoredNotice) -> None:
        """Apply a notice; drop it if its detail is not a number of crashes.

        :param peer_notice: notice of a peer.
        """
        if not peer_notice.detail.isdigit():
            return
        now_ms = self._clock.monotonic_ms()
        crashes = int(peer_notice.detail)
        is_quarantined = crashes >= poison.CRASHES_TO_QUARANTINE
        notice = fleets.PoisonNotice(
            peer_notice.subject, crashes, is_quarantined, peer_notice.expires_at_ms - now_ms
        )
        self._register.hear(notice, PEER_TRIAL_MS, now_ms)


class UsageAnnouncer:
    """Reports the teams' usage at this daemon, and the VMs it sees leaving, to the peers.

    :param peers: peer service.
    :param team_limits: rate and concurrency limits of the teams.
    :param leaving_vms: leaving VMs.
    :param clock: clock to wait on.
    """

    __slots__ = ("_peers", "_limits", "_leaving_vms", "_clock", "_announced_teams")

    def __init__(
        self,
        peers: peer_services.PeerService,
        team_limits: limits.TeamLimits,
        leaving_vms: leaving.LeavingVms,
        clock: clocks.Clock,
    ) -> None:
        self._peers = peers
        self._limits = team_limits
        self._leaving_vms = leaving_vms
        self._clock = clock
        self._announced_teams: set[str] = set()

    async def run(self) -> None:
        """Report periodically until cancelled."""
        while True:
            now_ms = self._clock.monotonic_ms()
            usage = self._limits.read_usage(now_ms)
            for team in self._announced_teams - usage.keys():
                self._peers.note_usage(team, 0, 0)
            for team, used in usage.items():
                self._peers.note_usage(team, used.running, round(used.requests_per_s))
            self._announced_teams = set(usage)
            for vm in self._leaving_vms.take_unannounced(now_ms):
                self._peers.announce(LEAVING_NOTICE, vm, leaving.LEAVING_TTL_MS)
            await self._clock.sleep_ms(ANNOUNCE_INTERVAL_MS)


def describe_capacity(free_slots: dict[str, int]) -> list[peer_records.ModelCapacity]:
    """Return free slots in the form of the peers' messages.

    :param free_slots: free slots by model.
    """
    return [
        peer_records.ModelCapacity(model=model, free_slots=max(0, free))
        for model, free in free_slots.items()
    ]
