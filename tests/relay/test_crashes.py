"""Quarantine of requests that crash the upstreams that run them."""

import asyncio
import time

import pytest

from tanagerfork.platform import runners
from tanagerfork.relay import daemon as daemons
from tanagerfork.relay import members
from tanagerfork_standins.platform import runner
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
