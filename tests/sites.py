"""Runs small sites for tests, with listeners on ports that the operating system assigns."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Callable, Sequence

import aiohttp
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork import clock as clocks
from tanagerfork import daemon as daemons
from tanagerfork.bundles import signature
from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import settings as settings_records
from tanagerfork_standins import embedding, site

MODEL = "rota-writer"
SERVICE = "batch-ledger"
TOKEN = "test-token"
HOST = "127.0.0.1"
FAILURE_DOMAIN = "ipoh-a"
FAILURE_DOMAINS = ("ipoh-a", "ipoh-b", "taiping")
WAIT_TIMEOUT_S = 20


def make_plan(vms: int = 9, failure_domains: Sequence[str] = (FAILURE_DOMAIN,)) -> site.SitePlan:
    """Return a plan of two ledger upstreams and one fabric domain in each failure domain."""
    return site.SitePlan(
        vms=[
            site.VmPlan(failure_domain=domain, fabric_domain=f"f{number}", vms=vms)
            for number, domain in enumerate(failure_domains, start=1)
        ],
        services=[
            site.ServicePlan(
                name=f"ledger-{number}",
                service=SERVICE,
                collection="pressings",
                failure_domain=failure_domains[0],
            )
            for number in range(2)
        ],
        load_ms=20,
        first_token_ms=2,
        token_gap_ms=1,
        slots=64,
    )


def make_bundle(stand_ins: site.Site, groups: int = 2) -> bundle_records.Bundle:
    """Return a bundle of one model in each failure domain, one service and one team."""
    domains = dict.fromkeys(vm_plan.failure_domain for vm_plan in stand_ins.plan.vms)
    upstreams = [
        bundle_records.ServiceUpstream(
            name=name, failure_domain=FAILURE_DOMAIN, url=service.listener.url
        )
        for name, service in stand_ins.services.items()
    ]
    placement = [bundle_records.GroupCount(failure_domain=name, groups=groups) for name in domains]
    return bundle_records.Bundle(
        name="test",
        models=[
            bundle_records.Model(
                name=MODEL, version="1", members_per_group=4, placement=placement, token_gap_ms=5
            )
        ],
        services=[
            bundle_records.Service(
                name=SERVICE,
                upstreams=upstreams,
                repeatable=[bundle_records.Repeatable(method="GET", path_prefix="pressings")],
            )
        ],
        teams=[
            bundle_records.Team(
                name="shift-leads",
                token_sha256=[hashlib.sha256(TOKEN.encode()).hexdigest()],
                models=[MODEL],
                services=[SERVICE],
            )
        ],
    )


def make_settings(
    stand_ins: site.Site,
    operator_key: ed25519.Ed25519PrivateKey,
    name: str = "ipoh-a-1",
    failure_domain: str = FAILURE_DOMAIN,
) -> settings_records.Settings:
    """Return the settings of one daemon, which trusts the key of one operator."""
    listener = settings_records.Listener(host=HOST, port=0)
    return settings_records.Settings(
        name=name,
        failure_domain=failure_domain,
        callers=listener,
        operators=settings_records.OperatorSettings(host=HOST, port=0),
        peers=settings_records.PeerSettings(host=HOST, port=0, shared_key="test-shared-key"),
        platform=settings_records.PlatformSettings(
            key_value_url=stand_ins.key_value.listener.url,
            vm_list_url=stand_ins.vm_list_url,
            vm_list_interval_ms=100,
        ),
        operator_keys=[
            settings_records.OperatorKey(
                operator=embedding.OPERATOR,
                public_key=signature.encode_public_key(operator_key),
            )
        ],
        groups=settings_records.GroupSettings(
            observe_interval_ms=50, presence_ttl_ms=2000, plan_interval_ms=50
        ),
        limits=settings_records.LimitSettings(drain_limit_ms=10_000),
        seed=1,
    )


class RunningSite:
    """Running stand-ins, one daemon with a bundle in force, and an HTTP session for its callers."""

    def __init__(
        self,
        stand_ins: site.Site,
        daemon: daemons.Daemon,
        operator: embedding.EmbeddedSite,
        session: aiohttp.ClientSession,
    ) -> None:
        self.stand_ins = stand_ins
        self.daemon = daemon
        self.operator = operator
        self.session = session
        self.headers = {"Authorization": f"Bearer {TOKEN}"}

    @property
    def url(self) -> str:
        """Base address of the callers' listener."""
        return f"http://{HOST}:{self.daemon.callers_port}"

    @property
    def operators_url(self) -> str:
        """Base address of the operators' listener."""
        return f"http://{HOST}:{self.daemon.operators_port}"

    def count_whole_groups(self) -> int:
        """Return the number of whole groups that the daemon sees."""
        return len(self.daemon.groups.whole_groups(MODEL, self.daemon.clock.monotonic_ms()))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after `WAIT_TIMEOUT_S`."""
    for _ in range(WAIT_TIMEOUT_S * 100):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition was not met within the timeout")


@contextlib.asynccontextmanager
async def run_site(
    groups: int = 2,
    vms: int = 9,
    presence_ttl_ms: int = 2000,
    operators_token_sha256: str = "",
    key_value_timeout_ms: int = 1000,
) -> AsyncIterator[RunningSite]:
    """Start stand-ins and one daemon, yield once its groups are whole, and stop all at exit."""
    stand_ins = site.Site(make_plan(vms))
    await stand_ins.start()
    operator_key = ed25519.Ed25519PrivateKey.generate()
    settings = make_settings(stand_ins, operator_key)
    settings.groups.presence_ttl_ms = presence_ttl_ms
    settings.operators.token_sha256 = operators_token_sha256
    settings.platform.key_value_timeout_ms = key_value_timeout_ms
    daemon = daemons.Daemon(settings, clocks.SystemClock())
    await daemon.start()
    operator = embedding.EmbeddedSite(stand_ins, make_bundle(stand_ins, groups), operator_key)
    async with aiohttp.ClientSession() as session:
        running = RunningSite(stand_ins, daemon, operator, session)
        try:
            await operator.roll_bundle(daemon.store)
            await wait_until(lambda: running.count_whole_groups() == groups)
            yield running
        finally:
            await daemon.stop()
            await stand_ins.stop()


class RunningFleet:
    """Running stand-ins, daemons with a bundle in force, and an HTTP session for their callers."""

    def __init__(
        self,
        stand_ins: site.Site,
        daemons_by_name: dict[str, daemons.Daemon],
        operator: embedding.EmbeddedSite,
        session: aiohttp.ClientSession,
    ) -> None:
        self.stand_ins = stand_ins
        self.daemons = daemons_by_name
        self.sites = {
            name: RunningSite(stand_ins, daemon, operator, session)
            for name, daemon in daemons_by_name.items()
        }


@contextlib.asynccontextmanager
async def run_fleet(
    daemons_per_domain: int = 2,
    failure_domains: Sequence[str] = FAILURE_DOMAINS,
    groups: int = 1,
    vms: int = 5,
) -> AsyncIterator[RunningFleet]:
    """Start stand-ins and daemons in several failure domains, and stop all at exit.

    Yields once every daemon sees the groups of its failure domain whole.
    """
    stand_ins = site.Site(make_plan(vms, failure_domains))
    await stand_ins.start()
    operator_key = ed25519.Ed25519PrivateKey.generate()
    daemons_by_name: dict[str, daemons.Daemon] = {}
    for domain in failure_domains:
        for number in range(1, daemons_per_domain + 1):
            settings = make_settings(stand_ins, operator_key, f"{domain}-{number}", domain)
            settings.peers.seeds = [daemon.peers.address for daemon in daemons_by_name.values()]
            daemons_by_name[settings.name] = daemons.Daemon(settings, clocks.SystemClock())
            await daemons_by_name[settings.name].start()
    operator = embedding.EmbeddedSite(stand_ins, make_bundle(stand_ins, groups), operator_key)
    async with aiohttp.ClientSession() as session:
        fleet = RunningFleet(stand_ins, daemons_by_name, operator, session)
        try:
            await operator.roll_bundle(next(iter(daemons_by_name.values())).store)
            for running in fleet.sites.values():
                await wait_until(lambda running=running: running.count_whole_groups() == groups)
            yield fleet
        finally:
            await asyncio.gather(*(daemon.stop() for daemon in daemons_by_name.values()))
            await stand_ins.stop()
