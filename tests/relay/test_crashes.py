"""Quarantine of requests that crash the upstreams that run them."""

import asyncio
import time

import pytest
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors, metrics
from tanagerfork.platform import runners
from tanagerfork.relay import crashes, members, peers, quarantine
from tanagerfork.relay import daemon as daemons
from tanagerfork.routing import crash_evidence, poison
from tanagerfork.routing import fleet as fleets
from tanagerfork_standins import transports
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments

CRASHES, RESETS = runner.Fault.CRASHES, runner.Fault.RESETS


class TestPoison:
    async def test_second_crash_quarantines_the_request_at_every_daemon(self) -> None:
        async with deployments.deploy(engines=0, plain=3, daemon_count=2) as deployed:
            await deployed.wait_for_rules()
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].directory.daemons) == 2, "daemons know each other"
            )
            shared_faults = [CRASHES] * 2
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            assert (await deployed.ask("/safe/poison")).status == 502
            await deployed.wait_until(
                lambda: len(deployed.log.find("request suspected", '"crashes":2')) >= 2,
                "both daemons know",
            )
            runs = sum(len(member.requests) for member in deployed.site.plain_runners)
            for _ in range(2):
                response = await deployed.ask("/safe/poison")
                assert response.status == 503 and float(response.headers["Retry-After"]) > 0
                deployed.daemons.reverse()
            assert sum(len(member.requests) for member in deployed.site.plain_runners) == runs
            assert (await deployed.ask("/safe/other")).status == 200

    async def test_request_that_crashes_all_upstreams_of_its_service_is_quarantined(self) -> None:
        """A lookup that crashed all upstreams of its service crashed them again when it came."""
        async with deployments.deploy(engines=0, plain=3, daemon_count=2) as deployed:
            await deployed.wait_for_rules()
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].directory.daemons) == 2, "daemons know each other"
            )
            shared_faults = [runner.Fault.EXITS] * 3
            for member in deployed.site.plain_runners:
                member.faults, member.down_s = shared_faults, 1.5
            assert (await deployed.ask("/safe/poison")).status == 502
            assert (await deployed.ask("/safe/poison", daemon=1)).status in (502, 503)
            await deployed.wait_until(
                lambda: all(
                    daemon.suspects.list_quarantines(daemon.clock.monotonic_ms(), 1)
                    for daemon in deployed.daemons
                ),
                "both daemons know",
            )
            for index in range(2):
                response = await deployed.ask("/safe/poison", daemon=index)
                assert response.status == 503 and b"quarantined" in response.body
            assert (await deployed.ask("/safe/other")).status == 200

    async def test_failure_between_two_crashes_does_not_clear_the_request(self) -> None:
        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            member = deployed.site.plain_runners[0]
            member.faults = [CRASHES, runner.Fault.FAILS, CRASHES]
            statuses = []
            for crashes in (1, 1, 2):
                statuses.append((await deployed.ask("/unsafe/poison", "POST")).status)
                await deployed.wait_until(
                    lambda count=crashes: deployed.log.find(
                        "request suspected", f'"crashes":{count}'
                    ),
                    "the crash is noticed",
                )
            assert statuses == [502, 500, 502]
            assert (await deployed.ask("/unsafe/poison", "POST")).status == 503
            assert len(member.requests) == 3

    async def test_lost_responses_do_not_quarantine_the_request(self) -> None:
        async with deployments.deploy(engines=0, plain=3) as deployed:
            await deployed.wait_for_rules()
            shared_faults = [RESETS] * 4
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            for _ in range(2):
                assert (await deployed.ask("/safe/x")).status == 502
            await asyncio.sleep(0.3)
            assert (await deployed.ask("/safe/x")).status == 200

    async def test_probe_that_times_out_as_the_event_loop_is_late_shows_no_crash(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        probe, probed = runners.RunnerClient.probe, []

        async def probe_late(client: runners.RunnerClient, upstream: members.Upstream) -> object:
            if not probed:
                asyncio.get_running_loop().call_soon(time.sleep, 0.6)
            probed.append(upstream.id)
            return await probe(client, upstream)

        async with deployments.deploy(engines=0, plain=1) as deployed:
            await deployed.wait_for_rules()
            monkeypatch.setattr(runners.RunnerClient, "probe", probe_late)
            deployed.site.plain_runners[0].faults = [RESETS]
            assert (await deployed.ask("/safe/x")).status == 502
            await deployed.wait_until(lambda: len(probed) >= 2, "a second look")
            await asyncio.sleep(0.3)
            assert not deployed.log.find("request lost in a crash")

    @pytest.mark.parametrize("fanout", [24, 1])
    async def test_daemons_that_start_later_refuse_the_request(
        self, monkeypatch: pytest.MonkeyPatch, fanout: int
    ) -> None:
        """With a fan-out of 1 the daemons count as a large fleet, whose sources pass notices on."""
        monkeypatch.setattr(peers, "FANOUT", fanout)
        monkeypatch.setattr(quarantine, "MAX_REQUESTS", 0)  # Else they learn it from the store.
        async with deployments.deploy(engines=0, plain=3) as deployed:
            await deployed.wait_for_rules()
            shared_faults = [CRASHES] * 2
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            assert (await deployed.ask("/safe/poison")).status == 502
            await deployed.wait_until(
                lambda: deployed.log.find("request suspected", '"crashes":2'), "the quarantine"
            )
            runs = sum(len(member.requests) for member in deployed.site.plain_runners)
            for count in (4, 5):
                while len(deployed.daemons) < 5:
                    await deployed.add_daemon()
                await deployed.wait_until(
                    lambda count=count: len(deployed.log.find("request suspected", "told_by"))
                    == count,
                    "all know",
                )
                await deployed.daemons.pop(0).stop()
            for index in range(4):
                assert (await deployed.ask("/safe/poison", daemon=index)).status == 503
            assert sum(len(member.requests) for member in deployed.site.plain_runners) == runs
            assert (await deployed.ask("/safe/other")).status == 200


class TestPausedUpstreams:
    """Two upstreams fall silent, one after the other, and reset the stream that they have."""

    LEARN_S = 3.0  # After the second reset.

    async def _lose_stream_twice(self, deployed: deployments.Deployment) -> list[runner.Runner]:
        """Send a stream, and pause and reset each upstream that gets it; return those."""
        view, runners = deployed.daemons[0].view, deployed.site.engine_runners
        await deployed.wait_until(
            lambda: len(view.list_groups(site.ENGINE_SERVICE, site.SMALL_MODEL)) >= 3, "groups"
        )
        for member in runners:
            member.events = 100
        asked = asyncio.create_task(deployed.ask("/stream/x", "POST"))
        paused: list[runner.Runner] = []
        for _ in range(2):
            await deployed.wait_until(
                lambda: any(one._open_streams for one in runners if one not in paused),
                "the stream is sent",
            )
            await asyncio.sleep(0.1)
            head = next(one for one in runners if one._open_streams and one not in paused)
            head.answer_gate.clear()
            paused.append(head)
            for transport in head._open_streams:
                transports.reset(transport)
        assert not (await asked).is_whole
        return paused

    async def test_request_is_not_quarantined_if_the_upstreams_go_on(self) -> None:
        async with deployments.deploy(engines=6, plain=0) as deployed:
            paused = await self._lose_stream_twice(deployed)
            await asyncio.sleep(1.2)
            for member in paused:
                member.answer_gate.set()
            response = await deployed.ask("/stream/x", "POST")
            assert response.status == 200 and response.is_whole
            await asyncio.sleep(1)
            assert not deployed.log.find("request lost in a crash")

    async def test_request_is_quarantined_if_the_upstreams_stay_dark(self) -> None:
        async with deployments.deploy(engines=6, plain=0) as deployed:
            await self._lose_stream_twice(deployed)
            await deployed.wait_until(
                lambda: deployed.log.find("request suspected", '"crashes":2'),
                "the quarantine",
                self.LEARN_S,
            )
            response = await deployed.ask("/stream/x", "POST")
            assert response.status == 503 and b"quarantined" in response.body


UPSTREAM = members.Upstream("u0", "writer", "", "a", False, 13, born_at_ms=1)
SAME_START = result.Ok(members.Report(1, 0, False, (), None, 1.0, 0, 0))
NEW_START = result.Ok(members.Report(2, 0, False, (), None, 1.0, 0, 0))
LATER_START = result.Ok(members.Report(3, 0, False, (), None, 1.0, 0, 0))
REFUSED = result.Err(errors.UpstreamUnreachable("refused; go elsewhere"))
SILENT = result.Err(errors.UpstreamSilent("no answer in time; go elsewhere"))
NO_CONNECTION = result.Err(errors.ConnectTimedOut("takes no connection; go elsewhere"))
BROKEN = result.Err(errors.UpstreamLost("broke off; go elsewhere"))
NO_REPORT = result.Err(errors.UpstreamConfused("status 503; probe again"))
UNANSWERED = [SILENT, NO_CONNECTION, BROKEN, NO_REPORT]


class SteppedClock(clocks.ManualClock):
    """Sleeps end at once and advance it."""

    async def sleep_ms(self, duration_ms: float) -> None:
        self.advance(round(duration_ms))
        await asyncio.sleep(0)


class FakeUpstream:
    """Gives one answer to probes until a time, and another one from then on."""

    PROBE_TIMEOUT_MS = 400

    def __init__(
        self, clock: SteppedClock, first: result.Result, until_ms: float, then: result.Result
    ) -> None:
        self.clock = clock
        self.first, self.until_ms, self.then = first, until_ms, then
        self.probes = 0

    async def probe(
        self, upstream: members.Upstream
    ) -> result.Result[members.Report, errors.UpstreamError]:
        self.probes += 1
        if self.first in (SILENT, NO_CONNECTION):
            left_ms = self.until_ms - self.clock.monotonic_ms()
            await self.clock.sleep_ms(max(0, min(left_ms, self.PROBE_TIMEOUT_MS)))
        return self.first if self.clock.monotonic_ms() < self.until_ms else self.then

    async def send_order(self, order, fencing, order_count):
        raise NotImplementedError


class FakeReachChecks:
    """Reaches an upstream of the service from a time on."""

    def __init__(self, clock: clocks.Clock, reached_ms: float) -> None:
        self.clock, self.reached_ms = clock, reached_ms

    def is_cut_off(self, service: str) -> bool:
        return self.clock.monotonic_ms() < self.reached_ms

    async def confirm(self, service: str) -> bool:
        return not self.is_cut_off(service)


class Setting:
    """A watch of one upstream, which has just broken off a response."""

    def __init__(
        self,
        first: result.Result,
        until_ms: float = 0,
        then: result.Result = SAME_START,
        reached_ms: float = 0,
    ) -> None:
        self.clock, lines = SteppedClock(), deployments.LineList()
        self.upstream = FakeUpstream(self.clock, first, until_ms, then)
        self.reach_checks = FakeReachChecks(self.clock, reached_ms)
        self.announced: list[fleets.PoisonNotice] = []
        self.counters = metrics.Metrics()
        self.watch = crashes.CrashWatch(
            poison.PoisonRegister(),
            crash_evidence.CrashEvidence(),
            self.upstream,
            self.reach_checks,
            self.announced.append,
            self.clock,
            decisions.DecisionLog("d", self.clock, lines),
            self.counters,
        )

    @property
    def losses(self) -> int:
        return self.counters.counter_value("relay_crash_losses_total")

    async def check(self) -> int:
        """Check a lost request until it is known what it was lost in; return the crashes."""
        others = asyncio.all_tasks()
        sent_at_ms = float(self.clock.monotonic_ms())
        self.watch.check_for_crash(crashes.LostRequest("r1", "print", sent_at_ms), UPSTREAM)
        await asyncio.wait(asyncio.all_tasks() - others)
        return self.losses


class TestCheck:
    """What shows that an upstream crashed which broke off a response."""

    MAX_SILENCE_MS = 2000  # Of a sound upstream, as in test_paused_upstreams.py.
    MAX_CHECK_MS = 3000
    MAX_PROBES = 8

    @pytest.mark.parametrize("first", UNANSWERED)
    @pytest.mark.parametrize("silence_ms", [0, 150, 500, 1000, 1500, MAX_SILENCE_MS])
    async def test_upstream_that_goes_on_after_a_silence_has_not_crashed(
        self, first: result.Result, silence_ms: int
    ) -> None:
        setting = Setting(first, silence_ms)
        assert await setting.check() == 0 and not setting.announced

    @pytest.mark.parametrize("shown", [NEW_START, REFUSED])
    @pytest.mark.parametrize("first", UNANSWERED)
    @pytest.mark.parametrize("silence_ms", [0, 150, 1000, MAX_SILENCE_MS])
    async def test_new_start_and_refused_connection_show_a_crash_after_a_silence(
        self, first: result.Result, silence_ms: int, shown: result.Result
    ) -> None:
        setting = Setting(first, silence_ms, shown)
        assert await setting.check() == len(setting.announced) == 1
        assert setting.clock.monotonic_ms() <= silence_ms + 2 * FakeUpstream.PROBE_TIMEOUT_MS

    @pytest.mark.parametrize("shown", [NEW_START, REFUSED, SILENT, NO_CONNECTION])
    @pytest.mark.parametrize("ends_ms", [101, 300, 1000])
    async def test_upstream_that_answers_until_its_process_ends_has_crashed(
        self, ends_ms: int, shown: result.Result
    ) -> None:
        """A port that stayed open 0.3 s longer hid all crashes of a request from its daemons."""
        setting = Setting(SAME_START, ends_ms, shown)
        assert await setting.check() == len(setting.announced) == 1
        assert setting.clock.monotonic_ms() <= self.MAX_CHECK_MS
        assert setting.upstream.probes <= self.MAX_PROBES

    @pytest.mark.parametrize("first", UNANSWERED)
    async def test_upstream_that_stays_dark_counts_as_crashed(self, first: result.Result) -> None:
        setting = Setting(first, float("inf"))
        assert await setting.check() == len(setting.announced) == 1
        assert setting.clock.monotonic_ms() <= self.MAX_CHECK_MS
        assert setting.upstream.probes <= self.MAX_PROBES

    @pytest.mark.parametrize("first", [*UNANSWERED, REFUSED])
    async def test_daemon_that_is_cut_off_finds_no_crash(self, first: result.Result) -> None:
        assert await Setting(first, float("inf"), reached_ms=float("inf")).check() == 0

    @pytest.mark.parametrize("first", [REFUSED, SILENT])
    @pytest.mark.parametrize(
        "then, crashes", [(NEW_START, 1), (REFUSED, 1), (SILENT, 1), (SAME_START, 0)]
    )
    @pytest.mark.parametrize("reached_ms", [1000, 5000, 30_000])
    async def test_what_shows_a_crash_once_the_service_is_reached_again_counts(
        self, first: result.Result, then: result.Result, crashes: int, reached_ms: int
    ) -> None:
        """A request that crashed all upstreams of its service was never found at fault."""
        setting = Setting(first, reached_ms, then, reached_ms)
        assert await setting.check() == len(setting.announced) == crashes
        assert setting.clock.monotonic_ms() <= reached_ms + self.MAX_CHECK_MS
        assert setting.upstream.probes <= 2 * self.MAX_PROBES

    @pytest.mark.parametrize("second, crashes", [(NEW_START, 1), (LATER_START, 2)])
    async def test_start_that_is_known_already_shows_no_other_crash(
        self, second: result.Result, crashes: int
    ) -> None:
        """The list named the start before, so that any loss seemed to be another crash."""
        setting = Setting(NEW_START, float("inf"))
        assert await setting.check() == 1
        setting.upstream.first = second
        assert await setting.check() == len(setting.announced) == crashes

    async def test_cut_that_ends_with_the_check_of_the_reach_is_no_crash(self) -> None:
        setting = Setting(SILENT, float("inf"))

        async def end_cut(service: str) -> bool:
            setting.upstream.until_ms = 0
            return True

        setting.reach_checks.confirm = end_cut
        assert await setting.check() == 0

    @pytest.mark.parametrize("fingerprint, suspected", [("print", 0), ("another", 1)])
    async def test_request_that_is_answered_during_the_check_is_not_suspected(
        self, fingerprint: str, suspected: int
    ) -> None:
        setting = Setting(SILENT, float("inf"))
        checking = asyncio.create_task(setting.check())
        await asyncio.sleep(0)
        setting.watch.record_success(fingerprint, ())
        assert await checking == 1 and len(setting.announced) == suspected


class TestStoredQuarantine:
    """Parts at fault are kept in the store, so that a restart of all daemons does not lose them."""

    KEY = "tanagerfork/quarantine/bad"
    PARTS = "f1257:40,bad:600,1:20"

    def _record_crashes(self, daemon: daemons.RelayDaemon) -> None:
        now_ms = daemon.clock.monotonic_ms()
        for number in range(3):
            at_ms = now_ms - 3000 + 200 * number
            daemon.evidence.record_crash(("bad",), f"u{number}", f"r{number}", at_ms, now_ms)

    async def test_part_is_refused_after_a_restart(self) -> None:
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            self._record_crashes(deployed.daemons[0])
            await deployed.wait_until(
                lambda: self.KEY in deployed.site.store.items, "the part is stored"
            )
            await deployed.daemons.pop(0).stop()
            await deployed.add_daemon()
            await deployed.wait_for_rules(with_upstreams=False)
            response = await deployed.ask("/stream/x", "POST", Tanagerfork_Prefix_Hash=self.PARTS)
            assert response.status == 503 and b"quarantined" in response.body
            assert float(response.headers["Retry-After"]) > 60  # Not capped by the deadline.
            response = await deployed.ask("/stream/x", "POST", Tanagerfork_Prefix_Hash="bad:1,2:3")
            assert b"quarantined" in response.body
            response = await deployed.ask("/stream/x", "POST", Tanagerfork_Prefix_Hash="c:1,bad:3")
            assert b"quarantined" not in response.body  # The last part is the request's own.

    async def test_part_that_is_answered_leaves_the_store(self) -> None:
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            daemon = deployed.daemons[0]
            self._record_crashes(daemon)
            await deployed.wait_until(
                lambda: self.KEY in deployed.site.store.items, "the part is stored"
            )
            daemon.evidence.record_answer(("bad",), daemon.clock.monotonic_ms())
            await deployed.wait_until(
                lambda: self.KEY not in deployed.site.store.items, "the part is removed"
            )
            assert deployed.log.find("prompt part released", "bad")

    async def test_request_is_refused_after_a_restart_of_all_daemons(self) -> None:
        """Each time that all daemons were killed at once, the request crashed upstreams again."""
        async with deployments.deploy(engines=0, plain=3, daemon_count=2) as deployed:
            await deployed.wait_for_rules()
            shared_faults = [CRASHES] * 2
            for member in deployed.site.plain_runners:
                member.faults = shared_faults
            assert (await deployed.ask("/safe/poison")).status == 502
            await deployed.wait_until(
                lambda: any("quarantined/requests/" in key for key in deployed.site.store.items),
                "the request is stored",
            )
            runs = sum(len(member.requests) for member in deployed.site.plain_runners)
            for daemon in deployed.daemons:
                await daemon.stop()
            deployed.daemons.clear()
            await deployed.add_daemon()
            await deployed.wait_for_rules()
            response = await deployed.ask("/safe/poison")
            assert response.status == 503 and b"quarantined" in response.body
            left_s = poison.QUARANTINE_TTL_MS / 1000
            assert left_s - 30 < float(response.headers["Retry-After"]) <= left_s
            assert sum(len(member.requests) for member in deployed.site.plain_runners) == runs
            assert (await deployed.ask("/safe/other")).status == 200

    async def test_request_that_is_answered_leaves_the_store(self) -> None:
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            daemon = deployed.daemons[0]
            now_ms = daemon.clock.monotonic_ms()
            daemon.suspects.hear(fleets.PoisonNotice("f1", 2, True, 800_000), 0, now_ms)
            key = "tanagerfork/quarantined/requests/f1"
            await deployed.wait_until(
                lambda: key in deployed.site.store.items, "the request is stored"
            )
            daemon.suspects.record_completed("f1", daemon.clock.monotonic_ms())
            await deployed.wait_until(
                lambda: key not in deployed.site.store.items, "the request is removed"
            )

    async def test_parts_that_are_refused_together_are_kept_by_the_store(self) -> None:
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            daemon = deployed.daemons[0]
            now_ms = daemon.clock.monotonic_ms()
            for number in range(3):
                at_ms = now_ms - 3000 + 200 * number
                daemon.evidence.record_crash(
                    ("f1257", "bad"), f"u{number}", f"r{number}", at_ms, at_ms
                )
            await deployed.wait_until(
                lambda: any("quarantined/parts/" in key for key in deployed.site.store.items),
                "the parts are stored",
            )
            await deployed.daemons.pop().stop()
            await deployed.add_daemon()
            await deployed.wait_until(
                lambda: deployed.daemons[0].evidence.list_quarantines(0), "the parts are read"
            )
            for prefix, is_refused in (("f1257:1,bad:1,c:1", True), ("f1257:1,c:1", False)):
                response = await deployed.ask("/stream/x", "POST", Tanagerfork_Prefix_Hash=prefix)
                assert (b"quarantined" in response.body) == is_refused

    async def test_only_single_parts_have_keys_that_earlier_builds_read(self) -> None:
        """Builds up to 05230a5 took other keys for parts that explain the crashes."""
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            daemon = deployed.daemons[0]
            now_ms = daemon.clock.monotonic_ms()
            self._record_crashes(daemon)
            for number in range(3):
                at_ms = now_ms - 3000 + 200 * number
                daemon.evidence.record_crash(("f1", "f2"), f"v{number}", f"s{number}", at_ms, at_ms)
            daemon.suspects.hear(fleets.PoisonNotice("f3", 2, True, 800_000), 0, now_ms)

            def list_keys() -> list[str]:
                return [key for key in deployed.site.store.items if "quarantine" in key]

            await deployed.wait_until(lambda: len(list_keys()) == 3, "all are stored")
            read = [key for key in list_keys() if key.startswith("tanagerfork/quarantine/")]
            assert read == [self.KEY]

    async def test_value_that_cannot_be_read_is_logged(self) -> None:
        async with deployments.deploy(engines=0, plain=0) as deployed:
            await deployed.wait_for_rules(with_upstreams=False)
            deployed.site.store.put("tanagerfork/quarantine/c0ffee", b"no JSON")
            await deployed.wait_until(
                lambda: deployed.log.find("quarantine cannot be decoded"), "the log line"
            )
            assert not deployed.daemons[0].evidence.list_quarantines(0)


class TestCrashingPromptPart:
    """A part of prompts crashes each upstream; the requests differ and come to all daemons."""

    STABLE_S = 3.0  # Time that the daemons have after the fifth crash.
    CRASHES_TO_LEARN = 5
    MAX_LATER_REQUESTS = 3

    async def test_requests_with_the_part_stop_and_others_of_the_team_are_served(self) -> None:
        async with deployments.deploy(engines=12, plain=0, daemon_count=3) as deployed:
            runners = deployed.site.engine_runners
            crashes_s: list[float] = []
            clock = asyncio.get_running_loop().time

            def note(member: runner.Runner, event: str) -> None:
                if event == "crash":
                    crashes_s.append(clock())

            for member in runners:
                member.observer = note
                member.crashing_parts = {"bad"}
            await deployed.wait_until(
                lambda: all(daemon.view.list_groups("writer", "") for daemon in deployed.daemons),
                "groups at all daemons",
            )
            asked: list[asyncio.Task[deployments.CallerResponse]] = []
            sound: list[tuple[float, asyncio.Task[deployments.CallerResponse]]] = []
            ends_s = clock() + 60
            number = 0
            while clock() < ends_s:
                number += 1
                deployed.daemons.append(deployed.daemons.pop(0))
                bad = f"f1257:40,bad:600,{number:x}:20"
                asked.append(asyncio.create_task(self._ask(deployed, number, bad)))
                good = f"f1257:40,{number % 7:x}:600,{number:x}:20"
                sound.append((clock(), asyncio.create_task(self._ask(deployed, -number, good))))
                await asyncio.sleep(0.15)
                if len(crashes_s) >= self.CRASHES_TO_LEARN:
                    learned_s = crashes_s[self.CRASHES_TO_LEARN - 1] + self.STABLE_S
                    ends_s = min(ends_s, learned_s + self.STABLE_S + 2)
            if len(crashes_s) < self.CRASHES_TO_LEARN:
                learned_s = crashes_s[-1] + self.STABLE_S
            await asyncio.gather(*asked, *(task for _, task in sound))
            late = [
                received.received_at_s - learned_s
                for member in runners
                for received in member.requests
                if ",bad:" in received.headers["Tanagerfork-Prefix-Hash"]
                and received.received_at_s > learned_s
            ]
            assert len(late) <= self.MAX_LATER_REQUESTS, (len(crashes_s), late)
            served = [
                task.result().status == 200 and task.result().is_whole
                for sent_s, task in sound
                if sent_s > learned_s + self.STABLE_S
            ]
            assert len(served) >= 5 and sum(served) >= len(served) / 2

    async def _ask(
        self, deployed: deployments.Deployment, number: int, parts: str
    ) -> deployments.CallerResponse:
        try:
            return await deployed.ask(
                "/stream/x", "POST", f"body {number}".encode(), Tanagerfork_Prefix_Hash=parts
            )
        except OSError:
            return deployments.CallerResponse(0, {}, b"", False)
