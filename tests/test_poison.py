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
