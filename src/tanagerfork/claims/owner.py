"""The preferred writer of a shard, and the interface to the writers of other daemons.

The preference only serves efficiency: claims that arrive at one daemon share a write. Correctness
depends on the compare-and-swap alone, so any daemon may write.
"""

from collections.abc import Iterable
from typing import Protocol

import result

from tanagerfork import errors
from tanagerfork.generated import claims
from tanagerfork.peers import rendezvous


class ClaimPeers(Protocol):
    """Interface to the other daemons."""

    def list_live(self) -> Iterable[str]:
        """Return the names of the daemons that this one considers live."""

    async def send(
        self, name: str, call: claims.ClaimCall
    ) -> result.Result[claims.ClaimReply, errors.PlatformError]:
        """Send a claim or an outcome to another daemon, which writes it.

        :param name: daemon.
        :param call: shard and record.
        :return: its reply, or the reason why there is none within a bounded time; the write may
            have taken effect nevertheless.
        """


class NoPeers:
    """No other daemons: this daemon writes all shards itself."""

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
    :return: name of a daemon, None if there are none.
    """
    return next(iter(rendezvous.choose(rendezvous.CLAIM_SHARD_KEY_PREFIX + shard, names, 1)), None)
