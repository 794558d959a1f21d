"""Order in which the upstreams of a plain service are tried."""

import random
from collections.abc import Sequence

from tanagerfork import errors
from tanagerfork.generated import bundle
from tanagerfork.routing import health

TRIAL_TIMEOUT_MS = 10_000


class ServiceOrder:
    """Sorts upstreams: own failure domain first, ejected ones last, otherwise at random.

    An ejected upstream is readmitted after a successful trial. Only a call that may be repeated is
    used as a trial.

    :param failure_domain: failure domain whose upstreams are preferred.
    :param rng: random numbers.
    :param upstream_health: health of the upstreams.
    """

    __slots__ = ("_failure_domain", "_rng", "_health")

    def __init__(
        self, failure_domain: str, rng: random.Random, upstream_health: health.Health
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._health = upstream_health

    def sort(
        self, upstreams: Sequence[bundle.ServiceUpstream], is_repeatable: bool, now_ms: int
    ) -> list[bundle.ServiceUpstream]:
        """Return all upstreams in the order in which they are to be tried.

        :param upstreams: upstreams of the service.
        :param is_repeatable: whether the call may be repeated.
        :param now_ms: monotonic clock, in milliseconds.
        """
        names = [upstream.name for upstream in upstreams]
        ejected = {names[index] for index in self._health.find_ejected(names, now_ms)}
        trial = self._health.find_trial(names, now_ms) if is_repeatable else ""
        shuffled = self._rng.sample(upstreams, len(upstreams))
        return sorted(
            shuffled,
            key=lambda item: (
                item.name != trial,
                item.name in ejected,
                item.failure_domain != self._failure_domain,
            ),
        )

    def begin_call(self, upstream: str, now_ms: int) -> None:
        """Record that a call is sent.

        :param upstream: name of the upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._health.begin_trial(upstream, now_ms, TRIAL_TIMEOUT_MS)

    def record_result(self, upstream: str, error: errors.UpstreamError | None, now_ms: int) -> None:
        """Record the result of a call; a refusal is neither a success nor a failure.

        :param upstream: name of the upstream.
        :param error: reason why there is no answer, None if there is one.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if error is None:
            self._health.record_success(upstream, now_ms)
        elif not isinstance(error, errors.UpstreamRefused):
            self._health.record_failure(upstream, now_ms)
