"""Whether a daemon reaches any upstream: when it checks, whom it asks, and what it concludes."""

import asyncio
import random

import pytest
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors, metrics
from tanagerfork.relay import fleet, members, reach, reach_checks
from tests.relay import deployments

SERVICE = "writer"
REPORT = members.Report(1, 0, False, (), None, 1.0, 0, 0)


def make_upstreams(count: int, failure_domain: str) -> list[members.Upstream]:
    return [
        members.Upstream(f"{failure_domain}{n}", SERVICE, "", failure_domain, False, 13)
        for n in range(count)
    ]


class Setting:
    """A reach with a clock that is advanced by hand."""

    def __init__(self) -> None:
        self.clock, self.lines = clocks.ManualClock(), deployments.LineList()
        self.counters = metrics.Metrics()
        log = decisions.DecisionLog("d", self.clock, self.lines)
        self.reach = reach.Reach(self.clock, random.Random(1), log, self.counters)

    def check(self, is_any_answered: bool) -> None:
        self.reach.begin_check(SERVICE)
        self.reach.end_check(SERVICE, 4, is_any_answered)


class TestDecision:
    def test_check_is_due_after_a_failure_and_not_too_often(self) -> None:
        setting = Setting()
        assert not setting.reach.needs_check(SERVICE)
        setting.reach.note_unreached(SERVICE)
        assert setting.reach.needs_check(SERVICE) and not setting.reach.needs_check("other")
        setting.check(is_any_answered=True)
        setting.clock.advance(1)
        setting.reach.note_unreached(SERVICE)
        assert not setting.reach.needs_check(SERVICE)
        setting.clock.advance(reach.CHECK_INTERVAL_MS)
        assert setting.reach.needs_check(SERVICE)

    def test_daemon_is_cut_off_until_an_upstream_answers(self) -> None:
        setting = Setting()
        setting.check(is_any_answered=True)
        assert not setting.reach.is_cut_off(SERVICE)
        setting.check(is_any_answered=False)
        assert setting.reach.is_cut_off(SERVICE) and not setting.reach.is_cut_off("other")
        assert setting.reach.cut_off_services == [SERVICE]
        setting.clock.advance(reach.RECHECK_INTERVAL_MS)
        assert setting.reach.needs_check(SERVICE)
        setting.check(is_any_answered=False)
        setting.clock.advance(reach.RECHECK_INTERVAL_MS)
        setting.check(is_any_answered=True)
        assert not setting.reach.cut_off_services

    def test_service_without_upstreams_is_not_cut_off(self) -> None:
        setting = Setting()
        setting.reach.begin_check(SERVICE)
        setting.reach.end_check(SERVICE, 0, is_any_answered=False)
        assert not setting.reach.is_cut_off(SERVICE)

    def test_each_failure_domain_is_asked(self) -> None:
        setting = Setting()
        upstreams = [*make_upstreams(5, "a"), *make_upstreams(1, "b"), *make_upstreams(9, "c")]
        drawn = setting.reach.draw_sample(SERVICE, upstreams)
        assert sorted(one.failure_domain for one in drawn) == ["a", "a", "b", "c", "c"]
        setting.check(is_any_answered=False)
        drawn = setting.reach.draw_sample(SERVICE, upstreams)
        assert sorted(one.failure_domain for one in drawn) == ["a", "b", "c"]
        assert not setting.reach.draw_sample("other", upstreams)

    def test_loss_and_return_are_logged_once_each(self) -> None:
        setting = Setting()
        setting.check(is_any_answered=False)
        setting.clock.advance(700)
        setting.check(is_any_answered=False)
        setting.check(is_any_answered=True)
        setting.check(is_any_answered=True)
        (lost,) = setting.lines.find("no upstream reached", SERVICE)
        assert b'"asked":4' in lost
        (again,) = setting.lines.find("upstreams reached again")
        assert b'"away_ms":700' in again
        assert setting.counters.counter_value("relay_reach_losses_total") == 1


class FakeClient:
    """Answers probes with what is given for each upstream, or never."""

    def __init__(self, answers: dict[str, result.Result[members.Report, errors.UpstreamError]]):
        self.answers = answers
        self.asked: list[str] = []

    async def probe(
        self, upstream: members.Upstream
    ) -> result.Result[members.Report, errors.UpstreamError]:
        self.asked.append(upstream.id)
        if upstream.id not in self.answers:
            await asyncio.Event().wait()
        return self.answers[upstream.id]

    async def send_order(self, order, fencing, order_count):
        raise NotImplementedError


class TestChecks:
    @pytest.mark.parametrize(
        "answer, is_cut_off",
        [
            (result.Ok(REPORT), False),
            (result.Err(errors.UpstreamConfused("status 421; probe again")), False),
            (result.Err(errors.UpstreamUnreachable("refused; go elsewhere")), True),
            (result.Err(errors.UpstreamLost("reset; go elsewhere")), True),
            (None, True),
        ],
    )
    async def test_any_answer_shows_that_the_service_is_reached(
        self, answer: result.Result | None, is_cut_off: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reach_checks, "CHECK_TIMEOUT_MS", 20)
        setting, view = Setting(), fleet.Fleet()
        view.update_list([*make_upstreams(1, "a"), *make_upstreams(1, "b")], 0)
        client = FakeClient({"a0": answer} if answer else {})
        checks = reach_checks.ReachChecks(setting.reach, view, client, setting.clock)
        await checks.settle(SERVICE)
        assert not client.asked
        setting.reach.note_unreached(SERVICE)
        await asyncio.gather(checks.settle(SERVICE), checks.settle(SERVICE))
        assert sorted(client.asked) == ["a0", "b0"]
        assert setting.reach.is_cut_off(SERVICE) == is_cut_off

    async def test_confirmation_waits_for_a_check_that_begins_after_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reach_checks, "CHECK_TIMEOUT_MS", 20)
        setting, view = Setting(), fleet.Fleet()
        view.update_list(make_upstreams(1, "a"), 0)
        client = FakeClient({"a0": result.Ok(REPORT)})
        checks = reach_checks.ReachChecks(setting.reach, view, client, setting.clock)
        assert await checks.confirm(SERVICE)
        client.answers.clear()  # Cut off just after a check that passed.
        setting.clock.advance(1)
        assert not await checks.confirm(SERVICE)
        client.answers["a0"] = result.Ok(REPORT)
        setting.clock.advance(1)
        assert await checks.confirm(SERVICE)
