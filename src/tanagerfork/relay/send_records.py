"""Send records: what the decision log and the metrics say of sends and of unanswered requests."""

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.relay import calls, fleet, loads, placing
from tanagerfork.relay import progress as progresses

LOGGER = "relay.attempts"


class SendRecords:
    """Records sends and unanswered requests.

    :param view: known upstreams and groups.
    :param book: loads of the upstreams.
    :param clock: clock of the ages.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = ("_view", "_book", "_clock", "_log", "_metrics")

    def __init__(
        self,
        view: fleet.Fleet,
        book: loads.LoadBook,
        clock: clocks.Clock,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._view = view
        self._book = book
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def record_send(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        choice: placing.Choice,
        outcome: calls.Outcome,
        reason: str,
        took_ms: float,
    ) -> None:
        """Record the end of a send.

        :param request: caller's request.
        :param progress: state of the request.
        :param choice: upstream, and why it was chosen.
        :param outcome: how the send ended.
        :param reason: why it failed; empty for an answer.
        :param took_ms: duration of the send, in milliseconds.
        """
        self._metrics.count("relay_sends_total", outcome=outcome.value)
        self._metrics.observe_ms("relay_send_seconds", took_ms, service=progress.service.name)
        now_ms = self._clock.monotonic_ms()
        load = self._book.find(choice.upstream.id)
        self._log.note(
            LOGGER,
            "send",
            request_id=request.facts.request_id,
            route=progress.route.name,
            upstream=choice.upstream.id,
            candidates=choice.candidates,
            expected_ms=round(choice.expected_ms),
            requests_there=round(choice.estimated_requests, 1),
            told_age_ms=round(choice.load_age_ms),
            list_age_ms=self._view.measure_age(now_ms),
            outcome=outcome.value,
            reason=reason,
            took_ms=round(took_ms),
            last_event_id=progress.last_event_id,
            heard_age_ms=load.measure_heard_age_ms(now_ms),
            peer_heard_age_ms=load.measure_peer_heard_age_ms(now_ms),
        )

    def record_unanswered(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        has_response_begun: bool,
        reason: str,
    ) -> None:
        """Record that a request is not answered, or that its response is cut.

        :param request: caller's request.
        :param progress: state of the request.
        :param has_response_begun: whether the response is cut.
        :param reason: why no further send is made.
        """
        now_ms = self._clock.monotonic_ms()
        self._log.note(
            LOGGER,
            "request not answered",
            request_id=request.facts.request_id,
            route=progress.route.name,
            reason=reason,
            sends=progress.sends,
            may_have_run=progress.may_have_run,
            tried=len(progress.tried_ids),
            has_response_begun=has_response_begun,
            team=progress.team,
            priority=progress.priority,
            admitted_share=round(progress.admitted_share, 2),
            left_ms=round(progress.remaining_ms(now_ms)),
            list_age_ms=self._view.measure_age(now_ms),
        )
