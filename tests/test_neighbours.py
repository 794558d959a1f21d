"""Tests of poison notices sent to and received from peers."""

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
    def test_notice_is_applied_and_an_invalid_one_is_dropped(
        self, detail, is_suspect, is_quarantined
    ):
        clock = clocks.ManualClock(1000)
        register = poison.PoisonRegister()
        heard = notices.StoredNotice(neighbours.POISON_NOTICE, "f", detail, 61_000)
        neighbours.PoisonListener(register, clock).apply_notice(heard)
        assert register.is_suspect("f", 1000) == is_suspect
        assert (register.quarantine_left_ms("f", 1000) > 0) == is_quarantined
        assert not register.is_suspect("f", 61_000)

    async def test_direct_notice_is_applied_at_once(self):
        clock = clocks.ManualClock(1000)
        register = poison.PoisonRegister()
        listener = neighbours.PoisonListener(register, clock)
        for invalid in (b"", b"\xff\xfe", b"x f", b"2"):
            await listener.handle_message("peer", invalid)
        assert not register.is_suspect("f", 1000)
        await listener.handle_message("peer", b"2 f")
        assert register.quarantine_left_ms("f", 1000) > 0


class TestPeerFleet:
    async def test_notice_is_announced_and_sent_to_every_other_live_daemon_with_a_timeout(self):
        class Peers:
            def __init__(self) -> None:
                self.sent: list[tuple[str, bytes]] = []

            def announce(self, kind, subject, expires_in_ms, detail) -> None:
                self.sent.append(("all", detail.encode()))

            def live(self) -> list[str]:
                return ["own", "a", "b"]

            async def ask(self, peer, kind, body, timeout_ms):
                assert timeout_ms == neighbours.POISON_NOTICE_TIMEOUT_MS
                self.sent.append((peer, body))

        peers = Peers()
        peer_fleet = neighbours.PeerFleet("own", peers, clocks.ManualClock())
        await peer_fleet.broadcast_poison(fleet.PoisonNotice("f", 1, False, 1000))
        assert peers.sent == [("all", b"1"), ("a", b"1 f"), ("b", b"1 f")]
