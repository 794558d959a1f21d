"""Slow callers of the soak: they send requests for long answers and do not read them."""

import asyncio
import contextlib
import random
import socket

from tanagerfork_standins.platform import site
from tools import processes, verdicts

MEMORY_MB = 152  # The least that the platform gives a VM.
PATH = "/safe/held-"  # Of their requests, which alone get long answers.
ANSWER_BYTES = 1_000_000
CALLERS = (20, 120)  # At most 120 MB of answers.
HOLD_S = (1.0, 4.0)
BUFFER_BYTES = 4096  # Of the kernel for a caller.
CHECK_INTERVAL_S = 0.1


class SlowCallers:
    """Has callers of a daemon read nothing, and checks the daemon's resident memory meanwhile.

    `most_held` is the highest number of requests that they had open at once.

    :param deployment: stand-ins.
    :param verdict: receives what is not true.
    :param rng: draws how many callers hold answers, and for how long.
    """

    __slots__ = ("_site", "_verdict", "_rng", "_count", "_held", "most_held")

    def __init__(
        self, deployment: site.Site, verdict: verdicts.Verdict, rng: random.Random
    ) -> None:
        self._site = deployment
        self._verdict = verdict
        self._rng = rng
        self._count = 0
        self._held = 0
        self.most_held = 0

    async def hold_answers(self, daemon: processes.Daemon) -> None:
        """Have callers hold long answers for a time.

        :param daemon: daemon that they call.
        """
        for member in self._site.plain_runners:
            member.padding_bytes, member.padded_prefix = ANSWER_BYTES, PATH
        callers = self._rng.randint(*CALLERS)
        self._held += callers
        self.most_held = max(self.most_held, self._held)
        with contextlib.ExitStack() as stack:
            for _ in range(callers):
                caller = stack.enter_context(socket.socket())
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
                with contextlib.suppress(OSError):  # The daemon is being restarted.
                    caller.connect(("127.0.0.1", daemon.callers_port))
                    caller.send(self._make_request())
            await self._check_memory(daemon, self._rng.uniform(*HOLD_S))
        self._held -= callers

    async def _check_memory(self, daemon: processes.Daemon, length_s: float) -> None:
        for _ in range(round(length_s / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if daemon.build.is_present:  # Earlier builds bound nothing.
                resident_mb = daemon.measure_resident_bytes() / 2**20
                text = f"MEMORY: {daemon.describe()} takes {resident_mb:.0f} MB"
                self._verdict.check(resident_mb < MEMORY_MB, text)

    def _make_request(self) -> bytes:
        self._count += 1
        lines = [
            f"GET {PATH}{self._count} HTTP/1.1",
            f"Host: {site.HOST}",
            f"Tanagerfork-Request-Id: held-{self._count}",
            "Tanagerfork-Deadline-Ms: 3000",
            f"Authorization: Bearer {site.API_KEY}",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
