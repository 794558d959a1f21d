"""Splits a stream of server-sent events into complete events and checks their ids."""

import result

from tanagerfork import errors

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024
MAX_ID_DIGITS = 18  # Longer ids are no counts of events; Python converts no more than 4,300 digits.


class EventSplitter:
    """Returns complete events and buffers the rest until the event is complete.

    The incomplete event at the end of a broken stream is dropped, so that a stream that resumes on
    another upstream starts with a complete event.

    :param last_id: id of the last event before this stream; empty for none.
    """

    __slots__ = ("_partial_event", "last_id", "event_count")

    def __init__(self, last_id: str = "") -> None:
        self._partial_event = b""
        self.last_id = last_id
        self.event_count = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial_event)

    def feed(self, chunk: bytes) -> result.Result[bytes, errors.UpstreamError]:
        """Add bytes of the stream.

        :param chunk: bytes as received.
        :return: complete events, or the fault of the stream.
        """
        data = self._partial_event + chunk if self._partial_event else chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial_event = data
            if len(data) > MAX_EVENT_BYTES:
                return result.Err(
                    errors.UpstreamConfused("an event exceeds the size limit; use another upstream")
                )
            return result.Ok(b"")
        end += len(EVENT_END)
        complete, self._partial_event = data[:end], data[end:]
        for event in complete.split(EVENT_END):
            if event and not self._check_id(event):
                message = "the event ids are not consecutive; use another upstream"
                return result.Err(errors.UpstreamConfused(message))
        return result.Ok(complete)

    def _check_id(self, event: bytes) -> bool:
        self.event_count += 1
        for line in event.split(b"\n"):
            if not line.startswith(ID_FIELD):
                continue
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
            is_next = _is_consecutive(self.last_id, event_id)
            self.last_id = event_id
            return is_next
        # A resumed stream whose events are numbered begins with the next number.
        return self.event_count > 1 or not _is_number(self.last_id)


def _is_consecutive(last_id: str, event_id: str) -> bool:
    if _is_number(last_id) and _is_number(event_id):
        return int(event_id) == int(last_id) + 1
    return True


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
