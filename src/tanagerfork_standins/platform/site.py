"""A deployment of the platform in one loop: store, runners, and the operator's configuration."""

import msgspec

from tanagerfork import clock as clocks
from tanagerfork_standins import listener
from tanagerfork_standins.platform import runner, store

HOST = "app.example"
KEY = "key-of-team-a"
TEAM = "team-a"
ENGINE_SERVICE = "writer"
PLAIN_SERVICE = "ledger"
LARGE_MODEL, SMALL_MODEL = "large", "small"
ROUTES = {"/stream/": "stream", "/safe/": "safe", "/unsafe/": "unsafe"}


class Site:
    """Store and runners of one deployment.

    :param failure_domains: names of the failure domains.
    :param engines: model runners of each fabric domain; there is one in each failure domain.
    :param plain: plain runners.
    """

    def __init__(
        self, failure_domains: tuple[str, ...] = ("a",), engines: int = 4, plain: int = 2
    ) -> None:
        self.store = store.Store(clocks.SystemClock())
        self.runners = [
            runner.Runner(f"i-{domain}{index}", ENGINE_SERVICE, domain, f"{domain}-f0", self.store)
            for domain in failure_domains
            for index in range(engines)
        ]
        self.plain = [
            runner.Runner(f"i-plain{index}", PLAIN_SERVICE, failure_domains[0], "", self.store)
            for index in range(plain)
        ]
        self.version = 1
        self._listener = listener.Listener()
        self.store.serve(self._listener.app)
        self.address = ""

    async def start(self, with_config: bool = True) -> None:
        """Start all parts.

        :param with_config: whether the operator has written a configuration.
        """
        await self._listener.start()
        self.address = f"{listener.LOOPBACK}:{self._listener.port}"
        if with_config:
            self.write_config()
        for member in [*self.runners, *self.plain]:
            await member.start()

    async def stop(self) -> None:
        """Stop all parts."""
        for member in [*self.runners, *self.plain]:
            await member.stop()
        await self._listener.stop()

    def write_config(self, **changes: object) -> None:
        """Write a configuration as the operator does.

        :param changes: fields that replace those of the usual one.
        """
        config = {**self.describe_config(), **changes}
        self.store.put("op/config", msgspec.json.encode(config))
        self.version += 1

    def describe_config(self) -> dict[str, object]:
        """Return the usual configuration in its next version."""
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
            ],
            "services": [
                {"name": PLAIN_SERVICE, "maxConns": 100},
                {"name": ENGINE_SERVICE, "maxConns": 100, "engine": describe_engine()},
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 1_048_576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [{"name": TEAM, "apiKeys": [KEY]}],
        }


def describe_engine() -> dict[str, object]:
    """Return what the configuration says of the engines."""
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
