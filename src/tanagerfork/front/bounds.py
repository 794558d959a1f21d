"""Bounds on what clients decide, for every HTTP listener: bytes, numbers and times.

docs/OPERATING.md has a line for each. A client that keeps to the limits of the configuration meets
none of them; `Bound` names them in the metrics.
"""

import dataclasses
import enum
import resource
from typing import Protocol

from tanagerfork import errors

KIB = 1024
MIB = 1024 * KIB

# A head.
HEADER_BYTES = 16 * KIB
HEAD_SLACK_BYTES = 1 * KIB  # The platform does not say whether its limit counts the request line.
HEADER_TIMEOUT_MS = 10_000.0
MAX_EMPTY_BYTES = 16  # Of empty lines before a request; RFC 9112 asks to ignore one line.
FIELD_BYTES = 1200  # What one field of a head takes in memory, besides its bytes.

# A body.
BODY_BYTES = 8 * MIB
BODY_TIMEOUT_MS = 120_000.0
MAX_CHUNK_LINE_BYTES = 1 * KIB
CHUNK_FRAMING_SHARE = 8  # Bytes of chunk sizes for each byte of data; chunks of one byte take 5.
CHUNK_FRAMING_BYTES = 8 * KIB  # Besides that, for extensions.
MAX_TRAILER_BYTES = 8 * KIB
# Bodies and heads of all requests together; smaller ones are read also beyond it.
ALL_BODIES_BYTES = 64 * MIB
SMALL_BYTES = 64 * KIB

# A connection.
IDLE_TIMEOUT_MS = 60_000.0
TIME_SLACK_MS = 500.0  # For bytes on the way and a late event loop.
AHEAD_BYTES = 16 * KIB  # Of further requests, before reading pauses until the answer is sent.
READ_BYTES = 16 * KIB  # Read at once, so that one connection does not hold up the others.
RECEIVE_BUFFER_BYTES = 32 * KIB  # The kernel's, of which it uses up to twice the size.
UNREAD_TIMEOUT_MS = 15_000.0  # Without a byte of an answer taken.
DRAIN_TIMEOUT_MS = 120_000.0  # With bytes of an answer to take all the while.
LINGER_MS = 1000.0  # To read a refusal, while what the client still sends is discarded.
LINGER_BYTES = 256 * KIB

# Bytes that take long to check, such as a body in chunks of one byte: chunks and fields of one read
# beyond which a connection waits for each other such connection, and longer than their check takes.
# They are counted, as a measured time would include that in which the process does not run.
COSTLY_READ_PARTS = 500
PART_MS = 0.005  # Allowed for the check of one.
PACE_FACTOR = 2.0
PACE_WINDOW_MS = 5000.0
MAX_PACE_MS = 5000.0

# All connections.
CONNECTION_BYTES = READ_BYTES + HEADER_BYTES + 12 * KIB  # Held by a connection without a request.
MEMORY_SHARE = 0.25  # Of the memory beyond what an idle daemon takes.
DESCRIPTOR_SHARE = 0.75  # Of the sockets; the rest is for upstreams, other daemons and the store.
OWN_DESCRIPTORS = 200  # The platform reserves these for files.
OWN_DESCRIPTORS_SHARE = 0.25
MIN_CONNECTIONS = 16
MAX_DESCRIPTORS = 1_048_576  # Where the operating system names no limit.
SETTLE_MS = 500.0  # Younger connections are the last to be closed for room.
BODY_SETTLE_MS = 1000.0
ACCEPTS_AT_ONCE = 16
CHECK_INTERVAL_MS = 250.0  # Between two checks of the times.
ROOM_RETRY_AFTER_MS = 500


class Bound(enum.Enum):
    """Names of the bounds, as the metrics have them."""

    HEAD_BYTES = "head_bytes"
    HEAD_SYNTAX = "head_syntax"
    HEAD_TIME = "head_time"
    EMPTY_LINES = "empty_lines"
    PROTOCOL = "protocol"
    EXPECTATION = "expectation"
    BODY_BYTES = "body_bytes"
    BODY_TIME = "body_time"
    CHUNK_FRAMING = "chunk_framing"
    TRAILER_BYTES = "trailer_bytes"
    ALL_BODIES = "all_bodies"
    AHEAD = "requests_ahead"
    PROCESSOR_TIME = "processor_time"
    IDLE_TIME = "idle_time"
    UNREAD_TIME = "unread_time"
    DRAIN_TIME = "drain_time"
    LINGER = "linger"
    ROOM = "room"


class BoundPassed(Exception):
    """A client has passed a bound.

    :param bound: the bound.
    :param error: error that the client gets.
    """

    def __init__(self, bound: Bound, error: errors.CallerError) -> None:
        super().__init__(error.message)
        self.bound = bound
        self.error = error


@dataclasses.dataclass(slots=True, frozen=True)
class RequestBounds:
    """Bounds that a configuration sets, on one request and on an idle connection."""

    header_bytes: int = HEADER_BYTES
    body_bytes: int = BODY_BYTES
    header_timeout_ms: float = HEADER_TIMEOUT_MS
    idle_timeout_ms: float = IDLE_TIMEOUT_MS

    @property
    def head_bytes(self) -> int:
        """Largest head in total, with the request line and all line ends."""
        return self.header_bytes + HEAD_SLACK_BYTES


class BoundsSource(Protocol):
    """Tells the bounds in force."""

    @property
    def current(self) -> RequestBounds:
        """The bounds for the next request."""


@dataclasses.dataclass(slots=True, frozen=True)
class FixedBounds:
    """Bounds that never change."""

    current: RequestBounds = RequestBounds()


def count_connections(descriptors: int, free_bytes: float | None) -> int:
    """Return how many connections of clients may be open together, over all listeners.

    :param descriptors: descriptors that the process may have open.
    :param free_bytes: memory beyond what an idle daemon takes; None if it is not known.
    """
    sockets = descriptors - min(OWN_DESCRIPTORS, int(descriptors * OWN_DESCRIPTORS_SHARE))
    count = int(sockets * DESCRIPTOR_SHARE)
    if free_bytes is not None:
        count = min(count, int(free_bytes * MEMORY_SHARE / CONNECTION_BYTES))
    return max(MIN_CONNECTIONS, count)


def find_max_descriptors(configured: int) -> int:
    """Return how many file descriptors the process may have open.

    :param configured: limit of the VM; 0 for that of the operating system alone.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [count for count in (configured, limit) if count > 0]
    return min(known, default=MAX_DESCRIPTORS)
