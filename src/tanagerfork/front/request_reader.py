"""Requests: the bytes of a client's connection, checked and bounded as they arrive.

A head is passed on to the HTTP library once it is complete and proper, and one request at a time.
The data of a chunked body is passed on in chunks of the sizes in which it was read, so that neither
the client's chunks nor its trailers take memory.
"""

import enum
import re

from tanagerfork import errors
from tanagerfork.front import bounds
from tanagerfork.upstream import heads

HEAD_END = b"\r\n\r\n"
TUNNEL_METHOD = b"CONNECT"
EXPECTATION = b"100-continue"
_REQUEST_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e\x80-\xff]+) HTTP/([0-9])\.([0-9])"
)
_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\0")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_LENGTH = re.compile(rb"[0-9]{1,18}")


class State(enum.Enum):
    """What the next bytes belong to."""

    START = "empty lines before a request"
    HEAD = "head"
    DATA = "body with a length"
    CHUNK_LINE = "size of a chunk"
    CHUNK_DATA = "chunk"
    CHUNK_END = "end of a chunk"
    TRAILER = "trailer"
    COMPLETE = "a later request"


class RequestReader:
    """Checks the bytes of one connection.

    `head_cost_bytes` is what the fields of the present request take in memory, `body_bytes` what
    was read of its body, and `framing_bytes` the rest of a chunked body.

    `parts` is the number of fields and lines between chunks that were checked on the connection.

    :param limits: bounds of the next request.
    """

    __slots__ = (
        "parts",
        "state",
        "limits",
        "head_cost_bytes",
        "body_bytes",
        "framing_bytes",
        "_head",
        "_scanned",
        "_empty_bytes",
        "_left_bytes",
        "_is_chunked",
        "_line",
        "_trailer_bytes",
        "_ahead",
    )

    def __init__(self, limits: bounds.RequestBounds) -> None:
        self.parts = 0
        self._ahead = bytearray()
        self._head = bytearray()
        self._line = b""
        self.start_next(limits)

    @property
    def is_complete(self) -> bool:
        """Whether the present request was read to its end."""
        return self.state is State.COMPLETE

    @property
    def is_in_body(self) -> bool:
        """Whether the head of the present request was read, but not its body."""
        return self.state not in (State.START, State.HEAD, State.COMPLETE)

    @property
    def ahead_bytes(self) -> int:
        """Bytes that are held behind the present request."""
        return len(self._ahead)

    def start_next(self, limits: bounds.RequestBounds) -> bytes:
        """Expect the next request.

        :param limits: its bounds.
        :return: bytes that were held for it, to be fed again.
        """
        self.limits = limits
        self.state = State.START
        self.head_cost_bytes = self.body_bytes = self.framing_bytes = 0
        self._scanned = self._empty_bytes = self._left_bytes = self._trailer_bytes = 0
        self._is_chunked = False
        ahead = bytes(self._ahead)
        self._ahead.clear()
        return ahead

    def clear(self) -> None:
        """Free all bytes that are held."""
        self._ahead.clear()
        self._head.clear()
        self._line = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that can be passed on now; those behind the request are held.

        :param data: next bytes of the connection.
        :raises BoundPassed: they are no proper request, or pass a bound.
        """
        passed: list[bytes] = []
        chunks: list[bytes] = []
        at = 0
        while at < len(data) and self.state is not State.COMPLETE:
            if self.state in (State.START, State.HEAD):
                at = self._feed_head(data, at, passed)
            elif self.state in (State.DATA, State.CHUNK_DATA):
                at = self._feed_data(data, at, chunks)
            else:
                at = self._feed_line(data, at)
        if chunks:
            joined = chunks[0] if len(chunks) == 1 else b"".join(chunks)
            passed.append(b"%x\r\n%b\r\n" % (len(joined), joined) if self._is_chunked else joined)
        if self.state is State.COMPLETE and self._is_chunked:
            passed.append(b"0\r\n\r\n")
            self._is_chunked = False
        if at < len(data):
            self._ahead += data[at:] if at else data
        return passed[0] if len(passed) == 1 else b"".join(passed)

    def _feed_head(self, data: bytes, at: int, passed: list[bytes]) -> int:
        head = self._head
        head += data[at:] if at else data
        if self.state is State.START:
            empty_bytes = len(head) - len(head.lstrip(b"\r\n"))
            self._empty_bytes += empty_bytes
            if self._empty_bytes > bounds.MAX_EMPTY_BYTES:
                raise _pass(bounds.Bound.EMPTY_LINES, "empty lines before the request")
            del head[:empty_bytes]
            if not head:
                return len(data)
            self.state = State.HEAD
        end = head.find(HEAD_END, max(0, self._scanned - len(HEAD_END) + 1))
        size = end + len(HEAD_END) if end >= 0 else len(head)
        if size > self.limits.head_bytes:
            message = f"the head exceeds {self.limits.header_bytes} bytes; send a shorter one"
            raise bounds.BoundPassed(bounds.Bound.HEAD_BYTES, errors.HeadTooLarge(message))
        if _BARE_LINE_END.search(head, max(0, self._scanned - 1), size):
            raise _pass(bounds.Bound.HEAD_SYNTAX, "a line of the head that CR LF does not end")
        if end < 0:
            self._scanned = size
            return len(data)
        surplus = len(head) - size
        passed.append(self._accept_head(bytes(head[:end])))
        head.clear()
        return len(data) - surplus

    def _accept_head(self, head: bytes) -> bytes:
        """Return a complete head as it is passed on, and expect its body."""
        lines = head.split(b"\r\n")
        matched = _REQUEST_LINE.fullmatch(lines[0])
        if matched is None:
            raise _pass(bounds.Bound.HEAD_SYNTAX, "no proper request line")
        if matched[3] != b"1" or matched[1] == TUNNEL_METHOD:
            raise _pass(bounds.Bound.PROTOCOL, "another protocol than HTTP/1")
        try:
            fields = [heads.read_field(line) for line in lines[1:]]
        except heads.ImproperAnswer:
            raise _pass(bounds.Bound.HEAD_SYNTAX, "no proper header field") from None
        self.parts += len(fields)
        self.head_cost_bytes = len(head) + len(fields) * bounds.FIELD_BYTES
        codings = [value for name, value in fields if name == b"transfer-encoding"]
        lengths = [value for name, value in fields if name == b"content-length"]
        for name, value in fields:
            if name == b"expect" and value.lower() != EXPECTATION:
                message = "the expectation is not known; send the request without it"
                error = errors.ExpectationFailed(message)
                raise bounds.BoundPassed(bounds.Bound.EXPECTATION, error)
        self._expect_body(matched[4], codings, lengths)
        if any(name == b"upgrade" for name, _ in fields):  # The request is served as HTTP/1.1.
            kept = zip(lines[1:], fields, strict=True)
            lines[1:] = [line for line, (name, _) in kept if name != b"upgrade"]
        return b"\r\n".join(lines) + HEAD_END

    def _expect_body(self, minor: bytes, codings: list[bytes], lengths: list[bytes]) -> None:
        if codings:
            is_chunked = len(codings) == 1 and codings[0].lower() == b"chunked"
            if not is_chunked or lengths or minor == b"0":
                raise _pass(bounds.Bound.HEAD_SYNTAX, "no proper transfer coding")
            self._is_chunked = True
            self.state = State.CHUNK_LINE
            return
        if not lengths:
            self.state = State.COMPLETE
            return
        if len(lengths) > 1 or _LENGTH.fullmatch(lengths[0]) is None:
            raise _pass(bounds.Bound.HEAD_SYNTAX, "no proper length of the body")
        self._left_bytes = int(lengths[0])
        self._check_body(self._left_bytes)
        self.state = State.DATA if self._left_bytes else State.COMPLETE

    def _feed_data(self, data: bytes, at: int, chunks: list[bytes]) -> int:
        piece = data[at : at + self._left_bytes]
        chunks.append(piece)
        self.body_bytes += len(piece)
        self._left_bytes -= len(piece)
        if not self._left_bytes:
            self.state = State.CHUNK_END if self._is_chunked else State.COMPLETE
        return at + len(piece)

    def _feed_line(self, data: bytes, at: int) -> int:
        end = data.find(b"\n", at) + 1 or len(data)
        line = self._line + data[at:end] if self._line else data[at:end]
        if len(line) > bounds.MAX_CHUNK_LINE_BYTES and self.state is not State.TRAILER:
            raise _pass(bounds.Bound.CHUNK_FRAMING, "a line between chunks that is too long")
        self.framing_bytes += end - at
        if self.state is State.TRAILER:
            self._trailer_bytes += end - at
            if self._trailer_bytes > bounds.MAX_TRAILER_BYTES:
                raise _pass(bounds.Bound.TRAILER_BYTES, "trailers that are too long")
        elif self.framing_bytes > (
            bounds.CHUNK_FRAMING_BYTES + bounds.CHUNK_FRAMING_SHARE * self.body_bytes
        ):
            raise _pass(bounds.Bound.CHUNK_FRAMING, "more bytes between chunks than in them")
        if not line.endswith(b"\n"):
            self._line = line
            return end
        self._line = b""
        self.parts += 1
        self._read_line(line)
        return end

    def _read_line(self, line: bytes) -> None:
        if self.state is State.CHUNK_LINE:
            matched = _CHUNK_LINE.fullmatch(line)
            if matched is None:
                raise _pass(bounds.Bound.CHUNK_FRAMING, "no proper size of a chunk")
            self._left_bytes = int(matched[1], 16)
            self._check_body(self.body_bytes + self._left_bytes)
            self.state = State.CHUNK_DATA if self._left_bytes else State.TRAILER
        elif self.state is State.CHUNK_END:
            if line != b"\r\n":
                raise _pass(bounds.Bound.CHUNK_FRAMING, "a chunk that is longer than its size")
            self.state = State.CHUNK_LINE
        elif line == b"\r\n":
            self.state = State.COMPLETE
        else:
            try:
                heads.read_field(line.removesuffix(b"\r\n"))
            except heads.ImproperAnswer:
                raise _pass(bounds.Bound.HEAD_SYNTAX, "no proper trailer") from None

    def _check_body(self, size: int) -> None:
        if size > self.limits.body_bytes:
            message = f"the body exceeds {self.limits.body_bytes} bytes; send a shorter one"
            raise bounds.BoundPassed(bounds.Bound.BODY_BYTES, errors.BodyTooLarge(message))


def _pass(bound: bounds.Bound, found: str) -> bounds.BoundPassed:
    error = errors.BadRequest(f"{found}; send a request by RFC 9112")
    return bounds.BoundPassed(bound, error)
