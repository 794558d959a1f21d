"""Configuration difference: what callers will see of a new configuration."""

from collections.abc import Iterator, Sequence

from tanagerfork import errors
from tanagerfork.relay import config_check, rules

RUNS = {True: "may run more than once", False: "run at most once"}
KEY_NEED = {True: "need no key any more", False: "need a key, and are refused with 401 without one"}


def describe_difference(
    current: config_check.ConfigDraft, draft: config_check.ConfigDraft
) -> list[str]:
    """Return what callers will see, a sentence for each change; empty where they see none.

    :param current: configuration in force.
    :param draft: configuration that would replace it.
    """
    before, after = current.make_rules(), draft.make_rules()
    return [
        *_describe_routes(before, after),
        *_describe_keys(current, draft),
        *_describe_models(before, after),
    ]


def _describe_routes(before: rules.Rules, after: rules.Rules) -> Iterator[str]:
    old = {(route.host, route.prefix): route for route in before.routes}
    new = {(route.host, route.prefix): route for route in after.routes}
    for place, route in new.items():
        where = f"{route.host}{route.prefix}"
        if place in old:
            yield from _describe_route(where, old[place], route)
            continue
        fallback = _find_fallback(before, route)
        earlier = f"by route {fallback.name} so far" if fallback else "with 404 so far"
        yield f"{where}: requests go to {_name_targets(route)}, answered {earlier}"
    for place, route in old.items():
        if place in new:
            continue
        fallback = _find_fallback(after, route)
        later = f"go to route {fallback.name}" if fallback else "are answered with 404"
        yield f"{route.host}{route.prefix}: requests {later}, as route {route.name} is removed"


def _find_fallback(found: rules.Rules, route: rules.Route) -> rules.Route | None:
    """Return the route that takes the requests of another route which is not there."""
    try:
        return found.match(route.host, route.prefix)
    except errors.NotFound:
        return None


def _describe_route(where: str, old: rules.Route, new: rules.Route) -> Iterator[str]:
    if old.targets != new.targets:
        yield f"{where}: requests go to {_name_targets(new)} instead of {_name_targets(old)}"
    if old.repetition is not new.repetition:
        kinds = f"{new.repetition.value} instead of {old.repetition.value}"
        yield f"{where}: requests count as {kinds}, and {RUNS[new.is_repeatable]}"
    elif old.is_repeatable != new.is_repeatable:
        breaks = "are resumed" if new.is_repeatable else "stay broken off"
        yield f"{where}: streams that break off {breaks}"
    if old.timeout_ms != new.timeout_ms:
        yield (
            f"{where}: requests are ended after {new.timeout_ms:g} ms instead of "
            f"{old.timeout_ms:g} ms"
        )
    if old.attempts != new.attempts and new.is_repeatable:
        yield f"{where}: up to {new.attempts} attempts instead of {old.attempts}"
    if old.is_public != new.is_public:
        yield f"{where}: requests {KEY_NEED[new.is_public]}"
    yield from _describe_goals(where, old, new)


def _describe_goals(where: str, old: rules.Route, new: rules.Route) -> Iterator[str]:
    if old.goal_ms != new.goal_ms:
        stricter = "more" if new.goal_ms < old.goal_ms else "fewer"
        yield (
            f"{where}: the first event is due after {new.goal_ms:g} ms instead of "
            f"{old.goal_ms:g} ms; {stricter} requests are refused under overload"
        )
    if old.gap_goal_ms != new.gap_goal_ms:
        yield (
            f"{where}: further events are due after {new.gap_goal_ms:g} ms instead of "
            f"{old.gap_goal_ms:g} ms"
        )
    if old.priority != new.priority:
        yield f"{where}: {_describe_priority(old.priority, new.priority)}"


def _name_targets(route: rules.Route) -> str:
    total = sum(target.weight for target in route.targets)
    if len(route.targets) == 1 or total <= 0:
        return route.targets[0].service or "no service"
    shares = (f"{target.service} ({target.weight / total:.0%})" for target in route.targets)
    return " and ".join(shares)


def _describe_priority(old: int | None, new: int | None) -> str:
    texts = [
        "the priority of the route" if one is None else f"priority {one}" for one in (old, new)
    ]
    return f"requests have {texts[1]} instead of {texts[0]}"


def _describe_keys(
    current: config_check.ConfigDraft, draft: config_check.ConfigDraft
) -> Iterator[str]:
    if (current.teams is None) != (draft.teams is None):
        routes = "" if draft.teams is None else " on routes that are not public"
        yield f"all routes: requests {KEY_NEED[draft.teams is None]}{routes}"
    old, new = _list_owners(current.teams), _list_owners(draft.teams)
    moved: dict[tuple[str | None, str | None], int] = {}
    for key in old.keys() | new.keys():
        change = old.get(key), new.get(key)
        if change[0] != change[1]:
            moved[change] = moved.get(change, 0) + 1
    for (left, right), count in sorted(moved.items(), key=lambda item: str(item[0])):
        keys = "1 key" if count == 1 else f"{count} keys"
        if left is None:
            yield f"team {right}: {keys} will be accepted"
        elif right is not None:
            yield f"team {right}: requests with {keys} of team {left} count as its own"
        elif draft.teams is not None:
            yield f"team {left}: requests with {keys} are refused with 401"
    yield from _describe_team_priorities(current, draft)


def _describe_team_priorities(
    current: config_check.ConfigDraft, draft: config_check.ConfigDraft
) -> Iterator[str]:
    priorities = {team.name: team.priority for team in current.teams or ()}
    for team in draft.teams or ():
        before = priorities.get(team.name, team.priority)
        if before != team.priority:
            yield f"team {team.name}: {_describe_priority(before, team.priority)}"


def _list_owners(teams: Sequence[config_check.DraftTeam] | None) -> dict[str, str]:
    return {key: team.name for team in teams or () for key in team.keys}


def _describe_models(before: rules.Rules, after: rules.Rules) -> Iterator[str]:
    old = {
        (service.name, model.name): model
        for service in before.list_engine_services()
        for model in (service.engine.models if service.engine else ())
    }
    new = {
        (service.name, model.name): model
        for service in after.list_engine_services()
        for model in (service.engine.models if service.engine else ())
    }
    for (service, name), model in new.items():
        earlier = old.get((service, name))
        if earlier is None:
            yield f"model {name} of {service}: requests are served once a group of it is formed"
            continue
        if earlier.group_size != model.group_size:
            yield (
                f"model {name} of {service}: its groups are formed again with {model.group_size} "
                f"instead of {earlier.group_size} members; requests are refused while there is none"
            )
        if earlier.share != model.share:
            yield (
                f"model {name} of {service}: it gets {model.share:.0%} of the upstreams instead of "
                f"{earlier.share:.0%}"
            )
    for service, name in sorted(old.keys() - new.keys()):
        yield f"model {name} of {service}: requests are refused with 503, as it is removed"
