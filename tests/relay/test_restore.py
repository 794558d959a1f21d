"""A store that is restored from a copy some seconds old, with its revisions given out again."""

import dataclasses

import aiohttp
import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork.generated import assignments
from tanagerfork.relay import assignment_record, members
from tanagerfork.storage import key_value
from tanagerfork_standins.platform import site
from tests import fakes
from tests.relay import deployments, test_coordinator, test_fleet, test_store


class TestRevisions:
    def test_revisions_of_a_later_era_are_greater(self) -> None:
        before, after = key_value.make_revision(1, 10**9), key_value.make_revision(2, 3)
        assert before < after
        assert (key_value.read_era(after), key_value.read_number(after)) == (2, 3)
        assert key_value.make_revision(0, 7) == 7

    async def test_write_under_a_revision_of_before_conflicts(self) -> None:
        async with test_store.open_store() as (standin, store):
            standin.era = 1
            revision = (await store.swap("a/x", b"one", 0)).unwrap()
            copy, number = dict(standin.items), standin.revision
            newer = (await store.swap("a/x", b"two", revision)).unwrap()
            standin.restore(copy, number)
            standin.put("a/x", b"other")  # The store gives the revision of "two" out again.
            assert standin.items["a/x"].revision == key_value.read_number(newer)
            assert (await store.read("a/y")).unwrap() is None
            found = await store.swap("a/x", b"three", newer)
            assert isinstance(found.unwrap_err(), errors.Conflict)
            entry = (await store.read("a/x")).unwrap()
            assert entry is not None and entry.value == b"other" and entry.revision > newer

    async def test_write_that_a_store_of_a_later_era_answers_conflicts(self) -> None:
        async with test_store.open_store() as (standin, store):
            standin.era = 1
            revision = (await store.swap("a/x", b"one", 0)).unwrap()
            copy, number = dict(standin.items), standin.revision
            (await store.swap("a/x", b"two", revision)).unwrap()
            standin.restore(copy, number)
            found = await store.swap("a/x", b"three", revision)
            assert isinstance(found.unwrap_err(), errors.Conflict)

    async def test_late_write_of_an_earlier_era_is_refused_by_a_fence(self) -> None:
        async with (
            test_store.open_store(("a/",)) as (standin, store),
            aiohttp.ClientSession() as session,
        ):
            standin.era = 1
            revision = (await store.swap("a/x", b"one", 0)).unwrap()
            revision = (await store.swap("a/x", b"two", revision)).unwrap()
            late = {
                "expected": [
                    {"key": "a/x", "revision": key_value.read_number(revision)},
                    {"key": "tanagerfork/eras/2/a/x", "revision": 0},
                ],
                "writes": [{"key": "a/x", "value": "", "lease": 0}],
                "deletes": [],
            }
            standin.restore(dict(standin.items), standin.revision)
            entry = (await store.read("a/x")).unwrap()
            assert entry is not None
            assert (await store.swap("a/x", b"three", entry.revision)).is_ok()
            # As if the store gave the revision out again.
            late["expected"][0]["revision"] = standin.items["a/x"].revision
            async with session.post(f"{store._base_url}/kv-txn", json=late) as response:
                assert response.status == 412
            assert standin.items["a/x"].value == b"three"

    async def test_only_keys_of_a_store_that_names_eras_are_fenced(self) -> None:
        async with test_store.open_store(("a/",)) as (standin, store):
            (await store.swap("a/x", b"one", 0)).unwrap()
            assert set(standin.items) == {"a/x"}
            standin.era = 3
            assert (await store.read("a/y")).unwrap() is None
            (await store.swap("b/x", b"one", 0)).unwrap()
            (await store.swap("a/y", b"one", 0)).unwrap()
            fences = {f"tanagerfork/eras/{era}/a/y" for era in (2, 3)}
            assert set(standin.items) == {"a/x", "b/x", "a/y", *fences}

    async def test_watch_from_before_reads_anew_though_the_revision_is_given_out_again(
        self,
    ) -> None:
        async with test_store.open_store() as (standin, store):
            standin.era = 1
            standin.put("a/x", b"one")
            copy, number = dict(standin.items), standin.revision
            standin.put("a/x", b"two")
            snapshot = (await store.read_snapshot("a/")).unwrap()
            standin.restore(copy, number)
            for value in (b"three", b"four"):
                standin.put("a/x", value)
            assert (await store.await_changes("a/", snapshot.revision, 50)).is_err()
            again = (await store.read_snapshot("a/")).unwrap()
            assert again.revision > snapshot.revision and again.entries[0].value == b"four"
            assert (await store.await_changes("a/", again.revision, 50)).is_ok()

    async def test_late_answer_of_the_earlier_era_does_not_count(self) -> None:
        async with test_store.open_store() as (standin, store):
            standin.era = 2
            standin.put("a/x", b"one")
            assert (await store.read("a/x")).is_ok()
            standin.era = 1
            assert isinstance((await store.read("a/x")).unwrap_err(), errors.AnswerLost)

    @pytest.mark.parametrize("text", ["", "-1", "x", "1.5", "9" * 30])
    async def test_era_that_cannot_be_read_changes_nothing(self, text: str) -> None:
        async with test_store.open_store() as (standin, store):
            standin.era = 3
            standin.put("a/x", b"one")
            before = (await store.read("a/x")).unwrap()
            standin.era = text  # type: ignore[assignment]
            assert (await store.read("a/x")).unwrap() == before


class TestEntries:
    def test_entry_that_was_seen_removed_is_not_used_until_it_is_refreshed(self) -> None:
        view = test_fleet.make_fleet()
        member = test_fleet.make_member("b", 1, refresh_count=5)
        both = [test_fleet.make_member("a", 0, refresh_count=5), member]
        view.update_list(both, 0)
        view.update_list([member], 100)
        view.note_restored()
        view.update_list(both, 200)
        assert test_fleet.count_groups(view) == 0 and view.find("a") is None
        view.update_list([test_fleet.make_member("a", 0, refresh_count=6), member], 300)
        assert test_fleet.count_groups(view) == 1

    def test_older_entry_does_not_replace_a_newer_one_of_the_same_start(self) -> None:
        view = test_fleet.make_fleet()
        head = test_fleet.make_member("a", 0, refresh_count=5)
        newer = test_fleet.make_member("b", 1, refresh_count=6, membership=None)
        view.update_list([head, newer], 0)
        view.note_restored()
        view.update_list([head, test_fleet.make_member("b", 1, refresh_count=5)], 100)
        assert test_fleet.count_groups(view) == 0

    def test_upstream_that_the_copy_lacks_is_kept_until_it_can_be_back(self) -> None:
        view = test_fleet.make_fleet()
        both = [test_fleet.make_member("a", 0), test_fleet.make_member("b", 1)]
        view.update_list(both, 0)
        view.note_restored()
        view.update_list(both[1:], 100)
        assert test_fleet.count_groups(view) == 1
        view.end_grace(5000)
        assert test_fleet.count_groups(view) == 0 and view.find("a") is None


class TestEpochs:
    """No epoch is given out twice, though the record that used it is lost."""

    KEY = assignment_record.PREFIX + "a"

    def _read(self, store: fakes.MemoryKeyValue) -> assignments.Assignments:
        return msgspec.json.decode(store.entries[self.KEY].value, type=assignments.Assignments)

    @pytest.mark.parametrize("is_same_holder", [True, False])
    async def test_epochs_of_lost_records_are_skipped(self, is_same_holder: bool) -> None:
        store = fakes.MemoryKeyValue()
        store.revision = key_value.make_revision(1, 10)
        first = test_coordinator.Harness(store, "d1")
        await first.step()
        first.list_upstreams(2)
        for _ in range(20):
            await first.step()
        copy = dict(store.entries)
        first.list_upstreams(8)
        for _ in range(20):
            await first.step()
        lost = self._read(store)
        store.entries = {
            key: dataclasses.replace(
                entry,
                revision=key_value.make_revision(2, key_value.read_number(entry.revision)),
            )
            for key, entry in copy.items()
        }
        store.revision = key_value.make_revision(2, 100)
        assert self._read(store).next_epoch < lost.next_epoch
        harness = first if is_same_holder else test_coordinator.Harness(store, "d2")
        harness.list_upstreams(8)
        for _ in range(120):
            await harness.step()
        used = {(group.group, group.epoch) for group in lost.groups}
        kept = {(group.group, group.epoch) for group in self._read(store).groups}
        assert self._read(store).next_epoch > lost.next_epoch
        for group, epoch in kept - used:
            assert epoch >= lost.next_epoch, group


class TestLostEpochs:
    """Epochs that records may have used which this daemon cannot know."""

    @staticmethod
    def make_record(store: fakes.MemoryKeyValue) -> assignment_record.AssignmentRecord:
        log = decisions.DecisionLog("d1", clocks.ManualClock(), deployments.LineList())
        return assignment_record.AssignmentRecord("a", store, log)

    async def read_next_epoch(self, store: fakes.MemoryKeyValue, fencing: int = 1) -> int:
        record = self.make_record(store)
        assert await record.read(fencing) and record.current is not None
        return record.current.next_epoch

    @staticmethod
    async def write(store: fakes.MemoryKeyValue) -> None:
        record = TestLostEpochs.make_record(store)
        assert await record.read(1) and record.current is not None
        assert await record.write(msgspec.structs.replace(record.current, next_epoch=7), 1)

    @staticmethod
    def restore(store: fakes.MemoryKeyValue, era: int) -> None:
        store.revision = key_value.make_revision(era, 100)
        store.entries = {
            key: dataclasses.replace(entry, revision=store.revision)
            for key, entry in store.entries.items()
        }

    @pytest.mark.parametrize(("era", "next_epoch"), [(0, 1), (1, 1), (2, 1001), (3, 2001)])
    async def test_missing_record_has_lost_epochs_once_the_store_was_restored(
        self, era: int, next_epoch: int
    ) -> None:
        store = fakes.MemoryKeyValue()
        self.restore(store, era)
        assert await self.read_next_epoch(store) == next_epoch

    @pytest.mark.parametrize(("era", "next_epoch"), [(1, 7), (2, 1007), (3, 2007)])
    async def test_each_restore_may_have_lost_epochs(self, era: int, next_epoch: int) -> None:
        store = fakes.MemoryKeyValue()
        self.restore(store, 1)
        await self.write(store)
        self.restore(store, era)
        assert await self.read_next_epoch(store) == next_epoch

    async def test_another_coordinator_leaves_out_those_of_late_writes(self) -> None:
        store = fakes.MemoryKeyValue()
        await self.write(store)
        assert await self.read_next_epoch(store, fencing=1) == 7
        assert await self.read_next_epoch(store, fencing=2) == 107


class TestDaemon:
    async def test_service_goes_on_and_nothing_goes_back(self) -> None:
        async with deployments.deploy(engines=4, plain=2, daemon_count=2) as deployed:
            await deployed.wait_for_group()
            store = deployed.site.store
            store.era = 1
            copy, number = dict(store.items), store.revision
            await deployed.wait_until(
                lambda: all(len(daemon.directory.daemons) == 2 for daemon in deployed.daemons),
                "daemons know each other",
            )
            leaving = deployed.site.plain_runners[0]
            leaving.is_draining = True
            leaving.publish_entry()
            deployed.site.write_config()
            daemon = deployed.daemons[0]
            version = deployed.site.version - 1
            await deployed.wait_until(
                lambda: daemon.register.current and daemon.register.current.version == version,
                "the newer configuration",
            )
            await deployed.wait_until(
                lambda: len(daemon.view.list_plain(site.PLAIN_SERVICE)) == 1, "one is leaving"
            )
            store.restore(copy, number)
            await deployed.wait_until(
                lambda: len(deployed.log.find("store was restored from a copy")) >= 1, "the log"
            )
            for _ in range(20):
                assert (await deployed.ask("/safe/x")).status == 200
            assert not leaving.requests
            assert daemon.register.current and daemon.register.current.version == version
            await deployed.wait_until(
                lambda: sum(key.startswith("tanagerfork/daemons/") for key in store.items) == 2,
                "the daemons' own entries are written again",
            )
            response = await deployed.ask("/stream/x", "POST")
            assert response.status == 200 and response.is_whole


class TestMembers:
    def test_restored_state_of_a_leaving_upstream_is_ignored(self) -> None:
        view = test_fleet.make_fleet()
        leaving = test_fleet.make_member("b", 1, is_leaving=True)
        view.update_list([test_fleet.make_member("a", 0), leaving], 0)
        view.note_restored()
        view.update_list([test_fleet.make_member("a", 0), test_fleet.make_member("b", 1)], 100)
        known: members.Upstream | None = view.find("b")
        assert known is not None and known.is_leaving
