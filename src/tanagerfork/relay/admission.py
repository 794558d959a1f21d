"""Admission: refuses a request at once where it could only make others late.

Answers bursts and lost groups, when more requests arrive than the groups of a model can begin in
time. Were all of them sent, the queues at the groups would grow until every answer is late. A full
group therefore gets no further request once its queue uses up the goal; the caller is told when to
come back. Requests that are late already are sent while the queue is shorter, so that they take
no place from requests that can still be in time.
"""

import dataclasses

LATE_QUEUE_PRIORITY = 9  # The last that upstreams know; see `platform/headers.py`.
LATE_GOAL_SHARE = 0.4  # Of the goal that a queue may use for a request that is late already.
# Estimates count what other daemons told, which may be wrong for a while after daemons came or
# went. A queue that one of the groups itself has reported within this time is certain.
QUEUE_REPORT_MS = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """What the decision needs to know of a request.

    :param goal_ms: shortest goal for the first event among the routes whose requests the groups
        serve, so that all of them are refused alike.
    :param waited_ms: time since the caller's first attempt, as far as its deadline tells.
    :param must_continue: whether the request was sent before or resumes a stream.
    """

    goal_ms: float
    waited_ms: float
    must_continue: bool

    @property
    def is_late(self) -> bool:
        """Whether the goal for the first event has passed."""
        return self.waited_ms >= self.goal_ms


def compute_wait_limit_ms(arrival: Arrival) -> float:
    """Return how long a request may wait at a full group, without the time to read its own prompt.

    The own prompt is left out, so that long prompts are not refused more often than short ones.

    :param arrival: request.
    :return: limit in milliseconds; infinite for a request that must go on.
    """
    if arrival.must_continue:
        return float("inf")
    return arrival.goal_ms * (LATE_GOAL_SHARE if arrival.is_late else 1.0)


def choose_queue_priority(priority: int, is_late: bool, has_several: bool) -> int | None:
    """Return the priority in the queue of an upstream, None where none is sent.

    Upstreams serve requests without one as of middle priority, so that late ones queue behind
    them even where the configuration has one priority only.

    :param priority: effective priority of the request.
    :param is_late: whether it can't be in time any more.
    :param has_several: whether the configuration has several effective priorities.
    """
    if is_late:
        return LATE_QUEUE_PRIORITY
    return min(max(0, priority), LATE_QUEUE_PRIORITY - 1) if has_several else None


def has_reported_queue(waiting: int, age_ms: float) -> bool:
    """Return whether a group's last report is evidence of an overload.

    :param waiting: requests that waited for a slot by that report.
    :param age_ms: age of the report.
    """
    return waiting > 0 and age_ms <= QUEUE_REPORT_MS


def is_admitted(wait_ms: float, requests: float, slots: float, limit_ms: float) -> bool:
    """Return whether a request is sent to a group while groups of the model report queues.

    :param wait_ms: expected time to the first event there, without reading the own prompt.
    :param requests: estimated number of requests that the group has.
    :param slots: requests that the group runs at once.
    :param limit_ms: longest wait; see `compute_wait_limit_ms`.
    """
    return requests < slots or wait_ms <= limit_ms
