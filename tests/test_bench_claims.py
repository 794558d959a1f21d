"""The goal for grouped writes, on explicit time."""

from bench import claims


class TestGroupedWrites:
    def test_350_claims_a_second_stay_under_the_goals(self):
        seen = claims.measure(350, 20, is_timed=True)
        assert seen.writes_per_s < claims.GOAL_WRITES_PER_S
        assert seen.wait_p95_ms < claims.GOAL_WAIT_MS
        assert seen.largest_kb < 1_000
