"""Links: outgoing connections to peers, each with a task, a bounded queue and a bounded life."""

import asyncio
import collections
import random

import pynng

from tanagerfork import clock as clocks
from tanagerfork import metrics as metric

QUEUE_MESSAGES = 16
FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 5000
RECONNECT_MS = 100


class Link:
    """One connection to a peer; it never blocks the sender.

    :param url: address to dial.
    :param clock: clock to wait on.
    :param rng: source of the jitter.
    """

    __slots__ = ("_url", "_clock", "_rng", "_socket", "_is_silent", "_pause_ms", "_task")

    def __init__(self, url: str, clock: clocks.Clock, rng: random.Random) -> None:
        self._url = url
        self._clock = clock
        self._rng = rng
        self._socket: pynng.Push0 | None = None
        self._is_silent = asyncio.Event()
        self._pause_ms = FIRST_PAUSE_MS
        self._task = asyncio.create_task(self._run())

    def send(self, frame: bytes) -> bool:
        """Send a frame, or drop it where the queue is full or the link is down.

        :param frame: frame.
        :return: whether it was queued.
        """
        if self._socket is None:
            self._socket = self._dial()
        if self._is_silent.is_set():
            return False
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def renew(self) -> None:
        """Drop the connection, which was silent, and dial anew after a pause."""
        self._is_silent.set()

    def note_heard(self) -> None:
        """Remember that the peer answers."""
        self._pause_ms = FIRST_PAUSE_MS

    def close(self) -> None:
        """End the task and drop the connection."""
        self._task.cancel()
        self._drop()

    async def _run(self) -> None:
        while True:
            await self._is_silent.wait()
            self._drop()
            await self._clock.sleep_ms(self._pause_ms * self._rng.uniform(0.5, 1.5))
            self._pause_ms = min(LONGEST_PAUSE_MS, 2 * self._pause_ms)
            self._socket = self._dial()
            self._is_silent.clear()

    def _dial(self) -> pynng.Push0:
        socket = pynng.Push0(
            send_buffer_size=QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=LONGEST_PAUSE_MS,
        )
        socket.dial(self._url, block=False)
        return socket

    def _drop(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class LinkTable:
    """Holds a bounded number of links; a new one displaces the one unused longest.

    :param limit: links held at once.
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
        """Send a frame without waiting.

        :param address: IP:port of the peer.
        :param frame: frame.
        :return: whether it was queued.
        """
        link = self._links.get(address)
        if link is None:
            link = self._open(address)
        self._links.move_to_end(address)
        is_sent = link.send(frame)
        if is_sent:
            self._metrics.count("peer_messages_sent_total")
            self._metrics.count("peer_bytes_sent_total", len(frame))
        else:
            self._metrics.count("peer_messages_unsent_total")
        return is_sent

    def renew(self, address: str) -> None:
        """Drop a link that was silent, and dial it anew.

        :param address: IP:port of the peer.
        """
        link = self._links.get(address)
        if link is not None:
            self._metrics.count("peer_links_renewed_total")
            link.renew()

    def note_heard(self, address: str) -> None:
        """Remember that a peer answers.

        :param address: IP:port of the peer.
        """
        link = self._links.get(address)
        if link is not None:
            link.note_heard()

    def close(self) -> None:
        """Drop all links."""
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
    """The listener that all peers send to.

    :param host: IP address to bind.
    :param port: TCP port; 0 lets the system choose.
    :param limit_bytes: largest frame taken in.
    """

    __slots__ = ("_socket",)

    def __init__(self, host: str, port: int, limit_bytes: int) -> None:
        self._socket = pynng.Pull0(recv_max_size=limit_bytes)
        self._socket.listen(f"tcp://{host}:{port}")

    @property
    def address(self) -> str:
        """IP:port that it is bound to."""
        return str(self._socket.listeners[0].local_address)

    async def receive(self) -> bytes:
        """Return the next frame."""
        return bytes(await self._socket.arecv())

    def close(self) -> None:
        """Close the listener."""
        self._socket.close()
