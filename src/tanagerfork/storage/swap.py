"""Compare-and-swap of records that resolves lost responses by reading back."""

from typing import Protocol, TypeVar

import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.storage import key_value

MAX_SWAP_ATTEMPTS = 4
RESTORED = "{key} was written under a revision from before a restore; read it again"


class TokenedRecord(Protocol):
    """A record that carries the token of the write that created it."""

    token: str


RecordT = TypeVar("RecordT", bound=TokenedRecord)


async def swap_record(
    store: key_value.KeyValue, key: str, record: TokenedRecord, revision: int
) -> result.Result[int, errors.PlatformError]:
    """Write a record and determine whether it was written, even if a response is lost.

    After a lost response the same compare-and-swap is sent again. A first copy that took effect, or
    that is still in flight, makes one of the two conflict, so at most one takes effect, and the
    token tells whose write is stored. A write that is found after the service was restored from a
    copy does not count: the copy may lack records that were written after the expected revision.

    :param store: key-value service.
    :param key: key of the record.
    :param record: record with a token that is unique to this write.
    :param revision: expected revision.
    :return: the new revision, or why it was not written; `AnswerLost` if that remains unknown.
    """
    value = msgspec.json.encode(record)
    for attempt in range(MAX_SWAP_ATTEMPTS):
        answer = await store.swap(key, value, revision)
        if answer.is_ok():
            return answer
        is_first_attempt = attempt == 0
        if is_first_attempt and not isinstance(answer.unwrap_err(), errors.AnswerLost):
            return answer
        found = await store.read(key)
        if isinstance(found, result.Err):
            continue
        entry = found.ok_value
        if entry is not None and entry.value == value:
            if key_value.read_era(entry.revision) != key_value.read_era(revision):
                return result.Err(errors.Conflict(RESTORED.format(key=key)))
            return result.Ok(entry.revision)
        if entry is not None and entry.revision > revision:
            return result.Err(errors.Conflict(f"{key} was written by another; read it again"))
    return result.Err(errors.AnswerLost(f"the write of {key} may have taken effect; read it back"))


def decode_record(entry: key_value.Entry, record_type: type[RecordT]) -> RecordT:
    """Decode the record in an entry.

    :param entry: entry of the key-value service.
    :param record_type: generated type of the record.
    :return: the record.
    :raises msgspec.ValidationError: the value is not a valid record of this type.
    """
    return decoding.decode_json(entry.value, record_type)
