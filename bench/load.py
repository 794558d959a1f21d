"""Loads a running daemon with concurrent streams and prints its peak memory and CPU use.

For daemons that were started by hand, such as the six of the README.
"""

import asyncio
import pathlib
import sys
import time

from bench import relay

TICKS_PER_S = 100
SAMPLE_S = 1.0
SAMPLES = 60


def read_ticks(process: str) -> int:
    """Return the CPU time that a process has used, in clock ticks."""
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


async def load(url: str, token: str, streams: int, process: str) -> None:
    """Open streams and print the memory and CPU use of the daemon while they run.

    :param url: base address of the callers' listener.
    :param token: bearer token of a team.
    :param streams: number of concurrent streams.
    :param process: process id of the daemon.
    """
    headers = {"Authorization": f"Bearer {token}"}
    target = f"{url}/v1/chat/completions"
    print(f"at rest {relay.read_resident_mb(process):.1f} MB")
    started, started_ticks, most_mb = time.monotonic(), read_ticks(process), 0.0
    asked = asyncio.ensure_future(relay.stream_all(target, streams, headers))
    for _ in range(SAMPLES):
        if asked.done():
            break
        most_mb = max(most_mb, relay.read_resident_mb(process))
        await asyncio.wait([asked], timeout=SAMPLE_S)
    share = (read_ticks(process) - started_ticks) / TICKS_PER_S / (time.monotonic() - started)
    print(f"{streams} streams: at most {most_mb:.1f} MB, {share:.0%} of a core; ", end="")
    print(f"whole {await asked} of {streams}")


def main() -> None:
    """Parse the arguments and load the daemon."""
    if len(sys.argv) != 5:
        sys.exit("usage: python -m bench.load URL TOKEN STREAMS PROCESS")
    url, token, streams, process = sys.argv[1:]
    asyncio.run(load(url, token, int(streams), process))


if __name__ == "__main__":
    main()
