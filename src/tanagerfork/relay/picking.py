"""Picking: chooses, from free upstreams, the members that can form a group of a model soonest."""

from collections.abc import Collection, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import plans, rules

STAGED_COST = 1
LOADED_COST = 0
UNSTAGED_COST = 10
# At most this part of a group are upstreams whose engines hold a protected model. Without a limit,
# the survivors of a group of 16 would form small groups as soon as one member is lost.
MAX_CONVERTED_SHARE = 0.5


def pick_members(
    statuses: Sequence[plans.UpstreamStatus],
    model: rules.ModelSpec,
    engine: rules.EngineSpec,
    protected: Collection[str] = (),
) -> list[plans.UpstreamStatus]:
    """Return the members of a new group, fewer than it needs where there are not enough.

    :param statuses: free upstreams.
    :param model: model of the group.
    :param engine: what the engines are able to do.
    :param protected: models that need their upstreams themselves.
    """
    picked: list[plans.UpstreamStatus] = []
    conversions_left = int(MAX_CONVERTED_SHARE * model.group_size)
    for status in sorted(statuses, key=lambda status: _sort_key(status, model, engine)):
        held = status.upstream.models
        if model.name not in held and not set(held).isdisjoint(protected):
            if not conversions_left:
                continue
            conversions_left -= 1
        picked.append(status)
        if len(picked) == model.group_size:
            break
    return picked


def find_moving_domains(groups: Sequence[assignments.Assignment]) -> dict[str, str]:
    """Return the fabric domains in which a move closes groups, and the model that gains them.

    The groups of a move end one after another, each with its longest answer. Until the last one has
    ended, only the gaining model may use the free upstreams there: a group of another model formed
    from the first ones would undo the move.

    :param groups: assignments of the service, closing ones included.
    """
    return {
        group.fabric_domain: plans.find_gaining_model(group)
        for group in groups
        if plans.find_gaining_model(group)
    }


def leave_reserved(
    statuses: Sequence[plans.UpstreamStatus],
    protected: Sequence[rules.ModelSpec],
    engine: rules.EngineSpec,
) -> list[plans.UpstreamStatus]:
    """Return the free upstreams of a fabric domain that groups of a scarcer model may use.

    Empty ones can do nothing but be staged, and are no spares either. Survivors that are most of a
    group of a protected model are left, with what completes the group: it takes one upstream for a
    large group then.

    :param statuses: free upstreams of the fabric domain.
    :param protected: models that need their upstreams themselves.
    :param engine: what the engines are able to do.
    """
    reserved: set[str] = set()
    for model in protected:
        picked = pick_members(statuses, model, engine)
        if 2 * sum(model.name in status.upstream.models for status in picked) > model.group_size:
            reserved.update(status.upstream.id for status in picked)
    return [
        status
        for status in statuses
        if status.upstream.id not in reserved and (status.upstream.staged or status.upstream.models)
    ]


def count_loads(picked: Sequence[plans.UpstreamStatus], model: rules.ModelSpec) -> int:
    """Return how many upstreams have to load a model from the weight store.

    :param picked: upstreams.
    :param model: model.
    """
    return sum(not status.holds(model.name) for status in picked)


def _join_cost(status: plans.UpstreamStatus, model: str) -> int:
    if model in status.upstream.models:
        return LOADED_COST
    return STAGED_COST if model in status.upstream.staged else UNSTAGED_COST


def _sort_key(
    status: plans.UpstreamStatus, model: rules.ModelSpec, engine: rules.EngineSpec
) -> tuple[int, bool, str]:
    other_models = {spec.name for spec in engine.models} - {model.name}
    holds_others = bool(other_models & {*status.upstream.staged, *status.upstream.models})
    return _join_cost(status, model.name), holds_others, status.upstream.id
