"""Upstreams that crash if all daemons together send them too much just after their start."""

import asyncio
import bisect
import collections
import math
import random
from collections.abc import Iterable

import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.platform import config, entries
from tanagerfork.relay import cold_limits, loads, members, placing, rules
from tests.relay import deployments

UPSTREAM = members.Upstream("u", "ledger", "", "a", False, 13, born_at_ms=1, cold_left_ms=3000)
SERVICE = rules.Service("ledger", 100, cold_start_ms=3000, cold_per_s=17)
FREE_SERVICE = rules.Service("ledger", 100)
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "seq": 1,
    "born": 7,
}
MAX_PER_S = 30  # 1.5 times 17 plus 5.
MEMBERSHIP = members.GroupMembership("g", 1, 0, members.MemberState.OPEN)


def replace(**changes: object) -> members.Upstream:
    fields = {name: getattr(UPSTREAM, name) for name in UPSTREAM.__dataclass_fields__}
    return members.Upstream(**{**fields, **changes})  # type: ignore[arg-type]


def make_limits(
    names: Iterable[str] = ("d0",), name: str = "d0", rng: random.Random | None = None
) -> cold_limits.ColdLimits:
    log = decisions.DecisionLog(name, clocks.ManualClock(), deployments.LineList())
    limits = cold_limits.ColdLimits(name, rng or random.Random(1), log, metric.Metrics())
    limits.follow_daemons(list(names), -cold_limits.START_HOLD_MS)
    return limits


def count_allowed(
    limits: cold_limits.ColdLimits,
    from_ms: int,
    to_ms: int,
    upstream: members.Upstream = UPSTREAM,
    service: rules.Service = SERVICE,
) -> int:
    """Return how many requests are sent if one could be sent every 10 ms."""
    sent = 0
    for now_ms in range(from_ms, to_ms, 10):
        if limits.may_send(upstream, service, now_ms):
            limits.note_sent(upstream, now_ms)
            sent += 1
    return sent


class TestDecoding:
    @pytest.mark.parametrize(
        ("text", "cold_ms"),
        [("1500", 1500.0), ("0.5", 0.5), ("1e9", entries.MAX_COLD_MS)]
        + [(text, 0.0) for text in ("0", "-3")]
        + [(text, None) for text in ("null", '"3"', "true", "[1]", "{}", "1e999")],
    )
    def test_cold_time_that_is_no_number_loses_an_entry_but_no_report(
        self, text: str, cold_ms: float | None
    ) -> None:
        """An entry with a field of another type is from another writer, a report is its own."""
        fields = msgspec.json.encode(ENTRY)[:-1] + b', "coldLeftMs": ' + text.encode() + b"}"
        entry = entries.decode_entry("servers/u", fields)
        report = entries.decode_report(b'{"coldLeftMs": ' + text.encode() + b"}")
        if cold_ms is None:
            assert entry is None
        else:
            assert entry is not None and (entry.cold_left_ms, entry.born_at_ms) == (cold_ms, 7)
        assert report is not None and report.cold_left_ms == (cold_ms or 0.0)

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [({"coldStartS": 3, "coldPerS": 17}, (3000, 17)), ({}, (0, 0)), ({"coldPerS": -1}, (0, 0))],
    )
    def test_service(self, fields: dict[str, float], expected: tuple[float, float]) -> None:
        value = {"version": 1, "routes": [], "services": [{"name": "s", **fields}]}
        found = config.decode_rules(msgspec.json.encode(value)).unwrap().services["s"]
        assert (found.cold_start_ms, found.cold_per_s) == expected


class TestColdTimes:
    """When an upstream counts as cold."""

    def is_limited(self, limits: cold_limits.ColdLimits, upstream: members.Upstream, at: int):
        return not math.isclose(count_allowed(limits, at, at + 200, upstream), 20)

    def test_entry_says_so_until_its_time_has_passed(self) -> None:
        limits = make_limits()
        limits.record_list([UPSTREAM], 0)
        assert self.is_limited(limits, UPSTREAM, 2700)
        assert not self.is_limited(limits, UPSTREAM, 3000)

    def test_entry_that_is_read_again_does_not_prolong_the_time(self) -> None:
        limits = make_limits()
        for now_ms in (0, 2000):
            limits.record_list([UPSTREAM], now_ms)
        limits.record_list([replace(refresh_count=1, cold_left_ms=0)], 2500)
        assert self.is_limited(limits, UPSTREAM, 2700)
        assert not self.is_limited(limits, UPSTREAM, 3000)

    def test_start_counts_though_the_entry_does_not_say_so(self) -> None:
        limits = make_limits()
        limits.record_list([replace(cold_left_ms=0)], 0)
        later = replace(cold_left_ms=0, born_at_ms=2)
        limits.record_list([later, replace(id="new", cold_left_ms=0)], 1000)
        assert self.is_limited(limits, later, 3700) and not self.is_limited(limits, later, 4000)
        assert self.is_limited(limits, replace(id="new", cold_left_ms=0), 1100)

    def test_upstreams_of_the_first_list_and_older_entries_have_not_started(self) -> None:
        limits = make_limits()
        limits.record_list([replace(cold_left_ms=0, born_at_ms=5)], 0)
        limits.record_list([], 1000)
        limits.record_list([replace(cold_left_ms=0, born_at_ms=5)], 2000)
        limits.record_list([replace(cold_left_ms=0, born_at_ms=4)], 2100)
        assert not self.is_limited(limits, replace(cold_left_ms=0, born_at_ms=5), 2200)

    def test_upstreams_of_a_failure_domain_after_its_evacuation(self) -> None:
        limits = make_limits()
        other = replace(id="other", failure_domain="b", cold_left_ms=0)
        limits.record_list([replace(cold_left_ms=0), other], 0)
        limits.record_evacuation_end({"a"}, 5000)
        assert self.is_limited(limits, replace(cold_left_ms=0), 7700)
        assert not self.is_limited(limits, other, 5100)
        assert not self.is_limited(limits, replace(cold_left_ms=0), 8000)

    def test_service_without_a_limit(self) -> None:
        limits = make_limits()
        limits.record_list([UPSTREAM], 0)
        assert count_allowed(limits, 0, 1000, service=FREE_SERVICE) == 100

    def test_log_has_a_line_for_each_cold_time_and_none_for_requests(self) -> None:
        lines = deployments.LineList()
        log = decisions.DecisionLog("d0", clocks.ManualClock(), lines)
        limits = cold_limits.ColdLimits("d0", random.Random(1), log, metric.Metrics())
        limits.follow_daemons(["d0"], -cold_limits.START_HOLD_MS)
        limits.record_list([UPSTREAM], 0)
        sent = count_allowed(limits, 0, 3000)
        limits.follow_daemons(["d0"], 3000)
        assert len(lines.lines) == 2 and lines.find("no longer cold", f'"sends":{sent}')


class TestShares:
    @pytest.mark.parametrize("daemon_count", [1, 2, 5, 9, 13, 14, 16, 17, 18, 26, 125])
    @pytest.mark.parametrize("per_s", [0.5, 1.0, 3.5, 17.0, 60.0])
    def test_sum_is_bounded_by_construction(self, per_s: float, daemon_count: int) -> None:
        """Senders and spares that all send at the earliest moments stay below the tolerance."""
        plan = cold_limits.plan_sends(per_s, daemon_count)
        per_window = math.ceil(cold_limits.WINDOW_MS / plan.interval_ms)
        assert (plan.senders + plan.spares) * per_window <= per_s * 1.5 + 5
        assert plan.senders * 1000 / plan.interval_ms > 0.6 * min(per_s, daemon_count)

    @pytest.mark.parametrize("per_s", [0.5, 2.0, 17.0])
    def test_single_daemon_uses_the_limit(self, per_s: float) -> None:
        limits = make_limits()
        upstream, service = replace(cold_left_ms=20_000), rules.Service("s", 1, None, 0, per_s)
        limits.record_list([upstream], 0)
        sent = count_allowed(limits, 0, 20_000, upstream, service)
        assert 0.75 * per_s * 20 - 1 <= sent <= per_s * 20

    @pytest.mark.parametrize("names", [["d0"], ["d0", "d1"]])
    def test_daemon_that_has_just_started_waits_until_all_know_each_other(
        self, names: list[str]
    ) -> None:
        """Also if it finds no other: after a loss of the store, all write their entries again."""
        limits, upstream = make_limits([]), replace(cold_left_ms=9000)
        limits.record_list([upstream], 0)
        assert not limits.may_send(upstream, SERVICE, 0)  # It does not know the directory yet.
        limits.follow_daemons(names, 0)
        hold_ms = int(cold_limits.START_HOLD_MS)
        assert not count_allowed(limits, 0, hold_ms, upstream)
        assert 0 < count_allowed(limits, hold_ms, hold_ms + 1000, upstream) <= 17

    def test_caller_is_told_when_a_share_or_the_end_comes(self) -> None:
        names = [f"d{number}" for number in range(125)]
        waits, rng = [], random.Random(1)
        for name in names:
            limits = make_limits(names, name, rng)
            limits.record_list([UPSTREAM], 0)
            assert not limits.may_send(UPSTREAM, SERVICE, 0)
            waits.append(limits.measure_wait_ms(UPSTREAM, SERVICE, 0))
            if waits[-1] < 3000 and limits.may_send(UPSTREAM, SERVICE, waits[-1]):
                limits.note_sent(UPSTREAM, waits[-1])
                expected_ms = min(1100, 3000 - waits[-1])
                wait_ms = limits.measure_wait_ms(UPSTREAM, SERVICE, waits[-1])
                assert wait_ms == pytest.approx(expected_ms)
        assert waits.count(3000) == 125 - 17 - 8
        assert len({round(wait) for wait in waits}) > 20  # They do not all send at once.


class TestRamp:
    def test_only_starts_during_traffic_ramp_up(self) -> None:
        limits = make_limits()
        limits.record_list([replace(cold_left_ms=0)], 0)
        limits.record_list([replace(cold_left_ms=0), replace(id="v", cold_left_ms=0)], 0)
        limits.may_send(UPSTREAM, FREE_SERVICE, 10)
        limits.record_list([replace(cold_left_ms=0), replace(id="w", cold_left_ms=0)], 100)
        assert limits.compute_ramp_share(UPSTREAM, 100) == 1
        assert limits.compute_ramp_share(replace(id="v"), 100) == 1
        shares = [limits.compute_ramp_share(replace(id="w"), at) for at in range(100, 3200, 500)]
        assert shares[0] == cold_limits.MIN_RAMP_SHARE and shares == sorted(shares)
        assert limits.compute_ramp_share(replace(id="w"), 3100) == 1

    def test_head_that_has_run_for_long_takes_all_requests_of_a_new_group(self) -> None:
        """A repaired group is needed whole in an overload."""
        limits = make_limits()
        limits.record_list([replace(cold_left_ms=0)], 0)
        limits.may_send(UPSTREAM, FREE_SERVICE, 10)
        limits.record_list([replace(cold_left_ms=0, membership=MEMBERSHIP)], 5000)
        assert limits.compute_ramp_share(UPSTREAM, 5000) == 1

    def test_limit_of_a_cold_upstream_replaces_the_ramp(self) -> None:
        limits = make_limits()
        limits.record_list([replace(id="v", cold_left_ms=0)], 0)
        limits.may_send(replace(id="v", cold_left_ms=0), SERVICE, 10)
        limits.record_list([replace(id="v", cold_left_ms=0), UPSTREAM], 100)
        assert limits.compute_ramp_share(UPSTREAM, 100) == cold_limits.MIN_RAMP_SHARE
        limits.may_send(UPSTREAM, SERVICE, 100)
        assert limits.compute_ramp_share(UPSTREAM, 100) == 1
        assert limits.compute_ramp_share(UPSTREAM, 3100) == 1

    @pytest.mark.parametrize("share", [0.1, 0.5, 1.0])
    def test_placing_gives_a_new_upstream_its_share_though_it_is_the_emptiest(
        self, share: float
    ) -> None:
        book = loads.LoadBook()
        for _ in range(10):
            book.begin("old", 0)
        placer = placing.Placer(
            random.Random(1), book, lambda upstream, now_ms: share if upstream.id == "new" else 1.0
        )
        upstreams = [replace(id="old"), replace(id="new")]
        chosen = [placer.choose_plain(upstreams, (), 0) for _ in range(1000)]
        counts = collections.Counter(choice.upstream.id for choice in chosen if choice)
        assert counts["new"] / 1000 == pytest.approx(share, abs=0.05)
        assert placer.choose_plain(upstreams[1:], (), 0) is not None  # No other is left.


class Fleet:
    """Daemons that share a cold upstream, each with its own view of the directory."""

    LENGTH_MS, STEP_MS = 20_000, 40
    MAX_DELAY_MS = 90  # Of a request on its way.

    def __init__(self, daemon_count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.upstream = replace(cold_left_ms=100_000)
        self.names = [f"d{number}" for number in range(daemon_count)]
        self.known = {name: list(self.names) for name in self.names}
        self.limits = {name: make_limits(self.names, name, self.rng) for name in self.names}
        for limits in self.limits.values():
            limits.record_list([self.upstream], 0)
        self.arrivals_ms: list[float] = []

    def play(self, busy_count: int, step_views=lambda now_ms: None) -> "Fleet":
        """Let `busy_count` daemons have a request for the upstream at all times."""
        busy = set(self.rng.sample(self.names, busy_count))
        step_ms = max(5, self.STEP_MS * len(self.names) // 125)
        for now_ms in range(0, self.LENGTH_MS, step_ms):
            step_views(now_ms)
            for name, limits in list(self.limits.items()):
                if busy_count < len(self.names) and name not in busy:
                    continue
                if limits.may_send(self.upstream, SERVICE, now_ms):
                    limits.note_sent(self.upstream, now_ms)
                    delay_ms = self.rng.uniform(0, step_ms + self.MAX_DELAY_MS)
                    self.arrivals_ms.append(now_ms + delay_ms)
        return self

    @property
    def mean_per_s(self) -> float:
        return len(self.arrivals_ms) * 1000 / self.LENGTH_MS

    def find_fullest_second(self) -> int:
        times = sorted(self.arrivals_ms)
        return max(bisect.bisect_left(times, at + 1000) - n for n, at in enumerate(times))

    def start_daemon(self, name: str, now_ms: int) -> None:
        limits = make_limits([], name, self.rng)
        limits.follow_daemons([*self.limits, name], now_ms)
        limits.record_list([self.upstream], now_ms)
        self.limits[name] = limits


SEEDS = range(1, 21)


class TestFleet:
    """125 daemons and a limit of 17 a second; arrivals are counted in any second."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_all_daemons_have_work(self, seed: int) -> None:
        fleet = Fleet(125, seed).play(125)
        assert fleet.find_fullest_second() <= MAX_PER_S
        assert 17 <= fleet.mean_per_s <= 1.2 * 17

    def test_few_daemons_have_work(self) -> None:
        """Ten busy daemons use the part of the rate that is theirs, on average over upstreams."""
        fleets = [Fleet(125, seed) for seed in SEEDS]
        for number, fleet in enumerate(fleets):
            fleet.upstream = replace(id=f"u{number}", cold_left_ms=100_000)
            for limits in fleet.limits.values():
                limits.record_list([fleet.upstream], 0)
            fleet.play(10)
        per_s = sum(fleet.mean_per_s for fleet in fleets) / len(fleets)
        assert per_s > 17 * 10 / 125

    @pytest.mark.parametrize("daemon_count", [1, 3, 10, 16, 24])
    def test_few_daemons_exist(self, daemon_count: int) -> None:
        for seed in (1, 2, 3):
            fleet = Fleet(daemon_count, seed).play(daemon_count)
            assert fleet.find_fullest_second() <= MAX_PER_S
            assert fleet.mean_per_s >= 0.75 * 17

    @pytest.mark.parametrize("seed", SEEDS)
    def test_daemons_come_go_and_are_cut_off(self, seed: int) -> None:
        """A third is cut off from the store for good; others go and new ones start each second."""
        fleet = Fleet(125, seed)
        cut_off = set(fleet.rng.sample(fleet.names, 42))
        pending: list[tuple[int, str, bool]] = []  # When the others learn what came or went.
        listed = list(fleet.names)

        def step(now_ms: int) -> None:
            if now_ms and now_ms % 1000 == 0:
                gone = fleet.rng.choice([name for name in fleet.limits if name not in cut_off])
                del fleet.limits[gone]
                new = f"n{now_ms}"
                fleet.start_daemon(new, now_ms)
                pending.append((now_ms + 6000, gone, False))
                pending.append((now_ms + fleet.rng.randint(500, 2900), new, True))
            if now_ms == 6000:
                pending.extend((now_ms, name, False) for name in cut_off)
            for item in [item for item in pending if item[0] <= now_ms]:
                pending.remove(item)
                listed.append(item[1]) if item[2] else listed.remove(item[1])
            for name, limits in fleet.limits.items():
                if name not in cut_off and now_ms % 500 == 0:
                    limits.follow_daemons({*listed, name}, now_ms)

        fleet.play(125, step)
        assert fleet.find_fullest_second() <= MAX_PER_S


class TestRefusal:
    """A daemon whose only upstreams of a service are cold."""

    @pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
    async def test_callers_beyond_the_share_are_told_when_the_next_one_comes(
        self, path: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(cold_limits, "START_HOLD_MS", 0.0)
        is_stream = path.startswith("/stream")
        async with deployments.deploy(engines=2 * is_stream, plain=1 - is_stream) as deployed:
            if is_stream:
                await deployed.wait_for_group()
            deployed.site.cold_per_s = 1.0
            deployed.site.write_config()
            view, register = deployed.daemons[0].view, deployed.daemons[0].register
            runners = [*deployed.site.engine_runners, *deployed.site.plain_runners]
            for member in runners:
                member.become_cold(60)
            await deployed.wait_until(
                lambda: register.current
                and register.current.version == 2
                and [found for found in view.upstreams if found.cold_left_ms],
                "limit and cold entries",
            )
            answers = []
            for _ in range(25):
                answers.append(await deployed.ask(path, "POST" if is_stream else "GET"))
                await asyncio.sleep(0.1)
            refused = [answer for answer in answers if answer.status != 200]
            assert 1 <= len(answers) - len(refused) <= 4
            assert {answer.status for answer in refused} == {503}
            assert all(0 < float(answer.headers["Retry-After"]) <= 1.1 for answer in refused)
            assert sum(len(member.requests) for member in runners) <= 4
