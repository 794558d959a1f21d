"""Tests of group downtime and stranded accelerators."""

import pytest

from tanagerfork import measures
from tanagerfork import metrics as metric
from tanagerfork.generated import bundle, engine, layout
from tanagerfork.groups import presence

DOMAIN = "ipoh-a"
STATES = {state.value: state for state in presence.GroupState}
MS_PER_S = 1000


def make_view(name: str, state: str, members: tuple[str, ...]) -> presence.GroupView:
    """Return the view of a group in a state."""
    record = layout.GroupRecord(
        group=name, model="m", version="1", generation=1, members=list(members)
    )
    return presence.GroupView(record, STATES[state], (), None, 0)


def make_sample(
    groups: dict[str, tuple[str, str]],
    wanted: int = 1,
    listed: str = "abcd",
    leaving: str = "",
    silent: str = "",
) -> measures.Sample:
    """Return a sample of groups; each maps its name to its state and its one-letter members."""
    placed = [bundle.GroupCount(failure_domain=DOMAIN, groups=wanted)]
    model = bundle.Model(name="m", version="1", members_per_group=2, placement=placed)
    vms = [
        engine.VmEntry(
            vm=vm, url="", failure_domain=DOMAIN, fabric_domain="f", accelerators=8,
            leaving=vm in leaving,
        )
        for vm in listed
    ]  # fmt: skip
    views = [make_view(name, state, tuple(members)) for name, (state, members) in groups.items()]
    return measures.take_sample(DOMAIN, [model], views, vms, lambda vm: vm not in silent)


class TestSample:
    @pytest.mark.parametrize(
        ("groups", "options", "down", "stranded"),
        [
            ({"g": ("whole", "abcd")}, {}, 0, 0),
            ({"g": ("whole", "ab")}, {}, 0, 16),  # Reserves are stranded.
            ({"g": ("forming", "abcd")}, {}, 1, 32),
            ({"g": ("broken", "abcd")}, {"silent": "c"}, 1, 24),  # The silent VM does not count.
            ({"g": ("draining", "abcd")}, {}, 0, 0),  # A draining group still serves.
            ({}, {}, 1, 32),  # A requested group that was never formed.
            ({}, {"wanted": 0}, 0, 32),
            ({"g": ("whole", "ab"), "h": ("whole", "cd")}, {}, 0, 0),  # More groups than requested.
            ({"g": ("whole", "ab"), "h": ("broken", "cd")}, {"wanted": 2}, 1, 16),
            ({"g": ("broken", "abcd")}, {"listed": "abc"}, 1, 24),  # VM d is not listed.
            ({"g": ("broken", "abcd")}, {"silent": "d", "listed": "abcd"}, 1, 24),  # The list lags.
            ({"g": ("whole", "ab")}, {"leaving": "cd"}, 0, 0),
        ],
    )
    def test_down_groups_and_stranded_accelerators(self, groups, options, down, stranded):
        sample = make_sample(groups, **options)
        assert (sample.down_groups, sample.stranded_accelerators) == (down, stranded)


class TestMeasures:
    def test_time_is_weighted_by_the_previous_sample(self):
        measured = measures.Measures()
        broken = make_sample({"g": ("broken", "abcd")}, silent="c")
        whole = make_sample({"g": ("whole", "abcd")})
        for at_ms, sample in ((0, whole), (1000, broken), (4000, broken), (5000, whole)):
            measured.advance(sample, ["g"], at_ms)
        measured.advance(whole, ["g"], 9000)
        assert measured.group_downtime_ms == 4000
        assert measured.downtime_by_group_ms == {"g": 4000}
        assert measured.stranded_accelerator_ms == 4000 * 24

    def test_unchanged_layout_accumulates_downtime(self):
        measured = measures.Measures()
        for second in range(31):
            measured.advance(make_sample({"g": ("broken", "abcd")}), ["g"], second * MS_PER_S)
        assert measured.group_downtime_ms == 30_000

    def test_pause_of_the_process_is_counted_as_unmeasured(self):
        measured = measures.Measures()
        broken = make_sample({"g": ("broken", "abcd")})
        for at_ms in (0, 1000, 61_000, 62_000):
            measured.advance(broken, ["g"], at_ms)
        assert measured.group_downtime_ms == 2000
        assert measured.unmeasured_ms == 60_000

    def test_group_that_left_the_layout_is_removed(self):
        measured = measures.Measures()
        measured.advance(make_sample({"g": ("broken", "abcd")}), ["g"], 0)
        measured.advance(make_sample({}), [], 1000)
        assert measured.downtime_by_group_ms == {}
        assert measured.group_downtime_ms == 1000

    def test_metrics_are_seconds(self):
        measured = measures.Measures()
        measured.advance(make_sample({"g": ("broken", "abcd")}), ["g"], 0)
        measured.advance(make_sample({"g": ("broken", "abcd")}), ["g"], 2500)
        metrics = metric.Metrics()
        measured.export(DOMAIN, metrics)
        assert metrics.counter_value("group_downtime_seconds_total", failure_domain=DOMAIN) == 2.5
        assert (
            metrics.counter_value("stranded_accelerator_seconds_total", failure_domain=DOMAIN) == 80
        )
