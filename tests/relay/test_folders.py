"""Names of the users' platform occur only in the platform folder."""

import pathlib
import re

import tanagerfork

SOURCE = pathlib.Path(tanagerfork.__file__).parent
FOLDER = SOURCE / "platform"
NAMES = (
    "Tanagerfork-",
    "TANAGERFORK_",
    "At-Server",
    "kv-",
    "op/config",
    "servers/",
    "tenant",
    "draining",
    "coldLeftMs",
    "apiKeys",
    "attemptsMax",
    "fencingToken",
    "gapGoalMs",
    "goalMs",
    "healthPath",
    "idleTimeoutMs",
    "kvCapacity",
    "loadsPerS",
    "loads_at_once",
    "maxConns",
    "per_seq_ms",
    "pairs_per_m",
    "read_per_s",
    "staleOk",
    "storeRevision",
    "ttlMs",
    "waitMs",
    "warmS",
    "/order",
    "/report",
    "zone",
)
# Names that the product used before the platform did, by module.
OWN_USES = {
    "lifecycle.py": {"draining"},
    "relay/rules.py": {"loads_at_once"},
    "relay/load_limiter.py": {"loads_at_once"},
}


class TestNames:
    def test_relay_and_shared_modules_use_none(self) -> None:
        found = []
        for path in sorted((SOURCE / "relay").rglob("*.py")) + sorted(SOURCE.glob("*.py")):
            place = str(path.relative_to(SOURCE))
            text = path.read_text()
            for name in NAMES:
                is_own = name in OWN_USES.get(place, ())
                if not is_own and re.search(rf"(?<![\w.]){re.escape(name)}", text):
                    found.append(f"{place}: {name}")
        assert not found

    def test_folder_only_translates(self) -> None:
        """The folder uses no clocks, randomness or tasks, which decisions would need."""
        for path in sorted(FOLDER.glob("*.py")):
            text = path.read_text()
            for word in ("import random", "create_task", "tanagerfork import clock"):
                assert word not in text, path
