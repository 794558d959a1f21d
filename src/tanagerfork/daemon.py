"""The daemon: builds and connects its parts, serves, and drains open requests when it stops."""

import asyncio
import functools
import random
from collections.abc import Coroutine
from typing import Any

import aiohttp
import aiohttp.web
import result

from tanagerfork import clock as clocks
from tanagerfork import lifecycle, logs, ports
from tanagerfork import measures as measure
from tanagerfork import metrics as metric
from tanagerfork import settings as settings_files
from tanagerfork import status as statuses
from tanagerfork.bundles import follower, register
from tanagerfork.claims import book, retention, sweeper, writer
from tanagerfork.front import (
    assembly,
    bounds,
    callers,
    connection_ledger,
    journal,
    last_resort,
    listener,
    operators,
    services,
)
from tanagerfork.generated import layout
from tanagerfork.generated import operators as operator_records
from tanagerfork.generated import settings as settings_records
from tanagerfork.groups import (
    changes,
    coordinator,
    directory,
    layout_follower,
    lease,
    observer,
    placement,
    presence,
    rollout,
    sender,
)
from tanagerfork.peers import claim_forwarding
from tanagerfork.peers import service as peer_services
from tanagerfork.storage import counted, etcd, vms
from tanagerfork.timeline import kinds, ring
from tanagerfork.upstream import connections, guarded
from tanagerfork.upstream import engine as engines
from tanagerfork.upstream import service as service_clients

READINESS_INTERVAL_MS = 100
DRAIN_CHECK_INTERVAL_MS = 20
MAX_OPERATOR_CONNECTIONS = 256
CONNECTIONS_PER_REQUEST = 2
BODY_SLACK_BYTES = 1024  # The applications refuse a body that is a little too long themselves.


class Daemon:
    """One daemon: the composition root.

    :param settings: checked settings.
    :param clock: clock of all tasks and decisions.
    """

    def __init__(self, settings: settings_records.Settings, clock: clocks.Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metric.Metrics()
        self.timeline = ring.Timeline(
            settings.name, clock, settings.timeline_events, on_event=logs.log_event
        )
        self.lifecycle = lifecycle.Lifecycle(self._record_state)
        self.bundles = register.BundleRegister(settings.operator_keys)
        self.bundles.subscribe(lambda in_force: self._update_readiness())
        self.groups = directory.GroupDirectory(presence.Presence(settings.groups.presence_ttl_ms))
        self.groups.subscribe(functools.partial(changes.record_change, self.timeline))
        self.groups.subscribe_layouts(self._observe_layout_time)
        self._rng = random.Random(settings.seed or None)
        self.peers = peer_services.PeerService(
            settings,
            settings_files.read_peer_keys(settings.peers),
            clock,
            self._rng,
            self.timeline,
            self.metrics,
            self.bundles,
            self.groups,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[listener.Listener] = []
        self._connections: listener.Table = connection_ledger.ConnectionTable(
            bounds.count_connections(bounds.find_max_descriptors(0), None)
        )
        self.measures = measure.Measures()
        self.journal = journal.Journal(settings.name, clock, self.timeline, self.metrics)
        self.metrics.collect_from(self._export_metrics)
        self._drain_skipped = asyncio.Event()
        self.callers_port = 0
        self.operators_port = 0

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        settings = self.settings
        self._session = aiohttp.ClientSession(
            connector=guarded.GuardedConnector(limit=0, keepalive_timeout=30),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        self._single_use_session = connections.open_session(single_use=True)
        self._pool = connections.Pool(asyncio.get_running_loop().time)
        self.store = counted.CountedKeyValue(
            etcd.EtcdKeyValue(
                self._session,
                settings.platform.key_value_url,
                settings.platform.key_prefix,
                settings.platform.key_value_timeout_ms,
            ),
            self.metrics,
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
            self.peers.is_observed_here,
            self.peers.note_report,
        )
        await self._open_listeners()
        self.peers.start(
            listener.name_address(settings.callers, self.callers_port, settings.peers.host),
            listener.name_address(settings.operators, self.operators_port, settings.peers.host),
        )
        self.lifecycle.apply("listen")
        self._start_tasks()

    async def stop(self) -> None:
        """Wait for open requests, no longer than the drain limit, then close everything."""
        self.lifecycle.apply("drain")
        self.callers.is_accepting = False
        waited_ms = 0
        while (
            (self.callers.open_requests or self._services.unfinished)
            and waited_ms < self.settings.limits.drain_limit_ms
            and not self._drain_skipped.is_set()
        ):
            await self.clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
            waited_ms += DRAIN_CHECK_INTERVAL_MS
        await self.peers.stop()
        for task in self._tasks:
            task.cancel()
        self._services.close()
        await self._coordinator.stop()
        self._observer.stop()
        self._chats.entrance.stop()
        for opened in self._listeners:
            await opened.stop()
        await self._session.close()
        await self._single_use_session.close()
        await self._pool.close()
        self.lifecycle.apply("stop")

    def skip_drain(self) -> None:
        """End the drain of `stop` without waiting for the requests that are still open."""
        self._drain_skipped.set()

    async def _open_listeners(self) -> None:
        settings = self.settings
        self._chats = assembly.build_chats(
            settings.name,
            self.groups,
            self._engines,
            self.peers,
            self.clock,
            self._rng,
            self.timeline,
            self.metrics,
        )
        forwarded = claim_forwarding.ForwardedClaims(self.peers)
        self._claim_mark = retention.ClaimWatermark(self.store, self.clock, self.metrics)
        self.claims = book.ClaimBook(
            settings.name,
            self.clock,
            self.metrics,
            writer.ShardWriter(self.store, self.clock, self.metrics, self._claim_mark),
            self._claim_mark,
            forwarded,
        )
        forwarded.serve(self.claims.serve)
        self._services = services.ServiceRunner(
            assembly.build_service_order(settings.failure_domain, self._rng, self.timeline),
            service_clients.HttpServiceClient(
                self._single_use_session, settings.limits.answer_body_bytes
            ),
            self.claims,
            self.clock,
            self.timeline,
            self.metrics,
        )
        self.callers = callers.CallersFront(
            self.bundles,
            self._chats.runner,
            self._services,
            settings.limits,
            self.clock,
            self.metrics,
        )
        sources = operators.Sources(
            self._read_status, self.timeline, self.journal, self.metrics, self.bundles, self.store
        )
        operators_front = operators.OperatorsFront(sources, settings.operators.token_sha256)
        callers_app = self.callers.build_app()
        callers_app.middlewares.extend((self.journal.note, last_resort.answer_errors))
        self.operators_port = await self._listen(
            operators_front.build_app(),
            settings.operators,
            MAX_OPERATOR_CONNECTIONS,
            operators.BODY_LIMIT_BYTES,
        )
        self.callers_port = await self._listen(
            callers_app,
            settings.callers,
            settings.limits.open_requests * CONNECTIONS_PER_REQUEST,
            settings.limits.request_body_bytes,
        )

    async def _listen(
        self,
        app: aiohttp.web.Application,
        listener_settings: settings_records.Listener | settings_records.OperatorSettings,
        max_connections: int,
        body_bytes: int,
    ) -> int:
        certificate = None
        if listener_settings.certificate_path:
            certificate = listener.Certificate(
                listener_settings.certificate_path, listener_settings.private_key_path
            )
            self._start_task(
                listener.follow_certificate(certificate, self.clock, self.timeline, self.metrics)
            )
        opened = listener.Listener(
            app,
            listener_settings.host,
            listener_settings.port,
            max_connections,
            self.metrics,
            certificate,
            source=bounds.FixedBounds(
                bounds.RequestBounds(body_bytes=body_bytes + BODY_SLACK_BYTES)
            ),
            table=self._connections,
        )
        self._listeners.append(opened)
        return await ports.open_port(
            f"{listener_settings.host}:{listener_settings.port}",
            opened.start,
            self.clock,
            lambda reason: self.timeline.record(kinds.EventKind.PORT_TAKEN, reason),
        )

    def _start_tasks(self) -> None:
        bundle_follower = follower.BundleFollower(
            self.store,
            self.bundles,
            self.clock,
            self.timeline,
            self.metrics,
            self.peers.is_watcher,
            random.Random(
                f"{self.settings.seed}/{self.settings.name}" if self.settings.seed else None
            ),
        )
        self._coordinator = self._make_coordinator()
        domain_layout_follower = layout_follower.LayoutFollower(
            self.settings.failure_domain,
            self.settings.name,
            self.store,
            self.groups,
            self.clock,
            self.peers.live,
            self._rng,
        )
        claim_sweeper = sweeper.ClaimSweeper(
            self.store,
            self.clock,
            self.metrics,
            self._claim_mark,
            is_sweeper=self.peers.is_watcher,
            retention_ms=self.settings.limits.claim_retention_ms,
        )
        self._start_task(claim_sweeper.run())
        self._start_task(bundle_follower.run())
        self._start_task(self._follow_vms())
        self._start_task(domain_layout_follower.run())
        self._start_task(self._coordinator.run())
        for work in self._chats.list_work():
            self._start_task(work)
        self._start_task(self._update_periodically())

    def _make_coordinator(self) -> coordinator.Coordinator:
        settings = self.settings
        self._lease = lease.LeaseKeeper(
            settings.failure_domain,
            settings.name,
            self.store,
            self.clock,
            settings.groups.lease_ttl_ms,
            self.peers.live,
        )
        return coordinator.Coordinator(
            settings.failure_domain,
            self.store,
            self.bundles,
            self.groups,
            self._lease,
            sender.OrderSender(self._engines, self.clock, self.timeline, self.metrics),
            self.clock,
            self.timeline,
            self.metrics,
            settings.groups,
            self._make_planner,
        )

    def _make_planner(self) -> placement.Planner:
        drain_ms = self.settings.limits.drain_limit_ms
        return placement.Planner(
            rollout.RolloutLimits(drain_ms, self.settings.groups.wave_limit_ms)
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _follow_vms(self) -> None:
        while True:
            listed = await self._vm_directory.read()
            if isinstance(listed, result.Ok):
                own_vms = [
                    vm
                    for vm in listed.ok_value.vms
                    if vm.failure_domain == self.settings.failure_domain
                ]
                self.groups.update_vms(own_vms, self.clock.monotonic_ms())
                self._observer.follow(self.groups.vms)
                self.peers.observations.retain_vms([vm.vm for vm in self.groups.vms])
            await self.clock.sleep_ms(self.settings.platform.vm_list_interval_ms)

    async def _update_periodically(self) -> None:
        while True:
            self._update_readiness()
            self._update_measures()
            self.journal.refusals.flush(self.clock.monotonic_ms())
            await self.clock.sleep_ms(READINESS_INTERVAL_MS)

    def _update_readiness(self) -> None:
        is_ready = self.bundles.current is not None
        self.lifecycle.apply("become_ready" if is_ready else "lose_readiness")

    def _update_measures(self) -> None:
        in_force = self.bundles.current
        models = in_force.bundle.models if in_force else ()
        domain = self.settings.failure_domain
        self.measures.update(domain, models, self.groups, self.clock.monotonic_ms())

    def _export_metrics(self, metrics: metric.Metrics) -> None:
        self.measures.export(self.settings.failure_domain, metrics)
        metrics.set_gauge("bundle_version", self.bundles.version)
        metrics.set_gauge("open_requests", self.callers.open_requests)
        metrics.set_gauge("timeline_ahead_seconds", self.timeline.time.ahead_ms / 1000)
        metrics.set_counter("timeline_jumps_refused_total", self.timeline.time.refused_jumps)

    def _read_status(self) -> operator_records.DaemonStatus:
        status = statuses.describe_daemon(
            self.settings,
            self.lifecycle.state,
            self.bundles,
            self.groups,
            self.measures,
            self.callers.open_requests,
            self.clock.monotonic_ms(),
        )
        status.coordinator = self._lease.state.holder
        status.key_value_reachable = self._lease.measure_outage_ms() == 0
        status.peers = self.peers.describe_peers()
        return status

    def _record_state(self, state: str) -> None:
        self.timeline.record(kinds.EventKind.DAEMON_STATE, state)

    def _observe_layout_time(self, newer: layout.Layout) -> None:
        self.timeline.observe(newer.written_at_ms, 0)
