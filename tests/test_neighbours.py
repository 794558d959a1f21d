"""Tests of what is taken in from peers for decisions on requests."""

import pytest

from tanagerfork import clock as clocks
from tanagerfork.front import neighbours
from tanagerfork.peers import notices
from tanagerfork.routing import poison


class TestPoisonListener:
    @pytest.mark.parametrize(
        ("detail", "is_suspect", "is_quarantined"),
        [("1", True, False), ("2", True, True), ("", False, False), ("-1x", False, False)],
    )
    def test_notice_is_taken_in_and_garbage_is_dropped(self, detail, is_suspect, is_quarantined):
        clock = clocks.ManualClock(1000)
        register = poison.PoisonRegister()
        heard = notices.HeardNotice(neighbours.POISON, "f", detail, 61_000)
        neighbours.PoisonListener(register, clock).hear(heard)
        assert register.is_suspect("f", 1000) == is_suspect
        assert (register.quarantine_left_ms("f", 1000) > 0) == is_quarantined
        assert not register.is_suspect("f", 61_000)
