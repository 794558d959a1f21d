"""Forwards claims to the daemon that writes their shard, as requests between peers."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.generated import claims
from tanagerfork.peers import exchange

CLAIM = "claim"
TIMEOUT_MS = 1000

Reply = result.Result[claims.ClaimReply, errors.PlatformError]


class Peers(Protocol):
    """The part of the peer service that the forwarding uses."""

    def live(self) -> list[str]:
        """Return the live daemons of the failure domain, this one included."""

    def serve(self, kind: str, handler: exchange.Handler) -> None:
        """Register a handler for requests of a kind; see `Exchange.serve`."""

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Send a request to a daemon; see `Exchange.ask`."""


class ForwardedClaims:
    """Sends claims to other daemons and serves theirs.

    :param peers: peer service.
    """

    __slots__ = ("_peers",)

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def list_live(self) -> Iterable[str]:
        """Return the names of the daemons that this one considers live."""
        return self._peers.live()

    async def send(self, name: str, call: claims.ClaimCall) -> Reply:
        """Request that another daemon write a claim or an outcome.

        :param name: daemon.
        :param call: claim or outcome to write.
        :return: its reply; `AnswerLost` if the call may have taken effect without a reply.
        """
        answered = await self._peers.ask(name, CLAIM, msgspec.msgpack.encode(call), TIMEOUT_MS)
        if isinstance(answered, result.Err):
            return result.Err(_to_platform_error(answered.err_value))
        try:
            return result.Ok(decoding.decode_msgpack(answered.ok_value, claims.ClaimReply))
        except msgspec.MsgspecError:
            return result.Err(
                errors.AnswerLost(f"{name} sent an invalid answer; read the claim back")
            )

    def serve(self, write: Callable[[claims.ClaimCall], Awaitable[Reply]]) -> None:
        """Serve claims that other daemons forward.

        :param write: writes a claim or an outcome.
        """

        async def answer(peer: str, body: bytes) -> bytes:
            written = await write(decoding.decode_msgpack(body, claims.ClaimCall))
            if isinstance(written, result.Err):
                if written.err_value.ran != errors.NOT_RUN:
                    raise errors.AnswerWithheld(
                        "outcome of the write is unknown; the requester has to read the claim back"
                    )
                raise written.err_value
            return msgspec.msgpack.encode(written.ok_value)

        self._peers.serve(CLAIM, answer)


def _to_platform_error(error: errors.PeerError) -> errors.PlatformError:
    if error.ran == errors.NOT_RUN:
        return errors.PlatformUnavailable(error.message)
    return errors.AnswerLost(error.message)
