"""Contract tests of the engine client: for each fault, the response and whether it may have run."""

import asyncio
import contextlib
import itertools
import tracemalloc

import pytest
import result

from tanagerfork import errors
from tanagerfork.generated import engine
from tanagerfork.upstream import connections
from tanagerfork.upstream import engine as engines
from tests import sites, upstreams
from tests.upstreams import CUT, END, FINISH, SILENT

HEAD = upstreams.head()
ONE, TWO = upstreams.event("one"), upstreams.event("two")

FAULTS = [
    ("whole", [HEAD, ONE, TWO, FINISH + END], 2, None),
    (
        "event split over chunks",
        [HEAD, ONE[:9], ONE[9:] + TWO[:40], TWO[40:], FINISH, END],
        2,
        None,
    ),
    ("head and answer at once", [HEAD + ONE + TWO + FINISH + END], 2, None),
    ("end marker split", [HEAD, ONE + FINISH + END[:6], END[6:]], 1, None),
    ("refused before running", [upstreams.head(extra="X-Not-Run: 1\r\n")], 0, "upstream_refused"),
    (
        "refusal of another attempt",
        [upstreams.head("b", extra="X-Not-Run: 1\r\n")],
        0,
        "upstream_confused",
    ),
    ("crash before the head", [CUT], 0, "upstream_lost"),
    ("garbage for a head", [b"\x00\xff nonsense\r\n\r\n"], 0, "upstream_lost"),
    ("server error", [upstreams.head(status="500 Oops")], 0, "upstream_lost"),
    ("redirect", [upstreams.head(status="307 Go", extra="Location: /x\r\n")], 0, "upstream_lost"),
    ("head of another attempt", [upstreams.head("b"), ONE], 0, "upstream_confused"),
    ("crash after the head", [HEAD, CUT], 0, "upstream_lost"),
    ("crash after a token", [HEAD, ONE, SILENT[:0], CUT], 1, "upstream_lost"),
    ("cut inside an event", [HEAD, ONE, TWO[:20], CUT], 1, "upstream_lost"),
    ("closed without end marker", [HEAD, ONE, TWO, FINISH], 2, "upstream_lost"),
    ("end marker without finish", [HEAD, ONE, END], 1, "upstream_confused"),
    ("silent before the head", [SILENT], 0, "upstream_silent"),
    ("silent after a token", [HEAD, ONE, SILENT], 1, "upstream_silent"),
    ("silent inside an event", [HEAD, ONE, TWO[:20], SILENT], 1, "upstream_silent"),
    ("crossed event", [HEAD, ONE, upstreams.event("x", "b"), END], 1, "upstream_confused"),
    ("crossed event in one chunk", [HEAD, ONE + upstreams.event("x", "b")], 0, "upstream_confused"),
    ("garbage for an event", [HEAD, ONE, b"\x00\xff\n\n"], 1, "upstream_confused"),
    ("events after the end marker", [HEAD, ONE, FINISH + END + TWO], 1, "upstream_confused"),
]


@contextlib.asynccontextmanager
async def run_client():
    """Provide an engine client with its sessions."""
    pool = connections.Pool(asyncio.get_running_loop().time)
    session = connections.open_session(single_use=True)
    try:
        yield engines.HttpEngineClient(pool, session, call_timeout_ms=300)
    finally:
        await session.close()
        await pool.close()


def make_attempt(first_timeout_ms: int = 200) -> engines.Attempt:
    """Return an attempt with short silence timeouts."""
    return engines.Attempt(
        upstreams.ATTEMPT_ID,
        upstreams.REQUEST_ID,
        b"{}",
        first_token_timeout_ms=first_timeout_ms,
        silence_timeout_ms=200,
    )


async def ask(
    client: engines.HttpEngineClient, entry
) -> tuple[bytes, int, errors.UpstreamError | None]:
    """Return the data received, its number of tokens, and the error if it is incomplete."""
    opened = await client.open(entry, make_attempt())
    if isinstance(opened, result.Err):
        return b"", 0, opened.err_value
    data, tokens = b"", 0
    try:
        while True:
            read = await opened.ok_value.next_batch()
            if isinstance(read, result.Err):
                return data, tokens, read.err_value
            data += read.ok_value.data
            tokens += read.ok_value.tokens
            if read.ok_value.is_end:
                return data, tokens, None
    finally:
        await opened.ok_value.close()


class TestFaults:
    @pytest.mark.parametrize(("name", "script", "tokens", "kind"), FAULTS)
    async def test_outcome_and_tokens(self, name, script, tokens, kind):
        async with upstreams.run_upstream(script) as upstream, run_client() as client:
            data, received, error = await ask(client, upstream.entry)
            assert (error.kind if error else None) == kind
            assert received <= tokens if kind == "upstream_confused" else received == tokens
            assert data.count(b'"id":"r1"') == data.count(b"\n\n")
            assert upstreams.ATTEMPT_ID.encode() not in data
            ran = "no" if kind == "upstream_refused" else "unknown"
            assert error is None or error.ran == ran
            assert len(upstream.requests) == 1

    async def test_refused_connection_means_not_run(self):
        async with upstreams.run_upstream([]) as upstream:
            entry = upstream.entry
        async with run_client() as client:
            _, _, error = await ask(client, entry)
            assert (error.kind, error.ran) == ("upstream_unreachable", "no")


class TestConnections:
    @pytest.mark.parametrize("script", [[HEAD, ONE, SILENT], [HEAD, ONE, FINISH + END, SILENT]])
    async def test_connection_of_an_ended_exchange_is_closed(self, script):
        async with upstreams.run_upstream(script) as upstream, run_client() as client:
            await ask(client, upstream.entry)
            await sites.wait_until(lambda: upstream.closed_by_client == 1)

    async def test_pause_of_a_slow_reader_does_not_count_as_silence(self):
        script = [HEAD, ONE, TWO, FINISH + END]
        async with upstreams.run_upstream(script) as upstream, run_client() as client:
            opened = (await client.open(upstream.entry, make_attempt())).unwrap()
            await opened.next_batch()
            await asyncio.sleep(0.5)
            rest = await opened.next_batch()
            assert rest.is_ok()
            await opened.close()

    async def test_cancel_reaches_the_engine(self):
        async with upstreams.run_upstream([upstreams.head(status="204 No")]) as upstream:
            async with run_client() as client:
                await client.cancel(upstream.entry, "a1")
            assert upstream.requests == [b"POST /cancel HTTP/1.1"]


class TestEndlessRecords:
    @pytest.mark.parametrize("call", ["report", "order", "cache events"])
    async def test_memory_stays_bounded(self, call):
        script = itertools.chain([HEAD], itertools.repeat(b"x" * 16_384))
        async with upstreams.run_upstream(script) as upstream, run_client() as client:
            calls = {
                "report": lambda: client.report(upstream.entry),
                "order": lambda: client.send_order(
                    upstream.entry, engine.Order(kind="leave", fencing=1)
                ),
                "cache events": lambda: client.read_cache_events(upstream.entry, 0),
            }
            tracemalloc.start()
            try:
                answer = await calls[call]()
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert answer.is_err() and peak_bytes < 3 * engines.MAX_RECORD_BYTES
