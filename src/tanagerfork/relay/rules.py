"""Rules: routes, services, teams and limits of one version of the configuration."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

import xxhash

from tanagerfork import errors
from tanagerfork.relay import regions as region_rules

DEFAULT_REPORT_LAG_MS = 500.0  # Reports are some hundred milliseconds old.


class Repetition(enum.Enum):
    """Type of a route: whether its requests may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Services and rules for the requests of one host and path prefix.

    `goal_ms` and `gap_goal_ms` are the goals for the first event and for the gaps between events.
    `attempts` is how many sends of a request may run; `is_public` means that no key is required.
    `regions` are those in which requests may run.
    """

    name: str
    host: str
    prefix: str
    repetition: Repetition
    targets: tuple[Target, ...]
    timeout_ms: float
    goal_ms: float
    gap_goal_ms: float
    attempts: int
    priority: int
    is_public: bool
    is_resumable: bool
    regions: region_rules.Regions = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.repetition is Repetition.STREAM:
            return self.is_resumable
        return self.repetition is Repetition.SAFE

    def make_unrepeatable(self) -> "Route":
        """Return the route for requests that may run once only, as newer rules may demand it."""
        is_safe = self.repetition is Repetition.SAFE
        repetition = Repetition.UNSAFE if is_safe else self.repetition
        return dataclasses.replace(self, repetition=repetition, is_resumable=False)

    def choose_service(self, request_id: str) -> str:
        """Return the service of a request, drawn by weight; the same id always gets the same one.

        :param request_id: id of the caller's attempt.
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclasses.dataclass(slots=True, frozen=True)
class Team:
    """A team, its priority, which overrides the route's where it is set, and its regions."""

    name: str
    priority: int | None
    regions: region_rules.Regions = None


def find_priority(route: Route, team: Team | None) -> int:
    """Return the effective priority of a request: the team's where it is set, else the route's.

    :param route: route of the request.
    :param team: team of the request, None for none.
    """
    if team is not None and team.priority is not None:
        return team.priority
    return route.priority


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """How replicas of one model are built, and how fast they are.

    `share` is the part of the upstreams that the model gets. `pace` is the factor on all times of
    its groups. `load_s` is the time to load the weights from the weight store, `warm_s` from the
    host's memory.
    """

    name: str
    group_size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """Capacity and performance of a model service's engines; times are of a group of pace 1.

    `cross_domain_factor` is how many times slower a group runs whose members are in several fabric
    domains. `event_tokens` is the number of tokens in an event of a stream. `report_lag_ms` is the
    age of an upstream's report when it arrives. `keeps` is how many staged models a host holds.
    """

    models: tuple[ModelSpec, ...]
    slots: int
    kv_tokens: int
    step_ms: float
    sequence_step_ms: float
    context_step_ms: float
    read_tokens_per_s: float
    usual_answer_tokens: float
    form_ms: float
    loads_per_s: float
    loads_at_once: int
    cross_domain_factor: float = 1.0
    event_tokens: int = 1
    report_lag_ms: float = DEFAULT_REPORT_LAG_MS
    keeps: int = 1

    def find_model(self, name: str) -> ModelSpec | None:
        """Return a model by its name; None where the engine does not serve it.

        :param name: name of the model.
        """
        return next((model for model in self.models if model.name == name), None)


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A pool of upstreams; `engine` is None for a plain service, which forms no groups.

    An upstream is cold for `cold_start_ms` after its start, and takes `cold_per_s` requests a
    second meanwhile from all daemons together; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what a caller may send, and on how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Rules:
    """One version of the configuration.

    :param version: version, which only grows.
    :param routes: routes.
    :param services: services.
    :param teams_by_key: team of each API key; None where no key is required.
    :param limits: bounds on callers.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "limits",
        "_routes_by_prefix",
        "_prefix_sizes",
        "_teams_by_key",
    )

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Sequence[Service],
        teams_by_key: Mapping[str, Team] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._routes_by_prefix = {(route.host, route.prefix): route for route in routes}
        sizes: dict[str, set[int]] = {}
        for route in routes:
            if route.prefix.endswith("/"):
                sizes.setdefault(route.host, set()).add(len(route.prefix))
        self._prefix_sizes = {host: sorted(found, reverse=True) for host, found in sizes.items()}
        self._teams_by_key = teams_by_key

    def match(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix that matches a path.

        :param host: host of the request, without a port.
        :param path: path as sent, without the query.
        :raises NotFound: no route of the host matches the path.
        """
        for size in self._prefix_sizes.get(host, ()):  # Callers choose how many slashes there are.
            route = self._routes_by_prefix.get((host, path[:size]))
            if route is not None:
                return route
        raise errors.NotFound(f"no route matches {(host + path)[:200]}; check host and path")

    def identify(self, route: Route, key: str) -> Team | None:
        """Return the team of a request; None where it has none and needs none.

        :param route: route of the request.
        :param key: API key; empty for none.
        :raises Unauthorized: a key is required, and this one belongs to no team.
        """
        if self._teams_by_key is None:
            return None
        team = self._teams_by_key.get(key)
        if team is None and not route.is_public:
            raise errors.Unauthorized("the API key belongs to no team; send a key that is in force")
        return team

    def list_priorities(self) -> frozenset[int]:
        """Return the effective priorities that requests may have."""
        teams = list((self._teams_by_key or {}).values())
        overriding = frozenset(team.priority for team in teams if team.priority is not None)
        by_route = [
            route.priority
            for route in self.routes
            if self._teams_by_key is None
            or route.is_public
            or any(team.priority is None for team in teams)
        ]
        return overriding | frozenset(by_route)

    def list_engine_services(self) -> list[Service]:
        """Return the services whose upstreams form groups."""
        return [service for service in self.services.values() if service.engine is not None]


class RulesRegister:
    """The rules in force; an older version never replaces a newer one."""

    __slots__ = ("current",)

    def __init__(self) -> None:
        self.current: Rules | None = None

    def replace_if_newer(self, rules: Rules) -> bool:
        """Put rules in force if they are newer than the current ones.

        :param rules: decoded configuration.
        :return: whether they were newer.
        """
        if self.current is not None and rules.version <= self.current.version:
            return False
        self.current = rules
        return True
