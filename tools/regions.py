"""Regions in the soak: one route may run in one of the two only."""

from tanagerfork_standins.platform import site
from tools import verdicts

REGIONS = {"a": "north", "b": "south"}  # Of the failure domains of the stand-ins.
ALLOWED = "south"
PATH = f"/{ALLOWED}/"


class RegionRule:
    """Adds the route that is restricted, and checks where its requests come.

    :param deployment: stand-ins.
    :param verdict: receives the violations.
    """

    __slots__ = ("_site", "_verdict")

    def __init__(self, deployment: site.Site, verdict: verdicts.Verdict) -> None:
        self._site = deployment
        self._verdict = verdict
        route = {**site.make_plain_route(ALLOWED), "regionsAllowed": [ALLOWED]}
        deployment.extra_routes.append(route)

    def check(self, request_id: str, name: str) -> None:
        """Check that no runner outside the region has received a request.

        :param request_id: id of the request.
        :param name: name of the request in a violation.
        """
        for member in [*self._site.engine_runners, *self._site.plain_runners]:
            if REGIONS[member.failure_domain] != ALLOWED:
                has_come = any(run.request_id == request_id for run in member.requests)
                self._verdict.check(not has_come, f"REGION: {name} reaches {member.id}")
