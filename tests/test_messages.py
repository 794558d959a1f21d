"""Messages between builds: each reads what the others wrote."""

import pathlib

import pytest
from tools import builds, messages, samples

from tests import test_upgrades

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
        assert {"757f964", "821797a", "158eaf0", "240a1b7"} <= set(COMMITS)

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
