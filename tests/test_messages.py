"""Messages between builds: each reads what the others wrote."""

import pathlib

import msgspec
import pytest
from tools import builds, messages, samples

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import assignment_record, daemon_directory, quarantine
from tanagerfork.routing import crash_evidence, poison
from tanagerfork.storage import key_value
from tests import fakes, test_upgrades
from tests.relay import deployments

LOG = decisions.DecisionLog("d0", clocks.ManualClock(), deployments.LineList())
ENTRY_OF_757F964 = b'{"failure_domain":"a","address":"127.0.0.1:7"}'
COMMITS = sorted(path.stem for path in messages.FOLDER.glob("*.json"))


@pytest.mark.parametrize("commit", COMMITS)
class TestLandings:
    def test_present_readers_read_all_messages(self, commit: str) -> None:
        assert samples.read(messages.load_samples(commit)) == []

    async def test_messages_are_those_of_the_commit(
        self, commit: str, tmp_path: pathlib.Path
    ) -> None:
        build = await test_upgrades.extract_or_skip(commit, tmp_path)
        assert await messages.write_samples(build) == messages.load_samples(commit)

    async def test_commit_reads_present_messages(self, commit: str, tmp_path: pathlib.Path) -> None:
        build = await test_upgrades.extract_or_skip(commit, tmp_path)
        assert await messages.read_samples(build, samples.write()) == []


class TestCompleteness:
    def test_landings_are_kept(self) -> None:
        landings = {"757f964", "821797a", "158eaf0", "240a1b7", "ff2c08b", "231d531", "05230a5"}
        assert landings <= set(COMMITS)

    def test_every_field_of_a_notice_is_in_a_sample(self) -> None:
        for name, fields in samples.list_fields().items():
            text = repr(samples.NOTICES) + repr(list(samples.RECORDS.values()))
            unset = [field for field in fields if f"'{field}'" not in text]
            assert set(unset) <= {"daemon", "rules_version", "mode"}, name

    def test_only_appended_fields_differ_between_landings(self) -> None:
        """Records of notices are arrays: a field may be added at the end only, none removed."""
        present = samples.list_fields()
        for commit in COMMITS:
            for name, fields in messages.load_samples(commit)["fields"].items():
                if name not in samples.RECORDS and (name, commit) != ("Notice", "240a1b7"):
                    assert present[name][: len(fields)] == fields, (name, commit)
                assert set(fields) <= set(present[name]), (name, commit)

    async def test_present_build_reads_itself(self) -> None:
        assert await messages.read_samples(builds.PRESENT, samples.write()) == []


def list_mutants(name: str) -> list[tuple[str, object]]:
    """Return what becomes of a record: a field, and its changed value, or None if it is renamed."""
    fields = samples.RECORDS[name]
    wrong = {str: 5, int: "5", float: "5.0", bool: "yes", list: "none"}
    renamed: list[tuple[str, object]] = [(field, None) for field in fields]
    return renamed + [(field, wrong[type(value)]) for field, value in fields.items()]


REQUIRED = {
    "DaemonRecord": {"failure_domain", "address"},
    "LeaseRecord": {"holder", "fencing", "ttl_ms"},
    "Assignments": {"failure_domain", "next_epoch", "groups"},
    "QuarantineRecord": {"crashes"},
}
CASES = [(name, *mutant) for name in REQUIRED for mutant in list_mutants(name)]
OUT_OF_RANGE = [
    ("LeaseRecord", "fencing", 0),
    ("LeaseRecord", "ttl_ms", -1),
    ("LeaseRecord", "renewals", -1),
    ("Assignments", "next_epoch", 0),
    ("Assignments", "era", -1),
    ("Assignments", "fencing", -2),
]


class TestMutants:
    """Records of the store with a field renamed, of another type or out of range."""

    @pytest.mark.parametrize(("name", "field", "value"), [*CASES, *OUT_OF_RANGE])
    def test_record_is_refused_or_has_its_default(
        self, name: str, field: str, value: object
    ) -> None:
        record_type = samples.find_type(name)
        text = messages.load_samples("240a1b7")["records"][name]
        record = msgspec.json.decode(text)
        was = record.pop(field, None)
        record[f"later_{field}" if value is None else field] = was if value is None else value
        mutant = msgspec.json.encode(record)
        if value is not None or field in REQUIRED[name]:
            with pytest.raises(msgspec.MsgspecError):
                msgspec.json.decode(mutant, type=record_type)
            return
        found = getattr(msgspec.json.decode(mutant, type=record_type), field)
        assert found in ("", 0, False, [])

    @pytest.mark.parametrize("name", REQUIRED)
    def test_record_that_is_cut_short_is_refused(self, name: str) -> None:
        text = messages.load_samples("240a1b7")["records"][name]
        for length in range(len(text)):
            with pytest.raises(msgspec.MsgspecError):
                msgspec.json.decode(text[:length], type=samples.find_type(name))


class TestReaders:
    """What a daemon does with records that it cannot read, or that an earlier landing wrote."""

    async def test_record_without_an_era_leaves_out_epochs_after_a_restore(self) -> None:
        text = messages.load_samples("757f964")["records"]["Assignments"]
        key = assignment_record.PREFIX + "a"
        per_restore = assignment_record.EPOCHS_PER_RESTORE
        for era, next_epoch in ((0, 4), (1, 4 + per_restore), (2, 4 + 2 * per_restore)):
            store = fakes.MemoryKeyValue()
            revision = key_value.make_revision(era, 5)
            store.entries[key] = key_value.Entry(key, text.encode(), revision)
            record = assignment_record.AssignmentRecord("a", store, LOG)
            fencing = msgspec.json.decode(text).get("fencing", 0)
            assert await record.read(fencing) and record.current is not None
            assert record.current.next_epoch == next_epoch

    def test_daemon_whose_entry_cannot_be_read_is_not_listed(self) -> None:
        lines = deployments.LineList()
        log = decisions.DecisionLog("d0", clocks.ManualClock(), lines)
        own = daemon_directory.DaemonRecord("a", "127.0.0.1:1")
        directory = daemon_directory.DaemonDirectory(None, "d0", own, clocks.ManualClock(), log)
        entries = [
            key_value.Entry(daemon_directory.DAEMON_PREFIX + name, value, 5)
            for name, value in (("d1", b'{"address": 7}'), ("d2", b"{"), ("d3", ENTRY_OF_757F964))
        ]
        directory.apply_snapshot(entries)
        assert sorted(directory.daemons) == ["d0", "d3"]
        assert len(lines.find("daemon entry cannot be decoded")) == 2

    def test_part_whose_record_cannot_be_read_is_not_quarantined(self) -> None:
        evidence = crash_evidence.CrashEvidence()
        keeper = quarantine.QuarantineKeeper(
            None,
            evidence,
            poison.PoisonRegister(),
            lambda: False,
            clocks.ManualClock(),
            LOG,
            metric.Metrics(),
        )
        entries = [
            key_value.Entry(quarantine.PART_PREFIX + part, value, 5)
            for part, value in (("p", b'{"parts": []}'), ("q", b'{"crashes": ["i-1/5"], "x": 1}'))
        ]
        keeper.apply_snapshot(entries)
        assert [set(item.parts) for item in evidence.list_quarantines(0)] == [{"q"}]
