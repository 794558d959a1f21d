"""Decodes records of other writers; every malformed record raises `msgspec.MsgspecError`.

The library itself also raises `RecursionError` for values that are nested too deeply. A task that
handles only `msgspec.MsgspecError` would end with it, and no other record would be read.
"""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

MAX_COUNT = 2**53  # Larger whole numbers lose digits in writers that have floats only.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Whole = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]

RecordT = TypeVar("RecordT")


class UnreadableRecord(msgspec.DecodeError):
    """A record that the library fails to decode for another reason than its format or type."""


def decode_json(data: bytes | str | msgspec.Raw, kind: type[RecordT]) -> RecordT:
    """Decode a record from JSON.

    :param data: record as received.
    :param kind: type of the record.
    :return: record.
    :raises msgspec.MsgspecError: the data is no record of this type.
    """
    return decode_with(lambda: msgspec.json.decode(data, type=kind))


def decode_msgpack(data: bytes, kind: type[RecordT]) -> RecordT:
    """Decode a record from MessagePack.

    :param data: record as received.
    :param kind: type of the record.
    :return: record.
    :raises msgspec.MsgspecError: the data is no record of this type.
    """
    return decode_with(lambda: msgspec.msgpack.decode(data, type=kind))


def decode_with(decode: Callable[[], RecordT]) -> RecordT:
    """Call a function of the library that decodes a record.

    :param decode: function.
    :return: record.
    :raises msgspec.MsgspecError: the data is no record of the type.
    """
    try:
        return decode()
    except msgspec.MsgspecError:  # Most are ValueErrors too, and keep their path and reason.
        raise
    except RecursionError as error:
        raise UnreadableRecord("the value is nested too deeply; flatten it") from error
    except (ValueError, OverflowError) as error:
        raise UnreadableRecord(f"a value cannot be represented ({error}); correct it") from error
