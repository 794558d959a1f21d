"""Poison requests: detects requests that crash upstreams and quarantines their fingerprints."""

import collections
import dataclasses
import heapq

import xxhash

from tanagerfork.routing import fleet as fleets

CRASHES_TO_QUARANTINE = 2
# A request that was answered completely before may be in flight at the crashes of another one.
CRASHES_OF_ANSWERED = 5
SUSPECT_TTL_MS = 600_000
QUARANTINE_TTL_MS = 900_000
MAX_FINGERPRINTS = 10_000
MAX_ANSWERED = 4096  # Fingerprints of answered requests, those answered last.
CORRELATED_CRASH_WINDOW_MS = 2_000
REPEAT_INTERVAL_MS = 900
MAX_REPEATS = 2  # Quarantines in one round of notices.
MAX_TOLD_RUNS = 4  # More than it takes to quarantine.
# Longer than a notice takes, or two daemons would renew an expired quarantine by turns.
MIN_REPEATED_MS = 60_000


@dataclasses.dataclass(slots=True, frozen=True)
class LostRun:
    """A run of a request that ended with the crash of its group.

    `crash` identifies the crash; empty if it is not known.
    """

    sent_at_ms: float
    lost_at_ms: float
    crash: str = ""

    def overlaps(self, other: "LostRun") -> bool:
        """Return whether both runs were under way at the same time, or lost in the same crash.

        :param other: other run of the request.
        """
        if self.crash and self.crash == other.crash:
            return True
        return self.sent_at_ms < other.lost_at_ms and other.sent_at_ms < self.lost_at_ms


@dataclasses.dataclass(slots=True)
class Suspicion:
    """State of a fingerprint that was in flight at a crash; `runs` are those that were counted."""

    crashes: int
    expires_at_ms: int
    is_quarantined: bool = False
    peer_trial_until_ms: int = 0
    runs: list[LostRun] = dataclasses.field(default_factory=list)
    crashed_at_ms: float = float("-inf")
    told_at_ms: float = float("-inf")

    def count(self, run: LostRun) -> bool:
        """Count a run, unless it overlaps one that was counted; return whether it was counted.

        :param run: run.
        """
        if any(run.overlaps(counted) for counted in self.runs):
            return False
        self.runs.append(run)
        self.crashes += 1
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantinedRequest:
    """A request that is refused, the crashes that are known by name, and for how much longer."""

    fingerprint: str
    crashes: tuple[str, ...]
    left_ms: int


class PoisonRegister:
    """Counts the crashes at which a fingerprint was in flight.

    A suspect is retried on a group where this daemon runs no other suspect, so that the next crash
    tells the poison request from requests that ran beside it. A suspect that is answered completely
    is cleared. A suspect that was in flight at two crashes is quarantined for
    `QUARANTINE_TTL_MS`. Copies of a request that were in flight at the same time, at one group or
    at several that crash together, count once.

    Crashes of several groups within `CORRELATED_CRASH_WINDOW_MS` of the first one are a wave, whose
    cause may be no single request. A request that was first in flight at a later crash of a wave
    becomes a suspect only if it is in flight at another one.

    Requests that are sent often with the same content are in flight at many crashes. One that was
    answered completely before is quarantined after `CRASHES_OF_ANSWERED` crashes since its last
    answer. Peers may not know of the answer, so they are told when they report a quarantine.

    Crashes are learned in any order, here and from peers, some of them seconds later: runs count by
    when they were under way and which crash ended them, not by when that was learned.

    Quarantines are told to the peers again and again with the time that is left, so that a daemon
    that was restarted knows them, and they end at all daemons at about the same time.
    """

    __slots__ = (
        "_suspicions",
        "_doubts",
        "_answered_at_ms",
        "_answers_to_tell",
        "_trials",
        "_wave_began_ms",
        "_wave_group",
    )

    def __init__(self) -> None:
        self._suspicions: collections.OrderedDict[str, Suspicion] = collections.OrderedDict()
        self._doubts: collections.OrderedDict[str, LostRun] = collections.OrderedDict()
        self._answered_at_ms: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._answers_to_tell: dict[str, None] = {}  # In order, each once.
        self._trials: dict[str, str] = {}
        self._wave_began_ms = float("-inf")
        self._wave_group = ""

    def quarantine_left_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return how long a fingerprint stays quarantined, in milliseconds; 0 if it is not.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        return suspicion.expires_at_ms - now_ms if suspicion and suspicion.is_quarantined else 0

    def list_quarantines(self, now_ms: int, limit: int) -> list[QuarantinedRequest]:
        """Return the quarantined requests; of many, those that stay so for the longest time.

        :param now_ms: monotonic clock, in milliseconds.
        :param limit: maximum number.
        """
        quarantined = [
            (suspicion.expires_at_ms - now_ms, fingerprint)
            for fingerprint, suspicion in self._suspicions.items()
            if suspicion.is_quarantined and suspicion.expires_at_ms > now_ms
        ]
        return [
            QuarantinedRequest(
                fingerprint,
                tuple(run.crash for run in self._suspicions[fingerprint].runs if run.crash),
                left_ms,
            )
            for left_ms, fingerprint in heapq.nlargest(limit, quarantined)
        ]

    def peer_trial_left_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return how long a peer may still run a suspect, in milliseconds; 0 if none does.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        return max(0, suspicion.peer_trial_until_ms - now_ms) if suspicion else 0

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a fingerprint was in flight at a crash that is still remembered.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        return self._find_unexpired(fingerprint, now_ms) is not None

    def groups_with_suspects(self) -> set[str]:
        """Return the groups where this daemon runs a suspect."""
        return set(self._trials.values())

    def begin_trial(self, attempt_id: str, group: str) -> None:
        """Record that a suspect was sent to a group.

        :param attempt_id: attempt.
        :param group: group.
        """
        self._trials[attempt_id] = group

    def end_trial(self, attempt_id: str) -> None:
        """Record that an attempt passed the point of the earlier crash, or ended.

        :param attempt_id: attempt of a suspect or of any other request.
        """
        self._trials.pop(attempt_id, None)

    def record_crash(
        self, fingerprint: str, group: str, now_ms: int, run: LostRun | None = None
    ) -> fleets.PoisonNotice | None:
        """Record that a fingerprint was in flight when its group crashed.

        :param fingerprint: fingerprint.
        :param group: group.
        :param now_ms: monotonic clock, in milliseconds.
        :param run: run that was lost; by default one that overlaps no other.
        :return: notice for the peers; None if the crash is not attributed to the request.
        """
        run = run or LostRun(now_ms, now_ms)
        suspicion = self._find_unexpired(fingerprint, now_ms)
        is_first_of_wave = self._is_first_of_wave(group, run.lost_at_ms)
        if suspicion is None:
            doubted = self._find_doubt(fingerprint, now_ms)
            if doubted is None and not is_first_of_wave:
                self._doubt(fingerprint, run)
                return None
            suspicion = Suspicion(0, 0)
            if doubted is not None and not is_first_of_wave:
                suspicion.runs.append(doubted)
            elif doubted is not None and doubted.lost_at_ms > run.lost_at_ms:
                suspicion.count(doubted)  # A later crash of the wave, which was learned first.
        if not suspicion.count(run):
            return None
        suspicion.is_quarantined = suspicion.crashes >= self._count_needed(fingerprint)
        ttl_ms = QUARANTINE_TTL_MS if suspicion.is_quarantined else SUSPECT_TTL_MS
        suspicion.expires_at_ms = now_ms + ttl_ms
        suspicion.crashed_at_ms = max(suspicion.crashed_at_ms, run.lost_at_ms)
        self._store(fingerprint, suspicion)
        return _make_notice(fingerprint, suspicion, now_ms)

    def record_completed(self, fingerprint: str, now_ms: int) -> None:
        """Clear a fingerprint whose request was answered completely.

        :param fingerprint: fingerprint.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self._doubts.pop(fingerprint, None)
        suspicion = self._suspicions.pop(fingerprint, None)
        self._record_answer(fingerprint, now_ms)
        if suspicion is not None and suspicion.is_quarantined:
            self._answers_to_tell[fingerprint] = None

    def take_repeats(self, now_ms: int) -> list[fleets.PoisonNotice]:
        """Return what a round of notices reports: answers that peers lack, and quarantines.

        Peers that have started since, or missed a notice, learn of quarantines in this way; those
        told longest ago come first.

        :param now_ms: monotonic clock, in milliseconds.
        """
        repeats = self._pop_answers(now_ms)
        due = [
            (suspicion.told_at_ms, fingerprint)
            for fingerprint, suspicion in self._suspicions.items()
            if suspicion.is_quarantined
            and suspicion.expires_at_ms - now_ms >= MIN_REPEATED_MS
            and now_ms - suspicion.told_at_ms >= REPEAT_INTERVAL_MS
        ]
        for _, fingerprint in heapq.nsmallest(MAX_REPEATS, due):
            suspicion = self._suspicions[fingerprint]
            suspicion.told_at_ms = now_ms
            repeats.append(_make_notice(fingerprint, suspicion, now_ms))
        return repeats

    def hear(self, notice: fleets.PoisonNotice, trial_ms: int, now_ms: int) -> bool:
        """Apply a notice of a peer, unless the fingerprint was cleared after the crash it tells.

        :param notice: notice.
        :param trial_ms: time for which the peer may retry the suspect, in milliseconds.
        :param now_ms: monotonic clock, in milliseconds.
        :return: whether it tells something new.
        """
        if notice.answered_age_ms >= 0:
            return self._apply_answer(notice.fingerprint, now_ms - notice.answered_age_ms, now_ms)
        crashed_at_ms = now_ms - max(0, notice.age_ms)
        answered_at_ms = self._answered_at_ms.get(notice.fingerprint, float("-inf"))
        if notice.age_ms >= 0 and crashed_at_ms <= answered_at_ms:
            if notice.is_quarantined:
                self._answers_to_tell[notice.fingerprint] = None
            return False
        suspicion = self._find_unexpired(notice.fingerprint, now_ms) or Suspicion(0, 0)
        if suspicion.is_quarantined:
            return False  # Else quarantines told to and fro would last a little longer each time.
        known_crashes = suspicion.crashes
        self._merge(suspicion, notice, answered_at_ms, now_ms)
        needed = self._count_needed(notice.fingerprint)
        suspicion.is_quarantined = suspicion.crashes >= needed
        if notice.is_quarantined and not suspicion.is_quarantined:
            if needed == CRASHES_OF_ANSWERED:
                self._answers_to_tell[notice.fingerprint] = None
            else:
                suspicion.is_quarantined = True
        ttl_ms = min(notice.expires_in_ms, QUARANTINE_TTL_MS)
        if suspicion.is_quarantined and not notice.is_quarantined:
            ttl_ms = QUARANTINE_TTL_MS  # By the crashes of both.
        suspicion.expires_at_ms = max(suspicion.expires_at_ms, now_ms + ttl_ms)
        suspicion.peer_trial_until_ms = 0 if suspicion.is_quarantined else now_ms + trial_ms
        self._store(notice.fingerprint, suspicion)
        return suspicion.is_quarantined or suspicion.crashes > known_crashes

    def _merge(
        self,
        suspicion: Suspicion,
        notice: fleets.PoisonNotice,
        answered_at_ms: float,
        now_ms: int,
    ) -> None:
        """Add the crashes that a peer reports, without those before the last answer."""
        crashed_at_ms = now_ms - max(0, notice.age_ms)
        runs = [
            LostRun(now_ms - told.sent_age_ms, now_ms - told.lost_age_ms, told.crash)
            for told in notice.runs
        ]
        later = [run for run in runs if run.lost_at_ms > answered_at_ms]
        for run in later:
            suspicion.count(run)
        if notice.crashes > suspicion.crashes and len(later) == len(runs):
            if not runs:
                # A run here that was sent before may have been lost in the crash of the peer.
                ended_ms = crashed_at_ms if notice.age_ms >= 0 else now_ms
                suspicion.runs.append(LostRun(float("-inf"), ended_ms))
            suspicion.crashes = notice.crashes
        suspicion.crashed_at_ms = max(suspicion.crashed_at_ms, crashed_at_ms)

    def _apply_answer(self, fingerprint: str, answered_at_ms: float, now_ms: int) -> bool:
        """Apply an answer that a peer reports; pass it on if it ends a quarantine here."""
        if answered_at_ms <= self._answered_at_ms.get(fingerprint, float("-inf")):
            return False
        self._record_answer(fingerprint, answered_at_ms)
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            return False
        was_quarantined = suspicion.is_quarantined
        if suspicion.crashed_at_ms <= answered_at_ms:
            del self._suspicions[fingerprint]
        else:
            suspicion.is_quarantined = suspicion.crashes >= CRASHES_OF_ANSWERED
            if suspicion.is_quarantined:
                return False
        if was_quarantined:
            self._answers_to_tell[fingerprint] = None
        return was_quarantined

    def _pop_answers(self, now_ms: int) -> list[fleets.PoisonNotice]:
        told = list(self._answers_to_tell)[:MAX_REPEATS]
        notices = []
        for fingerprint in told:
            del self._answers_to_tell[fingerprint]
            answered_at_ms = self._answered_at_ms.get(fingerprint)
            if answered_at_ms is not None:
                age_ms = max(0, round(now_ms - answered_at_ms))
                notices.append(
                    fleets.PoisonNotice(fingerprint, 1, False, 0, answered_age_ms=age_ms)
                )
        return notices

    def _count_needed(self, fingerprint: str) -> int:
        is_answered = fingerprint in self._answered_at_ms
        return CRASHES_OF_ANSWERED if is_answered else CRASHES_TO_QUARANTINE

    def _record_answer(self, fingerprint: str, at_ms: float) -> None:
        self._answered_at_ms[fingerprint] = at_ms
        self._answered_at_ms.move_to_end(fingerprint)
        if len(self._answered_at_ms) > MAX_ANSWERED:
            self._answered_at_ms.popitem(last=False)

    def _is_first_of_wave(self, group: str, lost_at_ms: float) -> bool:
        """Return whether the crash of a group begins a wave; losses of one crash come one by one.

        Later crashes don't prolong the wave, or a request that causes them would never be counted.
        One that was earlier and is learned later begins the wave instead.
        """
        after_ms = lost_at_ms - self._wave_began_ms
        if after_ms <= -CORRELATED_CRASH_WINDOW_MS:
            return True  # It belongs to an earlier wave, of which no other crash is known.
        if after_ms < 0 or after_ms >= CORRELATED_CRASH_WINDOW_MS:
            self._wave_began_ms, self._wave_group = lost_at_ms, group
        return group == self._wave_group

    def _find_doubt(self, fingerprint: str, now_ms: int) -> LostRun | None:
        doubted = self._doubts.get(fingerprint)
        if doubted is not None and doubted.lost_at_ms + SUSPECT_TTL_MS <= now_ms:
            return None
        return doubted

    def _doubt(self, fingerprint: str, run: LostRun) -> None:
        self._doubts[fingerprint] = run
        self._doubts.move_to_end(fingerprint)
        if len(self._doubts) > MAX_FINGERPRINTS:
            self._doubts.popitem(last=False)

    def _find_unexpired(self, fingerprint: str, now_ms: int) -> Suspicion | None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.expires_at_ms <= now_ms:
            del self._suspicions[fingerprint]
            return None
        return suspicion

    def _store(self, fingerprint: str, suspicion: Suspicion) -> None:
        self._suspicions[fingerprint] = suspicion
        self._suspicions.move_to_end(fingerprint)
        self._doubts.pop(fingerprint, None)
        if len(self._suspicions) > MAX_FINGERPRINTS:
            self._suspicions.popitem(last=False)


def _make_notice(fingerprint: str, suspicion: Suspicion, now_ms: int) -> fleets.PoisonNotice:
    return fleets.PoisonNotice(
        fingerprint,
        suspicion.crashes,
        suspicion.is_quarantined,
        suspicion.expires_at_ms - now_ms,
        max(0, round(now_ms - suspicion.crashed_at_ms)),
        tuple(
            fleets.ToldRun(
                run.crash,
                max(0, round(now_ms - run.sent_at_ms)),
                max(0, round(now_ms - run.lost_at_ms)),
            )
            for run in suspicion.runs[:MAX_TOLD_RUNS]
            if run.sent_at_ms > float("-inf")
        ),
    )


def make_fingerprint(model: str, body: bytes) -> str:
    """Return the fingerprint of a request, which is the same each time the request is sent.

    :param model: requested model.
    :param body: body as sent to the upstream.
    """
    return xxhash.xxh3_128_hexdigest(model.encode() + b"\0" + body)
