"""Crash evidence in the notices between daemons."""

import msgspec
import pytest

from tanagerfork.generated import notices
from tanagerfork.relay import cohorts, part_notices, peers
from tanagerfork.relay import daemon as daemons
from tanagerfork.routing import crash_evidence, part_quarantines
from tests.relay import deployments


def make_notice(loads: int = 0) -> notices.Notice:
    return notices.Notice(
        daemon="edge-teluk-intan-39",
        rules_version=100,
        loads=[
            notices.OpenLoad(upstream=f"i-{number:010x}", requests=13, unread_tokens=20_000)
            for number in range(loads)
        ],
        silent=[],
    )


class TestNotices:
    def test_evidence_and_quarantines_reach_a_daemon_by_its_own_clock(self) -> None:
        teller, receiver = crash_evidence.CrashEvidence(), crash_evidence.CrashEvidence()
        teller.record_crash(("bad",), "u0/1", "r0", 900, 1000)
        for number in range(3):
            at_ms = 1000 + 200 * number
            teller.record_crash(("worse",), f"v{number}/1", f"s{number}", at_ms, at_ms)
        now_ms = 1400 + crash_evidence.SETTLE_MS
        teller.record_crash(("bad",), "u1/1", "r1", now_ms, now_ms)
        notice = make_notice()
        part_notices.add_to_notice(notice, teller, now_ms)
        frame = msgspec.msgpack.encode(notice)
        received = msgspec.msgpack.decode(frame, type=notices.Notice)
        part_notices.hear(received, receiver, 70_000)
        assert [set(item.parts) for item in receiver.list_quarantines(70_000)] == [{"worse"}]
        told = receiver.list_recent(70_000, with_heard=True)
        assert told == [crash_evidence.PartCrash("bad", "u1/1", "r1", 70_000)]

    def test_parts_that_are_refused_together_reach_a_daemon(self) -> None:
        teller, receiver = crash_evidence.CrashEvidence(), crash_evidence.CrashEvidence()
        for number in range(3):
            at_ms = 400.0 * number
            teller.record_crash(("first", "bad"), f"u{number}", f"r{number}", at_ms, at_ms)
        notice = make_notice()
        part_notices.add_to_notice(notice, teller, 3000)
        assert not notice.quarantined_parts  # Earlier builds would refuse each of them.
        part_notices.hear(notice, receiver, 70_000)
        assert [set(one.parts) for one in receiver.list_quarantines(70_000)] == [{"first", "bad"}]

    @pytest.mark.parametrize("crashes, sets", [("abc", [{"bad", "first"}]), ("xyz", None)])
    def test_parts_that_an_earlier_build_found_by_the_same_crashes_are_refused_together(
        self, crashes: str, sets: list[set[str]] | None
    ) -> None:
        notice, evidence = make_notice(), crash_evidence.CrashEvidence()
        for part, crashed in (("first", "abc"), ("bad", crashes)):
            notice.quarantined_parts.append(
                notices.QuarantinedPart(
                    part=part, crashes=list(crashed), age_ms=0, expires_in_ms=1000
                )
            )
        part_notices.hear(notice, evidence, 70_000)
        found = [set(one.parts) for one in evidence.list_quarantines(70_000)]
        assert found == (sets or [{"first"}, {"bad"}])

    def test_largest_notice_of_a_large_fleet_is_accepted(self) -> None:
        evidence = crash_evidence.CrashEvidence()
        for number in range(5):
            part = f"{number:032x}"
            crashes = frozenset(f"i-{crash:010x}/1764849600000" for crash in range(100))
            evidence.hear_quarantine(
                part_quarantines.PartQuarantine(
                    frozenset((part,)), crashes, 0, crash_evidence.QUARANTINE_TTL_MS
                ),
                1,
            )
        sets = part_notices.MAX_PARTS // 2 + 5
        for number in range(sets):
            pair = frozenset((f"{number:064x}", f"{number + sets:064x}"))
            evidence.hear_quarantine(
                part_quarantines.PartQuarantine(
                    pair, frozenset(("u/1",)), 0, crash_evidence.QUARANTINE_TTL_MS
                ),
                1,
            )
        for number in range(2 * crash_evidence.MAX_TOLD):
            crash = f"i-{number:010x}/1764849600000"
            evidence.record_crash((f"{number + 9:032x}",), crash, "0123456789abcdef", 1, 1)
        notice = make_notice(loads=500)
        part_notices.add_to_notice(notice, evidence, 2)
        assert len(notice.crashed_parts) == crash_evidence.MAX_TOLD
        assert len(notice.quarantined_parts) == 5
        assert sum(len(told.parts) for told in notice.quarantines) == part_notices.MAX_PARTS
        assert len(msgspec.msgpack.encode(notice)) < peers.MAX_NOTICE_BYTES


class TestLargeFleet:
    async def test_crashes_seen_by_daemons_of_two_cohorts_add_up_at_all(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Cohorts of three: the third daemon of each is no source, and hears sums only."""
        monkeypatch.setattr(peers, "FANOUT", 1)
        monkeypatch.setattr(cohorts, "COHORT_SIZE", 3)
        async with deployments.deploy(engines=0, plain=0, daemon_count=6) as deployed:
            await deployed.wait_until(
                lambda: all(len(daemon.directory.daemons) == 6 for daemon in deployed.daemons),
                "six daemons",
            )
            for number, index in enumerate((2, 5, 0)):
                daemon = deployed.daemons[index]
                now_ms = daemon.clock.monotonic_ms()
                at_ms = now_ms - 400 + 100 * number
                daemon.evidence.record_crash(("bad",), f"u{number}/1", f"r{number}", at_ms, now_ms)

            def find_parts(daemon: daemons.RelayDaemon) -> list[str]:
                now_ms = daemon.clock.monotonic_ms()
                found = daemon.evidence.list_quarantines(now_ms)
                return ["+".join(sorted(item.parts)) for item in found]

            await deployed.wait_until(
                lambda: all(find_parts(daemon) == ["bad"] for daemon in deployed.daemons),
                "all daemons refuse the part",
            )
