"""The program as the platform starts it, in a separate process."""

import asyncio
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Runs the start script with a stand-in for the program that sends itself SIGHUP.
SIGNALLED_START = """
import os, runpy, signal, sys, types
relay, program = types.ModuleType("tanagerfork.relay"), types.ModuleType("program")
program.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print("started"))
relay.program = program
sys.modules.update({"tanagerfork": types.ModuleType("tanagerfork"), "tanagerfork.relay": relay})
runpy.run_path(sys.argv[1])
"""


class TestStart:
    async def test_reload_signal_during_startup_does_not_end_the_process(self) -> None:
        """The platform may signal new settings at any time; startup reads them anyway."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            SIGNALLED_START,
            str(ROOT / "deploy" / "relayd.py"),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert (process.returncode, output) == (0, b"started\n")
