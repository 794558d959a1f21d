"""Contract tests of the service client: for each fault, the result and whether it may have run."""

import asyncio

import aiohttp.web
import pytest
import result

from tanagerfork.generated import bundle
from tanagerfork.upstream import connections, service
from tanagerfork_standins import listener
from tests import upstreams
from tests.upstreams import CUT, SILENT

HEAD = upstreams.head()
LENGTH = upstreams.head(extra="Content-Length: 4\r\n")
TIMEOUT_MS = 60_000
METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]

FAULTS = [
    ("whole", [LENGTH, b"good"], None),
    ("crash before the head", [CUT], "upstream_lost"),
    ("closed before the head", [], "upstream_lost"),
    ("cut inside the body", [LENGTH, b"go", CUT], "upstream_lost"),
    ("silent before the head", [SILENT], "upstream_silent"),
    ("silent inside the body", [LENGTH, b"go", SILENT], "upstream_silent"),
    ("another attempt", [upstreams.head("b"), b"good"], "upstream_confused"),
    ("refused before running", [upstreams.head(extra="X-Not-Run: 1\r\n")], "upstream_refused"),
    ("garbage", [b"\x00\xff nonsense\r\n\r\n"], "upstream_lost"),
    ("too large", [HEAD, b"x" * 2000], "upstream_lost"),
]


class TestFaults:
    @pytest.mark.parametrize(("name", "script", "kind"), FAULTS)
    @pytest.mark.parametrize("method", METHODS)
    async def test_call_is_sent_once_and_its_outcome_reported(self, name, script, kind, method):
        call = service.ServiceCall("a1", "r1", method, "releases", "", "", b"{}", TIMEOUT_MS)
        async with upstreams.run_upstream(script) as upstream:
            target = bundle.ServiceUpstream(name="s", failure_domain="d", url=upstream.entry.url)
            session = connections.open_session(single_use=True)
            client = service.HttpServiceClient(session, answer_limit_bytes=1000)
            calling = asyncio.create_task(client.call(target, call))
            if kind == "upstream_silent":  # The timeout passes once the call has arrived.
                await upstream.has_received.wait()
                upstreams.advance_loop_time(TIMEOUT_MS / 1000)
            called = await calling
            await session.close()
            if kind is None:
                assert called.unwrap().body == b"good"
            else:
                assert isinstance(called, result.Err) and called.err_value.kind == kind
                ran = "no" if kind == "upstream_refused" else "unknown"
                assert called.err_value.ran == ran
            assert len(upstream.requests) == 1


class TestCompression:
    async def test_response_is_uncompressed_from_a_service_that_supports_compression(self):
        async def answer(request: aiohttp.web.Request) -> aiohttp.web.Response:
            response = aiohttp.web.Response(body=b"good" * 100, headers={"X-Attempt-Id": "a1"})
            response.enable_compression()
            return response

        running_listener = listener.Listener()
        running_listener.app.router.add_get("/lots", answer)
        await running_listener.start()
        call = service.ServiceCall("a1", "r1", "GET", "lots", "", "", b"", 2000)
        target = bundle.ServiceUpstream(name="s", failure_domain="d", url=running_listener.url)
        session = connections.open_session(single_use=True)
        client = service.HttpServiceClient(session, answer_limit_bytes=1000)
        called = await client.call(target, call)
        await session.close()
        await running_listener.stop()
        assert called.unwrap().body == b"good" * 100
