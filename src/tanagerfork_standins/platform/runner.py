"""Stand-in for a runner of the platform, which answers requests and forms groups on order."""

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Callable

import aiohttp.web
import msgspec

from tanagerfork_standins import listener, transports
from tanagerfork_standins.platform import raw_responses, store

REQUEST_ID_HEADER = "Tanagerfork-Request-Id"
EVENT_GAP_S = 0.01
TRICKLE_GAP_S = 0.1


class Fault(enum.Enum):
    """Fault that a runner shows on one request."""

    NONE = "none"
    FULL = "full"  # Refused, with the header that says it has not run.
    FULL_SILENTLY = "full_silently"  # Refused without that header.
    FAILS = "fails"  # Runs, and fails with the status `failure_status`.
    RESETS = "resets"  # Runs, and the connection is aborted before the response.
    CRASHES = "crashes"  # As RESETS, and the runner shows a new start time.
    EXITS = "exits"  # Runs, and the runner crashes and starts again `down_s` later.
    RESETS_MIDWAY = "resets_midway"  # The connection is reset within the body.
    TRICKLES = "trickles"  # A stream stalls within its third event, and a byte comes now and then.
    TRUNCATES = "truncates"  # The body is shorter than its Content-Length.
    UNFRAMED = "unframed"  # The body has no length and ends with the connection.
    UNFRAMED_RESET = "unframed_reset"  # The same, and the connection is reset.
    UNFRAMED_PART = "unframed_part"  # The same, and a stream ends within an event.
    CROSSED = "crossed"  # The response carries the id of another request.
    EXTRA = "extra"  # A second response follows on the connection.
    NO_RECEIPT = "no_receipt"  # A success without the runner's stamp header.
    PACKED = "packed"  # The body has an encoding that was not requested.
    HANGS = "hangs"  # No response is ever sent.
    NO_BYTES = "no_bytes"  # The bytes sent are not an HTTP response.


@dataclasses.dataclass(slots=True)
class Membership:
    """Membership of a runner in a group, with its rank and state there."""

    name: str
    epoch: int
    rank: int
    state: str
    members: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """Request that a runner received; `has_run` is False if the response said so.

    `received_at_s` is the time of the event loop. `is_misdirected` is set if it was answered 421.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    has_run: bool
    received_at_s: float = 0.0
    is_misdirected: bool = False


class Runner:
    """Runner with an entry in the store.

    `waiting_count` is the number of waiting requests that it reports. While `answer_gate` is
    cleared, the runner is silent: it answers nothing, and its streams stand still.
    Answers to paths that start with `delayed_prefix` are delayed by `answer_delay_s`.
    `faults` holds the faults of its next requests, one each. `stream_gate` holds streams back while
    it is cleared. `observer` is called with "join", "run", "crash" and "miscount" when it joins a
    group, runs a request for a model, crashes, or is sent an order that expects another number of
    accepted orders. A request for a model crashes it if one of the shared parts of
    its prompt is in `crashing_parts`. `limit_per_s` is the number of requests that it says it takes
    from all daemons together, None for none. With `quiet_text` it refuses requests and sends the
    text as Retry-After; with `leaving_text` all its answers have the text as Server-Leaving. Its
    entry and its reports say that it is cold until `cold_until_s`, a time of the event loop.
    `padding_bytes` are added to each event, and to each answer to a path that starts with
    `padded_prefix`. A stream of which nothing is read for `unread_limit_s` is reset and counted in
    `unread_resets`. Its reports have the `extra_report_fields` too, and the ids of
    its events begin with `id_prefix`. A crashed runner starts again `down_s` later.

    :param runner_id: id of the runner.
    :param service: service that the runner belongs to.
    :param failure_domain: failure domain of the runner.
    :param fabric_domain: fabric domain; empty for a plain runner, which forms no groups.
    :param registry: store that the entry is written to.
    :param started_ms: start time, which distinguishes two processes under one id.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        failure_domain: str,
        fabric_domain: str,
        registry: store.Store,
        started_ms: int = 1,
    ) -> None:
        self.id = runner_id
        self.service = service
        self.failure_domain = failure_domain
        self.fabric_domain = fabric_domain
        self.started_ms = started_ms
        self.slots = 13
        self.events = 5
        self.waiting_count = 0
        self.padding_bytes = 0
        self.padded_prefix = "/"
        self.unread_limit_s: float | None = None
        self.unread_resets = 0
        self.faults: list[Fault] = []
        self.crashing_parts: set[str] = set()
        self.limit_per_s: float | None = None
        self.quiet_text: str | None = None
        self.leaving_text: str | None = None
        self.cold_until_s = 0.0
        self.extra_report_fields: dict[str, object] = {}
        self.id_prefix = ""
        self.failure_status = 500
        self.requests: list[ReceivedRequest] = []
        self.orders: list[dict[str, object]] = []
        self.order_count = 0
        self.staged: list[str] = []
        self.model = ""
        self.membership: Membership | None = None
        self.highest_epoch = 0
        self.is_draining = False
        self.is_listed = True
        self.stream_gate = asyncio.Event()
        self.stream_gate.set()
        self.answer_gate = asyncio.Event()
        self.answer_gate.set()
        self.answer_delay_s = 0.0
        self.delayed_prefix = "/"
        self._registry = registry
        self.address = ""
        self.observer: Callable[[Runner, str], None] = lambda runner, event: None
        self.down_s = 0.0
        self._restarting = asyncio.Lock()
        self._crash: asyncio.Task[None] | None = None
        self._open_streams: set[asyncio.Transport] = set()
        self._listener = listener.Listener()
        self._listener.app.router.add_get("/report", self._serve_report)
        self._listener.app.router.add_post("/order", self._serve_order)
        self._listener.app.router.add_route("*", "/{path:.*}", self._serve_request)

    async def start(self) -> None:
        """Open the port and write the entry to the store."""
        await self._listener.start()
        self.address = f"{listener.LOOPBACK}:{self._listener.port}"
        self.publish_entry()

    async def stop(self) -> None:
        """Close the port, but leave the entry in the store."""
        await self._listener.stop()

    async def crash(self) -> None:
        """Restart under the same id and with empty state, without removing the entry first."""
        async with self._restarting:
            await self._listener.stop()
            await asyncio.sleep(self.down_s)
            self.started_ms += 1
            self.membership, self.model = None, ""
            self.order_count = self.highest_epoch = 0
            await self._listener.start()
            self.publish_entry()

    def lose_state(self) -> None:
        """Reset all streams and show a new start time and no group, as after a quick restart."""
        self.observer(self, "crash")
        self.started_ms += 1
        self.membership, self.model = None, ""
        self.order_count = self.highest_epoch = 0
        for transport in self._open_streams:
            if not transport.is_closing():
                transports.reset(transport)
        self._open_streams.clear()
        self.publish_entry()

    def become_cold(self, cold_s: float) -> None:
        """Say from now on that the runner is cold.

        :param cold_s: how long it is cold, in seconds.
        """
        self.cold_until_s = asyncio.get_running_loop().time() + cold_s
        self.publish_entry()

    def count_last_second(self) -> int:
        """Return how many requests were received in the last second, without those of others."""
        since_s = asyncio.get_running_loop().time() - 1
        return sum(
            received.received_at_s > since_s and not received.is_misdirected
            for received in self.requests
        )

    def _measure_cold_left_ms(self) -> int:
        if not self.cold_until_s:
            return 0
        left_s = self.cold_until_s - asyncio.get_running_loop().time()
        return max(0, round(left_s * 1000))

    def publish_entry(self) -> None:
        """Write the current entry to the store, or remove it if the runner is not listed."""
        if self.is_listed:
            self._registry.put(f"servers/{self.id}", msgspec.json.encode(self.make_entry()))
        else:
            self._registry.remove(f"servers/{self.id}")

    def make_entry(self) -> dict[str, object]:
        """Return the entry of the runner in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": self._measure_cold_left_ms(),
            "seq": 1,
            "born": self.started_ms,
            **self._make_group_fields(),
        }

    def break_group(self) -> None:
        """Mark the group as broken, as its head does when it has lost a member."""
        if self.membership is not None:
            self.membership.state = "broken"
            self.publish_entry()

    def _make_group_fields(self) -> dict[str, object]:
        if not self.fabric_domain:
            return {}
        group = None
        if self.membership is not None:
            group = {
                "name": self.membership.name,
                "epoch": self.membership.epoch,
                "rank": self.membership.rank,
                "state": self.membership.state,
            }
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        return {
            "domain": self.fabric_domain,
            "staged": self.staged,
            "models": models,
            "group": group,
        }

    async def _serve_report(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self.answer_gate.wait()
        report = {
            "phase": "both",
            "busy": False,
            "seq": self.order_count,
            "queued": 0,
            "active": 0,
            "born": self.started_ms,
            "coldLeftMs": self._measure_cold_left_ms(),
            **self._make_group_fields(),
            **self.extra_report_fields,
        }
        headers = {"Tanagerfork-Cold-Ms": str(report["coldLeftMs"])}
        if self.leaving_text is not None:
            headers["Server-Leaving"] = self.leaving_text
        return aiohttp.web.Response(body=msgspec.json.encode(report), headers=headers)

    async def _serve_order(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        order = msgspec.json.decode(await request.read())
        await self.answer_gate.wait()
        self.orders.append(order)
        if request.headers.get("Tanagerfork-Expect-Instance", self.id) != self.id:
            return aiohttp.web.Response(status=421)
        status = self.handle_order(order)
        return aiohttp.web.Response(status=status)

    def handle_order(self, order: dict[str, object]) -> int:
        """Apply an order and publish its effect.

        :param order: order as received.
        :return: HTTP status of the response.
        """
        expected = order.get("expected")
        if expected is not None and expected != self.order_count:
            self.observer(self, "miscount")
            return 409
        status = self._apply_order(order)
        if status == 202 or (status == 200 and order["op"] == "leave"):
            self.order_count += 1
            self.publish_entry()
        return status

    def _apply_order(self, order: dict[str, object]) -> int:
        op, epoch = order["op"], order.get("epoch", 0)
        assert isinstance(epoch, int)
        membership = self.membership
        if op == "phase":
            self.staged = [str(order["model"])]
            return 202
        if op == "join":
            member_list = order["members"]
            assert isinstance(member_list, list)
            members = tuple(member_list)
            if epoch < self.highest_epoch:
                return 412
            if membership is not None and (membership.name, membership.epoch) == (
                order["group"],
                epoch,
            ):
                return 200 if membership.members == members else 412
            self.observer(self, "join")
            self.highest_epoch = epoch
            self.model = str(order["model"])
            self.staged = [self.model]
            rank = members.index(self.id)
            self.membership = Membership(str(order["group"]), epoch, rank, "ready", members)
            return 202
        if membership is None or (membership.name, membership.epoch) != (order["group"], epoch):
            return 409
        if op == "open":
            return self._change_state(membership, "open", ("ready",))
        if op == "close":
            return self._change_state(membership, "ready", ("open", "closing"))
        if op == "leave":
            self.membership = None
            return 200  # Complete at once, so not 202.
        return 400

    def _change_state(
        self, membership: Membership, state: str, allowed_states: tuple[str, ...]
    ) -> int:
        if membership.state == state:
            return 200
        if membership.state not in allowed_states:
            return 409
        membership.state = state
        return 202

    async def _serve_request(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        body = await request.read()
        await self.answer_gate.wait()
        if request.raw_path.startswith(self.delayed_prefix):
            await asyncio.sleep(self.answer_delay_s)
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        received = ReceivedRequest(
            request_id,
            request.method,
            request.raw_path,
            dict(request.headers),
            body,
            True,
            asyncio.get_running_loop().time(),
        )
        self.requests.append(received)
        headers = {REQUEST_ID_HEADER: request_id, "Tanagerfork-Server-Stamp": f"stamp-{self.id}"}
        headers["Tanagerfork-Load"] = f"1,{self.waiting_count},{self.slots}"
        if self.limit_per_s is not None:
            headers["Server-Limit"] = str(self.limit_per_s)
        if self.leaving_text is not None:
            headers["Server-Leaving"] = self.leaving_text
        is_wrong_runner = request.headers.get("Tanagerfork-Expect-Instance", self.id) != self.id
        is_not_serving = bool(self.fabric_domain) and (
            self.membership is None or self.membership.state != "open"
        )
        received.is_misdirected = is_wrong_runner or is_not_serving
        if is_wrong_runner or is_not_serving or fault is Fault.FULL:
            received.has_run = False
            headers["Tanagerfork-Not-Run"] = "1"
            if is_wrong_runner or is_not_serving:
                headers["At-Server"] = self.address
            return aiohttp.web.Response(
                status=421 if is_wrong_runner or is_not_serving else 503, headers=headers
            )
        if self.quiet_text is not None:
            received.has_run = False
            headers.update({"Tanagerfork-Not-Run": "1", "Retry-After": self.quiet_text})
            return aiohttp.web.Response(status=503, headers=headers)
        if request.headers.get("Tanagerfork-Model"):
            self.observer(self, "run")
            return await self._send_stream(request, headers, fault)
        return await self._send_answer(request, headers, fault)

    async def _send_answer(
        self, request: aiohttp.web.Request, headers: dict[str, str], fault: Fault
    ) -> aiohttp.web.StreamResponse:
        is_padded = request.raw_path.startswith(self.padded_prefix)
        padding = b"." * (self.padding_bytes if is_padded else 0)
        body = padding + f"answer of {self.id} to {request.raw_path}".encode()
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        if fault is Fault.HANGS:
            await asyncio.Event().wait()
        if fault is Fault.CRASHES:
            self.started_ms += 1
            self.publish_entry()
        if fault is Fault.EXITS:
            self._crash = asyncio.create_task(self.crash())
        if fault in (Fault.RESETS, Fault.CRASHES, Fault.EXITS):
            transport.abort()
        if fault in (Fault.FULL_SILENTLY, Fault.FAILS):
            status = 503 if fault is Fault.FULL_SILENTLY else self.failure_status
            return aiohttp.web.Response(status=status, headers=headers, body=b"failed\n\n")
        headers.update(_HEADERS_BY_FAULT.get(fault, {}))
        if fault is Fault.NO_RECEIPT:
            del headers["Tanagerfork-Server-Stamp"]
        make_raw_response = _RAW_RESPONSE_BY_FAULT.get(fault)
        if make_raw_response is not None:
            header_lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            transport.write(make_raw_response(header_lines.encode(), body))
            await asyncio.sleep(EVENT_GAP_S)
            if fault in (Fault.UNFRAMED_RESET, Fault.RESETS_MIDWAY):
                transports.reset(transport)
            transport.close()
        return aiohttp.web.Response(status=200, headers=headers, body=body)

    async def _send_stream(
        self, request: aiohttp.web.Request, headers: dict[str, str], fault: Fault
    ) -> aiohttp.web.StreamResponse:
        if fault is Fault.HANGS:
            await asyncio.Event().wait()
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET, Fault.UNFRAMED_PART):
            return await self._send_unframed_stream(request, headers, fault)
        if fault in _FAULTS_WITHOUT_EVENTS:
            return await self._send_answer(request, headers, fault)
        headers.update(_HEADERS_BY_FAULT.get(fault, {}))
        if fault is Fault.NO_RECEIPT:
            del headers["Tanagerfork-Server-Stamp"]
        response = aiohttp.web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        transport = request.transport  # None once the connection is closed.
        assert isinstance(transport, asyncio.Transport)
        self._open_streams.add(transport)
        try:
            with contextlib.suppress(ConnectionError):  # The daemon has closed the connection.
                await self._send_events(request, response, fault)
        finally:
            self._open_streams.discard(transport)
        return response

    async def _send_unframed_stream(
        self, request: aiohttp.web.Request, headers: dict[str, str], fault: Fault
    ) -> aiohttp.web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        header_lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        transport.write(f"HTTP/1.1 200 OK\r\n{header_lines}\r\n".encode())
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        last = self.events if fault is Fault.UNFRAMED else self.events - 2
        for event_id in range(first, last + 1):
            await asyncio.sleep(EVENT_GAP_S)
            transport.write(f"id: {event_id}\ndata: {self.id}\n\n".encode())
        await asyncio.sleep(EVENT_GAP_S)
        if fault is Fault.UNFRAMED_PART:
            transport.write(f"id: {last + 1}\ndata: par\n".encode())
        if fault is Fault.UNFRAMED_RESET:
            transports.reset(transport)
        transport.close()
        return aiohttp.web.Response()

    async def _send_events(
        self, request: aiohttp.web.Request, response: aiohttp.web.StreamResponse, fault: Fault
    ) -> None:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        if self.crashing_parts & _read_shared_parts(request):
            await response.write(b"id: 1")
            await asyncio.sleep(EVENT_GAP_S)
            self.lose_state()
            return
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for event_id in range(first, self.events + 1):
            await asyncio.sleep(EVENT_GAP_S)
            await self.answer_gate.wait()
            while fault is Fault.TRICKLES and event_id == first + 2:
                await response.write(b"i")
                await asyncio.sleep(TRICKLE_GAP_S)
            if fault is Fault.RESETS_MIDWAY and event_id == first + 2:
                await response.write(f"id: {event_id}\ndata: par".encode())
                await asyncio.sleep(EVENT_GAP_S)
                transports.reset(transport)
                return
            padding = "." * self.padding_bytes
            try:
                async with asyncio.timeout(self.unread_limit_s):
                    await response.write(
                        f"id: {self.id_prefix}{event_id}\ndata: {self.id}{padding}\n\n".encode()
                    )
            except TimeoutError:
                self.unread_resets += 1
                transports.reset(transport)
                return
            await self.stream_gate.wait()
        await response.write_eof()


def _read_shared_parts(request: aiohttp.web.Request) -> set[str]:
    """Return the ids of all parts of a request's prompt but the last."""
    parts = request.headers.get("Tanagerfork-Prefix-Hash", "").split(",")
    return {part.partition(":")[0] for part in parts[:-1]}


_FAULTS_WITHOUT_EVENTS = (Fault.FULL_SILENTLY, Fault.FAILS, Fault.RESETS, Fault.NO_BYTES)
_HEADERS_BY_FAULT = {
    Fault.CROSSED: {REQUEST_ID_HEADER: "another"},
    Fault.PACKED: {"Content-Encoding": "br"},
}
_RAW_RESPONSE_BY_FAULT = {
    Fault.TRUNCATES: raw_responses.make_truncated_response,
    Fault.RESETS_MIDWAY: raw_responses.make_truncated_response,
    Fault.UNFRAMED: raw_responses.make_unframed_response,
    Fault.UNFRAMED_RESET: raw_responses.make_unframed_response,
    Fault.EXTRA: raw_responses.make_two_responses,
    Fault.NO_BYTES: raw_responses.make_garbage,
}
