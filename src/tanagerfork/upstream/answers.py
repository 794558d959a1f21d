"""Answers: the bytes of one response, checked as they arrive.

A head is passed on once it is complete and proper, and the end of a chunked body once its trailer
is. So the HTTP library, which reads the bytes after this, never sees an improper answer.
"""

import enum
import math
import re

from tanagerfork.upstream import heads

MAX_INFORMATIONAL = 16  # Before one response; upstreams send none or one.
MAX_HEAD_BYTES = 64 * 1024  # Of a head or a trailer.
MAX_CHUNK_LINE_BYTES = 4096
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?")


class State(enum.Enum):
    """What the next bytes belong to."""

    HEAD = "head"
    DATA = "body with a length"
    CHUNK_LINE = "size of a chunk"
    CHUNK_DATA = "chunk"
    CHUNK_END = "end of a chunk"
    TRAILER = "trailer"
    UNTIL_CLOSE = "body without a length"
    COMPLETE = "nothing"


class AnswerReader:
    """Checks the bytes of one response; informational ones before it are left out.

    :param is_body_expected: whether the request allows a body in the response.
    """

    __slots__ = (
        "has_excess",
        "idle_timeout_s",
        "_is_body_expected",
        "_state",
        "_line",
        "_line_end",
        "_lines",
        "_held",
        "_informational_count",
        "_left_bytes",
    )

    def __init__(self, is_body_expected: bool = True) -> None:
        # Whether bytes followed that belong to no request.
        self.has_excess = False
        # After how long the peer closes the connection while nothing is sent on it.
        self.idle_timeout_s = math.inf
        self._is_body_expected = is_body_expected
        self._state = State.HEAD
        self._line = b""  # Beginning of a line.
        # Of the head; RFC 9112 allows a bare LF, but a single one may be a byte of a value.
        self._line_end = b"\r\n"
        self._lines: list[bytes] = []  # Of a head that is not complete.
        self._held = bytearray()  # Complete lines that are not passed on yet.
        self._informational_count = 0
        self._left_bytes = 0  # Of a chunk, or of a body with a length.

    @property
    def is_complete(self) -> bool:
        """Whether the end of the response was read, where anything but a close marks it."""
        return self._state is State.COMPLETE

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that can be passed on now.

        :param data: next bytes of the connection.
        :raises ImproperAnswer: they are no proper response.
        """
        passed: list[bytes] = []
        at = 0
        while at < len(data):
            if self._state is State.COMPLETE:
                self.has_excess = True
                break
            if self._state is State.UNTIL_CLOSE:
                passed.append(data[at:] if at else data)
                break
            if self._state in (State.DATA, State.CHUNK_DATA):
                piece = data[at : at + self._left_bytes]
                passed.append(piece)
                at += len(piece)
                self._left_bytes -= len(piece)
                if not self._left_bytes:
                    is_chunk = self._state is State.CHUNK_DATA
                    self._state = State.CHUNK_END if is_chunk else State.COMPLETE
                continue
            end = data.find(b"\n", at) + 1 or len(data)
            line = self._line + data[at:end] if self._line else data[at:end]
            at = end
            self._check_size(line)
            if line.endswith(b"\n"):
                self._line = b""
                passed.append(self._read_line(line))
            else:
                self._line = line
        return b"".join(passed)

    def _check_size(self, line: bytes) -> None:
        is_chunk = self._state in (State.CHUNK_LINE, State.CHUNK_END)
        limit_bytes = MAX_CHUNK_LINE_BYTES if is_chunk else MAX_HEAD_BYTES
        if len(self._held) + len(line) > limit_bytes:
            raise heads.ImproperAnswer(f"a {self._state.value} of more than {limit_bytes} bytes")

    def _read_line(self, line: bytes) -> bytes:
        """Check a complete line; return what can be passed on."""
        if self._state is State.HEAD and not self._lines:
            self._line_end = b"\r\n" if line.endswith(b"\r\n") else b"\n"
        line_end = self._line_end if self._state is State.HEAD else b"\r\n"
        content = line[: -len(line_end)]
        if line != content + line_end:
            raise heads.ImproperAnswer(f"a line with another end: {heads.quote(line)}")
        line = content + b"\r\n"
        if self._state is State.HEAD:
            return self._read_head_line(line, content)
        if self._state is State.TRAILER:
            return self._read_trailer_line(line, content)
        if self._state is State.CHUNK_END:
            if content:
                raise heads.ImproperAnswer(f"a chunk longer than its size: {heads.quote(content)}")
            self._state = State.CHUNK_LINE
            return line
        matched = _CHUNK_LINE.fullmatch(content)
        if matched is None:
            raise heads.ImproperAnswer(f"no proper size of a chunk: {heads.quote(content)}")
        self._left_bytes = int(matched[1], 16)
        if self._left_bytes:
            self._state = State.CHUNK_DATA
            return line
        self._state = State.TRAILER
        self._held += line
        return b""

    def _read_head_line(self, line: bytes, content: bytes) -> bytes:
        self._held += line
        if content or not self._lines:  # Checked at once, as the rest may never come.
            check_line = heads.read_field if self._lines else heads.read_status_line
            check_line(content)
            self._lines.append(content)
            return b""
        head = heads.read_head(self._lines, self._is_body_expected)
        self._lines.clear()
        held = bytes(self._held)
        self._held.clear()
        if not head.is_final:
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL:
                message = f"more than {MAX_INFORMATIONAL} informational responses"
                raise heads.ImproperAnswer(message)
            return b""
        self.idle_timeout_s = head.idle_timeout_s
        self._left_bytes = head.length
        self._state = _find_body_state(head)
        return held

    def _read_trailer_line(self, line: bytes, content: bytes) -> bytes:
        self._held += line
        if content:
            heads.read_field(content)
            return b""
        self._state = State.COMPLETE
        held = bytes(self._held)
        self._held.clear()
        return held


def _find_body_state(head: heads.Head) -> State:
    if head.framing is heads.Framing.CHUNKS:
        return State.CHUNK_LINE
    if head.framing is heads.Framing.CLOSE:
        return State.UNTIL_CLOSE
    return State.DATA if head.length else State.COMPLETE
