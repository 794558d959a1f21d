"""Stand-in for a plain service that stores records in a list."""

import asyncio
import dataclasses

import aiohttp.web
import msgspec

from tanagerfork_standins import listener


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults injected into one upstream; all but `delay_ms` count how often they still occur.

    `crash_before` and `crash_after` abort the connection before or after the record is stored.
    """

    refuse: int = 0
    crash_before: int = 0
    crash_after: int = 0
    delay_ms: int = 0


class ServiceRecord(msgspec.Struct):
    """One record of the list, with the JSON value that the caller sent."""

    number: int
    entry: msgspec.Raw


class RecordList:
    """List of records, shared by all upstreams of one service."""

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: list[ServiceRecord] = []

    def append(self, entry: bytes) -> ServiceRecord:
        """Append one record.

        :param entry: JSON value.
        :return: the record with its number.
        """
        record = ServiceRecord(len(self.records) + 1, msgspec.Raw(entry))
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

    def __init__(self, name: str, collection: str, records: RecordList, port: int = 0) -> None:
        self.name = name
        self.listener = listener.Listener(port)
        self.records = records
        self.faults = ServiceFaults()
        self.calls = 0
        self.listener.app.router.add_get(f"/{collection}", self._serve_list)
        self.listener.app.router.add_post(f"/{collection}", self._serve_append)

    async def _serve_list(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        return _json_response(request, 200, msgspec.json.encode(self.records.records))

    async def _serve_append(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        self.calls += 1
        body = await request.read()
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return _json_response(request, 503, b'{"refused": true}', refused=True)
        if self.faults.crash_before > 0:
            self.faults.crash_before -= 1
            _abort_connection(request)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError:
            return _json_response(request, 400, b'{"error": "not JSON"}')
        record = self.records.append(body)
        if self.faults.crash_after > 0:
            self.faults.crash_after -= 1
            _abort_connection(request)
        return _json_response(request, 201, msgspec.json.encode(record))


def _abort_connection(request: aiohttp.web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _json_response(
    request: aiohttp.web.Request, status: int, body: bytes, refused: bool = False
) -> aiohttp.web.Response:
    headers = {"X-Attempt-Id": request.headers.get("X-Attempt-Id", "")}
    if refused:
        headers["X-Not-Run"] = "1"
    return aiohttp.web.Response(
        status=status, body=body, content_type="application/json", headers=headers
    )
