"""Manifests: a bundle split into parts that are addressed by the hash of their content.

Each model and each service is a part. Teams are partitioned by the hash of their names, so that
the manifest of a bundle with hundreds of teams stays small: a change of one team rewrites the
manifest and one part, which holds about `TEAMS_PER_PART` teams.
"""

import dataclasses
import hashlib
from collections.abc import Mapping
from typing import TypeVar

import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.generated import bundle as records

MODEL_PREFIX = "model/"
SERVICE_PREFIX = "service/"
TEAMS_PREFIX = "teams/"
POLICY_PART = "policy"

MAX_PART_BYTES = 900_000  # The key-value service limits values to 1 MB.
MAX_MANIFEST_BYTES = 400_000  # Escaping in the head at most doubles its size.
MAX_PARTS = 2_000
TEAMS_PER_PART = 16

RecordT = TypeVar("RecordT")


@dataclasses.dataclass(slots=True, frozen=True)
class Draft:
    """A manifest with the contents of its parts, by hash."""

    manifest: records.Manifest
    contents: Mapping[str, bytes]


class TeamsPart(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The teams whose names hash to the same part."""

    teams: list[records.Team]


class Policy(msgspec.Struct, kw_only=True):
    """The part that holds the name, priorities and placement policy of a bundle."""

    name: str
    priorities: list[records.PriorityRule]
    placement: records.PlacementPolicy


def hash_content(content: bytes) -> str:
    """Return the hash that identifies a content.

    :param content: bytes of a part or a manifest.
    :return: SHA-256 in hexadecimal.
    """
    return hashlib.sha256(content).hexdigest()


def draft_manifest(bundle: records.Bundle, version: int, parent: str) -> Draft:
    """Split a bundle into parts.

    :param bundle: checked bundle.
    :param version: version of the new bundle.
    :param parent: hash of the parent's manifest, empty for the first version.
    :return: manifest and parts.
    """
    named: list[tuple[str, bytes]] = [(POLICY_PART, _encode(_extract_policy(bundle)))]
    named += [(MODEL_PREFIX + model.name, _encode(model)) for model in bundle.models]
    named += [(SERVICE_PREFIX + service.name, _encode(service)) for service in bundle.services]
    named += [(name, _encode(part)) for name, part in _partition_teams(bundle.teams)]
    parts = [
        records.ManifestPart(name=name, sha256=hash_content(content), size_bytes=len(content))
        for name, content in named
    ]
    manifest = records.Manifest(version=version, parent=parent, name=bundle.name, parts=parts)
    return Draft(manifest, {hash_content(content): content for _, content in named})


def check_limits(
    signed: records.SignedManifest, manifest: records.Manifest, contents: Mapping[str, bytes]
) -> result.Result[None, errors.BundleError]:
    """Check that a bundle fits the limits of the key-value service.

    :param signed: signed manifest.
    :param manifest: the same manifest, decoded.
    :param contents: contents of parts, by hash.
    :return: nothing, or which limit is exceeded and the remedy.
    """
    size_bytes = len(signed.manifest_json.encode())
    if size_bytes > MAX_MANIFEST_BYTES:
        message = f"the manifest has {size_bytes} bytes, over {MAX_MANIFEST_BYTES}"
        return result.Err(errors.BundleInvalid(message + "; run fewer models and services"))
    if len(manifest.parts) > MAX_PARTS:
        message = f"the bundle has {len(manifest.parts)} parts, over {MAX_PARTS}"
        return result.Err(errors.BundleInvalid(message + "; run fewer models and services"))
    if len({part.name for part in manifest.parts}) < len(manifest.parts):
        return result.Err(
            errors.BundleInvalid("the manifest lists a part twice; draft the bundle again")
        )
    for part in manifest.parts:
        size_bytes = len(contents.get(part.sha256, b""))
        if max(size_bytes, part.size_bytes) > MAX_PART_BYTES:
            message = f"part {part.name} exceeds {MAX_PART_BYTES} bytes; shorten its lists"
            return result.Err(errors.BundleInvalid(message))
        if size_bytes and size_bytes != part.size_bytes:
            message = f"part {part.name} differs in size from its manifest; draft it again"
            return result.Err(errors.BundleInvalid(message))
    return result.Ok(None)


def assemble_bundle(
    manifest: records.Manifest, contents: Mapping[str, bytes]
) -> result.Result[records.Bundle, errors.BundleError]:
    """Assemble a bundle from its parts.

    :param manifest: manifest whose sign-off was verified.
    :param contents: contents of parts, by hash; parts of other bundles are ignored.
    :return: the bundle, or which part is missing or corrupted.
    """
    found: dict[str, bytes] = {}
    for part in manifest.parts:
        content = contents.get(part.sha256)
        if content is None:
            return result.Err(errors.BundleInvalid(f"part {part.name} is missing; fetch it"))
        if hash_content(content) != part.sha256:
            message = f"part {part.name} is corrupted; fetch it again from the key-value service"
            return result.Err(errors.BundleInvalid(message))
        found[part.name] = content
    try:
        return result.Ok(_join_parts(found))
    except (msgspec.MsgspecError, KeyError) as error:
        message = f"a part does not match the schema ({error}); upgrade the daemon or the bundle"
        return result.Err(errors.BundleInvalid(message))


def _join_parts(found: Mapping[str, bytes]) -> records.Bundle:
    policy = decoding.decode_json(found[POLICY_PART], Policy)
    return records.Bundle(
        name=policy.name,
        priorities=policy.priorities,
        placement=policy.placement,
        models=[
            _decode(found, name, records.Model) for name in found if name.startswith(MODEL_PREFIX)
        ],
        services=[
            _decode(found, name, records.Service)
            for name in found
            if name.startswith(SERVICE_PREFIX)
        ],
        teams=_join_teams(found),
    )


def _partition_teams(teams: list[records.Team]) -> list[tuple[str, TeamsPart]]:
    parts = 1
    while parts * TEAMS_PER_PART < len(teams):
        parts *= 2
    shared: dict[str, list[records.Team]] = {}
    for team in sorted(teams, key=lambda team: team.name):
        number = int(hash_content(team.name.encode())[:8], 16) % parts
        shared.setdefault(f"{TEAMS_PREFIX}{number}-of-{parts}", []).append(team)
    return [(name, TeamsPart(teams=shared[name])) for name in sorted(shared)]


def _join_teams(found: Mapping[str, bytes]) -> list[records.Team]:
    parts = [_decode(found, name, TeamsPart) for name in found if name.startswith(TEAMS_PREFIX)]
    teams = [team for part in parts for team in part.teams]
    return sorted(teams, key=lambda team: team.name)


def _extract_policy(bundle: records.Bundle) -> Policy:
    return Policy(name=bundle.name, priorities=bundle.priorities, placement=bundle.placement)


def _encode(record: msgspec.Struct) -> bytes:
    return msgspec.json.encode(record)


def _decode(found: Mapping[str, bytes], name: str, record_type: type[RecordT]) -> RecordT:
    return decoding.decode_json(found[name], record_type)
