"""What a proper answer is: heads, trailers and the framing of bodies."""

import asyncio

import aiohttp
import pytest

from tanagerfork.upstream import answers, guarded, heads

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
NAMES = [b"X-A", b"!#$%&'*+-.^_`|~1a"]
# Bytes that a name may not have; the colon ends it.
NOT_IN_NAMES = [*range(33), *b'"(),/;<=>?@[\\]{}', 127, 128, 255]
NOT_IN_VALUES = [byte for byte in range(32) if byte != 9] + [127]
STATUS_LINES = {
    **{
        b"HTTP/1.1 %03d OK" % status: 100 <= status <= 599 and status != 101
        for status in range(1000)
    },
    b"HTTP/1.1 101 Switching Protocols": False,
    b"HTTP/1.0 200 OK": True,
    b"HTTP/1.1 200 ": True,
    b"HTTP/1.1 200": True,
    b"HTTP/1.1 200 \xc3\xa9t\xe9": True,
    b"HTTP/1.1 200 a\tb": True,
    b"HTTP/1.1 200 a\x00b": False,
    b"HTTP/1.1 200 a\rb": False,
    b"HTTP/1.1 200 a\x7fb": False,
    b"HTTP/1.1 2000 OK": False,
    b"HTTP/1.1 20 OK": False,
    b"HTTP/1.1 +20 OK": False,
    b"HTTP/1.1 2\xb20 OK": False,
    b"HTTP/1.1  200 OK": False,
    b"HTTP/1.1\t200 OK": False,
    b"HTTP/1.1 200\tOK": False,
    b" HTTP/1.1 200 OK": False,
    b"http/1.1 200 OK": False,
    b"HTTP/1.2 200 OK": False,
    b"HTTP/2.0 200 OK": False,
    b"HTTP/0.9 200 OK": False,
    b"HTTP/11 200 OK": False,
    b"ICY 200 OK": False,
    b"": False,
}
FRAMINGS = {
    (b"Content-Length: 5",): True,
    (b"content-length:\t 5 \t",): True,
    (b"Transfer-Encoding: Chunked",): True,
    (b"Content-Length: 5", b"Content-Length: 5"): False,
    (b"Content-Length: 5, 5",): False,
    (b"Content-Length: +5",): False,
    (b"Content-Length: -5",): False,
    (b"Content-Length: 5.0",): False,
    (b"Content-Length: 0x5",): False,
    (b"Content-Length: \xb2",): False,
    (b"Content-Length: ",): False,
    (b"Content-Length: 1000000000000000000",): False,
    (b"Content-Length: 5", b"Transfer-Encoding: chunked"): False,
    (b"Transfer-Encoding: gzip, chunked",): False,
    (b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"): False,
    (b"Transfer-Encoding: identity",): False,
    (b"Transfer-Encoding: xchunked",): False,
    (b"Transfer-Encoding: ",): False,
}


def is_proper(data: bytes, *, step: int = 0, is_body_expected: bool = True) -> bool:
    """Return whether the bytes of a response are proper, if they come in pieces."""
    reader = answers.AnswerReader(is_body_expected)
    step = step or len(data) or 1
    try:
        for at in range(0, len(data), step):
            reader.feed(data[at : at + step])
    except heads.ImproperAnswer:
        return False
    return True


class TestHeads:
    @pytest.mark.parametrize("step", [0, 1])
    def test_status_lines(self, step: int) -> None:
        """Answers of status 000 and 999 reached callers."""
        for line, expected in STATUS_LINES.items():
            assert is_proper(line + b"\r\nX: y\r\n\r\n", step=step) == expected, line

    @pytest.mark.parametrize("is_last", [False, True])
    def test_names_of_fields(self, is_last: bool) -> None:
        """A name with a blank or a control byte in it was passed on, or shifted the body."""
        rest = b"" if is_last else b"X: y\r\n"
        for name in NAMES:
            assert is_proper(OK + name + b": v\r\n" + rest + b"\r\n"), name
        for byte in NOT_IN_NAMES:
            for name in (b"X%cA", b"%cX", b"X%c"):
                line = name % byte + b": v\r\n"
                assert not is_proper(OK + line + rest + b"\r\n"), line
        for line in (b": v\r\n", b"X\r\n", b" X: v\r\n", b"X: v\r\n folded\r\n"):
            assert not is_proper(OK + line + rest + b"\r\n"), line

    def test_values_of_fields(self) -> None:
        """A control byte in a value ended in an exception and an answer of the daemon itself."""
        for value in (b"", b" ", b"v", b"\tv w\t", b"\x80\xff", b"a:b"):
            assert is_proper(OK + b"X:" + value + b"\r\n\r\n"), value
        for byte in NOT_IN_VALUES:
            for value in (b"a%cb", b"%ca", b"a%c"):
                line = b"X: " + value % byte + b"\r\n"
                assert not is_proper(OK + line + b"\r\n"), line

    @pytest.mark.parametrize("status", [b"200 OK", b"404 Not Found", b"599 x"])
    def test_framings(self, status: bytes) -> None:
        for lines, expected in FRAMINGS.items():
            head = b"HTTP/1.1 " + status + b"\r\n" + b"\r\n".join(lines) + b"\r\n\r\n"
            assert is_proper(head) == expected, lines
        old = b"HTTP/1.0 " + status + b"\r\n"
        assert not is_proper(old + b"Transfer-Encoding: chunked\r\n\r\n")
        assert is_proper(old + b"Content-Length: 5\r\n\r\n")

    @pytest.mark.parametrize("status", [b"100 x", b"103 x", b"204 x"])
    def test_bodies_where_none_may_be(self, status: bytes) -> None:
        head = b"HTTP/1.1 " + status + b"\r\n"
        assert is_proper(head + b"X: y\r\n\r\n") and is_proper(head + b"Content-Length: 0\r\n\r\n")
        assert not is_proper(head + b"Content-Length: 5\r\n\r\n")
        assert not is_proper(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def test_line_ends(self) -> None:
        lines = [b"HTTP/1.1 200 OK", b"X: y", b"Content-Length: 0", b""]
        assert is_proper(b"\r\n".join(lines) + b"\r\n") and is_proper(b"\n".join(lines) + b"\n")
        for at in range(1, len(lines)):
            mixed = b"\r\n".join(lines[:at]) + b"\n" + b"\r\n".join(lines[at:]) + b"\r\n"
            assert not is_proper(mixed), mixed

    def test_informational_heads_are_checked_too_and_bounded(self) -> None:
        hint = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
        reader = answers.AnswerReader()
        assert reader.feed(hint * answers.MAX_INFORMATIONAL + OK + b"\r\n") == OK + b"\r\n"
        assert not is_proper(hint * (answers.MAX_INFORMATIONAL + 1))
        for line in (b"HTTP/1.1 000 x", b"HTTP/1.1 600 x", b"HTTP/1.1 99 x"):
            assert not is_proper(hint + line + b"\r\n\r\n")
        assert not is_proper(b"HTTP/1.1 103 x\r\nX y: z\r\n\r\n")

    def test_size_is_bounded(self) -> None:
        assert not is_proper(OK + b"X: " + b"y" * answers.MAX_HEAD_BYTES)
        assert not is_proper(OK + b"X: y\r\n" * answers.MAX_HEAD_BYTES)
        assert not is_proper(CHUNKED + b"5;" + b"x" * answers.MAX_CHUNK_LINE_BYTES)
        assert not is_proper(CHUNKED + b"0\r\n" + b"X: y\r\n" * answers.MAX_HEAD_BYTES)


class TestBodies:
    PROPER = [
        OK + b"Content-Length: 5\r\n\r\nhello",
        OK + b"Content-Length: 0\r\n\r\n",
        CHUNKED + b"5\r\nhello\r\n0\r\n\r\n",
        CHUNKED + b"00005;a=b\r\nhello\r\nA\r\n\r\n\r\n\r\n\r\n\r\n\r\n0\r\nX-Trailer: y\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    ]

    @pytest.mark.parametrize("step", [0, 1, 3, 7])
    def test_proper_answers_are_passed_on_unchanged_and_what_follows_is_not(
        self, step: int
    ) -> None:
        for data in self.PROPER:
            reader = answers.AnswerReader()
            size = step or len(data)
            pieces = [reader.feed(data[at : at + size]) for at in range(0, len(data), size)]
            assert b"".join(pieces) == data
            assert reader.is_complete and not reader.has_excess
            assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\n") == b"" and reader.has_excess

    def test_body_without_a_length_is_passed_on(self) -> None:
        reader = answers.AnswerReader()
        assert reader.feed(OK + b"\r\nany\x00thing") == OK + b"\r\nany\x00thing"
        assert reader.feed(b"more") == b"more" and not reader.is_complete

    def test_answer_to_a_request_that_allows_no_body_ends_with_its_head(self) -> None:
        reader = answers.AnswerReader(is_body_expected=False)
        reader.feed(OK + b"Content-Length: 5\r\n\r\n")
        assert reader.is_complete

    @pytest.mark.parametrize(
        "body",
        [
            b"5\nhello\r\n",
            b"5\r\nhello!\r\n",
            b"5\r\nhello\n",
            b"-5\r\nhello\r\n",
            b"0x5\r\nhello\r\n",
            b" 5\r\nhello\r\n",
            b"\r\nhello\r\n",
            b"5 5\r\nhello\r\n",
            b"5;a\x00b\r\nhello\r\n",
            b"11111111111111111\r\n",
            b"0\r\nX-Trailer y: z\r\n\r\n",
            b"0\r\nX-Trailer: \x01\r\n\r\n",
            b"0\r\nX-Trailer\x00: y\r\n\r\n",
            b"0\r\n folded\r\n\r\n",
            b"0\r\nX: y\n\r\n",
        ],
    )
    @pytest.mark.parametrize("step", [0, 1])
    def test_improper_chunks_and_trailers(self, body: bytes, step: int) -> None:
        assert not is_proper(CHUNKED + body, step=step)

    def test_end_of_chunks_is_held_back_until_the_trailer_is_proper(self) -> None:
        reader = answers.AnswerReader()
        assert reader.feed(CHUNKED + b"5\r\nhello\r\n0\r\nX: y\r\n").endswith(b"hello\r\n")
        assert reader.feed(b"\r\n") == b"0\r\nX: y\r\n\r\n"


class TestPooledConnection:
    async def test_improper_answer_leaves_the_answer_before_it_readable(self) -> None:
        """Its body may still be unread when the connection is used for the next request."""
        replies = [OK + b"Content-Length: 5\r\n\r\nhello", b"HTTP/1.1 999 x\r\n\r\n"]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for reply in replies:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(reply)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        async with aiohttp.ClientSession(connector=guarded.GuardedConnector()) as session:
            first = await session.get(url)
            await asyncio.sleep(0.05)
            with pytest.raises(heads.ImproperAnswer):
                await session.get(url)
            assert await first.read() == b"hello"
        server.close()
