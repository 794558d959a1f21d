"""Builds the components that serve requests; called by the composition root only."""

import dataclasses
import random
from collections.abc import Coroutine
from typing import Any

from tanagerfork import clock as clocks
from tanagerfork import logs
from tanagerfork import metrics as metric
from tanagerfork.front import attempts, chat, gate, neighbours
from tanagerfork.groups import directory
from tanagerfork.peers import service as peer_services
from tanagerfork.routing import (
    affinity,
    balancer,
    health,
    leaving,
    limits,
    poison,
    retry,
    service_order,
)
from tanagerfork.timeline import kinds, ring
from tanagerfork.upstream import cache_events
from tanagerfork.upstream import engine as engines


@dataclasses.dataclass(slots=True)
class ChatComponents:
    """The runner of requests for models, and the components that have to be run and stopped."""

    runner: chat.ChatRunner
    entrance: gate.Gate
    cache_follower: cache_events.CacheFollower
    usage_announcer: neighbours.UsageAnnouncer

    def list_work(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines to run as background tasks."""
        return [self.cache_follower.run(), self.usage_announcer.run()]


class HealthRecorder:
    """Records changes of health on the timeline.

    :param timeline: timeline that events are recorded on.
    """

    __slots__ = ("_timeline",)

    def __init__(self, timeline: ring.Timeline) -> None:
        self._timeline = timeline

    def record_change(self, name: str, state: str, reason: str) -> None:
        """Record a change.

        :param name: group or upstream.
        :param state: new state.
        :param reason: reason of the change.
        """
        is_ejected = state == health.HealthState.EJECTED
        kind = kinds.EventKind.GROUP_EJECTED if is_ejected else kinds.EventKind.GROUP_READMITTED
        logs.log_event(self._timeline.record(kind, reason, group=name))


def build_service_order(
    failure_domain: str, rng: random.Random, timeline: ring.Timeline
) -> service_order.ServiceOrder:
    """Build the policy that orders the upstreams of plain services.

    :param failure_domain: failure domain whose upstreams are preferred.
    :param rng: random number generator.
    :param timeline: timeline that events are recorded on.
    :return: the policy.
    """
    upstream_health = health.Health(rng, HealthRecorder(timeline).record_change)
    return service_order.ServiceOrder(failure_domain, rng, upstream_health)


def build_chats(
    name: str,
    groups: directory.GroupDirectory,
    client: engines.EngineClient,
    peers: peer_services.PeerService,
    clock: clocks.Clock,
    rng: random.Random,
    timeline: ring.Timeline,
    metrics: metric.Metrics,
) -> ChatComponents:
    """Build the components that serve requests for models.

    :param name: name of this daemon.
    :param groups: this daemon's view of the groups.
    :param client: engine client.
    :param peers: peer service.
    :param clock: clock for deadlines.
    :param rng: random number generator.
    :param timeline: timeline that events are recorded on.
    :param metrics: metrics registry.
    :return: the components.
    """
    fleet = neighbours.PeerFleet(name, peers, clock)
    poison_register = poison.PoisonRegister()
    listener = neighbours.PoisonListener(poison_register, clock)
    peers.subscribe_notices(neighbours.POISON_NOTICE, listener.apply_notice)
    peers.serve(neighbours.POISON_NOTICE, listener.handle_message)
    group_health = health.Health(rng, HealthRecorder(timeline).record_change)
    group_balancer = balancer.Balancer(rng, group_health, affinity.PrefixMap())
    leaving_vms = leaving.LeavingVms(groups.find_vm, fleet)
    policy = chat.ChatPolicy(
        balancer=group_balancer,
        leaving=leaving_vms,
        budget=retry.RetryBudget(),
        pacer=retry.DialPacer(rng),
        poison=poison_register,
        fleet=fleet,
    )
    team_limits = limits.TeamLimits(fleet)
    entrance = gate.Gate(groups, group_balancer.sent_load, team_limits, fleet, clock, metrics)
    peers.offer_capacity(
        lambda now_ms: neighbours.describe_capacity(entrance.count_free_slots(now_ms))
    )
    attempt_runner = attempts.AttemptRunner(
        groups, group_balancer, poison_register, client, clock, metrics
    )
    groups.subscribe(attempt_runner.stop_group_attempts)
    return ChatComponents(
        chat.ChatRunner(groups, policy, entrance, attempt_runner, clock, timeline, metrics),
        entrance,
        cache_events.CacheFollower(groups, group_balancer, client, clock),
        neighbours.UsageAnnouncer(peers, team_limits, leaving_vms, clock),
    )
