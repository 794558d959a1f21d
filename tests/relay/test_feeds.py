"""Store changes that daemons get from each other, and when they read the store instead."""

import types
from collections.abc import Mapping

import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork import decisions, record
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.relay import cohorts, daemon_directory, feeds
from tanagerfork.storage import key_value
from tanagerfork_standins.platform import site as sites
from tests import fakes
from tests.relay import deployments

CONFIG_APPLY_MS = 2000  # The platform's limit from a confirmed configuration to its effect.


def make_feed(
    name: str,
    daemons: list[str],
    is_coordinator: bool = False,
    links: Mapping[str, float] = types.MappingProxyType({}),
) -> feeds.ChangeFeed:
    clock = clocks.SystemClock()
    log = decisions.DecisionLog(name, clock, deployments.LineList())
    record = daemon_directory.DaemonRecord("a", "127.0.0.1:1")
    directory = daemon_directory.DaemonDirectory(fakes.MemoryKeyValue(), name, record, clock, log)
    for other in daemons:
        directory.daemons[other] = daemon_directory.DaemonRecord(
            "a", "127.0.0.1:2", link_mbps=links.get(other, 0.0)
        )
    directory.daemons["elsewhere"] = daemon_directory.DaemonRecord("b", "127.0.0.1:3")
    own_cohorts = cohorts.Cohorts(name, "a", directory)
    return feeds.ChangeFeed(
        own_cohorts, lambda batch, names: None, lambda: is_coordinator, clock, metric.Metrics()
    )


def make_batch(after: int, revision: int, *keys: str) -> notices.ChangeBatch:
    written = [notices.WrittenKey(key=key, value="MQ==", revision=revision) for key in keys]
    return notices.ChangeBatch(after=after, revision=revision, written=written, removed=[])


class TestSources:
    def test_two_daemons_of_a_cohort_and_the_coordinator_are_sources(self) -> None:
        names = [f"d{index:03}" for index in range(5)]
        assert [name for name in names if make_feed(name, names).is_source()] == names[:2]
        assert make_feed("d004", names, is_coordinator=True).is_source()

    def test_daemons_with_the_fastest_links_are_sources(self) -> None:
        names = [f"d{index:03}" for index in range(5)]
        links = dict(zip(names, (7.0, 100.0, 7.0, 100.0, 100.0), strict=True))
        feeds_by_name = {name: make_feed(name, names, links=links) for name in names}
        assert [name for name in names if feeds_by_name[name].is_source()] == ["d001", "d003"]

    def test_links_decide_only_where_all_are_known(self) -> None:
        """A daemon that does not tell its link would take others for sources."""
        names = [f"d{index:03}" for index in range(5)]
        links = dict(zip(names, (7.0, 100.0, 7.0, 100.0, 0.0), strict=True))
        feeds_by_name = {name: make_feed(name, names, links=links) for name in names}
        assert [name for name in names if feeds_by_name[name].is_source()] == names[:2]

    def test_large_domain_has_sources_for_each_cohort(self) -> None:
        names = [f"d{index:03}" for index in range(3 * cohorts.COHORT_SIZE)]
        sources = [name for name in names if make_feed(name, names).is_source()]
        assert len(sources) == 3 * cohorts.SOURCES_PER_COHORT

    def test_only_sources_publish(self) -> None:
        names = [f"d{index:03}" for index in range(5)]
        sent: list[list[str]] = []
        for name in names:
            feed = make_feed(name, names)
            feed.send = lambda batch, to: sent.append(to)
            feed.publish(1, key_value.Changes([], [], 2))
        assert sent == [names, names]


class TestBatches:
    async def test_next_batch_and_empty_batch_are_accepted(self) -> None:
        feed = make_feed("d9", ["d0", "d1"])
        feed.receive(make_batch(5, 8, "k"))
        changes = await feed.wait_for_changes(6)  # Known in part; ends at a later revision.
        assert changes is not None and changes.revision == 8
        assert changes.written == [key_value.Entry("k", b"1", 8)]
        feed.receive(make_batch(8, 8))
        assert await feed.wait_for_changes(8) == key_value.Changes([], [], 8)

    async def test_value_that_is_no_base64_requires_a_read_of_the_store(self) -> None:
        feed = make_feed("d9", ["d0", "d1"])
        batch = make_batch(5, 8, "k")
        batch.written[0].value = "a"
        feed.receive(batch)
        assert await feed.wait_for_changes(5) is None

    async def test_gap_requires_a_read_of_the_store(self) -> None:
        feed = make_feed("d9", ["d0", "d1"])
        feed.receive(make_batch(7, 8, "k"))
        assert await feed.wait_for_changes(6) is None

    async def test_older_batches_and_silence_require_a_read_of_the_store(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A batch of a source that was paused may be outdated, so it does not confirm the state."""
        monkeypatch.setattr(feeds, "FRESHNESS_LIMIT_MS", 30)
        feed = make_feed("d9", ["d0", "d1"])
        feed.receive(make_batch(1, 4, "k"))
        assert await feed.wait_for_changes(6) is None


class EarlierBatch(record.CompactRecord):
    """A batch as builds read it that know no patches."""

    after: int
    revision: int
    written: list[notices.WrittenKey]
    removed: list[str]


class TestPatches:
    @staticmethod
    def make_entry(count: int, revision: int) -> key_value.Entry:
        routes = [sites.make_plain_route(f"r{index}") for index in range(count)]
        return key_value.Entry("op/config", msgspec.json.encode(routes), revision)

    def publish(
        self, sent: list[notices.ChangeBatch], name: str, count: int, revision: int
    ) -> None:
        """Let a source that knows 100 routes at revision 5 publish others."""
        feed = make_feed(name, ["d0", "d1", "d9"])
        feed.send = lambda batch, to: sent.append(batch)
        feed.record_values(key_value.Changes([self.make_entry(100, 5)], [], 5))
        feed.publish(5, key_value.Changes([self.make_entry(count, revision)], [], revision))

    async def test_sources_out_of_step_do_not_force_a_read(self) -> None:
        sent: list[notices.ChangeBatch] = []
        self.publish(sent, "d0", count=101, revision=6)
        self.publish(sent, "d1", count=102, revision=7)
        receiver = make_feed("d9", ["d0", "d1", "d9"])
        receiver.record_values(key_value.Changes([self.make_entry(100, 5)], [], 5))
        for batch in sent:
            receiver.receive(batch)
        for known, count in ((5, 101), (6, 102)):
            changes = await receiver.wait_for_changes(known)
            assert changes is not None and changes.written == [self.make_entry(count, known + 1)]
            receiver.record_values(changes)

    async def test_patch_of_an_unknown_value_requires_a_read(self) -> None:
        sent: list[notices.ChangeBatch] = []
        self.publish(sent, "d0", count=101, revision=6)
        receiver = make_feed("d9", ["d0", "d1", "d9"])
        receiver.record_values(key_value.Changes([self.make_entry(99, 5)], [], 5))
        receiver.receive(sent[0])
        assert await receiver.wait_for_changes(5) is None

    def test_batch_with_patches_is_a_gap_for_earlier_builds(self) -> None:
        """They would take the revision for known without the patched value."""
        sent: list[notices.ChangeBatch] = []
        self.publish(sent, "d0", count=101, revision=6)
        assert sent[0].patches and not sent[0].written
        encoded = msgspec.msgpack.encode(sent[0])
        assert msgspec.msgpack.decode(encoded, type=EarlierBatch).after == 6


class TestDeployment:
    async def test_daemon_reads_the_store_in_one_call_at_its_start(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_rules()
            assert deployed.site.store.calls["kv-range"] == 1

    async def test_most_daemons_do_not_watch_the_store(self) -> None:
        async with deployments.deploy(engines=0, daemon_count=5) as deployed:
            await wait_for_version(deployed, 1)
            sources = [daemon for daemon in deployed.daemons if daemon.feed.is_source()]
            assert len(sources) <= cohorts.SOURCES_PER_COHORT + 1
            receivers = [daemon for daemon in deployed.daemons if daemon not in sources]
            await deployed.wait_until(
                lambda: all(
                    daemon.metrics.counter_value("relay_feed_batches_total") for daemon in receivers
                ),
                "changes of the sources",
            )
            before = [count_watches(daemon) for daemon in receivers]
            for version in range(2, 6):
                deployed.site.write_config()
                await wait_for_version(deployed, version)
            assert [count_watches(daemon) for daemon in receivers] == before

    async def test_configuration_applies_in_time_without_sources(self) -> None:
        async with deployments.deploy(engines=0, daemon_count=5) as deployed:
            await wait_for_version(deployed, 1)
            for daemon in deployed.daemons:
                daemon.feed.send = lambda batch, names: None
            for version in (2, 3):  # The second one comes while the receivers gather changes.
                began_ms = deployed.daemons[0].clock.monotonic_ms()
                deployed.site.write_config()
                await wait_for_version(deployed, version)
                assert deployed.daemons[0].clock.monotonic_ms() - began_ms < CONFIG_APPLY_MS


def count_watches(daemon) -> float:
    return daemon.metrics.counter_value("store_calls_total", call="kv-watch")


async def wait_for_version(deployed: deployments.Deployment, version: int) -> None:
    def is_in_force() -> bool:
        return all(
            daemon.register.current is not None
            and daemon.register.current.version >= version
            and len(daemon.directory.daemons) == len(deployed.daemons)
            for daemon in deployed.daemons
        )

    await deployed.wait_until(is_in_force, f"version {version} everywhere")
