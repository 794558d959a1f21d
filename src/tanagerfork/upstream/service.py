"""Client interface of plain services, and its implementation over HTTP."""

import asyncio
import dataclasses
from typing import Protocol

import aiohttp
import result
import yarl

from tanagerfork import errors
from tanagerfork.generated import bundle
from tanagerfork.upstream import connections

ATTEMPT_HEADER = "X-Attempt-Id"
NOT_RUN_HEADER = "X-Not-Run"


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCall:
    """One call to a plain service."""

    attempt_id: str
    request_id: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    timeout_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceAnswer:
    """A complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class ServiceClient(Protocol):
    """Client of plain services."""

    async def call(
        self, upstream: bundle.ServiceUpstream, call: ServiceCall
    ) -> result.Result[ServiceAnswer, errors.UpstreamError]:
        """Call a service once.

        :param upstream: upstream of the service.
        :param call: what to send.
        :return: the complete response, or an error that tells whether the call may have run.
        """


class HttpServiceClient:
    """Plain services over HTTP; each call uses its own connection.

    A pooled connection may break on the first byte, and it is then unknown whether the call ran.

    :param session: session of single-use connections that never resends a call.
    :param answer_limit_bytes: largest response body, in bytes.
    """

    __slots__ = ("_session", "_answer_limit_bytes")

    def __init__(self, session: aiohttp.ClientSession, answer_limit_bytes: int) -> None:
        self._session = session
        self._answer_limit_bytes = answer_limit_bytes

    async def call(
        self, upstream: bundle.ServiceUpstream, call: ServiceCall
    ) -> result.Result[ServiceAnswer, errors.UpstreamError]:
        """Call a service once; see `ServiceClient.call`."""
        target_url = f"{upstream.url.rstrip('/')}/{call.path}" + (
            f"?{call.query}" if call.query else ""
        )
        headers = {ATTEMPT_HEADER: call.attempt_id, "X-Request-Id": call.request_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        try:
            async with asyncio.timeout(call.timeout_ms / 1000):
                async with self._session.request(
                    call.method,
                    yarl.URL(target_url, encoded=True),
                    data=call.body or None,
                    headers=headers,
                    allow_redirects=False,
                ) as response:
                    body = await response.content.read(self._answer_limit_bytes + 1)
                    while not response.content.at_eof():
                        body += await response.content.read(self._answer_limit_bytes + 1)
                        if len(body) > self._answer_limit_bytes:
                            break
        except (aiohttp.ClientError, OSError) as error:
            return result.Err(connections.describe_failure(upstream.name, error))
        return self._check_response(upstream, call, response, body)

    def _check_response(
        self,
        upstream: bundle.ServiceUpstream,
        call: ServiceCall,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> result.Result[ServiceAnswer, errors.UpstreamError]:
        if len(body) > self._answer_limit_bytes:
            return result.Err(
                errors.UpstreamLost(
                    f"the response of {upstream.name} is too large; raise limits.answer_body_bytes"
                )
            )
        if response.headers.get(ATTEMPT_HEADER) != call.attempt_id:
            message = f"{upstream.name} responded to another attempt; discard the response"
            return result.Err(errors.UpstreamConfused(message))
        if response.headers.get(NOT_RUN_HEADER):
            message = f"{upstream.name} refused the call before running it; try another upstream"
            return result.Err(errors.UpstreamRefused(message))
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return result.Ok(ServiceAnswer(response.status, content_type, body))
