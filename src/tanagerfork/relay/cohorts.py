"""Cohorts: sets of daemons of one failure domain, in which two sources inform all others."""

from collections.abc import Sequence

from tanagerfork.relay import daemon_directory

# A source keeps a link to each daemon of its cohort and, in a fleet of thousands, as many again to
# the sources of other cohorts.
COHORT_SIZE = 64
SOURCES_PER_COHORT = 2  # One may stop or be cut off without the other daemons missing anything.


class Cohorts:
    """Divides the listed daemons by their names alone, so that all daemons get the same cohorts.

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
        """Return the daemons of this daemon's cohort, sorted; the sources come first."""
        cohorts = _split_into_cohorts(self._directory.list_names(self._failure_domain))
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
            for cohort in _split_into_cohorts(self._directory.list_names(domain))
            if self._name not in cohort
            for name in cohort[:SOURCES_PER_COHORT]
        ]


def _split_into_cohorts(names: Sequence[str]) -> list[list[str]]:
    """Return the cohorts of the daemons of one failure domain."""
    ordered = sorted(names)
    return [ordered[start : start + COHORT_SIZE] for start in range(0, len(ordered), COHORT_SIZE)]
