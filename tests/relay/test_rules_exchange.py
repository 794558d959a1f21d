"""Configurations that daemons get from each other while the store does not serve them."""

import base64
import random
import zlib

import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.platform import config
from tanagerfork.relay import fleet, followers, peers, rules, rules_exchange
from tanagerfork_standins import proxy
from tanagerfork_standins.platform import site as sites
from tests.relay import deployments, test_forwarding

NAMES = 4300  # Of routes whose names do not repeat: 1 MB, the largest value of the store.


def find_version(deployed: deployments.Deployment, daemon: int) -> int:
    current = deployed.daemons[daemon].register.current
    return current.version if current else 0


async def write_config_past(deployed: deployments.Deployment, daemon: int) -> None:
    """Write a configuration that all daemons but one read from the store."""
    count = len(deployed.daemons)
    await deployed.wait_until(
        lambda: all(len(one.directory.daemons) == count for one in deployed.daemons), "the daemons"
    )
    deployed.networks[daemon].store_path.cut(proxy.Cut.REFUSES)
    deployed.site.write_config()
    version = deployed.site.version - 1
    others = [index for index in range(count) if index != daemon]
    await deployed.wait_until(
        lambda: all(find_version(deployed, index) == version for index in others),
        "the new configuration",
    )


class TestWithoutStore:
    async def test_daemon_that_others_hand_over_to_gets_their_newer_rules(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            await write_config_past(deployed, 1)
            await test_forwarding.cut_off(deployed)

            await deployed.ask("/unsafe/first", "POST")
            await deployed.wait_until(lambda: find_version(deployed, 1) == 2, "the rules", 1.5)
            await deployed.wait_until(
                lambda: deployed.daemons[0]._forwarder.choose_daemon("svc", ()), "a taker", 0.5
            )
            assert (await deployed.ask("/unsafe/x", "POST")).status == 200

    async def test_daemon_that_refused_hears_the_version_before_the_next_round_of_notices(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(peers, "LOAD_INTERVAL_MS", 60_000)
        domains = ("a", "b")  # Else changes of the store would name the version as well.
        async with deployments.deploy(4, 2, 2, True, True, domains) as deployed:
            await deployed.wait_for_group()
            await write_config_past(deployed, 1)
            await test_forwarding.cut_off(deployed)
            await deployed.ask("/unsafe/first", "POST")
            await deployed.wait_until(lambda: find_version(deployed, 1) == 2, "the rules", 1.5)

    async def test_daemon_that_handed_over_gets_the_rules_of_the_answer(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            deployed.site.extra_routes.append(sites.make_plain_route("newer"))
            await write_config_past(deployed, 0)
            assert (await deployed.ask("/unsafe/x", "POST")).status == 200
            await deployed.wait_until(lambda: find_version(deployed, 0) == 2, "the rules", 1.5)
            assert (await deployed.ask("/newer/x")).status == 200

    async def test_daemon_without_need_waits_for_the_store(self) -> None:
        async with deployments.deploy(daemon_count=2, has_networks=True) as deployed:
            await deployed.wait_for_group()
            await write_config_past(deployed, 1)
            heard = deployed.daemons[1].peers.rules_exchange._heard
            await deployed.wait_until(lambda: heard["daemon-1"][0] == 2, "a notice")
            assert (await deployed.ask("/unsafe/x", "POST", daemon=1)).status == 200
            assert find_version(deployed, 1) == 1

    async def test_largest_configuration_is_passed_on(self) -> None:
        async with deployments.deploy(engines=0, daemon_count=2, has_networks=True) as deployed:
            rng = random.Random(1)
            deployed.site.extra_routes = [
                sites.make_plain_route(f"r{rng.randbytes(8).hex()}") for _ in range(NAMES)
            ]
            await deployed.wait_for_rules()
            await write_config_past(deployed, 1)
            deployed.daemons[1].peers.rules_exchange.want()
            await deployed.wait_until(lambda: find_version(deployed, 1) == 2, "the rules")


class Exchanger:
    """A daemon's exchange, and what it sends."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.metrics = metric.Metrics()
        self.register = rules.RulesRegister()
        log = decisions.DecisionLog("d0", self.clock, deployments.LineList())
        follower = followers.RulesFollower(
            config.CONFIG_KEY, config.decode_rules, self.register, fleet.Fleet(), log
        )
        self.asked: list[tuple[str, int]] = []
        self.sent: list[tuple[str, str]] = []
        self.announced = 0
        self.exchange = rules_exchange.RulesExchange(
            self.register,
            follower,
            lambda name, version: self.asked.append((name, version)),
            self.send,
            self.announce,
            self.clock,
            random.Random(1),
            log,
            self.metrics,
        )
        follower.apply_copy(make_config(1), "d9")

    def send(self, name: str, packed: str) -> bool:
        self.sent.append((name, packed))
        return True

    def announce(self) -> None:
        self.announced += 1

    def hear(self, daemon: str, version: int, **fields: object) -> None:
        self.exchange.hear(
            notices.Notice(daemon=daemon, rules_version=version, loads=[], silent=[], **fields)
        )

    def count(self, outcome: str) -> float:
        return self.metrics.counter_value("relay_rules_copies_total", outcome=outcome)


def make_config(version: int) -> bytes:
    site = sites.Site(engine_count=0, plain_count=0)
    site.version = version
    return msgspec.json.encode(site.make_config())


def pack(value: bytes) -> str:
    return base64.b64encode(zlib.compress(value)).decode()


class TestAsking:
    def test_daemon_with_the_newest_rules_is_asked_once_an_interval(self) -> None:
        one = Exchanger()
        one.hear("d1", 2)
        one.hear("d2", 3)
        one.exchange.want()
        one.exchange.want()
        assert one.asked == [("d2", 2)]
        one.clock.advance(rules_exchange.ASK_INTERVAL_MS)
        one.exchange.want()
        assert one.asked == [("d2", 2)] * 2

    def test_daemon_is_asked_when_it_tells_a_newer_version_after_the_need(self) -> None:
        one = Exchanger()
        one.hear("d1", 1)
        one.exchange.want()
        assert not one.asked
        one.hear("d1", 2)
        assert one.asked == [("d1", 2)]

    def test_nothing_is_asked_without_need_or_of_a_daemon_not_heard_lately(self) -> None:
        one = Exchanger()
        one.hear("d1", 2)
        assert not one.asked
        one.clock.advance(rules_exchange.VERSION_TTL_MS)
        one.exchange.want()
        assert not one.asked


class TestAnswers:
    def test_configuration_is_sent_to_a_daemon_that_asks_for_it_or_an_older_one(self) -> None:
        one = Exchanger()
        one.hear("d1", 0, wanted_rules=2)
        assert not one.sent
        one.hear("d1", 0, wanted_rules=1)
        assert one.sent == [("d1", pack(make_config(1)))]

    def test_newer_configuration_is_applied_and_announced(self) -> None:
        one = Exchanger()
        one.hear("d1", 2, rules=pack(make_config(2)))
        assert one.register.current is not None and one.register.current.version == 2
        assert (one.announced, one.count("applied")) == (1, 1)
        one.hear("d2", 0, wanted_rules=2)
        assert one.sent == [("d2", pack(make_config(2)))]

    @pytest.mark.parametrize("claimed", [1, 2])
    def test_older_configuration_changes_nothing(self, claimed: int) -> None:
        one = Exchanger()
        one.hear("d1", claimed, rules=pack(make_config(1)))
        assert one.register.current is not None and one.register.current.version == 1
        assert (one.announced, one.count("applied")) == (0, 0)

    @pytest.mark.parametrize(
        "packed",
        [
            "no base64",
            base64.b64encode(b"no zlib").decode(),
            base64.b64encode(zlib.compress(make_config(2))[:-9]).decode(),
            pack(b" " * (rules_exchange.MAX_CONFIG_BYTES + 1)),
        ],
        ids=["no base64", "no zlib", "cut short", "too large"],
    )
    def test_unreadable_configuration_changes_nothing(self, packed: str) -> None:
        one = Exchanger()
        one.hear("d1", 2, rules=packed)
        assert one.register.current is not None and one.register.current.version == 1
        assert (one.announced, one.count("unreadable")) == (0, 1)
