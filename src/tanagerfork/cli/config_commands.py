"""Commands for the operator's configuration of the relay."""

import enum
import pathlib
from typing import Annotated

import msgspec
import result
import typer

from tanagerfork import decoding, errors
from tanagerfork.cli import options, output
from tanagerfork.platform import config, entries
from tanagerfork.relay import config_check, config_difference, members

app = typer.Typer(no_args_is_help=True, help="Configuration of the relay.")


class Status(enum.IntEnum):
    """Exit status of a check."""

    FINE = 0
    WARNINGS = 1
    ERRORS = 2


class FindingRecord(msgspec.Struct):
    """A finding, for programs."""

    severity: str
    path: str
    message: str
    remedy: str


class CheckReport(msgspec.Struct):
    """What a check found; `difference` is None where there was nothing to compare with."""

    findings: list[FindingRecord]
    difference: list[str] | None


@app.callback()
def describe_group() -> None:
    """Check the configuration of the relay."""


@app.command()
def check(
    path: Annotated[pathlib.Path, typer.Argument(metavar="NEW", help="New configuration.")],
    against: Annotated[
        pathlib.Path | None, typer.Option("--against", help="Configuration in force.")
    ] = None,
    upstreams: Annotated[
        pathlib.Path | None,
        typer.Option("--upstreams", help="Directory entries of the upstreams, by key, as JSON."),
    ] = None,
    as_json: options.AsJson = False,
) -> None:
    """Check a configuration before it is sent; status 1 means warnings, 2 errors."""
    listed = _read_upstreams(upstreams) if upstreams is not None else None
    decoded = config.decode_draft(_read(path))
    findings = _list_findings(decoded, listed)
    difference = None
    if against is not None:
        current = config.decode_draft(_read(against))
        if isinstance(current, result.Err):
            problem = current.err_value[0]
            raise errors.UsageInvalid(f"{against}: {problem.path}: {problem.message}; fix it first")
        if isinstance(decoded, result.Ok):
            draft = decoded.ok_value
            found = config_check.check_version(draft, current.ok_value)
            findings = [*map(_to_record, found), *findings]
            difference = config_difference.describe_difference(current.ok_value, draft)
    report = CheckReport(findings, difference)
    if as_json:
        output.print_record(report)
    else:
        _print_report(path, report)
    raise typer.Exit(_find_status(report))


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.UsageInvalid(f"{path}: cannot be read ({error}); give another file") from error


def _read_upstreams(path: pathlib.Path) -> list[members.Upstream]:
    try:
        values = decoding.decode_json(_read(path), dict[str, msgspec.Raw])
    except msgspec.MsgspecError as error:
        message = f"{path}: is no JSON object of entries ({error}); give one with an entry by key"
        raise errors.UsageInvalid(message) from error
    decoded = {key: entries.decode_entry(key, bytes(value)) for key, value in values.items()}
    malformed = [key for key, upstream in decoded.items() if upstream is None]
    if malformed:
        raise errors.UsageInvalid(f"{path}: the entry {malformed[0]} is malformed; correct it")
    return [upstream for upstream in decoded.values() if upstream is not None]


def _list_findings(
    decoded: result.Result[config_check.ConfigDraft, list[config.Problem]],
    upstreams: list[members.Upstream] | None,
) -> list[FindingRecord]:
    if isinstance(decoded, result.Err):
        return [
            FindingRecord(
                config_check.Severity.ERROR.value, problem.path, problem.message, problem.remedy
            )
            for problem in decoded.err_value
        ]
    draft = decoded.ok_value
    findings = [_to_record(found) for found in config_check.check_draft(draft, upstreams)]
    for path, count in draft.unknown_fields:
        entries_text = f" ({count} entries)" if count > 1 else ""
        findings.append(
            FindingRecord(
                config_check.Severity.WARNING.value,
                path,
                f"daemons of this build do not know the field and ignore it{entries_text}",
                "check the spelling, or leave it for other programs",
            )
        )
    return findings


def _to_record(found: config_check.Finding) -> FindingRecord:
    path = config.render_place(found.place)
    return FindingRecord(found.severity.value, path, found.message, found.remedy)


def _print_report(path: pathlib.Path, report: CheckReport) -> None:
    for found in report.findings:
        output.print_line(f"{found.severity}: {found.path}: {found.message}; {found.remedy}")
    if report.difference is not None:
        output.print_line(
            "what callers will see:" if report.difference else "callers see no change"
        )
        for line in report.difference:
            output.print_line(f"  {line}")
    if not report.findings:
        output.print_line(f"{path}: good")


def _find_status(report: CheckReport) -> int:
    severities = {found.severity for found in report.findings}
    if config_check.Severity.ERROR.value in severities:
        return Status.ERRORS
    return Status.WARNINGS if severities else Status.FINE
