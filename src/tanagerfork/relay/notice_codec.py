"""Notice codec: encodes and decodes notices in the forms of this build and of earlier ones.

Notices are arrays, to which a later build may only append fields. One build inserted `cut_off`
before `closed` instead; it is the only one whose entry takes over requests and names no format.
Neither form can be decoded as the other one, as a list stands where the other form has a batch of
changes or null.
"""

import dataclasses
import enum

import msgspec

from tanagerfork import decoding
from tanagerfork.generated import notices
from tanagerfork.relay import daemon_directory

_FIELDS = notices.Notice.__struct_fields__
_INSERTED_AT = _FIELDS.index("closed")
_APPENDED_AT = _FIELDS.index("cut_off")
_DECODER = msgspec.msgpack.Decoder(notices.Notice)
_ITEMS_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])


class Form(enum.Enum):
    """Order of the fields of a notice."""

    APPENDED = "appended"
    INSERTED = "inserted"  # `cut_off` before `closed`, and no fields after `leaving`.


@dataclasses.dataclass(slots=True, frozen=True)
class ReadNotice:
    """A notice, and the form in which its sender writes and reads notices."""

    notice: notices.Notice
    form: Form


class UnreadableNotice(ValueError):
    """A frame that is no notice in any known form."""


def find_form(record: daemon_directory.DaemonRecord) -> Form:
    """Return the form that a daemon reads.

    :param record: entry of the daemon.
    """
    is_inserted = bool(record.forwarding) and not record.notice_format
    return Form.INSERTED if is_inserted else Form.APPENDED


def encode(notice: notices.Notice, form: Form = Form.APPENDED) -> bytes:
    """Encode a notice.

    :param notice: notice.
    :param form: form that the receiver reads.
    """
    frame = msgspec.msgpack.encode(notice)
    if form is Form.APPENDED:
        return frame
    items = _ITEMS_DECODER.decode(frame)[: _APPENDED_AT + 1]
    items.insert(_INSERTED_AT, items.pop())
    return msgspec.msgpack.encode(items)


def decode(frame: bytes) -> ReadNotice:
    """Decode a notice of either form.

    :param frame: frame as received.
    :raises UnreadableNotice: it is no notice; the reason is that of the present form.
    """
    try:
        return ReadNotice(_DECODER.decode(frame), Form.APPENDED)
    except (msgspec.MsgspecError, RecursionError) as error:
        found = _decode_inserted(frame)
        if found is None:
            raise UnreadableNotice(str(error)) from error
        return ReadNotice(found, Form.INSERTED)


def read_sender(frame: bytes) -> str:
    """Return the name of the daemon that a frame claims to come from; empty if there is none.

    :param frame: frame that is no notice.
    """
    try:
        return decoding.decode_msgpack(_ITEMS_DECODER.decode(frame)[0], str)
    except (msgspec.MsgspecError, RecursionError, IndexError):
        return ""


def _decode_inserted(frame: bytes) -> notices.Notice | None:
    try:
        items = _ITEMS_DECODER.decode(frame)
        if len(items) != _APPENDED_AT + 1:
            return None
        items.append(items.pop(_INSERTED_AT))
        return _DECODER.decode(msgspec.msgpack.encode(items))
    except (msgspec.MsgspecError, RecursionError):
        return None
