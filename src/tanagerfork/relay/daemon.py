"""The relay daemon: connects its components, serves requests and shuts down gracefully."""

import asyncio
import contextlib
import pathlib
import random

from tanagerfork import __version__, decisions, errors, lifecycle
from tanagerfork import clock as clocks
from tanagerfork import metrics as metric
from tanagerfork import settings as settings_files
from tanagerfork.front import bounds, connection_ledger, listener
from tanagerfork.generated import relay as settings_records
from tanagerfork.groups import lease
from tanagerfork.platform import config, entries, headers, runners
from tanagerfork.platform import store as stores
from tanagerfork.relay import (
    assignment_record,
    attempts,
    budget,
    caller_bounds,
    capacities,
    choosing,
    cohorts,
    cold_limits,
    coordinator,
    crashes,
    daemon_directory,
    demand,
    demands,
    evacuation,
    exchange,
    feeds,
    fleet,
    fleet_sums,
    followers,
    forwarding,
    front,
    listeners,
    loads,
    memory,
    memory_watch,
    overload,
    peers,
    placing,
    quarantine,
    reach,
    reach_checks,
    regions,
    rules,
    send_limits,
    send_records,
    sending,
    stopping,
    tasks,
)
from tanagerfork.routing import crash_evidence, poison

LOGGER = "relay.daemon"
READINESS_CHECK_INTERVAL_MS = 100
SHUTDOWN_MARGIN_MS = 1200  # Longest time to close, before the kill that ends the grace time.
LEAVE_TIMEOUT_S = 0.2  # The entry lapses with its lease if the store does not answer by then.
CLOSE_TIMEOUT_S = 0.6  # Connections still open by then end with the process.
MAX_ADMIN_CONNECTIONS = 64


class RelayDaemon:
    """One relay daemon: the composition root.

    :param settings: validated settings.
    :param clock: clock of all tasks and decisions.
    :param writer: writes the decision log.
    """

    def __init__(
        self,
        settings: settings_records.RelaySettings,
        clock: clocks.Clock,
        writer: decisions.Writer,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = decisions.DecisionLog(settings.name, clock, writer)
        self.metrics = metric.Metrics()
        self.lifecycle = lifecycle.Lifecycle(
            lambda state: self.log.note(LOGGER, "state changed", state=state)
        )
        self.register = rules.RulesRegister()
        self.view = fleet.Fleet()
        self._rules_follower = followers.RulesFollower(
            config.CONFIG_KEY, config.decode_rules, self.register, self.view, self.log
        )
        self.book = loads.LoadBook()
        self._demands = demands.DemandBook()
        self.capacities = capacities.Capacities(
            self.register, self.view, self.log, settings.learns_capacity
        )
        self.metrics.collect_from(self.capacities.write_metrics)
        self.evidence = crash_evidence.CrashEvidence(clock.monotonic_ms())
        self.suspects = poison.PoisonRegister()
        self.evacuation = evacuation.EvacuationFollower(
            config.EVACUATION_PREFIX,
            self.view,
            clock,
            self.log,
            self.metrics,
            lambda ended: self._cold_limits.record_evacuation_end(ended, clock.monotonic_ms()),
        )
        self._rng = random.Random(settings.seed or None)
        self._send_limits = send_limits.SendLimits(self.book, self._rng, self.log)
        self._cold_limits = cold_limits.ColdLimits(settings.name, self._rng, self.log, self.metrics)
        self.account = memory.MemoryAccount(memory.make_bounds(settings.memory_mb))
        self._memory_watch = memory_watch.MemoryWatch(self.account, clock, self.log, self.metrics)
        self._is_ready = asyncio.Event()
        self._tasks = tasks.Tasks(clock, self.log, self.metrics)
        self._listeners = listeners.Listeners(
            self.account.is_bounded, self._make_table(), clock, self.log, self.metrics
        )
        self.callers_port = 0

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        :raises SettingsError: a listener's address cannot be bound.
        """
        settings = self.settings
        self.log.note(LOGGER, "start", failure_domain=settings.failure_domain, build=__version__)
        self._session = exchange.open_control_session()
        self.store = stores.PlatformStore(
            self._session,
            settings.store.address,
            settings.store.timeout_ms,
            self.metrics,
            (assignment_record.PREFIX,),
        )
        self._dialect = headers.PlatformDialect()
        self._upstream_client = exchange.UpstreamClient(self._dialect, self.account.is_bounded)
        self._retry_budget = budget.make_budget(settings.bounds)
        self._reach = reach.Reach(self.clock, self._rng, self.log, self.metrics)
        self._unpooled_session = exchange.open_session(is_pooled=False)
        self._reach_checks = reach_checks.ReachChecks(
            self._reach,
            self.view,
            runners.RunnerClient(
                self._unpooled_session,
                self._unpooled_session,
                reach_checks.CHECK_TIMEOUT_MS,
                settings.members.order_timeout_ms,
            ),
            self.book.find_heard_ms,
            self.clock,
        )
        record = daemon_directory.make_record(settings)
        self.directory = daemon_directory.DaemonDirectory(
            self.store, settings.name, record, self.clock, self.log
        )
        self.metrics.collect_from(self.directory.write_metrics)
        region_map = regions.RegionMap(settings.regions)
        self._forwarder = forwarding.Forwarder(
            self._upstream_client,
            self._dialect,
            self.directory,
            settings.name,
            self.register,
            self.clock,
            self._rng,
            self.log,
            self.metrics,
            region_map,
            lambda: self.peers.rules_exchange.want(),
            lambda name: self.peers.tell_version(name),
        )
        self._client = runners.RunnerClient(
            self._session,
            self._unpooled_session,
            settings.members.probe_timeout_ms,
            settings.members.order_timeout_ms,
        )
        relay = attempts.Relay(
            self.register,
            self.book,
            choosing.Chooser(
                self.view,
                self.book,
                placing.Placer(
                    self._rng,
                    self.book,
                    self._cold_limits.compute_ramp_share,
                    self.capacities.find_book,
                ),
                self._send_limits,
                self._cold_limits,
                overload.OverloadControl(self._demands, self._rng, self.log, self.metrics),
                self._rng,
                self.metrics,
                region_map,
            ),
            self._reach,
            self._reach_checks,
            self._forwarder,
            self._retry_budget,
            sending.Sender(
                self.book,
                self._send_limits,
                self._cold_limits,
                self._upstream_client,
                self._dialect,
                self._reach_checks,
                self.clock,
                lambda upstream_id: self.peers.announce_silent(upstream_id),
                lambda upstream: self.peers.announce_leaving(upstream),
            ),
            self.clock,
            send_records.SendRecords(self.view, self.book, self.clock, self.log, self.metrics),
            self.metrics,
            crashes.CrashWatch(
                self.suspects,
                self.evidence,
                self._client,
                self._reach_checks,
                lambda notice: self.peers.announce_suspect(notice),
                self.clock,
                self.log,
                self.metrics,
            ),
            self.capacities,
        )
        self.front = front.Front(
            relay, self._dialect, self.clock, self.log, self.metrics, self.account
        )
        own_cohorts = cohorts.Cohorts(settings.name, settings.failure_domain, self.directory)
        self.feed = feeds.ChangeFeed(
            own_cohorts,
            lambda batch, names: self.peers.send_changes(batch, names),
            lambda: self._coordinator.is_holder,
            self.clock,
            self.metrics,
        )
        self.peers = peers.Peers(
            settings.name,
            await self._listeners.open_inbox(settings.peers),
            self.directory,
            self.register,
            self._rules_follower,
            self.view,
            self.book,
            fleet_sums.FleetSums(self.book, self._demands, self.capacities, own_cohorts),
            self._send_limits,
            self.suspects,
            self.evidence,
            self.feed,
            self._reach,
            self._forwarder,
            own_cohorts,
            self.clock,
            self._rng,
            self.log,
            self.metrics,
        )
        record.address = self.peers.address
        self._quarantine_keeper = quarantine.QuarantineKeeper(
            self.store,
            self.evidence,
            self.suspects,
            own_cohorts.is_source,
            self.clock,
            self.log,
            self.metrics,
        )
        for app, address in (
            (front.build_readiness_app(self._is_ready), settings.readiness),
            (front.build_metrics_app(self.metrics), settings.metrics),
        ):
            await self._listeners.listen(app, address, MAX_ADMIN_CONNECTIONS, bounds.FixedBounds())
        self.callers_port = await self._listeners.listen(
            self.front.build_app(),
            settings.callers,
            settings.open_connections,
            caller_bounds.RulesBounds(self.register),
        )
        forwarding_port = await self._listeners.listen(
            self.front.build_forwarding_app(),
            settings.forwarding,
            settings.open_connections,
            caller_bounds.RulesBounds(self.register, caller_bounds.HANDOVER_BYTES),
        )
        record.forwarding = f"{settings.forwarding.rpartition(':')[0]}:{forwarding_port}"
        self.lifecycle.apply("listen")
        self._start_tasks()

    @property
    def is_ready(self) -> bool:
        """Whether readiness probes of the balancer succeed."""
        return self._is_ready.is_set()

    async def stop(self) -> None:
        """Fail readiness probes, finish open requests, then close all connections."""
        self.lifecycle.apply("drain")
        self._is_ready.clear()
        limit_ms = self.settings.bounds.grace_ms - SHUTDOWN_MARGIN_MS
        releasing = asyncio.create_task(self._hand_over_duties())
        drained = await stopping.drain(self.front, self._listeners, self.clock, limit_ms)
        self.log.note(LOGGER, "stop", waited_ms=drained.waited_ms, ended_early=drained.ended_early)
        self._tasks.cancel()
        releasing.cancel()
        self._reach_checks.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self.directory.leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(
                    self._listeners.stop(),
                    self._upstream_client.close(),  # May wait for an upstream that went dark.
                    self._session.close(),
                    self._unpooled_session.close(),
                )
        self.peers.close()
        self.lifecycle.apply("stop")

    async def _hand_over_duties(self) -> None:
        """Give up coordination and handed-over requests while open requests are finished."""
        self._coordinator_task.cancel()
        await self._coordinator.stop()
        await self.directory.announce_leaving()

    def reload(self, path: pathlib.Path) -> None:
        """Read the settings again and log whether they differ; a restart is needed to apply them.

        :param path: settings file.
        """
        try:
            newer = settings_files.load_record(path, settings_records.RelaySettings)
        except errors.SettingsError as error:
            self.log.note(LOGGER, "reload refused", reason=error.message)
            return
        self.log.note(LOGGER, "reload", has_changed=newer != self.settings)

    def _make_table(self) -> listener.Table:
        """Return the table of the connections that the VM can hold."""
        limit = bounds.count_connections(
            bounds.find_max_descriptors(self.settings.max_descriptors),
            memory.measure_free_bytes(self.settings.memory_mb),
        )
        if self.account.bounds is None:
            return connection_ledger.ConnectionTable(limit)
        return connection_ledger.ConnectionTable(limit, self.account.bounds.end_bytes)

    def _start_tasks(self) -> None:
        key_followers: list[followers.KeyFollower] = [
            self._rules_follower,
            followers.UpstreamListFollower(
                entries.SERVERS_PREFIX,
                entries.decode_entry,
                self.view,
                self.book,
                self._cold_limits.record_list,
                self.clock,
                self.log,
            ),
            self.evacuation,
            self.directory,
            self._quarantine_keeper,
        ]
        store_follower = followers.StoreFollower(
            self.store,
            key_followers,
            self.feed,
            lambda: self._coordinator.is_repairing,
            self.clock,
            self.log,
        )
        self._tasks.start("store", store_follower.run)
        self._tasks.start("daemons", self.directory.run)
        self._coordinator = coordinator.Coordinator(
            self.settings.failure_domain,
            self.settings,
            lease.LeaseKeeper(
                self.settings.failure_domain,
                self.settings.name,
                self.store,
                self.clock,
                self.settings.members.lease_ttl_ms,
                self._list_candidates,
            ),
            self.store,
            self._client,
            self.register,
            self.view,
            self.clock,
            self.log,
            self.metrics,
            demand.Demand(self.book, self._demands),
            lambda: self.front.has_served,
            self.peers.announce_closed,
            self.peers.announce_leaving,
            self._reach,
            self._reach_checks,
        )
        self._coordinator_task = self._tasks.start("coordinator", self._coordinator.run)
        self._tasks.start("memory", self._memory_watch.run)
        self._tasks.start("reach", self._reach_checks.run)
        self._tasks.start("quarantine", self._quarantine_keeper.run)
        self._tasks.start("notices in", self.peers.receive)
        self._tasks.start("notices out", self.peers.broadcast_loads)
        self._tasks.start("readiness", self._update_readiness)

    async def _update_readiness(self) -> None:
        while True:
            knows_list = self.view.measure_age(self.clock.monotonic_ms()) >= 0
            is_ready = self.register.current is not None and knows_list
            if not self.front.is_draining:
                self.lifecycle.apply("become_ready" if is_ready else "lose_readiness")
                if is_ready:
                    self._is_ready.set()
            self.view.end_grace(self.clock.monotonic_ms())
            self.evacuation.drop_missing()
            self.directory.drop_missing()
            self._retry_budget.daemon_count = len(self.directory.daemons)
            self._send_limits.daemon_count = len(self.directory.daemons)
            if knows_list:
                self._cold_limits.follow_daemons(
                    self.directory.daemons.keys(), self.clock.monotonic_ms()
                )
            await self.clock.sleep_ms(READINESS_CHECK_INTERVAL_MS)

    def _list_candidates(self) -> list[str]:
        """Return the daemons that may coordinate; the present coordinator keeps its role."""
        if self._coordinator.is_holder:
            return [self.settings.name]
        return self._forwarder.list_reaching(self.settings.failure_domain)
