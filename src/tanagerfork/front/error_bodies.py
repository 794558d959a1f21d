"""JSON bodies of errors sent to callers and operators."""

import msgspec

from tanagerfork import errors
from tanagerfork.generated import callers


def encode_error(error: errors.TanagerforkError, request_id: str) -> bytes:
    """Return the JSON body of an error.

    :param error: error.
    :param request_id: id of the request.
    :return: JSON that conforms to the callers' schema.
    """
    body = callers.ErrorBody(
        kind=error.kind,
        message=error.message,
        request_id=request_id,
        retry_after_ms=error.retry_after_ms,
        ran=error.ran,
    )
    return msgspec.json.encode(callers.ErrorAnswer(error=body))
