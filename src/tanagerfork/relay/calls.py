"""Calls: what a caller asked for, what an upstream is sent, and what it answered."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Protocol

Headers = list[tuple[str, str]]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerFacts:
    """What the headers of a caller's request say.

    `prompt_tokens` and `answer_tokens` are 0 for a request that is not for a model.
    """

    request_id: str
    key: str
    deadline_ms: float
    model: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A caller's request as it came; `target` is the path with the query, not normalized."""

    facts: CallerFacts
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_at_ms: float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True, frozen=True)
class Outgoing:
    """What one send adds to a caller's request."""

    upstream_id: str
    team: str
    left_ms: int
    last_event_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load that an upstream told with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerFacts:
    """What the head of an upstream's answer says.

    `says_not_run` holds only where the upstream promises that it did not run the request.
    """

    request_id: str
    has_receipt: bool
    says_not_run: bool
    load: Load | None
    fault_at: str


class Dialect(Protocol):
    """Headers of callers and upstreams on one platform."""

    def read_request(self, headers: Mapping[str, str]) -> CallerFacts:
        """Read the headers of a caller's request.

        :param headers: headers, names in any case.
        :return: what they say.
        :raises BadRequest: a header is missing or malformed.
        """

    def make_headers(self, request: CallerRequest, outgoing: Outgoing) -> Headers:
        """Return the headers of one send.

        :param request: caller's request.
        :param outgoing: what this send adds.
        """

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFacts:
        """Read the head of an upstream's answer.

        :param status: status of the answer.
        :param headers: headers, names in any case.
        """

    def pass_headers(self, headers: Sequence[tuple[str, str]]) -> Headers:
        """Return the headers of an upstream's answer that the caller gets.

        :param headers: headers as they came.
        """

    def refuse_headers(self, request_id: str, retry_after_ms: int) -> Headers:
        """Return the headers of an answer that the daemon gives itself.

        :param request_id: id of the caller's attempt; empty where it is not known.
        :param retry_after_ms: when to come back; 0 for not at all.
        """


class Outcome(enum.Enum):
    """How one send ended."""

    ANSWERED = "answered"
    UNREACHED = "unreached"  # No byte of the request was sent.
    REFUSED = "refused"  # The upstream promises that it did not run the request.
    LOST = "lost"  # The request may have run.


NOT_RUN = frozenset((Outcome.UNREACHED, Outcome.REFUSED))
