"""Stand-in for the model engine of a VM."""

import asyncio
import collections
import dataclasses
import heapq
import uuid

import aiohttp.web
import msgspec

from tanagerfork.generated import callers, engine
from tanagerfork.upstream import prefix
from tanagerfork_standins import listener, weights

MAX_CACHE_EVENTS = 1000
ANSWER_END_FORMAT = "[{request_id}]"


@dataclasses.dataclass(slots=True)
class EngineProfile:
    """Timing and capacity of the engines of a site.

    `cache_event_lag` is how many of the newest cache events are not yet visible to callers.
    """

    first_token_ms: float = 20.0
    token_gap_ms: float = 5.0
    report_lag_ms: float = 0.0
    cache_event_lag: int = 2
    slots: int = 16
    cache_prefixes: int = 256


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults injected into one VM.

    Each increment of `silence_count` stalls only the responses that are open at that time.
    `refuse`, `crossed`, `no_end`, `garbage` and `lost_events` count remaining occurrences.
    """

    crashed: bool = False
    paused: bool = False
    slowdown: float = 1.0
    silence_count: int = 0
    refuse: int = 0
    cut_after_tokens: int = 0
    crossed: int = 0
    no_end: int = 0
    late_ms: int = 0
    garbage: int = 0
    lost_events: int = 0
    crash_word: str = ""


class Slots:
    """Slots of continuous batching, granted by priority and then by order of arrival."""

    __slots__ = ("size", "running", "_waiting", "_arrivals")

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(1 for _, _, granted in self._waiting if not granted.done())

    async def acquire(self, priority: int) -> None:
        """Wait for a slot.

        :param priority: priority of the request; higher values are served first.
        """
        if self.running < self.size:
            self.running += 1
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiting, (-priority, self._arrivals, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot, or pass it on to the next waiting request."""
        while self._waiting:
            granted = heapq.heappop(self._waiting)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1


class Engine:
    """One VM and its model engine, with its own HTTP listener.

    :param entry: the VM's entry in the platform's VM list; `start` sets its url.
    :param engines: all engines of the site by VM, in which members of a group look each other up.
    :param store: weight store.
    :param profile: timing and capacity of the engine.
    :param port: TCP port; 0 lets the system choose.
    """

    def __init__(
        self,
        entry: engine.VmEntry,
        engines: dict[str, "Engine"],
        store: weights.WeightStore,
        profile: EngineProfile,
        port: int = 0,
    ) -> None:
        self.entry = entry
        self.listener = listener.Listener(port)
        self.faults = EngineFaults()
        self.profile = profile
        self.streams = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self._engines = engines
        self._store = store
        self._load_task: asyncio.Task[None] | None = None
        self._crash_task: asyncio.Task[None] | None = None
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._reset()
        router = self.listener.app.router
        router.add_get("/report", self._serve_report)
        router.add_get("/cache-events", self._serve_cache_events)
        router.add_post("/order", self._serve_order)
        router.add_post("/cancel", self._serve_cancel)
        router.add_post("/v1/chat/completions", self._serve_chat)

    def _reset(self) -> None:
        self.report = engine.EngineReport(
            vm=self.entry.vm, incarnation=uuid.uuid4().hex[:12], sequence=0
        )
        self.slots = Slots(self.profile.slots)
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cache_events: collections.deque[engine.CacheEvent] = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )
        self._cache_event_sequence = 0
        self._chat_tasks: dict[str, asyncio.Task[None]] = {}
        self._last_report: engine.EngineReport | None = None
        self._last_report_at_s = 0.0

    async def start(self) -> None:
        """Bind the port and serve."""
        await self.listener.start()
        self.entry.url = self.listener.url

    async def stop(self) -> None:
        """Close the port and cancel the loading of weights."""
        if self._load_task is not None:
            self._load_task.cancel()
        await self.listener.stop()

    async def crash(self) -> None:
        """Simulate a crash: close all connections; others of the group abort their requests."""
        self.faults.crashed = True
        await self.stop()
        for other in self._engines.values():
            if other is not self and self._is_in_same_group(other):
                other.abort_requests()

    async def restart(self, same_incarnation: bool = False) -> None:
        """Restart after a crash.

        :param same_incarnation: keep incarnation, group and model; otherwise start empty.
        """
        if not same_incarnation:
            self._reset()
        self.faults.crashed = False
        await self.listener.start()

    def pause(self) -> None:
        """Stop responding, but keep connections open."""
        self.faults.paused = True
        self._resumed.clear()

    def resume(self) -> None:
        """Resume after a pause, with unchanged state."""
        self.faults.paused = False
        self._resumed.set()

    def abort_requests(self) -> None:
        """Abort all running requests, as engines do when a member of their group is lost."""
        for task in list(self._chat_tasks.values()):
            task.cancel()

    def is_reachable_from(self, other: "Engine") -> bool:
        """Return whether another engine can reach this one as a member of the same group."""
        return not self.faults.crashed and not self.faults.paused and self._is_in_same_group(other)

    def _is_in_same_group(self, other: "Engine") -> bool:
        own, peer = self.report, other.report
        return bool(own.group) and (own.group, own.generation) == (peer.group, peer.generation)

    def _make_report(self) -> engine.EngineReport:
        now = asyncio.get_running_loop().time()
        if (
            self._last_report is not None
            and (now - self._last_report_at_s) * 1000 < self.profile.report_lag_ms
        ):
            return self._last_report
        self.report.sequence += 1
        members = self._reachable_members()
        self._last_report = msgspec.structs.replace(
            self.report,
            members=members,
            running=self.slots.running,
            waiting=self.slots.waiting,
            slots=self.slots.size,
            step_ms=self.profile.token_gap_ms * self.faults.slowdown,
            cache_sequence=self._cache_event_sequence,
        )
        self._last_report_at_s = now
        return self._last_report

    def _reachable_members(self) -> list[str]:
        return [
            vm
            for vm in self.report.members
            if vm == self.entry.vm
            or (vm in self._engines and self._engines[vm].is_reachable_from(self))
        ]

    async def _serve_report(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumed.wait()
        return _json_response(self._make_report())

    async def _serve_cache_events(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumed.wait()
        after = int(request.query.get("after", "0"))
        visible = self._cache_event_sequence - self.profile.cache_event_lag
        batch = [event for event in self._cache_events if after < event.sequence <= visible]
        return _json_response(engine.CacheEvents(incarnation=self.report.incarnation, events=batch))

    async def _serve_order(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumed.wait()
        order = msgspec.json.decode(await request.read(), type=engine.Order)
        if self.entry.checks_fencing and order.fencing < self.report.fencing:
            refusal = engine.OrderAnswer(
                accepted=False, reason="old fencing number", fencing=self.report.fencing
            )
            return _json_response(refusal)
        self.report.fencing = max(self.report.fencing, order.fencing)
        self._apply_order(order)
        return _json_response(engine.OrderAnswer(accepted=True, fencing=self.report.fencing))

    def _apply_order(self, order: engine.Order) -> None:
        report = self.report
        if order.kind == "leave":
            self.abort_requests()
            report.group, report.generation, report.members = "", 0, []
            report.state = "idle" if report.state != "loading" else "loading"
            return
        has_weights = (report.model, report.version, report.adapters) == (
            order.model,
            order.version,
            order.adapters,
        )
        is_same_group = (report.group, report.generation) == (order.group, order.generation)
        if order.kind == "join":
            if not is_same_group:
                self.abort_requests()
            report.group, report.generation = order.group, order.generation
            report.members = list(order.members)
        if has_weights:
            if report.state == "idle" and order.kind == "join":
                report.state = "ready"
            return
        report.state = "loading"
        report.model, report.version = order.model, order.version
        report.adapters = list(order.adapters)
        if self._load_task is not None:
            self._load_task.cancel()
        self._load_task = asyncio.create_task(self._load())

    async def _load(self) -> None:
        await self._store.load()
        self.report.state = "ready" if self.report.group else "idle"

    async def _serve_cancel(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumed.wait()
        task = self._chat_tasks.get(request.headers.get("X-Attempt-Id", ""))
        if task is not None:
            task.cancel()
        return aiohttp.web.Response(status=204)

    def _find_refusal_reason(self, request: aiohttp.web.Request) -> str:
        report = self.report
        own = (report.group, str(report.generation))
        requested = tuple(
            request.headers.get(name, value)
            for name, value in zip(("X-Group", "X-Group-Generation"), own, strict=True)
        )
        if requested != own:
            return "the engine is in another group or generation"
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return "told to refuse"
        if report.state != "ready" or not report.group:
            return f"the engine is {report.state}"
        if self._reachable_members() != report.members:
            return "a member of the group is missing"
        if report.members[0] != self.entry.vm:
            return "this member is not the first of its group"
        return ""

    async def _serve_chat(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        await self._resumed.wait()
        attempt_id = request.headers.get("X-Attempt-Id", "")
        body = await request.read()
        refusal_reason = self._find_refusal_reason(request)
        if refusal_reason:
            headers = {"X-Attempt-Id": attempt_id, "X-Not-Run": "1"}
            return aiohttp.web.Response(status=503, text=refusal_reason, headers=headers)
        chat = msgspec.json.decode(body, type=callers.ChatRequest)
        response = aiohttp.web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Attempt-Id": attempt_id}
        )
        task = asyncio.current_task()
        if task is not None:
            self._chat_tasks[attempt_id] = task
        try:
            await self._generate(request, response, chat, attempt_id)
        except asyncio.CancelledError:
            if request.transport is not None:
                request.transport.abort()
            raise
        finally:
            self._chat_tasks.pop(attempt_id, None)
        return response

    async def _generate(
        self,
        request: aiohttp.web.Request,
        response: aiohttp.web.StreamResponse,
        chat: callers.ChatRequest,
        attempt_id: str,
    ) -> None:
        request_id = request.headers.get("X-Request-Id", "")
        offset = int(request.headers.get("X-Resume-Offset", "0"))
        await self.slots.acquire(int(request.headers.get("X-Priority", "0")))
        try:
            self.runs[request_id] += 1
            self._crash_on_word(chat)
            await asyncio.sleep(self.faults.late_ms / 1000)
            await self._prefill(chat)
            await response.prepare(request)
            self.streams += 1
            tokens = make_tokens(chat, request_id)
            await self._write_tokens(response, tokens[offset:], attempt_id, chat.model)
        finally:
            self.slots.release()

    def _crash_on_word(self, chat: callers.ChatRequest) -> None:
        word = self.faults.crash_word
        if word and any(word in message.content for message in chat.messages):
            self._crash_task = asyncio.create_task(self.crash())
            raise asyncio.CancelledError

    async def _prefill(self, chat: callers.ChatRequest) -> None:
        hashes = prefix.hash_prefixes(chat.messages)
        hits = sum(1 for prefix_hash in hashes if prefix_hash in self._cache)
        uncached = 1 - hits / (len(hashes) + 1)
        await asyncio.sleep(self.profile.first_token_ms * uncached * self.faults.slowdown / 1000)
        for prefix_hash in hashes:
            self._cache_prefix(prefix_hash)

    def _cache_prefix(self, prefix_hash: str) -> None:
        if prefix_hash in self._cache:
            self._cache.move_to_end(prefix_hash)
            return
        self._cache[prefix_hash] = None
        self._record_cache_event("stored", prefix_hash)
        if len(self._cache) > self.profile.cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self._record_cache_event("evicted", evicted)

    def _record_cache_event(self, kind: str, prefix_hash: str) -> None:
        self._cache_event_sequence += 1
        event = engine.CacheEvent(
            sequence=self._cache_event_sequence,
            kind="stored" if kind == "stored" else "evicted",
            prefix=prefix_hash,
        )
        if self.faults.lost_events > 0:
            self.faults.lost_events -= 1
            return
        self._cache_events.append(event)

    async def _write_tokens(
        self, response: aiohttp.web.StreamResponse, tokens: list[str], attempt_id: str, model: str
    ) -> None:
        silence_count_at_start = self.faults.silence_count
        response_id = attempt_id
        if self.faults.crossed > 0:
            self.faults.crossed -= 1
            response_id = uuid.uuid4().hex
        for count, token in enumerate(tokens):
            await asyncio.sleep(self.profile.token_gap_ms * self.faults.slowdown / 1000)
            await self._resumed.wait()
            if self.faults.silence_count != silence_count_at_start:
                await asyncio.Event().wait()
            if 0 < self.faults.cut_after_tokens <= count:
                self.faults.cut_after_tokens = 0
                raise asyncio.CancelledError
            if self.faults.garbage > 0:
                self.faults.garbage -= 1
                await response.write(b"data: no answer\n\n")
            await response.write(make_chunk(response_id, model, token))
        await response.write(make_chunk(response_id, model, "", "stop"))
        if self.faults.no_end > 0:
            self.faults.no_end -= 1
        else:
            await response.write(b"data: [DONE]\n\n")
        await response.write_eof()


def make_tokens(chat: callers.ChatRequest, request_id: str) -> list[str]:
    """Make the answer to a request from the words of its last message.

    :param chat: request.
    :param request_id: request id, which is the last token of the answer.
    :return: tokens of the answer.
    """
    tokens = [word + " " for word in chat.messages[-1].content.split()] or ["nothing "]
    return tokens[: max(chat.max_tokens - 1, 0)] + [ANSWER_END_FORMAT.format(request_id=request_id)]


def make_chunk(attempt_id: str, model: str, content: str, finish_reason: str = "") -> bytes:
    """Encode one server-sent event of a streamed answer.

    :param attempt_id: attempt that the answer belongs to.
    :param model: model of the answer.
    :param content: token; empty in the last event.
    :param finish_reason: why the answer ended; empty except in the last event.
    :return: the event with its terminating empty line.
    """
    ending = f'"{finish_reason}"' if finish_reason else "null"
    delta = msgspec.json.encode({"content": content} if content else {}).decode()
    return (
        f'data: {{"id":"{attempt_id}","object":"chat.completion.chunk","model":"{model}",'
        f'"choices":[{{"index":0,"delta":{delta},"finish_reason":{ending}}}]}}\n\n'
    ).encode()


def _json_response(record: msgspec.Struct) -> aiohttp.web.Response:
    return aiohttp.web.Response(body=msgspec.json.encode(record), content_type="application/json")
