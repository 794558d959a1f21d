"""Usage: what the requests of each model look like, learned from those that pass through."""

import dataclasses

from tanagerfork.relay import calls, rules

REQUEST_SMOOTHING = 0.05  # Averages about the last forty requests of a daemon.
ANSWER_SMOOTHING = 0.05  # Averages about the last forty answers of a daemon.


@dataclasses.dataclass(slots=True)
class ModelUsage:
    """Requests of one model as this daemon has seen them.

    `answer_tokens` and `prompt_tokens` are mean lengths. `request_tokens` is the mean of what
    requests may take of an upstream's memory: their prompt and the longest answer that they allow.
    `goals_ms` are the goals of the routes that requests for the model came on, by the name of the
    route.
    """

    answer_tokens: float
    prompt_tokens: float = 0.0
    goals_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    request_tokens: float = 0.0

    def note_arrival(self, route: str, goal_ms: float) -> float:
        """Record a request, and return the shortest goal of the model's routes.

        :param route: name of the route.
        :param goal_ms: goal of the route for the first event, in milliseconds.
        """
        self.goals_ms[route] = goal_ms
        return min(self.goals_ms.values())

    def record_request(self, facts: calls.CallerFacts, capacity_tokens: int) -> None:
        """Record the sizes of a request, once however often it is sent.

        A request that is larger than an upstream's memory says nothing about others.

        :param facts: headers of the request.
        :param capacity_tokens: tokens that an upstream's memory holds; 0 if it is unknown.
        """
        tokens = facts.prompt_tokens + facts.answer_tokens
        if capacity_tokens and tokens > capacity_tokens:
            return
        weight = REQUEST_SMOOTHING if self.request_tokens else 1.0
        self.request_tokens += weight * (tokens - self.request_tokens)
        self.prompt_tokens += weight * (facts.prompt_tokens - self.prompt_tokens)

    def note_answer(self, tokens: int) -> None:
        """Record a complete answer.

        :param tokens: length of the answer.
        """
        self.answer_tokens += ANSWER_SMOOTHING * (tokens - self.answer_tokens)


class UsageBook:
    """Usage of all models, by service and model."""

    __slots__ = ("_usages", "_version")

    def __init__(self) -> None:
        self._usages: dict[tuple[str, str], ModelUsage] = {}
        self._version = 0

    def find(self, service: str, model: str, engine: rules.EngineSpec) -> ModelUsage:
        """Return the usage of a model; callers' names of unknown models are not kept.

        :param service: name of the service.
        :param model: name of the model, as the caller sent it.
        :param engine: engine of the service, whose mean length of an answer counts until answers
            have been seen.
        """
        usage = self._usages.get((service, model))
        if usage is None:
            usage = ModelUsage(engine.usual_answer_tokens)
            if engine.find_model(model) is not None:
                self._usages[service, model] = usage
        return usage

    def follow_version(self, version: int) -> bool:
        """Forget the goals of another version of the configuration.

        :param version: version in force.
        :return: whether it is another one.
        """
        if version == self._version:
            return False
        self._version = version
        for usage in self._usages.values():
            usage.goals_ms.clear()
        return True
