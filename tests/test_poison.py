"""Tests of suspect fingerprints and their quarantine."""

import itertools
import random

import pytest

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
        register.record_completed("f", 10)
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


class TestRepeats:
    """Quarantines are told again, to daemons that started since or missed a notice."""

    def _quarantine(
        self, fingerprint: str = "f", at_ms: int = 0, crashes: int = 2
    ) -> poison.PoisonRegister:
        register = poison.PoisonRegister()
        for number in range(crashes):
            register.record_crash(fingerprint, "ab"[number % 2], at_ms)
        return register

    def test_daemons_restarted_in_turn_know_the_quarantine_until_it_ends(self):
        registers = [self._quarantine(), poison.PoisonRegister()]
        restarts = range(0, poison.QUARANTINE_TTL_MS - poison.MIN_REPEATED_MS, 10_000)
        for turn, at_ms in enumerate(restarts):
            registers[1 - turn % 2] = poison.PoisonRegister()
            notices = registers[turn % 2].take_repeats(at_ms)
            assert [registers[1 - turn % 2].hear(each, 0, at_ms) for each in notices] == [True]
        for register in registers:
            assert register.quarantine_left_ms("f", poison.QUARANTINE_TTL_MS - 1)
            assert not register.quarantine_left_ms("f", poison.QUARANTINE_TTL_MS)

    def test_notices_that_take_long_do_not_renew_the_quarantine(self):
        registers = [self._quarantine(), poison.PoisonRegister()]
        delay_ms = 5000
        for at_ms in range(0, 2 * poison.QUARANTINE_TTL_MS, 1000):
            sent = [register.take_repeats(at_ms) for register in registers]
            for register, notices in zip(registers, reversed(sent), strict=True):
                for notice in notices:
                    register.hear(notice, 0, at_ms + delay_ms)
        for register in registers:
            assert not register.quarantine_left_ms("f", poison.QUARANTINE_TTL_MS + delay_ms)
            assert not register.is_suspect("f", at_ms + delay_ms)

    def test_quarantine_is_told_in_each_interval_and_a_suspicion_is_not(self):
        register = self._quarantine()
        register.record_crash("suspect", "c", 3000)
        assert [each.fingerprint for each in register.take_repeats(3000)] == ["f"]
        assert not register.take_repeats(3000 + poison.REPEAT_INTERVAL_MS - 1)
        assert len(register.take_repeats(3000 + poison.REPEAT_INTERVAL_MS)) == 1

    def test_many_quarantines_are_told_in_turn(self):
        register = poison.PoisonRegister()
        for number in range(3 * poison.MAX_REPEATS):
            register.hear(fleet.PoisonNotice(str(number), 2, True, 900_000), 0, 0)
        rounds = [register.take_repeats(300 * number) for number in range(6)]
        assert {len(notices) for notices in rounds} == {poison.MAX_REPEATS}
        assert (
            len({notice.fingerprint for notices in rounds for notice in notices})
            == 3 * poison.MAX_REPEATS
        )

    def test_quarantine_is_passed_on_with_the_time_that_is_left(self):
        registers = [self._quarantine(), poison.PoisonRegister(), poison.PoisonRegister()]
        for index in (0, 1):
            notice = registers[index].take_repeats(1000 + index)[0]
            assert notice.age_ms == 1000 + index
            registers[index + 1].hear(notice, 0, 1000 + index)
        left_ms = registers[2].quarantine_left_ms("f", 1001)
        assert left_ms == poison.QUARANTINE_TTL_MS - 1001

    def test_answer_is_not_undone_by_what_peers_repeat_but_by_later_crashes(self):
        registers = [self._quarantine(), self._quarantine()]
        registers[0].record_completed("f", 500)
        assert not registers[0].hear(registers[1].take_repeats(1000)[0], 0, 1000)
        assert not registers[0].quarantine_left_ms("f", 1000)
        few = self._quarantine(at_ms=2000, crashes=poison.CRASHES_OF_ANSWERED - 1)
        registers[0].hear(few.take_repeats(2400)[0], 0, 2400)
        assert not registers[0].quarantine_left_ms("f", 2400)
        later = self._quarantine(at_ms=2000, crashes=poison.CRASHES_OF_ANSWERED)
        assert registers[0].hear(later.take_repeats(2500)[0], 0, 2500)
        assert registers[0].quarantine_left_ms("f", 2500)


class Callers:
    """Sends a request that crashes each group, beside one that is sound, to two registers in turn.

    Each daemon loses requests in every crash, and hears the notices of the other one.
    """

    def __init__(self) -> None:
        self.registers = [poison.PoisonRegister(), poison.PoisonRegister()]
        self.crashes = 0

    def lose(self, index: int, fingerprint: str, group: str, sent_at_ms: int, at_ms: int) -> None:
        run = poison.LostRun(sent_at_ms, at_ms)
        notice = self.registers[index].record_crash(fingerprint, group, at_ms + 100, run)
        if notice is not None:
            self.registers[1 - index].hear(notice, 0, at_ms + 100)

    def send(self, index: int, sent_at_ms: int, attempts: int, runs_ms: int) -> None:
        for attempt in range(attempts):
            sent = sent_at_ms + attempt * runs_ms
            if self.registers[index].quarantine_left_ms("bad", sent):
                return
            self.crashes += 1
            for other in (index, 1 - index):
                group = f"g{self.crashes}"
                self.lose(other, f"sound {other} {self.crashes}", group, sent, sent + runs_ms)
            self.lose(index, "bad", group, sent, sent + runs_ms)


class TestWaves:
    @pytest.mark.parametrize("attempts", [1, 2])
    def test_request_that_goes_on_to_crash_groups_after_a_wave_is_quarantined(self, attempts):
        callers = Callers()
        for index, group in itertools.product((0, 1), ("x", "y")):
            callers.lose(index, f"sound {group}", group, -200, 0)
        for turn in range(20):
            callers.send(turn % 2, 600 + 900 * turn, attempts, 300)
        assert callers.crashes <= 5
        for index, register in enumerate(callers.registers):
            assert register.quarantine_left_ms("bad", 20_000)
            for number in range(callers.crashes):
                assert not register.quarantine_left_ms(f"sound {index} {number}", 20_000)

    def test_third_crash_within_one_wave_quarantines(self):
        register = poison.PoisonRegister()
        register.record_crash("sound", "x", 0)
        assert register.record_crash("bad", "a", 400) is None
        assert not register.record_crash("bad", "b", 800).is_quarantined
        assert register.record_crash("bad", "c", 1200).is_quarantined

    def test_copies_lost_within_a_wave_make_no_suspect(self):
        register = poison.PoisonRegister()
        register.record_crash("other", "x", 0)
        for group in "aab":
            run = poison.LostRun(-50, 1)
            assert register.record_crash("sound", group, 110, run) is None
        assert not register.is_suspect("sound", 120)

    def test_answer_between_two_crashes_of_waves_ends_the_doubt(self):
        register = poison.PoisonRegister()
        register.record_crash("other", "x", 0)
        register.record_crash("sound", "a", 400)
        register.record_completed("sound", 500)
        assert register.record_crash("sound", "b", 800) is None

    def test_doubt_expires(self):
        register = poison.PoisonRegister()
        register.record_crash("other", "x", 0)
        register.record_crash("sound", "a", 400)
        later_ms = 400 + poison.SUSPECT_TTL_MS
        register.record_crash("other", "y", later_ms - 100)
        assert register.record_crash("sound", "b", later_ms) is None

    def test_doubts_are_bounded(self):
        register = poison.PoisonRegister()
        register.record_crash("other", "x", 0)
        for number in range(poison.MAX_FINGERPRINTS + 5):
            register.record_crash(str(number), "a", 0)
        assert len(register._doubts) == poison.MAX_FINGERPRINTS

    @pytest.mark.parametrize("seed", range(10))
    def test_waves_of_several_groups_at_once_quarantine_no_request(self, seed):
        """One request in three is the same one; the lost ones are answered when sent again."""
        rng = random.Random(seed)
        register = poison.PoisonRegister()
        lost = set()
        for wave in range(20):
            at_ms = 1500 * wave + rng.randrange(200)
            for group in rng.sample(range(12), 3):
                for number in range(30):
                    key = f"{wave} {group} {number}" if number % 3 else "popular"
                    run = poison.LostRun(at_ms - rng.randrange(1, 900), at_ms + rng.randrange(3))
                    confirmed_ms = at_ms + 100 + rng.randrange(300)
                    register.record_crash(key, f"{group}-{wave}", confirmed_ms, run)
                    lost.add(key)
            assert not any(register.quarantine_left_ms(key, at_ms + 400) for key in lost)
            for key in lost:
                register.record_completed(key, at_ms + 400)


class TestOrder:
    """Crashes count the same in whichever order, and however late, they are learned."""

    # Two daemons send a request to three upstreams, one after the other.
    RUNS = (
        (0, poison.LostRun(0, 45, "a/1")),
        (0, poison.LostRun(46, 90, "b/1")),
        (1, poison.LostRun(95, 140, "c/1")),
    )

    @pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
    @pytest.mark.parametrize("learned_ms", [150, 3000, 30_000])
    def test_request_that_crashed_three_upstreams_is_quarantined_everywhere(
        self, order, learned_ms
    ):
        """Runs before a peer's notice of a later crash were not counted."""
        registers = [poison.PoisonRegister(), poison.PoisonRegister()]
        for turn, number in enumerate(order):
            index, run = self.RUNS[number]
            now_ms = learned_ms + 100 * turn
            upstream = run.crash.partition("/")[0]
            notice = registers[index].record_crash("bad", upstream, now_ms, run)
            if notice is not None:
                registers[1 - index].hear(notice, 0, now_ms)
        for register in registers:
            assert register.quarantine_left_ms("bad", learned_ms + 1000)

    @pytest.mark.parametrize("delay_ms", [0, 5, 400])
    def test_copies_lost_in_one_crash_at_two_daemons_count_once(self, delay_ms):
        registers = [poison.PoisonRegister(), poison.PoisonRegister()]
        notice = registers[0].record_crash("f", "a", 3000, poison.LostRun(90, 100, "a/1"))
        registers[1].hear(notice, 0, 3000 + delay_ms)
        registers[1].record_crash("f", "a", 3500, poison.LostRun(95, 100, "a/1"))
        assert not registers[1].quarantine_left_ms("f", 4000)

    @pytest.mark.parametrize("order", list(itertools.permutations(range(2))))
    def test_both_crashes_of_a_wave_count_in_either_order(self, order):
        register = poison.PoisonRegister()
        register.record_crash("sound", "a", 3000, poison.LostRun(0, 45, "a/1"))
        runs = [("a", poison.LostRun(0, 45, "a/1")), ("b", poison.LostRun(46, 90, "b/1"))]
        for number in order:
            register.record_crash("bad", runs[number][0], 3100, runs[number][1])
        assert register.quarantine_left_ms("bad", 3200)

    def test_crash_that_is_learned_after_a_later_wave_is_the_first_of_its_own(self):
        register = poison.PoisonRegister()
        register.record_crash("sound", "x", 20_000, poison.LostRun(19_000, 19_500, "x/1"))
        run = poison.LostRun(0, 100, "a/1")
        assert register.record_crash("bad", "a", 20_100, run).crashes == 1


class TestAnsweredBefore:
    """A request that is sent often may be in flight at the crashes that another one causes."""

    def lose(self, register, count, start_ms=1000):
        notice = None
        for number in range(count):
            at_ms = start_ms + 5000 * number
            run = poison.LostRun(at_ms - 40, at_ms, f"u{number}/1")
            notice = register.record_crash("hot", f"u{number}", at_ms, run)
        return notice

    def test_request_that_was_answered_before_is_quarantined_after_more_crashes(self):
        """Two crashes by another request refused a sound one, which no answer could clear."""
        register = poison.PoisonRegister()
        register.record_completed("hot", 0)
        self.lose(register, poison.CRASHES_OF_ANSWERED - 1)
        assert not register.quarantine_left_ms("hot", 30_000)
        register = poison.PoisonRegister()
        register.record_completed("hot", 0)
        self.lose(register, poison.CRASHES_OF_ANSWERED)
        assert register.quarantine_left_ms("hot", 30_000)

    @pytest.mark.parametrize("answered_ms", [0, 8000])
    def test_peer_that_knows_an_answer_ends_the_quarantine_at_all(self, answered_ms):
        """A daemon that had served none of these requests refused them, and told the others to."""
        registers = [poison.PoisonRegister() for _ in range(3)]
        quarantine = self.lose(registers[0], 2)
        registers[2].hear(quarantine, 0, 6100)
        registers[1].record_completed("hot", answered_ms)
        registers[1].hear(quarantine, 0, 6100)
        assert not registers[1].quarantine_left_ms("hot", 9000)
        for index in (1, 0):  # The second one hears it from the first one only.
            (told,) = registers[index].take_repeats(9000 + index)
            registers[(index + 2) % 3].hear(told, 0, 9000 + index)
            assert not registers[(index + 2) % 3].quarantine_left_ms("hot", 9100)

    def test_answers_are_bounded(self):
        register = poison.PoisonRegister()
        for number in range(poison.MAX_ANSWERED + 1):
            register.record_completed(str(number), number)
        self.lose(register, 2)
        assert register.record_crash("0", "a", 40_000) is not None
        assert register.record_crash("0", "b", 50_000).is_quarantined
