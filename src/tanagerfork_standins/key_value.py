"""Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway."""

import asyncio
import base64
import dataclasses

import aiohttp.web
import msgspec

from tanagerfork_standins import listener

MAX_VALUE_BYTES = 1_000_000


class KeyValueEntry(msgspec.Struct):
    """One key with its value and revisions, in a response."""

    key: str
    value: str
    create_revision: str
    mod_revision: str
    version: str


class RangeRequest(msgspec.Struct):
    """Request of a range call; also of a deleterange call."""

    key: str
    range_end: str = ""


class Header(msgspec.Struct):
    """Header of a response."""

    revision: str


class RangeResponse(msgspec.Struct):
    """Response to a range call."""

    header: Header
    kvs: list[KeyValueEntry]
    count: str


class DeleteRangeResponse(msgspec.Struct):
    """Response to a deleterange call."""

    header: Header
    deleted: str


class PutRequest(msgspec.Struct):
    """Request of a put call."""

    key: str
    value: str


class PutResponse(msgspec.Struct):
    """Response to a put call."""

    header: Header


class Compare(msgspec.Struct):
    """Condition on the revision of a key; revision 0 requires that the key does not exist."""

    key: str
    mod_revision: str = "0"
    target: str = "MOD"
    result: str = "EQUAL"


class Operation(msgspec.Struct):
    """One operation of a transaction."""

    request_put: PutRequest


class TxnRequest(msgspec.Struct):
    """Request of a txn call."""

    compare: list[Compare]
    success: list[Operation] = []


class TxnResponse(msgspec.Struct):
    """Response to a txn call."""

    header: Header
    succeeded: bool


class WatchCreateRequest(msgspec.Struct):
    """Key to watch, and the first revision to report."""

    key: str
    start_revision: str = "0"


class WatchRequest(msgspec.Struct):
    """Request of a watch call."""

    create_request: WatchCreateRequest


class WatchEvent(msgspec.Struct):
    """One event of a watch."""

    type: str
    kv: KeyValueEntry


class WatchResult(msgspec.Struct):
    """Events of one watch response."""

    header: Header
    events: list[WatchEvent]


class WatchResponse(msgspec.Struct):
    """One line of the response to a watch call."""

    result: WatchResult


@dataclasses.dataclass(slots=True)
class StoredKey:
    """Value and revisions of a stored key."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int


@dataclasses.dataclass(slots=True)
class KeyValueFaults:
    """Faults injected into the service, and counters of its calls.

    `lost_responses` is how many writes still succeed without a response. Each increment of
    `watch_silence_count` stops the events of the watches that are open at that time.
    """

    is_unavailable: bool = False
    delay_ms: int = 0
    lost_responses: int = 0
    watch_silence_count: int = 0
    reads: int = 0
    writes: int = 0
    open_watches: int = 0


class KeyValueStandIn:
    """Key-value service on a loopback port.

    :param port: TCP port; 0 lets the system choose.
    """

    __slots__ = ("listener", "faults", "keys", "revision", "_changed", "_backup")

    def __init__(self, port: int = 0) -> None:
        self.listener = listener.Listener(port)
        self.faults = KeyValueFaults()
        self.keys: dict[bytes, StoredKey] = {}
        self.revision = 1
        self._changed = asyncio.Condition()
        self._backup = (1, dict[bytes, StoredKey]())
        self.listener.app.router.add_post("/v3/kv/range", self._range)
        self.listener.app.router.add_post("/v3/kv/put", self._put)
        self.listener.app.router.add_post("/v3/kv/txn", self._txn)
        self.listener.app.router.add_post("/v3/kv/deleterange", self._delete_range)
        self.listener.app.router.add_post("/v3/watch", self._watch)

    def expire_key(self, key: str) -> None:
        """Delete a key, as the service does when its lease expires; watches get no event.

        :param key: full key.
        """
        self.revision += 1
        self.keys.pop(key.encode(), None)

    def save(self) -> None:
        """Back up the current state, for `restore`."""
        self._backup = self.revision, self._copy_keys(self.keys)

    def restore(self) -> None:
        """Restore the last backup; the revision goes back with it."""
        self.revision, saved = self._backup
        self.keys = self._copy_keys(saved)

    def _copy_keys(self, keys: dict[bytes, StoredKey]) -> dict[bytes, StoredKey]:
        return {key: dataclasses.replace(stored) for key, stored in keys.items()}

    async def _range(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=RangeRequest)
        self.faults.reads += 1
        await self._inject_faults()
        first = base64.b64decode(call.key)
        last = base64.b64decode(call.range_end) if call.range_end else first + b"\0"
        found = sorted(key for key in self.keys if first <= key < last)
        kvs = [self._make_entry(key) for key in found]
        return _json_response(RangeResponse(self._make_header(), kvs, str(len(kvs))))

    async def _put(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=PutRequest)
        self.faults.writes += 1
        await self._inject_faults()
        await self._put_all([call])
        self._maybe_drop_response(request)
        return _json_response(PutResponse(self._make_header()))

    async def _txn(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=TxnRequest)
        self.faults.writes += 1
        await self._inject_faults()
        succeeded = all(self._matches(condition) for condition in call.compare)
        if succeeded:
            await self._put_all([operation.request_put for operation in call.success])
            self._maybe_drop_response(request)
        return _json_response(TxnResponse(self._make_header(), succeeded))

    async def _delete_range(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=RangeRequest)
        self.faults.writes += 1
        await self._inject_faults()
        first, last = base64.b64decode(call.key), base64.b64decode(call.range_end)
        found = [key for key in self.keys if first <= key < last]
        self.revision += bool(found)
        for key in found:
            del self.keys[key]
        self._maybe_drop_response(request)
        return _json_response(DeleteRangeResponse(self._make_header(), str(len(found))))

    async def _watch(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        call = msgspec.json.decode(await request.read(), type=WatchRequest).create_request
        await self._inject_faults()
        key = base64.b64decode(call.key)
        seen_revision = max(int(call.start_revision) - 1, 0)
        silence_count_at_start = self.faults.watch_silence_count
        response = aiohttp.web.StreamResponse()
        await response.prepare(request)
        self.faults.open_watches += 1
        try:
            while not self.faults.is_unavailable:
                if self.faults.watch_silence_count != silence_count_at_start:
                    await asyncio.Event().wait()
                stored = self.keys.get(key)
                if stored is not None and stored.mod_revision > seen_revision:
                    seen_revision = stored.mod_revision
                    event = WatchEvent("PUT", self._make_entry(key))
                    line = WatchResponse(WatchResult(self._make_header(), [event]))
                    await response.write(msgspec.json.encode(line) + b"\n")
                else:
                    async with self._changed:
                        await self._changed.wait()
        finally:
            self.faults.open_watches -= 1
        return response

    async def _inject_faults(self) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.is_unavailable:
            raise aiohttp.web.HTTPServiceUnavailable()

    def _maybe_drop_response(self, request: aiohttp.web.Request) -> None:
        if self.faults.lost_responses > 0 and request.transport is not None:
            self.faults.lost_responses -= 1
            request.transport.abort()

    def _matches(self, condition: Compare) -> bool:
        stored = self.keys.get(base64.b64decode(condition.key))
        return (stored.mod_revision if stored else 0) == int(condition.mod_revision)

    async def _put_all(self, puts: list[PutRequest]) -> None:
        values = [base64.b64decode(put.value) for put in puts]
        if any(len(value) > MAX_VALUE_BYTES for value in values):
            raise aiohttp.web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, max(map(len, values)))
        self.revision += 1
        for put, value in zip(puts, values, strict=True):
            key = base64.b64decode(put.key)
            stored = self.keys.get(key)
            if stored is None:
                self.keys[key] = StoredKey(value, self.revision, self.revision, 1)
                continue
            stored.value = value
            stored.mod_revision = self.revision
            stored.version += 1
        async with self._changed:
            self._changed.notify_all()

    def _make_header(self) -> Header:
        return Header(str(self.revision))

    def _make_entry(self, key: bytes) -> KeyValueEntry:
        stored = self.keys[key]
        return KeyValueEntry(
            base64.b64encode(key).decode(),
            base64.b64encode(stored.value).decode(),
            str(stored.create_revision),
            str(stored.mod_revision),
            str(stored.version),
        )


def _json_response(record: msgspec.Struct) -> aiohttp.web.Response:
    return aiohttp.web.Response(body=msgspec.json.encode(record), content_type="application/json")
