"""Tells a request that crashes upstreams from one whose response was merely lost."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import calls, member_client, members, reach_checks
from tanagerfork.routing import crash_evidence, poison
from tanagerfork.routing import fleet as fleets

LOGGER = "relay.crashes"
FINGERPRINT_LENGTH = 16  # Hex digits that tell the requests of one crash apart.
RESTART_WAIT_MS = 100  # A killed process has released its port by then.


def make_fingerprint(request: calls.CallerRequest, team: str) -> str:
    """Return a fingerprint that stays the same if a request is sent again under another id.

    :param request: caller's request.
    :param team: team of the request; empty for none.
    """
    return poison.make_fingerprint(f"{team} {request.method} {request.path}", request.body)


@dataclasses.dataclass(slots=True, frozen=True)
class LostRequest:
    """A request whose response an upstream broke off.

    `prompt_parts` are those parts of its prompt that other requests may share.
    """

    request_id: str
    fingerprint: str
    prompt_parts: tuple[str, ...] = ()


class CrashWatch:
    """Checks whether an upstream that broke off a response crashed, and suspects the request.

    :param suspects: requests suspected of crashing upstreams.
    :param evidence: parts of prompts suspected of crashing upstreams.
    :param client: asks upstreams for their state.
    :param checks: checks whether this daemon reaches the upstreams.
    :param announce: announces a suspected request to the other daemons.
    :param clock: clock of all decisions.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = (
        "_suspects",
        "_evidence",
        "_client",
        "_reach_checks",
        "_announce",
        "_clock",
        "_log",
        "_metrics",
        "_tasks",
    )

    def __init__(
        self,
        suspects: poison.PoisonRegister,
        evidence: crash_evidence.CrashEvidence,
        client: member_client.MemberClient,
        checks: reach_checks.ReachChecks,
        announce: Callable[[fleets.PoisonNotice], None],
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._suspects = suspects
        self._evidence = evidence
        self._client = client
        self._reach_checks = checks
        self._announce = announce
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def quarantine_left_ms(self, fingerprint: str, prompt_parts: Sequence[str]) -> float:
        """Return how much longer a request is quarantined, in milliseconds; 0 if it may run.

        :param fingerprint: fingerprint of the request.
        :param prompt_parts: shared parts of its prompt.
        """
        now_ms = self._clock.monotonic_ms()
        return max(
            self._suspects.quarantine_left_ms(fingerprint, now_ms),
            self._evidence.quarantine_left_ms(prompt_parts, now_ms),
        )

    def record_success(self, fingerprint: str, prompt_parts: Sequence[str]) -> None:
        """Clear the suspicion of a request whose response was a complete success.

        :param fingerprint: fingerprint of the request.
        :param prompt_parts: shared parts of its prompt.
        """
        self._suspects.record_completed(fingerprint)
        self._evidence.record_answer(prompt_parts, self._clock.monotonic_ms())

    def check_for_crash(self, lost: LostRequest, upstream: members.Upstream) -> None:
        """Start a check of whether an upstream broke off a response because it crashed.

        :param lost: request whose response was broken off.
        :param upstream: upstream that broke off the response.
        """
        task = asyncio.create_task(self._check_crash(lost, upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_crash(self, lost: LostRequest, upstream: members.Upstream) -> None:
        lost_at_ms = self._clock.monotonic_ms()
        await self._clock.sleep_ms(RESTART_WAIT_MS)
        probed_at_ms = self._clock.monotonic_ms()
        asked = await self._client.probe(upstream)
        took_ms = self._clock.monotonic_ms() - probed_at_ms
        if took_ms and self._reach_checks.was_late(probed_at_ms, took_ms):
            asked = await self._client.probe(upstream)  # The first may have timed out by that.
        if isinstance(asked, result.Ok) and asked.ok_value.born_at_ms == upstream.born_at_ms:
            return
        if isinstance(asked, result.Err) and not await self._reach_checks.confirm(upstream.service):
            return
        self._metrics.count("relay_crash_losses_total")
        self._log.note(
            LOGGER,
            "request lost in a crash",
            request_id=lost.request_id,
            fingerprint=lost.fingerprint,
            prompt_parts=list(lost.prompt_parts),
            upstream=upstream.id,
        )
        now_ms = self._clock.monotonic_ms()
        crash = f"{upstream.id}/{upstream.born_at_ms}"
        request = lost.fingerprint[:FINGERPRINT_LENGTH]
        self._evidence.record_crash(lost.prompt_parts, crash, request, lost_at_ms, now_ms)
        notice = self._suspects.record_crash(lost.fingerprint, upstream.id, now_ms)
        if notice is None:
            return
        self._log.note(
            LOGGER,
            "request suspected",
            request_id=lost.request_id,
            fingerprint=lost.fingerprint,
            upstream=upstream.id,
            crashes=notice.crashes,
            is_quarantined=notice.is_quarantined,
        )
        self._announce(notice)
