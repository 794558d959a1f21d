"""Connections of the stand-ins."""

import asyncio
import contextlib
import socket
import struct


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset, as happens when a process ends with unread input.

    :param transport: connection.
    """
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):  # It is closed already.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
