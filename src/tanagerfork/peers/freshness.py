"""Freshness: proves how old a peer's message can be, and drops what comes twice."""

import collections
import math
import random

STAMPS_KEPT = 4096
STAMP_BITS = 32
WINDOW = 256
DRIFT = 0.0005  # Clocks of two VMs drift apart by at most half a millisecond a second.


class Stamps:
    """The time stamps that this daemon put on its messages.

    Stamps count from a random base, so that those of a former run are not taken for own ones.

    :param rng: source of the base.
    :param now_ms: monotonic clock, in milliseconds.
    """

    __slots__ = ("_base_ms", "_order", "_known")

    def __init__(self, rng: random.Random, now_ms: int) -> None:
        self._base_ms = rng.getrandbits(STAMP_BITS) - now_ms
        self._order: collections.deque[int] = collections.deque()
        self._known: set[int] = set()

    def take(self, now_ms: int) -> int:
        """Return a stamp for a message that is sent now.

        :param now_ms: monotonic clock, in milliseconds.
        """
        stamp = max(0, now_ms + self._base_ms)
        if stamp not in self._known:
            self._known.add(stamp)
            self._order.append(stamp)
        if len(self._order) > STAMPS_KEPT:
            self._known.discard(self._order.popleft())
        return stamp

    def find(self, stamp: int) -> int | None:
        """Return when a stamp was taken, by the monotonic clock; None for one not known.

        :param stamp: stamp that a peer echoes.
        """
        return stamp - self._base_ms if stamp in self._known else None


class PeerClock:
    """What this daemon knows of one peer's clock and messages.

    A peer echoes the last stamp that it got from here. Whatever carries such an echo was sent
    after the stamp, which bounds the offset of the peer's clock, and so the age of all it sends.

    :param incarnation: incarnation of the peer that all this is about.
    """

    __slots__ = (
        "incarnation",
        "_heard_stamp",
        "_heard_at_ms",
        "_offset_ms",
        "_offset_at_ms",
        "_highest",
        "_seen",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._heard_stamp = -1
        self._heard_at_ms = 0
        self._offset_ms: float | None = None
        self._offset_at_ms = 0
        self._highest = -1
        self._seen: set[int] = set()

    def echo(self, now_ms: int) -> tuple[int, int]:
        """Return the last stamp heard and the time since; -1 and 0 for none.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self._heard_stamp < 0:
            return -1, 0
        return self._heard_stamp, max(0, now_ms - self._heard_at_ms)

    def hear(self, stamp: int, echoed_at_ms: int | None, held_ms: int, now_ms: int) -> int | None:
        """Take the stamps of a message in.

        :param stamp: stamp that the peer put on the message.
        :param echoed_at_ms: when this daemon took the stamp that the peer echoes; None for none.
        :param held_ms: time between the peer's hearing that stamp and its sending.
        :param now_ms: monotonic clock, in milliseconds.
        :return: longest time that the message can have travelled; None where nothing proves it.
        """
        if stamp > self._heard_stamp:
            self._heard_stamp, self._heard_at_ms = stamp, now_ms
        if self._offset_ms is not None:
            self._offset_ms -= DRIFT * max(0, now_ms - self._offset_at_ms)
            self._offset_at_ms = now_ms
        if echoed_at_ms is not None:
            bound_ms = echoed_at_ms + held_ms * (1 - DRIFT) - stamp
            if self._offset_ms is None or bound_ms > self._offset_ms:
                self._offset_ms, self._offset_at_ms = bound_ms, now_ms
        if self._offset_ms is None:
            return None
        return max(0, math.ceil(now_ms - stamp - self._offset_ms))

    def is_repeated(self, sequence: int) -> bool:
        """Return whether a sequence came before, or is too old to tell; remember it.

        :param sequence: sequence of a message.
        """
        if sequence <= self._highest - WINDOW or sequence in self._seen:
            return True
        self._seen.add(sequence)
        if sequence > self._highest:
            self._highest = sequence
            if len(self._seen) > 2 * WINDOW:
                self._seen = {kept for kept in self._seen if kept > sequence - WINDOW}
        return False
