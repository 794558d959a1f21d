"""Staging: spares get weights onto their hosts, and a model into their engines, ahead of need."""

from collections.abc import Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import forming, plans, rules

STANDBY = "standby"  # Name of the groups that never open, in which spares wait.


def stage_spares(situation: plans.Situation, plan: plans.Plan) -> None:
    """Load weights onto the hosts of spares ahead of need, so that a repair need not wait for it.

    :param situation: what the decision rests on.
    :param plan: plan, whose record holds the groups and whose orders grow.
    """
    engine = situation.service.engine
    groups = [group for group in plan.record.groups if group.service == situation.service.name]
    if engine is None or not situation.is_settled:
        return
    if not situation.record.has_served and _is_any_forming(groups, situation.statuses):
        return
    free, _ = forming.find_free(situation, groups)
    left = situation.max_loads
    for statuses in free.values():
        _warm_spares(situation, engine, statuses, plan)
        held = _count_models(situation, statuses)
        empty = [
            status
            for status in statuses
            if status.upstream.id not in situation.loading
            and (not _list_local_models(status) or _should_restage(status, statuses, held, engine))
        ]
        for status in sorted(empty, key=lambda known: known.upstream.id)[:left]:
            model = _choose_model(situation, engine, groups, held)
            held[model] = held.get(model, 0) + 1
            left -= 1
            upstream = status.upstream
            plan.orders.append(plans.Order(plans.STAGE, upstream.id, upstream.address, model=model))


def _warm_spares(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    statuses: Sequence[plans.UpstreamStatus],
    plan: plans.Plan,
) -> None:
    """Have spares join a group of their own that never opens.

    An upstream joins the next group of the same model in a fraction of the time then.
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
    held: dict[str, int] = {}
    for status in statuses:
        loaded = situation.loading.get(status.upstream.id)
        for model in _list_local_models(status) | ({loaded} if loaded else set()):
            held[model] = held.get(model, 0) + 1
    return held


def _list_local_models(status: plans.UpstreamStatus) -> set[str]:
    """Return the models that an upstream need not load."""
    return {*status.upstream.staged, *status.upstream.models}


def _choose_model(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    groups: Sequence[assignments.Assignment],
    held: Mapping[str, int],
) -> str:
    """Return the model that the next empty spare is to hold: the one that lacks most.

    Spares of the same fabric domain count like members of groups.
    """

    def measure(spec: rules.ModelSpec) -> float:
        spares = held.get(spec.name, 0) / situation.find_share(spec)
        return forming.measure_model_coverage(situation, spec, groups)[0] + spares

    return min(sorted(engine.models, key=lambda spec: -spec.group_size), key=measure).name


def _should_restage(
    status: plans.UpstreamStatus,
    statuses: Sequence[plans.UpstreamStatus],
    held: Mapping[str, int],
    engine: rules.EngineSpec,
) -> bool:
    """Return whether a spare should hold another model: the largest one, that no spare holds."""
    largest = max(engine.models, key=lambda spec: spec.group_size).name
    if held.get(largest, 0) or any(not _list_local_models(other) for other in statuses):
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
