"""Tells a request that crashes upstreams from one whose response was merely lost."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Sequence

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.relay import calls, member_client, members, reach_checks
from tanagerfork.routing import crash_evidence, poison
from tanagerfork.routing import fleet as fleets

LOGGER = "relay.crashes"
FINGERPRINT_LENGTH = 16  # Hex digits that tell the requests of one crash apart.
MAX_LOGGED_PARTS = 32
RESTART_WAIT_MS = 100  # A killed process has released its port by then.
PROBE_INTERVAL_MS = 400  # Between an unanswered probe and the next one.
# A process that ends may answer for a while after it broke off responses, so that only an answer
# this long after the loss shows that it goes on.
SURVIVAL_MS = 1500
DARK_MS = 2000  # A sound upstream may be silent for a second or so.
REACH_INTERVAL_MS = 100  # Between looks whether an upstream of the service is reached again.
# Crashed upstreams start again, and partitions end, after some seconds.
MAX_CHECK_MS = 60_000
MAX_REPLACED = 4096  # Starts of upstreams that are known to have been followed by others.


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
    sent_at_ms: float
    prompt_parts: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Check:
    """A check under way; `is_answered` is set if the request was answered completely meanwhile.

    `born_at_ms` is the start of the upstream that broke off the response.
    """

    lost: LostRequest
    run: poison.LostRun
    upstream: members.Upstream
    born_at_ms: int
    is_answered: bool = False


class CrashWatch:
    """Checks whether an upstream that broke off a response crashed, and suspects the request.

    A new start shows a crash; so does refusing connections while another upstream of the service is
    reached. An answer of the same start shows that there was none, unless it comes at once. An
    upstream that is silent may go on, so that it is probed again; it has crashed if it stays silent
    while others are reached. While none is reached, either all have crashed or this daemon is cut
    off: the check goes on once one is reached again.

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
        "_checks",
        "_replaced",
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
        self._checks: dict[asyncio.Task[None], Check] = {}
        # Starts that probes have found, by the start before; the list follows later.
        self._replaced: collections.OrderedDict[tuple[str, int], int] = collections.OrderedDict()

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
        now_ms = self._clock.monotonic_ms()
        self._suspects.record_completed(fingerprint, now_ms)
        self._evidence.record_answer(prompt_parts, now_ms)
        for check in self._checks.values():
            check.is_answered |= check.lost.fingerprint == fingerprint

    def check_for_crash(self, lost: LostRequest, upstream: members.Upstream) -> None:
        """Start a check of whether an upstream broke off a response because it crashed.

        :param lost: request whose response was broken off.
        :param upstream: upstream that broke off the response.
        """
        born_at_ms = self._find_start(upstream)
        crash = f"{upstream.id}/{born_at_ms}"
        run = poison.LostRun(lost.sent_at_ms, self._clock.monotonic_ms(), crash)
        check = Check(lost, run, upstream, born_at_ms)
        task = asyncio.create_task(self._run_check(check))
        self._checks[task] = check
        task.add_done_callback(self._checks.pop)

    async def _run_check(self, check: Check) -> None:
        ends_ms = check.run.lost_at_ms + MAX_CHECK_MS
        has_crashed = await self._probe_for_crash(check)
        while has_crashed is None and self._clock.monotonic_ms() < ends_ms:
            await self._wait_until_reached(check.upstream.service, ends_ms)
            has_crashed = await self._probe_for_crash(check)
        if has_crashed:
            self._record_crash(check)
        elif has_crashed is None:
            self._log.note(
                LOGGER,
                "crash not decided",
                request_id=check.lost.request_id,
                fingerprint=check.lost.fingerprint,
                upstream=check.upstream.id,
            )

    async def _probe_for_crash(self, check: Check) -> bool | None:
        """Return whether an upstream crashed, once it answers, refuses or has been silent for long.

        :param check: check of the upstream.
        :return: None if no upstream of its service is reached, so that nothing shows it.
        """
        upstream = check.upstream
        dark_ms = self._clock.monotonic_ms() + DARK_MS
        wait_ms: float = RESTART_WAIT_MS
        while self._clock.monotonic_ms() < dark_ms:
            await self._clock.sleep_ms(wait_ms)
            asked = await self._client.probe(upstream)
            wait_ms = PROBE_INTERVAL_MS
            if isinstance(asked, result.Ok):
                has_crashed = self._compare_start(check, asked.ok_value)
                left_ms = check.run.lost_at_ms + SURVIVAL_MS - self._clock.monotonic_ms()
                if has_crashed or left_ms <= 0:
                    return has_crashed
                wait_ms = max(wait_ms, left_ms)
            elif type(asked.err_value) is errors.UpstreamUnreachable:
                return await self._reach_checks.confirm(upstream.service) or None
        if not await self._reach_checks.confirm(upstream.service):
            return None
        asked = await self._client.probe(upstream)  # This daemon may have been cut off until now.
        return isinstance(asked, result.Err) or self._compare_start(check, asked.ok_value)

    def _compare_start(self, check: Check, report: members.Report) -> bool:
        """Return whether a report shows another start than the one that broke off a response."""
        if report.born_at_ms == check.born_at_ms:
            return False
        self._replaced.pop((check.upstream.id, report.born_at_ms), None)  # Else a cycle may arise.
        self._replaced[check.upstream.id, check.born_at_ms] = report.born_at_ms
        if len(self._replaced) > MAX_REPLACED:
            self._replaced.popitem(last=False)
        return True

    def _find_start(self, upstream: members.Upstream) -> int:
        """Return the last known start of an upstream, which its entry may not show yet."""
        born_at_ms = upstream.born_at_ms
        while (upstream.id, born_at_ms) in self._replaced:
            born_at_ms = self._replaced[upstream.id, born_at_ms]
        return born_at_ms

    async def _wait_until_reached(self, service: str, ends_ms: float) -> None:
        """Wait until an upstream of a service is reached again, which other checks find out."""
        await self._clock.sleep_ms(PROBE_INTERVAL_MS)
        while self._reach_checks.is_cut_off(service) and self._clock.monotonic_ms() < ends_ms:
            await self._clock.sleep_ms(REACH_INTERVAL_MS)

    def _record_crash(self, check: Check) -> None:
        lost, run, upstream = check.lost, check.run, check.upstream
        self._metrics.count("relay_crash_losses_total")
        self._log.note(
            LOGGER,
            "request lost in a crash",
            request_id=lost.request_id,
            fingerprint=lost.fingerprint,
            prompt_parts=self._evidence.list_suspects(
                lost.prompt_parts, lost.fingerprint, MAX_LOGGED_PARTS
            ),
            upstream=upstream.id,
        )
        now_ms = self._clock.monotonic_ms()
        request = lost.fingerprint[:FINGERPRINT_LENGTH]
        self._evidence.record_crash(lost.prompt_parts, run.crash, request, run.lost_at_ms, now_ms)
        if check.is_answered:
            return
        notice = self._suspects.record_crash(lost.fingerprint, upstream.id, now_ms, run)
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
