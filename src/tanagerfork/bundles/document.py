"""Bundle documents: reading them, and checking what the schema cannot say."""

import pathlib
from collections.abc import Iterable

from tanagerfork import errors
from tanagerfork import settings as settings_files
from tanagerfork.generated import bundle as records

MAX_PART_BYTES = 900_000  # The key-value service holds values up to 1 MB.


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
    for team in bundle.teams:
        _check_known(f"teams.{team.name}.models", team.models, models)
        _check_known(f"teams.{team.name}.services", team.services, services)
    for service in bundle.services:
        _check_unique(f"services.{service.name}", [item.name for item in service.upstreams])
    for model in bundle.models:
        placed = [count.failure_domain for count in model.placement]
        _check_unique(f"models.{model.name}.placement", placed)


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
