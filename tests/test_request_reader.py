"""Tests of the reader of clients' requests: framing, bounds, and any split of any bytes."""

import dataclasses
import itertools

import hypothesis
import pytest
from hypothesis import strategies

from tanagerfork.front import bounds, request_reader

LIMITS = bounds.RequestBounds(header_bytes=512, body_bytes=100)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
EXAMPLES = 300


@dataclasses.dataclass
class Read:
    """What a reader made of some bytes."""

    requests: list[bytes]
    passed: bounds.BoundPassed | None = None


def read_all(data: bytes, cuts: list[int], limits: bounds.RequestBounds = LIMITS) -> Read:
    """Feed bytes in pieces, as if each request were answered at once."""
    reader = request_reader.RequestReader(limits)
    read = Read([b""])
    places = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    try:
        for start, end in itertools.pairwise(places):
            piece = data[start:end]
            while piece:
                read.requests[-1] += reader.feed(piece)
                assert reader.ahead_bytes <= len(piece)
                assert len(reader._head) <= limits.head_bytes
                piece = b""
                if reader.is_complete:
                    read.requests.append(b"")
                    piece = reader.start_next(limits)
    except bounds.BoundPassed as passed:
        read.passed = passed
    return read


def read_one(data: bytes, limits: bounds.RequestBounds = LIMITS) -> Read:
    """Feed bytes at once."""
    return read_all(data, [], limits)


def join_chunks(request: bytes) -> bytes:
    """Return a request as it is passed on, with the data of its chunks joined."""
    head, end, body = request.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        return request
    data = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        count = int(size, 16)
        data += rest[:count]
        assert rest[count : count + 2] == b"\r\n"
        body = rest[count + 2 :]
    return head + end + data


class TestFraming:
    def test_request_without_a_body_is_passed_on_as_it_is(self) -> None:
        assert read_one(GET + b"\r\n").requests == [GET + b"\r\n", b""]

    def test_requests_behind_each_other_are_told_apart(self) -> None:
        post = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        read = read_one(GET + b"\r\n" + post + GET + b"\r\n")
        assert read.requests == [GET + b"\r\n", post, GET + b"\r\n", b""]

    def test_request_behind_another_is_held_until_that_one_is_answered(self) -> None:
        reader = request_reader.RequestReader(LIMITS)
        assert reader.feed(GET + b"\r\n" + GET) == GET + b"\r\n"
        assert reader.feed(b"\r\n") == b"" and reader.ahead_bytes == len(GET) + 2
        assert reader.feed(reader.start_next(LIMITS)) == GET + b"\r\n"

    def test_chunks_are_passed_on_without_extensions_and_trailers(self) -> None:
        read = read_one(CHUNKED + b"2;a=b\r\nab\r\n3 \r\ncde\r\n0\r\nX: y\r\n\r\n")
        assert read.requests == [CHUNKED + b"5\r\nabcde\r\n0\r\n\r\n", b""]

    def test_change_of_the_protocol_is_left_out(self) -> None:
        asked = GET + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n" + GET + b"\r\n"
        first, second, _ = read_one(asked).requests
        assert b"Upgrade: " not in first and second == GET + b"\r\n"

    def test_one_empty_line_before_a_request_is_ignored(self) -> None:
        assert read_one(b"\r\n" + GET + b"\r\n").requests == [GET + b"\r\n", b""]


def make_head(size: int, begin: bytes = GET + b"X: ", end: bytes = b"\r\n\r\n") -> bytes:
    """Return a head of a size."""
    return begin + b"x" * (size - len(begin) - len(end)) + end


class TestBounds:
    @pytest.mark.parametrize(
        "data, bound, status",
        [
            (make_head(LIMITS.head_bytes + 1), bounds.Bound.HEAD_BYTES, 431),
            (GET + b"X: " + b"x" * LIMITS.head_bytes, bounds.Bound.HEAD_BYTES, 431),
            (GET + b"x" * LIMITS.head_bytes, bounds.Bound.HEAD_BYTES, 431),
            (b"G" * (LIMITS.head_bytes + 1), bounds.Bound.HEAD_BYTES, 431),
            (b"GET /" + b"a" * LIMITS.head_bytes, bounds.Bound.HEAD_BYTES, 431),
            (GET + b"a:\r\n" * LIMITS.head_bytes, bounds.Bound.HEAD_BYTES, 431),
            (b"\r\n" * bounds.MAX_EMPTY_BYTES, bounds.Bound.EMPTY_LINES, 400),
            (b"\n" * (bounds.MAX_EMPTY_BYTES + 1), bounds.Bound.EMPTY_LINES, 400),
            (b"\0" * 5, bounds.Bound.HEAD_SYNTAX, 400),
            (b"GET / HTTP/1.1\n", bounds.Bound.HEAD_SYNTAX, 400),
            (b"GET /\r\n\r\n", bounds.Bound.HEAD_SYNTAX, 400),
            (GET + b"X : y\r\n\r\n", bounds.Bound.HEAD_SYNTAX, 400),
            (GET + b"X: y\r\n z\r\n\r\n", bounds.Bound.HEAD_SYNTAX, 400),
            (GET + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n", None, 400),
            (GET + b"Content-Length: +1\r\n\r\n", bounds.Bound.HEAD_SYNTAX, 400),
            (GET + b"Transfer-Encoding: gzip, chunked\r\n\r\n", None, 400),
            (CHUNKED[:-2] + b"Content-Length: 1\r\n\r\n", bounds.Bound.HEAD_SYNTAX, 400),
            (CHUNKED.replace(b"/1.1", b"/1.0"), bounds.Bound.HEAD_SYNTAX, 400),
            (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", bounds.Bound.PROTOCOL, 400),
            (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", bounds.Bound.PROTOCOL, 400),
            (GET + b"Expect: more\r\n\r\n", bounds.Bound.EXPECTATION, 417),
            (GET + b"Content-Length: 101\r\n\r\n", bounds.Bound.BODY_BYTES, 413),
            (CHUNKED + b"65\r\n", bounds.Bound.BODY_BYTES, 413),
            (CHUNKED + b"1\r\na\r\n" * 101, bounds.Bound.BODY_BYTES, 413),
            (CHUNKED + b"0" * 2000, bounds.Bound.CHUNK_FRAMING, 400),
            (CHUNKED + b"5;" + b"x" * 2000, bounds.Bound.CHUNK_FRAMING, 400),
            (CHUNKED + b"x\r\n", bounds.Bound.CHUNK_FRAMING, 400),
            (CHUNKED + b"1\r\nabc\r\n", bounds.Bound.CHUNK_FRAMING, 400),
            (CHUNKED + (b"1;%s\r\na\r\n" % (b"x" * 900)) * 20, bounds.Bound.CHUNK_FRAMING, 400),
            (CHUNKED + b"0\r\n" + b"X: y\r\n" * 2000, bounds.Bound.TRAILER_BYTES, 400),
            (CHUNKED + b"0\r\n" + b"x" * 10_000, bounds.Bound.TRAILER_BYTES, 400),
        ],
    )
    def test_bytes_outside_the_bounds_are_refused(
        self, data: bytes, bound: bounds.Bound | None, status: int
    ) -> None:
        for cuts in ([], list(range(len(data)))):
            passed = read_all(data, cuts).passed
            assert passed is not None and passed.error.status == status
            assert bound is None or passed.bound is bound

    @pytest.mark.parametrize(
        "data",
        [
            make_head(LIMITS.header_bytes),
            make_head(LIMITS.header_bytes, b"GET /", b" HTTP/1.1\r\nHost: h\r\n\r\n"),
            GET + b"X: " + b"x" * LIMITS.header_bytes + b"\r\n\r\n",
            GET + b"a:\r\n" * ((LIMITS.header_bytes - len(GET) - 2) // 4) + b"\r\n",
            GET + b"Content-Length: 100\r\n\r\n" + b"x" * 100,
            CHUNKED + b"64\r\n" + b"x" * 100 + b"\r\n0\r\n\r\n",
            CHUNKED + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n",
        ],
    )
    def test_bytes_inside_the_limits_are_passed_on(self, data: bytes) -> None:
        for cuts in ([], list(range(len(data)))):
            read = read_all(data, cuts)
            assert read.passed is None and len(read.requests) == 2

    def test_fields_count_with_what_they_take_in_memory(self) -> None:
        reader = request_reader.RequestReader(LIMITS)
        reader.feed(GET + b"a:\r\n" * 100 + b"\r\n")
        assert reader.head_cost_bytes > 100 * bounds.FIELD_BYTES


BODIES = strategies.binary(max_size=100)
REQUESTS = strategies.one_of(
    strategies.just(GET + b"\r\n"),
    BODIES.map(lambda body: GET + b"Content-Length: %d\r\n\r\n" % len(body) + body),
    strategies.lists(strategies.binary(min_size=1, max_size=20), max_size=5).map(
        lambda parts: CHUNKED
        + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        + b"0\r\n\r\n"
    ),
)
PIECES = strategies.one_of(
    REQUESTS,
    strategies.binary(max_size=40),
    strategies.sampled_from(
        [b"\r\n", b"\n", b"\r", b"\0", b"0\r\n", b"X: y\r\n", b"Content-Length: 3\r\n", CHUNKED]
    ),
    strategies.tuples(strategies.binary(min_size=1, max_size=4), strategies.integers(1, 400)).map(
        lambda repeated: repeated[0] * repeated[1]
    ),
)
CUTS = strategies.lists(strategies.integers(0, 5000), max_size=8)


class TestDrawnBytes:
    @hypothesis.seed(55)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(strategies.lists(REQUESTS, min_size=1, max_size=4), CUTS)
    def test_proper_requests_are_the_same_however_they_are_cut(
        self, requests: list[bytes], cuts: list[int]
    ) -> None:
        read = read_all(b"".join(requests), cuts)
        whole = read_one(b"".join(requests))
        assert read.passed is None and len(read.requests) == len(requests) + 1
        assert [join_chunks(one) for one in read.requests] == [
            join_chunks(one) for one in whole.requests
        ]

    @hypothesis.seed(55)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(strategies.lists(PIECES, max_size=6).map(b"".join), CUTS)
    def test_any_bytes_are_read_or_refused_with_bounded_memory(
        self, data: bytes, cuts: list[int]
    ) -> None:
        read = read_all(data, cuts)
        whole = read_one(data)
        assert (read.passed is None) == (whole.passed is None)
        complete = [join_chunks(one) for one in read.requests[:-1]]
        assert complete == [join_chunks(one) for one in whole.requests[:-1]]
