"""The program as the platform starts it, in a separate process."""

import asyncio
import json
import os
import pathlib
import re
import socket
import sys

import pytest

from tanagerfork import settings
from tanagerfork.generated import relay
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


class TestTemplate:
    @pytest.mark.parametrize(
        ("grace_s", "window_s", "expected_ms"),
        [("8", "10", (8000, 10_000)), ("7.5", "10.25", (7500, 10_250)), ("0.5", "1", (500, 1000))],
    )
    def test_bounds_may_be_fractions(
        self, grace_s: str, window_s: str, expected_ms: tuple[float, float], tmp_path: pathlib.Path
    ) -> None:
        """No daemon started where a bound was a fraction."""
        values = {"graceS": grace_s, "retryWindowS": window_s}
        values |= {"retryRatio": "0.2", "retrySlack": "30.5"}
        template = (ROOT / "deploy" / "settings.json5").read_text()
        block = re.search(r"bounds: {.*?\n  }", template, re.DOTALL)[0]
        text = re.sub(r"{{bounds\.(\w+)}}", lambda found: values[found[1]], block)
        listeners = "".join(f'{name}: "127.0.0.1:0", ' for name in LISTENERS)
        path = tmp_path / "settings.json5"
        path.write_text(
            f'{{name: "d0", failure_domain: "a", failure_domains: ["a"], {listeners}'
            f'store: {{address: "127.0.0.1:1"}}, {text}}}'
        )
        bounds = settings.load_record(path, relay.RelaySettings).bounds
        assert (bounds.grace_ms, bounds.repeat_window_ms) == expected_ms


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
