"""End-to-end tests of one daemon."""

import asyncio

import aiohttp.web
import pytest
import yarl

from tanagerfork import daemon as daemons
from tanagerfork.generated import events
from tanagerfork.timeline import kinds, merge
from tanagerfork_standins import listener
from tests import sites


async def send_request(running: sites.RunningSite, number: int) -> bool:
    """Send one of three kinds of requests; return whether its answer is complete and its own."""
    request_id = f"request-{number}"
    headers = {**running.headers, "X-Request-Id": request_id}
    if number % 3 == 2:
        headers["Idempotency-Key"] = request_id
        url = f"{running.url}/services/{sites.SERVICE}/pressings"
        async with running.session.post(url, json={"lot": request_id}, headers=headers) as response:
            return response.status == 201 and (await response.json())["entry"] == {
                "lot": request_id
            }
    message = {"role": "user", "content": f"draft {request_id} of the rota"}
    body = {"model": sites.MODEL, "stream": number % 3 == 0, "messages": [message]}
    url = f"{running.url}/v1/chat/completions"
    async with running.session.post(url, json=body, headers=headers) as response:
        if not body["stream"]:
            content = (await response.json())["choices"][0]["message"]["content"]
            return content == f"draft {request_id} of the rota [{request_id}]"
        text = await response.text()
        return text.endswith("data: [DONE]\n\n") and text.count(f'"id":"{request_id}"') == 7


class TestWholePath:
    async def test_300_mixed_requests_each_get_their_own_complete_answer(self):
        # Callers, daemon and engines share one event loop, which may stall longer than a short TTL.
        async with sites.run_site(presence_ttl_ms=20_000) as running:
            answers = await asyncio.gather(
                *(send_request(running, number) for number in range(300))
            )
            assert answers.count(True) == 300
            assert len(running.stand_ins.records[sites.SERVICE].records) == 100

    async def test_group_that_lost_a_member_serves_nothing_until_it_is_repaired(self):
        async with sites.run_site(groups=1, vms=5) as running:
            now_ms = running.daemon.clock.monotonic_ms()
            member = running.daemon.groups.whole_groups(sites.MODEL, now_ms)[0].record.members[2]
            await running.stand_ins.engines[member].crash()
            await sites.wait_until(lambda: running.count_whole_groups() == 0)
            await sites.wait_until(lambda: running.count_whole_groups() == 1)
            assert await send_request(running, 0)

    async def test_answer_of_a_group_that_loses_a_member_is_completed_by_another_group(self):
        async with sites.run_site(groups=2, vms=8) as running:
            engines = running.stand_ins.engines
            for vm in engines.values():
                vm.profile.token_gap_ms = 300
            request = asyncio.create_task(send_request(running, 0))
            await sites.wait_until(lambda: any(vm.streams for vm in engines.values()))
            first = next(vm for vm in engines.values() if vm.streams)
            engines[first.report.members[2]].pause()  # The first member does not detect this.
            await sites.wait_until(lambda: sum(vm.streams for vm in engines.values()) == 2)
            first.profile.token_gap_ms = 1
            assert await request
            assert first.streams == 1

    async def test_planned_stop_completes_requests_in_flight(self):
        async with sites.run_site() as running:
            for vm in running.stand_ins.engines.values():
                vm.faults.late_ms = 300
            requests = [
                asyncio.create_task(send_request(running, number)) for number in (0, 1, 3, 4)
            ]
            await sites.wait_until(lambda: running.daemon.callers.open_requests == 4)
            await running.daemon.stop()
            assert await asyncio.gather(*requests) == [True] * 4


class TestTimeline:
    async def test_orders_precede_the_group_that_they_form(self):
        async with sites.run_site(groups=1, vms=4) as running:
            engines = list(running.stand_ins.engines.values())
            timeline = running.daemon.timeline

            def read_events(kind: kinds.EventKind) -> list[events.Event]:
                return [event for event in timeline.read().events if event.kind == kind]

            await sites.wait_until(
                lambda: len(read_events(kinds.EventKind.ORDER_SENT)) == len(engines)
            )
            whole = read_events(kinds.EventKind.GROUP_WHOLE)[0]
            for sent in read_events(kinds.EventKind.ORDER_SENT):
                assert merge.sort_key(sent) < merge.sort_key(whole)


class TestRefusals:
    async def test_errors_name_kind_remedy_and_whether_the_request_ran(self):
        valid_body = {"model": sites.MODEL, "messages": [{"role": "user", "content": "x"}]}
        cases = [
            ({}, {}, 401, "unauthorized"),
            ({"X-Request-Id": "a b"}, {}, 400, "bad_request"),
            ({"X-Deadline-Ms": "0"}, valid_body, 400, "bad_request"),
            ({"X-Deadline-Ms": "²"}, valid_body, 400, "bad_request"),
        ]
        async with sites.run_site(groups=1, vms=4) as running:
            for headers, body, status, kind in cases:
                if kind != "unauthorized":
                    headers = {**running.headers, **headers}
                url = f"{running.url}/v1/chat/completions"
                async with running.session.post(url, json=body, headers=headers) as response:
                    error = (await response.json())["error"]
                    assert (response.status, error["kind"], error["ran"]) == (status, kind, "no")

    async def test_unknown_model_is_not_found(self):
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
    async def test_path_with_dot_segments_is_refused(self, path):
        async with sites.run_site(groups=1, vms=4) as running:
            url = yarl.URL(f"{running.url}/services/{sites.SERVICE}/{path}", encoded=True)
            async with running.session.post(url, json={}, headers=running.headers) as response:
                error = (await response.json())["error"]
            assert (response.status, error["kind"], error["ran"]) == (400, "bad_request", "no")
            assert running.stand_ins.records[sites.SERVICE].records == []

    async def test_path_and_query_reach_the_service_as_they_were_sent(self):
        async with sites.run_site(groups=1, vms=4) as running:
            received_paths: list[str] = []

            async def record_path(request: aiohttp.web.Request) -> aiohttp.web.Response:
                received_paths.append(request.raw_path)
                headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
                return aiohttp.web.Response(headers=headers)

            upstream_listener = listener.Listener()
            upstream_listener.app.router.add_get("/{path:.*}", record_path)
            await upstream_listener.start()
            in_force = running.daemon.bundles.current.bundle
            in_force.services[0].upstreams[0].url = upstream_listener.url
            in_force.services[0].upstreams[1].url = upstream_listener.url
            path = "a%3Fb%23c/d%2Fe?x=%26%20y&z=%2B"
            url = yarl.URL(f"{running.url}/services/{sites.SERVICE}/{path}", encoded=True)
            async with running.session.get(url, headers=running.headers) as response:
                assert response.status == 200
            await upstream_listener.stop()
            assert received_paths == ["/" + path]


class TestOperatorsListener:
    async def test_daemon_is_ready_as_soon_as_a_bundle_is_in_force(self, monkeypatch):
        monkeypatch.setattr(daemons, "READINESS_INTERVAL_MS", 3_600_000)
        async with sites.run_site(groups=1, vms=4) as running:
            assert await get_page(running, "/readyz") == (200, "serving\n")

    async def test_health_readiness_and_metrics(self):
        async with sites.run_site(groups=1, vms=4) as running:
            assert await get_page(running, "/healthz") == (200, "ok\n")
            assert await get_page(running, "/readyz") == (200, "serving\n")
            status, text = await get_page(running, "/metrics")
            assert status == 200 and "tanagerfork_orders_sent_total" in text


async def get_page(running: sites.RunningSite, path: str) -> tuple[int, str]:
    """Return status and text of a page of the operators' listener."""
    async with running.session.get(running.operators_url + path) as response:
        return response.status, await response.text()
