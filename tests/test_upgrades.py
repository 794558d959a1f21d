"""Upgrades: daemons of earlier commits beside those of the working tree."""

import pathlib
import random

import pytest
from tools import builds, keys, processes, soak, upgrades, verdicts, witness

from tanagerfork.generated import notices
from tanagerfork_standins.platform import site

EARLIER = "158eaf0"
NAMES = ["d0", "d1", "d2"]


async def extract_or_skip(commit: str, folder: pathlib.Path) -> builds.Build:
    """Return a build; skip the test, with the reason, where the clone lacks the commit."""
    missing = await builds.describe_missing(commit)
    if missing:
        pytest.skip(missing)
    return await builds.extract(commit, folder)


class TestBuilds:
    async def test_commit_is_extracted_with_its_own_settings(self, tmp_path: pathlib.Path) -> None:
        build = await extract_or_skip(EARLIER, tmp_path)
        assert build.program.is_file() and not build.is_present
        assert "forwarding" not in build.list_settings() and not build.hands_over
        assert "forwarding" in builds.PRESENT.list_settings()

    async def test_missing_commit_is_named(self, tmp_path: pathlib.Path) -> None:
        assert "no commit 0123456789" in await builds.describe_missing("0123456789")


class TestPlan:
    def plan(self, direction: upgrades.Direction) -> list[tuple[str, str]]:
        other = builds.Build("other", pathlib.Path("other"))
        upgrade = upgrades.Upgrade(other, direction)
        return [(name, build.name) for name, build in upgrade.plan(NAMES, random.Random(1))]

    def test_every_daemon_is_replaced_once(self) -> None:
        for direction, build in (
            (upgrades.Direction.UP, "present"),
            (upgrades.Direction.DOWN, "other"),
        ):
            assert sorted(self.plan(direction)) == [(name, build) for name in NAMES]

    def test_half_of_the_daemons_are_replaced_and_go_back(self) -> None:
        steps = self.plan(upgrades.Direction.BACK)
        there, back = steps[:2], steps[2:]
        assert {build for _, build in there} == {"present"}
        assert [(name, "other") for name, _ in reversed(there)] == back


class TestKeys:
    @pytest.mark.parametrize(
        ("after_s", "status", "word"),
        [(9.0, 200, "REVOKED"), (9.0, 401, ""), (7.0, 200, "")],
    )
    async def test_revoked_key_must_be_refused_in_time(
        self, monkeypatch: pytest.MonkeyPatch, after_s: float, status: int, word: str
    ) -> None:
        verdict, deployment = verdicts.Verdict(), site.Site()
        ring = keys.KeyRing(deployment, verdict)
        key = ring.grant()
        ring.revoke(key)
        ring.check(key, status, ring.find_change_s(key) + after_s, "r1")
        assert [line.partition(":")[0] for line in verdict.violations] == ([word] if word else [])


class TestWitness:
    """What a daemon tells is compared with what is true of the stand-ins."""

    def examine(self, **fields: object) -> list[str]:
        verdict, deployment = verdicts.Verdict(), site.Site()
        deployment.version = 5
        observer = witness.Witness(deployment, verdict)
        notice = notices.Notice(daemon="d0", rules_version=4, loads=[], silent=[])
        for name, value in fields.items():
            setattr(notice, name, value)
        observer.examine(notice)
        return verdict.violations

    async def test_true_notice_is_accepted(self) -> None:
        leaving = notices.LeavingUpstream(upstream="i-a0", born_at_ms=1)
        load = notices.OpenLoad(upstream="i-a1", requests=3, unread_tokens=300)
        assert self.examine(leaving=[leaving], loads=[load], silent=["i-plain0"]) == []

    @pytest.mark.parametrize(
        "fields",
        [
            {"rules_version": 5},
            {"silent": ["ledger"]},
            {"cut_off": ["i-a0"]},
            {"loads": [notices.OpenLoad(upstream="i-a0", requests=300, unread_tokens=3)]},
            {"leaving": [notices.LeavingUpstream(upstream="i-a0", born_at_ms=1000)]},
            {"closed": [notices.ClosedGroup(head="i-a0", epoch=7)]},
        ],
    )
    async def test_field_with_another_meaning_is_found(self, fields: dict[str, object]) -> None:
        assert [line.partition(":")[0] for line in self.examine(**fields)] == ["MEANING"]


class TestSettings:
    """A settings file of the other build is refused with one line that names the field."""

    async def start(self, build: builds.Build, names: frozenset[str], folder: pathlib.Path) -> str:
        daemon = processes.Daemon("d0", folder, 1, build)
        daemon.list_settings = lambda: names
        await daemon.start()
        assert daemon.process is not None and await daemon.process.wait() == 2
        daemon.close()
        return daemon.describe_end()

    async def test_field_that_the_build_does_not_know(self, tmp_path: pathlib.Path) -> None:
        earlier = await extract_or_skip(EARLIER, tmp_path)
        said = await self.start(earlier, builds.PRESENT.list_settings(), tmp_path)
        assert "unknown field `forwarding`" in said

    async def test_field_that_the_other_build_lacks(self, tmp_path: pathlib.Path) -> None:
        names = builds.PRESENT.list_settings() - {"forwarding"}
        said = await self.start(builds.PRESENT, names, tmp_path)
        assert "missing required field `forwarding`" in said


class TestMutants:
    """The soak finds builds that differ in what they mean, though each reads the other."""

    async def play(
        self,
        folder: pathlib.Path,
        direction: upgrades.Direction,
        path: str,
        text: str,
        changed: str,
    ) -> verdicts.Verdict:
        other = await extract_or_skip(EARLIER, folder)
        mutant = builds.make_mutant(folder, path, text, changed)
        upgrade = upgrades.Upgrade(other, direction, mutant)
        return await soak.Soak(1, 3, folder, upgrade).run(2)

    async def test_load_in_another_unit(self, tmp_path: pathlib.Path) -> None:
        verdict = await self.play(
            tmp_path,
            upgrades.Direction.DOWN,
            "src/tanagerfork/relay/fleet_sums.py",
            "requests=load.requests",
            "requests=1000 * load.requests",
        )
        assert any(line.startswith("MEANING") for line in verdict.violations)

    async def test_order_count_that_restarts_at_zero(self, tmp_path: pathlib.Path) -> None:
        verdict = await self.play(
            tmp_path,
            upgrades.Direction.DOWN,
            "src/tanagerfork/platform/runners.py",
            "expected=order_count",
            "expected=0",
        )
        assert any(line.startswith("COUNT") for line in verdict.violations)

    @pytest.mark.parametrize("is_mutant", [False, True])
    async def test_daemons_that_do_not_record_what_they_sent_to_cold_runners(
        self, tmp_path: pathlib.Path, is_mutant: bool
    ) -> None:
        recorded = (
            "share.next_at_ms = now_ms + share.interval_ms\n            share.has_drawn = False"
        )
        path, changed = "src/tanagerfork/relay/cold_limits.py", "share.has_drawn = False"
        mutant = builds.make_mutant(tmp_path, path, recorded, changed)
        run = soak.Soak(1, 3, tmp_path)
        run.keep_only_fault("runner becomes cold", mutant if is_mutant else builds.PRESENT)
        run.cold_runners = run.site.plain_runners  # Each gets requests all the time.
        verdict = await run.run(2)
        kinds = {line.partition(":")[0] for line in verdict.violations}
        assert kinds == ({"COLD"} if is_mutant else set())


class TestMixedBuilds:
    async def test_promises_are_kept_while_daemons_are_replaced(
        self, tmp_path: pathlib.Path
    ) -> None:
        """One daemon after the other is replaced by the working tree's, under faults."""
        other = await extract_or_skip(EARLIER, tmp_path)
        upgrade = upgrades.Upgrade(other, upgrades.Direction.UP)
        run = soak.Soak(1, 3, tmp_path, upgrade)
        verdict = await run.run(5)
        assert not verdict.violations
        assert {daemon.build for daemon in run.daemons} == {builds.PRESENT}
        assert run.told == {"d0", "d1", "d2"}
        assert verdict.statuses[200] > 100 and sum(verdict.faults.values()) > 5
