"""Evidence of capacity: times of answers by concurrency, and what follows from their sums.

The sums of several daemons add up, and each daemon concludes the same from the same sums.
"""

import bisect
import dataclasses
import math
import statistics
from collections.abc import Iterable

# Lower ends of the classes of concurrency. The noise of a class counts more than its width.
CLASS_STARTS = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64)
MIN_WEIGHT = 2.0  # Answers below which a class says nothing.
MIN_KEPT_WEIGHT = 0.02  # Of an answer; bounds what is reported to the other daemons.
CONFIDENCE = 2.5  # Standard errors that a difference has to exceed; noise does it in 1 of 160.
SLOWER_LOG = math.log(1.2)  # Beyond the noise; less is not worth a change.
SATURATED_SLOPE = 0.65  # Of log time by log concurrency: twice the requests, 1.27 x the answers.
MIN_SPAN_LOG = math.log(1.9)  # Concurrencies closer together show no slope.
LOW_ERROR = 0.15  # Standard error at which the lowest classes are enough; smaller takes longer.
DEFAULT_VARIANCE = 0.25  # Of log times, before enough answers were seen: a factor of 1.6.


@dataclasses.dataclass(slots=True)
class Times:
    """Sums of the log times of answers in one class of concurrency, with decayed weights."""

    weight: float = 0.0
    sum: float = 0.0
    square_sum: float = 0.0

    @property
    def mean(self) -> float:
        """Mean log time."""
        return self.sum / self.weight

    def add(self, other: "Times", factor: float = 1.0) -> None:
        """Add other sums.

        :param other: sums.
        :param factor: factor on their weight.
        """
        self.weight += other.weight * factor
        self.sum += other.sum * factor
        self.square_sum += other.square_sum * factor


@dataclasses.dataclass(slots=True)
class Evidence:
    """Answers of one upstream: times by class, successes and failures."""

    times: dict[int, Times] = dataclasses.field(default_factory=dict)
    successes: float = 0.0
    failures: float = 0.0

    def add_success(self, concurrency: float, time_ms: float) -> None:
        """Add a successful answer.

        :param concurrency: requests that the upstream had meanwhile.
        :param time_ms: time of the answer.
        """
        time_log = math.log(max(1.0, time_ms))
        number = find_class(concurrency)
        self.times.setdefault(number, Times()).add(Times(1.0, time_log, time_log * time_log))
        self.successes += 1

    @property
    def answers(self) -> float:
        """Weight of all answers, failures included."""
        return self.successes + self.failures

    def copy(self) -> "Evidence":
        """Return evidence that does not change with this one."""
        copied = Evidence()
        copied.add(self)
        return copied

    def subtract(self, other: "Evidence") -> "Evidence":
        """Return what is left without evidence that is part of this one.

        Sums are reported late and may lack the newest of the part; nothing falls below zero.

        :param other: evidence that is part of this one.
        """
        left = self.copy()
        left.add(other, -1.0)
        left.times = {n: times for n, times in left.times.items() if times.weight > MIN_KEPT_WEIGHT}
        left.successes, left.failures = max(0.0, left.successes), max(0.0, left.failures)
        return left

    def list_classes(self) -> list[int]:
        """Return the classes with enough answers, lowest first."""
        return sorted(n for n, times in self.times.items() if times.weight >= MIN_WEIGHT)

    def add(self, other: "Evidence", factor: float = 1.0) -> None:
        """Add other evidence, such as that of another daemon.

        :param other: evidence.
        :param factor: factor on its weight, below 1 for old evidence.
        """
        for number, times in other.times.items():
            self.times.setdefault(number, Times()).add(times, factor)
        self.successes += other.successes * factor
        self.failures += other.failures * factor

    def scale(self, factor: float) -> None:
        """Give less weight to what is known, and drop what has hardly any.

        :param factor: factor below 1.
        """
        for number, times in list(self.times.items()):
            times.weight *= factor
            times.sum *= factor
            times.square_sum *= factor
            if times.weight < MIN_KEPT_WEIGHT:
                del self.times[number]
        self.successes = _drop_small_weight(self.successes * factor)
        self.failures = _drop_small_weight(self.failures * factor)


def _drop_small_weight(weight: float) -> float:
    return weight if weight >= MIN_KEPT_WEIGHT else 0.0


def measure_variance(evidences: Iterable[Evidence]) -> float:
    """Return the variance of log times within a class, over all upstreams.

    :param evidences: evidence of the upstreams.
    """
    deviation = weight = 0.0
    for evidence in evidences:
        for times in evidence.times.values():
            if times.weight >= MIN_WEIGHT:
                deviation += max(0.0, times.square_sum - times.sum * times.mean)
                weight += times.weight - 1
    # The default counts as ten answers, so that a few equal ones do not look exact.
    return (deviation + 10 * DEFAULT_VARIANCE) / (weight + 10)


def measure_curve(evidences: Iterable[Evidence]) -> dict[int, float]:
    """Return how log times usually grow with the class, from that of the lowest class on.

    Each step is the median growth of the upstreams that have answers in both classes, so that it
    does not matter how slow these are; without any, times are taken to be the same.

    :param evidences: evidence of the upstreams.
    """
    steps: dict[int, list[float]] = {}
    for evidence in evidences:
        usable = evidence.list_classes()
        for number in usable:
            if number - 1 in usable:
                growth = evidence.times[number].mean - evidence.times[number - 1].mean
                steps.setdefault(number, []).append(growth)
    curve = {0: 0.0}
    for number in range(1, len(CLASS_STARTS)):
        growth = max(0.0, statistics.median(steps.get(number, [0.0])))
        curve[number] = curve[number - 1] + growth
    return curve


def measure_slowness(
    evidences: dict[str, Evidence], curve: dict[int, float], variance: float
) -> dict[str, tuple[float, float]]:
    """Return how much slower upstreams are than the fast ones at the same concurrency.

    Each upstream's lowest classes count, where it is not slowed down by its own load.

    :param evidences: evidence of the upstreams.
    :param curve: usual growth of log times by class.
    :param variance: variance of log times.
    :return: logarithm of the slowness with its standard error, of upstreams with enough answers.
    """
    logs: dict[str, tuple[float, float]] = {}
    for key, evidence in evidences.items():
        low = Times()
        for number in _list_low_classes(evidence, variance):
            times = evidence.times[number]
            low.add(Times(times.weight, times.sum - times.weight * curve[number]))
        if low.weight:
            logs[key] = low.mean, math.sqrt(variance / low.weight)
    if len(logs) < 2:
        return {}
    # The slowest of the fastest quarter, as a single fast one must not make all others slow.
    fast = sorted(log for log, _ in logs.values())[(len(logs) - 1) // 4]
    return {key: (log - fast, error) for key, (log, error) in logs.items()}


def _list_low_classes(evidence: Evidence, variance: float) -> list[int]:
    """Return the lowest classes, as many as their mean needs to be known well enough."""
    low: list[int] = []
    weight = 0.0
    for number in evidence.list_classes():
        low.append(number)
        weight += evidence.times[number].weight
        if variance / weight <= LOW_ERROR**2:
            break
    return low


def find_slow_class(evidence: Evidence, curve: dict[int, float], variance: float) -> int | None:
    """Return the lowest class in which an upstream is slower than below, beyond the usual growth.

    :param evidence: evidence of the upstream.
    :param curve: usual growth of log times by class.
    :param variance: variance of log times.
    :return: number of the class; None if there is none.
    """
    low = Times()
    for number in evidence.list_classes():
        times = evidence.times[number]
        growth = times.mean - curve[number]
        if low.weight:
            error = CONFIDENCE * math.sqrt(variance * (1 / times.weight + 1 / low.weight))
            if growth - low.mean - error > SLOWER_LOG:
                return number
        low.add(Times(times.weight, growth * times.weight))
    return None


def find_saturated_class(
    evidences: dict[str, Evidence], slowness: dict[str, tuple[float, float]], variance: float
) -> int | None:
    """Return the lowest class from which more requests bring hardly more answers at any upstream.

    The answers of all upstreams count together: those of one are too few to show a slope.

    :param evidences: evidence of the upstreams.
    :param slowness: logarithm of their slowness, which is taken out.
    :param variance: variance of log times.
    :return: number of the class; None if there is none.
    """
    pooled = Evidence()
    for key, (log, _) in slowness.items():
        for number in evidences[key].list_classes():
            times = evidences[key].times[number]
            shifted = Times(times.weight, times.sum - times.weight * log)
            pooled.times.setdefault(number, Times()).add(shifted)
    usable = pooled.list_classes()
    for position, number in enumerate(usable):
        high = pooled.times[number]
        for lower in usable[:position]:
            low = pooled.times[lower]
            error = CONFIDENCE * math.sqrt(variance * (1 / high.weight + 1 / low.weight))
            span = math.log(find_middle(number) / find_middle(lower))
            if span >= MIN_SPAN_LOG and high.mean - low.mean - error > SATURATED_SLOPE * span:
                return number
    return None


def find_class(concurrency: float) -> int:
    """Return the number of the class of a concurrency.

    :param concurrency: concurrent requests.
    """
    return bisect.bisect_right(CLASS_STARTS, max(1.0, concurrency)) - 1


def find_middle(number: int) -> float:
    """Return the mean concurrency of a class.

    :param number: number of the class.
    """
    start = CLASS_STARTS[number]
    end = CLASS_STARTS[number + 1] if number + 1 < len(CLASS_STARTS) else 2 * start
    return (start + end - 1) / 2
