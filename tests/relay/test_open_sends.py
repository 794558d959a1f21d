"""Sends of one request that are open at the same time."""

import asyncio
from unittest import mock

from tanagerfork.relay import calls, open_sends
from tanagerfork.relay import progress as progresses

ANSWERED, LOST = calls.Outcome.ANSWERED, calls.Outcome.LOST


class ListSink:
    """Sink that collects what is written."""

    def __init__(self) -> None:
        self.has_started = False
        self.written: list[bytes] = []

    async def start_stream(self, status: int, headers: calls.Headers) -> None:
        self.has_started = True

    async def send(self, data: bytes) -> None:
        self.written.append(data)
        await asyncio.sleep(0)

    async def finish_stream(self) -> None:
        """Do nothing."""

    async def send_response(self, status: int, headers: calls.Headers, body: bytes) -> None:
        self.written.append(body)

    def abort(self) -> None:
        """Do nothing."""


class ScriptedSend:
    """A send that is silent until it is told what to do."""

    def __init__(self) -> None:
        self.told: asyncio.Queue[bytes | calls.Outcome] = asyncio.Queue()
        self.was_cancelled = False

    async def run(self, send: open_sends.Send, sink: progresses.Sink) -> calls.Outcome:
        send.note_silence("nothing for 400 ms")
        try:
            while isinstance(said := await self.told.get(), bytes):
                await sink.send(said)
            return said
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise


def open_two(
    sink: ListSink,
) -> tuple[open_sends.OpenSends, mock.Mock, ScriptedSend, ScriptedSend]:
    progress = mock.Mock(open_sends=0)
    sends = open_sends.OpenSends(progress, sink)
    first, second = ScriptedSend(), ScriptedSend()
    sends.start(first.run)
    sends.start(second.run)
    return sends, progress, first, second


class TestOpenSends:
    async def test_send_that_writes_first_ends_the_other(self) -> None:
        sink = ListSink()
        sends, progress, first, second = open_two(sink)
        assert await sends.wait(1000) is None and sends.are_silent
        first.told.put_nowait(b"a")
        second.told.put_nowait(b"b")
        await asyncio.sleep(0.01)
        assert sink.written == [b"a"] and second.was_cancelled and not sends.are_silent
        assert progress.open_sends == 1
        first.told.put_nowait(ANSWERED)
        assert await sends.wait(1000) is ANSWERED and not sends.is_any_open

    async def test_send_that_fails_leaves_the_other_open(self) -> None:
        sends, progress, first, second = open_two(ListSink())
        second.told.put_nowait(LOST)
        while (outcome := await sends.wait(1000)) is None:
            pass
        assert outcome is LOST and sends.is_any_open and progress.open_sends == 1
        first.told.put_nowait(b"a")
        first.told.put_nowait(ANSWERED)
        while (outcome := await sends.wait(1000)) is None:
            pass
        assert outcome is ANSWERED

    async def test_wait_ends_after_its_limit_while_all_are_silent(self) -> None:
        sends, _, _, _ = open_two(ListSink())
        assert await sends.wait(1000) is None
        assert await sends.wait(20) is None
        await sends.close()

    async def test_send_that_is_cancelled_before_its_first_step_counts_no_more(self) -> None:
        sends, progress, first, second = open_two(ListSink())
        await sends.close()
        assert progress.open_sends == 0 and not sends.is_any_open

    async def test_close_ends_all_sends(self) -> None:
        sends, progress, first, second = open_two(ListSink())
        assert await sends.wait(1000) is None
        await sends.close()
        assert first.was_cancelled and second.was_cancelled and progress.open_sends == 0
