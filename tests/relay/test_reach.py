"""Whether a daemon reaches any upstream: when it checks, whom it asks, and what it concludes."""

import asyncio
import random
import time

import pytest
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors, metrics
from tanagerfork.relay import fleet, loads, members, reach, reach_checks
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

    def __init__(self, seed: int = 1) -> None:
        self.clock, self.lines = clocks.ManualClock(), deployments.LineList()
        self.counters = metrics.Metrics()
        log = decisions.DecisionLog("d", self.clock, self.lines)
        self.reach = reach.Reach(self.clock, random.Random(seed), log, self.counters)

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

    def rank(
        self, setting: Setting, upstreams: list[members.Upstream], **heard_ms: float
    ) -> list[members.Upstream]:
        def find_heard_ms(upstream_id: str) -> float:
            return heard_ms.get(upstream_id, loads.NEVER_MS)

        return setting.reach.rank_upstreams(SERVICE, upstreams, find_heard_ms)

    def test_each_failure_domain_is_asked(self) -> None:
        setting = Setting()
        upstreams = [*make_upstreams(5, "a"), *make_upstreams(1, "b"), *make_upstreams(9, "c")]
        ranked = self.rank(setting, upstreams)
        assert {one.failure_domain for one in ranked[:3]} == {"a", "b", "c"}
        assert sorted(one.id for one in ranked) == sorted(one.id for one in upstreams)
        setting.check(is_any_answered=False)
        ranked = self.rank(setting, upstreams)
        assert sorted(one.failure_domain for one in ranked) == ["a", "a", "b", "c"]
        assert not setting.reach.rank_upstreams("other", upstreams, lambda _: loads.NEVER_MS)

    def test_probes_of_a_check_are_bounded(self) -> None:
        setting = Setting()
        upstreams = [one for n in range(37) for one in make_upstreams(270, f"z{n}-")]
        ranked = self.rank(setting, upstreams)
        assert len(ranked) == 74 and len({one.failure_domain for one in ranked[:37]}) == 37
        assert len(self.rank(setting, make_upstreams(10_000, "a"))) == reach.MIN_ASKED
        setting.check(is_any_answered=False)
        assert len(self.rank(setting, upstreams)) == 37
        assert len(self.rank(setting, make_upstreams(10_000, "a"))) == reach.MIN_RECHECKED

    def test_upstreams_that_answered_last_are_asked_first(self) -> None:
        setting = Setting()
        upstreams = [*make_upstreams(50, "a"), *make_upstreams(50, "b")]
        ranked = self.rank(setting, upstreams, a7=90.0, b3=95.0, a8=10.0)
        assert [one.id for one in ranked[:2]] == ["b3", "a7"]
        setting.clock.advance(100)
        setting.reach.end_check(SERVICE, 2, is_any_answered=True, answered_id="a9")
        ranked = self.rank(setting, upstreams, a7=90.0, b3=95.0)
        assert [one.id for one in ranked[:2]] == ["a9", "b3"]

    def test_all_upstreams_are_asked_in_turn_while_cut_off(self) -> None:
        setting, asked = Setting(), set()
        upstreams = make_upstreams(20, "a")
        setting.check(is_any_answered=False)
        for _ in range(9):
            setting.clock.advance(reach.RECHECK_INTERVAL_MS)
            for one in self.rank(setting, upstreams, a1=5.0, a2=4.0):
                setting.reach.note_asked(one)
                asked.add(one.id)
        assert len(asked) == 20

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


class LateClient(FakeClient):
    """Holds the event loop up, for longer than a check takes, in the first probes."""

    def __init__(
        self,
        answers: dict[str, result.Result[members.Report, errors.UpstreamError]],
        late_probes: int,
    ) -> None:
        super().__init__(answers)
        self.late_probes = late_probes

    async def probe(
        self, upstream: members.Upstream
    ) -> result.Result[members.Report, errors.UpstreamError]:
        self.asked.append(upstream.id)
        if len(self.asked) <= self.late_probes:
            asyncio.get_running_loop().call_soon(time.sleep, 0.05)
            await asyncio.sleep(0.001)  # The answer is there by then, but the time limit passes.
        return self.answers[upstream.id]


def make_checks(
    setting: Setting, view: fleet.Fleet, client: FakeClient, book: loads.LoadBook | None = None
) -> reach_checks.ReachChecks:
    find_heard_ms = (book or loads.LoadBook()).find_heard_ms
    return reach_checks.ReachChecks(setting.reach, view, client, find_heard_ms, setting.clock)


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
        checks = make_checks(setting, view, client)
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
        checks = make_checks(setting, view, client)
        assert await checks.confirm(SERVICE)
        client.answers.clear()  # Cut off just after a check that passed.
        setting.clock.advance(1)
        assert not await checks.confirm(SERVICE)
        client.answers["a0"] = result.Ok(REPORT)
        setting.clock.advance(1)
        assert await checks.confirm(SERVICE)

    @pytest.mark.parametrize("dead, domains", [(3, 1), (3, 2), (20, 1)])
    @pytest.mark.parametrize("is_silent", [False, True])
    async def test_dead_upstreams_beside_two_live_ones_do_not_cut_off(
        self, dead: int, domains: int, is_silent: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reach_checks, "CHECK_TIMEOUT_MS", 20)
        monkeypatch.setattr(reach_checks, "BATCH_INTERVAL_MS", 2)
        refused = result.Err(errors.UpstreamUnreachable("refused; go elsewhere"))
        for seed in range(10):
            setting, view = Setting(seed), fleet.Fleet()
            upstreams = [one for n in range(domains) for one in make_upstreams(dead + 2, f"d{n}-")]
            view.update_list(upstreams, 0)
            client = FakeClient({} if is_silent else {one.id: refused for one in upstreams})
            for upstream in upstreams[-2:]:
                client.answers[upstream.id] = result.Ok(REPORT)
            checks = make_checks(setting, view, client)
            for _ in range(3):
                setting.clock.advance(reach.CHECK_INTERVAL_MS)
                checks.doubt(SERVICE)
                await checks.settle(SERVICE)
                assert not setting.reach.cut_off_services
            assert len(client.asked) <= 3 * len(upstreams)

    async def test_check_ends_with_the_first_answer(self) -> None:
        setting, view, book = Setting(), fleet.Fleet(), loads.LoadBook()
        upstreams = make_upstreams(100, "a")
        view.update_list(upstreams, 0)
        book.note_load("a5", None, 0.0)
        client = FakeClient({one.id: result.Ok(REPORT) for one in upstreams})
        checks = make_checks(setting, view, client, book)
        assert await checks.confirm(SERVICE)
        assert "a5" in client.asked and len(client.asked) == reach_checks.FIRST_BATCH

    @pytest.mark.parametrize("is_refused", [False, True])
    async def test_bytes_of_an_open_request_count_unless_connections_are_refused(
        self, is_refused: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reach_checks, "CHECK_TIMEOUT_MS", 20)
        setting, view, book = Setting(), fleet.Fleet(), loads.LoadBook()
        view.update_list(make_upstreams(3, "a"), 0)
        refused = result.Err(errors.UpstreamUnreachable("refused; go elsewhere"))
        client = FakeClient({f"a{n}": refused for n in range(3)} if is_refused else {})
        checks = make_checks(setting, view, client, book)
        setting.clock.advance(100)
        book.note_load("a1", None, 99.0)
        assert not await checks.confirm(SERVICE)
        setting.clock.advance(reach.RECHECK_INTERVAL_MS)
        confirmation = asyncio.create_task(checks.confirm(SERVICE))
        await asyncio.sleep(0)
        book.note_load("a1", None, setting.clock.monotonic_ms())
        assert await confirmation == (not is_refused)

    @pytest.mark.parametrize("late_rounds", [1, 2, 3])
    async def test_silence_while_the_event_loop_is_late_is_asked_about_again(
        self, late_rounds: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(reach_checks, "CHECK_TIMEOUT_MS", 20)
        setting, view = Setting(), fleet.Fleet()
        view.update_list(make_upstreams(1, "a"), 0)
        client = LateClient({"a0": result.Ok(REPORT)}, late_rounds)
        assert await make_checks(setting, view, client).confirm(SERVICE) == (late_rounds < 3)
        assert len(client.asked) == min(late_rounds + 1, reach_checks.MAX_ROUNDS)
