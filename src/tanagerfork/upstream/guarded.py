"""Guarded connector: closes pooled connections on which bytes arrive that nobody asked for.

An upstream may send a second copy of an answer late. aiohttp keeps what arrives on an idle
connection and takes it for the answer to the next request that is sent there. The ids of answers
tell that it is not, but by then the request has been sent in vain. The connector has no public hook
for this.
"""

import functools
from typing import Any

from aiohttp import client_proto

from tanagerfork.upstream import connectors


class GuardedHandler(client_proto.ResponseHandler):
    """Protocol of a connection that is closed if it receives bytes while it is idle."""

    is_idle = False

    def data_received(self, data: bytes) -> None:
        """Close an idle connection; otherwise process the bytes."""
        if self.is_idle:
            self.close()
        else:
            super().data_received(data)


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
            connection.protocol.is_idle = False
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, GuardedHandler):
            protocol.is_idle = True
