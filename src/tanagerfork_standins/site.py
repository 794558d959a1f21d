"""A whole site of stand-ins: platform, model engines and plain services."""

import asyncio
import pathlib
import signal
import sys

import aiohttp.web
import msgspec
import pyjson5

from tanagerfork.generated import engine as engine_records
from tanagerfork_standins import engine, faults, key_value, listener, service, weights


class VmPlan(msgspec.Struct, forbid_unknown_fields=True):
    """VMs of one fabric domain."""

    failure_domain: str
    fabric_domain: str
    vms: int
    pool: str = ""
    accelerators: int = 8
    checks_fencing: bool = True
    first_port: int = 0


class ServicePlan(msgspec.Struct, forbid_unknown_fields=True):
    """One upstream of a plain service."""

    name: str
    service: str
    collection: str
    failure_domain: str
    port: int = 0


class SitePlan(msgspec.Struct, forbid_unknown_fields=True):
    """Stand-ins of a site, with their ports and timing."""

    vms: list[VmPlan]
    services: list[ServicePlan] = []
    key_value_port: int = 0
    control_port: int = 0
    vm_list_lag_ms: int = 0
    load_ms: int = 300
    loads_at_once: int = 4
    first_token_ms: float = 20.0
    token_gap_ms: float = 5.0
    slots: int = 16
    report_lag_ms: float = 0.0


class Site:
    """Runs the stand-ins of a site and serves its VM list and fault injection.

    :param plan: plan of the site.
    """

    def __init__(self, plan: SitePlan) -> None:
        self.plan = plan
        self.key_value = key_value.KeyValueStandIn(plan.key_value_port)
        self.control = listener.Listener(plan.control_port)
        self.weights = weights.WeightStore(plan.load_ms, plan.loads_at_once)
        self.engines: dict[str, engine.Engine] = {}
        self.services: dict[str, service.ServiceStandIn] = {}
        self.records: dict[str, service.RecordList] = {}
        self._vm_list_json = b'{"vms": []}'
        self._vm_list_task: asyncio.Task[None] | None = None
        self._build_engines()
        self._build_services()
        self.faults = faults.FaultInjector(self.engines, self.key_value, self.services)
        self.control.app.router.add_get("/vms", self._serve_vms)
        self.control.app.router.add_post("/faults", self._serve_fault)

    @property
    def vm_list_url(self) -> str:
        """URL of the VM list."""
        return self.control.url + "/vms"

    async def start(self) -> None:
        """Start every stand-in."""
        await self.key_value.listener.start()
        for vm in self.engines.values():
            await vm.start()
        for upstream in self.services.values():
            await upstream.listener.start()
        self._refresh_vm_list()
        await self.control.start()
        self._vm_list_task = asyncio.create_task(self._keep_refreshing_vm_list())

    async def stop(self) -> None:
        """Stop every stand-in."""
        if self._vm_list_task is not None:
            self._vm_list_task.cancel()
        await self.control.stop()
        for upstream in self.services.values():
            await upstream.listener.stop()
        for vm in self.engines.values():
            await vm.stop()
        await self.key_value.listener.stop()

    def _build_engines(self) -> None:
        plan = self.plan
        profile = engine.EngineProfile(
            first_token_ms=plan.first_token_ms,
            token_gap_ms=plan.token_gap_ms,
            slots=plan.slots,
            report_lag_ms=plan.report_lag_ms,
        )
        for vm_plan in plan.vms:
            for number in range(vm_plan.vms):
                entry = engine_records.VmEntry(
                    vm=f"{vm_plan.fabric_domain}-vm{number}",
                    url="",
                    failure_domain=vm_plan.failure_domain,
                    fabric_domain=vm_plan.fabric_domain,
                    pool=vm_plan.pool,
                    accelerators=vm_plan.accelerators,
                    checks_fencing=vm_plan.checks_fencing,
                )
                port = vm_plan.first_port + number if vm_plan.first_port else 0
                self.engines[entry.vm] = engine.Engine(
                    entry, self.engines, self.weights, profile, port
                )

    def _build_services(self) -> None:
        for upstream in self.plan.services:
            records = self.records.setdefault(upstream.service, service.RecordList())
            self.services[upstream.name] = service.ServiceStandIn(
                upstream.name, upstream.collection, records, upstream.port
            )

    def _refresh_vm_list(self) -> None:
        listed = [vm.entry for vm in self.engines.values()]
        self._vm_list_json = msgspec.json.encode(engine_records.VmList(vms=listed))

    async def _keep_refreshing_vm_list(self) -> None:
        while True:
            await asyncio.sleep(max(self.plan.vm_list_lag_ms, 50) / 1000)
            self._refresh_vm_list()

    async def _serve_vms(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(body=self._vm_list_json, content_type="application/json")

    async def _serve_fault(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        try:
            await self.faults.inject(msgspec.json.decode(await request.read(), type=faults.Fault))
        except (msgspec.MsgspecError, faults.UnknownFault) as error:
            return aiohttp.web.Response(status=400, text=str(error))
        return aiohttp.web.Response(status=204)


def read_plan(path: pathlib.Path) -> SitePlan:
    """Read a site plan from a JSON5 file.

    :param path: path of the file.
    :return: the plan.
    """
    return msgspec.convert(pyjson5.decode(path.read_text()), type=SitePlan)


def clear_ports(plan: SitePlan) -> None:
    """Set every port of a plan to 0, so that the system chooses it.

    :param plan: plan; modified in place.
    """
    plan.key_value_port = plan.control_port = 0
    for vm_plan in plan.vms:
        vm_plan.first_port = 0
    for upstream in plan.services:
        upstream.port = 0


async def serve(plan: SitePlan) -> None:
    """Run a site until SIGINT or SIGTERM.

    :param plan: plan of the site.
    """
    site = Site(plan)
    await site.start()
    print(f"key-value service {site.key_value.listener.url}")
    print(f"VM list {site.vm_list_url}")
    for name, upstream in site.services.items():
        print(f"service {name} {upstream.listener.url}", flush=True)
    stopped = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await site.stop()


def main() -> None:
    """Run the site whose plan file is given on the command line."""
    if len(sys.argv) != 2:
        sys.exit("usage: tanagerfork-standins PLAN.json5")
    asyncio.run(serve(read_plan(pathlib.Path(sys.argv[1]))))
