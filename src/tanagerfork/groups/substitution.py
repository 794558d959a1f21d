"""Substitution: the only repair while the key-value service is unavailable, and why it is safe.

The layout is frozen during an outage of the service. Any candidate daemon of the failure domain may
then replace lost members of a group by reserves of the same group, and take back members that
returned. It needs no agreement with other daemons, as every daemon checks before it routes:

* A roster is valid only if each of its VMs is a member or reserve of the group in the layout, no VM
  occurs twice, and it contains a quorum of the layout's members: more than half, or exactly half
  including the first. Any two quorums share a VM, and the layout's own roster is a quorum, so any
  two valid rosters of a layout record share a VM.
* A roster serves only if each of its VMs reports exactly this group, generation and roster. An
  engine is in one group and one roster at a time, so two rosters that share a VM cannot both be
  whole, whichever daemons ordered them, and a VM that joined one group is missing in all others.
* Substituted generations lie between the layout's generation and the next one that a coordinator
  can assign, so old reports and later orders cannot be confused with each other. After the outage,
  the coordinator adopts a roster that is whole, without sending orders.
* Orders carry the fencing number of the frozen layout. An engine that checks fencing numbers
  refuses them after an order of a later coordinator, whose existence shows that the service is not
  unavailable to all daemons.

Daemons that substitute concurrently cost time, but not safety: they start staggered by rank, leave
a generation alone that another daemon started recently, and otherwise continue above the highest
generation. A group without a quorum, or with a single member, is not repaired.
"""

from collections.abc import Collection, Iterable, Sequence

import msgspec

from tanagerfork.generated import engine, layout

GENERATION_STEP = 1000  # Generations per layout change: its own, then those of substitutions.


def keeps_quorum(record: layout.GroupRecord, roster: Collection[str]) -> bool:
    """Return whether a roster contains a quorum of a group's members.

    Any two quorums of the same record share a VM.

    :param record: group as recorded in the layout.
    :param roster: VMs of the roster.
    """
    kept = sum(1 for vm in record.members if vm in roster)
    if 2 * kept == len(record.members):
        return record.members[0] in roster
    return 2 * kept > len(record.members)


def is_valid_substitution(
    record: layout.GroupRecord, generation: int, roster: Sequence[str]
) -> bool:
    """Return whether a roster is a valid substitution of a group's members.

    :param record: group as recorded in the layout.
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
    """Return the lowest generation that the next change of the layout can assign.

    :param record: group as recorded in the layout.
    """
    return (record.generation // GENERATION_STEP + 1) * GENERATION_STEP


def find_reported_rosters(
    record: layout.GroupRecord, reports: Iterable[engine.EngineReport]
) -> list[layout.GroupRecord]:
    """Return the valid substitutions that engines report, latest first.

    :param record: group as recorded in the layout.
    :param reports: reports of its members and reserves.
    :return: a copy of the record for each roster, with the roster as its members.
    """
    reported = {
        (report.generation, tuple(report.members))
        for report in reports
        if report.group == record.group and report.generation > record.generation
    }
    return [
        with_roster(record, generation, roster)
        for generation, roster in sorted(reported, reverse=True)
        if is_valid_substitution(record, generation, roster)
    ]


def with_roster(
    record: layout.GroupRecord, generation: int, roster: Sequence[str]
) -> layout.GroupRecord:
    """Return a copy of a group with another roster.

    :param record: group as recorded in the layout.
    :param generation: generation of the roster.
    :param roster: VMs in rank order, of the group's members and reserves.
    :return: the copy; its reserves are those that are not in the roster.
    """
    return msgspec.structs.replace(
        record,
        generation=generation,
        members=list(roster),
        reserves=[vm for vm in record.reserves if vm not in roster],
    )


def choose_roster(record: layout.GroupRecord, present: Collection[str]) -> list[str] | None:
    """Return a roster in which present reserves take the ranks of absent members.

    :param record: group as recorded in the layout.
    :param present: usable VMs.
    :return: VMs in rank order, None if too few are present or there is no quorum.
    """
    usable = [vm for vm in record.reserves if vm in present]
    roster = []
    for vm in record.members:
        if vm not in present and not usable:
            return None
        roster.append(vm if vm in present else usable.pop(0))
    return roster if keeps_quorum(record, roster) else None
