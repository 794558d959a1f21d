"""Tests of rolls under faults and races, and of versions that never decrease."""

import asyncio

import msgspec
import pytest

from tanagerfork.bundles import head as heads
from tanagerfork.bundles import manifest as manifests
from tests import bundle_drafts, fakes


class RacingKeyValue(fakes.MemoryKeyValue):
    """A service on which another operator rolls right after a roll whose response is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.is_armed = False

    async def swap(self, key, value, revision):
        """Write; if armed, lose the response to a new head and roll another bundle on it."""
        if not (self.is_armed and key == heads.HEAD_KEY):
            return await super().swap(key, value, revision)
        self.is_armed = False
        self.lost_answers = 1
        lost = await super().swap(key, value, revision)
        parent = heads.decode_head(value)
        await bundle_drafts.roll(self, bundle_drafts.make_bundle(4), parent, "taiping")
        return lost


class TestRoll:
    @pytest.mark.parametrize(
        ("field", "amount", "kind"),
        [
            ("lost_answers", 1, None),
            ("lost_calls", 1, None),
            ("lost_answers", 3, None),
            ("is_away", True, "platform_unavailable"),
        ],
    )
    async def test_fault_during_a_roll(self, field, amount, kind):
        store = fakes.MemoryKeyValue()
        first = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        draft = bundle_drafts.draft_next(bundle_drafts.make_bundle(3), first)
        await heads.publish_parts(store, draft)
        setattr(store, field, amount)
        rolled = await heads.roll_head(store, bundle_drafts.sign(draft), "ipoh", 1)
        assert (rolled.unwrap_err().kind if rolled.is_err() else None) == kind

    async def test_lost_response_is_confirmed_after_a_later_roll(self):
        store = RacingKeyValue()
        first = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        store.is_armed = True
        second = await bundle_drafts.roll(store, bundle_drafts.make_bundle(3), first)
        assert second.unwrap().version == 2
        assert (await heads.read_head(store)).unwrap().head.version == 3

    async def test_repeated_roll_returns_the_same_head(self):
        store = fakes.MemoryKeyValue()
        first = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        again = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        assert again == first
        await bundle_drafts.roll(store, bundle_drafts.make_bundle(3), first)
        later = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        assert later == first

    async def test_one_of_two_racing_rolls_wins_and_the_other_gets_a_remedy(self):
        store = fakes.MemoryKeyValue()
        first = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        rolls = [
            bundle_drafts.roll(store, bundle_drafts.make_bundle(teams), first, operator)
            for teams, operator in ((3, "ipoh"), (4, "taiping"))
        ]
        rolled = await asyncio.gather(*rolls)
        lost = next(item.unwrap_err() for item in rolled if item.is_err())
        winner = next(item.unwrap() for item in rolled if item.is_ok())
        assert lost.kind == "stale_parent" and "bundle rebase" in lost.message
        assert f"version 2, rolled by {winner.rolled_by}" in lost.message

    async def test_version_must_follow_the_parents(self):
        store = fakes.MemoryKeyValue()
        first = (await bundle_drafts.roll(store, bundle_drafts.make_bundle(), None)).unwrap()
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(3), 7, first.manifest_sha256)
        refused = await heads.roll_head(store, bundle_drafts.sign(draft), "ipoh", 1)
        assert refused.unwrap_err().kind == "bundle_invalid"

    async def test_history_is_kept_up_to_its_limit(self, monkeypatch):
        monkeypatch.setattr(heads, "HISTORY_DEPTH", 3)
        store, head = fakes.MemoryKeyValue(), None
        for teams in range(1, 9):
            rolled = await bundle_drafts.roll(store, bundle_drafts.make_bundle(teams), head)
            head = rolled.unwrap()
        past = (await heads.list_history(store)).unwrap()
        assert [item.version for item in past] == [7, 6, 5, 4]


class TestParts:
    async def test_only_missing_parts_are_written(self):
        store = fakes.MemoryKeyValue()
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(), 1, "")
        await heads.publish_parts(store, draft)
        writes = store.writes
        await heads.publish_parts(store, draft, draft.manifest)
        assert store.writes == writes == 4

    @pytest.mark.parametrize("lost", [0, 1, 2])
    async def test_corrupted_part_is_overwritten_by_the_next_roll(self, lost):
        store = fakes.MemoryKeyValue()
        draft = manifests.draft_manifest(bundle_drafts.make_bundle(), 1, "")
        await heads.publish_parts(store, draft)
        sha256 = draft.manifest.parts[0].sha256
        key = heads.PART_PREFIX + sha256
        await store.swap(key, b"altered", store.entries[key].revision)
        assert (await heads.fetch_part(store, sha256)).unwrap() is None
        store.lost_answers = lost
        assert (await heads.publish_parts(store, draft)).is_ok()
        assert (await heads.fetch_part(store, sha256)).unwrap() == draft.contents[sha256]


class TestVersions:
    async def make_heads(self, store: fakes.MemoryKeyValue, count: int):
        head, rolled = None, []
        for teams in range(1, count + 1):
            head = (
                await bundle_drafts.roll(store, bundle_drafts.make_bundle(teams), head)
            ).unwrap()
            rolled.append(head)
        return rolled

    async def test_head_that_is_not_newer_is_refused(self):
        store = fakes.MemoryKeyValue()
        rolled = await self.make_heads(store, 3)
        bundles = bundle_drafts.make_register()
        assert (await bundle_drafts.accept(bundles, store, rolled[2])).is_ok()
        for head in rolled:
            refused = await bundle_drafts.accept(bundles, store, head)
            assert refused.unwrap_err().kind == "version_not_newer"
        assert bundles.version == 3

    async def test_other_manifest_of_the_same_version_is_refused_and_the_next_wins(self):
        store, other = fakes.MemoryKeyValue(), fakes.MemoryKeyValue()
        rolled = await self.make_heads(store, 2)
        await self.make_heads(other, 1)
        forked = (await bundle_drafts.roll(other, bundle_drafts.make_bundle(9), rolled[0])).unwrap()
        bundles = bundle_drafts.make_register()
        await bundle_drafts.accept(bundles, store, rolled[1])
        refused = (await bundle_drafts.accept(bundles, other, forked)).unwrap_err()
        assert refused.kind == "version_forked" and "roll version 3" in refused.message
        third = (await bundle_drafts.roll(other, bundle_drafts.make_bundle(8), forked)).unwrap()
        assert (await bundle_drafts.accept(bundles, other, third)).unwrap().head.version == 3

    async def test_head_that_does_not_match_its_manifest_is_refused(self):
        store = fakes.MemoryKeyValue()
        head = (await self.make_heads(store, 1))[0]
        bundles = bundle_drafts.make_register()
        for field, value in (("version", 9), ("manifest_sha256", "0" * 64)):
            bad = msgspec.structs.replace(head, **{field: value})
            assert (await bundle_drafts.accept(bundles, store, bad)).is_err()

    async def test_roll_on_a_restored_service_is_refused_by_a_daemon_with_a_newer_head(self):
        store = fakes.MemoryKeyValue()
        rolled = await self.make_heads(store, 2)
        draft = bundle_drafts.draft_next(bundle_drafts.make_bundle(7), rolled[0])
        store.entries[heads.HEAD_KEY] = fakes.key_value.Entry(
            heads.HEAD_KEY, msgspec.json.encode(rolled[0]), 2
        )
        signed = bundle_drafts.sign(draft)
        refused = await heads.roll_head(store, signed, "ipoh", 1, known=rolled[1])
        assert "restored to an older state" in refused.unwrap_err().message
