"""Tests of what is taken in from peers for decisions on requests."""

import pytest

from tanagerfork import clock as clocks
from tanagerfork.front import neighbours
from tanagerfork.peers import notices
from tanagerfork.routing import fleet, poison


class TestPoisonListener:
    @pytest.mark.parametrize(
        ("detail", "is_suspect", "is_quarantined"),
        [("1", True, False), ("2", True, True), ("", False, False), ("-1x", False, False)],
    )
    def test_notice_is_taken_in_and_garbage_is_dropped(self, detail, is_suspect, is_quarantined):
        clock = clocks.ManualClock(1000)
        register = poison.PoisonRegister()
        heard = notices.StoredNotice(neighbours.POISON, "f", detail, 61_000)
        neighbours.PoisonListener(register, clock).hear(heard)
        assert register.is_suspect("f", 1000) == is_suspect
        assert (register.quarantine_left_ms("f", 1000) > 0) == is_quarantined
        assert not register.is_suspect("f", 61_000)

    async def test_word_sent_to_this_daemon_alone_counts_at_once(self):
        clock = clocks.ManualClock(1000)
        register = poison.PoisonRegister()
        listener = neighbours.PoisonListener(register, clock)
        for garbage in (b"", b"\xff\xfe", b"x f", b"2"):
            await listener.take("peer", garbage)
        assert not register.is_suspect("f", 1000)
        await listener.take("peer", b"2 f")
        assert register.quarantine_left_ms("f", 1000) > 0


class TestPeerFleet:
    async def test_every_other_live_daemon_is_told_and_a_silent_one_holds_up_nothing(self):
        class Peers:
            def __init__(self) -> None:
                self.told: list[tuple[str, bytes]] = []

            def announce(self, kind, subject, expires_in_ms, detail) -> None:
                self.told.append(("all", detail.encode()))

            def live(self) -> list[str]:
                return ["own", "a", "b"]

            async def ask(self, peer, kind, body, timeout_ms):
                assert timeout_ms == neighbours.TELL_TIMEOUT_MS
                self.told.append((peer, body))

        peers = Peers()
        told = neighbours.PeerFleet("own", peers, clocks.ManualClock())
        await told.broadcast_poison(fleet.PoisonNotice("f", 1, False, 1000))
        assert peers.told == [("all", b"1"), ("a", b"1 f"), ("b", b"1 f")]
