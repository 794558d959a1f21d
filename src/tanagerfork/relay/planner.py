"""Planner: which groups to form, which to dissolve, and what to order for it.

Decides over explicit facts, without I/O. Safety rests on three rules:

* An upstream is in at most one assignment, and the record of assignments changes by
  compare-and-swap only.
* An assignment is dropped only once its head is seen out of it (closed, broken, started anew, in
  another group) or gone; only then may its members be ordered elsewhere.
* A head is told to open only once every member reports the group, its epoch and readiness.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence

import msgspec

from tanagerfork.generated import assignments
from tanagerfork.relay import members, rules

SPARE_DIVISOR = 8  # One spare for eight upstreams of a fabric domain, once each model has a group.
STAGED_COST = 1
LAST_MODEL_COST = 0
UNSTAGED_COST = 10
COVERED_SHARE = 0.75  # The rest are spares with weights: a load takes longer than a loss is away.
ACROSS_DOMAINS = ""  # Such a group runs slower; it is formed where no fabric domain has enough.
OUT_OF_GROUP = frozenset(
    (members.MemberState.JOINING, members.MemberState.READY, members.MemberState.BROKEN)
)


@dataclasses.dataclass(slots=True, frozen=True)
class Fact:
    """What the coordinator knows of one upstream.

    `is_listed` says whether the directory has an entry, `is_silent` that it answers no question;
    `is_known` is False as long as it is neither listed nor was asked.
    """

    upstream: members.Upstream
    is_listed: bool
    is_silent: bool
    mark: members.GroupMark | None
    is_known: bool = True

    @property
    def is_usable(self) -> bool:
        """Whether it may be assigned to a group."""
        return self.is_listed and not self.is_silent and not self.upstream.is_leaving

    def holds(self, model: str) -> bool:
        """Return whether it can join a group of a model without a load from the weight store.

        :param model: name of the model.
        """
        return model in self.upstream.staged or model in self.upstream.models


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """One order to an upstream."""

    kind: str
    upstream_id: str
    address: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    cuts: bool = False


JOIN = "join"
OPEN = "open"
CLOSE = "close"
LEAVE = "leave"
STAGE = "stage"


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """What a decision rests on.

    `may_load` is how many loads from the weight store may be started now. `is_settled` says that no
    upstream has come for a while; until then more are expected, and the model that lacks most waits
    for enough of them. `loading` are upstreams that load weights.
    """

    service: rules.Service
    facts: Mapping[str, Fact]
    record: assignments.Assignments
    may_load: int
    is_settled: bool = True
    loading: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Plan:
    """A changed record, to be written before the orders are sent, and why it changed."""

    record: assignments.Assignments
    orders: list[Order]
    notes: list[str]


def make_plan(situation: Situation) -> Plan:
    """Decide what to write and what to order.

    :param situation: what the decision rests on.
    :return: plan.
    """
    kept: list[assignments.Assignment] = []
    plan = Plan(situation.record, [], [])
    for assignment in situation.record.groups:
        if assignment.service != situation.service.name:
            kept.append(assignment)
            continue
        updated = _review(assignment, situation, plan)
        if updated is not None:
            kept.append(updated)
    epoch = max(situation.record.next_epoch, 1 + _find_highest_epoch(situation.facts))
    formed = _form_groups(situation, kept, epoch, plan)
    plan.record = msgspec.structs.replace(
        situation.record, groups=kept + formed, next_epoch=epoch + len(formed)
    )
    if plan.record.groups == situation.record.groups:
        plan.record = situation.record
    for assignment in plan.record.groups:
        if assignment.service == situation.service.name:
            _order_for(assignment, situation.facts, plan)
    _order_strays(situation, plan)
    _stage_spares(situation, plan)
    return plan


def measure_coverage(
    service: rules.Service, facts: Mapping[str, Fact], record: assignments.Assignments
) -> dict[str, int]:
    """Return how many groups serve, by model, and how many upstreams do not.

    :param service: model service.
    :param facts: what is known of its upstreams.
    :param record: record of assignments.
    """
    coverage = (
        {f"open_{model.name}": 0 for model in service.engine.models} if service.engine else {}
    )
    groups = [group for group in record.groups if group.service == service.name]
    assigned = {member for group in groups for member in group.members}
    usable = [fact for fact in facts.values() if fact.is_usable]
    free = [fact for fact in usable if fact.upstream.id not in assigned]
    coverage["usable"] = len(usable)
    coverage["free_staged"] = sum(bool(fact.upstream.staged) for fact in free)
    coverage["free_empty"] = sum(not fact.upstream.staged for fact in free)
    coverage["forming"] = coverage["closing"] = 0
    for group in groups:
        head = facts.get(group.members[0])
        mark = head.mark if head else None
        is_open = mark is not None and mark.state is members.MemberState.OPEN
        if group.closing:
            coverage["closing"] += 1
        elif is_open and _is_in(mark, group):
            coverage[f"open_{group.model}"] += 1
        else:
            coverage["forming"] += 1
    return coverage


def _review(
    assignment: assignments.Assignment, situation: Situation, plan: Plan
) -> assignments.Assignment | None:
    """Return an assignment as it goes on; None where it is over."""
    if not assignment.closing:
        reason = _find_fault(assignment, situation.facts)
        if not reason:
            return assignment
        plan.notes.append(f"dissolve {assignment.group}: {reason}")
        assignment = msgspec.structs.replace(assignment, closing=True, reason=reason)
    if not _is_released(assignment, situation.facts):
        return assignment
    plan.notes.append(f"drop {assignment.group}: its head is out of it")
    return None


def _find_fault(assignment: assignments.Assignment, facts: Mapping[str, Fact]) -> str:
    """Return why an assignment cannot go on; empty where it can."""
    for rank, upstream_id in enumerate(assignment.members):
        fact = facts.get(upstream_id)
        if fact is None or not fact.is_listed:
            return f"{upstream_id} is no longer listed"
        if fact.upstream.born_at_ms != assignment.born_at_ms[rank]:
            return f"{upstream_id} has started anew"
        if fact.upstream.is_leaving:
            return f"{upstream_id} is leaving"
        if fact.is_silent:
            return f"{upstream_id} does not answer"
        mark = fact.mark
        if mark is not None and mark.epoch > assignment.epoch:
            return f"{upstream_id} is in {mark.group}"
        is_head = rank == 0 and _is_in(mark, assignment)
        if is_head and mark is not None and mark.state is members.MemberState.BROKEN:
            return f"{upstream_id} says that the group is broken"
    return ""


def _is_in(mark: members.GroupMark | None, assignment: assignments.Assignment) -> bool:
    return mark is not None and mark.group == assignment.group and mark.epoch == assignment.epoch


def _is_released(assignment: assignments.Assignment, facts: Mapping[str, Fact]) -> bool:
    """Return whether the head of a closing group surely serves no more."""
    fact = facts.get(assignment.members[0])
    if fact is None or not fact.is_known:
        return False
    if fact.upstream.born_at_ms != assignment.born_at_ms[0]:
        return True
    if not fact.is_listed and fact.is_silent:
        return True
    if fact.is_silent:
        return False
    return not _is_in(fact.mark, assignment)


def _find_highest_epoch(facts: Mapping[str, Fact]) -> int:
    return max((fact.mark.epoch for fact in facts.values() if fact.mark), default=0)


def _form_groups(
    situation: Situation,
    kept: Sequence[assignments.Assignment],
    first_epoch: int,
    plan: Plan,
) -> list[assignments.Assignment]:
    engine = situation.service.engine
    if engine is None:
        return []
    free, live = _find_free(situation, kept)
    held = [group for group in kept if group.service == situation.service.name]
    formed: list[assignments.Assignment] = []
    loads_left = situation.may_load
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


def _find_free(
    situation: Situation, kept: Sequence[assignments.Assignment]
) -> tuple[dict[str, list[Fact]], dict[str, int]]:
    """Return the free upstreams and the number of usable ones, by fabric domain."""
    assigned = {member for group in kept for member in group.members}
    heads_open = {
        (fact.mark.group, fact.mark.epoch)
        for fact in situation.facts.values()
        if fact.mark
        and fact.mark.rank == 0
        and fact.mark.state not in OUT_OF_GROUP
        and (fact.is_listed or not fact.is_silent)
    }
    free: dict[str, list[Fact]] = {}
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
    situation: Situation,
    engine: rules.EngineSpec,
    free: Mapping[str, list[Fact]],
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    loads_left: int,
) -> tuple[rules.ModelSpec, str, list[Fact]] | None:
    """Return the group to form next: of the model that lacks most against its share."""
    for rank, model in enumerate(
        sorted(engine.models, key=lambda spec: _measure_cover(spec, groups))
    ):
        # A model that lacks less may not use up what the neediest one waits for.
        most_loads = loads_left if rank == 0 else 0
        chosen = _choose_within(engine, model, free, live, groups, most_loads)
        if chosen is None and situation.is_settled:
            chosen = _choose_across(engine, model, free, live, groups)
        if chosen is not None:
            return model, *chosen
        if not situation.is_settled:
            return None
    return None


def _choose_within(
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    free: Mapping[str, list[Fact]],
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
    most_loads: int,
) -> tuple[str, list[Fact]] | None:
    """Return the fabric domain that can form a group of a model soonest, and its members."""
    smallest_set = sum(spec.group_size for spec in engine.models)
    best: tuple[tuple[int, int, int], str, list[Fact]] | None = None
    for domain, facts in free.items():
        spare = _count_spares(live[domain], smallest_set)
        same = sum(g.model == model.name and g.fabric_domain == domain for g in groups)
        if len(facts) < model.group_size + (spare if same else 0):
            continue
        picked = _pick(facts, model, engine)
        loads = _count_loads(picked, model)
        if loads > most_loads:
            continue
        key = (loads, same, -len(facts))
        if best is None or key < best[0]:
            best = (key, domain, picked)
    return (best[1], best[2]) if best else None


def _choose_across(
    engine: rules.EngineSpec,
    model: rules.ModelSpec,
    free: Mapping[str, list[Fact]],
    live: Mapping[str, int],
    groups: Sequence[assignments.Assignment],
) -> tuple[str, list[Fact]] | None:
    """Return members of several fabric domains for a model that lacks groups."""
    if _measure_cover(model, groups)[0] >= COVERED_SHARE * sum(live.values()):
        return None
    picked = _pick([fact for facts in free.values() for fact in facts], model, engine)
    if len(picked) < model.group_size or _count_loads(picked, model):
        return None
    return ACROSS_DOMAINS, picked


def _pick(facts: Sequence[Fact], model: rules.ModelSpec, engine: rules.EngineSpec) -> list[Fact]:
    return sorted(facts, key=lambda fact: _rank(fact, model, engine))[: model.group_size]


def _count_loads(picked: Sequence[Fact], model: rules.ModelSpec) -> int:
    return sum(not fact.holds(model.name) for fact in picked)


def _count_spares(live: int, smallest_set: int) -> int:
    """Return how many upstreams of a fabric domain stay free once each model has a group there."""
    return max(0, min(math.ceil(live / SPARE_DIVISOR), live - smallest_set))


def _measure_cover(
    model: rules.ModelSpec, groups: Sequence[assignments.Assignment]
) -> tuple[float, int]:
    count = sum(group.model == model.name and not group.closing for group in groups)
    return count * model.group_size / max(model.share, 1e-6), -model.group_size


def _cost(fact: Fact, model: str) -> int:
    if model in fact.upstream.models:
        return LAST_MODEL_COST
    return STAGED_COST if model in fact.upstream.staged else UNSTAGED_COST


def _rank(fact: Fact, model: rules.ModelSpec, engine: rules.EngineSpec) -> tuple[int, bool, str]:
    others = {spec.name for spec in engine.models} - {model.name}
    serves_others = bool(others & {*fact.upstream.staged, *fact.upstream.models})
    return _cost(fact, model.name), serves_others, fact.upstream.id


def _order_for(assignment: assignments.Assignment, facts: Mapping[str, Fact], plan: Plan) -> None:
    head_id, head_address = assignment.members[0], assignment.addresses[0]
    head = facts.get(head_id)
    if assignment.closing:
        if head is None or not _is_in(head.mark, assignment) or head.mark is None:
            return
        is_out = head.mark.state in OUT_OF_GROUP
        kind = LEAVE if is_out else CLOSE
        cuts = "leaving" not in assignment.reason
        plan.orders.append(
            Order(kind, head_id, head_address, assignment.group, assignment.epoch, cuts=cuts)
        )
        return
    missing = [
        rank
        for rank, member in enumerate(assignment.members)
        if member not in facts or not _is_in(facts[member].mark, assignment)
    ]
    for rank in missing:
        plan.orders.append(
            Order(
                JOIN,
                assignment.members[rank],
                assignment.addresses[rank],
                assignment.group,
                assignment.epoch,
                assignment.model,
                tuple(assignment.members),
            )
        )
    if missing:
        return
    marks = [facts[member].mark for member in assignment.members]
    states = [mark.state for mark in marks if mark]
    if all(state is members.MemberState.READY for state in states):
        plan.orders.append(Order(OPEN, head_id, head_address, assignment.group, assignment.epoch))


def _order_strays(situation: Situation, plan: Plan) -> None:
    """Close groups that no record names, so that their members become free."""
    named = {(group.group, group.epoch) for group in plan.record.groups}
    for fact in situation.facts.values():
        mark = fact.mark
        if mark is None or mark.rank != 0 or mark.state in OUT_OF_GROUP or not fact.is_listed:
            continue
        if (mark.group, mark.epoch) not in named:
            upstream = fact.upstream
            plan.orders.append(
                Order(CLOSE, upstream.id, upstream.address, mark.group, mark.epoch, cuts=True)
            )


def _stage_spares(situation: Situation, plan: Plan) -> None:
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
    free, _ = _find_free(situation, groups)
    left = situation.may_load
    for facts in free.values():
        held = {model for fact in facts for model in fact.upstream.staged}
        wanted = [
            model.name
            for model in sorted(engine.models, key=lambda spec: -spec.group_size)
            if model.name not in held
        ]
        neediest = min(engine.models, key=lambda spec: _measure_cover(spec, groups)).name
        for fact in sorted(facts, key=lambda known: known.upstream.id):
            if left < 1 or fact.upstream.id in situation.loading:
                continue
            if fact.upstream.staged and not _is_needless(fact, facts, wanted, engine):
                continue
            left -= 1
            model = wanted.pop(0) if wanted else neediest
            upstream = fact.upstream
            plan.orders.append(Order(STAGE, upstream.id, upstream.address, model=model))


def _is_needless(
    fact: Fact, facts: Sequence[Fact], wanted: Sequence[str], engine: rules.EngineSpec
) -> bool:
    """Return whether a spare should hold another model: the largest one, that no spare holds."""
    largest = max(engine.models, key=lambda spec: spec.group_size).name
    if largest not in wanted or any(not other.upstream.staged for other in facts):
        return False
    return fact.upstream.staged[-1] != largest


def _is_any_forming(groups: Sequence[assignments.Assignment], facts: Mapping[str, Fact]) -> bool:
    return any(
        not _is_in(facts[member].mark, group)
        for group in groups
        for member in group.members
        if member in facts and not group.closing
    )
