"""The platform's metadata store as a `key_value.KeyValue`."""

import asyncio
import base64
import re
import urllib.parse
from collections.abc import AsyncIterator
from typing import TypeVar

import aiohttp
import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork import metrics as metric
from tanagerfork.storage import key_value

WATCH_WAIT_MS = 2500  # A silent connection is noticed within the store's stability period.
WATCH_SLACK_MS = 700  # Two slow responses of the store.
RETRY_PAUSE_MS = 250
ERA_HEADER = "Store-Era"  # Rises by one each time that the store is restored from a copy.
ERA = re.compile("[0-9]{1,6}")
RESTORED = "the store was restored from a copy; read it again"
MAX_BODY_S = 10.0  # Of one response whose bytes keep arriving.
MAX_BODY_BYTES = 16 * 1024 * 1024  # Ten times the largest value, encoded.
FENCE_PREFIX = "tanagerfork/eras/"
MAX_FENCES = 8  # Restores in the seconds for which a write may be late; at most 32 rows in all.
MAX_PAGES = 100  # Of one range: 50,000 items, more than any deployment stores.


class _Item(msgspec.Struct):
    """`revision` is that of the item's last change."""

    key: str
    value: str = ""
    revision: int = 0
    removed: bool = False


class _Range(msgspec.Struct, rename="camel"):
    entries: list[_Item] = []
    truncated: bool = False
    store_revision: int = 0


class _Watch(msgspec.Struct, rename="camel"):
    events: list[_Item] = []
    store_revision: int = 0


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Change(msgspec.Struct):
    expected: list[_Expected] = []
    writes: list[_Write] = []
    deletes: list[str] = []


class _Changed(msgspec.Struct):
    revision: int = 0


class _LeaseCall(msgspec.Struct, rename="camel"):
    ttl_ms: int


class _Lease(msgspec.Struct, rename="camel"):
    lease: int = 0
    ttl_ms: int = 0


ResponseT = TypeVar("ResponseT")


class PlatformStore:
    """Client of the platform's store.

    A write may take effect seconds late, after a restore from a copy, and the store gives revisions
    out again. Each write of a fenced key writes a further key that names its era, and is carried
    out only if the one of the next era does not exist, so that it replaces nothing that was written
    after a restore.

    :param session: HTTP session, closed by its owner.
    :param address: IP and port of the store.
    :param timeout_ms: how long a call may be silent, in milliseconds; a watch waits longer.
    :param metrics: metrics of the daemon.
    :param fenced_prefixes: prefixes of the keys that are fenced.
    """

    __slots__ = ("_session", "_base_url", "_timeout_s", "_metrics", "_era", "_fenced_prefixes")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_ms: int,
        metrics: metric.Metrics,
        fenced_prefixes: tuple[str, ...] = (),
    ) -> None:
        self._fenced_prefixes = fenced_prefixes
        self._metrics = metrics
        self._session = session
        self._base_url = f"http://{address}"
        self._timeout_s = timeout_ms / 1000
        self._era = 0

    @property
    def era(self) -> int:
        """Era of the store; see `key_value.KeyValue.era`."""
        return self._era

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key; see `key_value.KeyValue.read`."""
        reply = await self._call("GET", f"/kv-key?key={_quote(key)}", None, (200, 404))
        if isinstance(reply, result.Err):
            return reply
        status, body = reply.ok_value
        if status == 404:
            return result.Ok(None)
        return _decode(body, _Item).and_then(self._to_entry)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix; see `key_value.KeyValue.read_prefix`."""
        return (await self.read_snapshot(prefix)).map(lambda snapshot: snapshot.entries)

    async def read_snapshot(
        self, prefix: str, may_be_stale: bool = False
    ) -> result.Result[key_value.Snapshot, errors.PlatformError]:
        """Read all keys with a prefix; see `key_value.LeasingKeyValue.read_snapshot`."""
        found: list[key_value.Entry] = []
        after, revision = "", None
        era = None
        size_bytes = 0
        for _ in range(MAX_PAGES):
            query = f"/kv-range?prefix={_quote(prefix)}"
            query += f"&after={_quote(after)}" if after else ""
            query += "&staleOk=1" if may_be_stale else ""
            reply = await self._call("GET", query, None, (200,))
            if isinstance(reply, result.Err):
                return reply
            size_bytes += len(reply.ok_value[1])
            page = _decode(reply.ok_value[1], _Range)
            if isinstance(page, result.Err):
                return page
            if revision is None:  # Later pages may include newer changes, which the watch repeats.
                revision, era = page.ok_value.store_revision, self._era
            if era != self._era:
                return result.Err(errors.PlatformUnavailable(RESTORED))
            for item in page.ok_value.entries:
                entry = self._to_entry(item)
                if isinstance(entry, result.Ok):
                    found.append(entry.ok_value)
                after = item.key
            if not page.ok_value.truncated or not page.ok_value.entries:
                break
        newest = key_value.make_revision(self._era, revision or 0)
        return result.Ok(key_value.Snapshot(found, newest, size_bytes))

    async def await_changes(
        self, prefix: str, revision: int, wait_ms: int, limit_bytes: int | None = None
    ) -> result.Result[key_value.Changes, errors.PlatformError]:
        """Wait for changes; see `key_value.LeasingKeyValue.await_changes`."""
        after = key_value.read_number(revision)
        query = f"/kv-watch?prefix={_quote(prefix)}&after={after}&waitMs={wait_ms}"
        timeout_s = (wait_ms + WATCH_SLACK_MS) / 1000
        reply = await self._call("GET", query, None, (200,), timeout_s, limit_bytes)
        if isinstance(reply, result.Err):
            return reply
        if key_value.read_era(revision) != self._era:
            return result.Err(errors.PlatformUnavailable(RESTORED))
        decoded = _decode(reply.ok_value[1], _Watch)
        if isinstance(decoded, result.Err):
            return decoded
        # Events are in order, so that the last one of a key is its latest.
        latest = {item.key: item for item in decoded.ok_value.events}
        written = [self._to_entry(item) for item in latest.values() if not item.removed]
        return result.Ok(
            key_value.Changes(
                [entry.ok_value for entry in written if isinstance(entry, result.Ok)],
                [item.key for item in latest.values() if item.removed],
                max(
                    revision,
                    key_value.make_revision(self._era, decoded.ok_value.store_revision),
                ),
            )
        )

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key under its revision; see `key_value.KeyValue.swap`."""
        if revision != key_value.ABSENT and key_value.read_era(revision) != self._era:
            return result.Err(errors.Conflict(f"{key} was read before a restore; read it again"))
        era = self._era
        expected = _Expected(key, key_value.read_number(revision))
        change = _Change([expected], [_Write(key, _to_base64(value))])
        if era and key.startswith(self._fenced_prefixes):
            change.expected.append(_Expected(_make_fence_key(key, era + 1), key_value.ABSENT))
            change.writes += [
                _Write(_make_fence_key(key, passed), "")
                for passed in range(max(key_value.FIRST_ERA, era - MAX_FENCES) + 1, era + 1)
            ]
        changed = await self._change(key, change)
        if isinstance(changed, result.Ok) and era and era != self._era:
            message = f"{key} was written under a revision from before a restore; read it again"
            return result.Err(errors.Conflict(message))
        return changed

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys of a range; see `key_value.KeyValue.delete_range`."""
        found = await self.read_prefix(_common_prefix(first, after_last))
        if isinstance(found, result.Err):
            return found
        keys = [entry.key for entry in found.ok_value if first <= entry.key < after_last]
        for start in range(0, len(keys), 32):
            changed = await self._change(first, _Change(deletes=keys[start : start + 32]))
            if isinstance(changed, result.Err):
                return changed
        return result.Ok(len(keys))

    async def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Follow one key; see `key_value.KeyValue.watch`."""
        after = revision - 1
        while True:
            changes = await self.await_changes(key, after, WATCH_WAIT_MS)
            if isinstance(changes, result.Err):
                return
            after = changes.ok_value.revision
            for entry in changes.ok_value.written:
                if entry.key == key:
                    yield entry

    async def grant_lease(self, ttl_ms: int) -> result.Result[int, errors.PlatformError]:
        """Request a lease; see `key_value.LeasingKeyValue.grant_lease`."""
        reply = await self._call("POST", "/kv-lease", _LeaseCall(ttl_ms), (200,))
        if isinstance(reply, result.Err):
            return reply
        return _decode(reply.ok_value[1], _Lease).map(lambda lease: lease.lease)

    async def renew_lease(self, lease: int) -> result.Result[bool, errors.PlatformError]:
        """Renew a lease; see `key_value.LeasingKeyValue.renew_lease`."""
        reply = await self._call("POST", f"/kv-keep/{lease}", None, (200, 404))
        return reply.map(lambda status_and_body: status_and_body[0] == 200)

    async def end_lease(self, lease: int) -> result.Result[bool, errors.PlatformError]:
        """End a lease; see `key_value.LeasingKeyValue.end_lease`."""
        reply = await self._call("DELETE", f"/kv-lease-end/{lease}", None, (200, 404))
        return reply.map(lambda status_and_body: status_and_body[0] == 200)

    async def put_leased(
        self, key: str, value: bytes, lease: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key bound to a lease; see `key_value.LeasingKeyValue.put_leased`."""
        return await self._change(key, _Change(writes=[_Write(key, _to_base64(value), lease)]))

    async def _change(self, key: str, change: _Change) -> result.Result[int, errors.PlatformError]:
        reply = await self._call("POST", "/kv-txn", change, (200, 404, 412))
        if isinstance(reply, result.Err):
            return reply
        status, body = reply.ok_value
        if status == 412:
            return result.Err(errors.Conflict(f"{key} was changed by another write; read it again"))
        if status == 404:
            return result.Err(errors.Conflict(f"the lease of {key} has ended; request a new one"))
        return _decode(body, _Changed).map(
            lambda changed: key_value.make_revision(self._era, changed.revision)
        )

    def _to_entry(self, item: _Item) -> result.Result[key_value.Entry, errors.PlatformError]:
        try:
            value = base64.b64decode(item.value)
        except ValueError as error:
            return result.Err(
                errors.AnswerLost(f"{item.key} has a value that is not base64 ({error}); read back")
            )
        revision = key_value.make_revision(self._era, item.revision)
        return result.Ok(key_value.Entry(item.key, value, revision))

    def _is_of_present_era(self, text: str | None) -> bool:
        """Take on the era of an answer; return whether it is not of an earlier one."""
        if text is None or not ERA.fullmatch(text.strip()):
            if text is not None:
                self._metrics.count("store_eras_unreadable_total")
            return True
        era = int(text)
        if era > self._era:
            if self._era:
                self._metrics.count("store_restores_total")
            self._era = era
        return era == self._era

    async def _read_body(
        self, response: aiohttp.ClientResponse, silence: asyncio.Timeout, limit_bytes: int
    ) -> bytes | None:
        """Return the body of a response, None if it exceeds a limit.

        Its bytes may take longer than the call may be silent.
        """
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + MAX_BODY_S
        body = bytearray()
        is_too_large = (response.content_length or 0) > limit_bytes
        while not is_too_large and (data := await response.content.readany()):
            body += data
            self._metrics.count("store_bytes_read_total", len(data))
            silence.reschedule(min(loop.time() + self._timeout_s, ends_at_s))
            is_too_large = len(body) > limit_bytes
        if is_too_large:
            response.close()
            return None
        return bytes(body)

    async def _call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None,
        expected: tuple[int, ...],
        timeout_s: float | None = None,
        limit_bytes: int | None = None,
    ) -> result.Result[tuple[int, bytes], errors.PlatformError]:
        self._metrics.count("store_calls_total", call=path.split("?")[0].split("/")[1])
        data = msgspec.json.encode(body) if body is not None else None
        headers = {"Content-Type": "application/json"} if data is not None else {}
        try:
            async with asyncio.timeout(timeout_s or self._timeout_s) as silence:
                async with self._session.request(
                    method, self._base_url + path, data=data, headers=headers
                ) as response:
                    response_body = await self._read_body(
                        response, silence, limit_bytes or MAX_BODY_BYTES
                    )
                    era_text = response.headers.get(ERA_HEADER)
        except aiohttp.ClientConnectorError:
            return result.Err(errors.PlatformUnavailable("the store is unreachable; retry later"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = type(error).__name__
            return result.Err(
                errors.AnswerLost(f"the store did not respond ({kind}); read back before retrying")
            )
        if not self._is_of_present_era(era_text):
            message = "the answer is from before the store was restored; read back before retrying"
            return result.Err(errors.AnswerLost(message))
        if response_body is None:
            message = f"the answer exceeds {limit_bytes or MAX_BODY_BYTES} bytes; read the keys"
            return result.Err(errors.ChangesTooLarge(message))
        if response.status in expected:
            return result.Ok((response.status, response_body))
        message = f"the store refused the call (status {response.status}); retry later"
        return result.Err(errors.PlatformUnavailable(message))


def _decode(body: bytes, kind: type[ResponseT]) -> result.Result[ResponseT, errors.PlatformError]:
    try:
        return result.Ok(decoding.decode_json(body, kind))
    except msgspec.MsgspecError as error:
        return result.Err(
            errors.AnswerLost(f"the store's response is malformed ({error}); read back")
        )


def _make_fence_key(key: str, era: int) -> str:
    return f"{FENCE_PREFIX}{era}/{key}"


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="/")


def _common_prefix(first: str, after_last: str) -> str:
    end = 0
    while end < min(len(first), len(after_last)) and first[end] == after_last[end]:
        end += 1
    return first[:end]
