"""Orders: chooses the engine orders that bring the engines in line with the layout."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from tanagerfork.generated import bundle, engine, layout
from tanagerfork.groups import facts, presence, substitution


@dataclasses.dataclass(slots=True, frozen=True)
class VmOrder:
    """Order for the engine of a VM."""

    entry: engine.VmEntry
    order: engine.Order


@dataclasses.dataclass(slots=True)
class _LoadBudget:
    """Number of loads that may still be started, as a limit on the load of the weight store."""

    left: int

    def try_take(self) -> bool:
        """Use one load of the budget; return whether there was one left."""
        self.left -= 1
        return self.left >= 0


def choose_orders(
    current: layout.Layout, vms: Mapping[str, facts.VmFact], policy: bundle.PlacementPolicy
) -> list[VmOrder]:
    """Return the orders that bring the engines in line with a layout.

    Joins without a load come first and are not limited. Then members load, starting with the groups
    that need the fewest loads, and then reserves load in advance; both share the budget of
    concurrent loads, `loads_at_once`.

    :param current: layout in force.
    :param vms: facts by VM.
    :param policy: placement policy of the bundle in force.
    :return: orders in the sequence in which they should be sent.
    """
    budget = _LoadBudget(policy.loads_at_once - _count_loading(current, vms))
    orders = list(_choose_leaves(current, vms))
    pending = [(record, _find_unjoined(record, vms)) for record in current.groups]
    pending.sort(key=lambda item: (_count_cold(item[0], vms), item[0].group))
    for record, unjoined in pending:
        warm = [fact for fact in unjoined if fact.is_warm(record)]
        orders += [_join(fact, record, current.fencing) for fact in warm]
    for record, unjoined in pending:
        cold = [fact for fact in unjoined if not fact.is_warm(record)]
        chosen = [fact for fact in cold if fact.report and budget.try_take()]
        orders += [_join(fact, record, current.fencing) for fact in chosen]
    orders += _choose_loads(current, vms, budget)
    return orders


def _choose_leaves(current: layout.Layout, vms: Mapping[str, facts.VmFact]) -> Iterator[VmOrder]:
    """Yield a leave order for every VM that reports a group but is a member of none."""
    records_by_vm = {vm: record for record in current.groups for vm in record.members}
    for name, fact in vms.items():
        if fact.report is None or not fact.report.group or name in records_by_vm:
            continue
        if not _is_in_substitution(current, name, fact.report):
            order = engine.Order(kind="leave", fencing=current.fencing)
            yield VmOrder(fact.entry, order)


def _is_in_substitution(current: layout.Layout, vm: str, report: engine.EngineReport) -> bool:
    """Return whether a reserve is in a substituted roster that is not adopted yet."""
    for record in current.groups:
        if record.group == report.group and vm in record.reserves:
            return record.generation < report.generation < substitution.find_next_generation(record)
    return False


def _find_unjoined(
    record: layout.GroupRecord, vms: Mapping[str, facts.VmFact]
) -> list[facts.VmFact]:
    found = [vms[vm] for vm in record.members if vm in vms]
    return [
        fact
        for fact in found
        if fact.report is not None
        and not fact.is_leaving
        and not has_accepted_join(fact.report, record)
    ]


def has_accepted_join(report: engine.EngineReport, record: layout.GroupRecord) -> bool:
    """Return whether a member has joined a group, or accepted the order to join it.

    :param report: report of the member.
    :param record: group.
    """
    return presence.is_joined(report, record) or (
        report.state != "idle"
        and (report.group, report.generation) == (record.group, record.generation)
        and facts.matches_model(report, record)
    )


def _count_loading(current: layout.Layout, vms: Mapping[str, facts.VmFact]) -> int:
    """Count the running loads, except those that a new order will replace."""
    records_by_vm = {vm: item for item in current.groups for vm in (*item.members, *item.reserves)}
    loading = [vm for vm, fact in vms.items() if fact.report and fact.report.state == "loading"]
    return sum(1 for vm in loading if vm not in records_by_vm or vms[vm].is_warm(records_by_vm[vm]))


def _count_cold(record: layout.GroupRecord, vms: Mapping[str, facts.VmFact]) -> int:
    found = [vms.get(vm) for vm in record.members]
    return sum(1 for fact in found if fact is None or not fact.is_warm(record))


def _choose_loads(
    current: layout.Layout, vms: Mapping[str, facts.VmFact], budget: _LoadBudget
) -> Iterable[VmOrder]:
    """Yield load orders for reserves, starting with groups that have the fewest warm reserves."""
    wanted = []
    for record in current.groups:
        usable = [vms[vm] for vm in record.reserves if vm in vms and vms[vm].is_usable]
        warm = sum(1 for fact in usable if fact.is_warm(record))
        cold = [fact for fact in usable if not fact.is_warm(record)]
        wanted += [(warm + rank, record.group, fact, record) for rank, fact in enumerate(cold)]
    wanted.sort(key=lambda item: item[:2])
    for _, _, fact, record in wanted:
        if fact.report is None or fact.report.group or not budget.try_take():
            continue
        order = engine.Order(
            kind="load",
            fencing=current.fencing,
            model=record.model,
            version=record.version,
            adapters=record.adapters,
        )
        yield VmOrder(fact.entry, order)


def _join(fact: facts.VmFact, record: layout.GroupRecord, fencing: int) -> VmOrder:
    return VmOrder(fact.entry, make_join(record, fencing))


def make_join(record: layout.GroupRecord, fencing: int) -> engine.Order:
    """Return the order to join a group.

    :param record: group.
    :param fencing: fencing number of the sending coordinator.
    """
    return engine.Order(
        kind="join",
        fencing=fencing,
        group=record.group,
        generation=record.generation,
        members=list(record.members),
        model=record.model,
        version=record.version,
        adapters=list(record.adapters),
    )
