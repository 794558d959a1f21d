"""Clients that stay outside the limits, as a process of their own, so that they don't slow a test.

python -m tests.clients.crowd PORT KIND CLIENTS SECONDS
"""

import contextlib
import itertools
import os
import socket
import struct
import sys
import threading
import time
from collections.abc import Iterator

from tanagerfork_standins.platform import site

HOST = "127.0.0.1"
PIECE_BYTES = 65_536
RECONNECT_S = 0.002
SLOW_S = 0.1  # Between two bytes of a client that sends slowly.
HEADER_BYTES = 16_384  # The largest head that the platform allows.
RECEIVE_BUFFER_BYTES = 4096
IDS = itertools.count()

GET = f"GET /safe/crowd HTTP/1.1\r\nHost: {site.HOST}\r\n".encode()
POST = GET.replace(b"GET", b"POST")
KEY = f"Authorization: Bearer {site.API_KEY}\r\nTanagerfork-Deadline-Ms: 3000\r\n".encode()
CHUNKED = POST + KEY + b"Tanagerfork-Request-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n"
UPGRADE = KEY + b"Tanagerfork-Request-Id: c\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
CONNECT = b"CONNECT somewhere:443 HTTP/1.1\r\nHost: somewhere\r\n\r\n"


def fill(pattern: bytes) -> bytes:
    """Return a piece that repeats a pattern."""
    return pattern * (PIECE_BYTES // len(pattern))


# What each client sends once, and what follows without end.
ENDLESS = {
    "field value": (GET + b"X-Long: ", fill(b"x")),
    "field name": (GET, fill(b"x")),
    "method": (b"", fill(b"G")),
    "target": (b"GET /", fill(b"a")),
    "fields": (GET, fill(b"X-Many: y\r\n")),
    "short fields": (GET, fill(b"a:\r\n")),
    "folded lines": (GET + b"X-Long: y\r\n", fill(b" z\r\n")),
    "empty lines": (b"", fill(b"\r\n")),
    "line feeds": (b"", fill(b"\n")),
    "zeros": (b"", fill(b"\0")),
    "size of a chunk": (CHUNKED, fill(b"0")),
    "extension of a chunk": (CHUNKED + b"5;", fill(b"x")),
    "small chunks": (CHUNKED, fill(b"1\r\nx\r\n")),
    "large chunks": (CHUNKED, b"10000\r\n" + fill(b"x") + b"\r\n"),
    "trailers": (CHUNKED + b"5\r\nhello\r\n0\r\n", fill(b"X-Trailer: y\r\n")),
    "long body": (POST + KEY + b"Content-Length: 999999999999\r\n\r\n", fill(b"x")),
    "bytes after a request": (GET + KEY + b"\r\n", fill(b"x")),
    "other protocol": (GET + UPGRADE, fill(b"x")),
    "other protocol with a body": (
        POST + b"Content-Length: 5\r\n" + UPGRADE + b"hello",
        fill(GET + KEY + b"\r\n"),
    ),
    "tunnel": (CONNECT, fill(b"x")),
    "requests ahead": (b"", fill(GET + KEY + b"\r\n")),
    "requests with long heads": (
        b"",
        fill(
            GET
            + KEY
            + b"Tanagerfork-Prefix-Hash: "
            + b",".join(b"%x:1" % number for number in range(2300))
            + b"\r\n\r\n"
        ),
    ),
    "requests with many fields": (b"", fill(GET + KEY + b"a:\r\n" * 3900 + b"\r\n")),
    "requests ahead with bodies": (
        b"",
        POST + KEY + b"Content-Length: %d\r\n\r\n" % PIECE_BYTES + fill(b"x"),
    ),
}


def make_request(path: str, fields: bytes = b"") -> bytes:
    """Return a request with an id of its own."""
    identity = f"Tanagerfork-Request-Id: crowd-{os.getpid()}-{next(IDS)}\r\n".encode()
    return GET.replace(b"/safe/crowd", path.encode()) + KEY + identity + fields + b"\r\n"


def send_endless(opened: socket.socket, kind: str, until_s: float) -> None:
    """Send without reading anything, until the connection is cut or the time is over."""
    begin, piece = ENDLESS[kind]
    opened.sendall(begin)
    while time.monotonic() < until_s:
        opened.sendall(piece)


def hold_open(opened: socket.socket, begin: bytes, slow: bytes, until_s: float) -> None:
    """Send a beginning, then one byte at a time, until the connection is cut."""
    opened.sendall(begin)
    opened.settimeout(SLOW_S)
    for number in itertools.count():
        if time.monotonic() >= until_s:
            return
        with contextlib.suppress(TimeoutError):
            if not opened.recv(1):
                return
        if slow:
            opened.sendall(slow[number % len(slow) :][:1])


def hold_unread(opened: socket.socket, until_s: float) -> None:
    """Ask for long answers again and again, and read nothing."""
    opened.settimeout(SLOW_S)
    while time.monotonic() < until_s:
        with contextlib.suppress(TimeoutError):
            opened.sendall(make_request("/safe/long"))
        time.sleep(SLOW_S)


def reset(opened: socket.socket) -> None:
    """Send most of a request and reset the connection."""
    opened.sendall(make_request("/safe/crowd")[:-4])
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


HALF_HEAD = (GET + b"X-Long: ").ljust(HEADER_BYTES - 100, b"x")
LONG_BODY = b"X: y\r\nContent-Length: 100000\r\n"
# What each client of a kind sends at once, and what it repeats one byte at a time.
HOLDING = {
    "silent": (lambda: b"", b""),
    "slow heads": (lambda: HALF_HEAD, b"x"),
    "slow empty lines": (lambda: b"", b"\r\n"),
    "slow bodies": (lambda: make_request("/safe/crowd", LONG_BODY), b"x"),
    "slow chunks": (lambda: CHUNKED, b"1\r\nx\r\n"),
    "idle": (lambda: make_request("/safe/crowd"), b""),
}


def run_once(opened: socket.socket, kind: str, until_s: float) -> None:
    """Play one connection."""
    if kind in ENDLESS:
        send_endless(opened, kind, until_s)
    elif kind in HOLDING:
        make_begin, slow = HOLDING[kind]
        hold_open(opened, make_begin(), slow, until_s)
    elif kind == "unread answers":
        hold_unread(opened, until_s)
    elif kind == "resets":
        reset(opened)
    else:
        raise ValueError(f"{kind!r} is no kind of crowd")


def play(port: int, kind: str, until_s: float) -> None:
    """Be one client that connects again whenever it is cut."""
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError), socket.socket() as opened:
            if kind == "unread answers":
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            opened.settimeout(max(0.1, until_s - time.monotonic()))
            opened.connect((HOST, port))
            run_once(opened, kind, until_s)
        time.sleep(RECONNECT_S)


def list_kinds() -> Iterator[str]:
    """Yield the kinds of clients that send as much as they can."""
    yield from ENDLESS
    yield "resets"


def main(port: int, kind: str, clients: int, seconds: float) -> None:
    """Play a crowd to its end."""
    until_s = time.monotonic() + seconds
    threads = [
        threading.Thread(target=play, args=(port, kind, until_s), daemon=True)
        for _ in range(clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(max(0.0, until_s + 1 - time.monotonic()))


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
