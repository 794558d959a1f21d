"""Commands for bundles: drafting, checking, signing off, rolling and showing them."""

import asyncio
import pathlib
from typing import Annotated

import msgspec
import result
import typer

from tanagerfork import errors
from tanagerfork.bundles import manifest
from tanagerfork.cli import client as clients
from tanagerfork.cli import drafts, key_commands, key_files, options, outcome, output
from tanagerfork.generated import bundle, operators

CONFIRM_TRIES = 40
CONFIRM_INTERVAL_S = 0.5

app = typer.Typer(no_args_is_help=True, help="Bundles: what runs, on how many groups, for whom.")

DraftPath = Annotated[pathlib.Path, typer.Argument(help="Draft, JSON with comments.")]


@app.callback()
def describe() -> None:
    """Bundles: what runs, on how many groups and for which teams."""


@app.command()
def new(
    path: Annotated[pathlib.Path, typer.Argument(help="File to write; must not exist.")],
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Begin a draft from the bundle in force, or from a template if none is."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    in_force = read_in_force(target)
    outcome.unwrap(drafts.write_draft(path, in_force))
    output.print_line(f"{path}: draft based on version {in_force.version}")


@app.command()
def check(path: DraftPath, as_json: options.AsJson = False) -> None:
    """Check a draft without contacting a daemon."""
    draft = drafts.load_draft(path)
    if as_json:
        output.print_record(draft)
        return
    parts = manifest.draft_manifest(draft, 1, "").manifest.parts
    size_bytes = sum(part.size_bytes for part in parts)
    groups = sum(count.groups for model in draft.models for count in model.placement)
    output.print_line(
        f"{path}: good; {len(draft.models)} models on {groups} groups, "
        f"{len(draft.services)} services, {len(draft.teams)} teams; "
        f"{len(parts)} parts, {size_bytes} bytes"
    )


@app.command("sign-off")
def sign_off(
    path: DraftPath,
    key: Annotated[pathlib.Path, typer.Option(help="Signing key, made by `keys new`.")],
    operator: Annotated[str, typer.Option(help="Name that goes with the key in the settings.")],
    out: Annotated[
        pathlib.Path | None, typer.Option(help="Signed bundle to write; default DRAFT.signed.json.")
    ] = None,
    onto: Annotated[
        int, typer.Option(help="Version in force that the draft may replace, if not its base.")
    ] = 0,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Sign a draft off as the successor of the bundle now in force."""
    draft = drafts.load_draft(path)
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    in_force = read_in_force(target)
    outcome.unwrap(drafts.check_base(path, in_force, onto))
    signing_key = outcome.unwrap(key_files.read_private_key(key, key_commands.ask_passphrase))
    signed = drafts.sign_draft(draft, in_force, operator, signing_key)
    target_path = out or path.with_name(path.name + drafts.SIGNED_SUFFIX)
    outcome.unwrap(drafts.write_text(target_path, msgspec.json.encode(signed).decode()))
    output.print_line(
        f"{target_path}: version {in_force.version + 1}, signed off by {operator}; "
        f"put it in force with `tanagerfork bundle roll {target_path}`"
    )


@app.command()
def roll(
    path: Annotated[pathlib.Path, typer.Argument(help="Signed bundle.")],
    rolled_by: Annotated[str, typer.Option(help="Who rolls it; default the signer.")] = "",
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Put a signed bundle in force, unless another was rolled since it was signed."""
    signed = outcome.unwrap(drafts.read_signed(path))
    signed.rolled_by = rolled_by
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    head = outcome.unwrap(asyncio.run(_roll(target, signed)))
    output.print_line(
        f"version {head.version} is accepted; see `tanagerfork rollout watch` for its progress"
    )


@app.command()
def show(
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """Show the bundle in force."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    in_force = read_in_force(target)
    if as_json:
        output.print_record(in_force)
        return
    if not in_force.version:
        output.print_line("no bundle is in force; begin with `tanagerfork bundle new`")
        return
    output.print_line(
        f"version {in_force.version}, rolled by {in_force.rolled_by} "
        f"at {output.format_time(in_force.rolled_at_ms)}, hash {in_force.manifest_sha256[:12]}"
    )
    output.print_line(drafts.format_bundle(in_force.bundle_json).rstrip())


@app.command()
def history(
    as_json: options.AsJson = False,
    daemon: options.Daemons = options.DEFAULT_DAEMONS,
    token_file: options.TokenFile = None,
    ca_file: options.CaFile = None,
) -> None:
    """List the bundles that were rolled, newest first."""
    target = outcome.unwrap(clients.make_target(daemon, token_file, ca_file))
    bundle_history = outcome.unwrap(
        asyncio.run(_read_first(target, "/v1/bundle/history", operators.BundleHistory))
    )
    if as_json:
        output.print_record(bundle_history)
        return
    rows = [
        (
            str(entry.version),
            entry.name,
            entry.operator,
            entry.rolled_by,
            output.format_time(entry.rolled_at_ms),
            entry.manifest_sha256[:12],
        )
        for entry in bundle_history.entries
    ]
    output.print_table(("version", "name", "signed by", "rolled by", "rolled at", "hash"), rows)


def read_in_force(target: clients.Target) -> operators.BundleSnapshot:
    """Read the bundle in force from the first daemon that answers.

    :param target: daemons to ask.
    :raises OperatorError: no daemon answered.
    """
    return outcome.unwrap(
        asyncio.run(_read_first(target, "/v1/bundle/in-force", operators.BundleSnapshot))
    )


async def _read_first(
    target: clients.Target, path: str, record_type: type[clients.RecordT]
) -> result.Result[clients.RecordT, errors.OperatorError]:
    async with clients.connect(target) as client:
        for url in target.urls:
            read = await client.read(url, path, record_type)
            if isinstance(read, result.Ok):
                break
        return read


async def _roll(
    target: clients.Target, signed: operators.RollCall
) -> result.Result[bundle.Head, errors.OperatorError]:
    is_outcome_unknown = False
    async with clients.connect(target) as client:
        for url in target.urls:
            rolled = await client.roll(url, signed)
            if not isinstance(rolled, result.Err):
                return rolled
            is_outcome_unknown = is_outcome_unknown or isinstance(
                rolled.err_value, errors.DaemonAnswerLost
            )
            if isinstance(rolled.err_value, errors.DaemonRefused):
                break
        head = await _confirm_roll(
            client, target, signed, CONFIRM_TRIES if is_outcome_unknown else 1
        )
        return rolled if head is None else result.Ok(head)


async def _confirm_roll(
    client: clients.OperatorsClient, target: clients.Target, signed: operators.RollCall, tries: int
) -> bundle.Head | None:
    sha256 = manifest.hash_content(signed.manifest_json.encode())
    for remaining_tries in reversed(range(tries)):
        for url in target.urls:
            read = await client.read(url, "/v1/bundle/head", bundle.Head)
            if isinstance(read, result.Ok) and read.ok_value.manifest_sha256 == sha256:
                return read.ok_value
        if remaining_tries:
            await asyncio.sleep(CONFIRM_INTERVAL_S)
    return None
