"""Progress of a caller's request, and the sink for its response."""

import dataclasses
from typing import Protocol

from tanagerfork.relay import calls, memory, rules
from tanagerfork.relay import regions as region_rules

MIN_REMAINING_MS = 20  # No upstream can answer in less.
DEFAULT_RETRY_AFTER_MS = 200.0  # About the time until a re-formed group is listed.


@dataclasses.dataclass(slots=True, frozen=True)
class KeptFailure:
    """An upstream's error response, sent to the caller if no retry succeeds."""

    status: int
    headers: calls.Headers
    body: bytes


class Sink(Protocol):
    """Receives the response for a caller."""

    @property
    def has_started(self) -> bool:
        """Whether anything was written to the caller."""

    async def start_stream(self, status: int, headers: calls.Headers) -> None:
        """Send the status and headers of a stream.

        :param status: HTTP status.
        :param headers: headers.
        """

    async def send(self, data: bytes) -> None:
        """Send part of a stream.

        :param data: complete events.
        """

    async def finish_stream(self) -> None:
        """End a complete stream."""

    async def send_response(self, status: int, headers: calls.Headers, body: bytes) -> None:
        """Send a complete response.

        :param status: HTTP status.
        :param headers: headers.
        :param body: body.
        """

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that the response is incomplete."""


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request across its sends to upstreams."""

    route: rules.Route
    service: rules.Service
    team: str
    deadline_at_ms: float
    last_event_id: str
    fingerprint: str
    attempts: int  # Sends that may be made.
    must_hand_over: bool = False  # The rules here are too old to serve it by.
    priority: int = 0  # Effective priority, 0 first.
    queue_priority: int | None = None  # See `calls.SendFields`.
    admitted_share: float = 1.0  # Of requests of its team and priority; below 1 in an overload.
    sends: int = 0  # Sends that may have run; refused ones do not count.
    open_sends: int = 0  # Sends that have not ended.
    not_run_sends: int = 0  # Sends that reached no upstream or were refused.
    has_reached_upstream: bool = False  # If so, further sends use the retry budget.
    may_have_run: bool = False
    is_quarantined: bool = False
    has_succeeded: bool = False  # Whether the response was a complete success.
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    last_failure: str = ""
    retry_after_ms: float = DEFAULT_RETRY_AFTER_MS
    stream_type: str = ""  # Media type that the stream began with; empty if none was named.
    answer_events: int = 0  # Events of a stream that this daemon has passed on.
    kept_failure: KeptFailure | None = None
    regions: region_rules.Regions = None  # Those in which the request may run.
    holding: memory.Holding = dataclasses.field(default_factory=memory.Holding)

    @property
    def can_retry(self) -> bool:
        """Whether the request may go to another upstream beside or after the open sends."""
        return self.route.is_repeatable and self.sends + self.open_sends < self.attempts

    @property
    def may_be_answered_otherwise(self) -> bool:
        """Whether an answer may still come from another send than the one that asks."""
        return self.open_sends > 1 or self.can_retry

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the deadline, in milliseconds.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.deadline_at_ms - now_ms
