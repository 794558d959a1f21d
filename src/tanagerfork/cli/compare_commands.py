"""Commands that compare bundles: the difference, and rebasing a draft."""

import pathlib
from typing import Annotated

import msgspec
import typer

from tanagerfork import errors
from tanagerfork.bundles import difference
from tanagerfork.cli import bundle_commands, drafts, options, outcome, output
from tanagerfork.cli import client as clients
from tanagerfork.generated import bundle, operators

app = bundle_commands.app


@app.command()
def diff(
    path: bundle_commands.DraftPath,
    against: Annotated[
        pathlib.Path | None, typer.Option(help="Another draft, instead of the bundle in force.")
    ] = None,
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Show what a draft changes."""
    draft = drafts.load_draft(path)
    old: bundle.Bundle | None
    if against is not None:
        old = drafts.load_draft(against)
    else:
        target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
        in_force = bundle_commands.read_in_force(target)
        old = drafts.decode_bundle(in_force.bundle_json) if in_force.version else None
    changes = difference.list_changes(old, draft)
    if as_json:
        output.print_record(_to_record(changes))
        return
    for change in changes:
        output.print_line(f"{change.kind} {change.item}")
        if change.kind == "changed":
            for field in change.fields:
                output.print_line(f"  {field.field}: {field.before} -> {field.after}")
    if not changes:
        output.print_line("no difference")


@app.command()
def rebase(
    path: bundle_commands.DraftPath,
    keep_theirs: Annotated[
        bool,
        typer.Option("--keep-theirs", help="Where both changed a field, keep what is in force."),
    ] = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Reapply a draft's own changes to the bundle now in force."""
    mine = drafts.load_draft(path)
    base = outcome.unwrap(drafts.read_base(path))
    if base is None:
        message = (
            f"{path}: the bundle it is based on is not recorded; draft anew with "
            "`tanagerfork bundle new` and make your changes there"
        )
        raise errors.DraftInvalid(message)
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    in_force = bundle_commands.read_in_force(target)
    if in_force.manifest_sha256 == base.manifest_sha256:
        output.print_line(f"{path}: is based on version {base.version}, in force; nothing to do")
        return
    rebased = difference.rebase(
        drafts.decode_bundle(base.bundle_json), mine, drafts.decode_bundle(in_force.bundle_json)
    )
    for conflict in rebased.conflicts:
        output.print_line(_format_conflict(conflict))
    if rebased.conflicts and not keep_theirs:
        message = (
            f"{path}: {len(rebased.conflicts)} conflicts with version {in_force.version}, "
            f"rolled by {in_force.rolled_by}; nothing was changed; agree with them, then set "
            "these fields to what is in force or give --keep-theirs, and redo your changes"
        )
        raise errors.StaleParent(message)
    backup_path = path.with_name(path.name + drafts.BACKUP_SUFFIX)
    outcome.unwrap(drafts.write_text(backup_path, path.read_text("utf-8")))
    text = drafts.format_bundle(msgspec.json.encode(rebased.bundle).decode())
    outcome.unwrap(drafts.write_text(path, text))
    outcome.unwrap(drafts.write_base(path, in_force))
    output.print_line(
        f"{path}: now based on version {in_force.version}; the former draft is {backup_path}; "
        f"look at `tanagerfork bundle diff {path}`, then sign off"
    )


def _to_record(changes: list[difference.ItemChange]) -> operators.ChangeList:
    return operators.ChangeList(
        changes=[
            operators.Change(
                item=change.item,
                kind=change.kind,
                fields=[
                    operators.FieldChange(name=item.field, before=item.before, after=item.after)
                    for item in change.fields
                ],
            )
            for change in changes
        ]
    )


def _format_conflict(conflict: difference.Conflict) -> str:
    where = f"{conflict.item}, {conflict.field}" if conflict.field else conflict.item
    base, mine, theirs = (
        side or "absent" for side in (conflict.base, conflict.mine, conflict.theirs)
    )
    return f"conflict in {where}: was {base}, yours {mine}, in force {theirs}"
