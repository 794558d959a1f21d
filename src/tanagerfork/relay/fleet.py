"""Fleet: upstreams that the directory lists, and the groups that are whole by their reports."""

import collections
import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence

from tanagerfork.relay import members, rules

STALE_LIST_MS = 4000  # A watch sends something every 2.5 s; entries lapse after 3.6 s, 3 refreshes.
MAX_LEFT = 4096  # Starts of upstreams that are remembered as leaving, and as removed.
RETURN_GRACE_MS = 2000  # Live upstreams have renewed lapsed entries about this long after a return.
UNLISTED_RETENTION_MS = 20_000  # An upstream without a directory entry serves at most this long.
# States of the members of a whole group, whose head is open.
SERVING_MEMBER_STATES = frozenset((members.MemberState.READY, members.MemberState.OPEN))


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """A whole group; requests go to its head.

    `slowness` is the factor on all its times: the pace of its model, and the one of groups across
    fabric domains where its members are in several ones.
    """

    service: str
    model: rules.ModelSpec
    name: str
    epoch: int
    head: members.Upstream
    members: tuple[members.Upstream, ...]
    slowness: float = 1.0
    is_cross_domain: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ListChange:
    """Ids of the upstreams that a read of the list changed."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    leaving: tuple[str, ...]


class Fleet:
    """View of one daemon on the upstreams.

    It stays as it is while the directory cannot be read. When the directory is back, upstreams
    without an entry are kept for `RETURN_GRACE_MS`, as live ones renew their lapsed entries. An
    upstream that was seen leaving leaves until it starts anew, whatever its entry says. Where the
    directory was restored from a copy, entries that are older than what was known are not used.
    Upstreams of the failure domains in `evacuated` are known, but get no new requests.

    A member that only lost its entry still counts for its group while the head is listed and open:
    upstreams that are partitioned from the directory go on working, and requests go to the head
    alone. A member that is lost is found by the coordinator's probes, which closes the group.
    """

    __slots__ = (
        "_known",
        "_listed",
        "_read_at_ms",
        "_grace_until_ms",
        "_was_unreadable",
        "_groups",
        "_plain",
        "_rules",
        "_left",
        "_removed",
        "_doubted",
        "_unlisted",
        "evacuated",
    )

    def __init__(self) -> None:
        self._left: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()
        # Refresh counts of removed entries by start, and those at the last restore.
        self._removed: collections.OrderedDict[tuple[str, int], int] = collections.OrderedDict()
        self._doubted: dict[tuple[str, int], int] = {}
        # Members whose entries are missing, and since when.
        self._unlisted: dict[str, tuple[members.Upstream, int]] = {}
        self._known: dict[str, members.Upstream] = {}
        self._listed: dict[str, members.Upstream] = {}
        self._was_unreadable = False
        self._read_at_ms: int | None = None
        self._grace_until_ms = 0
        self._groups: dict[tuple[str, str], list[Group]] = {}
        self._plain: dict[str, list[members.Upstream]] = {}
        self._rules: rules.Rules | None = None
        self.evacuated: frozenset[str] = frozenset()

    @property
    def upstreams(self) -> Iterable[members.Upstream]:
        """All upstreams that are listed or in their grace time."""
        return self._known.values()

    @property
    def ids(self) -> Collection[str]:
        """Ids of the upstreams that are listed or in their grace time."""
        return self._known.keys()

    def find(self, upstream_id: str) -> members.Upstream | None:
        """Return an upstream; None where it is not known.

        :param upstream_id: id of the upstream.
        """
        return self._known.get(upstream_id)

    def measure_age(self, now_ms: int) -> int:
        """Return how old the list is, in milliseconds; -1 where none was read yet.

        :param now_ms: clock that counts suspended time, in milliseconds.
        """
        return -1 if self._read_at_ms is None else now_ms - self._read_at_ms

    def update_list(self, listed: Sequence[members.Upstream], now_ms: int) -> ListChange:
        """Replace the list by one that was read.

        :param listed: upstreams of all readable entries.
        :param now_ms: clock that counts suspended time, in milliseconds.
        :return: what changed.
        """
        if self._was_unreadable or self.measure_age(now_ms) > STALE_LIST_MS:
            self._grace_until_ms = now_ms + RETURN_GRACE_MS
        self._was_unreadable = False
        self._read_at_ms = now_ms
        self._listed = {upstream.id: upstream for upstream in listed}
        return self._update_known(now_ms)

    def note_unchanged(self, now_ms: int) -> None:
        """Note that the directory still has the same list.

        :param now_ms: clock that counts suspended time, in milliseconds.
        """
        if self._was_unreadable or self.measure_age(now_ms) > STALE_LIST_MS:
            self.update_list(list(self._listed.values()), now_ms)
        self._read_at_ms = now_ms

    def note_away(self) -> None:
        """Note that the list cannot be read, so that entries may lapse meanwhile."""
        self._was_unreadable = self._read_at_ms is not None

    def note_restored(self) -> None:
        """Note that the directory was restored from a copy, so that entries may be old ones."""
        self.note_away()
        self._doubted = dict(self._removed)

    def end_grace(self, now_ms: int) -> None:
        """Drop the upstreams that still have no entry once the grace time is over.

        :param now_ms: clock that counts suspended time, in milliseconds.
        """
        if self._grace_until_ms and now_ms >= self._grace_until_ms:
            self._grace_until_ms = 0
            self._update_known(now_ms)

    def mark_leaving(self, upstream_id: str, born_at_ms: int) -> bool:
        """Mark an upstream as leaving by its own word.

        :param upstream_id: id of the upstream.
        :param born_at_ms: its start.
        :return: whether this is new.
        """
        key = upstream_id, born_at_ms
        if key in self._left:
            return False
        self._note_left(key)
        known = self._known.get(upstream_id)
        if known is not None and known.key == key:
            self._known[upstream_id] = dataclasses.replace(known, is_leaving=True)
        self._rebuild_index()
        return True

    def list_leaving(self) -> list[members.Upstream]:
        """Return the known upstreams that leave although their entries don't say so.

        Those without a start are left out, as a notice of one start would apply to the next one.
        """
        return [
            upstream
            for upstream in self._known.values()
            if upstream.is_leaving and upstream.born_at_ms and not self._says_leaving(upstream.id)
        ]

    def _says_leaving(self, upstream_id: str) -> bool:
        listed = self._listed.get(upstream_id)
        return listed is not None and listed.is_leaving

    def _note_left(self, key: tuple[str, int]) -> None:
        self._left[key] = None
        if len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)

    def _update_known(self, now_ms: int) -> ListChange:
        found = dict(self._listed)
        remembered = {upstream_id for upstream_id, _ in (*self._left, *self._doubted)}
        for key, upstream in self._listed.items():
            known = self._known.get(key)
            if not upstream.born_at_ms and self._has_start(upstream.id):
                del found[key]
                continue
            is_newest = known is None or known.refresh_count <= upstream.refresh_count
            if is_newest and not upstream.is_leaving and key not in remembered:
                continue
            checked = self._check_entry(upstream)
            if checked is None:
                del found[key]
            else:
                found[key] = checked
        if now_ms < self._grace_until_ms:
            for upstream in self._known.values():
                found.setdefault(upstream.id, upstream)
        before, self._known = self._known, found
        self._update_unlisted(before, now_ms)
        for gone in before.keys() - found.keys():
            self._removed[before[gone].key] = before[gone].refresh_count
            if len(self._removed) > MAX_LEFT:
                self._removed.popitem(last=False)
        self._rebuild_index()
        return ListChange(
            added=tuple(sorted(found.keys() - before.keys())),
            removed=tuple(sorted(before.keys() - found.keys())),
            leaving=tuple(
                upstream.id
                for upstream in found.values()
                if upstream.is_leaving
                and not (upstream.id in before and before[upstream.id].is_leaving)
            ),
        )

    def _update_unlisted(self, before: Mapping[str, members.Upstream], now_ms: int) -> None:
        """Keep the ready members whose entries went missing; drop those that are listed or gone."""
        expired_ms = now_ms - UNLISTED_RETENTION_MS
        self._unlisted = {
            upstream_id: (upstream, since_ms)
            for upstream_id, (upstream, since_ms) in self._unlisted.items()
            if upstream_id not in self._known and since_ms > expired_ms
        }
        for gone in before.keys() - self._known.keys():
            membership = before[gone].membership
            is_ready = membership is not None and membership.state is members.MemberState.READY
            if is_ready and not before[gone].is_leaving:
                self._unlisted[gone] = before[gone], now_ms

    def _has_start(self, upstream_id: str) -> bool:
        """Return whether an upstream names its start; an entry without one is not its own then."""
        known = self._known.get(upstream_id)
        if known is not None:
            return known.born_at_ms != 0
        return any(key[0] == upstream_id and key[1] for key in self._removed)

    def _check_entry(self, upstream: members.Upstream) -> members.Upstream | None:
        """Return an upstream as it is to be used by its entry and what was known before."""
        key = upstream.key
        known = self._known.get(upstream.id)
        if known is not None and known.refresh_count > upstream.refresh_count and known.key == key:
            upstream = known  # The entry is from a copy that is older.
        elif self._doubted and upstream.refresh_count <= self._doubted.get(key, -1):
            return None
        if upstream.is_leaving and key not in self._left:
            self._note_left(key)
        elif not upstream.is_leaving and key in self._left:
            return dataclasses.replace(upstream, is_leaving=True)
        return upstream

    def update_rules(self, in_force: rules.Rules) -> None:
        """Apply the rules that say which services form groups.

        :param in_force: rules.
        """
        self._rules = in_force
        self._rebuild_index()

    def update_evacuated(self, domains: frozenset[str]) -> None:
        """Replace the failure domains that get no new requests.

        :param domains: evacuated failure domains.
        """
        if domains != self.evacuated:
            self.evacuated = domains
            self._rebuild_index()

    def list_groups(self, service: str, model: str) -> Sequence[Group]:
        """Return the whole groups of a model that have no member in an evacuated failure domain.

        :param service: name of the service.
        :param model: name of the model; empty for all.
        """
        if model:
            return self._groups.get((service, model), ())
        return [
            group for key, found in self._groups.items() if key[0] == service for group in found
        ]

    def list_plain(self, service: str) -> Sequence[members.Upstream]:
        """Return the upstreams of a plain service that take new requests.

        :param service: name of the service.
        """
        return self._plain.get(service, ())

    def _rebuild_index(self) -> None:
        self._groups = {}
        self._plain = {}
        if self._rules is None:
            return
        reported: dict[tuple[str, str, int], list[members.Upstream]] = {}
        for upstream in self._known.values():
            service = self._rules.services.get(upstream.service)
            if service is None or upstream.is_leaving:
                continue
            if upstream.failure_domain in self.evacuated:
                continue  # A group that lacks a member here is not whole, so that it is left out.
            if service.engine is None:
                self._plain.setdefault(upstream.service, []).append(upstream)
            elif (
                upstream.membership is not None
                and upstream.membership.state in SERVING_MEMBER_STATES
            ):
                membership = upstream.membership
                reported.setdefault(
                    (upstream.service, membership.group, membership.epoch), []
                ).append(upstream)
        for (service_name, name, epoch), found in reported.items():
            unlisted = self._list_unlisted_members(service_name, name, epoch)
            group = self._make_group(service_name, name, epoch, [*found, *unlisted])
            if group is not None:
                self._groups.setdefault((service_name, group.model.name), []).append(group)

    def _list_unlisted_members(self, service: str, name: str, epoch: int) -> list[members.Upstream]:
        return [
            upstream
            for upstream, _ in self._unlisted.values()
            if upstream.service == service
            and upstream.membership is not None
            and (upstream.membership.group, upstream.membership.epoch) == (name, epoch)
            and upstream.key not in self._left
        ]

    def _make_group(
        self, service: str, name: str, epoch: int, found: list[members.Upstream]
    ) -> Group | None:
        """Return a group whose head is open and whose members are complete; None otherwise."""
        engine = self._rules.services[service].engine if self._rules else None
        by_rank = {member.membership.rank: member for member in found if member.membership}
        head = by_rank.get(0)
        if engine is None or head is None or head.membership is None or not head.models:
            return None
        model = engine.find_model(head.models[0])
        is_open = head.membership.state is members.MemberState.OPEN
        if model is None or not is_open or by_rank.keys() != set(range(model.group_size)):
            return None
        in_order = tuple(by_rank[rank] for rank in range(model.group_size))
        is_cross_domain = len({member.fabric_domain for member in in_order}) > 1
        slowness = model.pace * (engine.cross_domain_factor if is_cross_domain else 1.0)
        return Group(service, model, name, epoch, head, in_order, slowness, is_cross_domain)
