"""Share of requests that meet their goals when daemons place the users' load over groups."""

import pytest
from bench import player

SEEDS = (1, 2, 3, 4)


def mean_share(load: player.Load, policy: str) -> float:
    shares = [player.Player(load, policy, seed).play().share_in_goal() for seed in SEEDS]
    return sum(shares) / len(shares)


class TestPlacing:
    def test_usual_load_meets_its_goals(self) -> None:
        assert mean_share(player.Load(), "expected") > 0.99

    def test_four_groups_left_of_six(self) -> None:
        """Daemons that see the same loads with a delay do not all take the same group."""
        load = player.Load(groups=4)
        chosen = mean_share(load, "expected")
        assert chosen > mean_share(load, "turns") and chosen > mean_share(load, "own")

    def test_group_three_times_slower_is_avoided(self) -> None:
        load = player.Load(slow_pace=3.0)
        chosen = mean_share(load, "expected")
        assert chosen > mean_share(load, "own") > mean_share(load, "turns")

    @pytest.mark.parametrize("policy", ["turns", "own", "expected", "admitted"])
    def test_same_seed_gives_the_same_run(self, policy: str) -> None:
        load = player.Load(length_ms=3000)
        first, second = (player.Player(load, policy, 7).play() for _ in range(2))
        assert first.done == second.done


class TestAdmission:
    """Twice the usual load for 15 s, which is more than the groups can begin in time."""

    LOAD = player.Load(burst=2.0)

    def test_more_requests_are_in_time_and_few_are_turned_away_for_good(self) -> None:
        admitted = [player.Player(self.LOAD, "admitted", seed).play() for seed in SEEDS]
        in_time = sum(played.share_in_goal() for played in admitted) / len(SEEDS)
        served = sum(played.share_served() for played in admitted) / len(SEEDS)
        assert in_time > 1.25 * mean_share(self.LOAD, "expected")
        assert served > 0.9

    def test_usual_load_is_never_refused(self) -> None:
        played = player.Player(player.Load(), "admitted", 1).play()
        assert played.refused_count == 0 and played.share_in_goal() > 0.99
