"""Limits of the configuration on what callers send, with real daemons."""

import asyncio
import contextlib

import pytest

from tanagerfork.front import bounds
from tanagerfork.relay import caller_bounds, rules
from tests.relay import deployments, test_slow_readers

LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 5000,
    "headerTimeoutMs": 300,
    "idleTimeoutMs": 600,
}


def make_request(fields: list[str], body: bytes = b"", path: str = "/safe/x") -> bytes:
    """Return a request with some more fields that closes the connection."""
    head = test_slow_readers.make_request(path).removesuffix(b"\r\n")
    lines = "".join(f"{field}\r\n" for field in (*fields, "Connection: close"))
    return head + lines.encode() + b"\r\n" + body


async def send(port: int, data: bytes) -> bytes:
    """Return all that comes back for some bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await asyncio.wait_for(reader.read(), deployments.WAIT_S)
    writer.close()
    return answer


@contextlib.asynccontextmanager
async def deploy_with_limits(**limits: int):
    async with deployments.deploy(engines=0, daemon_count=1) as deployed:
        deployed.site.write_config(limits={**LIMITS, **limits})
        daemon = deployed.daemons[0]
        await deployed.wait_for_rules()
        await deployed.wait_until(
            lambda: daemon.register.current.limits.header_bytes == LIMITS["maxHeaderBytes"],
            "the limits",
        )
        yield deployed


class TestLimitsOfTheConfiguration:
    """Guards against limits of the daemon's own in place of those of the operator."""

    @pytest.mark.parametrize(
        "request_bytes, status",
        [
            (make_request(["X: " + "x" * (LIMITS["maxHeaderBytes"] - 300)]), b"200"),
            (make_request(["X: " + "x" * 6000]), b"431"),
            (make_request([], path="/safe/" + "a" * 6000), b"431"),
            (make_request(["Content-Length: 5000"], b"x" * 5000), b"200"),
            (make_request(["Content-Length: 5001"], b"x" * 5001), b"413"),
            (make_request(["Transfer-Encoding: chunked"], b"1389\r\n"), b"413"),
        ],
    )
    async def test_sizes_are_followed(self, request_bytes: bytes, status: bytes) -> None:
        async with deploy_with_limits() as deployed:
            port = deployed.daemons[0].callers_port
            assert (await send(port, request_bytes)).startswith(b"HTTP/1.1 " + status)

    @pytest.mark.parametrize(
        "sent, bound, status",
        [
            (test_slow_readers.make_request("/safe/x")[:-2], bounds.Bound.HEAD_TIME, b"408"),
            (b"", bounds.Bound.IDLE_TIME, b""),
            (test_slow_readers.make_request("/safe/x", 100), bounds.Bound.BODY_TIME, b"408"),
            (test_slow_readers.make_request("/safe/x"), bounds.Bound.IDLE_TIME, b"200"),
        ],
    )
    async def test_times_are_followed(
        self, sent: bytes, bound: bounds.Bound, status: bytes
    ) -> None:
        async with deploy_with_limits() as deployed:
            daemon = deployed.daemons[0]
            answer = await send(daemon.callers_port, sent)
            assert status in answer
            counted = daemon.metrics.counter_value("client_bounds_total", bound=bound.value)
            assert counted == 1

    @pytest.mark.parametrize(
        "fields, path",
        [
            (["X: " + "x" * 16_384], "/safe/x"),
            (["X-Short: y"] * 200, "/safe/x"),
            ([], "/safe/" + "a" * 16_000),
            (["a:"] * 3500, "/safe/x"),
            (["Tanagerfork-Prefix-Hash: " + ",".join(f"{n:x}:1" for n in range(2300))], "/safe/x"),
        ],
    )
    async def test_largest_heads_of_the_platform_are_served(
        self, fields: list[str], path: str
    ) -> None:
        async with deployments.deploy(engines=0, daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_rules()
            answer = await send(deployed.daemons[0].callers_port, make_request(fields, path=path))
            assert answer.startswith(b"HTTP/1.1 200")

    async def test_largest_body_of_the_platform_is_served(self) -> None:
        size = 4_194_304
        async with deploy_with_limits(maxBodyBytes=size, idleTimeoutMs=15_000) as deployed:
            request = make_request([f"Content-Length: {size}"], b"x" * size)
            answer = await send(deployed.daemons[0].callers_port, request)
            assert answer.startswith(b"HTTP/1.1 200")


class TestRulesBounds:
    def test_defaults_are_in_force_before_the_first_configuration(self) -> None:
        source = caller_bounds.RulesBounds(rules.RulesRegister())
        assert source.current == bounds.RequestBounds()

    def test_limits_of_zero_do_not_refuse_everybody(self) -> None:
        register = rules.RulesRegister()
        register.replace_if_newer(rules.Rules(1, [], [], None, rules.CallerLimits(0, 0, 0, 0)))
        assert caller_bounds.RulesBounds(register).current == bounds.RequestBounds()

    def test_handed_over_heads_may_be_longer_by_what_daemons_add(self) -> None:
        register = rules.RulesRegister()
        source = caller_bounds.RulesBounds(register, 100)
        register.replace_if_newer(rules.Rules(1, [], [], None, rules.CallerLimits(10, 20, 30, 40)))
        assert source.current == bounds.RequestBounds(110, 20, 30, 40)
