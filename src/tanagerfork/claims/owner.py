"""Which daemon writes a shard by preference, and the way to it.

The preference is for speed only: claims that meet at one daemon share a write. Safety is the
compare-and-swap, whoever writes.
"""

from collections.abc import Iterable
from typing import Protocol

import result

from tanagerfork import errors
from tanagerfork.generated import claims
from tanagerfork.peers import rendezvous


class ClaimPeers(Protocol):
    """What the claims need of the other daemons."""

    def list_live(self) -> Iterable[str]:
        """Return the names of the live daemons, as far as this one knows."""

    async def send(
        self, name: str, call: claims.ClaimCall
    ) -> result.Result[claims.ClaimReply, errors.PlatformError]:
        """Have another daemon write a claim or an outcome.

        :param name: daemon.
        :param call: what is to be written.
        :return: its reply, or why there is none within a bounded time; the call may have taken
            effect all the same.
        """


class NoPeers:
    """A daemon that writes everything itself."""

    __slots__ = ()

    def list_live(self) -> Iterable[str]:
        """Return no names."""
        return ()

    async def send(
        self, name: str, call: claims.ClaimCall
    ) -> result.Result[claims.ClaimReply, errors.PlatformError]:
        """Refuse; see `ClaimPeers.send`."""
        return result.Err(errors.PlatformUnavailable(f"{name} is not known; write directly"))


def choose_owner(shard: str, names: Iterable[str]) -> str | None:
    """Return the preferred writer of a shard, by rendezvous hashing.

    :param shard: key of the shard.
    :param names: live daemons.
    :return: name of a daemon, None where there are none.
    """
    return next(iter(rendezvous.choose(rendezvous.CLAIM_SHARD + shard, names, 1)), None)
