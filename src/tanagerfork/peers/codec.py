"""Codec: encodes messages between daemons as authenticated msgpack."""

import hashlib
import hmac
from collections.abc import Sequence

import msgspec
import result

from tanagerfork import errors
from tanagerfork.generated import peers

PROTOCOL = 1
MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES
MESSAGE_LIMIT_BYTES = 256 * 1024

OVERSIZED = "oversized"
GARBAGE = "garbage"
OTHER_VERSION = "other_version"
WRONG_KEY = "wrong_key"


class InvalidMessage(errors.PeerMessageInvalid):
    """Error of a frame that is dropped.

    :param reason: label of its counter.
    :param message: cause and remedy.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class Codec:
    """Encodes and decodes messages, authenticated by shared keys.

    :param keys: key for sending, then former ones that are still accepted.
    """

    __slots__ = ("_keys", "_encoder", "_decoder")

    def __init__(self, keys: Sequence[str]) -> None:
        self._keys = [hashlib.sha256(key.encode()).digest() for key in keys]
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(peers.PeerMessage)

    def encode(self, message: peers.PeerMessage, receiver: str) -> bytes:
        """Encode a message for one receiver.

        :param message: message.
        :param receiver: IP:port of the receiver, which is authenticated but not sent.
        :return: frame.
        """
        body = self._encoder.encode(message)
        return bytes((PROTOCOL,)) + _sign(self._keys[0], receiver, body) + body

    def decode(
        self, frame: bytes, receiver: str
    ) -> result.Result[peers.PeerMessage, InvalidMessage]:
        """Authenticate and decode a frame.

        :param frame: received frame.
        :param receiver: IP:port of this daemon.
        :return: the message, or why the frame is dropped.
        """
        if len(frame) > MESSAGE_LIMIT_BYTES:
            return _refuse(
                OVERSIZED,
                f"{len(frame)} bytes exceed the frame limit; upgrade one of the two daemons",
            )
        if len(frame) <= HEADER_BYTES:
            return _refuse(GARBAGE, "frame is too short; check what else connects to the peer port")
        if frame[0] != PROTOCOL:
            return _refuse(
                OTHER_VERSION,
                f"protocol version {frame[0]} is not supported; upgrade one of the two daemons",
            )
        mac, body = frame[1:HEADER_BYTES], frame[HEADER_BYTES:]
        if not any(hmac.compare_digest(_sign(key, receiver, body), mac) for key in self._keys):
            return _refuse(
                WRONG_KEY, "no shared key matches; compare peers.shared_key of the daemons"
            )
        try:
            return result.Ok(self._decoder.decode(body))
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError, RecursionError) as error:
            return _refuse(
                GARBAGE, f"{error}: cannot decode the message; upgrade one of the two daemons"
            )


def _sign(key: bytes, receiver: str, body: bytes) -> bytes:
    authenticated = bytes((PROTOCOL,)) + receiver.encode() + b"\n" + body
    return hmac.digest(key, authenticated, "sha256")[:MAC_BYTES]


def _refuse(reason: str, message: str) -> result.Err[InvalidMessage]:
    return result.Err(InvalidMessage(reason, message))
