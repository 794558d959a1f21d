"""The platform's list of live and leaving VMs."""

import asyncio
from typing import Protocol

import aiohttp
import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.generated import engine


class VmDirectory(Protocol):
    """Source of the VM list."""

    async def read(self) -> result.Result[engine.VmList, errors.PlatformError]:
        """Read the list, which lags behind the state of the VMs.

        :return: the list, or why it could not be read.
        """


class HttpVmDirectory:
    """The VM list over HTTP.

    :param session: HTTP session, closed by its owner.
    :param url: address of the list.
    :param timeout_ms: deadline of one call, in milliseconds.
    """

    __slots__ = ("_session", "_url", "_timeout_s")

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_ms: int) -> None:
        self._session = session
        self._url = url
        self._timeout_s = timeout_ms / 1000

    async def read(self) -> result.Result[engine.VmList, errors.PlatformError]:
        """Read the list; see `VmDirectory.read`."""
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._session.get(self._url) as response:
                    body = await response.read()
            if response.status != 200:
                message = (
                    f"the VM list returned status {response.status}, not 200; keep the last list"
                )
                return result.Err(errors.PlatformUnavailable(message))
            return result.Ok(decoding.decode_json(body, engine.VmList))
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            message = f"the VM list could not be read ({error!r}); keep the last list"
            return result.Err(errors.PlatformUnavailable(message))
