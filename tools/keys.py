"""Keys: API keys that come and go in the configuration while the soak runs."""

import asyncio
import random

from tanagerfork_standins.platform import site
from tools import verdicts

APPLY_S = 8.0  # Within this time after a change each daemon has it in force, whatever the faults.
TRIED_KEYS = 3  # Newest revoked keys that callers still use.
GRANTED_SHARE = 0.2  # Of the requests that may be sent with a key that comes and goes.


class KeyRing:
    """Grants and revokes keys, and checks which requests daemons accept.

    :param deployment: stand-ins, whose configurations hold the keys.
    :param verdict: receives the violations.
    """

    __slots__ = ("_site", "_verdict", "_count", "_changed_s")

    def __init__(self, deployment: site.Site, verdict: verdicts.Verdict) -> None:
        self._site = deployment
        self._verdict = verdict
        self._count = 0
        self._changed_s: dict[str, float] = {}

    def grant(self) -> str:
        """Write a configuration with one more key, and return the key."""
        self._count += 1
        key = f"key-{self._count}"
        self._site.keys.append(key)
        self._write(key)
        return key

    def revoke(self, key: str) -> None:
        """Write a configuration without a key.

        :param key: key.
        """
        self._site.keys.remove(key)
        self._write(key)

    def find_change_s(self, key: str) -> float:
        """Return when a key was last granted or revoked, in the time of the event loop.

        :param key: key.
        """
        return self._changed_s[key]

    def note_restored(self) -> None:
        """Record that daemons that start may have read an older configuration."""
        now_s = asyncio.get_running_loop().time()
        self._changed_s = dict.fromkeys(self._changed_s, now_s)

    def draw(self, rng: random.Random) -> str:
        """Return the key of a request: mostly the one that is always valid.

        :param rng: draws the key.
        """
        newest = list(self._changed_s)[-TRIED_KEYS:]
        return rng.choice(newest) if newest and rng.random() < GRANTED_SHARE else site.API_KEY

    def check(self, key: str, status: int, sent_s: float, name: str) -> None:
        """Check the status of a response against the keys that were valid when it was sent.

        :param key: key of the request.
        :param status: status of the response.
        :param sent_s: time of the event loop when the request was sent.
        :param name: name of the request in a violation.
        """
        if key == site.API_KEY:
            self._verdict.check(status != 401, f"DENIED: {name} got 401")
        elif sent_s > self.find_change_s(key) + APPLY_S:
            is_valid = key in self._site.keys
            self._verdict.check(is_valid or status != 200, f"REVOKED: {name} is served by {key}")
            self._verdict.check(not is_valid or status != 401, f"DENIED: {name} got 401 by {key}")

    def _write(self, key: str) -> None:
        self._changed_s.pop(key, None)
        self._changed_s[key] = asyncio.get_running_loop().time()
        self._site.write_config()
