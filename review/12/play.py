"""Streams whose ids increase by the tokens of each event, and not by one.

The rule allows three requests of kept connections that were passed on to sound runners and whose
connection was closed without an answer.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))

import bed  # noqa: E402
from tanagerfork_standins.platform import runner as runners  # noqa: E402
from tanagerfork_standins.platform import site as sites  # noqa: E402

ALLOWED = 3
TOKENS_OF_EVENT = 5
EVENTS = 6
PLAY_S = 15.0
FORM_S = 6.0


class Numbering:
    """Writes the events of a runner's streams, numbered by the tokens sent or by events."""

    def __init__(self, runner: runners.Runner, step: int, record: bed.Record) -> None:
        self._runner, self._step, self._record = runner, step, record
        runner._send_events = self.send_events  # type: ignore[method-assign,assignment]

    async def send_events(self, request, response, fault) -> None:  # type: ignore[no-untyped-def]
        """Write the events after the one that the request names, and end the stream."""
        request_id = request.headers[runners.REQUEST_ID_HEADER]
        last = int(request.headers.get("Last-Event-Id", "0"))
        self._record.note(f"{self._runner.id} begins to run {request_id} after event {last}")
        for number in range(last + self._step, EVENTS * self._step + 1, self._step):
            await asyncio.sleep(runners.EVENT_GAP_S)
            await response.write(f"id: {number}\ndata: {self._runner.id}\n\n".encode())
        await response.write_eof()


async def call_streams(
    case: bed.Bed, daemon: bed.Daemon, name: str, counts: dict[str, int]
) -> None:
    """Send streams over a kept connection, one after the other."""
    caller, number = case.caller(daemon), 0
    ends_s = case.record.now_s + PLAY_S
    while case.record.now_s < ends_s:
        number += 1
        request_id = f"{name}-{number}"
        headers = {"Tanagerfork-Model": sites.SMALL_MODEL, "Tanagerfork-Tokens": "100,30"}
        answer = await caller.call("POST", f"/stream/{request_id}", request_id, headers, b"prompt")
        outcome = "complete" if answer.is_complete and answer.status == 200 else "refused"
        if not answer.is_complete:
            outcome = "cut"
        counts[outcome] = counts.get(outcome, 0) + 1
        case.record.note(
            f"{daemon.name} answers {request_id} with {answer.status}, {outcome}, "
            f"{answer.body.count(b'data:')} events"
        )
        await asyncio.sleep(0.1)


async def main() -> int:
    """Play the case and end all that it started."""
    case = bed.Bed(FOLDER, sites.Site(("a", "b"), engine_count=4, plain_count=2))
    step = TOKENS_OF_EVENT if case.has_trouble else 1
    for runner in case.site.engine_runners:
        Numbering(runner, step, case.record)
    counts: dict[str, int] = {}
    try:
        await case.start({"a": 2, "b": 2})
        await asyncio.sleep(FORM_S)
        await asyncio.gather(
            *(
                call_streams(case, daemon, f"s{index}", counts)
                for index, daemon in enumerate(case.daemons * 2)
            )
        )
    finally:
        await case.stop()
    text = f"ids rise by {step}: {counts}; {ALLOWED} connections may be cut"
    print(text)
    case.record.note(text)
    if not sum(counts.values()):
        return bed.NOT_RUN
    return bed.BROKEN if counts.get("cut", 0) > ALLOWED else bed.KEPT


bed.run(main)
