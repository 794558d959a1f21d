"""Tests of manifests, their limits and their signatures."""

import dataclasses

import msgspec
import pytest

from tanagerfork.bundles import manifest as manifests
from tanagerfork.generated import bundle as records
from tests import bundle_drafts


class TestDraft:
    @pytest.mark.parametrize("teams", [0, 1, 16, 17, 300])
    def test_bundle_is_assembled_from_its_parts(self, teams):
        bundle = bundle_drafts.make_bundle(teams)
        draft = manifests.draft_manifest(bundle, 1, "")
        assert manifests.assemble_bundle(draft.manifest, draft.contents).unwrap() == bundle

    def test_change_of_one_team_changes_one_part(self):
        before, after = (bundle_drafts.make_bundle(300) for _ in range(2))
        after.teams[7].weight = 9
        drafts = [manifests.draft_manifest(bundle, 1, "") for bundle in (before, after)]
        assert len(set(drafts[1].contents) - set(drafts[0].contents)) == 1
        assert len(msgspec.json.encode(drafts[1].manifest)) < 10_000


def corrupt_part(draft: manifests.Draft) -> dict[str, bytes]:
    changed = dict(draft.contents)
    changed[draft.manifest.parts[1].sha256] = b"altered"
    return changed


def drop_part(draft: manifests.Draft) -> dict[str, bytes]:
    changed = dict(draft.contents)
    del changed[draft.manifest.parts[1].sha256]
    return changed


class TestAssemble:
    @pytest.mark.parametrize(
        ("change", "remedy"), [(corrupt_part, "fetch it again"), (drop_part, "fetch it")]
    )
    def test_corrupted_or_missing_part_is_refused(self, change, remedy):
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(), 1, "")
        error = manifests.assemble_bundle(draft.manifest, change(draft)).unwrap_err()
        assert remedy in error.message


class TestLimits:
    @pytest.mark.parametrize(
        ("limit", "value", "remedy"),
        [
            ("MAX_MANIFEST_BYTES", 100, "fewer models"),
            ("MAX_PARTS", 2, "fewer models"),
            ("MAX_PART_BYTES", 10, "shorten"),
        ],
    )
    def test_oversize_bundle_is_refused(self, limit, value, remedy, monkeypatch):
        monkeypatch.setattr(manifests, limit, value)
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(), 1, "")
        signed = bundle_drafts.sign(draft)
        checked = manifests.check_limits(signed, draft.manifest, draft.contents)
        assert remedy in checked.unwrap_err().message

    def test_wrong_size_and_duplicate_parts_are_refused(self):
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(), 1, "")
        signed = bundle_drafts.sign(draft)
        draft.manifest.parts[0].size_bytes += 1
        assert manifests.check_limits(signed, draft.manifest, draft.contents).is_err()
        draft.manifest.parts = [draft.manifest.parts[1]] * 2
        assert manifests.check_limits(signed, draft.manifest, draft.contents).is_err()

    def test_head_with_the_largest_manifest_fits_one_megabyte(self):
        manifest_json = '{"' * (manifests.MAX_MANIFEST_BYTES // 2)
        signed = records.SignedManifest(
            manifest_json=manifest_json, operator="x" * 64, signature="y" * 88
        )
        head = records.Head(version=1, manifest_sha256="z" * 64, signed=signed)
        assert len(msgspec.json.encode(head)) < 1_000_000


class TestSignOff:
    @pytest.mark.parametrize(
        ("field", "value", "remedy"),
        [
            ("signature", "", "sign-off"),
            ("operator", "", "sign-off"),
            ("operator", "stranger", "operator_keys"),
            ("signature", "not base64!", "sign the bundle off again"),
            ("signature", "QUJD", "sign the bundle off again"),
            ("manifest_json", "{}", "sign the bundle off again"),
            ("manifest_json", "\ud800", "sign the bundle off again"),
        ],
    )
    def test_invalid_sign_off_is_refused_with_a_remedy(self, field, value, remedy):
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(), 1, "")
        signed = bundle_drafts.sign(draft)
        setattr(signed, field, value)
        refused = bundle_drafts.make_register().verify(signed).unwrap_err()
        assert refused.kind == "signature_invalid" and remedy in refused.message

    def test_sign_off_by_another_key_is_refused(self, monkeypatch):
        monkeypatch.setattr(bundle_drafts, "KEY", bundle_drafts.OTHER_KEY)
        signed = bundle_drafts.sign(manifests.draft_manifest(bundle_drafts.make_bundle(), 1, ""))
        monkeypatch.undo()
        assert bundle_drafts.make_register().verify(signed).is_err()

    def test_changed_bytes_invalidate_the_signature(self):
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(1), 1, "")
        signed = bundle_drafts.sign(draft)
        bundles = bundle_drafts.make_register()
        text = signed.manifest_json
        for position in range(0, len(text), 7):
            changed = text[:position] + chr(ord(text[position]) ^ 1) + text[position + 1 :]
            assert bundles.verify(msgspec.structs.replace(signed, manifest_json=changed)).is_err()
        assert dataclasses.is_dataclass(draft)
