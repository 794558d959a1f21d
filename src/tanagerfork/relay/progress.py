"""Progress of a caller's request, and where its answer goes."""

import dataclasses
from typing import Protocol

from tanagerfork.relay import calls, rules

LEAST_LEFT_MS = 20  # Below this no upstream can answer.
COME_BACK_SOON_MS = 200.0  # About the time in which the list shows a group that was formed anew.


@dataclasses.dataclass(slots=True, frozen=True)
class KeptFailure:
    """An upstream's own failure, for the caller if no other upstream does better."""

    status: int
    headers: calls.Headers
    body: bytes


class Sink(Protocol):
    """Where the answer goes."""

    has_begun: bool

    async def begin(self, status: int, headers: calls.Headers) -> None:
        """Send the head of a stream.

        :param status: status.
        :param headers: headers.
        """

    async def send(self, data: bytes) -> None:
        """Send part of a stream.

        :param data: whole events.
        """

    async def finish(self) -> None:
        """End a stream as complete."""

    async def answer(self, status: int, headers: calls.Headers, body: bytes) -> None:
        """Send a whole answer.

        :param status: status.
        :param headers: headers.
        :param body: body.
        """

    def cut(self) -> None:
        """End the connection so that the caller sees that the answer is not complete."""


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a request has come."""

    route: rules.Route
    service: rules.Service
    team: str
    ends_at_ms: float
    last_event_id: str
    fingerprint: str
    sends: int = 0  # Sends that may have run; what an upstream refuses does not count.
    not_run: int = 0  # Sends that reached no upstream or were refused as not run.
    has_arrived: bool = False  # Whether it reached an upstream, so that each further one counts.
    may_have_run: bool = False
    avoided: set[str] = dataclasses.field(default_factory=set)
    reason: str = ""
    come_back_ms: float = COME_BACK_SOON_MS
    is_reading: bool = False  # Whether the upstream that has it now still reads its prompt.
    kept_failure: KeptFailure | None = None

    @property
    def can_move(self) -> bool:
        """Whether one upstream more may get it after the one that has it now."""
        return self.route.is_repeatable and self.sends + 1 < self.route.attempts

    def left_ms(self, now_ms: float) -> float:
        """Return the time that is left, in milliseconds.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.ends_at_ms - now_ms
