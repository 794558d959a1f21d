"""Exchange: one daemon asks another and waits for its answer, until a deadline."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.generated import peers
from tanagerfork.peers import codec, composer

BODY_LIMIT_BYTES = codec.MESSAGE_LIMIT_BYTES - 1024
ANSWERED = "answered"
REFUSED = "refused"
ASKS_REMEMBERED = 1024
ASKS_AT_ONCE = 256

Handler = Callable[[str, bytes], Awaitable[bytes]]


class Sender(Protocol):
    """What the exchange needs of the service."""

    def compose_direct(self, kind: composer.Kind, peer: str) -> peers.PeerMessage:
        """Return a message without changes.

        :param kind: kind of the message.
        :param peer: receiver.
        """

    def send_direct(self, peer: str, message: peers.PeerMessage) -> bool:
        """Send a message.

        :param peer: receiver.
        :param message: message.
        :return: whether it was queued.
        """


class Exchange:
    """Pairs answers with asks, and runs the handlers of asks.

    :param sender: sends the messages.
    :param clock: clock to wait on.
    :param metrics: counters.
    """

    __slots__ = (
        "_sender",
        "_clock",
        "_metrics",
        "_handlers",
        "_waiting",
        "_next_id",
        "_handled",
        "_tasks",
    )

    def __init__(self, sender: Sender, clock: clocks.Clock, metrics: metric.Metrics) -> None:
        self._sender = sender
        self._clock = clock
        self._metrics = metrics
        self._handlers: dict[str, Handler] = {}
        self._waiting: dict[int, tuple[peers.PeerMessage, str, asyncio.Future[bytes | None]]] = {}
        self._next_id = 1
        self._handled: collections.OrderedDict[tuple[str, int, int], None] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def serve(self, kind: str, handler: Handler) -> None:
        """Have asks of a kind answered.

        :param kind: kind of the asks.
        :param handler: gets the asking daemon and the body, and returns the body of the answer.
        """
        self._handlers[kind] = handler

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Ask a daemon.

        :param peer: daemon.
        :param kind: kind of the ask.
        :param body: content.
        :param timeout_ms: time within which the answer is wanted.
        :return: the answer; `PeerUnreachable` where the ask certainly was not handled, `PeerSilent`
            where that is not known, `PeerRefused` where the peer could not answer.
        """
        if len(body) > BODY_LIMIT_BYTES:
            message = f"{len(body)} bytes are too many for {peer}; split the body"
            return result.Err(errors.PeerUnreachable(message))
        ask_id = self._next_id
        self._next_id += 1
        asked = self._compose_ask(peer, kind, body, timeout_ms, ask_id)
        future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self._waiting[ask_id] = asked, peer, future
        try:
            if not self._sender.send_direct(peer, asked):
                message = f"no link to {peer}; ask another daemon"
                return result.Err(errors.PeerUnreachable(message))
            answer = await asyncio.wait_for(future, timeout_ms / 1000)
        except TimeoutError:
            self._metrics.count("peer_asks_unanswered_total", kind=kind)
            message = f"{peer} did not answer in {timeout_ms} ms; find out what it did"
            return result.Err(errors.PeerSilent(message))
        finally:
            del self._waiting[ask_id]
        if answer is None:
            return result.Err(errors.PeerRefused(f"{peer} cannot answer; ask another daemon"))
        return result.Ok(answer)

    def take(self, message: peers.PeerMessage, delay_ms: int) -> None:
        """Take a proven message in.

        :param message: ask, answer or another one.
        :param delay_ms: longest time that it can have travelled.
        """
        if message.kind == "ask":
            self._take_ask(message, delay_ms)
        elif message.kind == "answer":
            waiting = self._waiting.get(message.ask_id)
            if waiting is not None and waiting[1] == message.sender and not waiting[2].done():
                waiting[2].set_result(message.body if message.subject == ANSWERED else None)
        elif message.kind == "hello":
            self._repeat_asks(message.sender)

    def stop(self) -> None:
        """End what is being handled."""
        for task in self._tasks:
            task.cancel()

    def _compose_ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int, ask_id: int
    ) -> peers.PeerMessage:
        asked = self._sender.compose_direct("ask", peer)
        asked.subject = kind
        asked.body = body
        asked.timeout_ms = timeout_ms
        asked.ask_id = ask_id
        return asked

    def _repeat_asks(self, peer: str) -> None:
        """Send asks again that the peer dropped because they proved nothing."""
        for ask_id, (asked, receiver, _) in list(self._waiting.items()):
            if receiver == peer:
                repeated = self._compose_ask(
                    peer, asked.subject, asked.body, asked.timeout_ms, ask_id
                )
                self._sender.send_direct(peer, repeated)

    def _take_ask(self, message: peers.PeerMessage, delay_ms: int) -> None:
        key = message.sender, message.incarnation, message.ask_id
        is_late = delay_ms >= message.timeout_ms
        if is_late or key in self._handled or len(self._tasks) >= ASKS_AT_ONCE:
            self._metrics.count("peer_asks_dropped_total", kind=message.subject)
            return
        self._handled[key] = None
        if len(self._handled) > ASKS_REMEMBERED:
            self._handled.popitem(last=False)
        task = asyncio.create_task(self._answer(message, message.timeout_ms - delay_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, message: peers.PeerMessage, timeout_ms: int) -> None:
        handler = self._handlers.get(message.subject)
        body: bytes | None = None
        if handler is not None:
            try:
                body = await asyncio.wait_for(
                    handler(message.sender, message.body), timeout_ms / 1000
                )
            except (TimeoutError, errors.AnswerWithheld):
                return
            except (errors.TanagerforkError, msgspec.MsgspecError):
                body = None
        answer = self._sender.compose_direct("answer", message.sender)
        answer.ask_id = message.ask_id
        answer.subject = REFUSED if body is None else ANSWERED
        answer.body = body or b""
        self._sender.send_direct(message.sender, answer)
