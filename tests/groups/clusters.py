"""Simulation of a failure domain with several daemons on a manual clock."""

from bench import fleet as fleets

from tanagerfork import clock as clocks
from tanagerfork.groups import presence
from tests import fakes


class Cluster:
    """Simulated engines, key-value service, and daemons that observe and coordinate."""

    def __init__(
        self,
        domains: dict[str, int],
        groups: int,
        daemons: int = 1,
        checks_fencing: bool = True,
        load_ms: int = 1000,
        **bundle,
    ) -> None:
        self.fleet = fleets.Fleet(domains, load_ms=load_ms, checks_fencing=checks_fencing)
        self.store = fakes.MemoryKeyValue()
        self.clock = clocks.ManualClock()
        self.bundles = fleets.BundleSource(fleets.InForce(fleets.make_bundle(groups, **bundle)))
        names = [f"d{number}" for number in range(daemons)]
        self.daemons = [
            fleets.FleetDaemon(name, self.fleet, self.store, self.clock, self.bundles)
            for name in names
        ]
        self.paused: set[int] = set()
        self._wrong_since_ms: dict[tuple[int, str], int] = {}

    async def run(self, duration_ms: int) -> None:
        """Advance time in steps, and call `check_exclusive` after each step."""
        for _ in range(duration_ms // fleets.STEP_MS):
            self.clock.advance(fleets.STEP_MS)
            self.fleet.advance(self.clock.monotonic_ms())
            for number, daemon in enumerate(self.daemons):
                if number not in self.paused:
                    await daemon.step()
                    self.share_layout(daemon)
            self.check_exclusive()

    def share_layout(self, daemon: fleets.FleetDaemon) -> None:
        """Deliver the stored layout to a daemon as its watch would, if the service is available."""
        entry = None if self.store.is_away else self.store.entries.get("layout/ipoh-a")
        if entry is not None:
            daemon.coordinator._apply_entry(entry)

    def check_exclusive(self) -> None:
        """Check that no VM serves in two groups, and that no daemon sees a broken group as whole.

        A daemon may still see it as whole until the reports expire.
        """
        homes: dict[str, tuple] = {}
        wrong = {}
        now_ms = self.clock.monotonic_ms()
        for number, daemon in enumerate(self.daemons):
            for view in [] if number in self.paused else daemon.whole():
                if not self.fleet.is_truly_whole(view.record.members):
                    key = (number, view.record.group)
                    wrong[key] = self._wrong_since_ms.get(key, now_ms)
                    assert now_ms - wrong[key] <= daemon.settings.presence_ttl_ms
                    continue
                for vm in view.record.members:
                    home = (view.record.group, view.record.generation, *view.record.members)
                    assert homes.setdefault(vm, home) == home
        self._wrong_since_ms = wrong

    def roll(self, groups: int, **bundle) -> None:
        """Put a new bundle in force."""
        self.bundles.current = fleets.InForce(fleets.make_bundle(groups, **bundle))
        self.bundles.version += 1

    def whole(self, daemon: int = 0) -> list[presence.GroupView]:
        """Return the groups that a daemon sees as whole."""
        return self.daemons[daemon].whole()

    @property
    def layout(self):
        """Layout known to the first daemon."""
        return self.daemons[0].groups.layout

    def kinds(self, daemon: int = 0) -> list[str]:
        """Return the kinds of a daemon's events."""
        return [event.kind for event in self.daemons[daemon].timeline.read().events]
