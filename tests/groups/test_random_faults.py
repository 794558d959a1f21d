"""Random faults with fixed seeds: invariants hold throughout, and all groups recover afterwards."""

import random

import pytest

from tests.groups import clusters

FAULTS = 40
FAULT_INTERVALS_MS = (500, 1000, 3000, 8000)
RECOVERY_MS = 240_000
GROUPS = 4
DAEMONS = 3


class FaultInjector:
    """Injects random faults into a simulated cluster.

    :param cluster: cluster.
    :param rng: source of random choices.
    """

    def __init__(self, cluster: clusters.Cluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.version = 1

    def choose_vm(self):
        """Return the engine of a random VM."""
        return self.rng.choice(list(self.cluster.fleet.engines.values()))

    def inject(self) -> None:
        """Start or end one random fault."""
        names = [name for name in dir(self) if name.startswith("do_")]
        getattr(self, self.rng.choice(names))()

    def do_die(self) -> None:
        self.cluster.fleet.die(self.choose_vm().entry.vm)

    def do_return(self) -> None:
        for model in self.cluster.fleet.engines.values():
            if not model.is_alive:
                is_same = self.rng.random() < 0.5
                self.cluster.fleet.come_back(model.entry.vm, as_if_nothing_happened=is_same)
                return

    def do_pause(self) -> None:
        model = self.choose_vm()
        model.is_paused = not model.is_paused

    def do_slow(self) -> None:
        model = self.choose_vm()
        model.slowdown = 5.0 - model.slowdown

    def do_leave(self) -> None:
        entry = self.choose_vm().entry
        entry.leaving = not entry.leaving

    def do_unlist(self) -> None:
        self.cluster.fleet.unlisted ^= {self.choose_vm().entry.vm}

    def do_pause_daemon(self) -> None:
        self.cluster.paused ^= {self.rng.randrange(DAEMONS)}

    def do_service(self) -> None:
        self.cluster.store.is_away = not self.cluster.store.is_away

    def do_lose_answers(self) -> None:
        self.cluster.store.lost_answers += 1

    def do_lose_calls(self) -> None:
        self.cluster.store.lost_calls += 1

    def do_hold_orders(self) -> None:
        self.cluster.fleet.holds_orders = not self.cluster.fleet.holds_orders

    def do_deliver(self) -> None:
        self.cluster.fleet.deliver_held()

    def do_roll(self) -> None:
        self.version += 1
        self.cluster.roll(GROUPS, version=str(self.version))

    def end_all_faults(self) -> None:
        """End all faults that are still active."""
        cluster = self.cluster
        cluster.paused.clear()
        cluster.store.is_away = cluster.fleet.holds_orders = False
        cluster.store.lost_answers = cluster.store.lost_calls = 0
        cluster.fleet.unlisted.clear()
        cluster.fleet.deliver_held()
        for model in cluster.fleet.engines.values():
            model.is_paused, model.slowdown, model.entry.leaving = False, 1.0, False
            if not model.is_alive:
                cluster.fleet.come_back(model.entry.vm)


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(24))
    async def test_invariants_hold_and_all_groups_recover(self, seed):
        rng = random.Random(seed)
        cluster = clusters.Cluster(
            {"f1": 10, "f2": 10}, GROUPS, daemons=DAEMONS, checks_fencing=seed % 2 == 0
        )
        faults = FaultInjector(cluster, rng)
        await cluster.run(10_000)
        for _ in range(FAULTS):
            faults.inject()
            await cluster.run(rng.choice(FAULT_INTERVALS_MS))
        faults.end_all_faults()
        await cluster.run(RECOVERY_MS)
        for daemon in range(DAEMONS):
            versions = [view.record.version for view in cluster.whole(daemon)]
            assert versions == [str(faults.version)] * GROUPS
