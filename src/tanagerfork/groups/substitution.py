"""Substitution: the only repair while the key-value service is away, and why it is safe.

The layout is frozen while the service is away. Any candidate daemon of the failure domain may then
replace dead members of a group by that group's own reserves, and take returned members in again.
It need not agree with another daemon, because of what every daemon checks before it routes:

* A roster counts only if each of its VMs is a member or a reserve of the group in the layout, at
  most one position of the group, and if it keeps a quorum of the layout's members: more than half,
  or exactly half with the first one among them. Two quorums share a VM, and the roster itself is
  one, so of all rosters that ever count for a layout record, any two share a VM.
* A roster serves only if each of its VMs reports that very group, generation and roster itself. A
  VM's engine is in one group and one roster at a time, so two rosters that share a VM cannot both
  be whole, whoever ordered them; and a VM that joined one group is missing in every other.
* Substituted generations lie between the layout's generation and the next one that a coordinator
  can give out, so neither an old report nor a later order is taken for the other. A coordinator
  that comes back adopts the roster that it finds whole, without an order.
* Orders carry the fencing number of the frozen layout. An engine that checks refuses them once
  a later coordinator has given it an order, and then the service is not away for all.

Daemons that act at once cost time, not safety: they begin in their order of rank, leave alone
a generation that another one began a short time ago, and else continue above the highest one.
A group of which no quorum is left, such as one of a single VM, stays as it is.
"""

from collections.abc import Collection, Iterable, Sequence

import msgspec

from tanagerfork.generated import engine, layout

GENERATION_STEP = 1000  # Generations of one layout change: its own and those of substitutions.


def keeps_quorum(record: layout.GroupRecord, roster: Collection[str]) -> bool:
    """Return whether any two such rosters of a record must share a VM.

    :param record: group as the layout names it.
    :param roster: VMs that would serve.
    """
    kept = sum(1 for vm in record.members if vm in roster)
    if 2 * kept == len(record.members):
        return record.members[0] in roster
    return 2 * kept > len(record.members)


def is_valid_substitution(
    record: layout.GroupRecord, generation: int, roster: Sequence[str]
) -> bool:
    """Return whether a roster conflicts with nothing that the layout says.

    :param record: group as the layout names it.
    :param generation: generation of the roster.
    :param roster: VMs in rank order.
    """
    own = {*record.members, *record.reserves}
    return (
        record.generation < generation < find_next_generation(record)
        and len(roster) == len(record.members) == len(set(roster))
        and own.issuperset(roster)
        and keeps_quorum(record, roster)
    )


def find_next_generation(record: layout.GroupRecord) -> int:
    """Return the first generation that is no substitution of a record.

    :param record: group as the layout names it.
    """
    return (record.generation // GENERATION_STEP + 1) * GENERATION_STEP


def find_reported_rosters(
    record: layout.GroupRecord, reports: Iterable[engine.EngineReport]
) -> list[layout.GroupRecord]:
    """Return the substitutions that reports tell of, the latest first.

    :param record: group as the layout names it.
    :param reports: reports of its members and reserves.
    :return: the record with each roster in place of its members.
    """
    told = {
        (report.generation, tuple(report.members))
        for report in reports
        if report.group == record.group and report.generation > record.generation
    }
    return [
        with_roster(record, generation, roster)
        for generation, roster in sorted(told, reverse=True)
        if is_valid_substitution(record, generation, roster)
    ]


def with_roster(
    record: layout.GroupRecord, generation: int, roster: Sequence[str]
) -> layout.GroupRecord:
    """Return a group with another roster.

    :param record: group as the layout names it.
    :param generation: generation of the roster.
    :param roster: VMs in rank order, of the group's members and reserves.
    :return: the group; members that left the roster are reserves no more.
    """
    return msgspec.structs.replace(
        record,
        generation=generation,
        members=list(roster),
        reserves=[vm for vm in record.reserves if vm not in roster],
    )


def choose_roster(record: layout.GroupRecord, present: Collection[str]) -> list[str] | None:
    """Replace each absent member by the next present reserve, at its rank.

    :param record: group as the layout names it.
    :param present: VMs that report themselves and stay.
    :return: VMs in rank order, None where too few are present or no quorum is kept.
    """
    usable = [vm for vm in record.reserves if vm in present]
    roster = []
    for vm in record.members:
        if vm not in present and not usable:
            return None
        roster.append(vm if vm in present else usable.pop(0))
    return roster if keeps_quorum(record, roster) else None
