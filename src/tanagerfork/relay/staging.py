"""Staging: weights loaded onto the hosts of spares ahead of need."""

from collections.abc import Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import forming, plans, rules


def stage_spares(situation: plans.Situation, plan: plans.Plan) -> None:
    """Load weights onto the hosts of spares ahead of need, so that a repair need not wait for it.

    Each fabric domain is to have one spare for each model, the largest first; further spares get
    the model that lacks most against its share.
    """
    engine = situation.service.engine
    groups = [group for group in plan.record.groups if group.service == situation.service.name]
    if engine is None or not situation.is_settled:
        return
    if not situation.record.has_served and _is_any_forming(groups, situation.facts):
        return
    free, _ = forming.find_free(situation, groups)
    left = situation.may_load
    for facts in free.values():
        held = {model for fact in facts for model in fact.upstream.staged}
        wanted = [
            model.name
            for model in sorted(engine.models, key=lambda spec: -spec.group_size)
            if model.name not in held
        ]
        neediest = min(
            engine.models, key=lambda spec: forming.measure_cover(situation, spec, groups)
        ).name
        for fact in sorted(facts, key=lambda known: known.upstream.id):
            if left < 1 or fact.upstream.id in situation.loading:
                continue
            if fact.upstream.staged and not _is_needless(fact, facts, wanted, engine):
                continue
            left -= 1
            model = wanted.pop(0) if wanted else neediest
            upstream = fact.upstream
            plan.orders.append(plans.Order(plans.STAGE, upstream.id, upstream.address, model=model))


def _is_needless(
    fact: plans.Fact, facts: Sequence[plans.Fact], wanted: Sequence[str], engine: rules.EngineSpec
) -> bool:
    """Return whether a spare should hold another model: the largest one, that no spare holds."""
    largest = max(engine.models, key=lambda spec: spec.group_size).name
    if largest not in wanted or any(not other.upstream.staged for other in facts):
        return False
    return fact.upstream.staged[-1] != largest


def _is_any_forming(
    groups: Sequence[assignments.Assignment], facts: Mapping[str, plans.Fact]
) -> bool:
    return any(
        not plans.is_in(facts[member].mark, group)
        for group in groups
        for member in group.members
        if member in facts and not group.closing
    )
