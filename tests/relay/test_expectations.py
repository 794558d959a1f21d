"""Requests with an expectation: callers that wait for 100 before they send a body."""

import asyncio

import pytest

from tanagerfork_standins.platform import site
from tests.relay import deployments, test_forwarding

BODY = b"x" * 1000


async def ask_with_expectation(port: int, path: str) -> bytes:
    """Send a body once the daemon has asked for it; return the status line of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {site.HOST}",
        f"Tanagerfork-Request-Id: expects-{next(deployments.IDS)}",
        "Tanagerfork-Deadline-Ms: 3000",
        f"Authorization: Bearer {site.API_KEY}",
        f"Tanagerfork-Model: {site.SMALL_MODEL}",
        "Tanagerfork-Tokens: 100,20",
        "Expect: 100-continue",
        f"Content-Length: {len(BODY)}",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
    writer.write(BODY)
    answer = await reader.readuntil(b"\r\n")
    writer.close()
    return answer


class TestExpectations:
    """Guards against sends that wait for an informational response, which is left out: 504."""

    @pytest.mark.parametrize("path", ["/unsafe/", "/safe/", "/stream/"])
    async def test_request_is_answered_on_every_type_of_route(self, path: str) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            for number in range(3):
                port = deployed.daemons[0].callers_port
                answer = await ask_with_expectation(port, f"{path}{number}")
                assert answer == b"HTTP/1.1 200 OK\r\n"
            runners = [*deployed.site.engine_runners, *deployed.site.plain_runners]
            received = [run for member in runners for run in member.requests]
            assert [run.body for run in received if run.target.startswith(path)] == 3 * [BODY]

    async def test_request_that_is_handed_over_is_answered(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            answer = await ask_with_expectation(deployed.daemons[0].callers_port, "/unsafe/over")
            assert answer == b"HTTP/1.1 200 OK\r\n"
