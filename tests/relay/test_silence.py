"""When a member that does not answer counts as lost."""

from tanagerfork.relay import members, observations, silence
from tests.relay import test_planner


def observe(
    upstream_id: str, failed_probes: int, reported_at_ms: float
) -> observations.Observation:
    """Return an upstream whose unanswered probes began at 1,000 ms; the second was at 1,400 ms."""
    seen = observations.Observation(test_planner.make_status(upstream_id).upstream, 0)
    seen.reported_at_ms = reported_at_ms
    seen.probed_at_ms = 1000
    for _ in range(failed_probes):
        seen.note_failed_probe(is_refused=True, now_ms=seen.probed_at_ms)
        seen.probed_at_ms += 400
    return seen


def find_lost(
    seen: list[observations.Observation], reached_at_ms: float = 0.0, probed: int = 100
) -> set[str]:
    by_id = {one.upstream.id: one for one in seen}
    return silence.find_lost(
        by_id, seen[:probed], lambda service, time_ms: reached_at_ms >= time_ms
    )


class TestLost:
    def test_silent_member_is_lost_where_half_of_the_others_answered_since(self) -> None:
        others = [observe(f"o{n}", 0, reported_at_ms=1000 if n < 2 else 999) for n in range(4)]
        assert find_lost([observe("m", 2, 900), *others], reached_at_ms=1400) == {"m"}

    def test_no_member_is_lost_where_no_new_connection_was_answered_since(self) -> None:
        for count in (1, 4):
            others = [observe(f"o{n}", 0, reported_at_ms=2000) for n in range(count)]
            assert not find_lost([observe("m", 2, 900), *others], reached_at_ms=1399)

    def test_no_member_is_lost_where_fewer_others_answered_since(self) -> None:
        others = [observe(f"o{n}", 0, reported_at_ms=1000 if n < 1 else 999) for n in range(4)]
        assert not find_lost([observe("m", 2, 900), *others], reached_at_ms=5000)

    def test_no_member_is_lost_where_all_are_silent(self) -> None:
        """The first members are silent some time before the rest is."""
        seen = [observe(f"m{n}", 2 if n < 2 else 1, reported_at_ms=900) for n in range(10)]
        assert not find_lost(seen, reached_at_ms=5000)

    def test_of_few_members_one_is_lost_where_a_check_was_answered_since(self) -> None:
        pair = [observe("m", 2, 900), observe("o", 0, 999)]
        assert find_lost(pair, reached_at_ms=1400) == {"m"}
        assert not find_lost(pair, reached_at_ms=1399)

    def test_of_few_members_a_check_of_other_upstreams_suffices(self) -> None:
        pair = [observe("m", 2, 900), observe("n", 2, 900)]
        assert not find_lost(pair, reached_at_ms=1399)
        assert find_lost(pair, reached_at_ms=1400) == {"m", "n"}

    def test_one_unanswered_probe_is_not_silence(self) -> None:
        others = [observe(f"o{n}", 0, 2000) for n in range(4)]
        assert not find_lost([observe("m", 1, 900), *others], reached_at_ms=5000)


class TestIsolation:
    def test_daemon_is_isolated_where_most_of_several_members_are_silent(self) -> None:
        seen = [observe(f"m{n}", 2 if n < 3 else 0, 900) for n in range(5)]
        assert silence.is_majority_silent(seen)
        assert not silence.is_majority_silent(seen[1:])
        assert not silence.is_majority_silent(seen[:3])


class TestSilent:
    @staticmethod
    def fail(is_refused: bool, times_ms: tuple[int, ...]) -> bool:
        seen = observe("m", 0, 900)
        for time_ms in times_ms:
            seen.note_failed_probe(is_refused, time_ms)
        return seen.is_silent

    def test_two_refused_probes_are_enough(self) -> None:
        assert not self.fail(True, (1400,)) and self.fail(True, (1400, 1800))

    def test_unanswered_probes_count_after_more_than_a_second(self) -> None:
        assert not self.fail(False, (1400, 1800, 2200)) and self.fail(False, (1400, 1800, 2500))

    def test_answer_ends_the_silence(self) -> None:
        seen = observe("m", 3, 900)
        seen.note_report(members.Report(1, 0, False, (), None, 1.0, 0, 0), 2600)
        assert not seen.is_silent and not seen.failed_probes
