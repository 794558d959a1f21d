"""Duty: the VMs whose reports this daemon reads itself."""

from tanagerfork.generated import layout
from tanagerfork.peers import gossip, observations, rendezvous

STALE_TTL_FRACTION = 0.7  # Share of the TTL past which a standby reads a VM as well.
STANDBYS_PER_GROUP = 8  # Daemons, observers included, that read a group with stale reports.


class ObserverDuty:
    """Assigns groups to observers by rendezvous hashing; standbys read those with stale reports.

    :param own: name of this daemon.
    :param observation_topic: known reports of the VMs.
    :param ttl_ms: age past which a report is ignored, in milliseconds.
    """

    __slots__ = (
        "_own",
        "_observation_topic",
        "_ttl_ms",
        "_names",
        "_groups",
        "_observed_groups",
        "_standby_groups",
        "_is_candidate",
    )

    def __init__(
        self, own: str, observation_topic: observations.ObservationTopic, ttl_ms: int
    ) -> None:
        self._own = own
        self._observation_topic = observation_topic
        self._ttl_ms = ttl_ms
        self._names: list[str] = [own]
        self._groups: list[str] = []
        self._observed_groups: set[int] = set()
        self._standby_groups: set[int] = set()
        self._is_candidate = True

    def update(
        self, peer_gossip: gossip.Gossip, current: layout.Layout | None, now_ms: int
    ) -> None:
        """Assign the groups again if the daemons or the groups changed.

        :param peer_gossip: knows the live daemons.
        :param current: layout in force, None if unknown.
        :param now_ms: monotonic clock, in milliseconds.
        """
        names = peer_gossip.live(now_ms)
        groups = [group.group for group in current.groups] if current else []
        if names == self._names and groups == self._groups:
            return
        self._names, self._groups = names, groups
        self._observed_groups, self._standby_groups = set(), set()
        for index, group in enumerate(groups):
            ranked = rendezvous.rank_observers(group, names)
            if self._own in ranked[: rendezvous.OBSERVERS_PER_GROUP]:
                self._observed_groups.add(index)
            elif self._own in ranked[:STANDBYS_PER_GROUP]:
                self._standby_groups.add(index)
        self._is_candidate = self._own in rendezvous.choose_coordinator_candidates(names)

    def should_observe(self, vm: str, now_ms: int) -> bool:
        """Return whether this daemon should read a VM's report now.

        :param vm: VM.
        :param now_ms: monotonic clock, in milliseconds.
        """
        index = self._observation_topic.find_group_index(vm)
        if index is None:
            return self._is_candidate
        if index in self._observed_groups or len(self._names) <= 1:
            return True
        if index not in self._standby_groups:
            return False
        age_ms = self._observation_topic.measure_age(vm, now_ms)
        return age_ms is None or age_ms > self._ttl_ms * STALE_TTL_FRACTION
