"""Stand-in for the metadata store of the platform."""

import asyncio
import base64
import dataclasses
import itertools
from typing import Protocol

import aiohttp.web
import msgspec

from tanagerfork import clock as clocks

MAX_HISTORY_EVENTS = 10_000
ENTRIES_PER_PAGE = 500
MAX_CHANGES_PER_CALL = 32


class Translator(Protocol):
    """Translates values between the store and the clients of one application."""

    def show(self, value: bytes) -> bytes:
        """Return a value of the store as the clients see it."""

    def accept(self, value: bytes) -> bytes:
        """Return a value that a client wrote as it is kept."""


class UnchangedValues:
    """Shows and accepts all values as they are."""

    def show(self, value: bytes) -> bytes:
        """Return the value."""
        return value

    def accept(self, value: bytes) -> bytes:
        """Return the value."""
        return value


TRANSLATOR: aiohttp.web.AppKey[Translator] = aiohttp.web.AppKey("translator")


@dataclasses.dataclass(slots=True)
class Item:
    """State of one key; in the history, `value` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults injected into the store.

    `error_status` is the status of the response to every call, 0 for no fault; `lost_responses` is
    how many further transactions are applied and their connections aborted without a response;
    with `is_silent`, no call gets a response.
    """

    error_status: int = 0
    lost_responses: int = 0
    is_silent: bool = False


class Store:
    """Key-value store with revisions, leases and watches, and fault injection.

    :param clock: clock for leases and watch timeouts.
    """

    __slots__ = (
        "_clock",
        "items",
        "revision",
        "_history",
        "era",
        "_leases",
        "_changed",
        "faults",
        "calls",
        "_lease_ids",
        "_dropped_revision",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.items: dict[str, Item] = {}
        self.era: int | None = None
        self.revision = 1
        self._history: list[Item] = []
        self._leases: dict[int, tuple[int, int]] = {}
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(77_000)
        self._dropped_revision = 0
        self.faults = Faults()
        self.calls: dict[str, int] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, without the access check that a transaction of a daemon has.

        :param key: key.
        :param value: value.
        :param lease: lease that the key expires with; 0 for none.
        :return: the new revision.
        """
        self.revision += 1
        current = self.items.get(key)
        created = current.created if current else self.revision
        self.items[key] = Item(key, value, self.revision, created, lease)
        self._append_to_history(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key, if it exists.

        :param key: key.
        """
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_to_history(Item(key, None, self.revision, 0))

    def restore(self, items: dict[str, Item], revision: int) -> None:
        """Go back to an earlier state, without leases, and begin the next era.

        :param items: items of that state.
        :param revision: its revision.
        """
        self.era = (self.era or 1) + 1
        self.items = {key: item for key, item in items.items() if not item.lease}
        self.revision = revision
        self._dropped_revision = 0
        self._leases.clear()
        self._history = [item for item in self._history if item.revision <= revision]
        self._notify_watches()

    def drop_history(self) -> None:
        """Drop the history, so that watches from an earlier revision get status 410."""
        self._dropped_revision = self.revision
        self._history.clear()
        self._notify_watches()

    def serve(self, app: aiohttp.web.Application, translator: Translator | None = None) -> None:
        """Add the routes of the store to an application.

        :param app: application of a listener.
        :param translator: translates the values for the clients of this application.
        """
        app[TRANSLATOR] = translator or UnchangedValues()
        app.middlewares.append(self._inject_faults)
        app.router.add_get("/kv-key", self._serve_read)
        app.router.add_get("/kv-range", self._serve_range)
        app.router.add_get("/kv-watch", self._serve_watch)
        app.router.add_post("/kv-txn", self._serve_txn)
        app.router.add_post("/kv-lease", self._serve_lease_grant)
        app.router.add_post("/kv-keep/{lease}", self._serve_lease_renewal)
        app.router.add_delete("/kv-lease-end/{lease}", self._serve_lease_end)

    def _append_to_history(self, item: Item) -> None:
        self._history.append(item)
        if len(self._history) > MAX_HISTORY_EVENTS:
            self._dropped_revision = self._history.pop(0).revision
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now_ms = self._clock.monotonic_ms()
        ended = {
            lease for lease, (_, expires_at_ms) in self._leases.items() if expires_at_ms <= now_ms
        }
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return True

    @aiohttp.web.middleware
    async def _inject_faults(
        self, request: aiohttp.web.Request, handler: aiohttp.typedefs.Handler
    ) -> aiohttp.web.StreamResponse:
        call = request.path.split("/")[1]
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.faults.is_silent:
            await asyncio.Event().wait()
        if self.faults.error_status:
            return aiohttp.web.Response(status=self.faults.error_status)
        self._expire_leases()
        response = await handler(request)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        if request.method == "POST" and call == "kv-txn" and self.faults.lost_responses:
            self.faults.lost_responses -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _serve_read(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return aiohttp.web.Response(status=404)
        entry = _make_entry(item, request.app[TRANSLATOR])
        return _json_response({**entry, "storeRevision": self.revision})

    async def _serve_range(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:ENTRIES_PER_PAGE]
        return _json_response(
            {
                "entries": [_make_entry(item, request.app[TRANSLATOR]) for item in page],
                "truncated": len(page) < len(found),
                "storeRevision": self.revision,
            }
        )

    async def _serve_watch(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        deadline_ms = self._clock.monotonic_ms() + int(request.query["waitMs"])
        while True:
            if after < self._dropped_revision or after > self.revision:
                return aiohttp.web.Response(status=410)
            found = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if found or left_ms <= 0:
                events = [_make_entry(item, request.app[TRANSLATOR]) for item in found]
                return _json_response({"events": events, "storeRevision": self.revision})
            changed = self._changed
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _serve_txn(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        change = msgspec.json.decode(await request.read())
        expected, writes = change.get("expected", []), change.get("writes", [])
        deletes = change.get("deletes", [])
        if len(expected) + len(writes) + len(deletes) > MAX_CHANGES_PER_CALL:
            return aiohttp.web.Response(status=400)
        for entry in [*writes, *({"key": key} for key in deletes)]:
            if entry["key"].startswith(("op/", "servers/")):
                return aiohttp.web.Response(status=403)
        for entry in expected:
            current = self.items.get(entry["key"])
            if (current.revision if current else 0) != entry["revision"]:
                entries = [_make_entry(current, request.app[TRANSLATOR])] if current else []
                return _json_response({"entries": entries}, status=412)
        if any(entry.get("lease") and entry["lease"] not in self._leases for entry in writes):
            return aiohttp.web.Response(status=404)
        for entry in writes:
            value = request.app[TRANSLATOR].accept(base64.b64decode(entry["value"]))
            self.put(entry["key"], value, entry.get("lease", 0))
        for key in deletes:
            self.remove(key)
        return _json_response({"revision": self.revision})

    async def _serve_lease_grant(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttlMs"]
        lease = next(self._lease_ids)
        self._leases[lease] = ttl_ms, self._clock.monotonic_ms() + ttl_ms
        return _json_response({"lease": lease, "ttlMs": ttl_ms})

    async def _serve_lease_renewal(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return aiohttp.web.Response(status=404)
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = ttl_ms, self._clock.monotonic_ms() + ttl_ms
        return _json_response({"ttlMs": ttl_ms})

    async def _serve_lease_end(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        has_ended = self._end_lease(int(request.match_info["lease"]))
        return aiohttp.web.Response(status=200 if has_ended else 404)


def _make_entry(item: Item, translator: Translator) -> dict[str, object]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "removed": True}
    return {
        "key": item.key,
        "value": base64.b64encode(translator.show(item.value)).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _json_response(body: dict[str, object], status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
