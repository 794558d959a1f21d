"""Many answers without end at once, while one daemon process serves other callers."""

import asyncio
import contextlib
import pathlib
import signal
import socket
from collections.abc import AsyncIterator

import pytest
from tools import processes

from tanagerfork.relay import memory
from tanagerfork_standins.platform import site
from tests.relay import deployments, test_endless, test_slow_readers

MEMORY_MB = 222.0  # Of the platform's VMs.
ENDLESS_REQUESTS = 60  # Of 16 MB each, 960 MB.
SAMPLE_S = 0.02
SAMPLES = 75
ANSWER_S = 5.0
KINDS = ["no answer", "zeros", "informational answers", "body without a length", "chunks"]


@contextlib.asynccontextmanager
async def run_process(
    deployed_site: site.Site, folder: pathlib.Path
) -> AsyncIterator[processes.Daemon]:
    port = int(deployed_site.address.rpartition(":")[2])
    daemon = processes.Daemon("d0", folder, port, memory_mb=MEMORY_MB)
    await daemon.start()
    try:
        yield daemon
    finally:
        daemon.send(signal.SIGKILL)
        assert daemon.process is not None
        await daemon.process.wait()
        daemon.close()


async def ask(daemon: processes.Daemon, path: str) -> bytes:
    """Return the status line of the answer that begins in time; empty if none does."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError), socket.socket() as caller:
        caller.setblocking(False)
        async with asyncio.timeout(ANSWER_S):
            await loop.sock_connect(caller, ("127.0.0.1", daemon.callers_port))
            await loop.sock_sendall(caller, test_slow_readers.make_request(path, 0))
            return (await loop.sock_recv(caller, 1 << 16)).partition(b"\r\n")[0]
    return b""


class TestManyEndless:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_memory_stays_below_its_limit_and_other_callers_are_served(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        async with (
            deployments.deploy(plain=0, daemon_count=0) as deployed,
            test_endless.run_upstream(deployed, kind) as upstream,
            run_process(deployed.site, tmp_path) as daemon,
        ):
            answer = b""
            while not answer.endswith(b"200 OK"):
                answer = await ask(daemon, "/stream/first")
                await asyncio.sleep(SAMPLE_S)
            endless = [
                asyncio.create_task(ask(daemon, f"/unsafe/{number}"))
                for number in range(ENDLESS_REQUESTS)
            ]
            others, most_bytes = [], 0
            for number in range(SAMPLES):
                await asyncio.sleep(SAMPLE_S)
                most_bytes = max(most_bytes, daemon.measure_resident_bytes())
                if number % 10 == 5:
                    others.append(asyncio.create_task(ask(daemon, f"/stream/{number}")))
            answers = await asyncio.gather(*others)
            for line in await asyncio.gather(*endless):
                assert line[len("HTTP/1.1 ") :][:3] in (b"502", b"504"), line
            assert most_bytes < MEMORY_MB * memory.MIB
            assert all(line.endswith(b"200 OK") for line in answers), answers
            await deployed.wait_until(lambda: not upstream.open_connections, "closed connections")
