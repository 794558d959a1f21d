"""Addresses of other processes: an IPv4 address and a port."""

import functools
import ipaddress
import re

PORT = re.compile("[0-9]{1,5}")
MAX_PORT = 65_535
MAX_CACHED = 4096  # More than a daemon connects to.


@functools.lru_cache(MAX_CACHED)
def is_valid(address: str) -> bool:
    """Return whether a connection to an address can be tried.

    :param address: IPv4 address and port, as in `10.0.0.1:8080`.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return PORT.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT
