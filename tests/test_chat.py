"""Tests of the answer or error that a caller receives for each upstream fault."""

import asyncio
import dataclasses

import pytest

from tanagerfork import clock as clocks
from tanagerfork.front import sink
from tanagerfork.groups import presence
from tanagerfork.routing import fleet
from tests import engines, sites
from tests.engines import CONFUSED, CRASH, HANG, LOST, REFUSED, SILENT, UNREACHABLE

COMPLETE_ANSWER = b"t1;t2;t3;t4;finish"

FAULTS = [
    ("none", [], None, "", [0]),
    ("refused, then whole", [(0, REFUSED)], None, "", [0, 0]),
    ("no connection, then whole", [(0, UNREACHABLE)], None, "", [0, 0]),
    ("lost before the first token", [(0, LOST)], None, "", [0, 0]),
    ("silent before the first token", [(0, SILENT)], None, "", [0, 0]),
    ("lost after two tokens", [(2, LOST)], None, "", [0, 2]),
    ("silent after two tokens", [(2, SILENT)], None, "", [0, 2]),
    ("confused after three tokens", [(3, CONFUSED)], None, "", [0, 3]),
    ("end marker missing", [(4, LOST)], None, "", [0, 4]),
    ("the same fault twice", [(1, SILENT), (1, SILENT)], None, "", [0, 1, 2]),
    ("two faults", [(1, LOST), (0, REFUSED), (1, SILENT)], None, "", [0, 1, 1, 2]),
    ("all refuse", [(0, REFUSED)] * 9, "not_run", "no", [0] * 4),
    ("none takes a connection", [(0, UNREACHABLE)] * 9, "not_run", "no", [0] * 4),
    ("all lost before a token", [(0, LOST)] * 9, "outcome_unknown", "unknown", [0] * 4),
    (
        "lost, then all refuse",
        [(0, LOST)] + [(0, REFUSED)] * 9,
        "outcome_unknown",
        "unknown",
        [0] * 4,
    ),
    (
        "lost for good after a token",
        [(1, LOST)] + [(0, LOST)] * 9,
        "answer_cut",
        "yes",
        [0] + [1] * 4,
    ),
]


class TestFaults:
    @pytest.mark.parametrize(("name", "script", "kind", "ran", "offsets"), FAULTS)
    async def test_caller_gets_one_complete_answer_or_one_typed_error(
        self, name, script, kind, ran, offsets
    ):
        upstreams = engines.ScriptedEngines(script=script)
        runner = engines.Runner(upstreams)
        data, error = await runner.ask()
        assert [offset for _, offset in upstreams.sent] == offsets
        if kind is None:
            assert (data, error) == (COMPLETE_ANSWER, None)
        else:
            assert (error.kind, error.ran) == (kind, ran)
            assert error.retry_after_ms > 0 and b"finish" not in data
        assert not upstreams.views or runner.balancer.sent_load.count_open("g0") == 0

    async def test_next_attempt_goes_to_another_group(self):
        upstreams = engines.ScriptedEngines(script=[(1, LOST), (1, LOST)])
        await engines.Runner(upstreams).ask()
        assert len({group for group, _ in upstreams.sent}) == 3

    @pytest.mark.parametrize("state", ["broken", "forming", "dissolved"])
    async def test_answer_resumes_on_another_group_when_its_group_is_no_longer_whole(self, state):
        upstreams = engines.ScriptedEngines(script=[(2, HANG)])
        runner = engines.Runner(upstreams)
        request_task = asyncio.ensure_future(runner.ask())
        await sites.wait_until(lambda: len(upstreams.sent) == 1)
        first = upstreams.sent[0][0]
        for group in ("other", first):
            view = dataclasses.replace(
                engines.make_view(group), state=presence.GroupState(state), missing=("vm",)
            )
            assert len(upstreams.sent) == 1
            runner.attempts.stop_group_attempts(view, presence.GroupState.WHOLE)
        data, error = await request_task
        assert (data, error) == (COMPLETE_ANSWER, None)
        assert upstreams.sent[1][0] != first

    async def test_each_attempt_names_its_group_and_generation(self):
        upstreams = engines.ScriptedEngines(script=[(1, LOST)])
        await engines.Runner(upstreams).ask()
        groups = [group for group, _ in upstreams.sent]
        assert upstreams.headers == [
            {"X-Group": group, "X-Group-Generation": "1"} for group in groups
        ]

    async def test_answer_resumes_on_the_same_model_version_only(self):
        upstreams = engines.ScriptedEngines(groups=1, script=[(2, SILENT)])
        upstreams.views += [engines.make_view("new", version="2", running=15)]
        data, error = await engines.Runner(upstreams).ask()
        assert error is None and [group for group, _ in upstreams.sent] == ["g0", "g0"]

    async def test_adapter_is_sent_only_where_it_is_loaded(self):
        upstreams = engines.ScriptedEngines()
        upstreams.views.append(engines.make_view("lora", adapters=["lora"], running=15))
        await engines.Runner(upstreams).ask(adapter="lora")
        assert upstreams.sent == [("lora", 0)]

    async def test_request_is_refused_at_once_when_no_group_is_whole(self):
        upstreams = engines.ScriptedEngines(groups=0)
        _, error = await engines.Runner(upstreams).ask()
        assert error.kind == "not_run" and error.retry_after_ms > 0 and not upstreams.sent

    async def test_retries_of_lost_requests_stop_when_the_budget_is_used_up(self):
        upstreams = engines.ScriptedEngines(groups=8, script=[(0, LOST)] * 1000)
        runner = engines.Runner(upstreams)
        for _ in range(100):
            await runner.ask()
        assert len(upstreams.sent) - 100 <= 10 + 0.2 * 100
        assert runner.metrics.counter_value("retries_over_budget_total", team="t") > 50


class TestCancel:
    @pytest.mark.parametrize("tokens", [0, 2])
    async def test_caller_disconnect_cancels_the_upstream_request(self, tokens):
        upstreams = engines.ScriptedEngines(script=[(tokens, HANG)])
        runner = engines.Runner(upstreams)
        request_task = asyncio.create_task(
            runner.chats.run(runner.call(), engines.CollectingSink())
        )
        for _ in range(10):
            await asyncio.sleep(0)
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)
        await asyncio.sleep(0)
        group = upstreams.sent[0][0]
        assert upstreams.cancelled == [group] and upstreams.closed == 1
        assert runner.balancer.sent_load.count_open(group) == 0

    async def test_failed_attempt_is_cancelled_and_a_complete_one_is_not(self):
        upstreams = engines.ScriptedEngines(script=[(2, SILENT)])
        await engines.Runner(upstreams).ask()
        await asyncio.sleep(0)
        assert upstreams.cancelled == [upstreams.sent[0][0]]


class TestPoison:
    async def test_poison_sent_20_times_through_different_daemons_crashes_twice(self):
        upstreams = engines.ScriptedEngines(groups=8, crash_on=b"poison")
        fleet = engines.BroadcastingFleet(clocks.ManualClock())
        daemons = [engines.Runner(upstreams, fleet) for _ in range(20)]
        fleet.registers = [daemon.poison for daemon in daemons]
        kinds = [(await daemon.ask(body=b"poison"))[1].kind for daemon in daemons]
        assert sum(upstreams.incarnations.values()) == 2
        assert kinds == ["quarantined"] * 20

    async def test_request_present_at_one_crash_is_served(self):
        upstreams = engines.ScriptedEngines(script=[(1, CRASH)])
        data, error = await engines.Runner(upstreams).ask()
        assert (data, error) == (COMPLETE_ANSWER, None)

    async def test_cut_connection_without_a_crash_raises_no_suspicion(self):
        upstreams = engines.ScriptedEngines(groups=5, script=[(1, LOST), (1, LOST), (1, LOST)])
        assert (await engines.Runner(upstreams).ask())[1] is None


class TestSpill:
    @pytest.mark.parametrize(
        ("free_slots", "may_spill", "sent", "kind"),
        [(5, True, ["other"], None), (0, True, [], "not_run"), (5, False, [], "not_run")],
    )
    async def test_request_spills_one_hop_to_a_daemon_with_free_slots(
        self, free_slots, may_spill, sent, kind
    ):
        upstreams = engines.ScriptedEngines(groups=0)
        telling_fleet = engines.BroadcastingFleet(clocks.ManualClock())
        telling_fleet.targets = [fleet.SpillTarget("other", "http://x", free_slots)]
        data, error = await engines.Runner(upstreams, telling_fleet).ask(may_spill=may_spill)
        assert [daemon for daemon, _ in upstreams.sent] == sent
        assert (error.kind if error else None) == kind
        assert data == (COMPLETE_ANSWER if kind is None else b"")

    async def test_interrupted_spilled_answer_ends_with_an_error(self):
        upstreams = engines.ScriptedEngines(groups=0, script=[(2, LOST)])
        telling_fleet = engines.BroadcastingFleet(clocks.ManualClock())
        telling_fleet.targets = [fleet.SpillTarget("other", "http://x", 5)]
        _, error = await engines.Runner(upstreams, telling_fleet).ask()
        assert (error.kind, error.ran) == ("answer_cut", "yes")


class TestBounds:
    async def test_answer_over_the_size_limit_is_cancelled(self):
        upstreams = engines.ScriptedEngines(length=50)
        runner = engines.Runner(upstreams)
        response_sink = sink.BufferedSink("r1", "m", {}, limit_bytes=20)
        ran = await runner.chats.run(runner.call(), response_sink)
        await asyncio.sleep(0)
        assert ran.err_value.kind == "answer_too_large"
        assert len(upstreams.sent) == 1 and len(upstreams.cancelled) == 1

    async def test_slow_caller_is_aborted_and_does_not_delay_others(self):
        class Transport:
            aborted = 0

            def abort(self) -> None:
                self.aborted += 1

        class Request:
            transport = Transport()

        class Response:
            def __init__(self, blocks: bool) -> None:
                self.blocks = blocks

            async def prepare(self, request) -> None:
                return None

            async def write(self, events: bytes) -> None:
                if self.blocks:
                    await asyncio.Event().wait()

        slow, fast = (sink.StreamSink(Request(), {}, stall_ms=50) for _ in range(2))
        slow._response, fast._response = Response(True), Response(False)
        blocked_write = asyncio.create_task(slow.write(b"x"))
        while not Request.transport.aborted:
            assert await fast.write(b"y")
            await asyncio.sleep(0.01)
        assert Request.transport.aborted == 1
        blocked_write.cancel()
        fast.close()
