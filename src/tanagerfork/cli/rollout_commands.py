"""Commands that follow a rollout."""

import asyncio
from typing import Annotated

import rich.console
import rich.progress
import typer

from tanagerfork import errors
from tanagerfork.cli import client as clients
from tanagerfork.cli import drafts, fleet, options, outcome, output, summary
from tanagerfork.generated import bundle, operators

WATCH_INTERVAL_S = 1.0
DEFAULT_LIMIT_S = 3600

app = typer.Typer(no_args_is_help=True, help="Rollouts of bundles.")


@app.callback()
def describe() -> None:
    """Rollouts of bundles."""


@app.command()
def watch(
    limit_s: Annotated[
        int, typer.Option("--limit-s", help="Give up watching after this many seconds.")
    ] = DEFAULT_LIMIT_S,
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Watch until the newest bundle is in force at all daemons and its groups are whole."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    asyncio.run(_watch(target, limit_s, as_json))


def measure_progress(survey: fleet.Survey, in_force: bundle.Bundle) -> operators.RolloutProgress:
    """Compute how many daemons and groups have reached the newest bundle.

    :param survey: daemons that answered, and those that did not.
    :param in_force: newest bundle in force at any of them.
    :return: the progress.
    """
    status = summary.summarise_fleet(survey)
    domains = {domain.failure_domain for domain in status.domains}
    versions = {model.name: model.version for model in in_force.models}
    wanted_groups = sum(
        count.groups
        for model in in_force.models
        for count in model.placement
        if count.failure_domain in domains
    )
    seen_by = {domain.seen_by for domain in status.domains}
    updated_groups = sum(
        group.state in summary.WHOLE_STATES and versions.get(group.model) == group.version
        for daemon in status.daemons
        if daemon.name in seen_by
        for group in daemon.groups
    )
    return operators.RolloutProgress(
        bundle_version=status.bundle_version,
        daemons=len(status.daemons),
        daemons_done=sum(item.bundle_version == status.bundle_version for item in status.daemons),
        groups=wanted_groups,
        groups_done=min(updated_groups, wanted_groups),
        unreachable=len(status.unreachable),
    )


def is_done(progress: operators.RolloutProgress) -> bool:
    """Return whether a rollout is complete at all daemons that answered.

    :param progress: progress of the rollout.
    """
    return progress.daemons_done == progress.daemons and progress.groups_done == progress.groups


def format_progress(progress: operators.RolloutProgress) -> str:
    """Format progress as one line.

    :param progress: progress of the rollout.
    """
    unreachable = f", {progress.unreachable} unreachable" if progress.unreachable else ""
    return (
        f"version {progress.bundle_version}: in force at {progress.daemons_done} of "
        f"{progress.daemons} daemons, {progress.groups_done} of {progress.groups} groups whole"
        f"{unreachable}"
    )


async def _watch(target: clients.Target, limit_s: int, as_json: bool) -> None:
    last_line = ""
    with rich.progress.Progress(
        "{task.description}",
        rich.progress.BarColumn(),
        rich.progress.TimeElapsedColumn(),
        disable=as_json or not rich.console.Console().is_terminal,
    ) as bar:
        task = bar.add_task("", total=1)
        async with clients.connect(target) as client:
            for _ in range(max(1, int(limit_s / WATCH_INTERVAL_S))):
                progress = await _read_progress(client, target)
                line = format_progress(progress)
                steps = progress.daemons + progress.groups
                done = progress.daemons_done + progress.groups_done
                bar.update(task, description=line, total=steps, completed=done)
                if line != last_line and bar.disable and not as_json:
                    output.print_line(line)
                last_line = line
                if is_done(progress):
                    break
                await asyncio.sleep(WATCH_INTERVAL_S)
    if as_json:
        output.print_record(progress)
    if not is_done(progress):
        message = f"rollout not complete after {limit_s} s; see `tanagerfork status` for the cause"
        raise errors.OperatorError(message)
    outcome.exit_if_unreachable(progress.unreachable)


async def _read_progress(
    client: clients.OperatorsClient, target: clients.Target
) -> operators.RolloutProgress:
    survey = outcome.unwrap(await fleet.survey_fleet(client, target.urls))
    newest = max(survey.answered, key=lambda url: survey.answered[url].bundle_version)
    if not survey.answered[newest].bundle_version:
        raise errors.OperatorError("no bundle is in force; roll one with `tanagerfork bundle roll`")
    read = await client.read(newest, "/v1/bundle/in-force", operators.BundleSnapshot)
    snapshot = outcome.unwrap(read)
    return measure_progress(survey, drafts.decode_bundle(snapshot.bundle_json))
