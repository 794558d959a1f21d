"""Tests of the operators' command-line tool: keys, bundles, errors."""

import os
import pathlib
import stat

import aiohttp.web
import msgspec
import pytest
from cryptography.hazmat.primitives.asymmetric import ed25519
from typer import main

from tanagerfork.bundles import manifest
from tanagerfork.cli import app, drafts, key_files
from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import operators
from tanagerfork_standins import listener
from tests import commands

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class TestKeys:
    def test_new_key_file_is_private_and_only_the_public_key_is_printed(self, tmp_path):
        path = tmp_path / "ipoh.pem"
        result = commands.call("keys", "new", str(path), "--operator", "ipoh")
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        assert path.read_text().splitlines()[1] not in result.output
        assert '"operator":"ipoh"' in result.stdout

    def test_key_is_never_overwritten(self, tmp_path):
        path = tmp_path / "ipoh.pem"
        path.write_text("precious")
        result = commands.call("keys", "new", str(path), "--operator", "ipoh", status=2)
        commands.assert_one_line(result, str(path), "another file")
        assert path.read_text() == "precious"

    @pytest.mark.parametrize("mode", [0o640, 0o604, 0o620, 0o666])
    def test_key_open_to_others_is_refused_with_chmod_as_remedy(self, tmp_path, mode):
        path = tmp_path / "ipoh.pem"
        key_files.write_private_key(path, ed25519.Ed25519PrivateKey.generate(), "").unwrap()
        os.chmod(path, mode)
        refused = key_files.read_private_key(path, lambda: "").unwrap_err()
        assert f"chmod 600 {path}" in refused.message

    def test_passphrase_is_prompted_for_and_required(self, tmp_path):
        path = tmp_path / "ipoh.pem"
        arguments = ["keys", "new", str(path), "--operator", "ipoh", "--passphrase"]
        commands.call(*arguments, input="secret words\nsecret words\n")
        assert key_files.read_private_key(path, lambda: "secret words").is_ok()
        wrong = key_files.read_private_key(path, lambda: "wrong").unwrap_err()
        assert "right passphrase" in wrong.message


class TestErrors:
    @pytest.mark.parametrize(
        ("arguments", "status", "parts"),
        [
            (["status", "--daemon", "http://127.0.0.1:1"], 1, ["127.0.0.1:1", "check address"]),
            (["status", "--daemon", "127.0.0.1:1"], 2, ["http://IP:PORT"]),
            (["bundle", "check", "nowhere.json5"], 2, ["nowhere.json5", "readable"]),
            (["bundle", "roll", "nowhere.json"], 2, ["nowhere.json", "signed bundle"]),
            (["settings", "check", "nowhere.json5"], 2, ["nowhere.json5"]),
            (["timeline", "--since", "yesterday"], 2, ["yesterday"]),
            (["teams", "--token-file", "nowhere"], 2, ["nowhere"]),
        ],
    )
    def test_error_is_one_line_with_its_remedy(self, arguments, status, parts):
        commands.assert_one_line(commands.call(*arguments, status=status), *parts)

    def test_unknown_option_is_a_usage_error(self):
        assert commands.call("status", "--nonsense", status=2).stdout == ""

    def test_no_command_acts_on_one_vm(self):
        top_level = main.get_command(app.app).commands
        groups = [group.commands for group in top_level.values() if hasattr(group, "commands")]
        names = {*top_level, *(name for group in groups for name in group)}
        assert {"roll", "status"} <= names
        assert not {"kill", "restart", "drain", "order", "eject", "cordon", "move"} & names


class TestBundles:
    def test_first_bundle_is_drafted_signed_and_rolled(self, tmp_path):
        draft = str(tmp_path / "first.json5")
        with commands.run_offices() as site:
            assert (
                "no bundle is in force"
                in commands.call("bundle", "show", *site.daemon_options).stdout
            )
            commands.call("bundle", "new", draft, *site.daemon_options)
            commands.call("bundle", "check", draft)
            commands.call("bundle", "sign-off", draft, *site.signing_options(tmp_path, "ipoh"))
            for _ in range(2):  # Rolling the bundle in force again is not an error.
                rolled = commands.call(
                    "bundle", "roll", f"{draft}.signed.json", *site.daemon_options
                )
                assert "version 1 is accepted" in rolled.stdout
                site.wait_for_version(1)
            output = commands.call(
                "timeline", "--kind", "bundle", "--jsonl", *site.daemon_options
            ).stdout
            kinds = [msgspec.json.decode(line)["kind"] for line in output.splitlines()]
            assert kinds == ["bundle.rolled", "bundle.accepted"]
            watched = commands.call("rollout", "watch", "--limit-s", "20", *site.daemon_options)
            assert "in force at 1 of 1 daemons" in watched.stdout
            assert '"first bundle"' in commands.call("bundle", "show", *site.daemon_options).stdout

    @pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/bundle.json5")), ids=str)
    def test_example_bundles_are_valid(self, path):
        assert "good; 1 models" in commands.call("bundle", "check", str(path)).stdout

    def test_later_of_two_competing_rolls_fails_and_names_the_operator_in_force(self, tmp_path):
        with commands.run_offices() as site:
            for office in commands.OFFICES:
                draft = tmp_path / f"{office}.json5"
                commands.call("bundle", "new", str(draft), *site.daemon_options)
                draft.write_text(draft.read_text().replace("first bundle", f"of {office}"))
                commands.call(
                    "bundle", "sign-off", str(draft), *site.signing_options(tmp_path, office)
                )
            ipoh, taiping = (tmp_path / f"{name}.json5.signed.json" for name in commands.OFFICES)
            commands.call("bundle", "roll", str(ipoh), *site.daemon_options)
            lost = commands.call("bundle", "roll", str(taiping), *site.daemon_options, status=1)
            commands.assert_one_line(lost, "version 1", "rolled by ipoh", "bundle rebase")
            site.wait_for_version(1)
            assert "of ipoh" in commands.call("bundle", "show", *site.daemon_options).stdout

    def test_draft_of_an_older_bundle_is_not_signed_off(self, tmp_path):
        with commands.run_offices() as site:
            signing_options = site.signing_options(tmp_path, "ipoh")
            late = str(tmp_path / "late.json5")
            for version in (1, 2):
                draft = str(tmp_path / f"{version}.json5")
                commands.call("bundle", "new", draft, *site.daemon_options)
                commands.call("bundle", "sign-off", draft, *signing_options)
                commands.call("bundle", "roll", f"{draft}.signed.json", *site.daemon_options)
                site.wait_for_version(version)
                if version == 1:
                    commands.call("bundle", "new", late, *site.daemon_options)
            stale = commands.call("bundle", "sign-off", late, *signing_options, status=1)
            commands.assert_one_line(stale, "based on version 1", "version 2", "rebase")
            drafts.base_path(tmp_path / "late.json5").unlink()
            unknown = commands.call("bundle", "sign-off", late, *signing_options, status=2)
            commands.assert_one_line(unknown, "--onto 2")
            commands.call("bundle", "sign-off", late, "--onto", "2", *signing_options)

    def test_rebase_after_a_lost_race_keeps_both_changes(self, tmp_path):
        with commands.run_offices() as site:
            roll_first(site, tmp_path)
            ipoh, taiping = (str(tmp_path / f"{name}.json5") for name in commands.OFFICES)
            for draft, change in ((ipoh, ("weight: 1", "weight: 7")), (taiping, ("5.0", "6.0"))):
                commands.call("bundle", "new", draft, *site.daemon_options)
                change_draft(draft, *change)
            roll_draft(site, ipoh, tmp_path, "ipoh", 2)
            late = commands.call(
                "bundle", "sign-off", taiping, *site.signing_options(tmp_path, "taiping"), status=1
            )
            commands.assert_one_line(late, "version 2, rolled by ipoh", "bundle rebase")
            commands.call("bundle", "rebase", taiping, *site.daemon_options)
            shown = commands.call("bundle", "diff", taiping, *site.daemon_options).stdout
            assert shown.splitlines() == [
                "changed team growers",
                "  requests_per_s: 5.0 -> 6.0",
            ]
            roll_draft(site, taiping, tmp_path, "taiping", 3)
            team = site.daemon.bundles.current.bundle.teams[0]
            assert (team.weight, team.requests_per_s) == (7, 6.0)
            output = commands.call("bundle", "history", "--json", *site.daemon_options).stdout
            entries = msgspec.json.decode(output, type=operators.BundleHistory).entries
            assert [(item.version, item.rolled_by) for item in entries] == [
                (3, "taiping"),
                (2, "ipoh"),
                (1, "ipoh"),
            ]

    def test_change_of_the_same_field_is_a_conflict_and_leaves_the_draft_unchanged(self, tmp_path):
        with commands.run_offices() as site:
            roll_first(site, tmp_path)
            ipoh, taiping = (str(tmp_path / f"{name}.json5") for name in commands.OFFICES)
            for draft, weight in ((ipoh, 7), (taiping, 9)):
                commands.call("bundle", "new", draft, *site.daemon_options)
                change_draft(draft, "weight: 1", f"weight: {weight}")
            roll_draft(site, ipoh, tmp_path, "ipoh", 2)
            before = pathlib.Path(taiping).read_text()
            stopped = commands.call("bundle", "rebase", taiping, *site.daemon_options, status=1)
            assert "conflict in team growers, weight: was 1, yours 9, in force 7" in stopped.stdout
            assert "rolled by ipoh" in stopped.stderr and "--keep-theirs" in stopped.stderr
            assert pathlib.Path(taiping).read_text() == before
            commands.call("bundle", "rebase", taiping, "--keep-theirs", *site.daemon_options)
            shown = commands.call("bundle", "diff", taiping, *site.daemon_options).stdout
            assert shown == "no difference\n"
            assert pathlib.Path(f"{taiping}.before-rebase").read_text() == before

    def test_sign_off_by_another_key_is_refused(self, tmp_path):
        draft = str(tmp_path / "a.json5")
        with commands.run_offices() as site:
            site.keys["ipoh"] = ed25519.Ed25519PrivateKey.generate()
            commands.call("bundle", "new", draft, *site.daemon_options)
            commands.call("bundle", "sign-off", draft, *site.signing_options(tmp_path, "ipoh"))
            refused = commands.call(
                "bundle", "roll", f"{draft}.signed.json", *site.daemon_options, status=1
            )
            commands.assert_one_line(refused, "does not fit", "sign")


def roll_first(site: commands.OfficeSite, folder: pathlib.Path) -> None:
    """Sign and roll a bundle with one team, as version 1."""
    draft = folder / "first.json5"
    team = bundle_records.Team(name="growers", token_sha256=["0" * 64], requests_per_s=5.0)
    first = bundle_records.Bundle(name="first", models=[], services=[], teams=[team])
    draft.write_bytes(msgspec.json.encode(first))
    roll_draft(site, str(draft), folder, "ipoh", 1)


def change_draft(draft: str, old: str, new: str) -> None:
    """Replace a text that occurs exactly once in a draft."""
    path = pathlib.Path(draft)
    text = path.read_text().replace('"weight"', "weight")
    assert text.count(old) == 1
    path.write_text(text.replace(old, new))


def roll_draft(
    site: commands.OfficeSite, draft: str, folder: pathlib.Path, office: str, version: int
) -> None:
    """Sign a draft off, roll it and wait until its version is in force."""
    commands.call("bundle", "sign-off", draft, *site.signing_options(folder, office))
    commands.call("bundle", "roll", f"{draft}.signed.json", *site.daemon_options)
    site.wait_for_version(version)


class LossyDaemon:
    """An operators' listener that accepts a roll and closes the connection without an answer."""

    def __init__(self) -> None:
        self.head: bundle_records.Head | None = None
        self.rolls = 0
        self.listener = listener.Listener()
        self.listener.app.router.add_post("/v1/bundle/roll", self.roll)
        self.listener.app.router.add_get("/v1/bundle/head", self.read_head)

    async def roll(self, request):
        self.rolls += 1
        call = msgspec.json.decode(await request.read(), type=operators.RollCall)
        signed = bundle_records.SignedManifest(
            manifest_json=call.manifest_json, operator=call.operator, signature=call.signature
        )
        sha256 = manifest.hash_content(call.manifest_json.encode())
        self.head = bundle_records.Head(version=1, manifest_sha256=sha256, signed=signed)
        request.transport.abort()
        return aiohttp.web.Response()

    async def read_head(self, request):
        return aiohttp.web.Response(body=msgspec.json.encode(self.head))


class TestLostAnswers:
    def test_roll_whose_answer_was_lost_is_confirmed_and_not_sent_twice(self, tmp_path):
        signed = tmp_path / "signed.json"
        empty = operators.BundleSnapshot(version=0, manifest_sha256="", bundle_json="")
        key = ed25519.Ed25519PrivateKey.generate()
        rolled = drafts.sign_draft(drafts.decode_bundle(""), empty, "ipoh", key)
        signed.write_bytes(msgspec.json.encode(rolled))
        with commands.run_loop() as loop:
            lossy_daemon = LossyDaemon()
            loop.run(lossy_daemon.listener.start())
            result = commands.call(
                "bundle", "roll", str(signed), "--daemon", lossy_daemon.listener.url
            )
            loop.run(lossy_daemon.listener.stop())
        assert "version 1 is accepted" in result.stdout
        assert lossy_daemon.rolls == 1
