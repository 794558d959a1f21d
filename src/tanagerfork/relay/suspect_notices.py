"""Suspect notices: requests that may crash upstreams, as daemons tell each other."""

from tanagerfork.generated import notices
from tanagerfork.routing import fleet as fleets


def encode(suspicion: fleets.PoisonNotice) -> notices.Suspect:
    """Return a suspicion as it is sent.

    :param suspicion: fingerprint, crashes and quarantine of the request.
    """
    return notices.Suspect(
        fingerprint=suspicion.fingerprint,
        crashes=suspicion.crashes,
        is_quarantined=suspicion.is_quarantined,
        expires_in_ms=suspicion.expires_in_ms,
        age_ms=suspicion.age_ms,
        runs=[
            notices.LostRun(
                crash=run.crash, sent_age_ms=run.sent_age_ms, lost_age_ms=run.lost_age_ms
            )
            for run in suspicion.runs
        ],
        answered_age_ms=suspicion.answered_age_ms,
    )


def decode(suspect: notices.Suspect) -> fleets.PoisonNotice:
    """Return a suspicion that was received.

    :param suspect: suspicion as it is sent.
    """
    return fleets.PoisonNotice(
        suspect.fingerprint,
        suspect.crashes,
        suspect.is_quarantined,
        suspect.expires_in_ms,
        suspect.age_ms,
        tuple(fleets.ToldRun(run.crash, run.sent_age_ms, run.lost_age_ms) for run in suspect.runs),
    )
