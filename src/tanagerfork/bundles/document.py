"""Loading of bundle files, and the checks that the schema cannot express."""

import pathlib
import re
from collections.abc import Iterable

from tanagerfork import errors
from tanagerfork import settings as settings_files
from tanagerfork.generated import bundle as records

MAX_VMS_PER_MODEL = 100_000
TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
METHOD_PATTERN = re.compile(r"[A-Z]+")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def load_bundle(path: pathlib.Path) -> records.Bundle:
    """Read and check a bundle.

    :param path: JSON file, with comments.
    :return: the bundle.
    :raises SettingsError: the file does not match the bundle schema.
    :raises BundleInvalid: the bundle is inconsistent.
    """
    bundle = settings_files.load_record(path, records.Bundle)
    check_bundle(bundle)
    return bundle


def check_bundle(bundle: records.Bundle) -> None:
    """Check the constraints that the schema cannot express.

    :param bundle: bundle that matches the schema.
    :raises BundleInvalid: the bundle is inconsistent; names the field and the remedy.
    """
    models = [model.name for model in bundle.models]
    services = [service.name for service in bundle.services]
    _check_unique("models", models)
    _check_unique("services", services)
    _check_unique("teams", [team.name for team in bundle.teams])
    _check_unique("team tokens", [token for team in bundle.teams for token in team.token_sha256])
    for model in bundle.models:
        _check_model(model)
    for service in bundle.services:
        _check_service(service)
    for team in bundle.teams:
        _check_team(team)
        _check_defined(f"teams.{team.name}.models", team.models, models)
        _check_defined(f"teams.{team.name}.services", team.services, services)
    for service in bundle.services:
        _check_unique(f"services.{service.name}", [item.name for item in service.upstreams])
    _check_unique("priorities", [rule.tag for rule in bundle.priorities])


def _check_model(model: records.Model) -> None:
    field = f"models.{model.name}"
    _check_name(field, model.name)
    _check_unique(f"{field}.adapters", model.adapters)
    _check_unique(f"{field}.placement", [count.failure_domain for count in model.placement])
    groups = sum(count.groups for count in model.placement)
    if groups * model.members_per_group > MAX_VMS_PER_MODEL:
        _raise_invalid(f"{field}.placement", f"needs more than {MAX_VMS_PER_MODEL} VMs", "lower it")
    largest = max((count.groups for count in model.placement), default=0)
    if model.max_unavailable > max(largest, 1):
        remedy = f"set it to at most {max(largest, 1)}"
        _raise_invalid(
            f"{field}.max_unavailable", "exceeds the group count of every failure domain", remedy
        )
    if model.first_token_ms < model.token_gap_ms:
        _raise_invalid(f"{field}.first_token_ms", "is less than token_gap_ms", "raise it")


def _check_service(service: records.Service) -> None:
    field = f"services.{service.name}"
    _check_name(field, service.name)
    if not service.upstreams:
        _raise_invalid(f"{field}.upstreams", "is empty", "name at least one")
    for rule in service.repeatable:
        if not METHOD_PATTERN.fullmatch(rule.method):
            _raise_invalid(
                f"{field}.repeatable.method",
                f"{rule.method!r} is not an upper-case method",
                "write for example GET",
            )
        if rule.path_prefix.startswith("/"):
            remedy = f"write {rule.path_prefix.lstrip('/')!r}"
            _raise_invalid(f"{field}.repeatable.path_prefix", "begins with a slash", remedy)
    rules = [f"{rule.method} {rule.path_prefix}" for rule in service.repeatable]
    _check_unique(f"{field}.repeatable", rules)


def _check_team(team: records.Team) -> None:
    field = f"teams.{team.name}"
    if not team.token_sha256:
        _raise_invalid(f"{field}.token_sha256", "is empty", "add the hash of the team's token")
    for token in team.token_sha256:
        if not TOKEN_HASH_PATTERN.fullmatch(token):
            remedy = "write SHA-256 in lower-case hexadecimal, not the token itself"
            _raise_invalid(f"{field}.token_sha256", "contains an invalid hash", remedy)
    _check_unique(f"{field}.models", team.models)
    _check_unique(f"{field}.services", team.services)


def _check_name(field: str, name: str) -> None:
    if not NAME_PATTERN.fullmatch(name):
        _raise_invalid(
            field, f"{name!r} is not a valid name in a URL path", "use A-Z a-z 0-9 . _ -"
        )


def _raise_invalid(field: str, fault: str, remedy: str) -> None:
    raise errors.BundleInvalid(f"{field}: {fault}; {remedy}")


def _check_unique(field: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise errors.BundleInvalid(f"{field}: {name!r} is listed twice; keep one of them")
        seen.add(name)


def _check_defined(field: str, names: Iterable[str], defined: Iterable[str]) -> None:
    for name in names:
        if name not in defined:
            raise errors.BundleInvalid(
                f"{field}: {name!r} is not defined in the bundle; add or drop it"
            )
