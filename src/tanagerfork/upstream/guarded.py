"""Guarded connector: closes connections on which bytes arrive that nobody asked for.

An upstream may send a second copy of an answer late. aiohttp keeps what arrives on an idle
connection and takes it for the answer to the next request that is sent there. The ids of answers
tell that it is not, but by then the request has been sent in vain.

A faulty upstream may also send informational answers without end. aiohttp parses all that was
received at once, which would take most of the processor's time.

The connector has no public hook for either.
"""

import functools
from typing import Any

import aiohttp
from aiohttp import client_proto

from tanagerfork.upstream import connectors

MAX_INFORMATIONAL = 16  # Before one response; upstreams send none or one.
HEAD_SLICE_BYTES = 2048  # Fed to the parser at once until the head of the response is complete.


class GuardedHandler(client_proto.ResponseHandler):
    """Protocol of a connection that is closed if it receives bytes while it is idle."""

    is_idle = False
    has_head = False
    informational_count = 0

    def begin_exchange(self) -> None:
        """Expect the response to a request that is about to be sent."""
        self.is_idle = self.has_head = False
        self.informational_count = 0

    def data_received(self, data: bytes) -> None:
        """Close an idle connection; otherwise process the bytes."""
        if self.is_idle:
            self.close()
            return
        at = 0
        while not self.has_head and len(data) - at > HEAD_SLICE_BYTES:
            super().data_received(data[at : at + HEAD_SLICE_BYTES])
            at += HEAD_SLICE_BYTES
            if self.transport is None or self.exception() is not None:
                return  # What follows belongs to no response.
        super().data_received(data[at:] if at else data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a message from the parser; break off after too many informational ones."""
        if data[0].code >= 200 or data[0].code == 101:
            self.has_head = True
        else:
            self.informational_count += 1
        if self.informational_count <= MAX_INFORMATIONAL:
            super().feed_data(data, size)
        elif self.exception() is None:
            message = f"more than {MAX_INFORMATIONAL} informational responses"
            self.set_exception(aiohttp.ClientPayloadError(message))
            if self.transport is not None:
                self.transport.close()


class GuardedConnector(connectors.Connector):
    """TCP connector whose connections are guarded while they are pooled.

    :param options: options of `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = functools.partial(GuardedHandler, loop=self._loop)
        self._factory = factory

    async def _get(self, *arguments: Any) -> Any:
        connection = await super()._get(*arguments)
        if connection is not None and isinstance(connection.protocol, GuardedHandler):
            connection.protocol.begin_exchange()
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, GuardedHandler):
            protocol.is_idle = True
