"""Stand-in for a model engine on one VM."""

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

CACHE_EVENTS_KEPT = 1000
ANSWER_END = "[{request_id}]"


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """How fast the engines of a site are."""

    first_token_ms: float = 20.0
    token_gap_ms: float = 5.0
    report_lag_ms: float = 0.0
    event_lag: int = 2
    slots: int = 16
    cache_prefixes: int = 256


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What is wrong with one VM at the moment."""

    dead: bool = False
    paused: bool = False
    slowdown: float = 1.0
    silenced: int = 0
    refuse: int = 0
    cut_after_tokens: int = 0
    crossed: int = 0
    no_end: int = 0
    late_ms: int = 0
    garbage: int = 0
    lost_events: int = 0
    crash_word: str = ""


class Slots:
    """Places of continuous batching, given by priority and then by order of arrival."""

    __slots__ = ("size", "running", "_waiting", "_arrivals")

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for a place."""
        return sum(1 for _, _, place in self._waiting if not place.done())

    async def acquire(self, priority: int) -> None:
        """Wait for a place.

        :param priority: the higher goes first.
        """
        if self.running < self.size:
            self.running += 1
            return
        place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiting, (-priority, self._arrivals, place))
        try:
            await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give the place to the next request."""
        while self._waiting:
            place = heapq.heappop(self._waiting)[2]
            if not place.done():
                place.set_result(None)
                return
        self.running -= 1


class Engine:
    """One VM with its model engine on a listener of its own.

    :param entry: the VM as the platform lists it; its url is filled in at the start.
    :param fleet: all engines by VM, among which members find each other.
    :param store: weight store.
    :param speed: speed of the engine.
    """

    def __init__(
        self,
        entry: engine.VmEntry,
        fleet: dict[str, "Engine"],
        store: weights.WeightStore,
        speed: EngineSpeed,
        port: int = 0,
    ) -> None:
        self.entry = entry
        self.listener = listener.Listener(port)
        self.faults = EngineFaults()
        self.speed = speed
        self.streams = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self._fleet = fleet
        self._store = store
        self._loading: asyncio.Task[None] | None = None
        self._crashing: asyncio.Task[None] | None = None
        self._resumes = asyncio.Event()
        self._resumes.set()
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
        self.slots = Slots(self.speed.slots)
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque[engine.CacheEvent] = collections.deque(
            maxlen=CACHE_EVENTS_KEPT
        )
        self._event_sequence = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._report_sent: engine.EngineReport | None = None
        self._report_made_at = 0.0

    async def start(self) -> None:
        """Bind the port and serve."""
        await self.listener.start()
        self.entry.url = self.listener.url

    async def stop(self) -> None:
        """Close the port and end the loading."""
        if self._loading is not None:
            self._loading.cancel()
        await self.listener.stop()

    async def die(self) -> None:
        """Lose the process and all its connections."""
        self.faults.dead = True
        await self.stop()
        for other in self._fleet.values():
            if other is not self and self._shares_group(other):
                other.cut_all()

    async def come_back(self, same_incarnation: bool = False) -> None:
        """Start again, either empty or as if nothing happened.

        :param same_incarnation: keep incarnation, group and model.
        """
        if not same_incarnation:
            self._reset()
        self.faults.dead = False
        await self.listener.start()

    def pause(self) -> None:
        """Stop answering while connections stay open."""
        self.faults.paused = True
        self._resumes.clear()

    def resume(self) -> None:
        """Go on after a pause as if nothing happened."""
        self.faults.paused = False
        self._resumes.set()

    def cut_all(self) -> None:
        """Break all running answers, as engines do when a member is lost."""
        for task in list(self._tasks.values()):
            task.cancel()

    def is_present_for(self, other: "Engine") -> bool:
        """Return whether another member of the group can reach this one."""
        return not self.faults.dead and not self.faults.paused and self._shares_group(other)

    def _shares_group(self, other: "Engine") -> bool:
        mine, theirs = self.report, other.report
        return bool(mine.group) and (mine.group, mine.generation) == (
            theirs.group,
            theirs.generation,
        )

    def _make_report(self) -> engine.EngineReport:
        now = asyncio.get_running_loop().time()
        if (
            self._report_sent is not None
            and (now - self._report_made_at) * 1000 < self.speed.report_lag_ms
        ):
            return self._report_sent
        self.report.sequence += 1
        members = self._ordered_members()
        self._report_sent = msgspec.structs.replace(
            self.report,
            members=members,
            running=self.slots.running,
            waiting=self.slots.waiting,
            slots=self.slots.size,
            step_ms=self.speed.token_gap_ms * self.faults.slowdown,
            cache_sequence=self._event_sequence,
        )
        self._report_made_at = now
        return self._report_sent

    def _ordered_members(self) -> list[str]:
        return [
            vm
            for vm in self.report.members
            if vm == self.entry.vm or (vm in self._fleet and self._fleet[vm].is_present_for(self))
        ]

    async def _serve_report(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumes.wait()
        return _answer(self._make_report())

    async def _serve_cache_events(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumes.wait()
        after = int(request.query.get("after", "0"))
        visible = self._event_sequence - self.speed.event_lag
        events = [event for event in self._events if after < event.sequence <= visible]
        return _answer(engine.CacheEvents(incarnation=self.report.incarnation, events=events))

    async def _serve_order(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumes.wait()
        order = msgspec.json.decode(await request.read(), type=engine.Order)
        if self.entry.checks_fencing and order.fencing < self.report.fencing:
            refusal = engine.OrderAnswer(
                accepted=False, reason="old fencing number", fencing=self.report.fencing
            )
            return _answer(refusal)
        self.report.fencing = max(self.report.fencing, order.fencing)
        self._carry_out(order)
        return _answer(engine.OrderAnswer(accepted=True, fencing=self.report.fencing))

    def _carry_out(self, order: engine.Order) -> None:
        report = self.report
        if order.kind == "leave":
            self.cut_all()
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
                self.cut_all()
            report.group, report.generation = order.group, order.generation
            report.members = list(order.members)
        if has_weights:
            if report.state == "idle" and order.kind == "join":
                report.state = "ready"
            return
        report.state = "loading"
        report.model, report.version = order.model, order.version
        report.adapters = list(order.adapters)
        if self._loading is not None:
            self._loading.cancel()
        self._loading = asyncio.create_task(self._load())

    async def _load(self) -> None:
        await self._store.load()
        self.report.state = "ready" if self.report.group else "idle"

    async def _serve_cancel(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        await self._resumes.wait()
        task = self._tasks.get(request.headers.get("X-Attempt-Id", ""))
        if task is not None:
            task.cancel()
        return aiohttp.web.Response(status=204)

    def _refusal(self, request: aiohttp.web.Request) -> str:
        report = self.report
        own = (report.group, str(report.generation))
        named = tuple(
            request.headers.get(name, value)
            for name, value in zip(("X-Group", "X-Group-Generation"), own, strict=True)
        )
        if named != own:
            return "the engine is in another group or generation"
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return "told to refuse"
        if report.state != "ready" or not report.group:
            return f"the engine is {report.state}"
        if self._ordered_members() != report.members:
            return "a member of the group is missing"
        if report.members[0] != self.entry.vm:
            return "this member is not the first of its group"
        return ""

    async def _serve_chat(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        await self._resumes.wait()
        attempt_id = request.headers.get("X-Attempt-Id", "")
        body = await request.read()
        refusal = self._refusal(request)
        if refusal:
            headers = {"X-Attempt-Id": attempt_id, "X-Not-Run": "1"}
            return aiohttp.web.Response(status=503, text=refusal, headers=headers)
        chat = msgspec.json.decode(body, type=callers.ChatRequest)
        response = aiohttp.web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Attempt-Id": attempt_id}
        )
        task = asyncio.current_task()
        if task is not None:
            self._tasks[attempt_id] = task
        try:
            await self._generate(request, response, chat, attempt_id)
        except asyncio.CancelledError:
            if request.transport is not None:
                request.transport.abort()
            raise
        finally:
            self._tasks.pop(attempt_id, None)
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
            self._crash_on_marked(chat)
            await asyncio.sleep(self.faults.late_ms / 1000)
            await self._prefill(chat)
            await response.prepare(request)
            self.streams += 1
            words = make_words(chat, request_id)
            await self._write_tokens(response, words[offset:], attempt_id, chat.model)
        finally:
            self.slots.release()

    def _crash_on_marked(self, chat: callers.ChatRequest) -> None:
        word = self.faults.crash_word
        if word and any(word in message.content for message in chat.messages):
            self._crashing = asyncio.create_task(self.die())
            raise asyncio.CancelledError

    async def _prefill(self, chat: callers.ChatRequest) -> None:
        hashes = prefix.hash_prefixes(chat.messages)
        hits = sum(1 for prefix_hash in hashes if prefix_hash in self._cache)
        share = 1 - hits / (len(hashes) + 1)
        await asyncio.sleep(self.speed.first_token_ms * share * self.faults.slowdown / 1000)
        for prefix_hash in hashes:
            self._remember(prefix_hash)

    def _remember(self, prefix_hash: str) -> None:
        if prefix_hash in self._cache:
            self._cache.move_to_end(prefix_hash)
            return
        self._cache[prefix_hash] = None
        self._publish("stored", prefix_hash)
        if len(self._cache) > self.speed.cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, kind: str, prefix_hash: str) -> None:
        self._event_sequence += 1
        event = engine.CacheEvent(
            sequence=self._event_sequence,
            kind="stored" if kind == "stored" else "evicted",
            prefix=prefix_hash,
        )
        if self.faults.lost_events > 0:
            self.faults.lost_events -= 1
            return
        self._events.append(event)

    async def _write_tokens(
        self,
        response: aiohttp.web.StreamResponse,
        words: list[str],
        attempt_id: str,
        model: str,
    ) -> None:
        silenced_at_start = self.faults.silenced
        shown_id = attempt_id
        if self.faults.crossed > 0:
            self.faults.crossed -= 1
            shown_id = uuid.uuid4().hex
        for count, word in enumerate(words):
            await asyncio.sleep(self.speed.token_gap_ms * self.faults.slowdown / 1000)
            await self._resumes.wait()
            if self.faults.silenced != silenced_at_start:
                await asyncio.Event().wait()
            if 0 < self.faults.cut_after_tokens <= count:
                self.faults.cut_after_tokens = 0
                raise asyncio.CancelledError
            if self.faults.garbage > 0:
                self.faults.garbage -= 1
                await response.write(b"data: no answer\n\n")
            await response.write(make_chunk(shown_id, model, word))
        await response.write(make_chunk(shown_id, model, "", "stop"))
        if self.faults.no_end > 0:
            self.faults.no_end -= 1
        else:
            await response.write(b"data: [DONE]\n\n")
        await response.write_eof()


def make_words(chat: callers.ChatRequest, request_id: str) -> list[str]:
    """Make the answer to a request out of its last message's words.

    :param chat: request.
    :param request_id: id that ends the answer.
    :return: tokens of the answer.
    """
    words = [word + " " for word in chat.messages[-1].content.split()] or ["nothing "]
    return words[: max(chat.max_tokens - 1, 0)] + [ANSWER_END.format(request_id=request_id)]


def make_chunk(attempt_id: str, model: str, content: str, finish_reason: str = "") -> bytes:
    """Make one server-sent event of a streamed answer.

    :param attempt_id: attempt that the answer belongs to.
    :param model: model of the answer.
    :param content: token.
    :param finish_reason: why the answer ended, in its last event.
    :return: the event with its empty line.
    """
    ending = f'"{finish_reason}"' if finish_reason else "null"
    delta = msgspec.json.encode({"content": content} if content else {}).decode()
    return (
        f'data: {{"id":"{attempt_id}","object":"chat.completion.chunk","model":"{model}",'
        f'"choices":[{{"index":0,"delta":{delta},"finish_reason":{ending}}}]}}\n\n'
    ).encode()


def _answer(record: msgspec.Struct) -> aiohttp.web.Response:
    return aiohttp.web.Response(body=msgspec.json.encode(record), content_type="application/json")
