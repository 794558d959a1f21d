"""Links between daemons whose connections carry nothing any more."""

import msgspec
import pytest

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork.generated import notices
from tanagerfork.relay import calls, link_checks, peers
from tanagerfork_standins import proxy
from tests.relay import deployments

STABLE_MS = 3000
ADDRESS = "127.0.0.1:1"


class RenewedLinks:
    """Records which links are renewed."""

    def __init__(self) -> None:
        self.renewed: list[str] = []

    def renew(self, address: str) -> None:
        self.renewed.append(address)


def make_notice(**fields: object) -> notices.Notice:
    return notices.Notice(
        daemon="d1", rules_version=1, loads=[], silent=[], has_loads=True, **fields
    )


def hear(age_ms: int) -> notices.Notice:
    return make_notice(heard=[notices.HeardDaemon(daemon="d0", age_ms=age_ms)])


class Case:
    """Link checks of d0, which sends to d1 in rounds."""

    def __init__(self) -> None:
        self.clock, self.links = clocks.ManualClock(), RenewedLinks()
        self.lines = deployments.LineList()
        log = decisions.DecisionLog("d0", self.clock, self.lines)
        self.checks = link_checks.LinkChecks("d0", self.links, self.clock, log)
        self.checks.check("d1", ADDRESS)
        self.links.renewed.clear()

    def run(self, length_ms: int, notice: notices.Notice | None) -> int:
        """Return how often the link was renewed while d1 sent a notice each round."""
        self.links.renewed.clear()
        for _ in range(0, length_ms, peers.LOAD_INTERVAL_MS):
            self.clock.advance(peers.LOAD_INTERVAL_MS)
            if notice is not None:
                self.checks.note_notice(notice)
            self.checks.list_heard()
            self.checks.check("d1", ADDRESS)
        return len(self.links.renewed)


class TestLinkChecks:
    def test_link_whose_receiver_hears_this_daemon_is_kept(self) -> None:
        case = Case()
        assert case.run(60_000, hear(350)) == 0
        assert not case.lines.find("link renewed")

    @pytest.mark.parametrize("notice", [None, make_notice(heard=[])])
    def test_link_is_renewed_well_within_the_stable_time(
        self, notice: notices.Notice | None
    ) -> None:
        case = Case()
        case.run(60_000, hear(100))
        assert case.run(STABLE_MS * 2 // 3, notice) == 1
        assert case.links.renewed == [ADDRESS]
        assert len(case.lines.find("link renewed", "d1")) == 1

    def test_receiver_that_stays_away_gets_few_connections(self) -> None:
        case = Case()
        case.run(60_000, hear(100))
        assert case.run(60_000, None) <= 60_000 / link_checks.MAX_SILENCE_MS + 1
        assert len(case.lines.find("link renewed")) == 1

    def test_what_was_heard_before_the_new_connection_does_not_confirm_it(self) -> None:
        case = Case()
        case.run(60_000, hear(100))
        case.run(link_checks.SILENCE_MS, None)
        case.clock.advance(100)
        case.checks.note_notice(hear(1700))
        assert case.run(link_checks.MAX_SILENCE_MS + peers.LOAD_INTERVAL_MS, None) == 1

    def test_link_without_rounds_is_renewed_before_a_send(self) -> None:
        """As in a large fleet, in which most daemons hear each other by chance."""
        case = Case()
        case.clock.advance(60_000)
        case.checks.list_heard()
        case.checks.check("d1", ADDRESS)
        assert case.links.renewed == [ADDRESS]
        assert not case.lines.find("link renewed")

    def test_earlier_builds_that_are_heard_are_taken_to_hear(self) -> None:
        assert Case().run(60_000, make_notice()) == 0

    def test_those_heard_recently_are_told(self) -> None:
        case = Case()
        case.checks.note_notice(make_notice())
        case.clock.advance(100)
        assert case.checks.list_heard() == [notices.HeardDaemon(daemon="d1", age_ms=100)]
        case.clock.advance(link_checks.MAX_SILENCE_MS)
        assert case.checks.list_heard() == []


class TestSilentConnections:
    async def test_notices_arrive_again_after_the_open_connections_went_silent(self) -> None:
        async with deployments.deploy(daemon_count=2, engines=0, plain=0) as deployed:
            await deployed.wait_until(
                lambda: all(len(daemon.directory.daemons) == 2 for daemon in deployed.daemons),
                "two daemons",
            )
            paths = [proxy.Proxy(daemon.peers.address) for daemon in deployed.daemons]
            for path, daemon, other in zip(
                paths, deployed.daemons, reversed(deployed.daemons), strict=True
            ):
                await path.start()
                name = daemon.settings.name
                record = other.directory.daemons[name]
                other.directory.daemons[name] = msgspec.structs.replace(
                    record, address=path.address
                )
            upstream = "h"
            sender, receiver = deployed.daemons
            sender.book.begin(upstream, 10)
            await deployed.wait_until(
                lambda: receiver.book.find(upstream).peer_open == 1, "load before the silence"
            )
            for path in paths:
                path.silence()
            sender.book.end(upstream, calls.Outcome.ANSWERED, 100, 0)
            sender.book.begin(upstream, 10)
            sender.book.begin(upstream, 10)
            await deployed.wait_until(
                lambda: receiver.book.find(upstream).peer_open == 2,
                "load after the silence",
                STABLE_MS / 1000,
            )
            assert receiver.directory.daemons[sender.settings.name].address == paths[0].address
            for path in paths:
                await path.stop()
