"""The daemon: wires all parts together, serves, and stops without cutting anything off."""

import asyncio
import os
import pathlib
import random
import signal
import sys
from collections.abc import Coroutine
from typing import Annotated, Any

import aiohttp
import aiohttp.web
import result
import typer

from tanagerfork import clock as clocks
from tanagerfork import errors, lifecycle, logs
from tanagerfork import metrics as metric
from tanagerfork import settings as settings_files
from tanagerfork import status as statuses
from tanagerfork.bundles import follower, register
from tanagerfork.claims import book
from tanagerfork.front import attempts, callers, chat, gate, operators, services
from tanagerfork.generated import operators as operator_records
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import coordinator, directory, observer, presence
from tanagerfork.platform import etcd, vms
from tanagerfork.routing import affinity, balancer, health, leaving, limits, poison, retry
from tanagerfork.routing import fleet as fleets
from tanagerfork.timeline import kinds, ring
from tanagerfork.upstream import cache_events, connections
from tanagerfork.upstream import engine as engines
from tanagerfork.upstream import service as service_clients

READY_CHECK_MS = 100
DRAIN_CHECK_MS = 20
CLOSE_S = 1.0
USAGE_STATUS = 2


class Daemon:
    """One daemon: the composition root.

    :param settings: checked settings.
    :param clock: clock of all tasks and decisions.
    """

    def __init__(self, settings: settings_records.Settings, clock: clocks.Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metric.Metrics()
        self.timeline = ring.Timeline(settings.name, clock, settings.timeline_events)
        self.lifecycle = lifecycle.Lifecycle(self._note_state)
        self.bundles = register.BundleRegister(settings.operator_keys)
        self.groups = directory.GroupDirectory(presence.Presence(settings.groups.presence_ttl_ms))
        self.groups.subscribe(self._note_group)
        self.fleet: fleets.Fleet = fleets.LoneDaemon()
        self._rng = random.Random(settings.seed or None)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[aiohttp.web.AppRunner] = []
        self._hasten = asyncio.Event()
        self.callers_port = 0
        self.operators_port = 0

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        settings = self.settings
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        self._single_use_session = connections.open_session(single_use=True)
        self._pool = connections.Pool(asyncio.get_running_loop().time)
        self.store = etcd.EtcdKeyValue(
            self._session,
            settings.platform.key_value_url,
            settings.platform.key_prefix,
            settings.platform.key_value_timeout_ms,
        )
        self._vm_directory = vms.HttpVmDirectory(
            self._session, settings.platform.vm_list_url, settings.platform.key_value_timeout_ms
        )
        self._engines = engines.HttpEngineClient(
            self._pool, self._single_use_session, settings.groups.order_timeout_ms
        )
        self._observer = observer.Observer(
            self._engines,
            self.groups.presence,
            self.clock,
            self.metrics,
            settings.groups.observe_interval_ms,
        )
        await self._open_listeners()
        self.lifecycle.apply("listen")
        self._start_tasks()

    async def stop(self) -> None:
        """Finish what is in flight, then close everything."""
        self.lifecycle.apply("drain")
        self.callers.is_accepting = False
        waited_ms = 0
        while (
            self.callers.open_requests
            and waited_ms < self.settings.limits.drain_limit_ms
            and not self._hasten.is_set()
        ):
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
            waited_ms += DRAIN_CHECK_MS
        for task in self._tasks:
            task.cancel()
        self._observer.stop()
        self._gate.stop()
        for runner in self._runners:
            await runner.cleanup()
        await self._session.close()
        await self._single_use_session.close()
        await self._pool.close()
        self.lifecycle.apply("stop")

    def hasten(self) -> None:
        """Stop waiting for what is in flight."""
        self._hasten.set()

    async def _open_listeners(self) -> None:
        settings = self.settings
        chats = self._build_chats()
        plain_services = services.ServiceRunner(
            settings.failure_domain,
            service_clients.HttpServiceClient(
                self._single_use_session, settings.limits.answer_body_bytes
            ),
            book.ClaimBook(self.store, self.clock),
            self._rng,
            self.timeline,
            self.metrics,
        )
        self.callers = callers.CallersFront(
            self.bundles, chats, plain_services, settings.limits, self.clock, self.metrics
        )
        operators_front = operators.OperatorsFront(
            self._read_status,
            self.timeline,
            self.metrics,
            self.bundles,
            self.store,
            self.clock,
            settings.operators.token_sha256,
        )
        self.operators_port = await self._listen(
            operators_front.build_app(), settings.operators.host, settings.operators.port
        )
        self.callers_port = await self._listen(
            self.callers.build_app(), settings.callers.host, settings.callers.port
        )

    def _build_chats(self) -> chat.ChatRunner:
        choice = balancer.Balancer(
            self._rng, health.Health(self._rng, self._note_health), affinity.PrefixMap()
        )
        self.team_limits = limits.TeamLimits(self.fleet)
        self.poison = poison.PoisonRegister()
        policy = chat.ChatPolicy(
            balancer=choice,
            leaving=leaving.LeavingVms(self.groups.find_vm, self.fleet),
            budget=retry.RetryBudget(),
            pacer=retry.DialPacer(self._rng),
            poison=self.poison,
            fleet=self.fleet,
        )
        self._gate = gate.Gate(
            self.groups, choice.sent, self.team_limits, self.fleet, self.clock, self.metrics
        )
        tries = attempts.AttemptRunner(
            self.groups, choice, self.poison, self._engines, self.clock, self.metrics
        )
        self._cache_follower = cache_events.CacheFollower(
            self.groups, choice, self._engines, self.clock
        )
        return chat.ChatRunner(
            self.groups, policy, self._gate, tries, self.clock, self.timeline, self.metrics
        )

    async def _listen(self, app: aiohttp.web.Application, host: str, port: int) -> int:
        runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=CLOSE_S, handler_cancellation=True
        )
        await runner.setup()
        self._runners.append(runner)
        await aiohttp.web.TCPSite(runner, host, port).start()
        return int(runner.addresses[0][1])

    def _start_tasks(self) -> None:
        follow = follower.BundleFollower(
            self.store, self.bundles, self.clock, self.timeline, self.metrics
        )
        coordinate = coordinator.Coordinator(
            self.settings.failure_domain,
            self.store,
            self.bundles,
            self.groups,
            self._engines,
            self.clock,
            self.timeline,
            self.metrics,
            self.settings.groups.plan_interval_ms,
        )
        self._start_task(follow.run())
        self._start_task(self._follow_vms())
        self._start_task(coordinate.run())
        self._start_task(self._cache_follower.run())
        self._start_task(self._follow_readiness())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _follow_vms(self) -> None:
        while True:
            listed = await self._vm_directory.read()
            if isinstance(listed, result.Ok):
                own = [
                    vm
                    for vm in listed.ok_value.vms
                    if vm.failure_domain == self.settings.failure_domain
                ]
                self.groups.take_vms(own)
                self._observer.follow(own)
            await self.clock.sleep_ms(self.settings.platform.vm_list_interval_ms)

    async def _follow_readiness(self) -> None:
        while True:
            is_ready = self.bundles.current is not None
            self.lifecycle.apply("become_ready" if is_ready else "lose_readiness")
            self.groups.views(self.clock.monotonic_ms())
            await self.clock.sleep_ms(READY_CHECK_MS)

    def _read_status(self) -> operator_records.DaemonStatus:
        return statuses.describe_daemon(
            self.settings,
            self.lifecycle.state,
            self.bundles,
            self.groups,
            self.callers.open_requests,
            self.clock.monotonic_ms(),
        )

    def _note_state(self, state: str) -> None:
        logs.log_event(self.timeline.record(kinds.EventKind.DAEMON_STATE, state))

    def _note_health(self, group: str, state: str, reason: str) -> None:
        is_ejected = state == health.HealthState.EJECTED
        kind = kinds.EventKind.GROUP_EJECTED if is_ejected else kinds.EventKind.GROUP_READMITTED
        logs.log_event(self.timeline.record(kind, reason, group=group))

    def _note_group(self, view: presence.GroupView, before: presence.GroupState | None) -> None:
        is_whole = view.state == presence.GroupState.WHOLE
        kind = kinds.EventKind.GROUP_WHOLE if is_whole else kinds.EventKind.GROUP_BROKEN
        missing = ", ".join(view.missing)
        detail = f"was {before or 'new'}" + (f"; missing: {missing}" if missing else "")
        logs.log_event(self.timeline.record(kind, detail, group=view.record.group))


async def serve(settings: settings_records.Settings, embedded: pathlib.Path | None) -> None:
    """Run a daemon until a signal ends it.

    :param settings: checked settings.
    :param embedded: folder of an example set whose stand-ins run in the same loop; None for none.
    """
    site = None
    if embedded is not None:
        from tanagerfork_standins import embedding

        site = await embedding.start_site(embedded, settings)
    daemon = Daemon(settings, clocks.SystemClock())
    await daemon.start()
    if site is not None:
        await site.roll_bundle(daemon.store)
        print(site.describe_call(daemon.callers_port), flush=True)
    stopped = asyncio.Event()

    def on_signal() -> None:
        if stopped.is_set():
            daemon.hasten()
        stopped.set()

    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, on_signal)
    await stopped.wait()
    await daemon.stop()
    if site is not None:
        await site.stop()


def run(
    settings: Annotated[pathlib.Path, typer.Option(help="Settings file, JSON with comments.")],
    embedded: Annotated[
        bool, typer.Option("--embedded", help="Run the stand-ins beside the settings file too.")
    ] = False,
    check_settings: Annotated[
        bool, typer.Option("--check-settings", help="Check the settings, then end.")
    ] = False,
    override: Annotated[
        list[str] | None, typer.Option("--set", help="FIELD=VALUE, such as callers.port=8600.")
    ] = None,
) -> None:
    """Run one daemon of tanagerfork."""
    try:
        loaded = settings_files.load_settings(settings, tuple(override or ()))
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        raise typer.Exit(USAGE_STATUS) from error
    if check_settings:
        print(f"{settings}: good")
        return
    logs.configure_logs(loaded.log)
    asyncio.run(serve(loaded, settings.parent if embedded else None))


def main() -> None:
    """Run the program."""
    os.environ.setdefault("_TYPER_STANDARD_TRACEBACK", "1")
    typer.run(run)


if __name__ == "__main__":
    main()
