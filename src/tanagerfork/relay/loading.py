"""Loading: how many loads from the weight store a coordinator may start."""

from collections.abc import Mapping

from tanagerfork.relay import plans, rules

CEILING_WINDOW_MS = 5000  # Window in which the weight store's rate is judged.
LOAD_LIMIT_FACTOR = 3  # A load that takes so much longer than alone has failed.


class LoadPacer:
    """Keeps one failure domain to its part of the weight store's rate and of its loads at once.

    More loads at once than the store takes only slow each other down.

    :param failure_domains: failure domains that share the weight store.
    """

    __slots__ = ("_domains", "_began_ms", "_loading")

    def __init__(self, failure_domains: int) -> None:
        self._domains = max(1, failure_domains)
        self._began_ms: list[int] = []
        self._loading: dict[str, tuple[str, int]] = {}

    @property
    def loading(self) -> dict[str, str]:
        """Models whose weights are loaded, by the id of the upstream."""
        return {upstream_id: model for upstream_id, (model, _) in self._loading.items()}

    def note(self, upstream_id: str, model: str, now_ms: int) -> None:
        """Note that a load was ordered.

        :param upstream_id: id of the upstream.
        :param model: model whose weights it loads.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        self._began_ms.append(now_ms)
        self._loading[upstream_id] = model, now_ms

    def note_needless(self, upstream_id: str) -> None:
        """Note that no load was begun, as the weights were there or on their way already.

        :param upstream_id: id of the upstream that was ordered to load them.
        """
        if upstream_id in self._loading and self._began_ms:
            self._began_ms.pop()

    def count_left(self, engine: rules.EngineSpec | None, now_ms: int) -> int:
        """Return how many loads may be started now.

        :param engine: what the engines are able to do.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        if engine is None:
            return 0
        self._began_ms = [began for began in self._began_ms if now_ms - began < CEILING_WINDOW_MS]
        allowed = engine.loads_per_s * CEILING_WINDOW_MS / 1000 / self._domains
        at_once = -(-engine.loads_at_once // self._domains)
        return max(0, min(int(allowed) - len(self._began_ms), at_once - len(self._loading)))

    def forget_ended(
        self, service: rules.Service, facts: Mapping[str, plans.Fact], now_ms: int
    ) -> None:
        """Forget the loads that have ended or failed.

        :param service: model service.
        :param facts: what is known of its upstreams.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        for upstream_id, (model, began_ms) in list(self._loading.items()):
            fact = facts.get(upstream_id)
            spec = service.engine.find_model(model) if service.engine else None
            limit_ms = LOAD_LIMIT_FACTOR * spec.load_s * 1000 if spec else 0
            is_over = fact is None or not fact.is_usable or fact.holds(model)
            if is_over or now_ms - began_ms > limit_ms:
                del self._loading[upstream_id]
