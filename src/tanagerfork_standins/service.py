"""Stand-in for a plain service that appends records to a list."""

import asyncio
import dataclasses

import aiohttp.web
import msgspec

from tanagerfork_standins import listener


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """What is wrong with the service at the moment."""

    refuse: int = 0
    crash_before: int = 0
    crash_after: int = 0
    delay_ms: int = 0


class LedgerRecord(msgspec.Struct):
    """One record of the list, with what the caller sent."""

    number: int
    entry: msgspec.Raw


class Records:
    """The list that all upstreams of one service share."""

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: list[LedgerRecord] = []

    def append(self, entry: bytes) -> LedgerRecord:
        """Add one record.

        :param entry: JSON value.
        :return: the record with its number.
        """
        record = LedgerRecord(len(self.records) + 1, msgspec.Raw(entry))
        self.records.append(record)
        return record


class ServiceStandIn:
    """One upstream of a plain service: POST /COLLECTION appends, GET /COLLECTION lists.

    :param name: name of the upstream.
    :param collection: name of the list, such as pressings.
    :param records: list shared by the service's upstreams.
    :param port: TCP port; 0 lets the system choose.
    """

    __slots__ = ("name", "listener", "records", "faults", "calls")

    def __init__(self, name: str, collection: str, records: Records, port: int = 0) -> None:
        self.name = name
        self.listener = listener.Listener(port)
        self.records = records
        self.faults = ServiceFaults()
        self.calls = 0
        self.listener.app.router.add_get(f"/{collection}", self._list)
        self.listener.app.router.add_post(f"/{collection}", self._append)

    async def _list(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return _answer(request, 200, msgspec.json.encode(self.records.records))

    async def _append(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        self.calls += 1
        body = await request.read()
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return _answer(request, 503, b'{"refused": true}', refused=True)
        if self.faults.crash_before > 0:
            self.faults.crash_before -= 1
            _abort(request)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError:
            return _answer(request, 400, b'{"error": "not JSON"}')
        record = self.records.append(body)
        if self.faults.crash_after > 0:
            self.faults.crash_after -= 1
            _abort(request)
        return _answer(request, 201, msgspec.json.encode(record))


def _abort(request: aiohttp.web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _answer(
    request: aiohttp.web.Request, status: int, body: bytes, refused: bool = False
) -> aiohttp.web.Response:
    headers = {"X-Attempt-Id": request.headers.get("X-Attempt-Id", "")}
    if refused:
        headers["X-Not-Run"] = "1"
    return aiohttp.web.Response(
        status=status, body=body, content_type="application/json", headers=headers
    )
