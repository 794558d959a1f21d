"""Links: outgoing connections to peers, with bounded queues and a bounded number of links."""

import asyncio
import collections
import random

import pynng

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric

QUEUE_MESSAGES = 16
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 5000
MIN_RECONNECT_MS = 100  # Initial reconnect delay of the transport itself.


class Link:
    """An outgoing connection to a peer; sending never blocks.

    :param url: address to dial.
    :param clock: clock to wait on.
    :param rng: source of the jitter.
    """

    __slots__ = ("_url", "_clock", "_rng", "_socket", "_is_reconnecting", "_backoff_ms", "_task")

    def __init__(self, url: str, clock: clocks.Clock, rng: random.Random) -> None:
        self._url = url
        self._clock = clock
        self._rng = rng
        self._socket: pynng.Push0 | None = None
        self._is_reconnecting = asyncio.Event()
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._task = asyncio.create_task(self._run())

    def send(self, frame: bytes) -> bool:
        """Queue a frame, or drop it if the queue is full or the link is down.

        :param frame: frame.
        :return: whether it was queued.
        """
        if self._socket is None:
            self._socket = self._dial()
        if self._socket is None or self._is_reconnecting.is_set():
            return False
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def reconnect(self) -> None:
        """Close the connection and dial again after a backoff, as the peer did not answer."""
        self._is_reconnecting.set()

    def renew(self) -> None:
        """Close the connection and dial again at once, as the present one may be dead."""
        if not self._is_reconnecting.is_set():
            self._close_socket()
            self._socket = self._dial()

    def reset_backoff(self) -> None:
        """Reset the backoff, as the peer answers."""
        self._backoff_ms = INITIAL_BACKOFF_MS

    def close(self) -> None:
        """Cancel the task and close the connection."""
        self._task.cancel()
        self._close_socket()

    async def _run(self) -> None:
        while True:
            await self._is_reconnecting.wait()
            self._close_socket()
            await self._clock.sleep_ms(self._backoff_ms * self._rng.uniform(0.5, 1.5))
            self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
            self._socket = self._dial()
            self._is_reconnecting.clear()

    def _dial(self) -> pynng.Push0 | None:
        """Return a socket that connects in the background; None if there is no such address."""
        socket = pynng.Push0(
            send_buffer_size=QUEUE_MESSAGES,
            reconnect_time_min=MIN_RECONNECT_MS,
            reconnect_time_max=MAX_BACKOFF_MS,
        )
        try:
            socket.dial(self._url, block=False)
        except pynng.NNGException:
            socket.close()
            return None
        return socket

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class LinkTable:
    """A bounded number of links by address; a new one evicts the least recently used.

    :param limit: maximum number of links.
    :param clock: clock to wait on.
    :param rng: source of the jitter.
    :param metrics: counters.
    """

    __slots__ = ("_limit", "_clock", "_rng", "_metrics", "_links")

    def __init__(
        self, limit: int, clock: clocks.Clock, rng: random.Random, metrics: metric.Metrics
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._links: collections.OrderedDict[str, Link] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._links)

    def send(self, address: str, frame: bytes) -> bool:
        """Queue a frame without blocking.

        :param address: IP:port of the peer.
        :param frame: frame.
        :return: whether it was queued.
        """
        link = self._links.get(address)
        if link is None:
            link = self._open(address)
        self._links.move_to_end(address)
        is_queued = link.send(frame)
        if is_queued:
            self._metrics.count("peer_messages_sent_total")
            self._metrics.count("peer_bytes_sent_total", len(frame))
        else:
            self._metrics.count("peer_messages_unsent_total")
        return is_queued

    def reconnect(self, address: str) -> None:
        """Close the link to a peer that did not answer, and dial again after a backoff.

        :param address: IP:port of the peer.
        """
        link = self._links.get(address)
        if link is not None:
            self._metrics.count("peer_links_renewed_total")
            link.reconnect()

    def renew(self, address: str) -> None:
        """Close the link to a peer, if there is one, and dial again at once.

        :param address: IP:port of the peer.
        """
        link = self._links.get(address)
        if link is not None:
            self._metrics.count("peer_links_renewed_total")
            link.renew()

    def reset_backoff(self, address: str) -> None:
        """Reset the backoff of the link to a peer that answers.

        :param address: IP:port of the peer.
        """
        link = self._links.get(address)
        if link is not None:
            link.reset_backoff()

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _open(self, address: str) -> Link:
        while len(self._links) >= self._limit:
            _, oldest = self._links.popitem(last=False)
            oldest.close()
        link = Link(f"tcp://{address}", self._clock, self._rng)
        self._links[address] = link
        return link


class Inbox:
    """The listener for messages of all peers.

    `address` is its IP:port, also once it is closed.

    :param host: IP address to bind.
    :param port: TCP port; 0 lets the system choose.
    :param limit_bytes: maximum size of a frame.
    """

    __slots__ = ("_socket", "address")

    def __init__(self, host: str, port: int, limit_bytes: int) -> None:
        self._socket = pynng.Pull0(recv_max_size=limit_bytes)
        self._socket.listen(f"tcp://{host}:{port}")
        self.address = str(self._socket.listeners[0].local_address)

    async def receive(self) -> bytes:
        """Return the next frame."""
        return bytes(await self._socket.arecv())

    def close(self) -> None:
        """Close the listener."""
        self._socket.close()
