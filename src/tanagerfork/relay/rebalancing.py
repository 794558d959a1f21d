"""Rebalancing: moves groups between models by measured demand."""

import dataclasses
from collections.abc import Mapping, Sequence

import msgspec

from tanagerfork.generated import assignments
from tanagerfork.relay import fleet, forming, plans, rules, scarcity

# A burst of 2.4 times the load fills a model of which this share of the slots is taken.
MOVE_FULLNESS = 0.4
FIRST_TURN_MS = 1000  # A candidate that ends within this time came from a lost or late report.
# An entry that a group's closing changed is renewed after at most 1.2 s and read 1 s later.
TURN_MS = 3000
MOVE_INTERVAL_MS = 5000  # Demand is smoothed over 2 s, and groups form in about as much.
PENDING_MS = 20_000  # Members that are in no open group again by then are lost.
RETRY_MS = 500  # A move for which weights are staged is looked for again after this time.
# Looking for a move takes milliseconds of the daemon's event loop, and losses are repaired in
# seconds, so that what was not possible is looked for again after this time.
IMPOSSIBLE_RETRY_MS = 2000
MAX_EXTRA_CLOSED = 1  # Groups that a move closes beyond those that have as many members.
LOOK_GAP_MS = 1000  # After a pause this long, what was seen before is out of date.
MIN_READY_SHARE = 0.75  # Part of the possible new groups that has to form without a load.


@dataclasses.dataclass(slots=True, frozen=True)
class _Candidate:
    """Pair of models between which a move was wanted at every look since `since_ms`."""

    giving: str
    gaining: str
    since_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class _Leaver:
    """Failure domain of a member that left an open group, and when it did."""

    failure_domain: str
    left_at_ms: int


class Rebalancer:
    """Decides on the moves of one failure domain and service.

    Its memory can be lost: the record of assignments says which groups are closing and why. The
    coordinators see the same figures, so that they take turns: the failure domain with the most
    groups of the giving model is first, and the others wait `TURN_MS` each, anew after each group
    of the giving model that closes elsewhere. What left an open group of another failure domain
    meanwhile counts as if it served the gaining model already, unless it is evacuated or lost.
    """

    __slots__ = (
        "_open_members",
        "_leavers",
        "_candidate",
        "_moved_at_ms",
        "_looked_at_ms",
        "_retry_at_ms",
        "_given_at_ms",
    )

    def __init__(self) -> None:
        self._open_members: dict[str, fleet.Group] = {}
        self._leavers: dict[str, _Leaver] = {}
        self._candidate: _Candidate | None = None
        self._moved_at_ms = 0
        self._retry_at_ms = 0
        self._given_at_ms: dict[str, int] = {}
        self._looked_at_ms: int | None = None

    def choose_move(self, situation: plans.Situation, now_ms: int) -> plans.Move | None:
        """Return the move that is due now; None where there is none.

        :param situation: input of the decision.
        :param now_ms: clock of the coordinator, in milliseconds.
        """
        self._record_open(situation, now_ms)
        groups = [
            group for group in situation.record.groups if group.service == situation.service.name
        ]
        if any(plans.find_gaining_model(group) for group in groups):
            self._moved_at_ms = now_ms
        engine = situation.service.engine
        if engine is None or not situation.record.has_served or not situation.is_settled:
            return None
        pair = _choose_pair(situation, engine, groups, self._count_pending())
        if pair is None:
            self._candidate = None
            return None
        giving, gaining = pair
        candidate = self._candidate
        if candidate is None or (candidate.giving, candidate.gaining) != (
            giving.name,
            gaining.name,
        ):
            candidate = self._candidate = _Candidate(giving.name, gaining.name, now_ms)
            self._retry_at_ms = now_ms
        waited_ms = now_ms - max(candidate.since_ms, self._moved_at_ms + MOVE_INTERVAL_MS)
        turn = _find_turn(situation, giving)
        if turn:
            waited_ms = min(
                waited_ms, now_ms - self._given_at_ms.get(giving.name, candidate.since_ms)
            )
        if waited_ms < FIRST_TURN_MS + TURN_MS * turn or now_ms < self._retry_at_ms:
            return None
        search = _Search(situation, engine, giving, gaining, groups, self._count_pending())
        move = search.find_best()
        self._retry_at_ms = now_ms + (RETRY_MS if move else IMPOSSIBLE_RETRY_MS)
        staging_turn_ms = TURN_MS + int(1000 * gaining.load_s)
        if move and move.to_stage and waited_ms < FIRST_TURN_MS + staging_turn_ms * turn:
            return None  # Others stage first, as several failure domains would load for one move.
        return move

    def _record_open(self, situation: plans.Situation, now_ms: int) -> None:
        """Remember which members of other failure domains left an open group."""
        open_members = {
            member.id: group
            for group in situation.open_groups
            if group.head.failure_domain != situation.record.failure_domain
            for member in group.members
        }
        if self._looked_at_ms is None or now_ms - self._looked_at_ms > LOOK_GAP_MS:
            self._leavers.clear()
            self._given_at_ms.clear()
            self._open_members = open_members
            self._candidate = None
            self._moved_at_ms = now_ms
        self._looked_at_ms = now_ms
        for member in self._open_members.keys() - open_members.keys():
            group = self._open_members[member]
            leaver = _Leaver(group.head.failure_domain, now_ms)
            if _may_serve_again(situation, member, leaver, now_ms):
                self._leavers[member] = leaver
                self._given_at_ms[group.model.name] = now_ms
        self._leavers = {
            member: leaver
            for member, leaver in self._leavers.items()
            if member not in open_members and _may_serve_again(situation, member, leaver, now_ms)
        }
        self._open_members = open_members

    def _count_pending(self) -> int:
        return len(self._leavers)


def _may_serve_again(situation: plans.Situation, member: str, leaver: _Leaver, now_ms: int) -> bool:
    """Return whether a member that left an open group elsewhere is about to be in another one."""
    is_listed = situation.listed is None or member in situation.listed
    is_recent = now_ms - leaver.left_at_ms <= PENDING_MS
    return is_listed and is_recent and leaver.failure_domain not in situation.evacuated


def begin_move(
    situation: plans.Situation, kept: list[assignments.Assignment], plan: plans.Plan
) -> list[assignments.Assignment]:
    """Return the assignments with those closing that the situation's move takes.

    :param situation: input of the decision.
    :param kept: assignments that are kept.
    :param plan: plan; a note on the move is added to it.
    """
    move = situation.move
    if move is None or move.to_stage:
        return kept
    taken = [group for group in kept if group.group in move.groups and not group.closing]
    if len(taken) != len(move.groups):
        return kept  # One of them broke meanwhile.
    plan.notes.append(
        f"move {', '.join(move.groups)} from {move.giving} to {move.gaining}:"
        f" {move.giving_fullness:.2f} and {move.gaining_fullness:.2f} of their slots are taken"
    )
    plan.moved = move
    return [
        (
            msgspec.structs.replace(group, closing=True, reason=f"{plans.MOVED}{move.gaining}")
            if group in taken
            else group
        )
        for group in kept
    ]


def stage_for_move(situation: plans.Situation, plan: plans.Plan) -> None:
    """Order the members that a wanted move takes to stage the gaining model.

    Spares come first, as they complete groups that are broken.

    :param situation: input of the decision.
    :param plan: plan with the orders to spares; the orders are added to it.
    """
    if situation.move is None:
        return
    ordered = {order.upstream_id for order in plan.orders if order.kind == plans.STAGE}
    loads_left = max(0, situation.max_loads - len(ordered))
    waiting = [
        upstream_id
        for upstream_id in situation.move.to_stage
        if upstream_id not in situation.loading and upstream_id not in ordered
    ]
    for upstream_id in waiting[:loads_left]:
        address = situation.statuses[upstream_id].upstream.address
        plan.orders.append(
            plans.Order(plans.STAGE, upstream_id, address, model=situation.move.gaining)
        )


def _choose_pair(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    groups: Sequence[assignments.Assignment],
    pending: int,
) -> tuple[rules.ModelSpec, rules.ModelSpec] | None:
    """Return the giving and the gaining model of the move that is wanted by demand alone.

    A model that has requests and lacks a second failure domain comes first, however full it is.
    """
    ranked = sorted(
        engine.models,
        key=lambda model: (scarcity.measure_fullness(situation, model, groups), model.name),
    )
    for gaining in reversed(ranked):
        if scarcity.lacks_failure_domain(situation, gaining, groups, pending):
            givers = [model for model in ranked if _may_give(situation, model, gaining, groups)]
            if givers:
                return givers[0], gaining
    gaining = ranked[-1]
    if scarcity.measure_fullness(situation, gaining, groups) < MOVE_FULLNESS:
        return None
    for giving in ranked[:-1]:
        closed = max(1, -(-gaining.group_size // giving.group_size))
        gained = max(1, giving.group_size // gaining.group_size)
        if _stays_fuller(situation, engine, giving, gaining, groups, closed, gained, pending):
            return giving, gaining
    return None


def _may_give(
    situation: plans.Situation,
    giving: rules.ModelSpec,
    gaining: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
) -> bool:
    """Return whether a model has a group here and would keep groups in two failure domains."""
    own_count = sum(group.model == giving.name and not group.closing for group in groups)
    domains = scarcity.list_failure_domains(situation, giving, groups)
    others = domains - {situation.record.failure_domain}
    return (
        giving.name != gaining.name
        and own_count > 0
        and len(others) + (own_count > 1) >= scarcity.MIN_FAILURE_DOMAINS
    )


def _stays_fuller(
    situation: plans.Situation,
    engine: rules.EngineSpec,
    giving: rules.ModelSpec,
    gaining: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
    closed: float,
    gained: float,
    pending: int,
) -> bool:
    """Return whether the gaining model stays clearly fuller than the giving one after a move."""
    left = scarcity.count_groups(situation, giving, groups) - closed
    gained += pending // gaining.group_size
    total = scarcity.count_groups(situation, gaining, groups) + gained
    if left <= 0:
        return False
    giving_after = situation.wanted_slots.get(giving.name, 0.0) / (left * engine.slots)
    gaining_after = situation.wanted_slots.get(gaining.name, 0.0) / (total * engine.slots)
    return gaining_after >= scarcity.FULLNESS_MARGIN * giving_after


def _find_turn(situation: plans.Situation, giving: rules.ModelSpec) -> int:
    """Return how many failure domains come before this one: those with more groups to give."""
    counts: dict[str, int] = {}
    for group in situation.open_groups:
        if group.model.name == giving.name:
            domain = group.head.failure_domain
            counts[domain] = counts.get(domain, 0) + 1
    own = situation.record.failure_domain
    own_key = -counts.get(own, 0), own
    return sum((-count, domain) < own_key for domain, count in counts.items())


@dataclasses.dataclass(slots=True, frozen=True)
class _Search:
    """Looks for a move between two models; `groups` are those of the service here."""

    situation: plans.Situation
    engine: rules.EngineSpec
    giving: rules.ModelSpec
    gaining: rules.ModelSpec
    groups: Sequence[assignments.Assignment]
    pending: int

    def find_best(self) -> plans.Move | None:
        """Return the move that forms the most groups for each one that it closes."""
        open_names = {group.name for group in self.situation.open_groups}
        givers: dict[str, list[assignments.Assignment]] = {}
        for group in self.groups:
            is_giver = group.model == self.giving.name and group.group in open_names
            if is_giver and not group.closing and group.fabric_domain != plans.CROSS_DOMAIN:
                givers.setdefault(group.fabric_domain, []).append(group)
        totals = scarcity.total_groups(self.situation, ())
        elsewhere = dataclasses.replace(self.situation, others=totals, open_groups=())
        statuses: dict[str, dict[str, plans.UpstreamStatus]] = {}
        for upstream_id, status in self.situation.statuses.items():
            statuses.setdefault(status.upstream.fabric_domain, {})[upstream_id] = status
        best: tuple[tuple[bool, float, str], plans.Move] | None = None
        for domain in sorted(givers.keys() & statuses.keys()):
            found = self._find_in(domain, givers[domain], elsewhere, statuses[domain])
            if found is None:
                continue
            move, gained = found
            key = bool(move.to_stage), -gained / len(move.groups), domain
            if best is None or key < best[0]:
                best = key, move
        return best[1] if best else None

    def _find_in(
        self,
        domain: str,
        givers: Sequence[assignments.Assignment],
        elsewhere: plans.Situation,
        statuses: Mapping[str, plans.UpstreamStatus],
    ) -> tuple[plans.Move, int] | None:
        """Return the move in one fabric domain that closes the fewest groups, and what it forms.

        Forming is simulated with the upstreams and groups of this fabric domain only, as the
        members of closed groups may form none across fabric domains.
        """
        nearby = {domain, plans.CROSS_DOMAIN}
        left = [group for group in self.groups if group.fabric_domain in nearby]
        distant = [group for group in self.groups if group.fabric_domain not in nearby]
        totals = scarcity.total_groups(elsewhere, distant)
        situation = dataclasses.replace(elsewhere, others=totals, statuses=statuses)
        free = forming.find_free(situation, left)[0].get(domain, [])
        free_holders = sum(status.holds(self.gaining.name) for status in free)
        is_lacking = scarcity.lacks_failure_domain(
            elsewhere, self.gaining, self.groups, self.pending
        )
        max_closed = -(-self.gaining.group_size // self.giving.group_size) + MAX_EXTRA_CLOSED
        for closed, _ in enumerate(givers[:max_closed], start=1):
            taken = givers[:closed]
            if not _leaves_two_domains(self.situation.open_groups, self.giving, taken):
                return None
            holders = free_holders + closed * self.giving.group_size
            if holders < self.gaining.group_size:
                continue
            formed = _form_without(situation, self.gaining, left, taken, has_staged=False)
            most = (len(free) + closed * self.giving.group_size) // self.gaining.group_size
            is_ready = bool(formed) and len(formed) >= MIN_READY_SHARE * most
            if not is_ready:
                possible = _form_without(situation, self.gaining, left, taken, has_staged=True)
                is_ready = len(formed) >= MIN_READY_SHARE * len(possible)
                formed = formed if is_ready else possible
            if not formed:
                continue
            if not is_lacking and not _stays_fuller(
                elsewhere,
                self.engine,
                self.giving,
                self.gaining,
                self.groups,
                closed,
                len(formed),
                self.pending,
            ):
                return None
            move = plans.Move(
                self.giving.name,
                self.gaining.name,
                tuple(group.group for group in taken),
                () if is_ready else _list_without(situation, self.gaining, formed),
                scarcity.measure_fullness(elsewhere, self.giving, self.groups),
                scarcity.measure_fullness(elsewhere, self.gaining, self.groups),
            )
            return move, len(formed)
        return None


def _leaves_two_domains(
    open_groups: Sequence[fleet.Group],
    giving: rules.ModelSpec,
    taken: Sequence[assignments.Assignment],
) -> bool:
    """Return whether the giving model keeps open groups in two failure domains."""
    names = {group.group for group in taken}
    domains = {
        group.head.failure_domain
        for group in open_groups
        if group.model.name == giving.name and group.name not in names
    }
    return len(domains) >= 2


def _form_without(
    situation: plans.Situation,
    gaining: rules.ModelSpec,
    groups: Sequence[assignments.Assignment],
    taken: Sequence[assignments.Assignment],
    has_staged: bool,
) -> list[assignments.Assignment]:
    """Return the groups of the gaining model that form once others are closed.

    Nothing is returned if forming would give the members to another model.

    :param has_staged: whether the members are taken to hold the gaining model.
    """
    names = {group.group for group in taken}
    statuses = dict(situation.statuses)
    for member in {member for group in taken for member in group.members}:
        status = statuses.get(member)
        if status is None:
            continue
        upstream = status.upstream
        if has_staged:
            upstream = dataclasses.replace(upstream, staged=(*upstream.staged, gaining.name))
        statuses[member] = dataclasses.replace(status, upstream=upstream, membership=None)
    if sum(status.holds(gaining.name) for status in statuses.values()) < gaining.group_size:
        return []
    left = [group for group in groups if group.group not in names]
    formed = forming.form_groups(
        dataclasses.replace(situation, statuses=statuses),
        left,
        situation.record.next_epoch,
        plans.Plan(situation.record, [], []),
    )
    is_agreed = all(
        group.model == gaining.name and group.fabric_domain != plans.CROSS_DOMAIN
        for group in formed
    )
    return formed if is_agreed else []


def _list_without(
    situation: plans.Situation,
    gaining: rules.ModelSpec,
    formed: Sequence[assignments.Assignment],
) -> tuple[str, ...]:
    """Return the members of new groups that do not hold the gaining model."""
    return tuple(
        member
        for group in formed
        for member in group.members
        if not situation.statuses[member].holds(gaining.name)
    )
