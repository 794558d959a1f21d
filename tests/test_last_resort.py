"""Tests of typed error responses for unknown paths and unexpected failures."""

import aiohttp
import pytest

from tanagerfork.front import sink
from tests import sites


async def ask(running: sites.RunningSite, method: str, path: str) -> tuple[int, dict]:
    """Send a request; return the status and the error of the response."""
    headers = {**running.headers, "X-Request-Id": "r-1"}
    async with running.session.request(method, running.url + path, headers=headers) as response:
        return response.status, (await response.json())["error"]


class TestErrorMiddleware:
    @pytest.mark.parametrize(
        ("method", "path", "status", "kind"),
        [
            ("GET", "/nowhere", 404, "not_found"),
            ("GET", "/v1/chat/completions", 400, "bad_request"),
            ("POST", "/services/", 404, "not_found"),
        ],
    )
    async def test_unknown_paths_and_methods_get_a_typed_error(self, method, path, status, kind):
        async with sites.run_site(groups=1, vms=4) as running:
            answered, error = await ask(running, method, path)
            assert (answered, error["kind"], error["ran"]) == (status, kind, "no")
            assert error["request_id"] == "r-1"

    async def test_unexpected_failure_is_reported_with_an_unknown_outcome(self, monkeypatch):
        async with sites.run_site(groups=1, vms=4) as running:

            async def fail(*_):
                raise KeyError("x")

            monkeypatch.setattr(type(running.daemon.callers), "_read_body", fail)
            answered, error = await ask(running, "POST", "/v1/chat/completions")
            assert (answered, error["kind"], error["ran"]) == (500, "internal", "unknown")
            assert "operator" in error["message"]
            trace = running.daemon.journal.find("r-1")[0]
            assert trace.outcome == "internal"

    async def test_unexpected_failure_during_a_stream_closes_the_connection(self, monkeypatch):
        async with sites.run_site(groups=1, vms=4) as running:

            async def fail(*_):
                raise KeyError("x")

            monkeypatch.setattr(sink.StreamSink, "finish", fail)
            message = {"role": "user", "content": "draft the rota"}
            body = {"model": sites.MODEL, "stream": True, "messages": [message]}
            url = f"{running.url}/v1/chat/completions"
            with pytest.raises(aiohttp.ClientPayloadError):
                async with running.session.post(url, json=body, headers=running.headers) as answer:
                    text = await answer.content.readany()
                    assert answer.status == 200 and b"[DONE]" not in text
                    while part := await answer.content.readany():
                        assert b"HTTP/1.1" not in part and b"[DONE]" not in part
