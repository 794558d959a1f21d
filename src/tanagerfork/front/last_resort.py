"""Middleware that turns unhandled errors of the callers' listener into typed error responses."""

import uuid
from collections.abc import Awaitable, Callable

import aiohttp.web
from absl import logging

from tanagerfork import errors
from tanagerfork.front import callers, error_bodies, journal

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]

ERRORS_BY_STATUS: dict[int, errors.CallerError] = {
    404: errors.NotFound("no such path; see docs/CALLERS.md"),
    405: errors.BadRequest("the path does not support this method; see docs/CALLERS.md"),
    413: errors.BodyTooLarge("the body exceeds the limit; shorten it"),
}


@aiohttp.web.middleware
async def answer_errors(
    request: aiohttp.web.Request, handler: Handler
) -> aiohttp.web.StreamResponse:
    """Call a handler and turn HTTP errors and unexpected exceptions into typed error responses.

    :param request: caller's request.
    :param handler: next handler.
    :return: the handler's response or an error response.
    """
    try:
        return await handler(request)
    except aiohttp.web.HTTPException as http_error:
        error = ERRORS_BY_STATUS.get(http_error.status)
        if error is None:
            raise
        return _make_error_response(request, error)
    except ConnectionError:
        raise  # The caller disconnected and cannot receive a response.
    except Exception as failure:
        logging.exception(
            "unexpected %s while a caller's request was handled", type(failure).__name__
        )
        if request.writer.output_size > 0:
            raise  # The response has begun, so the connection is closed instead of sending another.
        message = "internal failure of the daemon; report the request id to your operator"
        return _make_error_response(request, errors.InternalFailure(message))


def _make_error_response(
    request: aiohttp.web.Request, error: errors.CallerError
) -> aiohttp.web.Response:
    request[journal.ERROR_KEY] = error
    given_id = request.headers.get(callers.REQUEST_ID_HEADER, "")
    request_id = given_id if callers.REQUEST_ID_PATTERN.fullmatch(given_id) else uuid.uuid4().hex
    return aiohttp.web.Response(
        status=error.status,
        body=error_bodies.encode_error(error, request_id),
        content_type="application/json",
        headers={callers.REQUEST_ID_HEADER: request_id},
    )
