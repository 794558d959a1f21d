"""The platform's HTTP headers: their names, and reading and writing them."""

import math
import re
from collections.abc import Mapping, Sequence

from tanagerfork import errors
from tanagerfork.relay import calls

REQUEST_ID = "Tanagerfork-Request-Id"  # Names one attempt of the caller, not the whole request.
DEADLINE = "Tanagerfork-Deadline-Ms"  # Time left until the deadline.
EXPECTED_ID = "Tanagerfork-Expect-Instance"  # Id of the upstream that may run the request.
TEAM = "Tanagerfork-Tenant"
PRIORITY = "Tanagerfork-Request-Priority"  # 0 to 9, 0 first; upstreams take 5 where it is absent.
MODEL = "Tanagerfork-Model"
TOKENS = "Tanagerfork-Tokens"  # Tokens of the prompt, then the token limit of the answer.
PREFIX = "Tanagerfork-Prefix-Hash"  # Parts of the prompt as ID:TOKENS; the last is its own.
RECEIPT = "Tanagerfork-Server-Stamp"
NOT_RUN = "Tanagerfork-Not-Run"
LOAD = "Tanagerfork-Load"  # Running, waiting, slots.
FAULT_AT = "At-Server"  # Address of the member at fault if a group refuses or breaks.
LEAVING = "Server-Leaving"  # 1 while the upstream leaves; other values say nothing.
LIMIT = "Server-Limit"  # Requests a second that an upstream takes from all daemons together.
LAST_EVENT_ID = "Last-Event-Id"
RETRY_AFTER = "Retry-After"  # Seconds, with a fraction.
AUTHORIZATION = "Authorization"
EXPECTATION = "Expect"  # Met by the daemon, which sends a request once it has the whole body.
BEARER_PREFIX = "Bearer "

DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
LOAD_FIGURES = re.compile(r" *([0-9]{1,6}) *, *([0-9]{1,6}) *, *([0-9]{1,6}) *")
PART = re.compile(r"(?:^|(?<=,))\s*([0-9a-f]{1,64})\s*(?=[:,])")
MAX_TOKENS = 2**31  # No prompt or answer is as long; larger ones would spoil learned means.
MAX_SHARED_PARTS = 4096  # More than a header of 16 KiB holds.
MAX_QUIET_MS = 600_000.0  # An upstream that asks for more is asked again after this time.
BUSY = 503
MISDIRECTED = 421  # Another upstream now has the address; it does not run the request.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_ID,
        TEAM,
        AUTHORIZATION,
        LAST_EVENT_ID,
        "Content-Length",
        EXPECTATION,
    )
)
REPLACED_ON_HANDOVER = frozenset(
    name.lower() for name in (DEADLINE, LAST_EVENT_ID, "Content-Length", EXPECTATION)
)


class PlatformDialect:
    """Reads and writes the platform's headers; see `calls.Dialect`."""

    __slots__ = ()

    def read_request(self, headers: Mapping[str, str]) -> calls.CallerFacts:
        """Read the headers of a caller's request; see `calls.Dialect.read_request`."""
        authorization = headers.get(AUTHORIZATION, "")
        prompt, _, answer = headers.get(TOKENS, "0").partition(",")
        try:
            deadline_ms = float(headers.get(DEADLINE, "inf"))
            tokens = int(prompt), int(answer or 0)
        except ValueError as error:
            message = f"{DEADLINE} or {TOKENS} is malformed; send numbers"
            raise errors.BadRequest(message) from error
        if not all(0 <= count <= MAX_TOKENS for count in tokens):
            raise errors.BadRequest(f"{TOKENS} is out of range; send numbers of tokens")
        if math.isnan(deadline_ms):
            raise errors.BadRequest(f"{DEADLINE} is not a number; send milliseconds")
        is_bearer = authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX.lower()
        return calls.CallerFacts(
            request_id=headers.get(REQUEST_ID, ""),
            key=authorization[len(BEARER_PREFIX) :].strip() if is_bearer else "",
            deadline_ms=deadline_ms,
            model=headers.get(MODEL, ""),
            prompt_tokens=tokens[0],
            answer_tokens=tokens[1],
            last_event_id=headers.get(LAST_EVENT_ID, ""),
            prompt_parts=_parse_shared_parts(headers.get(PREFIX, "")),
        )

    def make_upstream_headers(
        self, request: calls.CallerRequest, outgoing: calls.SendFields
    ) -> calls.Headers:
        """Return the headers for an upstream; see `calls.Dialect.make_upstream_headers`."""
        dropped = HOP_BY_HOP | REPLACED_HEADERS | _parse_connection_header(request.headers)
        if outgoing.queue_priority is not None:
            dropped |= {PRIORITY.lower()}
        headers = [(name, value) for name, value in request.headers if name.lower() not in dropped]
        headers.append((DEADLINE, str(outgoing.left_ms)))
        headers.append((EXPECTED_ID, outgoing.upstream_id))
        if outgoing.queue_priority is not None:
            headers.append((PRIORITY, str(outgoing.queue_priority)))
        if outgoing.team:
            headers.append((TEAM, outgoing.team))
        if outgoing.last_event_id:
            headers.append((LAST_EVENT_ID, outgoing.last_event_id))
        return headers

    def make_forwarded_headers(
        self, request: calls.CallerRequest, left_ms: int, last_event_id: str
    ) -> calls.Headers:
        """Return the headers for another daemon; see `calls.Dialect.make_forwarded_headers`."""
        dropped = HOP_BY_HOP | REPLACED_ON_HANDOVER | _parse_connection_header(request.headers)
        headers = [(name, value) for name, value in request.headers if name.lower() not in dropped]
        headers.append((DEADLINE, str(left_ms)))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id))
        return headers

    def read_response(self, status: int, headers: Mapping[str, str]) -> calls.ResponseFacts:
        """Read the headers of an upstream's response; see `calls.Dialect.read_response`."""
        return calls.ResponseFacts(
            request_id=headers.get(REQUEST_ID, ""),
            has_receipt=RECEIPT in headers,
            says_not_run=NOT_RUN in headers or status == MISDIRECTED,
            load=_parse_load(headers.get(LOAD, "")),
            fault_at=headers.get(FAULT_AT, ""),
            limit_per_s=_parse_limit(headers.get(LIMIT)),
            is_leaving=says_leaving(headers),
            quiet_ms=_parse_quiet_ms(status, headers.get(RETRY_AFTER, "")),
        )

    def filter_response_headers(self, headers: Sequence[tuple[str, str]]) -> calls.Headers:
        """Return the headers for the caller; see `calls.Dialect.filter_response_headers`."""
        dropped = HOP_BY_HOP | _parse_connection_header(headers) | {"content-length"}
        return [(name, value) for name, value in headers if name.lower() not in dropped]

    def make_error_headers(self, request_id: str, retry_after_ms: int) -> calls.Headers:
        """Return the headers of an own response; see `calls.Dialect.make_error_headers`."""
        headers = [(REQUEST_ID, request_id)] if request_id else []
        if retry_after_ms:
            headers.append((RETRY_AFTER, f"{retry_after_ms / 1000:g}"))
        return headers


def says_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether an upstream says with a response that it leaves.

    :param headers: headers of the response.
    """
    return headers.get(LEAVING, "").strip() == "1"


def _parse_connection_header(headers: Sequence[tuple[str, str]]) -> frozenset[str]:
    values = [value for name, value in headers if name.lower() == "connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(","))


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last; malformed parts are left out."""
    shared, comma, _ = text.rpartition(",")
    return tuple(dict.fromkeys(PART.findall((shared + comma).lower())))[:MAX_SHARED_PARTS]


def _parse_limit(text: str | None) -> float | None:
    """Return a limit; None if there is none, NaN if it is no finite number from 0 on."""
    if text is None:
        return None
    return float(text) if DECIMAL.fullmatch(text.strip()) else math.nan


def _parse_quiet_ms(status: int, text: str) -> float:
    """Return the time of a refusal's Retry-After; 0 if there is none, or if it is a date."""
    if status != BUSY or not DECIMAL.fullmatch(text.strip()):
        return 0.0
    return min(MAX_QUIET_MS, float(text) * 1000)


def _parse_load(text: str) -> calls.Load | None:
    figures = LOAD_FIGURES.fullmatch(text)
    return calls.Load(*(int(figure) for figure in figures.groups())) if figures else None
