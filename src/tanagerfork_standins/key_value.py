"""Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway."""

import asyncio
import base64
import dataclasses

import aiohttp.web
import msgspec

from tanagerfork_standins import listener

VALUE_LIMIT_BYTES = 1_000_000


class KvAnswer(msgspec.Struct):
    """One key of an answer."""

    key: str
    value: str
    create_revision: str
    mod_revision: str
    version: str


class RangeCall(msgspec.Struct):
    """A range call."""

    key: str
    range_end: str = ""


class Header(msgspec.Struct):
    """Header of an answer."""

    revision: str


class RangeAnswer(msgspec.Struct):
    """Answer to a range call."""

    header: Header
    kvs: list[KvAnswer]
    count: str


class DeleteAnswer(msgspec.Struct):
    """Answer to a deleterange call."""

    header: Header
    deleted: str


class PutCall(msgspec.Struct):
    """A put call."""

    key: str
    value: str


class PutAnswer(msgspec.Struct):
    """Answer to a put call."""

    header: Header


class Compare(msgspec.Struct):
    """A condition on the revision of a key."""

    key: str
    mod_revision: str = "0"
    target: str = "MOD"
    result: str = "EQUAL"


class Operation(msgspec.Struct):
    """One operation of a txn call."""

    request_put: PutCall


class TxnCall(msgspec.Struct):
    """A txn call."""

    compare: list[Compare]
    success: list[Operation] = []


class TxnAnswer(msgspec.Struct):
    """Answer to a txn call."""

    header: Header
    succeeded: bool


class WatchCreate(msgspec.Struct):
    """What to watch."""

    key: str
    start_revision: str = "0"


class WatchCall(msgspec.Struct):
    """A watch call."""

    create_request: WatchCreate


class WatchEvent(msgspec.Struct):
    """One event of a watch."""

    type: str
    kv: KvAnswer


class WatchResult(msgspec.Struct):
    """Events of a watch."""

    header: Header
    events: list[WatchEvent]


class WatchLine(msgspec.Struct):
    """One line of a watch."""

    result: WatchResult


@dataclasses.dataclass(slots=True)
class StoredKey:
    """A key as it is stored."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int


@dataclasses.dataclass(slots=True)
class KeyValueFaults:
    """What is wrong with the service at the moment."""

    away: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    silenced_watches: int = 0
    reads: int = 0
    writes: int = 0
    open_watches: int = 0


class KeyValueStandIn:
    """The key-value service on a loopback port; counts its calls.

    :param port: TCP port; 0 lets the system choose.
    """

    __slots__ = ("listener", "faults", "keys", "revision", "_changed", "_saved")

    def __init__(self, port: int = 0) -> None:
        self.listener = listener.Listener(port)
        self.faults = KeyValueFaults()
        self.keys: dict[bytes, StoredKey] = {}
        self.revision = 1
        self._changed = asyncio.Condition()
        self._saved = (1, dict[bytes, StoredKey]())
        self.listener.app.router.add_post("/v3/kv/range", self._range)
        self.listener.app.router.add_post("/v3/kv/put", self._put)
        self.listener.app.router.add_post("/v3/kv/txn", self._txn)
        self.listener.app.router.add_post("/v3/kv/deleterange", self._delete_range)
        self.listener.app.router.add_post("/v3/watch", self._watch)

    def forget(self, key: str) -> None:
        """Drop a key, as the service does when the lease on it lapses.

        :param key: whole key.
        """
        self.revision += 1
        self.keys.pop(key.encode(), None)

    def save(self) -> None:
        """Keep the present state, as a backup does."""
        self._saved = self.revision, self._copy_keys(self.keys)

    def restore(self) -> None:
        """Go back to the state that was kept last; revisions go back with it."""
        self.revision, saved = self._saved
        self.keys = self._copy_keys(saved)

    def _copy_keys(self, keys: dict[bytes, StoredKey]) -> dict[bytes, StoredKey]:
        return {key: dataclasses.replace(stored) for key, stored in keys.items()}

    async def _range(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=RangeCall)
        self.faults.reads += 1
        await self._suffer()
        first = base64.b64decode(call.key)
        last = base64.b64decode(call.range_end) if call.range_end else first + b"\0"
        found = sorted(key for key in self.keys if first <= key < last)
        kvs = [self._describe(key) for key in found]
        return _answer(RangeAnswer(self._header(), kvs, str(len(kvs))))

    async def _put(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=PutCall)
        self.faults.writes += 1
        await self._suffer()
        await self._store([call])
        self._lose_answer(request)
        return _answer(PutAnswer(self._header()))

    async def _txn(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=TxnCall)
        self.faults.writes += 1
        await self._suffer()
        succeeded = all(self._holds(condition) for condition in call.compare)
        if succeeded:
            await self._store([operation.request_put for operation in call.success])
            self._lose_answer(request)
        return _answer(TxnAnswer(self._header(), succeeded))

    async def _delete_range(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        call = msgspec.json.decode(await request.read(), type=RangeCall)
        self.faults.writes += 1
        await self._suffer()
        first, last = base64.b64decode(call.key), base64.b64decode(call.range_end)
        found = [key for key in self.keys if first <= key < last]
        self.revision += bool(found)
        for key in found:
            del self.keys[key]
        self._lose_answer(request)
        return _answer(DeleteAnswer(self._header(), str(len(found))))

    async def _watch(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        call = msgspec.json.decode(await request.read(), type=WatchCall).create_request
        await self._suffer()
        key = base64.b64decode(call.key)
        seen_revision = max(int(call.start_revision) - 1, 0)
        silenced_at_start = self.faults.silenced_watches
        response = aiohttp.web.StreamResponse()
        await response.prepare(request)
        self.faults.open_watches += 1
        try:
            while not self.faults.away:
                if self.faults.silenced_watches != silenced_at_start:
                    await asyncio.Event().wait()
                stored = self.keys.get(key)
                if stored is not None and stored.mod_revision > seen_revision:
                    seen_revision = stored.mod_revision
                    event = WatchEvent("PUT", self._describe(key))
                    line = WatchLine(WatchResult(self._header(), [event]))
                    await response.write(msgspec.json.encode(line) + b"\n")
                else:
                    async with self._changed:
                        await self._changed.wait()
        finally:
            self.faults.open_watches -= 1
        return response

    async def _suffer(self) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.away:
            raise aiohttp.web.HTTPServiceUnavailable()

    def _lose_answer(self, request: aiohttp.web.Request) -> None:
        if self.faults.lost_answers > 0 and request.transport is not None:
            self.faults.lost_answers -= 1
            request.transport.abort()

    def _holds(self, condition: Compare) -> bool:
        stored = self.keys.get(base64.b64decode(condition.key))
        return (stored.mod_revision if stored else 0) == int(condition.mod_revision)

    async def _store(self, puts: list[PutCall]) -> None:
        values = [base64.b64decode(put.value) for put in puts]
        if any(len(value) > VALUE_LIMIT_BYTES for value in values):
            raise aiohttp.web.HTTPRequestEntityTooLarge(VALUE_LIMIT_BYTES, max(map(len, values)))
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

    def _header(self) -> Header:
        return Header(str(self.revision))

    def _describe(self, key: bytes) -> KvAnswer:
        stored = self.keys[key]
        return KvAnswer(
            base64.b64encode(key).decode(),
            base64.b64encode(stored.value).decode(),
            str(stored.create_revision),
            str(stored.mod_revision),
            str(stored.version),
        )


def _answer(record: msgspec.Struct) -> aiohttp.web.Response:
    return aiohttp.web.Response(body=msgspec.json.encode(record), content_type="application/json")
