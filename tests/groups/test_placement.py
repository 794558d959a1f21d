"""Tests of the placement policy without a running coordinator."""

import pytest
from bench import fleet as fleets

from tanagerfork.generated import bundle, engine, layout
from tanagerfork.groups import facts, orders, presence
from tests.groups import clusters


def make_facts(domains: dict[str, int], model: str = "", **changes) -> dict[str, facts.VmFact]:
    """Return the facts about reporting VMs, by VM."""
    found = {}
    for domain, count in domains.items():
        for number in range(count):
            name = f"{domain}-vm{number}"
            entry = engine.VmEntry(
                vm=name, url="", failure_domain=fleets.FAILURE_DOMAIN, fabric_domain=domain
            )
            report = engine.EngineReport(vm=name, incarnation=name, sequence=1, model=model)
            found[name] = facts.VmFact(entry, report)
    return found


def plan(
    vms: dict[str, facts.VmFact], wanted: bundle.Bundle, groups=(), **changes
) -> layout.Layout:
    """Return the layout that is planned for the current groups."""
    current = layout.Layout(
        failure_domain=fleets.FAILURE_DOMAIN, serial=1, fencing=1, groups=list(groups)
    )
    situation = facts.Situation(
        now_ms=0,
        layout=current,
        bundle=wanted,
        bundle_version=1,
        fencing=2,
        vms=vms,
        views=changes.get("views", {}),
    )
    return fleets.make_planner().plan(situation, "token").layout


class TestWeights:
    @pytest.mark.parametrize(
        ("downtime_weight", "stranded_weight", "groups", "reserves"),
        [(4.0, 1.0, 3, 5), (1.0, 4.0, 4, 1), (0.0, 1.0, 4, 1), (1.0, 0.0, 3, 5), (0.0, 0.0, 4, 1)],
    )
    def test_weights_decide_between_surplus_groups_and_reserves(
        self, downtime_weight, stranded_weight, groups, reserves
    ):
        wanted = fleets.make_bundle(3, 1, downtime_weight, stranded_weight)
        planned = plan(make_facts({"f1": 9, "f2": 8}), wanted)
        assert len(planned.groups) == groups
        assert sum(len(record.reserves) for record in planned.groups) == reserves

    def test_no_surplus_unless_the_bundle_allows_it(self):
        planned = plan(make_facts({"f1": 16}), fleets.make_bundle(2, 0, 0.0, 1.0))
        assert len(planned.groups) == 2

    def test_reserves_are_spread_evenly_and_exclusively(self):
        planned = plan(make_facts({"f1": 16}), fleets.make_bundle(3))
        reserves = [record.reserves for record in planned.groups]
        assert sorted(len(item) for item in reserves) == [1, 1, 2]
        assert len({vm for item in reserves for vm in item}) == 4

    def test_group_that_needs_the_fewest_loads_loads_first(self):
        vms = make_facts({"f1": 8})
        records = [
            layout.GroupRecord(
                group=f"g{number}",
                model=fleets.MODEL,
                version="1",
                generation=2000,
                fabric_domain="f1",
                members=[f"f1-vm{4 * number + rank}" for rank in range(4)],
            )
            for number in range(2)
        ]
        for name in records[1].members[:3]:
            report = vms[name].report
            report.model, report.version = fleets.MODEL, "1"
        current = layout.Layout(
            failure_domain=fleets.FAILURE_DOMAIN, serial=2, fencing=2, groups=records
        )
        policy = bundle.PlacementPolicy(loads_at_once=1)
        chosen = orders.choose_orders(current, vms, policy)
        loads = [item.entry.vm for item in chosen if not vms[item.entry.vm].report.model]
        assert loads == [records[1].members[3]]
        assert {item.order.fencing for item in chosen} == {2}


class TestGenerations:
    def test_new_generations_exceed_all_that_engines_report(self):
        vms = make_facts({"f1": 4})
        vms["f1-vm0"].report.generation = 77_003  # From a layout that was lost.
        planned = plan(vms, fleets.make_bundle(1))
        assert planned.groups[0].generation == 78_000 and planned.serial == 78

    def test_bundle_older_than_that_of_the_layout_plans_nothing(self):
        current = layout.Layout(
            failure_domain=fleets.FAILURE_DOMAIN, serial=1, fencing=1, bundle_version=5, groups=[]
        )
        situation = facts.Situation(
            0, current, fleets.make_bundle(1), 4, 2, make_facts({"f1": 4}), {}
        )
        assert fleets.make_planner().plan(situation, "token") is None


class TestStates:
    async def test_group_that_is_loading_is_forming_not_broken(self):
        cluster = clusters.Cluster({"f1": 4}, groups=1, load_ms=5000)
        await cluster.run(3000)
        assert cluster.daemons[0].views()[0].state == presence.GroupState.FORMING
