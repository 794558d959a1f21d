"""Staging: has spares load weights onto their hosts, and a model into their engines, in advance."""

from collections.abc import Collection, Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import forming, members, plans, rules

STANDBY = "standby"  # Begins the names of the groups that never open, in which spares wait.


def stage_spares(situation: plans.Situation, plan: plans.Plan) -> None:
    """Order spares to load models in advance, so that a repair need not wait for a load.

    :param situation: input of the decision.
    :param plan: plan with the new record; the orders are added to it.
    """
    engine = situation.service.engine
    groups = [group for group in plan.record.groups if group.service == situation.service.name]
    if engine is None or not situation.is_settled:
        return
    if not situation.record.has_served and _is_any_forming(groups, situation.statuses):
        return
    free, _ = forming.find_free(situation, groups)
    loads_left = situation.max_loads
    for statuses in free.values():
        _warm_spares(situation, engine, statuses, plan)
        held_counts = _count_models(situation, statuses)
        to_stage = [
            status
            for status in statuses
            if status.upstream.id not in situation.loading
            and (
                not _list_local_models(status)
                or _should_restage(status, statuses, held_counts, engine)
            )
        ]
        for status in sorted(to_stage, key=lambda spare: spare.upstream.id)[:loads_left]:
            model = _choose_model(situation, engine, groups, held_counts)
            held_counts[model] = held_counts.get(model, 0) + 1
            loads_left -= 1
            upstream = status.upstream
            plan.orders.append(plans.Order(plans.STAGE, upstream.id, upstream.address, model=model))


def stage_alternatives(situation: plans.Situation, plan: plans.Plan) -> None:
    """Order hosts of members and of warm spares to stage a model that their engines do not hold.

    A group can then give its members to another model in `warm_s`. That is done before the first
    request only, when loads take a tenth of the time, and once all groups are formed, as joins come
    first.

    :param situation: input of the decision.
    :param plan: plan with the new record; the orders are added to it.
    """
    engine = situation.service.engine
    if engine is None or not engine.keeps or len(engine.models) < 2 or not situation.is_settled:
        return
    if not situation.moves_groups:
        return
    groups = [
        group
        for group in plan.record.groups
        if group.service == situation.service.name and not group.closing
    ]
    if situation.record.has_served or not _are_all_ready(groups, situation.statuses):
        return
    ordered = {order.upstream_id for order in plan.orders}
    alternatives = _choose_alternatives(situation, engine, groups)
    for upstream_id, status in sorted(situation.statuses.items()):
        held = status.upstream.models
        model = alternatives.get(upstream_id) or _find_scarcest_other(
            situation, engine, held, {}, 1
        )
        # An empty engine needs what its host has staged.
        if not held or status.holds(model) or not status.is_usable:
            continue
        if upstream_id in ordered or upstream_id in situation.loading:
            continue
        plan.orders.append(
            plans.Order(plans.STAGE, upstream_id, status.upstream.address, model=model)
        )


def _choose_alternatives(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    groups: Sequence[assignments.Assignment],
) -> dict[str, str]:
    """Return the model that each member's host stages, the same one for a whole group."""
    staged_counts: dict[str, int] = {}
    chosen: dict[str, str] = {}
    for group in groups:
        model = _find_scarcest_other(
            situation, engine, (group.model,), staged_counts, len(group.members)
        )
        staged_counts[model] = staged_counts.get(model, 0) + len(group.members)
        chosen.update(dict.fromkeys(group.members, model))
    return chosen


def _find_scarcest_other(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    held: Collection[str],
    staged_counts: Mapping[str, int],
    host_count: int,
) -> str:
    """Return the model, other than those held, that the fewest hosts stage for its share.

    The hosts that are to stage it are counted in, so that shares are kept for groups of any size.
    """
    others = [model for model in engine.models if model.name not in held] or engine.models
    return min(
        others,
        key=lambda model: (
            (host_count + staged_counts.get(model.name, 0)) / situation.find_share(model),
            model.name,
        ),
    ).name


def _are_all_ready(
    groups: Sequence[assignments.Assignment], statuses: Mapping[str, plans.UpstreamStatus]
) -> bool:
    """Return whether every member of every group has joined it."""
    for group in groups:
        for member in group.members:
            membership = statuses[member].membership if member in statuses else None
            if membership is None or not plans.matches_assignment(membership, group):
                return False
            if membership.state not in (members.MemberState.READY, members.MemberState.OPEN):
                return False
    return bool(groups)


def _warm_spares(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    statuses: Sequence[plans.UpstreamStatus],
    plan: plans.Plan,
) -> None:
    """Order spares to join a group of their own that never opens.

    That loads the model into the engine. The upstream then joins the next group of the same model
    in a fraction of the time.
    """
    for status in statuses:
        upstream = status.upstream
        is_warm = bool(upstream.models) or status.membership is not None
        if is_warm or not upstream.staged or upstream.id in situation.loading:
            continue
        if engine.find_model(upstream.staged[-1]) is None:
            continue
        plan.orders.append(
            plans.Order(
                plans.JOIN,
                upstream.id,
                upstream.address,
                group=f"{STANDBY}-{upstream.id}",
                epoch=max(1, plan.record.next_epoch - 1),
                model=upstream.staged[-1],
                members=(upstream.id,),
            )
        )


def _count_models(
    situation: plans.Situation, statuses: Sequence[plans.UpstreamStatus]
) -> dict[str, int]:
    """Return how many spares hold or load each model."""
    held_counts: dict[str, int] = {}
    for status in statuses:
        loading = situation.loading.get(status.upstream.id)
        for model in _list_local_models(status) | ({loading} if loading else set()):
            held_counts[model] = held_counts.get(model, 0) + 1
    return held_counts


def _list_local_models(status: plans.UpstreamStatus) -> set[str]:
    """Return the models that an upstream need not load from the weight store."""
    return {*status.upstream.staged, *status.upstream.models}


def _choose_model(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    groups: Sequence[assignments.Assignment],
    held_counts: Mapping[str, int],
) -> str:
    """Return the model that the next spare should load: the one furthest below its share.

    Spares of the same fabric domain that hold a model count like members of its groups.
    """

    def measure_with_spares(spec: rules.ModelSpec) -> float:
        spare_coverage = held_counts.get(spec.name, 0) / situation.find_share(spec)
        return forming.measure_model_coverage(situation, spec, groups)[0] + spare_coverage

    return min(
        sorted(engine.models, key=lambda spec: -spec.group_size), key=measure_with_spares
    ).name


def _should_restage(
    status: plans.UpstreamStatus,
    statuses: Sequence[plans.UpstreamStatus],
    held_counts: Mapping[str, int],
    engine: rules.EngineSpec,
) -> bool:
    """Return whether a spare should load another model than it holds.

    That is so where no spare of its fabric domain holds the largest model, and none is empty.
    """
    largest = max(engine.models, key=lambda spec: spec.group_size).name
    if held_counts.get(largest, 0) or any(not _list_local_models(other) for other in statuses):
        return False
    return largest not in _list_local_models(status)


def _is_any_forming(
    groups: Sequence[assignments.Assignment], statuses: Mapping[str, plans.UpstreamStatus]
) -> bool:
    return any(
        not plans.matches_assignment(statuses[member].membership, group)
        for group in groups
        for member in group.members
        if member in statuses and not group.closing
    )
