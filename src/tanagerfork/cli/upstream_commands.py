"""Command that shows what a relay daemon learned of its upstreams."""

import asyncio
import re
from collections.abc import Iterable, Iterator
from typing import Annotated

import aiohttp
import msgspec
import typer

from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.cli import client as clients
from tanagerfork.cli import options, output
from tanagerfork.upstream import guarded

SLOTS = metric.PREFIX + "relay_upstream_slots"
SLOWNESS = metric.PREFIX + "relay_upstream_slowness"
_SAMPLE = re.compile(r"^([a-z_]+)\{(.*)\} (\S+)$")
_LABEL = re.compile(r'([a-z_]+)="((?:[^"\\]|\\.)*)"')
_ESCAPED = re.compile(r"\\(.)")


class UpstreamRecord(msgspec.Struct):
    """What was learned of one upstream, for programs; `model` is empty for a plain service."""

    service: str
    model: str
    upstream: str
    slots: float
    slowness: float


class UpstreamReport(msgspec.Struct):
    """The upstreams that a daemon has metrics of, which are those with the fewest slots."""

    upstreams: list[UpstreamRecord]


def upstreams(
    metrics: Annotated[
        str,
        typer.Option("--metrics", metavar="URL", help="Metrics of a relay daemon."),
    ],
    as_json: options.AsJson = False,
) -> None:
    """Show how many requests upstreams handle well, as a relay daemon learned it."""
    if not metrics.startswith(("http://", "https://")):
        message = f"--metrics {metrics}: is not a URL; write http://IP:PORT/metrics"
        raise errors.UsageInvalid(message)
    report = UpstreamReport(parse_upstreams(asyncio.run(_read(metrics))))
    if as_json:
        output.print_record(report)
        return
    rows = [
        (item.service, item.model or "-", item.upstream, f"{item.slots:g}", f"{item.slowness:g}")
        for item in report.upstreams
    ]
    output.print_table(("service", "model", "upstream", "slots", "slowness"), rows)


def parse_upstreams(text: str) -> list[UpstreamRecord]:
    """Return the upstreams in a daemon's metrics, by service and model, fewest slots first.

    :param text: metrics in the Prometheus text format.
    """
    found: dict[tuple[str, str, str], UpstreamRecord] = {}
    for name, labels, value in _read_samples(text.splitlines()):
        key = labels.get("service", ""), labels.get("model", ""), labels.get("upstream", "")
        record = found.setdefault(key, UpstreamRecord(*key, slots=0.0, slowness=1.0))
        if name == SLOTS:
            record.slots = value
        else:
            record.slowness = value
    return sorted(found.values(), key=lambda item: (item.service, item.model, item.slots))


def _read_samples(lines: Iterable[str]) -> Iterator[tuple[str, dict[str, str], float]]:
    for line in lines:
        sample = _SAMPLE.match(line)
        if sample is not None and sample[1] in (SLOTS, SLOWNESS):
            labels = {name: _unescape(value) for name, value in _LABEL.findall(sample[2])}
            yield sample[1], labels, float(sample[3])


def _unescape(value: str) -> str:
    return _ESCAPED.sub(lambda found: "\n" if found[1] == "n" else found[1], value)


async def _read(url: str) -> str:
    timeout = aiohttp.ClientTimeout(total=clients.READ_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(connector=guarded.GuardedConnector(), timeout=timeout) as session,
            session.get(url) as response,
        ):
            text = await response.text()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        message = f"{url}: no answer ({error or type(error).__name__}); check address and daemon"
        raise errors.DaemonUnreachable(message) from error
    if response.status != 200:
        message = f"{url}: answered with status {response.status}; give http://IP:PORT/metrics"
        raise errors.DaemonAnswerLost(message)
    return text


def register(app: typer.Typer) -> None:
    """Register the command.

    :param app: application to add it to.
    """
    app.command()(upstreams)
