"""Guarded connector: closes connections on which improper answers or unrequested bytes arrive.

An upstream may send a second copy of an answer late. aiohttp keeps what arrives on an idle
connection and takes it for the answer to the next request that is sent there. The ids of answers
tell that it is not, but by then the request has been sent in vain.

aiohttp also accepts answers that are not proper, and parses all that was received at once, which
for informational answers without end would take most of the processor's time. So the bytes are
checked before it reads them.

The connector has no public hook for either.
"""

import functools
from typing import Any

from aiohttp import client_proto

from tanagerfork.upstream import answers, connectors, heads


class GuardedHandler(client_proto.ResponseHandler):
    """Protocol of a connection that takes proper answers to requests, and nothing else."""

    is_idle = False
    answer: answers.AnswerReader | None = None

    def set_response_params(self, **options: Any) -> None:
        """Expect the response to a request that is about to be sent."""
        self.is_idle = False
        self.answer = answers.AnswerReader(not options.get("skip_payload", False))
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Check and process bytes; close a connection that expects none."""
        if not data:  # The library resumes reading, also at the end of each body.
            super().data_received(data)
            return
        if self.is_idle or self.answer is None:
            self.close()
            return
        try:
            checked = self.answer.feed(data)
        except heads.ImproperAnswer as error:
            self._break_off(error)
            return
        if self.answer.has_excess:
            self.force_close()
        if checked:
            super().data_received(checked)

    def _break_off(self, error: heads.ImproperAnswer) -> None:
        # A complete body is that of the request before, and may still be unread.
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.close()


class GuardedConnector(connectors.Connector):
    """TCP connector whose connections are guarded, also while they are pooled.

    :param options: options of `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = functools.partial(GuardedHandler, loop=self._loop)
        self._factory = factory

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        if isinstance(protocol, GuardedHandler) and protocol.answer is not None:
            # The peer could close it while it is pooled, at the moment of the next request.
            should_close |= protocol.answer.idle_timeout_s <= (self._keepalive_timeout or 0.0)
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, GuardedHandler):
            protocol.is_idle = True
