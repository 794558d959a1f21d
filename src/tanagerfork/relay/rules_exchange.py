"""Rules exchange: a daemon gets newer rules from another daemon while the store does not serve it.

It asks only where it must not apply its own, as callers have seen the effect of newer ones. All
other daemons wait for the store, which is authoritative.
"""

import base64
import random
import zlib
from collections.abc import Callable

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.relay import followers, rules

LOGGER = "relay.rules_exchange"
ASK_INTERVAL_MS = 250
WANTED_MS = 2000  # How long after the last need for them newer rules are asked for.
VERSION_TTL_MS = 1200  # Four rounds of notices.
MAX_CONFIG_BYTES = 4 * 1024 * 1024  # Four times the largest value of the platform's store.
COMPRESSION_LEVEL = 6


class RulesExchange:
    """Asks daemons for the configuration that they have in force, and answers such requests.

    :param register: rules in force.
    :param follower: knows the configuration in force, and applies newer ones.
    :param ask: asks a daemon for its configuration, if its version is at least the given one.
    :param send: sends a configuration that was packed to a daemon; returns whether it was possible.
    :param announce: tells all daemons which version is in force here.
    :param clock: clock of all decisions.
    :param rng: chooses among daemons.
    :param log: decision log.
    :param metrics: counters.
    """

    __slots__ = (
        "_register",
        "_follower",
        "_ask",
        "_send",
        "_announce",
        "_clock",
        "_rng",
        "_log",
        "_metrics",
        "_heard",
        "_wanted_until_ms",
        "_asked_at_ms",
        "_packed",
    )

    def __init__(
        self,
        register: rules.RulesRegister,
        follower: followers.RulesFollower,
        ask: Callable[[str, int], None],
        send: Callable[[str, str], bool],
        announce: Callable[[], None],
        clock: clocks.Clock,
        rng: random.Random,
        log: decisions.DecisionLog,
        metrics: metric.Metrics,
    ) -> None:
        self._register = register
        self._follower = follower
        self._ask = ask
        self._send = send
        self._announce = announce
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        # By daemon: the version that its last notice named, and when.
        self._heard: dict[str, tuple[int, float]] = {}
        self._wanted_until_ms = -1e12
        self._asked_at_ms = -1e12
        self._packed: tuple[bytes, str] = (b"", "")  # The configuration, and what is sent of it.

    def want(self) -> None:
        """Ask for newer rules now, or once a daemon says that it has them."""
        self._wanted_until_ms = self._clock.monotonic_ms() + WANTED_MS
        self._ask_if_due()

    def hear(self, notice: notices.Notice) -> None:
        """Handle what a notice says of rules.

        :param notice: notice of a listed daemon.
        """
        self._heard[notice.daemon] = notice.rules_version, self._clock.monotonic_ms()
        if notice.wanted_rules:
            self._answer(notice.daemon, notice.wanted_rules)
        if notice.rules and notice.rules_version > self._find_version():
            self._apply(notice)
        self._ask_if_due()

    def _find_version(self) -> int:
        return self._register.current.version if self._register.current else 0

    def _ask_if_due(self) -> None:
        now_ms, version = self._clock.monotonic_ms(), self._find_version()
        if now_ms >= self._wanted_until_ms or now_ms - self._asked_at_ms < ASK_INTERVAL_MS:
            return
        heard = {
            name: told
            for name, (told, at_ms) in self._heard.items()
            if now_ms - at_ms < VERSION_TTL_MS
        }
        newest = max(heard.values(), default=0)
        if newest > version:
            self._asked_at_ms = now_ms
            name = self._rng.choice([name for name, told in heard.items() if told == newest])
            self._metrics.count("relay_rules_asks_total")
            self._ask(name, version + 1)

    def _answer(self, daemon: str, version: int) -> None:
        value = self._follower.value
        if not value or self._find_version() < version:
            return
        if self._packed[0] is not value:
            packed = zlib.compress(value, COMPRESSION_LEVEL)
            self._packed = value, base64.b64encode(packed).decode()
        outcome = "sent" if self._send(daemon, self._packed[1]) else "too_large"
        self._metrics.count("relay_rules_copies_total", outcome=outcome)

    def _apply(self, notice: notices.Notice) -> None:
        try:
            unpacker = zlib.decompressobj()
            value = unpacker.decompress(base64.b64decode(notice.rules), MAX_CONFIG_BYTES)
            is_whole = unpacker.eof
        except (ValueError, zlib.error):
            is_whole = False
        if not is_whole:
            self._metrics.count("relay_rules_copies_total", outcome="unreadable")
            return
        before = self._find_version()
        self._follower.apply_copy(value, notice.daemon)
        if self._find_version() > before:
            self._metrics.count("relay_rules_copies_total", outcome="applied")
            self._announce()
