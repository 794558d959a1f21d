"""Part notices: crash evidence and quarantined parts of prompts, as daemons tell each other.

Clocks of daemons differ, so that times are sent as ages.
"""

from tanagerfork.generated import notices
from tanagerfork.routing import crash_evidence, part_quarantines

MAX_CRASHES = 32  # Of a quarantine, which explain crashes of the other parts.
MAX_PARTS = 256  # Of all quarantines of several parts; the other daemons find the rest themselves.


def add_to_notice(
    notice: notices.Notice,
    evidence: crash_evidence.CrashEvidence,
    now_ms: float,
    with_heard: bool = False,
) -> None:
    """Add the recent findings and all quarantined parts to a notice.

    :param notice: notice.
    :param evidence: evidence of this daemon.
    :param now_ms: monotonic clock, in milliseconds.
    :param with_heard: whether to pass on what other daemons told.
    """
    for finding in evidence.list_recent(now_ms, with_heard):
        age_ms = max(0, round(now_ms - finding.at_ms))
        if isinstance(finding, crash_evidence.PartCrash):
            notice.crashed_parts.append(
                notices.CrashedPart(
                    part=finding.part, crash=finding.crash, request=finding.request, age_ms=age_ms
                )
            )
        else:
            notice.answered_parts.append(notices.AnsweredPart(part=finding.part, age_ms=age_ms))
    _add_quarantines(notice, evidence.list_quarantines(now_ms), now_ms)


def _add_quarantines(
    notice: notices.Notice, quarantines: list[part_quarantines.PartQuarantine], now_ms: float
) -> None:
    """Add quarantines, those of few parts first; single ones also as earlier builds read them."""
    notice.quarantines = []
    told_parts = 0
    for item in sorted(quarantines, key=lambda found: len(found.parts)):
        crashes = sorted(item.crashes)[:MAX_CRASHES]
        age_ms = max(0, round(now_ms - item.decided_at_ms))
        expires_in_ms = max(0, round(item.until_ms - now_ms))
        parts = sorted(item.parts)
        if len(parts) == 1:
            notice.quarantined_parts.append(
                notices.QuarantinedPart(
                    part=parts[0], crashes=crashes, age_ms=age_ms, expires_in_ms=expires_in_ms
                )
            )
        else:
            told_parts += len(parts)
            if told_parts > MAX_PARTS:
                return
            notice.quarantines.append(
                notices.Quarantine(
                    parts=parts, crashes=crashes, age_ms=age_ms, expires_in_ms=expires_in_ms
                )
            )


def hear(notice: notices.Notice, evidence: crash_evidence.CrashEvidence, now_ms: float) -> None:
    """Add the evidence in a notice.

    :param notice: notice of another daemon.
    :param evidence: evidence of this daemon.
    :param now_ms: monotonic clock, in milliseconds.
    """
    for crashed in notice.crashed_parts:
        evidence.hear(
            crash_evidence.PartCrash(
                crashed.part, crashed.crash, crashed.request, now_ms - crashed.age_ms
            ),
            now_ms,
        )
    for answered in notice.answered_parts:
        finding = crash_evidence.PartAnswer(answered.part, now_ms - answered.age_ms)
        evidence.hear(finding, now_ms)
    for item in _list_quarantines(notice):
        until_ms = now_ms + min(item.expires_in_ms, crash_evidence.QUARANTINE_TTL_MS)
        evidence.hear_quarantine(
            part_quarantines.PartQuarantine(
                frozenset(item.parts), frozenset(item.crashes), now_ms - item.age_ms, until_ms
            ),
            now_ms,
        )


def _list_quarantines(notice: notices.Notice) -> list[notices.Quarantine]:
    """Return the quarantines in a notice.

    Earlier builds refuse all parts that were open at the same crashes, each by itself.
    """
    single: dict[tuple[str, ...], notices.Quarantine] = {}
    found = list(notice.quarantines or ())
    for item in notice.quarantined_parts:
        quarantine = notices.Quarantine(
            parts=[item.part],
            crashes=item.crashes,
            age_ms=item.age_ms,
            expires_in_ms=item.expires_in_ms,
        )
        if notice.quarantines is not None:
            found.append(quarantine)
        elif (known := single.setdefault(tuple(item.crashes), quarantine)) is not quarantine:
            known.parts.append(item.part)
    return [*found, *single.values()]
