"""Crash evidence: finds the part of prompts that crashes the upstreams which answer it.

Answers a series of crashes under requests that are all different but for one part of their prompts.
A request says little by itself: an upstream that crashes takes along all requests it has open, and
the one at fault shares its other parts with requests that are answered elsewhere. So each part that
was open at a crash is counted, a complete answer clears its parts, and what is left over after some
crashes is at fault. Crashes that a part at fault explains no longer count against the others.

A prompt may have thousands of parts. Of one that was open at a crash only the most suspect are
counted, and of these the most suspect are told to the other daemons: those that were never
answered, or longest ago, and those that were open at most crashes.
"""

import collections
import dataclasses
import heapq
import zlib
from collections.abc import Iterable, Sequence

from tanagerfork.routing import part_quarantines

CRASHES_TO_QUARANTINE = 3
# A part that was answered completely before is at fault only after more crashes without an answer.
CRASHES_OF_ANSWERED_PART = 5
MIN_REQUESTS = 2  # A single request that is repeated is quarantined by its own fingerprint.
SIMULTANEOUS_MS = 50  # Upstreams that crash together, as with their rack, count as one crash.
SETTLE_MS = 1500  # By then a complete answer at any daemon is known at all of them.
# Other daemons have reported the answers before a crash this long after it became known.
REPLY_MS = 800
TELL_MS = 1000  # Three rounds of notices, each of which may be lost.
EVIDENCE_TTL_MS = 600_000
QUARANTINE_TTL_MS = 600_000
MAX_PARTS = 8192
MAX_PARTS_OF_REQUEST = 512  # Counted of one request at a crash.
MAX_RECENT = 4096
MAX_TOLD = 200  # Findings in one notice, which also holds loads.
MAX_ANSWERS_TOLD = MAX_TOLD // 2  # As long as there are crashes to tell.


@dataclasses.dataclass(slots=True, frozen=True)
class PartCrash:
    """A part of a request that was open at an upstream when this crashed.

    `crash` identifies the start of the upstream, `request` the request, whichever id it came under.
    """

    part: str
    crash: str
    request: str
    at_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class PartAnswer:
    """A part of a request that was answered completely."""

    part: str
    at_ms: float


@dataclasses.dataclass(slots=True)
class Sighting:
    """One crash at which a part was open, when it was learned, and the requests with the part."""

    at_ms: float
    known_ms: float
    requests: set[str]


@dataclasses.dataclass(slots=True, frozen=True)
class Suspect:
    """A part that may be at fault, and when that can be decided; the highest rank comes first."""

    part: str
    rank: tuple[bool, int]
    crashes: frozenset[str]
    requests: frozenset[str]
    settled_ms: float


Finding = PartCrash | PartAnswer


@dataclasses.dataclass(slots=True)
class Recent:
    """A recent finding, since when it is known, and how often it was told."""

    known_ms: float
    is_own: bool
    finding: Finding
    times_told: int = 0


class CrashEvidence:
    """Crashes and answers by part, of this daemon and of those that told theirs.

    A daemon knows only the answers that it relayed itself. When a crash becomes known, each one
    reports when its parts were last answered, which also ends quarantines decided without that.

    Crashes before `since_ms` are left to the daemons that also know which parts were answered
    before: a part that all requests share would seem at fault after few of them.

    :param since_ms: start of this daemon, by its monotonic clock, in milliseconds.
    """

    __slots__ = (
        "_since_ms",
        "_sightings",
        "_candidates",
        "_answered_at_ms",
        "_answer_told_ms",
        "_quarantines",
        "_recent",
        "_decide_at_ms",
    )

    def __init__(self, since_ms: float = float("-inf")) -> None:
        self._since_ms = since_ms
        self._sightings: collections.OrderedDict[str, dict[str, Sighting]] = (
            collections.OrderedDict()
        )
        # Parts with enough crashes to be at fault; most have one, and stay until they are cleared.
        self._candidates: set[str] = set()
        self._answered_at_ms: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._answer_told_ms: dict[str, float] = {}
        self._quarantines = part_quarantines.PartQuarantines()
        self._recent: collections.deque[Recent] = collections.deque(maxlen=MAX_RECENT)
        # When the next part can be at fault by what is known.
        self._decide_at_ms = float("-inf")

    def record_crash(
        self, parts: Sequence[str], crash: str, request: str, at_ms: float, now_ms: float
    ) -> None:
        """Record that a request of this daemon was open at an upstream that crashed.

        :param parts: shared parts of its prompt.
        :param crash: start of the upstream.
        :param request: fingerprint of the request.
        :param at_ms: when the response broke off.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for part in self.list_suspects(parts, f"{crash} {request}", MAX_PARTS_OF_REQUEST):
            self._add_crash(PartCrash(part, crash, request, at_ms), True, now_ms)

    def list_suspects(self, parts: Sequence[str], key: str, limit: int) -> list[str]:
        """Return the most suspect parts of a prompt.

        :param parts: shared parts of the prompt.
        :param key: changes which parts are left out if too many are alike.
        :param limit: maximum number.
        """
        if len(parts) <= limit:
            return list(parts)
        first = zlib.crc32(key.encode()) % len(parts)
        return heapq.nsmallest(limit, (*parts[first:], *parts[:first]), key=self._rank)

    def record_answer(self, parts: Iterable[str], now_ms: float) -> None:
        """Record that a request of this daemon was answered completely.

        :param parts: shared parts of its prompt.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for part in parts:
            if part in self._sightings or self._quarantines.list_with(part):
                self._add_answer(PartAnswer(part, now_ms), True, now_ms)
            else:
                self._note_answer(part, now_ms)

    def hear(self, finding: Finding, now_ms: float) -> None:
        """Add what another daemon told.

        :param finding: crash or answer, by the clock of this daemon.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if isinstance(finding, PartAnswer):
            self._add_answer(finding, False, now_ms)
        elif finding.at_ms >= self._since_ms:
            self._add_crash(finding, False, now_ms)

    def list_recent(self, now_ms: float, with_heard: bool) -> list[Finding]:
        """Return the findings of the last `TELL_MS` to tell the other daemons, at most `MAX_TOLD`.

        :param now_ms: monotonic clock, in milliseconds.
        :param with_heard: whether to pass on those of other daemons, too.
        """
        while self._recent and self._recent[0].known_ms < now_ms - TELL_MS:
            self._recent.popleft()
        told = [item for item in self._recent if item.is_own or with_heard]
        if len(told) > MAX_TOLD:
            told = self._choose_told(told)
        for item in told:
            item.times_told += 1
        return [item.finding for item in told]

    def _choose_told(self, recent: Sequence[Recent]) -> list[Recent]:
        """Return the findings that help most to find the part at fault."""
        answers = [item for item in recent if isinstance(item.finding, PartAnswer)]
        crashes = [item for item in recent if isinstance(item.finding, PartCrash)]
        answer_count = max(MAX_ANSWERS_TOLD, MAX_TOLD - len(crashes))
        answers = heapq.nsmallest(answer_count, answers, key=lambda item: item.times_told)
        return answers + heapq.nsmallest(
            MAX_TOLD - len(answers),
            crashes,
            key=lambda item: (*self._rank(item.finding.part), item.times_told),
        )

    def _rank(self, part: str) -> tuple[float, int]:
        """Return a key by which the most suspect parts come first."""
        return self.find_answer_ms(part), -len(self._sightings.get(part, ()))

    def list_quarantines(self, now_ms: float) -> list[part_quarantines.PartQuarantine]:
        """Return the parts at fault.

        :param now_ms: monotonic clock, in milliseconds.
        """
        self._decide(now_ms)
        return self._quarantines.items

    def hear_quarantine(self, quarantine: part_quarantines.PartQuarantine, now_ms: float) -> None:
        """Add what another daemon found at fault, without parts that answers known here clear.

        :param quarantine: parts, by the clock of this daemon.
        :param now_ms: monotonic clock, in milliseconds.
        """
        for part in quarantine.parts - self._find_possible(quarantine):
            self._tell_answer(part, now_ms)
        if self._add_quarantine(quarantine):
            self._decide_at_ms = float("-inf")

    def _add_quarantine(self, quarantine: part_quarantines.PartQuarantine) -> bool:
        """Add a quarantine of those parts that can be at fault; return whether it is a new one."""
        possible = self._find_possible(quarantine)
        if not possible:
            return False
        self._candidates -= possible
        return self._quarantines.add(dataclasses.replace(quarantine, parts=possible))

    def _find_possible(self, quarantine: part_quarantines.PartQuarantine) -> frozenset[str]:
        """Return which parts of a quarantine can be at fault by the answers that are known."""
        possible = frozenset(
            part
            for part in quarantine.parts
            if self.find_answer_ms(part) < quarantine.decided_at_ms
        )
        unanswered = frozenset(part for part in possible if part not in self._answered_at_ms)
        if unanswered or len(quarantine.crashes) < CRASHES_OF_ANSWERED_PART:
            return unanswered
        return possible

    def find_answer_ms(self, part: str) -> float:
        """Return when a request with a part was last answered completely; -inf if never.

        :param part: part.
        """
        return self._answered_at_ms.get(part, float("-inf"))

    def quarantine_left_ms(self, parts: Sequence[str], now_ms: float) -> float:
        """Return how long requests with some parts are still refused, in milliseconds; 0 if not.

        :param parts: shared parts of the prompt.
        :param now_ms: monotonic clock, in milliseconds.
        """
        if not parts:
            return 0.0
        self._decide(now_ms)
        return self._quarantines.find_left_ms(parts, now_ms)

    def _add_crash(self, finding: PartCrash, is_own: bool, now_ms: float) -> None:
        part = finding.part
        answered_at_ms = self.find_answer_ms(part)
        if answered_at_ms > float("-inf"):
            self._tell_answer(part, now_ms)
        if finding.at_ms <= answered_at_ms:
            return
        if self._quarantines.is_found(part):
            return
        crashes = self._sightings.setdefault(part, {})
        self._sightings.move_to_end(part)
        sighting = crashes.setdefault(finding.crash, Sighting(finding.at_ms, now_ms, set()))
        sighting.at_ms = min(sighting.at_ms, finding.at_ms)
        if finding.request not in sighting.requests:
            sighting.requests.add(finding.request)
            self._recent.append(Recent(now_ms, is_own, finding))
        if len(crashes) >= CRASHES_TO_QUARANTINE:
            self._candidates.add(part)
            self._decide_at_ms = float("-inf")
        if len(self._sightings) > MAX_PARTS:
            self._drop_sightings(next(iter(self._sightings)))

    def _drop_sightings(self, part: str) -> None:
        self._sightings.pop(part, None)
        self._candidates.discard(part)

    def _tell_answer(self, part: str, now_ms: float) -> None:
        """Report the last answer, at most once in `TELL_MS`."""
        if now_ms - self._answer_told_ms.get(part, float("-inf")) < TELL_MS:
            return
        self._record_told(part, now_ms)
        self._recent.append(Recent(now_ms, True, PartAnswer(part, self.find_answer_ms(part))))

    def _record_told(self, part: str, now_ms: float) -> None:
        if len(self._answer_told_ms) >= MAX_PARTS:
            self._answer_told_ms.clear()
        self._answer_told_ms[part] = now_ms

    def _add_answer(self, finding: PartAnswer, is_own: bool, now_ms: float) -> None:
        part = finding.part
        known_ms = self.find_answer_ms(part)
        if finding.at_ms < known_ms:
            return
        if not is_own:
            self._record_told(part, now_ms)  # By another daemon, to this one and the others.
        if finding.at_ms == known_ms:
            return
        self._note_answer(part, finding.at_ms)
        crashes = self._sightings.get(part, {})
        cleared = [key for key, sighting in crashes.items() if sighting.at_ms <= finding.at_ms]
        for key in cleared:
            del crashes[key]
        is_news = bool(cleared) or (bool(crashes) and known_ms == float("-inf"))
        if not crashes:
            self._drop_sightings(part)
        is_news |= self._narrow_quarantines(part)
        if is_news:
            self._recent.append(Recent(now_ms, is_own, finding))
            self._decide_at_ms = float("-inf")

    def _narrow_quarantines(self, part: str) -> bool:
        """Apply the answer of a part to its quarantines; return whether that changed any."""
        narrowed = [
            item
            for item in self._quarantines.list_with(part)
            if self._find_possible(item) != item.parts
        ]
        for item in narrowed:
            self._quarantines.remove(item)
            self._add_quarantine(item)
        if narrowed and len(self._sightings.get(part, ())) >= CRASHES_TO_QUARANTINE:
            self._candidates.add(part)
        return bool(narrowed)

    def _note_answer(self, part: str, at_ms: float) -> None:
        self._answered_at_ms[part] = at_ms
        self._answered_at_ms.move_to_end(part)
        if len(self._answered_at_ms) > MAX_PARTS:
            self._answered_at_ms.popitem(last=False)

    def _decide(self, now_ms: float) -> None:
        """Quarantine the parts at fault by the evidence, most suspect first."""
        if self._quarantines.drop_expired(now_ms):
            self._decide_at_ms = float("-inf")
        while self._candidates and now_ms >= self._decide_at_ms:
            found = self._find_at_fault(now_ms)
            for parts, crashes in found:
                self._candidates -= parts
                self._add_quarantine(
                    part_quarantines.PartQuarantine(
                        parts, crashes, now_ms, now_ms + QUARANTINE_TTL_MS
                    )
                )
            if not found:
                return

    def _find_at_fault(self, now_ms: float) -> list[tuple[frozenset[str], frozenset[str]]]:
        """Return the most suspect parts, and their crashes, once their evidence has settled.

        Parts that were open at the same crashes in the same requests come together.
        """
        weighed = [self._weigh(part, now_ms) for part in sorted(self._candidates)]
        suspects = [item for item in weighed if item is not None]
        best_rank = max((item.rank for item in suspects), default=None)
        alike: dict[frozenset[str], list[Suspect]] = {}
        for item in suspects:
            if item.rank == best_rank:
                alike.setdefault(item.crashes, []).append(item)
        found: list[tuple[frozenset[str], frozenset[str]]] = []
        settled_ms = float("inf")
        for crashes, group in alike.items():
            group_settled_ms = max(item.settled_ms for item in group)
            if now_ms >= group_settled_ms:
                combined = part_quarantines.combine({item.part: item.requests for item in group})
                found += [(parts, crashes) for parts in combined]
            else:
                settled_ms = min(settled_ms, group_settled_ms)
        self._decide_at_ms = float("-inf") if found else settled_ms
        return found

    def _weigh(self, part: str, now_ms: float) -> Suspect | None:
        """Return what speaks against a part; None if that is too little, or nothing new."""
        explained = self._quarantines.list_explained(part)
        counted = {
            key: sighting
            for key, sighting in self._sightings[part].items()
            if key not in explained and sighting.at_ms > now_ms - EVIDENCE_TTL_MS
        }
        refused = {crash for item in self._quarantines.list_with(part) for crash in item.crashes}
        was_answered = part in self._answered_at_ms
        needed = CRASHES_OF_ANSWERED_PART if was_answered else CRASHES_TO_QUARANTINE
        requests = {request for item in counted.values() for request in item.requests}
        distinct = _merge_simultaneous(counted.values())
        if len(distinct) < needed or len(requests) < MIN_REQUESTS or counted.keys() <= refused:
            return None
        decisive_at_ms = distinct[needed - 1].at_ms
        decisive_known_ms = sorted(item.known_ms for item in distinct)[needed - 1]
        if refused:  # Together with others; the first crash without them decides.
            later = [sighting for key, sighting in counted.items() if key not in refused]
            decisive_at_ms = min(sighting.at_ms for sighting in later)
            decisive_known_ms = min(sighting.known_ms for sighting in later)
        return Suspect(
            part,
            (not was_answered, len(distinct)),
            frozenset(counted),
            frozenset(requests),
            max(decisive_at_ms + SETTLE_MS, decisive_known_ms + REPLY_MS),
        )


def _merge_simultaneous(sightings: Iterable[Sighting]) -> list[Sighting]:
    """Return the crashes in order, the first one of those within `SIMULTANEOUS_MS` of it."""
    merged: list[Sighting] = []
    for sighting in sorted(sightings, key=lambda item: item.at_ms):
        if not merged or sighting.at_ms - merged[-1].at_ms > SIMULTANEOUS_MS:
            merged.append(sighting)
    return merged
