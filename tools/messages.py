"""Messages: what each landing writes, kept as data for the tests of later readers.

`python -m tools.messages COMMIT` writes the samples of a commit to `tests/messages`.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
from typing import Any

from tanagerfork import errors
from tools import builds

FOLDER = builds.ROOT / "tests" / "messages"


async def write_samples(build: builds.Build) -> dict[str, Any]:
    """Return the samples that a build writes; see `samples.write`.

    :param build: build.
    """
    samples: dict[str, Any] = await _run_samples(build, "write", b"")
    return samples


async def read_samples(build: builds.Build, samples: dict[str, Any]) -> list[str]:
    """Return what a build misreads of the samples of another one; see `samples.read`.

    :param build: build that reads.
    :param samples: samples that another build wrote.
    """
    problems: list[str] = await _run_samples(build, "read", json.dumps(samples).encode())
    return problems


def load_samples(commit: str) -> dict[str, Any]:
    """Return the samples of a commit that are kept as test data.

    :param commit: commit.
    """
    samples: dict[str, Any] = json.loads((FOLDER / f"{commit}.json").read_text())
    return samples


async def _run_samples(build: builds.Build, verb: str, given: bytes) -> Any:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(builds.ROOT / "tools" / "samples.py"),
        verb,
        env={**os.environ, "PYTHONPATH": str(build.folder / "src")},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    written, _ = await process.communicate(given)
    if process.returncode:
        raise errors.InternalFailure(f"samples of {build.name} failed; see the trace above")
    return json.loads(written)


async def main() -> None:
    """Write the samples of the commits that the command line names."""
    with tempfile.TemporaryDirectory() as folder:
        for commit in sys.argv[1:]:
            build = await builds.extract(commit, pathlib.Path(folder))
            text = json.dumps(await write_samples(build), indent=1, sort_keys=True)
            (FOLDER / f"{commit}.json").write_text(text + "\n")


if __name__ == "__main__":
    asyncio.run(main())
