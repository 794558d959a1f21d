"""Cohorts: sets of daemons of one failure domain, in which two sources inform all others."""

from tanagerfork.relay import daemon_directory

# A source keeps a link to each daemon of its cohort and, in a fleet of thousands, as many again to
# the sources of other cohorts.
COHORT_SIZE = 64
SOURCES_PER_COHORT = 2  # One may stop or be cut off without the other daemons missing anything.


class Cohorts:
    """Divides the listed daemons by their entries alone, so that all daemons get the same cohorts.

    :param name: name of this daemon.
    :param failure_domain: failure domain of this daemon.
    :param directory: list of the daemons.
    """

    __slots__ = ("_name", "_failure_domain", "_directory")

    def __init__(
        self, name: str, failure_domain: str, directory: daemon_directory.DaemonDirectory
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._directory = directory

    def list_own_cohort(self) -> list[str]:
        """Return the daemons of this daemon's cohort, the sources first."""
        cohorts = self._list_cohorts(self._failure_domain)
        return next(cohort for cohort in cohorts if self._name in cohort)

    def is_source(self) -> bool:
        """Return whether this daemon is a source of its cohort."""
        return self._name in self.list_own_cohort()[:SOURCES_PER_COHORT]

    def list_other_sources(self) -> list[str]:
        """Return the sources of all other cohorts."""
        domains = sorted({record.failure_domain for record in self._directory.daemons.values()})
        return [
            name
            for domain in domains
            for cohort in self._list_cohorts(domain)
            if self._name not in cohort
            for name in cohort[:SOURCES_PER_COHORT]
        ]

    def _list_cohorts(self, failure_domain: str) -> list[list[str]]:
        """Return the cohorts of a failure domain.

        The daemons with the fastest links come first, as sources send to all others, unless the
        links of some are unknown: those would choose others.
        """
        names = sorted(self._directory.list_names(failure_domain))
        cohorts = [
            names[start : start + COHORT_SIZE] for start in range(0, len(names), COHORT_SIZE)
        ]
        links = {name: self._directory.daemons[name].link_mbps for name in names}
        if all(links.values()):
            for cohort in cohorts:
                cohort.sort(key=lambda name: (-links[name], name))
        return cohorts
