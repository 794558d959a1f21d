"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import dataclasses
import itertools

import aiohttp.web
import msgspec

from tanagerfork import clock as clocks

HISTORY_EVENTS = 10_000
ENTRIES_PER_PAGE = 500
CHANGES_PER_CALL = 32


@dataclasses.dataclass(slots=True)
class Item:
    """One key; `value` is None in the history where the key was removed."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong.

    `refuses` answers every call with this status; `loses_answers` carries out so many changes and
    breaks the connection; `is_silent` never answers.
    """

    refuses: int = 0
    loses_answers: int = 0
    is_silent: bool = False


class Store:
    """Keys with revisions, leases and watches, and what can go wrong with them.

    :param clock: clock of the leases.
    """

    __slots__ = (
        "_clock",
        "items",
        "revision",
        "_history",
        "_leases",
        "_changed",
        "faults",
        "calls",
        "_ids",
        "_dropped",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._history: list[Item] = []
        self._leases: dict[int, tuple[int, int]] = {}
        self._changed = asyncio.Event()
        self._ids = itertools.count(77_000)
        self._dropped = 0
        self.faults = Faults()
        self.calls: dict[str, int] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator, a runner or a daemon does.

        :param key: key.
        :param value: value.
        :param lease: lease that it lives as long as; 0 for none.
        :return: the new revision.
        """
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(key, value, self.revision, created, lease)
        self._note(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key.

        :param key: key.
        """
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(Item(key, None, self.revision, 0))

    def forget_history(self) -> None:
        """Drop the history, so that watches from before get 410."""
        self._dropped = self.revision
        self._history.clear()
        self._wake()

    def serve(self, app: aiohttp.web.Application) -> None:
        """Add the store's calls to an application.

        :param app: application of a listener.
        """
        app.middlewares.append(self._fail)
        app.router.add_get("/kv-key", self._read)
        app.router.add_get("/kv-range", self._read_range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._change)
        app.router.add_post("/kv-lease", self._grant)
        app.router.add_post("/kv-keep/{lease}", self._keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._end)

    def _note(self, item: Item) -> None:
        self._history.append(item)
        if len(self._history) > HISTORY_EVENTS:
            self._dropped = self._history.pop(0).revision
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now_ms = self._clock.monotonic_ms()
        ended = {lease for lease, (_, ends_ms) in self._leases.items() if ends_ms <= now_ms}
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return True

    @aiohttp.web.middleware
    async def _fail(
        self, request: aiohttp.web.Request, handler: aiohttp.typedefs.Handler
    ) -> aiohttp.web.StreamResponse:
        call = request.path.split("/")[1]
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.faults.is_silent:
            await asyncio.Event().wait()
        if self.faults.refuses:
            return aiohttp.web.Response(status=self.faults.refuses)
        self._expire()
        response = await handler(request)
        if request.method == "POST" and call == "kv-txn" and self.faults.loses_answers:
            self.faults.loses_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _read(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return aiohttp.web.Response(status=404)
        return _answer({**_describe(item), "storeRevision": self.revision})

    async def _read_range(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:ENTRIES_PER_PAGE]
        return _answer(
            {
                "entries": [_describe(item) for item in page],
                "truncated": len(page) < len(found),
                "storeRevision": self.revision,
            }
        )

    async def _watch(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        ends_ms = self._clock.monotonic_ms() + int(request.query["waitMs"])
        while True:
            if after < self._dropped:
                return aiohttp.web.Response(status=410)
            found = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_ms = ends_ms - self._clock.monotonic_ms()
            if found or left_ms <= 0:
                events = [_describe(item) for item in found]
                return _answer({"events": events, "storeRevision": self.revision})
            changed = self._changed
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _change(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        change = msgspec.json.decode(await request.read())
        expected, writes = change.get("expected", []), change.get("writes", [])
        deletes = change.get("deletes", [])
        if len(expected) + len(writes) + len(deletes) > CHANGES_PER_CALL:
            return aiohttp.web.Response(status=400)
        for row in [*writes, *({"key": key} for key in deletes)]:
            if row["key"].startswith(("op/", "servers/")):
                return aiohttp.web.Response(status=403)
        for row in expected:
            known = self.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                entries = [_describe(known)] if known else []
                return _answer({"entries": entries}, status=412)
        if any(row.get("lease") and row["lease"] not in self._leases for row in writes):
            return aiohttp.web.Response(status=404)
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in deletes:
            self.remove(key)
        return _answer({"revision": self.revision})

    async def _grant(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttlMs"]
        lease = next(self._ids)
        self._leases[lease] = ttl_ms, self._clock.monotonic_ms() + ttl_ms
        return _answer({"lease": lease, "ttlMs": ttl_ms})

    async def _keep(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return aiohttp.web.Response(status=404)
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = ttl_ms, self._clock.monotonic_ms() + ttl_ms
        return _answer({"ttlMs": ttl_ms})

    async def _end(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        has_ended = self._end_lease(int(request.match_info["lease"]))
        return aiohttp.web.Response(status=200 if has_ended else 404)


def _describe(item: Item) -> dict[str, object]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "removed": True}
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _answer(body: dict[str, object], status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
