"""Finds all daemons from a few of them and reads from each what is asked for."""

import asyncio
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

import result

from tanagerfork import errors
from tanagerfork.cli import client as clients
from tanagerfork.generated import operators

GONE_STATES = ("dead", "left")
STATUS_PATH = "/v1/status"
BRIEF_PATH = "/v1/status?brief=1"

RecordT = TypeVar("RecordT")


@dataclasses.dataclass(slots=True, frozen=True)
class KnownDaemon:
    """A daemon that was named by the operator or by a peer."""

    url: str
    name: str = ""
    failure_domain: str = ""


@dataclasses.dataclass(slots=True)
class Survey:
    """The daemons that answered, by address, those that did not, and the domains seen in full."""

    answered: dict[str, operators.DaemonStatus] = dataclasses.field(default_factory=dict)
    unreachable: list[operators.UnreachableDaemon] = dataclasses.field(default_factory=list)
    read_fully: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Readings(Generic[RecordT]):
    """What was read from each daemon, and which did not answer."""

    records: list[RecordT]
    unreachable: list[operators.UnreachableDaemon]


async def survey_fleet(
    client: clients.OperatorsClient, urls: Iterable[str]
) -> result.Result[Survey, errors.OperatorError]:
    """Read the status of every daemon that can be found.

    Groups and peers are read from one daemon of each failure domain, and from those that the
    operator named; the others answer briefly.

    :param client: client.
    :param urls: daemons that the operator named.
    :return: the daemons, or why none could be reached.
    """
    survey = Survey()
    pending = {url: KnownDaemon(url) for url in urls}
    seen: set[str] = set()
    tried_domains: set[str] = set()
    last_error: errors.OperatorError | None = None
    while pending:
        wave = _choose_wave(pending.values(), survey.read_fully, tried_domains)
        tried_domains.update(known.failure_domain for known, _ in wave)
        seen.update(known.url for known, _ in wave)
        paths = [BRIEF_PATH if is_brief else STATUS_PATH for _, is_brief in wave]
        asked = [
            client.read(known.url, path, operators.DaemonStatus)
            for (known, _), path in zip(wave, paths, strict=True)
        ]
        for (known, is_brief), read in zip(wave, await asyncio.gather(*asked), strict=True):
            del pending[known.url]
            if isinstance(read, result.Err):
                last_error = read.err_value
                survey.unreachable.append(_describe_unreachable(known, read.err_value))
                continue
            survey.answered[known.url] = read.ok_value
            if not is_brief:
                survey.read_fully.add(read.ok_value.failure_domain)
        pending.update(_find_new(survey, seen, pending))
    if not survey.answered and last_error is not None:
        return result.Err(last_error)
    _drop_known_twice(survey)
    return result.Ok(survey)


async def read_all(
    client: clients.OperatorsClient,
    survey: Survey,
    path: str,
    record_type: type[RecordT],
) -> Readings[RecordT]:
    """Read one record from every daemon that answered.

    :param client: client.
    :param survey: daemons.
    :param path: path with its query.
    :param record_type: type of the record.
    :return: the records, and all daemons that could not be reached.
    """
    asked = [client.read(url, path, record_type) for url in survey.answered]
    readings: Readings[RecordT] = Readings([], list(survey.unreachable))
    for url, read in zip(survey.answered, await asyncio.gather(*asked), strict=True):
        if isinstance(read, result.Ok):
            readings.records.append(read.ok_value)
            continue
        status = survey.answered[url]
        known = KnownDaemon(url, status.name, status.failure_domain)
        readings.unreachable.append(_describe_unreachable(known, read.err_value))
    return readings


def _choose_wave(
    pending: Iterable[KnownDaemon], read_fully: set[str], tried_domains: set[str]
) -> Sequence[tuple[KnownDaemon, bool]]:
    """Choose whom to ask next, and whom of them briefly.

    The first daemon of a failure domain is asked alone, so that the others can answer briefly. If
    it does not answer, all others are asked for everything, as waiting for each in turn would take
    a time-out for each daemon of a domain that is cut off.
    """
    wave = []
    chosen: set[str] = set()
    for known in pending:
        domain = known.failure_domain
        if domain in read_fully:
            wave.append((known, True))
        elif not domain or domain in tried_domains or domain not in chosen:
            chosen.add(domain)
            wave.append((known, False))
    return wave


def _find_new(
    survey: Survey, seen: set[str], pending: dict[str, KnownDaemon]
) -> dict[str, KnownDaemon]:
    found: dict[str, KnownDaemon] = {}
    names = {status.name for status in survey.answered.values()}
    for status in survey.answered.values():
        for peer in status.peers:
            url = peer.operators_url.rstrip("/")
            if not url or url in seen or url in pending or peer.name in names:
                continue
            if peer.state not in GONE_STATES:
                found[url] = KnownDaemon(url, peer.name, peer.failure_domain)
    return found


def _describe_unreachable(
    known: KnownDaemon, error: errors.OperatorError
) -> operators.UnreachableDaemon:
    return operators.UnreachableDaemon(
        name=known.name or known.url,
        failure_domain=known.failure_domain,
        url=known.url,
        reason=error.message,
    )


def _drop_known_twice(survey: Survey) -> None:
    urls: dict[str, str] = {}
    for url, status in survey.answered.items():
        urls.setdefault(status.name, url)
    survey.answered = {
        url: status for url, status in survey.answered.items() if urls[status.name] == url
    }
