"""The head: which bundle is in force, by compare-and-swap in the key-value service."""

import dataclasses
import uuid

import msgspec
import result

from tanagerfork import errors
from tanagerfork.bundles import manifest as manifests
from tanagerfork.generated import bundle as records
from tanagerfork.platform import key_value, swap

HEAD_KEY = "bundle/head"
PART_PREFIX = "bundle/part/"
HISTORY_PREFIX = "bundle/history/"


@dataclasses.dataclass(slots=True, frozen=True)
class HeadAt:
    """A head with the revision it was read at."""

    head: records.Head | None
    revision: int


async def read_head(store: key_value.KeyValue) -> result.Result[HeadAt, errors.PlatformError]:
    """Read the head.

    :param store: key-value service.
    :return: the head, None inside where nothing was rolled yet.
    """
    found = await store.read(HEAD_KEY)
    if isinstance(found, result.Err):
        return found
    if found.ok_value is None:
        return result.Ok(HeadAt(None, key_value.ABSENT))
    head = msgspec.json.decode(found.ok_value.value, type=records.Head)
    return result.Ok(HeadAt(head, found.ok_value.revision))


async def publish_parts(
    store: key_value.KeyValue, draft: manifests.Draft
) -> result.Result[None, errors.PlatformError]:
    """Write the parts that the key-value service lacks.

    :param store: key-value service.
    :param draft: manifest with its parts.
    :return: nothing, or why a part could not be written.
    """
    for sha256, content in draft.contents.items():
        written = await store.swap(PART_PREFIX + sha256, content, key_value.ABSENT)
        if isinstance(written, result.Err) and not isinstance(written.err_value, errors.Conflict):
            return written
    return result.Ok(None)


async def fetch_part(
    store: key_value.KeyValue, sha256: str
) -> result.Result[bytes | None, errors.PlatformError]:
    """Read one part.

    :param store: key-value service.
    :param sha256: hash of the part.
    :return: its content, None where it is absent.
    """
    found = await store.read(PART_PREFIX + sha256)
    return found.map(lambda entry: entry.value if entry else None)


async def roll_head(
    store: key_value.KeyValue, signed: records.SignedManifest, operator: str, wall_ms: int
) -> result.Result[records.Head, errors.TanagerforkError]:
    """Put a signed-off bundle in force if its parent is still in force.

    :param store: key-value service.
    :param signed: signed-off manifest, whose parts are published.
    :param operator: who rolls it.
    :param wall_ms: wall clock, since the epoch.
    :return: the new head; `StaleParent` names whose bundle is in force.
    """
    manifest = msgspec.json.decode(signed.manifest_json, type=records.Manifest)
    found = await read_head(store)
    if isinstance(found, result.Err):
        return found
    current = found.ok_value.head
    if (current.manifest_sha256 if current else "") != manifest.parent:
        return result.Err(describe_race(current))
    head = records.Head(
        version=manifest.version,
        manifest_sha256=manifests.hash_content(signed.manifest_json.encode()),
        signed=signed,
        rolled_by=operator,
        rolled_at_ms=wall_ms,
        token=uuid.uuid4().hex,
    )
    swapped = await swap.swap_record(store, HEAD_KEY, head, found.ok_value.revision)
    if isinstance(swapped, result.Ok):
        return result.Ok(head)
    if not isinstance(swapped.err_value, errors.Conflict):
        return swapped
    again = await read_head(store)
    in_force = again.ok_value.head if isinstance(again, result.Ok) else None
    return result.Err(describe_race(in_force))


def describe_race(current: records.Head | None) -> errors.StaleParent:
    """Say whose bundle is in force, and how to go on.

    :param current: head in force, None where it is not known.
    :return: the error for the operator who came second.
    """
    if current is None:
        return errors.StaleParent("no such parent is in force; draft the bundle anew and sign it")
    return errors.StaleParent(
        f"version {current.version}, rolled by {current.rolled_by or 'unknown'}, is in force; "
        "run `tanagerfork bundle rebase`, check the difference and sign off again"
    )
