"""Fleet sums: what daemons report of their sends, demands and answers, summed over the fleet.

In a large fleet, daemons report to the sources of their cohort, which exchange the sums of their
cohorts and send the total to all daemons. A report that is part of a sum must not count besides it.
"""

import dataclasses
from collections.abc import Mapping

from tanagerfork.generated import notices
from tanagerfork.relay import capacities, cohorts, demands, loads

COHORT_SUM_PREFIX = "cohort "  # Starts the name under which the sum of another cohort is recorded.
FLEET_SUM = "all"  # Name under which the sum of all daemons is recorded.


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Loads by upstream, demands, and sums of answers, of one daemon or of several."""

    open_loads: Mapping[str, loads.SharedLoad]
    wanted: demands.Demands
    answers: capacities.Sums

    def add_to_notice(self, notice: notices.Notice, now_ms: float) -> None:
        """Write the figures into a notice.

        :param notice: notice, which says whose figures they are.
        :param now_ms: monotonic clock, in milliseconds.
        """
        notice.has_loads = True
        notice.loads = [
            notices.OpenLoad(
                upstream=key,
                requests=load.requests,
                unread_tokens=load.unread_tokens,
                recent_sends=load.recent_sends,
                heard_age_ms=load.measure_heard_age_ms(now_ms),
            )
            for key, load in self.open_loads.items()
        ]
        notice.demands = demands.encode(self.wanted)
        is_own = notice.covers == "daemon"
        max_upstreams = capacities.MAX_REPORTED if is_own else capacities.MAX_SUMMED
        notice.answers = capacities.encode(self.answers, max_upstreams)


def read_figures(notice: notices.Notice, now_ms: float) -> Figures:
    """Return the figures of a notice.

    :param notice: notice of another daemon.
    :param now_ms: monotonic clock, in milliseconds.
    """
    open_loads = {
        reported.upstream: loads.SharedLoad(
            reported.requests,
            reported.unread_tokens,
            reported.recent_sends,
            now_ms - reported.heard_age_ms if reported.heard_age_ms >= 0 else loads.NEVER_MS,
        )
        for reported in notice.loads
    }
    return Figures(open_loads, demands.decode(notice.demands), capacities.decode(notice.answers))


class FleetSums:
    """Records the figures of other daemons, and sums them up with those of this one.

    :param book: loads of the upstreams.
    :param demand_book: requests that arrive for each model.
    :param own_capacities: what upstreams handle well.
    :param own_cohorts: finds the sources.
    """

    __slots__ = ("_book", "_demands", "_capacities", "_cohorts", "_own", "_cohort_names")

    def __init__(
        self,
        book: loads.LoadBook,
        demand_book: demands.DemandBook,
        own_capacities: capacities.Capacities,
        own_cohorts: cohorts.Cohorts,
    ) -> None:
        self._book = book
        self._demands = demand_book
        self._capacities = own_capacities
        self._cohorts = own_cohorts
        self._own = Figures({}, {}, {})
        self._cohort_names: dict[str, str] = {}  # Under which each source sent its last sum.

    def measure_own(self, now_ms: float) -> Figures:
        """Drop reports that have expired, and return the figures of this daemon.

        :param now_ms: monotonic clock, in milliseconds.
        """
        self._book.expire_peers(now_ms)
        self._demands.expire_peers(now_ms)
        self._capacities.update(now_ms)
        self._own = Figures(
            self._book.list_open(), self._demands.list_own(now_ms), self._capacities.list_own()
        )
        return self._own

    def sum_fleet(self, now_ms: float) -> Figures:
        """Return the sum of all daemons, as a source sends it to its cohort.

        :param now_ms: monotonic clock, in milliseconds.
        """
        self._drop(FLEET_SUM)  # From before this daemon became a source; it would count twice.
        return Figures(
            self._book.sum_open(),
            self._demands.sum_all(now_ms),
            self._capacities.sum_all(now_ms),
        )

    def sum_cohort(self, now_ms: float) -> Figures:
        """Return the sum of this daemon's cohort, as a source sends it to other sources.

        :param now_ms: monotonic clock, in milliseconds.
        """
        others = [name for name in self._book.peers if name.startswith(COHORT_SUM_PREFIX)]
        return Figures(
            self._book.sum_open(without=others),
            self._demands.sum_all(now_ms, others),
            self._capacities.sum_all(now_ms, others),
        )

    def record(self, notice: notices.Notice, now_ms: float) -> None:
        """Record the figures of a notice, unless a sum that counts includes them.

        :param notice: notice of another daemon.
        :param now_ms: monotonic clock, in milliseconds.
        """
        figures = read_figures(notice, now_ms)
        if notice.covers == "daemon":
            if not self._is_in_a_sum(notice.daemon):
                self._note(notice.daemon, figures, now_ms)
        elif notice.covers == "cohort":
            name = COHORT_SUM_PREFIX + notice.cohort
            self._drop_renamed_cohort(notice.daemon, name)
            self._note(name, figures, now_ms)
        elif not self._cohorts.is_source():
            self._note(FLEET_SUM, self._subtract_own(figures), now_ms)
            self._book.drop_peers(without=FLEET_SUM)
            self._demands.drop_peers(without=FLEET_SUM)
            self._capacities.drop_peers(without=FLEET_SUM)

    def _note(self, name: str, figures: Figures, now_ms: float) -> None:
        self._demands.record_peer(name, figures.wanted, now_ms)
        self._capacities.record_peer(name, figures.answers, now_ms)
        self._book.note_peer_loads(name, dict(figures.open_loads), now_ms)

    def _subtract_own(self, figures: Figures) -> Figures:
        """Return a sum of all daemons without the figures that this daemon sent last."""
        return Figures(
            {
                key: load.subtract(self._own.open_loads.get(key, loads.NO_LOAD))
                for key, load in figures.open_loads.items()
            },
            demands.subtract(figures.wanted, self._own.wanted),
            capacities.subtract(figures.answers, self._own.answers),
        )

    def _drop(self, name: str) -> None:
        self._book.drop_peer(name)
        self._demands.drop_peer(name)
        self._capacities.drop_peer(name)

    def _drop_renamed_cohort(self, source: str, name: str) -> None:
        """Drop the sum that a source sent under another name, or its cohort would count twice.

        A cohort is named after its first daemon, which changes as daemons come and go.
        """
        former = self._cohort_names.get(source, name)
        self._cohort_names[source] = name
        if former != name:
            self._drop(former)

    def _is_in_a_sum(self, daemon: str) -> bool:
        """Return whether a sum that counts now includes a daemon's own notice of its figures.

        Daemons that know fewer others still send each of them theirs, which must not count twice.
        """
        if not self._cohorts.is_source():
            return FLEET_SUM in self._book.peers
        has_sums = any(name.startswith(COHORT_SUM_PREFIX) for name in self._book.peers)
        return has_sums and daemon not in self._cohorts.list_own_cohort()
