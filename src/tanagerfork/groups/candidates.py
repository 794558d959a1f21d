"""Candidates: the daemons of a failure domain that watch the layout and may become coordinator."""

from collections.abc import Callable, Sequence

from tanagerfork.peers import rendezvous

LiveDaemons = Callable[[], Sequence[str]]


def find_rank(own_name: str, names: Sequence[str]) -> int:
    """Return how many live daemons rank before this one.

    :param own_name: this daemon, which counts as live even if it is not listed.
    :param names: live daemons of the failure domain.
    """
    return rendezvous.rank(rendezvous.COORDINATOR_KEY, {own_name, *names}).index(own_name)


def is_candidate(own_name: str, names: Sequence[str]) -> bool:
    """Return whether this daemon watches the layout and competes for the lease.

    :param own_name: this daemon.
    :param names: live daemons of the failure domain.
    """
    return find_rank(own_name, names) < rendezvous.COORDINATOR_CANDIDATES
