"""Forming: which upstreams are put together for which model."""

import math
from collections.abc import Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import plans, rules

SPARE_DIVISOR = 8  # One spare for eight upstreams of a fabric domain, once each model has a group.
STAGED_COST = 1
LAST_MODEL_COST = 0
UNSTAGED_COST = 10
COVERED_SHARE = 0.75  # The rest are spares with weights: a load takes longer than a loss is away.
ACROSS_DOMAINS = ""  # Such a group runs slower; it is formed where no fabric domain has enough.


def form_groups(
    situation: plans.Situation,
    kept: Sequence[assignments.Assignment],
    first_epoch: int,
    plan: plans.Plan,
) -> list[assignments.Assignment]:
    """Return the groups to form now.

    :param situation: what the decision rests on.
    :param kept: assignments that go on, closing ones included.
    :param first_epoch: epoch of the first group.
    :param plan: plan, whose notes say what is formed.
    """
    engine = situation.service.engine
    if engine is None:
        return []
    free, live = find_free(situation, kept)
    held = [group for group in kept if group.service == situation.service.name]
    formed: list[assignments.Assignment] = []
    # Later on a load takes ten times as long and is left to staging, which hinders no group.
    loads_left = 0 if situation.record.has_served else situation.may_load
    while True:
        chosen = _choose_next(situation, engine, free, live, [*held, *formed], loads_left)
        if chosen is None:
            return formed
        model, domain, picked = chosen
        loads_left -= _count_loads(picked, model)
        epoch = first_epoch + len(formed)
        group = assignments.Assignment(
            group=f"{situation.record.failure_domain}-{epoch}",
            epoch=epoch,
            service=situation.service.name,
            model=model.name,
            fabric_domain=domain,
            members=[fact.upstream.id for fact in picked],
            addresses=[fact.upstream.address for fact in picked],
            born_at_ms=[fact.upstream.born_at_ms for fact in picked],
        )
        formed.append(group)
        taken = set(group.members)
        free = {
            name: [fact for fact in facts if fact.upstream.id not in taken]
            for name, facts in free.items()
        }
        plan.notes.append(f"form {group.group} of {model.name} from {', '.join(group.members)}")


def find_free(
    situation: plans.Situation, kept: Sequence[assignments.Assignment]
) -> tuple[dict[str, list[plans.Fact]], dict[str, int]]:
    """Return the free upstreams and the number of usable ones, by fabric domain."""
    assigned = {member for group in kept for member in group.members}
    heads_open = {
        (fact.mark.group, fact.mark.epoch)
        for fact in situation.facts.values()
        if fact.mark
        and fact.mark.rank == 0
        and fact.mark.state not in plans.OUT_OF_GROUP
        and not fact.is_silent
    }
    free: dict[str, list[plans.Fact]] = {}
    live: dict[str, int] = {}
    for fact in situation.facts.values():
        if not fact.is_usable:
            continue
        domain = fact.upstream.fabric_domain
        live[domain] = live.get(domain, 0) + 1
        is_held = fact.mark is not None and (fact.mark.group, fact.mark.epoch) in heads_open
        if fact.upstream.id not in assigned and not is_held:
            free.setdefault(domain, []).append(fact)
    return free, live


def _choose_next(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    free: Mapping[str, list[plans.Fact]],
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    loads_left: int,
) -> tuple[rules.ModelSpec, str, list[plans.Fact]] | None:
    """Return the group to form next: of the model that lacks most against its share."""
    for rank, model in enumerate(
        sorted(engine.models, key=lambda spec: measure_cover(situation, spec, groups))
    ):
        # A model that lacks less may not use up what the neediest one waits for.
        most_loads = loads_left if rank == 0 else 0
        chosen = _choose_within(engine, model, free, live, groups, most_loads)
        if chosen is None and situation.is_settled:
            chosen = _choose_across(situation, engine, model, free, live, groups)
        if chosen is not None:
            return model, *chosen
        if not situation.is_settled:
            return None
    return None


def _choose_within(
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    free: Mapping[str, list[plans.Fact]],
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    most_loads: int,
) -> tuple[str, list[plans.Fact]] | None:
    """Return the fabric domain that can form a group of a model soonest, and its members."""
    best: tuple[tuple[int, int, int], str, list[plans.Fact]] | None = None
    for domain, facts in free.items():
        if len(facts) < _count_needed(engine, model, domain, live, groups):
            continue
        same = _count_same(model, domain, groups)
        picked = _pick(facts, model, engine)
        loads = _count_loads(picked, model)
        if loads > most_loads:
            continue
        key = (loads, same, -len(facts))
        if best is None or key < best[0]:
            best = (key, domain, picked)
    return (best[1], best[2]) if best else None


def _count_needed(
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    domain: str,
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
) -> int:
    """Return how many upstreams of a fabric domain must be free for a group of a model there."""
    smallest_set = sum(spec.group_size for spec in engine.models)
    spares = _count_spares(live[domain], smallest_set)
    return model.group_size + (spares if _count_same(model, domain, groups) else 0)


def _count_same(
    model: rules.ModelSpec, domain: str, groups: Sequence[assignments.Assignment]
) -> int:
    return sum(group.model == model.name and group.fabric_domain == domain for group in groups)


def _choose_across(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    free: Mapping[str, list[plans.Fact]],
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
) -> tuple[str, list[plans.Fact]] | None:
    """Return members of several fabric domains for a model that lacks groups."""
    if measure_cover(situation, model, groups)[0] >= COVERED_SHARE * sum(live.values()):
        return None
    picked = _pick([fact for facts in free.values() for fact in facts], model, engine)
    if len(picked) < model.group_size or _count_loads(picked, model):
        return None
    return ACROSS_DOMAINS, picked


def _pick(
    facts: Sequence[plans.Fact], model: rules.ModelSpec, engine: rules.EngineSpec
) -> list[plans.Fact]:
    return sorted(facts, key=lambda fact: _rank(fact, model, engine))[: model.group_size]


def _count_loads(picked: Sequence[plans.Fact], model: rules.ModelSpec) -> int:
    return sum(not fact.holds(model.name) for fact in picked)


def _count_spares(live: int, smallest_set: int) -> int:
    """Return how many upstreams of a fabric domain stay free once each model has a group there."""
    return max(0, min(math.ceil(live / SPARE_DIVISOR), live - smallest_set))


def measure_cover(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> tuple[float, int]:
    """Return how well a model is covered against its share; the least covered one sorts first.

    A group across fabric domains serves as much less as it is slower.

    :param situation: what the decision rests on.
    :param model: model.
    :param groups: assignments.
    """
    engine = situation.service.engine
    far_factor = engine.far_factor if engine else 1.0
    count = sum(
        1 / far_factor if group.fabric_domain == ACROSS_DOMAINS else 1.0
        for group in groups
        if group.model == model.name and not group.closing
    )
    return count * model.group_size / situation.find_share(model), -model.group_size


def _cost(fact: plans.Fact, model: str) -> int:
    if model in fact.upstream.models:
        return LAST_MODEL_COST
    return STAGED_COST if model in fact.upstream.staged else UNSTAGED_COST


def _rank(
    fact: plans.Fact, model: rules.ModelSpec, engine: rules.EngineSpec
) -> tuple[int, bool, str]:
    others = {spec.name for spec in engine.models} - {model.name}
    serves_others = bool(others & {*fact.upstream.staged, *fact.upstream.models})
    return _cost(fact, model.name), serves_others, fact.upstream.id


def find_replaceable(
    situation: plans.Situation, groups: Sequence[assignments.Assignment]
) -> assignments.Assignment | None:
    """Return a group across fabric domains whose members complete one within a domain.

    Such groups are spares that serve meanwhile. Closing one takes as long as its longest answer, so
    that another group of the model must serve, and slow ones are replaced one after another.

    :param situation: what the decision rests on.
    :param groups: assignments of the service.
    """
    engine = situation.service.engine
    if engine is None:
        return None
    free, live = find_free(situation, groups)
    for group in groups:
        model = engine.find_model(group.model)
        if group.fabric_domain != ACROSS_DOMAINS or group.closing or model is None:
            continue
        if not _may_close(group, situation):
            continue
        for domain, facts in free.items():
            able = sum(fact.holds(model.name) for fact in facts)
            members = [situation.facts.get(member) for member in group.members]
            near = sum(
                fact is not None and fact.upstream.fabric_domain == domain for fact in members
            )
            least = _count_needed(engine, model, domain, live, groups)
            can_now = able >= model.group_size and len(facts) >= least
            if not can_now and able + near >= model.group_size and len(facts) + near >= least:
                return group
    return None


def _may_close(group: assignments.Assignment, situation: plans.Situation) -> bool:
    """Return whether other groups of the model serve while a slow one closes.

    Coordinators of all failure domains see the same groups, and let the first one go first.
    """
    others = [
        other
        for other in situation.open_groups
        if other.model.name == group.model and other.name != group.group
    ]
    if any(not other.is_far for other in others):
        return True
    return bool(others) and all(group.group < other.name for other in others)
