"""Crashes: tells a request that crashes its upstreams from one whose answer was lost."""

import asyncio
from collections.abc import Callable

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork.relay import calls, coordinator, members
from tanagerfork.routing import fleet as fleets
from tanagerfork.routing import poison

LOGGER = "relay.crashes"
RESTART_MS = 100  # A process that was killed has left its port by then.


def make_fingerprint(request: calls.CallerRequest, team: str) -> str:
    """Return what stays the same when a request comes again under another id.

    :param request: caller's request.
    :param team: its team.
    """
    return poison.make_fingerprint(f"{team} {request.method} {request.path}", request.body)


class CrashWatch:
    """Asks an upstream that broke off whether it has crashed, and blames what was in flight.

    :param suspects: requests that may crash upstreams.
    :param client: asks upstreams.
    :param tell: tells the other daemons.
    :param clock: clock of all decisions.
    :param log: decision log.
    """

    __slots__ = ("_suspects", "_client", "_tell", "_clock", "_log", "_tasks")

    def __init__(
        self,
        suspects: poison.PoisonRegister,
        client: coordinator.MemberClient,
        tell: Callable[[fleets.PoisonNotice], None],
        clock: clocks.Clock,
        log: decisions.DecisionLog,
    ) -> None:
        self._suspects = suspects
        self._client = client
        self._tell = tell
        self._clock = clock
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def quarantine_left_ms(self, fingerprint: str) -> int:
        """Return how long a request is not run; 0 where it may run.

        :param fingerprint: fingerprint of the request.
        """
        return self._suspects.quarantine_left_ms(fingerprint, self._clock.monotonic_ms())

    def note_whole(self, fingerprint: str) -> None:
        """Clear a request, as its answer became whole.

        :param fingerprint: fingerprint of the request.
        """
        self._suspects.note_whole(fingerprint)

    def note_break(self, fingerprint: str, upstream: members.Upstream, request_id: str) -> None:
        """Find out whether an upstream crashed that broke off a request.

        :param fingerprint: fingerprint of the request.
        :param upstream: upstream that broke it off.
        :param request_id: id of the request, for the log.
        """
        task = asyncio.create_task(self._check(fingerprint, upstream, request_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, fingerprint: str, upstream: members.Upstream, request_id: str) -> None:
        await self._clock.sleep_ms(RESTART_MS)
        told = await self._client.ask(upstream)
        if isinstance(told, result.Ok) and told.ok_value.born_at_ms == upstream.born_at_ms:
            return
        now_ms = self._clock.monotonic_ms()
        word = self._suspects.note_crash(fingerprint, upstream.id, now_ms)
        if word is None:
            return
        self._log.note(
            LOGGER,
            "request suspected",
            request_id=request_id,
            fingerprint=fingerprint,
            upstream=upstream.id,
            crashes=word.crashes,
            is_quarantined=word.is_quarantined,
        )
        self._tell(word)
