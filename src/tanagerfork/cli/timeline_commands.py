"""Commands that show past events: the merged timeline, and the explanation of one request."""

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
REFUSAL_LOOKBACK_MS = 30_000
ANSWERED = "answered"
MS_PER_S = 1000
TIMELINE_PATH = "/v1/timeline"


@dataclasses.dataclass(slots=True, frozen=True)
class RingPosition:
    """How far a daemon's event ring was read; a restarted daemon's ring has another start time."""

    started_ms: int = 0
    next_sequence: int = 0


TimeOption = Annotated[
    str, typer.Option(metavar="TIME", help="ISO 8601, UTC where no zone is given.")
]


def timeline(
    follow: Annotated[bool, typer.Option("--follow", help="Go on printing new events.")] = False,
    kind: Annotated[str, typer.Option(help="Kind, or subject such as group.")] = "",
    group: Annotated[str, typer.Option(help="Group.")] = "",
    vm: Annotated[str, typer.Option(help="VM.")] = "",
    request: Annotated[str, typer.Option(help="Request id.")] = "",
    bundle: Annotated[int, typer.Option(help="Bundle version.")] = 0,
    since: TimeOption = "",
    until: TimeOption = "",
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
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    event_filter = merge.EventFilter(
        kind, group, vm, request, bundle, parse_time(since), parse_time(until)
    )
    if follow:
        asyncio.run(_follow(target, event_filter, jsonl))
        return
    readings = asyncio.run(_read_pages(target))
    ordered = merge.merge_pages(readings.records, event_filter)
    if trace_path is not None:
        text = trace.export_trace(ordered).decode()
        outcome.unwrap(drafts.write_text(trace_path, text))
    if plot_path is not None:
        outcome.unwrap(drafts.write_text(plot_path, plot.plot_groups(ordered)))
    if trace_path is None and plot_path is None:
        print_events(ordered, jsonl)
    for path in (trace_path, plot_path):
        if path is not None:
            output.print_line(f"{path}: {len(ordered)} events")
    _report_gaps(readings, jsonl)
    outcome.exit_if_unreachable(len(readings.unreachable))


def explain(
    request_id: Annotated[str, typer.Argument(help="Value of X-Request-Id.")],
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Explain what was decided about one request, over all daemons, and why."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    explanation, unreachable = asyncio.run(_explain(target, request_id))
    if as_json:
        output.print_record(explanation)
    else:
        _print_explanation(explanation)
        status_commands.print_unreachable(unreachable)
    outcome.exit_if_unreachable(len(unreachable))


def explain_request(
    request_id: str, traces: list[events.RequestTrace], pages: list[events.EventPage]
) -> events.Explanation:
    """Collect the events that explain what happened to a request.

    Besides the request's own events, these are the events of the groups that those name, from the
    time that the request ran. If they name no group and a daemon refused the request, these are
    instead the group events that this daemon recorded, from `REFUSAL_LOOKBACK_MS` before the
    request began until it ended.

    :param request_id: request.
    :param traces: how it ended, at each daemon that received it.
    :param pages: events of all daemons.
    :return: the explanation.
    """
    own_events = merge.merge_pages(pages, merge.EventFilter(request=request_id))
    groups = {event.group for event in own_events if event.group}
    began_ms = min((trace.wall_ms - trace.duration_ms for trace in traces), default=0)
    ended_ms = max((trace.wall_ms for trace in traces), default=0)
    refusing = {trace.daemon for trace in traces if trace.outcome != ANSWERED and not groups}
    since_ms = began_ms - REFUSAL_LOOKBACK_MS if refusing else began_ms
    related = merge.merge_pages(pages, merge.EventFilter(since_ms=since_ms, until_ms=ended_ms))
    group_events = [
        event
        for event in related
        if event.group and not event.request and (event.group in groups or event.daemon in refusing)
    ]
    return events.Explanation(
        request=request_id,
        traces=sorted(traces, key=lambda trace: (trace.wall_ms, trace.counter, trace.daemon)),
        events=sorted([*own_events, *group_events], key=merge.sort_key),
    )


def print_events(ordered: Sequence[events.Event], as_json_lines: bool) -> None:
    """Print events.

    :param ordered: events, sorted.
    :param as_json_lines: whether to print JSON lines.
    """
    if as_json_lines:
        for event in ordered:
            output.print_line(msgspec.json.encode(event).decode())
        return
    rows = [
        (
            output.format_time(event.wall_ms),
            event.daemon,
            event.kind,
            _describe_subject(event),
            event.detail,
        )
        for event in ordered
    ]
    if rows:
        output.print_table(("time", "daemon", "kind", "about", "detail"), rows)


def parse_time(text: str) -> int:
    """Parse a point in time to milliseconds since the epoch; 0 for an empty text.

    :param text: ISO 8601; UTC where no time zone is given.
    :raises UsageInvalid: the text is not an ISO 8601 time.
    """
    if not text:
        return 0
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"{text!r} is not an ISO 8601 time; write it as 2026-12-04T06:30:00"
        raise errors.UsageInvalid(message) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return int(moment.timestamp() * MS_PER_S)


def _describe_subject(event: events.Event) -> str:
    subject = event.group or event.vm or event.request
    return subject or (f"version {event.bundle_version}" if event.bundle_version else "")


def _report_gaps(readings: fleet.Readings[events.EventPage], as_json_lines: bool) -> None:
    for page in readings.records:
        if page.dropped and not as_json_lines:
            output.print_line(f"{page.daemon} no longer holds its first {page.dropped} events")
    if as_json_lines:
        for daemon in readings.unreachable:
            output.print_error(f"could not reach {daemon.name}: {daemon.reason}")
    else:
        status_commands.print_unreachable(readings.unreachable)


def _print_explanation(explanation: events.Explanation) -> None:
    for item in explanation.traces:
        output.print_line(
            f"{item.daemon} took {item.method} {item.path} of team {item.team or 'unknown'}: "
            f"{item.outcome}, status {item.status}, after {item.duration_ms} ms, "
            f"at {output.format_time(item.wall_ms)}"
        )
        if item.detail:
            output.print_line(f"  because: {item.detail}")
    if not explanation.traces:
        output.print_line(
            "no daemon remembers how the request ended: it never came, is still running, "
            f"or ended longer ago than the last {journal.KEPT_REQUESTS} requests of its daemon"
        )
    print_events(explanation.events, False)
    if explanation.traces and not explanation.events:
        output.print_line("nothing out of the ordinary was decided about it")


async def _explain(
    target: clients.Target, request_id: str
) -> tuple[events.Explanation, list[operators.UnreachableDaemon]]:
    async with clients.connect(target) as client:
        survey = outcome.unwrap(await fleet.survey_fleet(client, target.urls))
        path = f"/v1/requests/{request_id}"
        trace_lists = await fleet.read_all(client, survey, path, events.RequestTraceList)
        pages = await fleet.read_all(client, survey, TIMELINE_PATH, events.EventPage)
    traces = [trace for trace_list in trace_lists.records for trace in trace_list.traces]
    explanation = explain_request(request_id, traces, pages.records)
    explanation.unreachable = [daemon.name for daemon in pages.unreachable]
    return explanation, pages.unreachable


async def _read_pages(target: clients.Target) -> fleet.Readings[events.EventPage]:
    async with clients.connect(target) as client:
        survey = outcome.unwrap(await fleet.survey_fleet(client, target.urls))
        return await fleet.read_all(client, survey, TIMELINE_PATH, events.EventPage)


async def _follow(
    target: clients.Target, event_filter: merge.EventFilter, as_json_lines: bool
) -> None:
    positions: dict[str, RingPosition] = {}
    async with clients.connect(target) as client:
        while True:
            survey = outcome.unwrap(await fleet.survey_fleet(client, target.urls))
            pages = await read_new_events(client, survey, positions)
            print_events(merge.merge_pages(pages, event_filter), as_json_lines)
            await asyncio.sleep(FOLLOW_INTERVAL_S)


async def read_new_events(
    client: clients.OperatorsClient, survey: fleet.Survey, positions: dict[str, RingPosition]
) -> list[events.EventPage]:
    """Read the events that were recorded since the last call.

    :param client: client to read with.
    :param survey: daemons to read from.
    :param positions: position in the ring of each daemon, by URL; updated.
    :return: the new events of each daemon that answered.
    """
    reads = [_read_page(client, url, positions) for url in survey.answered]
    return [page for page in await asyncio.gather(*reads) if page is not None]


async def _read_page(
    client: clients.OperatorsClient, url: str, positions: dict[str, RingPosition]
) -> events.EventPage | None:
    position = positions.get(url, RingPosition())
    path = f"{TIMELINE_PATH}?after={position.next_sequence - 1}"
    page = (await client.read(url, path, events.EventPage)).unwrap_or(None)
    if page is not None and position.next_sequence and page.started_ms != position.started_ms:
        page = (await client.read(url, TIMELINE_PATH, events.EventPage)).unwrap_or(None)
    if page is not None:
        positions[url] = RingPosition(page.started_ms, page.next_sequence)
    return page


def register(app: typer.Typer) -> None:
    """Register the commands.

    :param app: application to add them to.
    """
    app.command()(timeline)
    app.command()(explain)
