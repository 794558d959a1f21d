"""Measures the peer protocol on simulated time, with the daemon's decisions and codec.

Run with `python -m bench.peers [SIZE ...]`; prints one line per measurement with its seeds.
"""

import asyncio
import dataclasses
import random
import statistics
import sys
import time
from collections.abc import Callable, Iterable, Sequence

import pynng

from bench import peer_network
from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork.generated import engine, layout, peers
from tanagerfork.groups import presence
from tanagerfork.peers import (
    codec,
    composer,
    domains,
    gossip,
    link,
    notices,
    observations,
    rendezvous,
    usage,
)

SIZES = (6, 20, 70)
SEEDS = (1, 2, 3)
GROUPS = {6: 4, 20: 20, 70: 68}
MEMBERS = 4
TEAMS = 10
TTL_MS = 6000
OBSERVE_INTERVAL_MS = 500
WARM_UP_MS = 15_000
STEADY_MS = 10_000
VICTIMS = 4
BREAKS = 4
LOSS = 0.05
HEARTBEAT_PER_S = 2
LINK_MESSAGES = 2000
FETCH_MS = 20  # Two requests with a few ms each way, and the verification of the bundle.
GOALS = "goals at 70: 20 messages/s, 2048 B/s, 29 ms/s, told in 3000 ms"


class TopicNode(peer_network.Node):
    """A daemon with all gossip topics that also observes groups."""

    def __init__(
        self,
        network: peer_network.Network,
        name: str,
        settings: gossip.GossipSettings,
        current: layout.Layout,
    ) -> None:
        self.presence = presence.Presence(TTL_MS)
        self.observed = observations.ObservationTopic(self.presence, TTL_MS)
        self.observed.set_layout(current)
        self.usage = usage.UsageTopic(lambda: self.gossip.members.ring(), settings.heard_ttl_ms)
        self.domains = domains.DomainTopic(settings.failure_domain, "perak", self._describe)
        self.layout = current
        self.fetches = 0
        self.is_observing = True
        topics = (notices.NoticeTopic(), self.usage, self.observed, self.domains)
        super().__init__(network, name, settings, topics=topics)
        self.gossip.foreign_bridges = self.domains.foreign_bridges
        self.marks = composer.Versions(1, current.serial, 1_800_000_000_000, 1)
        self.on_message = self._note_version
        for team in range(TEAMS):
            self.usage.set_own_usage(f"team-{team}", usage.Usage(network.rng.randrange(1, 30), 10))

    def run_round(self) -> None:
        """Renew the summary of the failure domain, then run a gossip round."""
        if self.is_running and not self.is_paused:
            self.domains.renew_own_summary(self.now_ms)
            count = len(self.gossip.members.up())
            self.observed.peer_count = self.domains.peer_count = count
        super().run_round()

    def observe(self, broken: set[int]) -> None:
        """Read the reports of the groups that rendezvous hashing assigns to this daemon."""
        if not self.is_running or not self.is_observing:
            return
        names = self.gossip.members.up()
        is_changed = False
        for index, group in enumerate(self.layout.groups):
            if self.name in rendezvous.choose_observers(group.group, names):
                for vm in group.members:
                    report = make_report(group, vm, self.network.now_ms, index in broken)
                    self.presence.add_report(report, self.now_ms)
                    is_changed |= self.observed.record_own_report(report, self.now_ms)
        if is_changed:
            self.send(self.gossip.push_changes(self.now_ms))
        self.network.call_later(OBSERVE_INTERVAL_MS, self.observe, broken)

    def knows_broken(self, index: int) -> bool:
        """Return whether this daemon knows that the first member of a group is loading."""
        heard = self.presence.find_report(self.layout.groups[index].members[0], self.now_ms)
        return heard is not None and heard.report.state == "loading"

    def take_version(self, version: int) -> None:
        """Adopt a bundle version and push it to peers at once."""
        if version > self.marks.bundle_version:
            self.marks = dataclasses.replace(self.marks, bundle_version=version)
            self.send(self.gossip.push_changes(self.now_ms))

    def _note_version(self, message: peers.PeerMessage, received: gossip.ReceiveResult) -> None:
        if not received.drop_reason and message.bundle_version > self.marks.bundle_version:
            self.fetches += 1
            self.network.call_later(FETCH_MS, self.take_version, message.bundle_version)

    def _describe(self, now_ms: int) -> domains.OwnDomain | None:
        if not self.gossip.is_bridge(now_ms):
            return None
        names = rendezvous.choose_bridges(self.gossip.members.up())
        contact = peers.DomainContact(
            name=self.name, callers_url="http://10.0.0.1:8600", operators_url="http://10.0.0.1:8601"
        )
        capacity = [peers.ModelCapacity(model=f"model-{number}", free_slots=9) for number in (1, 2)]
        return domains.OwnDomain([f"{name}:1" for name in names], [contact] * 2, capacity)


def make_layout(failure_domain: str, groups: int) -> layout.Layout:
    """Return a layout of groups of four."""
    records = [
        layout.GroupRecord(
            group=f"{failure_domain}/rota-writer/{number}",
            model="rota-writer",
            version="1",
            generation=1,
            members=[f"{failure_domain}-f{number}-vm{place}" for place in range(MEMBERS)],
        )
        for number in range(groups)
    ]
    return layout.Layout(failure_domain=failure_domain, serial=7, fencing=1, groups=records)


def make_report(
    group: layout.GroupRecord, vm: str, sequence: int, is_broken: bool
) -> engine.EngineReport:
    """Return the report of a member of a group."""
    return engine.EngineReport(
        vm=vm,
        incarnation="0123456789abcdef",
        sequence=sequence,
        group=group.group,
        generation=group.generation,
        members=group.members,
        model=group.model,
        version=group.version,
        state="loading" if is_broken else "ready",
        slots=64,
        running=sequence % 60,
    )


def start_nodes(
    network: peer_network.Network, size: int, failure_domain: str, seeds: Sequence[str], groups: int
) -> tuple[list[TopicNode], set[int]]:
    """Start a failure domain; return its daemons and the (empty) set of its broken groups."""
    current = make_layout(failure_domain, groups)
    settings = gossip.GossipSettings(failure_domain, seeds=tuple(seeds))
    broken: set[int] = set()
    nodes = []
    for number in range(size):
        node = TopicNode(network, f"{failure_domain}-{number}", settings, current)
        network.add(node)
        network.call_later(network.rng.randrange(OBSERVE_INTERVAL_MS), node.observe, broken)
        nodes.append(node)
    return nodes, broken


def start_domains(
    seed: int, size: int, count: int, groups: int
) -> tuple[peer_network.Network, list[TopicNode], set[int]]:
    """Start failure domains; return network, daemons and the first domain's broken groups."""
    network = peer_network.Network(seed)
    seeds = [f"domain{number}-{place}:1" for number in range(count) for place in (0, 1)]
    everyone: list[TopicNode] = []
    broken: set[int] = set()
    for number in range(count):
        nodes, found = start_nodes(network, size, f"domain{number}", seeds, groups)
        everyone += nodes
        broken = broken if number else found
    network.run(WARM_UP_MS)
    return network, everyone, broken


def measure_links() -> float:
    """Return the CPU time of one message over loopback, both sides together, in ms."""

    async def exchange() -> float:
        inbox = link.Inbox("127.0.0.1", 0, codec.MESSAGE_LIMIT_BYTES)
        links = link.LinkTable(4, clocks.SystemClock(), random.Random(1), metric.Metrics())
        frame = bytes(240)
        started_s = 0.0
        for number in range(LINK_MESSAGES + 1):
            if number == 1:
                started_s = time.process_time()
            links.send(inbox.address, frame)
            await inbox.receive()
        spent_s = time.process_time() - started_s
        links.close()
        inbox.close()
        return spent_s / LINK_MESSAGES * 1000

    return asyncio.run(exchange())


def percentile(values: Iterable[float | None], share: float) -> float:
    """Return a percentile; a missing value counts as the largest."""
    ordered = sorted(float("inf") if value is None else value for value in values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def run_domain(size: int, link_ms: float) -> float:
    """Measure one failure domain; return the bytes sent per second by a daemon."""
    told: list[int | None] = []
    broken_told: list[int | None] = []
    rates: list[tuple[float, float, float, float]] = []
    ages: list[float] = []
    for seed in SEEDS:
        network, nodes, broken = start_domains(seed, size, 1, GROUPS.get(size, size))
        for node in nodes:
            node.traffic = peer_network.Traffic()
        network.run(STEADY_MS)
        rates += [read_rates(node, link_ms) for node in nodes]
        ages += measure_ages(nodes)
        broken_told += [break_group(network, nodes, broken, index) for index in range(BREAKS)]
        for _ in range(min(VICTIMS, size // 3)):
            told.append(kill_one(network, nodes))
    sent, sent_bytes, received, busy_ms = (
        statistics.mean(column) for column in zip(*rates, strict=True)
    )
    most = [max(column) for column in zip(*rates, strict=True)]
    print(
        f"peers size={size} seeds={SEEDS} sent={sent:.1f}/s received={received:.1f}/s "
        f"bytes_sent={sent_bytes:.0f}/s busy={busy_ms:.1f} ms/s; most: sent={most[0]:.1f}/s "
        f"bytes_sent={most[1]:.0f}/s busy={most[3]:.1f} ms/s"
    )
    print(
        f"peers size={size} dead_member_told_p95={percentile(told, 0.95):.0f} ms of {len(told)}, "
        f"broken_group_told_p95={percentile(broken_told, 0.95):.0f} ms of {len(broken_told)}, "
        f"report_age_p50={percentile(ages, 0.5):.0f} p95={percentile(ages, 0.95):.0f} "
        f"p99={percentile(ages, 0.99):.0f} ms"
    )
    return sent_bytes


def read_rates(node: peer_network.Node, link_ms: float) -> tuple[float, float, float, float]:
    """Return messages and bytes sent, messages received, and CPU ms, each per second."""
    traffic, seconds = node.traffic, STEADY_MS / 1000
    on_links_ms = (traffic.sent + traffic.received) * link_ms / 2
    busy_ms = (traffic.decision_s * 1000 + on_links_ms) / seconds
    return (
        traffic.sent / seconds,
        traffic.sent_bytes / seconds,
        traffic.received / seconds,
        busy_ms,
    )


def measure_ages(nodes: Sequence[TopicNode]) -> list[float]:
    """Return the age of every report at every daemon; infinite for a missing report."""
    ages = []
    for node in nodes:
        for group in node.layout.groups:
            heard = node.presence.find_report(group.members[0], node.now_ms)
            ages.append(node.now_ms - heard.made_at_ms if heard else float("inf"))
    return ages


def break_group(
    network: peer_network.Network, nodes: Sequence[TopicNode], broken: set[int], index: int
) -> int | None:
    """Break a group; return the time until all daemons know, None if they do not."""
    broken.add(index)
    return network.run_until(lambda: all(node.knows_broken(index) for node in nodes), 20_000)


def kill_one(network: peer_network.Network, nodes: list[TopicNode]) -> int | None:
    """Kill a random daemon; return the time until all others know, None if they do not."""
    victim = nodes.pop(network.rng.randrange(len(nodes)))
    victim.is_running = False
    names = {node.name for node in nodes}
    told = network.run_until(lambda: peer_network.is_converged(nodes, names), 20_000)
    network.run(2000)
    return told


def run_suspicions(size: int) -> None:
    """Count wrong suspicions and missing daemons under message loss and under pauses."""
    for fault in ("loss", "pauses"):
        suspicions = deaths = 0
        for seed in SEEDS:
            network, nodes, _ = start_domains(seed, size, 1, GROUPS.get(size, size))
            before = sum(node.gossip.members.own.incarnation for node in nodes)
            network.loss = LOSS if fault == "loss" else 0.0
            for _ in range(30):
                paused = network.rng.choice(nodes)
                paused.is_paused = fault == "pauses"
                network.run(network.rng.randrange(200, 1000))
                paused.resume()
                network.run(500)
                deaths += sum(len(node.up()) < size for node in nodes)
            after = sum(node.gossip.members.own.incarnation for node in nodes)
            suspicions += after - before
        print(
            f"peers size={size} seeds={SEEDS} fault={fault} refuted_suspicions={suspicions} "
            f"daemons_missing_at_samples={deaths} of {size * 30 * len(SEEDS)}"
        )


def run_bundles(size: int, domain_count: int, is_split: bool) -> None:
    """Measure the time until a new bundle is in force at all daemons."""
    times: list[int | None] = []
    bytes_sent = []
    for seed in SEEDS[: 1 if domain_count > 10 else None]:
        network, nodes, _ = start_domains(seed, size, domain_count, 4)
        for node in nodes:
            node.traffic = peer_network.Traffic()
        watchers = [
            node
            for node in nodes
            if node.name in rendezvous.choose_watchers(node.gossip.members.up())
            and (not is_split or node.settings.failure_domain == "domain0")
        ]
        for node in watchers:
            network.call_later(network.rng.randrange(5, 20), node.take_version, 2)
        in_force: Callable[[], bool] = lambda nodes=nodes: all(  # noqa: E731
            node.marks.bundle_version == 2 for node in nodes
        )
        times.append(network.run_until(in_force, 60_000))
        bytes_sent.append(sum(node.traffic.sent_bytes for node in nodes) / len(nodes))
    reach = "one domain's watchers only" if is_split else "watchers in each domain"
    print(
        f"peers bundle daemons={size * domain_count} domains={domain_count} ({reach}) "
        f"in_force_at_all={percentile(times, 1.0):.0f} ms (most of {len(times)} seeds) "
        f"watches={len(watchers)} bytes_sent_meanwhile={statistics.mean(bytes_sent):.0f} a daemon"
    )


def run_all_to_all(size: int, link_ms: float) -> None:
    """Measure all-to-all heartbeats with the same codec, as a baseline."""
    coder = codec.Codec([peer_network.KEY])
    message = peers.PeerMessage(
        kind="gossip",
        sender="ipoh-a-10",
        failure_domain="ipoh-a",
        incarnation=1_800_000_000_000,
        sequence=10_000,
        sent_ms=4_000_000_000,
        body=b"",
    )
    started_s = time.process_time()
    for _ in range(1000):
        frame = coder.encode(message, "10.0.0.1:8602")
        coder.decode(frame, "10.0.0.1:8602")
    coded_ms = time.process_time() - started_s
    rate = HEARTBEAT_PER_S * (size - 1)
    busy_ms = rate * (coded_ms + link_ms)
    print(
        f"all-to-all size={size} sent={rate}/s received={rate}/s "
        f"bytes_sent={rate * len(frame)}/s busy={busy_ms:.1f} ms/s"
    )


def measure_memory(size: int) -> None:
    """Print the resident memory of the links and of the state of a daemon."""

    async def build() -> None:
        before_kb = read_resident_kb()
        inbox = link.Inbox("127.0.0.1", 0, codec.MESSAGE_LIMIT_BYTES)
        links = link.LinkTable(24, clocks.SystemClock(), random.Random(1), metric.Metrics())
        inbound = [pynng.Push0(dial=f"tcp://{inbox.address}") for _ in range(size)]
        for number in range(24):
            links.send(f"127.0.0.{number + 2}:9", b"x")
        with_links_kb = read_resident_kb()
        network, nodes, _ = start_domains(1, 2, 1, GROUPS.get(size, size))
        with_state_kb = read_resident_kb()
        print(
            f"peers size={size} resident: links and {size} inbound connections "
            f"+{(with_links_kb - before_kb) / 1024:.1f} MB (both ends of the inbound ones), state "
            f"of two daemons +{(with_state_kb - with_links_kb) / 1024:.1f} MB"
        )
        for socket in inbound:
            socket.close()
        links.close()
        inbox.close()
        del network, nodes

    asyncio.run(build())


def read_resident_kb() -> int:
    """Return the resident set size of this process, in kB."""
    with open("/proc/self/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1])


def main(sizes: Sequence[int]) -> None:
    """Run all measurements."""
    print(GOALS)
    measure_memory(70)
    link_ms = measure_links()
    print(f"peers link: {link_ms:.3f} ms of processor time a message, both sides together")
    rates = {size: run_domain(size, link_ms) for size in sizes}
    for size in sizes:
        run_all_to_all(size, link_ms)
        run_suspicions(size)
        run_bundles(size, 1, False)
    for domain_count in (3, 10, 37):
        run_bundles(6, domain_count, False)
        run_bundles(6, domain_count, True)
    print(f"bytes sent a second by size: { {size: round(rate) for size, rate in rates.items()} }")


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or SIZES)
