"""Rendezvous hashing: assigns tasks to daemons without coordination."""

from collections.abc import Iterable

import xxhash

OBSERVERS_PER_GROUP = 2
WATCHERS = 2
BRIDGES = 2
COORDINATOR_CANDIDATES = 3

OBSERVER_KEY_PREFIX = "observer/"
WATCHER_KEY = "watcher"
CLAIM_SHARD_KEY_PREFIX = "claims/"
BRIDGE_KEY = "bridge"
CONTACT_KEY_PREFIX = "contact/"
COORDINATOR_KEY = "coordinator"


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their hash with a key.

    :param key: key of the task.
    :param names: candidate daemons.
    :return: highest rank first; the order of two names does not depend on the others.
    """
    return sorted(
        names, key=lambda name: (-xxhash.xxh64_intdigest(f"{key}\n{name}".encode()), name)
    )


def choose(key: str, names: Iterable[str], count: int) -> list[str]:
    """Choose the daemons for a task.

    :param key: key of the task.
    :param names: candidate daemons.
    :param count: maximum number of daemons.
    :return: chosen daemons, highest rank first.
    """
    return rank(key, names)[:count]


def rank_observers(group: str, names: Iterable[str]) -> list[str]:
    """Order daemons by their rank as observers of a group.

    :param group: group.
    :param names: live daemons of the failure domain.
    """
    return rank(OBSERVER_KEY_PREFIX + group, names)


def choose_observers(group: str, names: Iterable[str]) -> list[str]:
    """Choose the observers of a group.

    :param group: group.
    :param names: live daemons of the failure domain.
    """
    return rank_observers(group, names)[:OBSERVERS_PER_GROUP]


def choose_watchers(names: Iterable[str]) -> list[str]:
    """Choose the watchers of the bundle head.

    :param names: live daemons of the failure domain.
    """
    return choose(WATCHER_KEY, names, WATCHERS)


def choose_bridges(names: Iterable[str]) -> list[str]:
    """Choose the bridges to other failure domains.

    :param names: live daemons of the failure domain.
    """
    return choose(BRIDGE_KEY, names, BRIDGES)


def choose_coordinator_candidates(names: Iterable[str]) -> list[str]:
    """Choose the daemons that try to acquire the coordinator's lease.

    :param names: live daemons of the failure domain.
    """
    return choose(COORDINATOR_KEY, names, COORDINATOR_CANDIDATES)
