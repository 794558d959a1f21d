"""Forwarding: hands requests over to other daemons while this one reaches no upstream itself."""

import collections
import dataclasses
import random
import re
from collections.abc import Callable, Collection, Mapping

import result

from tanagerfork import clock as clocks
from tanagerfork import decisions, errors
from tanagerfork import metrics as metric
from tanagerfork.relay import calls, daemon_directory, exchange, regions, responses, rules
from tanagerfork.relay import progress as progresses

LOGGER = "relay.forwarding"
ATTEMPTS = "Relay-Attempts"  # Sends to upstreams that the other daemon may make.
# Version of the rules: with a request the oldest by which it may be served, with a response the one
# by which it was.
RULES_VERSION = "Relay-Rules-Version"
UNAVAILABLE = "Relay-Unavailable"  # It did not serve the request, and a third daemon may.
VERSION = re.compile("[0-9]{1,16}")
HEADERS = frozenset(name.lower() for name in (ATTEMPTS, RULES_VERSION))
# How long a daemon is avoided that took no connection, or that answered that it takes nothing over.
AVOIDED_MS = {calls.Outcome.UNREACHED: 1000, calls.Outcome.REFUSED: 300}
STATE_TTL_MS = 1200  # Four rounds of notices.
SAMPLED_DAEMONS = 2
RETURN_MARGIN_MS = 5  # Reserved for the response's way back through this daemon.


def read_handover(headers: Mapping[str, str]) -> calls.Handover:
    """Read what another daemon says of a request that it hands over.

    A daemon of another build may say it in other words; then a third one may understand it.

    :param headers: headers of the request.
    :raises NotTakenOver: a header is missing or malformed.
    """
    try:
        handover = calls.Handover(int(headers[ATTEMPTS]), int(headers[RULES_VERSION]))
    except (KeyError, ValueError) as error:
        message = f"{ATTEMPTS} and {RULES_VERSION} are not whole numbers; this port is for daemons"
        raise errors.NotTakenOver(message) from error
    if handover.attempts < 1:
        raise errors.NotTakenOver(f"{ATTEMPTS} is below 1; answer the request without a send")
    return handover


def drop_headers(headers: calls.Headers) -> calls.Headers:
    """Return the headers of a message without those that only daemons read.

    :param headers: headers as received.
    """
    return [(name, value) for name, value in headers if name.lower() not in HEADERS]


@dataclasses.dataclass(slots=True)
class DaemonState:
    """What is known of another daemon: services it does not reach either, and requests there.

    `rules_version` is the version of its rules by its last notice or answer, 0 if it is not known.
    """

    cut_off: frozenset[str] = frozenset()
    told_at_ms: float = -1e12
    rules_version: int = 0
    version_told_at_ms: float = -1e12
    avoided_until_ms: float = -1e12
    open: int = 0

    def list_cut_off(self, now_ms: float) -> frozenset[str]:
        """Return the services of which the daemon reaches no upstream, by its last notice.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.cut_off if now_ms - self.told_at_ms < STATE_TTL_MS else frozenset()

    def is_behind(self, version: int, now_ms: float) -> bool:
        """Return whether the daemon has older rules, by its last notice.

        :param version: version.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self.rules_version < version and now_ms - self.version_told_at_ms < STATE_TTL_MS

    def may_take(self, service: str, now_ms: float) -> bool:
        """Return whether the daemon may be handed a request.

        :param service: service of the request.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return now_ms >= self.avoided_until_ms and service not in self.list_cut_off(now_ms)


class Forwarder:
    """Chooses other daemons and hands requests over to them.

    :param client: sends HTTP requests.
    :param dialect: writes the platform's headers.
    :param directory: list of daemons.
    :param name: name of this daemon.
    :param register: rules in force.
    :param clock: clock of all decisions.
    :param rng: chooses among daemons.
    :param log: decision log.
    :param metrics: counters.
    :param region_map: regions of the failure domains.
    :param want_rules: called when the rules in force are too old for a request.
    :param tell_version: tells another daemon which version of the rules is in force here.
    """

    __slots__ = (
        "_client",
        "_dialect",
        "_directory",
        "_name",
        "_register",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_responses",
        "_states",
        "_relayed_version",
        "_open_versions",
        "_region_map",
        "_want_rules",
        "_tell_version",
    )

    def __init__(
        self,
        client: exchange.UpstreamClient,
        dialect: calls.Dialect,
        directory: daemon_directory.DaemonDirectory,
        name: str,
        register: rules.RulesRegister,
        clock: clocks.Clock,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
        region_map: regions.RegionMap,
        want_rules: Callable[[], None],
        tell_version: Callable[[str], None],
    ) -> None:
        self._want_rules = want_rules
        self._tell_version = tell_version
        self._region_map = region_map
        self._client = client
        self._dialect = dialect
        self._directory = directory
        self._name = name
        self._register = register
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._responses = responses.ResponseRelay(dialect, clock)
        self._states: dict[str, DaemonState] = collections.defaultdict(DaemonState)
        self._relayed_version = 0
        # Versions of the daemons that serve requests of this one now, which may apply them already.
        self._open_versions: collections.Counter[int] = collections.Counter()

    @property
    def required_version(self) -> int:
        """Oldest version of the rules by which requests of callers here may be served."""
        return max(self._relayed_version, *self._open_versions, 0)

    @property
    def is_outdated(self) -> bool:
        """Whether callers here may have seen the effect of newer rules than those in force."""
        in_force = self._register.current
        return (in_force.version if in_force else 0) < self.required_version

    def check_outdated(self, handover: calls.Handover | None) -> bool:
        """Return whether a request must not be served by the rules in force, as they are too old.

        :param handover: what another daemon says of the request; None for an own caller's.
        """
        in_force = self._register.current
        asked_version = handover.rules_version if handover else 0
        if (in_force.version if in_force else 0) >= max(self.required_version, asked_version):
            return False
        self._want_rules()
        return True

    @property
    def _least_version(self) -> int:
        """Oldest version by which a daemon may serve a request that is handed over now."""
        in_force = self._register.current
        return max(self.required_version, in_force.version if in_force else 0)

    def note_rules_version(self, daemon: str, version: int) -> None:
        """Record which version of the rules another daemon said that it has in force.

        A daemon that was too far behind to take requests over is tried again at once.

        :param daemon: name of the daemon.
        :param version: version.
        """
        state = self._states[daemon]
        if state.rules_version < self._least_version <= version:
            state.avoided_until_ms = -1e12
        state.rules_version = version
        state.version_told_at_ms = self._clock.monotonic_ms()

    def note_cut_off(self, daemon: str, cut_off: Collection[str]) -> None:
        """Record which services another daemon said that it does not reach.

        :param daemon: name of the daemon.
        :param cut_off: services of which it reaches no upstream.
        """
        if cut_off or daemon in self._states:
            state = self._states[daemon]
            state.cut_off = frozenset(cut_off)
            state.told_at_ms = self._clock.monotonic_ms()

    def is_cut_off(self, daemon: str) -> bool:
        """Return whether another daemon said that it does not reach the upstreams of a service.

        :param daemon: name of the daemon.
        """
        state = self._states.get(daemon)
        return state is not None and bool(state.list_cut_off(self._clock.monotonic_ms()))

    def list_reaching(self, failure_domain: str) -> list[str]:
        """Return the daemons of a failure domain that are neither cut off nor leave, by their word.

        :param failure_domain: failure domain.
        """
        names = self._directory.list_names(failure_domain)
        return [
            name
            for name in names
            if not self.is_cut_off(name) and not self._directory.daemons[name].is_leaving
        ]

    def choose_daemon(
        self, service: str, avoided: Collection[str], allowed: regions.Regions = None
    ) -> str | None:
        """Choose a daemon that can take a request: of two, the one with fewer from this daemon.

        One whose rules are too old by its last notice is chosen only if there is no other.

        :param service: service of the request.
        :param avoided: daemons that did not take it.
        :param allowed: regions in which the request may run.
        :return: name of the daemon; None where there is none.
        """
        now_ms = self._clock.monotonic_ms()
        names = [
            name
            for name, record in self._directory.reachable.items()
            if name not in avoided
            and name != self._name
            and record.forwarding
            and not record.is_leaving
            and self._may_receive(record, allowed)
            and (name not in self._states or self._states[name].may_take(service, now_ms))
        ]
        version = self._least_version
        names = [
            name for name in names if not self._states[name].is_behind(version, now_ms)
        ] or names
        drawn = self._rng.sample(names, min(SAMPLED_DAEMONS, len(names)))
        return min(drawn, key=lambda name: self._states[name].open, default=None)

    def _may_receive(self, record: daemon_directory.DaemonRecord, allowed: regions.Regions) -> bool:
        """Return whether a daemon may get a request's body, and keeps to the regions itself."""
        if allowed is None:
            return True
        return record.keeps_regions and self._region_map.allows(record.failure_domain, allowed)

    async def forward(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        daemon: str,
        sink: progresses.Sink,
    ) -> calls.Outcome:
        """Hand a request over to a daemon, with all sends that are left, and relay its response.

        :param request: caller's request.
        :param progress: state of the request.
        :param daemon: name of the daemon.
        :param sink: receives the response.
        :return: how it ended.
        """
        progress.tried_ids.add(daemon)
        state = self._states[daemon]
        began_ms = self._clock.monotonic_ms()
        state.open += 1
        version = state.rules_version
        self._open_versions[version] += 1
        outcome = calls.Outcome.LOST
        reason = "cancelled at the deadline or because the caller left"
        try:
            answered = await self._exchange(request, progress, daemon, sink)
            outcome, reason = calls.Outcome.ANSWERED, ""
            if isinstance(answered, result.Err):
                outcome, reason = calls.classify(answered.err_value), answered.err_value.message
            avoided_ms = AVOIDED_MS.get(outcome, 0)
            state.avoided_until_ms = self._clock.monotonic_ms() + avoided_ms
            if outcome is calls.Outcome.REFUSED and state.rules_version < self._least_version:
                self._tell_version(daemon)  # It refuses older rules, and may ask for these.
        finally:
            state.open -= 1
            self._end_open(version)
            if outcome is calls.Outcome.LOST:
                progress.sends, progress.may_have_run = progress.attempts, True
                self._relayed_version = max(self._relayed_version, version)
            self._metrics.count("relay_forwards_total", outcome=outcome.value)
            self._log.note(
                LOGGER,
                "forward",
                request_id=request.facts.request_id,
                route=progress.route.name,
                to=daemon,
                outcome=outcome.value,
                reason=reason,
                took_ms=self._clock.monotonic_ms() - began_ms,
            )
        progress.last_failure = reason
        return outcome

    async def _exchange(
        self,
        request: calls.CallerRequest,
        progress: progresses.Progress,
        daemon: str,
        sink: progresses.Sink,
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        record = self._directory.find_reachable(daemon)
        if record is None:
            message = f"{daemon} is not listed any more; use another daemon"
            return result.Err(errors.UpstreamUnreachable(message))
        try:
            response = await self._client.send_to(
                daemon,
                record.forwarding,
                request,
                self._make_headers(request, progress),
                progress.route.is_repeatable,
            )
        except errors.UpstreamError as error:
            return result.Err(error)
        try:
            if response.facts.request_id != request.facts.request_id:
                message = "the response is for another request; close the connection"
                return result.Err(errors.UpstreamConfused(message))
            if UNAVAILABLE in response.http_response.headers:
                message = f"{daemon} cannot serve the request; use another daemon"
                return result.Err(errors.UpstreamRefused(message))
            progress.sends = progress.attempts
            self._note_version(daemon, response)
            return await self._relay(progress, response, sink)
        except errors.UpstreamError as error:
            return result.Err(error)
        finally:
            response.http_response.close()

    def _make_headers(
        self, request: calls.CallerRequest, progress: progresses.Progress
    ) -> calls.Headers:
        left_ms = progress.remaining_ms(self._clock.monotonic_ms()) - RETURN_MARGIN_MS
        headers = self._dialect.make_forwarded_headers(
            request, max(1, int(left_ms)), progress.last_event_id
        )
        other_sends = progress.sends + progress.open_sends - 1
        headers.append((ATTEMPTS, str(progress.attempts - other_sends)))
        headers.append((RULES_VERSION, str(self._least_version)))
        return headers

    def _end_open(self, version: int) -> None:
        self._open_versions[version] -= 1
        if not self._open_versions[version]:
            del self._open_versions[version]

    def _note_version(self, daemon: str, response: exchange.UpstreamResponse) -> None:
        """Record the version of a response, so that callers here never go back to an older one."""
        version = response.http_response.headers.get(RULES_VERSION, "")
        if VERSION.fullmatch(version):
            self._relayed_version = max(self._relayed_version, int(version))
            self.note_rules_version(daemon, int(version))
            if self.is_outdated:
                self._want_rules()
        response.headers = drop_headers(response.headers)

    async def _relay(
        self,
        progress: progresses.Progress,
        response: exchange.UpstreamResponse,
        sink: progresses.Sink,
    ) -> result.Result[calls.Outcome, errors.UpstreamError]:
        status = response.status
        if status in calls.NOT_RUN_STATUSES and (progress.may_have_run or progress.open_sends > 1):
            message = f"refused with status {status}, but an earlier send may have run"
            return result.Err(errors.UpstreamFailed(message))
        if progress.route.repetition is rules.Repetition.STREAM and status == 200:
            return await self._responses.relay_stream(
                progress, response, sink, lambda *_: response.read_chunk(), lambda: None
            )
        return await self._responses.relay_body(progress, response, sink, lambda has_failed: None)
