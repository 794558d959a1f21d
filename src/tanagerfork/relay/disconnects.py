"""Disconnects: finds callers that have left, while the event loop has not read the close yet."""

import select

import aiohttp.web

CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0)  # Errors and hang-ups are always reported.


def check_caller(request: aiohttp.web.Request) -> None:
    """Check that the caller has not closed the connection.

    The event loop reads a request before the close that follows it, and a request on a pooled
    connection would be sent between the two.

    :param request: request whose body has been read.
    :raises ConnectionResetError: the caller has left.
    """
    opened = request.transport.get_extra_info("socket") if request.transport else None
    if opened is not None and opened.fileno() >= 0:
        poll = select.poll()
        poll.register(opened.fileno(), CLOSED_EVENTS)
        if not poll.poll(0):
            return
    raise ConnectionResetError("the caller has left")
