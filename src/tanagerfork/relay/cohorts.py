"""Cohorts: daemons of one failure domain that two of them serve with what all need to know."""

from tanagerfork.relay import followers

COHORT = 64  # Links that a source holds open; a fleet of thousands has as many more sources.
SOURCES = 2  # One may stop or be cut off without any other daemon missing anything.


class Cohorts:
    """Divides the listed daemons, by their names alone, so that all of them divide them alike.

    :param name: name of this daemon.
    :param failure_domain: failure domain of this daemon.
    :param directory: which daemons there are.
    """

    __slots__ = ("_name", "_failure_domain", "_directory")

    def __init__(
        self, name: str, failure_domain: str, directory: followers.DaemonDirectory
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._directory = directory

    def list_own(self) -> list[str]:
        """Return the daemons of this daemon's cohort in order; the sources come first."""
        names = sorted(self._directory.list_names(self._failure_domain))
        start = names.index(self._name) // COHORT * COHORT
        return names[start : start + COHORT]

    def is_source(self) -> bool:
        """Return whether this daemon is a source of its cohort."""
        return self._name in self.list_own()[:SOURCES]

    def list_other_sources(self) -> list[str]:
        """Return the sources of all other cohorts."""
        own = set(self.list_own())
        by_domain: dict[str, list[str]] = {}
        for name, record in sorted(self._directory.daemons.items()):
            by_domain.setdefault(record.failure_domain, []).append(name)
        return [
            name
            for names in by_domain.values()
            for start in range(0, len(names), COHORT)
            for name in names[start : start + SOURCES]
            if name not in own
        ]
