"""Tests of differences between bundles, and of rebasing."""

import pytest

from tanagerfork.bundles import difference
from tests import bundle_drafts


class TestDescribe:
    def test_equal_bundles_have_no_changes(self):
        bundle = bundle_drafts.make_bundle()
        assert difference.list_changes(bundle, bundle_drafts.make_bundle()) == []

    def test_added_removed_and_changed_items_are_named(self):
        old, new = bundle_drafts.make_bundle(2), bundle_drafts.make_bundle(3)
        del new.teams[0]
        new.models[0].version = "2"
        changes = difference.list_changes(old, new)
        assert [(change.item, change.kind) for change in changes] == [
            ("model rota-writer", "changed"),
            ("team team-0000", "removed"),
            ("team team-0002", "added"),
        ]
        assert changes[0].fields == (difference.FieldChange("version", '"1"', '"2"'),)

    def test_first_bundle_is_all_added(self):
        changes = difference.list_changes(None, bundle_drafts.make_bundle(1))
        assert {change.kind for change in changes} == {"added"} and len(changes) == 4


def set_weight(number: int, weight: int):
    def change(bundle) -> None:
        bundle.teams[number].weight = weight

    return change


def set_concurrency(bundle) -> None:
    bundle.teams[0].concurrency = 5


def drop_team(bundle) -> None:
    del bundle.teams[0]


def add_team(weight: int):
    def change(bundle) -> None:
        bundle.teams.append(bundle_drafts.make_team(9, weight))

    return change


def change_nothing(bundle) -> None:
    pass


REBASE_CASES = [
    ("only mine", set_weight(0, 2), change_nothing, []),
    ("only theirs", change_nothing, set_weight(0, 2), []),
    ("different teams", set_weight(0, 2), set_weight(1, 3), []),
    ("different fields", set_weight(0, 2), set_concurrency, []),
    ("the same change", set_weight(0, 2), set_weight(0, 2), []),
    ("the same field", set_weight(0, 2), set_weight(0, 3), [("team team-0000", "weight")]),
    ("dropped and changed", drop_team, set_concurrency, [("team team-0000", "")]),
    ("changed and dropped", set_concurrency, drop_team, [("team team-0000", "")]),
    ("dropped twice", drop_team, drop_team, []),
    ("added alike", add_team(1), add_team(1), []),
    ("added otherwise", add_team(1), add_team(2), [("team team-0009", "")]),
]


class TestRebase:
    @pytest.mark.parametrize(("case", "change_mine", "change_theirs", "conflicts"), REBASE_CASES)
    def test_three_way_merge(self, case, change_mine, change_theirs, conflicts):
        base, mine, theirs, both = (bundle_drafts.make_bundle(3) for _ in range(4))
        change_mine(mine)
        change_theirs(theirs)
        rebased = difference.rebase(base, mine, theirs)
        assert [(item.item, item.field) for item in rebased.conflicts] == conflicts, case
        if conflicts:
            assert rebased.bundle == theirs
            return
        change_mine(both)
        if change_mine != change_theirs and difference.list_changes(mine, theirs):
            change_theirs(both)
        assert difference.list_changes(both, rebased.bundle) == []
