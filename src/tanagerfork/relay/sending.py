"""Sends a request to one upstream and relays the response to the caller."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork.relay import (
    calls,
    cold_limits,
    exchange,
    loads,
    members,
    open_sends,
    placing,
    reach_checks,
    responses,
    rules,
    send_limits,
)
from tanagerfork.relay import progress as progresses

RETURN_MARGIN_MS = 10  # Reserved for the response's way back to the caller.
MIN_HEADERS_TIMEOUT_MS = 400  # A working group sends an event of some stream five times as often.
HEADERS_TIMEOUT_FACTOR = 2.5  # An estimate that is off by more says nothing.
MIN_GAP_TIMEOUT_MS = 400  # Five times the gap between two events of a busy group.
RECHECK_INTERVAL_MS = 100  # For a request queued at a group that only other daemons receive from.
PLAIN_HEADERS_TIMEOUT_SHARE = 0.45  # Of the time left; the rest is for a retry.


class Sender:
    """Sends requests, reports silent upstreams, and relays complete responses and events.

    :param book: loads of the upstreams.
    :param limits: limits that upstreams named.
    :param cold: limits of upstreams that are cold.
    :param upstream_client: sends HTTP requests to upstreams.
    :param dialect: reads and writes the platform's headers.
    :param checks: checks whether this daemon reaches the upstreams.
    :param clock: clock of the deadlines.
    :param announce_silent: announces a silent upstream to the other daemons.
    :param announce_leaving: records and announces an upstream that said that it leaves.
    """

    __slots__ = (
        "_book",
        "_send_limits",
        "_cold_limits",
        "_upstream_client",
        "_responses",
        "_reach_checks",
        "_clock",
        "_announce_silent",
        "_announce_leaving",
    )

    def __init__(
        self,
        book: loads.LoadBook,
        limits: send_limits.SendLimits,
        cold: cold_limits.ColdLimits,
        upstream_client: exchange.UpstreamClient,
        dialect: calls.Dialect,
        checks: reach_checks.ReachChecks,
        clock: clocks.Clock,
        announce_silent: Callable[[str], None],
        announce_leaving: Callable[[members.Upstream], None],
    ) -> None:
        self._book = book
        self._send_limits = limits
        self._cold_limits = cold
        self._upstream_client = upstream_client
        self._responses = responses.ResponseRelay(dialect, clock)
        self._reach_checks = checks
        self._clock = clock
        self._announce_silent = announce_silent
        self._announce_leaving = announce_leaving

    async def send(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        send: open_sends.Send,
        choice: placing.Choice,
        sink: progresses.Sink,
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        """Send a request to an upstream and relay the response.

        :param request: caller's request.
        :param progress: state of the request.
        :param send: state of the send.
        :param choice: upstream and its expected time to answer.
        :param sink: receives the response.
        :return: that the request was answered, or why not.
        """
        upstream = choice.upstream
        sent_at_ms = self._clock.monotonic_ms()
        self._send_limits.note_sent(upstream.id, sent_at_ms)
        self._cold_limits.note_sent(upstream, sent_at_ms)
        left_ms = progress.remaining_ms(sent_at_ms)
        outgoing = calls.SendFields(
            upstream_id=upstream.id,
            team=progress.team,
            left_ms=max(1, int(left_ms - RETURN_MARGIN_MS)),
            last_event_id=progress.last_event_id,
            queue_priority=progress.queue_priority,
        )
        sending = self._upstream_client.send(
            request, upstream, outgoing, progress.route.is_repeatable
        )
        try:
            response = await self._wait_for_headers(sending, progress, send, choice)
        except errors.UpstreamError as error:
            if isinstance(error, errors.UpstreamUnreachable):
                self._reach_checks.doubt(upstream.service)
            return result.Err(error)
        self.note_prompt_read(send, upstream.id, request.facts.prompt_tokens)
        try:
            # A late copy of another answer, and a refusal above all, says nothing of this request.
            if response.facts.request_id != request.facts.request_id:
                message = "the response is for another request; use another upstream"
                return result.Err(errors.UpstreamConfused(message))
            now_ms = self._clock.monotonic_ms()
            self._book.note_load(upstream.id, response.facts.load, now_ms)
            self._send_limits.note_answer(
                upstream.id, response.facts.limit_per_s, sent_at_ms, now_ms
            )
            self._send_limits.note_quiet(upstream, response.facts.quiet_ms, now_ms)
            if response.facts.is_leaving:
                self._announce_leaving(upstream)
            refusal = self._check_headers(progress, response)
            if refusal is not None:
                return result.Err(refusal)
            if progress.route.repetition is rules.Repetition.STREAM and response.status == 200:
                return await self._responses.relay_stream(
                    progress,
                    response,
                    sink,
                    functools.partial(self._read_stream_chunk, response, progress, send, choice),
                    functools.partial(self._note_events, send, upstream.id),
                )
            return await self._responses.relay_body(
                progress,
                response,
                sink,
                lambda has_failed: send.note_answer(self._clock.monotonic_ms(), has_failed),
            )
        except errors.UpstreamError as error:
            return result.Err(error)
        finally:
            response.http_response.close()

    def note_prompt_read(self, send: open_sends.Send, upstream_id: str, tokens: int) -> None:
        """Record, once for each send, that the upstream has read the prompt.

        :param send: state of the send.
        :param upstream_id: id of the upstream.
        :param tokens: tokens of the prompt.
        """
        if send.is_prompt_unread:
            send.is_prompt_unread = False
            self._book.end_reading(upstream_id, tokens)

    def _headers_timeout_ms(self, progress: progresses.Progress, choice: placing.Choice) -> float:
        """Return after what time without headers an upstream is silent, in milliseconds."""
        left_ms = progress.remaining_ms(self._clock.monotonic_ms())
        if not progress.can_retry:
            return left_ms + progresses.MIN_REMAINING_MS  # The deadline passes first.
        if progress.service.engine is None:
            return left_ms * PLAIN_HEADERS_TIMEOUT_SHARE
        return max(MIN_HEADERS_TIMEOUT_MS, HEADERS_TIMEOUT_FACTOR * choice.expected_ms)

    def _check_headers(
        self, progress: progresses.Progress, response: exchange.UpstreamResponse
    ) -> errors.UpstreamError | None:
        facts = response.facts
        if facts.says_not_run:
            if facts.fault_at and progress.service.engine is not None:
                message = (
                    f"refused with status {response.status} (member at fault: {facts.fault_at})"
                )
                return errors.GroupClosed(f"{message}; use another upstream")
            return errors.UpstreamRefused(
                f"refused with status {response.status}; use another upstream"
            )
        if "Content-Encoding" in response.http_response.headers:
            return errors.UpstreamConfused(
                "the response body has an encoding that was not requested; use another upstream"
            )
        if 200 <= response.status < 300 and not facts.has_receipt:
            return errors.UpstreamConfused(
                "the successful response has no receipt; use another upstream"
            )
        if response.status in calls.NOT_RUN_STATUSES:
            return errors.UpstreamFailed(
                f"failed with status {response.status}; whether the request ran is unknown"
            )
        return None

    def _note_events(self, send: open_sends.Send, upstream_id: str) -> None:
        now_ms = self._clock.monotonic_ms()
        self._book.find(upstream_id).heard_at_ms = now_ms
        send.note_answer(now_ms)

    async def _read_stream_chunk(
        self,
        response: exchange.UpstreamResponse,
        progress: progresses.Progress,
        send: open_sends.Send,
        choice: placing.Choice,
        event_count: int,
        event_at_ms: float,
    ) -> bytes:
        """Return the next bytes of a stream; report that the upstream is silent meanwhile."""
        if send.silence or not progress.can_retry:
            return await response.read_chunk()
        limit_ms = max(MIN_GAP_TIMEOUT_MS, 2 * progress.route.gap_goal_ms)
        if not event_count:
            limit_ms = self._headers_timeout_ms(progress, choice)
        load = self._book.find(choice.upstream.id)
        silent_since_ms = event_at_ms
        while True:
            left_ms = silent_since_ms + limit_ms - self._clock.monotonic_ms()
            try:
                async with asyncio.timeout(max(0.0, left_ms / 1000)):
                    return await response.read_chunk()
            except TimeoutError:
                if event_count == 0 and load.heard_at_ms > silent_since_ms:
                    silent_since_ms = load.heard_at_ms  # The group works; this request is queued.
                elif (
                    event_count == 0 and load.is_heard_elsewhere(self._clock.monotonic_ms())
                ) or self._reach_checks.was_late(silent_since_ms, limit_ms):
                    silent_since_ms += RECHECK_INTERVAL_MS
                elif response.measure_buffered_bytes():
                    return await response.read_chunk()  # This daemon itself stood still.
                else:
                    break
        self._mark_suspect(choice.upstream)
        send.note_silence(f"the stream had no event for {limit_ms:.0f} ms")
        return await response.read_chunk()

    async def _wait_for_headers(
        self,
        sending: Coroutine[Any, Any, exchange.UpstreamResponse],
        progress: progresses.Progress,
        send: open_sends.Send,
        choice: placing.Choice,
    ) -> exchange.UpstreamResponse:
        """Wait for the headers of a response; report that the upstream is silent meanwhile.

        In an overload a request is queued for longer than the limit, while the daemon may have no
        other request there; what other daemons receive from the upstream counts then.
        """
        limit_ms = self._headers_timeout_ms(progress, choice)
        load = self._book.find(choice.upstream.id)
        silent_since_ms = float(self._clock.monotonic_ms())
        task = asyncio.create_task(sending)
        try:
            while not task.done():
                left_ms = silent_since_ms + limit_ms - self._clock.monotonic_ms()
                timeout_s = None if send.silence else max(0.0, left_ms / 1000)
                done, _ = await asyncio.wait({task}, timeout=timeout_s)
                if done:
                    break
                if load.heard_at_ms > silent_since_ms:
                    silent_since_ms = load.heard_at_ms
                elif load.is_heard_elsewhere(
                    self._clock.monotonic_ms()
                ) or self._reach_checks.was_late(silent_since_ms, limit_ms):
                    silent_since_ms += RECHECK_INTERVAL_MS
                else:
                    self._mark_suspect(choice.upstream)
                    send.note_silence(f"{choice.upstream.id} sent nothing for {limit_ms:.0f} ms")
            send.silence = ""
            return task.result()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait({task})

    def _mark_suspect(self, upstream: members.Upstream) -> None:
        now_ms = self._clock.monotonic_ms()
        self._reach_checks.doubt(upstream.service)
        if now_ms >= self._book.find(upstream.id).suspect_until_ms:
            self._reach_checks.call_if_reached(
                upstream.service, functools.partial(self._announce_silent, upstream.id)
            )
        self._book.suspect(upstream.id, now_ms)
