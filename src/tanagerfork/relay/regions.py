"""Regions: in which failure domains a request may run, by the regions that its rules allow."""

from collections.abc import Iterable, Mapping

Regions = frozenset[str] | None  # Allowed regions; None for all.


def intersect(first: Regions, second: Regions) -> Regions:
    """Return the regions that two rules both allow.

    :param first: regions of one rule.
    :param second: regions of the other rule.
    """
    if first is None or second is None:
        return second if first is None else first
    return first & second


class RegionMap:
    """Region of each failure domain.

    A failure domain without a region is in none, so that nothing runs there that is restricted.

    :param regions: region by failure domain.
    """

    __slots__ = ("_regions",)

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._regions = dict(regions)

    def allows(self, failure_domain: str, allowed: Regions) -> bool:
        """Return whether a request may run in a failure domain.

        :param failure_domain: failure domain.
        :param allowed: regions in which the request may run.
        """
        return allowed is None or self._regions.get(failure_domain) in allowed

    def allows_all(self, failure_domains: Iterable[str], allowed: Regions) -> bool:
        """Return whether a request may run in several failure domains together.

        :param failure_domains: failure domains.
        :param allowed: regions in which the request may run.
        """
        return all(self.allows(failure_domain, allowed) for failure_domain in failure_domains)
