"""Error bodies: what a caller or an operator reads of an error."""

import msgspec

from tanagerfork import errors
from tanagerfork.generated import callers


def encode_error(error: errors.TanagerforkError, request_id: str) -> bytes:
    """Return the body of an error.

    :param error: error.
    :param request_id: request.
    :return: JSON by the callers' schema.
    """
    body = callers.ErrorBody(
        kind=error.kind,
        message=error.message,
        request_id=request_id,
        retry_after_ms=error.retry_after_ms,
        ran=error.ran,
    )
    return msgspec.json.encode(callers.ErrorAnswer(error=body))
