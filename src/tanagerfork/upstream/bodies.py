"""Bodies of short responses, read up to a limit."""

import aiohttp


async def read_bounded(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Return the whole body of a response.

    :param response: response; its connection is closed if the body is too long.
    :param limit_bytes: largest accepted body.
    :return: body.
    :raises ClientPayloadError: the body exceeds the limit.
    """
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > limit_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"the body exceeds {limit_bytes} bytes")
    return bytes(body)
