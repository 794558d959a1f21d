"""Tests of the order in which a plain service's upstreams are tried."""

import random

from tanagerfork import errors
from tanagerfork.generated import bundle
from tanagerfork.routing import health, service_order

UPSTREAMS = [
    bundle.ServiceUpstream(name=name, failure_domain=domain, url="http://x")
    for name, domain in (("a", "here"), ("b", "here"), ("c", "there"))
]


def make_order() -> service_order.ServiceOrder:
    """Return the order of a daemon in failure domain `here`."""
    upstream_health = health.Health(random.Random(1), lambda *change: None)
    return service_order.ServiceOrder("here", random.Random(1), upstream_health)


def sort_often(order: service_order.ServiceOrder, now_ms: int, is_repeatable: bool = False):
    """Return the orders that occur in 50 calls, each as the joined names."""
    return {
        "".join(upstream.name for upstream in order.sort(UPSTREAMS, is_repeatable, now_ms))
        for _ in range(50)
    }


class TestServiceOrder:
    def test_own_failure_domain_goes_first(self):
        assert sort_often(make_order(), 0) == {"abc", "bac"}

    def test_failing_upstream_goes_last_until_a_repeatable_call_tries_it(self):
        order = make_order()
        for _ in range(health.FAILURES_TO_EJECT):
            order.record_result("a", errors.UpstreamUnreachable("gone"), 0)
        assert sort_often(order, 1) == {"bca"}
        assert sort_often(order, 10_000) == {"bca"}
        assert sort_often(order, 10_000, is_repeatable=True) == {"abc"}
        order.begin_call("a", 10_000)
        assert sort_often(order, 10_001, is_repeatable=True) == {"bca"}
        order.record_result("a", None, 10_002)
        assert sort_often(order, 10_003) == {"abc", "bac"}

    def test_refusal_is_not_a_failure_and_ejection_is_ignored_if_all_fail(self):
        order = make_order()
        for _ in range(9):
            order.record_result("a", errors.UpstreamRefused("busy"), 0)
        assert sort_often(order, 1) == {"abc", "bac"}
        for name in "abc":
            for _ in range(health.FAILURES_TO_EJECT):
                order.record_result(name, errors.UpstreamLost("lost"), 0)
        assert sort_often(order, 1) == {"abc", "bac"}
