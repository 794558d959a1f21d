"""Loading: limits how many loads from the weight store a coordinator starts."""

import dataclasses
from collections.abc import Mapping

from tanagerfork.relay import plans, rules

RATE_WINDOW_MS = 5000  # Sliding window over which the rate of loads is limited.
LOAD_TIMEOUT_FACTOR = 3  # A load that takes this many times as long as a single one has failed.


@dataclasses.dataclass(slots=True)
class _Load:
    """Load that was ordered. Without an answer to the order it may be under way or not."""

    service: str
    model: str
    ordered_at_ms: int
    is_unanswered: bool = False


class LoadLimiter:
    """Keeps one failure domain within its share of the weight store's load rate and concurrency.

    More concurrent loads than the store can serve only slow each other down.

    :param failure_domains: failure domains that share the weight store.
    """

    __slots__ = ("_domain_count", "_started_ms", "_loading")

    def __init__(self, failure_domains: int) -> None:
        self._domain_count = max(1, failure_domains)
        self._started_ms: list[int] = []
        self._loading: dict[str, _Load] = {}

    @property
    def loading(self) -> dict[str, str]:
        """Models that are being loaded from the weight store, by the id of the upstream.

        An order without an answer is not among them, so that it is repeated.
        """
        return {
            upstream_id: load.model
            for upstream_id, load in self._loading.items()
            if not load.is_unanswered
        }

    def note_ordered(self, service: str, upstream_id: str, model: str, now_ms: int) -> None:
        """Record that a load was ordered.

        :param service: name of the service.
        :param upstream_id: id of the upstream.
        :param model: model whose weights it loads.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        self._started_ms.append(now_ms)
        self._loading[upstream_id] = _Load(service, model, now_ms)

    def note_not_started(self, upstream_id: str) -> None:
        """Take back a load that did not start, as the weights were there or being loaded already.

        It no longer counts against the rate, but still as concurrent, as it may be under way.

        :param upstream_id: id of the upstream that was ordered to load them.
        """
        if upstream_id in self._loading and self._started_ms:
            self._started_ms.pop()

    def record_failed(self, upstream_id: str) -> None:
        """Record that an order to load was refused or did not arrive, so that it may be repeated.

        It still counts against the rate.

        :param upstream_id: id of the upstream that was ordered to load.
        """
        self._loading.pop(upstream_id, None)

    def record_unanswered(self, upstream_id: str) -> None:
        """Record that an order to load got no answer, so that the load may be under way.

        It counts as concurrent for the time of one load, and the order may be repeated.

        :param upstream_id: id of the upstream that was ordered to load.
        """
        if upstream_id in self._loading:
            self._loading[upstream_id].is_unanswered = True

    def count_allowed(self, engine: rules.EngineSpec | None, now_ms: int) -> int:
        """Return how many loads may be started now.

        :param engine: what the engines are able to do.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        if engine is None:
            return 0
        self._started_ms = [
            started_ms for started_ms in self._started_ms if now_ms - started_ms < RATE_WINDOW_MS
        ]
        max_started = engine.loads_per_s * RATE_WINDOW_MS / 1000 / self._domain_count
        max_concurrent = -(-engine.loads_at_once // self._domain_count)
        return max(
            0,
            min(int(max_started) - len(self._started_ms), max_concurrent - len(self._loading)),
        )

    def forget_ended(
        self, service: rules.Service, statuses: Mapping[str, plans.UpstreamStatus], now_ms: int
    ) -> None:
        """Forget the loads of a service that have ended, failed or timed out.

        :param service: model service.
        :param statuses: status of its upstreams, by id.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        for upstream_id, load in list(self._loading.items()):
            if load.service != service.name:
                continue
            status = statuses.get(upstream_id)
            spec = service.engine.find_model(load.model) if service.engine else None
            load_times = 1 if load.is_unanswered else LOAD_TIMEOUT_FACTOR
            timeout_ms = load_times * spec.load_s * 1000 if spec else 0
            is_over = status is None or not status.is_usable or status.holds(load.model)
            if is_over or now_ms - load.ordered_at_ms > timeout_ms:
                del self._loading[upstream_id]
