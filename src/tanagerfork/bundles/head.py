"""The head: the record that names the bundle in force, written by compare-and-swap.

Replaced heads are kept in the history under their version. A head is copied to the history before
the next head replaces it, so that a roll whose response was lost can be found even after a later
roll.
"""

import dataclasses
import uuid

import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.bundles import manifest as manifests
from tanagerfork.generated import bundle as records
from tanagerfork.storage import key_value, swap

HEAD_KEY = "bundle/head"
PART_PREFIX = "bundle/part/"
HISTORY_PREFIX = "bundle/history/"
VERSION_DIGITS = 10  # Zero-padded, so that keys sort by version.
MAX_PUT_ATTEMPTS = 4
HISTORY_DEPTH = 100  # Versions kept before the one replaced last.


@dataclasses.dataclass(slots=True, frozen=True)
class StoredHead:
    """A head with the revision of its key; no head if none was rolled yet."""

    head: records.Head | None
    revision: int


async def read_head(store: key_value.KeyValue) -> result.Result[StoredHead, errors.PlatformError]:
    """Read the head.

    :param store: key-value service.
    :return: the head with its revision; the head is None if nothing was rolled yet.
    """
    found = await store.read(HEAD_KEY)
    if isinstance(found, result.Err):
        return found
    if found.ok_value is None:
        return result.Ok(StoredHead(None, key_value.ABSENT))
    head = decode_head(found.ok_value.value)
    if head is None:
        message = (
            f"the value of {HEAD_KEY} is not a valid head; restore the key in the key-value service"
        )
        return result.Err(errors.PlatformUnavailable(message))
    return result.Ok(StoredHead(head, found.ok_value.revision))


def decode_head(value: bytes) -> records.Head | None:
    """Decode a head; return None if the value is not a valid head.

    :param value: value of the head's key.
    """
    try:
        return decoding.decode_json(value, records.Head)
    except msgspec.MsgspecError:
        return None


async def read_history(
    store: key_value.KeyValue, version: int
) -> result.Result[records.Head | None, errors.PlatformError]:
    """Read a replaced head from the history.

    :param store: key-value service.
    :param version: version of the head.
    :return: the head, None if the history does not hold it.
    """
    found = await store.read(_make_history_key(version))
    return found.map(lambda entry: decode_head(entry.value) if entry else None)


async def list_history(
    store: key_value.KeyValue,
) -> result.Result[list[records.Head], errors.PlatformError]:
    """Read all heads in the history.

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
    """Write the parts that the key-value service lacks, and overwrite corrupted ones.

    :param store: key-value service.
    :param draft: manifest with its parts.
    :param parent: manifest in force, whose parts are already stored.
    :return: nothing, or why a part could not be written.
    """
    stored = {part.sha256 for part in parent.parts} if parent else set()
    for part in draft.manifest.parts:
        content = draft.contents.get(part.sha256)
        if content is None or part.sha256 in stored:
            continue
        published = await _put_content(store, PART_PREFIX + part.sha256, content)
        if isinstance(published, result.Err):
            return published
    return result.Ok(None)


async def fetch_part(
    store: key_value.KeyValue, sha256: str
) -> result.Result[bytes | None, errors.PlatformError]:
    """Read one part.

    :param store: key-value service.
    :param sha256: hash of the part.
    :return: its content, None if it is absent or does not match its hash.
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
    """Put a signed bundle in force if its parent is still in force.

    :param store: key-value service.
    :param signed: signed manifest, whose parts are published.
    :param operator: operator who rolls the bundle.
    :param wall_ms: wall clock in milliseconds since the epoch.
    :param known: newest head that this daemon accepted.
    :return: the new head; `StaleParent` names the version in force and who rolled it.
    """
    manifest = decoding.decode_json(signed.manifest_json, records.Manifest)
    found = await read_head(store)
    if isinstance(found, result.Err):
        return found
    current = found.ok_value.head
    sha256 = manifests.hash_content(signed.manifest_json.encode())
    rolled = await find_rolled_head(store, current, manifest.version, sha256)
    if rolled is not None:
        return result.Ok(rolled)
    refused = check_roll(manifest, current, known)
    if refused is not None:
        return result.Err(refused)
    if current is not None:
        archived = await _archive_head(store, current)
        if isinstance(archived, result.Err):
            return archived
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
    return await _confirm_roll(store, head, swapped.err_value)


async def find_rolled_head(
    store: key_value.KeyValue, current: records.Head | None, version: int, sha256: str
) -> records.Head | None:
    """Find the head of a manifest that was already rolled, by a call whose response was lost.

    :param store: key-value service.
    :param current: head in force.
    :param version: version of the manifest.
    :param sha256: hash of the manifest.
    :return: its head, None if it was not rolled or the history cannot be read.
    """
    if current is None or current.version < version:
        return None
    if current.version == version:
        return current if current.manifest_sha256 == sha256 else None
    replaced = (await read_history(store, version)).unwrap_or(None)
    return replaced if replaced is not None and replaced.manifest_sha256 == sha256 else None


def check_roll(
    manifest: records.Manifest, current: records.Head | None, known: records.Head | None
) -> errors.BundleError | None:
    """Return why a manifest may not be rolled, None if it may.

    :param manifest: manifest whose sign-off was verified.
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
            f"version {known.version} is in force on this daemon, but the key-value service holds "
            f"{version}: it was restored to an older state; wait until the daemons have written "
            "the newer head back, or rebase on the bundle in force"
        )
    if manifest.parent != (current.manifest_sha256 if current else ""):
        return make_stale_parent_error(current)
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
    """Write a head back to a key-value service that was restored to an older state.

    :param store: key-value service.
    :param head: newer head that this daemon accepted.
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


def make_stale_parent_error(current: records.Head | None) -> errors.StaleParent:
    """Make the error for an operator whose draft is not based on the bundle in force.

    :param current: head in force, None if there is none.
    :return: the error, which names the version in force, who rolled it and the remedy.
    """
    if current is None:
        return errors.StaleParent(
            "no bundle is in force, so the parent is unknown; draft and sign the bundle again"
        )
    return errors.StaleParent(
        f"version {current.version}, rolled by {current.rolled_by or 'unknown'}, is in force; "
        "run `tanagerfork bundle rebase`, check the difference and sign off again"
    )


async def _confirm_roll(
    store: key_value.KeyValue, head: records.Head, error: errors.PlatformError
) -> result.Result[records.Head, errors.TanagerforkError]:
    again = await read_head(store)
    if isinstance(again, result.Err):
        message = f"the roll of version {head.version} may have taken effect; read the head"
        return result.Err(errors.AnswerLost(message))
    current = again.ok_value.head
    rolled = await find_rolled_head(store, current, head.version, head.manifest_sha256)
    if rolled is not None:
        return result.Ok(rolled)
    if isinstance(error, errors.Conflict):
        return result.Err(make_stale_parent_error(current))
    return result.Err(error)


async def _archive_head(
    store: key_value.KeyValue, head: records.Head
) -> result.Result[None, errors.PlatformError]:
    # After a restore of the service a version may be rolled again; it replaces the lost entry.
    archived = await _put_content(store, _make_history_key(head.version), msgspec.json.encode(head))
    if archived.is_ok():
        oldest = _make_history_key(max(0, head.version - HISTORY_DEPTH))
        # A failed deletion is not reported: the next roll deletes these entries as well.
        await store.delete_range(HISTORY_PREFIX, oldest)
    return archived


async def _put_content(
    store: key_value.KeyValue, key: str, content: bytes
) -> result.Result[None, errors.PlatformError]:
    revision = key_value.ABSENT
    for _ in range(MAX_PUT_ATTEMPTS):
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


def _make_history_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:0{VERSION_DIGITS}}"
