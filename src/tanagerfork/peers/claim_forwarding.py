"""Forwarding of claims to the daemon that writes their shard, over the peers' asks."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import msgspec
import result

from tanagerfork import errors
from tanagerfork.generated import claims
from tanagerfork.peers import exchange

CLAIM = "claim"
TIMEOUT_MS = 1000

Reply = result.Result[claims.ClaimReply, errors.PlatformError]


class Peers(Protocol):
    """What the forwarding needs of the peers' service."""

    def live(self) -> list[str]:
        """Return the live daemons of the failure domain, this one included."""

    def serve(self, kind: str, handler: exchange.Handler) -> None:
        """Have asks of a kind answered; see `Exchange.serve`."""

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Ask a daemon; see `Exchange.ask`."""


class ForwardedClaims:
    """The claims' way to the other daemons.

    :param peers: the peers' service.
    """

    __slots__ = ("_peers",)

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def list_live(self) -> Iterable[str]:
        """Return the names of the live daemons, as far as this one knows."""
        return self._peers.live()

    async def send(self, name: str, call: claims.ClaimCall) -> Reply:
        """Have another daemon write a claim or an outcome.

        :param name: daemon.
        :param call: what is to be written.
        :return: its reply; `AnswerLost` where the call may have taken effect all the same.
        """
        asked = await self._peers.ask(name, CLAIM, msgspec.msgpack.encode(call), TIMEOUT_MS)
        if isinstance(asked, result.Err):
            return result.Err(_translate(asked.err_value))
        try:
            return result.Ok(msgspec.msgpack.decode(asked.ok_value, type=claims.ClaimReply))
        except msgspec.MsgspecError:
            return result.Err(errors.AnswerLost(f"{name} answered badly; read the claim back"))

    def serve(self, write: Callable[[claims.ClaimCall], Awaitable[Reply]]) -> None:
        """Write claims for the other daemons.

        :param write: writes one.
        """

        async def answer(peer: str, body: bytes) -> bytes:
            written = await write(msgspec.msgpack.decode(body, type=claims.ClaimCall))
            if isinstance(written, result.Err):
                if written.err_value.ran != errors.NOT_RUN:
                    raise errors.AnswerWithheld(
                        "what came of it is not known; let the asker read back"
                    )
                raise written.err_value
            return msgspec.msgpack.encode(written.ok_value)

        self._peers.serve(CLAIM, answer)


def _translate(error: errors.PeerError) -> errors.PlatformError:
    if error.ran == errors.NOT_RUN:
        return errors.PlatformUnavailable(error.message)
    return errors.AnswerLost(error.message)
