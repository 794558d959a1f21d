"""Reserves: decides how many VMs stay outside of groups, and reserves each one to a group."""

import collections
from collections.abc import Iterator

from tanagerfork.generated import bundle, layout
from tanagerfork.groups import draft as drafts


def release_unusable(draft: drafts.Draft) -> None:
    """Release the reserves that are unlisted, lost, leaving or straggling.

    :param draft: layout to change.
    """
    for record in list(draft.groups.values()):
        for vm in list(record.reserves):
            fact = draft.situation.vms.get(vm)
            if fact is None or fact.is_lost or fact.is_leaving or fact.is_straggling:
                draft.release_vms([vm])


def form_groups(draft: drafts.Draft, incomplete: set[str]) -> None:
    """Form the groups that the bundle asks for, and surplus groups if enough reserves remain.

    An incomplete group is dissolved if another fabric domain has room for a group in its place.

    :param draft: layout to change.
    :param incomplete: names of the groups without a replacement for some member; dissolved ones
        are removed.
    """
    for model in draft.situation.bundle.models:
        wanted, surplus = draft.situation.count_wanted_groups(model)
        while _count_groups(draft, model, incomplete) < wanted:
            if not (
                _form_group(draft, model, 0)
                or _form_group(draft, model, 0, include_stragglers=True)
            ):
                break
        _dissolve_incomplete(draft, model, incomplete, wanted)
        while _count_groups(draft, model, set()) < wanted + surplus:
            if not _form_group(draft, model, _find_reserves_per_group(draft)):
                break


def distribute_reserves(draft: drafts.Draft) -> None:
    """Reserve every free VM to one group, evenly and preferably in its fabric domain.

    :param draft: layout to change.
    """
    for vm in draft.find_free_vms():
        entry = draft.situation.vms[vm].entry
        served = [record for record in draft.groups.values() if draft.may_serve(entry, record)]
        if served:
            domain = entry.fabric_domain
            best = min(
                served,
                key=lambda record: (
                    record.fabric_domain != domain,
                    len(record.reserves),
                    record.group,
                ),
            )
            draft.reserve_vm(vm, best)
    for _, records in _group_by_domain_and_model(draft):
        _balance_reserves(draft, records)


def _balance_reserves(draft: drafts.Draft, records: list[layout.GroupRecord]) -> None:
    while True:
        records.sort(key=lambda record: (len(record.reserves), record.group))
        fewest, most = records[0], records[-1]
        if len(most.reserves) - len(fewest.reserves) < 2:
            return
        draft.reserve_vm(most.reserves[-1], fewest)


def _group_by_domain_and_model(
    draft: drafts.Draft,
) -> Iterator[tuple[tuple[str, str], list[layout.GroupRecord]]]:
    places: dict[tuple[str, str], list[layout.GroupRecord]] = collections.defaultdict(list)
    for record in draft.groups.values():
        places[(record.fabric_domain, record.model)].append(record)
    return iter(sorted(places.items()))


def _count_groups(draft: drafts.Draft, model: bundle.Model, incomplete: set[str]) -> int:
    return sum(
        1
        for record in draft.groups.values()
        if record.model == model.name and record.group not in incomplete
    )


def _dissolve_incomplete(
    draft: drafts.Draft, model: bundle.Model, incomplete: set[str], allowed: int
) -> None:
    names = sorted(group for group in incomplete if group in draft.groups)
    for group in names:
        if draft.groups[group].model != model.name or _count_groups(draft, model, set()) <= allowed:
            continue
        draft.dissolve_group(
            draft.groups[group], "it lacks members, and enough other groups are there"
        )
        incomplete.discard(group)


def _find_reserves_per_group(draft: drafts.Draft) -> float:
    """Return the wanted reserves per group: the share of the downtime weight in both weights."""
    policy = draft.situation.bundle.placement
    total = policy.group_downtime_weight + policy.stranded_accelerator_weight
    return policy.group_downtime_weight / total if total else 0.0


def _form_group(
    draft: drafts.Draft,
    model: bundle.Model,
    reserves_per_group: float,
    include_stragglers: bool = False,
) -> bool:
    """Form a group in the fabric domain with the most spare VMs.

    :param draft: layout to change.
    :param model: model that the group runs.
    :param reserves_per_group: reserves that must remain for each group of the fabric domain.
    :param include_stragglers: whether to use stragglers, as a slow group is better than none.
    :return: whether there were enough VMs.
    """
    best: list[str] = []
    place = ""
    for domain in sorted({fact.entry.fabric_domain for fact in draft.situation.vms.values()}):
        spares = _find_spares(draft, model, domain, include_stragglers)
        kept = _count_reserves_to_keep(draft, domain, reserves_per_group)
        if len(spares) - kept >= model.members_per_group and len(spares) > len(best):
            best, place = spares, domain
    if not best and draft.situation.bundle.placement.across_fabric_domains:
        best = _find_spares(draft, model, "", include_stragglers)
    if len(best) < model.members_per_group:
        return False
    draft.form_group(model, place, best[: model.members_per_group])
    return True


def _find_spares(
    draft: drafts.Draft, model: bundle.Model, domain: str, include_stragglers: bool
) -> list[str]:
    template = layout.GroupRecord(
        group="-",
        model=model.name,
        version=model.version,
        adapters=model.adapters,
        generation=1,
        fabric_domain=domain,
        members=[],
    )
    spares = draft.find_spares(template, model, include_stragglers)
    if not domain:
        return spares
    return [vm for vm in spares if draft.situation.vms[vm].entry.fabric_domain == domain]


def _count_reserves_to_keep(draft: drafts.Draft, domain: str, reserves_per_group: float) -> int:
    groups = sum(1 for record in draft.groups.values() if record.fabric_domain == domain)
    return round(reserves_per_group * (groups + 1)) if reserves_per_group else 0
