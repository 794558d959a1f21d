"""Which upstreams a daemon keeps, and which groups are whole."""

import dataclasses

import pytest

from tanagerfork.relay import fleet, members, rules
from tests.relay import test_planner

STATE = members.MemberState
LIMITS = rules.CallerLimits(16_384, 1_000_000, 3000, 15_000)
IN_FORCE = rules.Rules(1, [], [test_planner.SERVICE, rules.Service("ledger", 100)], {}, LIMITS)


def make_member(name: str, rank: int, **changes: object) -> members.Upstream:
    upstream = test_planner.make_status(name, staged=("small",)).upstream
    membership = members.GroupMembership("g", 5, rank, STATE.OPEN if rank == 0 else STATE.READY)
    return dataclasses.replace(upstream, **{"membership": membership, **changes})


def make_fleet() -> fleet.Fleet:
    view = fleet.Fleet()
    view.update_rules(IN_FORCE)
    return view


def count_groups(view: fleet.Fleet) -> int:
    return len(view.list_groups("writer", "small"))


class TestWholeGroups:
    def test_open_head_and_all_ranks(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        assert count_groups(view) == 1

    @pytest.mark.parametrize(
        "changes",
        [
            {"membership": None},
            {"membership": members.GroupMembership("g", 5, 1, STATE.JOINING)},
            {"membership": members.GroupMembership("g", 4, 1, STATE.READY)},
            {"membership": members.GroupMembership("h", 5, 1, STATE.READY)},
            {"membership": members.GroupMembership("g", 5, 2, STATE.READY)},
            {"membership": members.GroupMembership("g", 5, 1, STATE.BROKEN)},
            {"is_leaving": True},
            {"service": "unknown"},
        ],
    )
    def test_group_is_not_whole_without_a_matching_member(self, changes: dict[str, object]) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1, **changes)], 0)
        assert count_groups(view) == 0

    @pytest.mark.parametrize("state", [STATE.READY, STATE.CLOSING, STATE.BROKEN, STATE.JOINING])
    def test_group_is_not_whole_without_an_open_head(self, state: members.MemberState) -> None:
        view = make_fleet()
        head = make_member("a", 0, membership=members.GroupMembership("g", 5, 0, state))
        view.update_list([head, make_member("b", 1)], 0)
        assert count_groups(view) == 0

    def test_group_across_fabric_domains_is_slower(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1, fabric_domain="d1")], 0)
        slowness = view.list_groups("writer", "small")[0].slowness
        assert slowness == pytest.approx(
            test_planner.SMALL.pace * test_planner.ENGINE.cross_domain_factor
        )


class TestUnlistedMembers:
    """Upstreams that are partitioned from the directory lose their entries and go on working."""

    def test_group_loses_no_requests_when_only_a_members_entry_lapses(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.update_list([make_member("a", 0)], 100)
        assert count_groups(view) == 1
        assert [upstream.id for upstream in view.upstreams] == ["a"]

    def test_head_without_an_entry_gets_no_requests(self) -> None:
        """It may leave without saying so."""
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.update_list([make_member("b", 1)], 100)
        assert count_groups(view) == 0

    @pytest.mark.parametrize(
        "changes",
        [
            {"is_leaving": True},
            {"membership": members.GroupMembership("g", 5, 1, STATE.JOINING)},
            {"membership": members.GroupMembership("g", 4, 1, STATE.READY)},
        ],
    )
    def test_only_a_ready_member_of_the_group_still_counts(
        self, changes: dict[str, object]
    ) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1, **changes)], 0)
        view.update_list([make_member("a", 0)], 100)
        assert count_groups(view) == 0

    def test_member_that_says_it_leaves_no_longer_counts(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.update_list([make_member("a", 0)], 100)
        assert view.mark_leaving("b", make_member("b", 1).born_at_ms)
        assert count_groups(view) == 0

    def test_member_that_returns_with_another_start_breaks_the_group(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.update_list([make_member("a", 0)], 100)
        returned = make_member("b", 1, born_at_ms=9, membership=None)
        view.update_list([make_member("a", 0), returned], 200)
        assert count_groups(view) == 0

    def test_member_counts_no_longer_than_an_unlisted_upstream_serves(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        for now_ms in range(1000, fleet.UNLISTED_RETENTION_MS + 3000, 1000):
            view.update_list([make_member("a", 0)], now_ms)
        assert count_groups(view) == 0


class TestUnreadableList:
    def test_missing_entry_is_removed_at_once(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.update_list([make_member("a", 0)], 100)
        assert view.find("b") is None
        view.update_list([], 200)
        assert count_groups(view) == 0

    def test_lapsed_entries_are_kept_for_the_grace_time(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.note_away()
        view.update_list([], 1000)
        assert count_groups(view) == 1
        view.end_grace(1000 + fleet.RETURN_GRACE_MS - 1)
        assert count_groups(view) == 1
        view.end_grace(1000 + fleet.RETURN_GRACE_MS)
        assert count_groups(view) == 0 and not list(view.upstreams)

    def test_stale_list_counts_as_unreadable(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.update_list([], fleet.STALE_LIST_MS + 1)
        assert count_groups(view) == 1

    def test_unchanged_list_is_as_fresh_as_a_new_one(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.note_unchanged(fleet.STALE_LIST_MS)
        assert view.measure_age(fleet.STALE_LIST_MS) == 0
        view.update_list([], fleet.STALE_LIST_MS + 100)
        assert count_groups(view) == 0

    def test_unchanged_list_after_an_outage_begins_the_grace_time(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.note_away()
        view.note_unchanged(1000)
        view.update_list([], 1100)
        assert count_groups(view) == 1

    def test_leaving_member_counts_as_leaving_in_the_grace_time(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1)], 0)
        view.note_away()
        change = view.update_list([make_member("a", 0, is_leaving=True)], 1000)
        assert change.leaving == ("a",) and count_groups(view) == 0

    def test_first_list_begins_no_grace_time(self) -> None:
        view = make_fleet()
        view.note_away()
        view.update_list([make_member("a", 0)], 5000)
        view.update_list([], 5100)
        assert not list(view.upstreams)


class TestLeaving:
    def test_upstream_that_was_seen_leaving_is_not_used_again_by_an_older_entry(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1, is_leaving=True)], 0)
        view.update_list([make_member("a", 0), make_member("b", 1)], 100)
        assert count_groups(view) == 0
        view.update_list([make_member("a", 0)], 200)
        view.update_list([make_member("a", 0), make_member("b", 1)], 300)
        assert count_groups(view) == 0
        view.update_list([make_member("a", 0), make_member("b", 1, born_at_ms=9)], 400)
        assert count_groups(view) == 1

    def test_own_word_of_an_upstream_counts_at_once_and_for_its_start_only(self) -> None:
        view = make_fleet()
        head = make_member("a", 0)
        view.update_list([head, make_member("b", 1)], 0)
        assert view.mark_leaving("a", head.born_at_ms + 1) and count_groups(view) == 1
        assert view.mark_leaving("a", head.born_at_ms) and count_groups(view) == 0
        assert not view.mark_leaving("a", head.born_at_ms)
        view.update_list([make_member("a", 0), make_member("b", 1)], 100)
        assert count_groups(view) == 0

    def test_only_what_entries_do_not_say_is_listed_for_other_daemons(self) -> None:
        view = make_fleet()
        view.update_list([make_member("a", 0), make_member("b", 1, is_leaving=True)], 0)
        assert view.list_leaving() == []
        view.mark_leaving("a", view.find("a").born_at_ms)
        view.mark_leaving("z", 1)
        assert [upstream.id for upstream in view.list_leaving()] == ["a"]
        view.update_list([make_member("a", 0), make_member("b", 1)], 100)
        assert [upstream.id for upstream in view.list_leaving()] == ["a", "b"]
        view.update_list([make_member("a", 0, born_at_ms=9)], 200)
        assert view.list_leaving() == []

    def test_memory_is_bounded(self) -> None:
        view = make_fleet()
        for number in range(fleet.MAX_LEFT + 10):
            view.mark_leaving(f"u{number}", 1)
        assert len(view._left) == fleet.MAX_LEFT


class TestEntriesWithoutAStart:
    """An entry of another writer brought back an upstream that had said that it leaves."""

    def test_entry_without_a_start_is_not_that_of_an_upstream_that_names_one(self) -> None:
        view, upstream = make_fleet(), make_member("a", 0, born_at_ms=7, refresh_count=3)
        foreign = dataclasses.replace(upstream, born_at_ms=0, refresh_count=9)
        for is_leaving in (False, True):
            own = dataclasses.replace(upstream, is_leaving=is_leaving)
            view.update_list([own], 0)
            for now_ms in (100, 200):
                view.update_list([foreign], now_ms)
                assert view.find("a") is None
            view.update_list([own], 300)
            assert view.find("a").is_leaving == is_leaving

    def test_upstreams_that_never_name_their_start_are_listed(self) -> None:
        view, upstream = make_fleet(), make_member("a", 0, born_at_ms=0)
        for now_ms in (0, 100):
            view.update_list([upstream], now_ms)
            assert view.find("a") == upstream
