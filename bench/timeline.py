"""Causal order in a merged timeline, and the cost of an event.

Daemons send each other messages at random. The event of the sender is the cause, the event that
the receiver records is the effect. The same events are sorted by wall clocks and by hybrid
logical clocks.

Run: python -m bench.timeline [SEED]
"""

import contextlib
import dataclasses
import random
import sys
import time
import tracemalloc

from aiohttp import test_utils, web

from tanagerfork import clock as clocks
from tanagerfork import metrics
from tanagerfork.front import journal
from tanagerfork.timeline import kinds, merge, ring

SKEWS_MS = (1, 10, 100, 250)
DAEMONS = 20
MESSAGES = 5_000
STEP_MS = 0.2  # Mean time between two messages of all daemons.
HOP_MS = (1, 3)
START_MS = 1_800_000_000_000
COST_EVENTS = 20_000
KIND = kinds.EventKind.PEER_STATE
DETAIL = "was whole; missing: f12-vm3"


class SkewedClock(clocks.ManualClock):
    """A manual clock whose wall time is ahead by a fixed skew."""

    def __init__(self, skew_ms: int) -> None:
        super().__init__(0, START_MS + skew_ms)


@dataclasses.dataclass(slots=True)
class Pair:
    """Sort keys of a cause and its effect."""

    plain_cause: tuple[int, int]
    plain_effect: tuple[int, int]
    hybrid_cause: tuple[int, int, str, int]
    hybrid_effect: tuple[int, int, str, int]


def exchange_messages(skew_ms: int, rng: random.Random) -> list[Pair]:
    """Exchange messages about events between daemons with skewed clocks.

    :param skew_ms: largest difference between two clocks.
    :param rng: random number generator.
    :return: causes with their effects.
    """
    own = [SkewedClock(rng.randint(0, skew_ms)) for _ in range(DAEMONS)]
    told = [ring.Timeline(f"d{number}", own[number], 10**6, 10**9) for number in range(DAEMONS)]
    pairs = []
    now_ms = 0.0
    for _ in range(MESSAGES):
        now_ms += rng.expovariate(1 / STEP_MS)
        sender, receiver = rng.sample(range(DAEMONS), 2)
        advance_to(own[sender], now_ms)
        plain_cause = own[sender].wall_ms(), sender
        cause = told[sender].record(KIND, DETAIL)
        sent = told[sender].stamp()
        advance_to(own[receiver], now_ms + rng.randint(*HOP_MS))
        told[receiver].observe(sent.wall_ms, sent.counter)
        effect = told[receiver].record(KIND, DETAIL)
        plain_effect = own[receiver].wall_ms(), receiver
        pairs.append(Pair(plain_cause, plain_effect, merge.sort_key(cause), merge.sort_key(effect)))
    return pairs


def advance_to(clock: clocks.ManualClock, at_ms: float) -> None:
    """Move a clock forward to a time, never back.

    :param clock: clock.
    :param at_ms: time since the start.
    """
    clock.advance(max(0, int(at_ms) - clock.monotonic_ms()))


def measure_cost() -> tuple[float, float, float]:
    """Return the CPU time of an event and of a timestamp, in µs, and the bytes of an event."""
    timeline = ring.Timeline("d0", clocks.SystemClock(), COST_EVENTS, 10**9)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(COST_EVENTS):
        timeline.record(KIND, DETAIL, group="ipoh-a/rota-writer/3")
    memory_bytes = (tracemalloc.get_traced_memory()[0] - before) / COST_EVENTS
    tracemalloc.stop()
    began = time.process_time()
    for _ in range(COST_EVENTS):
        timeline.record(KIND, DETAIL, group="ipoh-a/rota-writer/3")
    event_us = (time.process_time() - began) / COST_EVENTS * 1e6
    began = time.process_time()
    for _ in range(COST_EVENTS):
        timeline.stamp()
    stamp_us = (time.process_time() - began) / COST_EVENTS * 1e6
    return event_us, stamp_us, memory_bytes


def measure_request() -> tuple[float, float]:
    """Return the CPU time of a journal entry, in µs, and its memory, in bytes."""
    clock = clocks.SystemClock()
    timeline = ring.Timeline("d0", clock, 10)
    notes = journal.Journal("d0", clock, timeline, metrics.Metrics())
    response = web.Response(headers={journal.REQUEST_ID_HEADER: "x"})
    requests = []
    for number in range(journal.KEPT_REQUESTS):
        headers = {journal.REQUEST_ID_HEADER: f"request-{number:032}"}
        request = test_utils.make_mocked_request("POST", "/v1/chat/completions", headers)
        request[journal.TEAM_KEY] = "growers"
        requests.append(request)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for request in requests:
        note(notes, request, None)
    memory_bytes = (tracemalloc.get_traced_memory()[0] - before) / len(requests)
    tracemalloc.stop()
    began = time.process_time()
    for request in requests:
        note(notes, request, response)
    return (time.process_time() - began) / len(requests) * 1e6, memory_bytes


def note(notes: journal.Journal, request: web.Request, response: web.Response | None) -> None:
    """Record one request in the journal.

    :param notes: journal.
    :param request: request.
    :param response: response to the request; None if the caller disconnected.
    """

    async def answer(_: web.Request) -> web.StreamResponse:
        if response is None:
            raise ConnectionResetError
        return response

    with contextlib.suppress(StopIteration, ConnectionResetError):
        notes.note(request, answer).send(None)


def main() -> None:
    """Print the shares of misordered pairs and the costs."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(f"seed {seed}, {DAEMONS} daemons, {MESSAGES} cause-effect pairs, hops of {HOP_MS} ms")
    print("skew ms  plain wall clocks  hybrid logical clocks   (share of pairs out of order)")
    for skew_ms in SKEWS_MS:
        pairs = exchange_messages(skew_ms, random.Random(seed))
        plain = sum(pair.plain_cause > pair.plain_effect for pair in pairs) / len(pairs)
        hybrid = sum(pair.hybrid_cause > pair.hybrid_effect for pair in pairs) / len(pairs)
        print(f"{skew_ms:7}  {plain:17.1%}  {hybrid:21.1%}")
    event_us, stamp_us, memory_bytes = measure_cost()
    request_us, note_bytes = measure_request()
    print(f"noting a request costs {request_us:.1f} us, a note takes {note_bytes:.0f} bytes")
    print(
        f"an event costs {event_us:.1f} us and {memory_bytes:.0f} bytes, a stamp {stamp_us:.1f} us"
    )


if __name__ == "__main__":
    main()
