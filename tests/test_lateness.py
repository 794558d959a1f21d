"""Tests of how late wake-ups are told from the silence of others."""

from tanagerfork import lateness

INTERVAL_MS, LIMIT_MS = 100, 400


def wake(*times_ms: float) -> lateness.LatenessRecord:
    record = lateness.LatenessRecord(INTERVAL_MS)
    for time_ms in times_ms:
        record.note_wakeup(time_ms)
    return record


class TestRecord:
    def test_wakeups_in_time_use_up_nothing(self) -> None:
        assert not wake().has_used_up(0, LIMIT_MS, 10_000)
        assert not wake(0, 110, 215, 330, 450).has_used_up(0, LIMIT_MS, 500)

    def test_delay_that_has_ended_counts(self) -> None:
        assert wake(0, 350).has_used_up(0, LIMIT_MS, 400)
        assert not wake(0, 299).has_used_up(0, LIMIT_MS, 350)

    def test_delay_that_lasts_counts(self) -> None:
        assert wake(0, 100).has_used_up(50, LIMIT_MS, 450)
        assert not wake(0, 100).has_used_up(50, LIMIT_MS, 350)

    def test_only_the_part_within_the_time_limit_counts(self) -> None:
        assert not wake(0, 600).has_used_up(450, LIMIT_MS, 650)
        assert wake(0, 600).has_used_up(390, LIMIT_MS, 650)
        assert not wake(0, 600, 700).has_used_up(650, LIMIT_MS, 750)

    def test_several_delays_add_up(self) -> None:
        assert wake(0, 180, 360, 540).has_used_up(0, LIMIT_MS, 550)
