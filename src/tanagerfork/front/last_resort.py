"""Typed answers for what the handlers of the callers' listener do not answer themselves."""

import uuid
from collections.abc import Awaitable, Callable

import aiohttp.web
from absl import logging

from tanagerfork import errors
from tanagerfork.front import callers, error_bodies, journal

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]

KNOWN: dict[int, errors.CallerError] = {
    404: errors.NotFound("no such path; see docs/CALLERS.md"),
    405: errors.BadRequest("the path does not take this method; see docs/CALLERS.md"),
    413: errors.BodyTooLarge("the body exceeds the limit; shorten it"),
}


@aiohttp.web.middleware
async def answer_errors(
    request: aiohttp.web.Request, handler: Handler
) -> aiohttp.web.StreamResponse:
    """Have a request served; a failure of the daemon itself becomes a typed error.

    :param request: caller's request.
    :param handler: what serves it.
    :return: the answer.
    """
    try:
        return await handler(request)
    except aiohttp.web.HTTPException as refusal:
        error = KNOWN.get(refusal.status)
        if error is None:
            raise
        return _answer(request, error)
    except ConnectionError:
        raise  # The caller is gone; there is no one to answer.
    except Exception as failure:
        logging.exception("a request failed inside the daemon: %s", type(failure).__name__)
        if request.writer.output_size > 0:
            raise  # A second answer must not follow a part of the first; the connection ends.
        message = "the daemon failed; tell your operator the request id"
        return _answer(request, errors.InternalFailure(message))


def _answer(request: aiohttp.web.Request, error: errors.CallerError) -> aiohttp.web.Response:
    request[journal.ERROR] = error
    taken = request.headers.get(callers.REQUEST_ID_HEADER, "")
    request_id = taken if callers.REQUEST_ID_FORM.fullmatch(taken) else uuid.uuid4().hex
    return aiohttp.web.Response(
        status=error.status,
        body=error_bodies.encode_error(error, request_id),
        content_type="application/json",
        headers={callers.REQUEST_ID_HEADER: request_id},
    )
