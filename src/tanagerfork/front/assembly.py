"""Puts together what requests for models go through; called by the composition root alone."""

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
class ChatParts:
    """The runner of requests for models, and the parts that have to be run and stopped."""

    runner: chat.ChatRunner
    entrance: gate.Gate
    follower: cache_events.CacheFollower
    teller: neighbours.UsageTeller

    def list_work(self) -> list[Coroutine[Any, Any, None]]:
        """Return the tasks to run."""
        return [self.follower.run(), self.teller.run()]


class HealthEvents:
    """Tells changes of health on the time line.

    :param timeline: time line.
    """

    __slots__ = ("_timeline",)

    def __init__(self, timeline: ring.Timeline) -> None:
        self._timeline = timeline

    def tell(self, name: str, state: str, reason: str) -> None:
        """Record a change.

        :param name: group or upstream.
        :param state: state it has now.
        :param reason: why.
        """
        is_ejected = state == health.HealthState.EJECTED
        kind = kinds.EventKind.GROUP_EJECTED if is_ejected else kinds.EventKind.GROUP_READMITTED
        logs.log_event(self._timeline.record(kind, reason, group=name))


def build_service_order(
    failure_domain: str, rng: random.Random, timeline: ring.Timeline
) -> service_order.ServiceOrder:
    """Build the order of the plain services' upstreams.

    :param failure_domain: failure domain whose upstreams are preferred.
    :param rng: random numbers.
    :param timeline: time line.
    :return: the order.
    """
    judge = health.Health(rng, HealthEvents(timeline).tell)
    return service_order.ServiceOrder(failure_domain, rng, judge)


def build_chats(
    name: str,
    groups: directory.GroupDirectory,
    client: engines.EngineClient,
    peers: peer_services.PeerService,
    clock: clocks.Clock,
    rng: random.Random,
    timeline: ring.Timeline,
    metrics: metric.Metrics,
) -> ChatParts:
    """Build the path of requests for models.

    :param name: name of this daemon.
    :param groups: groups as this daemon knows them.
    :param client: engine client.
    :param peers: peers' service.
    :param clock: clock of the deadlines.
    :param rng: random numbers.
    :param timeline: time line.
    :param metrics: counters.
    :return: the parts.
    """
    fleet = neighbours.PeerFleet(name, peers, clock)
    suspects = poison.PoisonRegister()
    listener = neighbours.PoisonListener(suspects, clock)
    peers.subscribe_notices(neighbours.POISON, listener.hear)
    peers.serve(neighbours.POISON, listener.take)
    judge = health.Health(rng, HealthEvents(timeline).tell)
    choice = balancer.Balancer(rng, judge, affinity.PrefixMap())
    leaving_vms = leaving.LeavingVms(groups.find_vm, fleet)
    policy = chat.ChatPolicy(
        balancer=choice,
        leaving=leaving_vms,
        budget=retry.RetryBudget(),
        pacer=retry.DialPacer(rng),
        poison=suspects,
        fleet=fleet,
    )
    team_limits = limits.TeamLimits(fleet)
    entrance = gate.Gate(groups, choice.sent_load, team_limits, fleet, clock, metrics)
    peers.offer_capacity(
        lambda now_ms: neighbours.describe_capacity(entrance.count_free_slots(now_ms))
    )
    tries = attempts.AttemptRunner(groups, choice, suspects, client, clock, metrics)
    groups.subscribe(tries.end_group)
    return ChatParts(
        chat.ChatRunner(groups, policy, entrance, tries, clock, timeline, metrics),
        entrance,
        cache_events.CacheFollower(groups, choice, client, clock),
        neighbours.UsageTeller(peers, team_limits, leaving_vms, clock),
    )
