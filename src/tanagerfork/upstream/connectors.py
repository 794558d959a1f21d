"""Connector that does not take a late event loop for an upstream that takes no connection."""

from typing import Any

import aiohttp

from tanagerfork import lateness

# Tries whose time the event loop itself used up; two stalls shortly after each other take two.
MAX_LATE_TRIES = 2


class Connector(aiohttp.TCPConnector):
    """TCP connector that tries again if its own event loop used up the time for a connection.

    aiohttp has no public hook for this. No byte has been sent by then.

    :param options: options of `aiohttp.TCPConnector`.
    """

    async def _wrap_create_connection(self, *arguments: Any, **options: Any) -> Any:
        for _ in range(MAX_LATE_TRIES):
            with lateness.LoopLateness() as late:
                try:
                    return await super()._wrap_create_connection(*arguments, **options)
                except TimeoutError:
                    limit_s = options["timeout"].sock_connect
                    if limit_s is None or not late.has_used_up(limit_s):
                        raise
        return await super()._wrap_create_connection(*arguments, **options)
