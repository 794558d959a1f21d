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
    def test_takes_only_the_transitions_that_its_state_allows(self, triggers, state):
        told: list[str] = []
        machine = lifecycle.Lifecycle(told.append)
        taken = [machine.apply(trigger) for trigger in triggers]
        assert machine.state == state
        assert len(told) == taken.count(True)


class TestSignals:
    async def serve_until_serving(self, monkeypatch) -> tuple[daemons.Daemon, asyncio.Task]:
        made: list[daemons.Daemon] = []
        build = daemons.Daemon.__init__

        def note(daemon, *parts):
            build(daemon, *parts)
            made.append(daemon)

        monkeypatch.setattr(daemons.Daemon, "__init__", note)
        loaded = settings.load_settings(PRESS / "embedded.json5", PORTS)
        serving = asyncio.create_task(program.serve(loaded, PRESS))
        await sites.wait_until(lambda: bool(made) and made[0].lifecycle.state == "serving")
        return made[0], serving

    async def test_first_signal_waits_for_what_is_in_flight(self, monkeypatch):
        daemon, serving = await self.serve_until_serving(monkeypatch)
        daemon.callers.open_requests += 1
        os.kill(os.getpid(), signal.SIGTERM)
        await sites.wait_until(lambda: daemon.lifecycle.state == "draining")
        assert not serving.done()
        daemon.callers.open_requests -= 1
        await serving
        assert daemon.lifecycle.state == "stopped"

    async def test_second_signal_hastens(self, monkeypatch):
        daemon, serving = await self.serve_until_serving(monkeypatch)
        daemon.callers.open_requests += 1
        os.kill(os.getpid(), signal.SIGTERM)
        await sites.wait_until(lambda: daemon.lifecycle.state == "draining")
        os.kill(os.getpid(), signal.SIGTERM)
        await serving
        assert daemon.lifecycle.state == "stopped"


class TestArguments:
    def test_check_of_good_settings_says_so(self, capsys):
        program.main(["--settings", str(PRESS / "embedded.json5"), "--check-settings"])
        assert capsys.readouterr().out.endswith("embedded.json5: good\n")

    @pytest.mark.parametrize(
        ("words", "part"),
        [
            (["--settings", "nowhere.json5"], "name a readable file"),
            (["--settings", str(PRESS / "embedded.json5"), "--set", "x=1"], "unknown field"),
            (["--nonsense"], "usage"),
            ([], "--settings"),
        ],
    )
    def test_bad_arguments_end_with_status_2_and_the_remedy(self, words, part, capsys):
        with pytest.raises(SystemExit) as ended:
            program.main(words)
        assert ended.value.code == program.USAGE_STATUS
        assert part in capsys.readouterr().err
