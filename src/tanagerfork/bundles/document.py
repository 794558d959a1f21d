"""Bundle documents: reading them, and checking what the schema cannot say."""

import pathlib
import re
from collections.abc import Iterable

from tanagerfork import errors
from tanagerfork import settings as settings_files
from tanagerfork.generated import bundle as records

MAX_GROUP_MEMBERS_TOTAL = 100_000
TOKEN_FORM = re.compile(r"[0-9a-f]{64}")
METHOD_FORM = re.compile(r"[A-Z]+")
NAME_FORM = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def load_bundle(path: pathlib.Path) -> records.Bundle:
    """Read and check a bundle.

    :param path: JSON with comments.
    :return: the bundle.
    :raises SettingsError: the file is not a bundle by the schema.
    :raises BundleInvalid: the bundle contradicts itself.
    """
    bundle = settings_files.load_record(path, records.Bundle)
    check_bundle(bundle)
    return bundle


def check_bundle(bundle: records.Bundle) -> None:
    """Check what the schema cannot say.

    :param bundle: bundle by the schema.
    :raises BundleInvalid: the bundle contradicts itself; names the field and the remedy.
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
        _check_known(f"teams.{team.name}.models", team.models, models)
        _check_known(f"teams.{team.name}.services", team.services, services)
    for service in bundle.services:
        _check_unique(f"services.{service.name}", [item.name for item in service.upstreams])
    _check_unique("priorities", [rule.tag for rule in bundle.priorities])


def _check_model(model: records.Model) -> None:
    field = f"models.{model.name}"
    _check_name(field, model.name)
    _check_unique(f"{field}.adapters", model.adapters)
    _check_unique(f"{field}.placement", [count.failure_domain for count in model.placement])
    groups = sum(count.groups for count in model.placement)
    if groups * model.members_per_group > MAX_GROUP_MEMBERS_TOTAL:
        _refuse(f"{field}.placement", f"asks for over {MAX_GROUP_MEMBERS_TOTAL} VMs", "lower it")
    largest = max((count.groups for count in model.placement), default=0)
    if model.max_unavailable > max(largest, 1):
        remedy = f"set it to at most {max(largest, 1)}"
        _refuse(f"{field}.max_unavailable", "exceeds the groups of every failure domain", remedy)
    if model.first_token_ms < model.token_gap_ms:
        _refuse(f"{field}.first_token_ms", "is less than token_gap_ms", "raise it")


def _check_service(service: records.Service) -> None:
    field = f"services.{service.name}"
    _check_name(field, service.name)
    if not service.upstreams:
        _refuse(f"{field}.upstreams", "is empty", "name at least one")
    for rule in service.repeatable:
        if not METHOD_FORM.fullmatch(rule.method):
            _refuse(f"{field}.repeatable.method", f"{rule.method!r} is no method", "write GET")
        if rule.path_prefix.startswith("/"):
            remedy = f"write {rule.path_prefix.lstrip('/')!r}"
            _refuse(f"{field}.repeatable.path_prefix", "begins with a slash", remedy)
    rules = [f"{rule.method} {rule.path_prefix}" for rule in service.repeatable]
    _check_unique(f"{field}.repeatable", rules)


def _check_team(team: records.Team) -> None:
    field = f"teams.{team.name}"
    if not team.token_sha256:
        _refuse(f"{field}.token_sha256", "is empty", "add the hash of the team's token")
    for token in team.token_sha256:
        if not TOKEN_FORM.fullmatch(token):
            remedy = "write SHA-256 in lower-case hexadecimal, not the token itself"
            _refuse(f"{field}.token_sha256", "holds what is no hash", remedy)
    _check_unique(f"{field}.models", team.models)
    _check_unique(f"{field}.services", team.services)


def _check_name(field: str, name: str) -> None:
    if not NAME_FORM.fullmatch(name):
        _refuse(field, f"{name!r} does not fit an address", "use A-Z a-z 0-9 . _ -")


def _refuse(field: str, fault: str, remedy: str) -> None:
    raise errors.BundleInvalid(f"{field}: {fault}; {remedy}")


def _check_unique(field: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise errors.BundleInvalid(f"{field}: {name!r} stands twice; keep one of them")
        seen.add(name)


def _check_known(field: str, names: Iterable[str], known: Iterable[str]) -> None:
    for name in names:
        if name not in known:
            raise errors.BundleInvalid(f"{field}: {name!r} is not in the bundle; add or drop it")
