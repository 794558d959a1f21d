"""Stopping: the part of a planned stop in which open requests are finished."""

import dataclasses

from tanagerfork import clock as clocks
from tanagerfork.relay import front, listeners

CHECK_INTERVAL_MS = 20
BALANCER_REMOVAL_MS = 2500  # The balancer probes each second, drops a daemon after 2 failures.


@dataclasses.dataclass(slots=True, frozen=True)
class Drained:
    """How long open requests were waited for, and how many were ended before their time."""

    waited_ms: int
    ended_early: int


async def drain(
    served: front.Front, open_listeners: listeners.Listeners, clock: clocks.Clock, limit_ms: float
) -> Drained:
    """Wait until all open requests are finished, and end those that are left.

    :param served: serves the requests.
    :param open_listeners: listeners that the requests come from.
    :param clock: clock to wait on.
    :param limit_ms: longest wait, in milliseconds.
    """
    served.is_draining = True
    began_ms = clock.monotonic_ms()
    while (waited_ms := clock.monotonic_ms() - began_ms) < limit_ms:
        if waited_ms >= BALANCER_REMOVAL_MS:
            served.is_rejecting = True  # A new request might outlast the grace period.
            if not served.open_requests and not open_listeners.has_unsent_bytes:
                break
        await clock.sleep_ms(CHECK_INTERVAL_MS)
    drained = Drained(waited_ms, served.open_requests)
    await served.end_waiting()
    return drained
