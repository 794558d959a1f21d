"""Loopback TCP proxy that delays, silences, resets or refuses the connections to one address."""

import asyncio
import contextlib
import enum
import socket

from tanagerfork_standins import listener, transports

BLOCK_BYTES = 16_384


class Cut(enum.Enum):
    """What a network partition does to connections."""

    HANGS = "hangs"  # Open ones carry no more bytes, new ones are never accepted.
    RESETS = "resets"  # Open ones are reset, new ones refused.
    REFUSES = "refuses"  # Open ones live on, new ones are refused.


def open_port(port: int) -> socket.socket:
    """Return a socket that is bound to a port, which stays taken while any such socket is open.

    :param port: TCP port; 0 lets the system choose.
    """
    opened = socket.socket()
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # Not set by asyncio here.
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    opened.bind((listener.LOOPBACK, port))
    return opened


class Proxy:
    """Proxy of one address; its port stays its own while it does not listen.

    `delay_s` is added to each part of the bytes. With `is_silent`, bytes are dropped. If
    `bytes_per_s` is not 0, all connections together carry no more to the clients.

    :param address: address that connections are passed on to.
    """

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.delay_s = 0.0
        self.bytes_per_s = 0
        self._is_free_at_s = 0.0
        self.is_silent = False
        self._silences = 0
        self._port_holder = open_port(0)
        self.port: int = self._port_holder.getsockname()[1]
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._unaccepted: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Address of the proxy."""
        return f"{listener.LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, sock=open_port(self.port))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._close_server()
        for unaccepted in self._unaccepted:
            unaccepted.close()
        self.reset()
        self._port_holder.close()
        await asyncio.sleep(0.1)  # Lets the connections' tasks end.

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            transports.reset(writer.transport)
        self._writers.clear()

    def silence(self) -> None:
        """Have the open connections carry nothing any more, unseen by both sides."""
        self._silences += 1

    def cut(self, how: Cut) -> None:
        """Partition both sides from each other, if they are not yet.

        :param how: what becomes of their connections.
        """
        if self._server is None:
            return
        self._close_server()
        if how is Cut.HANGS:
            self.is_silent = True
            self._fill_backlog()
        elif how is Cut.RESETS:
            self.reset()

    async def heal(self) -> None:
        """End a partition; connections that hung are reset."""
        if self._server is not None:
            return
        if self.is_silent:
            self.is_silent = False
            self.reset()
        for unaccepted in self._unaccepted:
            unaccepted.close()
        self._unaccepted.clear()
        await self.start()

    async def _wait_for_link(self, size_bytes: int) -> None:
        """Wait until the link has carried so many bytes, after those that wait already."""
        now_s = asyncio.get_running_loop().time()
        self._is_free_at_s = max(now_s, self._is_free_at_s) + size_bytes / self.bytes_per_s
        await asyncio.sleep(self._is_free_at_s - now_s)

    def _close_server(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _fill_backlog(self) -> None:
        """Listen with a full backlog, so that opening packets are dropped."""
        listening = open_port(self.port)
        listening.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect((listener.LOOPBACK, self.port))
        self._unaccepted = [listening, filler]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._forward(reader, far_writer),
            self._forward(far_reader, writer, is_to_client=True),
            return_exceptions=True,
        )
        if not self.is_silent:  # Else they stay open on the side that has not closed them.
            self._writers -= {writer, far_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to_client: bool = False,
    ) -> None:
        silences = self._silences
        try:
            while data := await reader.read(BLOCK_BYTES):
                if silences != self._silences:
                    continue
                await asyncio.sleep(self.delay_s)
                if is_to_client and self.bytes_per_s:
                    await self._wait_for_link(len(data))
                if writer.is_closing():
                    return
                if not self.is_silent:
                    writer.write(data)
        except ConnectionError:
            transports.reset(writer.transport)
        finally:
            if not self.is_silent and silences == self._silences:
                writer.close()
