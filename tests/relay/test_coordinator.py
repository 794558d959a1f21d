"""A coordinator after a suspension of its VM or the loss of its lease, and with lagging reports."""

import asyncio
import dataclasses
import random

import aiohttp
import msgspec
import pytest
import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.generated import assignments
from tanagerfork.generated import relay as settings_records
from tanagerfork.groups import lease
from tanagerfork.platform import runners
from tanagerfork.relay import (
    assignment_record,
    coordinator,
    demand,
    demands,
    fleet,
    loads,
    members,
    observations,
    order_sender,
    planner,
    plans,
    reach,
    reach_checks,
    rules,
)
from tanagerfork.storage import key_value
from tests import fakes
from tests.relay import deployments, test_fleet, test_planner

TTL_MS = 3000


class CountingClient:
    """Answers every probe, and accepts the orders that expect its number of accepted orders."""

    def __init__(self) -> None:
        self.orders: list[plans.Order] = []
        self.refused: list[plans.Order] = []
        self.accepted: dict[str, int] = {}
        self.reported: dict[str, int] = {}  # Lags behind `accepted`.
        self.memberships: dict[str, members.GroupMembership] = {}  # Reported instead of the list's.
        self.expected: list[int | None] = []  # Order counts that came with orders to join.
        self.is_cut_off = False
        self.gone: set[str] = set()
        self.leaving: set[str] = set()

    async def probe(self, upstream: members.Upstream) -> result.Result[members.Report, Exception]:
        if self.is_cut_off:
            return result.Err(errors.UpstreamSilent("no answer in time; go elsewhere"))
        if upstream.id in self.gone:
            return result.Err(errors.UpstreamUnreachable("refused; go elsewhere"))
        count = self.reported.get(upstream.id, 0)
        membership = self.memberships.get(upstream.id, upstream.membership)
        is_leaving = upstream.id in self.leaving
        return result.Ok(
            members.Report(1, count, False, (), membership, 1.0, 0, 0, is_leaving=is_leaving)
        )

    async def send_order(
        self, order: plans.Order, fencing: int, order_count: int | None
    ) -> result.Result[plans.Acceptance, Exception]:
        accepted = self.accepted.get(order.upstream_id, 0)
        if order.kind == plans.JOIN:
            self.expected.append(order_count)
        if order_count is not None and order_count != accepted:
            self.refused.append(order)
            return result.Err(errors.UpstreamRefused("another order came first; look again"))
        self.accepted[order.upstream_id] = accepted + 1
        self.orders.append(order)
        return result.Ok(plans.Acceptance.BEGUN)


class NewConnections:
    """Probes over new connections, which may be refused while open ones live on."""

    def __init__(self, client: CountingClient) -> None:
        self._client = client
        self.is_refused = False

    async def probe(self, upstream: members.Upstream) -> result.Result[members.Report, Exception]:
        if self.is_refused:
            return result.Err(errors.UpstreamUnreachable("refused; go elsewhere"))
        return await self._client.probe(upstream)

    async def send_order(
        self, order: plans.Order, fencing: int, order_count: int | None
    ) -> result.Result[plans.Acceptance, Exception]:
        raise NotImplementedError


class Harness:
    """One coordinator with a store in memory and a manual clock."""

    def __init__(self, store: fakes.MemoryKeyValue, name: str = "d1") -> None:
        self.clock = clocks.ManualClock()
        self.client = CountingClient()
        self.new_connections = NewConnections(self.client)
        self.view = fleet.Fleet()
        self.view.update_rules(test_fleet.IN_FORCE)
        register = rules.RulesRegister()
        register.replace_if_newer(test_fleet.IN_FORCE)
        log = decisions.DecisionLog(name, self.clock, deployments.LineList())
        settings = settings_records.RelaySettings(
            name=name,
            failure_domain="a",
            failure_domains=["a"],
            callers="127.0.0.1:1",
            readiness="127.0.0.1:1",
            metrics="127.0.0.1:1",
            peers="127.0.0.1:1",
            forwarding="127.0.0.1:1",
            store=settings_records.StoreSettings(address="127.0.0.1:1"),
        )
        self.closed: list[str] = []
        self.left: list[members.Upstream] = []
        counters = metric.Metrics()
        self.reach = reach.Reach(self.clock, random.Random(1), log, counters)
        keeper = lease.LeaseKeeper("a", name, store, self.clock, TTL_MS, lambda: [name])
        self.coordinator = coordinator.Coordinator(
            "a",
            settings,
            keeper,
            store,
            self.client,
            register,
            self.view,
            self.clock,
            log,
            counters,
            demand.Demand(loads.LoadBook(), demands.DemandBook()),
            lambda: True,
            lambda head, epoch: self.closed.append(head),
            self.left.append,
            self.reach,
            reach_checks.ReachChecks(
                self.reach,
                self.view,
                self.new_connections,
                loads.LoadBook().find_heard_ms,
                self.clock,
            ),
        )

    async def step(self, advance_ms: int = 100) -> None:
        self.clock.advance(advance_ms)
        await self.coordinator.take_step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def list_upstreams(self, count: int = 2) -> None:
        found = [
            test_planner.make_status(f"u{index}", staged=("small",)).upstream
            for index in range(count)
        ]
        self.view.update_list(found, self.clock.monotonic_ms())


class TestHolder:
    async def test_forms_groups_while_it_holds_the_lease(self) -> None:
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        for _ in range(20):
            await harness.step()
        assert {order.kind for order in harness.client.orders} == {plans.JOIN}
        assert harness.coordinator.is_holder

    async def test_suspended_holder_sends_no_order(self) -> None:
        """The clock counts suspended time, so that it shows the end of the lease."""
        store = fakes.MemoryKeyValue()
        harness = Harness(store)
        await harness.step()
        await harness.step()
        assert harness.coordinator.is_holder
        store.is_away = True  # A renewal after the suspension cannot reach the store.
        harness.list_upstreams()
        await harness.step(TTL_MS)
        assert not harness.client.orders and not harness.coordinator.is_holder

    async def test_replaced_holder_sends_no_order(self) -> None:
        store = fakes.MemoryKeyValue()
        first, second = Harness(store, "d1"), Harness(store, "d2")
        await first.step()
        await first.step()
        for _ in range(TTL_MS // 100 + 20):
            await second.step()
        assert second.coordinator.is_holder
        first.list_upstreams()
        await first.step(TTL_MS * 2)  # Its clock has counted the suspended time.
        assert not first.client.orders

    async def test_assignments_survive_a_new_holder(self) -> None:
        store = fakes.MemoryKeyValue()
        first, second = Harness(store, "d1"), Harness(store, "d2")
        first.list_upstreams()
        for _ in range(5):
            await first.step()
        second.list_upstreams()
        for _ in range(TTL_MS // 100 + 20):
            await second.step()
        joins = [order for order in second.client.orders if order.kind == plans.JOIN]
        assert {order.group for order in joins} == {"a-1"}


class TestLeaving:
    async def test_member_that_says_so_to_a_probe_is_announced(self) -> None:
        """Only this daemon knew it; others sent requests there until its entry said so."""
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        for _ in range(10):
            await harness.step()
        assert not harness.left
        harness.client.leaving.add("u1")
        for _ in range(10):
            await harness.step()
        assert {(upstream.id, upstream.born_at_ms) for upstream in harness.left} == {("u1", 1)}


class TestUnreadableRecord:
    """A record of assignments that another build wrote, or that was cut short."""

    @pytest.mark.parametrize("value", [b'{"groups": {}}', b'{"failure_domain": "a"', b""])
    async def test_coordinator_changes_nothing_and_gives_up_its_lease(self, value: bytes) -> None:
        store = fakes.MemoryKeyValue()
        key = assignment_record.PREFIX + "a"
        store.entries[key] = key_value.Entry(key, value, 7)
        harness = Harness(store)
        harness.list_upstreams()
        for _ in range(20):
            await harness.step()
        assert not harness.client.orders and not harness.closed
        assert store.entries[key].value == value
        lease_record = msgspec.json.decode(store.entries[lease.LEASE_PREFIX + "a"].value)
        assert lease_record["holder"] == "" and not harness.coordinator.is_holder

    async def test_coordinator_goes_on_once_the_record_can_be_read(self) -> None:
        store = fakes.MemoryKeyValue()
        key = assignment_record.PREFIX + "a"
        store.entries[key] = key_value.Entry(key, b"{", 7)
        harness = Harness(store)
        harness.list_upstreams()
        for _ in range(5):
            await harness.step()
        del store.entries[key]
        for _ in range(coordinator.ISOLATION_PAUSE_MS // 100 + 20):
            await harness.step()
        assert {order.kind for order in harness.client.orders} == {plans.JOIN}


class TestOrderCounts:
    """The order count in an upstream's report is some hundred milliseconds old."""

    async def test_order_count_includes_the_previous_order(self) -> None:
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        for _ in range(20):
            await harness.step()
        joined = {order.upstream_id: order for order in harness.client.orders}
        ready = members.MemberState.READY
        joined_upstreams = [
            dataclasses.replace(
                test_planner.make_status(key, staged=("small",)).upstream,
                membership=members.GroupMembership(
                    order.group, order.epoch, order.members.index(key), ready
                ),
            )
            for key, order in joined.items()
        ]
        harness.view.update_list(joined_upstreams, harness.clock.monotonic_ms())
        for _ in range(5):
            await harness.step()
        assert plans.OPEN in {order.kind for order in harness.client.orders}
        assert not harness.client.refused

    async def test_refused_order_is_retried_with_the_next_report(self) -> None:
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        harness.client.accepted["u0"] = 3  # From orders of another coordinator.
        for _ in range(5):
            await harness.step()
        harness.client.reported["u0"] = 3
        for _ in range(order_sender.REFUSED_ORDER_RETRY_MS // 100 + 2):
            await harness.step()
        assert {order.upstream_id for order in harness.client.orders} == {"u0", "u1"}

    async def test_reported_count_is_taken_after_a_refusal(self) -> None:
        observation = observations.Observation(test_planner.make_status("u0").upstream, 0)
        report = members.Report(1, 2, False, (), None, 1.0, 0, 0)
        observation.note_report(report)
        observation.note_order_accepted(observation.note_order_sent())
        observation.note_report(report)  # Made before the order.
        assert observation.order_count == 3
        observation.note_order_refused()
        assert observation.order_count is None
        observation.note_report(report)
        assert observation.order_count == 2

    async def test_leave_is_counted_although_it_ends_at_once(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            member = next(runner for runner in deployed.site.engine_runners if runner.membership)
            mark, count = member.membership, member.order_count
            async with aiohttp.ClientSession() as session:
                client = runners.RunnerClient(session, session, 1000, 1000)
                order = plans.Order(plans.LEAVE, member.id, member.address, mark.name, mark.epoch)
                reply = await client.send_order(order, 1, count)
            assert reply.ok() is plans.Acceptance.BEGUN
            assert member.order_count > count


class TestStaleList:
    """The store is silent, so that the list is older than what the upstreams report."""

    GROUP = members.GroupMembership("a-9", 9, 1, members.MemberState.READY)

    async def test_upstream_that_reports_another_group_is_not_ordered_to_join(self) -> None:
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        harness.client.memberships["u1"] = self.GROUP
        harness.client.reported["u1"] = harness.client.accepted["u1"] = 1
        for _ in range(20):
            await harness.step()
        joined = {order.upstream_id for order in harness.client.orders if order.kind == plans.JOIN}
        assert joined == {"u0"}

    async def test_join_is_sent_with_the_order_count_of_a_report(self) -> None:
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        for _ in range(20):
            await harness.step()
        assert harness.client.expected and None not in harness.client.expected

    def test_report_counts_where_it_is_surely_newer_than_the_list(self) -> None:
        seen = observations.Observation(test_planner.make_status("u0").upstream, 0)
        seen.note_report(members.Report(1, 1, False, (), self.GROUP, 1.0, 0, 0), now_ms=5000)
        assert seen.find_newest_membership(list_time_ms=4500, report_lag_ms=200) == self.GROUP
        assert seen.find_newest_membership(list_time_ms=4700, report_lag_ms=200) is None

    def test_report_of_an_earlier_start_does_not_count(self) -> None:
        seen = observations.Observation(test_planner.make_status("u0").upstream, 0)
        seen.note_report(members.Report(1, 1, False, (), self.GROUP, 1.0, 0, 0), now_ms=5000)
        seen.upstream = dataclasses.replace(seen.upstream, born_at_ms=2)
        assert seen.find_newest_membership(list_time_ms=0, report_lag_ms=200) is None


class TestUnreportedOrders:
    """Orders that an upstream has accepted, and that no report of it counts yet."""

    GROUP = members.GroupMembership("a-9", 9, 0, members.MemberState.READY)

    def make_observation(
        self, group: members.GroupMembership | None = None
    ) -> observations.Observation:
        seen = observations.Observation(test_planner.make_status("u0").upstream, 0)
        seen.note_report(members.Report(1, 3, False, (), group, 1.0, 0, 0))
        return seen

    def test_head_that_was_told_to_open_does_not_join_another_group(self) -> None:
        """The list may lack its group, as after a restore of the store."""
        seen = self.make_observation(self.GROUP)
        seen.note_order_sent()
        seen.note_order_accepted(3)
        assert seen.order_count == 4 and not seen.may_join("b-10", 10)

    def test_upstream_that_was_told_to_join_does_not_join_another_group(self) -> None:
        seen = self.make_observation()
        seen.note_order_sent()
        seen.note_order_accepted(3)
        assert not seen.may_join("b-10", 10)

    def test_upstream_that_left_its_group_joins_another_one(self) -> None:
        seen = self.make_observation(self.GROUP)
        assert not seen.may_join("b-10", 10)
        seen.note_order_sent()
        seen.note_order_accepted(3)
        seen.note_group_left(3)
        assert seen.may_join("b-10", 10)
        seen.note_report(members.Report(1, 3, False, (), self.GROUP, 1.0, 0, 0))  # Lags behind.
        assert seen.may_join("b-10", 10) and seen.order_count == 4

    def test_orders_of_another_coordinator_after_it_left_count(self) -> None:
        seen = self.make_observation(self.GROUP)
        seen.note_order_sent()
        seen.note_order_accepted(3)
        seen.note_group_left(3)
        seen.note_report(members.Report(1, 5, False, (), self.GROUP, 1.0, 0, 0))
        assert not seen.may_join("b-10", 10)

    def test_it_has_not_left_after_a_restart_with_as_many_orders(self) -> None:
        seen = self.make_observation(self.GROUP)
        seen.note_order_accepted(3)
        seen.note_group_left(3)
        seen.note_report(members.Report(2, 4, False, (), self.GROUP, 1.0, 0, 0))
        assert seen.order_count == 4 and not seen.may_join("b-10", 10)

    def test_order_that_a_report_counts_before_its_answer_comes_is_counted_once(self) -> None:
        seen = self.make_observation()
        seen.note_order_sent()
        seen.note_report(members.Report(1, 4, False, (), self.GROUP, 1.0, 0, 0))
        seen.note_order_accepted(3)
        assert seen.order_count == 4

    def test_report_that_must_count_all_orders_corrects_a_count_that_is_too_high(self) -> None:
        """An upstream that has started again in between would else never be ordered to join."""
        seen = self.make_observation()
        seen.note_order_accepted(7, now_ms=5000)
        seen.note_report(members.Report(1, 3, False, (), None, 1.0, 0, 0), now_ms=5500)
        assert seen.order_count == 8 and not seen.may_join("b-10", 10)
        seen.note_report(members.Report(1, 3, False, (), None, 1.0, 0, 0), now_ms=7500)
        assert seen.order_count == 3 and seen.may_join("b-10", 10)

    def test_order_that_was_sent_without_a_count_leaves_the_count_to_a_report(self) -> None:
        seen = self.make_observation()
        seen.note_order_sent()
        seen.note_report(members.Report(1, 4, False, (), None, 1.0, 0, 0))
        seen.note_order_accepted(None)
        assert seen.order_count == 4 and seen.may_join("b-10", 10)

    async def test_head_that_opened_just_before_a_restore_stays_in_its_group(self) -> None:
        """The restored store lacks the record and shows the upstreams before they joined."""
        store = fakes.MemoryKeyValue()
        harness = Harness(store)
        harness.list_upstreams()
        for _ in range(20):
            await harness.step()
        for join in list(harness.client.orders):
            rank = join.members.index(join.upstream_id)
            harness.client.reported[join.upstream_id] = 1
            harness.client.memberships[join.upstream_id] = members.GroupMembership(
                join.group, join.epoch, rank, members.MemberState.READY
            )
        while plans.OPEN not in {order.kind for order in harness.client.orders}:
            await harness.step()
        store.entries.clear()
        harness.coordinator._assignments.forget()
        harness.list_upstreams()
        opened = len(harness.client.orders)
        for _ in range(10):
            await harness.step()
        assert plans.JOIN not in {order.kind for order in harness.client.orders[opened:]}

    async def test_join_goes_with_the_order_count_by_which_it_was_decided(self) -> None:
        """The answer to another order comes between the decision and the sending."""
        harness = Harness(fakes.MemoryKeyValue())
        harness.list_upstreams()
        await harness.step()
        seen = self.make_observation()
        harness.coordinator._observations = {"u0": seen}
        join = plans.Order(plans.JOIN, "u0", "127.0.0.1:1", "a-9", 9, "small", ("u0", "u1"))
        harness.coordinator._send_orders([join], {})
        seen.note_order_refused()
        await asyncio.sleep(0)
        assert harness.client.expected == [3]


class TestLostEntry:
    """A member works on, but has no directory entry any more."""

    @pytest.mark.parametrize("replaced_after_ms", [0, 8000])
    async def test_group_is_closed_before_daemons_stop_to_use_it(
        self, replaced_after_ms: int
    ) -> None:
        """It neither served nor was formed anew. A new coordinator counts from its start."""
        harness = Harness(fakes.MemoryKeyValue())
        listed = await self._open_group(harness)
        heads = [upstream for upstream in listed if upstream.membership.rank == 0]
        harness.view.update_list(heads, harness.clock.monotonic_ms())
        waited_ms = 0
        while not harness.closed and waited_ms < 40_000:
            await harness.step()
            harness.view.update_list(heads, harness.clock.monotonic_ms())
            waited_ms += 100
            if waited_ms == replaced_after_ms:
                harness.coordinator._observations.clear()
                harness.coordinator._assignments.forget()
        assert harness.closed == [heads[0].id]
        counted_ms = waited_ms - replaced_after_ms
        assert planner.MAX_UNLISTED_MS <= counted_ms < fleet.UNLISTED_RETENTION_MS - 2400

    async def test_time_without_the_lease_does_not_count(self) -> None:
        """Observations are from before, and the entry is missing for less than 2 s."""
        store = fakes.MemoryKeyValue()
        harness = Harness(store)
        listed = await self._open_group(harness)
        store.is_away = True
        await harness.step(fleet.UNLISTED_RETENTION_MS)
        assert not harness.coordinator.is_holder
        store.is_away = False
        harness.view.update_list(listed, harness.clock.monotonic_ms())
        harness.clock.advance(fleet.RETURN_GRACE_MS)
        heads = [upstream for upstream in listed if upstream.membership.rank == 0]
        harness.view.update_list(heads, harness.clock.monotonic_ms())
        for _ in range(15):
            await harness.step()
        assert harness.coordinator.is_holder and not harness.closed

    async def _open_group(self, harness: Harness) -> list[members.Upstream]:
        """Return the members of a group that is listed as open."""
        harness.list_upstreams()
        for _ in range(10):
            await harness.step()
        listed = []
        for join in harness.client.orders:
            rank = join.members.index(join.upstream_id)
            state = members.MemberState.READY if rank else members.MemberState.OPEN
            status = test_planner.make_status(join.upstream_id, staged=("small",))
            membership = members.GroupMembership(join.group, join.epoch, rank, state)
            listed.append(dataclasses.replace(status.upstream, membership=membership))
            harness.client.memberships[join.upstream_id] = membership
        harness.view.update_list(listed, harness.clock.monotonic_ms())
        await harness.step()
        return listed


def record_members(value: bytes) -> list[str]:
    record = msgspec.json.decode(value, type=assignments.Assignments)
    return [member for group in record.groups for member in group.members]


class TestCutOff:
    """The coordinator's own links to all upstreams are cut."""

    GROUPS = 4

    def _list_open_groups(self, harness: Harness) -> None:
        listed = []
        for order in harness.client.orders:
            if order.kind == plans.JOIN:
                rank = order.members.index(order.upstream_id)
                state = members.MemberState.READY if rank else members.MemberState.OPEN
                status = test_planner.make_status(order.upstream_id, staged=("small",))
                membership = members.GroupMembership(order.group, order.epoch, rank, state)
                listed.append(dataclasses.replace(status.upstream, membership=membership))
        assert len(listed) >= 2 * (self.GROUPS - 1)  # Some are spares.
        harness.view.update_list(listed, harness.clock.monotonic_ms())

    async def test_no_group_is_given_up_while_some_members_are_silent_sooner(self) -> None:
        store = fakes.MemoryKeyValue()
        harness = Harness(store)
        harness.list_upstreams(2 * self.GROUPS)
        for _ in range(10):
            await harness.step()
        self._list_open_groups(harness)
        for _ in range(10):
            await harness.step()
        record = (await store.read("tanagerfork/assignments/a")).ok_value
        harness.client.is_cut_off = True
        harness.coordinator._observations["u0"].probed_at_ms -= 200
        for _ in range(30):
            await harness.step()
        assert (await store.read("tanagerfork/assignments/a")).ok_value == record
        assert not harness.closed and not harness.coordinator.is_holder

    @pytest.mark.parametrize("is_cut_off", [True, False])
    async def test_member_is_not_lost_by_what_others_answer_over_open_connections(
        self, is_cut_off: bool
    ) -> None:
        store = fakes.MemoryKeyValue()
        harness = Harness(store)
        harness.list_upstreams(2 * self.GROUPS)
        for _ in range(10):
            await harness.step()
        self._list_open_groups(harness)
        for _ in range(10):
            await harness.step()
        record = (await store.read("tanagerfork/assignments/a")).ok_value
        harness.reach.begin_check("writer")  # Just before the cut.
        harness.reach.end_check("writer", 1, is_any_answered=True)
        harness.new_connections.is_refused = is_cut_off
        harness.client.gone.add(record_members(record.value)[0])
        for _ in range(30):
            await harness.step()
        is_kept = (await store.read("tanagerfork/assignments/a")).ok_value == record
        assert is_kept == is_cut_off and harness.coordinator.is_holder != is_cut_off

    async def test_lease_is_released_for_another_daemon(self) -> None:
        store = fakes.MemoryKeyValue()
        harness, other = Harness(store), Harness(store, "d2")
        harness.list_upstreams(2 * self.GROUPS)
        for _ in range(10):
            await harness.step()
            await other.step()
        harness.client.is_cut_off = True
        for _ in range(12):
            await harness.step()
            await other.step()
        assert other.coordinator.is_holder and not harness.coordinator.is_holder

    async def test_daemon_that_is_cut_off_does_not_take_the_lease(self) -> None:
        harness = Harness(fakes.MemoryKeyValue())
        harness.reach.begin_check("writer")
        harness.reach.end_check("writer", 4, is_any_answered=False)
        for _ in range(10):
            await harness.step()
        assert not harness.coordinator.is_holder
        harness.reach.end_check("writer", 1, is_any_answered=True)
        for _ in range(3):
            await harness.step()
        assert harness.coordinator.is_holder
