"""Poison requests: fingerprints that were in flight when upstreams crashed."""

import collections
import dataclasses

import xxhash

from tanagerfork.routing import fleet as fleets

CRASHES_TO_QUARANTINE = 2
SUSPECT_TTL_MS = 600_000
QUARANTINE_TTL_MS = 900_000
MAX_FINGERPRINTS = 10_000
CORRELATED_MS = 2_000


@dataclasses.dataclass(slots=True)
class Suspicion:
    """What is known of a fingerprint."""

    crashes: int
    expires_at_ms: int
    is_quarantined: bool = False
    tried_by_peer_until_ms: int = 0


class PoisonRegister:
    """Counts the crashes at which a fingerprint was in flight.

    A suspect is run again, on a group where this daemon runs no other suspect, so that the next
    crash tells the poison request from its neighbours. A suspect whose answer becomes whole is
    cleared. A suspect that was there at two crashes is quarantined until its term ends.
    Where several groups crash together, it was not one request: only older suspects are blamed.
    """

    __slots__ = ("_known", "_trials", "_last_crash_ms", "_last_group")

    def __init__(self) -> None:
        self._known: collections.OrderedDict[str, Suspicion] = collections.OrderedDict()
        self._trials: dict[str, str] = {}
        self._last_crash_ms = -CORRELATED_MS
        self._last_group = ""

    def quarantine_left_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return how long a fingerprint stays quarantined; 0 where it is not.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._find(fingerprint, now_ms)
        return known.expires_at_ms - now_ms if known and known.is_quarantined else 0

    def peer_trial_left_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return how long a peer may still be running a suspect; 0 where none does.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._find(fingerprint, now_ms)
        return max(0, known.tried_by_peer_until_ms - now_ms) if known else 0

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a fingerprint was in flight at a crash.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self._find(fingerprint, now_ms) is not None

    def groups_with_suspects(self) -> set[str]:
        """Return the groups where this daemon runs a suspect."""
        return set(self._trials.values())

    def begin_trial(self, attempt_id: str, group: str) -> None:
        """Note that a suspect was sent to a group.

        :param attempt_id: attempt.
        :param group: group.
        """
        self._trials[attempt_id] = group

    def end_trial(self, attempt_id: str) -> None:
        """Note that an attempt got past the point of the crash, or ended.

        :param attempt_id: attempt of a suspect or of any other request.
        """
        self._trials.pop(attempt_id, None)

    def note_crash(self, fingerprint: str, group: str, now_ms: int) -> fleets.PoisonNotice | None:
        """Note that a fingerprint was in flight when its group crashed.

        :param fingerprint: fingerprint.
        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        :return: what the peers are told; None where the request is not blamed.
        """
        known = self._find(fingerprint, now_ms)
        is_alone = self._is_alone(group, now_ms)
        if known is None and not is_alone:
            return None
        known = known or Suspicion(0, 0)
        known.crashes += 1
        known.is_quarantined = known.crashes >= CRASHES_TO_QUARANTINE
        ttl_ms = QUARANTINE_TTL_MS if known.is_quarantined else SUSPECT_TTL_MS
        known.expires_at_ms = now_ms + ttl_ms
        self._keep(fingerprint, known)
        return fleets.PoisonNotice(fingerprint, known.crashes, known.is_quarantined, ttl_ms)

    def note_whole(self, fingerprint: str) -> None:
        """Clear a fingerprint, as its answer became whole.

        :param fingerprint: fingerprint.
        """
        if self._known:
            self._known.pop(fingerprint, None)

    def hear(self, notice: fleets.PoisonNotice, trial_ms: int, now_ms: int) -> None:
        """Take a peer's word in.

        :param notice: what the peer knows.
        :param trial_ms: time for which the peer may run the suspect again.
        :param now_ms: monotonic clock, in milliseconds.
        """
        known = self._find(notice.fingerprint, now_ms) or Suspicion(0, 0)
        known.crashes = max(known.crashes, notice.crashes)
        known.is_quarantined = known.is_quarantined or notice.is_quarantined
        term_ms = min(notice.expires_in_ms, QUARANTINE_TTL_MS)
        known.expires_at_ms = max(known.expires_at_ms, now_ms + term_ms)
        known.tried_by_peer_until_ms = 0 if notice.is_quarantined else now_ms + trial_ms
        self._keep(notice.fingerprint, known)

    def _is_alone(self, group: str, now_ms: int) -> bool:
        is_other = group != self._last_group and now_ms - self._last_crash_ms < CORRELATED_MS
        if not is_other:
            self._last_group = group
        self._last_crash_ms = now_ms
        return not is_other

    def _find(self, fingerprint: str, now_ms: int) -> Suspicion | None:
        known = self._known.get(fingerprint)
        if known is not None and known.expires_at_ms <= now_ms:
            del self._known[fingerprint]
            return None
        return known

    def _keep(self, fingerprint: str, known: Suspicion) -> None:
        self._known[fingerprint] = known
        self._known.move_to_end(fingerprint)
        if len(self._known) > MAX_FINGERPRINTS:
            self._known.popitem(last=False)


def make_fingerprint(model: str, body: bytes) -> str:
    """Return the fingerprint of a request; a request sent again has the same one.

    :param model: model asked for.
    :param body: body as it goes to the upstream.
    """
    return xxhash.xxh3_128_hexdigest(model.encode() + b"\0" + body)
