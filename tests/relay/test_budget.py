"""The retries of all daemons together stay within the allowance."""

from tanagerfork.relay import budget

ALLOWANCE = budget.Allowance(share=0.2, reserve=302, window_ms=10_000)


class TestRepeatBudget:
    def test_daemons_that_do_not_communicate_stay_within_the_allowance(self) -> None:
        """150 requests a second over 20 daemons, each of which would be retried."""
        budgets = [budget.RetryBudget(ALLOWANCE) for _ in range(20)]
        request_times: list[float] = []
        retry_times: list[float] = []
        for number in range(150 * 30):
            now_ms = number * 1000 / 150
            retry_budget = budgets[number % 20]
            retry_budget.daemon_count = 20
            retry_budget.record_request("s", now_ms)
            request_times.append(now_ms)
            if retry_budget.try_acquire("s", now_ms):
                retry_times.append(now_ms)
        for end_ms in range(1000, 30_000, 250):
            request_count = sum(end_ms - 10_000 < at <= end_ms for at in request_times)
            retry_count = sum(end_ms - 10_000 < at <= end_ms for at in retry_times)
            assert retry_count <= 0.2 * request_count + 302

    def test_window_slides(self) -> None:
        retry_budget = budget.RetryBudget(budget.Allowance(0, 5, 1000))
        assert [retry_budget.try_acquire("s", 0) for _ in range(5)] == [True] * 4 + [False]
        assert retry_budget.try_acquire("s", 1000)
