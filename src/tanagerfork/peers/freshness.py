"""Freshness: bounds the age of a peer's messages and detects replays."""

import collections
import math
import random

MAX_STAMPS = 4096
STAMP_BITS = 32
REPLAY_WINDOW = 256  # An older sequence is treated as a replay.
MAX_CLOCK_DRIFT = 0.0005  # Between the clocks of two VMs: half a millisecond per second.


class SentStamps:
    """The timestamps of the messages that this daemon sent.

    Stamps count from a random base, so that those of a previous run are not recognized.

    :param rng: source of the base.
    :param now_ms: monotonic clock, in milliseconds.
    """

    __slots__ = ("_base_ms", "_order", "_known")

    def __init__(self, rng: random.Random, now_ms: int) -> None:
        self._base_ms = rng.getrandbits(STAMP_BITS) - now_ms
        self._order: collections.deque[int] = collections.deque()
        self._known: set[int] = set()

    def issue(self, now_ms: int) -> int:
        """Return the stamp for a message that is sent now.

        :param now_ms: monotonic clock, in milliseconds.
        """
        stamp = max(0, now_ms + self._base_ms)
        if stamp not in self._known:
            self._known.add(stamp)
            self._order.append(stamp)
        if len(self._order) > MAX_STAMPS:
            self._known.discard(self._order.popleft())
        return stamp

    def find(self, stamp: int) -> int | None:
        """Return the monotonic time at which a stamp was issued; None for an unknown stamp.

        :param stamp: stamp that a peer echoes.
        """
        return stamp - self._base_ms if stamp in self._known else None


class PeerClock:
    """Clock offset and message sequence of one peer.

    A peer echoes the last stamp that it received from this daemon. A message with such an echo
    was sent after the stamp was issued. That bounds the offset of the peer's clock, and with it
    the age of all its messages.

    :param incarnation: incarnation of the peer; a later one needs a new clock.
    """

    __slots__ = (
        "incarnation",
        "_last_stamp",
        "_last_stamp_at_ms",
        "_offset_ms",
        "_offset_at_ms",
        "_highest_sequence",
        "_seen_sequences",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._last_stamp = -1
        self._last_stamp_at_ms = 0
        self._offset_ms: float | None = None
        self._offset_at_ms = 0
        self._highest_sequence = -1
        self._seen_sequences: set[int] = set()

    def echo(self, now_ms: int) -> tuple[int, int]:
        """Return the last stamp received and the time since then; -1 and 0 if there is none.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self._last_stamp < 0:
            return -1, 0
        return self._last_stamp, max(0, now_ms - self._last_stamp_at_ms)

    def measure_delay(
        self, stamp: int, echo_issued_at_ms: int | None, held_ms: int, now_ms: int
    ) -> int | None:
        """Process the stamps of a message and bound its delay.

        :param stamp: stamp that the peer put on the message.
        :param echo_issued_at_ms: when this daemon issued the echoed stamp; None if unknown.
        :param held_ms: time between receipt of that stamp by the peer and this message.
        :param now_ms: monotonic clock, in milliseconds.
        :return: upper bound of the delay of the message; None if it cannot be bounded.
        """
        if stamp > self._last_stamp:
            self._last_stamp, self._last_stamp_at_ms = stamp, now_ms
        if self._offset_ms is not None:
            self._offset_ms -= MAX_CLOCK_DRIFT * max(0, now_ms - self._offset_at_ms)
            self._offset_at_ms = now_ms
        if echo_issued_at_ms is not None:
            bound_ms = echo_issued_at_ms + held_ms * (1 - MAX_CLOCK_DRIFT) - stamp
            if self._offset_ms is None or bound_ms > self._offset_ms:
                self._offset_ms, self._offset_at_ms = bound_ms, now_ms
        if self._offset_ms is None:
            return None
        return max(0, math.ceil(now_ms - stamp - self._offset_ms))

    def check_replay(self, sequence: int) -> bool:
        """Record a sequence; return whether it was seen before or is older than the window.

        :param sequence: sequence of a message.
        """
        if sequence <= self._highest_sequence - REPLAY_WINDOW or sequence in self._seen_sequences:
            return True
        self._seen_sequences.add(sequence)
        if sequence > self._highest_sequence:
            self._highest_sequence = sequence
            if len(self._seen_sequences) > 2 * REPLAY_WINDOW:
                self._seen_sequences = {
                    kept for kept in self._seen_sequences if kept > sequence - REPLAY_WINDOW
                }
        return False
