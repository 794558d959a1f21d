"""Peer protocol of several daemons over an in-memory network with simulated time."""

import dataclasses
import heapq
import random
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import result

from tanagerfork.generated import peers
from tanagerfork.peers import codec, composer, gossip
from tanagerfork.peers import topic as topic_interfaces

KEY = "bench-shared-key"
DELAY_MS = (1, 2)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic of one daemon and the CPU time spent on it."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    decision_s: float = 0.0
    dropped: dict[str, int] = dataclasses.field(default_factory=dict)


class Node:
    """One daemon with the real gossip decisions and codec."""

    def __init__(
        self,
        network: "Network",
        name: str,
        settings: gossip.GossipSettings,
        incarnation: int = 1,
        topics: Sequence[topic_interfaces.Topic] = (),
        address: str = "",
    ) -> None:
        self.network = network
        self.name = name
        self.address = address or name + ":1"
        self.settings = settings
        self.topics = topics
        self.marks = composer.Versions()
        self.traffic = Traffic()
        self.is_running = True
        self.is_paused = False
        self.buffered_frames: list[bytes] = []
        self.skew_ms = network.rng.randrange(1_000_000)
        self.codec = codec.Codec([KEY])
        self.on_message: Callable[[peers.PeerMessage, gossip.ReceiveResult], None] | None = None
        own = peers.PeerEntry(
            name=name,
            incarnation=incarnation,
            state="alive",
            address=self.address,
            callers_url=f"http://{self.address}",
        )
        self.gossip = gossip.Gossip(
            settings, own, network.rng, topics, lambda: self.marks, self.now_ms
        )

    @property
    def now_ms(self) -> int:
        """Time of this daemon's monotonic clock, which is skewed from the network's."""
        return self.network.now_ms + self.skew_ms

    def up(self) -> set[str]:
        """Return the names of the daemons that this one considers up."""
        return set(self.gossip.members.up())

    def run_round(self) -> None:
        """Run a gossip round, send its messages, and schedule the next round."""
        if not self.is_running:
            return
        if not self.is_paused:
            started_s = time.process_time()
            self.send(self.gossip.run_round(self.now_ms).outgoing)
            self.traffic.decision_s += time.process_time() - started_s
        interval_ms = self.settings.round_interval_ms
        jitter_ms = self.network.rng.randrange(interval_ms // 10 + 1) - interval_ms // 20
        self.network.call_later(interval_ms + jitter_ms, self.run_round)

    def send(self, outgoing: Iterable[composer.Outgoing]) -> None:
        """Encode messages and transmit them over the network."""
        for item in outgoing:
            frame = self.codec.encode(item.message, item.address)
            self.traffic.sent += 1
            self.traffic.sent_bytes += len(frame)
            self.network.transmit(self, item.address, frame)

    def take(self, frame: bytes) -> None:
        """Decode a frame, process it and send the replies; a paused daemon buffers it."""
        if not self.is_running:
            return
        if self.is_paused:
            self.buffered_frames.append(frame)
            return
        started_s = time.process_time()
        self.traffic.received += 1
        self.traffic.received_bytes += len(frame)
        decoded = self.codec.decode(frame, self.address)
        if isinstance(decoded, result.Ok):
            received = self.gossip.receive(decoded.ok_value, self.now_ms)
            if received.drop_reason:
                dropped = self.traffic.dropped
                dropped[received.drop_reason] = dropped.get(received.drop_reason, 0) + 1
            self.send(received.replies)
            if self.on_message is not None:
                self.on_message(decoded.ok_value, received)
        self.traffic.decision_s += time.process_time() - started_s

    def resume(self) -> None:
        """End a pause and process the frames buffered during it."""
        self.is_paused = False
        buffered_frames, self.buffered_frames = self.buffered_frames, []
        for frame in buffered_frames:
            self.take(frame)


class Network:
    """Transmits frames between daemons, with loss, duplication, delay and partitions.

    :param seed: seed of all random choices.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.nodes: dict[str, Node] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_ms = DELAY_MS
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.recorded: list[tuple[str, bytes]] | None = None
        self._events: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = 0

    def add(self, node: Node) -> Node:
        """Add a daemon and schedule its first round."""
        self.nodes[node.address] = node
        self.call_later(self.rng.randrange(node.settings.round_interval_ms), node.run_round)
        return node

    def call_later(self, delay_ms: int, work: Callable[..., Any], *parameters: Any) -> None:
        """Schedule a call after a delay."""
        self._count += 1
        event = (self.now_ms + delay_ms, self._count, work, parameters)
        heapq.heappush(self._events, event)

    def transmit(self, sender: Node, address: str, frame: bytes) -> None:
        """Schedule the delivery of a frame, which may be lost or duplicated."""
        receiver = self.nodes.get(address)
        if self.recorded is not None:
            self.recorded.append((address, frame))
        if receiver is None or self.cut(sender.name, receiver.name):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self.call_later(self.rng.randint(*self.delay_ms), receiver.take, frame)

    def run(self, duration_ms: int) -> None:
        """Advance the time and run all events that are due."""
        until_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, work, parameters = heapq.heappop(self._events)
            work(*parameters)
        self.now_ms = until_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int | None:
        """Advance the time until a condition holds; return the elapsed ms, None at the limit."""
        started_ms = self.now_ms
        while not condition():
            if self.now_ms - started_ms >= limit_ms:
                return None
            self.run(20)
        return self.now_ms - started_ms


def start_domain(
    network: Network, size: int, failure_domain: str = "ipoh-a", **settings: Any
) -> list[Node]:
    """Start the daemons of a failure domain, with the first two as seeds by default."""
    names = [f"{failure_domain}-{number}" for number in range(size)]
    settings.setdefault("seeds", tuple(f"{name}:1" for name in names[:2]))
    chosen = gossip.GossipSettings(failure_domain, **settings)
    return [network.add(Node(network, name, chosen)) for name in names]


def is_converged(nodes: Sequence[Node], names: set[str] | None = None) -> bool:
    """Return whether all daemons consider exactly the named ones up, by default `nodes`."""
    wanted = names if names is not None else {node.name for node in nodes}
    return all(node.up() == wanted for node in nodes)
