"""Fault injection for a site of stand-ins."""

import msgspec

from tanagerfork_standins import engine, key_value, service

ENGINE_FAULT_FIELDS = (
    "refuse",
    "cut_after_tokens",
    "crossed",
    "no_end",
    "late_ms",
    "garbage",
    "lost_events",
)


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault to inject: its kind, its target, and its amount or word."""

    kind: str
    vm: str = ""
    fabric_domain: str = ""
    service: str = ""
    amount: float = 1.0
    word: str = ""


class UnknownFault(ValueError):
    """Unknown kind of fault, or unknown VM, fabric domain or service."""


class FaultInjector:
    """Injects faults into the stand-ins of a site.

    :param engines: engines by VM.
    :param store: key-value service.
    :param services: upstreams of the plain services, by name.
    """

    __slots__ = ("_engines", "_store", "_services")

    def __init__(
        self,
        engines: dict[str, engine.Engine],
        store: key_value.KeyValueStandIn,
        services: dict[str, service.ServiceStandIn],
    ) -> None:
        self._engines = engines
        self._store = store
        self._services = services

    async def inject(self, fault: Fault) -> None:
        """Inject one fault.

        :param fault: kind and target of the fault.
        :raises UnknownFault: unknown kind, VM, fabric domain or service.
        """
        if fault.kind.startswith("key_value_"):
            self._inject_into_store(fault)
        elif fault.kind.startswith("service_"):
            self._inject_into_service(fault)
        elif fault.kind == "fabric_domain_dark":
            for vm in self._find_engines(fault.fabric_domain):
                await vm.crash()
        elif fault.kind == "fabric_domain_back":
            for vm in self._find_engines(fault.fabric_domain):
                await vm.restart()
        else:
            await self._inject_into_engine(fault)

    def _find_engines(self, fabric_domain: str) -> list[engine.Engine]:
        found = [vm for vm in self._engines.values() if vm.entry.fabric_domain == fabric_domain]
        if not found:
            raise UnknownFault(f"no VM in fabric domain {fabric_domain!r}; see GET /vms")
        return found

    def _inject_into_store(self, fault: Fault) -> None:
        faults = self._store.faults
        if fault.kind == "key_value_away":
            faults.is_unavailable = bool(fault.amount)
        elif fault.kind == "key_value_slow":
            faults.delay_ms = int(fault.amount)
        elif fault.kind == "key_value_lost_answers":
            faults.lost_responses = int(fault.amount)
        elif fault.kind == "key_value_silent_watches":
            faults.watch_silence_count += 1
        elif fault.kind == "key_value_save":
            self._store.save()
        elif fault.kind == "key_value_restore":
            self._store.restore()
        elif fault.kind == "key_value_lease_lapses":
            self._store.expire_key(fault.word)
        else:
            raise UnknownFault(
                f"unknown kind of fault {fault.kind!r}; see tanagerfork_standins.faults"
            )

    def _inject_into_service(self, fault: Fault) -> None:
        if fault.service not in self._services:
            raise UnknownFault(f"not an upstream in services of the site plan: {fault.service!r}")
        faults = self._services[fault.service].faults
        field = fault.kind.removeprefix("service_")
        if field not in ("refuse", "crash_before", "crash_after", "delay_ms"):
            raise UnknownFault(
                f"unknown kind of fault {fault.kind!r}; see tanagerfork_standins.faults"
            )
        setattr(faults, field, int(fault.amount))

    async def _inject_into_engine(self, fault: Fault) -> None:
        if fault.vm not in self._engines:
            raise UnknownFault(f"no VM {fault.vm!r}; see GET /vms")
        vm = self._engines[fault.vm]
        if fault.kind == "vm_dies":
            await vm.crash()
        elif fault.kind == "vm_returns":
            await vm.restart()
        elif fault.kind == "vm_returns_unchanged":
            await vm.restart(same_incarnation=True)
        elif fault.kind == "vm_pauses":
            vm.pause()
        elif fault.kind == "vm_resumes":
            vm.resume()
        elif fault.kind == "vm_leaving":
            vm.entry.leaving = bool(fault.amount)
        elif fault.kind == "vm_says_leaving":
            vm.report.state = "leaving"
        else:
            self._set_engine_fault(vm, fault)

    def _set_engine_fault(self, vm: engine.Engine, fault: Fault) -> None:
        faults = vm.faults
        if fault.kind == "vm_straggles":
            faults.slowdown = fault.amount
        elif fault.kind == "connections_silent":
            faults.silence_count += 1
        elif fault.kind == "crash_on_word":
            faults.crash_word = fault.word
        elif fault.kind in ENGINE_FAULT_FIELDS:
            setattr(faults, fault.kind, int(fault.amount))
        else:
            raise UnknownFault(
                f"unknown kind of fault {fault.kind!r}; see tanagerfork_standins.faults"
            )
