"""The relaying daemon: wires its parts together, serves, and stops without cutting anything off."""

import asyncio
import contextlib
import pathlib
import random
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import aiohttp.web

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors, lifecycle
from tanagerfork import metrics as metric
from tanagerfork import settings as settings_files
from tanagerfork.front import listener
from tanagerfork.generated import relay as settings_records
from tanagerfork.groups import lease
from tanagerfork.platform import config, entries, headers, runners
from tanagerfork.platform import store as stores
from tanagerfork.relay import (
    attempts,
    budget,
    cohorts,
    coordinator,
    crashes,
    demand,
    exchange,
    feeds,
    fleet,
    followers,
    front,
    loads,
    peers,
    placing,
    rules,
    sending,
)
from tanagerfork.routing import poison
from tanagerfork.upstream import connections

LOGGER = "relay.daemon"
BODY_LIMIT_BYTES = 8 * 1024 * 1024  # Twice what the platform's callers send at most.
IDLE_S = 60.0  # Four times as long as the platform's callers keep a connection idle.
READY_CHECK_MS = 100
DRAIN_CHECK_MS = 20
BALANCER_MS = 2500  # The balancer asks each second and takes a daemon out after two refusals.
STOP_MARGIN_MS = 1200  # What closing takes at most, before the kill that ends the grace time.
CLOSE_S = 0.8  # Connections that do not close by then end with the process.
ASIDE_CONNECTIONS = 64
TASK_RESTART_MS = 500
TRACE_FRAMES = -4  # The innermost calls, which fit into a line of the log.


class RelayDaemon:
    """One relaying daemon: the composition root.

    :param settings: checked settings.
    :param clock: clock of all tasks and decisions.
    :param writer: where the decision log goes.
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
        self.lifecycle = lifecycle.Lifecycle(self._note_state)
        self.register = rules.RulesRegister()
        self.view = fleet.Fleet()
        self.book = loads.LoadBook()
        self._rng = random.Random(settings.seed or None)
        self._is_ready = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[listener.Listener] = []
        self.callers_port = 0

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        settings = self.settings
        self.log.note(LOGGER, "start", failure_domain=settings.failure_domain)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=10, socket_factory=connections.open_socket
            ),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=exchange.CONNECT_TIMEOUT_S),
            middlewares=(connections.send_once,),
        )
        self.store = stores.PlatformStore(
            self._session, settings.store.address, settings.store.timeout_ms, self.metrics
        )
        self._dialect = headers.PlatformDialect()
        self._exchanger = exchange.Exchanger(self._dialect)
        self._repeats = budget.RepeatBudget(
            budget.Allowance(
                settings.bounds.repeat_share,
                settings.bounds.repeat_reserve,
                settings.bounds.repeat_window_ms,
            )
        )
        suspects = poison.PoisonRegister()
        self._client = runners.RunnerClient(
            self._session, settings.members.probe_timeout_ms, settings.members.order_timeout_ms
        )
        relay = attempts.Relay(
            self.register,
            self.view,
            self.book,
            placing.Placer(self._rng, self.book),
            self._repeats,
            sending.Sender(
                self.book,
                self._exchanger,
                self._dialect,
                self.clock,
                lambda upstream_id: self.peers.tell_silent(upstream_id),
            ),
            self.clock,
            self.log,
            self.metrics,
            crashes.CrashWatch(
                suspects,
                self._client,
                lambda word: self.peers.tell_suspect(word),
                self.clock,
                self.log,
            ),
        )
        self.front = front.Front(relay, self._dialect, self.clock, self.log, self.metrics)
        record = followers.DaemonRecord(settings.failure_domain, settings.peers)
        self.directory = followers.DaemonDirectory(
            self.store, settings.name, record, self.clock, self.log
        )
        own_cohorts = cohorts.Cohorts(settings.name, settings.failure_domain, self.directory)
        self.feed = feeds.ChangeFeed(
            own_cohorts,
            lambda batch, names: self.peers.tell_changes(batch, names),
            lambda: self._coordinator.is_holder,
            self.clock,
            self.metrics,
        )
        self.peers = peers.Peers(
            settings.name,
            settings.peers,
            self.directory,
            self.register,
            self.book,
            suspects,
            self.feed,
            own_cohorts,
            self.clock,
            self._rng,
            self.log,
            self.metrics,
        )
        record.address = self.peers.address
        await self._listen(
            front.build_readiness_app(self._is_ready), settings.readiness, ASIDE_CONNECTIONS
        )
        await self._listen(
            front.build_metrics_app(self.metrics), settings.metrics, ASIDE_CONNECTIONS
        )
        self.callers_port = await self._listen(
            self.front.build_app(BODY_LIMIT_BYTES), settings.callers, settings.open_connections
        )
        self.lifecycle.apply("listen")
        self._start_tasks()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer is told to send new connections."""
        return self._is_ready.is_set()

    async def stop(self) -> None:
        """Say that the daemon is not ready, finish what is in flight, then close everything."""
        self.lifecycle.apply("drain")
        self._is_ready.clear()
        self.front.is_draining = True
        began_ms = self.clock.monotonic_ms()
        limit_ms = self.settings.bounds.grace_ms - STOP_MARGIN_MS
        handing_over = asyncio.create_task(self._hand_over())
        while (waited_ms := self.clock.monotonic_ms() - began_ms) < limit_ms:
            if waited_ms >= BALANCER_MS:
                self.front.is_closed = True  # What came now might not end within the grace time.
                if not self.front.open_requests:
                    break
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
        self.log.note(LOGGER, "stop", waited_ms=waited_ms, cut_off=self.front.open_requests)
        for task in [*self._tasks, handing_over]:
            task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_S):
                await asyncio.gather(*(opened.stop() for opened in self._listeners))
        self.peers.close()
        await self._exchanger.close()
        await self._session.close()
        self.lifecycle.apply("stop")

    async def _hand_over(self) -> None:
        """Let another daemon coordinate, and leave the list, while requests are finished here."""
        self._coordinating.cancel()
        await self._coordinator.stop()
        await self.directory.leave()

    def reload(self, path: pathlib.Path) -> None:
        """Read the settings again; only a restart takes most of them, so it says what differs.

        :param path: settings file.
        """
        try:
            newer = settings_files.load_record(path, settings_records.RelaySettings)
        except errors.SettingsError as error:
            self.log.note(LOGGER, "reload refused", reason=error.message)
            return
        self.log.note(LOGGER, "reload", has_changed=newer != self.settings)

    async def _listen(
        self,
        app: aiohttp.web.Application,
        address: str,
        max_connections: int,
    ) -> int:
        host, _, port = address.rpartition(":")
        opened = listener.Listener(
            app,
            host,
            int(port),
            max_connections,
            self.metrics,
            keeps_encoding=True,
            idle_s=IDLE_S,
        )
        self._listeners.append(opened)
        return await opened.start()

    def _start_tasks(self) -> None:
        parts: list[followers.Part] = [
            followers.RulesPart(
                config.CONFIG_KEY, config.decode_rules, self.register, self.view, self.log
            ),
            followers.ListPart(
                entries.SERVERS_PREFIX,
                entries.decode_entry,
                self.view,
                self.book,
                self.clock,
                self.log,
            ),
            self.directory,
        ]
        follow = followers.StoreFollower(
            self.store,
            parts,
            self.feed,
            lambda: self._coordinator.is_repairing,
            self.clock,
            self.log,
        )
        self._start_task("store", follow.run)
        self._start_task("daemons", self.directory.run)
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
            demand.Demand(self.book),
            lambda: self.front.has_served,
            self.peers.tell_closed,
        )
        self._coordinating = self._start_task("coordinator", self._coordinator.run)
        self._start_task("notices in", self.peers.receive)
        self._start_task("notices out", self.peers.tell_loads)
        self._start_task("readiness", self._follow_readiness)

    def _start_task(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(self._keep_running(name, run))
        self._tasks.append(task)
        return task

    async def _keep_running(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await run()
                return
            except Exception as failure:
                self.metrics.count("relay_task_failures_total", task=name)
                trace = "".join(traceback.format_exception(failure, limit=TRACE_FRAMES))
                self.log.note(LOGGER, "task failed, starts again", task=name, reason=trace)
            await self.clock.sleep_ms(TASK_RESTART_MS)

    async def _follow_readiness(self) -> None:
        while True:
            knows_list = self.view.measure_age(self.clock.monotonic_ms()) >= 0
            is_ready = self.register.current is not None and knows_list
            if not self.front.is_draining:
                self.lifecycle.apply("become_ready" if is_ready else "lose_readiness")
                if is_ready:
                    self._is_ready.set()
            self.view.end_grace(self.clock.monotonic_ms())
            self._repeats.daemons = len(self.directory.daemons)
            await self.clock.sleep_ms(READY_CHECK_MS)

    def _list_candidates(self) -> list[str]:
        """Return the daemons that may coordinate; a coordinator is not displaced by new ones."""
        if self._coordinator.is_holder:
            return [self.settings.name]
        return self.directory.list_names(self.settings.failure_domain)

    def _note_state(self, state: str) -> None:
        self.log.note(LOGGER, "state changed", state=state)
