"""Compare-and-swap of records, with lost answers read back."""

from typing import Protocol, TypeVar

import msgspec
import result

from tanagerfork import errors
from tanagerfork.storage import key_value

SWAP_TRIES = 4


class Tokened(Protocol):
    """A record that carries the token of the write that made it."""

    token: str


RecordT = TypeVar("RecordT", bound=Tokened)


async def swap_record(
    store: key_value.KeyValue, key: str, record: Tokened, revision: int
) -> result.Result[int, errors.PlatformError]:
    """Write a record and find out whether it was written, even if the answer is lost.

    The same compare-and-swap is sent again after a lost answer: a first copy that took effect, or
    that is still under way, makes it conflict, and the token tells whose write is found.

    :param store: key-value service.
    :param key: key of the record.
    :param record: record with a token that no other write carries.
    :param revision: expected revision.
    :return: the new revision, or why it was not written; `AnswerLost` if it is still not known.
    """
    value = msgspec.json.encode(record)
    for attempt in range(SWAP_TRIES):
        answer = await store.swap(key, value, revision)
        if answer.is_ok():
            return answer
        is_first_copy = attempt == 0
        if is_first_copy and not isinstance(answer.unwrap_err(), errors.AnswerLost):
            return answer
        found = await store.read(key)
        if isinstance(found, result.Err):
            continue
        entry = found.ok_value
        if entry is not None and entry.value == value:
            return result.Ok(entry.revision)
        if entry is not None and entry.revision > revision:
            return result.Err(errors.Conflict(f"{key} was written by another; read it again"))
    return result.Err(errors.AnswerLost(f"the write of {key} may have taken effect; read it back"))


def decode_record(entry: key_value.Entry, record_type: type[RecordT]) -> RecordT:
    """Decode the record in an entry.

    :param entry: entry of the key-value service.
    :param record_type: generated type of the record.
    :return: the record.
    :raises msgspec.ValidationError: the value is not such a record.
    """
    return msgspec.json.decode(entry.value, type=record_type)
