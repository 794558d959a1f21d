"""Silence: whether members that do not answer the coordinator are lost, or its own links are.

Answers partitions between the coordinator and some or all of the upstreams. A member counts as lost
only if others have answered since it fell silent, and if a check of the reach that began after it
was found silent has been answered: a partition may spare open connections, over which some members
go on to answer.
"""

from collections.abc import Callable, Collection, Mapping

from tanagerfork.relay import observations

MIN_PROBED = 4  # Fewer members tell nothing about the links of this daemon.

# Returns whether a check of a service that began since a time, in milliseconds, was answered.
WasReachedSince = Callable[[str, float], bool]


def is_majority_silent(probed: Collection[observations.Observation]) -> bool:
    """Return whether most members are silent, so that this daemon seems to be cut off.

    :param probed: observations of the members that are probed.
    """
    silent = sum(seen.is_silent for seen in probed)
    return len(probed) >= MIN_PROBED and silent > len(probed) / 2


def find_lost(
    seen_by_id: Mapping[str, observations.Observation],
    probed: Collection[observations.Observation],
    was_reached_since: WasReachedSince,
) -> set[str]:
    """Return the ids of the upstreams that are silent though others are not.

    :param seen_by_id: observations of all upstreams.
    :param probed: observations of the members that are probed regularly.
    :param was_reached_since: whether a check of a service that began since a time was answered.
    """
    return {
        upstream_id
        for upstream_id, seen in seen_by_id.items()
        if seen.is_silent and _have_others_answered(seen, probed, was_reached_since)
    }


def _have_others_answered(
    seen: observations.Observation,
    probed: Collection[observations.Observation],
    was_reached_since: WasReachedSince,
) -> bool:
    others = [other for other in probed if other is not seen]
    heard = sum(other.reported_at_ms >= seen.silent_since_ms for other in others)
    if len(others) + 1 >= MIN_PROBED and heard < len(others) / 2:
        return False
    return was_reached_since(seen.upstream.service, seen.found_silent_at_ms)
