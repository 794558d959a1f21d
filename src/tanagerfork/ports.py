"""Ports: opens listeners whose port another process may still hold for a moment."""

import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pynng

from tanagerfork import clock as clocks
from tanagerfork import errors

PORT_WAIT_MS = 5000  # Longer than a process that ends takes to release its ports.
PORT_RETRY_INTERVAL_MS = 100

T = TypeVar("T")


async def open_port(
    address: str,
    listen: Callable[[], Awaitable[T]],
    clock: clocks.Clock,
    note_taken: Callable[[str], object],
) -> T:
    """Open a listener; while its port is taken, try again for up to `PORT_WAIT_MS`.

    :param address: IP address and port.
    :param listen: opens the listener; called again after an attempt found the port taken.
    :param clock: clock to wait on.
    :param note_taken: called once with the reason where the first attempt finds the port taken.
    :return: result of `listen`.
    :raises SettingsError: the port is still taken, or the address cannot be bound.
    """
    give_up_at_ms = clock.monotonic_ms() + PORT_WAIT_MS
    is_noted = False
    while True:
        try:
            return await listen()
        except (OSError, pynng.NNGException) as error:
            if not _is_port_taken(error) or clock.monotonic_ms() >= give_up_at_ms:
                raise errors.SettingsError(
                    f"{address} cannot be bound ({error}); free the port or choose another"
                ) from error
            if not is_noted:
                is_noted = True
                note_taken(str(error))
        await clock.sleep_ms(PORT_RETRY_INTERVAL_MS)


def _is_port_taken(error: Exception) -> bool:
    if isinstance(error, OSError):
        return error.errno == errno.EADDRINUSE
    return isinstance(error, pynng.AddressInUse)
