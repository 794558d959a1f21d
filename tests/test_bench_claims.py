"""Tests of the goals for grouped claim writes in the benchmark, on a virtual clock."""

from bench import claims


class TestGroupedWrites:
    def test_350_claims_a_second_stay_under_the_goals(self):
        costs = claims.measure(350, 20, is_timed=True)
        assert costs.writes_per_s < claims.GOAL_WRITES_PER_S
        assert costs.wait_p95_ms < claims.GOAL_WAIT_MS
        assert costs.largest_kb < 1_000
