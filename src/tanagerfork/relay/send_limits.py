"""Send limits: whether this daemon may send an upstream another request now.

Answers an upstream in need, which takes so many requests a second from all daemons together. The
sends of the last seconds are counted over all daemons, with those that peers told. As these are
heard late, each daemon also has a quota of its own for the sends that the others do not know yet;
it is drawn anew each period and never saved up, or idle daemons would all send at the same moment.
An upstream that refuses with a time for which it wants nothing is left alone by this daemon.
"""

import collections
import dataclasses
import math
import random

from tanagerfork import decisions
from tanagerfork.relay import loads, members

LOGGER = "relay.send_limits"
MIN_WINDOW_MS = 4000.0
MIN_WINDOW_REQUESTS = 4  # Less would leave a part of the limit unused by rounding.
PERIOD_MS = 1000.0  # By then the sends of one daemon are known at all others.
QUOTA_SHARE = 1.2  # Of the limit, of all daemons together; some of them have nothing to send.
MIN_LIMIT_PER_S = 0.01  # An upstream that takes nothing is asked this often whether it still does.
RETURN_SPREAD = (0.3, 1.0)  # Of a period, so that callers do not return at the same moment.
FORGET_MS = 600_000.0


@dataclasses.dataclass(slots=True)
class SendLimit:
    """Limit that one upstream named, and what this daemon has sent there.

    `quota` is what may still be sent in the period that began at `period_began_ms`.
    """

    requests_per_s: float
    named_at_ms: float
    period_began_ms: float
    quota: int = 0
    sent_at_ms: collections.deque[float] = dataclasses.field(default_factory=collections.deque)

    @property
    def window_ms(self) -> float:
        """Time over which the limit is kept, in milliseconds."""
        return max(MIN_WINDOW_MS, MIN_WINDOW_REQUESTS * 1000 / self.requests_per_s)

    def count_sent(self, now_ms: float) -> int:
        """Return how many requests this daemon has sent within the window.

        :param now_ms: monotonic clock, in milliseconds.
        """
        while self.sent_at_ms and self.sent_at_ms[0] <= now_ms - self.window_ms:
            self.sent_at_ms.popleft()
        return len(self.sent_at_ms)


class SendLimits:
    """The limits that upstreams named to this daemon.

    `daemon_count` is the number of daemons that share them.

    :param book: loads of the upstreams, with the sends that other daemons told.
    :param rng: draws the quotas.
    :param log: decision log.
    """

    __slots__ = ("_book", "_rng", "_log", "_limits", "_quiet_until_ms", "daemon_count")

    def __init__(
        self, book: loads.LoadBook, rng: random.Random, log: decisions.DecisionLog
    ) -> None:
        self._book = book
        self._rng = rng
        self._log = log
        self._limits: dict[str, SendLimit] = {}
        self._quiet_until_ms: dict[tuple[str, int], float] = {}
        self.daemon_count = 1

    def note_answer(
        self, upstream_id: str, named_per_s: float | None, sent_at_ms: float, now_ms: float
    ) -> None:
        """Record the limit that an upstream named with an answer, or that it named none.

        Answers may overtake each other, so that only the answer to a request that was sent after
        the limit was named last can end it. A value that cannot be read changes nothing.

        :param upstream_id: id of the upstream.
        :param named_per_s: requests a second; None if it named none, NaN if it cannot be read.
        :param sent_at_ms: when the answered request was sent.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._limits.get(upstream_id)
        if named_per_s is None:
            if known is not None and sent_at_ms >= known.named_at_ms:
                del self._limits[upstream_id]
                self._log.note(LOGGER, "upstream named no limit again", upstream=upstream_id)
        elif not math.isnan(named_per_s):
            per_s = max(MIN_LIMIT_PER_S, named_per_s)
            if known is None:
                began_ms = now_ms - self._rng.uniform(0, PERIOD_MS)
                known = self._limits[upstream_id] = SendLimit(per_s, now_ms, began_ms)
                self._log.note(
                    LOGGER, "upstream named a limit", upstream=upstream_id, requests_per_s=per_s
                )
            known.requests_per_s, known.named_at_ms = per_s, now_ms

    def note_sent(self, upstream_id: str, now_ms: float) -> None:
        """Record a send.

        :param upstream_id: id of the upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        limit = self._limits.get(upstream_id)
        if limit is not None:
            limit.sent_at_ms.append(now_ms)
            limit.quota -= 1

    def note_quiet(self, upstream: members.Upstream, quiet_ms: float, now_ms: float) -> None:
        """Record that an upstream wants no request from this daemon for a while.

        :param upstream: upstream.
        :param quiet_ms: time, in milliseconds; 0 if it asked for none.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if not quiet_ms:
            return
        for key in [key for key, until_ms in self._quiet_until_ms.items() if until_ms <= now_ms]:
            del self._quiet_until_ms[key]
        if upstream.key not in self._quiet_until_ms:
            self._log.note(
                LOGGER, "upstream asked for quiet", upstream=upstream.id, quiet_ms=round(quiet_ms)
            )
        until_ms = max(now_ms + quiet_ms, self._quiet_until_ms.get(upstream.key, 0.0))
        self._quiet_until_ms[upstream.key] = until_ms

    def measure_wait_ms(self, upstream: members.Upstream, now_ms: float) -> float:
        """Return after how long an upstream may be sent a request again, in milliseconds.

        :param upstream: upstream that may be sent none now.
        :param now_ms: monotonic clock, in milliseconds.
        """
        quiet_ms = self._quiet_until_ms.get(upstream.key, now_ms) - now_ms
        return quiet_ms if quiet_ms > 0 else PERIOD_MS * self._rng.uniform(*RETURN_SPREAD)

    def may_send(self, upstream: members.Upstream, now_ms: float) -> bool:
        """Return whether an upstream may be sent another request now.

        :param upstream: upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if now_ms < self._quiet_until_ms.get(upstream.key, now_ms):
            return False
        limit = self._limits.get(upstream.id)
        if limit is None:
            return True
        if now_ms - limit.named_at_ms > FORGET_MS:
            del self._limits[upstream.id]
            return True
        self._draw_quota(limit, now_ms)
        sent = limit.count_sent(now_ms) + self._book.find(upstream.id).peer_recent_sends
        if sent + 1 > limit.requests_per_s * limit.window_ms / 1000:
            limit.quota = 0  # Or all daemons would send at once when the window has room again.
        return limit.quota > 0

    def count_sends(self, now_ms: float) -> dict[str, int]:
        """Return how many requests this daemon has sent lately to each limited upstream.

        :param now_ms: monotonic clock, in milliseconds.
        """
        return {key: limit.count_sent(now_ms) for key, limit in self._limits.items()}

    def _draw_quota(self, limit: SendLimit, now_ms: float) -> None:
        periods = (now_ms - limit.period_began_ms) // PERIOD_MS
        if periods < 1:
            return
        limit.period_began_ms += periods * PERIOD_MS
        share = QUOTA_SHARE * limit.requests_per_s * PERIOD_MS / 1000 / max(1, self.daemon_count)
        whole = math.floor(share)
        limit.quota = whole + (self._rng.random() < share - whole)
