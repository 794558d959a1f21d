"""Tests of suspect fingerprints and their quarantine."""

from tanagerfork.routing import fleet, poison


class TestPoisonRegister:
    def test_second_crash_quarantines_until_the_ttl_ends(self):
        register = poison.PoisonRegister()
        assert not register.record_crash("f", "a", 0).is_quarantined
        assert register.is_suspect("f", 1) and not register.quarantine_left_ms("f", 1)
        assert register.record_crash("f", "b", 100).is_quarantined
        assert register.quarantine_left_ms("f", 100) == poison.QUARANTINE_TTL_MS
        assert not register.quarantine_left_ms("f", 100 + poison.QUARANTINE_TTL_MS)

    def test_complete_answer_clears_a_suspect(self):
        register = poison.PoisonRegister()
        register.record_crash("f", "a", 0)
        register.record_completed("f")
        assert not register.record_crash("f", "a", 10_000).is_quarantined

    def test_correlated_crashes_of_groups_make_no_new_suspect(self):
        register = poison.PoisonRegister()
        register.record_crash("f", "a", 0)
        assert register.record_crash("g", "b", 10) is None
        assert register.record_crash("h", "a", 20) is not None

    def test_notice_of_a_peer_counts_and_its_trial_is_awaited(self):
        register = poison.PoisonRegister()
        register.hear(fleet.PoisonNotice("f", 1, False, 1000), 300, 0)
        assert register.peer_trial_left_ms("f", 100) == 200
        assert not register.peer_trial_left_ms("f", 300)
        assert register.record_crash("f", "b", 400).is_quarantined
        other = poison.PoisonRegister()
        other.hear(fleet.PoisonNotice("f", 2, True, 10**9), 300, 0)
        assert other.quarantine_left_ms("f", 0) == poison.QUARANTINE_TTL_MS

    def test_register_is_bounded(self):
        register = poison.PoisonRegister()
        for number in range(poison.MAX_FINGERPRINTS + 5):
            register.record_crash(str(number), "a", 0)
        assert not register.is_suspect("0", 0) and register.is_suspect("9", 0)


class TestCopies:
    """Copies of a request that is sound may be in flight at the same crash."""

    def test_copies_lost_in_one_crash_count_once(self):
        register = poison.PoisonRegister()
        register.record_crash("f", "a", 110, poison.LostRun(0, 100))
        assert register.record_crash("f", "a", 120, poison.LostRun(50, 100)) is None
        assert not register.quarantine_left_ms("f", 120)
        assert register.record_crash("f", "b", 300, poison.LostRun(100, 200)).is_quarantined

    def test_copies_lost_in_crashes_of_several_groups_at_once_count_once(self):
        register = poison.PoisonRegister()
        register.record_crash("f", "a", 110, poison.LostRun(0, 100))
        register.record_crash("f", "b", 120, poison.LostRun(50, 101))
        assert not register.quarantine_left_ms("f", 120)

    def test_crash_that_a_peer_tells_counts_once(self):
        register = poison.PoisonRegister()
        register.hear(fleet.PoisonNotice("f", 1, False, 1000), 0, 110)
        register.record_crash("f", "a", 120, poison.LostRun(0, 100))
        assert not register.quarantine_left_ms("f", 120)
        assert register.record_crash("f", "b", 300, poison.LostRun(130, 200)).is_quarantined

    def test_crashes_that_are_confirmed_in_reverse_order_both_count(self):
        register = poison.PoisonRegister()
        register.record_crash("f", "b", 300, poison.LostRun(100, 200))
        assert register.record_crash("f", "a", 310, poison.LostRun(0, 100)).is_quarantined
