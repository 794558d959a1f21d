"""What the callers of requests get that are open late in a planned stop."""

import asyncio

import pytest

from tanagerfork.relay import daemon as daemons
from tanagerfork.relay import exchange, forwarding, stopping
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments, test_slow_readers

GRACE_MS = daemons.SHUTDOWN_MARGIN_MS + 800
ENOUGH_MB = 1000.0
ANSWER_S = 2.0
ANSWER_BYTES = 2_000_000  # More than the kernel's buffers hold.
UNSENT = b"unsent" * 300_000


class RawCaller:
    """A caller that sends its request in parts, and keeps the connection open."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, port: int) -> "RawCaller":
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    async def read_answer(self) -> tuple[int, bytes]:
        """Return the status and the head of the answer; 0 if none comes."""
        try:
            async with asyncio.timeout(ANSWER_S):
                head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return 0, b""
        finally:
            self._writer.close()
        return int(head.split(b" ")[1]), head


def make_head(path: str, *lines: str) -> bytes:
    known = [
        f"POST {path} HTTP/1.1",
        f"Host: {site.HOST}",
        f"Authorization: Bearer {site.API_KEY}",
        f"Tanagerfork-Request-Id: late-{next(deployments.IDS)}",
        "Tanagerfork-Deadline-Ms: 60000",
    ]
    if path.startswith("/stream/"):
        known += [f"Tanagerfork-Model: {site.SMALL_MODEL}", "Tanagerfork-Tokens: 100,20"]
    return "\r\n".join((*known, *lines, "", "")).encode()


async def hang(client: exchange.UpstreamClient) -> None:
    await asyncio.Event().wait()


def list_runs(deployed: deployments.Deployment) -> list[str]:
    members = [*deployed.site.engine_runners, *deployed.site.plain_runners]
    return [run.target for member in members for run in member.requests]


def allow_long_requests(deployed_site: site.Site) -> None:
    config = deployed_site.make_config()
    routes = [{**route, "timeoutMs": 60_000} for route in config["routes"]]
    deployed_site.write_config(routes=routes)


class TestLateBody:
    @pytest.mark.parametrize("memory_mb", [0.0, ENOUGH_MB], ids=["", "bounded"])
    @pytest.mark.parametrize("is_handed_over", [False, True], ids=["", "handed_over"])
    @pytest.mark.parametrize(
        "framing, body",
        [("Content-Length: 4", b"late"), ("Transfer-Encoding: chunked", b"4\r\nlate\r\n0\r\n\r\n")],
        ids=["length", "chunked"],
    )
    async def test_request_that_is_complete_after_others_are_rejected_is_not_sent(
        self,
        framing: str,
        body: bytes,
        is_handed_over: bool,
        memory_mb: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(stopping, "BALANCER_REMOVAL_MS", 100)
        async with deployments.deploy(engines=0, daemon_count=0) as deployed:
            daemon = await deployed.add_daemon(memory_mb=memory_mb)
            await deployed.wait_for_rules()
            daemon.settings.bounds.grace_ms = daemons.SHUTDOWN_MARGIN_MS + 5000
            address = daemon.directory.daemons["daemon-1"].forwarding
            port = int(address.rpartition(":")[2]) if is_handed_over else daemon.callers_port
            handover = (f"{forwarding.ATTEMPTS}: 1", f"{forwarding.RULES_VERSION}: 1")
            caller = await RawCaller.open(port)
            caller.send(make_head("/unsafe/x", framing, *(handover if is_handed_over else ())))
            await deployed.wait_until(lambda: daemon.front.open_requests, "an open request")
            stop_task = asyncio.create_task(daemon.stop())
            await deployed.wait_until(lambda: daemon.front.is_rejecting, "rejections")
            caller.send(body)
            status, head = await caller.read_answer()
            assert status == 503 and b"Retry-After: " in head
            assert (forwarding.UNAVAILABLE.encode() in head) is is_handed_over
            assert not list_runs(deployed)
            await stop_task
            deployed.daemons.clear()


class TestEndOfTheGracePeriod:
    @pytest.mark.parametrize("memory_mb", [0.0, ENOUGH_MB], ids=["", "bounded"])
    @pytest.mark.parametrize("is_dark", [False, True], ids=["", "dark"])
    @pytest.mark.parametrize(
        "path, lines, status, runs",
        [
            ("/unsafe/x", ("Content-Length: 0",), 502, 1),
            ("/safe/x", ("Content-Length: 0",), 502, 1),
            ("/stream/x", ("Content-Length: 0",), 502, 1),
            ("/unsafe/x", ("Content-Length: 4",), 503, 0),
            ("/safe/x", ("Transfer-Encoding: chunked",), 503, 0),
        ],
    )
    async def test_request_whose_answer_has_not_begun_gets_a_true_answer(
        self,
        path: str,
        lines: tuple[str, ...],
        status: int,
        runs: int,
        is_dark: bool,
        memory_mb: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """The close of a connection waits for bytes that a dark upstream never takes."""
        async with deployments.deploy(daemon_count=0) as deployed:
            allow_long_requests(deployed.site)
            daemon = await deployed.add_daemon(memory_mb=memory_mb)
            await deployed.wait_for_group()
            daemon.settings.bounds.grace_ms = GRACE_MS
            for member in [*deployed.site.engine_runners, *deployed.site.plain_runners]:
                member.faults = [runner.Fault.HANGS]
            caller = await RawCaller.open(daemon.callers_port)
            caller.send(make_head(path, *lines))
            await deployed.wait_until(
                lambda: daemon.front.open_requests and len(list_runs(deployed)) == runs, "a run"
            )
            with monkeypatch.context() as patched:
                if is_dark:
                    patched.setattr(exchange.UpstreamClient, "close", hang)
                async with asyncio.timeout(GRACE_MS / 1000):
                    await daemon.stop()
            answer, head = await caller.read_answer()
            await daemon._upstream_client.close()
            assert answer == status and (b"Retry-After: " in head) is (status == 503)
            assert list_runs(deployed) == [path] * runs
            deployed.daemons.clear()

    async def test_only_streams_that_have_begun_are_cut(self) -> None:
        async with deployments.deploy() as deployed:
            allow_long_requests(deployed.site)
            daemon = deployed.daemons[0]
            await deployed.wait_for_group()
            daemon.settings.bounds.grace_ms = GRACE_MS
            for member in deployed.site.engine_runners:
                member.stream_gate.clear()
            asked = asyncio.create_task(deployed.ask("/stream/x", "POST", deadline_ms=60_000))
            await deployed.wait_until(
                lambda: any(member.requests for member in deployed.site.engine_runners), "a run"
            )
            await asyncio.sleep(0.2)
            async with asyncio.timeout(GRACE_MS / 1000):
                await daemon.stop()
            response = await asked
            assert response.status == 200 and not response.is_whole
            assert response.body.startswith(b"id: 1")
            deployed.daemons.clear()


class TestUnsentBytes:
    async def test_process_does_not_end_before_callers_have_taken_their_answers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(stopping, "BALANCER_REMOVAL_MS", 100)
        async with deployments.deploy(engines=0, daemon_count=0) as deployed:
            daemon = await deployed.add_daemon(memory_mb=ENOUGH_MB)
            await deployed.wait_for_rules()
            daemon.settings.bounds.grace_ms = daemons.SHUTDOWN_MARGIN_MS + 5000
            for member in deployed.site.plain_runners:
                member.padding_bytes = ANSWER_BYTES
            loop = asyncio.get_running_loop()
            with test_slow_readers.open_callers(daemon.callers_port, 1) as (caller,):
                await loop.sock_sendall(caller, make_head("/unsafe/x", "Content-Length: 0"))
                await deployed.wait_until(lambda: list_runs(deployed), "a run")
                handlers = daemon._listeners._http_listeners[2]._runner.server.connections
                await deployed.wait_until(
                    lambda: handlers[0].transport.get_write_buffer_size(), "a full buffer"
                )
                size = 0
                while daemon.front.open_requests:
                    size += len(await loop.sock_recv(caller, 4096))
                # How much of the answer itself is unsent by now depends on the kernel.
                handlers[0].transport.write(UNSENT)
                assert handlers[0].transport.get_write_buffer_size()
                stop_task = asyncio.create_task(daemon.stop())
                await deployed.wait_until(lambda: daemon.front.is_rejecting, "rejections")
                await asyncio.sleep(0.3)
                assert not stop_task.done()
                received, was_reset = await test_slow_readers.read_all(caller)
                assert size + len(received) > ANSWER_BYTES + len(UNSENT) and not was_reset
                assert received.endswith(UNSENT)
            await stop_task
            deployed.daemons.clear()
