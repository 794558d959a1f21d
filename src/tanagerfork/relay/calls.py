"""Data of one call: the caller's request, what is sent to an upstream, and its response."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

from tanagerfork import errors
from tanagerfork.relay import memory, time_limits

NOT_RUN_STATUSES = frozenset((429, 503, 408, 421))  # These promise callers "not run".

Headers = list[tuple[str, str]]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerFacts:
    """Values of the headers of a caller's request.

    `prompt_tokens` and `answer_tokens` are 0 for a request that is not for a model. `prompt_parts`
    identifies the parts of the prompt that other requests may share, in their order.
    """

    request_id: str
    key: str
    deadline_ms: float
    model: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str
    prompt_parts: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Handover:
    """What another daemon says of a request that it hands over.

    `attempts` is the number of sends to upstreams that may still be made, `rules_version` the
    oldest version of the rules by which the request may be served.
    """

    attempts: int
    rules_version: int


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A caller's request as received; `target` is the path with the query, not normalized.

    `handover` is None where the caller sent the request to this daemon. `holding` counts the memory
    that the exchange takes. `time_limit` may end before the deadline.
    """

    facts: CallerFacts
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_at_ms: float
    handover: Handover | None = None
    holding: memory.Holding = dataclasses.field(default_factory=memory.Holding)
    time_limit: time_limits.TimeLimit = dataclasses.field(default_factory=time_limits.TimeLimit)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True, frozen=True)
class SendFields:
    """Values that one send adds to a caller's request.

    `queue_priority` orders the queue of a model's upstream, 0 first; None leaves that to the
    caller's own header.
    """

    upstream_id: str
    team: str
    left_ms: int
    last_event_id: str
    queue_priority: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load that an upstream reported with a response."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseFacts:
    """Values of the headers of an upstream's response.

    `says_not_run` is set only if the upstream guarantees that it did not run the request.
    `fault_at` is the address of the member at fault, if the upstream named one. `limit_per_s` is
    how many requests a second the upstream says it takes from all daemons together, None if it
    names no limit, NaN if its value cannot be read. `quiet_ms` is for how long a refusing upstream
    wants no request from this daemon. `is_leaving` is set if the upstream says that it leaves.
    """

    request_id: str
    has_receipt: bool
    says_not_run: bool
    load: Load | None
    fault_at: str
    limit_per_s: float | None = None
    quiet_ms: float = 0.0
    is_leaving: bool = False


class Dialect(Protocol):
    """Reads and writes the headers that a platform uses for callers and upstreams."""

    def read_request(self, headers: Mapping[str, str]) -> CallerFacts:
        """Read the headers of a caller's request.

        :param headers: headers; the case of names does not matter.
        :return: values of the headers.
        :raises BadRequest: a header is missing or malformed.
        """

    def make_upstream_headers(self, request: CallerRequest, outgoing: SendFields) -> Headers:
        """Return the headers of one send.

        :param request: caller's request.
        :param outgoing: values that this send adds.
        """

    def make_forwarded_headers(
        self, request: CallerRequest, left_ms: int, last_event_id: str
    ) -> Headers:
        """Return the headers with which a request is handed over to another daemon.

        :param request: caller's request.
        :param left_ms: time until the deadline, in milliseconds.
        :param last_event_id: last event of the stream that the caller has got; empty for none.
        """

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseFacts:
        """Read the headers of an upstream's response.

        :param status: status of the response.
        :param headers: headers; the case of names does not matter.
        """

    def filter_response_headers(self, headers: Sequence[tuple[str, str]]) -> Headers:
        """Return the headers of an upstream's response that are passed on to the caller.

        :param headers: headers as received.
        """

    def make_error_headers(self, request_id: str, retry_after_ms: int) -> Headers:
        """Return the headers of an error response that the daemon itself makes.

        :param request_id: id of the caller's attempt; empty if it is not known.
        :param retry_after_ms: time to wait before a retry, in milliseconds; 0 for no such header.
        """


class Outcome(enum.Enum):
    """How one send ended."""

    ANSWERED = "answered"
    UNREACHED = "unreached"  # No byte of the request was sent.
    REFUSED = "refused"  # The upstream guarantees that it did not run the request.
    LOST = "lost"  # The request may have run.


NOT_RUN = frozenset((Outcome.UNREACHED, Outcome.REFUSED))


def classify(error: errors.UpstreamError) -> Outcome:
    """Return how a send ended that failed.

    :param error: why it failed.
    """
    if isinstance(error, errors.UpstreamUnreachable):
        return Outcome.UNREACHED
    if isinstance(error, errors.UpstreamRefused):
        return Outcome.REFUSED
    return Outcome.LOST
