"""Link checks: renew the links to daemons whose connections carry nothing any more.

An open connection may go silent for good without a reset, while new ones work. Notices go one way,
so that their sender sees nothing of it. Each daemon lists in its rounds from which others it has
received notices, and a link whose receiver got nothing for several rounds gets a new connection.
"""

import dataclasses
import heapq

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork.generated import notices
from tanagerfork.peers import link

LOGGER = "relay.link_checks"
SILENCE_MS = 1500  # Five rounds of notices.
MAX_SILENCE_MS = 3000  # Of a daemon that received nothing over new connections either.
MAX_HEARD = 64  # In one notice.


@dataclasses.dataclass(slots=True)
class LinkState:
    """Since when the receiver of a link may have received nothing, and the longest such time.

    `is_confirmed` says that it received something over the present connection.
    """

    address: str
    since_ms: float
    silence_ms: float = SILENCE_MS
    is_confirmed: bool = False


class LinkChecks:
    """Keeps track of which daemons receive notices of which others.

    :param name: name of this daemon.
    :param links: links to the other daemons.
    :param clock: clock of all decisions.
    :param log: decision log.
    """

    __slots__ = ("_name", "_links", "_clock", "_log", "_states", "_heard_at_ms")

    def __init__(
        self, name: str, links: link.LinkTable, clock: clocks.Clock, log: decisions.DecisionLog
    ) -> None:
        self._name = name
        self._links = links
        self._clock = clock
        self._log = log
        self._states: dict[str, LinkState] = {}
        self._heard_at_ms: dict[str, float] = {}

    def list_heard(self) -> list[notices.HeardDaemon]:
        """Return the daemons from which notices were received recently."""
        now_ms = self._clock.monotonic_ms()
        self._heard_at_ms = {
            daemon: at_ms
            for daemon, at_ms in self._heard_at_ms.items()
            if now_ms - at_ms < MAX_SILENCE_MS
        }
        self._states = {
            daemon: state
            for daemon, state in self._states.items()
            if now_ms - state.since_ms < 2 * MAX_SILENCE_MS
        }
        recent = heapq.nlargest(MAX_HEARD, self._heard_at_ms, key=self._heard_at_ms.__getitem__)
        return [
            notices.HeardDaemon(daemon=daemon, age_ms=round(now_ms - self._heard_at_ms[daemon]))
            for daemon in recent
        ]

    def note_notice(self, notice: notices.Notice) -> None:
        """Record a notice, and whether its sender receives the notices of this daemon.

        Earlier builds list no such daemons; while they send notices, they count as receiving them.

        :param notice: its notice.
        """
        now_ms = self._clock.monotonic_ms()
        self._heard_at_ms[notice.daemon] = now_ms
        state = self._states.get(notice.daemon)
        if state is None or not notice.has_loads:
            return
        ages_ms = [item.age_ms for item in notice.heard or () if item.daemon == self._name]
        if notice.heard is None:
            ages_ms = [0]
        if ages_ms and now_ms - ages_ms[0] > state.since_ms:
            state.since_ms = now_ms - ages_ms[0]
            state.silence_ms = SILENCE_MS
            state.is_confirmed = True

    def check(self, daemon: str, address: str) -> None:
        """Renew the link to a daemon before a send if the daemon received nothing for long.

        :param daemon: name of the daemon.
        :param address: where it receives notices.
        """
        now_ms = self._clock.monotonic_ms()
        state = self._states.get(daemon)
        if state is None or state.address != address:
            self._states[daemon] = LinkState(address, now_ms)
            self._links.renew(address)
        elif now_ms - state.since_ms >= state.silence_ms:
            if state.is_confirmed:
                self._log.note(LOGGER, "link renewed", to=daemon, address=address)
            state.since_ms = now_ms
            state.is_confirmed = False
            state.silence_ms = min(MAX_SILENCE_MS, 2 * state.silence_ms)
            self._links.renew(address)
