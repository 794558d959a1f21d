"""Descriptions of daemons for operators and for other failure domains."""

from collections.abc import Iterable

from tanagerfork.generated import operators, peers
from tanagerfork.peers import membership


def describe_contact(entry: peers.PeerEntry) -> peers.DomainContact:
    """Return the contact details of a daemon for other failure domains.

    :param entry: daemon.
    """
    return peers.DomainContact(
        name=entry.name, callers_url=entry.callers_url, operators_url=entry.operators_url
    )


def describe_peers(
    failure_domain: str,
    members: Iterable[membership.Member],
    foreign: Iterable[peers.DomainSummary],
    now_ms: int,
) -> list[operators.PeerStatus]:
    """Return the status of daemons for operators: all of this failure domain, some of the others.

    :param failure_domain: failure domain of this daemon.
    :param members: its other daemons.
    :param foreign: last summaries of the other failure domains.
    :param now_ms: monotonic clock, in milliseconds.
    """
    described = [
        operators.PeerStatus(
            name=member.entry.name,
            failure_domain=failure_domain,
            state=member.entry.state,
            operators_url=member.entry.operators_url,
            bundle_version=member.bundle_version,
            age_ms=now_ms - member.heard_at_ms,
        )
        for member in members
    ]
    for summary in foreign:
        described += [
            operators.PeerStatus(
                name=contact.name,
                failure_domain=summary.failure_domain,
                state=membership.ALIVE,
                operators_url=contact.operators_url,
                age_ms=summary.age_ms,
            )
            for contact in summary.contacts
        ]
    return described
