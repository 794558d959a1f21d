"""Client interface of the model engines, and its implementation over HTTP."""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Protocol, TypeVar

import aiohttp
import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.generated import engine
from tanagerfork.upstream import bodies, connections, stream

ATTEMPT_HEADER = "X-Attempt-Id"
REQUEST_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
OFFSET_HEADER = "X-Resume-Offset"
NOT_RUN_HEADER = "X-Not-Run"
GROUP_HEADER = "X-Group"
GENERATION_HEADER = "X-Group-Generation"

MAX_RECORD_BYTES = 8 * 1024 * 1024  # 80,000 cache events; other records are short.

RecordT = TypeVar("RecordT")


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt to run a request on an engine.

    The engine is assumed to skip the first `resume_offset` tokens of the response and to send the
    ones that follow. For the same request id and body they are the same on every VM with the same
    version and adapter. If an engine needs the generated text to resume, this record carries it.
    The engine refuses, before running it, an attempt that names a group or generation other than
    its current one, because a daemon learns of a re-formed group only with a delay.
    """

    attempt_id: str
    request_id: str
    body: bytes
    priority: int = 0
    resume_offset: int = 0
    first_token_timeout_ms: int = 60_000
    silence_timeout_ms: int = 10_000
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class Exchange(Protocol):
    """An attempt in progress at an engine."""

    async def next_batch(self) -> result.Result[stream.Batch, errors.UpstreamError]:
        """Wait for the next events of the response.

        :return: checked events, or why this exchange cannot complete the response.
        """

    @property
    def mean_gap_ms(self) -> float:
        """Mean time between two chunks so far; 0 if unknown."""

    def interrupt(self) -> None:
        """Abort the exchange from another task; the pending read fails."""

    async def close(self) -> None:
        """End the exchange and close its connection."""


class EngineClient(Protocol):
    """Client of the model engines."""

    async def report(
        self, vm: engine.VmEntry
    ) -> result.Result[engine.EngineReport, errors.UpstreamError]:
        """Request an engine's report.

        :param vm: VM of the engine.
        :return: the report, or why there is none.
        """

    async def send_order(
        self, vm: engine.VmEntry, order: engine.Order
    ) -> result.Result[engine.OrderAnswer, errors.UpstreamError]:
        """Send an order to an engine.

        :param vm: VM of the engine.
        :param order: order with the fencing token of its sender.
        :return: the engine's answer, or why there is none.
        """

    async def read_cache_events(
        self, vm: engine.VmEntry, after_sequence: int
    ) -> result.Result[engine.CacheEvents, errors.UpstreamError]:
        """Read an engine's cache events.

        :param vm: VM of the engine.
        :param after_sequence: last sequence number already read.
        :return: the events, which may be late and have gaps, or why there are none.
        """

    async def open(
        self, vm: engine.VmEntry, attempt: Attempt
    ) -> result.Result[Exchange, errors.UpstreamError]:
        """Send a request.

        :param vm: VM of the first member of a whole group.
        :param attempt: what to send.
        :return: the exchange, once the engine has accepted the attempt, or why it was not accepted.
        """

    async def cancel(self, vm: engine.VmEntry, attempt_id: str) -> None:
        """Tell an engine to cancel an abandoned attempt.

        :param vm: VM of the engine.
        :param attempt_id: id of the attempt.
        """


class HttpExchange:
    """An exchange over HTTP.

    :param response: response whose headers have been received.
    :param attempt: attempt that was sent.
    """

    __slots__ = ("_response", "_attempt", "_parser", "_chunks", "_silence_timer")

    def __init__(self, response: aiohttp.ClientResponse, attempt: Attempt) -> None:
        self._response = response
        self._attempt = attempt
        self._parser = stream.EventParser(attempt.attempt_id, attempt.request_id)
        self._chunks = response.content.iter_any()
        self._silence_timer = stream.SilenceTimer(
            response.close, attempt.first_token_timeout_ms, attempt.silence_timeout_ms
        )

    @property
    def mean_gap_ms(self) -> float:
        """Mean time between two chunks; see `Exchange.mean_gap_ms`."""
        return self._silence_timer.mean_gap_ms

    async def next_batch(self) -> result.Result[stream.Batch, errors.UpstreamError]:
        """Wait for the next events; see `Exchange.next_batch`."""
        self._silence_timer.start_waiting()
        try:
            async for chunk in self._chunks:
                self._silence_timer.record_chunk()
                parsed = self._parser.feed(chunk)
                if isinstance(parsed, result.Err) or parsed.ok_value.data or parsed.ok_value.is_end:
                    return parsed
                self._silence_timer.start_waiting()
        except (aiohttp.ClientError, OSError) as error:
            return result.Err(self._describe_loss(repr(error)))
        return result.Err(self._describe_loss("the answer ended without its end marker"))

    def interrupt(self) -> None:
        """Abort the exchange; see `Exchange.interrupt`."""
        self._response.close()

    async def close(self) -> None:
        """End the exchange; see `Exchange.close`."""
        self._silence_timer.stop()
        self._response.close()

    def _describe_loss(self, reason: str) -> errors.UpstreamError:
        if self._silence_timer.is_silent:
            return errors.UpstreamSilent("the engine stayed silent; ask over a new connection")
        return errors.UpstreamLost(f"the exchange broke ({reason}); resume it elsewhere")


class HttpEngineClient:
    """Model engines over HTTP.

    Each streamed response has its own connection, so a silent or abandoned one cannot block
    another request, and a late response cannot arrive in place of another. Short calls share a
    pool.

    :param pool: connections for reports, orders, cache events and cancels.
    :param session: session of single-use connections for streamed responses.
    :param call_timeout_ms: deadline of reports and orders, in milliseconds.
    """

    __slots__ = ("_pool", "_session", "_call_timeout_s")

    def __init__(
        self, pool: connections.Pool, session: aiohttp.ClientSession, call_timeout_ms: int
    ) -> None:
        self._pool = pool
        self._session = session
        self._call_timeout_s = call_timeout_ms / 1000

    async def report(
        self, vm: engine.VmEntry
    ) -> result.Result[engine.EngineReport, errors.UpstreamError]:
        """Request an engine's report; see `EngineClient.report`."""
        return await self._call("GET", vm.url + "/report", b"", engine.EngineReport)

    async def send_order(
        self, vm: engine.VmEntry, order: engine.Order
    ) -> result.Result[engine.OrderAnswer, errors.UpstreamError]:
        """Send an order to an engine; see `EngineClient.send_order`."""
        body = msgspec.json.encode(order)
        return await self._call("POST", vm.url + "/order", body, engine.OrderAnswer)

    async def read_cache_events(
        self, vm: engine.VmEntry, after_sequence: int
    ) -> result.Result[engine.CacheEvents, errors.UpstreamError]:
        """Read an engine's cache events; see `EngineClient.read_cache_events`."""
        url = f"{vm.url}/cache-events?after={after_sequence}"
        return await self._call("GET", url, b"", engine.CacheEvents)

    async def cancel(self, vm: engine.VmEntry, attempt_id: str) -> None:
        """Tell an engine to cancel an abandoned attempt; see `EngineClient.cancel`."""
        try:
            async with asyncio.timeout(self._call_timeout_s):
                session = await self._pool.session()
                headers = {ATTEMPT_HEADER: attempt_id}
                async with session.post(vm.url + "/cancel", headers=headers, allow_redirects=False):
                    pass
        except (aiohttp.ClientError, OSError):
            return

    async def open(
        self, vm: engine.VmEntry, attempt: Attempt
    ) -> result.Result[Exchange, errors.UpstreamError]:
        """Send a request; see `EngineClient.open`."""
        headers = {
            "Content-Type": "application/json",
            ATTEMPT_HEADER: attempt.attempt_id,
            REQUEST_HEADER: attempt.request_id,
            PRIORITY_HEADER: str(attempt.priority),
            OFFSET_HEADER: str(attempt.resume_offset),
            **attempt.headers,
        }
        try:
            async with asyncio.timeout(attempt.first_token_timeout_ms / 1000):
                response = await self._session.post(
                    vm.url + "/v1/chat/completions",
                    data=attempt.body,
                    headers=headers,
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, OSError) as error:
            return result.Err(connections.describe_failure(vm.vm, error))
        head_error = _check_head(vm, response, attempt)
        if head_error is not None:
            response.close()
            return result.Err(head_error)
        return result.Ok(HttpExchange(response, attempt))

    async def _call(
        self, method: str, url: str, body: bytes, answer_type: type[RecordT]
    ) -> result.Result[RecordT, errors.UpstreamError]:
        try:
            async with asyncio.timeout(self._call_timeout_s):
                session = await self._pool.session()
                async with session.request(
                    method, url, data=body, allow_redirects=False
                ) as response:
                    answer = await bodies.read_bounded(response, MAX_RECORD_BYTES)
            if response.status != 200:
                return result.Err(
                    errors.UpstreamRefused(
                        f"{url} returned status {response.status}, not 200; continue without it"
                    )
                )
            return result.Ok(decoding.decode_json(answer, answer_type))
        except msgspec.MsgspecError as error:
            return result.Err(
                errors.UpstreamConfused(
                    f"{url} returned an invalid record; continue without it: {error}"
                )
            )
        except (aiohttp.ClientError, OSError) as error:
            return result.Err(connections.describe_failure(url, error))


def _check_head(
    vm: engine.VmEntry, response: aiohttp.ClientResponse, attempt: Attempt
) -> errors.UpstreamError | None:
    if response.headers.get(ATTEMPT_HEADER) != attempt.attempt_id:
        return errors.UpstreamConfused(f"{vm.vm} answered another attempt; go elsewhere")
    if response.headers.get(NOT_RUN_HEADER):
        return errors.UpstreamRefused(f"{vm.vm} refused before running; go elsewhere")
    if response.status != 200:
        return errors.UpstreamLost(f"{vm.vm} said {response.status}; go elsewhere")
    return None
