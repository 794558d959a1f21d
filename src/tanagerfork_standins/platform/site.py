"""Deployment of the platform in one event loop: store, runners, and configuration."""

import msgspec

from tanagerfork import clock as clocks
from tanagerfork_standins import listener
from tanagerfork_standins.platform import runner, store

HOST = "app.example"
API_KEY = "key-of-team-a"
TEAM = "team-a"
ENGINE_SERVICE = "writer"
PLAIN_SERVICE = "ledger"
LARGE_MODEL, SMALL_MODEL = "large", "small"
EVACUATIONS = "op/evacuate/"
ROUTES = {"/stream/": "stream", "/safe/": "safe", "/unsafe/": "unsafe"}


class Site:
    """Store and runners of one deployment.

    `keys` are the API keys in the configurations that are written, `cold_per_s` the requests a
    second that a cold runner takes.

    :param failure_domains: names of the failure domains.
    :param engine_count: number of model runners per failure domain, which has one fabric domain.
    :param plain_count: number of plain runners, which are spread over the failure domains.
    """

    def __init__(
        self, failure_domains: tuple[str, ...] = ("a",), engine_count: int = 4, plain_count: int = 2
    ) -> None:
        self.store = store.Store(clocks.SystemClock())
        self.engine_runners = [
            runner.Runner(f"i-{domain}{index}", ENGINE_SERVICE, domain, f"{domain}-f0", self.store)
            for domain in failure_domains
            for index in range(engine_count)
        ]
        self.plain_runners = [
            runner.Runner(
                f"i-plain{index}",
                PLAIN_SERVICE,
                failure_domains[index % len(failure_domains)],
                "",
                self.store,
            )
            for index in range(plain_count)
        ]
        self.version = 1
        self.extra_routes: list[dict[str, object]] = []
        self.keys = [API_KEY]
        self.cold_per_s = 0.0
        self._listener = listener.Listener()
        self.store.serve(self._listener.app)
        self.address = ""

    async def start(self, with_config: bool = True) -> None:
        """Start the store and the runners.

        :param with_config: whether to write a configuration to the store first.
        """
        await self._listener.start()
        self.address = f"{listener.LOOPBACK}:{self._listener.port}"
        if with_config:
            self.write_config()
        for member in [*self.engine_runners, *self.plain_runners]:
            await member.start()

    async def stop(self) -> None:
        """Stop the runners and the store."""
        for member in [*self.engine_runners, *self.plain_runners]:
            await member.stop()
        await self._listener.stop()

    def write_config(self, **changes: object) -> None:
        """Write a configuration to the store, as the operator does.

        :param changes: fields that replace those of the default configuration.
        """
        config = {**self.make_config(), **changes}
        self.store.put("op/config", msgspec.json.encode(config))
        self.version += 1

    def begin_evacuation(self, failure_domain: str) -> None:
        """Evacuate a failure domain, as the operator does.

        :param failure_domain: failure domain.
        """
        self.store.put(EVACUATIONS + failure_domain, b"{}")

    def end_evacuation(self, failure_domain: str) -> None:
        """End the evacuation of a failure domain.

        :param failure_domain: failure domain.
        """
        self.store.remove(EVACUATIONS + failure_domain)

    def make_config(self) -> dict[str, object]:
        """Return the default configuration with the next version number."""
        return {
            "version": self.version,
            "routes": [
                {
                    "name": prefix.strip("/"),
                    "host": HOST,
                    "prefix": prefix,
                    "type": kind,
                    "timeoutMs": 3000,
                    "goalMs": 500,
                    "service": ENGINE_SERVICE if kind == "stream" else PLAIN_SERVICE,
                    "attempts": 1 if kind == "unsafe" else 2,
                    "resumable": kind == "stream",
                    "gapGoalMs": 300,
                }
                for prefix, kind in ROUTES.items()
            ]
            + self.extra_routes,
            "services": [
                {"name": PLAIN_SERVICE, "maxConns": 100, "coldPerS": self.cold_per_s},
                {
                    "name": ENGINE_SERVICE,
                    "maxConns": 100,
                    "coldPerS": self.cold_per_s,
                    "engine": make_engine_config(),
                },
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 1_048_576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [{"name": TEAM, "apiKeys": list(self.keys)}],
        }


def make_plain_route(name: str) -> dict[str, object]:
    """Return a route to the plain service, with its name as the prefix.

    :param name: name.
    """
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": "safe",
        "timeoutMs": 3000,
        "goalMs": 500,
        "priority": 1,
        "service": PLAIN_SERVICE,
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gapGoalMs": 0,
    }


def read_version(config: bytes) -> int:
    """Return the version of a configuration as the store has it.

    :param config: value of its key.
    """
    return int(msgspec.json.decode(config)["version"])


def make_engine_config() -> dict[str, object]:
    """Return the engine part of the default configuration."""
    return {
        "slots": 13,
        "kvCapacity": 700_000,
        "models": [
            {"name": SMALL_MODEL, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 1, "warmS": 1}
        ],
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "context_per_k": 0.01,
        "read_per_s": 46_000,
        "usual": {"prompt": 1076, "answer": 116},
        "formMs": 300,
        "loadsPerS": 4,
        "loads_at_once": 6,
    }
