"""Tests of the choice of a group: load, prefix affinity, health and leaving VMs."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from tanagerfork.generated import engine
from tanagerfork.routing import affinity, balancer, fleet, health, leaving, load
from tests import engines


def make_balancer(seed: int = 1) -> balancer.Balancer:
    """Return a balancer."""
    rng = random.Random(seed)
    return balancer.Balancer(rng, health.Health(rng, lambda *change: None), affinity.PrefixMap())


def choose_often(choice: balancer.Balancer, views, times: int = 50, now_ms: int = 0, **fields):
    """Return the set of groups chosen in a number of choices."""
    wanted = balancer.Requirements(**fields)
    chosen = set()
    for _ in range(times):
        group = choice.choose(views, now_ms, wanted).record.group
        choice.sent_load.begin_request(group, now_ms)
        choice.end(group, now_ms)
        choice.move_to_back(group)
        chosen.add(group)
    return chosen


class TestLoad:
    def test_less_loaded_of_two_groups_is_chosen(self):
        views = [engines.make_view("a", running=9), engines.make_view("b", running=2)]
        assert choose_often(make_balancer(), views) == {"b"}

    @pytest.mark.parametrize(("age_ms", "corrected"), [(0, 3), (50, 3), (150, 4), (500, 5)])
    def test_report_is_corrected_by_requests_sent_since(self, age_ms, corrected):
        sent = load.SentLoad()
        sent.begin_request("a", 600)
        sent.begin_request("a", 900)
        assert sent.estimate_requests(engines.make_view("a", 3, age_ms), 1000) == corrected

    def test_group_with_slow_steps_is_ejected(self):
        views = [engines.make_view("a", 2, step_ms=300.0)]
        views += [engines.make_view(f"b{number}", 8, step_ms=30.0) for number in range(3)]
        assert "a" not in choose_often(make_balancer(), views)


class TestPrefixes:
    def test_group_with_the_prefix_is_preferred_until_its_load_is_much_higher(self):
        choice = make_balancer()
        events = [engine.CacheEvent(sequence=1, kind="stored", prefix="p1")]
        choice.prefix_map.apply_events("a", engine.CacheEvents(incarnation="i", events=events), 0)
        others = [engines.make_view(f"b{number}") for number in range(4)]
        views = [engines.make_view("a", 2), *others]
        assert choose_often(choice, views, prefixes=("p1", "p2")) == {"a"}
        views = [engines.make_view("a", 8), *others]
        assert "a" not in choose_often(choice, views, prefixes=("p1", "p2"))

    def test_events_with_gaps_expiry_and_a_new_incarnation(self):
        warm = affinity.PrefixMap()

        def apply_events(incarnation, *events):
            listed = [engine.CacheEvent(sequence=s, kind=k, prefix=p) for s, k, p in events]
            warm.apply_events("a", engine.CacheEvents(incarnation=incarnation, events=listed), 0)

        apply_events("i", (1, "stored", "p"), (7, "stored", "q"))
        assert (warm.find_holders(["p", "q"], 0), warm.last_sequence("a")) == (["a"], 7)
        apply_events("i", (9, "evicted", "q"))
        assert warm.find_holders(["q"], 0) == [] and warm.find_holders(["p"], 0) == ["a"]
        assert warm.find_holders(["p"], affinity.PREFIX_TTL_MS + 1) == []
        apply_events("i2", (1, "stored", "r"))
        assert warm.find_holders(["p"], 0) == [] and warm.find_holders(["r"], 0) == ["a"]

    def test_map_is_bounded(self):
        warm = affinity.PrefixMap()
        for number in range(affinity.MAX_PREFIXES + 10):
            warm.record_sent("a", [str(number)], 0)
        assert warm.find_holders(["0"], 0) == [] and warm.find_holders(["20"], 0) == ["a"]


class TestHealth:
    def test_failing_group_is_ejected_and_readmitted_after_one_successful_trial(self):
        choice = make_balancer()
        views = [engines.make_view(f"g{number}") for number in range(4)]
        for _ in range(health.FAILURES_TO_EJECT):
            choice.health.record_failure("g0", 0)
        assert "g0" not in choose_often(choice, views)
        due_ms = 10_000
        assert choice.choose(views, due_ms).record.group == "g0"
        choice.begin("g0", due_ms)
        assert "g0" not in choose_often(choice, views, now_ms=due_ms)
        choice.end("g0", due_ms)
        choice.health.record_failure("g0", due_ms)
        assert "g0" not in choose_often(choice, views, now_ms=due_ms + health.MIN_EJECTION_MS)
        choice.begin("g0", 60_000)
        choice.end("g0", 60_000)
        choice.health.record_success("g0", 60_000)
        assert "g0" in choose_often(choice, views, now_ms=60_001)

    def test_straggler_is_ejected(self):
        choice = make_balancer()
        views = [engines.make_view(f"g{number}") for number in range(4)]
        for step in range(4):
            for number in range(4):
                gap_ms = 300.0 if number == 0 else 30.0
                choice.health.record_success(f"g{number}", step * 300, gap_ms)
        assert "g0" not in choose_often(choice, views, now_ms=1000)

    def test_neither_the_last_group_nor_a_majority_is_ejected(self):
        choice = make_balancer()
        views = [engines.make_view(f"g{number}") for number in range(3)]
        for group in ("g0", "g1", "g2"):
            for _ in range(health.FAILURES_TO_EJECT):
                choice.health.record_failure(group, 0)
        assert choose_often(choice, views) == {"g0", "g1", "g2"}
        assert choose_often(choice, views[:1]) == {"g0"}


class TestLeaving:
    @pytest.mark.parametrize("source", ["list", "report", "peer"])
    def test_earliest_report_counts_and_a_lagging_source_does_not_revoke_it(self, source):
        entries = {
            name: engine.VmEntry(vm=name, url="", failure_domain="d", fabric_domain="f")
            for name in ("g0", "g1")
        }

        class PeerReports(fleet.SingleDaemonFleet):
            reported: tuple[str, ...] = ()

            def leaving_vms(self):
                return self.reported

        peers = PeerReports()
        views = [engines.make_view("g0"), engines.make_view("g1")]
        if source == "list":
            entries["g0"].leaving = True
        elif source == "report":
            views[0] = engines.make_view("g0", state="leaving")
        else:
            peers.reported = ("g0",)
        vms = leaving.LeavingVms(entries.get, peers)
        assert [view.record.group for view in vms.exclude_leaving(views, 0)] == ["g1"]
        entries["g0"].leaving, peers.reported = False, ()
        views = [engines.make_view("g0"), engines.make_view("g1")]
        assert [view.record.group for view in vms.exclude_leaving(views, 5000)] == ["g1"]
        assert vms.take_unannounced(5000) == ([] if source == "peer" else ["g0"])
        assert vms.take_unannounced(6000) == []
        assert len(vms.exclude_leaving(views, 5000 + leaving.LEAVING_TTL_MS + 1)) == 2


class TestProperties:
    @hypothesis.given(strategies.lists(strategies.integers(0, 9), max_size=60), strategies.data())
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_choice_is_one_of_the_given_groups_or_none_if_there_are_none(self, steps, data):
        choice = make_balancer()
        views = [engines.make_view(f"g{number}") for number in range(5)]
        for now_ms, step in enumerate(steps):
            given = [view for view in views if data.draw(strategies.booleans())]
            chosen = choice.choose(given, now_ms * 1000)
            assert (chosen is None) == (not given)
            assert chosen is None or chosen in given
            group = f"g{step % 5}"
            if step < 5:
                choice.health.record_failure(group, now_ms * 1000)
            else:
                choice.begin(group, now_ms * 1000)
                choice.health.record_success(group, now_ms * 1000, gap_ms=10.0 * step)
                choice.end(group, now_ms * 1000)
