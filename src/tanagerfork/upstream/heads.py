"""Heads: what a proper head and a proper trailer of an HTTP/1 response is (RFC 9110, RFC 9112).

The HTTP library is lenient towards servers, and what it accepts changes with its version. Where two
readers of a response can differ in what it says, its bytes belong to no request for certain.
"""

import dataclasses
import enum
import math
import re
from collections.abc import Sequence

import aiohttp

MAX_QUOTED_BYTES = 60  # Of a line, in an error.
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
STATUSES_WITHOUT_BODY = frozenset((NO_CONTENT, 304))
MAX_LENGTH_DIGITS = 18

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?")
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _TEXT + rb")")
_IDLE_TIMEOUT = re.compile(rb"(?:^|timeout=)\s*([0-9]{1,9})\b", re.IGNORECASE)
_LENGTH = re.compile(rb"[0-9]{1,%d}" % MAX_LENGTH_DIGITS)


class ImproperAnswer(aiohttp.ClientPayloadError):
    """Bytes that are no proper response; the request that they follow may have run."""


class Framing(enum.Enum):
    """What marks the end of a body."""

    NO_BODY = "the head"
    LENGTH = "its length"
    CHUNKS = "an empty chunk"
    CLOSE = "the end of the connection"


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """What the head of a response says of its body; `length` is 0 for other framings.

    `idle_timeout_s` is after how long the connection is closed that nothing is sent on.
    """

    status: int
    framing: Framing
    length: int = 0
    idle_timeout_s: float = math.inf

    @property
    def is_final(self) -> bool:
        """Whether it is the head of the answer, rather than of an informational response."""
        return self.status >= FIRST_FINAL_STATUS


def read_head(lines: Sequence[bytes], is_body_expected: bool = True) -> Head:
    """Return what a head says.

    :param lines: its lines without their ends, the status line first.
    :param is_body_expected: whether the request allows a body in the response.
    :raises ImproperAnswer: it is no proper head.
    """
    version, status = read_status_line(lines[0])
    fields = [read_field(line) for line in lines[1:]]
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    lengths = [value for name, value in fields if name == b"content-length"]
    framing, length = _read_framing(version, codings, lengths)
    idle_timeout_s = _read_idle_timeout_s(fields)
    if status < FIRST_FINAL_STATUS or status in STATUSES_WITHOUT_BODY:
        allows_length = status not in (NO_CONTENT, *range(FIRST_FINAL_STATUS))
        if framing is Framing.CHUNKS or (length and not allows_length):
            raise ImproperAnswer(f"a body in a response of status {status}")
        return Head(status, Framing.NO_BODY, idle_timeout_s=idle_timeout_s)
    if not is_body_expected:
        return Head(status, Framing.NO_BODY, idle_timeout_s=idle_timeout_s)
    return Head(status, framing, length, idle_timeout_s)


def read_status_line(line: bytes) -> tuple[int, int]:
    """Return the minor version of HTTP/1 and the status.

    :param line: line without its end.
    :raises ImproperAnswer: it is no proper status line.
    """
    matched = _STATUS_LINE.fullmatch(line)
    if matched is None:
        raise ImproperAnswer(f"no proper status line: {quote(line)}")
    version, status = int(matched[1]), int(matched[2])
    if status == SWITCHING_PROTOCOLS:
        raise ImproperAnswer("a change of the protocol that was not requested")
    return version, status


def read_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name of a field, in lower case, and its value.

    :param line: line of a head or a trailer, without its end.
    :raises ImproperAnswer: it is no proper field; folded lines are none either.
    """
    matched = _FIELD.fullmatch(line)
    if matched is None:
        raise ImproperAnswer(f"no proper header field: {quote(line)}")
    return matched[1].lower(), matched[2].strip(b"\t ")


def quote(line: bytes) -> str:
    """Return the beginning of a line for an error.

    :param line: bytes as received.
    """
    return repr(line[:MAX_QUOTED_BYTES])


def _read_idle_timeout_s(fields: Sequence[tuple[bytes, bytes]]) -> float:
    """Return the least time that the Keep-Alive fields name; infinite if none does."""
    values = [value for name, value in fields if name == b"keep-alive"]
    found = [_IDLE_TIMEOUT.search(value) for value in values]
    return min((float(matched[1]) for matched in found if matched), default=math.inf)


def _read_framing(
    version: int, codings: Sequence[bytes], lengths: Sequence[bytes]
) -> tuple[Framing, int]:
    if codings:
        if version == 0 or lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise ImproperAnswer(f"no proper transfer coding: {quote(codings[0])}")
        return Framing.CHUNKS, 0
    if not lengths:
        return Framing.CLOSE, 0
    if len(lengths) > 1 or _LENGTH.fullmatch(lengths[0]) is None:
        raise ImproperAnswer(f"no proper length: {quote(b', '.join(lengths))}")
    return Framing.LENGTH, int(lengths[0])
