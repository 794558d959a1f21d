"""Forming: chooses the upstreams that form groups, and the models that the groups run."""

from collections.abc import Collection, Mapping, Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import picking, plans, rules, scarcity

# In each fabric domain, at least one spare, once each model has a group there. More of them would
# keep a whole group from forming, and from forming again after the loss of one member.
UPSTREAMS_PER_SPARE = 16
# Where the slots of a model are short, or a group would otherwise be across fabric domains, a whole
# group comes before all spares of a fabric domain but one: 37 upstreams hold 16 + 5 x 4 and one.
MIN_SPARES = 1
# A model whose groups cover less than this part of its share also gets groups across fabric
# domains, which run slower. Above it, free upstreams stay spares that hold weights, as a load from
# the weight store takes longer than a lost upstream is away.
COVERED_SHARE = 0.75
CROSS_DOMAIN = plans.CROSS_DOMAIN
REPLACED = "for a group within a fabric domain"  # Why a group across fabric domains closes.


def form_groups(
    situation: plans.Situation,
    kept: Sequence[assignments.Assignment],
    first_epoch: int,
    plan: plans.Plan,
) -> list[assignments.Assignment]:
    """Return the groups to form now.

    :param situation: input of the decision.
    :param kept: assignments that are kept, closing ones included.
    :param first_epoch: epoch of the first group.
    :param plan: plan; a note is added to it for each group.
    """
    engine = situation.service.engine
    if engine is None:
        return []
    free, usable_counts = find_free(situation, kept)
    service_groups = [group for group in kept if group.service == situation.service.name]
    awaited = _find_awaited_domains(situation, free, usable_counts, service_groups)
    formed: list[assignments.Assignment] = []
    # Once requests are served, a load takes ten times as long; staging loads ahead of need then,
    # so that no group waits for it.
    loads_left = 0 if situation.record.has_served else situation.max_loads
    while True:
        chosen = _choose_next(
            situation, engine, free, usable_counts, [*service_groups, *formed], loads_left, awaited
        )
        if chosen is None:
            return formed
        model, domain, picked = chosen
        loads_left -= picking.count_loads(picked, model)
        epoch = first_epoch + len(formed)
        group = assignments.Assignment(
            group=f"{situation.record.failure_domain}-{epoch}",
            epoch=epoch,
            service=situation.service.name,
            model=model.name,
            fabric_domain=domain,
            members=[status.upstream.id for status in picked],
            addresses=[status.upstream.address for status in picked],
            born_at_ms=[status.upstream.born_at_ms for status in picked],
        )
        formed.append(group)
        taken = set(group.members)
        free = {
            name: [status for status in statuses if status.upstream.id not in taken]
            for name, statuses in free.items()
        }
        plan.notes.append(f"form {group.group} for {model.name} from {', '.join(group.members)}")


def find_free(
    situation: plans.Situation, kept: Sequence[assignments.Assignment]
) -> tuple[dict[str, list[plans.UpstreamStatus]], dict[str, int]]:
    """Return the free upstreams and the number of usable ones, by fabric domain.

    A member of a group whose head may still have open requests is not free.

    :param situation: input of the decision.
    :param kept: assignments that are kept, closing ones included.
    """
    assigned = {member for group in kept for member in group.members}
    active_groups = {
        (status.membership.group, status.membership.epoch)
        for status in situation.statuses.values()
        if status.membership
        and status.membership.rank == 0
        and status.membership.state not in plans.IDLE_HEAD_STATES
        and not status.is_silent
    }
    free: dict[str, list[plans.UpstreamStatus]] = {}
    usable_counts: dict[str, int] = {}
    for status in situation.statuses.values():
        if not status.is_usable:
            continue
        domain = status.upstream.fabric_domain
        usable_counts[domain] = usable_counts.get(domain, 0) + 1
        is_in_active_group = (
            status.membership is not None
            and (status.membership.group, status.membership.epoch) in active_groups
        )
        if status.upstream.id not in assigned and not is_in_active_group:
            free.setdefault(domain, []).append(status)
    return free, usable_counts


def _choose_next(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    free: Mapping[str, list[plans.UpstreamStatus]],
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    loads_left: int,
    awaited: Collection[str],
) -> tuple[rules.ModelSpec, str, list[plans.UpstreamStatus]] | None:
    """Return the group to form next, preferably of the model furthest below its share.

    Free upstreams of an awaited fabric domain, and of one with a move, join no group across fabric
    domains. A group within a fabric domain that takes its spares comes before one across them.
    """
    moving = picking.find_moving_domains(groups)
    ranked = sorted(engine.models, key=lambda spec: measure_model_coverage(situation, spec, groups))
    for rank, model in enumerate(ranked):
        protected = {spec.name for spec in ranked[:rank]} if situation.moves_groups else set()
        available = {
            name: statuses
            for name, statuses in free.items()
            if moving.get(name, model.name) == model.name
        }
        if scarcity.measure_coverage(situation, model, groups) is not None:
            giving = scarcity.list_protected(situation, model, groups)
            protected = {spec.name for spec in giving}
            available = {
                name: picking.leave_reserved(statuses, giving, engine)
                for name, statuses in available.items()
            }
        # Only the model furthest below its share may load, so that others use up no load it needs.
        loads_allowed = loads_left if rank == 0 else 0
        max_spares = _find_max_spares(situation, model, groups)
        chosen = _choose_in_domain(
            engine, model, protected, available, usable_counts, groups, loads_allowed, max_spares
        )
        if chosen is None and situation.is_settled:
            kept_back = {*awaited, *moving}
            others = {name: found for name, found in available.items() if name not in kept_back}
            chosen = _choose_last_resort(
                situation, engine, model, protected, others, usable_counts, groups, loads_allowed
            )
        if chosen is not None:
            return model, *chosen
        if not situation.is_settled:
            return None
    return None


def _choose_last_resort(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    protected: Collection[str],
    free: Mapping[str, list[plans.UpstreamStatus]],
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    loads_allowed: int,
) -> tuple[str, list[plans.UpstreamStatus]] | None:
    """Return a group across fabric domains, or one that takes the spares of a single one."""
    chosen = _choose_cross_domain(situation, engine, model, protected, free, usable_counts, groups)
    for spares in (MIN_SPARES, 0) if chosen and situation.moves_groups else ():
        within = _choose_in_domain(
            engine, model, protected, free, usable_counts, groups, loads_allowed, spares
        )
        if within is not None:
            return within
    return chosen


def _choose_in_domain(
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    protected: Collection[str],
    free: Mapping[str, list[plans.UpstreamStatus]],
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    loads_allowed: int,
    max_spares: int,
) -> tuple[str, list[plans.UpstreamStatus]] | None:
    """Return the fabric domain that can form a group of a model soonest, and the group's members.

    That is the one with the fewest loads from the weight store, then the fewest groups of the
    model, then the most free upstreams.
    """
    best: tuple[tuple[int, int, int], str, list[plans.UpstreamStatus]] | None = None
    for domain, statuses in free.items():
        needed = _count_needed(engine, model, domain, usable_counts, groups, max_spares)
        if len(statuses) < needed:
            continue
        group_count = _count_groups(model, domain, groups)
        picked = picking.pick_members(statuses, model, engine, protected)
        loads = picking.count_loads(picked, model)
        if len(picked) < model.group_size or loads > loads_allowed:
            continue
        key = (loads, group_count, -len(statuses))
        if best is None or key < best[0]:
            best = (key, domain, picked)
    return (best[1], best[2]) if best else None


def _count_needed(
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    domain: str,
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    max_spares: int,
) -> int:
    """Return how many upstreams of a fabric domain must be free to form a group of a model there.

    From the second group of the model on, the spares of the fabric domain must stay free.
    """
    smallest_set = sum(spec.group_size for spec in engine.models)
    spares = min(max_spares, _count_spares(usable_counts[domain], smallest_set))
    return model.group_size + (spares if _count_groups(model, domain, groups) else 0)


def _find_max_spares(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> int:
    """Return how many spares a group of a model leaves at most in its fabric domain."""
    return MIN_SPARES if scarcity.is_short(situation, model, groups) else len(situation.statuses)


def _count_groups(
    model: rules.ModelSpec, domain: str, groups: Sequence[assignments.Assignment]
) -> int:
    return sum(group.model == model.name and group.fabric_domain == domain for group in groups)


def _choose_cross_domain(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    protected: Collection[str],
    free: Mapping[str, list[plans.UpstreamStatus]],
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
) -> tuple[str, list[plans.UpstreamStatus]] | None:
    """Return a group's members from all fabric domains, for a model below `COVERED_SHARE`.

    None of them has to load from the weight store. Where demand is measured, the model has to be
    short of slots instead.
    """
    if scarcity.measure_coverage(situation, model, groups) is not None:
        is_lacking = scarcity.is_short(situation, model, groups)
    else:
        coverage = measure_model_coverage(situation, model, groups)[0]
        is_lacking = coverage < COVERED_SHARE * sum(usable_counts.values())
    if not is_lacking:
        return None
    picked = picking.pick_members(
        [status for statuses in free.values() for status in statuses], model, engine, protected
    )
    if len(picked) < model.group_size or picking.count_loads(picked, model):
        return None
    return CROSS_DOMAIN, picked


def _count_spares(usable_count: int, smallest_set: int) -> int:
    """Return how many upstreams of a fabric domain stay free once each model has a group there.

    :param usable_count: usable upstreams of the fabric domain.
    :param smallest_set: upstreams that one group of each model takes.
    """
    wanted = max(1, usable_count // UPSTREAMS_PER_SPARE)
    return max(0, min(wanted, usable_count - smallest_set))


def measure_model_coverage(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> tuple[float, int]:
    """Return a sort key by which the model furthest below its share comes first.

    Its first item is the number of upstreams in groups of the model, divided by the model's share.
    A group across fabric domains counts less, by the factor by which it is slower. Where demand is
    measured in slots, it decides alone, with the mean over all failure domains: otherwise, forming
    would give the members of a group that was moved back to its former model.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments.
    """
    measured = scarcity.measure_coverage(situation, model, groups)
    if measured is not None:
        return measured, -model.group_size
    engine = situation.service.engine
    cross_domain_factor = engine.cross_domain_factor if engine else 1.0
    count = sum(
        1 / cross_domain_factor if group.fabric_domain == CROSS_DOMAIN else 1.0
        for group in groups
        if group.model == model.name and not group.closing
    )
    return count * model.group_size / situation.find_share(model), -model.group_size


def find_replaceable(
    situation: plans.Situation, groups: Sequence[assignments.Assignment]
) -> assignments.Assignment | None:
    """Return a group across fabric domains whose members complete one within a domain.

    Groups across fabric domains serve only until their members are needed within one. Closing one
    takes as long as its longest answer, so that another group of the model must serve meanwhile,
    and such groups are replaced one after another.

    :param situation: input of the decision.
    :param groups: assignments of the service.
    :return: the group to close, None where there is none.
    """
    if any(group.closing and group.reason == REPLACED for group in groups):
        return None
    found, usable_counts = find_free(situation, groups)
    moving = picking.find_moving_domains(groups)
    free = {name: statuses for name, statuses in found.items() if name not in moving}
    for group in groups:
        if group.fabric_domain != CROSS_DOMAIN or group.closing:
            continue
        if _may_close(group, situation) and _find_completed_domain(
            group, situation, free, usable_counts, groups
        ):
            return group
    return None


def _find_awaited_domains(
    situation: plans.Situation,
    free: Mapping[str, list[plans.UpstreamStatus]],
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
) -> set[str]:
    """Return the fabric domains that form a group once one across fabric domains has closed.

    Without them, the free upstreams there would join the next group across fabric domains, which
    would be replaced in turn, and so on without end.
    """
    awaited = (
        _find_completed_domain(group, situation, free, usable_counts, groups)
        for group in groups
        if group.closing and group.reason == REPLACED
    )
    return {domain for domain in awaited if domain}


def _find_completed_domain(
    group: assignments.Assignment,
    situation: plans.Situation,
    free: Mapping[str, list[plans.UpstreamStatus]],
    usable_counts: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
) -> str:
    """Return the fabric domain that forms a group only with members of one across domains."""
    engine = situation.service.engine
    model = engine.find_model(group.model) if engine else None
    if engine is None or model is None:
        return ""
    max_spares = _find_max_spares(situation, model, groups)
    for domain, statuses in free.items():
        holding = sum(status.holds(model.name) for status in statuses)
        members = [situation.statuses.get(member) for member in group.members]
        in_domain = sum(
            status is not None and status.upstream.fabric_domain == domain for status in members
        )
        needed = _count_needed(engine, model, domain, usable_counts, groups, max_spares)
        can_form = holding >= model.group_size and len(statuses) >= needed
        if (
            not can_form
            and holding + in_domain >= model.group_size
            and len(statuses) + in_domain >= needed
        ):
            return domain
    return ""


def _may_close(group: assignments.Assignment, situation: plans.Situation) -> bool:
    """Return whether other groups of the model serve while one across fabric domains closes.

    The coordinators of all failure domains see the same groups. Where all are across fabric
    domains, only the first one by name may close.
    """
    others = [
        other
        for other in situation.open_groups
        if other.model.name == group.model and other.name != group.group
    ]
    if any(not other.is_cross_domain for other in others):
        return True
    return bool(others) and all(group.group < other.name for other in others)
