"""Topics: what rides on the messages between daemons besides membership."""

import dataclasses
from typing import Protocol

from tanagerfork.generated import peers


@dataclasses.dataclass(slots=True, frozen=True)
class Receiver:
    """Whom a message is filled for."""

    name: str
    is_foreign: bool
    is_full_sync: bool


class Topic(Protocol):
    """A kind of content that rides on the messages."""

    def fill(
        self, message: peers.PeerMessage, receiver: Receiver, budget_bytes: int, now_ms: int
    ) -> int:
        """Put content on a message.

        :param message: message to fill.
        :param receiver: whom it goes to.
        :param budget_bytes: room that is left; not positive where only what is due at once may go.
        :param now_ms: monotonic clock, in milliseconds.
        :return: bytes used.
        """

    def apply(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Take content in.

        :param message: authentic message that is proven to be fresh.
        :param delay_ms: longest time that it can have travelled.
        :param now_ms: monotonic clock, in milliseconds.
        """
