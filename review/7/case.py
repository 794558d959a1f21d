"""A lookup that crashes the runner which begins to run it comes again and again.

The ledger has three runners. The lookup is of a safe route with two attempts, and its client makes
one retry of its own, as the sheet says.
"""

import asyncio
import pathlib

import bed as beds

POISON, LOOKUP = "/safe/lots/417", "/safe/lots/1"
RETURN_S = 10.0  # The lookup comes again each ten seconds.
RETURNS = 7
BACK_AFTER_S = 3.0  # A crashed runner is back after some seconds.
STABLE_S = 3.0
MAX_LATE = 3


async def call_with_retry(bed: beds.Bed, number: int, path: str) -> None:
    """Send a lookup, and once more at once, on another machine, if it fails."""
    for attempt in range(2):
        daemon = bed.daemons[(number + attempt) % len(bed.daemons)]
        _, status, _ = await bed.call(daemon, path)
        if status == 200:
            return


async def send_lookups(bed: beds.Bed) -> None:
    """Send sound lookups, of which each has one retry, until cancelled."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(call_with_retry(bed, number, LOOKUP))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


async def play(bed: beds.Bed, has_trouble: bool) -> int:
    """Return whether the rule was held; see `bed.run`."""
    beds.write_config(bed.store)
    await bed.start_platform(3, work_s=0.045)
    for runner in bed.runners:
        runner.back_after_s = BACK_AFTER_S
        if has_trouble:
            runner.crashing_paths.add(POISON)
    await bed.start_daemons(4)
    if not await bed.wait_until_ready():
        return beds.UNABLE
    await asyncio.sleep(2 * STABLE_S)
    lookups = asyncio.create_task(send_lookups(bed))
    for number in range(RETURNS):
        await asyncio.sleep(RETURN_S)
        await call_with_retry(bed, number, POISON)
    await asyncio.sleep(1.0)
    lookups.cancel()
    return judge(bed, has_trouble)


def judge(bed: beds.Bed, has_trouble: bool) -> int:
    """Return whether the lookup reached runners too often after it had crashed three."""
    reached_s = sorted(a.at_s for a in bed.arrivals if a.path == POISON and a.status != 421)
    found = [answer for answer in bed.answers if answer[3] == LOOKUP]
    failed = sum(answer[4] != 200 for answer in found)
    bed.record.note(f"sound lookups: {len(found)} attempts, {failed} of them failed")
    bed.record.note(f"runners crashed {sum(runner.crashes for runner in bed.runners)} times")
    if not has_trouble:
        return beds.HELD if failed == 0 else beds.UNABLE
    if len(reached_s) < MAX_LATE:
        return beds.HELD
    limit_s = reached_s[2] + STABLE_S
    late = {a.request_id for a in bed.arrivals if a.path == POISON and a.at_s > limit_s}
    sends = sum(at_s > limit_s for at_s in reached_s)
    bed.record.note(
        f"the lookup crashed the third runner at {reached_s[2]:.3f}; later than {STABLE_S} s after "
        f"that, {len(late)} client attempts reached runners, {sends} times; {MAX_LATE} are allowed"
    )
    return beds.BROKEN if len(late) > MAX_LATE else beds.HELD


beds.run(pathlib.Path(__file__).resolve().parent, play)
