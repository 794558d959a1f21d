"""Tests of the whole path through one daemon."""

import asyncio

import aiohttp.web
import pytest
import yarl

from tanagerfork.generated import events
from tanagerfork.timeline import kinds, merge
from tanagerfork_standins import listener
from tests import sites


async def ask(running: sites.RunningSite, number: int) -> bool:
    """Send one of three kinds of requests; return whether its answer is whole and its own."""
    name = f"request-{number}"
    headers = {**running.headers, "X-Request-Id": name}
    if number % 3 == 2:
        headers["Idempotency-Key"] = name
        url = f"{running.url}/services/{sites.SERVICE}/pressings"
        async with running.session.post(url, json={"lot": name}, headers=headers) as response:
            return response.status == 201 and (await response.json())["entry"] == {"lot": name}
    message = {"role": "user", "content": f"draft {name} of the rota"}
    body = {"model": sites.MODEL, "stream": number % 3 == 0, "messages": [message]}
    url = f"{running.url}/v1/chat/completions"
    async with running.session.post(url, json=body, headers=headers) as response:
        if not body["stream"]:
            content = (await response.json())["choices"][0]["message"]["content"]
            return content == f"draft {name} of the rota [{name}]"
        text = await response.text()
        return text.endswith("data: [DONE]\n\n") and text.count(f'"id":"{name}"') == 7


class TestWholePath:
    async def test_300_mixed_requests_each_get_their_own_whole_answer(self):
        # Callers, daemon and engines share one loop; it may stall for longer than a short TTL.
        async with sites.run_site(presence_ttl_ms=20_000) as running:
            answers = await asyncio.gather(*(ask(running, number) for number in range(300)))
            assert answers.count(True) == 300
            assert len(running.stand_ins.records[sites.SERVICE].records) == 100

    async def test_group_that_lost_a_member_serves_nothing_until_it_is_repaired(self):
        async with sites.run_site(groups=1, vms=5) as running:
            now_ms = running.daemon.clock.monotonic_ms()
            member = running.daemon.groups.whole_groups(sites.MODEL, now_ms)[0].record.members[2]
            await running.stand_ins.engines[member].crash()
            await sites.wait_until(lambda: running.count_whole_groups() == 0)
            await sites.wait_until(lambda: running.count_whole_groups() == 1)
            assert await ask(running, 0)

    async def test_answer_of_a_group_that_loses_a_member_is_finished_by_another(self):
        async with sites.run_site(groups=2, vms=8) as running:
            engines = running.stand_ins.engines
            for vm in engines.values():
                vm.profile.token_gap_ms = 300
            asked = asyncio.create_task(ask(running, 0))
            await sites.wait_until(lambda: any(vm.streams for vm in engines.values()))
            first = next(vm for vm in engines.values() if vm.streams)
            engines[first.report.members[2]].pause()  # The first member does not notice by itself.
            await sites.wait_until(lambda: sum(vm.streams for vm in engines.values()) == 2)
            first.profile.token_gap_ms = 1
            assert await asked
            assert first.streams == 1

    async def test_planned_stop_cuts_off_nothing_in_flight(self):
        async with sites.run_site() as running:
            for vm in running.stand_ins.engines.values():
                vm.faults.late_ms = 300
            asked = [asyncio.create_task(ask(running, number)) for number in (0, 1, 3, 4)]
            await sites.wait_until(lambda: running.daemon.callers.open_requests == 4)
            await running.daemon.stop()
            assert await asyncio.gather(*asked) == [True] * 4


class TestTimeline:
    async def test_orders_stand_before_the_whole_group_that_comes_of_them(self):
        async with sites.run_site(groups=1, vms=4) as running:
            engines = list(running.stand_ins.engines.values())
            timeline = running.daemon.timeline

            def read(kind: kinds.EventKind) -> list[events.Event]:
                return [event for event in timeline.read().events if event.kind == kind]

            await sites.wait_until(lambda: len(read(kinds.EventKind.ORDER_SENT)) == len(engines))
            whole = read(kinds.EventKind.GROUP_WHOLE)[0]
            for sent in read(kinds.EventKind.ORDER_SENT):
                assert merge.sort_key(sent) < merge.sort_key(whole)


class TestRefusals:
    async def test_errors_name_kind_remedy_and_whether_the_request_ran(self):
        good = {"model": sites.MODEL, "messages": [{"role": "user", "content": "x"}]}
        table = [
            ({}, {}, 401, "unauthorized"),
            ({"X-Request-Id": "a b"}, {}, 400, "bad_request"),
            ({"X-Deadline-Ms": "0"}, good, 400, "bad_request"),
            ({"X-Deadline-Ms": "²"}, good, 400, "bad_request"),
        ]
        async with sites.run_site(groups=1, vms=4) as running:
            for headers, body, status, kind in table:
                if kind != "unauthorized":
                    headers = {**running.headers, **headers}
                url = f"{running.url}/v1/chat/completions"
                async with running.session.post(url, json=body, headers=headers) as response:
                    error = (await response.json())["error"]
                    assert (response.status, error["kind"], error["ran"]) == (status, kind, "no")

    async def test_unknown_model_is_told_as_not_found(self):
        async with sites.run_site(groups=1, vms=4) as running:
            body = {"model": "x", "messages": [{"role": "user", "content": "y"}]}
            url = f"{running.url}/v1/chat/completions"
            async with running.session.post(url, json=body, headers=running.headers) as response:
                assert response.status == 404


class TestServicePaths:
    @pytest.mark.parametrize(
        "path",
        [
            "lookups/../pressings",
            "lookups/%2e%2E/pressings",
            "lookups/%252e%252e/pressings",
            "lookups/..%2Fpressings",
            "./pressings",
        ],
    )
    async def test_path_that_leads_elsewhere_is_refused(self, path):
        async with sites.run_site(groups=1, vms=4) as running:
            url = yarl.URL(f"{running.url}/services/{sites.SERVICE}/{path}", encoded=True)
            async with running.session.post(url, json={}, headers=running.headers) as response:
                error = (await response.json())["error"]
            assert (response.status, error["kind"], error["ran"]) == (400, "bad_request", "no")
            assert running.stand_ins.records[sites.SERVICE].records == []

    async def test_path_and_query_reach_the_service_as_they_were_sent(self):
        async with sites.run_site(groups=1, vms=4) as running:
            seen: list[str] = []

            async def note(request: aiohttp.web.Request) -> aiohttp.web.Response:
                seen.append(request.raw_path)
                headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
                return aiohttp.web.Response(headers=headers)

            listened = listener.Listener()
            listened.app.router.add_get("/{path:.*}", note)
            await listened.start()
            in_force = running.daemon.bundles.current.bundle
            in_force.services[0].upstreams[0].url = listened.url
            in_force.services[0].upstreams[1].url = listened.url
            path = "a%3Fb%23c/d%2Fe?x=%26%20y&z=%2B"
            url = yarl.URL(f"{running.url}/services/{sites.SERVICE}/{path}", encoded=True)
            async with running.session.get(url, headers=running.headers) as response:
                assert response.status == 200
            await listened.stop()
            assert seen == ["/" + path]


class TestOperatorsListener:
    async def test_health_readiness_and_metrics(self):
        async with sites.run_site(groups=1, vms=4) as running:
            assert await read(running, "/healthz") == (200, "ok\n")
            assert await read(running, "/readyz") == (200, "serving\n")
            status, text = await read(running, "/metrics")
            assert status == 200 and "tanagerfork_orders_sent_total" in text


async def read(running: sites.RunningSite, path: str) -> tuple[int, str]:
    """Read a page of the operators' listener."""
    async with running.session.get(running.operators_url + path) as response:
        return response.status, await response.text()
