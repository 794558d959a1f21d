"""Scarcity: how full the groups of each model are by measured demand, over all failure domains."""

from collections.abc import Sequence

from tanagerfork.generated import assignments
from tanagerfork.relay import plans, rules

# Share of a model's slots that are taken at the peak of the last seconds, from which on its slots
# are short. Estimates are off by several requests of 15 slots, and a burst doubles the load.
SHORT_FULLNESS = 0.6
# From this fullness of any model on, measured demand decides what groups form. Below it, a burst of
# 2.4 times the load leaves 0.4 of the slots.
MEASURED_FULLNESS = 0.25
MIN_REQUESTS = 0.5  # Smoothed requests of a model from which on it has requests.
MIN_FAILURE_DOMAINS = 2  # In which a model that has requests needs groups.
# How much fuller than the giving model the gaining one stays. A move back needs the same in the
# other direction, so that estimates which are off cause none. With 1.25, the large groups, each of
# which breaks four times as often as a small one, had no slots left at the moment of a loss.
FULLNESS_MARGIN = 1.5
# Without any groups, a model that needs slots comes before all others.
EMPTY_FULLNESS = 1e6


def count_groups(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> float:
    """Return the number of groups of a model that serve or form, over all failure domains.

    A group across fabric domains counts less, by the factor by which it is slower.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments of the service in this failure domain, closing ones included.
    """
    own = _count_own_groups(situation, model, groups)
    if situation.others is not None:
        return own + situation.others[model.name].count
    cross_domain_weight = _find_cross_domain_weight(situation)
    others = sum(
        cross_domain_weight if group.is_cross_domain else 1.0
        for group in situation.open_groups
        if group.model.name == model.name
        and group.head.failure_domain != situation.record.failure_domain
    )
    return own + others


def total_groups(
    situation: plans.Situation, groups: Sequence[assignments.Assignment]
) -> dict[str, plans.GroupTotal]:
    """Return the groups that serve or form, by model, to be counted as groups elsewhere.

    That saves counting all of them anew for each group that a simulation forms.

    :param situation: input of the decision.
    :param groups: assignments of the service in this failure domain that are counted in.
    """
    engine = situation.service.engine
    return {
        model.name: plans.GroupTotal(
            count_groups(situation, model, groups),
            frozenset(list_failure_domains(situation, model, groups)),
        )
        for model in (engine.models if engine else ())
    }


def _count_own_groups(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> float:
    cross_domain_weight = _find_cross_domain_weight(situation)
    return sum(
        cross_domain_weight if group.fabric_domain == plans.CROSS_DOMAIN else 1.0
        for group in groups
        if group.model == model.name and not group.closing
    )


def _find_cross_domain_weight(situation: plans.Situation) -> float:
    engine = situation.service.engine
    return 1 / engine.cross_domain_factor if engine else 1.0


def measure_fullness(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> float:
    """Return the share of a model's slots that its requests took at the peak; 0 where unknown.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments of the service in this failure domain.
    """
    engine = situation.service.engine
    wanted = situation.wanted_slots.get(model.name, 0.0)
    if engine is None or wanted <= 0:
        return 0.0
    slots = engine.slots * count_groups(situation, model, groups)
    return wanted / slots if slots else EMPTY_FULLNESS


def is_short(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> bool:
    """Return whether a model is short of slots by measured demand.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments of the service in this failure domain.
    """
    return measure_fullness(situation, model, groups) > SHORT_FULLNESS


def measure_coverage(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> float | None:
    """Return the upstreams that serve a model, divided by its share of the measured demand.

    The upstreams are the mean over all failure domains. A model that has requests and lacks groups
    in two failure domains comes first.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments of the service in this failure domain.
    :return: None where demand is not known, or too low for it to matter.
    """
    engine = situation.service.engine
    if engine is None or len(engine.models) < 2:
        return None
    if lacks_failure_domain(situation, model, groups):
        return 0.0
    if all(measure_fullness(situation, spec, groups) < MEASURED_FULLNESS for spec in engine.models):
        return None
    wanted = situation.wanted_slots.get(model.name, 0.0)
    work = sum(
        situation.wanted_slots.get(spec.name, 0.0) * spec.group_size for spec in engine.models
    )
    share = max(plans.MIN_SHARE, wanted * model.group_size / work)
    all_domains = {situation.record.failure_domain}
    for spec in engine.models:
        all_domains |= list_failure_domains(situation, spec, ())
    domain_count = len(all_domains)
    upstreams = count_groups(situation, model, groups) * model.group_size / domain_count
    return upstreams / share


def lacks_failure_domain(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
    pending: int = 0,
) -> bool:
    """Return whether a model that has requests needs a group here to have two failure domains.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments of the service in this failure domain.
    :param pending: upstreams elsewhere that are about to serve the model.
    """
    if situation.wanted_slots.get(model.name, 0.0) < MIN_REQUESTS:
        return False
    domains = list_failure_domains(situation, model, groups)
    # Spares may be the rest of a group that the other failure domain forms.
    expected = len(domains) + (2 * pending >= model.group_size)
    return situation.record.failure_domain not in domains and expected < MIN_FAILURE_DOMAINS


def list_protected(
    situation: plans.Situation,
    gaining: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> list[rules.ModelSpec]:
    """Return the models whose upstreams a group of another one may not be formed from.

    :param situation: input of the decision.
    :param gaining: model of the new group.
    :param groups: assignments of the service in this failure domain.
    """
    engine = situation.service.engine
    return [
        model
        for model in (engine.models if engine else ())
        if model.name != gaining.name and not _may_take_over(situation, model, gaining, groups)
    ]


def _may_take_over(
    situation: plans.Situation,
    giving: rules.ModelSpec,
    gaining: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> bool:
    """Return whether upstreams of one model may form a group of another one.

    The giving model has groups in two failure domains, and the gaining one stays clearly fuller,
    unless it lacks a second failure domain.
    """
    if situation.wanted_slots.get(giving.name, 0.0) < MIN_REQUESTS:
        return True
    if len(list_failure_domains(situation, giving, groups)) < MIN_FAILURE_DOMAINS:
        return False
    if lacks_failure_domain(situation, gaining, groups):
        return True
    count = count_groups(situation, gaining, groups)
    gaining_after = measure_fullness(situation, gaining, groups) * count / (count + 1)
    return gaining_after >= FULLNESS_MARGIN * measure_fullness(situation, giving, groups)


def list_failure_domains(
    situation: plans.Situation,
    model: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> set[str]:
    """Return the failure domains in which a model has open groups, or here those that form.

    :param situation: input of the decision.
    :param model: model.
    :param groups: assignments of the service in this failure domain.
    """
    own = situation.record.failure_domain
    if situation.others is not None:
        domains = set(situation.others[model.name].failure_domains)
    else:
        domains = {
            group.head.failure_domain
            for group in situation.open_groups
            if group.model.name == model.name and group.head.failure_domain != own
        }
    if any(group.model == model.name and not group.closing for group in groups):
        domains.add(own)
    return domains
