"""Commands that look back: the merged time line, and one request's story."""

import asyncio
import dataclasses
import datetime
import pathlib
from collections.abc import Sequence
from typing import Annotated

import msgspec
import typer

from tanagerfork import errors
from tanagerfork.cli import client as clients
from tanagerfork.cli import drafts, fleet, options, outcome, output, status_commands
from tanagerfork.front import journal
from tanagerfork.generated import events, operators
from tanagerfork.timeline import merge, plot, trace

FOLLOW_INTERVAL_S = 1.0
BEFORE_REFUSAL_MS = 30_000
ANSWERED = "answered"
MS_PER_S = 1000
TIMELINE_PATH = "/v1/timeline"


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """How far a daemon's ring was read; a ring that began anew has another start."""

    started_ms: int = 0
    next_sequence: int = 0


Moment = Annotated[str, typer.Option(metavar="TIME", help="ISO 8601, UTC where no zone is given.")]


def timeline(
    follow: Annotated[bool, typer.Option("--follow", help="Go on printing new events.")] = False,
    kind: Annotated[str, typer.Option(help="Kind, or subject such as group.")] = "",
    group: Annotated[str, typer.Option(help="Group.")] = "",
    vm: Annotated[str, typer.Option(help="VM.")] = "",
    request: Annotated[str, typer.Option(help="Request id.")] = "",
    bundle: Annotated[int, typer.Option(help="Bundle version.")] = 0,
    since: Moment = "",
    until: Moment = "",
    jsonl: Annotated[
        bool, typer.Option("--jsonl", "--json", help="One JSON record a line.")
    ] = False,
    trace_path: Annotated[
        pathlib.Path | None, typer.Option("--trace", help="Write a file for trace viewers.")
    ] = None,
    plot_path: Annotated[
        pathlib.Path | None, typer.Option("--plot", help="Write a page of the groups over time.")
    ] = None,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Print the events of all daemons, causes before effects."""
    target = outcome.take(clients.make_target(daemon, token_file, ca_file))
    wanted = merge.EventFilter(
        kind, group, vm, request, bundle, read_moment(since), read_moment(until)
    )
    if follow:
        asyncio.run(_follow(target, wanted, jsonl))
        return
    read = asyncio.run(_read_pages(target))
    ordered = merge.merge_pages(read.records, wanted)
    if trace_path is not None:
        text = trace.export_trace(ordered).decode()
        outcome.take(drafts.write_text(trace_path, text))
    if plot_path is not None:
        outcome.take(drafts.write_text(plot_path, plot.plot_groups(ordered)))
    if trace_path is None and plot_path is None:
        print_events(ordered, jsonl)
    for path in (trace_path, plot_path):
        if path is not None:
            output.print_line(f"{path}: {len(ordered)} events")
    _report_gaps(read, jsonl)
    outcome.end_partly(len(read.unreachable))


def explain(
    request_id: Annotated[str, typer.Argument(help="Value of X-Request-Id.")],
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Tell what was decided about one request, over all daemons, and why."""
    target = outcome.take(clients.make_target(daemon, token_file, ca_file))
    told, unreachable = asyncio.run(_explain(target, request_id))
    if as_json:
        output.print_record(told)
    else:
        _print_explanation(told)
        status_commands.print_unreachable(unreachable)
    outcome.end_partly(len(unreachable))


def explain_request(
    request_id: str, traces: list[events.RequestTrace], pages: list[events.EventPage]
) -> events.Explanation:
    """Put together what is known of a request.

    Beside its own events, those of the groups that it met while it ran tell why. Where it met none
    and was refused, the changes of all groups that the refusing daemon saw shortly before do.

    :param request_id: request.
    :param traces: how it ended, at each daemon that took it.
    :param pages: events of all daemons.
    :return: the explanation.
    """
    own = merge.merge_pages(pages, merge.EventFilter(request=request_id))
    groups = {event.group for event in own if event.group}
    began_ms = min((trace.wall_ms - trace.duration_ms for trace in traces), default=0)
    ended_ms = max((trace.wall_ms for trace in traces), default=0)
    refusing = {trace.daemon for trace in traces if trace.outcome != ANSWERED and not groups}
    since_ms = began_ms - BEFORE_REFUSAL_MS if refusing else began_ms
    related = merge.merge_pages(pages, merge.EventFilter(since_ms=since_ms, until_ms=ended_ms))
    met = [
        event
        for event in related
        if event.group and not event.request and (event.group in groups or event.daemon in refusing)
    ]
    return events.Explanation(
        request=request_id,
        traces=sorted(traces, key=lambda trace: (trace.wall_ms, trace.counter, trace.daemon)),
        events=sorted([*own, *met], key=merge.sort_key),
    )


def print_events(ordered: Sequence[events.Event], as_lines: bool) -> None:
    """Print events.

    :param ordered: events in order.
    :param as_lines: whether to print JSON lines.
    """
    if as_lines:
        for event in ordered:
            output.print_line(msgspec.json.encode(event).decode())
        return
    rows = [
        (output.format_time(event.wall_ms), event.daemon, event.kind, _name(event), event.detail)
        for event in ordered
    ]
    if rows:
        output.print_table(("time", "daemon", "kind", "about", "detail"), rows)


def read_moment(text: str) -> int:
    """Return a point in time in milliseconds since the epoch; 0 for none.

    :param text: ISO 8601.
    :raises UsageInvalid: the text is no point in time.
    """
    if not text:
        return 0
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"{text!r} is no time; write it as 2026-12-04T06:30:00"
        raise errors.UsageInvalid(message) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return int(moment.timestamp() * MS_PER_S)


def _name(event: events.Event) -> str:
    named = event.group or event.vm or event.request
    return named or (f"version {event.bundle_version}" if event.bundle_version else "")


def _report_gaps(read: fleet.Readings[events.EventPage], as_lines: bool) -> None:
    for page in read.records:
        if page.dropped and not as_lines:
            output.print_line(f"{page.daemon} no longer holds its first {page.dropped} events")
    if as_lines:
        for missed in read.unreachable:
            output.print_error(f"could not reach {missed.name}: {missed.reason}")
    else:
        status_commands.print_unreachable(read.unreachable)


def _print_explanation(told: events.Explanation) -> None:
    for item in told.traces:
        output.print_line(
            f"{item.daemon} took {item.method} {item.path} of team {item.team or 'unknown'}: "
            f"{item.outcome}, status {item.status}, after {item.duration_ms} ms, "
            f"at {output.format_time(item.wall_ms)}"
        )
        if item.detail:
            output.print_line(f"  because: {item.detail}")
    if not told.traces:
        output.print_line(
            "no daemon remembers how the request ended: it never came, is still running, "
            f"or ended longer ago than the last {journal.KEPT_REQUESTS} requests of its daemon"
        )
    print_events(told.events, False)
    if told.traces and not told.events:
        output.print_line("nothing out of the ordinary was decided about it")


async def _explain(
    target: clients.Target, request_id: str
) -> tuple[events.Explanation, list[operators.UnreachableDaemon]]:
    async with clients.connect(target) as client:
        survey = outcome.take(await fleet.survey_fleet(client, target.urls))
        path = f"/v1/requests/{request_id}"
        traced = await fleet.read_all(client, survey, path, events.RequestTraceList)
        pages = await fleet.read_all(client, survey, TIMELINE_PATH, events.EventPage)
    traces = [trace for listed in traced.records for trace in listed.traces]
    told = explain_request(request_id, traces, pages.records)
    told.unreachable = [missed.name for missed in pages.unreachable]
    return told, pages.unreachable


async def _read_pages(target: clients.Target) -> fleet.Readings[events.EventPage]:
    async with clients.connect(target) as client:
        survey = outcome.take(await fleet.survey_fleet(client, target.urls))
        return await fleet.read_all(client, survey, TIMELINE_PATH, events.EventPage)


async def _follow(target: clients.Target, wanted: merge.EventFilter, as_lines: bool) -> None:
    places: dict[str, Place] = {}
    async with clients.connect(target) as client:
        while True:
            survey = outcome.take(await fleet.survey_fleet(client, target.urls))
            pages = await read_newer(client, survey, places)
            print_events(merge.merge_pages(pages, wanted), as_lines)
            await asyncio.sleep(FOLLOW_INTERVAL_S)


async def read_newer(
    client: clients.OperatorsClient, survey: fleet.Survey, places: dict[str, Place]
) -> list[events.EventPage]:
    """Read the events that were recorded since the last call.

    :param client: client.
    :param survey: daemons.
    :param places: place in the ring of each daemon by address; kept up to date.
    :return: the new events of each daemon that answered.
    """
    asked = [_read_page(client, url, places) for url in survey.answered]
    return [page for page in await asyncio.gather(*asked) if page is not None]


async def _read_page(
    client: clients.OperatorsClient, url: str, places: dict[str, Place]
) -> events.EventPage | None:
    place = places.get(url, Place())
    path = f"{TIMELINE_PATH}?after={place.next_sequence - 1}"
    page = (await client.read(url, path, events.EventPage)).unwrap_or(None)
    if page is not None and place.next_sequence and page.started_ms != place.started_ms:
        page = (await client.read(url, TIMELINE_PATH, events.EventPage)).unwrap_or(None)
    if page is not None:
        places[url] = Place(page.started_ms, page.next_sequence)
    return page


def register(app: typer.Typer) -> None:
    """Add the commands.

    :param app: program.
    """
    app.command()(timeline)
    app.command()(explain)
