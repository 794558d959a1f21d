"""HTTP client of the daemons' operators' listeners."""

import contextlib
import dataclasses
import pathlib
import ssl
from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

import aiohttp
import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.cli import key_files
from tanagerfork.generated import bundle, callers, operators
from tanagerfork.upstream import guarded

READ_TIMEOUT_S = 5.0
ROLL_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 32

RecordT = TypeVar("RecordT")


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """Daemons to ask, with the token and certificates to use."""

    urls: Sequence[str]
    token: str = ""
    tls: ssl.SSLContext | None = None


def make_target(
    urls: Sequence[str], token_file: pathlib.Path | None, ca_file: pathlib.Path | None
) -> result.Result[Target, errors.OperatorError]:
    """Build a target from the command's options.

    :param urls: addresses of operators' listeners.
    :param token_file: file with the operators' token; None for none.
    :param ca_file: certificates to check the daemons against; None for the system's.
    :return: the target, or which option is invalid.
    """
    for url in urls:
        if not url.startswith(("http://", "https://")):
            message = f"--daemon {url}: is not a URL; write http://IP:PORT or https://IP:PORT"
            return result.Err(errors.UsageInvalid(message))
    token = ""
    if token_file is not None:
        read = key_files.read_private_file(token_file)
        if isinstance(read, result.Err):
            return read
        token = read.ok_value.decode(errors="replace").strip()
    tls = None
    if ca_file is not None:
        try:
            tls = ssl.create_default_context(cafile=ca_file)
        except (OSError, ssl.SSLError) as error:
            message = f"--ca-file {ca_file}: cannot be used ({error}); name a PEM file"
            return result.Err(errors.KeyFileInvalid(message))
    return result.Ok(Target([url.rstrip("/") for url in urls], token, tls))


class OperatorsClient:
    """Reads records from daemons and sends them signed bundles.

    :param session: HTTP session.
    :param target: token and certificates to use.
    """

    __slots__ = ("_session", "_headers", "_tls")

    def __init__(self, session: aiohttp.ClientSession, target: Target) -> None:
        self._session = session
        self._headers = {"Authorization": f"Bearer {target.token}"} if target.token else {}
        self._tls = target.tls if target.tls is not None else True

    async def read(
        self, url: str, path: str, record_type: type[RecordT]
    ) -> result.Result[RecordT, errors.OperatorError]:
        """Read a record.

        :param url: operators' listener.
        :param path: path with its query.
        :param record_type: type of the record.
        :return: the record, or why it could not be read.
        """
        return await self._call("GET", url + path, b"", READ_TIMEOUT_S, record_type)

    async def roll(
        self, url: str, call: operators.RollCall
    ) -> result.Result[bundle.Head, errors.OperatorError]:
        """Send a signed bundle.

        :param url: operators' listener.
        :param call: signed bundle.
        :return: the new head; `DaemonRefused` only where the bundle is certainly not in force.
        """
        body = msgspec.json.encode(call)
        return await self._call("POST", url + "/v1/bundle/roll", body, ROLL_TIMEOUT_S, bundle.Head)

    async def _call(
        self, method: str, url: str, body: bytes, timeout_s: float, record_type: type[RecordT]
    ) -> result.Result[RecordT, errors.OperatorError]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, data=body, headers=self._headers, ssl=self._tls, timeout=timeout
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            message = f"{url}: no connection ({_describe_error(error)}); check address and daemon"
            return result.Err(errors.DaemonUnreachable(message))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            message = f"{url}: no answer ({_describe_error(error)}); check network and daemon"
            return result.Err(errors.DaemonAnswerLost(message))
        if response.status != 200:
            return result.Err(_decode_refusal(url, response.status, content))
        try:
            return result.Ok(decoding.decode_json(content, record_type))
        except msgspec.MsgspecError as error:
            message = (
                f"{url}: the answer cannot be decoded ({error}); use a tool of the daemon's version"
            )
            return result.Err(errors.DaemonAnswerLost(message))


@contextlib.asynccontextmanager
async def connect(target: Target) -> AsyncIterator[OperatorsClient]:
    """Open a client and close its session on exit.

    :param target: token and certificates to use.
    """
    connector = guarded.GuardedConnector(limit=MAX_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield OperatorsClient(session, target)


def _decode_refusal(url: str, status: int, content: bytes) -> errors.OperatorError:
    try:
        refusal = decoding.decode_json(content, callers.ErrorAnswer).error
    except msgspec.MsgspecError:
        message = f"{url}: answered with status {status}; check that it is an operators' listener"
        return errors.DaemonAnswerLost(message)
    if refusal.ran != errors.NOT_RUN:
        return errors.DaemonAnswerLost(refusal.message)
    return errors.DaemonRefused(refusal.message, refusal.kind, refusal.retry_after_ms)


def _describe_error(error: Exception) -> str:
    return str(error).splitlines()[0] if str(error) else type(error).__name__
