"""Bytes that a runner with a fault puts on its connection instead of a proper response."""


def make_truncated_response(header_lines: bytes, body: bytes) -> bytes:
    """Return a response whose body is shorter than its length says.

    :param header_lines: headers, each with its line end.
    :param body: body.
    """
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
        header_lines,
        len(body) + 9,
        body,
    )


def make_unframed_response(header_lines: bytes, body: bytes) -> bytes:
    """Return a response without a length, which ends with its connection.

    :param header_lines: headers, each with its line end.
    :param body: body.
    """
    return b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (header_lines, body)


def make_two_responses(header_lines: bytes, body: bytes) -> bytes:
    """Return the same response twice.

    :param header_lines: headers, each with its line end.
    :param body: body.
    """
    whole = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (header_lines, len(body), body)
    return whole + whole


def make_garbage(header_lines: bytes, body: bytes) -> bytes:
    """Return bytes that are no response.

    :param header_lines: headers, which are left out.
    :param body: body, which is left out.
    """
    return b"\x00\x01 no answer\r\n\r\n"
