"""Tests of message topics: ages of reports, usage, notices, rendezvous hashing, compression."""

import random

import pytest
from bench import peer_network
from bench import peers as bench_peers

from tanagerfork.generated import engine, peers
from tanagerfork.groups import presence
from tanagerfork.peers import (
    compression,
    dissemination,
    freshness,
    notices,
    observations,
    rendezvous,
    ring,
    topic,
    usage,
)

RECEIVER = topic.Receiver("b", is_foreign=False, is_full_sync=False)


def make_message(**fields) -> peers.PeerMessage:
    """Return a gossip message from a peer."""
    return peers.PeerMessage(
        kind="gossip",
        sender="b",
        failure_domain="ipoh-a",
        incarnation=1,
        sequence=1,
        sent_ms=1,
        body=b"",
        **fields,
    )


class TestRepeatedReports:
    @pytest.mark.parametrize(("sequence", "age_ms"), [(1, 900), (2, 0)])
    def test_repeated_report_does_not_reset_its_age(self, sequence, age_ms):
        topic_ = observations.ObservationTopic(presence.Presence(2000), 2000)
        for number, made_at_ms in ((1, 100), (sequence, 1000)):
            report = engine.EngineReport(vm="vm0", incarnation="i", sequence=number)
            topic_.record_own_report(report, made_at_ms)
        assert topic_.measure_age("vm0", 1000) == age_ms


class TestAges:
    """No report is ever considered newer than the last reading of its member."""

    @pytest.mark.parametrize(
        ("delay_ms", "loss", "duplication", "has_pause"),
        [
            ((1, 2), 0.0, 0.0, False),
            ((1, 400), 0.0, 0.0, False),
            ((300, 900), 0.0, 0.0, False),
            ((1, 400), 0.2, 0.5, False),
            ((1, 2), 0.0, 0.0, True),
            ((1, 400), 0.2, 0.5, True),
        ],
    )
    def test_no_report_is_newer_than_the_last_reading(self, delay_ms, loss, duplication, has_pause):
        network = peer_network.Network(5)
        nodes, _ = bench_peers.start_nodes(network, 6, "ipoh-a", ["ipoh-a-0:1"], 4)
        network.run(5000)
        network.delay_ms, network.loss, network.duplication = delay_ms, loss, duplication
        nodes[2].is_paused = has_pause
        network.run(3000)
        stopped_ms = network.now_ms
        for node in nodes:
            node.is_observing = False
        report_count = 0
        for _ in range(40):
            network.run(200)
            if has_pause and network.now_ms - stopped_ms == 2000:
                nodes[2].resume()
            for node in nodes:
                for report in node.presence._received.values():
                    assert report.made_at_ms - node.skew_ms <= stopped_ms
                    report_count += 1
        assert report_count > 0

    def test_reports_reach_daemons_that_observe_nothing(self):
        network = peer_network.Network(5)
        nodes, _ = bench_peers.start_nodes(network, 6, "ipoh-a", ["ipoh-a-0:1"], 4)
        network.run(10_000)
        assert max(bench_peers.measure_ages(nodes)) < bench_peers.TTL_MS

    def test_change_of_state_reaches_all(self):
        network = peer_network.Network(5)
        nodes, broken = bench_peers.start_nodes(network, 6, "ipoh-a", ["ipoh-a-0:1"], 4)
        network.run(10_000)
        elapsed_ms = bench_peers.break_group(network, nodes, broken, 1)
        assert elapsed_ms is not None and elapsed_ms <= 3000


class TestFreshness:
    def test_delay_is_never_underestimated_despite_skew_and_drift(self):
        rng = random.Random(3)
        for _ in range(200):
            skew_ms, drift = rng.randrange(10**9), rng.uniform(-0.0004, 0.0004)
            clock = freshness.PeerClock(1)
            now_ms = 1000
            for _ in range(20):
                asked_ms = now_ms
                there_ms = asked_ms + rng.randrange(500)
                sent_ms = there_ms + rng.randrange(5000)
                arrived_ms = sent_ms + rng.randrange(500)
                stamp = int((sent_ms + skew_ms) * (1 + drift))
                held_ms = int((sent_ms - there_ms) * (1 + drift))
                delay_ms = clock.measure_delay(stamp, asked_ms, held_ms, arrived_ms)
                assert delay_ms is not None and delay_ms >= arrived_ms - sent_ms - 2
                now_ms = arrived_ms + rng.randrange(60_000)

    def test_stamps_of_another_run_are_not_found(self):
        stamps = freshness.SentStamps(random.Random(1), 0)
        other = freshness.SentStamps(random.Random(2), 0)
        assert stamps.find(stamps.issue(100)) == 100
        assert stamps.find(other.issue(100)) is None


class TestUsage:
    @pytest.mark.parametrize("size", [1, 2, 7, 20])
    def test_tree_reaches_all_daemons_and_partners_cover_its_edges(self, size):
        names = [f"d{number}" for number in range(size)]
        rings = {name: ring.Ring(names, name) for name in names}
        roots = [name for name in names if not rings[name].parent()]
        assert len(roots) == 1
        for name in names:
            for child in rings[name].children():
                assert rings[child].parent() == name and child in rings[name].partners()
        assert sum(len(rings[name].children()) for name in names) == size - 1

    def test_expired_sums_and_totals_are_ignored(self):
        names = ["a", "b"]
        own = "a" if not ring.Ring(names, "a").parent() else "b"
        other = "b" if own == "a" else "a"
        topics = usage.UsageTopic(lambda: ring.Ring(names, own), 10_000)
        message = make_message(
            usage=[peers.TeamUsage(team="t", running=5, requests_per_s=1)],
        )
        message.sender = other
        topics.apply(message, 100, 1000)
        assert topics.usage_of_peers("t", 1000).running == 5
        assert topics.usage_of_peers("t", 10_901).running == 0


class TestNotices:
    def test_expiry_includes_the_delay_and_is_never_extended_by_relaying(self):
        topics = notices.NoticeTopic()
        notice = peers.Notice(kind="k", subject="s", expires_in_ms=1000)
        topics.apply(make_message(notices=[notice]), 300, 5000)
        assert [item.expires_at_ms for item in topics.read("k", 5000)] == [5700]
        relayed = make_message()
        topics.fill(relayed, RECEIVER, 200, 5500)
        assert relayed.notices[0].expires_in_ms == 200
        assert topics.read("k", 5700) == []

    def test_each_notice_is_sent_a_bounded_number_of_times(self):
        topics = notices.NoticeTopic()
        topics.peer_count = 6
        topics.announce("k", "s", 60_000, "", 0)
        sent = 0
        for _ in range(100):
            message = make_message()
            topics.fill(message, RECEIVER, 200, 0)
            sent += len(message.notices)
        expected = dissemination.SENDS_PER_DOUBLING * dissemination.count_doublings(6)
        assert sent == expected


class TestRendezvous:
    def test_choices_agree_are_balanced_and_change_little(self):
        names = [f"d{number}" for number in range(20)]
        groups = [f"g{number}" for number in range(200)]
        before = {group: rendezvous.choose_observers(group, names) for group in groups}
        assert before == {
            group: rendezvous.choose_observers(group, reversed(names)) for group in groups
        }
        after = {group: rendezvous.choose_observers(group, names[1:]) for group in groups}
        moved = [group for group in groups if before[group] != after[group]]
        assert all("d0" in before[group] for group in moved)
        loads = [sum(name in chosen for chosen in before.values()) for name in names]
        assert min(loads) > 5 and max(loads) < 45


class TestCompression:
    def test_content_survives_a_round_trip_and_bombs_are_rejected(self):
        base, content = b"manifest " * 100, b"manifest " * 100 + b"new"
        packed = compression.pack(content, base)
        assert compression.unpack(packed, base, 10_000).ok_value == content
        assert compression.unpack(packed, b"", 10_000).is_err()
        assert compression.unpack(compression.pack(bytes(10**6), b""), b"", 1000).is_err()
        assert compression.unpack(b"garbage", b"", 1000).is_err()
