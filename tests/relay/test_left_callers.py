"""Requests whose callers have left before the daemon reads them."""

import asyncio
import socket
import time

import pytest

from tanagerfork_standins.platform import site
from tests.relay import deployments

HELD_UP_S = 0.6  # The users' bound: nothing reaches an upstream half a second after the close.
REQUESTS = 20


def make_request(method: str, path: str, number: int) -> bytes:
    lines = [
        f"{method} {path}{number} HTTP/1.1",
        f"Host: {site.HOST}",
        f"Tanagerfork-Request-Id: left-{number}",
        "Tanagerfork-Deadline-Ms: 3000",
        f"Authorization: Bearer {site.API_KEY}",
    ]
    if path == "/stream/":
        lines += [f"Tanagerfork-Model: {site.SMALL_MODEL}", "Tanagerfork-Tokens: 100,20"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def hold_up_event_loop() -> None:
    time.sleep(HELD_UP_S)


class TestLeftCaller:
    @pytest.mark.parametrize(
        "method, path", [("GET", "/safe/"), ("POST", "/unsafe/"), ("POST", "/stream/")]
    )
    async def test_request_of_a_caller_that_has_left_reaches_no_upstream(
        self, method: str, path: str
    ) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            address = "127.0.0.1", deployed.daemons[0].callers_port
            for number in range(REQUESTS):  # The event loop stands still meanwhile.
                with socket.create_connection(address) as caller:
                    caller.sendall(make_request(method, path, number))
            hold_up_event_loop()
            await asyncio.sleep(0.5)
            runners = [*deployed.site.engine_runners, *deployed.site.plain_runners]
            received = [run.target for member in runners for run in member.requests]
            assert not [target for target in received if target.startswith(path)]

    async def test_request_on_a_kept_connection_reaches_no_upstream_either(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            address = "127.0.0.1", deployed.daemons[0].callers_port
            callers = [socket.create_connection(address) for _ in range(REQUESTS)]
            for number, caller in enumerate(callers):
                caller.sendall(make_request("GET", "/safe/", number))
            await asyncio.sleep(0.5)
            for number, caller in enumerate(callers):
                assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
                caller.sendall(make_request("GET", "/safe/", REQUESTS + number))
                caller.close()
            hold_up_event_loop()
            await asyncio.sleep(0.5)
            received = [
                run.target
                for member in deployed.site.plain_runners
                for run in member.requests
                if run.target.startswith("/safe/")
            ]
            assert len(received) == REQUESTS
