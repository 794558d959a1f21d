"""Commands that show the state of the fleet: status, teams, latency."""

import asyncio
import collections

import typer
from hdrh import histogram

from tanagerfork import metrics as metric
from tanagerfork.cli import client as clients
from tanagerfork.cli import fleet, options, outcome, output, summary
from tanagerfork.generated import operators

US_PER_MS = 1000


def status(
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Show bundle, groups, reserves, downtime and stranded time in each failure domain."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    fleet_status = summary.summarise_fleet(asyncio.run(_survey(target)))
    if as_json:
        output.print_record(fleet_status)
    else:
        _print_status(fleet_status)
    outcome.exit_if_unreachable(len(fleet_status.unreachable))


def teams(
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Show the teams of the bundle in force with their answered and refused requests."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    readings = asyncio.run(_read_all(target, "/v1/teams", operators.TeamList))
    team_list = operators.TeamList(
        teams=sum_teams(readings.records), unreachable=readings.unreachable
    )
    if as_json:
        output.print_record(team_list)
    else:
        rows = [
            (
                team.team,
                str(team.weight),
                str(team.max_priority),
                ", ".join([*team.models, *team.services]),
                str(team.answered),
                str(team.refused),
            )
            for team in team_list.teams
        ]
        columns = ("team", "weight", "max priority", "may use", "answered", "refused")
        output.print_table(columns, rows)
        print_unreachable(team_list.unreachable)
    outcome.exit_if_unreachable(len(team_list.unreachable))


def latency(
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Show latencies by team, model and stage over all daemons."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    readings = asyncio.run(_read_all(target, "/v1/latencies", operators.LatencyList))
    report = operators.LatencyReport(
        latencies=merge_latencies(readings.records), unreachable=readings.unreachable
    )
    if as_json:
        output.print_record(report)
    else:
        rows = [
            (
                item.team,
                item.model,
                item.stage,
                str(item.count),
                *(f"{value:.1f}" for value in (item.p50_ms, item.p95_ms, item.p99_ms, item.max_ms)),
            )
            for item in report.latencies
        ]
        columns = ("team", "model", "stage", "count", "p50 ms", "p95 ms", "p99 ms", "max ms")
        output.print_table(columns, rows)
        print_unreachable(report.unreachable)
    outcome.exit_if_unreachable(len(report.unreachable))


def sum_teams(lists: list[operators.TeamList]) -> list[operators.TeamStatus]:
    """Sum the request counts of each team over all daemons.

    :param lists: teams as each daemon reports them.
    :return: teams, sorted by name.
    """
    summed: dict[str, operators.TeamStatus] = {}
    for team in (team for team_list in lists for team in team_list.teams):
        total = summed.setdefault(team.team, team)
        if total is not team:
            total.answered += team.answered
            total.refused += team.refused
    return [summed[name] for name in sorted(summed)]


def merge_latencies(lists: list[operators.LatencyList]) -> list[operators.LatencySummary]:
    """Add up the daemons' histograms; quantiles are read from the sums, never averaged.

    :param lists: histograms of each daemon.
    :return: quantiles by team, model and stage.
    """
    merged: dict[tuple[str, str, str], histogram.HdrHistogram] = collections.defaultdict(
        metric.make_histogram
    )
    for item in (item for latency_list in lists for item in latency_list.latencies):
        if item.name in metric.STAGES:
            labels = {label.name: label.value for label in item.labels}
            key = labels.get("team", ""), labels.get("model", ""), metric.STAGES[item.name]
            merged[key].decode_and_add(item.histogram)
    return [_summarise_latency(key, merged[key]) for key in sorted(merged)]


def print_unreachable(unreachable: list[operators.UnreachableDaemon]) -> None:
    """Print which daemons could not be reached, and why.

    :param unreachable: daemons that did not answer.
    """
    for daemon in unreachable:
        domain = f" ({daemon.failure_domain})" if daemon.failure_domain else ""
        output.print_line(f"could not reach {daemon.name}{domain}: {daemon.reason}")


def _summarise_latency(
    key: tuple[str, str, str], merged: histogram.HdrHistogram
) -> operators.LatencySummary:
    p50_us, p95_us, p99_us = (
        merged.get_value_at_percentile(quantile) for quantile in metric.QUANTILES
    )
    return operators.LatencySummary(
        team=key[0],
        model=key[1],
        stage=key[2],
        count=merged.get_total_count(),
        p50_ms=p50_us / US_PER_MS,
        p95_ms=p95_us / US_PER_MS,
        p99_ms=p99_us / US_PER_MS,
        max_ms=merged.get_max_value() / US_PER_MS,
    )


def _print_status(fleet_status: operators.FleetStatus) -> None:
    if fleet_status.bundle_version:
        output.print_line(
            f"bundle version {fleet_status.bundle_version}, {fleet_status.bundle_name!r}"
        )
    else:
        output.print_line("no bundle is in force; begin with `tanagerfork bundle new`")
    rows = [
        (
            domain.failure_domain,
            f"{domain.serving}/{domain.daemons}",
            str(domain.whole_groups),
            str(len(domain.broken_groups)),
            str(domain.reserves),
            f"{domain.stranded_accelerators}/{domain.accelerators}",
            output.format_duration(domain.group_downtime_ms),
            output.format_duration(domain.stranded_accelerator_ms),
            domain.coordinator or "unknown",
            "reached" if domain.key_value_reachable else "away",
            domain.seen_by,
        )
        for domain in fleet_status.domains
    ]
    columns = (
        "failure domain",
        "serving",
        "whole",
        "broken",
        "reserves",
        "stranded",
        "group downtime",
        "stranded time",
        "coordinator",
        "key-value",
        "seen by",
    )
    output.print_table(columns, rows)
    for item in fleet_status.daemons:
        if item.bundle_version < fleet_status.bundle_version:
            version = item.bundle_version or "no bundle"
            output.print_line(f"lags: {item.name} ({item.failure_domain}) has {version} in force")
        if item.state != summary.SERVING:
            output.print_line(f"not serving: {item.name} is {item.state} {item.reason}".rstrip())
        for group in item.groups:
            if group.state not in summary.WHOLE_STATES:
                missing = ", ".join(group.missing)
                output.print_line(f"{group.state}: {group.group}, missing {missing}")
    print_unreachable(fleet_status.unreachable)


async def _survey(target: clients.Target) -> fleet.Survey:
    async with clients.connect(target) as client:
        return outcome.unwrap(await fleet.survey_fleet(client, target.urls))


async def _read_all(
    target: clients.Target, path: str, record_type: type[fleet.RecordT]
) -> fleet.Readings[fleet.RecordT]:
    async with clients.connect(target) as client:
        survey = outcome.unwrap(await fleet.survey_fleet(client, target.urls))
        return await fleet.read_all(client, survey, path, record_type)


def register(app: typer.Typer) -> None:
    """Register the commands.

    :param app: application to add them to.
    """
    app.command()(status)
    app.command()(teams)
    app.command()(latency)
