"""Platform faults: what befalls the store, the runners and the configuration in the soak."""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable, Mapping

from tanagerfork_standins import proxy
from tanagerfork_standins.platform import partition, runner, site
from tools import evacuations, keys

EVACUATION_S = (0.5, evacuations.APPLY_S + 2)  # Over before all know of it, or beyond the bound.


class PlatformFaults:
    """Injects the faults of one run into the stand-ins.

    Callers name a part that crashes runners until `crashing_part_until_s`, in the time of the event
    loop. `store_disturbed_s` is when the last fault of the store ended.

    :param deployment: stand-ins.
    :param networks: paths of the daemons, by their names.
    :param ring: keys in the configuration.
    :param evacuated: evacuations of failure domains.
    :param rng: draws what is hit, and for how long.
    """

    __slots__ = (
        "_site",
        "_networks",
        "_keys",
        "_evacuations",
        "_rng",
        "crashing_part_until_s",
        "store_disturbed_s",
        "_store_faults",
    )

    def __init__(
        self,
        deployment: site.Site,
        networks: Mapping[str, partition.DaemonNetwork],
        ring: keys.KeyRing,
        evacuated: evacuations.Evacuations,
        rng: random.Random,
    ) -> None:
        self._site = deployment
        self._networks = networks
        self._keys = ring
        self._evacuations = evacuated
        self._rng = rng
        self.crashing_part_until_s = 0.0
        self.store_disturbed_s = 0.0
        self._store_faults = 0

    @property
    def is_store_disturbed(self) -> bool:
        """Whether a fault of the store goes on."""
        return self._store_faults > 0

    def list_faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the faults by their names."""
        store_faults = {
            "store silent": self._silence_store,
            "store slow": self._slow_store,
            "store refuses": self._refuse_store_calls,
            "store loses": self._lose_store_answers,
            "store forgets": self._forget_store_history,
            "store resets": self._reset_store_connections,
            "store goes back": self._restore_store,
        }
        return {
            **{
                name: functools.partial(self._disturb_store, fault)
                for name, fault in store_faults.items()
            },
            "runner crashes": self._crash_runner,
            "runner's answers": self._inject_answer_faults,
            "new configuration": self._write_configuration,
            "runner leaves": self._have_runner_leave,
            "runner is in need": self._limit_runner,
            "part crashes": self._crash_by_part,
            "key revoked": self._grant_and_revoke_key,
            "domain evacuated": self._evacuate,
        }

    async def _disturb_store(self, fault: Callable[[], Awaitable[None]]) -> None:
        self._store_faults += 1
        await fault()
        self._store_faults -= 1
        self.store_disturbed_s = asyncio.get_running_loop().time()

    async def _crash_runner(self) -> None:
        await self._rng.choice([*self._site.engine_runners, *self._site.plain_runners]).crash()

    async def _inject_answer_faults(self) -> None:
        member = self._rng.choice([*self._site.engine_runners, *self._site.plain_runners])
        member.faults.extend(self._rng.choices(list(runner.Fault), k=3))

    @property
    def _store_paths(self) -> list[proxy.Proxy]:
        return [network.store_path for network in self._networks.values()]

    async def _silence_store(self) -> None:
        for path in self._store_paths:
            path.is_silent = True
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        for path in self._store_paths:
            path.is_silent = False
            path.reset()

    async def _slow_store(self) -> None:
        for path in self._store_paths:
            path.delay_s = 0.2
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        for path in self._store_paths:
            path.delay_s = 0.0

    async def _refuse_store_calls(self) -> None:
        self._site.store.faults.error_status = self._rng.choice((429, 503))
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        self._site.store.faults.error_status = 0

    async def _lose_store_answers(self) -> None:
        self._site.store.faults.lost_responses += 2

    async def _forget_store_history(self) -> None:
        self._site.store.drop_history()

    async def _reset_store_connections(self) -> None:
        for path in self._store_paths:
            path.reset()

    async def _restore_store(self) -> None:
        """Go back by up to three seconds; runners and the operator then write theirs again."""
        store = self._site.store
        store.era = store.era or 1
        items, revision = dict(store.items), store.revision
        config = store.items["op/config"].value
        await asyncio.sleep(self._rng.uniform(0.2, 3))
        config = self._find_newest(config)
        store.restore(items, revision)
        self._keys.note_restored()
        self._evacuations.note_restored()
        await asyncio.sleep(self._rng.uniform(0, 1))
        store.put("op/config", self._find_newest(config))
        self._keys.note_restored()
        for member in [*self._site.engine_runners, *self._site.plain_runners]:
            member.publish_entry()

    def _find_newest(self, config: bytes) -> bytes:
        """Return the newer one of a configuration and the stored one."""
        return max((config, self._site.store.items["op/config"].value), key=site.read_version)

    async def _evacuate(self) -> None:
        await self._evacuations.evacuate(self._rng.choice(EVACUATION_S))

    async def _have_runner_leave(self) -> None:
        member = self._rng.choice([*self._site.engine_runners, *self._site.plain_runners])
        member.leaving_text = "1"
        await asyncio.sleep(self._rng.uniform(2, 5))
        member.leaving_text = None
        await member.crash()

    async def _limit_runner(self) -> None:
        member = self._rng.choice([*self._site.engine_runners, *self._site.plain_runners])
        member.limit_per_s = self._rng.choice((0.0, 0.5, 5.0))
        await asyncio.sleep(self._rng.uniform(0.5, 3))
        member.limit_per_s, member.quiet_text = None, "0.5"
        await asyncio.sleep(self._rng.uniform(0.2, 1))
        member.quiet_text = None

    async def _crash_by_part(self) -> None:
        for member in self._site.engine_runners:
            member.crashing_parts = {"bad"}
        self.crashing_part_until_s = asyncio.get_running_loop().time() + self._rng.uniform(1, 4)

    async def _write_configuration(self) -> None:
        self._site.write_config()

    async def _grant_and_revoke_key(self) -> None:
        key = self._keys.grant()
        await asyncio.sleep(self._rng.uniform(1, 3))
        self._keys.revoke(key)
