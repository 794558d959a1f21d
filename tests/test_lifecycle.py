"""Tests of the daemon's lifecycle and of its signals."""

import asyncio
import os
import pathlib
import signal

import pytest

from tanagerfork import daemon as daemons
from tanagerfork import lifecycle, program, settings
from tests import sites

PRESS = pathlib.Path(__file__).parent.parent / "examples" / "press"
PORTS = ("callers.port=0", "operators.port=0", "peers.port=0")


class TestLifecycle:
    @pytest.mark.parametrize(
        ("triggers", "state"),
        [
            ([], "starting"),
            (["listen"], "not_ready"),
            (["listen", "become_ready"], "serving"),
            (["listen", "become_ready", "lose_readiness"], "not_ready"),
            (["become_ready"], "starting"),
            (["listen", "become_ready", "drain", "become_ready"], "draining"),
            (["drain", "stop"], "stopped"),
            (["listen", "stop"], "not_ready"),
        ],
    )
    def test_makes_only_transitions_that_its_state_allows(self, triggers, state):
        states: list[str] = []
        machine = lifecycle.Lifecycle(states.append)
        applied = [machine.apply(trigger) for trigger in triggers]
        assert machine.state == state
        assert len(states) == applied.count(True)


class TestSignals:
    async def start_serving(self, monkeypatch) -> tuple[daemons.Daemon, asyncio.Task]:
        created: list[daemons.Daemon] = []
        original_init = daemons.Daemon.__init__

        def record_daemon(daemon, *args):
            original_init(daemon, *args)
            created.append(daemon)

        monkeypatch.setattr(daemons.Daemon, "__init__", record_daemon)
        loaded = settings.load_settings(PRESS / "embedded.json5", PORTS)
        serving = asyncio.create_task(program.serve(loaded, PRESS))
        await sites.wait_until(lambda: bool(created) and created[0].lifecycle.state == "serving")
        return created[0], serving

    async def test_first_signal_drains_requests_in_flight(self, monkeypatch):
        daemon, serving = await self.start_serving(monkeypatch)
        daemon.callers.open_requests += 1
        os.kill(os.getpid(), signal.SIGTERM)
        await sites.wait_until(lambda: daemon.lifecycle.state == "draining")
        assert not serving.done()
        daemon.callers.open_requests -= 1
        await serving
        assert daemon.lifecycle.state == "stopped"

    async def test_second_signal_skips_the_drain(self, monkeypatch):
        daemon, serving = await self.start_serving(monkeypatch)
        daemon.callers.open_requests += 1
        os.kill(os.getpid(), signal.SIGTERM)
        await sites.wait_until(lambda: daemon.lifecycle.state == "draining")
        os.kill(os.getpid(), signal.SIGTERM)
        await serving
        assert daemon.lifecycle.state == "stopped"


class TestArguments:
    def test_check_reports_valid_settings(self, capsys):
        program.main(["--settings", str(PRESS / "embedded.json5"), "--check-settings"])
        assert capsys.readouterr().out.endswith("embedded.json5: good\n")

    @pytest.mark.parametrize(
        ("arguments", "text"),
        [
            (["--settings", "nowhere.json5"], "name a readable file"),
            (["--settings", str(PRESS / "embedded.json5"), "--set", "x=1"], "unknown field"),
            (["--nonsense"], "usage"),
            ([], "--settings"),
        ],
    )
    def test_invalid_arguments_exit_with_status_2_and_the_remedy(self, arguments, text, capsys):
        with pytest.raises(SystemExit) as caught:
            program.main(arguments)
        assert caught.value.code == program.USAGE_STATUS
        assert text in capsys.readouterr().err
