"""Topics: content that messages between daemons carry besides membership."""

import dataclasses
from typing import Protocol

from tanagerfork.generated import peers


@dataclasses.dataclass(slots=True, frozen=True)
class Receiver:
    """The receiver of a message that is filled."""

    name: str
    is_foreign: bool
    is_full_sync: bool


class Topic(Protocol):
    """A kind of content that messages carry."""

    def fill(
        self, message: peers.PeerMessage, receiver: Receiver, budget_bytes: int, now_ms: int
    ) -> int:
        """Add content to a message.

        :param message: message to fill.
        :param receiver: receiver of the message.
        :param budget_bytes: bytes left; if not positive, only content due at once may be added.
        :param now_ms: monotonic clock, in milliseconds.
        :return: bytes used.
        """

    def apply(self, message: peers.PeerMessage, delay_ms: int, now_ms: int) -> None:
        """Apply content of a message.

        :param message: authenticated message, proven to be fresh.
        :param delay_ms: upper bound of its delay.
        :param now_ms: monotonic clock, in milliseconds.
        """
