"""Discovers all daemons through a few known ones, and reads records from each."""

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
    """A daemon that was named by the operator or that a daemon listed as its peer."""

    url: str
    name: str = ""
    failure_domain: str = ""


@dataclasses.dataclass(slots=True)
class Survey:
    """Daemons that answered, by URL, those that did not, and failure domains with a full status."""

    answered: dict[str, operators.DaemonStatus] = dataclasses.field(default_factory=dict)
    unreachable: list[operators.UnreachableDaemon] = dataclasses.field(default_factory=list)
    fully_read_domains: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Readings(Generic[RecordT]):
    """Records that the daemons returned, and the daemons that did not answer."""

    records: list[RecordT]
    unreachable: list[operators.UnreachableDaemon]


async def survey_fleet(
    client: clients.OperatorsClient, urls: Iterable[str]
) -> result.Result[Survey, errors.OperatorError]:
    """Read the status of every daemon that can be discovered.

    The full status, with groups and peers, is read from one daemon of each failure domain and
    from those that the operator named, the brief status from the others.

    :param client: client to read with.
    :param urls: daemons that the operator named.
    :return: the survey, or why no daemon could be reached.
    """
    survey = Survey()
    pending = {url: KnownDaemon(url) for url in urls}
    seen: set[str] = set()
    tried_domains: set[str] = set()
    last_error: errors.OperatorError | None = None
    while pending:
        batch = _choose_batch(pending.values(), survey.fully_read_domains, tried_domains)
        tried_domains.update(daemon.failure_domain for daemon, _ in batch)
        seen.update(daemon.url for daemon, _ in batch)
        paths = [BRIEF_PATH if is_brief else STATUS_PATH for _, is_brief in batch]
        reads = [
            client.read(daemon.url, path, operators.DaemonStatus)
            for (daemon, _), path in zip(batch, paths, strict=True)
        ]
        for (daemon, is_brief), read in zip(batch, await asyncio.gather(*reads), strict=True):
            del pending[daemon.url]
            if isinstance(read, result.Err):
                last_error = read.err_value
                survey.unreachable.append(_describe_unreachable(daemon, read.err_value))
                continue
            survey.answered[daemon.url] = read.ok_value
            if not is_brief:
                survey.fully_read_domains.add(read.ok_value.failure_domain)
        pending.update(_find_new_daemons(survey, seen, pending))
    if not survey.answered and last_error is not None:
        return result.Err(last_error)
    _drop_duplicates(survey)
    return result.Ok(survey)


async def read_all(
    client: clients.OperatorsClient,
    survey: Survey,
    path: str,
    record_type: type[RecordT],
) -> Readings[RecordT]:
    """Read one record from every daemon that answered.

    :param client: client to read with.
    :param survey: daemons to read from.
    :param path: path with its query.
    :param record_type: type of the record.
    :return: the records, and all daemons that did not answer this read or the survey.
    """
    reads = [client.read(url, path, record_type) for url in survey.answered]
    readings: Readings[RecordT] = Readings([], list(survey.unreachable))
    for url, read in zip(survey.answered, await asyncio.gather(*reads), strict=True):
        if isinstance(read, result.Ok):
            readings.records.append(read.ok_value)
            continue
        status = survey.answered[url]
        daemon = KnownDaemon(url, status.name, status.failure_domain)
        readings.unreachable.append(_describe_unreachable(daemon, read.err_value))
    return readings


def _choose_batch(
    pending: Iterable[KnownDaemon], fully_read_domains: set[str], tried_domains: set[str]
) -> Sequence[tuple[KnownDaemon, bool]]:
    """Choose the daemons to ask next, each with whether its brief status is enough.

    The first daemon of a failure domain is asked alone for its full status, so that the brief
    status of the others is enough. If it does not answer, all others are asked for the full status
    at once: asking one after the other would take one timeout for each daemon of a domain that is
    cut off.
    """
    batch = []
    chosen: set[str] = set()
    for daemon in pending:
        domain = daemon.failure_domain
        if domain in fully_read_domains:
            batch.append((daemon, True))
        elif not domain or domain in tried_domains or domain not in chosen:
            chosen.add(domain)
            batch.append((daemon, False))
    return batch


def _find_new_daemons(
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
    daemon: KnownDaemon, error: errors.OperatorError
) -> operators.UnreachableDaemon:
    return operators.UnreachableDaemon(
        name=daemon.name or daemon.url,
        failure_domain=daemon.failure_domain,
        url=daemon.url,
        reason=error.message,
    )


def _drop_duplicates(survey: Survey) -> None:
    urls: dict[str, str] = {}
    for url, status in survey.answered.items():
        urls.setdefault(status.name, url)
    survey.answered = {
        url: status for url, status in survey.answered.items() if urls[status.name] == url
    }
