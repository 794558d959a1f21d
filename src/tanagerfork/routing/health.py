"""Ejection of failing or slow upstreams, and their readmission after a successful trial."""

import dataclasses
import enum
import random
import statistics
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

import transitions

FAILURES_TO_EJECT = 3
STRAGGLER_FACTOR = 3.0  # Of the median over all upstreams.
STRAGGLER_MIN_PEERS = 3  # Upstreams with a value, for a meaningful median.
STRAGGLER_MIN_STREAMS = 2
MIN_EJECTION_MS = 2_000
MAX_EJECTION_MS = 60_000
EJECTION_JITTER = 0.2
MAX_EJECTED_SHARE = 0.5
GAP_SMOOTHING = 0.3
MEDIAN_TTL_MS = 200


class HealthState(enum.StrEnum):
    """Whether an upstream gets new requests: all, none, or one on trial."""

    GOOD = "good"
    EJECTED = "ejected"
    TRIAL = "trial"


TRANSITIONS: Any = [
    ["eject", [HealthState.GOOD, HealthState.TRIAL], HealthState.EJECTED],
    ["try_again", HealthState.EJECTED, HealthState.TRIAL],
    ["readmit", [HealthState.TRIAL, HealthState.EJECTED], HealthState.GOOD],
]


@dataclasses.dataclass(eq=False)
class UpstreamRecord:
    """Health of one upstream; the state machine adds the triggers of `TRANSITIONS`."""

    name: str
    state: str = HealthState.GOOD
    failures: int = 0
    gap_ms: float = 0.0
    gap_count: int = 0
    ejection_ms: float = 0.0
    ejected_until_ms: float = 0.0
    trial_until_ms: float = 0.0
    is_straggler: bool = False
    eject: Callable[[], bool] = dataclasses.field(init=False, repr=False)
    try_again: Callable[[], bool] = dataclasses.field(init=False, repr=False)
    readmit: Callable[[], bool] = dataclasses.field(init=False, repr=False)


ChangeListener = Callable[[str, str, str], None]


class Health:
    """Tracks the health of upstreams by failures and by token gaps compared to the median.

    :param rng: random numbers.
    :param on_change: called with the upstream, its new state and the reason.
    """

    __slots__ = (
        "_rng",
        "_on_change",
        "_records",
        "_unhealthy",
        "_machine",
        "_median_gap_ms",
        "_median_computed_at_ms",
    )

    def __init__(self, rng: random.Random, on_change: ChangeListener) -> None:
        self._rng = rng
        self._on_change = on_change
        self._records: dict[str, UpstreamRecord] = {}
        self._unhealthy: set[str] = set()  # Upstreams that are ejected or on trial.
        self._median_gap_ms = 0.0
        self._median_computed_at_ms = -MEDIAN_TTL_MS
        self._machine = transitions.Machine(
            model=None,
            model_attribute="state",
            states=list(HealthState),
            transitions=TRANSITIONS,
            initial=HealthState.GOOD,
            auto_transitions=False,
        )

    def record_success(self, name: str, now_ms: int, gap_ms: float = 0.0) -> None:
        """Record a successful answer.

        :param name: upstream.
        :param now_ms: monotonic clock, in milliseconds.
        :param gap_ms: mean gap between its tokens, in milliseconds; 0 if unknown.
        """
        record = self._find_record(name)
        record.failures = 0
        if gap_ms > 0:
            smoothing = 1.0 if record.state == HealthState.TRIAL else GAP_SMOOTHING
            record.gap_ms += (smoothing if record.gap_count else 1.0) * (gap_ms - record.gap_ms)
            record.gap_count += 1
        if self._is_straggling(record, now_ms):
            self._eject(record, now_ms, "straggles")
        elif record.state != HealthState.GOOD:
            record.ejection_ms = 0.0
            record.readmit()
            self._unhealthy.discard(name)
            self._on_change(name, record.state, "answered its trial")

    def record_steps(self, steps_ms: Mapping[str, float], now_ms: int) -> None:
        """Eject upstreams whose reported steps are much longer than the median.

        :param steps_ms: duration of a step by upstream, in milliseconds; 0 if unknown.
        :param now_ms: monotonic clock, in milliseconds.
        """
        reported = [step_ms for step_ms in steps_ms.values() if step_ms > 0]
        if len(reported) < STRAGGLER_MIN_PEERS:
            return
        limit_ms = statistics.median(reported) * STRAGGLER_FACTOR
        for name, step_ms in steps_ms.items():
            if step_ms > limit_ms and self._find_record(name).state == HealthState.GOOD:
                self._eject(self._find_record(name), now_ms, "straggles by its own report")

    def record_failure(self, name: str, now_ms: int) -> None:
        """Record a failure after a request was sent, or a failed connection attempt.

        :param name: upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        record = self._find_record(name)
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT or record.state == HealthState.TRIAL:
            self._eject(record, now_ms, "fails")

    def record_cancelled(self, name: str) -> None:
        """Record that a request ended without a result, so that a trial may be repeated at once.

        :param name: upstream.
        """
        record = self._records.get(name)
        if record is not None:
            record.trial_until_ms = 0.0

    def find_usable(self, names: Sequence[str], now_ms: int) -> list[int]:
        """Return the upstreams that may get new requests.

        :param names: upstreams to choose from.
        :param now_ms: monotonic clock, in milliseconds.
        :return: their indexes, never empty; only one if its trial is due.
        """
        if not self._unhealthy:
            return list(range(len(names)))
        trial = self.find_trial(names, now_ms)
        if trial:
            return [names.index(trial)]
        ejected = set(self.find_ejected(names, now_ms))
        return [index for index in range(len(names)) if index not in ejected]

    def find_ejected(self, names: Sequence[str], now_ms: int) -> list[int]:
        """Return the indexes of the ejected upstreams; none if they would be a majority.

        :param names: upstreams to choose from.
        :param now_ms: monotonic clock, in milliseconds.
        """
        ejected = [index for index, name in enumerate(names) if name in self._unhealthy]
        return ejected if len(ejected) <= MAX_EJECTED_SHARE * len(names) else []

    def find_trial(self, names: Sequence[str], now_ms: int) -> str:
        """Return an ejected upstream whose trial is due, empty if there is none.

        :param names: upstreams to choose from.
        :param now_ms: monotonic clock, in milliseconds.
        """
        due_names = (
            name
            for name in names
            if name in self._unhealthy and self._is_trial_due(self._records[name], now_ms)
        )
        return next(due_names, "")

    def begin_trial(self, name: str, now_ms: int, trial_ms: int) -> None:
        """Record that a request was sent; if the upstream is ejected, the request is its trial.

        :param name: upstream.
        :param now_ms: monotonic clock, in milliseconds.
        :param trial_ms: time after which another trial may begin, in milliseconds.
        """
        record = self._records.get(name)
        if record is None or record.state == HealthState.GOOD:
            return
        if record.state == HealthState.EJECTED and now_ms >= record.ejected_until_ms:
            record.try_again()
        if record.state == HealthState.TRIAL:
            record.trial_until_ms = now_ms + trial_ms

    def keep_only(self, names: Collection[str]) -> None:
        """Drop the records of all other upstreams.

        :param names: upstreams that still exist.
        """
        for name in [name for name in self._records if name not in names]:
            self._machine.remove_model(self._records.pop(name))
            self._unhealthy.discard(name)

    def _is_trial_due(self, record: UpstreamRecord, now_ms: int) -> bool:
        if record.state == HealthState.EJECTED:
            return now_ms >= record.ejected_until_ms
        return now_ms >= record.trial_until_ms

    def _is_straggling(self, record: UpstreamRecord, now_ms: int) -> bool:
        if record.gap_count < (1 if record.state == HealthState.TRIAL else STRAGGLER_MIN_STREAMS):
            return False
        if now_ms - self._median_computed_at_ms >= MEDIAN_TTL_MS:
            gaps = [other.gap_ms for other in self._records.values() if other.gap_count]
            self._median_gap_ms = (
                statistics.median(gaps) if len(gaps) >= STRAGGLER_MIN_PEERS else 0.0
            )
            self._median_computed_at_ms = now_ms
        return 0 < self._median_gap_ms * STRAGGLER_FACTOR < record.gap_ms

    def _eject(self, record: UpstreamRecord, now_ms: int, reason: str) -> None:
        if record.state == HealthState.EJECTED:
            return
        record.ejection_ms = min(MAX_EJECTION_MS, max(MIN_EJECTION_MS, record.ejection_ms * 2))
        jitter = 1 + EJECTION_JITTER * self._rng.random()
        record.ejected_until_ms = now_ms + record.ejection_ms * jitter
        record.failures = 0
        record.eject()
        self._unhealthy.add(record.name)
        self._on_change(record.name, record.state, reason)

    def _find_record(self, name: str) -> UpstreamRecord:
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = UpstreamRecord(name)
            self._machine.add_model(record)
        return record
