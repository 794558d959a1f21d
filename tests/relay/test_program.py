"""The program as the platform starts it, in a separate process."""

import asyncio
import pathlib
import socket
import sys

from tests.relay import deployments

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


class TestTakenPort:
    async def test_daemon_serves_once_its_port_is_released(self) -> None:
        async with deployments.deploy(engines=0) as deployed:
            with socket.create_server(("127.0.0.1", 0)) as holder:
                address = f"127.0.0.1:{holder.getsockname()[1]}"
                starting = asyncio.create_task(deployed.add_daemon(callers=address))
                await deployed.wait_until(
                    lambda: deployed.log.find("port is taken", address), "a taken port"
                )
            daemon = await starting
            assert f"127.0.0.1:{daemon.callers_port}" == address
