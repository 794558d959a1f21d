"""Requests with one part in their prompts crash runners; sound ones share their first part.

Callers of the sound prompt are quiet for some seconds while the first faulty requests come, and ask
again afterwards, while the faulty ones still come.
"""

import asyncio
import json
import pathlib

import aiohttp
import bed as beds
import model_runners

from tanagerfork_standins.platform import site as sites

FIRST_PART, FAULTY_PART = "5c1e07a2", "91bd3f06"
RUNNERS, BACK_AFTER_S = 8, 3.0  # A crashed runner is back after some seconds.
SOUND_PER_S, FAULTY_PER_S = 1.5, 1.0
BEFORE_S, QUIET_S, AFTER_S = 20.0, 7.0, 40.0
STABLE_S = 3.0
MIN_COUNTED = 20


async def call_stream(bed: beds.Bed, number: int, daemon: beds.Daemon, is_faulty: bool) -> None:
    """Ask for a stream with a prompt of its own behind the shared parts."""
    request_id = f"{number:016x}"
    shared = f"{FIRST_PART}:40,{FAULTY_PART}:410" if is_faulty else f"{FIRST_PART}:40"
    headers = {
        "Host": sites.HOST,
        "Tanagerfork-Request-Id": request_id,
        "Tanagerfork-Deadline-Ms": "6002",
        "Authorization": f"Bearer {sites.API_KEY}",
        "Tanagerfork-Model": sites.SMALL_MODEL,
        "Tanagerfork-Tokens": "674,130",
        "Tanagerfork-Prefix-Hash": f"{shared},{number:08x}:224",
    }
    sent_s = bed.record.now_s
    try:
        async with bed.session.post(
            f"http://{daemon.callers}/stream/note",
            headers=headers,
            data=f"note {number}".encode(),
            timeout=aiohttp.ClientTimeout(total=7),
        ) as response:
            body = await response.read()
            status, note = response.status, ""
            if status != 200:
                note = body[:120].decode("latin-1")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        status, note = 0, type(error).__name__
    kind = "faulty" if is_faulty else "sound"
    bed.answers.append((sent_s, request_id, daemon.name, kind, status, note))


async def send_streams(bed: beds.Bed, per_s: float, is_faulty: bool) -> None:
    """Send streams at a steady rate until cancelled.

    Faulty ones come at any machine. The few callers of the sound prompt are all at the last two
    machines, as the platform chooses the machine by a hash of the client.
    """
    tasks: set[asyncio.Task] = set()
    while True:
        bed.stream_count += 1
        daemons = bed.daemons if is_faulty else bed.daemons[2:]
        daemon = daemons[bed.stream_count % len(daemons)]
        task = asyncio.create_task(call_stream(bed, bed.stream_count, daemon, is_faulty))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / per_s)


async def play(bed: beds.Bed, has_trouble: bool) -> int:
    """Return whether the rule was held; see `bed.run`."""
    await bed.start_platform(0)
    config = sites.Site(("a",), engine_count=0, plain_count=0).make_config()
    bed.store.put("op/config", json.dumps(config).encode())
    runners = [
        model_runners.CrashingRunner(f"i-a{number}", bed, sites.ENGINE_SERVICE, BACK_AFTER_S)
        for number in range(RUNNERS)
    ]
    for runner in runners:
        runner.crashing_parts = {FAULTY_PART} if has_trouble else set()
        await runner.start()
    try:
        await bed.start_daemons(4)
        if not await bed.wait_until_ready():
            return beds.UNABLE
        await asyncio.sleep(4.0)
        await send_in_phases(bed)
        return judge(bed, runners, has_trouble)
    finally:
        for runner in runners:
            await runner.end()


async def send_in_phases(bed: beds.Bed) -> None:
    """Send sound streams, then faulty ones, then both."""
    bed.record.note("sound streams come")
    sound = asyncio.create_task(send_streams(bed, SOUND_PER_S, False))
    await asyncio.sleep(BEFORE_S)
    sound.cancel()
    bed.record.note("the callers of the sound prompt are quiet")
    await asyncio.sleep(1.0)
    bed.record.note("faulty streams come")
    faulty = asyncio.create_task(send_streams(bed, FAULTY_PER_S, True))
    await asyncio.sleep(QUIET_S - 1.0)
    bed.record.note("sound streams come as well")
    sound = asyncio.create_task(send_streams(bed, SOUND_PER_S, False))
    await asyncio.sleep(AFTER_S)
    sound.cancel()
    faulty.cancel()
    await asyncio.sleep(1.0)


def judge(bed: beds.Bed, runners: list, has_trouble: bool) -> int:
    """Return whether sound streams began less than half as often as before the crashes."""
    begun = {
        received.request_id for runner in runners for received in runner.requests if received.has_run
    }
    crashes = sorted(at_s for runner in runners for at_s in runner.crashed_at_s)
    bed.record.note(f"{len(crashes)} crashes: {[round(at_s, 1) for at_s in crashes]}")
    faulty = [answer[0] for answer in bed.answers if answer[3] == "faulty"]
    counted_s = min(faulty)
    if crashes:
        counted_s = crashes[min(4, len(crashes) - 1)] + 2 * STABLE_S
    sound = [answer for answer in bed.answers if answer[3] == "sound"]
    before = [answer[1] in begun for answer in sound if answer[0] < min(faulty)]
    after = [answer[1] in begun for answer in sound if counted_s < answer[0] < max(faulty)]
    bed.record.note(f"before the first faulty stream {sum(before)} of {len(before)} sound ones began")
    bed.record.note(f"later than {counted_s:.1f} {sum(after)} of {len(after)} sound ones began")
    if min(len(before), len(after)) < MIN_COUNTED or (has_trouble and not crashes):
        return beds.UNABLE
    share_before, share_after = sum(before) / len(before), sum(after) / len(after)
    return beds.BROKEN if share_after < share_before / 2 else beds.HELD


beds.run(pathlib.Path(__file__).resolve().parent, play)
