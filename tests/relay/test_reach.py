"""Whether a daemon reaches any upstream."""

from tanagerfork import clock as clocks
from tanagerfork import decisions, metrics
from tanagerfork.relay import reach
from tests.relay import deployments


class TestLog:
    def test_loss_and_return_are_logged_once_each(self) -> None:
        clock, lines = clocks.ManualClock(), deployments.LineList()
        counters = metrics.Metrics()
        own_reach = reach.Reach(clock, decisions.DecisionLog("d", clock, lines), counters)
        own_reach.note_heard()
        clock.advance(700)
        for upstream_id in ("a", "a", "b", "b"):
            own_reach.note_unreached(upstream_id)
        assert not lines.lines
        own_reach.note_unreached("c")
        own_reach.note_unreached("d")
        (lost,) = lines.find("no upstream reached")
        assert b'"unreached":3' in lost and b'"silent_ms":700' in lost
        clock.advance(300)
        own_reach.note_heard()
        own_reach.note_heard()
        (again,) = lines.find("upstreams reached again")
        assert b'"away_ms":300' in again
        assert counters.counter_value("relay_reach_losses_total") == 1
