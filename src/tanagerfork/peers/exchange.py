"""Exchange: requests between two daemons, with a deadline for the answer."""

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
MAX_REMEMBERED_REQUESTS = 1024  # To handle a resent request only once.
MAX_CONCURRENT_REQUESTS = 256

Handler = Callable[[str, bytes], Awaitable[bytes]]


class Sender(Protocol):
    """Sends messages on behalf of the exchange."""

    def compose_direct(self, kind: composer.Kind, peer: str) -> peers.PeerMessage:
        """Return a message without pending changes.

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
    """Matches answers to requests, and runs the handlers of incoming requests.

    :param sender: sends the messages.
    :param clock: clock to wait on.
    :param metrics: counters.
    """

    __slots__ = (
        "_sender",
        "_clock",
        "_metrics",
        "_handlers",
        "_pending",
        "_next_id",
        "_handled",
        "_tasks",
    )

    def __init__(self, sender: Sender, clock: clocks.Clock, metrics: metric.Metrics) -> None:
        self._sender = sender
        self._clock = clock
        self._metrics = metrics
        self._handlers: dict[str, Handler] = {}
        self._pending: dict[int, tuple[peers.PeerMessage, str, asyncio.Future[bytes | None]]] = {}
        self._next_id = 1
        self._handled: collections.OrderedDict[tuple[str, int, int], None] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def serve(self, kind: str, handler: Handler) -> None:
        """Register the handler for requests of a kind.

        :param kind: kind of the requests.
        :param handler: takes the requesting daemon and the body, and returns the answer's body.
        """
        self._handlers[kind] = handler

    async def ask(
        self, peer: str, kind: str, body: bytes, timeout_ms: int
    ) -> result.Result[bytes, errors.PeerError]:
        """Send a request to a daemon and wait for its answer.

        :param peer: daemon.
        :param kind: kind of the request.
        :param body: body of the request.
        :param timeout_ms: time to wait for the answer.
        :return: the answer; `PeerUnreachable` if the request certainly did not run, `PeerSilent` if
            that is unknown, `PeerRefused` if the peer could not answer.
        """
        if len(body) > BODY_LIMIT_BYTES:
            message = f"{len(body)} bytes exceed the limit of a request to {peer}; split the body"
            return result.Err(errors.PeerUnreachable(message))
        ask_id = self._next_id
        self._next_id += 1
        request = self._compose_request(peer, kind, body, timeout_ms, ask_id)
        future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self._pending[ask_id] = request, peer, future
        try:
            if not self._sender.send_direct(peer, request):
                message = f"no link to {peer}; try another daemon"
                return result.Err(errors.PeerUnreachable(message))
            answer = await asyncio.wait_for(future, timeout_ms / 1000)
        except TimeoutError:
            self._metrics.count("peer_asks_unanswered_total", kind=kind)
            message = (
                f"{peer} did not answer within {timeout_ms} ms; check if the request took effect"
            )
            return result.Err(errors.PeerSilent(message))
        finally:
            del self._pending[ask_id]
        if answer is None:
            return result.Err(errors.PeerRefused(f"{peer} refused the request; try another daemon"))
        return result.Ok(answer)

    def handle(self, message: peers.PeerMessage, delay_ms: int) -> None:
        """Process a fresh message.

        :param message: message of any kind.
        :param delay_ms: upper bound of its delay.
        """
        if message.kind == "ask":
            self._handle_request(message, delay_ms)
        elif message.kind == "answer":
            pending = self._pending.get(message.ask_id)
            if pending is not None and pending[1] == message.sender and not pending[2].done():
                pending[2].set_result(message.body if message.subject == ANSWERED else None)
        elif message.kind == "hello":
            self._resend_requests(message.sender)

    def stop(self) -> None:
        """Cancel the handlers that are running."""
        for task in self._tasks:
            task.cancel()

    def _compose_request(
        self, peer: str, kind: str, body: bytes, timeout_ms: int, ask_id: int
    ) -> peers.PeerMessage:
        request = self._sender.compose_direct("ask", peer)
        request.subject = kind
        request.body = body
        request.timeout_ms = timeout_ms
        request.ask_id = ask_id
        return request

    def _resend_requests(self, peer: str) -> None:
        """Resend pending requests that the peer dropped because their age was not proven."""
        for ask_id, (request, receiver, _) in list(self._pending.items()):
            if receiver == peer:
                resent = self._compose_request(
                    peer, request.subject, request.body, request.timeout_ms, ask_id
                )
                self._sender.send_direct(peer, resent)

    def _handle_request(self, message: peers.PeerMessage, delay_ms: int) -> None:
        key = message.sender, message.incarnation, message.ask_id
        is_late = delay_ms >= message.timeout_ms
        if is_late or key in self._handled or len(self._tasks) >= MAX_CONCURRENT_REQUESTS:
            self._metrics.count("peer_asks_dropped_total", kind=message.subject)
            return
        self._handled[key] = None
        if len(self._handled) > MAX_REMEMBERED_REQUESTS:
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
