"""Client of the key-value service over the etcd v3 JSON gateway."""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import TypeVar

import aiohttp
import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.storage import key_value

WATCH_BUFFER_BYTES = 4 * 1024 * 1024  # Has to hold a whole line of a watch.
VALUE_LIMIT_BYTES = 1_000_000
WATCH_SILENCE_TIMEOUT_MS = 60_000  # A watch silent for longer ends, so that it is reopened.
TOO_MANY_REQUESTS = 429
# Also sent for timeouts inside the service, after which a write may still take effect.
SERVICE_UNAVAILABLE = 503
REJECTED_STATUSES = (400, 413)  # The call is malformed or too large.


class _Kv(msgspec.Struct):
    """One key of a response; integers are encoded as strings and bytes as base64."""

    key: str
    value: str = ""
    mod_revision: str = "0"


class _Header(msgspec.Struct):
    """Header of a response."""

    revision: str = "0"


class _RangeAnswer(msgspec.Struct):
    """Response to a range call."""

    kvs: list[_Kv] = []


class _TxnAnswer(msgspec.Struct):
    """Response to a txn call."""

    header: _Header = msgspec.field(default_factory=_Header)
    succeeded: bool = False


class _DeleteAnswer(msgspec.Struct):
    """Response to a deleterange call."""

    deleted: str = "0"


class _Event(msgspec.Struct):
    """One event of a watch."""

    kv: _Kv
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    """Events in one line of a watch."""

    events: list[_Event] = []
    canceled: bool = False


class _WatchLine(msgspec.Struct):
    """One line of a watch response."""

    result: _WatchResult = msgspec.field(default_factory=_WatchResult)


class _RangeCall(msgspec.Struct, omit_defaults=True):
    """A range call; an empty range_end selects a single key."""

    key: str
    range_end: str = ""


class _Compare(msgspec.Struct):
    """A condition of a txn call."""

    key: str
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class _Put(msgspec.Struct):
    """Key and value to put in a txn call."""

    key: str
    value: str


class _PutRequest(msgspec.Struct):
    """Put request of a txn call."""

    request_put: _Put


class _TxnCall(msgspec.Struct):
    """A txn call that puts one key under one condition."""

    compare: list[_Compare]
    success: list[_PutRequest]


class _WatchCreate(msgspec.Struct):
    """Key to watch, and the first revision to report."""

    key: str
    start_revision: str


class _WatchCall(msgspec.Struct):
    """A watch call."""

    create_request: _WatchCreate


AnswerT = TypeVar("AnswerT")


class EtcdKeyValue:
    """Implements `key_value.KeyValue` on the etcd v3 JSON gateway.

    :param session: HTTP session, closed by its owner.
    :param base_url: address of the gateway.
    :param key_prefix: prefix of all keys of the fleet.
    :param timeout_ms: deadline of one call, in milliseconds.
    :param watch_silence_timeout_ms: silence after which a watch ends, in milliseconds.
    """

    __slots__ = ("_session", "_base_url", "_key_prefix", "_timeout_s", "_watch_silence_timeout_s")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        key_prefix: str,
        timeout_ms: int,
        watch_silence_timeout_ms: int = WATCH_SILENCE_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._key_prefix = key_prefix
        self._timeout_s = timeout_ms / 1000
        self._watch_silence_timeout_s = watch_silence_timeout_ms / 1000

    @property
    def era(self) -> int:
        """None: the gateway counts no restores; see `key_value.KeyValue.era`."""
        return 0

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key; see `key_value.KeyValue.read`."""
        call = _RangeCall(key=self._encode_key(key))
        return (await self._read(call)).map(lambda found: found[0] if found else None)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix; see `key_value.KeyValue.read_prefix`."""
        first = (self._key_prefix + prefix).encode()
        after_last = first[:-1] + bytes([first[-1] + 1])
        call = _RangeCall(key=_to_base64(first), range_end=_to_base64(after_last))
        return await self._read(call)

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if its revision is the expected one; see `key_value.KeyValue.swap`."""
        if len(value) > VALUE_LIMIT_BYTES:
            return result.Err(_describe_oversize(key, len(value)))
        encoded_key = self._encode_key(key)
        call = _TxnCall(
            compare=[_Compare(key=encoded_key, mod_revision=str(revision))],
            success=[_PutRequest(_Put(key=encoded_key, value=_to_base64(value)))],
        )
        answer = await self._call("/v3/kv/txn", call, _TxnAnswer)
        if isinstance(answer, result.Err):
            return answer
        if not answer.ok_value.succeeded:
            return result.Err(errors.Conflict(f"{key} was written by another; read it again"))
        return result.Ok(int(answer.ok_value.header.revision))

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys in a range; see `key_value.KeyValue.delete_range`."""
        call = _RangeCall(key=self._encode_key(first), range_end=self._encode_key(after_last))
        answer = await self._call("/v3/kv/deleterange", call, _DeleteAnswer)
        return answer.map(lambda found: int(found.deleted))

    async def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Watch one key; see `key_value.KeyValue.watch`."""
        call = _WatchCall(_WatchCreate(key=self._encode_key(key), start_revision=str(revision)))
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout_s, sock_read=self._watch_silence_timeout_s
        )
        try:
            async with self._session.post(
                self._base_url + "/v3/watch",
                data=msgspec.json.encode(call),
                timeout=timeout,
                read_bufsize=WATCH_BUFFER_BYTES,
            ) as response:
                async for line in response.content:
                    watch_result = decoding.decode_json(line, _WatchLine).result
                    if watch_result.canceled:  # Its start was compacted; the caller reads again.
                        return
                    for event in watch_result.events:
                        if event.type == "PUT":
                            yield self._decode_kv(event.kv)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError, ValueError):
            return

    async def _read(
        self, call: _RangeCall
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        answer = await self._call("/v3/kv/range", call, _RangeAnswer)
        if isinstance(answer, result.Err):
            return answer
        try:
            return result.Ok([self._decode_kv(kv) for kv in answer.ok_value.kvs])
        except ValueError as error:
            return result.Err(errors.AnswerLost(f"the key-value service's answer is bad: {error}"))

    async def _call(
        self, path: str, call: msgspec.Struct, answer_type: type[AnswerT]
    ) -> result.Result[AnswerT, errors.PlatformError]:
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._session.post(
                    self._base_url + path, data=msgspec.json.encode(call)
                ) as response:
                    body = await response.read()
        except aiohttp.ClientConnectorError:
            return result.Err(errors.PlatformUnavailable("the key-value service is away; wait"))
        except (aiohttp.ClientError, TimeoutError):
            return result.Err(errors.AnswerLost("the key-value service gave no answer; read back"))
        if response.status == TOO_MANY_REQUESTS or response.status in REJECTED_STATUSES:
            message = f"the key-value service refused the call ({response.status}); come back later"
            return result.Err(errors.PlatformUnavailable(message))
        if response.status == SERVICE_UNAVAILABLE and isinstance(call, _RangeCall):
            return result.Err(errors.PlatformUnavailable("the key-value service is away; wait"))
        if response.status != 200:
            return result.Err(errors.AnswerLost(f"the key-value service said {response.status}"))
        try:
            return result.Ok(decoding.decode_json(body, answer_type))
        except msgspec.MsgspecError as error:
            return result.Err(errors.AnswerLost(f"the key-value service's answer is bad: {error}"))

    def _encode_key(self, key: str) -> str:
        return _to_base64((self._key_prefix + key).encode())

    def _decode_kv(self, kv: _Kv) -> key_value.Entry:
        key = base64.b64decode(kv.key).decode().removeprefix(self._key_prefix)
        return key_value.Entry(key, base64.b64decode(kv.value), int(kv.mod_revision))


def _describe_oversize(key: str, size_bytes: int) -> errors.PlatformError:
    message = f"the value of {key} has {size_bytes} bytes, over {VALUE_LIMIT_BYTES}; shorten it"
    return errors.ValueTooLarge(message)


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()
