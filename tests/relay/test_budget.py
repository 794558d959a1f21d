"""Second sends of all daemons together keep to the allowance."""

from tanagerfork.relay import budget

ALLOWANCE = budget.Allowance(share=0.2, reserve=302, window_ms=10_000)


class TestRepeatBudget:
    def test_daemons_that_hear_nothing_of_each_other_keep_to_the_sum(self) -> None:
        """150 requests a second over 20 daemons, and all of them would send each one again."""
        daemons = [budget.RepeatBudget(ALLOWANCE) for _ in range(20)]
        fresh: list[float] = []
        repeats: list[float] = []
        for number in range(150 * 30):
            now_ms = number * 1000 / 150
            daemon = daemons[number % 20]
            daemon.daemons = 20
            daemon.note_fresh("s", now_ms)
            fresh.append(now_ms)
            if daemon.take("s", now_ms):
                repeats.append(now_ms)
        for end_ms in range(1000, 30_000, 250):
            asked = sum(end_ms - 10_000 < at <= end_ms for at in fresh)
            again = sum(end_ms - 10_000 < at <= end_ms for at in repeats)
            assert again <= 0.2 * asked + 302

    def test_window_slides(self) -> None:
        one = budget.RepeatBudget(budget.Allowance(0, 5, 1000))
        assert [one.take("s", 0) for _ in range(5)] == [True] * 4 + [False]
        assert one.take("s", 1000)
