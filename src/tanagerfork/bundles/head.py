"""The head: which bundle is in force, by compare-and-swap in the key-value service.

Each head but the newest stands under its version in the history as well. It is written there
before the next head replaces it, so that a roll whose answer was lost is found even under a later
one.
"""

import dataclasses
import uuid

import msgspec
import result

from tanagerfork import errors
from tanagerfork.bundles import manifest as manifests
from tanagerfork.generated import bundle as records
from tanagerfork.storage import key_value, swap

HEAD_KEY = "bundle/head"
PART_PREFIX = "bundle/part/"
HISTORY_PREFIX = "bundle/history/"
VERSION_DIGITS = 10  # Versions sort like numbers.
PUT_TRIES = 4
HISTORY_KEPT = 100  # Versions.


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
    head = decode_head(found.ok_value.value)
    if head is None:
        message = f"the value of {HEAD_KEY} is no head; restore the key-value service's key"
        return result.Err(errors.PlatformUnavailable(message))
    return result.Ok(HeadAt(head, found.ok_value.revision))


def decode_head(value: bytes) -> records.Head | None:
    """Decode a head, None where the value is none.

    :param value: value of the head's key.
    """
    try:
        return msgspec.json.decode(value, type=records.Head)
    except msgspec.MsgspecError:
        return None


async def read_history(
    store: key_value.KeyValue, version: int
) -> result.Result[records.Head | None, errors.PlatformError]:
    """Read the head that a version had, once a later one replaced it.

    :param store: key-value service.
    :param version: version.
    :return: the head, None where none is kept.
    """
    found = await store.read(_name_history(version))
    return found.map(lambda entry: decode_head(entry.value) if entry else None)


async def list_history(
    store: key_value.KeyValue,
) -> result.Result[list[records.Head], errors.PlatformError]:
    """Read the heads that were replaced by later ones and are still kept.

    :param store: key-value service.
    :return: heads, newest first.
    """
    found = await store.read_prefix(HISTORY_PREFIX)
    if isinstance(found, result.Err):
        return found
    heads = [decode_head(entry.value) for entry in reversed(found.ok_value)]
    return result.Ok([head for head in heads if head is not None])


async def publish_parts(
    store: key_value.KeyValue, draft: manifests.Draft, parent: records.Manifest | None = None
) -> result.Result[None, errors.PlatformError]:
    """Write the parts that the key-value service lacks, and mend altered ones.

    :param store: key-value service.
    :param draft: manifest with its parts.
    :param parent: manifest in force, whose parts are there already.
    :return: nothing, or why a part could not be written.
    """
    held = {part.sha256 for part in parent.parts} if parent else set()
    for part in draft.manifest.parts:
        content = draft.contents.get(part.sha256)
        if content is None or part.sha256 in held:
            continue
        published = await _put(store, PART_PREFIX + part.sha256, content)
        if isinstance(published, result.Err):
            return published
    return result.Ok(None)


async def fetch_part(
    store: key_value.KeyValue, sha256: str
) -> result.Result[bytes | None, errors.PlatformError]:
    """Read one part.

    :param store: key-value service.
    :param sha256: hash of the part.
    :return: its content, None where it is absent or altered.
    """
    found = await store.read(PART_PREFIX + sha256)
    if isinstance(found, result.Err) or found.ok_value is None:
        return found.map(lambda _: None)
    content = found.ok_value.value
    return result.Ok(content if manifests.hash_content(content) == sha256 else None)


async def roll_head(
    store: key_value.KeyValue,
    signed: records.SignedManifest,
    operator: str,
    wall_ms: int,
    known: records.Head | None = None,
) -> result.Result[records.Head, errors.TanagerforkError]:
    """Put a signed-off bundle in force if its parent is still in force.

    :param store: key-value service.
    :param signed: signed-off manifest, whose parts are published.
    :param operator: who rolls it.
    :param wall_ms: wall clock, since the epoch.
    :param known: newest head that this daemon accepted.
    :return: the new head; `StaleParent` names whose bundle is in force.
    """
    manifest = msgspec.json.decode(signed.manifest_json, type=records.Manifest)
    found = await read_head(store)
    if isinstance(found, result.Err):
        return found
    current = found.ok_value.head
    sha256 = manifests.hash_content(signed.manifest_json.encode())
    rolled = await find_rolled(store, current, manifest.version, sha256)
    if rolled is not None:
        return result.Ok(rolled)
    refused = judge_roll(manifest, current, known)
    if refused is not None:
        return result.Err(refused)
    if current is not None:
        kept = await _keep_history(store, current)
        if isinstance(kept, result.Err):
            return kept
    head = records.Head(
        version=manifest.version,
        manifest_sha256=sha256,
        signed=signed,
        rolled_by=operator,
        rolled_at_ms=wall_ms,
        token=uuid.uuid4().hex,
    )
    swapped = await swap.swap_record(store, HEAD_KEY, head, found.ok_value.revision)
    if isinstance(swapped, result.Ok):
        return result.Ok(head)
    return await _read_back(store, head, swapped.err_value)


async def find_rolled(
    store: key_value.KeyValue, current: records.Head | None, version: int, sha256: str
) -> records.Head | None:
    """Find out whether a manifest was rolled already, by a call whose answer was lost.

    :param store: key-value service.
    :param current: head in force.
    :param version: version of the manifest.
    :param sha256: hash of the manifest.
    :return: its head, None where it was not rolled or that cannot be read.
    """
    if current is None or current.version < version:
        return None
    if current.version == version:
        return current if current.manifest_sha256 == sha256 else None
    past = (await read_history(store, version)).unwrap_or(None)
    return past if past is not None and past.manifest_sha256 == sha256 else None


def judge_roll(
    manifest: records.Manifest, current: records.Head | None, known: records.Head | None
) -> errors.BundleError | None:
    """Return why a manifest may not be rolled, None where it may.

    :param manifest: manifest whose sign-off was checked.
    :param current: head in the key-value service.
    :param known: newest head that this daemon accepted.
    """
    version = current.version if current else 0
    if known is not None and (
        known.version > version
        or known.version == version
        and current is not None
        and known.manifest_sha256 != current.manifest_sha256
    ):
        return errors.StaleParent(
            f"version {known.version} is in force here, but the key-value service shows "
            f"{version}: it was restored to an older state; wait until the daemons have written "
            "the newer one back, or rebase on the bundle in force"
        )
    if manifest.parent != (current.manifest_sha256 if current else ""):
        return describe_race(current)
    if manifest.version != version + 1:
        return errors.BundleInvalid(
            f"version {manifest.version} does not follow {version}; draft and sign off again"
        )
    return None


async def restore_head(
    store: key_value.KeyValue,
    head: records.Head,
    draft: manifests.Draft,
    revision: int,
) -> result.Result[None, errors.PlatformError]:
    """Write a head back into a service that was restored to an older state.

    :param store: key-value service.
    :param head: newer head, accepted by this daemon.
    :param draft: its manifest with its parts.
    :param revision: revision of the older head.
    :return: nothing, or why it was not written.
    """
    published = await publish_parts(store, draft)
    if isinstance(published, result.Err):
        return published
    token = uuid.uuid4().hex
    restored = msgspec.structs.replace(head, token=token)
    written = await swap.swap_record(store, HEAD_KEY, restored, revision)
    return written.map(lambda _: None)


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


async def _read_back(
    store: key_value.KeyValue, head: records.Head, error: errors.PlatformError
) -> result.Result[records.Head, errors.TanagerforkError]:
    again = await read_head(store)
    if isinstance(again, result.Err):
        message = f"the roll of version {head.version} may have taken effect; look at the head"
        return result.Err(errors.AnswerLost(message))
    current = again.ok_value.head
    rolled = await find_rolled(store, current, head.version, head.manifest_sha256)
    if rolled is not None:
        return result.Ok(rolled)
    if isinstance(error, errors.Conflict):
        return result.Err(describe_race(current))
    return result.Err(error)


async def _keep_history(
    store: key_value.KeyValue, head: records.Head
) -> result.Result[None, errors.PlatformError]:
    # A version that was rolled again on a restored service takes the place of the lost one.
    kept = await _put(store, _name_history(head.version), msgspec.json.encode(head))
    if kept.is_ok():
        oldest = _name_history(max(0, head.version - HISTORY_KEPT))
        await store.delete_range(HISTORY_PREFIX, oldest)  # What fails is deleted with the next.
    return kept


async def _put(
    store: key_value.KeyValue, key: str, content: bytes
) -> result.Result[None, errors.PlatformError]:
    revision = key_value.ABSENT
    for _ in range(PUT_TRIES):
        written = await store.swap(key, content, revision)
        if written.is_ok():
            return result.Ok(None)
        if isinstance(written.unwrap_err(), errors.PlatformUnavailable):
            break
        found = await store.read(key)
        if isinstance(found, result.Err):
            break
        entry = found.ok_value
        if entry is not None and entry.value == content:
            return result.Ok(None)
        revision = entry.revision if entry else key_value.ABSENT
    message = f"{key} could not be written, so nothing was rolled; roll again later"
    return result.Err(errors.PlatformUnavailable(message))


def _name_history(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:0{VERSION_DIGITS}}"
