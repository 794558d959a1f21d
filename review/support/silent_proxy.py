"""Proxy of one address whose open connections can go silent for good, while new ones work."""

import asyncio
import contextlib

BLOCK_BYTES = 65_536


class SilentProxy:
    """Passes connections on to an address on the loopback interface."""

    def __init__(self, host: str, port: int) -> None:
        self._far_host, self._far_port = host, port
        self._epoch = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Address of the proxy."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Let the open connections carry nothing any more; neither side sees an end or a reset."""
        self._epoch += 1

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(self._far_host, self._far_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        epoch = self._epoch
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, epoch), self._forward(far_reader, writer, epoch)
            )
        finally:
            self._writers -= {writer, far_writer}
            for each in (writer, far_writer):
                each.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, epoch: int
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BLOCK_BYTES):
                if epoch != self._epoch:
                    await asyncio.Event().wait()  # Read no more, and close nothing.
                writer.write(data)
                await writer.drain()
        if epoch != self._epoch:
            await asyncio.Event().wait()
        writer.close()
