"""Evacuations of failure domains in the soak, and the requests that must not come there then."""

import asyncio
import dataclasses
import math
import random

from tanagerfork_standins.platform import site
from tools import keys, verdicts

# Between the platform's bounds for a stable store, 5 s, and for an unstable one, 11 s.
APPLY_S = keys.APPLY_S


@dataclasses.dataclass(slots=True)
class Evacuation:
    """Times of the event loop when the store confirmed its begin and its end."""

    failure_domain: str
    begun_s: float
    ended_s: float = math.inf


class Evacuations:
    """Evacuates one failure domain at a time, as the operator does.

    :param deployment: stand-ins.
    :param verdict: receives the violations.
    :param rng: draws the failure domains.
    """

    __slots__ = ("_site", "_verdict", "_rng", "_found")

    def __init__(
        self, deployment: site.Site, verdict: verdicts.Verdict, rng: random.Random
    ) -> None:
        self._site = deployment
        self._verdict = verdict
        self._rng = rng
        self._found: list[Evacuation] = []

    async def evacuate(self, length_s: float) -> None:
        """Evacuate a failure domain for a time, unless one is evacuated already.

        :param length_s: duration, in seconds.
        """
        if self._list_open():
            return
        domains = sorted({member.failure_domain for member in self._site.engine_runners})
        self._begin(self._rng.choice(domains))
        await asyncio.sleep(length_s)
        for found in self._list_open():
            self._end(found)

    def note_restored(self) -> None:
        """Write what a restore of the store has lost, and remove what it has brought back."""
        evacuated = self._list_open()
        for key in [key for key in self._site.store.items if key.startswith(site.EVACUATIONS)]:
            self._site.store.remove(key)
        for found in evacuated:
            self._end(found)
            self._begin(found.failure_domain)

    def check(self) -> None:
        """Check that no request ran in a failure domain that was evacuated in time."""
        for found in self._found:
            for member in [*self._site.engine_runners, *self._site.plain_runners]:
                late = [
                    run
                    for run in member.requests
                    if member.failure_domain == found.failure_domain
                    and run.has_run
                    and found.begun_s + APPLY_S < run.received_at_s < found.ended_s
                ]
                text = f"EVACUATED: {member.id} runs {late[0].request_id}" if late else ""
                self._verdict.check(not late, text)

    def _list_open(self) -> list[Evacuation]:
        return [found for found in self._found if found.ended_s == math.inf]

    def _begin(self, failure_domain: str) -> None:
        self._site.begin_evacuation(failure_domain)
        begun_s = asyncio.get_running_loop().time()
        self._found.append(Evacuation(failure_domain, begun_s))

    def _end(self, found: Evacuation) -> None:
        found.ended_s = asyncio.get_running_loop().time()
        self._site.end_evacuation(found.failure_domain)
