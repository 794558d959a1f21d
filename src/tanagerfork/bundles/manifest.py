"""Manifests: a bundle as content-hashed parts."""

import dataclasses
import hashlib
from collections.abc import Mapping
from typing import TypeVar

import msgspec
import result

from tanagerfork import errors
from tanagerfork.generated import bundle as records

MODEL = "model/"
SERVICE = "service/"
TEAM = "team/"
POLICY = "policy"

RecordT = TypeVar("RecordT")


@dataclasses.dataclass(slots=True, frozen=True)
class Draft:
    """A manifest with the content of its parts by their hash."""

    manifest: records.Manifest
    contents: Mapping[str, bytes]


class Policy(msgspec.Struct, kw_only=True):
    """The part of a bundle that is neither model, service nor team."""

    name: str
    priorities: list[records.PriorityRule]
    placement: records.PlacementPolicy


def hash_content(content: bytes) -> str:
    """Return the hash that names a content.

    :param content: bytes of a part or a manifest.
    :return: SHA-256, hexadecimal.
    """
    return hashlib.sha256(content).hexdigest()


def draft_manifest(bundle: records.Bundle, version: int, parent: str) -> Draft:
    """Split a bundle into parts.

    :param bundle: checked bundle.
    :param version: version of the new bundle.
    :param parent: hash of the parent's manifest, empty for the first.
    :return: manifest and parts.
    """
    named: list[tuple[str, bytes]] = [(POLICY, _encode(_take_policy(bundle)))]
    named += [(MODEL + model.name, _encode(model)) for model in bundle.models]
    named += [(SERVICE + service.name, _encode(service)) for service in bundle.services]
    named += [(TEAM + team.name, _encode(team)) for team in bundle.teams]
    parts = [
        records.ManifestPart(name=name, sha256=hash_content(content), size_bytes=len(content))
        for name, content in named
    ]
    manifest = records.Manifest(version=version, parent=parent, name=bundle.name, parts=parts)
    return Draft(manifest, {hash_content(content): content for _, content in named})


def assemble_bundle(
    manifest: records.Manifest, contents: Mapping[str, bytes]
) -> result.Result[records.Bundle, errors.BundleError]:
    """Put a bundle together from its parts.

    :param manifest: manifest whose sign-off was checked.
    :param contents: contents by hash; may hold more than is needed.
    :return: the bundle, or which part is missing or altered.
    """
    found: dict[str, bytes] = {}
    for part in manifest.parts:
        content = contents.get(part.sha256)
        if content is None:
            return result.Err(errors.BundleInvalid(f"part {part.name} is missing; fetch it"))
        if hash_content(content) != part.sha256:
            message = f"part {part.name} was altered; fetch it again from the key-value service"
            return result.Err(errors.BundleInvalid(message))
        found[part.name] = content
    try:
        return result.Ok(_join_parts(found))
    except (msgspec.MsgspecError, KeyError) as error:
        message = f"a part does not fit the schema ({error}); upgrade the daemon or the bundle"
        return result.Err(errors.BundleInvalid(message))


def _join_parts(found: Mapping[str, bytes]) -> records.Bundle:
    policy = msgspec.json.decode(found[POLICY], type=Policy)
    return records.Bundle(
        name=policy.name,
        priorities=policy.priorities,
        placement=policy.placement,
        models=[_decode(found, name, records.Model) for name in found if name.startswith(MODEL)],
        services=[
            _decode(found, name, records.Service) for name in found if name.startswith(SERVICE)
        ],
        teams=[_decode(found, name, records.Team) for name in found if name.startswith(TEAM)],
    )


def _take_policy(bundle: records.Bundle) -> Policy:
    return Policy(name=bundle.name, priorities=bundle.priorities, placement=bundle.placement)


def _encode(record: msgspec.Struct) -> bytes:
    return msgspec.json.encode(record)


def _decode(found: Mapping[str, bytes], name: str, record_type: type[RecordT]) -> RecordT:
    return msgspec.json.decode(found[name], type=record_type)
