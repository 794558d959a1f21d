"""A stream that has begun and breaks off, while the next upstream answers with an error."""

import asyncio
from unittest import mock

import pytest

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.platform import headers
from tanagerfork.relay import attempts, calls, events, front, responses
from tanagerfork_standins.platform import runner, site
from tests.relay import deployments

FAULT = runner.Fault
WHOLE = [b"id: %d" % event_id for event_id in range(1, 6)]


def list_ids(body: bytes) -> list[bytes]:
    return [line for line in body.split(b"\n") if line.startswith(b"id")]


async def read_raw(deployed: deployments.Deployment, version: str = "1.1") -> tuple[bytes, bool]:
    """Return all bytes that a caller of a stream gets, and whether the connection was reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", deployed.daemons[0].callers_port)
    writer.write(
        f"POST /stream/x HTTP/{version}\r\nHost: {site.HOST}\r\nConnection: close\r\n"
        f"Authorization: Bearer {site.API_KEY}\r\nTanagerfork-Request-Id: raw1\r\n"
        "Tanagerfork-Deadline-Ms: 3000\r\nTanagerfork-Tokens: 100,20\r\n"
        f"Tanagerfork-Model: {site.SMALL_MODEL}\r\nContent-Length: 5\r\n\r\nhello".encode()
    )
    received = b""
    try:
        while part := await reader.read(65_536):
            received += part
    except ConnectionError:
        return received, True
    finally:
        writer.close()
    return received, False


class TestErrorAfterABrokenStream:
    """The first upstream resets its stream within an event; the others show the fault."""

    @pytest.mark.parametrize(
        "fault, failure_status",
        [
            (FAULT.FULL, 0),
            (FAULT.FULL_SILENTLY, 0),
            (FAULT.RESETS, 0),
            (FAULT.NO_BYTES, 0),
            (FAULT.CROSSED, 0),
            (FAULT.NO_RECEIPT, 0),
            (FAULT.FAILS, 500),
            (FAULT.FAILS, 404),
            (FAULT.FAILS, 200),  # A page that tells of the error.
        ],
    )
    @pytest.mark.parametrize("attempts", [2, 3])
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_caller_gets_events_alone_and_sees_that_the_stream_is_cut(
        self, fault: runner.Fault, failure_status: int, attempts: int, version: str
    ) -> None:
        async with deployments.deploy(engines=8) as deployed:
            config = deployed.site.make_config()
            for route in config["routes"]:
                route["attempts"] = attempts
            deployed.site.write_config(routes=config["routes"])
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_groups(site.ENGINE_SERVICE, "")) == 3,
                "three groups",
            )
            shared_faults = [FAULT.RESETS_MIDWAY, *[fault] * 12]
            for member in deployed.site.engine_runners:
                member.faults = shared_faults
                member.failure_status = failure_status
            received, was_reset = await read_raw(deployed, version)
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200") or head.startswith(b"HTTP/1.0 200")
            assert list_ids(body.replace(b"\r", b"")) == WHOLE[:2]
            for unwanted in (b"HTTP/1", b"failed", b"error", b"Retry-After", b"par"):
                assert unwanted not in body, body
            assert not body.endswith(b"0\r\n\r\n")
            assert was_reset or version == "1.1"

    async def test_own_error_does_not_follow_a_stream_that_has_begun(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def fail_after_start(request: calls.CallerRequest, sink: front.WebSink) -> None:
            await sink.start_stream(200, [])
            await sink.send(b"id: 1\ndata: x\n\n")
            raise errors.NotRun("no upstream is left; retry later", 100)

        async with deployments.deploy(engines=0) as deployed:
            await deployed.wait_for_rules()
            monkeypatch.setattr(attempts.Relay, "serve", lambda _, *given: fail_after_start(*given))
            received, _ = await read_raw(deployed)
            assert received.count(b"HTTP/1") == 1 and b"not_run" not in received
            assert not received.endswith(b"0\r\n\r\n")
            assert deployed.log.find('"outcome":"cut"')


class TestFirstEventOfAResumedStream:
    @pytest.mark.parametrize(
        "last_id, data, is_accepted",
        [
            ("2", b"id: 3\ndata: x\n\n", True),
            ("2", b"id: 4\ndata: x\n\n", False),
            ("2", b"error: out of memory\n\n", False),
            ("", b"data: x\n\n", True),
            ("x", b"data: x\n\n", True),
        ],
    )
    def test_it_has_the_next_id_where_events_are_counted(
        self, last_id: str, data: bytes, is_accepted: bool
    ) -> None:
        fed = events.EventSplitter(last_id).feed(data)
        assert fed.is_ok() is is_accepted

    def test_later_events_may_have_no_id(self) -> None:
        fed = events.EventSplitter("2").feed(b"id: 3\ndata: x\n\n: still here\n\n")
        assert fed.is_ok()


class RecordingSink:
    """Sink that keeps what a caller gets."""

    def __init__(self) -> None:
        self.has_started = False
        self.received = b""

    async def start_stream(self, status: int, headers: calls.Headers) -> None:
        self.has_started = True

    async def send(self, data: bytes) -> None:
        self.received += data

    async def finish_stream(self) -> None:
        """Do nothing."""


class TestTypeOfAStream:
    async def test_page_that_broke_off_before_the_stream_began_does_not_set_its_type(self) -> None:
        relay = responses.ResponseRelay(headers.PlatformDialect(), clocks.ManualClock())
        progress = mock.Mock(stream_type="", last_event_id="", answer_events=0)
        sink = RecordingSink()
        for media_type, chunks in (
            ("text/plain", [b"out of mem"]),
            ("text/event-stream", [b"id: 1\ndata: x\n\nid: 2"]),
            ("text/event-stream; charset=utf-8", [b"id: 2\ndata: x\n\n"]),
        ):
            response = mock.Mock(status=200, headers=[])
            response.http_response.headers = {"Content-Type": media_type}
            read_chunk = mock.AsyncMock(side_effect=[*chunks, b""])
            relayed = await relay.relay_stream(progress, response, sink, read_chunk, mock.Mock())
        assert relayed.is_ok() and list_ids(sink.received) == WHOLE[:2]

    async def test_type_is_that_of_the_send_that_began_the_stream(self) -> None:
        """Two sends are open at the same time; the one that gets its headers first writes first."""
        relay = responses.ResponseRelay(headers.PlatformDialect(), clocks.ManualClock())
        progress = mock.Mock(stream_type="", last_event_id="", answer_events=0)
        sink, has_headers = RecordingSink(), asyncio.Event()

        async def read_later(*_: object) -> bytes:
            await has_headers.wait()
            return b"" if sink.has_started else b"id: 1\ndata: x\n\n"

        async def read_never(*_: object) -> bytes:
            has_headers.set()
            return await asyncio.Event().wait() or b""

        tasks = []
        for media_type, read in (("text/event-stream", read_later), ("text/plain", read_never)):
            response = mock.Mock(status=200, headers=[])
            response.http_response.headers = {"Content-Type": media_type}
            relaying = relay.relay_stream(progress, response, sink, read, mock.Mock())
            tasks.append(asyncio.create_task(relaying))
        assert (await tasks[0]).is_ok() and progress.stream_type == "text/event-stream"
        tasks[1].cancel()
