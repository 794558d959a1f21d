"""Events: cuts a stream of server-sent events into whole ones and follows their ids."""

import result

from tanagerfork import errors

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024


class EventCutter:
    """Keeps back the part of an event that is not whole yet.

    A part that a broken stream leaves behind is dropped, so that a stream that goes on elsewhere
    begins at a whole event.

    :param last_id: id of the last event before this stream; empty for none.
    """

    __slots__ = ("_rest", "last_id", "count")

    def __init__(self, last_id: str = "") -> None:
        self._rest = b""
        self.last_id = last_id
        self.count = 0

    @property
    def has_rest(self) -> bool:
        """Whether part of an event waits for its end."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> result.Result[bytes, errors.UpstreamError]:
        """Take bytes in.

        :param chunk: bytes as they came.
        :return: the whole events, or why the stream cannot be trusted.
        """
        data = self._rest + chunk if self._rest else chunk
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                return result.Err(errors.UpstreamConfused("an event has no end; ask elsewhere"))
            return result.Ok(b"")
        cut += len(EVENT_END)
        whole, self._rest = data[:cut], data[cut:]
        for event in whole.split(EVENT_END):
            if event and not self._note_id(event):
                message = "the ids of the events have a gap; ask elsewhere"
                return result.Err(errors.UpstreamConfused(message))
        return result.Ok(whole)

    def _note_id(self, event: bytes) -> bool:
        self.count += 1
        for line in event.split(b"\n"):
            if not line.startswith(ID_FIELD):
                continue
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
            is_next = _follows(self.last_id, event_id)
            self.last_id = event_id
            return is_next
        return True


def _follows(last_id: str, event_id: str) -> bool:
    if last_id.isdecimal() and event_id.isdecimal():
        return int(event_id) == int(last_id) + 1
    return True
