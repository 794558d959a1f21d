"""Demand: the upstreams and the slots that each model needs for its open requests."""

import collections

from tanagerfork.relay import demands, fleet, loads, rules

SMOOTHING_MS = 5000.0  # Longer than a usual answer, shorter than the time between two losses.
# The configured share has the rest of the weight, as a model's open requests drop with its groups.
MEASURED_WEIGHT = 0.5
# Reports of peers are up to 0.9 s old and come in lumps; a burst lasts 3 to 7 s.
SLOT_SMOOTHING_MS = 2000.0
# A peak counts this long, which is more than half of the 17 s in which a load swings. After a burst
# the model that had it gives its groups back as late.
PEAK_WINDOW_MS = 10_000.0
# A group is lost with any of its members, until it is repaired. Where two or three of 54 to 74
# upstreams are lost each 3 s, about half of the groups of 16 serve.
MEMBERS_PER_SPARE_SLOT = 16
# With smaller groups the configured shares decide: with groups of 4 and 2, moves between models
# and groups dissolved for others took the share of requests that were served in time on a quiet
# day from 0.97 to 0.89. Sizes from 7 to 11 were not measured.
MIN_LARGEST_GROUP = 12
PEAK_STEP_MS = 1000.0  # One peak is kept for each step of the window.


class SlotDemand:
    """Smooths the slots that one model's requests take, and keeps their peak of the last seconds.

    The peak does not follow a swing up and down that is shorter than its window.
    """

    __slots__ = ("_smoothed", "_measured_at_ms", "_peaks")

    def __init__(self) -> None:
        self._smoothed = 0.0
        self._measured_at_ms = 0.0
        self._peaks: collections.deque[tuple[float, float]] = collections.deque()

    def measure(self, taken: float, now_ms: float) -> float:
        """Return the peak of the slots that are taken, this measurement included.

        :param taken: slots that are taken or waited for now.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        weight = min(1.0, max(0.0, now_ms - self._measured_at_ms) / SLOT_SMOOTHING_MS)
        self._measured_at_ms = now_ms
        self._smoothed += weight * (taken - self._smoothed)
        if self._peaks and now_ms - self._peaks[-1][0] < PEAK_STEP_MS:
            began_ms, peak = self._peaks.pop()
            self._peaks.append((began_ms, max(peak, self._smoothed)))
        else:
            self._peaks.append((now_ms, self._smoothed))
        while now_ms - self._peaks[0][0] > PEAK_WINDOW_MS:
            self._peaks.popleft()
        return max(peak for _, peak in self._peaks)


class Demand:
    """Smooths the open requests of each model, those of this daemon and those that peers reported.

    A group serves the same number of concurrent requests whatever its size, so that a model needs
    upstreams in proportion to its open requests and to the size of its groups.

    :param book: loads of the upstreams.
    :param arrivals: requests that arrive for each model, those that are refused included.
    """

    __slots__ = ("_book", "_arrivals", "_smoothed_work", "_measured_at_ms", "_slot_demands")

    def __init__(self, book: loads.LoadBook, arrivals: demands.DemandBook) -> None:
        self._book = book
        self._arrivals = arrivals
        self._smoothed_work: dict[str, float] = {}
        self._slot_demands: dict[tuple[str, str], SlotDemand] = {}
        self._measured_at_ms = 0.0

    def measure(self, service: rules.Service, view: fleet.Fleet, now_ms: float) -> dict[str, float]:
        """Return the share of the upstreams that each model needs; empty without open requests.

        :param service: model service.
        :param view: fleet.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        if service.engine is None:
            return {}
        weight = min(1.0, max(0.0, now_ms - self._measured_at_ms) / SMOOTHING_MS)
        self._measured_at_ms = now_ms
        for model in service.engine.models:
            head_loads = [
                self._book.find(group.head.id)
                for group in view.list_groups(service.name, model.name)
            ]
            work = model.group_size * sum(load.open + load.peer_open for load in head_loads)
            previous = self._smoothed_work.get(model.name, 0.0)
            self._smoothed_work[model.name] = previous + weight * (work - previous)
        total = sum(self._smoothed_work.values())
        if total < 1:
            return {}
        return {
            model.name: model.share
            + MEASURED_WEIGHT * (self._smoothed_work[model.name] / total - model.share)
            for model in service.engine.models
        }

    def measure_slots(
        self, service: rules.Service, view: fleet.Fleet, now_ms: float
    ) -> dict[str, float]:
        """Return the slots that each model needed at the peak of the last seconds.

        They are the open requests of all daemons, those that wait at the groups included, or those
        that would be open if none were refused, with an allowance for groups that are lost.

        :param service: model service.
        :param view: fleet.
        :param now_ms: clock of the coordinator, in milliseconds.
        :return: slots by model; empty where no model has groups of `MIN_LARGEST_GROUP` or more.
        """
        wanted: dict[str, float] = {}
        if service.engine is None:
            return wanted
        if not moves_groups(service.engine):
            return wanted
        rates = self._arrivals.sum_models(now_ms)
        for model in service.engine.models:
            head_loads = [
                self._book.find(group.head.id)
                for group in view.list_groups(service.name, model.name)
            ]
            taken = float(sum(load.open + load.peer_open for load in head_loads))
            rate_per_s = rates.get((service.name, model.name), 0.0)
            taken = max(taken, rate_per_s * estimate_hold_ms(service.engine, model) / 1000)
            taken *= 1 + model.group_size / MEMBERS_PER_SPARE_SLOT
            demand = self._slot_demands.setdefault((service.name, model.name), SlotDemand())
            wanted[model.name] = demand.measure(taken, now_ms)
        return wanted


def moves_groups(engine: rules.EngineSpec | None) -> bool:
    """Return whether measured demand decides which models have groups; see `MIN_LARGEST_GROUP`.

    :param engine: what the engines are able to do; None for a plain service.
    """
    if engine is None:
        return False
    return any(model.group_size >= MIN_LARGEST_GROUP for model in engine.models)


def estimate_hold_ms(engine: rules.EngineSpec, model: rules.ModelSpec) -> float:
    """Return how long a usual request holds a slot of a group that is half full.

    :param engine: performance of the engines.
    :param model: model.
    """
    step_ms = engine.step_ms + engine.sequence_step_ms * engine.slots / 2
    return model.pace * engine.usual_answer_tokens * step_ms
