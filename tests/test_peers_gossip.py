"""Tests of membership and gossip over a simulated network with explicit time."""

import msgspec
import pytest
from bench import peer_network

from tanagerfork.generated import peers
from tanagerfork.peers import gossip, membership

LIMIT_MS = 30_000


def start(size: int, seed: int = 1) -> tuple[peer_network.Network, list[peer_network.Node]]:
    """Start daemons and wait until all know each other."""
    network = peer_network.Network(seed)
    nodes = peer_network.start_domain(network, size)
    assert network.run_until(lambda: peer_network.is_converged(nodes), LIMIT_MS) is not None
    network.run(2000)
    return network, nodes


def partition_halves(network: peer_network.Network, nodes: list[peer_network.Node]) -> None:
    """Partition the daemons into two halves."""
    first = {node.name for node in nodes[: len(nodes) // 2]}
    network.cut = lambda sender, receiver: (sender in first) != (receiver in first)


def heal(network: peer_network.Network) -> None:
    """End all faults of the network."""
    network.cut = lambda sender, receiver: False
    network.loss = network.duplication = 0.0
    network.delay_ms = peer_network.DELAY_MS


class TestConvergence:
    @pytest.mark.parametrize("size", [1, 2, 3, 7, 20])
    def test_daemons_find_each_other_through_two_seeds(self, size):
        network, nodes = start(size)
        assert len({node.gossip.members.digest() for node in nodes}) == 1

    def test_dead_member_is_reported_to_all(self):
        network, nodes = start(7)
        nodes[0].is_running = False
        rest = nodes[1:]
        names = {node.name for node in rest}
        elapsed_ms = network.run_until(lambda: peer_network.is_converged(rest, names), LIMIT_MS)
        assert elapsed_ms is not None and elapsed_ms <= 3000

    def test_leaving_daemon_is_reported_without_suspicion(self):
        network, nodes = start(7)
        nodes[3].send(nodes[3].gossip.leave(nodes[3].now_ms))
        nodes[3].is_running = False
        rest = [node for node in nodes if node is not nodes[3]]
        names = {node.name for node in rest}
        elapsed_ms = network.run_until(lambda: peer_network.is_converged(rest, names), LIMIT_MS)
        assert elapsed_ms is not None and elapsed_ms < 1000
        states = {node.gossip.members.members[nodes[3].name].entry.state for node in rest}
        assert states == {membership.LEFT}

    def test_daemon_is_alone_after_the_ttl_without_messages(self):
        network, nodes = start(3)
        network.loss = 1.0
        node = nodes[0]
        network.run(node.settings.heard_ttl_ms + 1000)
        assert node.gossip.live(node.now_ms) == [node.name]


FAULTS = ["loss", "duplication", "reordering", "partition", "pause", "silence"]


class TestFaults:
    """Membership converges again after each fault, each pair of faults and a repeated fault."""

    def inject(self, fault, network, nodes):
        if fault == "loss":
            network.loss = 0.3
        elif fault == "duplication":
            network.duplication = 0.5
        elif fault == "reordering":
            network.delay_ms = (1, 400)
        elif fault == "partition":
            partition_halves(network, nodes)
        elif fault == "pause":
            nodes[2].is_paused = True
        else:
            cut = network.cut
            network.cut = lambda sender, receiver: cut(sender, receiver) or (
                (sender, receiver) == (nodes[0].name, nodes[1].name)
            )

    def end_faults(self, network, nodes):
        heal(network)
        if nodes[2].is_paused:
            nodes[2].resume()

    @pytest.mark.parametrize("first", FAULTS)
    @pytest.mark.parametrize("second", ["", *FAULTS])
    def test_membership_converges_after_faults(self, first, second):
        network, nodes = start(6)
        for fault in (first, second):
            if fault:
                self.inject(fault, network, nodes)
            network.run(1500)
        network.run(4000)
        self.end_faults(network, nodes)
        assert network.run_until(lambda: peer_network.is_converged(nodes), LIMIT_MS) is not None
        network.run(5000)
        assert peer_network.is_converged(nodes)

    @pytest.mark.parametrize("fault", FAULTS)
    def test_membership_converges_after_the_same_fault_twice(self, fault):
        network, nodes = start(6)
        for _ in range(2):
            self.inject(fault, network, nodes)
            network.run(3000)
            self.end_faults(network, nodes)
            network.run(700)
        assert network.run_until(lambda: peer_network.is_converged(nodes), LIMIT_MS) is not None

    def test_one_silent_link_declares_no_daemon_dead(self):
        network, nodes = start(6)
        self.inject("silence", network, nodes)
        network.run(10_000)
        assert peer_network.is_converged(nodes)

    def test_partitioned_halves_see_only_themselves_and_join_again(self):
        network, nodes = start(6)
        partition_halves(network, nodes)
        network.run(6000)
        assert nodes[0].up() == {node.name for node in nodes[:3]}
        assert nodes[5].up() == {node.name for node in nodes[3:]}
        heal(network)
        assert network.run_until(lambda: peer_network.is_converged(nodes), LIMIT_MS) is not None

    def test_resumed_daemon_declares_no_peer_dead(self):
        network, nodes = start(6)
        nodes[2].is_paused = True
        network.run(20_000)
        assert nodes[2].name not in nodes[0].up()
        nodes[2].resume()
        for _ in range(200):
            network.run(20)
            assert len(nodes[2].up()) == 6
        assert network.run_until(lambda: peer_network.is_converged(nodes), LIMIT_MS) is not None
        assert nodes[2].gossip.members.own.incarnation > 1

    @pytest.mark.parametrize("incarnation", [0, 1, 4, 9])
    def test_daemon_that_restarts_with_any_incarnation_rejoins(self, incarnation):
        network, nodes = start(4)
        old = nodes[3]
        old.gossip.members.merge(
            msgspec.structs.replace(old.gossip.members.own, incarnation=4, state="suspect"),
            old.now_ms,
        )
        network.run(3000)
        old.is_running = False
        new = peer_network.Node(network, old.name, old.settings, incarnation)
        network.add(new)
        everyone = [*nodes[:3], new]
        network.run(5000)
        assert network.run_until(lambda: peer_network.is_converged(everyone), LIMIT_MS) is not None
        assert nodes[0].gossip.members.find(old.name).entry.incarnation >= 5


class TestDomains:
    def test_both_sides_learn_the_address_of_a_foreign_daemon(self):
        network = peer_network.Network(1)
        here = peer_network.start_domain(network, 2, "ipoh-a")
        there = peer_network.start_domain(network, 1, "taiping", seeds=(here[0].address,))
        network.run(10_000)
        assert there[0].gossip.find_address(here[0].name) == here[0].address
        assert here[0].gossip.find_address(there[0].name) == there[0].address


class TestReplays:
    """A replayed frame has no effect, however late it arrives."""

    def record(self):
        network, nodes = start(4)
        network.recorded = []
        network.run(3000)
        recorded, network.recorded = network.recorded, None
        return network, nodes, recorded

    @pytest.mark.parametrize("later_ms", [0, 1000, 20_000])
    def test_replayed_frames_are_dropped(self, later_ms):
        network, nodes, recorded = self.record()
        network.run(later_ms)
        by_address = {node.address: node for node in nodes}
        for node in nodes:
            node.is_running = False
        for address, frame in recorded:
            node = by_address[address]
            message = node.codec.decode(frame, address).ok_value
            before = describe(node)
            received = node.gossip.receive(message, node.now_ms)
            assert received.drop_reason in (gossip.REPLAYED, gossip.STALE)
            assert describe(node) == before

    def test_frames_of_an_old_incarnation_and_to_a_restarted_daemon_are_dropped(self):
        network, nodes, recorded = self.record()
        old = nodes[1]
        old.is_running = False
        new = network.add(peer_network.Node(network, old.name, old.settings, 2))
        network.run(3000)
        by_address = {node.address: node for node in [nodes[0], new, *nodes[2:]]}
        reasons = set()
        for address, frame in recorded:
            node = by_address[address]
            message = node.codec.decode(frame, address).ok_value
            if node is not new and message.sender != new.name:
                continue
            before = describe(node)
            reasons.add(node.gossip.receive(message, node.now_ms).drop_reason)
            assert describe(node) == before
        assert "" not in reasons and gossip.OLD_INCARNATION in reasons


def describe(node: peer_network.Node) -> list[bytes]:
    """Return the membership of a daemon in a comparable form."""
    members = node.gossip.members.members.values()
    return sorted(msgspec.json.encode(member.entry) for member in members)


class TestMembership:
    def make(self):
        own = peers.PeerEntry(name="a", incarnation=1, state="alive", address="a:1")
        members = membership.Membership(own, 1000, 0)
        members.merge(entry("b", 3, "alive"), 0)
        return members

    @pytest.mark.parametrize(
        ("incarnation", "state", "is_changed", "after"),
        [
            (2, "dead", False, "alive"),
            (3, "alive", False, "alive"),
            (3, "suspect", True, "suspect"),
            (3, "dead", True, "dead"),
            (3, "left", True, "left"),
            (4, "alive", True, "alive"),
        ],
    )
    def test_higher_incarnation_and_worse_state_win(self, incarnation, state, is_changed, after):
        members = self.make()
        assert members.merge(entry("b", incarnation, state), 10) is is_changed
        assert members.find("b").entry.state == after
        assert members.find("b").entry.address == "b:1"

    def test_suspicion_ends_by_refutation_or_a_timeout_from_its_start(self):
        members = self.make()
        suspicion = entry("b", 3, "suspect")
        suspicion.age_ms = 600
        members.merge(suspicion, 100)
        assert members.expire(499) == [] and members.expire(500) == ["b"]
        assert members.merge(entry("b", 4, "alive"), 510) and members.up() == ["a", "b"]

    def test_own_suspicion_is_refuted_with_a_higher_incarnation(self):
        members = self.make()
        assert members.merge(entry("a", 7, "dead"), 0)
        assert (members.own.incarnation, members.own.state) == (8, "alive")

    def test_unknown_dead_daemon_is_ignored_and_departed_one_is_removed_later(self):
        members = self.make()
        assert not members.merge(entry("c", 1, "dead"), 0)
        members.merge(entry("b", 3, "left"), 0)
        members.expire(membership.GONE_RETENTION_MS)
        assert members.find("b") is None


def entry(name: str, incarnation: int, state: str) -> peers.PeerEntry:
    """Return a membership entry."""
    return peers.PeerEntry(
        name=name, incarnation=incarnation, state=state, address=f"{name}:1" if state else ""
    )
