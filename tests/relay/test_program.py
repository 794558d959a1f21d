"""The program as the platform starts it, in a separate process."""

import asyncio
import json
import os
import pathlib
import socket
import sys

import pytest

from tests.relay import deployments

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LISTENERS = ("callers", "readiness", "metrics", "peers", "forwarding")
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
    @pytest.mark.parametrize("field", LISTENERS)
    async def test_daemon_serves_once_its_port_is_released(self, field: str) -> None:
        async with deployments.deploy(engines=0) as deployed:
            with socket.create_server(("127.0.0.1", 0)) as holder:
                address = f"127.0.0.1:{holder.getsockname()[1]}"
                starting = asyncio.create_task(deployed.add_daemon(**{field: address}))
                await deployed.wait_until(
                    lambda: deployed.log.find("port is taken", address), "a taken port"
                )
            daemon = await starting
            await deployed.wait_until(lambda: daemon.is_ready, "readiness")
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()

    @pytest.mark.parametrize("field", ("callers", "peers"))
    async def test_port_that_stays_taken_ends_the_process_with_a_typed_error(
        self, field: str, tmp_path: pathlib.Path
    ) -> None:
        """It used to end with status 1 and a trace."""
        path = tmp_path / "settings.json5"
        settings: dict[str, object] = dict.fromkeys(LISTENERS, "127.0.0.1:0")
        settings |= {"name": "d0", "failure_domain": "a", "failure_domains": ["a"]}
        settings["store"] = {"address": "127.0.0.1:1"}
        with socket.create_server(("127.0.0.1", 0)) as holder:
            settings[field] = f"127.0.0.1:{holder.getsockname()[1]}"
            path.write_text(json.dumps(settings))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "relayd.py"),
                env={**os.environ, "TANAGERFORK_SETTINGS": str(path)},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            output, traces = await process.communicate()
        assert process.returncode == 2 and not traces
        assert f"{settings[field]} cannot be bound".encode() in output
