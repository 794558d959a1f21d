"""Configuration check: what is wrong with a configuration before it is sent."""

import collections
import dataclasses
import enum
from collections.abc import Iterator, Sequence

from tanagerfork.relay import members, rules
from tanagerfork.relay import regions as region_rules

Place = tuple[str | int, ...]  # Fields of the rules and positions in lists.
SHARE_TOLERANCE = 0.001  # Shares such as three times 0.333 are rounded.


class Severity(enum.Enum):
    """Whether a configuration may be sent in spite of a finding."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """Something that is wrong, where, and what to do about it."""

    severity: Severity
    place: Place
    message: str
    remedy: str


@dataclasses.dataclass(slots=True, frozen=True)
class DraftTeam:
    """A team with its keys, before the keys of all teams are merged."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: region_rules.Regions = None


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigDraft:
    """A configuration as written, with entries that hide each other.

    `teams` is None where no key is required. `unknown_fields` are the paths of fields that daemons
    ignore, in the notation of the file: of each field, the first one and the number of entries that
    have it.
    """

    version: int
    routes: tuple[rules.Route, ...]
    services: tuple[rules.Service, ...]
    teams: tuple[DraftTeam, ...] | None
    limits: rules.CallerLimits
    unknown_fields: tuple[tuple[str, int], ...] = ()

    def make_rules(self) -> rules.Rules:
        """Return the rules that daemons make of the configuration."""
        teams_by_key = None
        if self.teams is not None:
            teams_by_key = {
                key: rules.Team(team.name, team.priority, team.regions)
                for team in self.teams
                for key in team.keys
            }
        return rules.Rules(self.version, self.routes, self.services, teams_by_key, self.limits)


def check_draft(
    draft: ConfigDraft, upstreams: Sequence[members.Upstream] | None = None
) -> list[Finding]:
    """Return what is wrong with a configuration, in the order of its fields.

    :param draft: configuration.
    :param upstreams: upstreams of the deployment; None if they are not known.
    """
    findings = [
        *_check_routes(draft),
        *_check_services(draft),
        *_check_teams(draft),
    ]
    if upstreams is not None:
        findings += _check_upstreams(draft, upstreams)
    return findings


def check_version(draft: ConfigDraft, current: ConfigDraft) -> list[Finding]:
    """Return whether daemons would put a configuration in force.

    :param draft: configuration.
    :param current: configuration in force.
    """
    if draft.version > current.version:
        return []
    message = f"version {draft.version} is not newer than {current.version}, which is in force"
    remedy = f"set it to {current.version + 1} or more; daemons ignore it otherwise"
    return [Finding(Severity.ERROR, ("version",), message, remedy)]


def _error(place: Place, message: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, message, remedy)


def _warning(place: Place, message: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, place, message, remedy)


def _check_routes(draft: ConfigDraft) -> Iterator[Finding]:
    last = {(route.host, route.prefix): number for number, route in enumerate(draft.routes)}
    names = {service.name for service in draft.services}
    for number, route in enumerate(draft.routes):
        place: Place = "routes", number
        winner = last[route.host, route.prefix]
        if winner != number:
            yield _error(
                (*place, "prefix"),
                f"route {route.name} never matches: route {draft.routes[winner].name} has the same "
                f"host and prefix {route.host}{route.prefix} and comes later",
                "remove one of the two, or change its prefix",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _error(
                (*place, "prefix"),
                f"route {route.name} never matches: {route.prefix!r} does not start and end with /",
                "start and end the prefix with /",
            )
        if not route.host or ":" in route.host:
            yield _error(
                (*place, "host"),
                f"route {route.name} never matches: requests are matched by a host without a port",
                "give the name of the host alone",
            )
        yield from _check_targets(route, place, names)
        yield from _check_route_limits(route, place)


def _check_targets(route: rules.Route, place: Place, names: set[str]) -> Iterator[Finding]:
    if not any(target.service for target in route.targets):
        yield _error(
            (*place, "service"),
            f"route {route.name} has no service, so that its requests are refused with 503",
            "name one of the services, or give a split",
        )
        return
    total = sum(max(0.0, target.weight) for target in route.targets)
    for number, target in enumerate(route.targets):
        is_split = len(route.targets) > 1
        target_place = (*place, "targets", number) if is_split else (*place, "service")
        if target.service not in names:
            yield _error(
                target_place,
                f"service {target.service!r} of route {route.name} is not configured",
                "add the service, or name one that is there",
            )
        if target.weight <= 0:
            severity = Severity.WARNING if total else Severity.ERROR
            yield Finding(
                severity,
                (*place, "targets", number, "weight"),
                f"service {target.service!r} has no share of the requests of route {route.name}",
                "give it a weight above 0, or remove it from the split",
            )


def _check_route_limits(route: rules.Route, place: Place) -> Iterator[Finding]:
    if route.timeout_ms <= 0:
        yield _error(
            (*place, "timeout_ms"),
            f"requests of route {route.name} have no time to run",
            "give a timeout above 0",
        )
    elif route.timeout_ms < route.goal_ms:
        yield _error(
            (*place, "timeout_ms"),
            f"requests of route {route.name} are ended after {route.timeout_ms:g} ms, before their "
            f"goal of {route.goal_ms:g} ms",
            "raise the timeout above the goal",
        )
    if route.attempts > 1 and not route.is_repeatable:
        yield _warning(
            (*place, "attempts"),
            f"{route.attempts} attempts of route {route.name} are never used, as its requests run "
            "at most once",
            "set 1 attempt, or make the route safe or a resumable stream",
        )
    if route.is_resumable and route.repetition is not rules.Repetition.STREAM:
        yield _warning(
            (*place, "is_resumable"),
            f"route {route.name} is no stream, so that nothing of it is resumed",
            "remove the field, or make the route a stream",
        )


def _check_services(draft: ConfigDraft) -> Iterator[Finding]:
    used = {target.service for route in draft.routes for target in route.targets}
    last = {service.name: number for number, service in enumerate(draft.services)}
    for number, service in enumerate(draft.services):
        place: Place = "services", number
        if last[service.name] != number:
            yield _error(
                (*place, "name"),
                f"service {service.name} is configured again later, which replaces this entry",
                "remove one of the two, or rename it",
            )
        if service.name not in used:
            yield _warning(
                (*place, "name"),
                f"service {service.name} gets no requests, as no route names it",
                "add a route, or remove the service",
            )
        if service.engine is not None:
            yield from _check_engine(draft, service, service.engine, (*place, "engine"))


def _check_engine(
    draft: ConfigDraft, service: rules.Service, engine: rules.EngineSpec, place: Place
) -> Iterator[Finding]:
    if not engine.models:
        yield _error(
            (*place, "models"),
            f"service {service.name} has no models, so that no group is formed",
            "add a model",
        )
    if engine.slots < 1:
        yield _error(
            (*place, "slots"), f"groups of {service.name} run no request", "give 1 slot or more"
        )
    needed = engine.slots * engine.usual_answer_tokens
    if engine.kv_tokens and needed > engine.kv_tokens:
        yield _warning(
            (*place, "kv_tokens"),
            f"usual answers at all {engine.slots} slots of {service.name} take {needed:g} tokens, "
            f"and an upstream holds {engine.kv_tokens}",
            "lower the slots, or correct the capacity",
        )
    total = sum(model.share for model in engine.models)
    if total > 1 + SHARE_TOLERANCE:
        yield _warning(
            (*place, "models"),
            f"the models of {service.name} have shares of {total:g} together",
            "lower them to 1 in all",
        )
    counts = collections.Counter(model.name for model in engine.models)
    goals = [
        route.goal_ms
        for route in draft.routes
        if route.goal_ms > 0 and any(target.service == service.name for target in route.targets)
    ]
    for number, model in enumerate(engine.models):
        model_place = (*place, "models", number)
        if counts[model.name] > 1:
            yield _error(
                (*model_place, "name"),
                f"model {model.name} is there {counts[model.name]} times",
                "keep one of them",
            )
        if model.group_size < 1:
            yield _error(
                (*model_place, "group_size"),
                f"groups of model {model.name} have no members",
                "give a size of 1 or more",
            )
        step_ms = engine.step_ms + engine.sequence_step_ms
        first_ms = model.pace * engine.event_tokens * step_ms
        if goals and first_ms > max(goals):
            yield _warning(
                (*model_place, "pace"),
                f"the first event of model {model.name} takes {first_ms:g} ms at an idle group, "
                f"more than the goal of any route ({max(goals):g} ms)",
                "raise the goal, or correct the pace",
            )


def _check_teams(draft: ConfigDraft) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    positions: dict[str, int] = {}
    names: dict[str, int] = {}
    for number, team in enumerate(draft.teams or ()):
        place: Place = "teams", number
        if not team.keys:
            yield _warning(
                (*place, "keys"),
                f"team {team.name} has no key, so that no request is its own",
                "add a key, or remove the team",
            )
        if names.setdefault(team.name, number) != number:
            yield _warning(
                (*place, "name"),
                f"team {team.name} is there twice; its requests count together",
                "merge the two entries, or rename one",
            )
        for key_number, key in enumerate(team.keys):
            owner = positions.setdefault(key, number)
            owner_name = owners.setdefault(key, team.name)
            key_place = (*place, "keys", key_number)
            if not key:
                yield _error(
                    key_place, f"a key of team {team.name} is empty", "remove it, or write it out"
                )
            elif owner != number:
                yield _error(
                    key_place,
                    f"a key belongs to both team {owner_name} and team {team.name}, and counts for "
                    "the last of its teams",
                    "keep it at one of them, and grant the other a new one",
                )


def _check_upstreams(
    draft: ConfigDraft, upstreams: Sequence[members.Upstream]
) -> Iterator[Finding]:
    counts = collections.Counter(one.service for one in upstreams if not one.is_leaving)
    for number, route in enumerate(draft.routes):
        available = max((counts[target.service] for target in route.targets), default=0)
        if route.is_repeatable and available and route.attempts > available:
            yield _warning(
                ("routes", number, "attempts"),
                f"route {route.name} may make {route.attempts} attempts, but its services have at "
                f"most {available} upstreams, each of which is tried once",
                f"lower the attempts to {available}",
            )
    for number, service in enumerate(draft.services):
        if not counts[service.name]:
            yield _warning(
                ("services", number, "name"),
                f"service {service.name} has no upstream; its requests are refused with 503",
                "start upstreams, or remove the service",
            )
            continue
        domains = collections.Counter(
            one.fabric_domain
            for one in upstreams
            if one.service == service.name and not one.is_leaving
        )
        largest = max(domains.values())
        for model_number, model in enumerate(service.engine.models if service.engine else ()):
            if model.group_size > largest:
                yield _error(
                    ("services", number, "engine", "models", model_number, "group_size"),
                    f"no fabric domain holds a group of {model.group_size} of model {model.name}; "
                    f"the largest has {largest} upstreams",
                    f"lower the size to {largest}, or add upstreams",
                )
