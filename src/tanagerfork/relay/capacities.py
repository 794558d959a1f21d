"""Capacities: what each upstream handles well, for each service and model of the rules in force."""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.relay import calls, capacity, capacity_evidence, fleet, loads, members, rules

KEEP_INTERVAL_MS = 1000.0  # Between two looks for upstreams that are gone.
MAX_REPORTED = 16  # Upstreams in a notice of one daemon; it holds recent answers of about seven.
MAX_SUMMED = 64  # Upstreams in a notice of a sum; each takes about 50 bytes.
MIN_REPORTED_WEIGHT = 0.2  # Of an answer, in a class; less is not reported.
REPORTED_UNIT = 0.001  # Of an answer or of its log time, that a unit of a reported sum stands for.
MAX_SERIES = 50  # Upstreams with metrics of their own, those with the smallest share of slots.


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """Upstreams that are compared; `model` is empty for a plain service."""

    service: str
    model: str = ""


Sums = dict[Pool, list[capacity.Estimate]]


@dataclasses.dataclass(slots=True)
class SendTiming:
    """Times and concurrency of one send, as its upstream is measured by them.

    `answered_at_ms` is when the first event, or all of a plain answer, was there; 0 before that.
    `slowness` is the configured factor on the upstream's times, which is no news.
    """

    pool: Pool
    load: loads.UpstreamLoad
    sent_at_ms: float
    sent_concurrency: float
    slowness: float = 1.0
    answered_at_ms: float = 0.0
    concurrency: float = 0.0
    has_failed: bool = False

    def note_answer(self, now_ms: float) -> None:
        """Record that the first event, or all of a plain answer, is there; once for each send.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self.answered_at_ms:
            return
        self.answered_at_ms = now_ms
        self.concurrency = (self.sent_concurrency + measure_concurrency(self.load, now_ms)) / 2


def measure_concurrency(load: loads.UpstreamLoad, now_ms: float) -> float:
    """Return how many requests an upstream has, as far as this daemon knows.

    :param load: load of the upstream.
    :param now_ms: monotonic clock, in milliseconds.
    """
    return load.open + load.estimate_other_requests(now_ms)


class Capacities:
    """Books of all services and models; without any while nothing is learned.

    :param register: rules in force.
    :param view: known upstreams.
    :param log: decision log.
    :param learns: whether anything is learned; if not, no estimate differs from the configuration.
    """

    __slots__ = ("_register", "_view", "_log", "_learns", "_books", "_version", "_kept_at_ms")

    def __init__(
        self,
        register: rules.RulesRegister,
        view: fleet.Fleet,
        log: decisions.DecisionLog,
        learns: bool = True,
    ) -> None:
        self._register = register
        self._view = view
        self._log = log
        self._learns = learns
        self._books: dict[Pool, capacity.CapacityBook] = {}
        self._version = 0
        self._kept_at_ms = 0.0

    def find_book(self, service: str, model: str = "") -> capacity.CapacityBook | None:
        """Return the estimates of a service and model; None if nothing is learned of it.

        :param service: service.
        :param model: model; empty for a plain service.
        """
        self._follow_rules()
        return self._books.get(Pool(service, model))

    def begin(
        self,
        service: rules.Service,
        model: str,
        upstream: members.Upstream,
        load: loads.UpstreamLoad,
        slowness: float,
        now_ms: float,
    ) -> SendTiming:
        """Return the timing of a send that begins; the load counts it already.

        :param service: service of the request.
        :param model: model of the request.
        :param upstream: upstream that gets it.
        :param load: load of the upstream.
        :param slowness: configured factor on the upstream's times.
        :param now_ms: monotonic clock, in milliseconds.
        """
        pool = Pool(service.name, model if service.engine is not None else "")
        return SendTiming(pool, load, now_ms, measure_concurrency(load, now_ms), slowness)

    def end(
        self,
        timing: SendTiming,
        upstream: members.Upstream,
        outcome: calls.Outcome,
        has_succeeded: bool,
        now_ms: float,
    ) -> None:
        """Record the end of a send.

        A send that did not run or was cancelled is no answer, and neither is an error for which
        the caller is to blame.

        :param timing: times of the send.
        :param upstream: upstream that got it.
        :param outcome: how it ended.
        :param has_succeeded: whether the response was a complete success.
        :param now_ms: monotonic clock, in milliseconds.
        """
        has_failed = outcome is calls.Outcome.LOST or timing.has_failed
        is_success = outcome is calls.Outcome.ANSWERED and has_succeeded
        book = self.find_book(timing.pool.service, timing.pool.model)
        if book is None or not (has_failed or is_success):
            return
        timing.note_answer(now_ms)  # A stream without an event ends with its answer.
        took_ms = (timing.answered_at_ms - timing.sent_at_ms) / timing.slowness
        book.note_answer(upstream.id, timing.concurrency, took_ms, took_ms, not has_failed, now_ms)

    def update(self, now_ms: float) -> None:
        """Forget old answers and drop upstreams that are gone.

        :param now_ms: monotonic clock, in milliseconds.
        """
        self._follow_rules()
        for book in self._books.values():
            book.update(now_ms)
        if now_ms - self._kept_at_ms >= KEEP_INTERVAL_MS:
            self._kept_at_ms = now_ms
            known = {upstream.id for upstream in self._view.upstreams}
            for book in self._books.values():
                book.keep_only(known)

    def list_own(self) -> Sums:
        """Return the evidence of this daemon."""
        return {pool: book.list_answered() for pool, book in self._books.items()}

    def sum_all(self, now_ms: float, without: Collection[str] = ()) -> Sums:
        """Return the evidence of all daemons.

        :param now_ms: monotonic clock, in milliseconds.
        :param without: names whose evidence is left out.
        """
        return {pool: book.sum_all(now_ms, without) for pool, book in self._books.items()}

    def record_peer(self, daemon: str, sums: Sums, now_ms: float) -> None:
        """Replace what another daemon reported before.

        :param daemon: name of the daemon, or of a sum.
        :param sums: its evidence.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._follow_rules()
        for pool, book in self._books.items():
            book.record_peer(daemon, sums.get(pool, ()), now_ms)

    def drop_peer(self, daemon: str) -> None:
        """Drop what a daemon reported, if anything.

        :param daemon: name of the daemon, or of a sum.
        """
        for book in self._books.values():
            book.drop_peer(daemon)

    def drop_peers(self, without: str) -> None:
        """Drop what all other daemons reported but one.

        :param without: name of the one that is kept.
        """
        for book in self._books.values():
            book.drop_peers(without)

    def write_metrics(self, metrics: metric.Metrics) -> None:
        """Set the gauges of the upstreams, of no more than `MAX_SERIES`.

        :param metrics: metrics to set.
        """
        metrics.drop_gauge("relay_upstream_slots")
        metrics.drop_gauge("relay_upstream_slowness")
        metrics.drop_gauge("relay_limited_upstreams")
        found = []
        for pool, book in self._books.items():
            listed = book.list_chosen_from()
            shares = [(estimate.slots / configured, estimate) for estimate, configured in listed]
            limited = sum(share <= 1 - capacity.MIN_CHANGE for share, _ in shares)
            metrics.set_gauge("relay_limited_upstreams", limited, **_make_labels(pool))
            found += [(share, estimate.upstream_id, estimate, pool) for share, estimate in shares]
        for _, upstream_id, estimate, pool in sorted(found, key=lambda item: item[:2])[:MAX_SERIES]:
            labels = {"upstream": upstream_id, **_make_labels(pool)}
            metrics.set_gauge("relay_upstream_slots", round(estimate.slots, 2), **labels)
            metrics.set_gauge("relay_upstream_slowness", round(estimate.slowness, 2), **labels)

    def _follow_rules(self) -> None:
        in_force = self._register.current
        if not self._learns or in_force is None or in_force.version == self._version:
            return
        self._version = in_force.version
        before, self._books = self._books, {}
        for service in in_force.services.values():
            models = [model.name for model in service.engine.models] if service.engine else [""]
            for pool in (Pool(service.name, model) for model in models):
                name = f"{pool.service}/{pool.model}" if pool.model else pool.service
                self._books[pool] = before.get(pool) or capacity.CapacityBook(name, self._log)


def subtract(sums: Sums, part: Sums) -> Sums:
    """Return evidence without a part of it.

    :param sums: evidence.
    :param part: what is taken off.
    """
    found: Sums = {}
    for pool, estimates in sums.items():
        own = {estimate.upstream_id: estimate.evidence for estimate in part.get(pool, ())}
        found[pool] = [
            (
                dataclasses.replace(
                    estimate, evidence=estimate.evidence.subtract(own[estimate.upstream_id])
                )
                if estimate.upstream_id in own
                else estimate
            )
            for estimate in estimates
        ]
    return found


def encode(sums: Mapping[Pool, Iterable[capacity.Estimate]], limit: int) -> list[notices.Answers]:
    """Return evidence as daemons report it, of the upstreams with the most answers.

    :param sums: evidence.
    :param limit: largest number of upstreams.
    """
    listed = [(pool, estimate) for pool, estimates in sums.items() for estimate in estimates]
    listed.sort(key=lambda item: (-item[1].evidence.answers, item[1].upstream_id))
    reported: dict[Pool, notices.Answers] = {}
    for pool, estimate in listed[:limit]:
        evidence = estimate.evidence
        if evidence.answers < MIN_REPORTED_WEIGHT:
            break
        answers = reported.setdefault(
            pool, notices.Answers(service=pool.service, model=pool.model, upstreams=[])
        )
        answers.upstreams.append(
            notices.UpstreamAnswers(
                upstream=estimate.upstream_id,
                successes=_to_units(evidence.successes),
                failures=_to_units(evidence.failures),
                times=[
                    notices.AnswerTimes(
                        concurrency=capacity_evidence.CLASS_STARTS[number],
                        weight=_to_units(times.weight),
                        sum=_to_units(times.sum),
                        square_sum=_to_units(times.square_sum),
                    )
                    for number, times in sorted(evidence.times.items())
                    if times.weight >= MIN_REPORTED_WEIGHT
                ],
            )
        )
    return list(reported.values())


def decode(reported: Iterable[notices.Answers]) -> Sums:
    """Return the evidence that a daemon reported.

    :param reported: answers of a notice.
    """
    return {
        Pool(answers.service, answers.model): [
            capacity.Estimate(item.upstream, 0.0, 1.0, _decode_evidence(item))
            for item in answers.upstreams
        ]
        for answers in reported
    }


def _decode_evidence(item: notices.UpstreamAnswers) -> capacity_evidence.Evidence:
    evidence = capacity_evidence.Evidence(
        successes=item.successes * REPORTED_UNIT, failures=item.failures * REPORTED_UNIT
    )
    for reported in item.times:
        number = capacity_evidence.find_class(reported.concurrency)
        times = capacity_evidence.Times(
            reported.weight * REPORTED_UNIT,
            reported.sum * REPORTED_UNIT,
            reported.square_sum * REPORTED_UNIT,
        )
        evidence.times.setdefault(number, capacity_evidence.Times()).add(times)
    return evidence


def _to_units(value: float) -> int:
    return max(0, round(value / REPORTED_UNIT))


def _make_labels(pool: Pool) -> dict[str, str]:
    return {"service": pool.service, "model": pool.model}
