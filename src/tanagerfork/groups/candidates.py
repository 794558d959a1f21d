"""Candidates: the few daemons of a failure domain that read, watch and coordinate for all."""

from collections.abc import Callable, Sequence

import xxhash

CANDIDATES = 3  # Daemons that watch one value, so that calls grow with failure domains.

LiveDaemons = Callable[[], Sequence[str]]


def rank_daemons(subject: str, names: Sequence[str]) -> list[str]:
    """Rank daemons for a subject, in the same order at every daemon.

    :param subject: what the daemons are wanted for, such as the layout of a failure domain.
    :param names: live daemons.
    :return: the daemons, first choice first.
    """
    return sorted(names, key=lambda name: (_weigh(subject, name), name))


def find_rank(subject: str, own_name: str, names: Sequence[str]) -> int:
    """Return how many live daemons come before this one.

    :param subject: what the daemons are wanted for.
    :param own_name: this daemon, which counts as live even where it is not listed.
    :param names: live daemons.
    """
    return rank_daemons(subject, list({own_name, *names})).index(own_name)


def _weigh(subject: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject}\n{name}".encode())
