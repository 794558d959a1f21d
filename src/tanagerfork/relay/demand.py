"""Demand: the share of the upstreams that each model needs for its open requests."""

from tanagerfork.relay import fleet, loads, rules

SMOOTHING_MS = 5000.0  # Longer than a usual answer, shorter than the time between two losses.
# The configured share has the rest of the weight, as a model's open requests drop with its groups.
MEASURED_WEIGHT = 0.5


class Demand:
    """Smooths the open requests of each model, those of this daemon and those that peers reported.

    A group serves the same number of concurrent requests whatever its size, so that a model needs
    upstreams in proportion to its open requests and to the size of its groups.

    :param book: loads of the upstreams.
    """

    __slots__ = ("_book", "_smoothed_work", "_measured_at_ms")

    def __init__(self, book: loads.LoadBook) -> None:
        self._book = book
        self._smoothed_work: dict[str, float] = {}
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
