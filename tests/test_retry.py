"""Tests of retry budgets and of the rate limit of dials."""

import random

from tanagerfork.routing import retry


class TestRetryBudget:
    def test_retries_stay_within_a_share_of_first_attempts(self):
        budget = retry.RetryBudget()
        taken = 0
        for _ in range(1000):
            budget.record_first_attempt("t")
            taken += budget.take_retry("t")
        assert taken <= retry.INITIAL_RETRIES + retry.RETRY_SHARE * 1000

    def test_failing_team_does_not_use_up_the_retries_of_others(self):
        budget = retry.RetryBudget()
        for _ in range(1000):
            budget.record_first_attempt("good")
            budget.record_first_attempt("bad")
            budget.take_retry("bad")
        assert budget.take_retry("good")


class TestDialPacer:
    def test_many_lost_connections_are_dialled_again_at_a_bounded_rate(self):
        pacer = retry.DialPacer(random.Random(1))
        waits = [pacer.reserve(0) for _ in range(500)]
        assert sum(wait == 0 for wait in waits) == retry.DIAL_BURST
        for second in range(1, 9):
            due = sum((second - 1) * 1000 <= wait < second * 1000 for wait in waits)
            assert due <= retry.DIALS_PER_S + retry.DIAL_BURST
        assert len(set(waits)) > 100

    def test_single_dial_does_not_wait(self):
        pacer = retry.DialPacer(random.Random(1))
        assert [pacer.reserve(now_ms) for now_ms in range(0, 5000, 500)] == [0] * 10
